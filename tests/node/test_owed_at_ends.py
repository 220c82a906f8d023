"""Answers and releases still owed when a connection or the process ends; real processes on loopback."""

import asyncio
import signal
import time

import pytest
from test_crossings import suspend
from test_node import SETTINGS, call_id, is_released, run_on_platform

from thorndale.platform import isup
from thorndale.standins.loop_stalls import LoopStallMonitor
from thorndale.standins.platform import setup_message, until

KILL_MARGIN_S = 0.7  # SIGKILL comes no earlier after SIGTERM than the longest deadline and this margin
CROSSING_S = 0.05  # time in which a set-up may cross the end of its connection; it is sent again then


def with_deadline(milliseconds):
    kind = SETTINGS["classes"][0] | {"giveUpMs": float(milliseconds)}
    return SETTINGS | {"classes": [kind]}


# Report 6c5084: the end of a call was never reported, as its caller's connection was closed as idle.
def test_a_call_that_lasts_longer_than_the_idle_time_is_released_to_its_caller(tmp_path):
    async def test(p):
        for server in p.servers:
            server.hold_s = 9.5
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call) == [isup.ANSWER])
        await until(lambda: is_released(caller, call) or caller.closed, 12)
        assert caller.kinds(call) == [isup.ANSWER, isup.RELEASE]

    run_on_platform(test, tmp_path)


# Report 6c5084: the first release of a process was sent only on the connection of an unrelated caller.
def test_the_first_release_of_a_process_reaches_its_own_caller_beside_a_later_stranger(tmp_path):
    async def test(p):
        for server in p.servers:
            server.hold_s = 4.0
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call) == [isup.ANSWER])
        await asyncio.sleep(3.5)
        stranger = await p.caller()
        other = stranger.setup(call_id(2))  # this caller knows nothing of the first call
        await until(lambda: stranger.kinds(other) == [isup.ANSWER])
        await until(lambda: not any(call.hex() in server.standing for server in p.servers))
        await until(lambda: is_released(caller, call), 1.05)

    run_on_platform(test, tmp_path)


# A release counted as delivered although its connection ended before the caller had read it.
@pytest.mark.parametrize("ends_after_s", [0.02, 0.2, 0.6])
def test_a_release_whose_connection_ends_unread_comes_by_another(tmp_path, ends_after_s):
    async def test(p):
        for server in p.servers:
            server.hold_s = 0.5
        other = await p.caller()
        known = other.setup(call_id(2))
        await until(lambda: is_released(other, known))
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call) == [isup.ANSWER])
        caller.writer.transport.pause_reading()
        await until(lambda: not any(call.hex() in server.standing for server in p.servers))
        await asyncio.sleep(ends_after_s)
        assert caller.kinds(call) == [isup.ANSWER]
        caller.writer.transport.abort()
        await until(lambda: is_released(other, call), 1.0)

    run_on_platform(test, tmp_path)


# An answer was lost because a later message on the same connection arrived slowly.
def test_a_message_that_comes_slowly_costs_no_answer_owed_on_its_connection(tmp_path):
    async def test(p):
        for server in p.servers:
            server.answer_s = 1.8
        caller = await p.caller()
        first, second = caller.setup(call_id(1), within=2900), call_id(2)
        data = setup_message(second, within=2900)
        caller.writer.write(data[:40])
        await asyncio.sleep(1.7)
        caller.writer.write(data[40:])
        await until(lambda: caller.kinds(first) and caller.kinds(second) or caller.closed, 6)
        assert caller.kinds(first)[:1] == caller.kinds(second)[:1] == [isup.ANSWER]

    run_on_platform(test, tmp_path)


# Answers were lost because their connection could not be read any further.
@pytest.mark.parametrize(
    "malformed", [b"\xff\xff" + b"x" * 40, isup.encode(isup.SETUP, call_id(9)), isup.encode(isup.ANSWER, call_id(9))]
)
def test_a_stream_that_cannot_be_read_further_still_gets_its_answers(tmp_path, malformed):
    async def test(p):
        for server in p.servers:
            server.answer_s = 0.6
        caller = await p.caller()
        calls = [caller.setup(call_id(n), within=2900) for n in range(1, 6)]
        await until(lambda: sum(len(server.seen) for server in p.servers) == 5)
        caller.writer.write(malformed)
        await until(lambda: caller.closed, 4)
        assert all(len(caller.kinds(call)) >= 1 for call in calls), "closed with no answer"
        assert all(
            call.hex() not in s.standing for s in p.servers for call in calls if isup.ANSWER not in caller.kinds(call)
        )

    run_on_platform(test, tmp_path)


# A healthy server was considered failed because it wrote its messages in pieces.
@pytest.mark.parametrize("piece_s", [0.1, 0.3, 0.5])
def test_a_server_that_writes_in_pieces_serves(tmp_path, piece_s):
    async def test(p):
        for server in p.servers:
            server.piece_s, server.hold_s = piece_s, 30
        caller = await p.caller()
        calls = []
        for n in range(20):
            calls.append(caller.setup(call_id(n), within=2900))
            await asyncio.sleep(0.6)
        await until(lambda: all(caller.kinds(call) for call in calls), 5)
        answered = [call for call in calls if caller.kinds(call)[0] == isup.ANSWER]
        assert len(answered) == 20

    run_on_platform(test, tmp_path)


class LoopStalls:
    """Records stalls of this test's own event loop: what arrives during a stall is timed only afterwards."""

    def __init__(self):
        self.spans = []
        self.pulse = LoopStallMonitor(asyncio.get_running_loop(), ["callers"], self._record)

    def _record(self, ended_us, _place, _kind, began_us):
        self.spans.append((int(began_us) / 1e6, ended_us / 1e6))

    def within(self, since, until):
        """Seconds of stall between two times."""
        return sum(max(0.0, min(until, ended) - max(since, began)) for began, ended in self.spans)


async def keep_sending(p, callers, sent, rate=200):
    """Sends set-ups at this rate per second on connections that are open, until cancelled. `sent`: {call: (caller, at)}."""
    number = 1000
    while True:
        open_ = [caller for caller in callers if not caller.closed and not caller.writer.is_closing()]
        if open_:
            caller = open_[number % len(open_)]
            call = caller.setup(call_id(number), within=int(p.settings["classes"][0]["giveUpMs"]))
            sent[call] = caller, time.monotonic()
        number += 1
        await asyncio.sleep(1 / rate)


# A process that was told to end accepted set-ups and was killed before it had answered them.
@pytest.mark.parametrize("deadline_ms", [400, 1500, 3000])
@pytest.mark.parametrize("beside", ["nothing", "a call that stands", "a server that hangs"])
def test_a_process_told_to_end_is_gone_before_the_earliest_kill_with_every_set_up_answered(
    tmp_path, deadline_ms, beside
):
    async def test(p):
        for n, server in enumerate(p.servers):
            server.answer_s, server.hold_s = 0.02 + 0.08 * n, 0.1
        callers = [await p.caller() for _ in range(6)]
        if beside == "a call that stands":
            p.servers[0].hold_s = p.servers[1].hold_s = 60
            established = callers[0].setup(call_id(1), within=deadline_ms)
            await until(lambda: callers[0].kinds(established) == [isup.ANSWER])
            p.servers[0].hold_s = p.servers[1].hold_s = 0.1
        if beside == "a server that hangs":
            p.servers[1].hang = True
        sent = {}
        stalls = LoopStalls()
        sending = asyncio.create_task(keep_sending(p, callers, sent))
        await asyncio.sleep(0.3)
        signalled_at = time.monotonic()
        p.process.send_signal(signal.SIGTERM)
        kill_s = deadline_ms / 1000 + KILL_MARGIN_S
        await until(lambda: p.process.poll() is not None or time.monotonic() > signalled_at + kill_s, 8)
        code, lasted = p.process.poll(), time.monotonic() - signalled_at
        sending.cancel()
        await asyncio.sleep(0.1)
        assert code == 0, f"not gone {lasted:.2f} s after SIGTERM"
        stalls.pulse.stop()
        lost = [(at, caller.closed_at) for call, (caller, at) in sent.items() if not caller.kinds(call)]
        late = [
            (at - signalled_at, end - signalled_at)
            for at, end in lost
            if end - at - stalls.within(at, end) >= CROSSING_S
        ]
        assert not late, (late, stalls.spans)
        accepted_late = [
            c
            for c, (caller, at) in sent.items()
            if at > signalled_at + KILL_MARGIN_S + 0.05 and isup.ANSWER in caller.kinds(c)
        ]
        assert not accepted_late

    run_on_platform(test, tmp_path, settings=with_deadline(deadline_ms))


# Signals that keep arriving while the process ends must not kill it.
def test_signals_in_series_do_not_end_the_process_by_the_signal(tmp_path):
    async def test(p):
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: is_released(caller, call))
        p.process.send_signal(signal.SIGTERM)
        number = 0
        while p.process.poll() is None:
            p.process.send_signal((signal.SIGHUP, signal.SIGTERM)[number % 2])
            number += 1
            await asyncio.sleep(0.002)
        assert p.process.returncode == 0 and number > 100

    run_on_platform(test, tmp_path)


def close_after_answers(server):
    """Makes a server close each connection but its oldest right after the last byte of an answer."""
    send, oldest = server.send, next(iter(server.open))

    def send_and_close(writer, data, in_pieces=False):
        send(writer, data, in_pieces)
        if writer is not oldest and b" INVITE\r\n" in data:
            server.open.discard(writer)
            writer.close()

    server.send = send_and_close


# A call stayed open for ever when its end, on another connection, was read before its answer.
@pytest.mark.parametrize("play_number", range(4))
def test_an_end_that_is_read_before_its_answer_is_reported_to_the_caller(tmp_path, play_number):
    async def test(p):
        caller = await p.caller()
        server = p.servers[0]
        server.answer_s = server.hold_s = 0.15
        calls = [caller.setup(call_id(n), within=2900) for n in range(1, 9)]
        await until(lambda: len(server.seen) == len(calls) and len(server.open) > 1)
        close_after_answers(server)
        suspend(p)
        await asyncio.sleep(0.5)
        p.process.send_signal(signal.SIGCONT)
        await until(lambda: all(is_released(caller, call) for call in calls), 3)

    run_on_platform(test, tmp_path)
