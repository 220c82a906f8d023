"""What one real proxy adds to a call at 69 a second and what it spends on control, by the members of its fleet.

    python -m bench.scale.callpath [--members 0,100,200,400,800,1400] [--out FILE]

One proxy process, one central server, one caller, on loopback by UDP; the other members of its fleet are hollow ones
on real sockets, which share the machine's cores with it: so the direct way is measured beside them too. 0: control off.
`idle_core` is the proxy's part of a core before the first call, and `core` with calls.
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
MEMBER_MB, PROCESS_MB = 0.3, 60
RATE = round(target.PROXY_PER_S)
SECONDS, IDLE_S, SETTLE_S = 12.0, 6.0, 3.0


def settings(folder, port, box_port, fleet):
    """The settings file of the proxy: that of the bench of calls, and its fleet."""
    path = calls.settings(folder, port, box_port, "udp", 1)
    with open(path, encoding="utf-8") as file:
        content = json.load(file)
    content |= {"name": "proxy0", "instances": max(1, len(fleet))}
    if fleet:
        members = [{"name": f"proxy{n}", "at": f"udp:{host}:{at}"} for n, (host, at) in enumerate(fleet)]
        content["fleet"] = {"listen": members[0]["at"], "members": members}
        content["log"] = {"level": "info", "file": f"{folder}/log"}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(content, file)
    return path


def offered(to, rate=RATE):
    caller = calls.spawn("caller", "udp", to, rate, int(rate * SECONDS), "end", "x", 1 << 30)
    found = json.loads(caller.stdout.readline())
    caller.wait()
    return found


def sent_bytes(folder):
    """Bytes and datagrams that the proxy's last `members` line says it has sent."""
    with open(f"{folder}/log", encoding="utf-8") as file:
        lines = [json.loads(line) for line in file if '"members"' in line]
    found = [line["counts"] for line in lines if line.get("event") == "members"]
    return found[-1] if found else {"bytes": 0, "sent": 0, "heard": 0}


def play(members):
    with tempfile.TemporaryDirectory() as folder:
        box_port, port, own = reserve_port(), reserve_port(), reserve_port()
        box = calls.spawn("box", "udp", box_port, 0, 240)
        box.stdout.readline()
        if not members:
            return proxied(folder, port, box_port, box, offered(box_port), [])
        plan = Plan(members)
        with Workers(plan, HOLLOW_PROCESSES, {0: ("127.0.0.1", own)}) as workers:
            workers.begin()
            workers.wait(SETTLE_S)
            return proxied(folder, port, box_port, box, offered(box_port), workers.places)


def proxied(folder, port, box_port, box, direct, fleet):
    proxy = calls.start_proxy(settings(folder, port, box_port, fleet), port, 60)
    try:
        time.sleep(SETTLE_S)
        before, at = calls.cpu(proxy.pid), time.monotonic()
        time.sleep(IDLE_S)
        idle = (calls.cpu(proxy.pid) - before) / (time.monotonic() - at)
        memory = calls.rss(proxy.pid)
        before, at = calls.cpu(proxy.pid), time.monotonic()
        found = offered(port)
        spent, seconds = calls.cpu(proxy.pid) - before, time.monotonic() - at
        proxy.terminate()
        proxy.wait(20)
    finally:
        for process in (box, proxy):
            process.kill()
            process.wait()
    counts = sent_bytes(folder) if fleet else {"bytes": 0, "sent": 0, "heard": 0}
    life_s = SETTLE_S + IDLE_S + seconds
    return {
        "members": len(fleet),
        "stood": found["stood"],
        "failed": found["failed"],
        "lost": found["lost"],
        "direct_p50_us": direct["us"]["50"],
        "direct_p99_us": direct["us"]["99"],
        "added_p50_us": found["us"]["50"] - direct["us"]["50"],
        "added_p99_us": found["us"]["99"] - direct["us"]["99"],
        "idle_core": round(idle, 4),
        "core": round(spent / seconds, 4),
        "memory_mb": round(memory / 1e6, 1),
        "sent_bytes_per_s": round(counts["bytes"] / life_s, 1),
        "sent_datagrams_per_s": round(counts["sent"] / life_s, 2),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", default=",".join(map(str, MEMBERS)))
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    sizes = [int(n) for n in given.members.split(",")]
    most = max(sizes)
    memory = HOLLOW_PROCESSES * PROCESS_MB + most * MEMBER_MB + 200
    limits.require(limits.Demand(HOLLOW_PROCESSES + 4, memory, -(-most // HOLLOW_PROCESSES)))
    began, rows = time.monotonic(), []
    for turn in range(given.rounds):
        for members in sizes:
            rows.append({"round": turn, **play(members)})
            print(rows[-1], flush=True)
    slopes = []
    if len([n for n in sizes if n]) > 3:
        fleets = [row for row in rows if row["members"]]
        for column in ("added_p50_us", "added_p99_us", "idle_core", "core", "memory_mb", "sent_bytes_per_s"):
            slopes.append(report.slope(fleets, "members", column, target.SERVERS))
    report.write("callpath", rows, slopes, time.monotonic() - began, given.out, rate=RATE)


if __name__ == "__main__":
    report.run(main)
