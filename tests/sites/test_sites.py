"""The package `sites` without a fleet: settings, health, the total overflow limit, what the module is offered."""

from random import Random

import pytest

from thorndale import interface as io
from thorndale.policy import Proxy
from thorndale.sites import health, overflow, topology
from thorndale.sites.router import SiteRouter

S = 1_000_000
SETTINGS = {
    "tick_us": 1_000,
    "instances": 4,
    "type_target_us": [1_200_000, 800_000],
    "type_guard_us": [9 * S, 6 * S],
    "type_hold_us": [5 * S, 4 * S],
    "type_revenue": [1.0, 6.0],
    "type_late_part": [0.25, 0.25],
    "type_repetition": [io.ALWAYS_REPEATABLE] * 2,
    "type_pools": [[0, 1, 2], [0, 1]],
    "client_quota": [],
    "over_quota_part": 1.0,
    "release_us": 500_000,
    "resend_us": 0,
    "seizures_max": 5,
    "open_max": 1000,
    "may_cancel": True,
    "comeback_told": True,
    "comeback_max_us": 2 * S,
    "drain_grace_us": 500_000,
    "start_capacity": 0.3,
    "warm_up_us": 10 * S,
    "fall_multiple": 2.0,
    "fall_us": 1_500_000,
    "list_asked": False,
    "fleet_rights": False,
}
SITES = {"site_pools": [[0], [1, 2]], "site_order": [[[0, 1], [1, 0]], [[0, 1], [1, 0]]], "site_outside": [50.0, 50.0]}


def random_source(seed):
    return Random(seed).random


# ---- settings ----


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"site_pools": []}, "no site is defined"),
        ({"site_pools": [[0], []]}, "site 1 has no trunk group"),
        ({"site_pools": [[0], [1, 0]]}, "trunk group 0 is in sites 0 and 1"),
        ({"site_outside": [1.0]}, "1 values for 2 sites"),
        ({"site_outside": [1.0, -1.0]}, "site 1 has -1.0"),
        ({"site_outside": [1.0, float("inf")]}, "site 1 has inf"),
        ({"site_order": [[[0], [1]]]}, "1 rows for 2 call types"),
        ({"site_order": [[[0], [1]], [[0]]]}, "call type 1 has 1 origins for 2 sites"),
        ({"site_order": [[[0], []], [[0], [1]]]}, "call type 0 from site 1: names no site"),
        ({"site_order": [[[0, 1, 0], [1]], [[0], [1]]]}, "names a site twice"),
        ({"site_order": [[[0, 2], [1]], [[0], [1]]]}, "site 2 does not exist"),
        ({"site_pools": [[0], [2]]}, "no trunk group of site 1 accepts this type"),
    ],
)
def test_each_error_in_the_settings_is_named(change, message):
    with pytest.raises(topology.SitesError, match=message):
        topology.expand_settings(SETTINGS, SITES | change)


def test_the_module_gets_the_pools_of_one_site_for_each_type():
    expanded = topology.expand_settings(SETTINGS, SITES)
    assert expanded["type_pools"] == [[0], [1, 2], [0], [1]]
    assert expanded["type_revenue"] == [1.0, 1.0, 6.0, 6.0]
    assert expanded["type_pools"][topology.type_at_site(1, 1, 2)] == [1]


# ---- health ----


def offer_calls(site, now, calls, answer=True, interval_us=10_000):
    """Offers calls one after the other and answers, or loses, those that are admitted; returns their number."""
    admitted = 0
    for n in range(calls):
        if site.admit(now + n * interval_us):
            admitted += 1
            if answer:
                site.record_answer(now + n * interval_us, n % 3)
            else:
                site.record_loss(now + n * interval_us, n % 3)
    return admitted


def site_in_use(seed=1):
    site = health.SiteHealth(random_source(seed))
    site.update_servers(0, [0, 1, 2], {0, 1, 2})
    return site


def test_an_unresponsive_site_is_dark_after_a_few_losses_and_one_with_a_dead_server_is_not():
    site = site_in_use()
    assert offer_calls(site, 0, 100, answer=False) == 6 and site.state == health.DARK  # two at each server
    degraded = site_in_use()
    for n in range(500):  # one server of three dies and cuts all its calls at once
        degraded.record_loss(n, 0, health.CUT_CALL_WEIGHT)
    for n in range(2000):
        if degraded.admit(n * 10_000):
            (degraded.record_answer if n % 3 else degraded.record_loss)(n * 10_000, n % 3)
    assert degraded.state == health.UP


def test_a_slow_site_is_not_dark_while_it_answers_others():
    site = site_in_use()
    for n in range(50):
        now = n * 100_000
        site.record_answer(now, n % 3)
        site.record_timeout(now + 50_000, n % 3, 2 * S)
    assert site.state == health.UP
    for n in range(6):
        site.record_timeout(20 * S + n, n % 3, 2 * S)
    assert site.state == health.DARK


def test_a_site_that_answers_and_cuts_every_call_is_dark():
    site, n = site_in_use(), 0
    while site.state == health.UP and n < 100:
        site.record_answer(n * 10_000, n % 3)
        site.record_loss(n * 10_000 + 5_000, n % 3, health.CUT_CALL_WEIGHT)
        n += 1
    assert site.state == health.DARK and n < 60


def test_the_list_alone_makes_a_site_dark_and_starts_trials_at_random_moments():
    moments = set()
    for seed in range(50):
        site = site_in_use(seed)
        site.update_servers(10 * S, [], set())
        # No server is serving there.
        assert site.state == health.DARK and not site.admit(11 * S) and not site.admit(600 * S)
        site.update_servers(20 * S, [0, 1, 2], {1})
        moments.add(site.dark_until)
    assert len(moments) == 50 and max(moments) - min(moments) > S // 2 and max(moments) <= 21 * S


def test_the_hold_doubles_while_a_site_flaps_and_shrinks_with_use():
    site, now, holds = site_in_use(), 0, []
    for _ in range(4):
        offer_calls(site, now, 20, answer=False)
        holds.append(site.dark_until - now)
        now = site.dark_until
    assert all(a * 0.9 < b for a, b in zip(holds, holds[1:], strict=False)) and holds[-1] > 4 * holds[0]
    while site.state != health.UP:
        offer_calls(site, now, 100)
        now += S
    offer_calls(site, now, 10)
    now += 10 * health.HOLD_DECAY_US
    offer_calls(site, now, 20, answer=False)
    assert site.dark_until - now <= health.FIRST_HOLD_US + 20 * 10_000


def test_use_grows_with_the_answers_of_the_site_only():
    site = site_in_use()
    offer_calls(site, 0, 20, answer=False)
    now = site.dark_until
    assert [site.admit(now + n) for n in range(5)] == [True, False, False, False, False]
    site.record_answer(now + 10, 0)
    assert sum(site.admit(now + 20 + n) for n in range(5)) == 2
    site.record_answer(now + 30, 1)
    site.record_answer(now + 31, 2)
    assert sum(site.admit(now + 40 + n) for n in range(9)) == 4
    assert sum(site.admit(now + 50 + n) for n in range(9)) == 0
    site.return_grant()  # the module did not send one of them
    assert sum(site.admit(now + 60 + n) for n in range(9)) == 1
    for n in range(6):
        site.record_loss(now + 70 + n, n % 3)
    assert site.state == health.DARK


def test_a_trial_whose_outcome_is_never_reported_is_followed_by_another():
    site = site_in_use()
    offer_calls(site, 0, 20, answer=False)
    now = site.dark_until
    assert sum(site.admit(now + n * 100_000) for n in range(100)) in range(9, 12)


# ---- the overflow limit ----


def offer(limits, share, seconds, rate, random, revenue=1.0):
    """Offers `rate` calls a second in all, each at a random proxy; returns the admitted calls by second."""
    admitted = [0] * seconds
    for n in range(int(seconds * rate)):
        at = int(n / rate * S)
        limit = limits[int(random() * len(limits))]
        if limit.admit(10 * S + at, share, revenue):
            admitted[at // S] += 1
    return admitted


@pytest.mark.parametrize("proxies", [5, 50, 500])
def test_the_sum_keeps_to_the_limit_for_any_number_of_proxies(proxies):
    random = random_source(proxies)
    limits = [overflow.OverflowLimit(100.0, random) for _ in range(proxies)]
    admitted = offer(limits, 1 / proxies, 30, 340, random)
    assert 60 < sum(admitted[2:]) / 28 < 108 and max(admitted[2:]) < 150


@pytest.mark.parametrize("proxies", [5, 500])
def test_a_burst_at_all_proxies_at_once_uses_no_more_than_the_credit(proxies):
    random = random_source(7)
    limits = [overflow.OverflowLimit(100.0, random) for _ in range(proxies)]
    admitted = sum(s.admit(10 * S + n, 1 / proxies, 1.0) for n in range(20) for s in limits)
    assert admitted <= 100 * overflow.MAX_CREDIT_US / S * 1.3


def test_highest_revenue_first_and_own_calls_before_those_from_outside():
    random = random_source(3)
    limit = overflow.OverflowLimit(10.0, random)
    admitted = {1.0: 0, 6.0: 0}
    for n in range(6000):
        revenue = 6.0 if n % 16 == 0 else 1.0
        admitted[revenue] += limit.admit(n * 10_000, 1.0, revenue)
    assert admitted[6.0] / 375 > 3 * admitted[1.0] / 5625
    for _ in range(100):
        limit.record_own_call(True)
    assert sum(limit.admit(70 * S + n * 10_000, 1.0, 1.0) for n in range(1000)) < 5


def test_a_proxy_that_carries_a_fifth_of_the_calls_has_a_fifth_of_the_limit():
    share = overflow.FleetShare(50)
    assert share.value == 1 / 50
    for n in range(100):
        share.report_lines(0, 300.0)
        share.report_lines(1, 100.0)
        share.update(n * S // 2, 80)
    assert 0.19 < share.value < 0.21


# ---- in front of the module ----


class Rig:
    def __init__(self, sites=SITES):
        self.now, self.calls = S, 0
        self.core = SiteRouter(1, SETTINGS, sites, Proxy(1, topology.expand_settings(SETTINGS, sites)))
        self.send(io.Servers(tuple(io.Server(n, n, io.SERVING, 0) for n in range(3)), True, True))

    def send(self, *events, after=10_000):
        self.now += after
        return [a for a in self.core.handle(self.now, events) if type(a) not in (io.SetTimer, io.Log)]

    def call(self, pool=0, call_type=0, redial=False):
        self.calls += 1
        return self.send(io.Call(self.calls, call_type, 0, self.calls, 3 * S, pool, redial, False))

    def end(self, outcome, server, final=False, lag=0, call=None):
        return self.send(io.SeizureEnded(call or self.calls, 0, server, outcome, 0, lag, final, None))

    def make_dark(self):
        for _ in range(20):
            for action in self.call():
                if type(action) is io.Seize and action.server == 0:
                    self.end(io.UNREACHABLE, 0)
                elif type(action) is io.Seize:
                    return
        raise AssertionError("the site did not go dark")


def test_a_call_goes_to_its_own_site_and_once_that_is_dark_to_the_next():
    rig = Rig()
    assert rig.call() == [io.Seize(1, 0, rig.core.module.calls[1].deadline - rig.now, True)]
    rig.send(io.Answered(1, 0, 0, 20_000))
    assert rig.call(pool=2)[0].server == 2
    rig.make_dark()
    rig.call()
    assert rig.core.health[0].state == health.DARK and rig.core.health[1].state == health.UP
    assert rig.core.established == [1, 0]  # established calls are not moved


def test_a_call_that_the_module_did_not_send_is_offered_to_the_next_site_and_one_that_it_sent_is_not():
    rig = Rig()
    rig.send(
        io.ServerReport(0, io.Report(0, 100, 0, None), False)
    )  # no free lines: the module has no capacity at site 0
    rig.send(io.ServerReport(0, io.Report(0, 100, 0, None), False), after=S)
    actions = [action for _ in range(30) for action in rig.call()]
    assert {a.server for a in actions if type(a) is io.Seize} - {0}
    other = Rig()
    other.call()
    other_actions = other.end(io.RESET, 0)
    assert not any(type(a) is io.Seize and a.server != 0 for a in other_actions)


def test_without_any_site_a_call_is_rejected_once_and_at_once_with_a_random_come_back_time():
    rig = Rig()
    rig.send(io.Servers(tuple(io.Server(n, n, io.GONE, 0) for n in range(3)), True, False))
    replies = [rig.call() for _ in range(20)]
    assert all(len(s) == 1 and type(s[0]) is io.Reject for s in replies)
    times = {s[0].comeback_us for s in replies}
    assert len(times) > 15 and all(S <= t <= 2 * S for t in times)
    assert not rig.core.calls and not rig.core.module.calls


def test_each_call_gets_one_answer_and_no_state_remains_after_random_event_sequences():
    """Checks against a simple model: each call gets one final answer and has one outstanding seizure at a time, at a
    server that is listed as serving and allowed for its type."""
    for seed in range(40):
        rng, rig, seized_at, unanswered = Random(seed), Rig(), {}, {}
        serving = {0, 1, 2}
        established = set()

        def check_actions(actions, seized_at=seized_at, unanswered=unanswered, serving=serving):
            for a in actions:
                if type(a) is io.Seize:
                    assert a.call in unanswered and a.call not in seized_at and a.server in serving
                    assert a.server in SETTINGS["type_pools"][unanswered[a.call]]
                    seized_at[a.call] = a.server
                elif type(a) in (io.Reject, io.Fail):
                    assert unanswered.pop(a.call, None) is not None

        for _ in range(300):
            event_draw = rng.random()
            if event_draw < 0.4:
                rig.calls += 1
                call_type = int(rng.random() * 2)
                unanswered[rig.calls] = call_type
                check_actions(
                    rig.send(
                        io.Call(
                            rig.calls,
                            call_type,
                            0,
                            rng.randrange(50),
                            3 * S,
                            rng.randrange(-1, 3),
                            rng.random() < 0.2,
                            False,
                        )
                    )
                )
            elif event_draw < 0.75 and seized_at:
                call = rng.choice(sorted(seized_at))
                server = seized_at.pop(call)
                if rng.random() < 0.6 and call in unanswered:
                    unanswered.pop(call)
                    established.add((call, server))
                    check_actions(rig.send(io.Answered(call, rig.core.module.calls[call].seizure, server, 30_000)))
                else:
                    pending = rig.core.module.calls.get(call)
                    outcome = rng.choice((io.FULL, io.EMPTY, io.RESET, io.UNREACHABLE, io.TIMED_OUT))
                    check_actions(
                        rig.send(
                            io.SeizureEnded(
                                call,
                                pending.seizure if pending else 0,
                                server,
                                outcome,
                                0,
                                2 * S,
                                call not in unanswered,
                                None,
                            )
                        )
                    )
            elif event_draw < 0.85 and established:
                call, server = established.pop()
                outcome = io.COMPLETED if rng.random() < 0.7 else io.RESET
                check_actions(rig.send(io.SeizureEnded(call, 0, server, outcome, 0, 0, True, None)))
            elif event_draw < 0.9:
                server = rng.randrange(3)
                state = rng.choice((io.SERVING, io.SERVING, io.DRAINING, io.GONE))
                (serving.add if state == io.SERVING else serving.discard)(server)
                check_actions(rig.send(io.Servers((io.Server(server, server, state, 0),), False, False)))
            else:
                check_actions(rig.send(io.TimerFired(0), after=rng.randrange(1, S)))
        check_actions(rig.send(io.TimerFired(0), after=20 * S))
        assert not unanswered
        for call, server in list(seized_at.items()):
            rig.send(io.SeizureEnded(call, 0, server, io.CANCELLED, 0, 0, True, None))
        for call, server in established:
            rig.send(io.SeizureEnded(call, 0, server, io.COMPLETED, 0, 0, True, None))
        assert not rig.core.calls and rig.core.established == [0, 0]
