"""`python -m bench.kills`: kills proxies at random moments under load and checks the call records.

Each call that was answered at a caller's socket must have exactly one record, and the rated total must equal the total
computed from the sockets alone. The check compares the bytes at the callers' sockets with the records on disk and
uses no information from the proxies. Writes its results to `--out`.
"""

import argparse
import json
import os
import tempfile
import time
from collections import Counter
from decimal import Decimal

from thorndale.records import editions as ed
from thorndale.records import folder as fo
from thorndale.records import settle as st
from thorndale.records.chain import verify
from thorndale.records.files import Files
from thorndale.records.read import lines, source
from thorndale.records.tariff import load
from thorndale.sip import message as m
from thorndale.standins.day import Player, seeded_random
from thorndale.standins.script import read_day

TARIFFS = """{currency: "XOF", from_date: "2020-01-01", until_date: "2099-01-01", call_types: ["timetable", "leaving-soon"],
  tariffs: [{name: "t", call_type: "timetable", per_call: "1.25", per_interval: "0.50", interval_s: 60},
            {name: "l", call_type: "leaving-soon", per_call: "9.75", per_interval: "2.30", interval_s: 60}]}"""
PRICE_BY_PREFIX = {
    "+22170": Decimal("1.75"),
    "+22133": Decimal("12.05"),
}  # per call plus one interval: no call lasts a minute
RESTART_GAP_S = 2.2  # between two kills of one proxy, which needs up to a second to start


class CallerSockets:
    """Call outcomes at the callers' sockets, by Call-ID."""

    def __init__(self):
        self.calls = {}  # Call-ID: [called number, first final status, time of it, time of the first BYE]

    def record_message(self, now, place, direction, data):
        if not place.startswith("caller") or direction not in ("in", "out"):
            return
        message = m.parse(data)
        if direction == "out" and message.method == "INVITE" and not message.to_tag:
            self.calls.setdefault(message.call_id, [message.uri.partition("@")[0][4:], 0, 0, 0])
        elif direction == "in" and message.status >= 200 and message.cseq[1] == "INVITE":
            call = self.calls[message.call_id]
            if not call[1]:
                call[1], call[2] = message.status, now
        elif message.method == "BYE" and message.call_id in self.calls:
            call = self.calls[message.call_id]
            call[3] = call[3] or now


def day(kills, proxies, rate, seed, answer_order):
    random, faults, next_kill_s = seeded_random(seed), [], [1.0 + n * RESTART_GAP_S / proxies for n in range(proxies)]
    for n in range(kills):
        index = n % proxies
        faults.append(
            {
                "at": next_kill_s[index] + random() * 0.4,
                "kind": "proxy killed",
                "who": [f"proxy{index + 1}"],
                "seconds": 0,
            }
        )
        next_kill_s[index] += RESTART_GAP_S
    return read_day(
        {
            "seconds": max(next_kill_s) + 1,
            "rate": rate,
            "proxies": proxies,
            "tcp_part": 0.3,
            "cancel_part": 0.05,
            "t1_ms": 100,
            "notice_s": 0.8,
            "warm_ms": 4000,
            "seed": seed,
            "records": answer_order,
            "busy_part": 0.05,
            "faults": faults,
            "boxes": [
                {"name": f"box{n}", "trunk_group": f"g{n // 2}", "transport": ("udp", "tcp")[n % 2], "setup_ms": 8}
                for n in range(4)
            ],
            "types": [
                {
                    "name": "timetable",
                    "prefix": "+22170",
                    "part": 0.9,
                    "setup_target_ms": 1200,
                    "guard_ms": 9000,
                    "patience_s": 3,
                    "hold_ms": 1000,
                },
                {
                    "name": "leaving-soon",
                    "prefix": "+22133",
                    "part": 0.1,
                    "setup_target_ms": 800,
                    "guard_ms": 6000,
                    "patience_s": 2,
                    "hold_ms": 800,
                    "revenue": 6,
                },
            ],
        },
        "kills",
    )


def compare(sockets, folders, work):
    """Compares sockets with records; returns a map of counts and examples of the differences."""
    sources = [source(name, Files(name)) for name in folders]
    line_counts, stopped_calls, lines_by_leg = Counter(), st.StoppedCalls(), {}
    chain_errors = [str(x) for s in sources for x in verify(fo.segments(s.files), fo.tombstones(s.files)).findings]
    for records in sources:
        for line in lines(records.files, line_counts):
            stopped_calls.add_line(line)
            lines_by_leg.setdefault(line.record.caller_leg, []).append(line)
    in_doubt = len(stopped_calls.doubts)
    # In operation the client supplies the list of its answered calls; here it is taken from the callers' sockets.
    answered_legs = {d.caller_leg for d in stopped_calls.doubts if sockets.calls[d.caller_leg][1] == 200}
    resolutions, _ = st.resolutions(
        stopped_calls.doubts,
        (),
        answered_legs,
        {d.caller_leg for d in stopped_calls.doubts} - answered_legs,
        time.time_ns() // 1000,
    )
    for (chain, _), resolution in resolutions.items():
        files = next(s for s in sources if s.chain == chain).files
        fo.add_resolution(files, "words-settle.rec", len(fo.resolutions(files)) + 1, resolution)
    final_calls = {caller_leg: call for caller_leg, call in sockets.calls.items() if call[1]}
    answered_calls = {caller_leg: call for caller_leg, call in final_calls.items() if call[1] == 200}
    duplicated = [caller_leg for caller_leg, leg_lines in lines_by_leg.items() if len(leg_lines) > 1]
    duration_gaps_us = [
        abs(
            leg_lines[0].record.answered_duration_us() - (answered_calls[caller_leg][3] - answered_calls[caller_leg][2])
        )
        for caller_leg, leg_lines in lines_by_leg.items()
        if caller_leg in answered_calls
        and answered_calls[caller_leg][3]
        and leg_lines[0].record.how == "released"
        and leg_lines[0].record.by == "caller"
    ]
    with open(f"{work}/tariffs.json5", "w", encoding="utf-8") as file:
        file.write(TARIFFS)
    _, manifest = ed.make(f"{work}/rated", load(f"{work}/tariffs.json5"), sources, lambda s, c: lines(s.files, c))
    expected_total = sum((PRICE_BY_PREFIX[call[0][:6]] for call in answered_calls.values()), Decimal(0))
    return {
        "calls_seen_answered": len(final_calls),
        "of_them_with_200": len(answered_calls),
        "records": sum(map(len, lines_by_leg.values())),
        "without_record": sum(caller_leg not in lines_by_leg for caller_leg in final_calls),
        "twice": len(duplicated),
        "of_no_call": sum(caller_leg not in sockets.calls for caller_leg in lines_by_leg),
        "without_a_final_answer": sum(caller_leg not in final_calls for caller_leg in lines_by_leg),
        "withdrawn": line_counts["withdrawn"],
        "cut_by_a_stop": sum(map(len, stopped_calls.legs.values())),
        "in_doubt": in_doubt,
        "wrong_status": sum(
            1
            for caller_leg, leg_lines in lines_by_leg.items()
            if caller_leg in final_calls
            and leg_lines[0].record.answered != "doubt"
            and (leg_lines[0].record.answered == "yes") != (final_calls[caller_leg][1] == 200)
        ),
        "apart_ms_most": max(duration_gaps_us, default=0) / 1000,
        "chain_faults": len(chain_errors),
        "rated": manifest["total"],
        "reckoned": str(expected_total),
        "unrated": manifest["counts"].get("unrated", 0),
    }, (
        duplicated[:3],
        [caller_leg for caller_leg in final_calls if caller_leg not in lines_by_leg][:3],
        chain_errors[:3],
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--proxies", type=int, default=5)
    parser.add_argument("--rate", type=float, default=150)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", default="written")
    parser.add_argument("--keep", default="")
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="thorndale-kills-") as temporary:
        folder = options.keep or temporary
        os.makedirs(folder, exist_ok=True)
        sockets = CallerSockets()
        player = Player(day(options.kills, options.proxies, options.rate, options.seed, options.way), folder=folder)
        player.observer = sockets.record_message
        import asyncio

        rule_breaks = asyncio.run(player.play())
        results, examples = compare(sockets, [f"{folder}/proxy{n + 1}.records" for n in range(options.proxies)], folder)
    results = {
        "kills": options.kills,
        "proxies": options.proxies,
        "rate": options.rate,
        "way": options.way,
        "seed": options.seed,
        "rule_breaks": len(rule_breaks),
        **results,
    }
    print(json.dumps(results, indent=1))
    passed = not (
        results["without_record"]
        or results["twice"]
        or results["of_no_call"]
        or results["wrong_status"]
        or results["chain_faults"]
        or results["rated"] != results["reckoned"]
    )
    if not passed:
        print(examples, [b for b in rule_breaks[:3]])
    if options.out:
        with open(options.out, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
            file.write("\n")
    raise SystemExit(0 if passed else 1)


if __name__ == "__main__":
    main()
