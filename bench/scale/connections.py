"""Connections of a proxy that calls every server, and of a server that every proxy calls.

    python -m bench.scale.connections [--servers 37,74,148,296] [--proxies 8,16,32,64] [--out FILE]

Real processes on loopback over TCP, run as days. `proxy`: one proxy, 69 calls a second over all listed servers;
descriptors, memory and processor time are those of the proxy. `server`: two servers, 3 calls a second from each proxy;
`held` is the largest number of connections that one server had open at a time.
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
DAY_S, SAMPLE_AT_S = 14.0, 12.0
PROXY_MB = 45
CALL_TYPE = CallTypePlan("t", "+2", 1.0, 1200, 9000, 3, 1000)


class SampledPlayer(Player):
    """Plays a day and samples the process of its first proxy once, SAMPLE_AT_S after the start."""

    process_sample = None

    async def _fault(self, fault):
        await asyncio.sleep(SAMPLE_AT_S)
        pid = self.processes["proxy1"].pid
        self.process_sample = {
            "descriptors": len(os.listdir(f"/proc/{pid}/fd")),
            "memory_mb": round(calls.resident_bytes(pid) / 1e6, 1),
            "core": round(calls.cpu_seconds(pid) / SAMPLE_AT_S, 4),
        }


def measure(servers, proxies, rate):
    server_plans = [CentralServerPlan(f"box{n}", f"g{n // target.SERVICE_SERVERS}", "tcp", 4.0) for n in range(servers)]
    day = Day(DAY_S, rate, server_plans, [CALL_TYPE], proxies, tcp_part=0.0, redials=0, t1_ms=100)
    day.faults = [Fault(0.0, "burst", [], DAY_S)]  # starts SampledPlayer's sample; there is no burst
    player = SampledPlayer(day)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    peaks = [peak for peak, _ in player.connections.values()]
    opened = sum(count for _, count in player.connections.values())
    return {
        "held": max(peaks),
        "opened": opened,
        "breaks": len(breaks),
        "left": len(leaks(player)),
        **player.process_sample,
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--servers", default=",".join(map(str, SERVERS)))
    parser.add_argument("--proxies", default=",".join(map(str, PROXIES)))
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    servers, proxies = ([int(n) for n in text.split(",")] for text in (args.servers, args.proxies))
    most_proxies = max(proxies)
    limits.require(limits.Demand(most_proxies + 4, (most_proxies + 4) * PROXY_MB, 3 * max(servers)))
    started_at = time.monotonic()
    proxy_rows = [{"play": "proxy", "servers": n, **measure(n, 1, target.PROXY_PER_S)} for n in servers]
    server_rows = [{"play": "server", "proxies": n, **measure(2, n, 3.0 * n)} for n in proxies]
    slopes = [
        {"play": "proxy", **report.slope(proxy_rows, "servers", column, target.SERVERS)}
        for column in ("descriptors", "memory_mb", "core", "opened")
    ]
    slopes.append({"play": "server", **report.slope(server_rows, "proxies", "held", target.SERVERS)})
    slopes.append({"play": "server", **report.slope(server_rows, "proxies", "held", target.SERVICE_SERVERS)})
    report.write("connections", proxy_rows + server_rows, slopes, time.monotonic() - started_at, args.out)


if __name__ == "__main__":
    report.run(main)
