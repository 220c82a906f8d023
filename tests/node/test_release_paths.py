"""Releases of established calls whose caller reaches the proxy by another connection than that of the set-up; real
processes on loopback. The callers do not answer releases, so that each release counts as told where it was written."""

import asyncio
import signal
import time

import pytest
from test_crossings import close_connection, reset_connection, send_malformed
from test_node import call_id, is_released, run_on_platform

from bench.soak.servers import FullQueue
from thorndale.platform import isup
from thorndale.platform.releases import MAX_UNANSWERED
from thorndale.standins.platform import until

RELEASE_S = 1.05  # from the end of a call to its release, while any caller is connected
UNDELIVERED_S = 8.05  # the same if no release could be sent


def name_call(caller, call, server_name):
    """Names a call as established at a server, as callers do on a new connection."""
    caller.setup(call, figures=f"dest:0;width:1;via:-1;at:{server_name}".encode())


async def establish(p, caller, *numbers):
    """Sets up calls that their servers hold. Returns {call: server}."""
    for server in p.servers:
        server.hold_s = 100
    calls = [caller.setup(call_id(number)) for number in numbers]
    await until(lambda: all(caller.kinds(call) == [isup.ANSWER] for call in calls))
    return {call: server for call in calls for server in p.servers if call.hex() in server.standing}


def end_calls(servers_by_call):
    for call, server in servers_by_call.items():
        server.end(call.hex(), 16)


async def leave_releases_unanswered(p):
    """Shows the proxy that callers do not answer releases, so that it does not repeat them."""
    caller = await p.caller()
    calls = await establish(p, caller, *range(900, 900 + MAX_UNANSWERED))
    end_calls(calls)
    await until(lambda: all(is_released(caller, call) for call in calls))
    await asyncio.sleep(1.2)
    await caller.close()


def stay_connected(caller):
    pass


async def disconnect_all(p):
    """Resets every caller's connection and waits until the proxy has read that."""
    for caller in p.callers:
        reset_connection(caller)
    ended = '"event": "connection", "did": "ended"'
    await until(lambda: (p.folder / "log").read_text().count(ended) >= len(p.callers))


async def call_with_waiting_release(p, number=1):
    """A call that ended while no caller was connected."""
    (call, server), *_ = (await establish(p, await p.caller(), number)).items()
    await disconnect_all(p)
    server.end(call.hex(), 16)
    await until(lambda: '"did": "release waits"' in (p.folder / "log").read_text())
    return call, server


# Issue 49: a caller whose connection was reset never got the releases of the calls that it named on a new one.
@pytest.mark.parametrize("leaves", [reset_connection, close_connection, send_malformed, stay_connected])
def test_calls_named_on_a_new_connection_are_released_there(tmp_path, leaves):
    async def test(p):
        await leave_releases_unanswered(p)
        caller = await p.caller()
        calls = await establish(p, caller, 1, 2, 3, 4)
        leaves(caller)
        await asyncio.sleep(0.2)
        successor = await p.caller()
        for call, server in calls.items():
            name_call(successor, call, server.name)
        await asyncio.sleep(0.3)
        end_calls(calls)
        await until(lambda: all(is_released(successor, call) for call in calls), RELEASE_S)
        assert all(successor.kinds(call) == [isup.RELEASE] for call in calls)

    run_on_platform(test, tmp_path)


# A stranger that names a call must not take its release away from the caller that set it up.
def test_a_call_named_by_a_stranger_is_still_released_to_the_caller_of_its_set_up(tmp_path):
    async def test(p):
        await leave_releases_unanswered(p)
        caller = await p.caller()
        calls = await establish(p, caller, 1, 2)
        for _ in range(6):
            stranger = await p.caller()
            for call, server in calls.items():
                name_call(stranger, call, server.name)
        assert await stranger.test()
        end_calls(calls)
        await until(lambda: all(is_released(caller, call) for call in calls), RELEASE_S)

    run_on_platform(test, tmp_path)


# A call that was named while its release waited was held as standing at its server, without end.
def test_a_call_named_while_its_release_waits_is_released_and_not_resumed(tmp_path):
    async def test(p):
        call, server = await call_with_waiting_release(p)
        caller = await p.caller()
        name_call(caller, call, server.name)
        await until(lambda: is_released(caller, call), RELEASE_S)
        await caller.test()
        assert caller.kinds(call) == [isup.RELEASE] and '"did": "taken up"' not in (tmp_path / "log").read_text()

    run_on_platform(test, tmp_path)


# A call whose release was lost with its connection was held as standing when its caller named it again.
@pytest.mark.parametrize("unread_s", [0.5, 1.5])
def test_a_call_named_after_its_release_was_lost_unread_is_released(tmp_path, unread_s):
    async def test(p):
        await leave_releases_unanswered(p)
        caller = await p.caller()
        ((call, server),) = (await establish(p, caller, 1)).items()
        caller.writer.transport.pause_reading()
        server.end(call.hex(), 16)
        await asyncio.sleep(unread_s)
        assert caller.kinds(call) == [isup.ANSWER]
        reset_connection(caller)
        await asyncio.sleep(0.2)
        successor = await p.caller()
        name_call(successor, call, server.name)
        await until(lambda: is_released(successor, call), RELEASE_S)
        await successor.test()
        assert '"did": "taken up"' not in (tmp_path / "log").read_text()

    run_on_platform(test, tmp_path)


def set_up_another(caller):
    caller.setup(call_id(50))


def name_unknown_call(caller):
    name_call(caller, call_id(50), "s-00000077")


def release_another(caller):
    caller.writer.write(isup.release(call_id(2), 16))


def test_connection(caller):
    caller.writer.write(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0")))


test_connection.__test__ = False


def release_the_ended_call(caller):
    caller.writer.write(isup.release(call_id(1), 16))


# A release waited although a caller was connected: only a served set-up sent the waiting releases.
@pytest.mark.parametrize(
    "begins",
    [set_up_another, name_unknown_call, release_another, release_the_ended_call, test_connection, stay_connected],
)
def test_a_waiting_release_is_sent_on_the_next_connection_whatever_its_caller_sends(tmp_path, begins):
    async def test(p):
        first = await p.caller()
        other = await establish(p, first, 2)
        call, _ = await call_with_waiting_release(p)
        assert other
        caller = await p.caller()
        begins(caller)
        await until(lambda: is_released(caller, call), RELEASE_S)
        assert caller.kinds(call) == [isup.RELEASE]

    run_on_platform(test, tmp_path)


# A release that waited was not sent on a connection whose set-up was refused because the process was ending.
def test_a_waiting_release_is_sent_on_a_connection_whose_set_up_is_refused_at_shutdown(tmp_path):
    async def test(p):
        (call, server), *_ = (await establish(p, await p.caller(), 1)).items()
        p.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        await disconnect_all(p)
        server.end(call.hex(), 16)
        await until(lambda: '"did": "release waits"' in (tmp_path / "log").read_text())
        caller = await p.caller()
        refused = caller.setup(call_id(2))
        await until(lambda: is_released(caller, refused) and is_released(caller, call), RELEASE_S)

    run_on_platform(test, tmp_path)


# A release waited behind a connection that is no caller's; a caller that came later must still get it.
def test_a_release_written_to_an_unknown_connection_still_reaches_its_caller(tmp_path):
    async def test(p):
        call, server = await call_with_waiting_release(p)
        stranger = await p.caller()
        assert await stranger.test()
        caller = await p.caller()
        name_call(caller, call, server.name)
        await until(lambda: is_released(caller, call), RELEASE_S)

    run_on_platform(test, tmp_path)


# A release that waited was forgotten 50 ms after it was sent, and was lost if that connection ended too.
def test_a_release_that_waited_is_sent_again_when_its_next_connection_ends_unread(tmp_path):
    async def test(p):
        caller = await p.caller()
        ((call, server),) = (await establish(p, caller, 1)).items()
        caller.writer.transport.pause_reading()
        server.end(call.hex(), 16)
        await asyncio.sleep(0.1)
        reset_connection(caller)
        await asyncio.sleep(1.5)
        unread = await p.caller()
        unread.writer.transport.pause_reading()
        unread.setup(call_id(50))
        await asyncio.sleep(0.2)
        reset_connection(unread)
        last = await p.caller()
        last.setup(call_id(51))
        await until(lambda: is_released(last, call), RELEASE_S)

    run_on_platform(test, tmp_path)


# A connection that was closed to make room carries nothing more; the release of its call goes by another one.
def test_a_call_whose_connection_was_closed_for_room_is_released_on_another(tmp_path):
    async def test(p):
        calls = await establish(p, await p.caller(), 1)
        number = 100
        while not p.callers[1].closed and number < 200:
            other = await p.caller()
            setup = other.setup(call_id(number))
            await until(lambda other=other, setup=setup: other.kinds(setup) == [isup.ANSWER])
            number += 1
        assert p.callers[1].closed
        end_calls(calls)
        (call,) = calls
        await until(lambda: any(is_released(caller, call) for caller in p.callers), RELEASE_S)

    run_on_platform(test, tmp_path, sockets=64)


class Unreachable:
    """Takes the place of a server's listener: drops connection requests, or refuses them."""

    def __init__(self, server, refuses):
        self.server = server
        server.server.close()
        self.full_queue = None if refuses else FullQueue(server.port)

    async def end(self):
        if self.full_queue is not None:
            self.full_queue.close()
        self.server.server = await asyncio.start_server(self.server._on_connection, self.server.host, self.server.port)


async def establish_on_two_connections(p, caller):
    """Sets up calls at one server until one stands on a connection that is not its oldest. Returns (call, server)."""
    server = p.servers[0]
    server.answer_s, server.hold_s = 0.2, 100
    for number in range(1, 20, 4):
        calls = [caller.setup(call_id(number + n)) for n in range(4)]
        await until(lambda calls=calls: all(caller.kinds(call) == [isup.ANSWER] for call in calls))
        connections = {call: server.standing[call.hex()] for call in calls if call.hex() in server.standing}
        if len(set(connections.values())) > 1:
            return next(reversed(connections)), server
    raise AssertionError("all calls stand on one connection")


# A release that was lost with its connection was never asked for again when the next connection did not come up.
@pytest.mark.parametrize("refuses", [False, True])
def test_a_release_lost_with_its_connection_comes_although_the_next_one_does_not_come_up(tmp_path, refuses):
    async def test(p):
        caller = await p.caller()
        call, server = await establish_on_two_connections(p, caller)
        unreachable = Unreachable(server, refuses)
        server.unsent.append(server.release_message(call.hex(), 16))
        server.standing.pop(call.hex()).transport.abort()
        ended = time.monotonic()
        await asyncio.sleep(1.2)  # longer than the time for a connection to come up
        assert len(server.open) > 0, "another connection stays open"
        await unreachable.end()
        await until(lambda: is_released(caller, call), UNDELIVERED_S - (time.monotonic() - ended))

    run_on_platform(test, tmp_path)


async def server_dies(p, call, server):
    await server.stop()


async def list_tells_a_restart(p, call, server):
    pool = p.servers.index(server)
    p.feed.add(2, (int(server.name[2:], 16), server.host, server.port, 0, pool, int(time.time() * 1000)))


async def list_tells_it_gone_and_it_closes(p, call, server):
    p.feed.add(2, (int(server.name[2:], 16), server.host, server.port, 2, p.servers.index(server), 0))
    await asyncio.sleep(0.3)
    server.cut()


async def ends_after_a_long_silence(p, call, server):
    await asyncio.sleep(9.5)  # longer than an unused connection is kept
    server.end(call.hex(), 16)


# The connection on which a call was named must carry its release whatever ends the call, and must not end as idle before.
@pytest.mark.parametrize(
    "ends", [server_dies, list_tells_a_restart, list_tells_it_gone_and_it_closes, ends_after_a_long_silence]
)
def test_a_named_call_is_released_on_its_new_connection_however_it_ends(tmp_path, ends):
    async def test(p):
        await leave_releases_unanswered(p)
        caller = await p.caller()
        ((call, server),) = (await establish(p, caller, 1)).items()
        reset_connection(caller)
        await asyncio.sleep(0.2)
        successor = await p.caller()
        name_call(successor, call, server.name)
        await asyncio.sleep(0.2)
        await ends(p, call, server)
        await until(lambda: is_released(successor, call), RELEASE_S)
        assert successor.kinds(call) == [isup.RELEASE]

    run_on_platform(test, tmp_path)
