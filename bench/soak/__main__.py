"""`python -m bench.soak --seeds 50`: short, dense trials of real border proxies, several side by side.

    python -m bench.soak --seeds 50 [--first 1] [--jobs 3]     trials of the seeds from the first on
    python -m bench.soak --seed 17 [--folder DIR]              one trial; prints the history of calls that broke a rule
    python -m bench.soak --seed 17 --planted forgets           the same, run on a proxy with a planted fault

Exit code 0: every rule was kept; 1: at least one was broken; 2: a trial could not be played.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import traceback
from concurrent.futures import ThreadPoolExecutor

from bench.soak.plan import draw
from bench.soak.play import Trial
from bench.soak.proxies import NODE

EXIT_RULES_KEPT, EXIT_RULE_BROKEN, EXIT_NOT_PLAYED = 0, 1, 2
CORES_PER_TRIAL = 3  # CPU cores that the stand-ins and proxies of one trial use
MAX_DETAILED_VIOLATIONS = 5  # violations per trial that are printed with the history of their call
REPORTED_LOOP_LAG_S = 0.15  # event-loop lag of the stand-ins from which the report mentions it


def arguments():
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 1) // CORES_PER_TRIAL))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--folder")
    parser.add_argument("--planted", choices=("forgets", "ends-early"))
    return parser.parse_args()


def call_history(trial, call):
    """Lines with all events of a call from the stand-ins and from the proxies' logs."""
    observed = trial.judge.calls.get(call)
    lines = [f"    {at:8.3f}  {text}" for at, text in (observed.events if observed else ())]
    for path in sorted(trial.folder.glob("*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += [f"    {path.name}: {line.strip()}" for line in file if call in line]
    return lines


def report(trial, violations):
    judge, plan = trial.judge, trial.plan
    lines = []
    for number, violation in enumerate(violations):
        lines.append(
            f"seed {plan.seed}: {violation.rule} at {violation.at:.3f} s, "
            f"call {violation.call or '-'}: {violation.text}"
        )
        if violation.call and number < MAX_DETAILED_VIOLATIONS:
            lines += call_history(trial, violation.call)
    if violations:
        lines += [f"    fault {fault}" for fault in plan.faults]
        lines.append(f"    logs in {trial.folder}; rerun: python -m bench.soak --seed {plan.seed}")
    answered = sum(bool(call.answers) for call in judge.calls.values())
    established = sum(call.established_at is not None for call in judge.calls.values())
    lag_note = (
        f", event-loop lag of the stand-ins up to {judge.loop_lag_s * 1000:.0f} ms"
        if judge.loop_lag_s > REPORTED_LOOP_LAG_S
        else ""
    )
    lines.append(
        f"seed {plan.seed}: {plan.proxies} proxies, {len(judge.calls)} set-ups, {answered} answered, "
        f"{established} established, {judge.attempts_checked} attempts, {judge.bad_caller_count} bad callers, "
        f"{len(plan.faults)} faults: {len(violations)} rule violations{lag_note}"
    )
    return lines


def play_one(options):
    command = ("-m", "bench.soak.broken", options.planted) if options.planted else NODE
    trial = Trial(draw(options.seed), command, options.folder)
    try:
        violations = asyncio.run(trial.play())
    except Exception:
        traceback.print_exc()
        return EXIT_NOT_PLAYED
    print("\n".join(report(trial, violations)), flush=True)
    return EXIT_RULE_BROKEN if violations else EXIT_RULES_KEPT


def play_many(options):
    """Runs each trial in its own process, so that no trial delays the event loop of another."""

    def play(seed):
        command = [sys.executable, "-m", "bench.soak", "--seed", str(seed)]
        command += ["--folder", tempfile.mkdtemp(prefix=f"thorndale-soak-{seed}-")]
        if options.planted:
            command += ["--planted", options.planted]
        done = subprocess.run(command, capture_output=True, text=True)
        print(done.stdout, end="", flush=True)
        if done.returncode not in (EXIT_RULES_KEPT, EXIT_RULE_BROKEN):
            print(f"seed {seed}: could not be played: {done.stderr[-2000:]}", flush=True)
        return done.returncode

    with ThreadPoolExecutor(options.jobs) as pool:
        codes = list(pool.map(play, range(options.first, options.first + options.seeds)))
    kept_count, broken_count = codes.count(EXIT_RULES_KEPT), codes.count(EXIT_RULE_BROKEN)
    print(
        f"{kept_count} seeds kept the rules, {broken_count} broke one, "
        f"{len(codes) - kept_count - broken_count} not played"
    )
    if kept_count + broken_count < len(codes):
        return EXIT_NOT_PLAYED
    return EXIT_RULE_BROKEN if broken_count else EXIT_RULES_KEPT


def main():
    options = arguments()
    return play_one(options) if options.seed is not None else play_many(options)


if __name__ == "__main__":
    sys.exit(main())
