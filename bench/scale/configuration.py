"""From a change being published to its being in force, by today's means. `python -m bench.scale.configuration`

Today a change of the rules is a file written for each proxy and SIGHUP to it; there is no mechanism that spreads it.
Real proxies without calls on this machine, which shares its cores among all of them: `operator_ms` is what writing and
signalling take from one place, one proxy after another; `each_ms` the processor time that a proxy takes for it.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bench import calls
from bench.scale import limits, report, target
from thorndale.standins.ports import reserve_port

PROXIES = (20, 40, 80, 120)
RULES = 100  # rules of the file that changes
PROXY_MB = 45
START_S, CHANGE_S = 60.0, 30.0
ROUNDS = 3


def rules_text(edition):
    """Rules that differ by edition in one header."""
    lines = [
        f'rule "r{n}" {{ when prefix(number, "+221{n:03d}") type t header "X-Edition" = "{edition}" }}'
        for n in range(RULES)
    ]
    return "\n".join([*lines, "default { type t }", ""])


class Proxies:
    """`count` proxies on loopback, ended by their ids at the end of `with`."""

    def __init__(self, folder, count):
        self.folder, self.processes, self.rules, self.logs = folder, [], [], []
        for number in range(count):
            port, name = reserve_port(), f"proxy{number}"
            path, rules, log = (Path(folder) / f"{name}.{tail}" for tail in ("json5", "rules", "log"))
            rules.write_text(rules_text(0), encoding="utf-8")
            path.write_text(json.dumps(self._settings(name, port, rules, log)), encoding="utf-8")
            self.rules.append(rules)
            self.logs.append(log)
            self.processes.append(
                subprocess.Popen([sys.executable, "-m", "thorndale", "run", str(path)], stdout=subprocess.DEVNULL)
            )

    def _settings(self, name, port, rules, log):
        return {
            "name": name,
            "listen": [f"udp:127.0.0.1:{port}"],
            "trunk_groups": [{"name": "a"}],
            "servers": [{"name": "box", "uri": "sip:127.0.0.1:9", "trunk_group": "a"}],
            "call_types": [{"name": "t", "setup_target_ms": 1200, "guard_ms": 9000, "trunk_groups": ["a"]}],
            "matching": {"file": rules.name},
            "stop": {"calls_ms": 100, "quit_ms": 100},
            "log": {"level": "info", "file": str(log)},
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def said(self, event, times, most_s):
        """Waits until each proxy has said so, so often. Raises TimeoutError."""
        end, waiting = time.monotonic() + most_s, list(self.logs)
        while waiting:
            waiting = [log for log in waiting if not log.exists() or log.read_text().count(f'"{event}"') < times]
            if time.monotonic() > end:
                raise TimeoutError(f"{len(waiting)} proxies have not said {event!r}")
            time.sleep(0.01)

    def publish(self, edition):
        """Writes the rules for each and signals it; gives the seconds that took."""
        began = time.monotonic()
        for rules, process in zip(self.rules, self.processes, strict=True):
            half = rules.with_suffix(".half")
            half.write_text(rules_text(edition), encoding="utf-8")
            half.replace(rules)
            os.kill(process.pid, signal.SIGHUP)
        return time.monotonic() - began


def play(count):
    with tempfile.TemporaryDirectory() as folder, Proxies(folder, count) as proxies:
        proxies.said("pid", 1, START_S)
        rows = []
        for edition in range(1, ROUNDS + 1):
            before = [calls.cpu(p.pid) for p in proxies.processes]
            began = time.monotonic()
            operator_s = proxies.publish(edition)
            proxies.said("rules in force", edition, CHANGE_S)
            in_force_s = time.monotonic() - began
            spent = sum(calls.cpu(p.pid) for p in proxies.processes) - sum(before)
            rows.append((in_force_s, operator_s, spent / count))
            time.sleep(0.3)
    in_force, operator, each = (sorted(column)[len(column) // 2] for column in zip(*rows, strict=True))
    return {
        "proxies": count,
        "in_force_ms": round(in_force * 1e3, 1),
        "operator_ms": round(operator * 1e3, 2),
        "each_ms": round(each * 1e3, 2),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", default=",".join(map(str, PROXIES)))
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    sizes = [int(n) for n in given.proxies.split(",")]
    limits.require(limits.Demand(max(sizes), max(sizes) * PROXY_MB, 0))
    began = time.monotonic()
    rows = [play(n) for n in sizes]
    columns = ("in_force_ms", "operator_ms", "each_ms")
    slopes = [report.slope(rows, "proxies", column, target.SERVERS) for column in columns]
    report.write("configuration", rows, slopes, time.monotonic() - began, given.out, rules=RULES)


if __name__ == "__main__":
    report.run(main)
