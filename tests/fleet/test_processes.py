"""Fleets of real processes with a relay between them: partitioned, one killed, one stopped; the log view; and settings."""

import asyncio
import json
import socket
import subprocess
import sys

import pytest
import uvloop
from typer.testing import CliRunner

from thorndale.cli.fleet import app
from thorndale.config.load import ConfigError, load
from thorndale.fleet.view import lease_views, leases_by_server, member_views, view_differences, view_groups
from thorndale.standins.day import Player, leaks
from thorndale.standins.links import LinkPlan
from thorndale.standins.ports import reserve_port
from thorndale.standins.script import Fault, read_day, rules_of, settings_of

HALVES = ["proxy1", "proxy2", "proxy3"], ["proxy4", "proxy5", "proxy6"]


def test_a_partitioned_fleet_of_processes_rejoins(tmp_path):
    day = read_day(
        {
            "seconds": 40.0,
            "rate": 30.0,
            "proxies": 6,
            "t1_ms": 100,
            "warm_ms": 3000,
            "fleet": True,
            "boxes": [
                {"name": "box1", "trunk_group": "g", "setup_ms": 10},
                {"name": "box2", "trunk_group": "g", "setup_ms": 10},
            ],
            "types": [
                {
                    "name": "t",
                    "prefix": "+2",
                    "part": 1.0,
                    "setup_target_ms": 1200,
                    "guard_ms": 9000,
                    "patience_s": 3,
                    "hold_ms": 1000,
                }
            ],
        },
        "test",
    )
    day.links = [
        LinkPlan(at=4, to=HALVES[1], seconds=18.0, proxies=HALVES[0], cut=True),
        LinkPlan(at=4, to=["proxy3"], seconds=33.0, proxies=["proxy2"], way="out", lose=0.3, jitter_ms=400),
    ]
    day.faults = [Fault(25.0, "proxy killed", ["proxy6"], 1.0), Fault(29.0, "proxy stopped", ["proxy1"], 3.0)]
    player = Player(day, folder=str(tmp_path))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(player.play()) == [] and leaks(player) == {}
    assert player.relay.passed["lost"] > 20
    events = {n: player.events(f"proxy{n}") for n in range(1, 7)}
    for n, own in events.items():
        views = [(e["second"], set(e["alive"]), e["others"]) for e in own if e["event"] == "members"]
        half = next(set(h) for h in HALVES if f"proxy{n}" in h)
        if n != 6:  # restarted later: its log continues, with the earlier views in it
            assert any(
                alive == half and {m for names in others.values() for m in names} == set(sum(HALVES, [])) - half
                for _, alive, others in views
            ), (n, views)
        assert any(len(alive) == 6 for _, alive, _ in views[1:]), (n, views)
        assert all(e["counts"]["unlisted"] == e["counts"]["unreadable"] == 0 for e in own if e["event"] == "members")
    assert any(
        e["event"] == "member" and e["member"] == "proxy6" and e["now"] == "begun anew" for e in events[1] + events[2]
    )
    assert not any(
        e["event"] == "member" and e["now"] == "dead" and e["member"] in HALVES[0] for n in (2, 3) for e in events[n]
    )


def member_lines(proxy, second, alive, others):
    return json.dumps({"event": "members", "proxy": proxy, "second": second, "alive": alive, "others": others})


def test_the_view_shows_where_proxies_differ_and_since_when():
    lines = [
        member_lines("a", 100, ["a", "b", "c"], {}),
        member_lines("a", 110, ["a", "b"], {"dead": ["c"]}),
        member_lines("a", 120, ["a", "b"], {"dead": ["c"]}),
        member_lines("b", 121, ["a", "b", "c"], {}),
        member_lines("old", 20, ["a"], {}),
        '{"event": "members", "proxy": 3}',
        "cut {",
        '{"event": "other"}',
    ]
    found, bad = member_views(lines)
    assert bad == 2 and set(found) == {"a", "b", "old"}
    assert view_groups(found) == [(["a"], frozenset("ab")), (["b"], frozenset("abc"))]
    assert [row for row in view_differences(found) if row[0] == "c"] == [("c", {"dead": ["a"], "alive": ["b"]}, 110)]


def test_the_view_shows_leases_held_and_refused(tmp_path):
    def line(proxy, event, **fields):
        return json.dumps({"proxy": proxy, "event": event, **fields})

    counts = {"asked": 9, "given": 4, "refused": 5, "unheard": 2}
    lines = [
        member_lines("a", 100, ["a", "b"], {}),
        line("a", "rights", held={"box1": 9}, counts={}),
        line("a", "rights", held={"box1": 2}, counts=counts),
        line("b", "rights", held={"box2": "x"}, counts={}),
        line("b", "words", shut=["box1"], counts={}),
        line("b", "words", shut=[3], counts={}),
        "cut {",
        "[]",
    ]
    found = lease_views(lines)
    assert leases_by_server(found) == [("box1", {"a": 2}, ["b"])] and found["a"].counts == counts
    (tmp_path / "a.log").write_text("\n".join(lines) + "\n")
    shown = CliRunner().invoke(app, ["view", str(tmp_path)])
    assert shown.exit_code == 0, shown.output
    assert "9 requested, 4 given, 5 refused, of these 2 unanswered; most refused at a" in shown.output
    assert "box1: 2 retry leases, at a; avoided by peer failure reports at 1 (b)" in shown.output


def test_invalid_member_lists_are_reported(tmp_path):
    with open("examples/proxy.json5") as file:
        text = file.read()
    body = text[text.index("{") + 1 :]

    def faults(fleet):
        path = tmp_path / "proxy.json5"
        path.write_text('{ "fleet": ' + json.dumps(fleet) + ", " + body)
        with pytest.raises(ConfigError) as raised:
            load(str(path))
        return "\n".join(raised.value.problems)

    a, b = {"name": "proxy1", "at": "udp:127.0.0.1:7001"}, {"name": "proxy2", "at": "udp:127.0.0.1:7002"}
    listen = "udp:127.0.0.1:7001"
    assert "fleet.members[1].name: 'proxy1' is already the name of fleet.members[0]" in faults(
        {"listen": listen, "members": [a, a]}
    )
    assert "'proxy1' itself is missing" in faults({"listen": listen, "members": [b]})
    assert "members communicate by datagrams" in faults({"listen": "tcp:127.0.0.1:7001", "members": [a]})
    many = [a, *({"name": f"p{n}", "at": f"udp:127.0.0.1:{8000 + n}"} for n in range(300))]
    assert "301 are more than instances" in faults({"listen": listen, "members": many})


def test_an_occupied_port_ends_the_start_with_one_line(tmp_path):
    day = read_day(
        {
            "seconds": 1.0,
            "rate": 1.0,
            "boxes": [{"name": "box1", "trunk_group": "g"}],
            "types": [
                {
                    "name": "t",
                    "prefix": "+2",
                    "part": 1.0,
                    "setup_target_ms": 9,
                    "guard_ms": 9,
                    "patience_s": 1,
                    "hold_ms": 9,
                }
            ],
        },
        "t",
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        at = f"udp:127.0.0.1:{taken.getsockname()[1]}"
        settings = settings_of(
            day,
            0,
            reserve_port(),
            ["sip:127.0.0.1:9"],
            "sip:127.0.0.1:10",
            str(tmp_path),
            (at, {"proxy1": at, "proxy2": "udp:127.0.0.1:11"}),
        )
        (tmp_path / "proxy1.rules").write_text(rules_of(day))
        (tmp_path / "proxy1.json5").write_text(json.dumps(settings))
        ended = subprocess.run(
            [sys.executable, "-m", "thorndale", "run", str(tmp_path / "proxy1.json5")],
            capture_output=True,
            text=True,
            timeout=20,
        )
    assert ended.returncode == 1 and f"{at} cannot be opened" in ended.stderr and ended.stderr.count("\n") == 1


def test_the_platform_node_and_a_proxy_without_a_fleet_do_not_load_the_fleet_modules():
    code = (
        "import sys, {}; assert not [m for m in sys.modules if m.startswith('thorndale.fleet') "
        "or m == 'thorndale.daemon.fleet'], sys.modules"
    )
    for module in ("thorndale.node.shell", "thorndale.daemon.start"):
        subprocess.run([sys.executable, "-c", code.format(module)], check=True)
