"""`python -m bench.records ways|folders`: what call records cost.

ways: set-up time and CPU of one proxy by each order of answer and record, and without records, in turn at each rate.
top: calls a second that each way reaches with a fixed number of calls out.
folders: recovery, verification and rating of many records, with time and peak memory, each in a process of its own.
All write into docs/bench/.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time

from bench.calls import SOUND, one
from thorndale.records import folder as fo
from thorndale.records.files import Files
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import ANSWER_ORDERS, Ledger
from thorndale.records.record import Record, SeizureRecord

RATES = (300, 500, 700, 900, 1000, 1100)
WINDOW = 24  # calls out at once where the top rate is sought: enough to keep the proxy busy, few to repeat nothing


def ways(options):
    rows, taken = [], set()
    with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as folder:
        for rate in options.rates:
            for turn in range(options.turns):
                order = ["", *ANSWER_ORDERS] if turn % 2 == 0 else [*reversed(ANSWER_ORDERS), ""]
                for way in order:
                    row = one("proxy udp", rate, options.seconds, folder, taken, way)
                    row["records"] = way or "none"
                    rows.append(row)
                    print(json.dumps(row), flush=True)
    with open(f"{options.out}/records-ways.json", "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")
    lines = [
        "| way | calls/s | " + " | ".join(f"at {r}/s: p50, p99 ms; CPU us a call" for r in options.rates) + " |",
        "| --- | ---: |" + " ---: |" * len(options.rates),
    ]
    for way in ("none", *ANSWER_ORDERS):
        cells, top = [], 0
        for rate in options.rates:
            of = [r for r in rows if r["records"] == way and r["rate"] == rate]
            mid = {p: sorted(r["us"][p] for r in of)[(len(of) - 1) // 2] / 1000 for p in ("50", "99")}
            used = sorted(r["cpu_us_call"] for r in of)[(len(of) - 1) // 2]
            if all(r["stood"] >= SOUND * r["calls"] for r in of):
                top = rate
            cells.append(f"{mid['50']:.2f}, {mid['99']:.2f}; {used}")
        lines.append(f"| {way} | {top} | " + " | ".join(cells) + " |")
    print("\n".join(lines))
    with open(f"{options.out}/records-ways.md", "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


def top(options):
    """Calls a second with a fixed number of calls out: none, then each way, and back, in each turn; ratios are of one
    turn, their median over all."""
    turns, taken = [], set()
    with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as folder:
        for turn in range(options.turns):
            row = {}
            for way in ["", *ANSWER_ORDERS] if turn % 2 == 0 else [*reversed(ANSWER_ORDERS), ""]:
                found = one("proxy udp", 10_000, options.seconds / 10, folder, taken, way, WINDOW)
                row[way or "none"] = {k: found[k] for k in ("reached", "cpu_us_call", "stood", "calls", "us")}
            turns.append(row)
            print(json.dumps({way: [x["reached"], x["cpu_us_call"]] for way, x in row.items()}), flush=True)
    middle = {}
    for way in ("none", *ANSWER_ORDERS):
        parts = sorted(t[way]["reached"] / t["none"]["reached"] for t in turns)
        cpu = sorted(t[way]["cpu_us_call"] / t["none"]["cpu_us_call"] for t in turns)
        middle[way] = {
            "reached": sorted(t[way]["reached"] for t in turns)[len(turns) // 2],
            "ratio": round(parts[len(parts) // 2], 3),
            "least": round(parts[0], 3),
            "most": round(parts[-1], 3),
            "cpu_ratio": round(cpu[len(cpu) // 2], 3),
        }
    print(json.dumps(middle, indent=1))
    with open(f"{options.out}/records-top.json", "w", encoding="utf-8") as file:
        json.dump({"turns": turns, "middle": middle}, file, indent=1)
        file.write("\n")


class Quiet:
    """Files that never sync: what is measured is reading."""

    def __init__(self, files):
        self.files = files
        self.sync = self.sync_folder = lambda *args: None

    def __getattr__(self, name):
        return getattr(self.files, name)


def fill(path, count, segment_bytes, close):
    """`count` calls, one in five refused, the others begun, sent and ended; in order of time, some hundred open."""
    os.makedirs(path)
    files = Quiet(Files(path))
    limits = Limits(queue=1 << 30, segment_bytes=segment_bytes, commit_us=0, segment_us=1 << 60)
    journal = Journal(limits, "p1", "c" * 16, "b" * 16, 1_790_000_000_000_000, 1, "", 0)
    ops = []
    ledger = Ledger(journal, "written", 1 << 50, ops.append, None, lambda *a, **k: None)

    def work(now):
        ledger.flush(now)
        while ops:
            op = ops.pop(0)
            fo.perform(files, op)
            ledger.done(now, op)
            ledger.flush(now)

    open_calls, now = [], 0
    for n in range(count):
        now += 1000
        call = f"{n:016x}"
        record = Record(
            call,
            f"{n:x}caller",
            f"t{n:x}",
            call + "b0",
            now,
            0,
            0,
            1_790_000_000_000_000,
            "leaving-soon" if n % 10 == 0 else "timetable",
            ("north", "south")[n % 2],
            "dakar-1",
            "box1",
            f"+22177{n % 10_000_000:07d}",
            f"+22170{n * 7 % 10_000_000:07d}",
            "timetable dakar",
            "d" * 16,
            "1",
            "",
            [SeizureRecord("box1", "completed", now, 15_000)],
        )
        if n % 5 == 0:
            record.status, record.how, record.by, record.ended_us = 503, "rejected", "proxy", now
            ledger.refused(now, record, lambda _: None)
        else:
            record.stood_us = now
            ledger.begun(now, record, lambda _: None)
            open_calls.append(record)
        if len(open_calls) > 200:
            record = open_calls.pop(0)
            record.ended_us, record.answered, record.how, record.by, record.status = (
                now,
                "yes",
                "released",
                "caller",
                200,
            )
            ledger.ended(now, record)
        if n % 100 == 0:
            work(now)
    if close:
        for record in open_calls:
            record.ended_us, record.answered, record.how, record.by, record.status = (
                now,
                "yes",
                "released",
                "caller",
                200,
            )
            ledger.ended(now, record)
        journal.close()
    work(now)
    files.close()


TARIFFS = """{currency: "XOF", from_date: "2020-01-01", until_date: "2099-01-01", call_types: ["timetable", "leaving-soon"],
  clients: ["north", "south"], tariffs: [
  {name: "day", hours: "07:00-21:00", per_call: "1", per_interval: "0.5"}, {name: "night", hours: "21:00-07:00", per_interval: "0.2"},
  {name: "soon", call_type: "leaving-soon", per_call: "6", per_interval: "0.5", quota: {per: "day", calls: 1000, beyond: {per_call: "5"}}}]}"""

TASKS = {
    "recovery": "from thorndale.records import folder as fo; from thorndale.records.files import Files; files = Files(sys.argv[1]); plan = fo.recovery(files); fo.apply(files, plan.steps); print(len(plan.settled), file=sys.stderr)",
    "verify": "from thorndale.cli.main import app; app(['records', 'verify', sys.argv[1]], standalone_mode=False)",
    "rate": "from thorndale.cli.main import app; app(['records', 'rate', sys.argv[1], '--tariffs', sys.argv[2], '--to', sys.argv[2] + '.rated'], standalone_mode=False)",
}


def measured(task, path, tariffs):
    """(seconds, peak RSS in MB, what it said)."""
    code = (
        "import sys, resource, time\nat = time.perf_counter()\ntry:\n    "
        + TASKS[task]
        + "\nexcept BaseException as fault:\n    print(repr(fault), file=sys.stderr)\n"
        "print(time.perf_counter() - at, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)"
    )
    done = subprocess.run([sys.executable, "-c", code, path, tariffs], capture_output=True, text=True, check=True)
    *said, last = done.stdout.strip().splitlines()
    seconds, peak = map(float, last.split())
    return {
        "task": task,
        "seconds": round(seconds, 1),
        "peak_mb": round(peak),
        "said": (said + done.stderr.splitlines())[-1:],
    }


def folders(options):
    rows = []
    for count in options.counts:
        with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as base:
            tariffs = f"{base}/tariffs.json5"
            with open(tariffs, "w", encoding="utf-8") as file:
                file.write(TARIFFS)
            at = time.perf_counter()
            fill(f"{base}/p1", count, 64 << 20, False)
            size = sum(os.path.getsize(f"{base}/p1/{n}") for n in os.listdir(f"{base}/p1"))
            rows.append(
                {
                    "records": count,
                    "task": "fill",
                    "seconds": round(time.perf_counter() - at, 1),
                    "bytes_a_record": round(size / count),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
            for task in TASKS:
                rows.append({"records": count, **measured(task, f"{base}/p1", tariffs)})
                print(json.dumps(rows[-1]), flush=True)
            if count <= options.whole:  # the worst case: nothing sealed, recovery has to read every record
                fill(f"{base}/p2", count, 1 << 40, False)
                rows.append({"records": count, "one_segment": True, **measured("recovery", f"{base}/p2", tariffs)})
                print(json.dumps(rows[-1]), flush=True)
    with open(f"{options.out}/records-folders.json", "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["ways", "top", "folders"])
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--counts", type=int, nargs="*", default=[100_000, 1_000_000, 10_000_000])
    parser.add_argument("--whole", type=int, default=1_000_000)
    parser.add_argument("--disk", default="", help="A folder on the disk that is to be measured.")
    parser.add_argument("--out", default="docs/bench")
    options = parser.parse_args()
    {"ways": ways, "top": top, "folders": folders}[options.what](options)


if __name__ == "__main__":
    main()
