"""Told nothing by other proxies, the module acts to the last action as it did before it could be told: the actions of
drawn days' proxies, as one number, against that of the text before (thorndale at "Boxes count the connections")."""

import pytest
from xxhash import xxh64

from thorndale import interface as io
from thorndale.door import Door
from thorndale.emulator.day import Day, S, Trouble
from thorndale.emulator.fleet import Fleet

BEFORE = {
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
        together=True,
        own_us=3_000,
        cross_us=9_000,
    )
    one = frozenset({1})
    return {
        "cold": day._replace(troubles=(Trouble(4 * S, "killed", servers=one), Trouble(8 * S, "restart", servers=one))),
        "dead": day._replace(
            troubles=(
                Trouble(5 * S, "dark", servers=one, told=False),
                Trouble(12 * S, "killed", servers=frozenset({4}), late_us=2 * S),
            )
        ),
        "pressed": day._replace(calls=500.0, lines=400, together=False),
        "errors": day._replace(
            troubles=(Trouble(5 * S, "errors", servers=one), Trouble(9 * S, "slow", servers=frozenset({3}), factor=4.0))
        ),
    }[name]


def decided(action):
    """What is decided by an action: without what it tells for counts and logs."""
    told = {io.Seize: ("first",), io.Reject: ("reason",), io.Fail: ("reason",)}.get(type(action), ())
    return tuple(value for name, value in zip(action._fields, action, strict=True) if name not in told)


def number(day, monkeypatch):
    digest, take, count = xxh64(), Door.take, [0]

    def seen(door, now):
        actions = take(door, now)
        for action in actions:
            count[0] += 1
            digest.update(f"{now} {type(action).__name__} {decided(action)}\n".encode())
        return actions

    monkeypatch.setattr(Door, "take", seen)
    Fleet(day).run()
    assert count[0] > 5000
    return digest.hexdigest()


@pytest.mark.parametrize("name", BEFORE)
def test_alone_it_acts_as_before(name, monkeypatch):
    assert number(day_of(name), monkeypatch) == BEFORE[name]
