"""How the decision module uses the fleet's retry leases and peer failure reports, and that it ignores a lease that it
did not request."""

import pytest
from kit import MS, ProxyDriver, S

from thorndale import interface as io
from thorndale.policy import FAILED_LOG_ODDS


def fail_first_setup(driver, outcome=io.FULL):
    """A call whose first set-up fails: the actions that follow."""
    driver.call()
    return driver.seizure_ended(driver.last_call, 0, outcome, latency=2 * S)


def test_a_lease_is_requested_for_a_retry_which_goes_at_its_time_once_granted():
    driver = ProxyDriver(fleet_rights=True)
    (request,) = fail_first_setup(driver)
    assert (
        type(request) is io.RequestLease
        and request.server == 1
        and driver.now <= request.resume_us <= driver.now + 50 * MS
    )
    assert driver.handle(io.RetryLease(request.call, driver.now + 200 * MS)) == []
    (seize,) = driver.advance(60 * MS)
    assert type(seize) is io.Seize and seize.server == 1 and not seize.first


def test_a_lease_granted_after_the_planned_time_sends_the_retry_at_once_and_an_expired_one_does_not():
    for late, kind in ((100 * MS, io.Seize), (300 * MS, io.Reject)):
        driver = ProxyDriver(fleet_rights=True)
        (request,) = fail_first_setup(driver)
        until = driver.now + 200 * MS
        # Without an answer the retry waits; the fleet package answers in bounded time.
        assert driver.advance(late) == []
        (action,) = driver.handle(io.RetryLease(request.call, until))
        assert type(action) is kind


def test_a_refused_lease_gives_the_final_answer_at_once():
    driver = ProxyDriver(fleet_rights=True)
    (request,) = fail_first_setup(driver, io.TIMED_OUT)  # without the refusal it would wait for the release
    (action,) = driver.handle(io.RetryLease(request.call, 0))
    assert type(action) is io.Reject and action.comeback_us > 0
    assert driver.handle(io.RetryLease(request.call, driver.now + S)) == [] and driver.advance(S) == []


def test_a_lease_for_a_call_that_requested_none_has_no_effect():
    driver = ProxyDriver(fleet_rights=True)
    driver.call()
    assert driver.handle(io.RetryLease(driver.last_call, driver.now + S), io.RetryLease(999, 0)) == []
    single = ProxyDriver()
    assert fail_first_setup(single) == [] and single.handle(io.RetryLease(single.last_call, 0)) == []
    assert [type(a) for a in single.advance(60 * MS)] == [io.Seize]


def test_a_call_whose_lease_is_never_answered_fails_at_its_deadline():
    driver = ProxyDriver(fleet_rights=True)
    assert len(fail_first_setup(driver)) == 1
    assert [type(a) for a in driver.advance(4 * S)] == [io.Fail]


def test_the_proxys_own_budget_is_checked_first():
    driver = ProxyDriver(fleet_rights=True)
    requests = [fail_first_setup(driver) for _ in range(5)]
    assert [type(row[0]) for row in requests] == [io.RequestLease] * 3 + [io.Reject] * 2
    assert [a.first for row in (driver.call(),) for a in row if type(a) is io.Seize] == [True]


def test_peer_failure_reports_bar_a_server_until_this_proxy_gets_an_answer():
    driver = ProxyDriver()
    driver.handle(io.PeerFailureReport(0, FAILED_LOG_ODDS - 0.1))
    assert driver.call()[0].server == 0
    driver.seizure_ended(driver.last_call, 0, io.UNREACHABLE)  # one loss of this proxy's own completes the evidence
    assert driver.call()[0].server == 1
    driver.answered(driver.last_call, 1)
    driver.handle(io.PeerFailureReport(0, 7.0))
    assert driver.call()[0].server == 1 and driver.proxy.peer_log_odds[0] == 7.0
    driver.advance(60 * S)  # no trial by this proxy while peers report it as fail_first_setup
    assert driver.call()[0].server == 1
    driver.handle(io.PeerFailureReport(0, 0.0))
    assert driver.call()[0].server == 0
    driver.handle(io.PeerFailureReport(0, 7.0))
    driver.answered(driver.last_call, 0)
    assert driver.proxy.peer_log_odds[0] == 0 and driver.call()[0].server == 0


def test_peer_failure_reports_never_bar_the_last_server_and_end_with_a_new_process():
    driver = ProxyDriver()
    driver.handle(io.PeerFailureReport(0, 8.0), io.PeerFailureReport(1, 80.0))
    assert driver.call()[0].server == 0 and driver.proxy.peer_log_odds[1] <= 8.0
    driver.list_servers(io.Server(0, 0, io.SERVING, driver.now - 60 * S))
    assert driver.proxy.peer_log_odds[0] == 0 and driver.call()[0].server == 0


@pytest.mark.parametrize("server", [0, 5])
def test_a_peer_failure_report_on_a_server_not_yet_listed_is_kept(server):
    driver = ProxyDriver(servers=2)
    driver.handle(io.PeerFailureReport(server, 5.0))
    assert driver.proxy.peer_log_odds[server] == 5.0 and driver.call()[0].server in (0, 1)
