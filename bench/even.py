"""Load balance on real processes: runs a day of many proxies and measures how evenly they use the central servers.

    python -m bench.even [DAY] [--seconds 300] [--before FOLDER] [--out FILE] [--png FILE]
    python -m bench.even faults [--proxies 200]          # one seed of each kind of fault

`--before` names a checkout of another version with its own .venv. The same day is also run with the proxies of that
checkout; everything else comes from this one.
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

EVEN_LOAD_DAY = "examples/days/even-load.json5"
START_SKIP_S = 10  # seconds at the start that are left out of the balance


def pools_of(day):
    by_group = {}
    for n, server in enumerate(day.boxes):
        by_group.setdefault(server.trunk_group, []).append(n)
    return list(by_group.values())


def run_day(day, checkout="", strategy=""):
    command = (
        [f"{checkout}/.venv/bin/python", "-m", "thorndale", "run"]
        if checkout
        else [sys.executable, "bench/way.py", strategy, "run"]
        if strategy
        else None
    )
    with tempfile.TemporaryDirectory(prefix="thorndale-even-") as folder:
        player = Player(day, command=command, folder=folder)
        if checkout:
            player.spawn = _spawn_from(player, checkout)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            breaks = runner.run(player.play())
    return player, breaks


def _spawn_from(player, checkout):
    """Returns a spawn function that runs the proxies of another checkout, by working directory and PYTHONPATH."""
    import subprocess

    def spawn(name):
        player.processes[name] = subprocess.Popen(
            [*player.command, player.files[name]],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            cwd=checkout,
            stderr=open(player.files[name] + ".err", "ab"),  # noqa: SIM115 - the child process owns it from here on
            env=os.environ | {"PYTHONPATH": checkout},
        )

    return spawn


def summarize(player, breaks, expected_shares=None, skip_s=START_SKIP_S):
    """Returns a row of result values, and the set-up counts by server and second."""
    day = player.day
    counts_by_server = player.by_second()
    rows = [counts_by_server[b.name][: int(day.seconds)] for b in day.boxes]
    pools = pools_of(day)
    balance = measure.balance([r[skip_s:] for r in rows], pools, expected_shares)
    queueing_delays = sorted(w for own in player.queueing_delays_us.values() for w in own)
    setup_times = sorted(player.setup_times_us)
    total = {}
    for (_, key), n in player.count.items():
        total[key] = total.get(key, 0) + n
    rules = {}
    for _, rule, _ in breaks:
        rules[rule] = rules.get(rule, 0) + 1
    percentile_ms = lambda values, p: (  # noqa: E731
        round(values[min(len(values) - 1, int(len(values) * p))] / 1000, 1) if values else None
    )
    row = {
        "proxies": day.proxies,
        "seconds": day.seconds,
        "offered": total.get("offered", 0),
        "stood": total.get("stood", 0),
        "in_time": total.get("in time", 0),
        "rejected": total.get("rejected", 0),
        "variance": round(balance.variance, 3),
        "least": round(balance.least, 3),
        "most": round(balance.most, 3),
        "idle": len(balance.idle),
        "peak": round(balance.peak, 3),
        "wait_p50_ms": percentile_ms(queueing_delays, 0.5),
        "wait_p99_ms": percentile_ms(queueing_delays, 0.99),
        "setup_p50_ms": percentile_ms(setup_times, 0.5),
        "setup_p99_ms": percentile_ms(setup_times, 0.99),
        "breaks": rules,
        "left": len(leaks(player)),
        "connections_most": max((most for most, _ in player.connections.values()), default=0),
        "connections_opened": max((opened for _, opened in player.connections.values()), default=0),
    }
    return row, rows


def draw_chart(path, runs):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(len(runs), 1, figsize=(9, 3.2 * len(runs)), sharex=True, sharey=True, squeeze=False)
    for (title, counts), (axis,) in zip(runs, axes, strict=True):
        for second_counts in counts:
            axis.plot([sum(second_counts[n : n + 10]) for n in range(0, len(second_counts) - 9, 10)], linewidth=0.8)
        axis.set_title(title, fontsize=9)
        axis.set_ylabel("set-ups in 10 s")
    axes[-1][0].set_xlabel("window of 10 s")
    fig.tight_layout()
    fig.savefig(path, dpi=100)


def every_third_proxy(day, offset=0):
    return [f"proxy{n + 1}" for n in range(offset, day.proxies, 3)]


def add_fault(day, kind, at_s):
    """Adds one kind of fault to the day at this second; returns the names of the servers that it affects."""
    server = "box3"
    every_second_proxy = [f"proxy{n + 1}" for n in range(0, day.proxies, 2)]
    if kind in ("reports lost to proxy", "reports stuck at proxy"):
        day.faults = [Fault(at_s, kind, every_third_proxy(day), 15.0)]
        return []
    if kind == "reports late":
        day.faults = [Fault(at_s, kind, [b.name for b in day.boxes], 15.0, 8.0)]
        return []
    if kind in ("cut out", "cut back"):
        day.links = [
            LinkPlan(at=at_s, to=[server], seconds=12.0, proxies=every_third_proxy(day), way=kind[4:], cut=True)
        ]
    elif kind == "lossy link":
        day.links = [
            LinkPlan(
                at=at_s, to=[server], seconds=12.0, proxies=every_third_proxy(day), lose=0.2, double=0.1, jitter_ms=50
            )
        ]
    elif kind == "book late":
        day.faults = [
            Fault(at_s - 2, "book late to proxy", every_second_proxy, 25.0, 4.0),
            Fault(at_s, "drains", [server], 2.0),
        ]
    elif kind == "errors":
        day.faults = [Fault(at_s, "floods", [server], 12.0)]
    elif kind == "all restarted":
        day.faults = [Fault(at_s, "proxy killed", [f"proxy{n + 1}" for n in range(day.proxies)], 0.2)]
        return []
    elif kind == "burst and back":
        day.faults = [Fault(at_s - 6, "dies", [server], 6.0), Fault(at_s, "burst", [], 5.0, 1.3)]
    elif kind == "stopped":
        day.faults = [Fault(at_s, "proxy stopped", every_third_proxy(day), 3.0)]
        return []
    elif kind == "swap":
        for resized, factor in zip(day.boxes, (1.0, 1.0, 0.5, 0.5, 1.0, 1.0) * 4, strict=False):
            resized.setup_ms *= factor
        day.faults = [
            Fault(
                at_s,
                "slow",
                [b.name for b in day.boxes[2::6]] + [b.name for b in day.boxes[3::6]],
                day.seconds - at_s - 1,
                2.0,
            )
        ]
        return []
    elif kind == "slow":
        day.faults = [Fault(at_s, "slow", [server], 15.0, 3.0)]
    elif kind == "hangs":
        day.faults = [Fault(at_s, "hangs", [server], 12.0)]
    return [server]


FAULT_KINDS = (
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


def run_faults(options):
    rows = []
    for kind in options.kinds.split(",") if options.kinds else FAULT_KINDS:
        day = read_file(EVEN_LOAD_DAY)
        day.seconds, day.proxies, day.seed = 36.0, options.proxies, options.seed
        day.rate = 3.0 * options.proxies
        for server in day.boxes:
            server.setup_ms = 22 * 600 / day.rate
        at_s = 14
        affected = add_fault(day, kind, at_s)
        player, breaks = run_day(day, options.before)
        row, counts = summarize(player, breaks)
        pools, names = pools_of(day), [b.name for b in day.boxes]
        unaffected_pools = [[n for n in pool if names[n] not in affected] for pool in pools]
        peak_after = measure.peak(counts, unaffected_pools, None, at_s + 2)
        row |= {
            "kind": kind,
            "sound_peak": round(peak_after[0], 3),
            "sound_peak_s": peak_after[2],
            "peak_all": round(measure.peak(counts, pools, None, at_s + 2)[0], 3),
            "settled_s": measure.settled(counts, pools, None, at_s, 0.25),
        }
        rows.append(row)
        print(json.dumps(row), flush=True)
        for broken, rule, text in breaks[:5]:
            print(f"{kind}: BROKEN at {(broken - player.began) / 1e6:.1f}: {rule}: {text}", file=sys.stderr)
    return rows


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("day", nargs="?", default=EVEN_LOAD_DAY)
    parser.add_argument("--seconds", type=float, default=0)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", default="")
    parser.add_argument("--before", default="")
    parser.add_argument(
        "--way",
        default="",
        help="run the proxies with this server choice strategy of emulator/selection.py instead of the decision module's",
    )
    parser.add_argument("--out", default="")
    parser.add_argument("--png", default="")
    parser.add_argument("--unlike", action="store_true")
    options = parser.parse_args()
    if options.day == "faults":
        rows = run_faults(options)
    else:
        rows, runs = [], []
        for name, folder in (("before", options.before), ("now", "")) if options.before else (("now", ""),):
            day = read_file(options.day)
            day.seed = options.seed
            day.seconds = options.seconds or day.seconds
            expected_shares = None
            if options.unlike:
                expected_shares = [(1, 1, 2, 2, 3, 3)[n % 6] for n in range(len(day.boxes))]
                for server, share in zip(day.boxes, expected_shares, strict=True):
                    server.setup_ms *= 2 / share
            player, breaks = run_day(day, folder, options.way)
            row, counts = summarize(player, breaks, expected_shares)
            row["text"] = options.way or name
            if options.unlike:
                row["by_minute"] = [
                    [
                        round(x, 3)
                        for x in measure.extremes([r[n : n + 60] for r in counts], pools_of(day), expected_shares, 60)
                    ]
                    for n in range(0, int(day.seconds) - 59, 60)
                ]
            rows.append(row)
            runs.append((f"{name}: {day.proxies} proxies, set-ups by server", counts))
            print(json.dumps(row), flush=True)
            for at, rule, text in breaks[:5]:
                print(f"BROKEN at {(at - player.began) / 1e6:.1f}: {rule}: {text}", file=sys.stderr)
        if options.png:
            draw_chart(options.png, runs)
    if options.out:
        with open(options.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
