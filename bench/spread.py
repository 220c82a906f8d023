"""Load balance in the emulator: strategies for choosing a pool's server, on the same seeds, and on days with faults.

    python -m bench.spread ways [--seeds 8] [--proxies 200] [--unlike] [--out FILE]   # all strategies, no fault
    python -m bench.spread numbers [--seeds 3]                                # 1 to 500 proxies, all strategies
    python -m bench.spread faults [--seeds 200]                               # random faults, all strategies

All figures are simulated. Writes a row for each run to --out.
"""

import argparse
import json
import os
import statistics
import time
from multiprocessing import Pool
from random import Random

from thorndale.emulator.day import Day, LinkFault, S, ScenarioEvent
from thorndale.emulator.fleet import WORK, Fleet
from thorndale.emulator.selection import SELECTION_POLICIES
from thorndale.spread import measure

POOLS, SERVERS_PER_POOL = 4, 6
CALLS_PER_S = 600.0
WORK_PER_CALL_US = WORK.setup_us + WORK.answer_us + WORK.release_us  # at a server of size 1
LEARNED_AFTER_S = 120  # time to learn the server shares, left out of the figures for servers of unequal sizes
UNEQUAL_SIZES = (1.0, 1.0, 2.0, 2.0, 3.0, 3.0)


def base_day(seed, strategy, proxies, seconds, unlike, pools=POOLS, each=SERVERS_PER_POOL, rate=CALLS_PER_S, load=0.7):
    """A day without faults, with servers sized so that the calls use the fraction `load` of their capacity."""
    sizes = (UNEQUAL_SIZES * each)[:each] * pools if unlike else (1.0,) * (each * pools)
    scale = rate * WORK_PER_CALL_US / S / load / sum(sizes)
    return Day(
        seed=seed,
        length_us=seconds * S,
        proxies=proxies,
        servers=(each,) * pools,
        calls=rate,
        outside=(0.0,) * pools,
        policy="plain",
        one_pool_per_site=True,
        sizes=tuple(s * scale for s in sizes),
        lines=2000,
        selection=strategy,
        unequal_proxies=proxies > 3,
        start_us=S if proxies > 1 else 0,
        own_site_delay_us=6_000,
        cross_site_delay_us=6_000,
    )


def pools_of(day):
    first, pools = 0, []
    for count in day.servers:
        pools.append(list(range(first, first + count)))
        first += count
    return pools


def measure_day(day, skip_s=0):
    began = time.perf_counter()
    played = Fleet(day).run()
    rows = [row[skip_s:] for row in played.setups]
    balance = measure.balance(rows, pools_of(day), list(day.sizes))
    setup_times_us = played.waits_us
    return {
        "variance": round(balance.variance, 3),
        "least": round(balance.least, 3),
        "most": round(balance.most, 3),
        "idle": len(balance.idle),
        "peak": round(balance.peak, 3),
        "share": round(played.earned_fraction(), 4),
        "p50_ms": setup_times_us[len(setup_times_us) // 2] / 1000,
        "p99_ms": setup_times_us[int(len(setup_times_us) * 0.99)] / 1000,
        "breaks": played.breaks,
        "calls": played.calls,
        "rejected": played.rejected,
        "wall_s": round(time.perf_counter() - began, 1),
    }, played


def run_strategy(job):
    seed, strategy, proxies, unlike, seconds = job
    row, _ = measure_day(base_day(seed, strategy, proxies, seconds, unlike), LEARNED_AFTER_S if unlike else 10)
    return {"seed": seed, "way": strategy or "module", "proxies": proxies, "unlike": unlike, **row}


FAULT_KINDS = (
    "reports late",
    "reports lost",
    "cut out",
    "cut back",
    "leaves and comes",
    "errors",
    "at once",
    "burst and back",
    "stopped",
    "swap",
    "slow",
    "hangs",
    "few",
)


def fault_day(seed, strategy, seconds=60):
    """A day with one kind of fault, chosen by the seed: (Day, kind, second of the event, all proxies)."""
    random, kind = Random(seed * 7919), FAULT_KINDS[seed % len(FAULT_KINDS)]
    proxies = 200
    unlike = kind == "swap"
    day = base_day(seed, strategy, proxies, seconds, unlike, rate=200.0, load=0.5 + 0.2 * random.random())
    at_s = 25
    third = frozenset(random.sample(range(proxies), proxies // 3))
    server = frozenset(random.sample(range(POOLS * SERVERS_PER_POOL), 1))
    all_proxies, all_servers = frozenset(range(proxies)), frozenset(range(POOLS * SERVERS_PER_POOL))
    end_us, until_us = (at_s + 15) * S, (at_s + 12) * S
    scenario_events, links = (), ()
    if kind in ("reports late", "reports lost"):
        links = (
            LinkFault(
                at_s * S,
                end_us,
                third,
                all_servers,
                lose=1.0 if kind.endswith("lost") else 0.0,
                delay_us=8 * S,
                reports=True,
            ),
        )
    elif kind in ("cut out", "cut back"):
        links = (LinkFault(at_s * S, end_us, third, server, kind[4:]),)
    elif kind == "leaves and comes":
        joining = frozenset({(next(iter(server)) + 1) % (POOLS * SERVERS_PER_POOL)})
        scenario_events = (
            ScenarioEvent(10 * S, "join", servers=joining, announced=True),
            ScenarioEvent(at_s * S, "killed", servers=server, late_us=3 * S),
            ScenarioEvent(until_us, "restart", servers=server),
        )
    elif kind == "errors":
        scenario_events = (
            ScenarioEvent(at_s * S, "errors", servers=server),
            ScenarioEvent(end_us, "errors", servers=server, factor=0.0),
        )
    elif kind == "at once":
        day = day._replace(start_us=S // 10)
    elif kind == "burst and back":
        scenario_events = (
            ScenarioEvent((at_s - 8) * S, "killed", servers=server),
            ScenarioEvent(at_s * S, "restart", servers=server),
            ScenarioEvent(at_s * S, "burst", factor=1.3),
            ScenarioEvent((at_s + 8) * S, "burst", factor=1.0),
        )
    elif kind == "stopped":
        scenario_events = (ScenarioEvent(at_s * S, "stall", proxies=third, span_us=3 * S),)
    elif kind == "swap":
        scenario_events = (ScenarioEvent(at_s * S, "sizes"),)
    elif kind == "slow":
        scenario_events = (
            ScenarioEvent(at_s * S, "slow", servers=server, factor=3.0),
            ScenarioEvent(end_us, "slow", servers=server, factor=1.0),
        )
    elif kind == "hangs":
        scenario_events = (
            ScenarioEvent(at_s * S, "dark", servers=server, announced=False),
            ScenarioEvent(until_us, "back", servers=server, announced=False),
        )
    elif kind == "few":
        few = random.choice((SERVERS_PER_POOL * POOLS - 1, SERVERS_PER_POOL * POOLS + 1, 5))
        day = day._replace(proxies=few, unequal_proxies=False)
        all_proxies = frozenset(range(few))
    return (
        day._replace(scenario_events=tuple(sorted(scenario_events, key=lambda t: t.at_us)), links=links),
        kind,
        at_s,
        all_proxies,
    )


def run_fault(job):
    seed, strategy = job
    day, kind, at_s, _ = fault_day(seed, strategy)
    row, played = measure_day(day, 10)
    pools, sizes = pools_of(day), list(day.sizes)
    if kind == "swap":  # compares with the capacity of each server after the swap
        for pool in pools:
            own = [day.sizes[s] for s in pool]
            for s, size in zip(pool, own[1:] + own[:1], strict=True):
                sizes[s] = size
    affected = {s for t in day.scenario_events for s in t.servers} | {
        s for link in day.links if not link.reports for s in link.servers
    }
    unaffected_pools = [[s for s in pool if s not in affected] for pool in pools]
    peak_after = measure.peak(played.setups, pools, sizes, at_s + 2)
    return {
        "seed": seed,
        "way": strategy or "module",
        "kind": kind,
        **row,
        "peak_after": round(peak_after[0], 3),
        "peak_server": peak_after[1],
        "peak_s": peak_after[2],
        "touched": sorted(affected),
        "peak_sound": round(measure.peak(played.setups, unaffected_pools, sizes, at_s + 2)[0], 3),
        "settled_s": measure.settled(played.setups, pools, sizes, at_s, 0.25) if kind != "swap" else None,
    }


def print_table(rows, group_by, columns):
    groups = {}
    for row in rows:
        groups.setdefault(tuple(row[k] for k in group_by), []).append(row)
    print("  ".join([f"{'/'.join(group_by):32}", f"{'runs':>4}", *(f"{c:>10}" for c in columns), "breaks"]))
    for key, matching in sorted(groups.items(), key=str):
        cells = []
        for column in columns:
            values = [r[column] for r in matching if r[column] is not None]
            cells.append(f"{statistics.mean(values):10.3f}" if values else f"{'-':>10}")
        print(
            "  ".join(
                [
                    f"{' '.join(map(str, key)):32}",
                    f"{len(matching):4}",
                    *cells,
                    str(sum(bool(r["breaks"]) for r in matching)),
                ]
            )
        )


def print_paired(rows, columns, against="list"):
    """Prints the decision module minus another strategy on the same seeds, with the 95% interval of the mean."""
    other = {(r["seed"], r.get("proxies"), r.get("unlike")): r for r in rows if r["way"] == against}
    for column in columns:
        differences = [
            r[column] - other[key][column]
            for r in rows
            if r["way"] == "module" and (key := (r["seed"], r.get("proxies"), r.get("unlike"))) in other
        ]
        if len(differences) > 1:
            half_interval = 1.96 * statistics.stdev(differences) / len(differences) ** 0.5
            print(
                f"module minus {against}, {column}: {statistics.mean(differences):+.4f} +- {half_interval:.4f}, {len(differences)} pairs"
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("ways", "numbers", "faults"))
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=130)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--ways", default="")
    parser.add_argument("--unlike", action="store_true", help="use servers of sizes 1 to 3")
    parser.add_argument("--kinds", default="", help="run only days with these faults, comma-separated")
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    strategies = [
        strategy
        for strategy in SELECTION_POLICIES
        if not options.ways or (strategy or "module") in options.ways.split(",")
    ]
    with Pool(options.cores) as pool:
        if options.what == "ways":
            jobs = [
                (seed, strategy, options.proxies, options.unlike, options.seconds)
                for seed in seeds
                for strategy in strategies
            ]
            rows = pool.map(run_strategy, jobs, chunksize=1)
            print_table(
                rows, ("unlike", "way"), ("variance", "least", "most", "idle", "peak", "p50_ms", "p99_ms", "share")
            )
            for against in SELECTION_POLICIES:
                if against:
                    print()
                    print_paired(rows, ("variance", "p99_ms", "share"), against)
        elif options.what == "numbers":
            jobs = [
                (seed, strategy, proxies, False, options.seconds)
                for proxies in (1, 5, 24, 25, 50, 200, 500)
                for seed in seeds
                for strategy in strategies
            ]
            rows = pool.map(run_strategy, jobs, chunksize=1)
            print_table(rows, ("way", "proxies"), ("variance", "least", "most", "idle", "peak", "p99_ms", "share"))
        else:
            jobs = [
                (seed, strategy)
                for seed in seeds
                for strategy in strategies
                if not options.kinds or FAULT_KINDS[seed % len(FAULT_KINDS)] in options.kinds.split(",")
            ]
            rows = pool.map(run_fault, jobs, chunksize=1)
            print_table(rows, ("kind", "way"), ("variance", "peak_after", "peak_sound", "settled_s", "p99_ms", "share"))
    if options.out:
        with open(options.out, "w") as file:
            json.dump(sorted(rows, key=str), file, indent=0)


if __name__ == "__main__":
    main()
