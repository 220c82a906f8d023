"""Retry budgets of the whole fleet and words on servers, by the size of one service. `python -m bench.scale.budgets`

Simulated (`thorndale/emulator`): as many central servers as proxies, one trunk group, 69 calls a second a proxy, a fifth
of all set-ups answered with a fault from second 6 on. Processor time is that of the emulator's process with sharing less
that without.
"""

import argparse
import statistics
import time
from multiprocessing import Pool

from bench.scale import limits, report, target
from thorndale.emulator.day import Day, S, ScenarioEvent
from thorndale.emulator.fleet import Fleet

SIZES = (8, 16, 24, 37)
LENGTH_S, FAILS_S, FAILING_PART = 30, 6, 0.2
SHARED = "rights words"
PLAY_MB = 300


def day_of(size, seed, share):
    return Day(
        seed=seed,
        length_us=LENGTH_S * S,
        proxies=size,
        servers=(size,),
        one_pool_per_site=True,
        policy="plain",
        calls=target.PROXY_PER_S * size,
        outside=(0.0,),
        scenario_events=(ScenarioEvent(FAILS_S * S, "errors", servers=frozenset(range(size)), factor=FAILING_PART),),
        redials=0,
        peer_exchange=share,
    )


def play(job):
    size, seed = job
    fleet = Fleet(day_of(size, seed, SHARED))
    began = time.process_time()
    played = fleet.run()
    spent = time.process_time() - began
    bare = Fleet(day_of(size, seed, ""))
    began = time.process_time()
    bare.run()
    alone = time.process_time() - began
    peer_network = fleet.peer_network
    used = [peer_network.budget_fraction_used(server, (LENGTH_S - 10) * S, LENGTH_S * S) for server in range(size)]
    return {
        "size": size,
        "seed": seed,
        "datagrams_per_s": round(peer_network.sent / size / LENGTH_S, 2),
        "bytes_per_s": round(peer_network.bytes / size / LENGTH_S),
        "core_part": round((spent - alone) / size / LENGTH_S, 5),
        "over_bound": peer_network.worst_budget_excess()[0],
        "use_least": round(min(used), 3),
        "use_mean": round(statistics.mean(used), 3),
        "breaks": played.breaks,
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    limits.require(limits.Demand(given.cores, given.cores * PLAY_MB, 0))
    sizes = sorted((int(n) for n in given.sizes.split(",")), reverse=True)
    jobs = [(size, seed) for size in sizes for seed in range(1, given.seeds + 1)]
    began = time.monotonic()
    with Pool(given.cores) as pool:
        rows = pool.map(play, jobs, chunksize=1)
    columns = ("datagrams_per_s", "bytes_per_s", "core_part", "use_mean")
    slopes = [report.slope(rows, "size", column, target.SERVICE_SERVERS) for column in columns]
    slopes += [report.slope(rows, "size", column, target.SERVERS) for column in columns]
    report.write("budgets", rows, slopes, time.monotonic() - began, given.out)


if __name__ == "__main__":
    report.run(main)
