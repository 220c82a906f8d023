"""Planned link faults, without sockets."""

import random

import pytest

from thorndale.standins.links import LinkDirection, LinkPlan, overlaps

S = 1_000_000


def line(side="out", seed=1, **plan):
    ends = ("proxy1", "box1") if side == "out" else ("box1", "proxy1")
    return LinkDirection([LinkPlan(at=1.0, to=["box1"], seconds=2.0, **plan)], *ends, random.Random(seed).random)


@pytest.mark.parametrize(
    "plan, way, moments",
    [
        ({"cut": True}, "out", []),
        ({"cut": True, "way": "back"}, "out", [2 * S]),
        ({"cut": True, "way": "back"}, "back", []),
        ({"delay_ms": 300}, "out", [2 * S + 300_000]),
        ({"double": 1.0}, "out", [2 * S, 2 * S]),
        ({"lose": 1.0}, "back", []),
        ({"reset": True}, "out", []),
        ({"proxies": ["proxy2"], "cut": True}, "out", [2 * S]),
        ({"bytes_per_s": 1000}, "out", [2 * S + 500_000]),
    ],
)
def test_a_datagram_under_each_fault(plan, way, moments):
    direction = line(way, **plan)
    assert direction.carry(2 * S, 500) == moments
    # No fault before the start of the plan, nor from its end on.
    assert direction.carry(500_000, 500) == [500_000] and direction.carry(3 * S, 500) == [3 * S]


def test_datagrams_overtake_each_other_and_some_are_lost_the_same_for_the_same_seed():
    sent = [S + 1_000 * n for n in range(1000)]
    direction = [line(seed=5, lose=0.1, jitter_ms=50) for _ in range(2)]
    delivered = [[m for at in sent for m in one.carry(at, 100)] for one in direction]
    assert delivered[0] == delivered[1] and delivered[0] != sorted(delivered[0]) and 850 < len(delivered[0]) < 950
    assert all(0 <= m - S < 1_100_000 for m in delivered[0])


def test_a_stream_keeps_its_order_is_silent_while_cut_and_goes_on():
    direction = line(cut=True)
    assert (
        direction.stream(2 * S, 10) is None
        and direction.cut_until(2 * S) == 3 * S
        and direction.stream(3 * S, 10) == 3 * S
    )
    slow = line(delay_ms=100, bytes_per_s=1000)
    moments = [slow.stream(S + 1000 * n, 100) for n in range(10)]
    assert moments == sorted(moments) and moments[-1] >= 2 * S
    late = line(delay_ms=500)
    # Bytes without a delay are not delivered before earlier, delayed ones.
    assert [late.stream(2_900_000, 1), late.stream(3_100_000, 1)] == [3_400_000, 3_400_000]
    assert line(reset=True).resets(2 * S) and not line(reset=True).resets(4 * S)


def test_overlaps_are_found_where_they_are():
    a = LinkPlan(at=1, to=["x"], seconds=2, cut=True)
    assert list(overlaps([a, LinkPlan(at=2, to=["x"], cut=True)])) == [(0, 1)]
    for other in (
        LinkPlan(at=3, to=["x"], cut=True),
        LinkPlan(at=2, to=["y"], cut=True),
        LinkPlan(at=2, to=["x"], delay_ms=5),
    ):
        assert not list(overlaps([a, other]))
    ways = [LinkPlan(at=1, to=["x"], way="out", cut=True), LinkPlan(at=1, to=["x"], way="back", cut=True)]
    assert not list(overlaps(ways))


# Prevents a link fault that is planned during the run from being ignored.
def test_a_plan_that_is_added_later_holds_too():
    plans = []
    direction = LinkDirection(plans, "a", "x", lambda: 0.5)
    assert direction.stream(S, 10) == S and not direction.resets(S)
    plans += [
        LinkPlan(at=2, to=["x"], cut=True),
        LinkPlan(at=4, to=["x"], reset=True),
        LinkPlan(at=2, to=["y"], reset=True),
    ]
    assert direction.stream(2 * S, 10) is None and direction.resets(4 * S) and not direction.resets(2 * S)
