"""What befalls a link, as a plan without sockets."""

import random

import pytest

from thorndale.standins.links import Line, LinkPlan, overlaps

S = 1_000_000


def line(side="out", seed=1, **plan):
    ends = ("proxy1", "box1") if side == "out" else ("box1", "proxy1")
    return Line([LinkPlan(at=1.0, to=["box1"], seconds=2.0, **plan)], *ends, random.Random(seed).random)


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
    made = line(way, **plan)
    assert made.carry(2 * S, 500) == moments
    assert made.carry(500_000, 500) == [500_000] and made.carry(3 * S, 500) == [3 * S]  # before, and after its end


def test_datagrams_overtake_each_other_and_some_are_lost_the_same_for_the_same_seed():
    sent = [S + 1_000 * n for n in range(1000)]
    made = [line(seed=5, lose=0.1, jitter_ms=50) for _ in range(2)]
    came = [[m for at in sent for m in one.carry(at, 100)] for one in made]
    assert came[0] == came[1] and came[0] != sorted(came[0]) and 850 < len(came[0]) < 950
    assert all(0 <= m - S < 1_100_000 for m in came[0])


def test_a_stream_keeps_its_order_is_silent_while_cut_and_goes_on():
    made = line(cut=True)
    assert made.stream(2 * S, 10) is None and made.heals(2 * S) == 3 * S and made.stream(3 * S, 10) == 3 * S
    slow = line(delay_ms=100, bytes_per_s=1000)
    moments = [slow.stream(S + 1000 * n, 100) for n in range(10)]
    assert moments == sorted(moments) and moments[-1] >= 2 * S
    late = line(delay_ms=500)
    assert [late.stream(2_900_000, 1), late.stream(3_100_000, 1)] == [
        3_400_000,
        3_400_000,
    ]  # never before what went ahead
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


# Guards against faults of links that a rig plans while it plays and that never come.
def test_a_plan_that_is_added_later_holds_too():
    plans = []
    made = Line(plans, "a", "x", lambda: 0.5)
    assert made.stream(S, 10) == S and not made.resets(S)
    plans += [
        LinkPlan(at=2, to=["x"], cut=True),
        LinkPlan(at=4, to=["x"], reset=True),
        LinkPlan(at=2, to=["y"], reset=True),
    ]
    assert made.stream(2 * S, 10) is None and made.resets(4 * S) and not made.resets(2 * S)
