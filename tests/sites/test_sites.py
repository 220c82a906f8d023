"""The package `sites` without a fleet: settings, health, the limit in sum, what the module is offered."""

from random import Random

import pytest

from thorndale import interface as io
from thorndale.policy import Proxy
from thorndale.sites import health, plan, spill
from thorndale.sites.router import Sites

S = 1_000_000
SETTINGS = {
    "tick_us": 1_000,
    "instances": 4,
    "type_target_us": [1_200_000, 800_000],
    "type_guard_us": [9 * S, 6 * S],
    "type_hold_us": [5 * S, 4 * S],
    "type_revenue": [1.0, 6.0],
    "type_late_part": [0.25, 0.25],
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


def draw(seed):
    return Random(seed).random


# ---- settings ----


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"site_pools": []}, "there is no site"),
        ({"site_pools": [[0], []]}, "site 1 has no trunk group"),
        ({"site_pools": [[0], [1, 0]]}, "trunk group 0 is in sites 0 and 1"),
        ({"site_outside": [1.0]}, "1 figures for 2 sites"),
        ({"site_outside": [1.0, -1.0]}, "site 1 has -1.0"),
        ({"site_outside": [1.0, float("inf")]}, "site 1 has inf"),
        ({"site_order": [[[0], [1]]]}, "1 call types of 2"),
        ({"site_order": [[[0], [1]], [[0]]]}, "call type 1 has 1 origins for 2 sites"),
        ({"site_order": [[[0], []], [[0], [1]]]}, "call type 0 from site 1: names no site"),
        ({"site_order": [[[0, 1, 0], [1]], [[0], [1]]]}, "comes back to a site"),
        ({"site_order": [[[0, 2], [1]], [[0], [1]]]}, "there is no site 2"),
        ({"site_pools": [[0], [2]]}, "no trunk group of site 1 may take this type"),
    ],
)
def test_each_fault_of_the_settings_is_named(change, said):
    with pytest.raises(plan.SitesError, match=said):
        plan.expand(SETTINGS, SITES | change)


def test_the_module_is_handed_the_pools_of_one_site_for_each_type():
    made = plan.expand(SETTINGS, SITES)
    assert made["type_pools"] == [[0], [1, 2], [0], [1]]
    assert made["type_revenue"] == [1.0, 1.0, 6.0, 6.0]
    assert made["type_pools"][plan.index(1, 1, 2)] == [1]


# ---- health ----


def used(site, now, calls, answer=True, apart=10_000):
    """Offers calls one after the other and answers those that go; how many went."""
    went = 0
    for n in range(calls):
        if site.takes(now + n * apart):
            went += 1
            if answer:
                site.answered(now + n * apart, n % 3)
            else:
                site.lost(now + n * apart, n % 3)
    return went


def up(seed=1):
    site = health.Site(draw(seed))
    site.listed(0, [0, 1, 2], {0, 1, 2})
    return site


def test_a_silent_site_is_dark_after_a_few_losses_and_one_with_a_dead_server_is_not():
    site = up()
    assert used(site, 0, 100, answer=False) == 6 and site.state == health.DARK  # two at each server
    partly = up()
    for n in range(500):  # one server of three dies and cuts all its calls at once
        partly.lost(n, 0, health.CUT_PART)
    for n in range(2000):
        if partly.takes(n * 10_000):
            (partly.answered if n % 3 else partly.lost)(n * 10_000, n % 3)
    assert partly.state == health.UP


def test_a_slow_site_is_not_dark_while_it_answers_others():
    site = up()
    for n in range(50):
        now = n * 100_000
        site.answered(now, n % 3)
        site.unanswered(now + 50_000, n % 3, 2 * S)
    assert site.state == health.UP
    for n in range(6):
        site.unanswered(20 * S + n, n % 3, 2 * S)
    assert site.state == health.DARK


def test_a_site_that_answers_and_cuts_every_call_is_dark():
    site, n = up(), 0
    while site.state == health.UP and n < 100:
        site.answered(n * 10_000, n % 3)
        site.lost(n * 10_000 + 5_000, n % 3, health.CUT_PART)
        n += 1
    assert site.state == health.DARK and n < 60


def test_the_list_alone_darkens_a_site_and_brings_trials_at_drawn_moments():
    moments = set()
    for seed in range(50):
        site = up(seed)
        site.listed(10 * S, [], set())
        assert site.state == health.DARK and not site.takes(11 * S) and not site.takes(600 * S)  # none serves there
        site.listed(20 * S, [0, 1, 2], {1})
        moments.add(site.until)
    assert len(moments) == 50 and max(moments) - min(moments) > S // 2 and max(moments) <= 21 * S


def test_the_hold_doubles_while_a_site_flaps_and_is_taken_back_by_use():
    site, now, holds = up(), 0, []
    for _ in range(4):
        used(site, now, 20, answer=False)
        holds.append(site.until - now)
        now = site.until
    assert all(a * 0.9 < b for a, b in zip(holds, holds[1:], strict=False)) and holds[-1] > 4 * holds[0]
    while site.state != health.UP:
        used(site, now, 100)
        now += S
    used(site, now, 10)
    now += 10 * health.CALM_US
    used(site, now, 20, answer=False)
    assert site.until - now <= health.HOLD_US + 20 * 10_000


def test_use_grows_by_what_the_site_answers_and_not_without():
    site = up()
    used(site, 0, 20, answer=False)
    now = site.until
    assert [site.takes(now + n) for n in range(5)] == [True, False, False, False, False]
    site.answered(now + 10, 0)
    assert sum(site.takes(now + 20 + n) for n in range(5)) == 2
    site.answered(now + 30, 1)
    site.answered(now + 31, 2)
    assert sum(site.takes(now + 40 + n) for n in range(9)) == 4
    assert sum(site.takes(now + 50 + n) for n in range(9)) == 0
    site.unsent()  # the module sent one of them nowhere
    assert sum(site.takes(now + 60 + n) for n in range(9)) == 1
    for n in range(6):
        site.lost(now + 70 + n, n % 3)
    assert site.state == health.DARK


def test_a_trial_of_which_nothing_is_heard_is_followed_by_another():
    site = up()
    used(site, 0, 20, answer=False)
    now = site.until
    assert sum(site.takes(now + n * 100_000) for n in range(100)) in range(9, 12)


# ---- the limit ----


def offer(spills, part, seconds, rate, chance, revenue=1.0):
    """Offers `rate` calls a second in all, each at a drawn proxy; what was taken by second."""
    taken = [0] * seconds
    for n in range(int(seconds * rate)):
        at = int(n / rate * S)
        spill_ = spills[int(chance() * len(spills))]
        if spill_.takes(10 * S + at, part, revenue):
            taken[at // S] += 1
    return taken


@pytest.mark.parametrize("proxies", [5, 50, 500])
def test_the_sum_keeps_to_the_limit_for_any_number_of_proxies(proxies):
    chance = draw(proxies)
    spills = [spill.Spill(100.0, chance) for _ in range(proxies)]
    taken = offer(spills, 1 / proxies, 30, 340, chance)
    assert 60 < sum(taken[2:]) / 28 < 108 and max(taken[2:]) < 150


@pytest.mark.parametrize("proxies", [5, 500])
def test_a_burst_at_all_proxies_at_once_takes_no_more_than_the_credit(proxies):
    chance = draw(7)
    spills = [spill.Spill(100.0, chance) for _ in range(proxies)]
    took = sum(s.takes(10 * S + n, 1 / proxies, 1.0) for n in range(20) for s in spills)
    assert took <= 100 * spill.CREDIT_US / S * 1.3


def test_highest_revenue_first_and_own_calls_before_those_from_outside():
    chance = draw(3)
    one = spill.Spill(10.0, chance)
    taken = {1.0: 0, 6.0: 0}
    for n in range(6000):
        revenue = 6.0 if n % 16 == 0 else 1.0
        taken[revenue] += one.takes(n * 10_000, 1.0, revenue)
    assert taken[6.0] / 375 > 3 * taken[1.0] / 5625
    for _ in range(100):
        one.own(True)
    assert sum(one.takes(70 * S + n * 10_000, 1.0, 1.0) for n in range(1000)) < 5


def test_a_proxy_that_carries_a_fifth_of_the_calls_has_a_fifth_of_the_limit():
    part = spill.Part(50)
    assert part.value == 1 / 50
    for n in range(100):
        part.told(0, 300.0)
        part.told(1, 100.0)
        part.observe(n * S // 2, 80)
    assert 0.19 < part.value < 0.21


# ---- before the module ----


class Rig:
    def __init__(self, sites=SITES):
        self.now, self.calls = S, 0
        self.core = Sites(1, SETTINGS, sites, Proxy(1, plan.expand(SETTINGS, sites)))
        self.tell(io.Servers(tuple(io.Server(n, n, io.SERVING, 0) for n in range(3)), True, True))

    def tell(self, *events, after=10_000):
        self.now += after
        return [a for a in self.core.handle(self.now, events) if type(a) not in (io.SetTimer, io.Log)]

    def call(self, pool=0, call_type=0, redial=False):
        self.calls += 1
        return self.tell(io.Call(self.calls, call_type, 0, self.calls, 3 * S, pool, redial, False))

    def end(self, outcome, server, final=False, lag=0, call=None):
        return self.tell(io.SeizureEnded(call or self.calls, 0, server, outcome, 0, lag, final, None))

    def darken(self):
        for _ in range(20):
            for action in self.call():
                if type(action) is io.Seize and action.server == 0:
                    self.end(io.UNREACHABLE, 0)
                elif type(action) is io.Seize:
                    return
        raise AssertionError("the site stayed in use")


def test_a_call_goes_to_its_own_site_and_once_that_is_dark_to_the_next():
    rig = Rig()
    assert rig.call() == [io.Seize(1, 0, rig.core.module.calls[1].deadline - rig.now, True)]
    rig.tell(io.Answered(1, 0, 0, 20_000))
    assert rig.call(pool=2)[0].server == 2
    rig.darken()
    rig.call()
    assert rig.core.health[0].state == health.DARK and rig.core.health[1].state == health.UP
    assert rig.core.standing == [1, 0]  # what stands is not moved


def test_what_the_module_sent_nowhere_is_offered_to_the_next_site_and_what_it_sent_is_not():
    rig = Rig()
    rig.tell(io.ServerReport(0, io.Report(0, 100, 0, None), False))  # told empty: the module has no room at site 0
    rig.tell(io.ServerReport(0, io.Report(0, 100, 0, None), False), after=S)
    seen = [action for _ in range(30) for action in rig.call()]
    assert {a.server for a in seen if type(a) is io.Seize} - {0}
    other = Rig()
    other.call()
    said = other.end(io.RESET, 0)
    assert not any(type(a) is io.Seize and a.server != 0 for a in said)


def test_no_site_left_is_one_rejection_at_once_with_a_drawn_come_back_time():
    rig = Rig()
    rig.tell(io.Servers(tuple(io.Server(n, n, io.GONE, 0) for n in range(3)), True, False))
    said = [rig.call() for _ in range(20)]
    assert all(len(s) == 1 and type(s[0]) is io.Reject for s in said)
    times = {s[0].comeback_us for s in said}
    assert len(times) > 15 and all(S <= t <= 2 * S for t in times)
    assert not rig.core.calls and not rig.core.module.calls


def test_one_answer_a_call_and_nothing_kept_through_generated_days():
    """A plain model beside it: each call has one answer, one seizure out, only servers told serving and allowed."""
    for seed in range(40):
        chance, rig, out, owed = Random(seed), Rig(), {}, {}
        serving = {0, 1, 2}
        standing = set()

        def act(actions, out=out, owed=owed, serving=serving):
            for a in actions:
                if type(a) is io.Seize:
                    assert a.call in owed and a.call not in out and a.server in serving
                    assert a.server in SETTINGS["type_pools"][owed[a.call]]
                    out[a.call] = a.server
                elif type(a) in (io.Reject, io.Fail):
                    assert owed.pop(a.call, None) is not None

        for _ in range(300):
            draw_ = chance.random()
            if draw_ < 0.4:
                rig.calls += 1
                call_type = int(chance.random() * 2)
                owed[rig.calls] = call_type
                act(
                    rig.tell(
                        io.Call(
                            rig.calls,
                            call_type,
                            0,
                            chance.randrange(50),
                            3 * S,
                            chance.randrange(-1, 3),
                            chance.random() < 0.2,
                            False,
                        )
                    )
                )
            elif draw_ < 0.75 and out:
                call = chance.choice(sorted(out))
                server = out.pop(call)
                if chance.random() < 0.6 and call in owed:
                    owed.pop(call)
                    standing.add((call, server))
                    act(rig.tell(io.Answered(call, rig.core.module.calls[call].seizure, server, 30_000)))
                else:
                    held = rig.core.module.calls.get(call)
                    outcome = chance.choice((io.FULL, io.EMPTY, io.RESET, io.UNREACHABLE, io.TIMED_OUT))
                    act(
                        rig.tell(
                            io.SeizureEnded(
                                call, held.seizure if held else 0, server, outcome, 0, 2 * S, call not in owed, None
                            )
                        )
                    )
            elif draw_ < 0.85 and standing:
                call, server = standing.pop()
                outcome = io.COMPLETED if chance.random() < 0.7 else io.RESET
                act(rig.tell(io.SeizureEnded(call, 0, server, outcome, 0, 0, True, None)))
            elif draw_ < 0.9:
                server = chance.randrange(3)
                state = chance.choice((io.SERVING, io.SERVING, io.DRAINING, io.GONE))
                (serving.add if state == io.SERVING else serving.discard)(server)
                act(rig.tell(io.Servers((io.Server(server, server, state, 0),), False, False)))
            else:
                act(rig.tell(io.TimerFired(0), after=chance.randrange(1, S)))
        act(rig.tell(io.TimerFired(0), after=20 * S))
        assert not owed
        for call, server in list(out.items()):
            rig.tell(io.SeizureEnded(call, 0, server, io.CANCELLED, 0, 0, True, None))
        for call, server in standing:
            rig.tell(io.SeizureEnded(call, 0, server, io.COMPLETED, 0, 0, True, None))
        assert not rig.core.calls and rig.core.standing == [0, 0]
