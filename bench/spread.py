"""Even load in the emulator: ways of choosing among a pool's servers, on the same seeds, and days of faults.

    python -m bench.spread ways [--seeds 8] [--proxies 200] [--unlike] [--out FILE]   # every way, no fault
    python -m bench.spread numbers [--seeds 3]                                # from 1 to 500 proxies, each way
    python -m bench.spread faults [--days 200]                                # drawn faults, the module and list order

All figures are simulated. A row for each run goes to --out.
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

POOLS, EACH = 4, 6
RATE = 600.0
SPAN = WORK.setup_us + WORK.answer_us + WORK.release_us  # us of work a call at a server of the model's size
LEARNT_S = 120  # seconds after which shares should be learned, left out of the figures of unlike servers
UNLIKE = (1.0, 1.0, 2.0, 2.0, 3.0, 3.0)


def base(seed, way, proxies, seconds, unlike, pools=POOLS, each=EACH, rate=RATE, load=0.7):
    """A day without faults: so many calls, servers so fast that `load` of them is used."""
    sizes = (UNLIKE * each)[:each] * pools if unlike else (1.0,) * (each * pools)
    scale = rate * SPAN / S / load / sum(sizes)
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
        selection=way,
        unequal_proxies=proxies > 3,
        start_us=S if proxies > 1 else 0,
        own_site_delay_us=6_000,
        cross_site_delay_us=6_000,
    )


def pools_of(day):
    first, found = 0, []
    for count in day.servers:
        found.append(list(range(first, first + count)))
        first += count
    return found


def figures(day, skip_s=0):
    began = time.perf_counter()
    played = Fleet(day).run()
    rows = [row[skip_s:] for row in played.setups]
    found = measure.balance(rows, pools_of(day), list(day.sizes))
    waits = played.waits_us
    return {
        "variance": round(found.variance, 3),
        "least": round(found.least, 3),
        "most": round(found.most, 3),
        "idle": len(found.idle),
        "peak": round(found.peak, 3),
        "share": round(played.earned_fraction(), 4),
        "p50_ms": waits[len(waits) // 2] / 1000,
        "p99_ms": waits[int(len(waits) * 0.99)] / 1000,
        "breaks": played.breaks,
        "calls": played.calls,
        "rejected": played.rejected,
        "wall_s": round(time.perf_counter() - began, 1),
    }, played


def ways(job):
    seed, way, proxies, unlike, seconds = job
    row, _ = figures(base(seed, way, proxies, seconds, unlike), LEARNT_S if unlike else 10)
    return {"seed": seed, "way": way or "module", "proxies": proxies, "unlike": unlike, **row}


KINDS = (
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


def faulty(seed, way, seconds=60):
    """A day with one kind of fault drawn by its seed: (Day, kind, second of the event, servers touched)."""
    chance, kind = Random(seed * 7919), KINDS[seed % len(KINDS)]
    proxies = 200
    unlike = kind == "swap"
    day = base(seed, way, proxies, seconds, unlike, rate=200.0, load=0.5 + 0.2 * chance.random())
    at = 25
    third = frozenset(chance.sample(range(proxies), proxies // 3))
    one = frozenset(chance.sample(range(POOLS * EACH), 1))
    every, all_ = frozenset(range(proxies)), frozenset(range(POOLS * EACH))
    end, until = (at + 15) * S, (at + 12) * S
    scenario_events, links = (), ()
    if kind in ("reports late", "reports lost"):
        links = (
            LinkFault(
                at * S, end, third, all_, lose=1.0 if kind.endswith("lost") else 0.0, delay_us=8 * S, reports=True
            ),
        )
    elif kind in ("cut out", "cut back"):
        links = (LinkFault(at * S, end, third, one, kind[4:]),)
    elif kind == "leaves and comes":
        other = frozenset({(next(iter(one)) + 1) % (POOLS * EACH)})
        scenario_events = (
            ScenarioEvent(10 * S, "join", servers=other, announced=True),
            ScenarioEvent(at * S, "killed", servers=one, late_us=3 * S),
            ScenarioEvent(until, "restart", servers=one),
        )
    elif kind == "errors":
        scenario_events = (
            ScenarioEvent(at * S, "errors", servers=one),
            ScenarioEvent(end, "errors", servers=one, factor=0.0),
        )
    elif kind == "at once":
        day = day._replace(start_us=S // 10)
    elif kind == "burst and back":
        scenario_events = (
            ScenarioEvent((at - 8) * S, "killed", servers=one),
            ScenarioEvent(at * S, "restart", servers=one),
            ScenarioEvent(at * S, "burst", factor=1.3),
            ScenarioEvent((at + 8) * S, "burst", factor=1.0),
        )
    elif kind == "stopped":
        scenario_events = (ScenarioEvent(at * S, "stall", proxies=third, span_us=3 * S),)
    elif kind == "swap":
        scenario_events = (ScenarioEvent(at * S, "sizes"),)
    elif kind == "slow":
        scenario_events = (
            ScenarioEvent(at * S, "slow", servers=one, factor=3.0),
            ScenarioEvent(end, "slow", servers=one, factor=1.0),
        )
    elif kind == "hangs":
        scenario_events = (
            ScenarioEvent(at * S, "dark", servers=one, announced=False),
            ScenarioEvent(until, "back", servers=one, announced=False),
        )
    elif kind == "few":
        few = chance.choice((EACH * POOLS - 1, EACH * POOLS + 1, 5))
        day = day._replace(proxies=few, unequal_proxies=False)
        every = frozenset(range(few))
    return (
        day._replace(scenario_events=tuple(sorted(scenario_events, key=lambda t: t.at_us)), links=links),
        kind,
        at,
        every,
    )


def faults(job):
    seed, way = job
    day, kind, at, _ = faulty(seed, way)
    row, played = figures(day, 10)
    pools, sizes = pools_of(day), list(day.sizes)
    if kind == "swap":  # beside what each can take from then on
        for pool in pools:
            own = [day.sizes[s] for s in pool]
            for s, size in zip(pool, own[1:] + own[:1], strict=True):
                sizes[s] = size
    touched = {s for t in day.scenario_events for s in t.servers} | {
        s for link in day.links if not link.reports for s in link.servers
    }
    sound = [[s for s in pool if s not in touched] for pool in pools]
    after = measure.peak(played.setups, pools, sizes, at + 2)
    return {
        "seed": seed,
        "way": way or "module",
        "kind": kind,
        **row,
        "peak_after": round(after[0], 3),
        "peak_server": after[1],
        "peak_s": after[2],
        "touched": sorted(touched),
        "peak_sound": round(measure.peak(played.setups, sound, sizes, at + 2)[0], 3),
        "settled_s": measure.settled(played.setups, pools, sizes, at, 0.25) if kind != "swap" else None,
    }


def show(rows, by, columns):
    groups = {}
    for row in rows:
        groups.setdefault(tuple(row[k] for k in by), []).append(row)
    print("  ".join([f"{'/'.join(by):32}", f"{'runs':>4}", *(f"{c:>10}" for c in columns), "breaks"]))
    for key, own in sorted(groups.items(), key=str):
        cells = []
        for column in columns:
            values = [r[column] for r in own if r[column] is not None]
            cells.append(f"{statistics.mean(values):10.3f}" if values else f"{'-':>10}")
        print(
            "  ".join(
                [f"{' '.join(map(str, key)):32}", f"{len(own):4}", *cells, str(sum(bool(r["breaks"]) for r in own))]
            )
        )


def paired(rows, columns, against="list"):
    """The module less another way on the same seeds, with the interval of the mean at 95%."""
    other = {(r["seed"], r.get("proxies"), r.get("unlike")): r for r in rows if r["way"] == against}
    for column in columns:
        gaps = [
            r[column] - other[key][column]
            for r in rows
            if r["way"] == "module" and (key := (r["seed"], r.get("proxies"), r.get("unlike"))) in other
        ]
        if len(gaps) > 1:
            spread = 1.96 * statistics.stdev(gaps) / len(gaps) ** 0.5
            print(f"module less {against}, {column}: {statistics.mean(gaps):+.4f} +- {spread:.4f}, {len(gaps)} pairs")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("ways", "numbers", "faults"))
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=130)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--ways", default="")
    parser.add_argument("--unlike", action="store_true", help="servers of sizes 1 to 3")
    parser.add_argument("--kinds", default="", help="days of these faults alone")
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    seeds = range(given.first, given.first + given.seeds)
    chosen = [w for w in SELECTION_POLICIES if not given.ways or (w or "module") in given.ways.split(",")]
    with Pool(given.cores) as pool:
        if given.what == "ways":
            jobs = [(s, w, given.proxies, given.unlike, given.seconds) for s in seeds for w in chosen]
            rows = pool.map(ways, jobs, chunksize=1)
            show(rows, ("unlike", "way"), ("variance", "least", "most", "idle", "peak", "p50_ms", "p99_ms", "share"))
            for against in SELECTION_POLICIES:
                if against:
                    print()
                    paired(rows, ("variance", "p99_ms", "share"), against)
        elif given.what == "numbers":
            jobs = [
                (s, w, n, False, given.seconds) for n in (1, 5, 24, 25, 50, 200, 500) for s in seeds for w in chosen
            ]
            rows = pool.map(ways, jobs, chunksize=1)
            show(rows, ("way", "proxies"), ("variance", "least", "most", "idle", "peak", "p99_ms", "share"))
        else:
            jobs = [
                (s, w)
                for s in seeds
                for w in chosen
                if not given.kinds or KINDS[s % len(KINDS)] in given.kinds.split(",")
            ]
            rows = pool.map(faults, jobs, chunksize=1)
            show(rows, ("kind", "way"), ("variance", "peak_after", "peak_sound", "settled_s", "p99_ms", "share"))
    if given.out:
        with open(given.out, "w") as file:
            json.dump(sorted(rows, key=str), file, indent=0)


if __name__ == "__main__":
    main()
