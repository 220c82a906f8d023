"""Connections of a proxy that may call every server, and of a server that every proxy may call.

    python -m bench.scale.connections [--servers 37,74,148,296] [--proxies 8,16,32,64] [--out FILE]

Real processes on loopback by TCP, played as days. `proxy`: one proxy, 69 calls a second over all listed servers;
descriptors, memory and processor time are the proxy's own. `server`: two servers, 3 calls a second from each proxy;
`held` is the most connections that one server held.
"""

import argparse
import asyncio
import os
import time

import uvloop

from bench import calls
from bench.scale import limits, report, target
from thorndale.standins.day import Player, leaks
from thorndale.standins.script import CallTypePlan, CentralServerPlan, Day, Fault

SERVERS, PROXIES = (37, 74, 148, 296), (8, 16, 32, 64)
SECONDS, LOOKED_AT_S = 14.0, 12.0
PROXY_MB = 45
TYPE = CallTypePlan("t", "+2", 1.0, 1200, 9000, 3, 1000)


class Watched(Player):
    """A day that looks at its first proxy's process some seconds after its start."""

    look = None

    async def _fault(self, fault):
        await asyncio.sleep(LOOKED_AT_S)
        pid = self.processes["proxy1"].pid
        self.look = {
            "descriptors": len(os.listdir(f"/proc/{pid}/fd")),
            "memory_mb": round(calls.rss(pid) / 1e6, 1),
            "core": round(calls.cpu(pid) / LOOKED_AT_S, 4),
        }


def play(servers, proxies, rate):
    boxes = [CentralServerPlan(f"box{n}", f"g{n // target.SERVICE_SERVERS}", "tcp", 4.0) for n in range(servers)]
    day = Day(SECONDS, rate, boxes, [TYPE], proxies, tcp_part=0.0, redials=0, t1_ms=100)
    day.faults = [Fault(0.0, "burst", [], SECONDS)]  # the moment at which `Watched` looks, and no burst
    player = Watched(day)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    held = [most for most, _ in player.connections.values()]
    opened = sum(count for _, count in player.connections.values())
    return {"held": max(held), "opened": opened, "breaks": len(breaks), "left": len(leaks(player)), **player.look}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--servers", default=",".join(map(str, SERVERS)))
    parser.add_argument("--proxies", default=",".join(map(str, PROXIES)))
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    servers, proxies = ([int(n) for n in text.split(",")] for text in (given.servers, given.proxies))
    most = max(proxies)
    limits.require(limits.Demand(most + 4, (most + 4) * PROXY_MB, 3 * max(servers)))
    began = time.monotonic()
    own = [{"play": "proxy", "servers": n, **play(n, 1, target.PROXY_PER_S)} for n in servers]
    theirs = [{"play": "server", "proxies": n, **play(2, n, 3.0 * n)} for n in proxies]
    slopes = [
        {"play": "proxy", **report.slope(own, "servers", column, target.SERVERS)}
        for column in ("descriptors", "memory_mb", "core", "opened")
    ]
    slopes.append({"play": "server", **report.slope(theirs, "proxies", "held", target.SERVERS)})
    slopes.append({"play": "server", **report.slope(theirs, "proxies", "held", target.SERVICE_SERVERS)})
    report.write("connections", own + theirs, slopes, time.monotonic() - began, given.out)


if __name__ == "__main__":
    report.run(main)
