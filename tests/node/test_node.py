"""A real border proxy process with stand-ins of the platform (central servers, control feed, callers) on loopback."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from thorndale.platform import isup
from thorndale.standins.platform import Callers, CentralServer, ControlFeed, configuration, until
from thorndale.standins.ports import reserve_port

SETTINGS = {
    "tickMs": 1.0,
    "nInstances": 1,
    "discovery": "automatic",
    "tenants": [],
    "classes": [{"name": "timetable", "goalTimeMs": 1000.0, "giveUpMs": 3000.0, "worth": 1.0}],
    "familyInfo": {"classHoldMs": [500.0], "classWidth": [1], "guardMs": 100.0, "skilledPools": [[0, 1]]},
    "ceilings": {
        "sendCap": 5,
        "mostHeld": 2000,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "dialTimeoutMs": 500.0,
    },
    "rules": {"drainGraceMs": 500.0, "startCapacity": 0.28, "warmUpMs": 14000.0, "fallMultiple": 2.0, "fallMs": 1500.0},
}


class Platform:
    """Two central servers, a control feed and one border proxy."""

    def __init__(self, folder, sockets=256, settings=SETTINGS):
        self.folder, self.sockets, self.settings, self.callers = folder, sockets, settings, []

    async def __aenter__(self):
        self.servers = [await CentralServer(f"s-0000000{n}").start("127.0.0.1") for n in "ab"]
        self.feed = await ControlFeed().start("127.0.0.1")
        self.feed.add(1)
        self.port = reserve_port()
        self.config = self.folder / "config.json"
        self.write()
        self.log = open(self.folder / "log", "w")  # noqa: SIM115 - closed in __aexit__
        self.start()
        await self.ready()
        return self

    def write(self):
        self.config.write_text(
            configuration(f"127.0.0.1:{self.port}", self.feed, self.servers, self.settings, self.sockets)
        )

    def start(self):
        environ = dict(os.environ, GW_CONFIG=str(self.config), PYTHONDONTWRITEBYTECODE="1")
        self.process = subprocess.Popen([sys.executable, "-m", "thorndale.node"], env=environ, stderr=self.log)

    async def ready(self):
        for _ in range(200):
            with contextlib.suppress(OSError):
                caller = await self.caller()
                assert await caller.test()
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the border proxy did not start")

    async def caller(self):
        caller = await Callers().open("127.0.0.1", self.port)
        self.callers.append(caller)
        return caller

    async def __aexit__(self, *_):
        for caller in self.callers:
            await caller.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        for peer in (*self.servers, self.feed):
            await peer.stop()

    def logged_events(self):
        return [json.loads(line)["event"] for line in (self.folder / "log").read_text().splitlines()]


def call_id(n):
    return (0x9B1F000000000000 + n).to_bytes(8, "big")


def run_on_platform(test, folder, **other):
    async def main():
        async with Platform(folder, **other) as platform:
            await asyncio.wait_for(test(platform), 40)

    asyncio.run(main())


def is_released(caller, call):
    return caller.kinds(call)[-1:] == [isup.RELEASE]


def test_calls_are_answered_and_released(tmp_path):
    async def test(p):
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(60)]
        await until(lambda: all(is_released(caller, call) for call in calls))
        for call in calls:
            assert caller.kinds(call) == [isup.ANSWER, isup.RELEASE]
            assert caller.got[call][0][1][isup.DESCRIPTION] == p.servers[0].description(call.hex())
            assert caller.got[call][1][1][isup.CAUSE] == b"\x10"
        assert all(n == 1 for s in p.servers for n in s.seen.values())

    run_on_platform(test, tmp_path)


def test_the_steps_of_a_call_are_logged_under_its_id(tmp_path):
    async def test(p):
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: is_released(caller, call))
        caller.writer.write(isup.encode(isup.RELEASE_COMPLETE, call))
        await caller.close()
        refused = await p.caller()
        refused.setup(call_id(2), kind=b"none")
        await until(lambda: refused.closed)
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        steps = [line["did"] for line in lines if line.get("call") == call.hex()]
        assert steps == ["set-up", "sent", "stood", "over", "release sent", "release heard"]
        ended = [line["why"] for line in lines if line["event"] == "connection" and line["did"] == "ended"]
        assert ended[-2:] == ["closed by its peer", "an unusable message was received"]

    run_on_platform(test, tmp_path)


def test_a_refusal_is_logged_with_the_reason_of_the_decision_module(tmp_path):
    async def test(p):
        for number, server in enumerate(p.servers):
            p.feed.add(2, (0xA + number, server.host, server.port, 1, number, 0))
        caller = await p.caller()
        await until(lambda: (tmp_path / "log").read_text().count("draining by the list") == len(p.servers))
        call = caller.setup(call_id(1))
        await until(lambda: is_released(caller, call))
        lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
        (refused,) = [line for line in lines if line.get("call") == call.hex() and line["did"] == "refused"]
        assert refused["why"] == "no server has room for it"

    run_on_platform(test, tmp_path)


def test_the_proxy_has_one_thread_and_starts_no_process(tmp_path):
    async def test(p):
        for s in p.servers:
            s.cut()  # the proxy must reconnect
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(20)]
        await until(lambda: all(is_released(caller, call) for call in calls))
        tasks = f"/proc/{p.process.pid}/task"
        assert os.listdir(tasks) == [str(p.process.pid)]
        with open(f"{tasks}/{p.process.pid}/children") as children:
            assert not children.read()

    run_on_platform(test, tmp_path)


def test_bad_clients_are_disconnected_and_good_ones_are_still_served(tmp_path):
    async def test(p):
        good = await p.caller()
        assert await good.test()
        good.setup(call_id(500))
        silent = [await p.caller() for _ in range(300)]  # more than the proxy's socket limit
        bad = [await p.caller() for _ in range(6)]
        bad[0].writer.write(b"GET / HTTP/1.1\r\n\r\n")
        bad[1].writer.write(b"\xff\xff" + b"x" * 100_000)
        bad[2].setup(call_id(900), kind=b"none")
        bad[3].setup(call_id(901), figures=b"dest:nan")
        bad[4].writer.write(isup.encode(isup.SETUP, call_id(902))[:-1] + b"\x81")
        bad[5].writer.write(b"\x00")
        calls = [good.setup(call_id(n)) for n in range(20)]
        fresh = await p.caller()
        calls_of_fresh = [fresh.setup(call_id(100 + n)) for n in range(5)]
        await until(lambda: all(isup.ANSWER in good.kinds(c) for c in calls))
        await until(lambda: all(isup.ANSWER in fresh.kinds(c) for c in calls_of_fresh))
        await until(lambda: all(c.closed for c in bad), 3)
        await until(lambda: all(c.closed for c in silent), 3)
        assert bad[2].kinds(call_id(900)) == [isup.RELEASE] and bad[3].kinds(call_id(901)) == [isup.RELEASE]
        assert not {call_id(n).hex() for n in (900, 901, 902)} & set(p.servers[0].seen)
        descriptors = len(os.listdir(f"/proc/{p.process.pid}/fd"))
        assert descriptors <= 256

    run_on_platform(test, tmp_path)


def test_an_unread_connection_and_an_answer_of_three_gigabytes_do_not_affect_other_callers(tmp_path):
    async def test(p):
        unread = await p.caller()
        unread.task.cancel()
        for n in range(3000):
            unread.writer.write(isup.encode(isup.TEST, call_id(n), (isup.CAUSE, b"\0")))
        p.servers[0].corrupt_answer = lambda call: (
            (b"SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000)
            if call == call_id(0).hex()
            else None
        )
        good = await p.caller()
        calls = [good.setup(call_id(n), within=2500) for n in range(30)]
        await until(lambda: all(good.kinds(call) for call in calls))
        await until(lambda: all(is_released(good, call) for call in calls))
        assert p.process.poll() is None

    run_on_platform(test, tmp_path)


def test_releases_arrive_after_a_reset_of_every_connection(tmp_path):
    async def test(p):
        for s in p.servers:
            s.hold_s = 0.8
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await until(lambda: all(caller.kinds(call) == [isup.ANSWER] for call in calls))
        for s in p.servers:
            s.cut()
        await caller.close()
        other = await p.caller()
        other.setup(call_id(50))
        await until(lambda: all(is_released(other, call) for call in calls))
        assert all(len(other.got[call]) == 1 for call in calls)

    run_on_platform(test, tmp_path)


def test_a_server_reported_gone_gets_no_calls_and_the_feed_is_requested_again(tmp_path):
    async def test(p):
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 1, 0, 0))
        await asyncio.sleep(0.2)
        caller = await p.caller()
        calls = [caller.setup(call_id(n)) for n in range(10)]
        await until(lambda: all(caller.kinds(call) for call in calls))
        assert not a.seen and len(p.servers[1].seen) == 10
        p.feed.cut()
        await until(lambda: p.feed.asked[-1] == 2)
        p.feed.mute = True  # the connection stays open, but the feed sends nothing
        asked = len(p.feed.asked)
        await until(lambda: len(p.feed.asked) > asked, 4)
        p.feed.mute = False
        p.feed.add(2, (0xA, a.host, a.port, 0, 0, 0))
        await asyncio.sleep(0.2)
        calls = [caller.setup(call_id(100 + n)) for n in range(10)]
        await until(lambda: len(a.seen) > 0)

    run_on_platform(test, tmp_path)


def test_sighup_switches_the_feed_and_an_invalid_file_keeps_the_old_configuration(tmp_path):
    async def test(p):
        caller = await p.caller()
        p.config.write_text("{")
        p.process.send_signal(signal.SIGHUP)
        await until(lambda: "configuration refused, the old one stays" in p.logged_events())
        calls = [caller.setup(call_id(n)) for n in range(5)]
        old, p.feed = p.feed, await ControlFeed().start("127.0.0.1")
        p.feed.add(1)
        a = p.servers[0]
        p.feed.add(2, (0xA, a.host, a.port, 2, 0, 0))
        p.write()
        p.process.send_signal(signal.SIGHUP)
        await until(lambda: p.feed.asked == [1])
        await until(lambda: all(is_released(caller, call) for call in calls))
        seen = len(a.seen)
        call = caller.setup(call_id(100))
        await until(lambda: is_released(caller, call))
        assert len(a.seen) == seen
        await old.stop()

    run_on_platform(test, tmp_path)


def test_after_sigterm_late_calls_are_served_and_releases_are_forwarded(tmp_path):
    async def test(p):
        caller = await p.caller()
        first = caller.setup(call_id(1))
        await until(lambda: caller.kinds(first))
        p.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        late = await p.caller()
        calls = [late.setup(call_id(10 + n)) for n in range(5)]
        assert not await late.test()
        await until(
            lambda: is_released(caller, first) and all(late.kinds(c) == [isup.ANSWER, isup.RELEASE] for c in calls)
        )
        await until(lambda: p.process.poll() is not None, 5)
        assert p.process.returncode == 0 and "stopped" in p.logged_events()

    run_on_platform(test, tmp_path)


def test_calls_reported_after_a_kill_are_released_at_their_end(tmp_path):
    async def test(p):
        for s in p.servers:
            s.hold_s = 3
        caller = await p.caller()
        call = caller.setup(call_id(1))
        await until(lambda: caller.kinds(call))
        name = next(s.name for s in p.servers if s.standing)
        p.process.kill()
        p.process.wait()
        p.start()
        await p.ready()
        reconnected = await p.caller()
        reconnected.setup(call, figures=f"dest:0;width:1;via:-1;at:{name}".encode())
        await until(lambda: is_released(reconnected, call))
        assert reconnected.kinds(call) == [isup.RELEASE] and reconnected.got[call][0][1][isup.CAUSE] == b"\x10"

    run_on_platform(test, tmp_path)


@pytest.mark.parametrize(
    ("change", "message", "code"),
    [
        (None, "GW_CONFIG is not set", 2),
        ("missing", "cannot be read", 2),
        ("{", "is not JSON", 2),
        ({"settings": {}}, "needed field 'tickMs' is missing", 2),
        ({"listen": "nowhere"}, "listen", 2),
        ({"limits": {"sockets": 1, "memory_mb": 1}}, "limits.sockets", 2),
        ("taken", "cannot be opened", 1),
    ],
)
def test_a_failed_start_gives_a_one_line_error_and_an_exit_code(tmp_path, change, message, code):
    class AbsentPeer:
        host, port, name = "127.0.0.1", 9, "s-0000000a"

    taken = socket.create_server(("127.0.0.1", reserve_port()))
    address = f"127.0.0.1:{taken.getsockname()[1]}"
    path = tmp_path / "config.json"
    config = json.loads(configuration(address, AbsentPeer, [AbsentPeer], SETTINGS))
    if isinstance(change, dict):
        config |= change
    path.write_text("{" if change == "{" else json.dumps(config))
    environ = {k: v for k, v in os.environ.items() if k != "GW_CONFIG"}
    if change is not None:
        environ["GW_CONFIG"] = str(tmp_path / "nothing") if change == "missing" else str(path)
    result = subprocess.run(
        [sys.executable, "-m", "thorndale.node"], env=environ, capture_output=True, text=True, timeout=30
    )
    taken.close()
    assert result.returncode == code and message in result.stderr and "Traceback" not in result.stderr
    assert result.stderr.count("\n") == 1
