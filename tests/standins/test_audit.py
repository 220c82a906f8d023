"""The auditor detects each kind of rule break: real proxies with one defect each, and single messages."""

import asyncio
import multiprocessing
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import pytest

from thorndale.standins.audit import RULES, Auditor
from thorndale.standins.day import exit_code, leaks, play
from thorndale.standins.loop_stalls import LoopStallMonitor
from thorndale.standins.processor import Processor, Work
from thorndale.standins.script import Fault, read_file

BROKEN = os.path.join(os.path.dirname(__file__), "broken.py")
CASES = {
    "second_seizure": ("one seizure", []),
    "no_answer": ("one answer", [Fault(1.0, "floods", ["box1", "box2", "box3"], 2.0)]),
    "after_the_drain": ("drain kept", [Fault(1.0, "drains", ["box1"], 1.0)]),
    "no_release_wait": ("release awaited", [Fault(1.0, "resets", ["box2"], 3.0, 0.3)]),
    "cold_pushed": ("cold kept", [Fault(1.0, "dies", ["box1"], 0.5)]),
}


def broken_day(name):
    """Plays a day with defective proxies; returns {rule: number of breaks} and the exit code."""
    day = read_file("examples/days/short.json5")
    day.seconds, day.faults = 6.0, CASES[name][1]
    if name == "cold_pushed":
        day.cold_from, day.warm_ms, day.rate, day.fall_multiple = 0.08, 20_000, 110, 1.0
        day.queue_ms = (
            60_000  # a shorter queue limit may reject set-ups, which sometimes saves the server from the overload
        )
    command = [sys.executable, BROKEN, name, "run"]
    player, breaks = play(day, command=command)
    return Counter(rule for _, rule, _ in breaks), exit_code(player, breaks)


def test_each_rule_is_seen_to_be_judged():
    with ProcessPoolExecutor(3, mp_context=multiprocessing.get_context("spawn")) as pool:
        found = dict(zip(CASES, pool.map(broken_day, CASES), strict=True))
    for name, (rule, _) in CASES.items():
        broken, code = found[name]
        assert broken[rule] > 0 and code == 1, (name, broken)
        if name in ("after_the_drain", "no_release_wait", "cold_pushed", "no_answer"):
            assert set(broken) == {rule}, (name, broken)


def test_a_short_day_breaks_none_and_leaves_nothing():
    player, breaks = play(read_file("examples/days/short.json5"))
    assert breaks == [] and leaks(player) == {} and exit_code(player, breaks) == 0
    stood = sum(n for (_, key), n in player.count.items() if key == "stood")
    offered = sum(n for (_, key), n in player.count.items() if key == "offered")
    assert offered > 300 and stood > 0.8 * offered


# ---- the auditor alone, on bytes ----

RULE_FIGURES = {"release_us": 500_000, "drain_grace_us": 500_000, "fall_multiple": 2.0, "fall_us": 1_500_000}


def auditor():
    judge = Auditor(RULE_FIGURES, {"box1": (10_000, 0.3, 10_000_000), "box2": (10_000, 0.3, 10_000_000)})
    judge.proxy("proxy1", "127.0.0.1", 5060)
    return judge


def caller(branch="z9hG4bKa", token="1", expires=3):
    return (
        f"INVITE sip:1@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:7000;branch={branch}\r\nFrom: <sip:a@b>;tag=f"
        f"\r\nTo: <sip:x@y>\r\nCall-ID: {branch}\r\nCSeq: 1 INVITE\r\nExpires: {expires}\r\nSession-ID: {token}\r\n\r\n"
    ).encode()


def proxy(branch="z9hG4bKp", token="1", method="INVITE"):
    return (
        f"{method} sip:1@127.0.0.1:6001 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5060;branch={branch}\r\nFrom: <sip:a@b>;tag=f"
        f"\r\nTo: <sip:x@y>\r\nCall-ID: {branch}\r\nCSeq: 1 {method}\r\nSession-ID: {token}\r\n\r\n"
    ).encode()


def response(branch, status, tag="t"):
    return (
        f"SIP/2.0 {status} X\r\nVia: SIP/2.0/UDP 127.0.0.1:7000;branch={branch}\r\nFrom: <sip:a@b>;tag=f\r\n"
        f"To: <sip:x@y>;tag={tag}\r\nCall-ID: {branch}\r\nCSeq: 1 INVITE\r\n\r\n"
    ).encode()


MS = 1_000


@pytest.mark.parametrize(
    "steps, rule",
    [
        ([(0, "caller", "out", caller()), (100, "caller", "in", response("z9hG4bKa", 486))], ""),
        ([(0, "caller", "out", caller())], "one answer"),
        ([(0, "caller", "out", caller()), (3_300, "caller", "in", response("z9hG4bKa", 486))], "one answer"),
        (
            [
                (0, "caller", "out", caller()),
                (9, "caller", "in", response("z9hG4bKa", 486)),
                (10, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (9, "caller", "in", response("z9hG4bKa", 486)),
                (10, "caller", "in", response("z9hG4bKa", 200)),
            ],
            "one answer",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (9, "caller", "in", response("z9hG4bKa", 486)),
                (30, "box:box1", "in", proxy()),
            ],
            "one answer",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box2", "in", proxy("z9hG4bKq")),
                (9, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "one seizure",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box1", "in", proxy()),
                (9, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box1", "out", response("z9hG4bKp", 503)),
                (3, "box:box2", "in", proxy("z9hG4bKq")),
                (9, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box1", "in", proxy(method="CANCEL")),
                (400, "box:box2", "in", proxy("z9hG4bKq")),
                (500, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "release awaited",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box1", "in", proxy(method="CANCEL")),
                (503, "box:box2", "in", proxy("z9hG4bKq")),
                (600, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "",
        ),
        (
            [
                (0, "caller", "out", caller()),
                (1, "box:box1", "in", proxy()),
                (2, "box:box1", "died", b""),
                (300, "box:box2", "in", proxy("z9hG4bKq")),
                (600, "caller", "in", response("z9hG4bKa", 486)),
            ],
            "release awaited",
        ),
    ],
)
def test_verdicts(steps, rule):
    judge = auditor()
    for at, endpoint, event, data in steps:
        judge.observe(at * MS, endpoint, event, data)
    assert {r for _, r, _ in judge.finish(9_000 * MS)} == ({rule} if rule else set())
    assert rule in ("", *RULES)


def test_a_cold_box_and_how_much_it_may_be_sent():
    for each_ms, broken in ((20, False), (4, True)):
        judge = auditor()
        judge.observe(0, "box:box1", "start", b"cold")
        for n in range(300):
            token = f"{n:x}"
            judge.observe(n * each_ms * MS, "caller", "out", caller(f"z9hG4bKc{n}", token))
            judge.observe(n * each_ms * MS + 1, "box:box1", "in", proxy(f"z9hG4bKb{n}", token))
        assert any(rule == "cold kept" for _, rule, _ in judge.breaks) == broken


def test_a_killed_proxy_owes_nothing_and_a_stopped_one_later():
    judge = auditor()
    judge.observe(0, "caller", "out", caller())
    judge.record_event(1_000 * MS, "killed", "proxy1")
    judge.record_event(2_000 * MS, "up", "proxy1")
    judge.observe(2_500 * MS, "caller", "out", caller("z9hG4bKb", "2"))
    judge.record_event(5_000 * MS, "stopped", "proxy1")
    judge.record_event(7_000 * MS, "went on", "proxy1")
    judge.observe(7_100 * MS, "caller", "in", response("z9hG4bKb", 503))
    assert judge.finish(9_000 * MS) == [] and judge.excused == 1


def test_the_processor_works_in_line_refuses_and_falls():
    work = Work(setup_us=10_000, queue_us=100_000, cold_from=0.25, warm_us=10_000_000)
    warm = Processor(work, 0, False)
    assert [warm.setup(0) for _ in range(12)] == [*range(10_000, 110_001, 10_000), None] and not warm.fallen
    cold = Processor(work, 0, True)
    assert cold.setup(0) == 40_000 and cold.warmth(5_000_000) == 0.625 and cold.warmth(20_000_000) == 1.0
    for n in range(200):
        cold.setup(n * 5_000)
    assert cold.fallen
    slow = Processor(work, 0, False)
    slow.slowness = 3.0
    assert slow.setup(0) == 30_000 and slow.wait(10_000) == 20_000


@pytest.mark.parametrize(
    ("still_ms", "endpoint", "answered_ms", "broken"),
    [
        ((3_040, 3_310), "caller", 3_300, False),  # may have arrived at 3,040, within the slack of 250
        ((3_260, 3_310), "caller", 3_300, True),  # arrived at 3,260 at the earliest, 10 too late
        ((3_040, 3_299), "caller", 3_300, True),  # the stall had ended before the read
        ((3_301, 3_600), "caller", 3_300, True),  # the stall began after the read
        ((3_040, 3_310), "caller:other", 3_300, True),  # a stall of another caller's loop
        ((100, 3_000), "caller", 3_300, True),  # a stall long before
    ],
)
def test_a_stand_still_of_the_callers_own_loop_counts_by_its_measured_span_alone(
    still_ms, endpoint, answered_ms, broken
):
    judge = auditor()
    judge.observe(0, "caller", "out", caller())
    judge.observe(answered_ms * MS, "caller", "in", response("z9hG4bKa", 486))
    judge.observe(still_ms[1] * MS, endpoint, "still", str(still_ms[0] * MS).encode())
    assert bool(judge.finish(10_000 * MS)) == broken


@pytest.mark.parametrize(("second_began_ms", "broken"), [(3_300, False), (3_301, True)])
def test_stand_stills_without_a_pause_between_them_are_one(second_began_ms, broken):
    judge = auditor()
    judge.observe(0, "caller", "out", caller())
    for began, ended in ((3_040, 3_300), (second_began_ms, 3_400)):
        judge.observe(ended * MS, "caller", "still", str(began * MS).encode())
    judge.observe(3_380 * MS, "caller", "in", response("z9hG4bKa", 486))
    assert bool(judge.finish(10_000 * MS)) == broken


def test_a_loop_that_stands_still_is_measured():
    async def scene():
        seen = []
        pulse = LoopStallMonitor(asyncio.get_running_loop(), ["caller"], lambda *line: seen.append(line))
        await asyncio.sleep(0.03)
        quiet, began = len(seen), time.monotonic()
        time.sleep(0.12)
        await asyncio.sleep(0.02)
        pulse.stop()
        return quiet, began, seen

    quiet, began, seen = asyncio.run(scene())
    long = [
        (ended - int(data)) // 1000
        for ended, endpoint, event, data in seen
        if event == "still" and endpoint == "caller"
    ]
    assert quiet <= 1 and max(long) >= 115 and int(seen[-1][3]) <= (began + 0.01) * 1e6
