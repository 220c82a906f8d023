"""`python -m bench.profile`: where one proxy process spends its time at a steady rate; writes docs/bench/profile.md."""

import argparse
import pstats
import subprocess
import sys
import tempfile
import time

from bench.calls import spawn, write_settings
from thorndale.standins.ports import reserve_port

PACKAGES = (
    ("thorndale/sip/message", "messages: parse, check, encode"),
    ("thorndale/sip/headers", "header values"),
    ("thorndale/sip/uri", "URIs"),
    ("thorndale/sip/transaction", "transactions"),
    ("thorndale/sip/dialog", "dialogs"),
    ("thorndale/call/", "calls"),
    ("thorndale/match/", "rules"),
    ("thorndale/policy", "decision module"),
    ("thorndale/timers", "timers"),
    ("thorndale/net/", "sockets, Python code"),
    ("thorndale/", "rest of thorndale"),
)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--out", default="docs/bench/profile.md")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        server_port, port = reserve_port(), reserve_port()
        server = spawn("box", "udp", server_port, 0, options.calls / options.rate + 60)
        server.stdout.readline()
        path = write_settings(folder, port, server_port, "udp", 5)
        proxy = subprocess.Popen(
            [sys.executable, "-m", "cProfile", "-o", f"{folder}/profile", "-m", "thorndale", "run", path]
        )
        time.sleep(3)
        caller = spawn("caller", "udp", port, options.rate, options.calls, "end", "x")
        caller.stdout.readline()
        caller.wait()
        proxy.terminate()
        proxy.wait()
        server.kill()
        server.wait()
        stats = pstats.Stats(f"{folder}/profile").stats
    seconds_by_package = {}
    for (file, _, name), (_, _, total, _, _) in stats.items():
        if file == "~":
            package = "sendto, recvfrom" if "sendto" in name or "recvfrom" in name else "built-in functions"
        else:
            package = next((label for path_part, label in PACKAGES if path_part in file), None)
            if package is None:
                continue  # imports, the event loop and its waiting
        seconds_by_package[package] = seconds_by_package.get(package, 0.0) + total
    total = sum(seconds_by_package.values())
    lines = [
        "# Where the time of a call goes",
        "",
        f"One run of `python -m bench.profile`: {options.calls} calls at {options.rate} per second on UDP under cProfile, "
        "which overstates the cost of small functions. The event loop's waiting and imports are left out. Built-in "
        "functions (string methods, look-ups) are called mostly by messages and header values.",
        "",
        "| package | share | us per call, profiled |",
        "| --- | ---: | ---: |",
    ]
    for package, seconds in sorted(seconds_by_package.items(), key=lambda pair: -pair[1]):
        lines.append(f"| {package} | {seconds / total:.0%} | {seconds / options.calls * 1e6:.0f} |")
    with open(options.out, "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, ""]))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
