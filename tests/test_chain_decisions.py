"""What the module makes of a call that its server carried on, and of refusals from beyond that server."""

import pytest
from kit import MS, Bench, S

from thorndale import interface as io


def carried_on(lag=60 * MS):
    bench = Bench()
    bench.call(0)
    bench.give(io.Onward(bench.next, 0, 0, lag))
    return bench


def kinds(actions):
    return [type(a) for a in actions]


@pytest.mark.parametrize(
    ("outcome", "answer"), [(io.FULL, io.Reject), (io.EMPTY, io.Reject), (io.FAULTY, io.Fail), (io.BUSY, io.Fail)]
)
@pytest.mark.parametrize("marked", [False, True])
def test_a_refusal_after_the_call_was_carried_on_is_final_and_not_the_servers(outcome, answer, marked):
    bench = carried_on()
    actions = bench.give(io.Ended(bench.next, 0, 0, outcome, 2 * S, 3 * S, False, None, marked))
    proxy = bench.proxy
    assert kinds(actions) == [answer]
    assert (proxy.skip_until[0], proxy.empty_until[0], proxy.score[0], proxy.silent[0]) == (0, 0, 0.0, 0)
    assert proxy._wait(0) == 0 and proxy.turned_until == 0
    assert sum(proxy.retries[0]) == 0


def test_a_marked_refusal_needs_no_earlier_word():
    bench = Bench()
    bench.call(0)
    actions = bench.give(io.Ended(bench.next, 0, 0, io.FULL, 0, 60 * MS, False, None, True))
    assert kinds(actions) == [io.Reject] and bench.proxy.skip_until[0] == 0


@pytest.mark.parametrize("outcome", [io.RESET, io.UNREACHABLE, io.TIMED_OUT, io.CANCELLED])
def test_what_is_no_answer_is_the_next_servers_own_whatever_is_said_of_it(outcome):
    bench = Bench()
    bench.call(0)
    actions = bench.give(io.Ended(bench.next, 0, 0, outcome, 0, 2 * S, False, None, True))
    assert actions == []
    assert kinds(bench.later(600 * MS)) == [io.Seize]


def test_time_beyond_the_server_is_not_its_wait():
    bench = carried_on()
    bench.later(2 * S)
    assert bench.proxy._wait(0) == 0 and not bench.proxy.out[0]
    bench.stood(bench.next, 0, lag=2 * S)
    assert bench.proxy._wait(0) == 0 and bench.proxy.lag[0] == 60 * MS
    bench.call(0)
    bench.later(500 * MS)
    bench.give()
    assert bench.proxy._wait(0) == 500 * MS  # of one not carried on it is


def test_a_retry_starts_anew_and_words_on_other_seizures_change_nothing():
    bench = Bench()
    bench.call(0)
    bench.give(io.Onward(bench.next, 5, 0, 10 * MS))  # no such seizure
    bench.give(io.Onward(99, 0, 0, 10 * MS))  # no such call
    assert not bench.proxy.calls[bench.next].onward
    bench.give(io.Onward(bench.next, 0, 0, 10 * MS))
    bench.ended(bench.next, 0, io.RESET)
    assert not bench.proxy.calls[bench.next].onward
    assert kinds(bench.later(600 * MS)) == [io.Seize]
    bench.ended(bench.next, 1, io.FULL, seizure=1)
    assert bench.proxy.skip_until[1] > bench.now
