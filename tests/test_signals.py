"""Signals sent to processes of `thorndale run` and `thorndale.node` while they start or end."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bench.soak.plan import draw
from thorndale.standins.platform import ControlFeed, configuration, until
from thorndale.standins.ports import reserve_port

EXAMPLES = Path(__file__).parents[1] / "examples"
SIGNAL_INTERVAL_S = 0.003


def daemon(folder):
    """The command and environment of `thorndale run` with the example's settings."""
    port = str(reserve_port())
    for path in EXAMPLES.glob("proxy*"):
        if path.is_file():
            (folder / path.name).write_text(path.read_text().replace("127.0.0.1:5060", f"127.0.0.1:{port}"))
    return ("-m", "thorndale", "run", str(folder / "proxy.json5")), {}


def node(folder):
    """The same for a border proxy of the platform, whose control feed is down."""
    feed = ControlFeed()
    feed.host, feed.port = "127.0.0.1", reserve_port()
    listen = f"127.0.0.1:{reserve_port()}"
    (folder / "node.json").write_text(configuration(listen, feed, [], draw(1).settings))
    return ("-m", "thorndale.node"), {"GW_CONFIG": str(folder / "node.json")}


@contextlib.contextmanager
def started(folder, program):
    command, environ = program(folder)
    environ = dict(os.environ, PYTHONDONTWRITEBYTECODE="1", **environ)
    with open(folder / "log", "w") as log:
        process = subprocess.Popen([sys.executable, *command], env=environ, stderr=log, stdout=log)
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


def is_serving(folder):
    return '"started"' in (folder / "log").read_text()


def is_loading(process):
    """Whether the program is importing its libraries. Before that, the interpreter handles the signal."""
    return "uvloop" in Path(f"/proc/{process.pid}/maps").read_text()


# Signals that arrive after the event loop has removed its handlers must not kill the ending process.
@pytest.mark.parametrize("program", [daemon, node])
def test_signals_in_series_do_not_end_a_running_proxy_by_the_signal(tmp_path, program):
    async def main():
        with started(tmp_path, program) as process:
            await until(lambda: is_serving(tmp_path))
            process.send_signal(signal.SIGTERM)
            number = 0
            while process.poll() is None and number < 10_000:
                process.send_signal((signal.SIGHUP, signal.SIGTERM)[number % 2])
                number += 1
                await asyncio.sleep(0.001)
            return process.returncode, number

    code, number = asyncio.run(main())
    assert code == 0 and number > 10


# SIGHUP that arrives before the handlers are installed must not kill a starting proxy.
@pytest.mark.parametrize("program", [daemon, node])
def test_a_proxy_told_to_reload_while_it_starts_comes_up(tmp_path, program):
    async def main():
        with started(tmp_path, program) as process:
            await until(lambda: is_loading(process))
            while not is_serving(tmp_path) and process.poll() is None:
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            assert process.poll() is None
            process.send_signal(signal.SIGTERM)
            return await asyncio.to_thread(process.wait, 10)

    assert asyncio.run(main()) == 0


# SIGTERM that arrives before the handlers are installed must stop a starting proxy in order, not kill it.
@pytest.mark.parametrize("program", [daemon, node])
def test_a_proxy_told_to_end_while_it_starts_ends_in_order(tmp_path, program):
    async def main():
        with started(tmp_path, program) as process:
            await until(lambda: is_loading(process))
            process.send_signal(signal.SIGTERM)
            return await asyncio.to_thread(process.wait, 10)

    assert asyncio.run(main()) == 0
