"""What proxies tell each other, in the emulator: the same seeded days with and without it.

    python -m bench.sharing dead [--numbers 5,24,100,228,500]   # a server dies and the list goes on naming it
    python -m bench.sharing slander                             # a sound fleet, one or a tenth of its members lie
    python -m bench.sharing rights                              # a fifth of all set-ups faulty, all hear, half deaf
    python -m bench.sharing days [--seeds 200]                  # drawn faults (bench/spread.py) in pairs, half deaf in some
    python -m bench.sharing cost                                # datagrams, bytes, processor time from 5 to 500

All figures are simulated. A row for each run goes to --out.
"""

import argparse
import json
import os
import statistics
import time
from multiprocessing import Pool

from bench.spread import S, base, faulty
from thorndale.emulator.day import ScenarioEvent
from thorndale.emulator.fleet import Fleet
from thorndale.emulator.peer_network import PeerLinkFault
from thorndale.fleet import wire
from thorndale.fleet.wire import FailureReport

BOTH = "rights words"
AT = 30  # second of the event
ALONE, SHARED, DEAF = "alone", "shared", "deaf"


def counts(fleet, part):
    total = {}
    for share in fleet.peer_network.exchanges if fleet.peer_network else ():
        for name, n in getattr(share, part).count.items() if getattr(share, part) else ():
            total[name] = total.get(name, 0) + n
    return total


def dead(job):
    n, share, kind, seed = job
    day = base(seed, "", n, 75, False)._replace(
        peer_exchange=share, scenario_events=(ScenarioEvent(AT * S, kind, servers=frozenset({3}), announced=False),)
    )
    fleet = Fleet(day)
    played = fleet.run()
    row = fleet.setups[3]
    usual = sum(row[10:AT]) / (AT - 10)
    busy = [s for s in range(AT, len(row) - 4) if sum(row[s : s + 4]) / 4 > usual / 4]
    avoided = max(busy, default=AT) + 1 - AT
    return {
        "proxies": n,
        "share": share,
        "kind": kind,
        "seed": seed,
        "usual_per_s": round(usual, 1),
        "lost_until_avoided": sum(row[AT : AT + avoided]),
        "avoided_s": avoided,
        "lost_in_45_s": sum(row[AT:]),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "words": counts(fleet, "words"),
    }


def liar(fleet):
    """Says with each message that every server has just lost a set-up of its own."""
    ids = fleet.peer_network.exchanges[0].words.servers

    def lie(now, out):
        return [
            (
                to,
                wire.Datagram(
                    g.version,
                    g.kind,
                    g.sender,
                    g.boot_id,
                    g.incarnation,
                    g.number,
                    g.about,
                    g.updates[:3],
                    g.rows[:3],
                    [FailureReport(s, g.sender, 0, 0, False) for s in ids[now // S % 3 :: 3][: wire.MAX_REPORTS]],
                ),
            )
            for to, g in out
        ]

    return lie


def slander(job):
    n, liars, seed = job
    fleet = Fleet(base(seed, "", n, 60, False)._replace(peer_exchange=BOTH))
    fleet.peer_network.falsifiers = dict.fromkeys(range(liars), liar(fleet))
    played = fleet.run()
    return {
        "proxies": n,
        "liars": liars,
        "seed": seed,
        "revenue": round(played.earned_fraction(), 5),
        "rejected": played.rejected,
        "p99_ms": played.waits_us[int(len(played.waits_us) * 0.99)] / 1000,
        "breaks": played.breaks,
        "words": counts(fleet, "words"),
    }


def rights(job):
    n, share, cut, seed = job
    half = frozenset(range(n // 2))
    day = base(seed, "", n, 80, False)._replace(
        peer_exchange=share,
        scenario_events=(ScenarioEvent(15 * S, "errors", servers=frozenset(range(24)), factor=0.2),),
        peer_links=(PeerLinkFault(30 * S, 60 * S, half, frozenset(range(n))),) if cut else (),
    )
    fleet = Fleet(day)
    if not share:  # counted all the same
        return {"proxies": n, "share": "", "cut": cut, "seed": seed, **alone(fleet)}
    played = fleet.run()
    peer_network = fleet.peer_network
    used = [peer_network.budget_fraction_used(s, (40 if cut else 30) * S, (60 if cut else 80) * S) for s in range(24)]
    return {
        "proxies": n,
        "share": share,
        "cut": cut,
        "seed": seed,
        "over": peer_network.worst_budget_excess()[0],
        "use_least": round(min(used), 3),
        "use_mean": round(statistics.mean(used), 3),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "rights": counts(fleet, "rights"),
    }


class Counting:
    """Stands where a PeerNetwork would: counts what comes to the servers, tells nobody anything."""

    def __init__(self, fleet):
        from thorndale.emulator.peer_network import PeerNetwork

        self.first_setups, self.retries = [[] for _ in fleet.servers], [[] for _ in fleet.servers]
        self.fleet, self.odds_before, self.record_seizure = fleet, lambda *_: (), lambda *_: None
        self.record_setup = PeerNetwork.record_setup.__get__(self)
        self.worst_budget_excess, self.budget_fraction_used = (
            PeerNetwork.worst_budget_excess.__get__(self),
            PeerNetwork.budget_fraction_used.__get__(self),
        )


def alone(fleet):
    fleet.peer_network = Counting(fleet)
    played = fleet.run()
    used = [fleet.peer_network.budget_fraction_used(s, 30 * S, 80 * S) for s in range(24)]
    return {
        "over": fleet.peer_network.worst_budget_excess()[0],
        "use_least": round(min(used), 3),
        "use_mean": round(statistics.mean(used), 3),
        "revenue": round(played.earned_fraction(), 4),
        "breaks": played.breaks,
        "rights": {},
    }


def days(job):
    seed, how = job
    day, kind, at, _ = faulty(seed, "")
    if how == SHARED and seed % 4 == 1:  # half of the fleet hears nothing for a while
        half = frozenset(range(day.proxies // 2))
        day = day._replace(
            peer_links=(PeerLinkFault((at - 5) * S, (at + 20) * S, half, frozenset(range(day.proxies))),)
        )
    if how == DEAF:
        every = frozenset(range(day.proxies))
        day = day._replace(peer_links=(PeerLinkFault(0, 1 << 60, every, every),))
    fleet = Fleet(day._replace(peer_exchange="" if how == ALONE else BOTH))
    played = fleet.run()
    return {
        "seed": seed,
        "how": how,
        "kind": kind,
        "revenue": round(played.earned_fraction(), 5),
        "breaks": played.breaks,
        "over": fleet.peer_network.worst_budget_excess()[0] if fleet.peer_network else None,
    }


def cost(job):
    n, seed = job
    day = base(seed, "", n, 60, False, rate=3.0 * n)._replace(peer_exchange=BOTH)
    fleet = Fleet(day)
    began = time.process_time()
    fleet.run()
    spent = time.process_time() - began
    bare = Fleet(day._replace(peer_exchange=""))
    began = time.process_time()
    bare.run()
    spent -= time.process_time() - began
    peer_network = fleet.peer_network
    return {
        "proxies": n,
        "seed": seed,
        "grams_per_s": round(peer_network.sent / n / 60, 2),
        "bytes_per_s": round(peer_network.bytes / n / 60),
        "mean_bytes": round(peer_network.bytes / peer_network.sent),
        "core_part": round(spent / n / 60, 5),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("dead", "slander", "rights", "days", "cost"))
    parser.add_argument("--numbers", default="5,24,100,228,500")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    numbers, seeds = [int(n) for n in given.numbers.split(",")], range(given.first, given.first + given.seeds)
    job, jobs = {
        "dead": (
            dead,
            [
                (n, share, kind, s)
                for n in numbers
                for kind in ("killed", "dark")
                for share in ("", BOTH)
                for s in seeds
            ],
        ),
        "slander": (slander, [(n, liars, s) for n in numbers if n > 9 for liars in (0, 1, n // 10) for s in seeds]),
        "rights": (
            rights,
            [
                (n, share, cut, s)
                for n in numbers
                for share, cut in (("", False), (BOTH, False), (BOTH, True))
                for s in seeds
            ],
        ),
        "days": (days, [(s, how) for s in seeds for how in (ALONE, SHARED, DEAF) if how != DEAF or s % 10 == 0]),
        "cost": (cost, [(n, s) for n in numbers for s in seeds]),
    }[given.what]
    rows = []
    with Pool(given.cores) as pool:
        for row in pool.imap(job, jobs, chunksize=1):
            rows.append(row)
            if given.what != "days":
                print(json.dumps(row), flush=True)
    if given.what == "days":
        for how in (SHARED, DEAF):
            by = {r["seed"]: r for r in rows if r["how"] == how}
            gaps = {
                r["seed"]: by[r["seed"]]["revenue"] - r["revenue"]
                for r in rows
                if r["how"] == ALONE and r["seed"] in by
            }
            worst = sorted(gaps.items(), key=lambda g: g[1])[:3]
            spread = 1.96 * statistics.stdev(gaps.values()) / len(gaps) ** 0.5 if len(gaps) > 1 else 0.0
            print(
                f"{how} less alone, revenue: {statistics.mean(gaps.values()):+.5f} +- {spread:.5f}, {len(gaps)} days, worst "
                + ", ".join(f"{by[s]['kind']} (seed {s}) {gap:+.5f}" for s, gap in worst)
                + f"; rules broken on {sum(bool(r['breaks']) for r in by.values())}; over the bound on "
                f"{sum(r['over'] > 0 for r in by.values())}"
            )
    if given.out:
        with open(given.out, "w") as file:
            json.dump(rows, file, indent=0)


if __name__ == "__main__":
    main()
