"""Short runs of the soak: a few seeds keep the rules, and planted faults are found."""

import asyncio
import subprocess
import sys

import pytest

from bench.soak.plan import Fault, draw
from bench.soak.play import Trial
from bench.soak.proxies import NODE


def soak(*options):
    command = [sys.executable, "-m", "bench.soak", "--jobs", "3", *options]
    return subprocess.run(command, capture_output=True, text=True, timeout=300)


def test_a_few_seeds_keep_the_rules():
    done = soak("--first", "1", "--seeds", "6")
    assert done.returncode == 0, done.stdout[-8_000:] + done.stderr[-2_000:]
    assert "6 seeds kept the rules, 0 broke one, 0 not played" in done.stdout


def test_a_proxy_that_drops_one_answer_in_a_thousand_is_found_and_the_call_history_is_shown():
    done = soak("--first", "2", "--seeds", "3", "--planted", "forgets")
    assert done.returncode == 1, done.stdout + done.stderr[-2_000:]
    assert ": lost at " in done.stdout and "rerun: python -m bench.soak --seed" in done.stdout
    assert '"did": "set-up"' in done.stdout


def restart_while_servers_are_slow():
    """A plan in which set-ups are pending until the end of a process, since no caller runs out of free connections."""
    drawn = draw(1)
    kind = drawn.settings["classes"][0] | {"giveUpMs": 1500.0, "goalTimeMs": 1500.0}
    family = drawn.settings["familyInfo"] | {"classHoldMs": [300.0], "classWidth": [1], "skilledPools": [[0, 1]]}
    settings = drawn.settings | {"classes": [kind], "familyInfo": family}
    server = drawn.servers[0]._replace(answer_s=(1.2, 1.3), refuses=0.0, spoils=0.0, in_pieces=0.0, lines=400)
    servers = tuple(server._replace(name=f"s-0000000{name}", pool=n) for n, name in enumerate("ab"))
    callers = drawn.callers._replace(rate=25.0, connections=40, gives_up=0.0, in_pieces=0.0, resets=0.0)
    faults = tuple(Fault(2.0 + n, "restart", 0.0, n) for n in range(8))
    return drawn._replace(
        seconds=6.0, settings=settings, sockets=256, proxies=8, servers=servers, callers=callers, faults=faults
    )


@pytest.mark.parametrize(("command", "found"), [(NODE, set()), (("-m", "bench.soak.broken", "ends-early"), {"lost"})])
def test_a_proxy_that_ends_50_ms_early_is_found_and_a_correct_one_is_not(tmp_path, command, found):
    trial = Trial(restart_while_servers_are_slow(), command, tmp_path)
    assert {broken.rule for broken in asyncio.run(trial.play())} == found
