"""`python -m bench.rules`: load times of rule sets by size, cost of a call by look-up and one after another, and the
proxy's calls a second by number of rules. Writes docs/bench/rules.json, rules.md and rules.png."""

import argparse
import json
import os
import platform
import tempfile
import time

from bench.calls import cpu, settings, spawn, start_proxy
from thorndale.match import parse
from thorndale.match.facts import Facts
from thorndale.match.rules import ANY_NAMES, RuleSet, check_rules, interpret_rules
from thorndale.sip import message as m
from thorndale.standins.ports import reserve_port

LOADS = (1, 100, 1_000, 5_000, 10_000, 20_000)
DAEMON = (1, 100, 1_000, 10_000)
RATE, SECONDS = 900, 5  # calls a second offered while the proxy's CPU a call is measured


def source(count, kind="timetable"):
    """`count` rules of the kinds that staff write: prefix, header, set, and some that cannot be looked up."""
    out = ['let station = header("X-Station") ?? "none"', 'set vip = ["+221770000001", "+221770000002"]']
    for n in range(count):
        number = f"+2217{n:05d}"
        test = (
            f'prefix(number, "{number}")',
            f'prefix(number, "{number}") and station != "s{n}"',
            f'station == "s{n}" and length(caller) > 3',
            f'prefix(number, "{number}") and not caller in vip',
            f'prefix(caller, "+3{n}") or suffix(number, "{n:06d}99")',
        )[n % 5 if n % 50 == 4 else n % 4]
        out.append(f'rule "r{n}" {{ priority {n % 3} when {test} type {kind} }}')
    return "\n".join([*out, f"default {{ type {kind} }}"])


def invite(number="+221700000123"):
    return m.parse(
        (
            f"INVITE sip:{number}@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 1.1.1.1;branch=z9hG4bKx\r\nFrom: <sip:+221771234567"
            f"@1.1.1.1>;tag=x\r\nTo: <sip:{number}@127.0.0.1>\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nX-Station: s7\r\n\r\n"
        ).encode()
    )


def loaded(count):
    """Seconds to parse, check and compile a set of `count` rules, each apart."""
    text = source(count)
    at = [time.perf_counter()]
    tree = parse.read(text)
    at.append(time.perf_counter())
    checked = check_rules(tree, text, ANY_NAMES, "rules", 50_000)
    at.append(time.perf_counter())
    made = RuleSet(*checked)
    at.append(time.perf_counter())
    return made, [b - a for a, b in zip(at, at[1:], strict=False)]


def a_call(made, times=3000):
    """Microseconds of a call by look-up, and one rule after another by the plain interpreter."""
    numbers = [invite(f"+2217{n:05d}123") for n in range(0, 1000, 37)]
    began = time.perf_counter()
    for n in range(times):
        made.classify(Facts(numbers[n % len(numbers)]))
    quick = (time.perf_counter() - began) / times
    rounds = max(3, min(200, 200_000 // (len(made.rules) + 1)))
    began = time.perf_counter()
    for n in range(rounds):
        interpret_rules(made, Facts(numbers[n % len(numbers)]))
    return quick * 1e6, (time.perf_counter() - began) / rounds * 1e6


def daemon(count, folder):
    """What the proxy takes of a core for a call, and how many it sets up, with this many rules."""
    box_port, port = reserve_port(), reserve_port()
    path = settings(folder, port, box_port, "udp", 5)
    with open(path, encoding="utf-8") as file:
        known = json.load(file)
    known["matching"] = {"file": f"{count}.rules"}
    with open(path, "w", encoding="utf-8") as file:
        json.dump(known, file)
    with open(f"{folder}/{count}.rules", "w", encoding="utf-8") as file:
        file.write(source(count))
    box = spawn("box", "udp", box_port, 0, SECONDS + 60)
    box.stdout.readline()
    proxy = start_proxy(path, port, 120)
    try:
        time.sleep(1)
        before = cpu(proxy.pid)
        caller = spawn("caller", "udp", port, RATE, RATE * SECONDS, "end", "x")
        found = json.loads(caller.stdout.readline())
        caller.wait()
        used = (cpu(proxy.pid) - before) / (RATE * SECONDS) * 1e6
        return {
            "rules": count,
            "stood": found["stood"],
            "of": RATE * SECONDS,
            "cpu_us_call": round(used),
            "calls_s_a_core": round(1e6 / used),
            "p99_us": found["us"]["99"],
        }
    finally:
        for process in (box, proxy):
            process.kill()
            process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="docs/bench")
    out = parser.parse_args().out
    loads, calls, rows = [], [], []
    for count in LOADS:
        made, (parsed, checked, compiled) = loaded(count)
        loads.append({"rules": count, "parse_s": parsed, "check_s": checked, "compile_s": compiled})
        quick, slow = a_call(made)
        calls.append({"rules": count, "look_up_us": quick, "one_after_another_us": slow, "ratio": slow / quick})
        print(json.dumps({**loads[-1], **calls[-1]}), flush=True)
    with tempfile.TemporaryDirectory() as folder:
        for count in DAEMON:
            rows.append(daemon(count, folder))
            print(json.dumps(rows[-1]), flush=True)
    machine = f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}"
    with open(f"{out}/rules.json", "w", encoding="utf-8") as file:
        json.dump({"machine": machine, "loads": loads, "calls": calls, "daemon": rows}, file, indent=1)
    lines = [
        "# Rules",
        "",
        f"One run of `python -m bench.rules`, {machine}.",
        "",
        "## Loading, seconds",
        "",
        "| rules | parse | check | compile | together |",
        "| ---: | ---: | ---: | ---: | ---: |",
    ]
    for r in loads:
        parts = [r["parse_s"], r["check_s"], r["compile_s"]]
        lines.append(f"| {r['rules']} | {' | '.join(f'{p:.3f}' for p in parts)} | {sum(parts):.3f} |")
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
        f"## The proxy, UDP, {RATE} calls a second offered",
        "",
        "| rules | stood | CPU us a call | calls a second on one core, from that | against one rule | p99 of the set-up time, ms |",
        "| ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {r['rules']} | {r['stood']} of {r['of']} | {r['cpu_us_call']} | {r['calls_s_a_core']} | "
        f"{rows[0]['cpu_us_call'] / r['cpu_us_call']:.2f} | {r['p99_us'] / 1000:.1f} |"
        for r in rows
    ]
    with open(f"{out}/rules.md", "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, "", "![load time by number of rules](rules.png)", ""]))
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(7, 4))
    for part in ("parse_s", "check_s", "compile_s"):
        axis.plot([r["rules"] for r in loads], [r[part] for r in loads], marker="o", label=part[:-2])
    axis.set(xlabel="rules", ylabel="seconds")
    axis.legend()
    axis.grid(True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(f"{out}/rules.png", dpi=110)


if __name__ == "__main__":
    main()
