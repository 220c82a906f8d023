"""Calls through chains of 1 to 24 hops, the module at each hop. `python -m bench.scale.depth [--out FILE]`

Simulated, in virtual time (`thorndale/emulator/chain.py`): four servers and four proxies a hop.
"""

import argparse
import itertools
import time
from multiprocessing import Pool

from bench.scale import limits, report, target
from thorndale.emulator.chain import DEAD, FAILING, HEALTHY, Chain, ChainPlan

DEPTHS = (1, 2, 4, 8, 16, 24)
LOADS = (0.7, 1.2, 2.0)
FAULTS_TO_LOAD = 1.2  # beyond, what a fault takes is lost among what is turned away anyway
PLAY_MB = 200  # of one play at depth 24


def play(plan):
    began = time.monotonic()
    result = Chain(plan).play()
    offered = max(1, result.offered)
    return {
        "depth": plan.depth,
        "load": plan.load,
        "reports": plan.reports,
        "named_waits": plan.named_waits,
        "fault": plan.fault,
        "redials": plan.redials,
        "marked": plan.origin_marked,
        "seed": plan.seed,
        "offered": result.offered,
        "stood": round(result.answered_fraction(), 4),
        "capacity_used": round(result.used_fraction(), 4),
        "last_hop_setups": round(result.setups_at[-1] / offered, 4),
        "refused_at": result.refused_at,
        "p50_ms": result.time_at(0.5) / 1000,
        "p99_ms": result.time_at(0.99) / 1000,
        "breaks": result.breaks,
        "seconds": round(time.monotonic() - began, 1),
    }


def plans(depths, loads, seeds, marked):
    told = ((False, False), (True, True))
    grid = itertools.product(marked, range(1, seeds + 1), told, (HEALTHY, FAILING, DEAD), loads, depths)
    for mark, seed, (reports, waits), fault, load, depth in grid:
        if fault != HEALTHY and load > FAULTS_TO_LOAD:
            continue
        yield ChainPlan(depth, load, seed, reports=reports, named_waits=waits, fault=fault, origin_marked=mark)
    for mark, seed, depth in itertools.product(marked, range(1, seeds + 1), depths):
        yield ChainPlan(depth, 1.2, seed, redials=2, origin_marked=mark)


def slopes(rows):
    """Calls that stood by the depth, healthy servers."""
    found = []
    for marked, reports, load in sorted({(r["marked"], r["reports"], r["load"]) for r in rows}):
        keys = {"marked": marked, "reports": reports, "load": load, "fault": HEALTHY, "redials": 0}
        own = [r for r in rows if all(r[key] == value for key, value in keys.items())]
        if len({r["depth"] for r in own}) > 3:
            found.append({**keys, **report.slope(own, "depth", "stood", target.DEPTH)})
    return found


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--depths", default=",".join(map(str, DEPTHS)))
    parser.add_argument("--loads", default=",".join(map(str, LOADS)))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--cores", type=int, default=8)
    parser.add_argument("--marked", choices=("no", "yes", "both"), default="both")
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    limits.require(limits.Demand(given.cores, given.cores * PLAY_MB, 0))
    depths, loads = [int(d) for d in given.depths.split(",")], [float(x) for x in given.loads.split(",")]
    marked = {"no": (False,), "yes": (True,), "both": (False, True)}[given.marked]
    jobs = sorted(plans(depths, loads, given.seeds, marked), key=lambda plan: -plan.depth)
    began = time.monotonic()
    with Pool(given.cores) as pool:
        rows = pool.map(play, jobs, chunksize=1)
    report.write("depth", rows, slopes(rows), time.monotonic() - began, given.out)


if __name__ == "__main__":
    report.run(main)
