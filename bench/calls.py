"""`python -m bench.calls`: set-ups a second of one proxy process, what it adds to a set-up, what a standing call holds.

Everything in one run on this machine: first caller and box directly, then through a bare UDP relay, then through the
proxy on UDP with retries off and on and on TCP, at growing rates; then 10,000 and 50,000 standing calls. Writes
docs/bench/calls.json, calls.md and calls.png.
"""

import argparse
import json
import os
import platform
import subprocess
import sys
import tempfile
import time

from thorndale.standins.ports import reserve_port

RATES = (100, 300, 500, 700, 900, 1000, 1100, 1200, 1400)
STANDING = (0, 10_000, 50_000)
TICK = os.sysconf("SC_CLK_TCK")
SOUND = 0.995  # part of the calls that must stand for a rate to count as reached


def spawn(*args, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "bench.ends", *map(str, args)], stdout=subprocess.PIPE, text=True, **more
    )


def settings(folder, port, box_port, transport, seizures, records=""):
    tail = ";transport=tcp" if transport == "tcp" else ""
    path = f"{folder}/proxy{port}.json5"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(
            {
                "listen": [f"udp:127.0.0.1:{port}", f"tcp:127.0.0.1:{port}"],
                "trunk_groups": [{"name": "a"}],
                "servers": [{"name": "box", "uri": f"sip:127.0.0.1:{box_port}{tail}", "trunk_group": "a"}],
                "call_types": [
                    {
                        "name": "timetable",
                        "setup_target_ms": 1200,
                        "guard_ms": 9000,
                        "trunk_groups": ["a"],
                        "hold_ms": 10_000,
                    }
                ],
                "matching": {"text": "default { type timetable }"},
                "limits": {"seizures": seizures, "open_calls": 100_000, "lag_ms": 0, "transactions": 1_000_000},
                **({"records": {"folder": f"{folder}/records{port}", "answer": records}} if records else {}),
                "stop": {"calls_ms": 100, "quit_ms": 100},
                "log": {"level": "warning", "file": f"{folder}/log"},
            },
            file,
        )
    return path


def start_proxy(path, port, wait_s=15):
    process = subprocess.Popen([sys.executable, "-m", "thorndale", "run", path])
    import socket

    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return process
        time.sleep(0.05)
    raise SystemExit("the proxy did not start")


def cpu(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        parts = file.read().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / TICK


def rss(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmRSS"))


def one(way, rate, seconds, folder, records="", window=1 << 30):
    """One rate by one way: what the caller saw, and the CPU of what stood between, per call in us. `window`: calls that
    may be out at once; with a rate out of reach, `reached` is then what the way takes."""
    transport = "tcp" if way == "proxy tcp" else "udp"
    box_port, port = reserve_port(), reserve_port()
    fails = 50 if way in ("proxy udp, retries off", "proxy udp, retries on") else 0
    box = spawn("box", transport, box_port, fails, seconds + 30)
    box.stdout.readline()
    middle = None
    if way == "relay":
        middle = spawn("relay", port, box_port)
        middle.stdout.readline()
    elif way != "direct":
        middle = start_proxy(
            settings(folder, port, box_port, transport, 1 if way.endswith("off") else 5, records), port
        )
    try:
        before = cpu(middle.pid) if middle else 0
        caller = spawn("caller", transport, port if middle else box_port, rate, int(rate * seconds), "end", "x", window)
        found = json.loads(caller.stdout.readline())
        caller.wait()
        used = (cpu(middle.pid) - before) if middle else 0
        calls = int(rate * seconds)
        return {
            "way": way,
            "rate": rate,
            "calls": calls,
            "stood": found["stood"],
            "failed": found["failed"],
            "lost": found["lost"],
            "repeated": found["repeated"],
            "us": found["us"],
            "reached": round(calls / found["seconds"], 1),
            "cpu_us_call": round(used / calls * 1e6),
            "cpu_part": round(used / seconds, 3),
        }
    finally:
        for process in (box, middle):
            if process is not None:
                process.kill()
                process.wait()


def standing(transport, calls, rate, folder):
    """Memory and idle CPU of the proxy with this many standing calls, transactions gone."""
    box_port, port = reserve_port(), reserve_port()
    box = spawn("box", transport, box_port, 0, calls / rate * 2 + 120)
    box.stdout.readline()
    proxy = start_proxy(settings(folder, port, box_port, transport, 5), port)
    try:
        time.sleep(1)
        empty = rss(proxy.pid)
        caller = spawn("caller", transport, port, rate, calls, "hold", "y", stdin=subprocess.PIPE) if calls else None
        if caller:
            caller.stdout.readline()
            time.sleep(38)  # timers J, L and M are 32 s
        full, before = rss(proxy.pid), cpu(proxy.pid)
        time.sleep(10)
        idle = (cpu(proxy.pid) - before) / 10
        if caller:
            caller.stdin.write("\n")
            caller.stdin.flush()
            ended = json.loads(caller.stdout.readline())
            caller.wait()
        return {
            "transport": transport,
            "calls": calls,
            "rss": full,
            "empty": empty,
            "idle_cpu_part": round(idle, 4),
            "bytes_a_call": round((full - empty) / calls) if calls else 0,
            "stood": ended["stood"] if caller else 0,
            "ended": ended["ended"] if caller else 0,
        }
    finally:
        for process in (box, proxy):
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--standing", type=int, nargs="*", default=STANDING)
    parser.add_argument("--out", default="docs/bench")
    options = parser.parse_args()
    rows, held = [], []
    with tempfile.TemporaryDirectory() as folder:
        for way in ("direct", "relay", "proxy udp", "proxy udp, retries off", "proxy udp, retries on", "proxy tcp"):
            for rate in options.rates:
                row = one(way, rate, options.seconds, folder)
                rows.append(row)
                print(json.dumps(row), flush=True)
                if row["stood"] + row["failed"] < SOUND * row["calls"]:
                    break
        for transport in ("udp", "tcp"):
            for calls in options.standing:
                held.append(standing(transport, calls, 600, folder))
                print(json.dumps(held[-1]), flush=True)
    machine = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "system": platform.system(),
        "machine": platform.machine(),
        "date": time.strftime("%Y-%m-%d"),
    }
    os.makedirs(options.out, exist_ok=True)
    with open(f"{options.out}/calls.json", "w", encoding="utf-8") as file:
        json.dump({"machine": machine, "seconds": options.seconds, "rates": rows, "standing": held}, file, indent=1)
    write(options.out)


def reached(rows, way):
    good = [
        r
        for r in rows
        if r["way"] == way and r["stood"] + r["failed"] >= SOUND * r["calls"] and r["us"]["99"] < 100_000
    ]
    return max((r["rate"] for r in good), default=0)


def write(out):
    """The table and the chart from calls.json."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    with open(f"{out}/calls.json", encoding="utf-8") as file:
        found = json.load(file)
    rows, machine = found["rates"], found["machine"]
    direct = {r["rate"]: r for r in rows if r["way"] == "direct"}
    lines = [
        "# Set-ups a second of one proxy",
        "",
        f"One run of `python -m bench.calls` on {machine['date']}: {machine['cores']} cores, {machine['machine']}, "
        f"Python {machine['python']}, loopback, {found['seconds']:.0f} s a rate. A call is INVITE to BYE on both legs. "
        "Added: set-up time less that of the direct way at the same rate, ms. The rows with retries have each 50th "
        "set-up answered with 500 by the box.",
        "",
        "| way | calls/s | stood | failed | lost | repeated | p50 added | p99 added | p99.9 added | CPU us/call | CPU |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for r in rows:
        base = direct.get(r["rate"])
        added = [
            f"{(r['us'][p] - base['us'][p]) / 1000:.2f}"
            if base and r["way"] != "direct"
            else f"({r['us'][p] / 1000:.2f})"
            for p in ("50", "99", "99.9")
        ]
        lines.append(
            f"| {r['way']} | {r['rate']} | {r['stood']} | {r['failed']} | {r['lost']} | {r['repeated']} | "
            f"{' | '.join(added)} | {r['cpu_us_call']} | {r['cpu_part']:.0%} |"
        )
    lines += [
        "",
        "Highest rate at which 99.5% of the calls were answered with a p99 below 100 ms, and as a ratio to the "
        "bare relay in the same run:",
        "",
    ]
    for way in dict.fromkeys(r["way"] for r in rows):
        top, relay = reached(rows, way), reached(rows, "relay")
        lines.append(f"- {way}: {top} calls/s ({top / relay:.2f} of the relay)" if relay else f"- {way}: {top} calls/s")
    lines += ["", "CPU a call at 1,000 a second, as a multiple of the bare relay's:", ""]
    at = {r["way"]: r["cpu_us_call"] for r in rows if r["rate"] == 1000}
    if at.get("relay"):
        lines += [f"- {way}: {used / at['relay']:.1f}" for way, used in at.items() if used]
    lines += [
        "",
        "## Standing calls",
        "",
        "Transactions are over; RSS against the same process before the first call.",
        "",
        "| transport | calls | RSS MB | bytes a call | idle CPU |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    for h in found["standing"]:
        lines.append(
            f"| {h['transport']} | {h['calls']} | {h['rss'] / 1e6:.0f} | {h['bytes_a_call']} | "
            f"{h['idle_cpu_part']:.1%} |"
        )
    with open(f"{out}/calls.md", "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, "", "![p99 of the set-up time by rate](calls.png)", ""]))
    figure, axis = plt.subplots(figsize=(8, 4.5))
    for way in dict.fromkeys(r["way"] for r in rows):
        points = [(r["rate"], r["us"]["99"] / 1000) for r in rows if r["way"] == way]
        axis.plot(*zip(*points, strict=True), marker="o", label=way)
    axis.set(xlabel="calls a second", ylabel="p99 of the set-up time, ms", yscale="log")
    axis.grid(True, alpha=0.3)
    axis.legend()
    figure.tight_layout()
    figure.savefig(f"{out}/calls.png", dpi=110)


if __name__ == "__main__":
    main()
