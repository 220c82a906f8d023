"""Messages of the central servers: split at every byte, and malformed in each way that the protocol names."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_rig import ANSWER

from thorndale.platform import central as sip
from thorndale.platform.description import is_description

OK = (
    b"SIP/2.0 200 OK\r\nVia: x\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: %d\r\n\r\n"
    % len(ANSWER)
) + ANSWER
NOTIFY = (
    b"NOTIFY sip:peer@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 4 NOTIFY\r\nLink-State: x0:12;x1:40;latency_ms:3\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NAMES = {"x0": "idle", "x1": "circuits"}


def test_signals_come_out_whole_at_every_split():
    data = OK + NOTIFY + OK
    whole = list(sip.Framer().feed(data))
    assert [s.method for s in whole] == ["INVITE", "NOTIFY", "INVITE"] and whole[0].body == ANSWER
    for at in range(len(data)):
        framer = sip.Framer()
        assert [*framer.feed(data[:at]), *framer.feed(data[at:])] == whole


@pytest.mark.parametrize(
    "data",
    [
        b"SIP/9.9 OK 200\r\n\r\n",
        OK.replace(b"Content-Length: ", b"Content-Length: 3000000000"),
        OK.replace(b"Content-Length: ", b"Content-Length: -"),
        OK.replace(b"CSeq: 1 INVITE", b"CSeq: one"),
        OK.replace(b"Via: x", b"no colon here"),
        b"\x81u\x05\xd9\x1b*" * 400 + b"\r\n\r\n",
        b"A" * 20_000,
        OK.replace(b"INVITE", b"SUBSCRIBE"),
        b"INVITE sip:x@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\n\r\n",
    ],
)
def test_what_cannot_be_read_ends_the_stream(data):
    with pytest.raises(sip.STREAM_ERRORS):
        list(sip.Framer().feed(data))


@given(st.lists(st.binary(max_size=400), max_size=6))
@settings(max_examples=300, deadline=None)
def test_garbage_raises_the_packages_errors_alone(parts):
    framer = sip.Framer()
    try:
        for part in parts:
            list(framer.feed(part))
    except sip.STREAM_ERRORS:
        pass


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("x0:12;x1:40;latency_ms:3.5", (12.0, 40.0, 3500, None)),
        ("", (None, None, None, None)),
        ("x0:-1;x1:40;latency_ms:nan", (None, 40.0, None, None)),
        ("idle:7;queue:3;x", (7.0, None, None, None)),
        ("x0:1e300", (None, None, None, None)),
    ],
)
def test_a_report_holds_what_can_be_read_of_it(text, report):
    assert tuple(sip.report(text, NAMES)) == report


def test_a_set_up_as_the_protocol_page_has_it():
    text = sip.invite("9b1f03aa5c7e2d41", 1, "7f3a9c21e0b4d655", "voice", 1_500_400, ANSWER)
    head, _, body = text.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0" and body == ANSWER
    assert {
        b"Call-ID: 9b1f03aa5c7e2d41",
        b"CSeq: 1 INVITE",
        b"Call-Kind: voice",
        b"Answer-Within: 1500",
        b"Content-Length: %d" % len(ANSWER),
    } <= set(lines)
    assert not is_description(ANSWER[:-3]) and is_description(ANSWER)
