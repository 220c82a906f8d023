"""Cost of fleet-wide retry budgets and peer failure reports by the size of a service: `python -m bench.scale.budgets`

Simulated (`thorndale/emulator`): as many central servers as proxies, one trunk group, 69 calls a second per proxy. From
second 6 on, a fifth of all set-ups is answered with an error. The processor time reported is that of the emulator
process with sharing less that without.
"""

import argparse
import statistics
import time
from multiprocessing import Pool

from bench.scale import limits, report, target
from thorndale.emulator.day import Day, S, ScenarioEvent
from thorndale.emulator.fleet import Fleet

SIZES = (8, 16, 24, 37)
DAY_LENGTH_S, FAULT_START_S, FAILING_SHARE = 30, 6, 0.2
SHARED_STATE = "rights words"
RUN_MB = 300


def build_day(size, seed, share):
    return Day(
        seed=seed,
        length_us=DAY_LENGTH_S * S,
        proxies=size,
        servers=(size,),
        one_pool_per_site=True,
        policy="plain",
        calls=target.PROXY_PER_S * size,
        outside=(0.0,),
        scenario_events=(
            ScenarioEvent(FAULT_START_S * S, "errors", servers=frozenset(range(size)), factor=FAILING_SHARE),
        ),
        redials=0,
        peer_exchange=share,
    )


def measure(job):
    size, seed = job
    fleet = Fleet(build_day(size, seed, SHARED_STATE))
    started_at = time.process_time()
    result = fleet.run()
    sharing_cpu_s = time.process_time() - started_at
    baseline = Fleet(build_day(size, seed, ""))
    started_at = time.process_time()
    baseline.run()
    baseline_cpu_s = time.process_time() - started_at
    peer_network = fleet.peer_network
    budget_use = [
        peer_network.budget_fraction_used(server, (DAY_LENGTH_S - 10) * S, DAY_LENGTH_S * S) for server in range(size)
    ]
    return {
        "size": size,
        "seed": seed,
        "datagrams_per_s": round(peer_network.sent / size / DAY_LENGTH_S, 2),
        "bytes_per_s": round(peer_network.bytes / size / DAY_LENGTH_S),
        "core_part": round((sharing_cpu_s - baseline_cpu_s) / size / DAY_LENGTH_S, 5),
        "over_bound": peer_network.worst_budget_excess()[0],
        "use_least": round(min(budget_use), 3),
        "use_mean": round(statistics.mean(budget_use), 3),
        "breaks": result.breaks,
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    limits.require(limits.Demand(args.cores, args.cores * RUN_MB, 0))
    sizes = sorted((int(n) for n in args.sizes.split(",")), reverse=True)
    jobs = [(size, seed) for size in sizes for seed in range(1, args.seeds + 1)]
    started_at = time.monotonic()
    with Pool(args.cores) as pool:
        rows = pool.map(measure, jobs, chunksize=1)
    columns = ("datagrams_per_s", "bytes_per_s", "core_part", "use_mean")
    slopes = [report.slope(rows, "size", column, target.SERVICE_SERVERS) for column in columns]
    slopes += [report.slope(rows, "size", column, target.SERVERS) for column in columns]
    report.write("budgets", rows, slopes, time.monotonic() - started_at, args.out)


if __name__ == "__main__":
    report.run(main)
