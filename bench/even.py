"""Even load on real processes: a day of many proxies, its balance by box, beside the same day with another text.

    python -m bench.even [DAY] [--seconds 300] [--before FOLDER] [--out FILE] [--png FILE]
    python -m bench.even faults [--proxies 200]          # one seed of each kind of fault

`--before` is a checkout of another version, with its own .venv: its proxies are run, everything else is this one's.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile

import uvloop

from thorndale.spread import measure
from thorndale.standins.day import Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import Fault, read_file

DAY = "examples/days/even-load.json5"
SKIP_S = 10  # seconds at the start that are left out


def pools_of(day):
    by_group = {}
    for n, box in enumerate(day.boxes):
        by_group.setdefault(box.trunk_group, []).append(n)
    return list(by_group.values())


def play(day, before="", way=""):
    command = (
        [f"{before}/.venv/bin/python", "-m", "thorndale", "run"]
        if before
        else [sys.executable, "bench/way.py", way, "run"]
        if way
        else None
    )
    with tempfile.TemporaryDirectory(prefix="thorndale-even-") as folder:
        player = Player(day, command=command, folder=folder)
        if before:
            player.spawn = _in(player, before)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            breaks = runner.run(player.play())
    return player, breaks


def _in(player, folder):
    """Proxies of another checkout, which is found by where they are started."""
    import subprocess

    def spawn(name):
        player.processes[name] = subprocess.Popen(
            [*player.command, player.files[name]],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            cwd=folder,
            stderr=open(player.files[name] + ".err", "ab"),  # noqa: SIM115 - the child's own from now on
            env=os.environ | {"PYTHONPATH": folder},
        )

    return spawn


def figures(player, breaks, parts=None, from_s=SKIP_S):
    """One row of plain values, and the counts by box and second."""
    day = player.day
    rows_of = player.by_second()
    rows = [rows_of[b.name][: int(day.seconds)] for b in day.boxes]
    pools = pools_of(day)
    found = measure.balance([r[from_s:] for r in rows], pools, parts)
    queueing_delays_us = sorted(w for own in player.queueing_delays_us.values() for w in own)
    lags = sorted(player.setup_times_us)
    total = {}
    for (_, key), n in player.count.items():
        total[key] = total.get(key, 0) + n
    rules = {}
    for _, rule, _ in breaks:
        rules[rule] = rules.get(rule, 0) + 1
    at = lambda values, p: round(values[min(len(values) - 1, int(len(values) * p))] / 1000, 1) if values else None  # noqa: E731
    row = {
        "proxies": day.proxies,
        "seconds": day.seconds,
        "offered": total.get("offered", 0),
        "stood": total.get("stood", 0),
        "in_time": total.get("in time", 0),
        "rejected": total.get("rejected", 0),
        "variance": round(found.variance, 3),
        "least": round(found.least, 3),
        "most": round(found.most, 3),
        "idle": len(found.idle),
        "peak": round(found.peak, 3),
        "wait_p50_ms": at(queueing_delays_us, 0.5),
        "wait_p99_ms": at(queueing_delays_us, 0.99),
        "setup_p50_ms": at(lags, 0.5),
        "setup_p99_ms": at(lags, 0.99),
        "breaks": rules,
        "left": len(leaks(player)),
        "connections_most": max((most for most, _ in player.connections.values()), default=0),
        "connections_opened": max((opened for _, opened in player.connections.values()), default=0),
    }
    return row, rows


def chart(path, runs):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(len(runs), 1, figsize=(9, 3.2 * len(runs)), sharex=True, sharey=True, squeeze=False)
    for (title, rows), (axis,) in zip(runs, axes, strict=True):
        for row in rows:
            axis.plot([sum(row[n : n + 10]) for n in range(0, len(row) - 9, 10)], linewidth=0.8)
        axis.set_title(title, fontsize=9)
        axis.set_ylabel("set-ups in 10 s")
    axes[-1][0].set_xlabel("window of 10 s")
    fig.tight_layout()
    fig.savefig(path, dpi=100)


def third(day, offset=0):
    return [f"proxy{n + 1}" for n in range(offset, day.proxies, 3)]


def faulty(day, kind, at):
    """The day with one kind of fault at this second; gives the boxes that it touches."""
    one = "box3"
    half = [f"proxy{n + 1}" for n in range(0, day.proxies, 2)]
    if kind in ("reports lost to proxy", "reports stuck at proxy"):
        day.faults = [Fault(at, kind, third(day), 15.0)]
        return []
    if kind == "reports late":
        day.faults = [Fault(at, kind, [b.name for b in day.boxes], 15.0, 8.0)]
        return []
    if kind in ("cut out", "cut back"):
        day.links = [LinkPlan(at=at, to=[one], seconds=12.0, proxies=third(day), way=kind[4:], cut=True)]
    elif kind == "lossy link":
        day.links = [LinkPlan(at=at, to=[one], seconds=12.0, proxies=third(day), lose=0.2, double=0.1, jitter_ms=50)]
    elif kind == "book late":
        day.faults = [Fault(at - 2, "book late to proxy", half, 25.0, 4.0), Fault(at, "drains", [one], 2.0)]
    elif kind == "errors":
        day.faults = [Fault(at, "floods", [one], 12.0)]
    elif kind == "all restarted":
        day.faults = [Fault(at, "proxy killed", [f"proxy{n + 1}" for n in range(day.proxies)], 0.2)]
        return []
    elif kind == "burst and back":
        day.faults = [Fault(at - 6, "dies", [one], 6.0), Fault(at, "burst", [], 5.0, 1.3)]
    elif kind == "stopped":
        day.faults = [Fault(at, "proxy stopped", third(day), 3.0)]
        return []
    elif kind == "swap":
        for box, factor in zip(day.boxes, (1.0, 1.0, 0.5, 0.5, 1.0, 1.0) * 4, strict=False):
            box.setup_ms *= factor
        day.faults = [
            Fault(
                at,
                "slow",
                [b.name for b in day.boxes[2::6]] + [b.name for b in day.boxes[3::6]],
                day.seconds - at - 1,
                2.0,
            )
        ]
        return []
    elif kind == "slow":
        day.faults = [Fault(at, "slow", [one], 15.0, 3.0)]
    elif kind == "hangs":
        day.faults = [Fault(at, "hangs", [one], 12.0)]
    return [one]


KINDS = (
    "swap",
    "reports lost to proxy",
    "reports stuck at proxy",
    "reports late",
    "cut out",
    "cut back",
    "lossy link",
    "book late",
    "errors",
    "all restarted",
    "burst and back",
    "stopped",
    "slow",
    "hangs",
)


def faults(given):
    rows = []
    for kind in given.kinds.split(",") if given.kinds else KINDS:
        day = read_file(DAY)
        day.seconds, day.proxies, day.seed = 36.0, given.proxies, given.seed
        day.rate = 3.0 * given.proxies
        for box in day.boxes:
            box.setup_ms = 22 * 600 / day.rate
        at = 14
        touched = faulty(day, kind, at)
        player, breaks = play(day, given.before)
        row, counts = figures(player, breaks)
        pools, names = pools_of(day), [b.name for b in day.boxes]
        sound = [[n for n in pool if names[n] not in touched] for pool in pools]
        after = measure.peak(counts, sound, None, at + 2)
        row |= {
            "kind": kind,
            "sound_peak": round(after[0], 3),
            "sound_peak_s": after[2],
            "peak_all": round(measure.peak(counts, pools, None, at + 2)[0], 3),
            "settled_s": measure.settled(counts, pools, None, at, 0.25),
        }
        rows.append(row)
        print(json.dumps(row), flush=True)
        for broken, rule, text in breaks[:5]:
            print(f"{kind}: BROKEN at {(broken - player.began) / 1e6:.1f}: {rule}: {text}", file=sys.stderr)
    return rows


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("day", nargs="?", default=DAY)
    parser.add_argument("--seconds", type=float, default=0)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", default="")
    parser.add_argument("--before", default="")
    parser.add_argument(
        "--way", default="", help="proxies with this way of emulator/selection.py in place of the module's"
    )
    parser.add_argument("--out", default="")
    parser.add_argument("--png", default="")
    parser.add_argument("--unlike", action="store_true")
    given = parser.parse_args()
    if given.day == "faults":
        rows = faults(given)
    else:
        rows, runs = [], []
        for name, folder in (("before", given.before), ("now", "")) if given.before else (("now", ""),):
            day = read_file(given.day)
            day.seed = given.seed
            day.seconds = given.seconds or day.seconds
            parts = None
            if given.unlike:
                parts = [(1, 1, 2, 2, 3, 3)[n % 6] for n in range(len(day.boxes))]
                for box, part in zip(day.boxes, parts, strict=True):
                    box.setup_ms *= 2 / part
            player, breaks = play(day, folder, given.way)
            row, counts = figures(player, breaks, parts)
            row["text"] = given.way or name
            if given.unlike:
                row["by_minute"] = [
                    [round(x, 3) for x in measure.extremes([r[n : n + 60] for r in counts], pools_of(day), parts, 60)]
                    for n in range(0, int(day.seconds) - 59, 60)
                ]
            rows.append(row)
            runs.append((f"{name}: {day.proxies} proxies, set-ups by box", counts))
            print(json.dumps(row), flush=True)
            for at, rule, text in breaks[:5]:
                print(f"BROKEN at {(at - player.began) / 1e6:.1f}: {rule}: {text}", file=sys.stderr)
        if given.png:
            chart(given.png, runs)
    if given.out:
        with open(given.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
