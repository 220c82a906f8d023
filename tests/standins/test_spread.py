"""Small fleets of real processes with faults between them: no overload peak afterwards, no idle server, no rule break."""

import asyncio
import json
import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import pytest
import uvloop

from thorndale.config.load import ConfigError
from thorndale.spread import measure
from thorndale.standins.day import DayError, Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.script import Fault, read_day
from thorndale.standins.workers import missing_resources

AT = 3.0  # second of the event
SOME, ALL = ["proxy1", "proxy2"], [f"proxy{n}" for n in range(1, 7)]
BOXES = [f"box{n}" for n in range(1, 7)]
CASES = {  # servers affected by the fault, faults, links
    "reports": (
        [],
        [
            Fault(AT, "reports lost to proxy", ["proxy1"], 4.0),
            Fault(AT, "reports stuck at proxy", ["proxy2"], 4.0),
            Fault(AT, "reports late", ["box1", "box4"], 4.0, 2.0),
        ],
        [],
    ),
    "cut one way": (
        ["box1", "box4"],
        [],
        [
            LinkPlan(at=AT, to=["box1"], seconds=3.0, proxies=SOME, way="out", cut=True),
            LinkPlan(at=AT, to=["box4"], seconds=3.0, proxies=SOME, way="back", cut=True),
            LinkPlan(at=AT, to=["box2", "box5"], seconds=3.0, proxies=["proxy3"], lose=0.1, double=0.1, jitter_ms=20),
        ],
    ),
    "book late": (
        ["box1"],
        [Fault(1.0, "book late to proxy", ALL[:3], 9.0, 2.0), Fault(AT, "dies", ["box1"], 1.0)],
        [],
    ),
    "errors": (["box1"], [Fault(AT, "floods", ["box1"], 4.0)], []),
    "all at once": ([], [Fault(AT, "proxy killed", ALL, 0.1)], []),
    "burst and back": (["box1"], [Fault(1.0, "dies", ["box1"], 2.0), Fault(AT, "burst", [], 2.0, 1.5)], []),
    "swap": (["box1", "box2"], [Fault(AT, "slow", ["box1"], 5.0, 2.0), Fault(AT, "slow", ["box2"], 5.0, 0.5)], []),
    "stopped": ([], [Fault(AT, "proxy stopped", SOME, 3.0)], []),
    "a server more": ([], [], []),
    "a proxy more": ([], [], []),
}


def day_of(name):
    boxes = [
        {
            "name": b,
            "trunk_group": "dakar" if n < 3 else "thies",
            "setup_ms": 15,
            "transport": "udp" if n < 3 else "tcp",
        }
        for n, b in enumerate(BOXES)
    ]
    day = read_day(
        {
            "seconds": 10.0,
            "rate": 90.0,
            "proxies": {"a server more": 5, "a proxy more": 7}.get(name, 6),
            "t1_ms": 100,
            "warm_ms": 3000,
            "notice_s": 0.6,
            "boxes": boxes,
            "seed": 11,
            "types": [
                {
                    "name": "timetable",
                    "prefix": "+22170",
                    "part": 1.0,
                    "setup_target_ms": 1200,
                    "guard_ms": 9000,
                    "patience_s": 3,
                    "hold_ms": 1500,
                }
            ],
        },
        "test",
    )
    _, day.faults, day.links = CASES[name]
    return day


def run_case(name):
    player = Player(day_of(name))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    rows = player.by_second()
    stood = sum(n for (_, k), n in player.count.items() if k == "stood")
    return breaks, leaks(player), [rows[b][:10] for b in BOXES], stood, player.relay.passed


@pytest.fixture(scope="module")
def days():
    with ProcessPoolExecutor(3, mp_context=multiprocessing.get_context("spawn")) as pool:
        return dict(zip(CASES, pool.map(run_case, CASES), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_no_herd_after_a_fault_and_nobody_idle(days, name):
    breaks, left, rows, stood, passed = days[name]
    assert not breaks and not left and stood > 400
    if CASES[name][2]:
        assert passed["lost"] and passed["doubled"] and passed["held"] and passed["delivered"] > 500, passed
    sound = [[n for n in pool if BOXES[n] not in CASES[name][0]] for pool in ([0, 1, 2], [3, 4, 5])]
    after = measure.peak(rows, sound, None, int(AT) + 3)
    assert after[0] < 1.6, (after, rows)  # proxies that all use the order of the list reach 2.4 and more
    assert not measure.idle(rows, sound, None, 25.0), rows
    for pool in sound:
        whole = [sum(rows[s][6:]) for s in pool]
        assert min(whole) > 0.6 * sum(whole) / len(whole), rows


def test_all_in_the_order_of_the_list_would_be_seen():
    rows = [[14, 16, 15] * 4, [1, 0, 2] * 4, [0] * 12]
    assert measure.peak(rows, [[0, 1, 2]])[0] > 1.6 and measure.idle(rows, [[0, 1, 2]])[0][0] == 2
    assert measure.variance(rows, [[0, 1, 2]]) > 20


def test_many_stand_in_processes_are_judged_as_one():
    day = day_of("a proxy more")
    day.seconds, day.proxies, day.rate = 4.0, 34, 120.0
    player = Player(day)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(player.play()) == [] and leaks(player) == {}
    answered = sum(1 for t in player.auditor.tries.values() if len(t.finals) == 1)
    assert answered == len(player.auditor.tries) > 300
    stood = sum(n for (_, k), n in player.count.items() if k == "stood")
    assert sum(sum(counts.values()) for counts in player.setups.values()) >= stood > 100


def test_what_a_day_cannot_be_is_refused_by_name():
    plain = {
        "seconds": 5.0,
        "rate": 9.0,
        "boxes": [{"name": "box1", "trunk_group": "g"}],
        "types": [
            {
                "name": "t",
                "prefix": "+2",
                "part": 1.0,
                "setup_target_ms": 1,
                "guard_ms": 1,
                "patience_s": 1,
                "hold_ms": 1,
            }
        ],
    }
    cut = {"at": 1.0, "to": ["box1"], "seconds": 2.0, "cut": True}
    for more, said in (
        ({"links": [{"at": 1.0, "to": ["box9"]}]}, "links[0].to: 'box9' is none of box1"),
        ({"links": [{"at": 1.0, "to": [], "cut": True}]}, "links[0].to: names nobody"),
        ({"links": [cut, {**cut, "at": 2.5, "proxies": ["proxy2"]}]}, "links[1]: overlaps links[0]"),
        ({"links": [{**cut, "at": 9.0}]}, "links[0].at: 9.0 is after the end"),
        (
            {
                "faults": [
                    {"at": 1, "kind": "slow", "who": ["box1"], "seconds": 2, "size": 2},
                    {"at": 2, "kind": "slow", "who": ["box1"], "size": 3},
                ]
            },
            "faults[1]: overlaps faults[0]",
        ),
    ):
        with pytest.raises(ConfigError) as raised:
            read_day({**plain, **more}, "day")
        assert any(said in fault for fault in raised.value.problems), (said, raised.value.problems)
    separate = [cut, {**cut, "at": 3.0}, {**cut, "way": "out", "cut": False, "lose": 0.5}]
    assert len(read_day({**plain, "links": separate}, "day").links) == 3


def test_a_day_that_the_machine_cannot_hold_is_refused_before_anything_starts(monkeypatch):
    day = day_of("a proxy more")
    assert missing_resources(day) == ""
    monkeypatch.setattr("resource.getrlimit", lambda _: (20, 20))
    assert "descriptors" in missing_resources(day) and "limit is 20" in missing_resources(day)
    player = Player(day)
    with pytest.raises(DayError, match="descriptors"), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(player.play())
    assert not player.processes
    monkeypatch.setattr("resource.getrlimit", lambda _: (20_000, 20_000))
    day.proxies = 100_000
    assert "MB of memory" in missing_resources(day) or "descriptors" in missing_resources(day)


def test_the_logs_of_a_fleet_make_one_picture(tmp_path, capsys):
    from thorndale.cli.balance import balance

    for n in (1, 2):
        lines = [{"proxy": f"p{n}", "event": "started"}]
        lines += [
            {
                "proxy": f"p{n}",
                "event": "set-ups",
                "second": 1000 + 10 * k,
                "rows": [["a", "g", [30] * 10, 1.0, ""], ["b", "g", [30] * 10 if k else [0] * 10, 0.5, "cold"]],
            }
            for k in range(3)
        ]
        (tmp_path / f"p{n}.log").write_text("\n".join(map(json.dumps, lines)) + "\n")
    said = []
    assert balance([str(tmp_path)], "p1", lambda text, err=False: said.append(text)) == 0
    out = capsys.readouterr().out
    assert "2 proxies, 2 servers in 1 trunk groups, 30 s" in out and "1000 set-ups" not in out
    assert "IDLE 00:16:40: b got nothing for 10 s" in out and "HERD" in out and "cold" in out
    (tmp_path / "foreign.log").write_text("hello\n")
    with open(tmp_path / "p2.log", "a") as file:
        file.write('{"proxy": "p2", "event": "set-ups", "second": 10')
    (tmp_path / "odd.log").write_text(
        '{"event": "set-ups", "proxy": "x", "second": 1, "rows": [["a", "g", [-5], 1, ""]]}\n'
    )
    assert balance([str(tmp_path), str(tmp_path / "none.log")], "", lambda text, err=False: said.append(text)) == 1
    text = "\n".join(said)
    for part in ("foreign.log: is no log", "p2.log: 1 lines", "odd.log: has no line", "none.log: cannot be read"):
        assert part in text, text
    assert balance([str(tmp_path / "foreign.log")], "", lambda text, err=False: None) == 2
