"""Chains of real processes, with and without the marks of a chain, in pairs on the same seeds.

    python -m bench.scale.chain_days [--hops 6] [--width 5] [--seeds 2] [--cases failing,links,sound] [--out FILE]

Border proxies are processes; central servers that carry calls on and callers are stand-ins, on loopback by UDP. The
auditor judges the five rules at every hop. `still_ms`: for how long the stand-ins' own loop stood still; where that is
seconds, their processors are what was slow. `failing`: one server of the last hop answers half of its set-ups with a
fault. `links`: a tenth of the datagrams between hop 2's proxies and servers is lost, those of hop 3 come 30 ms later,
one proxy of hop 4 is cut off from one server. `lost progress`: as `failing`, the servers send no 181.
"""

import argparse
import asyncio
import time

import uvloop

from bench.scale import limits, report
from thorndale.standins.day import Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import CallTypePlan, CentralServerPlan, Day, Fault

SECONDS, FAULT_FROM_S, LINKS_FROM_S, LINKS_S = 14.0, 2.0, 3.0, 8.0
SETUP_MS, WORK_PER_SETUP = 60.0, 1.25  # ms of a server's work on a set-up; with its answer and release, so much more
LOAD = 0.6  # of the capacity of one hop
LOST, LATE_MS = 0.1, 30
TYPE = CallTypePlan("t", "+2", 1.0, 1200, 9000, 8, 1000)
CASES = ("sound", "failing", "links", "lost progress")
PROXY_MB = 45


def names(kind, hop, width):
    """Boxes or proxies of a hop, from 1."""
    first = (hop - 1) * width + (kind == "proxy")
    return [f"{kind}{n}" for n in range(first, first + width)]


def links(hops, width):
    """What befalls the links of the second, third and fourth hop."""
    span = {"at": LINKS_FROM_S, "seconds": LINKS_S}
    plans = [
        LinkPlan(to=names("box", 2, width), proxies=names("proxy", 2, width), lose=LOST, **span),
        LinkPlan(to=names("box", 3, width), proxies=names("proxy", 3, width), delay_ms=LATE_MS, **span),
        LinkPlan(to=names("box", 4, width)[:1], proxies=names("proxy", 4, width)[:1], cut=True, **span),
    ]
    return plans[: max(0, hops - 1)]


def day_of(hops, width, case, chained, seed):
    boxes = [CentralServerPlan(f"box{n}", "g", "udp", SETUP_MS) for n in range(hops * width)]
    rate = LOAD * width * 1000 / (SETUP_MS * WORK_PER_SETUP)
    day = Day(
        SECONDS,
        rate,
        boxes,
        [TYPE],
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
        day.faults = [Fault(FAULT_FROM_S, "resets", names("box", hops, width)[:1], SECONDS - FAULT_FROM_S, 0.5)]
    elif case == "links":
        day.links = links(hops, width)
    return day


def play(hops, width, case, chained, seed):
    player = Player(day_of(hops, width, case, chained, seed))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    count = {what: n for (_, what), n in player.count.items()}
    offered = max(1, count.get("offered", 0))
    setups = [sum(sum(player.setups[box].values()) for box in names("box", hop + 1, width)) for hop in range(hops)]
    setup_times_us = sorted(player.setup_times_us) or [0]
    loop_stalls = player.auditor.loop_stalls
    still_us = sum(ended - began for began, ended in loop_stalls[min(loop_stalls)]) if loop_stalls else 0
    return {
        "case": case,
        "marked": chained,
        "seed": seed,
        "proxies": hops * width,
        "hops": hops,
        "offered": offered,
        "stood": round(count.get("stood", 0) / offered, 4),
        "setups_per_call": [round(n / offered, 3) for n in setups],
        "p50_ms": setup_times_us[len(setup_times_us) // 2] / 1000,
        "p99_ms": setup_times_us[int(0.99 * len(setup_times_us))] / 1000,
        "breaks": len(breaks),
        "break_texts": [text for _, _, text in breaks[:3]],
        "left": len(leaks(player)),
        "left_what": leaks(player),
        "still_ms": still_us // 1000,
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--hops", type=int, default=6)
    parser.add_argument("--width", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    proxies = given.hops * given.width
    limits.require(limits.Demand(proxies + 2, proxies * PROXY_MB, 8 * proxies))
    began, rows = time.monotonic(), []
    for case in given.cases.split(","):
        for seed in range(1, given.seeds + 1):
            for chained in (False, True):
                rows.append(play(given.hops, given.width, case, chained, seed))
                print(rows[-1], flush=True)
    report.write("chain_days", rows, [], time.monotonic() - began, given.out)


if __name__ == "__main__":
    report.run(main)
