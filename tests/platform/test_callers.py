"""The order in which connections from callers are given up, against its plain definition, under drawn uses."""

import itertools
import random

import pytest

from thorndale.platform.callers import CallerConnections


def defined(connections, now, quiet_us):
    """Without an open set-up and unused for so long; those by which nothing of use came first, the longest unused
    first within both."""
    found = [c for c in connections.values() if not c.open and now - c.used_at >= quiet_us]
    return [c.key for c in sorted(found, key=lambda c: (c.good, c.used_at))]


@pytest.mark.parametrize("seed", range(6))
def test_the_order_kept_is_the_order_defined(seed):
    chance, connections, keys = random.Random(seed), CallerConnections(), itertools.count()
    for now in range(1, 1500):
        known = [c.key for c in connections.values()]
        what = chance.choice(("add", "use", "prove", "open", "close", "pop", "add", "use"))
        conn = connections.get(chance.choice(known)) if known else None
        if what == "add" or conn is None:
            connections.add(next(keys), now)
        elif what == "use":
            connections.use(conn, now)
        elif what == "prove":  # only what has just been used is found to be of use
            connections.use(conn, now)
            connections.prove(conn)
        elif what == "open":
            conn.open["call"] = object()
        elif what == "close":
            conn.open.clear()
        else:
            assert connections.pop(conn.key) is conn and conn.key not in connections
        quiet_us = chance.choice((0, 50, 400))
        assert list(connections.idle(now, quiet_us)) == defined(connections, now, quiet_us)
    assert len(connections) == len(list(connections.values())) > 10


def test_what_is_gone_is_found_no_more_and_may_go_while_idle_ones_are_given_out():
    connections = CallerConnections()
    for key in range(4):
        connections.add(key, key)
    taken = []
    for key in connections.idle(10, 0):
        taken.append(key)
        gone = connections.pop(key)
        connections.use(gone, 11)
        connections.prove(gone)
    assert taken == [0, 1, 2, 3] and len(connections) == 0
    assert connections.pop(0) is None and connections.get(0) is None
    with pytest.raises(KeyError):
        connections[0]
