"""Calls through chains of 1 to 24 hops with the decision module at each hop: `python -m bench.scale.depth [--out FILE]`

Simulated in virtual time (`thorndale/emulator/chain.py`): four servers and four proxies at each hop.
"""

import argparse
import itertools
import time
from multiprocessing import Pool

from bench.scale import limits, report, target
from thorndale.emulator.chain import DEAD, FAILING, HEALTHY, Chain, ChainPlan

DEPTHS = (1, 2, 4, 8, 16, 24)
LOADS = (0.7, 1.2, 2.0)
MAX_LOAD_WITH_FAULT = 1.2  # above this load, the calls lost to a fault do not show among those refused for overload
RUN_MB = 200  # of one run at depth 24


def run_plan(plan):
    started_at = time.monotonic()
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
        "seconds": round(time.monotonic() - started_at, 1),
    }


def plans(depths, loads, seeds, marked):
    report_modes = ((False, False), (True, True))
    grid = itertools.product(marked, range(1, seeds + 1), report_modes, (HEALTHY, FAILING, DEAD), loads, depths)
    for mark, seed, (reports, waits), fault, load, depth in grid:
        if fault != HEALTHY and load > MAX_LOAD_WITH_FAULT:
            continue
        yield ChainPlan(depth, load, seed, reports=reports, named_waits=waits, fault=fault, origin_marked=mark)
    for mark, seed, depth in itertools.product(marked, range(1, seeds + 1), depths):
        yield ChainPlan(depth, 1.2, seed, redials=2, origin_marked=mark)


def slopes(rows):
    """Fits of the share of answered calls by depth, for healthy servers."""
    fits = []
    for marked, reports, load in sorted({(r["marked"], r["reports"], r["load"]) for r in rows}):
        keys = {"marked": marked, "reports": reports, "load": load, "fault": HEALTHY, "redials": 0}
        matching = [r for r in rows if all(r[key] == value for key, value in keys.items())]
        if len({r["depth"] for r in matching}) > 3:
            fits.append({**keys, **report.slope(matching, "depth", "stood", target.DEPTH)})
    return fits


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--depths", default=",".join(map(str, DEPTHS)))
    parser.add_argument("--loads", default=",".join(map(str, LOADS)))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--cores", type=int, default=8)
    parser.add_argument("--marked", choices=("no", "yes", "both"), default="both")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    limits.require(limits.Demand(args.cores, args.cores * RUN_MB, 0))
    depths, loads = [int(d) for d in args.depths.split(",")], [float(x) for x in args.loads.split(",")]
    marked = {"no": (False,), "yes": (True,), "both": (False, True)}[args.marked]
    jobs = sorted(plans(depths, loads, args.seeds, marked), key=lambda plan: -plan.depth)
    started_at = time.monotonic()
    with Pool(args.cores) as pool:
        rows = pool.map(run_plan, jobs, chunksize=1)
    report.write("depth", rows, slopes(rows), time.monotonic() - started_at, args.out)


if __name__ == "__main__":
    report.run(main)
