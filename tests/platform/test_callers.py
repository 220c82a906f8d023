"""The order in which caller connections may be closed, compared with its definition under random use."""

import itertools
import random

import pytest

from thorndale.platform.callers import CallerConnections


def expected_order(connections, now, quiet_us):
    """The expected order: connections without an open set-up, unused for `quiet_us`; unproven before proven, and the
    least recently used first within both."""
    found = [c for c in connections.values() if not c.setups and now - c.last_used_at >= quiet_us]
    return [c.key for c in sorted(found, key=lambda c: (c.proven, c.last_used_at))]


@pytest.mark.parametrize("seed", range(6))
def test_the_maintained_order_matches_its_definition(seed):
    rng, connections, keys = random.Random(seed), CallerConnections(), itertools.count()
    for now in range(1, 1500):
        known = [c.key for c in connections.values()]
        event = rng.choice(("add", "use", "prove", "open", "close", "pop", "add", "use"))
        conn = connections.get(rng.choice(known)) if known else None
        if event == "add" or conn is None:
            connections.add(next(keys), now)
        elif event == "use":
            connections.touch(conn, now)
        elif event == "prove":  # a connection is proven by a message, which is a use
            connections.touch(conn, now)
            connections.mark_proven(conn)
        elif event == "open":
            conn.setups["call"] = object()
        elif event == "close":
            conn.setups.clear()
        else:
            assert connections.pop(conn.key) is conn and conn.key not in connections
        quiet_us = rng.choice((0, 50, 400))
        assert list(connections.idle(now, quiet_us)) == expected_order(connections, now, quiet_us)
    assert len(connections) == len(list(connections.values())) > 10


def test_connections_may_be_removed_while_idle_ones_are_iterated():
    connections = CallerConnections()
    for key in range(4):
        connections.add(key, key)
    yielded = []
    for key in connections.idle(10, 0):
        yielded.append(key)
        gone = connections.pop(key)
        connections.touch(gone, 11)
        connections.mark_proven(gone)
    assert yielded == [0, 1, 2, 3] and len(connections) == 0
    assert connections.pop(0) is None and connections.get(0) is None
    with pytest.raises(KeyError):
        connections[0]
