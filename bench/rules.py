"""`python -m bench.rules`: load time of rule sets by size, cost of a call with the indexed look-up and with rules tried
one after another, and the proxy's calls per second by number of rules.

Writes docs/bench/rules.json, rules.md and rules.png.
"""

import argparse
import json
import os
import platform
import tempfile
import time

from bench.calls import cpu_seconds, spawn, start_proxy, write_settings
from thorndale.match import parse
from thorndale.match.facts import Facts
from thorndale.match.rules import ANY_NAMES, RuleSet, check_rules, interpret_rules
from thorndale.sip import message as m
from thorndale.standins.ports import reserve_port

LOADED_RULE_COUNTS = (1, 100, 1_000, 5_000, 10_000, 20_000)
PROXY_RULE_COUNTS = (1, 100, 1_000, 10_000)
CALLS_PER_S, SECONDS = 900, 5  # load under which the proxy's CPU per call is measured


def rules_text(count, kind="timetable"):
    """Returns `count` rules of the kinds that operators write: prefix, header, set, and some that cannot be indexed."""
    lines = ['let station = header("X-Station") ?? "none"', 'set vip = ["+221770000001", "+221770000002"]']
    for n in range(count):
        number = f"+2217{n:05d}"
        condition = (
            f'prefix(number, "{number}")',
            f'prefix(number, "{number}") and station != "s{n}"',
            f'station == "s{n}" and length(caller) > 3',
            f'prefix(number, "{number}") and not caller in vip',
            f'prefix(caller, "+3{n}") or suffix(number, "{n:06d}99")',
        )[n % 5 if n % 50 == 4 else n % 4]
        lines.append(f'rule "r{n}" {{ priority {n % 3} when {condition} type {kind} }}')
    return "\n".join([*lines, f"default {{ type {kind} }}"])


def invite(number="+221700000123"):
    return m.parse(
        (
            f"INVITE sip:{number}@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 1.1.1.1;branch=z9hG4bKx\r\nFrom: <sip:+221771234567"
            f"@1.1.1.1>;tag=x\r\nTo: <sip:{number}@127.0.0.1>\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nX-Station: s7\r\n\r\n"
        ).encode()
    )


def time_loading(count):
    """Returns a set of `count` rules and the seconds to parse, to check and to compile it."""
    text = rules_text(count)
    timestamps = [time.perf_counter()]
    tree = parse.read(text)
    timestamps.append(time.perf_counter())
    checked = check_rules(tree, text, ANY_NAMES, "rules", 50_000)
    timestamps.append(time.perf_counter())
    rule_set = RuleSet(*checked)
    timestamps.append(time.perf_counter())
    return rule_set, [b - a for a, b in zip(timestamps, timestamps[1:], strict=False)]


def time_call(rule_set, rounds_by_lookup=3000):
    """Returns microseconds per call with the indexed look-up, and with the interpreter that tries rules in order."""
    invites = [invite(f"+2217{n:05d}123") for n in range(0, 1000, 37)]
    began = time.perf_counter()
    for n in range(rounds_by_lookup):
        rule_set.classify(Facts(invites[n % len(invites)]))
    lookup_s = (time.perf_counter() - began) / rounds_by_lookup
    rounds_in_order = max(3, min(200, 200_000 // (len(rule_set.rules) + 1)))
    began = time.perf_counter()
    for n in range(rounds_in_order):
        interpret_rules(rule_set, Facts(invites[n % len(invites)]))
    return lookup_s * 1e6, (time.perf_counter() - began) / rounds_in_order * 1e6


def measure_proxy(count, folder):
    """Measures the proxy's CPU time per call, and how many calls it sets up, with this many rules."""
    server_port, port = reserve_port(), reserve_port()
    path = write_settings(folder, port, server_port, "udp", 5)
    with open(path, encoding="utf-8") as file:
        proxy_settings = json.load(file)
    proxy_settings["matching"] = {"file": f"{count}.rules"}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(proxy_settings, file)
    with open(f"{folder}/{count}.rules", "w", encoding="utf-8") as file:
        file.write(rules_text(count))
    server = spawn("box", "udp", server_port, 0, SECONDS + 60)
    server.stdout.readline()
    proxy = start_proxy(path, port, 120)
    try:
        time.sleep(1)
        cpu_before = cpu_seconds(proxy.pid)
        caller = spawn("caller", "udp", port, CALLS_PER_S, CALLS_PER_S * SECONDS, "end", "x")
        result = json.loads(caller.stdout.readline())
        caller.wait()
        cpu_us = (cpu_seconds(proxy.pid) - cpu_before) / (CALLS_PER_S * SECONDS) * 1e6
        return {
            "rules": count,
            "stood": result["stood"],
            "of": CALLS_PER_S * SECONDS,
            "cpu_us_call": round(cpu_us),
            "calls_s_a_core": round(1e6 / cpu_us),
            "p99_us": result["us"]["99"],
        }
    finally:
        for process in (server, proxy):
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="docs/bench")
    out_folder = parser.parse_args().out
    loads, calls, rows = [], [], []
    for count in LOADED_RULE_COUNTS:
        rule_set, (parsed, checked, compiled) = time_loading(count)
        loads.append({"rules": count, "parse_s": parsed, "check_s": checked, "compile_s": compiled})
        lookup_us, in_order_us = time_call(rule_set)
        calls.append(
            {
                "rules": count,
                "look_up_us": lookup_us,
                "one_after_another_us": in_order_us,
                "ratio": in_order_us / lookup_us,
            }
        )
        print(json.dumps({**loads[-1], **calls[-1]}), flush=True)
    with tempfile.TemporaryDirectory() as work_folder:
        for count in PROXY_RULE_COUNTS:
            rows.append(measure_proxy(count, work_folder))
            print(json.dumps(rows[-1]), flush=True)
    machine = f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}"
    with open(f"{out_folder}/rules.json", "w", encoding="utf-8") as file:
        json.dump({"machine": machine, "loads": loads, "calls": calls, "daemon": rows}, file, indent=1)
    lines = [
        "# Rules",
        "",
        f"One run of `python -m bench.rules`, {machine}.",
        "",
        "## Loading, seconds",
        "",
        "| rules | parse | check | compile | total |",
        "| ---: | ---: | ---: | ---: | ---: |",
    ]
    for row in loads:
        phase_s = [row["parse_s"], row["check_s"], row["compile_s"]]
        lines.append(f"| {row['rules']} | {' | '.join(f'{seconds:.3f}' for seconds in phase_s)} | {sum(phase_s):.3f} |")
    lines += [
        "",
        "## One call, microseconds",
        "",
        "| rules | by look-up | one after another, plain interpreter | ratio |",
        "| ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {c['rules']} | {c['look_up_us']:.1f} | {c['one_after_another_us']:.0f} | {c['ratio']:.0f} |" for c in calls
    ]
    lines += [
        "",
        f"## The proxy, UDP, {CALLS_PER_S} calls per second offered",
        "",
        "| rules | answered | CPU us per call | calls per second on one core, from that | relative to one rule | p99 of the set-up time, ms |",
        "| ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {row['rules']} | {row['stood']} of {row['of']} | {row['cpu_us_call']} | {row['calls_s_a_core']} | "
        f"{rows[0]['cpu_us_call'] / row['cpu_us_call']:.2f} | {row['p99_us'] / 1000:.1f} |"
        for row in rows
    ]
    with open(f"{out_folder}/rules.md", "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, "", "![load time by number of rules](rules.png)", ""]))
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(7, 4))
    for phase in ("parse_s", "check_s", "compile_s"):
        axis.plot([row["rules"] for row in loads], [row[phase] for row in loads], marker="o", label=phase[:-2])
    axis.set(xlabel="rules", ylabel="seconds")
    axis.legend()
    axis.grid(True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(f"{out_folder}/rules.png", dpi=110)


if __name__ == "__main__":
    main()
