"""Small fleets of real processes in which a share of the set-ups fails, with faults between the proxies. The retries of all
proxies at each server stay within the bound, as counted at the sockets; failure reports on a dead server reach proxies
that have not called it."""

import asyncio
import multiprocessing
import tempfile
from concurrent.futures import ProcessPoolExecutor

import pytest
import uvloop

from thorndale.spread import measure
from thorndale.standins.day import Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import Fault, read_day

S = 1_000_000
ALL = [f"proxy{n}" for n in range(1, 9)]
HALF, BOXES = ALL[:4], ["box1", "box2", "box3"]
FAILING = Fault(3.0, "resets", BOXES, 24.0, 0.25)
DOUBLED = LinkPlan(at=0, to=ALL, seconds=28.0, double=0.5)
CASES = {
    "half deaf": ([FAILING], [DOUBLED, LinkPlan(at=8, to=ALL, seconds=9.0, proxies=HALF, cut=True)]),
    "late and stopped": (
        [FAILING, Fault(16.0, "proxy stopped", ALL[2:4], 4.0)],
        [LinkPlan(at=6, to=ALL, seconds=6.0, delay_ms=3000), LinkPlan(at=14, to=ALL, seconds=12.0, lose=0.1)],
    ),
    "one way, six killed": (
        [FAILING, Fault(14.0, "proxy killed", ALL[:6], 1.0)],
        [LinkPlan(at=6, to=ALL[4:], seconds=6.0, proxies=HALF, way="out", cut=True)],
    ),
    "a box dies": ([Fault(8.0, "hangs", ["box2"], 12.0)], [DOUBLED]),
}


def played(name):
    boxes = [{"name": b, "trunk_group": "g", "setup_ms": 5} for b in BOXES]
    day = read_day(
        {
            "seconds": 28.0,
            "rate": 90.0,
            "proxies": 8,
            "t1_ms": 100,
            "warm_ms": 3000,
            "fleet": True,
            "boxes": boxes,
            "seed": 7,
            "types": [
                {
                    "name": "t",
                    "prefix": "+2",
                    "part": 1.0,
                    "setup_target_ms": 1200,
                    "guard_ms": 9000,
                    "patience_s": 3,
                    "hold_ms": 1000,
                }
            ],
        },
        "test",
    )
    day.faults, day.links = CASES[name]
    with tempfile.TemporaryDirectory() as folder:
        player = Player(day, folder=folder)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            breaks = runner.run(player.play())
        counts, shut = {}, set()
        for proxy in ALL:
            for event in player.events(proxy):
                if event["event"] in ("rights", "words"):
                    counts[(proxy, event["event"])] = event["counts"]
                if event["event"] == "words":
                    shut.update((proxy, box) for box in event["shut"])
    budget = {
        box: ([at - player.began for at in firsts], [at - player.began for at in retries])
        for box, (firsts, retries) in player.auditor.budget.items()
    }
    return breaks, leaks(player), budget, counts, shut, player.relay.passed


@pytest.fixture(scope="module")
def days():
    with ProcessPoolExecutor(4, mp_context=multiprocessing.get_context("spawn")) as pool:
        return dict(zip(CASES, pool.map(played, CASES), strict=True))


def total(counts, kind, key):
    return sum(row[key] for (_, what), row in counts.items() if what == kind)


@pytest.mark.parametrize("name", [name for name in CASES if name != "a box dies"])
def test_all_retries_together_keep_the_bound_with_faulty_links(days, name):
    breaks, left, budget, counts, _, passed = days[name]
    assert not breaks and not left and (passed["lost"] or passed["held"] or passed["delivered"])
    for box, (firsts, retries) in budget.items():
        assert measure.worst_excess(firsts, retries, measure.WINDOW_US)[0] <= 0, (
            box,
            measure.worst_excess(firsts, retries),
        )
        assert measure.worst_excess(firsts, retries)[0] <= 1, (box, measure.worst_excess(firsts, retries))
        assert len(retries) > 10
    assert total(counts, "rights", "given") and total(counts, "rights", "refused")


def test_rights_are_used_while_all_hear_each_other(days):
    _, _, budget, counts, _, _ = days["half deaf"]
    used = [measure.budget_use(firsts, retries, 18 * S, 27 * S) for firsts, retries in budget.values()]
    assert sum(used) / 3 > 0.5, used
    assert total(counts, "rights", "served") > 30


def test_a_box_that_dies_is_known_by_what_others_say(days):
    breaks, left, _, counts, shut, _ = days["a box dies"]
    assert not breaks and not left
    assert total(counts, "words", "heard") > 20 and total(counts, "words", "told") >= 3
    assert len({proxy for proxy, box in shut if box == "box2"}) >= 4 and not {p for p, box in shut if box != "box2"}
