"""The judge of the soak: for each rule, one sequence of events that breaks it and a similar one that keeps it."""

import pytest

from bench.soak.judge import Judge
from bench.soak.plan import draw

RULES = draw(1).settings["rules"] | {"drainGraceMs": 500.0, "fallMs": 1500.0, "fallMultiple": 2.0}
CALL, SERVER, BODY = "00000001", "s-0000000a", b"body"


@pytest.fixture
def judge():
    made = Judge(RULES, 1)
    made.started(0.0, 0)
    made.ready(0.2, 0)
    return made


def set_up(judge, at=1.0, within_s=1.0, call=CALL):
    connection = judge.opened(at, 0)
    judge.set_up(at, call, connection, within_s)
    return connection


def establish_call(judge, at=1.0):
    connection = set_up(judge, at)
    attempt = judge.attempt(at + 0.01, SERVER, 0, CALL)
    judge.answer_made(CALL, SERVER, BODY)
    judge.attempt_ended(at + 0.02, CALL, attempt, "answered")
    judge.answered(at + 0.03, CALL, BODY)
    return connection


def rules_broken(judge, now=30.0):
    return [violation.rule for violation in judge.finish(now)]


def test_a_call_that_is_answered_and_released_in_time_breaks_nothing(judge):
    establish_call(judge)
    judge.call_ended(2.0, CALL, 0, SERVER, "released", True)
    judge.released(2.9, CALL, 16)
    assert not rules_broken(judge)


@pytest.mark.parametrize(("released_at", "broken"), [(None, ["lost"]), (3.2, ["lost"]), (3.0, [])])
def test_a_release_reaches_the_caller_within_a_second(judge, released_at, broken):
    establish_call(judge)
    judge.call_ended(2.0, CALL, 0, SERVER, "released", True)
    if released_at is not None:
        judge.released(released_at, CALL, 16)
    assert rules_broken(judge) == broken


# Prevents a false violation: a server whose answer crossed the close of its connection holds the call as well.
def test_the_end_at_a_server_whose_answer_never_reached_the_caller_needs_no_release(judge):
    establish_call(judge)
    judge.answer_made(CALL, "s-0000000b", b"crossed")
    judge.call_ended(1.5, CALL, 0, "s-0000000b", "released", True)
    assert not judge.has_pending(1.6) and not rules_broken(judge)
    judge.call_ended(9.0, CALL, 0, SERVER, "released", True)
    assert rules_broken(judge) == ["lost"]


@pytest.mark.parametrize(("released_at", "broken"), [(1.5, ["lost"]), (1.98, []), (2.5, [])])
def test_a_release_before_the_call_ended_is_found(judge, released_at, broken):
    establish_call(judge)
    judge.released(released_at, CALL, 16)
    judge.call_ended(2.0, CALL, 0, SERVER, "released", True)
    assert rules_broken(judge) == broken


def test_a_release_of_a_call_that_never_ended_is_found(judge):
    establish_call(judge)
    judge.released(5.0, CALL, 16)
    assert rules_broken(judge) == ["lost"]


def test_calls_at_an_unreachable_server_may_be_released(judge):
    establish_call(judge)
    judge.link_fault(2.0, 0, SERVER, 8.0)
    judge.released(6.0, CALL, 41)
    assert not rules_broken(judge)


def test_a_release_that_could_not_be_sent_has_eight_seconds(judge):
    establish_call(judge)
    judge.call_ended(2.0, CALL, 0, SERVER, "cut", False)
    judge.released(9.9, CALL, 41)
    assert not rules_broken(judge)


@pytest.mark.parametrize(("closed_at", "broken"), [(None, ["lost"]), (1.5, ["lost"]), (1.04, [])])
def test_a_set_up_without_an_answer_is_lost_unless_it_crossed_the_close(judge, closed_at, broken):
    connection = set_up(judge)
    if closed_at is not None:
        judge.closed(closed_at, connection, "proxy")
    assert rules_broken(judge) == broken


@pytest.mark.parametrize(("sent_at", "broken"), [(5.6, []), (5.8, ["lost"])])
def test_a_set_up_left_unanswered_by_a_kill_is_lost_if_it_came_late_after_sigterm(judge, sent_at, broken):
    judge.run(0, told_at=5.0)
    connection = set_up(judge, sent_at, 3.0)
    judge.run(0, killed_at=6.0)
    judge.ended(6.0, 0, 0, -9)
    judge.closed(6.0, connection, "proxy")
    assert rules_broken(judge) == broken


def test_an_exit_without_a_signal_is_a_crash(judge):
    judge.ended(3.0, 0, 0, 0)
    assert rules_broken(judge) == ["crash"]


@pytest.mark.parametrize("second", ["answered", "released"])
def test_a_second_final_answer_is_found(judge, second):
    set_up(judge)
    judge.answer_made(CALL, SERVER, BODY)
    judge.released(1.1, CALL, 42)
    if second == "answered":
        judge.answered(1.2, CALL, BODY)
    else:
        judge.released(1.2, CALL, 42)
    assert rules_broken(judge) == ["lost"]


def test_the_releases_of_a_call_whose_answer_crossed_its_callers_close_are_no_second_answer(judge):
    connection = set_up(judge)
    judge.attempt_ended(1.1, CALL, judge.attempt(1.05, SERVER, 0, CALL), "answered")
    judge.closed(1.1, connection, "caller")
    judge.call_ended(2.0, CALL, 0, SERVER, "released", True)
    judge.released(2.1, CALL, 16)
    judge.released(2.4, CALL, 16)
    assert not rules_broken(judge)


def test_an_answer_that_no_server_made_is_found(judge):
    set_up(judge)
    judge.answered(1.1, CALL, b"another")
    assert rules_broken(judge) == ["lost"]


@pytest.mark.parametrize(("second_at", "broken"), [(1.2, ["duplicate"]), (1.5, [])])
def test_overlapping_attempts_are_found(judge, second_at, broken):
    set_up(judge)
    first = judge.attempt(1.1, SERVER, 0, CALL)
    second = judge.attempt(second_at, "s-0000000b", 0, CALL)
    judge.attempt_ended(1.5, CALL, first, "refused")
    judge.attempt_ended(1.7, CALL, second, "refused")
    judge.released(1.8, CALL, 41)
    assert rules_broken(judge) == broken


@pytest.mark.parametrize(("at", "broken"), [(1.5, []), (1.6, ["drain"])])
def test_an_attempt_at_a_leaving_server_has_a_grace_period(judge, at, broken):
    judge.server_announced(1.0, 0, SERVER, 1, 1.0)
    set_up(judge, at)
    judge.attempt_ended(at, CALL, judge.attempt(at, SERVER, 0, CALL), "refused")
    judge.released(at + 0.1, CALL, 41)
    assert rules_broken(judge) == broken


@pytest.mark.parametrize(("at", "broken"), [(2.3, []), (2.4, ["left"])])
def test_an_attempt_for_a_caller_that_hung_up_is_found(judge, at, broken):
    set_up(judge, 1.9)
    judge.call_abandoned(2.0, CALL)
    judge.attempt_ended(at, CALL, judge.attempt(at, SERVER, 0, CALL), "cancelled")
    assert rules_broken(judge) == broken


def test_too_many_set_ups_at_a_cold_server_are_found(judge):
    """The replaced server got at most 30 in 1.5 s: with N = 2 x 30 x 0.28, N + 3 x sqrt(N) + 3 = 32.1 may come."""
    for number in range(30):
        call = f"a{number:07x}"
        set_up(judge, 1.0 + number / 100, call=call)
        judge.attempt_ended(1.5, call, judge.attempt(1.0 + number / 100, "s-0000000b", 0, call), "refused")
        judge.released(1.6, call, 41)
    judge.started_cold(3.0, SERVER, "s-0000000b")
    for number in range(40):
        call = f"{number:08x}"
        set_up(judge, 3.0 + number / 1000, call=call)
        judge.attempt_ended(3.5, call, judge.attempt(3.0 + number / 1000, SERVER, 0, call), "refused")
        judge.released(3.6, call, 41)
        if number == 31:
            assert not judge.violations
    assert set(rules_broken(judge)) == {"failback"}


def test_a_seed_draws_the_same_trial_and_another_seed_another():
    assert draw(7) == draw(7) != draw(8)
    plans = [draw(seed) for seed in range(1, 60)]
    assert {plan.proxies for plan in plans} == set(range(3, 9))
    covered = {fault.what for plan in plans for fault in plan.faults}
    from bench.soak.play import FAULTS

    assert covered == set(FAULTS)


@pytest.mark.parametrize(("gap_s", "broken"), [(0.004, ["connections"]), (0.006, [])])
def test_connections_without_a_pause_are_found(judge, gap_s, broken):
    for number in range(210):
        judge.connected(1.0 + number * gap_s, 0, SERVER)
    assert rules_broken(judge) == broken
