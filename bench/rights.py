"""Total retries of a fleet on real processes, with and without shared retry leases, and with half of it partitioned.

    python -m bench.rights [--proxies 200] [--seconds 75] [--cases alone,shared,cut] [--out FILE] [--png FILE]

Every server stand-in fails a fifth of its set-ups from second 12 on. In the case `cut`, half of the fleet receives no
datagrams from second 25 to 55. The auditor counts first set-ups and retries at the servers' sockets and compares them
with the retry budget in its sliding windows.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile

from bench.even import EVEN_LOAD_DAY
from thorndale.spread import measure
from thorndale.standins.day import leaks, play
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import Fault, read_file

FAIL_FROM_S, FAILED_FRACTION = 12, 0.2  # servers fail this share of their set-ups from this second on
PARTITION_FROM_S, PARTITION_FOR_S = 25, 30
US_PER_S = 1_000_000


def build_day(options, case):
    day = read_file(EVEN_LOAD_DAY)
    day.seconds, day.proxies, day.seed, day.rate = options.seconds, options.proxies, options.seed, 3.0 * options.proxies
    for server in day.boxes:
        # Over UDP, a failed set-up is an answer and not a lost connection.
        server.transport, server.setup_ms = "udp", 18 * 600 / day.rate
    day.fleet = case != "alone"
    day.faults = [
        Fault(FAIL_FROM_S, "resets", [b.name for b in day.boxes], day.seconds - FAIL_FROM_S - 1, FAILED_FRACTION)
    ]
    proxies = [f"proxy{n + 1}" for n in range(day.proxies)]
    if case == "cut":
        day.links = [LinkPlan(at=PARTITION_FROM_S, to=proxies, seconds=PARTITION_FOR_S, proxies=proxies[::2], cut=True)]
    return day


def sum_log_counts(player):
    """Sums the counts of each proxy's last `rights` and `words` log lines; collects its last `members` counts."""
    total, members = {}, []
    for name in player.files:
        last_counts = {}
        for event in player.events(name):
            if event["event"] in ("rights", "words", "members"):
                last_counts[event["event"]] = event["counts"]
        for kind in ("rights", "words"):
            for key, n in last_counts.get(kind, {}).items():
                total[f"{kind} {key}"] = total.get(f"{kind} {key}", 0) + n
        if "members" in last_counts:
            members.append(last_counts["members"])
    return total, members


def run_case(options, case):
    day = build_day(options, case)
    with tempfile.TemporaryDirectory(prefix="thorndale-rights-") as folder:
        cpu_s = os.times()
        player, breaks = play(day, folder=folder)
        cpu_s = sum(os.times()[2:4]) - sum(cpu_s[2:4])
        total, members = sum_log_counts(player)
    began, rows = player.began, player.auditor.budget
    spans = {
        "all": (FAIL_FROM_S + 12, day.seconds - 1),
        "cut": (PARTITION_FROM_S + 12, PARTITION_FROM_S + PARTITION_FOR_S),
    }
    excess_by_server = {name: measure.worst_excess(*row) for name, row in rows.items()}
    worst = max(excess_by_server, key=lambda name: excess_by_server[name][0])
    budget_use = {}
    for span, (from_s, until_s) in spans.items():
        values = [
            measure.budget_use(*row, began + from_s * US_PER_S, began + until_s * US_PER_S) or 0.0
            for row in rows.values()
        ]
        budget_use[span] = [round(min(values), 3), round(statistics.mean(values), 3)]
    rules = {}
    for _, rule, _ in breaks:
        rules[rule] = rules.get(rule, 0) + 1
    call_counts = {
        key: sum(n for (_, k), n in player.count.items() if k == key)
        for key in ("offered", "stood", "in time", "rejected")
    }
    row = {
        "case": case,
        "proxies": day.proxies,
        "seconds": day.seconds,
        **call_counts,
        "over": excess_by_server[worst][0],
        "over_at_s": round((excess_by_server[worst][1] - began) / US_PER_S, 1),
        "boxes_over": sum(excess > 0 for excess, _ in excess_by_server.values()),
        "use": budget_use,
        "breaks": rules,
        "left": len(leaks(player)),
        "counts": total,
        "cpu_s": round(cpu_s, 1),
        "sent_per_s": round(sum(m["sent"] for m in members) / max(1, len(members)) / day.seconds, 2),
        "bytes_per_s": round(sum(m["bytes"] for m in members) / max(1, len(members)) / day.seconds),
    }
    for at, rule, text in breaks[:5]:
        print(f"{case}: BROKEN at {(at - began) / US_PER_S:.1f}: {rule}: {text}", file=sys.stderr)
    return row, [[[(at - began) / US_PER_S for at in kind] for kind in rows[b.name]] for b in day.boxes]


def draw_chart(path, runs):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(len(runs), 1, figsize=(9, 2.8 * len(runs)), sharex=True, squeeze=False)
    for (case, rows, seconds), (axis,) in zip(runs, axes, strict=True):
        seconds = int(seconds)
        for first_setups, retries in rows:
            axis.plot(
                range(seconds),
                [sum(t - 10 < at <= t for at in retries) for t in range(seconds)],
                color="tab:red",
                linewidth=0.5,
            )
            axis.plot(
                range(seconds),
                [max(3, 0.1 * sum(t - 10 < at <= t for at in first_setups)) for t in range(seconds)],
                color="tab:gray",
                linewidth=0.5,
            )
        axis.set_title(f"{case}: retries in 10 s at each server (red), limit by its first set-ups (grey)", fontsize=9)
        axis.set_ylim(bottom=0)
    axes[-1][0].set_xlabel("second")
    fig.tight_layout()
    fig.savefig(path, dpi=100)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=75)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cases", default="alone,shared,cut")
    parser.add_argument("--out", default="")
    parser.add_argument("--png", default="")
    options = parser.parse_args()
    rows, runs = [], []
    for case in options.cases.split(","):
        row, arrivals = run_case(options, case)
        rows.append(row)
        runs.append((case, arrivals, options.seconds))
        print(json.dumps(row), flush=True)
    if options.png:
        draw_chart(options.png, runs)
    if options.out:
        with open(options.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
