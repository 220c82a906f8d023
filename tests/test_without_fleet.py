"""Without leases or peer reports the decision module acts exactly as it did before it supported them. The actions of
the proxies in random days are hashed and compared with the digests of that earlier version (the commit "Boxes count
the connections"). Names and values of the actions are hashed, so a renamed action class changes a digest."""

import pytest
from xxhash import xxh64

from thorndale import interface as io
from thorndale.emulator.day import Day, S, ScenarioEvent
from thorndale.emulator.fleet import Fleet
from thorndale.module_host import ModuleHost

EXPECTED_DIGESTS = {
    "cold": "c642e9679f646d4d",
    "dead": "2c845e87db570cc4",
    "pressed": "5694ca9e8c6f6299",
    "errors": "c48ae254cec946e6",
}


def day_of(name):
    day = Day(
        seed=5,
        length_us=20 * S,
        proxies=7,
        servers=(3, 3),
        calls=160.0,
        outside=(0.0, 0.0),
        policy="plain",
        one_pool_per_site=True,
        own_site_delay_us=3_000,
        cross_site_delay_us=9_000,
    )
    one = frozenset({1})
    return {
        "cold": day._replace(
            scenario_events=(ScenarioEvent(4 * S, "killed", servers=one), ScenarioEvent(8 * S, "restart", servers=one))
        ),
        "dead": day._replace(
            scenario_events=(
                ScenarioEvent(5 * S, "dark", servers=one, announced=False),
                ScenarioEvent(12 * S, "killed", servers=frozenset({4}), late_us=2 * S),
            )
        ),
        "pressed": day._replace(calls=500.0, lines=400, one_pool_per_site=False),
        "errors": day._replace(
            scenario_events=(
                ScenarioEvent(5 * S, "errors", servers=one),
                ScenarioEvent(9 * S, "slow", servers=frozenset({3}), factor=4.0),
            )
        ),
    }[name]


def decision(action):
    """The fields of an action that are decisions, without those that only serve counts and logs."""
    informative = {io.Seize: ("first",), io.Reject: ("reason",), io.Fail: ("reason",)}.get(type(action), ())
    return tuple(value for name, value in zip(action._fields, action, strict=True) if name not in informative)


def digest_of(day, monkeypatch):
    digest, take, count = xxh64(), ModuleHost.run_batch, [0]

    def recorded(door, now):
        actions = take(door, now)
        for action in actions:
            count[0] += 1
            digest.update(f"{now} {type(action).__name__} {decision(action)}\n".encode())
        return actions

    monkeypatch.setattr(ModuleHost, "run_batch", recorded)
    Fleet(day).run()
    assert count[0] > 5000
    return digest.hexdigest()


@pytest.mark.parametrize("name", EXPECTED_DIGESTS)
def test_alone_it_acts_as_before(name, monkeypatch):
    assert digest_of(day_of(name), monkeypatch) == EXPECTED_DIGESTS[name]
