"""`python -m bench.kills`: proxies killed at random moments under load; then each call that a caller's socket saw
answered must have one record, none two, and rated totals must be those reckoned from the sockets alone.

What is compared are bytes at the callers' sockets and the records on disk; nothing is asked of the proxies. Writes
docs/bench/kills.json.
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
PRICES = {"+22170": Decimal("1.75"), "+22133": Decimal("12.05")}  # one begun interval: no call lasts a minute
GAP_S = 2.2  # between two kills of one proxy: it starts within a second


class Sockets:
    """What callers' sockets saw, by Call-ID."""

    def __init__(self):
        self.calls = {}  # Call-ID: [number, first final status, when, when it ended by BYE]

    def saw(self, now, place, way, data):
        if not place.startswith("caller") or way not in ("in", "out"):
            return
        message = m.parse(data)
        if way == "out" and message.method == "INVITE" and not message.to_tag:
            self.calls.setdefault(message.call_id, [message.uri.partition("@")[0][4:], 0, 0, 0])
        elif way == "in" and message.status >= 200 and message.cseq[1] == "INVITE":
            call = self.calls[message.call_id]
            if not call[1]:
                call[1], call[2] = message.status, now
        elif message.method == "BYE" and message.call_id in self.calls:
            call = self.calls[message.call_id]
            call[3] = call[3] or now


def day(kills, proxies, rate, seed, way):
    chance, faults, at = seeded_random(seed), [], [1.0 + n * GAP_S / proxies for n in range(proxies)]
    for n in range(kills):
        who = n % proxies
        faults.append(
            {"at": at[who] + chance() * 0.4, "kind": "proxy killed", "who": [f"proxy{who + 1}"], "seconds": 0}
        )
        at[who] += GAP_S
    return read_day(
        {
            "seconds": max(at) + 1,
            "rate": rate,
            "proxies": proxies,
            "tcp_part": 0.3,
            "cancel_part": 0.05,
            "t1_ms": 100,
            "notice_s": 0.8,
            "warm_ms": 4000,
            "seed": seed,
            "records": way,
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
    """What differs between sockets and records, as a map of counts, with examples."""
    sources = [source(name, Files(name)) for name in folders]
    count, found, rows = Counter(), st.StoppedCalls(), {}
    faults = [str(x) for s in sources for x in verify(fo.segments(s.files), fo.tombstones(s.files)).findings]
    for src in sources:
        for line in lines(src.files, count):
            found.add_line(line)
            rows.setdefault(line.record.caller_leg, []).append(line)
    doubts = len(found.doubts)
    # The other side's list: here the callers themselves.
    answered = {d.caller_leg for d in found.doubts if sockets.calls[d.caller_leg][1] == 200}
    resolutions, _ = st.resolutions(
        found.doubts, (), answered, {d.caller_leg for d in found.doubts} - answered, time.time_ns() // 1000
    )
    for (chain, _), word in resolutions.items():
        files = next(s for s in sources if s.chain == chain).files
        fo.add_resolution(files, "words-settle.rec", len(fo.resolutions(files)) + 1, word)
    final = {leg: call for leg, call in sockets.calls.items() if call[1]}
    stood = {leg: call for leg, call in final.items() if call[1] == 200}
    twice = [leg for leg, of in rows.items() if len(of) > 1]
    apart = [
        abs(of[0].record.answered_duration_us() - (stood[leg][3] - stood[leg][2]))
        for leg, of in rows.items()
        if leg in stood and stood[leg][3] and of[0].record.how == "released" and of[0].record.by == "caller"
    ]
    with open(f"{work}/tariffs.json5", "w", encoding="utf-8") as file:
        file.write(TARIFFS)
    _, manifest = ed.make(f"{work}/rated", load(f"{work}/tariffs.json5"), sources, lambda s, c: lines(s.files, c))
    reckoned = sum((PRICES[call[0][:6]] for call in stood.values()), Decimal(0))
    return {
        "calls_seen_answered": len(final),
        "of_them_with_200": len(stood),
        "records": sum(map(len, rows.values())),
        "without_record": sum(leg not in rows for leg in final),
        "twice": len(twice),
        "of_no_call": sum(leg not in sockets.calls for leg in rows),
        "without_a_final_answer": sum(leg not in final for leg in rows),
        "withdrawn": count["withdrawn"],
        "cut_by_a_stop": sum(map(len, found.legs.values())),
        "in_doubt": doubts,
        "wrong_status": sum(
            1
            for leg, of in rows.items()
            if leg in final
            and of[0].record.answered != "doubt"
            and (of[0].record.answered == "yes") != (final[leg][1] == 200)
        ),
        "apart_ms_most": max(apart, default=0) / 1000,
        "chain_faults": len(faults),
        "rated": manifest["total"],
        "reckoned": str(reckoned),
        "unrated": manifest["counts"].get("unrated", 0),
    }, (twice[:3], [leg for leg in final if leg not in rows][:3], faults[:3])


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
        sockets = Sockets()
        player = Player(day(options.kills, options.proxies, options.rate, options.seed, options.way), folder=folder)
        player.observer = sockets.saw
        import asyncio

        breaks = asyncio.run(player.play())
        found, examples = compare(sockets, [f"{folder}/proxy{n + 1}.records" for n in range(options.proxies)], folder)
    found = {
        "kills": options.kills,
        "proxies": options.proxies,
        "rate": options.rate,
        "way": options.way,
        "seed": options.seed,
        "rule_breaks": len(breaks),
        **found,
    }
    print(json.dumps(found, indent=1))
    sound = not (
        found["without_record"]
        or found["twice"]
        or found["of_no_call"]
        or found["wrong_status"]
        or found["chain_faults"]
        or found["rated"] != found["reckoned"]
    )
    if not sound:
        print(examples, [b for b in breaks[:3]])
    if options.out:
        with open(options.out, "w", encoding="utf-8") as file:
            json.dump(found, file, indent=1)
            file.write("\n")
    raise SystemExit(0 if sound else 1)


if __name__ == "__main__":
    main()
