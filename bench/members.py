"""Membership protocol in virtual time: cost and convergence by fleet size and datagram loss.

    python -m bench.members [--out FILE]

Simulated: a datagram takes 1 to 5 ms, and all members start within a second. Writes a row for each size, loss and seed.
"""

import argparse
import json
import os
import statistics
import time
from multiprocessing import Pool

from thorndale.emulator.gossip import MembershipNetwork, S, healthy_link

STEADY_COST_S = 20  # seconds over which the steady cost is measured


def measure_membership(job):
    members, loss, seed = job

    def link(now, a, b, draw):
        return [] if draw() < loss else healthy_link(now, a, b, draw)

    cpu_began = time.process_time()
    net = MembershipNetwork(members, link, seed)
    joined_s = net.run_until(lambda: net.agreed(range(members)), 180 * S)
    sent_before, bytes_before, cpu_before, steady_from = net.sent, net.bytes, time.process_time(), net.now
    net.run(steady_from + STEADY_COST_S * S)
    cpu_fraction = (time.process_time() - cpu_before) / members / STEADY_COST_S
    datagrams_per_s, bytes_per_s = (
        (net.sent - sent_before) / members / STEADY_COST_S,
        (net.bytes - bytes_before) / members / STEADY_COST_S,
    )
    net.kill(members // 2)
    killed_at = net.now
    others = set(range(members)) - {members // 2}
    all_dead_s = net.run_until(lambda: all(members // 2 not in view for view in net.views(others).values()), 180 * S)
    first_dead_at = min(
        (
            at
            for at, _, member, what, _ in net.state_changes
            if member == members // 2 and what == "dead" and at > killed_at
        ),
        default=None,
    )
    return {
        "members": members,
        "lose": loss,
        "seed": seed,
        "joined_s": joined_s,
        "grams_per_s": round(datagrams_per_s, 2),
        "bytes_per_s": round(bytes_per_s),
        "mean_bytes": round(net.bytes / net.sent),
        "most_bytes": net.max_datagram_bytes,
        "cpu_part": round(cpu_fraction, 5),
        "first_dead_s": None if first_dead_at is None else round((first_dead_at - killed_at) / S, 1),
        "all_dead_s": all_dead_s,
        "falsely_dead": sum(1 for s in net.state_changes if s[3] == "dead" and s[2] != members // 2),
        "cpu_s": round(time.process_time() - cpu_began, 1),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--numbers", default="5,24,100,228,500")
    parser.add_argument("--lose", default="0,0.1,0.3")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--cores", type=int, default=os.cpu_count())
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    jobs = [
        (int(members), float(loss), seed)
        for members in options.numbers.split(",")
        for loss in options.lose.split(",")
        for seed in range(1, options.seeds + 1)
    ]
    with Pool(options.cores) as pool:
        rows = pool.map(measure_membership, jobs, chunksize=1)
    if options.out:
        with open(options.out, "w") as file:
            json.dump(rows, file, indent=0)
    print(
        "members  loss  joined s (median, worst)  datagrams/s  bytes/s  mean bytes  CPU share  all report dead s  falsely dead"
    )
    for members, loss in dict.fromkeys((r["members"], r["lose"]) for r in rows):
        matching = [r for r in rows if (r["members"], r["lose"]) == (members, loss)]

        def median_and_worst(name, matching=matching):
            values = [r[name] if r[name] is not None else 999.0 for r in matching]
            return statistics.median(values), max(values)

        joined, all_dead = median_and_worst("joined_s"), median_and_worst("all_dead_s")
        print(
            f"{members:7}  {loss:4}  {joined[0]:10.1f} {joined[1]:10.1f}  {median_and_worst('grams_per_s')[0]:10.2f}  "
            f"{median_and_worst('bytes_per_s')[0]:7.0f}  {median_and_worst('mean_bytes')[0]:10.0f}  {median_and_worst('cpu_part')[0]:8.5f}  "
            f"{all_dead[0]:7.1f} {all_dead[1]:7.1f}  {sum(r['falsely_dead'] for r in matching):6}"
        )


if __name__ == "__main__":
    main()
