"""Members in virtual time: cost and convergence by number and by loss. `python -m bench.members [--out FILE]`

Simulated: one message takes 1 to 5 ms, all start within a second. A row for each number, loss and seed.
"""

import argparse
import json
import os
import statistics
import time
from multiprocessing import Pool

from thorndale.emulator.gossip import MembershipNetwork, S, healthy_link

QUIET_S = 20  # seconds over which the steady cost is taken


def play(job):
    n, lose, seed = job

    def link(now, a, b, draw):
        return [] if draw() < lose else healthy_link(now, a, b, draw)

    began = time.process_time()
    net = MembershipNetwork(n, link, seed)
    joined = net.run_until(lambda: net.agreed(range(n)), 180 * S)
    sent, size, cpu, at = net.sent, net.bytes, time.process_time(), net.now
    net.run(at + QUIET_S * S)
    cost = (time.process_time() - cpu) / n / QUIET_S
    grams, bytes_ = (net.sent - sent) / n / QUIET_S, (net.bytes - size) / n / QUIET_S
    net.kill(n // 2)
    killed = net.now
    others = set(range(n)) - {n // 2}
    known = net.run_until(lambda: all(n // 2 not in view for view in net.views(others).values()), 180 * S)
    first = min(
        (at for at, _, member, what, _ in net.state_changes if member == n // 2 and what == "dead" and at > killed),
        default=None,
    )
    return {
        "members": n,
        "lose": lose,
        "seed": seed,
        "joined_s": joined,
        "grams_per_s": round(grams, 2),
        "bytes_per_s": round(bytes_),
        "mean_bytes": round(net.bytes / net.sent),
        "most_bytes": net.max_datagram_bytes,
        "cpu_part": round(cost, 5),
        "first_dead_s": None if first is None else round((first - killed) / S, 1),
        "all_dead_s": known,
        "falsely_dead": sum(1 for s in net.state_changes if s[3] == "dead" and s[2] != n // 2),
        "cpu_s": round(time.process_time() - began, 1),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--numbers", default="5,24,100,228,500")
    parser.add_argument("--lose", default="0,0.1,0.3")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    jobs = [
        (int(n), float(lose), seed)
        for n in given.numbers.split(",")
        for lose in given.lose.split(",")
        for seed in range(1, given.seeds + 1)
    ]
    with Pool(given.cores) as pool:
        rows = pool.map(play, jobs, chunksize=1)
    if given.out:
        with open(given.out, "w") as file:
            json.dump(rows, file, indent=0)
    print(
        "members  lost  joined s (median, worst)  grams/s  bytes/s  mean bytes  cpu part  all know dead s  falsely dead"
    )
    for n, lose in dict.fromkeys((r["members"], r["lose"]) for r in rows):
        own = [r for r in rows if (r["members"], r["lose"]) == (n, lose)]

        def mid(name, own=own):
            values = [r[name] if r[name] is not None else 999.0 for r in own]
            return statistics.median(values), max(values)

        joined, known = mid("joined_s"), mid("all_dead_s")
        print(
            f"{n:7}  {lose:4}  {joined[0]:10.1f} {joined[1]:10.1f}  {mid('grams_per_s')[0]:10.2f}  "
            f"{mid('bytes_per_s')[0]:7.0f}  {mid('mean_bytes')[0]:10.0f}  {mid('cpu_part')[0]:8.5f}  "
            f"{known[0]:7.1f} {known[1]:7.1f}  {sum(r['falsely_dead'] for r in own):6}"
        )


if __name__ == "__main__":
    main()
