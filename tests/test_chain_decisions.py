"""How the decision module treats a call that its server has carried on, and refusals from beyond that server."""

import pytest
from kit import MS, ProxyDriver, S

from thorndale import interface as io


def carried_on(latency=60 * MS):
    driver = ProxyDriver()
    driver.call(0)
    driver.handle(io.Forwarded(driver.last_call, 0, 0, latency))
    return driver


def kinds(actions):
    return [type(a) for a in actions]


@pytest.mark.parametrize(
    ("outcome", "answer"), [(io.FULL, io.Reject), (io.EMPTY, io.Reject), (io.FAULTY, io.Fail), (io.BUSY, io.Fail)]
)
@pytest.mark.parametrize("marked", [False, True])
def test_a_refusal_after_the_call_was_carried_on_is_final_and_not_counted_against_the_server(outcome, answer, marked):
    driver = carried_on()
    actions = driver.handle(io.SeizureEnded(driver.last_call, 0, 0, outcome, 2 * S, 3 * S, False, None, marked))
    proxy = driver.proxy
    assert kinds(actions) == [answer]
    assert (proxy.skip_until[0], proxy.empty_until[0], proxy.failure_log_odds[0], proxy.unanswered[0]) == (0, 0, 0.0, 0)
    assert proxy._expected_delay(0) == 0 and proxy.redials_refused_until == 0
    assert sum(proxy.retries[0]) == 0


def test_a_marked_refusal_needs_no_earlier_carried_on_event():
    driver = ProxyDriver()
    driver.call(0)
    actions = driver.handle(io.SeizureEnded(driver.last_call, 0, 0, io.FULL, 0, 60 * MS, False, None, True))
    assert kinds(actions) == [io.Reject] and driver.proxy.skip_until[0] == 0


@pytest.mark.parametrize("outcome", [io.RESET, io.UNREACHABLE, io.TIMED_OUT, io.CANCELLED])
def test_an_outcome_without_an_answer_is_the_next_servers_own_even_if_marked_as_from_beyond(outcome):
    driver = ProxyDriver()
    driver.call(0)
    actions = driver.handle(io.SeizureEnded(driver.last_call, 0, 0, outcome, 0, 2 * S, False, None, True))
    assert actions == []
    assert kinds(driver.advance(600 * MS)) == [io.Seize]


def test_time_beyond_the_server_is_not_its_queueing_delay():
    driver = carried_on()
    driver.advance(2 * S)
    assert driver.proxy._expected_delay(0) == 0 and not driver.proxy.in_flight[0]
    driver.answered(driver.last_call, 0, latency=2 * S)
    assert driver.proxy._expected_delay(0) == 0 and driver.proxy.last_latency[0] == 60 * MS
    driver.call(0)
    driver.advance(500 * MS)
    driver.handle()
    assert driver.proxy._expected_delay(0) == 500 * MS  # for a call that was not carried on, it is


def test_a_retry_starts_as_not_carried_on_and_events_of_other_seizures_change_nothing():
    driver = ProxyDriver()
    driver.call(0)
    driver.handle(io.Forwarded(driver.last_call, 5, 0, 10 * MS))  # no such seizure
    driver.handle(io.Forwarded(99, 0, 0, 10 * MS))  # no such call
    assert not driver.proxy.calls[driver.last_call].forwarded
    driver.handle(io.Forwarded(driver.last_call, 0, 0, 10 * MS))
    driver.seizure_ended(driver.last_call, 0, io.RESET)
    assert not driver.proxy.calls[driver.last_call].forwarded
    assert kinds(driver.advance(600 * MS)) == [io.Seize]
    driver.seizure_ended(driver.last_call, 1, io.FULL, seizure=1)
    assert driver.proxy.skip_until[1] > driver.now
