"""Callers' messages: split at every byte, random data, and each parameter out of range."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_rig import BODY, configuration, setup_values

from thorndale.platform import isup
from thorndale.platform.config import read
from thorndale.platform.errors import PlatformError

CALL_TYPES = read(json.dumps(configuration())).call_types
CALL = bytes.fromhex("9b1f03aa5c7e2d41")


def test_messages_come_out_whole_at_every_split():
    one = isup.encode(isup.SETUP, CALL, *setup_values())
    data = one + isup.release(CALL, 16) + isup.encode(isup.TEST, CALL, (isup.CAUSE, b"\0"))
    whole = list(isup.Framer().feed(data))
    assert [kind for kind, _, _ in whole] == [isup.SETUP, isup.RELEASE, isup.TEST]
    for at in range(len(data)):
        framer = isup.Framer()
        assert [*framer.feed(data[:at]), *framer.feed(data[at:])] == whole and not framer.partial
    framer, found = isup.Framer(), []
    for n in range(len(data)):
        found += framer.feed(data[n : n + 1])
    assert found == whole


def test_a_set_up_as_the_protocol_page_has_it():
    ((_, call, data),) = isup.Framer().feed(isup.encode(isup.SETUP, CALL, *setup_values(redial=True)))
    setup = isup.read_setup(isup.parameters(data), CALL_TYPES)
    assert (call, setup.call_type, setup.within_us, setup.redial) == (CALL, 0, 1_200_000, True)
    assert (setup.number, setup.pool, setup.reattempt, setup.established_at) == ("7f3a9c21e0b4d655", 0, False, "")
    assert setup.description == BODY


@given(st.lists(st.binary(max_size=300), max_size=8))
@settings(max_examples=300, deadline=None)
def test_garbage_raises_the_packages_error_alone_and_holds_a_bounded_memory(parts):
    framer = isup.Framer()
    try:
        for part in parts:
            for _, _, data in framer.feed(part):
                isup.read_setup(isup.parameters(data), CALL_TYPES)
            assert len(framer._buffer) <= isup.MAX_MESSAGE_BYTES + 2
    except PlatformError:
        pass


@pytest.mark.parametrize(
    "data", [b"\x00\x00", b"\x00\x08", b"\x40\x01", b"\xff\xff", b"\x00\x0d\x7b", b"GET / HTTP/1.1"]
)
def test_a_length_or_type_that_cannot_be_ends_the_stream_after_what_came_whole(data):
    framer, found = isup.Framer(), []
    with pytest.raises(PlatformError):
        for message in framer.feed(isup.release(CALL, 16) + data):
            found.append(message[0])
    assert found == [isup.RELEASE]


@pytest.mark.parametrize(
    "values",
    [
        dict(kind=b"timetable_x"),
        dict(kind=b""),
        dict(within=b"0"),
        dict(within=b"-5"),
        dict(within=b"soon"),
        dict(within=b"3001"),
        dict(within=b"9" * 30),
        dict(within=b""),
        dict(number=b"7f3a"),
        dict(number=b"G" * 16),
        dict(figures=b"dest:99;width:1;via:-1"),
        dict(figures=b"dest:-3;width:1"),
        dict(figures=b"dest:nan;width:1"),
        dict(figures=b"dest:0;width:400"),
        dict(figures=b"dest:0;width:0"),
        dict(figures=b"x"),
        dict(figures=b"\xff"),
        dict(figures=b"dest:0;dest:0"),
        dict(figures=b"dest:0;via:inf"),
        dict(figures=b"width:1"),
        dict(figures=b"dest:0;again:2"),
        dict(figures=b"dest:0;at:here"),
        dict(body=b""),
        dict(body=b"\0" * 40),
        dict(body=BODY[:-1]),
        dict(body=BODY.upper()),
    ],
)
def test_no_figure_out_of_range_goes_further(values):
    ((_, _, data),) = isup.Framer().feed(isup.encode(isup.SETUP, CALL, *setup_values(**values)))
    with pytest.raises(PlatformError):
        isup.read_setup(isup.parameters(data), CALL_TYPES)


@pytest.mark.parametrize("data", [b"\x81", b"\x81\x00\x09time", b"\x81\x00\x01a\x81\x00\x01b"])
def test_parameters_that_do_not_fit(data):
    with pytest.raises(PlatformError):
        isup.parameters(data)
