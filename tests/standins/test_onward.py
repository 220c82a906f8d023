"""Small chains of real processes: six proxies in three hops, with faults at the last server and on links."""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import pytest

from bench.scale.chain_days import links, play
from thorndale.config.load import ConfigError
from thorndale.standins.script import read_day

BOXES = [{"name": f"box{n}", "trunk_group": "g"} for n in range(4)]
TYPES = [
    {"name": "t", "prefix": "+2", "part": 1.0, "setup_target_ms": 1200, "guard_ms": 9000, "patience_s": 3, "hold_ms": 1}
]


@pytest.fixture(scope="module")
def days():
    jobs = {"marked": (3, 2, "failing", True, 1), "links": (3, 2, "links", True, 1)}
    with ProcessPoolExecutor(2, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = {name: pool.submit(play, *job) for name, job in jobs.items()}
        return {name: future.result() for name, future in futures.items()}


def test_a_failing_last_server_costs_its_own_calls_and_no_hop_before_it(days):
    day = days["marked"]
    assert not day["breaks"] and not day["left"], day
    assert day["stood"] > 0.6 and max(day["setups_per_call"][:-1]) < 1.05, day


def test_lost_late_and_cut_links_break_no_rule_at_any_hop(days):
    day = days["links"]
    assert len(links(3, 2)) == 2 and not day["breaks"] and not day["left"], day
    assert day["stood"] > 0.8, day


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"hops": 3}, "do not make 3 equal hops"),
        ({"hops": 2, "proxies": 2}, "each of 4 boxes needs one proxy"),
        ({"hops": 2, "proxies": 4, "tcp_part": 0.3}, "by UDP alone"),
    ],
)
def test_days_of_several_hops_that_cannot_be_are_named(change, named):
    base = {"seconds": 1, "rate": 1, "boxes": BOXES, "types": TYPES, "proxies": 4, "tcp_part": 0.0}
    with pytest.raises(ConfigError) as fault:
        read_day(base | change, "test")
    assert named in str(fault.value.problems)
