"""The stand-in servers and callers of a day in one process; worker processes run several such groups of them."""

from collections import Counter
from typing import NamedTuple

from thorndale.config.settings import Limits
from thorndale.net.clock import now_us
from thorndale.sip.transaction import TimerDurations
from thorndale.standins.callers import Callers
from thorndale.standins.forwarding import ForwardingServer
from thorndale.standins.loop_stalls import LoopStallMonitor
from thorndale.standins.processor import Work
from thorndale.standins.server import SetupServer
from thorndale.standins.traffic import CallStatistics, Traffic, caller_types, seeded_random

LIMITS = Limits(connections=4096)


def times_of(day):
    return TimerDurations(day.t1_ms * 1000, 8000 * day.t1_ms, 10_000 * day.t1_ms, 64_000 * day.t1_ms)


def work_of(day, server):
    """The processing costs of a planned server."""
    return Work(
        setup_us=int(server.setup_ms * 1000),
        answer_us=int(server.setup_ms * 125),
        release_us=int(server.setup_ms * 125),
        reject_us=int(server.setup_ms * 90),
        queue_us=day.queue_ms * 1000,
        cold_from=day.cold_from,
        warm_us=day.warm_ms * 1000,
        fall_multiple=day.fall_multiple,
        fall_us=day.fall_ms * 1000,
    )


class ClassificationCheck:
    """Compares the call types assigned by the proxies' rules with those of the callers, and counts rule editions."""

    def __init__(self, day):
        self.day, self.wrong, self.editions = day, 0, Counter()

    def __call__(self, number, sorted_header):
        name, _, edition = sorted_header.rpartition(" ")
        self.editions[edition] += 1
        self.wrong += not any(plan.name == name and number.startswith(plan.prefix) for plan in self.day.types)


class ForwardingPlan(NamedTuple):
    """How a server forwards calls: its `number`, from 1; the address of its border proxy; the port that it calls from;
    the Expires of its calls."""

    number: int
    proxy: tuple
    caller_port: int
    expires_s: int


class StandInGroup:
    """The servers of the given names and, if `callers` is a port, callers that generate share `index` of `count`."""

    def __init__(self, loop, day, observe, server_ports, callers=0, proxies=(), calls=0, index=0, count=1, onward=None):
        """`server_ports`: {name: port}; `proxies`: their addresses, in order; `onward`: {name: ForwardingPlan} of the
        servers that forward calls."""
        random, times = seeded_random(day.seed + 7919 * index), times_of(day)
        planned = {plan.name: plan for plan in day.boxes}
        self.classification = ClassificationCheck(day)
        self.servers = {}
        for name, port in server_ports.items():
            plan = planned[name]
            given = (loop, LIMITS, name, plan.transport, port, work_of(day, plan), plan.lines, random, observe, times)
            forwarding = (onward or {}).get(name)
            self.servers[name] = (
                ForwardingServer(*given, **forwarding._asdict(), progress=day.progress)
                if forwarding
                else SetupServer(*given)
            )
        kinds = caller_types(day)
        self.statistics = CallStatistics(day, kinds)
        self.loop, self.observe = loop, observe
        self.callers = self.traffic = self.stall_monitor = None
        if callers:
            self.callers = Callers(
                loop,
                LIMITS,
                callers,
                kinds,
                list(proxies),
                random,
                self.statistics,
                observe,
                times,
                day.cancel_part,
                day.redials,
                f"caller:{index}x",
            )
            self.traffic = Traffic(day, self.callers, random, calls, index, count)

    def open(self):
        for server in self.servers.values():
            server.on_setup = self.classification
            server.start(False)
        if self.callers:
            self.callers.start()
        calling_agents = [server.forwarding for server in self.servers.values() if isinstance(server, ForwardingServer)]
        calling_agents += [self.callers] if self.callers else []
        self.stall_monitor = LoopStallMonitor(self.loop, [agent.endpoint for agent in calling_agents], self.observe)

    async def run(self, began):
        self.statistics.began = began
        await self.traffic.run(began)
        return self.traffic.seconds

    def drive(self, values):
        for name, value in values.items():
            setattr(self.traffic, name, value)

    def quiet(self):
        return self.traffic is None or self.traffic.quiet()

    def hang_up_all(self):
        if self.callers:
            self.callers.hang_up_all(now_us())

    def figures(self):
        """A tuple of plain values: counts, counts by second, set-up times; by server: set-ups per second, queueing
        delays; calls of a wrong type, rule editions; seconds of traffic; by TCP server: (most open connections,
        opened)."""
        statistics = self.statistics
        return (
            dict(statistics.count),
            {s: dict(row) for s, row in statistics.per_second.items()},
            statistics.setup_times_us,
            {name: server.setups for name, server in self.servers.items()},
            {name: server.queueing_delays_us for name, server in self.servers.items()},
            self.classification.wrong,
            dict(self.classification.editions),
            self.traffic.seconds if self.traffic else 0.0,
            {
                name: (server.most_connections, server.opened)
                for name, server in self.servers.items()
                if server.transport == "tcp"
            },
        )

    async def close(self):
        if self.stall_monitor is not None:
            self.stall_monitor.stop()
        for agent in (self.callers, *self.servers.values()):
            if agent is not None:
                await agent.close()


class LocalStandIns:
    """All stand-ins in this process, in one event loop."""

    def __init__(self, loop, day, observe, server_ports, callers, proxies, calls, onward):
        self.group = StandInGroup(loop, day, observe, server_ports, callers, proxies, calls, onward=onward)
        self.servers = self.group.servers
        self.callers = self.group.callers

    async def open(self):
        self.group.open()

    async def run(self, began):
        return await self.group.run(began)

    def drive(self, **values):
        self.group.drive(values)

    async def quiet(self):
        return self.group.quiet()

    def hang_up_all(self):
        self.group.hang_up_all()

    async def figures(self):
        return [self.group.figures()]

    async def replay_to(self, auditor, local_observations):
        """Nothing to replay: the auditor gets each observation at once."""

    async def close(self):
        await self.group.close()
