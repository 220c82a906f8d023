"""`python -m bench.profile`: where one proxy process spends its time at a steady rate; writes docs/bench/profile.md."""

import argparse
import pstats
import subprocess
import sys
import tempfile
import time

from bench.calls import settings, spawn
from thorndale.standins.ports import reserve_port

ROOMS = (
    ("thorndale/sip/message", "messages: parse, check, encode"),
    ("thorndale/sip/headers", "inside header values"),
    ("thorndale/sip/uri", "URIs"),
    ("thorndale/sip/transaction", "transactions"),
    ("thorndale/sip/dialog", "dialogs"),
    ("thorndale/call/", "calls"),
    ("thorndale/match/", "rules"),
    ("thorndale/policy", "the module"),
    ("thorndale/timers", "timers"),
    ("thorndale/net/", "sockets, Python's part"),
    ("thorndale/", "the rest of ours"),
)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--out", default="docs/bench/profile.md")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        box_port, port = reserve_port(), reserve_port()
        box = spawn("box", "udp", box_port, 0, options.calls / options.rate + 60)
        box.stdout.readline()
        path = settings(folder, port, box_port, "udp", 5)
        proxy = subprocess.Popen(
            [sys.executable, "-m", "cProfile", "-o", f"{folder}/profile", "-m", "thorndale", "run", path]
        )
        time.sleep(3)
        caller = spawn("caller", "udp", port, options.rate, options.calls, "end", "x")
        caller.stdout.readline()
        caller.wait()
        proxy.terminate()
        proxy.wait()
        box.kill()
        box.wait()
        stats = pstats.Stats(f"{folder}/profile").stats
    own = {}
    for (file, _, name), (_, _, total, _, _) in stats.items():
        if file == "~":
            room = "sendto, recvfrom" if "sendto" in name or "recvfrom" in name else "built-in functions"
        else:
            room = next((says for part, says in ROOMS if part in file), None)
            if room is None:
                continue  # imports, the loop and its waiting
        own[room] = own.get(room, 0.0) + total
    total = sum(own.values())
    lines = [
        "# Where the time of a call goes",
        "",
        f"One run of `python -m bench.profile`: {options.calls} calls at {options.rate} a second on UDP under cProfile, "
        "which makes small functions dearer than they are. The loop's waiting and imports are left out; built-in "
        "functions (string methods, look-ups) belong mostly to messages and header values.",
        "",
        "| part | share | us a call, profiled |",
        "| --- | ---: | ---: |",
    ]
    for room, seconds in sorted(own.items(), key=lambda pair: -pair[1]):
        lines.append(f"| {room} | {seconds / total:.0%} | {seconds / options.calls * 1e6:.0f} |")
    with open(options.out, "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, ""]))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
