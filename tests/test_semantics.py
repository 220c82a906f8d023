"""Calls that may not simply be repeated: after which outcomes, where and until when a further attempt is made, and what
the caller is told (the platform's WIRE page, 'Invariants', 2)."""

import random

import pytest
from kit import MS, ProxyDriver, S, settings

from thorndale import interface as io
from thorndale.fields import InputError
from thorndale.policy import NEVER_RAN_OUTCOMES, Proxy
from thorndale.settings import module_settings

SAFE, UNSAFE = io.ALWAYS_REPEATABLE, io.Repetition(io.Semantics.UNSAFE)
WINDOW_US = 800 * MS
OUTCOMES = (io.FULL, io.TIMED_OUT, io.UNREACHABLE, io.RESET, io.CANCELLED, io.NOT_SENT, io.FAULTY, io.EMPTY)


def keyed(group, window_us=WINDOW_US):
    return io.Repetition(io.Semantics.KEYED, group, window_us)


def driver_of(repetition, **other):
    """Four servers: 0 and 1 in pool 0, 2 and 3 in pool 1; 0 and 2 in zone 0, 1 and 3 in zone 1."""
    driver = ProxyDriver(type_repetition=[repetition] * 2, **other)
    driver.list_servers(*[io.Server(n, n // 2, io.SERVING, 0, n % 2) for n in range(4)], whole=True)
    return driver


def end_first_attempt(driver, outcome, **call):
    """The actions after a call's first attempt has ended so, and the server of that attempt."""
    driver.call(**call)
    server = driver.server_of[driver.last_call]
    return driver.seizure_ended(driver.last_call, server, outcome, latency=60 * MS), server


def further(driver, actions):
    """(server of the further attempt or None, kind of the final answer or None)."""
    actions = actions + driver.advance(700 * MS)
    servers = [a.server for a in actions if type(a) is io.Seize]
    answers = [type(a) for a in actions if type(a) in (io.Reject, io.Fail)]
    assert len(servers) + len(answers) == 1, actions
    return (servers or [None])[0], (answers or [None])[0]


# Review case 7: a call of an unsafe class ran a second time after its answer was spoilt.
@pytest.mark.parametrize("outcome", OUTCOMES)
def test_an_unsafe_call_gets_a_further_attempt_only_if_it_certainly_never_ran(outcome):
    driver = driver_of(UNSAFE)
    actions, _ = end_first_attempt(driver, outcome)
    server, answer = further(driver, actions)
    if outcome in NEVER_RAN_OUTCOMES:
        assert server is not None
    else:
        assert server is None and answer is io.Fail, "told that trying again is harmless"


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_a_safe_call_gets_a_further_attempt_after_any_of_these_outcomes(outcome):
    driver = driver_of(SAFE)
    actions, _ = end_first_attempt(driver, outcome)
    assert further(driver, actions)[0] is not None


@pytest.mark.parametrize("group", list(io.KeyedGroup))
@pytest.mark.parametrize("seed", range(8))
def test_a_keyed_call_that_may_have_run_goes_to_servers_of_its_group_only(group, seed):
    driver = driver_of(keyed(group), seed=seed)
    actions, first = end_first_attempt(driver, io.RESET)
    server, answer = further(driver, actions)
    allowed = {io.KeyedGroup.ALL: {0, 1, 2, 3} - {first}, io.KeyedGroup.ZONE: {(first + 2) % 4}}
    allowed[io.KeyedGroup.POOL] = {first ^ 1}
    assert server in allowed[group] and answer is None


@pytest.mark.parametrize(("group", "answer"), [(io.KeyedGroup.ALL, io.Reject), (io.KeyedGroup.ZONE, io.Fail)])
def test_a_keyed_call_that_may_have_run_is_given_back_after_its_window(group, answer):
    driver = driver_of(keyed(group, 400 * MS))
    actions, _ = end_first_attempt(driver, io.RESET)  # the release is awaited for 500 ms
    assert further(driver, actions) == (None, answer)


def test_a_keyed_call_whose_zones_are_unknown_goes_to_no_other_server():
    driver = ProxyDriver(type_repetition=[keyed(io.KeyedGroup.ZONE)] * 2)
    actions, first = end_first_attempt(driver, io.RESET)
    assert further(driver, actions) == (first, None)


def test_the_window_counts_from_the_first_attempt_that_may_have_run():
    driver = driver_of(keyed(io.KeyedGroup.ALL), release_us=0)
    actions, _ = end_first_attempt(driver, io.FULL, answer_within=8 * S)
    actions += driver.advance(100 * MS)
    (second,) = [a for a in actions if type(a) is io.Seize]
    driver.advance(600 * MS)
    third = driver.seizure_ended(driver.last_call, second.server, io.RESET, seizure=1)
    third += driver.advance(200 * MS)
    (seize,) = [a for a in third if type(a) is io.Seize]
    assert seize.timeout_us <= WINDOW_US - 600 * MS, "it could be written after the window"


# Every way to a final answer: each of these was told as "trying again is harmless" after an attempt that may have run.
@pytest.mark.parametrize(
    "change",
    [
        dict(seizures_max=1),
        dict(fleet_rights=True),
        dict(client_quota=[0.0]),
        dict(comeback_told=False),
    ],
)
def test_an_unsafe_call_that_may_have_run_is_never_told_that_trying_again_is_harmless(change):
    driver = driver_of(UNSAFE, **change)
    actions, _ = end_first_attempt(driver, io.RESET)
    assert further(driver, actions) == (None, io.Fail)


def test_a_call_refused_downstream_after_an_attempt_that_may_have_run_fails():
    driver = driver_of(keyed(io.KeyedGroup.POOL), release_us=0)
    actions, first = end_first_attempt(driver, io.RESET)
    server, _ = further(driver, actions)
    refused = driver.handle(io.SeizureEnded(driver.last_call, 1, server, io.FULL, 0, 60 * MS, False, None, True))
    assert server == first ^ 1 and [type(a) for a in refused] == [io.Fail]


def test_an_unsafe_call_that_has_been_sent_nowhere_is_rejected():
    driver = driver_of(UNSAFE, open_max=1)
    assert [type(a) for a in driver.call()] == [io.Reject]


@pytest.mark.parametrize("seed", range(40))
def test_in_generated_days_the_rule_on_duplicate_effects_holds(seed):
    rng = random.Random(seed)
    repetition = (UNSAFE, SAFE, *(keyed(group, 2 * S) for group in io.KeyedGroup))[seed % 5]
    driver, sent, ran = driver_of(repetition, seed=seed, release_us=100 * MS), {}, {}

    def check(actions):
        for action in actions:
            attempts, first = sent.setdefault(action.call, []), ran.get(action.call)
            if type(action) is io.Seize:
                if first is not None and repetition.semantics != io.Semantics.SAFE:
                    server, sent_at = first
                    assert repetition.semantics == io.Semantics.KEYED and driver.now <= sent_at + repetition.window_us
                    assert repetition.group != io.KeyedGroup.ZONE or server % 2 == action.server % 2
                    assert repetition.group != io.KeyedGroup.POOL or server // 2 == action.server // 2
                attempts.append((action.server, driver.now))
            elif type(action) is io.Reject and first is not None:
                assert repetition.semantics != io.Semantics.UNSAFE and repetition.group == io.KeyedGroup.ALL

    for _ in range(150):
        check(driver.call(pool=rng.randrange(2)))
        for call, attempts in list(sent.items()):
            if attempts and call in driver.proxy.calls and driver.proxy.calls[call].seizure == len(attempts) - 1:
                outcome, (server, sent_at) = rng.choice(OUTCOMES), attempts[-1]
                if outcome not in NEVER_RAN_OUTCOMES:
                    ran.setdefault(call, (server, sent_at))
                check(driver.seizure_ended(call, server, outcome, seizure=len(attempts) - 1))
        check(driver.advance(rng.randrange(600) * MS))


BASE = {
    "tickMs": "5",
    "nInstances": "1",
    "classes.count": "1",
    "classes.0.goalTimeMs": "800",
    "classes.0.giveUpMs": "3000",
    "classes.0.worth": "1",
    "familyInfo.guardMs": "500",
    "ceilings.sendCap": "5",
    "ceilings.mostHeld": "100",
    "rules.drainGraceMs": "500",
    "rules.startCapacity": "0.3",
    "rules.warmUpMs": "1000",
    "rules.fallMultiple": "2",
    "rules.fallMs": "1500",
}


def test_the_settings_name_the_semantics():
    assert module_settings(BASE)["type_repetition"] == [SAFE]
    assert module_settings(BASE | {"classes.0.semantics": "unsafe"})["type_repetition"] == [UNSAFE]
    pairs = {"classes.0.semantics": "keyed", "classes.0.group": "cell", "classes.0.windowMs": "2500"}
    assert module_settings(BASE | pairs)["type_repetition"] == [keyed(io.KeyedGroup.POOL, 2_500 * MS)]


@pytest.mark.parametrize(
    ("pairs", "said"),
    [
        ({"classes.0.semantics": "idempotent"}, "'classes.0.semantics' is 'idempotent'"),
        ({"classes.0.semantics": "keyed", "classes.0.windowMs": "5"}, "classes.0.group"),
        ({"classes.0.semantics": "keyed", "classes.0.group": "all"}, "classes.0.windowMs"),
        ({"classes.0.semantics": "keyed", "classes.0.group": "rack", "classes.0.windowMs": "5"}, "classes.0.group"),
    ],
)
def test_semantics_that_cannot_be_read_are_refused(pairs, said):
    with pytest.raises(InputError, match=said):
        module_settings(BASE | pairs)


def test_safe_calls_draw_the_same_random_numbers_as_before():
    """The rule adds no draw, so that decisions on safe calls are the same for the same seed."""
    plain, keyed_calls = (Proxy(7, settings(type_repetition=[r] * 2)) for r in (SAFE, keyed(io.KeyedGroup.ALL)))
    servers = io.Servers(tuple(io.Server(n, n, io.SERVING, 0) for n in range(2)), True, False)
    for proxy in (plain, keyed_calls):
        proxy.handle(S, [servers])
        for call in range(20):
            proxy.handle(S + call, [io.Call(call, 0, 0, 0, 3 * S, 0, False, False)])
    assert plain.random_state == keyed_calls.random_state
