"""Retry leases and peer failure reports in the emulator: the same seeded days with and without them.

    python -m bench.sharing dead [--numbers 5,24,100,228,500]   # a server dies, but stays on the server list
    python -m bench.sharing slander                             # no faults; one or a tenth report false failures
    python -m bench.sharing rights                              # a fifth of all set-ups fail, some runs partitioned
    python -m bench.sharing days [--seeds 200]                  # random faults of bench/spread.py, some partitioned
    python -m bench.sharing cost                                # datagrams, bytes and CPU time, 5 to 500 proxies

All figures are simulated. Writes a row for each run to --out.
"""

import argparse
import json
import os
import statistics
import time
from multiprocessing import Pool

from bench.spread import S, base_day, fault_day
from thorndale.emulator.day import ScenarioEvent
from thorndale.emulator.fleet import Fleet
from thorndale.emulator.peer_network import PeerLinkFault
from thorndale.fleet import wire
from thorndale.fleet.wire import FailureReport

LEASES_AND_REPORTS = "rights words"
EVENT_S = 30  # second of the event
ALONE, SHARED, NOT_RECEIVING = "alone", "shared", "deaf"


def sum_counts(fleet, component):
    total = {}
    for share in fleet.peer_network.exchanges if fleet.peer_network else ():
        for name, n in getattr(share, component).count.items() if getattr(share, component) else ():
            total[name] = total.get(name, 0) + n
    return total


def run_dead_server(job):
    proxies, peer_network, kind, seed = job
    day = base_day(seed, "", proxies, 75, False)._replace(
        peer_exchange=peer_network,
        scenario_events=(ScenarioEvent(EVENT_S * S, kind, servers=frozenset({3}), announced=False),),
    )
    fleet = Fleet(day)
    played = fleet.run()
    setups = fleet.setups[3]
    usual_per_s = sum(setups[10:EVENT_S]) / (EVENT_S - 10)
    busy_seconds = [
        second for second in range(EVENT_S, len(setups) - 4) if sum(setups[second : second + 4]) / 4 > usual_per_s / 4
    ]
    avoided_s = max(busy_seconds, default=EVENT_S) + 1 - EVENT_S
    return {
        "proxies": proxies,
        "share": peer_network,
        "kind": kind,
        "seed": seed,
        "usual_per_s": round(usual_per_s, 1),
        "lost_until_avoided": sum(setups[EVENT_S : EVENT_S + avoided_s]),
        "avoided_s": avoided_s,
        "lost_in_45_s": sum(setups[EVENT_S:]),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "words": sum_counts(fleet, "words"),
    }


def faulty_reporter(fleet):
    """Returns a filter that adds false failure reports, each second for another third of the servers."""
    servers = fleet.peer_network.exchanges[0].words.servers

    def replace_reports(now, outgoing):
        return [
            (
                recipient,
                wire.Datagram(
                    datagram.version,
                    datagram.kind,
                    datagram.sender,
                    datagram.boot_id,
                    datagram.incarnation,
                    datagram.number,
                    datagram.about,
                    datagram.updates[:3],
                    datagram.rows[:3],
                    [
                        FailureReport(server, datagram.sender, 0, 0, False)
                        for server in servers[now // S % 3 :: 3][: wire.MAX_REPORTS]
                    ],
                ),
            )
            for recipient, datagram in outgoing
        ]

    return replace_reports


def run_faulty_reporters(job):
    proxies, reporters, seed = job
    fleet = Fleet(base_day(seed, "", proxies, 60, False)._replace(peer_exchange=LEASES_AND_REPORTS))
    fleet.peer_network.falsifiers = dict.fromkeys(range(reporters), faulty_reporter(fleet))
    played = fleet.run()
    return {
        "proxies": proxies,
        "liars": reporters,
        "seed": seed,
        "revenue": round(played.earned_fraction(), 5),
        "rejected": played.rejected,
        "p99_ms": played.waits_us[int(len(played.waits_us) * 0.99)] / 1000,
        "breaks": played.breaks,
        "words": sum_counts(fleet, "words"),
    }


def run_retry_leases(job):
    proxies, share_mode, partitioned, seed = job
    half = frozenset(range(proxies // 2))
    day = base_day(seed, "", proxies, 80, False)._replace(
        peer_exchange=share_mode,
        scenario_events=(ScenarioEvent(15 * S, "errors", servers=frozenset(range(24)), factor=0.2),),
        peer_links=(PeerLinkFault(30 * S, 60 * S, half, frozenset(range(proxies))),) if partitioned else (),
    )
    fleet = Fleet(day)
    if not share_mode:  # without sharing, a counter takes its place
        return {"proxies": proxies, "share": "", "cut": partitioned, "seed": seed, **run_unshared(fleet)}
    played = fleet.run()
    peer_network = fleet.peer_network
    budget_use = [
        peer_network.budget_fraction_used(server, (40 if partitioned else 30) * S, (60 if partitioned else 80) * S)
        for server in range(24)
    ]
    return {
        "proxies": proxies,
        "share": share_mode,
        "cut": partitioned,
        "seed": seed,
        "over": peer_network.worst_budget_excess()[0],
        "use_least": round(min(budget_use), 3),
        "use_mean": round(statistics.mean(budget_use), 3),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "rights": sum_counts(fleet, "rights"),
    }


class UnsharedCounter:
    """Replaces the Sharing of a fleet: counts first set-ups and retries at the servers, but exchanges no datagrams."""

    def __init__(self, fleet):
        from thorndale.emulator.peer_network import PeerNetwork

        self.first_setups, self.retries = [[] for _ in fleet.servers], [[] for _ in fleet.servers]
        self.fleet, self.odds_before, self.record_seizure = fleet, lambda *_: (), lambda *_: None
        self.record_setup = PeerNetwork.record_setup.__get__(self)
        self.worst_budget_excess, self.budget_fraction_used = (
            PeerNetwork.worst_budget_excess.__get__(self),
            PeerNetwork.budget_fraction_used.__get__(self),
        )


def run_unshared(fleet):
    fleet.peer_network = UnsharedCounter(fleet)
    played = fleet.run()
    budget_use = [fleet.peer_network.budget_fraction_used(server, 30 * S, 80 * S) for server in range(24)]
    return {
        "over": fleet.peer_network.worst_budget_excess()[0],
        "use_least": round(min(budget_use), 3),
        "use_mean": round(statistics.mean(budget_use), 3),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "rights": {},
    }


def run_days(job):
    seed, mode = job
    day, kind, at_s, _ = fault_day(seed, "")
    if mode == SHARED and seed % 4 == 1:  # a temporary partition: half of the fleet receives nothing
        half = frozenset(range(day.proxies // 2))
        day = day._replace(
            peer_links=(PeerLinkFault((at_s - 5) * S, (at_s + 20) * S, half, frozenset(range(day.proxies))),)
        )
    if mode == NOT_RECEIVING:
        all_proxies = frozenset(range(day.proxies))
        day = day._replace(peer_links=(PeerLinkFault(0, 1 << 60, all_proxies, all_proxies),))
    fleet = Fleet(day._replace(peer_exchange="" if mode == ALONE else LEASES_AND_REPORTS))
    played = fleet.run()
    return {
        "seed": seed,
        "how": mode,
        "kind": kind,
        "revenue": round(played.earned_fraction(), 5),
        "breaks": played.breaks,
        "over": fleet.peer_network.worst_budget_excess()[0] if fleet.peer_network else None,
    }


def run_cost(job):
    proxies, seed = job
    day = base_day(seed, "", proxies, 60, False, rate=3.0 * proxies)._replace(peer_exchange=LEASES_AND_REPORTS)
    fleet = Fleet(day)
    began = time.process_time()
    fleet.run()
    cpu_s = time.process_time() - began
    unshared = Fleet(day._replace(peer_exchange=""))
    began = time.process_time()
    unshared.run()
    cpu_s -= time.process_time() - began
    peer_network = fleet.peer_network
    return {
        "proxies": proxies,
        "seed": seed,
        "grams_per_s": round(peer_network.sent / proxies / 60, 2),
        "bytes_per_s": round(peer_network.bytes / proxies / 60),
        "mean_bytes": round(peer_network.bytes / peer_network.sent),
        "core_part": round(cpu_s / proxies / 60, 5),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("dead", "slander", "rights", "days", "cost"))
    parser.add_argument("--numbers", default="5,24,100,228,500")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    numbers, seeds = (
        [int(proxies) for proxies in options.numbers.split(",")],
        range(options.first, options.first + options.seeds),
    )
    measure, jobs = {
        "dead": (
            run_dead_server,
            [
                (proxies, share_mode, kind, seed)
                for proxies in numbers
                for kind in ("killed", "dark")
                for share_mode in ("", LEASES_AND_REPORTS)
                for seed in seeds
            ],
        ),
        "slander": (
            run_faulty_reporters,
            [
                (proxies, reporters, seed)
                for proxies in numbers
                if proxies > 9
                for reporters in (0, 1, proxies // 10)
                for seed in seeds
            ],
        ),
        "rights": (
            run_retry_leases,
            [
                (proxies, share_mode, partitioned, seed)
                for proxies in numbers
                for share_mode, partitioned in (("", False), (LEASES_AND_REPORTS, False), (LEASES_AND_REPORTS, True))
                for seed in seeds
            ],
        ),
        "days": (
            run_days,
            [
                (seed, mode)
                for seed in seeds
                for mode in (ALONE, SHARED, NOT_RECEIVING)
                if mode != NOT_RECEIVING or seed % 10 == 0
            ],
        ),
        "cost": (run_cost, [(proxies, seed) for proxies in numbers for seed in seeds]),
    }[options.what]
    rows = []
    with Pool(options.cores) as pool:
        for row in pool.imap(measure, jobs, chunksize=1):
            rows.append(row)
            if options.what != "days":
                print(json.dumps(row), flush=True)
    if options.what == "days":
        for mode in (SHARED, NOT_RECEIVING):
            rows_by_seed = {r["seed"]: r for r in rows if r["how"] == mode}
            differences = {
                r["seed"]: rows_by_seed[r["seed"]]["revenue"] - r["revenue"]
                for r in rows
                if r["how"] == ALONE and r["seed"] in rows_by_seed
            }
            worst = sorted(differences.items(), key=lambda item: item[1])[:3]
            half_interval = (
                1.96 * statistics.stdev(differences.values()) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
            )
            print(
                f"{mode} minus alone, revenue: {statistics.mean(differences.values()):+.5f} +- {half_interval:.5f}, {len(differences)} days, worst "
                + ", ".join(
                    f"{rows_by_seed[seed]['kind']} (seed {seed}) {difference:+.5f}" for seed, difference in worst
                )
                + f"; rules broken on {sum(bool(r['breaks']) for r in rows_by_seed.values())}; retries over the limit on "
                f"{sum(r['over'] > 0 for r in rows_by_seed.values())}"
            )
    if options.out:
        with open(options.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
