"""Losing a site in the emulator: drawn days under each policy, beside the oracle, over all cores.

    python -m bench.sites --days 200 [--proxies 228] [--calls 680] [--policies sites,none,plain] [--out FILE]

Writes a row for each day and policy with the seed, so that any day can be played again, and prints the table.
"""

import argparse
import json
import os
import statistics
import subprocess
import time
from multiprocessing import Pool

from thorndale.emulator.fleet import Fleet
from thorndale.emulator.random_day import random_day


def play(job):
    seed, policy, proxies, calls, servers = job
    day, case = random_day(seed, proxies=proxies, calls=calls, servers=servers)
    began = time.perf_counter()
    played = Fleet(day._replace(policy=policy)).run()
    wall = time.perf_counter() - began
    swing = [abs(a - b) for a, b in zip(played.spilled[30:44], played.spilled[31:45], strict=True)]
    return {
        "seed": seed,
        "policy": policy,
        "case": case,
        "proxies": proxies,
        "share": round(played.earned_fraction(), 4),
        "lost": min(t.site for t in day.scenario_events if t.kind != "burst"),
        "own": [round(o, 4) for o in played.earned_by_origin],
        "of_allowed": [round(e / max(a, 1e-9), 3) for e, a in zip(played.earned, played.allowed, strict=True)],
        "longest_ms": max(max(site) for site in played.longest_wait_us) // 1000,
        "breaks": played.breaks,
        "swing": max(swing),
        "spilled": max(played.spilled),
        "calls": played.calls,
        "wall_s": round(wall, 1),
    }


def others(row):
    """What the calls earned whose own site was not lost, by what they offered."""
    return statistics.mean(own for site, own in enumerate(row["own"]) if site != row["lost"])


def table(rows):
    by = {}
    for row in rows:
        by.setdefault(row["policy"], {})[row["seed"]] = row
    oracle = by.get("oracle", {})
    print(
        f"{'policy':10} {'days':>4} {'median':>7} {'5th':>6} {'worst':>6} {'worst days':16} {'breaks':>6} "
        f"{'longest ms':>10} {'swing':>6} {'own, others':>11}"
    )
    for policy, days in by.items():
        shares = sorted(
            (d["share"] / max(1e-9, oracle[s]["share"]) if oracle else d["share"], s) for s, d in days.items()
        )
        values = [v for v, _ in shares]
        print(
            f"{policy:10} {len(days):4} {statistics.median(values):7.3f} {values[len(values) // 20]:6.3f} {values[0]:6.3f} "
            f"{', '.join(str(s) for _, s in shares[:3]):16} {sum(bool(d['breaks']) for d in days.values()):6} "
            f"{max(d['longest_ms'] for d in days.values()):10} {max(d['swing'] for d in days.values()):6} "
            f"{statistics.mean(others(d) for d in days.values()):11.3f}"
        )
    for policy in by:
        if policy != "sites" and "sites" in by:
            gaps = [by["sites"][s]["share"] - d["share"] for s, d in by[policy].items() if s in by["sites"]]
            mean, spread = statistics.mean(gaps), statistics.stdev(gaps) if len(gaps) > 1 else 0.0
            print(
                f"sites less {policy}: {mean:+.4f} +- {1.96 * spread / len(gaps) ** 0.5:.4f}, paired, {len(gaps)} days"
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=228)
    parser.add_argument("--calls", type=float, default=680.0)
    parser.add_argument("--servers", type=int, default=10)
    parser.add_argument("--policies", default="sites,none,unbounded,plain,oracle")
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    jobs = [
        (seed, policy, given.proxies, given.calls, given.servers)
        for seed in range(given.first, given.first + given.days)
        for policy in given.policies.split(",")
    ]
    began, rows = time.perf_counter(), []
    with Pool(given.cores) as pool:
        for row in pool.imap_unordered(play, jobs, chunksize=1):
            rows.append(row)
    wall = time.perf_counter() - began
    rows.sort(key=lambda r: (r["seed"], r["policy"]))
    if given.out:
        commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
        with open(given.out, "w") as file:
            json.dump({"commit": commit, "days": rows}, file, indent=0)
    calls = sum(r["calls"] for r in rows)
    print(f"{len(rows)} days, {calls} tries in {wall:.0f} s: {calls / wall * 60:.0f} a minute on {given.cores} cores")
    table(rows)


if __name__ == "__main__":
    main()
