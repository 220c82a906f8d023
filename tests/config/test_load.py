"""Settings: every problem is reported by its path, all at once; exit codes of the command line."""

import glob
import os
import signal
import subprocess
import sys
import time

import pytest

from thorndale.call.decision import build_module, module_settings, site_settings
from thorndale.config.load import ConfigError, load, parse
from thorndale.policy import Proxy
from thorndale.sites.router import SiteRouter
from thorndale.standins.ports import reserve_port

GOOD = open("examples/proxy.json5", encoding="utf-8").read()


def problems_of(text):
    with pytest.raises(ConfigError) as caught:
        parse(text)
    return caught.value.problems


def test_the_example_becomes_settings_of_the_module():
    module_config = module_settings(load("examples/proxy.json5"))
    assert module_config["type_target_us"] == [1_200_000, 800_000] and module_config["type_pools"] == [
        [0, 1, 2],
        [0, 1, 2],
    ]
    assert (
        module_config["release_us"] == 500_000
        and module_config["client_quota"] == []
        and not module_config["list_asked"]
    )


def test_every_schema_problem_is_reported_at_once():
    text = """{listen: [], trunk_group: [], servers: [{name: "a b", uri: 3, x: 1}], call_types: {},
               matching: {steps: 0}, limits: {open_calls: 0}, comeback: {told: "yes"}, book: {expires_s: "x"}}"""
    problems = problems_of(text)
    for path in (
        "listen:",
        "trunk_group:",
        "trunk_groups:",
        "servers[0].name:",
        "servers[0].uri:",
        "servers[0].x:",
        "servers[0].trunk_group:",
        "call_types:",
        "limits.open_calls:",
        "matching.steps:",
        "comeback.told:",
        "book.uri:",
        "book.expires_s:",
    ):
        assert any(f.startswith(path) for f in problems), path
    assert "'trunk_groups' is meant?" in "".join(problems)


@pytest.mark.parametrize(
    "old, new, path",
    [
        (
            'trunk_group: "thies" }',
            'trunk_group: "thiez" }',
            "servers[2].trunk_group: 'thiez' is no trunk group; 'thies' is",
        ),
        ('name: "box2"', 'name: "box1"', "servers[1].name: 'box1' is already the name of servers[0]"),
        ("127.0.0.1:6003", "127.0.0.1:6001", "servers[2].uri: 'sip:127.0.0.1:6001' is that of servers[0] already"),
        ("sip:127.0.0.1:6003", "sip:box3.example", "servers[2].uri:"),
        ("sip:127.0.0.1:6003", "sip:[::1]:6003", "servers[2].uri: no listener for udp over IPv6"),
        ("setup_target_ms: 1200", "setup_target_ms: 12000", "call_types[0].setup_target_ms:"),
        ('"tcp:127.0.0.1:5060"', '"udp:127.0.0.1:5060"', "listen[1]:"),
        ('"tcp:127.0.0.1:5060"', '"tcp:localhost:5060"', "listen[1]:"),
        ('"tcp:127.0.0.1:5060"', '"tcp:127.0.0.1"', "listen[1]: the port is missing"),
        ('file: "proxy.rules", ', "", "matching: needs either"),
        ('[{ name: "coaches" }]', '[{ name: "coaches" }, { name: "b", quota_per_s: 3 }]', "clients:"),
    ],
)
def test_faults_between_fields(old, new, path):
    assert old in GOOD
    assert any(f.startswith(path) for f in problems_of(GOOD.replace(old, new, 1))), problems_of(
        GOOD.replace(old, new, 1)
    )


SITES = """sites: [{ name: "dakar", trunk_groups: ["dakar-1", "dakar-2"], outside_per_s: 30 },
            { name: "thies", trunk_groups: ["thies"], outside_per_s: 10, next: ["dakar"] }],
  call_types: ["""


def test_sites_become_plain_values():
    settings = parse(GOOD.replace("call_types: [", SITES, 1))
    assert site_settings(settings) == {
        "site_pools": [[0, 1], [2]],
        "site_order": [[[0, 1], [1, 0]]] * 2,
        "site_outside": [30.0, 10.0],
    }
    narrow = GOOD.replace("call_types: [", SITES, 1).replace(
        'trunk_groups: ["dakar-1", "dakar-2", "thies"] }', 'trunk_groups: ["thies"] }', 1
    )
    assert site_settings(parse(narrow))["site_order"][0] == [[1], [1]]
    assert type(build_module(1, settings)) is SiteRouter and type(build_module(1, parse(GOOD))) is Proxy


@pytest.mark.parametrize(
    "old, new, path",
    [
        ('["dakar-1", "dakar-2"]', '["dakar-1"]', "sites: trunk group 'dakar-2' is in none"),
        (
            '["dakar-1", "dakar-2"]',
            '["dakar-1", "dakar-2", "thies"]',
            "sites[1].trunk_groups[0]: 'thies' is in sites[0]",
        ),
        ('["dakar-1", "dakar-2"]', '["dakar-1", "dakar-3"]', "sites[0].trunk_groups[1]: 'dakar-3' is no trunk group"),
        ('["dakar-1", "dakar-2"]', "[]", "sites[0].trunk_groups: needs at least one entry"),
        ('name: "thies", trunk', 'name: "dakar", trunk', "sites[1].name: 'dakar' is already the name of sites[0]"),
        ('next: ["dakar"]', 'next: ["dakkar"]', "sites[1].next[0]: 'dakkar' is no site; 'dakar' is meant?"),
        ('next: ["dakar"]', 'next: ["dakar", "dakar"]', "sites[1].next[1]: 'dakar' is the site itself or a repetition"),
        ('next: ["dakar"]', 'next: ["thies"]', "sites[1].next[0]: 'thies' is the site itself or a repetition"),
        ("outside_per_s: 30", "outside_per_s: -1", "sites[0].outside_per_s:"),
    ],
)
def test_faults_of_sites(old, new, path):
    text = GOOD.replace("call_types: [", SITES, 1)
    assert old in text
    assert any(f.startswith(path) for f in problems_of(text.replace(old, new, 1))), problems_of(
        text.replace(old, new, 1)
    )


def test_unreadable_files_are_refused(tmp_path):
    for name, data in (("cut", GOOD[:300].encode()), ("latin", b"{name: '\xe9'}"), ("empty", b"")):
        (tmp_path / name).write_bytes(data)
        with pytest.raises(ConfigError):
            load(str(tmp_path / name))
    with pytest.raises(ConfigError):
        load(str(tmp_path / "missing"))


def thorndale(*args):
    return subprocess.run([sys.executable, "-m", "thorndale", *args], capture_output=True, text=True, timeout=30)


def test_exit_codes(tmp_path):
    assert thorndale("check", "examples/proxy.json5").returncode == 0
    (tmp_path / "bad.json5").write_text("{listen: 5}")
    for command in (("check",), ("run",), ("day",)):
        done = thorndale(*command, str(tmp_path / "bad.json5"))
        assert done.returncode == 2 and "bad.json5: listen" in done.stderr and "Traceback" not in done.stderr
    done = thorndale("day", str(tmp_path / "none.json5"))
    assert done.returncode == 2 and "cannot be read" in done.stderr


def test_an_occupied_port_and_an_orderly_end(tmp_path):
    number = reserve_port()
    path, log = tmp_path / "p.json5", tmp_path / "p.log"
    (tmp_path / "proxy.rules").write_text(open("examples/proxy.rules").read())
    path.write_text(GOOD.replace("5060", str(number)).replace('name: "proxy1",', f'name: "p", log: {{file: "{log}"}},'))
    first = subprocess.Popen([sys.executable, "-m", "thorndale", "run", str(path)])
    try:
        deadline = time.monotonic() + 15
        while not (log.exists() and '"started"' in log.read_text()) and time.monotonic() < deadline:
            time.sleep(0.02)
        done = thorndale("run", str(path))
        assert done.returncode == 1 and f"udp:127.0.0.1:{number}" in done.stderr and "Traceback" not in done.stderr
        first.send_signal(signal.SIGTERM)
        assert first.wait(15) == 0 and '"descriptors": 0' in log.read_text().splitlines()[-1]
    finally:
        first.kill()
        first.wait()


def test_every_example_day_is_valid():
    from thorndale.standins.script import read_file

    for name in sorted(glob.glob("examples/days/*.json5")):
        if os.path.basename(name) != "common.json5":
            assert read_file(name).seconds > 0


def test_invalid_days_are_refused(tmp_path):
    from thorndale.standins.script import read_file

    (tmp_path / "day.json5").write_text(
        open("examples/days/short.json5")
        .read()
        .replace('"dies"', '"dyes"')
        .replace('"box3"], seconds', '"box9"], seconds')
    )
    with pytest.raises(ConfigError) as caught:
        read_file(str(tmp_path / "day.json5"))
    assert [f.partition(":")[0] for f in caught.value.problems] == ["faults[0].kind", "faults[1].who"]


def test_examples_run_at_check_and_by_match(tmp_path):
    for name in ("proxy.json5", "proxy.rules", "proxy.examples.json5"):
        (tmp_path / name).write_text(open(f"examples/{name}", encoding="utf-8").read(), encoding="utf-8")
    path = str(tmp_path / "proxy.json5")
    assert "5 examples, 0 wrong" in thorndale("check", path).stdout
    (tmp_path / "proxy.rules").write_text(
        (tmp_path / "proxy.rules")
        .read_text()
        .replace('"+22133" or', '"+2213300" or')
        .replace('prefix(number, "+22133")', 'prefix(number, "+22138")')
    )
    done = thorndale("check", path)
    assert done.returncode == 1 and "1 wrong" in done.stdout and "+22133000123" in done.stdout
    done = thorndale("match", path, "--number", "+22170000123", "--header", "X-Station: thies")
    assert done.returncode == 0 and "FITS  'through Thies'" in done.stdout and "'group': 'thies'" in done.stdout
    (tmp_path / "call.txt").write_text(
        "INVITE sip:+22170000123@h SIP/2.0\nVia: SIP/2.0/UDP h;branch=z9hG4bKx\nFrom: <sip:a@h>;tag=x\n"
        "To: <sip:b@h>\nCall-ID: x\nCSeq: 1 INVITE\n\n"
    )
    assert "'rule': 'timetable'" in thorndale("match", path, "--call", str(tmp_path / "call.txt")).stdout
    assert thorndale("match", path, "--call", str(tmp_path / "none")).returncode == 2
    assert thorndale("match", path).returncode == 2
    (tmp_path / "proxy.rules").write_text('rule "x" { when numbr == 5 type timetabel }')
    done = thorndale("check", path)
    assert (
        done.returncode == 2
        and "proxy.rules:1:17" in done.stderr
        and "^" in done.stderr
        and "'timetable' is meant" in done.stderr
    )
