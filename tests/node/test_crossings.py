"""Messages and closes that cross on the sockets of a running border proxy. The order is forced: the proxy is suspended
with SIGSTOP, its peers act, and it resumes with all of that unread; or a server's accept queue is full, so that
connections to it come up late."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import struct

import pytest
from test_node import SETTINGS, call_id, is_released, run_on_platform

from thorndale.platform import isup
from thorndale.standins.platform import setup_message, until
from thorndale.standins.ports import reserve_port


def suspend(p):
    """Sends SIGSTOP and returns once the proxy is suspended."""
    p.process.send_signal(signal.SIGSTOP)
    while os.waitid(os.P_PID, p.process.pid, os.WSTOPPED | os.WNOWAIT) is None:
        pass


async def flush_to_kernel(*callers):
    """Waits until the kernel has what the callers wrote; on loopback it is then in the proxy's sockets."""
    for caller in callers:
        await caller.writer.drain()
    await asyncio.sleep(0)


def reset_connection(caller):
    caller.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.writer.transport.abort()


def close_connection(caller):
    caller.writer.close()


def release_calls(caller):
    for n in range(10):
        caller.writer.write(isup.release(call_id(n), 16))


def send_malformed(caller):
    caller.writer.write(b"\xff\xff" + b"x" * 40)


async def expect_service_for_others(p, first=500):
    """Waits until a later caller's calls are answered and released; all earlier input has been processed then."""
    caller = await p.caller()
    calls = [caller.setup(call_id(n)) for n in range(first, first + 5)]
    await until(lambda: all(caller.kinds(c) == [isup.ANSWER, isup.RELEASE] for c in calls))


@pytest.mark.parametrize("leaves", [close_connection, reset_connection, release_calls, send_malformed])
def test_nothing_is_forwarded_for_callers_that_left_while_the_proxy_was_suspended(tmp_path, leaves):
    async def test(p):
        caller = await p.caller()
        assert await caller.test()
        suspend(p)
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await flush_to_kernel(caller)
        leaves(caller)
        await asyncio.sleep(0.3)  # the time after which a caller does not come back
        p.process.send_signal(signal.SIGCONT)
        await expect_service_for_others(p)
        assert not {c.hex() for c in calls} & {c for s in p.servers for c in s.seen}
        assert "fault in the program" not in p.logged_events()

    run_on_platform(test, tmp_path)


# Operators' picture (c): a client closed with much still unread, and its requests were sent on afterwards.
@pytest.mark.parametrize("leaves", [close_connection, reset_connection])
def test_nothing_is_forwarded_for_a_caller_whose_close_lies_behind_much_unread(tmp_path, leaves):
    async def test(p):
        caller, other = await p.caller(), await p.caller()
        assert await caller.test() and await other.test()
        standing = other.setup(call_id(900))
        await until(lambda: isup.ANSWER in other.kinds(standing))
        for server in p.servers:
            server.hold_s = 5
        kept = other.setup(call_id(901))
        await until(lambda: isup.ANSWER in other.kinds(kept))
        suspend(p)
        calls = [caller.setup(call_id(n)) for n in range(600)]  # more than is read in one turn of the event loop
        caller.writer.write(isup.release(kept, 16))  # any connection may release a call that stands
        await flush_to_kernel(caller)
        leaves(caller)
        await asyncio.sleep(0.3)
        p.process.send_signal(signal.SIGCONT)
        await expect_service_for_others(p, 1_000)
        assert not {c.hex() for c in calls} & {c for s in p.servers for c in s.seen}
        if leaves is close_connection:  # a reset may take what is unread with it
            await until(lambda: any(kept.hex() in s.cut_by_peer for s in p.servers))
        assert "fault in the program" not in p.logged_events()

    run_on_platform(test, tmp_path)


def test_a_caller_that_came_and_left_before_it_was_accepted_has_gone(tmp_path):
    async def test(p):
        suspend(p)
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await flush_to_kernel(caller)
        close_connection(caller)
        await asyncio.sleep(0.3)
        p.process.send_signal(signal.SIGCONT)
        await expect_service_for_others(p)
        assert not {c.hex() for c in calls} & {c for s in p.servers for c in s.seen}

    run_on_platform(test, tmp_path)


@pytest.mark.parametrize("leaves", [close_connection, reset_connection, send_malformed])
def test_releases_that_cross_their_callers_close_come_by_another_connection(tmp_path, leaves):
    async def test(p):
        for s in p.servers:
            s.hold_s = 100
        caller, other = await p.caller(), await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await until(lambda: all(caller.kinds(c) == [isup.ANSWER] for c in calls))
        for s in p.servers:
            s.hold_s = 0.2
        other_call = other.setup(call_id(50))
        await until(lambda: is_released(other, other_call))
        suspend(p)
        for s in p.servers:
            for call in list(s.standing):
                s.end(call, 16)
        await asyncio.sleep(0.05)
        leaves(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(is_released(other, c) or is_released(caller, c) for c in calls), 1)
        rerouted = [c for c in calls if is_released(other, c)]
        assert leaves is send_malformed or len(rerouted) == 10
        assert all(len(other.got[c]) == 1 for c in rerouted)
        await expect_service_for_others(p)

    run_on_platform(test, tmp_path)


def test_answers_that_cross_their_callers_close_leave_nothing_standing(tmp_path):
    async def test(p):
        for s in p.servers:
            s.answer_s, s.hold_s = 0.2, 1
        caller = await p.caller()
        calls = {caller.setup(call_id(n)).hex() for n in range(10)}
        await until(lambda: calls <= {c for s in p.servers for c in s.seen})
        suspend(p)
        await until(lambda: calls <= {c for s in p.servers for c in s.standing})
        close_connection(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: not any(s.standing for s in p.servers), 3)
        await expect_service_for_others(p)
        p.process.send_signal(signal.SIGTERM)
        await until(lambda: p.process.poll() is not None, 5)  # nothing is kept open for calls that are over

    run_on_platform(test, tmp_path)


def test_what_was_sent_before_sigterm_and_not_read_is_answered(tmp_path):
    async def test(p):
        caller, idle = await p.caller(), await p.caller()
        assert await caller.test() and await idle.test()
        suspend(p)
        late = await p.caller()  # is in the accept queue
        calls = [c.setup(call_id(10 * n + m)) for n, c in enumerate((caller, late)) for m in range(5)]
        await flush_to_kernel(caller, late)
        p.process.send_signal(signal.SIGTERM)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(caller.kinds(c) or late.kinds(c) for c in calls))
        await until(lambda: p.process.poll() is not None, 6)
        assert p.process.returncode == 0
        assert all((caller if n < 5 else late).kinds(c) == [isup.ANSWER, isup.RELEASE] for n, c in enumerate(calls))
        await until(lambda: idle.closed and caller.closed and late.closed)
        assert not any(c.reader.exception() for c in (idle, caller, late)), "reset instead of an orderly end"

    run_on_platform(test, tmp_path)


def test_sigterm_waits_for_a_release_to_be_confirmed_or_sent_by_another_connection(tmp_path):
    """The caller's close crosses the last release: the process ends only after another connection has received it."""

    async def test(p):
        for s in p.servers:
            s.hold_s = 100
        caller, other = await p.caller(), await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call) == [isup.ANSWER])
        p.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)  # set-ups are still accepted
        other_call = other.setup(call_id(2))
        await until(lambda: other.kinds(other_call) == [isup.ANSWER])
        await asyncio.sleep(0.8)  # the period for set-ups is over
        assert p.process.poll() is None
        suspend(p)
        for s in p.servers:
            for answered in list(s.standing):
                s.end(answered, 16)
        close_connection(caller)
        await asyncio.sleep(0.05)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: p.process.poll() is not None, 5)
        await until(lambda: other.closed)
        assert other.kinds(call) == [isup.RELEASE] and is_released(other, other_call) and p.process.returncode == 0

    run_on_platform(test, tmp_path)


def test_set_ups_that_come_until_the_last_turn_are_answered_or_the_connection_is_closed_in_order(tmp_path):
    """Callers go on sending to a proxy that is ending: each set-up is answered, or its connection is closed with nothing
    sent for it, which is allowed for a set-up that crosses a close."""

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
        assert len(sent) > 40 and all(at < 0.6 for at in lost), lost  # sent while the proxy was closing the connections
        assert not any(c.reader.exception() for c in callers)

    run_on_platform(test, tmp_path)


def test_a_server_reported_draining_during_a_stall_gets_nothing_after_its_grace(tmp_path):
    """The set-ups arrive in the sockets before the notice that their server is draining."""

    async def test(p):
        callers = [await p.caller() for _ in range(6)]
        assert all([await c.test() for c in callers])
        await until(lambda: p.feed.asked)
        suspend(p)
        calls = [c.setup(call_id(n), within=2900) for n, c in enumerate(callers)]
        await flush_to_kernel(*callers)
        await asyncio.sleep(0.05)
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
        await asyncio.sleep(SETTINGS["rules"]["drainGraceMs"] / 1000 + 0.1)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(c.kinds(call) for c, call in zip(callers, calls, strict=True)))
        assert not a.seen and p.servers[1].seen

    run_on_platform(test, tmp_path)


class LateServer:
    """A central server whose connections come up late: its accept queue is full until `come_up`."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", reserve_port()), backlog=0)
        self.name, (self.host, self.port) = "s-0000000c", self.sock.getsockname()
        self.queue_fillers = [socket.socket() for _ in range(4)]
        for peer in self.queue_fillers:
            peer.setblocking(False)
            peer.connect_ex(self.sock.getsockname())

    async def come_up(self, seconds):
        """Accepts connections for this time. Returns all bytes received on them."""
        for peer in self.queue_fillers:
            peer.close()
        loop, received, connections = asyncio.get_running_loop(), b"", []
        self.sock.setblocking(False)
        end = loop.time() + seconds
        while loop.time() < end:
            try:
                connections.append(self.sock.accept()[0])
                connections[-1].setblocking(False)
            except BlockingIOError:
                pass
            for peer in connections:
                with contextlib.suppress(OSError):
                    received += peer.recv(65536)
            await asyncio.sleep(0.01)
        for peer in connections:
            peer.close()
        self.close()
        return received

    def close(self):
        for peer in (*self.queue_fillers, self.sock):
            peer.close()


# The stand-in failed to start where an earlier process had used its port and closed the connections (Errno 98).
def test_a_late_server_starts_on_a_port_with_connections_in_time_wait(monkeypatch):
    port = reserve_port()
    with socket.create_server(("127.0.0.1", port)) as listener:
        caller = socket.create_connection(("127.0.0.1", port))
        accepted, _ = listener.accept()
        accepted.close()  # the side that closes first keeps the connection in TIME_WAIT
        assert caller.recv(1) == b""
        caller.close()
    monkeypatch.setattr("test_crossings.reserve_port", lambda: port)
    late = LateServer()
    assert late.port == port
    late.close()


@pytest.mark.parametrize("change", ["caller closes", "caller takes back", "draining", "gone", "nothing"])
def test_a_connection_that_comes_up_late_carries_only_what_is_still_wanted(tmp_path, change):
    settings = SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"dialTimeoutMs": 8000.0}}

    async def test(p):
        late = LateServer()
        record = (0xC, late.host, late.port, 0, 2, 0)
        p.feed.add(2, record)
        caller = await p.caller()
        calls = [caller.setup(call_id(n), within=2900, figures=b"dest:2;width:1;via:-1") for n in range(5)]
        await expect_service_for_others(p)  # at the other servers; the earlier calls wait for the late one
        assert not any(caller.kinds(c) for c in calls)
        if change == "caller closes":
            close_connection(caller)
        elif change == "caller takes back":
            release_calls(caller)
        elif change in ("draining", "gone"):
            p.feed.add(2, (*record[:3], ("draining", "gone").index(change) + 1, *record[4:]))
        await asyncio.sleep(0.2)
        received = await late.come_up(2.2)
        assert (b"INVITE" in received) == (change == "nothing"), received[:200]
        assert b"CANCEL" not in received or change == "nothing"
        if change in ("draining", "gone"):  # they are rerouted or refused in time: none is left open
            await until(lambda: all(caller.kinds(c) for c in calls))
            assert sum(s.seen.get(c.hex(), 0) for s in p.servers for c in calls) > 0

    run_on_platform(test, tmp_path, settings=with_pools(settings, [[0, 1, 2]]))


def with_pools(settings, pools):
    return settings | {"familyInfo": settings["familyInfo"] | {"skilledPools": pools}}


def test_idle_callers_that_fill_the_descriptors_do_not_keep_the_feed_out(tmp_path):
    """The control feed is down while idle callers connect. Once it is back, the proxy connects to it and applies its
    events."""

    async def test(p):
        resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        await until(lambda: p.feed.asked)  # the stand-in has accepted the proxy's connection, so that its stop ends it
        port = p.feed.port
        await p.feed.stop()
        idle = [await p.caller() for _ in range(120)]
        for caller in idle:
            caller.writer.write(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0")))
        await until(lambda: sum(bool(c.got) for c in idle) > 10)
        for s in p.servers:
            s.cut()  # the proxy must reconnect
        await asyncio.sleep(0.3)
        assert len(os.listdir(f"/proc/{p.process.pid}/fd")) <= 64
        p.feed.open.clear()
        await p.feed.start("127.0.0.1", port)
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 2, 0, 0))
        await until(lambda: p.feed.asked[-1:] == [1] and p.feed.open, 3)
        await expect_service_for_others(p)
        await asyncio.sleep(0.1)
        seen = len(a.seen)
        await expect_service_for_others(p, 600)
        assert len(a.seen) == seen

    run_on_platform(test, tmp_path, sockets=64)


# Set-ups were sent to a draining server when its drain event fell into a silence of the control feed.
def test_a_drain_missed_during_a_silence_of_the_feed_is_requested_afterwards(tmp_path):
    async def test(p):
        await until(lambda: p.feed.asked)
        p.feed.mute = True
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
        p.feed.mute = False
        await until(lambda: "draining by the list" in (tmp_path / "log").read_text(), 2)
        await expect_service_for_others(p)
        assert not a.seen and p.feed.asked == [1, 1]

    run_on_platform(test, tmp_path)


MAX_CONNECTS = 20  # in 2 s, to a server that ends each connection: the pause doubles from 50 to 400 ms


# The proxy must not reconnect without a pause to a server whose connections end as soon as they are up.
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
        assert max(s.accepted - n for s, n in zip(p.servers, before, strict=True)) <= MAX_CONNECTS
        for server in p.servers:
            server.closes = False
            for call in list(server.standing):
                server.end(call, 16)
        await until(lambda: all(is_released(caller, call) for call in calls), 3)

    run_on_platform(test, tmp_path)


async def expect_event_after_a_cut(p, folder, seconds):
    """The feed's connection ends, and an event that it had not sent is sent on the next one."""
    a = p.servers[0]
    await until(lambda: p.feed.asked)  # the stand-in has accepted the proxy's connection, so that its cut ends it
    p.feed.mute = True
    p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
    p.feed.mute = False
    p.feed.cut()
    await until(lambda: "draining by the list" in (folder / "log").read_text(), seconds)
    assert len(p.feed.asked) == 2


# A feed may send its latest event number before the missing events; the proxy must not disconnect then.
def test_a_feed_that_begins_with_its_latest_number_is_not_disconnected(tmp_path):
    async def test(p):
        p.feed.begins_empty = True
        await expect_event_after_a_cut(p, tmp_path, 2)

    run_on_platform(test, tmp_path)


# A feed that writes an event slowly, in pieces, was treated as silent and asked again, so that the event never arrived.
def test_an_event_that_a_slow_feed_writes_in_pieces_is_waited_for(tmp_path):
    async def test(p):
        p.feed.piece_s = 0.6
        await expect_event_after_a_cut(p, tmp_path, 4)

    run_on_platform(test, tmp_path)


def test_a_feed_without_valid_events_is_asked_again_only_after_a_pause(tmp_path):
    async def test(p):
        p.feed.frames.extend([b"", p.feed.frames[0]])  # the third event without the second
        p.feed.frames[2] = struct.pack(">IQB", 9, 3, 2)
        asked = len(p.feed.asked)
        p.feed.cut()
        await asyncio.sleep(1.5)
        assert 2 <= len(p.feed.asked) - asked <= 9
        await expect_service_for_others(p)

    run_on_platform(test, tmp_path)


def test_a_stall_with_half_a_message_in_the_socket_ends_no_connection(tmp_path):
    async def test(p):
        caller, silent = await p.caller(), await p.caller()
        caller.setup(call_id(1))
        await until(lambda: is_released(caller, call_id(1)))
        text = setup_message(call_id(2), within=2500)
        caller.writer.write(text[:20])
        await flush_to_kernel(caller)
        await expect_service_for_others(p)
        suspend(p)
        caller.writer.write(text[20:])
        silent.setup(call_id(3), within=2900)
        await flush_to_kernel(caller, silent)
        await asyncio.sleep(1.7)  # longer than the limits for half a message and for silence
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: is_released(caller, call_id(2)) and is_released(silent, call_id(3)))
        assert caller.kinds(call_id(2)) == silent.kinds(call_id(3)) == [isup.ANSWER, isup.RELEASE]

    run_on_platform(test, tmp_path)
