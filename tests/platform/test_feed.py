"""The control feed: frames split at every byte, repeated and missing events, and equal lists from frames and JSON."""

import struct

import pytest
from platform_rig import HOSTS

from thorndale import interface as io
from thorndale.platform import feed
from thorndale.platform.errors import PlatformError


def record(name, host, state=0, cell=0, started=0, port=5080):
    address = struct.unpack(">I", bytes(map(int, host.split("."))))[0]
    return feed.RECORD.pack(name, address, port, state, 0, 0, cell, 1000, started)


def frame(number, kind, payload=b""):
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


WHOLE = record(10, "127.0.1.1") + record(11, "127.0.1.2", cell=1)


def events(data):
    return [feed.read(*f) for f in feed.Framer().feed(data)]


def test_frames_and_json_give_the_same_events():
    hosts = [host | {"site": "east"} for host in HOSTS]
    known = {"n": 1, "events": [{"n": 1, "members": {"seq": 0, "whole": True, "hosts": hosts}}]}
    assert feed.read_known(known, ("east", "west")) == (1, events(frame(1, 1, WHOLE)))
    assert {entry.zone for entry in feed.read_known(known, ("west",))[1][0].entries} == {-1}


def test_frames_come_out_whole_at_every_split():
    data = frame(1, 1, WHOLE) + frame(1, 0) + frame(2, 2, record(10, "127.0.1.1", 1, started=5))
    whole = events(data)
    assert whole[1] is None and whole[2].entries[0].state == io.DRAINING and whole[2].entries[0].started_ms == 5
    for at in range(len(data)):
        framer = feed.Framer()
        assert [feed.read(*f) for f in [*framer.feed(data[:at]), *framer.feed(data[at:])]] == whole


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 8),
        struct.pack(">I", 1 << 30),
        frame(2, 3),
        frame(2, 2, b"x"),
        frame(2, 2, record(1, "127.0.0.1", 9)),
    ],
)
def test_what_cannot_be_read_is_the_packages_error(data):
    with pytest.raises(PlatformError):
        events(data)


def test_repeated_events_are_ignored_and_a_gap_is_requested_again():
    known = feed.Feed(3)
    entry = feed.Event(4, False, ())
    assert known.take(entry) and not known.take(entry) and not known.take(feed.Event(2, True, ()))
    with pytest.raises(PlatformError):
        known.take(feed.Event(6, False, ()))
    assert known.ask() == (4).to_bytes(8, "big")
    assert known.take(feed.Event(9, True, ()))  # a whole list closes the gap


# Prevents a lost event from being detected only when the next one arrives.
def test_an_empty_frame_that_names_an_event_not_received_is_a_gap():
    known = feed.Feed(3)
    known.take_empty(3)
    known.take_empty(2)
    with pytest.raises(PlatformError, match="event 4"):
        known.take_empty(4)
    assert known.count["gaps"] == 1 and known.ask() == (3).to_bytes(8, "big")


def test_events_are_replayed_into_a_list():
    gone = feed.Event(2, False, (feed.Entry("s-0000000a", "127.0.1.1", 5080, io.GONE, 0, 0),))
    assert list(feed.replay([events(frame(1, 1, WHOLE))[0], gone])) == ["s-0000000b"]


@pytest.mark.parametrize(
    "known",
    [
        None,
        {},
        {"n": 1, "events": [{}]},
        {"n": "x", "events": []},
        {"n": 1, "events": [{"n": 1, "members": {"whole": True, "hosts": [{}]}}]},
    ],
)
def test_a_known_that_cannot_be_read_is_named(known):
    with pytest.raises(PlatformError, match="known"):
        feed.read_known(known)
