"""Loss of a site in the emulator: random days under each policy, compared with the oracle, on all cores.

    python -m bench.sites --days 200 [--proxies 228] [--calls 680] [--policies sites,none,plain] [--out FILE]

Writes a row with the seed for each day and policy, so that any day can be repeated, and prints a table.
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
    began_s = time.perf_counter()
    played = Fleet(day._replace(policy=policy)).run()
    wall_s = time.perf_counter() - began_s
    spill_changes = [abs(a - b) for a, b in zip(played.spilled[30:44], played.spilled[31:45], strict=True)]
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
        "swing": max(spill_changes),
        "spilled": max(played.spilled),
        "calls": played.calls,
        "wall_s": round(wall_s, 1),
    }


def other_sites_share(row):
    """Mean share of the offered revenue earned by calls whose own site was not lost."""
    return statistics.mean(own for site, own in enumerate(row["own"]) if site != row["lost"])


def print_table(rows):
    rows_by_policy = {}
    for row in rows:
        rows_by_policy.setdefault(row["policy"], {})[row["seed"]] = row
    oracle = rows_by_policy.get("oracle", {})
    print(
        f"{'policy':10} {'days':>4} {'median':>7} {'5th':>6} {'worst':>6} {'worst days':16} {'breaks':>6} "
        f"{'longest ms':>10} {'swing':>6} {'own, others':>11}"
    )
    for policy, days in rows_by_policy.items():
        shares = sorted(
            (day_row["share"] / max(1e-9, oracle[seed]["share"]) if oracle else day_row["share"], seed)
            for seed, day_row in days.items()
        )
        values = [share for share, _ in shares]
        print(
            f"{policy:10} {len(days):4} {statistics.median(values):7.3f} {values[len(values) // 20]:6.3f} {values[0]:6.3f} "
            f"{', '.join(str(seed) for _, seed in shares[:3]):16} {sum(bool(day_row['breaks']) for day_row in days.values()):6} "
            f"{max(day_row['longest_ms'] for day_row in days.values()):10} {max(day_row['swing'] for day_row in days.values()):6} "
            f"{statistics.mean(other_sites_share(day_row) for day_row in days.values()):11.3f}"
        )
    for policy in rows_by_policy:
        if policy != "sites" and "sites" in rows_by_policy:
            differences = [
                rows_by_policy["sites"][seed]["share"] - day_row["share"]
                for seed, day_row in rows_by_policy[policy].items()
                if seed in rows_by_policy["sites"]
            ]
            mean, deviation = (
                statistics.mean(differences),
                statistics.stdev(differences) if len(differences) > 1 else 0.0,
            )
            print(
                f"sites minus {policy}: {mean:+.4f} +- {1.96 * deviation / len(differences) ** 0.5:.4f}, paired, {len(differences)} days"
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
    options = parser.parse_args()
    jobs = [
        (seed, policy, options.proxies, options.calls, options.servers)
        for seed in range(options.first, options.first + options.days)
        for policy in options.policies.split(",")
    ]
    began, rows = time.perf_counter(), []
    with Pool(options.cores) as pool:
        for row in pool.imap_unordered(play, jobs, chunksize=1):
            rows.append(row)
    wall_s = time.perf_counter() - began
    rows.sort(key=lambda r: (r["seed"], r["policy"]))
    if options.out:
        commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
        with open(options.out, "w") as file:
            json.dump({"commit": commit, "days": rows}, file, indent=0)
    calls = sum(r["calls"] for r in rows)
    print(
        f"{len(rows)} days, {calls} call attempts in {wall_s:.0f} s: {calls / wall_s * 60:.0f} a minute on {options.cores} cores"
    )
    print_table(rows)


if __name__ == "__main__":
    main()
