"""Border proxies of a trial: real processes, the control feed of each, their signals and what they use."""

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
WATCH_S = 0.25  # s between two looks at what a process uses
NODE = ("-m", "thorndale.node")
OLD_FEED_S = 1.5  # s after SIGHUP in which the old feed's open connections still stand
FEED_AFTER_SILENCE_S, FEED_AFTER_BREAK_S, FEED_AFTER_MOVE_S = 4.0, 6.0, 4.0  # s in which a change counts as told


class Reached:
    """A central server as one proxy reaches it."""

    def __init__(self, server, proxy):
        self.name, self.host, self.port = server.name, "127.0.0.1", server.ports[proxy]
        self.pool = server.plan.pool


class Proxy:
    """One proxy through all its processes. `runs`: how many were started."""

    def __init__(self, trial, number, command):
        self.trial, self.number, self.command = trial, number, command
        self.name, self.port, self.process, self.runs = f"proxy{number}", reserve_port(), None, 0
        self.config = trial.folder / f"{self.name}.json"
        self.log = open(trial.folder / f"{self.name}.log", "w")  # noqa: SIM115 - closed by `close`
        self.feed, self.changes, self.known, self.down_until = None, [], (), {}  # down_until: by feed that is down
        self.told_by = 0.0  # when, at the latest, all that the feed holds counts as told

    # ---- the process ----

    async def open(self):
        self.feed = await ControlFeed().start("127.0.0.1")
        self.feed.add(1)
        await self.start()

    def write(self):
        known = [Reached(server, self.number) for server in self.trial.first_servers]
        plan, listen = self.trial.plan, f"127.0.0.1:{self.port}"
        self.config.write_text(
            configuration(listen, self.feed, known, plan.settings, plan.sockets, self.number, self.known)
        )

    async def start(self):
        self.known = tuple(self.changes)  # a process is told what is so at its start, later ones by the feed alone
        self.write()
        environ = dict(os.environ, GW_CONFIG=str(self.config), PYTHONDONTWRITEBYTECODE="1")
        self.runs += 1
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
        callers.serves, callers.told_at = True, None
        await callers.tell_again()

    async def _watch(self, process, run):
        """Its memory and descriptors against their limits, and its end."""
        judge, page_mb = self.trial.judge, os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        while process.poll() is None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                with open(f"/proc/{process.pid}/statm") as file:
                    memory_mb = int(file.read().split()[1]) * page_mb
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                if memory_mb > MEMORY_MB:
                    judge.broke(self.trial.now(), "memory", "", f"{self.name} holds {memory_mb:.0f} MB")
                if descriptors > self.trial.plan.sockets:
                    judge.broke(self.trial.now(), "descriptors", "", f"{self.name} holds {descriptors}")
            await asyncio.sleep(WATCH_S if self.trial.callers[self.number].told_at is None else 0.005)
        judge.ended(self.trial.now(), self.number, run, process.returncode)

    async def restart(self, in_series=False):
        """SIGTERM, SIGKILL at the earliest moment where it has not ended, and a new process."""
        process, callers = self.process, self.trial.callers[self.number]
        if process.poll() is not None or not callers.serves:
            return
        told_at = self.trial.now()
        process.send_signal(signal.SIGTERM)
        self.trial.judge.run(self.number, told_at=told_at)
        callers.told_at = told_at
        kill_at, number = told_at + self.trial.plan.earliest_kill_s, 0
        while process.poll() is None and self.trial.now() < kill_at:
            if in_series:
                number += 1
                process.send_signal((signal.SIGHUP, signal.SIGTERM)[number % 2])
            await asyncio.sleep(0.002 if in_series else 0.005)
        await self._end(process)
        await self.start()

    async def kill(self):
        process, callers = self.process, self.trial.callers[self.number]
        if process.poll() is not None or callers.told_at is not None:
            return
        await self._end(process)
        await asyncio.sleep(self.trial.chance.uniform(0.1, 1.0))
        await self.start()

    async def _end(self, process):
        if process.poll() is None:
            self.trial.judge.run(self.number, killed_at=self.trial.now())
            process.kill()
        self.trial.callers[self.number].serves = False
        while process.poll() is None:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.01)  # what it had written is read

    # ---- the feed ----

    def tell(self, server, state, started_ms):
        """A change of the list: in the feed now, told at the latest as the faults of the feed have it."""
        record = (int(server.name[2:], 16), "127.0.0.1", server.ports[self.number], state, server.plan.pool, started_ms)
        self.changes.append(record)
        self.feed.add(2, record)
        now = self.trial.now()
        self.trial.judge.told(now, self.number, server.name, state, max(now, self.told_by))

    async def silent(self, seconds):
        self.feed.mute = True
        self.told_by = max(self.told_by, self.trial.now() + FEED_AFTER_SILENCE_S)
        await asyncio.sleep(seconds)
        self.feed.mute = False

    async def slow(self, seconds, piece_s):
        """The feed writes in pieces, and is asked anew meanwhile."""
        feed = self.feed
        feed.piece_s = piece_s
        self.told_by = max(self.told_by, self.trial.now() + seconds + FEED_AFTER_SILENCE_S)
        feed.cut()
        await asyncio.sleep(seconds)
        feed.piece_s = 0.0

    async def down(self, seconds):
        feed, until = self.feed, self.trial.now() + seconds
        self.told_by = max(self.told_by, until + FEED_AFTER_BREAK_S)
        if feed in self.down_until:  # whoever took it down brings it back
            self.down_until[feed] = max(until, self.down_until[feed])
            return
        self.down_until[feed] = until
        await feed.stop()
        while (wait := self.down_until[feed] - self.trial.now()) > 0:
            await asyncio.sleep(wait)
        del self.down_until[feed]
        feed.open.clear()
        await feed.start("127.0.0.1", feed.port)

    async def move(self):
        """A new configuration names another feed, which goes on with the numbers; the old one tells nothing more."""
        if not self.trial.callers[self.number].serves or self.process.poll() is not None:
            return
        old, self.feed = self.feed, await ControlFeed().start("127.0.0.1")
        self.feed.frames = list(old.frames)
        self.told_by = max(self.told_by, self.trial.now() + FEED_AFTER_MOVE_S)
        old.mute = True
        self.write()
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
