"""Border proxies of a trial: real processes, with their control feeds, signals and resource use."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

from thorndale.standins.platform import Callers as Prober
from thorndale.standins.platform import ControlFeed, configuration
from thorndale.standins.ports import reserve_port

MEMORY_MB = 96
RESOURCE_POLL_S = 0.25
NODE = ("-m", "thorndale.node")
OLD_FEED_S = 1.5  # the old feed keeps its open connections this long after SIGHUP
# A change of the server list counts as announced this long after the feed's fault.
FEED_AFTER_SILENCE_S, FEED_AFTER_BREAK_S, FEED_AFTER_MOVE_S = 4.0, 6.0, 4.0


class ServerAddress:
    """The address of a central server for one proxy."""

    def __init__(self, server, proxy):
        self.name, self.host, self.port = server.name, "127.0.0.1", server.ports[proxy]
        self.pool = server.plan.pool


class Proxy:
    """One proxy over all its processes. `run_count`: how many were started."""

    def __init__(self, trial, number, command):
        self.trial, self.number, self.command = trial, number, command
        self.name, self.port, self.process, self.run_count = f"proxy{number}", reserve_port(), None, 0
        self.config = trial.folder / f"{self.name}.json"
        self.log = open(trial.folder / f"{self.name}.log", "w")  # noqa: SIM115 - closed by `close`
        self.feed, self.changes, self.initial_changes, self.down_until = None, [], (), {}  # down_until: by stopped feed
        self.announced_by = 0.0  # from then on all changes in the feed count as announced

    # ---- the process ----

    async def open(self):
        self.feed = await ControlFeed().start("127.0.0.1")
        self.feed.add(1)
        await self.start()

    def write_config(self):
        servers = [ServerAddress(server, self.number) for server in self.trial.initial_servers]
        plan, listen = self.trial.plan, f"127.0.0.1:{self.port}"
        self.config.write_text(
            configuration(listen, self.feed, servers, plan.settings, plan.sockets, self.number, self.initial_changes)
        )

    async def start(self):
        self.initial_changes = tuple(self.changes)  # later changes reach the process only by the feed
        self.write_config()
        environ = dict(os.environ, GW_CONFIG=str(self.config), PYTHONDONTWRITEBYTECODE="1")
        self.run_count += 1
        run = self.trial.judge.started(self.trial.now(), self.number)
        self.process = subprocess.Popen([sys.executable, *self.command], env=environ, stderr=self.log)
        self.trial.spawn(self._watch(self.process, run))
        while self.process.poll() is None:
            with contextlib.suppress(OSError, TimeoutError):
                prober = await Prober().open("127.0.0.1", self.port)
                try:
                    if await asyncio.wait_for(prober.test(), 1):
                        break
                finally:
                    await prober.close()
            await asyncio.sleep(0.03)
        self.trial.judge.ready(self.trial.now(), self.number)
        callers = self.trial.callers[self.number]
        callers.is_serving, callers.sigterm_at = True, None
        await callers.reannounce_calls()

    async def _watch(self, process, run):
        """Checks memory and descriptors of a process against their limits, and reports its end."""
        judge, page_mb = self.trial.judge, os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        while process.poll() is None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                with open(f"/proc/{process.pid}/statm") as file:
                    memory_mb = int(file.read().split()[1]) * page_mb
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                if memory_mb > MEMORY_MB:
                    judge.add_violation(self.trial.now(), "memory", "", f"{self.name} holds {memory_mb:.0f} MB")
                if descriptors > self.trial.plan.sockets:
                    judge.add_violation(self.trial.now(), "descriptors", "", f"{self.name} holds {descriptors}")
            await asyncio.sleep(RESOURCE_POLL_S if self.trial.callers[self.number].sigterm_at is None else 0.005)
        judge.ended(self.trial.now(), self.number, run, process.returncode)

    async def restart(self, in_series=False):
        """Sends SIGTERM, then SIGKILL at the earliest allowed time if it still runs, and starts a new process.

        `in_series`: SIGHUP and SIGTERM are sent in turn, every 2 ms, until the process ends.
        """
        process, callers = self.process, self.trial.callers[self.number]
        if process.poll() is not None or not callers.is_serving:
            return
        sigterm_at = self.trial.now()
        process.send_signal(signal.SIGTERM)
        self.trial.judge.run(self.number, told_at=sigterm_at)
        callers.sigterm_at = sigterm_at
        kill_at, number = sigterm_at + self.trial.plan.earliest_kill_s, 0
        while process.poll() is None and self.trial.now() < kill_at:
            if in_series:
                number += 1
                process.send_signal((signal.SIGHUP, signal.SIGTERM)[number % 2])
            await asyncio.sleep(0.002 if in_series else 0.005)
        await self._end(process)
        await self.start()

    async def kill(self):
        process, callers = self.process, self.trial.callers[self.number]
        if process.poll() is not None or callers.sigterm_at is not None:
            return
        await self._end(process)
        await asyncio.sleep(self.trial.rng.uniform(0.1, 1.0))
        await self.start()

    async def _end(self, process):
        if process.poll() is None:
            self.trial.judge.run(self.number, killed_at=self.trial.now())
            process.kill()
        self.trial.callers[self.number].is_serving = False
        while process.poll() is None:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.01)  # the stand-ins read what it had written

    # ---- the control feed ----

    def announce(self, server, state, started_ms):
        """Adds a change of the server list to the feed; it counts as announced once the feed's faults are over."""
        record = (int(server.name[2:], 16), "127.0.0.1", server.ports[self.number], state, server.plan.pool, started_ms)
        self.changes.append(record)
        self.feed.add(2, record)
        now = self.trial.now()
        self.trial.judge.server_announced(now, self.number, server.name, state, max(now, self.announced_by))

    async def silence_feed(self, seconds):
        self.feed.mute = True
        self.announced_by = max(self.announced_by, self.trial.now() + FEED_AFTER_SILENCE_S)
        await asyncio.sleep(seconds)
        self.feed.mute = False

    async def slow_feed(self, seconds, piece_s):
        """The feed writes in pieces; its connections are cut, so that the proxy asks for the events again."""
        feed = self.feed
        feed.piece_s = piece_s
        self.announced_by = max(self.announced_by, self.trial.now() + seconds + FEED_AFTER_SILENCE_S)
        feed.cut()
        await asyncio.sleep(seconds)
        feed.piece_s = 0.0

    async def take_feed_down(self, seconds):
        feed, until = self.feed, self.trial.now() + seconds
        self.announced_by = max(self.announced_by, until + FEED_AFTER_BREAK_S)
        if feed in self.down_until:  # whichever task stopped the feed restarts it
            self.down_until[feed] = max(until, self.down_until[feed])
            return
        self.down_until[feed] = until
        await feed.stop()
        while (wait := self.down_until[feed] - self.trial.now()) > 0:
            await asyncio.sleep(wait)
        del self.down_until[feed]
        feed.open.clear()
        await feed.start("127.0.0.1", feed.port)

    async def move_feed(self):
        """A new configuration names another feed, which continues the event numbers; the old one falls silent."""
        if not self.trial.callers[self.number].is_serving or self.process.poll() is not None:
            return
        old, self.feed = self.feed, await ControlFeed().start("127.0.0.1")
        self.feed.frames = list(old.frames)
        self.announced_by = max(self.announced_by, self.trial.now() + FEED_AFTER_MOVE_S)
        old.mute = True
        self.write_config()
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_FEED_S)
        await old.stop()

    async def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.log.close()
        await self.feed.stop()
