"""Plays one trial: starts the proxies and stand-ins, injects the faults and lets the judge evaluate the result."""

import asyncio
import pathlib
import random
import tempfile
import time

from bench.soak.callers import Callers
from bench.soak.judge import RELEASE_AFTER_FAULT_S, Judge
from bench.soak.plan import FAULT_FREE_TAIL_S, ServerPlan
from bench.soak.proxies import NODE, Proxy
from bench.soak.servers import Server

LAG_SAMPLE_S = 0.01  # sampling interval of the stand-ins' event-loop lag
IDLE_CHECK_S = 0.2
IDLE_CONNECTIONS = 150
FEED_PIECE_S = 0.05, 0.7  # range of the pause between two pieces of a slow feed
COINCIDENCE_S = 0.4  # two coinciding faults begin at most this far apart
REDIAL_SURGE = 6  # factor on the set-up rate at a proxy that got SIGTERM: callers redial at once


class Trial:
    """One trial. `command` starts a proxy; after `play`, `judge` holds what the stand-ins observed."""

    def __init__(self, plan, command=NODE, folder=None):
        self.plan, self.command = plan, command
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="thorndale-soak-"))
        self.rng, self.judge = random.Random(plan.seed + 1), Judge(plan.settings["rules"], plan.proxies)
        self.servers, self.proxies, self.callers, self.redial_counts = [], [], [], {}
        self.initial_servers, self.tasks, self.task_errors, self.serial = [], set(), [], 100
        self.start_time = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_time

    def spawn(self, work):
        """Starts a task that is cancelled at the end of the trial; `play` raises its error."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.task_errors.append(task.exception())

    def server_of(self, call):
        """The name of the central server that holds this call, where its caller has the answer; else None."""
        name = self.judge.calls[call].server
        return next((name for server in self.servers if server.name == name and call in server.established), None)

    async def play(self):
        """Returns the violations in order of time. Raises the first error of a stand-in."""
        try:
            await self._open()
            await self._load()
            await self._settle()
        finally:
            await self._close()
        if self.task_errors:
            raise self.task_errors[0]
        return self.judge.finish(self.now())

    async def _open(self):
        holds = [ms / 1000 for ms in self.plan.settings["familyInfo"]["classHoldMs"]]
        for server in self.plan.servers:
            self.servers.append(await Server(self, server, min(holds)).start(self.plan.proxies))
        self.initial_servers = list(self.servers)
        self.callers = [Callers(self, number) for number in range(self.plan.proxies)]
        self.proxies = [Proxy(self, number, self.command) for number in range(self.plan.proxies)]
        await asyncio.gather(*(proxy.open() for proxy in self.proxies))
        self.spawn(self._measure_loop_lag())

    async def _measure_loop_lag(self):
        """Measures the event-loop lag, by which observations of the stand-ins may be late."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_S)
            self.judge.loop_lag_s = max(self.judge.loop_lag_s, time.monotonic() - before - LAG_SAMPLE_S)

    async def _load(self):
        start = self.now()
        for fault in self.plan.faults:
            self.spawn(self._fault(start, fault))
        for callers in self.callers:
            self.spawn(self._arrivals(callers, start + self.plan.seconds))
        while self.now() < start + self.plan.seconds:
            await asyncio.sleep(IDLE_CHECK_S)
            for callers in self.callers:
                callers.close_idle()

    async def _arrivals(self, callers, until):
        while self.now() < until:
            surge = 1 if callers.sigterm_at is None else REDIAL_SURGE
            await asyncio.sleep(self.rng.expovariate(self.plan.callers.rate * surge))
            if callers.is_serving:
                self.spawn(callers.call())

    async def _settle(self):
        """Releases all established calls and waits until the proxies have reported the pending ones, or time is up."""
        await asyncio.sleep(FAULT_FREE_TAIL_S)
        for server in self.servers:
            for call in list(server.established):
                server.release(call)
        end = self.now() + RELEASE_AFTER_FAULT_S + 1.5
        while self.now() < end and self.judge.has_pending(self.now()):
            await asyncio.sleep(0.1)

    async def _close(self):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for callers in self.callers:
            for connection in list(callers.open_connections):
                connection.writer.close()
        for server in self.servers:
            server.close()
            server.cut()
        for proxy in self.proxies:
            await proxy.close()

    # ---- faults ----

    async def _fault(self, start, fault):
        await asyncio.sleep(max(0, start + fault.at - self.now()))
        await FAULTS[fault.what](self, fault)

    def _announce(self, server, state, started_ms=0):
        for proxy in self.proxies:
            proxy.announce(server, state, started_ms)

    async def _restart(self, fault):
        await self.proxies[fault.proxy].restart(fault.what == "restart with signals")

    async def _kill(self, fault):
        await self.proxies[fault.proxy].kill()

    async def _feed_silent(self, fault):
        await self.proxies[fault.proxy].silence_feed(fault.lasts)

    async def _feed_slow(self, fault):
        await self.proxies[fault.proxy].slow_feed(fault.lasts, self.rng.uniform(*FEED_PIECE_S))

    async def _feed_down(self, fault):
        await self.proxies[fault.proxy].take_feed_down(fault.lasts)

    async def _move(self, fault):
        times = 3 if fault.what == "moved thrice" else 1
        await asyncio.gather(*(self._move_after(fault.proxy, 0.3 * n) for n in range(times)))

    async def _move_after(self, proxy, wait):
        await asyncio.sleep(wait)
        await self.proxies[proxy].move_feed()

    async def _drain(self, fault):
        """The feed announces a server as draining, and later as available again."""
        server = self.servers[fault.server]
        self._announce(server, 1)
        await asyncio.sleep(fault.lasts + 1)
        if not server.is_dead:
            self._announce(server, 0)

    async def _drain_near(self, moment, fault):
        """Drains a server within COINCIDENCE_S of a moment, given in seconds from now."""
        await asyncio.sleep(max(0, moment + self.rng.uniform(-COINCIDENCE_S, COINCIDENCE_S)))
        await self._drain(fault._replace(lasts=1.0))

    async def _drain_in_silence(self, fault):
        silence = self._feed_silent(fault)
        await asyncio.gather(silence, self._drain_near(self.rng.uniform(0, fault.lasts), fault))

    async def _drain_at_return(self, fault):
        await asyncio.gather(self._feed_down(fault), self._drain_near(fault.lasts, fault))

    async def _drain_among_moves(self, fault):
        moves = self._move(fault._replace(what="moved thrice"))
        await asyncio.gather(moves, self._drain_near(COINCIDENCE_S, fault))

    async def _replace(self, fault):
        """Drains a server and removes it; a new server that starts cold takes its place."""
        old = self.servers[fault.server]
        self._announce(old, 1)
        self.serial += 1
        plan = ServerPlan(f"s-000000{self.serial:02x}", *old.plan[1:])
        new = await Server(self, plan, old.hold_s).start(self.plan.proxies)
        self.servers.append(new)
        self.judge.started_cold(self.now(), new.name, old.name)
        self._announce(new, 0, int(time.time() * 1000))
        await asyncio.sleep(fault.lasts + 2)
        self._announce(old, 2)
        await asyncio.sleep(1)
        old.die()

    async def _vanish(self, fault):
        """The server process dies, and a new one starts at the same addresses."""
        server = self.servers[fault.server]
        if not server.is_dead:
            self._record_link_fault(fault, range(self.plan.proxies))
            server.die()
            await asyncio.sleep(fault.lasts)
            await server.start_again()

    async def _hang(self, fault):
        self._record_link_fault(fault, range(self.plan.proxies))
        self.servers[fault.server].hangs_until = self.now() + fault.lasts

    async def _cut(self, fault):
        self._record_link_fault(fault, range(self.plan.proxies))
        self.servers[fault.server].cut()

    async def _closes(self, fault):
        """A server closes its connections cleanly, as one with an idle timeout does, while set-ups are on their way."""
        self._record_link_fault(fault, range(self.plan.proxies))
        for links in self.servers[fault.server].links.values():
            for link in list(links):
                link.writer.close()

    async def _closes_at_once(self, fault):
        """A server closes all connections, and for a while each new one at once."""
        self.servers[fault.server].closes_until = self.now() + fault.lasts
        await self._closes(fault)

    async def _resets(self, fault):
        self._record_link_fault(fault, range(self.plan.proxies))
        self.servers[fault.server].resets_until = self.now() + fault.lasts

    async def _accept_late(self, fault):
        self._record_link_fault(fault, range(self.plan.proxies))
        self.servers[fault.server].accepts_late_until = self.now() + min(fault.lasts, 1.0)
        self.servers[fault.server].cut()

    async def _lose_connections(self, fault):
        self._record_link_fault(fault, range(self.plan.proxies))
        await self.servers[fault.server].lose_connections(fault.lasts)

    async def _ends_after_answers(self, fault):
        """For a while a server closes the connection right after each answer, or inside it."""
        self._record_link_fault(fault, range(self.plan.proxies))
        self.servers[fault.server].ends_until = self.now() + fault.lasts

    async def _release_all(self, fault):
        for call in list(self.servers[fault.server].established):
            self.servers[fault.server].release(call)

    async def _link_fault(self, fault):
        server, until = self.servers[fault.server], self.now() + fault.lasts
        self._record_link_fault(fault, (fault.proxy,))
        if fault.what == "link cut":
            server.cut_until[fault.proxy] = until
        elif fault.what == "link slow":
            server.slow_until[fault.proxy] = until, 0.1
        else:
            for link in list(server.links[fault.proxy]):
                link.reset()

    def _record_link_fault(self, fault, proxies):
        for proxy in proxies:
            self.judge.link_fault(self.now(), proxy, self.servers[fault.server].name, self.now() + fault.lasts + 1)

    async def _bad_callers(self, fault):
        await self.callers[fault.proxy].send_invalid_data()

    async def _close_while_sending(self, fault):
        await self.callers[fault.proxy].close_while_sending()

    async def _burst(self, fault):
        await self.callers[fault.proxy].burst()

    async def _idle_connections(self, fault):
        await self.callers[fault.proxy].open_idle_connections(IDLE_CONNECTIONS)

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
    "late connections": Trial._accept_late,
    "lost connections": Trial._lose_connections,
    "releases all": Trial._release_all,
    "closes": Trial._closes,
    "closes at once": Trial._closes_at_once,
    "link cut": Trial._link_fault,
    "link reset": Trial._link_fault,
    "link slow": Trial._link_fault,
    "bad callers": Trial._bad_callers,
    "burst": Trial._burst,
    "crowd": Trial._idle_connections,
    "callers close": Trial._close_callers,
    "drain in a silence": Trial._drain_in_silence,
    "drain as the feed returns": Trial._drain_at_return,
    "drain among moves": Trial._drain_among_moves,
    "ends after answers": Trial._ends_after_answers,
    "callers end as they send": Trial._close_while_sending,
}
