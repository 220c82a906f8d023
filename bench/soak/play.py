"""Plays one trial: starts the processes and the stand-ins, carries the faults out, and hands the judge what was seen."""

import asyncio
import pathlib
import random
import tempfile
import time

from bench.soak.callers import Callers
from bench.soak.judge import TOLD_LATE_S, Judge
from bench.soak.plan import ENDS_BEFORE_S, ServerPlan
from bench.soak.proxies import NODE, Proxy
from bench.soak.servers import Server

PULSE_S = 0.01  # s between two looks at how late the stand-ins' own loop is
TIDY_S = 0.2
CROWD = 150
FEED_PIECE_S = 0.05, 0.7  # s between two pieces of a slow feed
NEAR_S = 0.4  # s within which two things count as meeting
SURGE = 6  # times as many set-ups come at a proxy that was told to end: callers that come again at once


class Trial:
    """`command` starts a proxy. After `play`, `judge` holds what was seen."""

    def __init__(self, plan, command=NODE, folder=None):
        self.plan, self.command = plan, command
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="thorndale-soak-"))
        self.chance, self.judge = random.Random(plan.seed + 1), Judge(plan.settings["rules"], plan.proxies)
        self.servers, self.proxies, self.callers, self.tries = [], [], [], {}
        self.first_servers, self.tasks, self.faults, self.serial = [], set(), [], 100
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def spawn(self, work):
        """A task that this trial ends, and whose fault ends the trial."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(task.exception())

    def server_of(self, call):
        """The name of the central server at which a call stands whose caller has its answer, or None."""
        name = self.judge.calls[call].server
        return next((name for server in self.servers if server.name == name and call in server.standing), None)

    async def play(self):
        """The breaks, in order of time. Raises what a stand-in raised."""
        try:
            await self._open()
            await self._load()
            await self._settle()
        finally:
            await self._close()
        if self.faults:
            raise self.faults[0]
        return self.judge.finish(self.now())

    async def _open(self):
        holds = [ms / 1000 for ms in self.plan.settings["familyInfo"]["classHoldMs"]]
        for server in self.plan.servers:
            self.servers.append(await Server(self, server, min(holds)).start(self.plan.proxies))
        self.first_servers = list(self.servers)
        self.callers = [Callers(self, number) for number in range(self.plan.proxies)]
        self.proxies = [Proxy(self, number, self.command) for number in range(self.plan.proxies)]
        await asyncio.gather(*(proxy.open() for proxy in self.proxies))
        self.spawn(self._pulse())

    async def _pulse(self):
        """How late the loop is: so much may be the lateness of what the stand-ins saw."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(PULSE_S)
            self.judge.lag_s = max(self.judge.lag_s, time.monotonic() - before - PULSE_S)

    async def _load(self):
        start = self.now()
        for fault in self.plan.faults:
            self.spawn(self._fault(start, fault))
        for callers in self.callers:
            self.spawn(self._arrivals(callers, start + self.plan.seconds))
        while self.now() < start + self.plan.seconds:
            await asyncio.sleep(TIDY_S)
            for callers in self.callers:
                callers.tidy()

    async def _arrivals(self, callers, until):
        while self.now() < until:
            surge = 1 if callers.told_at is None else SURGE
            await asyncio.sleep(self.chance.expovariate(self.plan.callers.rate * surge))
            if callers.serves:
                self.spawn(callers.call())

    async def _settle(self):
        """What stands is released, and what is owed has its time."""
        await asyncio.sleep(ENDS_BEFORE_S)
        for server in self.servers:
            for call in list(server.standing):
                server.release(call)
        end = self.now() + TOLD_LATE_S + 1.5
        while self.now() < end and self.judge.owed(self.now()):
            await asyncio.sleep(0.1)

    async def _close(self):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for callers in self.callers:
            for line in list(callers.lines):
                line.writer.close()
        for server in self.servers:
            server.close()
            server.cut()
        for proxy in self.proxies:
            await proxy.close()

    # ---- faults ----

    async def _fault(self, start, fault):
        await asyncio.sleep(max(0, start + fault.at - self.now()))
        await FAULTS[fault.what](self, fault)

    def _tell(self, server, state, started_ms=0):
        for proxy in self.proxies:
            proxy.tell(server, state, started_ms)

    async def _restart(self, fault):
        await self.proxies[fault.proxy].restart(fault.what == "restart with signals")

    async def _kill(self, fault):
        await self.proxies[fault.proxy].kill()

    async def _feed_silent(self, fault):
        await self.proxies[fault.proxy].silent(fault.lasts)

    async def _feed_slow(self, fault):
        await self.proxies[fault.proxy].slow(fault.lasts, self.chance.uniform(*FEED_PIECE_S))

    async def _feed_down(self, fault):
        await self.proxies[fault.proxy].down(fault.lasts)

    async def _move(self, fault):
        times = 3 if fault.what == "moved thrice" else 1
        await asyncio.gather(*(self._move_after(fault.proxy, 0.3 * n) for n in range(times)))

    async def _move_after(self, proxy, wait):
        await asyncio.sleep(wait)
        await self.proxies[proxy].move()

    async def _drain(self, fault):
        """Told draining, and back."""
        server = self.servers[fault.server]
        self._tell(server, 1)
        await asyncio.sleep(fault.lasts + 1)
        if not server.is_dead:
            self._tell(server, 0)

    async def _drain_near(self, moment, fault):
        """A drain within some tenths of a second of that moment, s from now."""
        await asyncio.sleep(max(0, moment + self.chance.uniform(-NEAR_S, NEAR_S)))
        await self._drain(fault._replace(lasts=1.0))

    async def _drain_in_silence(self, fault):
        silence = self._feed_silent(fault)
        await asyncio.gather(silence, self._drain_near(self.chance.uniform(0, fault.lasts), fault))

    async def _drain_at_return(self, fault):
        await asyncio.gather(self._feed_down(fault), self._drain_near(fault.lasts, fault))

    async def _drain_among_moves(self, fault):
        moves = self._move(fault._replace(what="moved thrice"))
        await asyncio.gather(moves, self._drain_near(NEAR_S, fault))

    async def _replace(self, fault):
        """Drained, gone, and a new server in its place that starts cold."""
        old = self.servers[fault.server]
        self._tell(old, 1)
        self.serial += 1
        plan = ServerPlan(f"s-000000{self.serial:02x}", *old.plan[1:])
        new = await Server(self, plan, old.hold_s).start(self.plan.proxies)
        self.servers.append(new)
        self.judge.started_cold(self.now(), new.name, old.name)
        self._tell(new, 0, int(time.time() * 1000))
        await asyncio.sleep(fault.lasts + 2)
        self._tell(old, 2)
        await asyncio.sleep(1)
        old.die()

    async def _vanish(self, fault):
        """Its process dies, and a new one comes up at the same place."""
        server = self.servers[fault.server]
        if not server.is_dead:
            self._trouble(fault, range(self.plan.proxies))
            server.die()
            await asyncio.sleep(fault.lasts)
            await server.come_back()

    async def _hang(self, fault):
        self._trouble(fault, range(self.plan.proxies))
        self.servers[fault.server].hangs_until = self.now() + fault.lasts

    async def _cut(self, fault):
        self._trouble(fault, range(self.plan.proxies))
        self.servers[fault.server].cut()

    async def _closes(self, fault):
        """It closes its connections in order, as one that holds them for idle does, while set-ups cross."""
        self._trouble(fault, range(self.plan.proxies))
        for links in self.servers[fault.server].links.values():
            for link in list(links):
                link.writer.close()

    async def _closes_at_once(self, fault):
        """It closes all connections, and each new one as it comes up."""
        self.servers[fault.server].closes_until = self.now() + fault.lasts
        await self._closes(fault)

    async def _resets(self, fault):
        self._trouble(fault, range(self.plan.proxies))
        self.servers[fault.server].resets_until = self.now() + fault.lasts

    async def _late(self, fault):
        self._trouble(fault, range(self.plan.proxies))
        self.servers[fault.server].late_until = self.now() + min(fault.lasts, 1.0)
        self.servers[fault.server].cut()

    async def _lose_connections(self, fault):
        self._trouble(fault, range(self.plan.proxies))
        await self.servers[fault.server].lose_connections(fault.lasts)

    async def _ends_after_answers(self, fault):
        """For a while it ends a connection with each answer, or inside it."""
        self._trouble(fault, range(self.plan.proxies))
        self.servers[fault.server].ends_until = self.now() + fault.lasts

    async def _release_all(self, fault):
        for call in list(self.servers[fault.server].standing):
            self.servers[fault.server].release(call)

    async def _link(self, fault):
        server, until = self.servers[fault.server], self.now() + fault.lasts
        self._trouble(fault, (fault.proxy,))
        if fault.what == "link cut":
            server.cut_until[fault.proxy] = until
        elif fault.what == "link slow":
            server.slow[fault.proxy] = until, 0.1
        else:
            for link in list(server.links[fault.proxy]):
                link.reset()

    def _trouble(self, fault, proxies):
        for proxy in proxies:
            self.judge.trouble(self.now(), proxy, self.servers[fault.server].name, self.now() + fault.lasts + 1)

    async def _bad(self, fault):
        await self.callers[fault.proxy].bad()

    async def _end_as_they_send(self, fault):
        await self.callers[fault.proxy].end_as_they_send()

    async def _burst(self, fault):
        await self.callers[fault.proxy].burst()

    async def _crowd(self, fault):
        await self.callers[fault.proxy].crowd(CROWD)

    async def _close_callers(self, fault):
        self.callers[fault.proxy].close_some()


FAULTS = {
    "restart": Trial._restart,
    "restart with signals": Trial._restart,
    "kill": Trial._kill,
    "feed silent": Trial._feed_silent,
    "feed slow": Trial._feed_slow,
    "feed down": Trial._feed_down,
    "moved": Trial._move,
    "moved thrice": Trial._move,
    "drain": Trial._drain,
    "replace": Trial._replace,
    "vanish": Trial._vanish,
    "hang": Trial._hang,
    "cut": Trial._cut,
    "resets": Trial._resets,
    "late connections": Trial._late,
    "lost connections": Trial._lose_connections,
    "releases all": Trial._release_all,
    "closes": Trial._closes,
    "closes at once": Trial._closes_at_once,
    "link cut": Trial._link,
    "link reset": Trial._link,
    "link slow": Trial._link,
    "bad callers": Trial._bad,
    "burst": Trial._burst,
    "crowd": Trial._crowd,
    "callers close": Trial._close_callers,
    "drain in a silence": Trial._drain_in_silence,
    "drain as the feed returns": Trial._drain_at_return,
    "drain among moves": Trial._drain_among_moves,
    "ends after answers": Trial._ends_after_answers,
    "callers end as they send": Trial._end_as_they_send,
}
