"""The planner against results that can be computed by hand."""

import shutil
import subprocess
import sys

import pytest

from thorndale.config.load import load, parse
from thorndale.sites.planner import Capacity, Load, plan
from thorndale.sites.topology import SitesError

SITES = ["dakar", "thies"]
SERVERS = {
    "d1": Capacity(0, 100, 600),
    "d2": Capacity(0, 100, 600),
    "t1": Capacity(1, 100, 600),
    "t2": Capacity(1, 100, 600),
}
ORDER = [[[0, 1], [1, 0]]] * 2
LOAD = Load([[120.0, 130.0], [10.0, 10.0]], [5.0, 4.0], [1.0, 6.0], ORDER)


def test_without_a_loss_all_calls_are_served_at_their_own_site():
    found = plan(SERVERS, LOAD, SITES)
    assert found.earned == pytest.approx(found.offered_revenue) == pytest.approx(370)
    assert sum(map(sum, [row for rows in found.served for row in rows])) == pytest.approx(270)


def test_a_lost_site_keeps_calls_of_high_revenue_and_fills_the_remaining_capacity():
    found = plan(SERVERS, LOAD, SITES, lost_site=0)
    assert found.served[1][0][1] == pytest.approx(10) and found.served[1][1][1] == pytest.approx(10)
    assert sum(found.served[0][o][1] for o in (0, 1)) == pytest.approx(180)
    assert found.earned == pytest.approx(120 + 180) and found.bottlenecks == [
        ("set-ups a second at thies", pytest.approx(1.0, abs=0.001))
    ]
    own_share_kept = plan(SERVERS, LOAD._replace(keep_own=1.0), SITES, lost_site=0)
    assert own_share_kept.served[0][1][1] == pytest.approx(130) and own_share_kept.outside == [0.0, pytest.approx(60)]


def test_lines_are_the_bottleneck_when_they_run_out_first_and_a_lost_server_moves_only_the_excess():
    few_lines = {n: c._replace(lines=200) for n, c in SERVERS.items()}
    found = plan(few_lines, LOAD, SITES, lost_site=0)
    assert [text for text, _ in found.bottlenecks] == ["lines at thies"]
    assert sum(found.served[0][o][1] * 5 + found.served[1][o][1] * 4 for o in (0, 1)) == pytest.approx(400)
    one_server_lost = plan(SERVERS, LOAD, SITES, lost_server="d1")
    assert one_server_lost.earned == pytest.approx(370) and one_server_lost.outside[1] == pytest.approx(30)


def test_an_own_share_that_cannot_be_kept_is_named():
    load = LOAD._replace(offered=[[120.0, 230.0], [10.0, 10.0]], keep_own=1.0)
    with pytest.raises(SitesError, match="thies cannot serve 1 of its own 240 calls a second, 40 are missing"):
        plan(SERVERS, load, SITES, lost_site=0)


def test_all_sites_lost_serves_nothing():
    found = plan({n: c for n, c in SERVERS.items() if c.site == 0}, LOAD, SITES, lost_site=0)
    assert found.earned == 0 and found.outside == [0.0, 0.0]


def run_plan(path, *options):
    return subprocess.run(
        [sys.executable, "-m", "thorndale", "plan", str(path), *options], capture_output=True, text=True, timeout=60
    )


def test_the_command_prints_settings_that_load_and_are_those_of_the_example():
    process = run_plan("examples/plan.json5")
    assert process.returncode == 0, process.stderr
    block = "".join(line for line in process.stdout.splitlines(True) if not line.startswith("//"))
    text = open("examples/sites.json5", encoding="utf-8").read()
    head, rest = text.split("  sites: [", 1)
    printed = parse(head + block + "  call_types" + rest.split("],\n  call_types", 1)[1])
    assert printed.sites == load("examples/sites.json5").sites
    assert "held down by set-ups a second at thies" in process.stdout


@pytest.mark.parametrize(
    ("old", "new", "options", "message", "code"),
    [
        ("", "", ["--lose", "box9"], "'box9' is neither a site nor a server", 2),
        ('name: "box1"', 'name: "box9"', [], "servers[0].name: 'box9' is no server there; 'box1' is meant?", 2),
        ('{ name: "box4", per_s: 50, lines: 700 },', "", [], "what 'box4' can take is missing", 2),
        ("per_s: 50, lines", "per_s: 0, lines", [], "servers[0].per_s:", 2),
        ('site: "dakar"', 'site: "dakkar"', [], "offered[0].site: 'dakkar' is no site there; 'dakar' is meant?", 2),
        ('"leaving-soon"', '"leaving"', [], "offered[1].call_type: 'leaving' is no call type there", 2),
        ("per_s: 70", "per_s: 170", [], "thies cannot serve 0.95 of its own 175 calls a second", 1),
        ('settings: "sites.json5"', 'settings: "proxy.json5"', [], "names no sites", 2),
        ("{", "{{", [], "no JSON5", 2),
    ],
)
def test_each_error_in_a_plan_is_one_line_and_an_exit_code(tmp_path, old, new, options, message, code):
    for name in ("sites.json5", "proxy.json5"):
        shutil.copy(f"examples/{name}", tmp_path)
    text = open("examples/plan.json5", encoding="utf-8").read()
    assert old in text
    (tmp_path / "plan.json5").write_text(text.replace(old, new, 1) if old else text)
    process = run_plan(tmp_path / "plan.json5", *options)
    assert process.returncode == code and message in process.stderr and "Traceback" not in process.stderr, (
        process.stderr
    )
