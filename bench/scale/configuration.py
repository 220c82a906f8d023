"""Time from publishing a change of the rules until it is in force: `python -m bench.scale.configuration`

A change of the rules is a file written for each proxy and a SIGHUP to it; no mechanism distributes it. Real proxies
without calls run on this machine and share its cores. `operator_ms`: the time to write the file of and signal one proxy
after another from one place. `each_ms`: the processor time that one proxy takes for the change.
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

PROXY_COUNTS = (20, 40, 80, 120)
RULE_COUNT = 100  # in the file that changes
PROXY_MB = 45
START_TIMEOUT_S, CHANGE_TIMEOUT_S = 60.0, 30.0
ROUNDS = 3


def rules_text(edition):
    """Rules whose text differs between editions in the value of one header."""
    lines = [
        f'rule "r{n}" {{ when prefix(number, "+221{n:03d}") type t header "X-Edition" = "{edition}" }}'
        for n in range(RULE_COUNT)
    ]
    return "\n".join([*lines, "default { type t }", ""])


class Proxies:
    """`count` proxy processes on loopback; leaving the `with` block ends exactly these processes."""

    def __init__(self, folder, count):
        self.folder, self.processes, self.rules_paths, self.log_paths = folder, [], [], []
        for number in range(count):
            port, name = reserve_port(), f"proxy{number}"
            path, rules_path, log_path = (Path(folder) / f"{name}.{suffix}" for suffix in ("json5", "rules", "log"))
            rules_path.write_text(rules_text(0), encoding="utf-8")
            path.write_text(json.dumps(self._settings(name, port, rules_path, log_path)), encoding="utf-8")
            self.rules_paths.append(rules_path)
            self.log_paths.append(log_path)
            self.processes.append(
                subprocess.Popen([sys.executable, "-m", "thorndale", "run", str(path)], stdout=subprocess.DEVNULL)
            )

    def _settings(self, name, port, rules_path, log_path):
        return {
            "name": name,
            "listen": [f"udp:127.0.0.1:{port}"],
            "trunk_groups": [{"name": "a"}],
            "servers": [{"name": "box", "uri": "sip:127.0.0.1:9", "trunk_group": "a"}],
            "call_types": [{"name": "t", "setup_target_ms": 1200, "guard_ms": 9000, "trunk_groups": ["a"]}],
            "matching": {"file": rules_path.name},
            "stop": {"calls_ms": 100, "quit_ms": 100},
            "log": {"level": "info", "file": str(log_path)},
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def wait_for_event(self, event, times, timeout_s):
        """Waits until each proxy has logged the event this many times. Raises TimeoutError."""
        deadline, waiting = time.monotonic() + timeout_s, list(self.log_paths)
        while waiting:
            waiting = [path for path in waiting if not path.exists() or path.read_text().count(f'"{event}"') < times]
            if time.monotonic() > deadline:
                raise TimeoutError(f"{len(waiting)} proxies have not logged {event!r}")
            time.sleep(0.01)

    def publish(self, edition):
        """Writes the rules file of each proxy and signals the proxy; returns the seconds this took."""
        started_at = time.monotonic()
        for rules_path, process in zip(self.rules_paths, self.processes, strict=True):
            temporary = rules_path.with_suffix(".half")
            temporary.write_text(rules_text(edition), encoding="utf-8")
            temporary.replace(rules_path)
            os.kill(process.pid, signal.SIGHUP)
        return time.monotonic() - started_at


def measure(count):
    with tempfile.TemporaryDirectory() as folder, Proxies(folder, count) as proxies:
        proxies.wait_for_event("pid", 1, START_TIMEOUT_S)
        rows = []
        for edition in range(1, ROUNDS + 1):
            cpu_before = [calls.cpu_seconds(p.pid) for p in proxies.processes]
            started_at = time.monotonic()
            operator_s = proxies.publish(edition)
            proxies.wait_for_event("rules in force", edition, CHANGE_TIMEOUT_S)
            in_force_s = time.monotonic() - started_at
            cpu_s = sum(calls.cpu_seconds(p.pid) for p in proxies.processes) - sum(cpu_before)
            rows.append((in_force_s, operator_s, cpu_s / count))
            time.sleep(0.3)
    in_force, operator, processor = (sorted(column)[len(column) // 2] for column in zip(*rows, strict=True))
    return {
        "proxies": count,
        "in_force_ms": round(in_force * 1e3, 1),
        "operator_ms": round(operator * 1e3, 2),
        "each_ms": round(processor * 1e3, 2),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", default=",".join(map(str, PROXY_COUNTS)))
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    sizes = [int(n) for n in args.proxies.split(",")]
    limits.require(limits.Demand(max(sizes), max(sizes) * PROXY_MB, 0))
    started_at = time.monotonic()
    rows = [measure(n) for n in sizes]
    columns = ("in_force_ms", "operator_ms", "each_ms")
    slopes = [report.slope(rows, "proxies", column, target.SERVERS) for column in columns]
    report.write("configuration", rows, slopes, time.monotonic() - started_at, args.out, rules=RULE_COUNT)


if __name__ == "__main__":
    report.run(main)
