"""Chains of real proxy processes, with and without chain marks on the calls, in pairs with the same seeds.

    python -m bench.scale.chain_days [--hops 6] [--width 5] [--seeds 2] [--cases failing,links,sound] [--out FILE]

Border proxies are processes; callers, and the central servers that forward calls, are stand-ins on loopback over UDP.
The auditor checks the five rules at every hop. `still_ms`: how long the stand-ins' own event loop was blocked; where
this is seconds, the stand-ins were the slow part, for lack of processor time. `failing`: one server of the last hop
answers half of its set-ups with 500. `links`: a tenth of the datagrams between the proxies and servers of hop 2 is lost,
those of hop 3 are delayed by 30 ms, one proxy of hop 4 is cut off from one server. `lost progress`: as `failing`, and
the servers send no 181.
"""

import argparse
import asyncio
import time

import uvloop

from bench.scale import limits, report
from thorndale.standins.day import Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import CallTypePlan, CentralServerPlan, Day, Fault

DAY_S, FAULT_START_S, LINK_FAULT_START_S, LINK_FAULT_S = 14.0, 2.0, 3.0, 8.0
SETUP_MS, WORK_PER_SETUP = 60.0, 1.25  # a server's work on a set-up in ms; factor that adds its answer and release
LOAD_SHARE = 0.6  # of the capacity of one hop
LOSS_SHARE, LINK_DELAY_MS = 0.1, 30
CALL_TYPE = CallTypePlan("t", "+2", 1.0, 1200, 9000, 8, 1000)
CASES = ("sound", "failing", "links", "lost progress")
PROXY_MB = 45


def node_names(kind, hop, width):
    """Names of the servers or proxies of a hop; hops are numbered from 1."""
    first = (hop - 1) * width + (kind == "proxy")
    return [f"{kind}{n}" for n in range(first, first + width)]


def links(hops, width):
    """The link faults of the second, third and fourth hop."""
    fault_window = {"at": LINK_FAULT_START_S, "seconds": LINK_FAULT_S}
    plans = [
        LinkPlan(
            to=node_names("box", 2, width), proxies=node_names("proxy", 2, width), lose=LOSS_SHARE, **fault_window
        ),
        LinkPlan(
            to=node_names("box", 3, width),
            proxies=node_names("proxy", 3, width),
            delay_ms=LINK_DELAY_MS,
            **fault_window,
        ),
        LinkPlan(
            to=node_names("box", 4, width)[:1], proxies=node_names("proxy", 4, width)[:1], cut=True, **fault_window
        ),
    ]
    return plans[: max(0, hops - 1)]


def build_day(hops, width, case, chained, seed):
    servers = [CentralServerPlan(f"box{n}", "g", "udp", SETUP_MS) for n in range(hops * width)]
    rate = LOAD_SHARE * width * 1000 / (SETUP_MS * WORK_PER_SETUP)
    day = Day(
        DAY_S,
        rate,
        servers,
        [CALL_TYPE],
        hops * width,
        seed=seed,
        tcp_part=0.0,
        busy_part=0.0,
        redials=0,
        t1_ms=100,
        hops=hops,
        chained=chained,
        progress=case != "lost progress",
    )
    if case in ("failing", "lost progress"):
        day.faults = [Fault(FAULT_START_S, "resets", node_names("box", hops, width)[:1], DAY_S - FAULT_START_S, 0.5)]
    elif case == "links":
        day.links = links(hops, width)
    return day


def play(hops, width, case, chained, seed):
    player = Player(build_day(hops, width, case, chained, seed))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    counts = {outcome: n for (_, outcome), n in player.count.items()}
    offered = max(1, counts.get("offered", 0))
    setups = [
        sum(sum(player.setups[server].values()) for server in node_names("box", hop + 1, width)) for hop in range(hops)
    ]
    latencies_us = sorted(player.setup_times_us) or [0]
    stalls = player.auditor.loop_stalls
    stalled_us = sum(end_us - start_us for start_us, end_us in stalls[min(stalls)]) if stalls else 0
    return {
        "case": case,
        "marked": chained,
        "seed": seed,
        "proxies": hops * width,
        "hops": hops,
        "offered": offered,
        "stood": round(counts.get("stood", 0) / offered, 4),
        "setups_per_call": [round(n / offered, 3) for n in setups],
        "p50_ms": latencies_us[len(latencies_us) // 2] / 1000,
        "p99_ms": latencies_us[int(0.99 * len(latencies_us))] / 1000,
        "breaks": len(breaks),
        "break_texts": [text for _, _, text in breaks[:3]],
        "left": len(leaks(player)),
        "left_what": leaks(player),
        "still_ms": stalled_us // 1000,
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--hops", type=int, default=6)
    parser.add_argument("--width", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    proxies = args.hops * args.width
    limits.require(limits.Demand(proxies + 2, proxies * PROXY_MB, 8 * proxies))
    started_at, rows = time.monotonic(), []
    for case in args.cases.split(","):
        for seed in range(1, args.seeds + 1):
            for chained in (False, True):
                rows.append(play(args.hops, args.width, case, chained, seed))
                print(rows[-1], flush=True)
    report.write("chain_days", rows, [], time.monotonic() - started_at, args.out)


if __name__ == "__main__":
    report.run(main)
