"""`python -m bench.soak --seeds 50`: short, dense trials of real border proxies, several side by side.

    python -m bench.soak --seeds 50 [--first 1] [--jobs 3]     trials of the seeds from the first on
    python -m bench.soak --seed 17 [--folder DIR]              one trial; where a rule breaks, each call's whole way
    python -m bench.soak --seed 17 --planted forgets           the same with a proxy that has a planted fault

Exit code 0: no rule was broken; 1: some was; 2: a trial could not be played.
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

KEPT, BROKE, NOT_PLAYED = 0, 1, 2  # exit codes
CORES_EACH = 3  # cores that a trial needs for its stand-ins and proxies
SHOWN = 5  # breaks of one trial that are shown with their calls' whole ways
LATE_S = 0.15  # s of the stand-ins' own lateness from which it is said


def arguments():
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 1) // CORES_EACH))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--folder")
    parser.add_argument("--planted", choices=("forgets", "ends-early"))
    return parser.parse_args()


def way_of(trial, call):
    """All that the stand-ins and the proxies' logs say of a call."""
    held = trial.judge.calls.get(call)
    lines = [f"    {at:8.3f}  {text}" for at, text in (held.story if held else ())]
    for path in sorted(trial.folder.glob("*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += [f"    {path.name}: {line.strip()}" for line in file if call in line]
    return lines


def report(trial, breaks):
    judge, plan = trial.judge, trial.plan
    lines = []
    for number, found in enumerate(breaks):
        lines.append(f"seed {plan.seed}: {found.rule} at {found.at:.3f} s, call {found.call or '-'}: {found.text}")
        if found.call and number < SHOWN:
            lines += way_of(trial, found.call)
    if breaks:
        lines += [f"    fault {fault}" for fault in plan.faults]
        lines.append(f"    logs in {trial.folder}; again: python -m bench.soak --seed {plan.seed}")
    answered = sum(bool(call.answers) for call in judge.calls.values())
    stood = sum(call.stood_at is not None for call in judge.calls.values())
    late = f", the stand-ins' loop was {judge.lag_s * 1000:.0f} ms late" if judge.lag_s > LATE_S else ""
    lines.append(
        f"seed {plan.seed}: {plan.proxies} proxies, {len(judge.calls)} set-ups, {answered} answered, {stood} stood, "
        f"{judge.checked} attempts, {judge.bad} bad callers, {len(plan.faults)} faults: {len(breaks)} rule breaks{late}"
    )
    return lines


def play_one(options):
    command = ("-m", "bench.soak.broken", options.planted) if options.planted else NODE
    trial = Trial(draw(options.seed), command, options.folder)
    try:
        breaks = asyncio.run(trial.play())
    except Exception:
        traceback.print_exc()
        return NOT_PLAYED
    print("\n".join(report(trial, breaks)), flush=True)
    return BROKE if breaks else KEPT


def play_many(options):
    """Each trial is a process of its own, so that none delays another's loop."""

    def play(seed):
        command = [sys.executable, "-m", "bench.soak", "--seed", str(seed)]
        command += ["--folder", tempfile.mkdtemp(prefix=f"thorndale-soak-{seed}-")]
        if options.planted:
            command += ["--planted", options.planted]
        done = subprocess.run(command, capture_output=True, text=True)
        print(done.stdout, end="", flush=True)
        if done.returncode not in (KEPT, BROKE):
            print(f"seed {seed}: could not be played: {done.stderr[-2000:]}", flush=True)
        return done.returncode

    with ThreadPoolExecutor(options.jobs) as pool:
        codes = list(pool.map(play, range(options.first, options.first + options.seeds)))
    kept, broke = codes.count(KEPT), codes.count(BROKE)
    print(f"{kept} seeds kept the rules, {broke} broke one, {len(codes) - kept - broke} not played")
    if kept + broke < len(codes):
        return NOT_PLAYED
    return BROKE if broke else KEPT


def main():
    options = arguments()
    return play_one(options) if options.seed is not None else play_many(options)


if __name__ == "__main__":
    sys.exit(main())
