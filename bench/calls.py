"""`python -m bench.calls`: set-ups per second of a proxy process, the set-up time it adds, bytes per established call.

One run on one machine, at increasing rates: the caller connects to the server stand-in directly, then through a bare
UDP relay, then through the proxy on UDP with retries off and on, and on TCP. After that, 10,000 and 50,000 established
calls are kept open. Writes docs/bench/calls.json, calls.md and calls.png.
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
ESTABLISHED_COUNTS = (0, 10_000, 50_000)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIN_ANSWERED_FRACTION = 0.995  # share of the calls that must be answered for a rate to count as reached


def spawn(*args, **popen_options):
    return subprocess.Popen(
        [sys.executable, "-m", "bench.ends", *map(str, args)], stdout=subprocess.PIPE, text=True, **popen_options
    )


def write_settings(folder, port, server_port, transport, seizures, answer_order=""):
    uri_transport = ";transport=tcp" if transport == "tcp" else ""
    path = f"{folder}/proxy{port}.json5"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(
            {
                "listen": [f"udp:127.0.0.1:{port}", f"tcp:127.0.0.1:{port}"],
                "trunk_groups": [{"name": "a"}],
                "servers": [{"name": "box", "uri": f"sip:127.0.0.1:{server_port}{uri_transport}", "trunk_group": "a"}],
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
                **({"records": {"folder": f"{folder}/records{port}", "answer": answer_order}} if answer_order else {}),
                "stop": {"calls_ms": 100, "quit_ms": 100},
                "log": {"level": "warning", "file": f"{folder}/log"},
            },
            file,
        )
    return path


def start_proxy(path, port, wait_s=15):
    process = subprocess.Popen([sys.executable, "-m", "thorndale", "run", path])
    import socket

    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return process
        time.sleep(0.05)
    raise SystemExit("the proxy did not start")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        stat_fields = file.read().rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmRSS"))


def measure_rate(topology, rate, seconds, folder, answer_order="", max_unanswered=1 << 30):
    """Measures one rate over one topology: the caller's results, and the CPU time of the proxy or relay per call in us.

    `max_unanswered` limits the calls in flight; with a rate above capacity, `reached` is then the throughput of the
    topology."""
    transport = "tcp" if topology == "proxy tcp" else "udp"
    server_port, port = reserve_port(), reserve_port()
    fail_each = 50 if topology in ("proxy udp, retries off", "proxy udp, retries on") else 0
    server = spawn("box", transport, server_port, fail_each, seconds + 30)
    server.stdout.readline()
    forwarder = None
    if topology == "relay":
        forwarder = spawn("relay", port, server_port)
        forwarder.stdout.readline()
    elif topology != "direct":
        forwarder = start_proxy(
            write_settings(folder, port, server_port, transport, 1 if topology.endswith("off") else 5, answer_order),
            port,
        )
    try:
        cpu_before = cpu_seconds(forwarder.pid) if forwarder else 0
        caller = spawn(
            "caller",
            transport,
            port if forwarder else server_port,
            rate,
            int(rate * seconds),
            "end",
            "x",
            max_unanswered,
        )
        result = json.loads(caller.stdout.readline())
        caller.wait()
        cpu_used = (cpu_seconds(forwarder.pid) - cpu_before) if forwarder else 0
        calls = int(rate * seconds)
        return {
            "way": topology,
            "rate": rate,
            "calls": calls,
            "stood": result["stood"],
            "failed": result["failed"],
            "lost": result["lost"],
            "repeated": result["repeated"],
            "us": result["us"],
            "reached": round(calls / result["seconds"], 1),
            "cpu_us_call": round(cpu_used / calls * 1e6),
            "cpu_part": round(cpu_used / seconds, 3),
        }
    finally:
        for process in (server, forwarder):
            if process is not None:
                process.kill()
                process.wait()


def measure_established(transport, calls, rate, folder):
    """Memory and idle CPU of the proxy with this many established calls, after their transactions have ended."""
    server_port, port = reserve_port(), reserve_port()
    server = spawn("box", transport, server_port, 0, calls / rate * 2 + 120)
    server.stdout.readline()
    proxy = start_proxy(write_settings(folder, port, server_port, transport, 5), port)
    try:
        time.sleep(1)
        rss_before = resident_bytes(proxy.pid)
        caller = spawn("caller", transport, port, rate, calls, "hold", "y", stdin=subprocess.PIPE) if calls else None
        if caller:
            caller.stdout.readline()
            time.sleep(38)  # transactions end with the SIP timers J, L and M, 32 s each
        rss_during, cpu_before = resident_bytes(proxy.pid), cpu_seconds(proxy.pid)
        time.sleep(10)
        idle_fraction = (cpu_seconds(proxy.pid) - cpu_before) / 10
        if caller:
            caller.stdin.write("\n")
            caller.stdin.flush()
            result = json.loads(caller.stdout.readline())
            caller.wait()
        return {
            "transport": transport,
            "calls": calls,
            "rss": rss_during,
            "empty": rss_before,
            "idle_cpu_part": round(idle_fraction, 4),
            "bytes_a_call": round((rss_during - rss_before) / calls) if calls else 0,
            "stood": result["stood"] if caller else 0,
            "ended": result["ended"] if caller else 0,
        }
    finally:
        for process in (server, proxy):
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--standing", type=int, nargs="*", default=ESTABLISHED_COUNTS)
    parser.add_argument("--out", default="docs/bench")
    options = parser.parse_args()
    rows, established = [], []
    with tempfile.TemporaryDirectory() as folder:
        for topology in (
            "direct",
            "relay",
            "proxy udp",
            "proxy udp, retries off",
            "proxy udp, retries on",
            "proxy tcp",
        ):
            for rate in options.rates:
                row = measure_rate(topology, rate, options.seconds, folder)
                rows.append(row)
                print(json.dumps(row), flush=True)
                if row["stood"] + row["failed"] < MIN_ANSWERED_FRACTION * row["calls"]:
                    break
        for transport in ("udp", "tcp"):
            for calls in options.standing:
                established.append(measure_established(transport, calls, 600, folder))
                print(json.dumps(established[-1]), flush=True)
    machine = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "system": platform.system(),
        "machine": platform.machine(),
        "date": time.strftime("%Y-%m-%d"),
    }
    os.makedirs(options.out, exist_ok=True)
    with open(f"{options.out}/calls.json", "w", encoding="utf-8") as file:
        json.dump(
            {"machine": machine, "seconds": options.seconds, "rates": rows, "standing": established}, file, indent=1
        )
    write_report(options.out)


def highest_rate(rows, topology):
    sustained = [
        r
        for r in rows
        if r["way"] == topology
        and r["stood"] + r["failed"] >= MIN_ANSWERED_FRACTION * r["calls"]
        and r["us"]["99"] < 100_000
    ]
    return max((r["rate"] for r in sustained), default=0)


def write_report(folder):
    """Writes the table and the chart from calls.json."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    with open(f"{folder}/calls.json", encoding="utf-8") as file:
        results = json.load(file)
    rows, machine = results["rates"], results["machine"]
    direct = {row["rate"]: row for row in rows if row["way"] == "direct"}
    lines = [
        "# Set-ups per second of one proxy",
        "",
        f"One run of `python -m bench.calls` on {machine['date']}: {machine['cores']} cores, {machine['machine']}, "
        f"Python {machine['python']}, loopback, {results['seconds']:.0f} s per rate. A call is INVITE to BYE on both legs. "
        "Added: set-up time minus that of the direct topology at the same rate, ms. In the rows with retries off and on, "
        "the server stand-in answers each 50th set-up with 500.",
        "",
        "| topology | calls/s | answered | failed | lost | retransmitted | p50 added | p99 added | p99.9 added | CPU us/call | CPU |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for row in rows:
        baseline = direct.get(row["rate"])
        added = [
            f"{(row['us'][p] - baseline['us'][p]) / 1000:.2f}"
            if baseline and row["way"] != "direct"
            else f"({row['us'][p] / 1000:.2f})"
            for p in ("50", "99", "99.9")
        ]
        lines.append(
            f"| {row['way']} | {row['rate']} | {row['stood']} | {row['failed']} | {row['lost']} | {row['repeated']} | "
            f"{' | '.join(added)} | {row['cpu_us_call']} | {row['cpu_part']:.0%} |"
        )
    lines += [
        "",
        "Highest rate at which 99.5% of the calls were answered with a p99 below 100 ms, and as a ratio to the "
        "bare relay in the same run:",
        "",
    ]
    for topology in dict.fromkeys(row["way"] for row in rows):
        top, relay = highest_rate(rows, topology), highest_rate(rows, "relay")
        lines.append(
            f"- {topology}: {top} calls/s ({top / relay:.2f} of the relay)" if relay else f"- {topology}: {top} calls/s"
        )
    lines += ["", "CPU per call at 1,000 calls/s, as a multiple of the bare relay's:", ""]
    cpu_us_by_topology = {row["way"]: row["cpu_us_call"] for row in rows if row["rate"] == 1000}
    if cpu_us_by_topology.get("relay"):
        lines += [
            f"- {topology}: {cpu_us / cpu_us_by_topology['relay']:.1f}"
            for topology, cpu_us in cpu_us_by_topology.items()
            if cpu_us
        ]
    lines += [
        "",
        "## Established calls",
        "",
        "Measured after all transactions have ended; RSS is compared with the same process before the first call.",
        "",
        "| transport | calls | RSS MB | bytes per call | idle CPU |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    for memory_row in results["standing"]:
        lines.append(
            f"| {memory_row['transport']} | {memory_row['calls']} | {memory_row['rss'] / 1e6:.0f} | {memory_row['bytes_a_call']} | "
            f"{memory_row['idle_cpu_part']:.1%} |"
        )
    with open(f"{folder}/calls.md", "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, "", "![p99 of the set-up time by rate](calls.png)", ""]))
    figure, axis = plt.subplots(figsize=(8, 4.5))
    for topology in dict.fromkeys(row["way"] for row in rows):
        points = [(row["rate"], row["us"]["99"] / 1000) for row in rows if row["way"] == topology]
        axis.plot(*zip(*points, strict=True), marker="o", label=topology)
    axis.set(xlabel="calls per second", ylabel="p99 of the set-up time, ms", yscale="log")
    axis.grid(True, alpha=0.3)
    axis.legend()
    figure.tight_layout()
    figure.savefig(f"{folder}/calls.png", dpi=110)


if __name__ == "__main__":
    main()
