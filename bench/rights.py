"""Retries in sum on real processes: a fleet whose set-ups fail in part, with rights that move and without, one half cut off.

    python -m bench.rights [--proxies 200] [--seconds 75] [--cases alone,shared,cut] [--out FILE] [--png FILE]

Every box fails a fifth of its set-ups from second 12 on; `cut`: from second 25 to 55 half of the fleet hears nothing. The
auditor counts first set-ups and retries at the boxes' sockets and cuts them into the budget's windows.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile

from bench.even import DAY
from thorndale.spread import measure
from thorndale.standins.day import leaks, play
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import Fault, read_file

FAILS, PART = 12, 0.2  # second from which boxes fail set-ups, part of them
CUT, CUT_S = 25, 30
S = 1_000_000


def day_of(given, case):
    day = read_file(DAY)
    day.seconds, day.proxies, day.seed, day.rate = given.seconds, given.proxies, given.seed, 3.0 * given.proxies
    for box in day.boxes:
        box.transport, box.setup_ms = "udp", 18 * 600 / day.rate  # a failed set-up is an answer, and no lost connection
    day.fleet = case != "alone"
    day.faults = [Fault(FAILS, "resets", [b.name for b in day.boxes], day.seconds - FAILS - 1, PART)]
    every = [f"proxy{n + 1}" for n in range(day.proxies)]
    if case == "cut":
        day.links = [LinkPlan(at=CUT, to=every, seconds=CUT_S, proxies=every[::2], cut=True)]
    return day


def counts(player):
    """Of the log lines `rights` and `members`: counts of all proxies at their ends; the last line of each."""
    total, members = {}, []
    for name in player.files:
        last = {}
        for event in player.events(name):
            if event["event"] in ("rights", "words", "members"):
                last[event["event"]] = event["counts"]
        for kind in ("rights", "words"):
            for key, n in last.get(kind, {}).items():
                total[f"{kind} {key}"] = total.get(f"{kind} {key}", 0) + n
        if "members" in last:
            members.append(last["members"])
    return total, members


def run(given, case):
    day = day_of(given, case)
    with tempfile.TemporaryDirectory(prefix="thorndale-rights-") as folder:
        spent = os.times()
        player, breaks = play(day, folder=folder)
        spent = sum(os.times()[2:4]) - sum(spent[2:4])
        total, members = counts(player)
    began, rows = player.began, player.auditor.budget
    spans = {"all": (FAILS + 12, day.seconds - 1), "cut": (CUT + 12, CUT + CUT_S)}
    over = {name: measure.worst_excess(*row) for name, row in rows.items()}
    worst = max(over, key=lambda name: over[name][0])
    use = {}
    for what, (a, b) in spans.items():
        own = [measure.budget_use(*row, began + a * S, began + b * S) or 0.0 for row in rows.values()]
        use[what] = [round(min(own), 3), round(statistics.mean(own), 3)]
    rules = {}
    for _, rule, _ in breaks:
        rules[rule] = rules.get(rule, 0) + 1
    sums = {
        key: sum(n for (_, k), n in player.count.items() if k == key)
        for key in ("offered", "stood", "in time", "rejected")
    }
    row = {
        "case": case,
        "proxies": day.proxies,
        "seconds": day.seconds,
        **sums,
        "over": over[worst][0],
        "over_at_s": round((over[worst][1] - began) / S, 1),
        "boxes_over": sum(o > 0 for o, _ in over.values()),
        "use": use,
        "breaks": rules,
        "left": len(leaks(player)),
        "counts": total,
        "cpu_s": round(spent, 1),
        "sent_per_s": round(sum(m["sent"] for m in members) / max(1, len(members)) / day.seconds, 2),
        "bytes_per_s": round(sum(m["bytes"] for m in members) / max(1, len(members)) / day.seconds),
    }
    for at, rule, text in breaks[:5]:
        print(f"{case}: BROKEN at {(at - began) / S:.1f}: {rule}: {text}", file=sys.stderr)
    return row, [[[(at - began) / S for at in kind] for kind in rows[b.name]] for b in day.boxes]


def chart(path, runs):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(len(runs), 1, figsize=(9, 2.8 * len(runs)), sharex=True, squeeze=False)
    for (case, rows, seconds), (axis,) in zip(runs, axes, strict=True):
        seconds = int(seconds)
        for firsts, retries in rows:
            axis.plot(
                range(seconds),
                [sum(t - 10 < at <= t for at in retries) for t in range(seconds)],
                color="tab:red",
                linewidth=0.5,
            )
            axis.plot(
                range(seconds),
                [max(3, 0.1 * sum(t - 10 < at <= t for at in firsts)) for t in range(seconds)],
                color="tab:gray",
                linewidth=0.5,
            )
        axis.set_title(f"{case}: retries in 10 s at each box (red), what its first set-ups allow (grey)", fontsize=9)
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
    given = parser.parse_args()
    rows, runs = [], []
    for case in given.cases.split(","):
        row, seen = run(given, case)
        rows.append(row)
        runs.append((case, seen, given.seconds))
        print(json.dumps(row), flush=True)
    if given.png:
        chart(given.png, runs)
    if given.out:
        with open(given.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
