"""`python -m bench.records ways|top|folders`: the cost of call records.

ways: set-up time and CPU of one proxy for each order of answer and record, and without records, alternating per rate.
top: calls per second that each order reaches with a fixed number of unanswered calls.
folders: time and peak memory of recovery, verification and rating of many records, each in its own process.
All write into docs/bench/.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time

from bench.calls import MIN_ANSWERED_FRACTION, measure_rate
from thorndale.records import folder as fo
from thorndale.records.files import Files
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import ANSWER_ORDERS, Ledger
from thorndale.records.record import Record, SeizureRecord

RATES = (300, 500, 700, 900, 1000, 1100)
MAX_UNANSWERED_CALLS = 24  # keeps the proxy busy, but is low enough to avoid retransmissions


def compare_orders(options):
    rows, taken_ports = [], set()
    with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as folder:
        for rate in options.rates:
            for round_number in range(options.turns):
                orders = ["", *ANSWER_ORDERS] if round_number % 2 == 0 else [*reversed(ANSWER_ORDERS), ""]
                for answer_order in orders:
                    row = measure_rate("proxy udp", rate, options.seconds, folder, taken_ports, answer_order)
                    row["records"] = answer_order or "none"
                    rows.append(row)
                    print(json.dumps(row), flush=True)
    with open(f"{options.out}/records-ways.json", "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")
    lines = [
        "| answer order | calls/s | "
        + " | ".join(f"at {r}/s: p50, p99 ms; CPU us per call" for r in options.rates)
        + " |",
        "| --- | ---: |" + " ---: |" * len(options.rates),
    ]
    for answer_order in ("none", *ANSWER_ORDERS):
        cells, reached_rate = [], 0
        for rate in options.rates:
            matching = [r for r in rows if r["records"] == answer_order and r["rate"] == rate]
            percentiles_ms = {
                p: sorted(r["us"][p] for r in matching)[(len(matching) - 1) // 2] / 1000 for p in ("50", "99")
            }
            cpu_us = sorted(r["cpu_us_call"] for r in matching)[(len(matching) - 1) // 2]
            if all(r["stood"] >= MIN_ANSWERED_FRACTION * r["calls"] for r in matching):
                reached_rate = rate
            cells.append(f"{percentiles_ms['50']:.2f}, {percentiles_ms['99']:.2f}; {cpu_us}")
        lines.append(f"| {answer_order} | {reached_rate} | " + " | ".join(cells) + " |")
    print("\n".join(lines))
    with open(f"{options.out}/records-ways.md", "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


def measure_throughput(options):
    """Measures calls per second with a fixed number of unanswered calls, without records and with each answer order.

    The sequence is reversed in every second round. Ratios are taken within a round; the result is their median."""
    rounds, taken_ports = [], set()
    with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as folder:
        for round_number in range(options.turns):
            row = {}
            for answer_order in ["", *ANSWER_ORDERS] if round_number % 2 == 0 else [*reversed(ANSWER_ORDERS), ""]:
                result = measure_rate(
                    "proxy udp", 10_000, options.seconds / 10, folder, taken_ports, answer_order, MAX_UNANSWERED_CALLS
                )
                row[answer_order or "none"] = {k: result[k] for k in ("reached", "cpu_us_call", "stood", "calls", "us")}
            rounds.append(row)
            print(
                json.dumps(
                    {
                        answer_order: [measured["reached"], measured["cpu_us_call"]]
                        for answer_order, measured in row.items()
                    }
                ),
                flush=True,
            )
    medians = {}
    for answer_order in ("none", *ANSWER_ORDERS):
        ratios = sorted(
            round_results[answer_order]["reached"] / round_results["none"]["reached"] for round_results in rounds
        )
        cpu_ratios = sorted(
            round_results[answer_order]["cpu_us_call"] / round_results["none"]["cpu_us_call"]
            for round_results in rounds
        )
        medians[answer_order] = {
            "reached": sorted(round_results[answer_order]["reached"] for round_results in rounds)[len(rounds) // 2],
            "ratio": round(ratios[len(ratios) // 2], 3),
            "least": round(ratios[0], 3),
            "most": round(ratios[-1], 3),
            "cpu_ratio": round(cpu_ratios[len(cpu_ratios) // 2], 3),
        }
    print(json.dumps(medians, indent=1))
    with open(f"{options.out}/records-top.json", "w", encoding="utf-8") as file:
        json.dump({"turns": rounds, "middle": medians}, file, indent=1)
        file.write("\n")


class NoSyncFiles:
    """Files without sync calls, as only reading is measured."""

    def __init__(self, files):
        self.files = files
        self.sync = self.sync_folder = lambda *args: None

    def __getattr__(self, name):
        return getattr(self.files, name)


def fill_folder(path, count, segment_bytes, close):
    """Writes the records of `count` calls in time order: one in five is refused, the others are answered and released.

    About 200 calls are open at any time."""
    os.makedirs(path)
    files = NoSyncFiles(Files(path))
    limits = Limits(queue=1 << 30, segment_bytes=segment_bytes, commit_us=0, segment_us=1 << 60)
    journal = Journal(limits, "p1", "c" * 16, "b" * 16, 1_790_000_000_000_000, 1, "", 0)
    operations = []
    ledger = Ledger(journal, "written", 1 << 50, operations.append, None, lambda *a, **k: None)

    def write_pending(now):
        ledger.flush(now)
        while operations:
            operation = operations.pop(0)
            fo.perform(files, operation)
            ledger.done(now, operation)
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
            write_pending(now)
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
    write_pending(now)
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


def measure_task(task, path, tariffs):
    """Runs a task in its own process; returns its time, peak RSS and last line of output."""
    code = (
        "import sys, resource, time\nat = time.perf_counter()\ntry:\n    "
        + TASKS[task]
        + "\nexcept BaseException as fault:\n    print(repr(fault), file=sys.stderr)\n"
        "print(time.perf_counter() - at, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)"
    )
    process = subprocess.run([sys.executable, "-c", code, path, tariffs], capture_output=True, text=True, check=True)
    *output, last = process.stdout.strip().splitlines()
    seconds, peak = map(float, last.split())
    return {
        "task": task,
        "seconds": round(seconds, 1),
        "peak_mb": round(peak),
        "said": (output + process.stderr.splitlines())[-1:],
    }


def measure_folders(options):
    rows = []
    for count in options.counts:
        with tempfile.TemporaryDirectory(prefix="thorndale-records-", dir=options.disk or None) as base_folder:
            tariffs = f"{base_folder}/tariffs.json5"
            with open(tariffs, "w", encoding="utf-8") as file:
                file.write(TARIFFS)
            began = time.perf_counter()
            fill_folder(f"{base_folder}/p1", count, 64 << 20, False)
            total_bytes = sum(os.path.getsize(f"{base_folder}/p1/{n}") for n in os.listdir(f"{base_folder}/p1"))
            rows.append(
                {
                    "records": count,
                    "task": "fill",
                    "seconds": round(time.perf_counter() - began, 1),
                    "bytes_a_record": round(total_bytes / count),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
            for task in TASKS:
                rows.append({"records": count, **measure_task(task, f"{base_folder}/p1", tariffs)})
                print(json.dumps(rows[-1]), flush=True)
            if count <= options.whole:  # the worst case: with no sealed segment, recovery reads every record
                fill_folder(f"{base_folder}/p2", count, 1 << 40, False)
                rows.append(
                    {"records": count, "one_segment": True, **measure_task("recovery", f"{base_folder}/p2", tariffs)}
                )
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
    parser.add_argument("--disk", default="", help="A folder on the disk to be measured.")
    parser.add_argument("--out", default="docs/bench")
    options = parser.parse_args()
    {"ways": compare_orders, "top": measure_throughput, "folders": measure_folders}[options.what](options)


if __name__ == "__main__":
    main()
