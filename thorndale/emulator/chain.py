"""Calls that pass through a chain of services, in virtual time: at each hop a border proxy with the module, then a
central server.

Hop 1 is entered by callers. Each central server of hop h has a border proxy of its own through which it sets the call
up at hop h + 1; the servers of the last hop answer. Every hop has the same number of servers and the same capacity. A
refusal travels back hop by hop: what a server makes of it for the proxy before it is the plan's `origin_marked`.

Pure: no I/O, no clock; chance from the plan's seed.
"""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from thorndale import interface as io
from thorndale.emulator.day import S, Type
from thorndale.emulator.settings import RELEASE_US, module_settings
from thorndale.module_host import ModuleHost
from thorndale.policy import Proxy
from thorndale.standins.processor import Processor, Work

WORK = Work(setup_us=16_000, answer_us=2_000, release_us=2_000, reject_us=1_400)
LINK_LEAST_US, LINK_SPREAD_US = 500, 1_000  # us that a message takes between a proxy and a server
HOP_MARGIN_US = 5_000  # us that a server keeps of the time it was given for the answer's way back
REPORT_US = 1_000_000  # us between two load reports of a server
FAILING_PART = 0.5  # part of its set-ups that a failing server answers with a fault
REDIAL_US = 1_000_000  # us until a redial where no come-back time was named

HEALTHY, FAILING, DEAD = "healthy", "failing", "dead"


class ChainPlan(NamedTuple):
    """`load`: calls offered, as a multiple of the capacity of one hop. `reports`: servers tell their load.
    `named_waits`: a refusal names the time after which to come back. `fault`: what befalls one server of the last hop.
    `origin_marked`: a server tells the proxy before it that the refusal came from further down."""

    depth: int
    load: float
    seed: int = 1
    servers: int = 4
    length_us: int = 24 * S
    settle_us: int = 7 * S  # calls that come earlier are not counted
    reports: bool = True
    named_waits: bool = True
    fault: str = HEALTHY
    redials: int = 0
    origin_marked: bool = False
    types: tuple = (
        Type(0.94, 1_200_000, 9_000_000, 5_000_000, 1.0, 0.25),
        Type(0.06, 800_000, 6_000_000, 4_000_000, 6.0, 0.25),
    )

    def capacity(self):
        """Calls a second that the servers of one hop can carry from set-up to release."""
        return self.servers * S / (WORK.setup_us + WORK.answer_us + WORK.release_us)


class ChainResult(NamedTuple):
    """Counts are of calls that came after `settle_us`. `refused_at`: by hop, from 1, calls given back for a refusal
    that arose there. `setups_at`: by hop, set-ups that came to its servers. `time_us`: from the call's coming to its
    answer at the caller, sorted."""

    plan: ChainPlan
    offered: int
    stood: int
    refused_at: list
    setups_at: list
    time_us: list
    breaks: dict
    span_us: int

    def stood_part(self):
        return self.stood / max(1, self.offered)

    def used_part(self):
        """Part of one hop's capacity that went into calls that stood for their caller."""
        return self.stood / (self.plan.capacity() * self.span_us / S)

    def time_at(self, part):
        return self.time_us[min(len(self.time_us) - 1, int(part * len(self.time_us)))] if self.time_us else 0


class Caller:
    """The caller of one call: at most one leg at a time."""

    __slots__ = ("kind", "key", "came", "counted", "tries", "hold_us")

    def __init__(self, kind, key, came, counted, hold_us):
        self.kind, self.key, self.came, self.counted, self.hold_us = kind, key, came, counted, hold_us
        self.tries = 0


class Leg:
    """One call at one proxy. `onward_of`: the seizure at the server before, None at hop 1. `out`: the seizure that is
    out, or stands. `refused_from`: the hop at which the last refusal of a seizure arose, 0 for none."""

    __slots__ = (
        "proxy",
        "caller",
        "onward_of",
        "index",
        "due",
        "out",
        "sent",
        "answered",
        "released_at",
        "refused_from",
    )

    def __init__(self, proxy, caller, onward_of, now):
        self.proxy, self.caller, self.onward_of, self.due = proxy, caller, onward_of, now
        self.index, self.out, self.sent, self.answered, self.released_at = -1, None, 0, False, -RELEASE_US
        self.refused_from = 0


class Seizure:
    """`onward`: the leg by which the server carries the call on."""

    __slots__ = ("leg", "number", "server", "until", "ended", "onward")

    def __init__(self, leg, number, server, until):
        self.leg, self.number, self.server, self.until = leg, number, server, until
        self.ended, self.onward = False, None


class ChainServer:
    __slots__ = ("number", "hop", "processor", "fault", "onward")

    def __init__(self, number, hop, fault):
        self.number, self.hop, self.fault = number, hop, fault
        self.processor = Processor(WORK, 0, False)
        self.onward = None  # the border proxy through which it sets calls up at the next hop

    def report(self, now):
        return io.Report(None, None, self.processor.wait(now), None)


class ChainProxy:
    __slots__ = ("hop", "door", "servers")

    def __init__(self, hop, seed, settings, servers):
        self.hop, self.servers = hop, servers
        self.door = ModuleHost(Proxy(seed, settings))
        listed = tuple(io.Server(s.number, 0, io.SERVING, 0) for s in servers)
        self.door.add_event(io.Servers(listed, True, True))


class Chain:
    """`play()` gives the ChainResult."""

    def __init__(self, plan):
        self.plan, self.chance = plan, Random(plan.seed)
        self.now, self.serial, self.heap = 0, 0, []
        self.offered = self.stood = self.keys = 0
        self.refused_at, self.setups_at = [0] * (plan.depth + 1), [0] * (plan.depth + 1)
        self.time_us, self.breaks = [], {}
        self.entrances = self._build()

    def _build(self):
        """The hops from the last to the first; gives the proxies of hop 1."""
        plan, proxies = self.plan, []
        for hop in range(plan.depth, 0, -1):
            last = hop == plan.depth
            servers = [ChainServer(n, hop, plan.fault if last and n == 0 else HEALTHY) for n in range(plan.servers)]
            for server, proxy in zip(servers, proxies, strict=False):
                server.onward = proxy
            proxies = [
                ChainProxy(hop, self.chance.getrandbits(63), self._settings(), servers) for _ in range(plan.servers)
            ]
            for server in servers if plan.reports else ():
                self._after(int(REPORT_US * self.chance.random()), self._reports, server, proxies)
        return proxies

    def _settings(self):
        plan = self.plan
        return module_settings(plan.types, WORK, plan.servers, [0], comeback_told=plan.named_waits)

    def play(self):
        plan = self.plan
        last_us = plan.length_us - max(t.guard_us for t in plan.types)
        self._after(0, self._arrivals, last_us)
        self.run(plan.length_us)
        return ChainResult(
            plan,
            self.offered,
            self.stood,
            self.refused_at[1:],
            self.setups_at[1:],
            sorted(self.time_us),
            self.breaks,
            last_us - plan.settle_us,
        )

    # ---- time and links ----

    def run(self, until_us):
        while self.heap and self.heap[0][0] <= until_us:
            self.now, _, act, values = heappop(self.heap)
            act(*values)

    def _after(self, wait_us, act, *values):
        self.serial += 1
        heappush(self.heap, (self.now + int(wait_us), self.serial, act, values))

    def _send(self, act, *values):
        """A message between a proxy and a server."""
        self._after(LINK_LEAST_US + LINK_SPREAD_US * self.chance.random(), act, *values)

    def _broke(self, rule):
        self.breaks[rule] = self.breaks.get(rule, 0) + 1

    # ---- callers ----

    def _arrivals(self, last_us):
        if self.now >= last_us:
            return
        plan = self.plan
        self._after(self.chance.expovariate(plan.load * plan.capacity() / S), self._arrivals, last_us)
        kind = 0 if self.chance.random() < plan.types[0].share else 1
        self.keys += 1
        hold_us = self.chance.expovariate(1 / plan.types[kind].hold_us)
        caller = Caller(kind, self.keys, self.now, self.now >= plan.settle_us, hold_us)
        self.offered += caller.counted
        self._dial(caller)

    def _dial(self, caller):
        caller.tries += 1
        left = self.plan.types[caller.kind].guard_us - (self.now - caller.came)
        self._call(Leg(self.chance.choice(self.entrances), caller, None, self.now), left)

    def _caller_answered(self, caller):
        if caller.counted:
            self.stood += 1
            self.time_us.append(self.now - caller.came)

    def _caller_refused(self, caller, origin_hop, comeback_us):
        wait_us = comeback_us or REDIAL_US * (0.5 + self.chance.random())
        in_time = self.now + wait_us - caller.came < self.plan.types[caller.kind].guard_us
        if caller.tries <= self.plan.redials and in_time:
            self._after(wait_us, self._dial, caller)
        elif caller.counted:
            self.refused_at[origin_hop] += 1

    # ---- at a proxy ----

    def _call(self, leg, left_us):
        leg.index = leg.proxy.door.assign_index(leg)
        caller, redial = leg.caller, leg.onward_of is None and leg.caller.tries > 1
        self._tell(leg, io.Call(leg.index, caller.kind, 0, caller.key, int(left_us), 0, redial, False))
        self._after(left_us, self._check_answered, leg)

    def _check_answered(self, leg):
        if not leg.answered:
            self._broke("no answer in time")

    def _tell(self, leg, event):
        if leg.index >= 0:
            leg.proxy.door.add_event(event)
            self._flush(leg.proxy)

    def _flush(self, proxy):
        door = proxy.door
        while door.events:
            for action in door.run_batch(self.now):
                if type(action) is io.SetTimer:
                    self._after(max(1, action.at_us - self.now), self._timer, proxy)
                elif type(action) not in (io.Log, io.SubscribeList):
                    self._act(door.calls[action.call], action)

    def _timer(self, proxy):
        proxy.door.add_event(io.TimerFired(0))
        self._flush(proxy)

    def _act(self, leg, action):
        if type(action) is io.Seize:
            self._seize(leg, action)
        elif type(action) is io.Cancel:
            self._give_up(leg, io.CANCELLED)
        else:
            comeback_us = action.comeback_us if type(action) is io.Reject else 0
            self._refuse(leg, type(action) is io.Reject, comeback_us)

    def _seize(self, leg, action):
        if leg.out is not None:
            self._broke("two seizures out")
        if self.now < leg.released_at + RELEASE_US:
            self._broke("release not awaited")
        server = leg.proxy.servers[action.server]
        leg.out = Seizure(leg, leg.sent, server, self.now + action.timeout_us)
        leg.sent += 1
        self._send(self._arrive, leg.out)
        self._after(action.timeout_us, self._time_out, leg.out)

    def _time_out(self, seizure):
        if seizure.leg.out is seizure and not seizure.leg.answered:
            self._give_up(seizure.leg, io.TIMED_OUT)

    def _give_up(self, leg, outcome):
        """The proxy takes back the seizure that is out; the server hears of it, and whatever lies beyond it."""
        seizure, leg.out, leg.released_at = leg.out, None, self.now
        if seizure is None:
            return
        self._send(self._cancelled, seizure)
        lag_us = self.now - leg.due
        ended = io.SeizureEnded(
            leg.index, seizure.number, seizure.server.number, outcome, 0, lag_us, leg.answered, None
        )
        self._tell(leg, ended)

    def _refuse(self, leg, harmless, comeback_us):
        """The final answer of a call that is given back."""
        origin_hop = leg.refused_from or leg.proxy.hop
        if leg.answered:
            self._broke("two answers")
        leg.answered = True
        self._forget(leg)
        if leg.onward_of is None:
            self._caller_refused(leg.caller, origin_hop, comeback_us)
        else:
            self._send(self._refused_beyond, leg.onward_of, harmless, origin_hop, comeback_us)

    def _forget(self, leg):
        if leg.index >= 0:
            leg.proxy.door.release_index(leg.index)
            leg.index = -1

    # ---- at a server ----

    def _arrive(self, seizure):
        server = seizure.server
        self.setups_at[server.hop] += seizure.leg.caller.counted
        if seizure.ended:
            return
        if server.fault == DEAD:
            self._answer_refused(seizure, io.UNREACHABLE, server.hop, 0)
        elif server.fault == FAILING and self.chance.random() < FAILING_PART:
            self._answer_refused(seizure, io.FAULTY, server.hop, 0)
        else:
            done = server.processor.setup(self.now)
            if done is None:
                wait_us = server.processor.wait(self.now) if self.plan.named_waits else 0
                self._answer_refused(seizure, io.FULL, server.hop, wait_us)
            else:
                self._after(done - self.now, self._set_up, seizure)

    def _set_up(self, seizure):
        """The server's own work on the set-up is done: it answers, or carries the call on."""
        server = seizure.server
        if seizure.ended:
            return
        if server.onward is None:
            self._answer_stood(seizure)
            return
        if self.plan.origin_marked:
            self._send(self._carried_on, seizure)
        seizure.onward = Leg(server.onward, seizure.leg.caller, seizure, self.now)
        self._call(seizure.onward, max(1, seizure.until - self.now - HOP_MARGIN_US))

    def _carried_on(self, seizure):
        leg = seizure.leg
        if leg.out is seizure:
            self._tell(leg, io.Forwarded(leg.index, seizure.number, seizure.server.number, self.now - leg.due))

    def _cancelled(self, seizure):
        seizure.ended = True
        onward = seizure.onward
        if onward is None or onward.index < 0:
            return
        onward.answered = True  # none is owed any more
        self._tell(onward, io.CallerAbandoned(onward.index))
        if onward.out is not None:
            self._give_up(onward, io.CANCELLED)
        self._forget(onward)

    def _refused_beyond(self, seizure, harmless, origin_hop, comeback_us):
        """The call that the server carried on was refused."""
        if seizure.ended:
            return
        seizure.server.processor.answer(self.now)
        outcome = io.FULL if harmless else io.FAULTY
        self._answer_refused(seizure, outcome, origin_hop, comeback_us if self.plan.named_waits else 0)

    def _answer_refused(self, seizure, outcome, origin_hop, wait_us):
        seizure.ended = True
        report = None
        if self.plan.reports and outcome != io.UNREACHABLE:
            report = seizure.server.report(self.now)
        self._send(self._refused, seizure, outcome, origin_hop, wait_us, report)

    def _refused(self, seizure, outcome, origin_hop, wait_us, report):
        leg = seizure.leg
        if leg.out is not seizure:
            return
        leg.out, leg.refused_from = None, origin_hop
        lag_us = self.now - leg.due
        beyond = self._marked(leg, origin_hop)
        number = seizure.server.number
        ended = io.SeizureEnded(
            leg.index, seizure.number, number, outcome, wait_us, lag_us, leg.answered, report, beyond
        )
        self._tell(leg, ended)

    def _marked(self, leg, origin_hop):
        """Whether a refusal says to this leg's proxy that it arose beyond the server that gives it."""
        return self.plan.origin_marked and origin_hop > leg.proxy.hop

    def _answer_stood(self, seizure):
        seizure.server.processor.answer(self.now)
        self._send(self._stood, seizure)

    def _stood(self, seizure):
        """The answer has come to the proxy, which passes it on."""
        leg = seizure.leg
        if leg.out is not seizure:
            return
        if leg.answered:
            self._broke("two answers")
        leg.answered = True
        self._tell(leg, io.Answered(leg.index, seizure.number, seizure.server.number, self.now - leg.due))
        if leg.onward_of is None:
            self._caller_answered(leg.caller)
            self._after(leg.caller.hold_us, self._over, seizure)
        elif leg.onward_of.ended:  # given up meanwhile: what stands beyond is released
            self._over(seizure)
        else:
            self._answer_stood(leg.onward_of)

    def _over(self, seizure):
        """A call that stood ends, at this hop and at all beyond it."""
        while seizure is not None:
            leg = seizure.leg
            seizure.ended = True
            seizure.server.processor.release(self.now)
            if leg.index >= 0:
                report = seizure.server.report(self.now) if self.plan.reports else None
                number = seizure.server.number
                self._tell(leg, io.SeizureEnded(leg.index, seizure.number, number, io.COMPLETED, 0, 0, True, report))
                self._forget(leg)
            seizure = seizure.onward.out if seizure.onward is not None else None

    def _reports(self, server, proxies):
        self._after(REPORT_US, self._reports, server, proxies)
        if server.fault == DEAD:
            return
        report = server.report(self.now)
        for proxy in proxies:
            self._send(self._seen, proxy, server.number, report)

    def _seen(self, proxy, number, report):
        proxy.door.add_event(io.ServerReport(number, report, False))
        self._flush(proxy)
