"""Time and memory of the decision module by the number of servers listed and by those in one service.

    python -m bench.scale.decisions [--out FILE]

One decision module alone, without sockets. A decision is a call, its set-up and its end, in three event batches.
`listed`: 37 servers in the service called, the others listed in services of 37. `service`: 1,400 servers listed, a
growing number of them in the service called. `whole_list_ms` and `change_ms`: the time to process a full server list
and a change of one server.
"""

import argparse
import statistics
import time
import tracemalloc

from bench.scale import report, target
from thorndale import interface as io
from thorndale.emulator.day import CallType, S
from thorndale.emulator.settings import module_settings
from thorndale.policy import Proxy
from thorndale.standins.processor import Work

LISTED_SIZES = (37, 100, 200, 400, 800, 1400)
SERVICE_SIZES = (10, 37, 74, 148, 296, 700, 1400)
CALLS = 300
CALL_TYPE = CallType(1.0, 1_200_000, 9_000_000, 5_000_000, 1.0, 0.25)


def listed_servers(listed, in_service):
    """The first `in_service` servers form pool 0, the service called; the others form pools of 37."""
    return [
        io.Server(n, 0 if n < in_service else 1 + (n - in_service) // target.SERVICE_SERVERS, io.SERVING, 0)
        for n in range(listed)
    ]


def measure(listed, in_service):
    tracemalloc.start()
    proxy, servers = (
        Proxy(7, module_settings([CALL_TYPE], Work(), target.SERVERS, [0])),
        listed_servers(listed, in_service),
    )
    full_list = io.Servers(tuple(servers), True, False)
    started_at = time.perf_counter()
    proxy.handle(S, [full_list])
    list_s = time.perf_counter() - started_at
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    now, durations_s = 2 * S, []
    for call in range(CALLS):
        now += int(S / target.PROXY_PER_S)
        started_at = time.perf_counter()
        actions = proxy.handle(now, [io.Call(call, 0, 0, call, 9 * S, 0, False, False)])
        seize = next(a for a in actions if type(a) is io.Seize)
        load_report = io.Report(100, 600, 1_000, None)
        proxy.handle(now + 9_000, [io.Answered(call, 0, seize.server, 9_000)])
        proxy.handle(now + 10_000, [io.SeizureEnded(call, 0, seize.server, io.COMPLETED, 0, 0, True, load_report)])
        durations_s.append(time.perf_counter() - started_at)
    started_at = time.perf_counter()
    proxy.handle(now + S, [io.Servers((servers[0]._replace(state=io.DRAINING),), False, False)])
    change_s = time.perf_counter() - started_at
    return {
        "listed": listed,
        "in_service": in_service,
        "call_us": round(statistics.median(durations_s) * 1e6, 1),
        "call_p99_us": round(sorted(durations_s)[int(0.99 * len(durations_s))] * 1e6, 1),
        "whole_list_ms": round(list_s * 1e3, 2),
        "change_ms": round(change_s * 1e3, 3),
        "memory_kb": round(memory / 1024, 1),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    started_at = time.monotonic()
    by_listed = [{"play": "listed", **measure(n, target.SERVICE_SERVERS)} for n in LISTED_SIZES]
    by_service = [{"play": "service", **measure(target.SERVERS, n)} for n in SERVICE_SIZES]
    slopes = []
    for column in ("call_us", "change_ms", "memory_kb"):
        slopes.append({"play": "listed", **report.slope(by_listed, "listed", column, target.SERVERS)})
    slopes.append({"play": "service", **report.slope(by_service, "in_service", "call_us", target.SERVICE_SERVERS)})
    slopes.append({"play": "service", **report.slope(by_service, "in_service", "call_us", target.SERVERS)})
    report.write("decisions", by_listed + by_service, slopes, time.monotonic() - started_at, args.out)


if __name__ == "__main__":
    report.run(main)
