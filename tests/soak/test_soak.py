"""The soak itself, short: a few seeds keep the rules, and planted faults are found."""

import subprocess
import sys

import pytest


def soak(*options):
    command = [sys.executable, "-m", "bench.soak", "--jobs", "3", *options]
    return subprocess.run(command, capture_output=True, text=True, timeout=300)


def test_a_few_seeds_keep_the_rules():
    done = soak("--first", "1", "--seeds", "6")
    assert done.returncode == 0, done.stdout[-8_000:] + done.stderr[-2_000:]
    assert "6 seeds kept the rules, 0 broke one, 0 not played" in done.stdout


@pytest.mark.parametrize(
    ("planted", "first", "found"), [("forgets", "2", ": lost at "), ("ends-early", "4", ": lost at ")]
)
def test_planted_faults_are_found_and_the_calls_way_is_shown(planted, first, found):
    done = soak("--first", first, "--seeds", "3", "--planted", planted)
    assert done.returncode == 1, done.stdout + done.stderr[-2_000:]
    assert found in done.stdout and "again: python -m bench.soak --seed" in done.stdout
    assert '"did": "set-up"' in done.stdout
