"""Latency that one real proxy adds to a call at 69 calls a second, and its control cost, by the size of its fleet.

    python -m bench.scale.callpath [--members 0,100,200,400,800,1400] [--out FILE]

One proxy process, one central server and one caller on loopback over UDP. The other members of the fleet are hollow
members on real sockets. They share the machine's cores with the proxy, so the direct path from caller to server is
measured while they run too. 0 members: fleet control is off. `idle_core` is the share of a core that the proxy uses
before the first call, `core` the share with calls.
"""

import argparse
import json
import tempfile
import time

from bench import calls
from bench.scale import limits, report, target
from bench.scale.hollow import Plan, Workers
from thorndale.standins.ports import reserve_port

MEMBERS = (0, 100, 200, 400, 800, 1400)
HOLLOW_PROCESSES = 5
MEMBER_MB, PROCESS_MB = 0.3, 60  # resident memory of a hollow member and of an empty worker process
CALLS_PER_S = round(target.PROXY_PER_S)
LOAD_S, IDLE_S, SETTLE_S = 12.0, 6.0, 3.0


def write_settings(folder, port, server_port, fleet):
    """Writes the proxy's settings file: the settings of `bench.calls` with the fleet added. Returns its path."""
    path = calls.write_settings(folder, port, server_port, "udp", 1)
    with open(path, encoding="utf-8") as file:
        content = json.load(file)
    content |= {"name": "proxy0", "instances": max(1, len(fleet))}
    if fleet:
        members = [
            {"name": f"proxy{n}", "at": f"udp:{host}:{member_port}"} for n, (host, member_port) in enumerate(fleet)
        ]
        content["fleet"] = {"listen": members[0]["at"], "members": members}
        content["log"] = {"level": "info", "file": f"{folder}/log"}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(content, file)
    return path


def offer_calls(port, rate=CALLS_PER_S):
    """Runs one caller against this port; returns the result line it prints."""
    caller = calls.spawn("caller", "udp", port, rate, int(rate * LOAD_S), "end", "x", 1 << 30)
    result = json.loads(caller.stdout.readline())
    caller.wait()
    return result


def last_member_counts(folder):
    """Counts of the last `members` line in the proxy's log: bytes and datagrams sent since its start."""
    with open(f"{folder}/log", encoding="utf-8") as file:
        lines = [json.loads(line) for line in file if '"members"' in line]
    counts = [line["counts"] for line in lines if line.get("event") == "members"]
    return counts[-1] if counts else {"bytes": 0, "sent": 0, "heard": 0}


def measure(members):
    with tempfile.TemporaryDirectory() as folder:
        server_port, port, fleet_port = reserve_port(), reserve_port(), reserve_port()
        server = calls.spawn("box", "udp", server_port, 0, 240)
        server.stdout.readline()
        if not members:
            return measure_proxy(folder, port, server_port, server, offer_calls(server_port), [])
        plan = Plan(members)
        with Workers(plan, HOLLOW_PROCESSES, {0: ("127.0.0.1", fleet_port)}) as workers:
            workers.begin()
            workers.wait(SETTLE_S)
            return measure_proxy(folder, port, server_port, server, offer_calls(server_port), workers.addresses)


def measure_proxy(folder, port, server_port, server, direct, fleet):
    proxy = calls.start_proxy(write_settings(folder, port, server_port, fleet), port, 60)
    try:
        time.sleep(SETTLE_S)
        cpu_before, started_at = calls.cpu_seconds(proxy.pid), time.monotonic()
        time.sleep(IDLE_S)
        idle_share = (calls.cpu_seconds(proxy.pid) - cpu_before) / (time.monotonic() - started_at)
        memory = calls.resident_bytes(proxy.pid)
        cpu_before, started_at = calls.cpu_seconds(proxy.pid), time.monotonic()
        result = offer_calls(port)
        cpu_s, seconds = calls.cpu_seconds(proxy.pid) - cpu_before, time.monotonic() - started_at
        proxy.terminate()
        proxy.wait(20)
    finally:
        for process in (server, proxy):
            process.kill()
            process.wait()
    counts = last_member_counts(folder) if fleet else {"bytes": 0, "sent": 0, "heard": 0}
    lifetime_s = SETTLE_S + IDLE_S + seconds
    return {
        "members": len(fleet),
        "stood": result["stood"],
        "failed": result["failed"],
        "lost": result["lost"],
        "direct_p50_us": direct["us"]["50"],
        "direct_p99_us": direct["us"]["99"],
        "added_p50_us": result["us"]["50"] - direct["us"]["50"],
        "added_p99_us": result["us"]["99"] - direct["us"]["99"],
        "idle_core": round(idle_share, 4),
        "core": round(cpu_s / seconds, 4),
        "memory_mb": round(memory / 1e6, 1),
        "sent_bytes_per_s": round(counts["bytes"] / lifetime_s, 1),
        "sent_datagrams_per_s": round(counts["sent"] / lifetime_s, 2),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", default=",".join(map(str, MEMBERS)))
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    sizes = [int(n) for n in args.members.split(",")]
    largest = max(sizes)
    memory = HOLLOW_PROCESSES * PROCESS_MB + largest * MEMBER_MB + 200
    limits.require(limits.Demand(HOLLOW_PROCESSES + 4, memory, -(-largest // HOLLOW_PROCESSES)))
    run_started_at, rows = time.monotonic(), []
    for round_number in range(args.rounds):
        for members in sizes:
            rows.append({"round": round_number, **measure(members)})
            print(rows[-1], flush=True)
    slopes = []
    if len([n for n in sizes if n]) > 3:
        fleets = [row for row in rows if row["members"]]
        for column in ("added_p50_us", "added_p99_us", "idle_core", "core", "memory_mb", "sent_bytes_per_s"):
            slopes.append(report.slope(fleets, "members", column, target.SERVERS))
    report.write("callpath", rows, slopes, time.monotonic() - run_started_at, args.out, rate=CALLS_PER_S)


if __name__ == "__main__":
    report.run(main)
