"""What crosses on the sockets of a running border proxy. The order is forced: the proxy is stopped (SIGSTOP), its peers
act, and it goes on with all of that before it; or a server's queue is full, so that connections to it come up late."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import struct

import pytest
from test_node import SETTINGS, call_id, over, play

from thorndale.platform import isup
from thorndale.standins.platform import setup_message, until
from thorndale.standins.ports import reserve_port


def stopped(p):
    """Sends SIGSTOP and returns once the proxy stands still."""
    p.process.send_signal(signal.SIGSTOP)
    while os.waitid(os.P_PID, p.process.pid, os.WSTOPPED | os.WNOWAIT) is None:
        pass


async def out(*callers):
    """What callers wrote is in the kernel, for loopback at the proxy."""
    for caller in callers:
        await caller.writer.drain()
    await asyncio.sleep(0)


def reset(caller):
    caller.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.writer.transport.abort()


def closes(caller):
    caller.writer.close()


def takes_back(caller):
    for n in range(10):
        caller.writer.write(isup.release(call_id(n), 16))


def spoils(caller):
    caller.writer.write(b"\xff\xff" + b"x" * 40)


async def others_are_served(p, first=500):
    """A later caller's calls are answered and released: everything before has been read and acted on."""
    caller = await p.caller()
    calls = [caller.setup(call_id(n)) for n in range(first, first + 5)]
    await until(lambda: all(caller.kinds(c) == [isup.ANSWER, isup.RELEASE] for c in calls))


@pytest.mark.parametrize("leaves", [closes, reset, takes_back, spoils])
def test_nothing_is_sent_on_for_callers_that_left_while_the_proxy_stood_still(tmp_path, leaves):
    async def test(p):
        caller = await p.caller()
        assert await caller.test()
        stopped(p)
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await out(caller)
        leaves(caller)
        await asyncio.sleep(0.3)  # the time after which a caller has gone for good
        p.process.send_signal(signal.SIGCONT)
        await others_are_served(p)
        assert not {c.hex() for c in calls} & {c for s in p.servers for c in s.seen}
        assert "fault in the program" not in p.said()

    play(test, tmp_path)


def test_a_caller_that_came_and_left_before_it_was_accepted_has_gone(tmp_path):
    async def test(p):
        stopped(p)
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await out(caller)
        closes(caller)
        await asyncio.sleep(0.3)
        p.process.send_signal(signal.SIGCONT)
        await others_are_served(p)
        assert not {c.hex() for c in calls} & {c for s in p.servers for c in s.seen}

    play(test, tmp_path)


@pytest.mark.parametrize("leaves", [closes, reset, spoils])
def test_releases_that_cross_their_callers_close_come_by_another_connection(tmp_path, leaves):
    async def test(p):
        for s in p.servers:
            s.hold_s = 100
        caller, other = await p.caller(), await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await until(lambda: all(caller.kinds(c) == [isup.ANSWER] for c in calls))
        for s in p.servers:
            s.hold_s = 0.2
        known = other.setup(call_id(50))
        await until(lambda: over(other, known))
        stopped(p)
        for s in p.servers:
            for call in list(s.standing):
                s.end(call, 16)
        await asyncio.sleep(0.05)
        leaves(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(over(other, c) or over(caller, c) for c in calls), 1)
        told = [c for c in calls if over(other, c)]
        assert leaves is spoils or len(told) == 10
        assert all(len(other.got[c]) == 1 for c in told)
        await others_are_served(p)

    play(test, tmp_path)


def test_answers_that_cross_their_callers_close_leave_nothing_standing(tmp_path):
    async def test(p):
        for s in p.servers:
            s.answer_s, s.hold_s = 0.2, 1
        caller = await p.caller()
        calls = {caller.setup(call_id(n)).hex() for n in range(10)}
        await until(lambda: calls <= {c for s in p.servers for c in s.seen})
        stopped(p)
        await until(lambda: calls <= {c for s in p.servers for c in s.standing})
        closes(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: not any(s.standing for s in p.servers), 3)
        await others_are_served(p)
        p.process.send_signal(signal.SIGTERM)
        await until(lambda: p.process.poll() is not None, 5)  # nothing is held for what is over

    play(test, tmp_path)


def test_what_was_sent_before_sigterm_and_not_read_is_answered(tmp_path):
    async def test(p):
        caller, idle = await p.caller(), await p.caller()
        assert await caller.test() and await idle.test()
        stopped(p)
        late = await p.caller()  # waits to be accepted
        calls = [c.setup(call_id(10 * n + m)) for n, c in enumerate((caller, late)) for m in range(5)]
        await out(caller, late)
        p.process.send_signal(signal.SIGTERM)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(caller.kinds(c) or late.kinds(c) for c in calls))
        await until(lambda: p.process.poll() is not None, 6)
        assert p.process.returncode == 0
        assert all((caller if n < 5 else late).kinds(c) == [isup.ANSWER, isup.RELEASE] for n, c in enumerate(calls))
        await until(lambda: idle.closed and caller.closed and late.closed)
        assert not any(c.reader.exception() for c in (idle, caller, late)), "an orderly end, no reset"

    play(test, tmp_path)


def test_sigterm_waits_for_a_release_to_be_heard_or_sent_by_another_connection(tmp_path):
    """Its own caller's close crosses the last release: the process does not end before another has it."""

    async def test(p):
        for s in p.servers:
            s.hold_s = 100
        caller, other = await p.caller(), await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call) == [isup.ANSWER])
        p.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)  # set-ups still come
        known = other.setup(call_id(2))
        await until(lambda: other.kinds(known) == [isup.ANSWER])
        await asyncio.sleep(0.8)  # that time is over
        assert p.process.poll() is None
        stopped(p)
        for s in p.servers:
            for standing in list(s.standing):
                s.end(standing, 16)
        closes(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: p.process.poll() is not None, 5)
        await until(lambda: other.closed)
        assert other.kinds(call) == [isup.RELEASE] and over(other, known) and p.process.returncode == 0

    play(test, tmp_path)


def test_set_ups_that_come_until_the_last_turn_are_answered_or_the_connection_is_closed_in_order(tmp_path):
    """Callers go on sending at a proxy that ends: each set-up has its answer, or its connection was closed with
    nothing sent for it, as one that crosses a close may be."""

    async def test(p):
        callers = [await p.caller() for _ in range(8)]
        p.process.send_signal(signal.SIGTERM)
        sent, number = [], 1000
        while p.process.poll() is None:
            caller = callers[number % 8]
            if not caller.closed and not caller.writer.is_closing():
                sent.append((asyncio.get_running_loop().time(), caller, caller.setup(call_id(number))))
            number += 1
            await asyncio.sleep(0.02 if number < 1100 else 1.6)  # pauses in which nothing is owed
        ended = asyncio.get_running_loop().time()
        await until(lambda: all(c.closed for c in callers))
        lost = [ended - at for at, caller, call in sent if not caller.kinds(call)]
        assert len(sent) > 40 and all(at < 0.6 for at in lost), lost  # within the time in which the ends were sent
        assert not any(c.reader.exception() for c in callers)

    play(test, tmp_path)


def test_a_server_told_leaving_during_a_stand_still_gets_nothing_after_its_grace(tmp_path):
    """The set-ups lie in the sockets before the word on their server does."""

    async def test(p):
        callers = [await p.caller() for _ in range(6)]
        assert all([await c.test() for c in callers])
        await until(lambda: p.feed.asked)
        stopped(p)
        calls = [c.setup(call_id(n), within=2900) for n, c in enumerate(callers)]
        await out(*callers)
        await asyncio.sleep(0.05)
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
        await asyncio.sleep(SETTINGS["rules"]["drainGraceMs"] / 1000 + 0.1)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(c.kinds(call) for c, call in zip(callers, calls, strict=True)))
        assert not a.seen and p.servers[1].seen

    play(test, tmp_path)


class Late:
    """A central server's address at which connections come up late: its queue is full until `come_up`."""

    def __init__(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", reserve_port()))
        self.sock.listen(0)
        self.name, (self.host, self.port) = "s-0000000c", self.sock.getsockname()
        self.full = [socket.socket() for _ in range(4)]
        for peer in self.full:
            peer.setblocking(False)
            peer.connect_ex(self.sock.getsockname())

    async def come_up(self, seconds):
        """Takes connections for so long; all that came by them."""
        for peer in self.full:
            peer.close()
        loop, got, open_ = asyncio.get_running_loop(), b"", []
        self.sock.setblocking(False)
        end = loop.time() + seconds
        while loop.time() < end:
            try:
                open_.append(self.sock.accept()[0])
                open_[-1].setblocking(False)
            except BlockingIOError:
                pass
            for peer in open_:
                with contextlib.suppress(OSError):
                    got += peer.recv(65536)
            await asyncio.sleep(0.01)
        for peer in (*open_, self.sock):
            peer.close()
        return got


@pytest.mark.parametrize("change", ["caller closes", "caller takes back", "draining", "gone", "nothing"])
def test_a_connection_that_comes_up_late_carries_only_what_is_still_wanted(tmp_path, change):
    settings = SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"dialTimeoutMs": 8000.0}}

    async def test(p):
        late = Late()
        record = (0xC, late.host, late.port, 0, 2, 0)
        p.feed.add(2, record)
        caller = await p.caller()
        calls = [caller.setup(call_id(n), within=2900, figures=b"dest:2;width:1;via:-1") for n in range(5)]
        await others_are_served(p)  # at the other servers; those before wait for the late one
        assert not any(caller.kinds(c) for c in calls)
        if change == "caller closes":
            closes(caller)
        elif change == "caller takes back":
            takes_back(caller)
        elif change in ("draining", "gone"):
            p.feed.add(2, (*record[:3], ("draining", "gone").index(change) + 1, *record[4:]))
        await asyncio.sleep(0.2)
        got = await late.come_up(2.2)
        assert (b"INVITE" in got) == (change == "nothing"), got[:200]
        assert b"CANCEL" not in got or change == "nothing"
        if change in ("draining", "gone"):  # they go elsewhere, or are given up in time: none is left
            await until(lambda: all(caller.kinds(c) for c in calls))
            assert sum(s.seen.get(c.hex(), 0) for s in p.servers for c in calls) > 0

    play(test, tmp_path, settings=with_pools(settings, [[0, 1, 2]]))


def with_pools(settings, pools):
    return settings | {"familyInfo": settings["familyInfo"] | {"skilledPools": pools}}


def test_idle_callers_that_fill_the_descriptors_do_not_keep_the_feed_out(tmp_path):
    """Discovery is down while idle callers come; back, it is followed, and what it tells is acted on."""

    async def test(p):
        resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        await until(lambda: p.feed.asked)  # the stand-in has taken the proxy's connection: its stop ends it
        port = p.feed.port
        await p.feed.stop()
        idle = [await p.caller() for _ in range(120)]
        for caller in idle:
            caller.writer.write(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0")))
        await until(lambda: sum(bool(c.got) for c in idle) > 10)
        for s in p.servers:
            s.cut()  # their connections are opened anew
        await asyncio.sleep(0.3)
        assert len(os.listdir(f"/proc/{p.process.pid}/fd")) <= 64
        p.feed.open.clear()
        await p.feed.start("127.0.0.1", port)
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 2, 0, 0))
        await until(lambda: p.feed.asked[-1:] == [1] and p.feed.open, 3)
        await others_are_served(p)
        await asyncio.sleep(0.1)
        seen = len(a.seen)
        await others_are_served(p, 600)
        assert len(a.seen) == seen

    play(test, tmp_path, sockets=64)


# Guards against set-ups at a draining server whose drain fell into a silence of the control feed.
def test_a_drain_left_out_by_a_silent_feed_is_asked_for_once_it_speaks_again(tmp_path):
    async def test(p):
        await until(lambda: p.feed.asked)
        p.feed.mute = True
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
        p.feed.mute = False
        await until(lambda: "draining by the list" in (tmp_path / "log").read_text(), 2)
        await others_are_served(p)
        assert not a.seen and p.feed.asked == [1, 1]

    play(test, tmp_path)


MOST_TRIES = 20  # connections in 2 s to a server that ends each: the wait between them doubles from 50 to 400 ms


# Guards against connecting without a pause to a server whose connections end as soon as they are up.
def test_a_server_that_closes_each_connection_at_once_is_tried_with_pauses(tmp_path):
    async def test(p):
        for server in p.servers:
            server.hold_s = 30
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(20)]
        await until(lambda: all(caller.kinds(call) == [isup.ANSWER] for call in calls))
        before = [server.accepted for server in p.servers]
        for server in p.servers:
            server.closes = True
            server.cut()
        await asyncio.sleep(2)
        assert max(s.accepted - n for s, n in zip(p.servers, before, strict=True)) <= MOST_TRIES
        for server in p.servers:
            server.closes = False
            for call in list(server.standing):
                server.end(call, 16)
        await until(lambda: all(over(caller, call) for call in calls), 3)

    play(test, tmp_path)


async def told_after_a_cut(p, folder, seconds):
    """The feed's connection ends, and an event that it had not told is told by the next one."""
    a = p.servers[0]
    await until(lambda: p.feed.asked)  # the stand-in has taken the proxy's connection: its cut ends it
    p.feed.mute = True
    p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
    p.feed.mute = False
    p.feed.cut()
    await until(lambda: "draining by the list" in (folder / "log").read_text(), seconds)
    assert len(p.feed.asked) == 2


# Guards against breaking off a feed that says how far it is before it tells what is missing.
def test_a_feed_that_begins_with_its_latest_number_is_listened_to(tmp_path):
    async def test(p):
        p.feed.begins_empty = True
        await told_after_a_cut(p, tmp_path, 2)

    play(test, tmp_path)


# Guards against taking a feed for silent while an event comes from it in pieces: it was asked anew, and never told.
def test_an_event_that_a_slow_feed_writes_in_pieces_is_waited_for(tmp_path):
    async def test(p):
        p.feed.piece_s = 0.6
        await told_after_a_cut(p, tmp_path, 4)

    play(test, tmp_path)


def test_a_feed_that_tells_nothing_of_use_is_not_asked_without_a_pause(tmp_path):
    async def test(p):
        p.feed.frames.extend([b"", p.feed.frames[0]])  # the third event, never the second
        p.feed.frames[2] = struct.pack(">IQB", 9, 3, 2)
        asked = len(p.feed.asked)
        p.feed.cut()
        await asyncio.sleep(1.5)
        assert 2 <= len(p.feed.asked) - asked <= 9
        await others_are_served(p)

    play(test, tmp_path)


def test_a_stand_still_with_half_a_message_in_the_socket_ends_no_connection(tmp_path):
    async def test(p):
        caller, silent = await p.caller(), await p.caller()
        caller.setup(call_id(1))
        await until(lambda: over(caller, call_id(1)))
        text = setup_message(call_id(2), within=2500)
        caller.writer.write(text[:20])
        await out(caller)
        await others_are_served(p)
        stopped(p)
        caller.writer.write(text[20:])
        silent.setup(call_id(3), within=2900)
        await out(caller, silent)
        await asyncio.sleep(1.7)  # longer than half a message, or silence, is borne with
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: over(caller, call_id(2)) and over(silent, call_id(3)))
        assert caller.kinds(call_id(2)) == silent.kinds(call_id(3)) == [isup.ANSWER, isup.RELEASE]

    play(test, tmp_path)
