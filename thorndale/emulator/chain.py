"""Simulates calls through a chain of services in virtual time: at each hop a border proxy with the decision module,
then a central server.

Callers call the proxies of hop 1. Each central server of hop h has a border proxy of its own through which it sets the
call up at hop h + 1; the servers of the last hop answer. Every hop has the same number of servers and the same
capacity. A refusal travels back hop by hop; with the plan's `origin_marked`, each server marks it for the proxy before
it as one that arose further down.

Pure: no I/O, no clock; random numbers come from the plan's seed.
"""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from thorndale import interface as io
from thorndale.emulator.day import CallType, S
from thorndale.emulator.settings import RELEASE_US, module_settings
from thorndale.module_host import ModuleHost
from thorndale.policy import Proxy
from thorndale.standins.processor import Processor, Work

WORK = Work(setup_us=16_000, answer_us=2_000, release_us=2_000, reject_us=1_400)
LINK_MIN_US, LINK_SPREAD_US = 500, 1_000  # delay of a message between a proxy and a server
HOP_MARGIN_US = 5_000  # time that a server reserves for the answer to travel back
REPORT_INTERVAL_US = 1_000_000  # between two load reports of a server
FAILING_FRACTION = 0.5  # fraction of its set-ups that a failing server answers with an error
REDIAL_DELAY_US = 1_000_000  # mean delay of a redial if the refusal names no come-back time

HEALTHY, FAILING, DEAD = "healthy", "failing", "dead"


class ChainPlan(NamedTuple):
    """`load`: offered calls as a multiple of the capacity of one hop. `reports`: servers report their load.
    `named_waits`: a refusal names the time after which to come back. `fault`: the state of server 0 of the last hop;
    all others are healthy. `origin_marked`: a server marks a refusal from further down for the proxy before it."""

    depth: int
    load: float
    seed: int = 1
    servers: int = 4
    length_us: int = 24 * S
    settle_us: int = 7 * S  # earlier calls are not counted
    reports: bool = True
    named_waits: bool = True
    fault: str = HEALTHY
    redials: int = 0
    origin_marked: bool = False
    types: tuple = (
        CallType(0.94, 1_200_000, 9_000_000, 5_000_000, 1.0, 0.25),
        CallType(0.06, 800_000, 6_000_000, 4_000_000, 6.0, 0.25),
    )

    def capacity(self):
        """Calls per second that the servers of one hop can process from set-up to release."""
        return self.servers * S / (WORK.setup_us + WORK.answer_us + WORK.release_us)


class ChainResult(NamedTuple):
    """Counts only calls that arrived after `settle_us`. `established`: calls answered to their caller. `refused_at`: by
    hop, from 1, calls rejected because of a refusal that arose there. `setups_at`: by hop, set-ups that arrived at its
    servers. `times_us`: from a call's arrival to its answer at the caller, sorted. `breaks`: counts of broken
    rules, by name."""

    plan: ChainPlan
    offered: int
    established: int
    refused_at: list
    setups_at: list
    times_us: list
    breaks: dict
    span_us: int

    def answered_fraction(self):
        return self.established / max(1, self.offered)

    def used_fraction(self):
        """Fraction of one hop's capacity that was used for calls answered to their caller."""
        return self.established / (self.plan.capacity() * self.span_us / S)

    def time_at(self, quantile):
        return self.times_us[min(len(self.times_us) - 1, int(quantile * len(self.times_us)))] if self.times_us else 0


class Caller:
    """The caller of one call: at most one leg at a time."""

    __slots__ = ("kind", "key", "arrived_at", "counted", "attempts", "hold_us")

    def __init__(self, kind, key, arrived_at, counted, hold_us):
        self.kind, self.key, self.arrived_at, self.counted, self.hold_us = kind, key, arrived_at, counted, hold_us
        self.attempts = 0


class Leg:
    """One call at one proxy. `onward_of`: the seizure at the server before it, None at hop 1. `current`: the
    seizure in flight or established. `refused_from`: the hop at which the last refusal of a seizure arose, or 0."""

    __slots__ = (
        "proxy",
        "caller",
        "onward_of",
        "index",
        "began_at",
        "current",
        "seizures_sent",
        "answered",
        "released_at",
        "refused_from",
    )

    def __init__(self, proxy, caller, onward_of, now):
        self.proxy, self.caller, self.onward_of, self.began_at = proxy, caller, onward_of, now
        self.index, self.current, self.seizures_sent, self.answered, self.released_at = -1, None, 0, False, -RELEASE_US
        self.refused_from = 0


class Seizure:
    """`onward`: the leg by which the server forwards the call to the next hop."""

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
    __slots__ = ("hop", "module_host", "servers")

    def __init__(self, hop, seed, settings, servers):
        self.hop, self.servers = hop, servers
        self.module_host = ModuleHost(Proxy(seed, settings))
        listed = tuple(io.Server(s.number, 0, io.SERVING, 0) for s in servers)
        self.module_host.add_event(io.Servers(listed, True, True))


class Chain:
    """`play()` runs the plan and returns its ChainResult."""

    def __init__(self, plan):
        self.plan, self.rng = plan, Random(plan.seed)
        self.now, self.serial, self.heap = 0, 0, []
        self.offered = self.established = self.keys = 0
        self.refused_at, self.setups_at = [0] * (plan.depth + 1), [0] * (plan.depth + 1)
        self.times_us, self.breaks = [], {}
        self.entry_proxies = self._build()

    def _build(self):
        """Builds the hops from the last to the first and returns the proxies of hop 1."""
        plan, proxies = self.plan, []
        for hop in range(plan.depth, 0, -1):
            is_last_hop = hop == plan.depth
            servers = [
                ChainServer(n, hop, plan.fault if is_last_hop and n == 0 else HEALTHY) for n in range(plan.servers)
            ]
            for server, proxy in zip(servers, proxies, strict=False):
                server.onward = proxy
            proxies = [
                ChainProxy(hop, self.rng.getrandbits(63), self._settings(), servers) for _ in range(plan.servers)
            ]
            for server in servers if plan.reports else ():
                self._after(int(REPORT_INTERVAL_US * self.rng.random()), self._send_reports, server, proxies)
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
            self.established,
            self.refused_at[1:],
            self.setups_at[1:],
            sorted(self.times_us),
            self.breaks,
            last_us - plan.settle_us,
        )

    # ---- time and links ----

    def run(self, until_us):
        while self.heap and self.heap[0][0] <= until_us:
            self.now, _, callback, values = heappop(self.heap)
            callback(*values)

    def _after(self, wait_us, callback, *values):
        self.serial += 1
        heappush(self.heap, (self.now + int(wait_us), self.serial, callback, values))

    def _send(self, callback, *values):
        """Delivers a message between a proxy and a server."""
        self._after(LINK_MIN_US + LINK_SPREAD_US * self.rng.random(), callback, *values)

    def _record_break(self, rule):
        self.breaks[rule] = self.breaks.get(rule, 0) + 1

    # ---- callers ----

    def _arrivals(self, last_us):
        if self.now >= last_us:
            return
        plan = self.plan
        self._after(self.rng.expovariate(plan.load * plan.capacity() / S), self._arrivals, last_us)
        kind = 0 if self.rng.random() < plan.types[0].share else 1
        self.keys += 1
        hold_us = self.rng.expovariate(1 / plan.types[kind].hold_us)
        caller = Caller(kind, self.keys, self.now, self.now >= plan.settle_us, hold_us)
        self.offered += caller.counted
        self._dial(caller)

    def _dial(self, caller):
        caller.attempts += 1
        time_left_us = self.plan.types[caller.kind].guard_us - (self.now - caller.arrived_at)
        self._offer_call(Leg(self.rng.choice(self.entry_proxies), caller, None, self.now), time_left_us)

    def _caller_answered(self, caller):
        if caller.counted:
            self.established += 1
            self.times_us.append(self.now - caller.arrived_at)

    def _caller_refused(self, caller, origin_hop, comeback_us):
        wait_us = comeback_us or REDIAL_DELAY_US * (0.5 + self.rng.random())
        in_time = self.now + wait_us - caller.arrived_at < self.plan.types[caller.kind].guard_us
        if caller.attempts <= self.plan.redials and in_time:
            self._after(wait_us, self._dial, caller)
        elif caller.counted:
            self.refused_at[origin_hop] += 1

    # ---- at a proxy ----

    def _offer_call(self, leg, left_us):
        leg.index = leg.proxy.module_host.assign_index(leg)
        caller, redial = leg.caller, leg.onward_of is None and leg.caller.attempts > 1
        self._notify_module(leg, io.Call(leg.index, caller.kind, 0, caller.key, int(left_us), 0, redial, False))
        self._after(left_us, self._check_answered, leg)

    def _check_answered(self, leg):
        if not leg.answered:
            self._record_break("no answer in time")

    def _notify_module(self, leg, event):
        if leg.index >= 0:
            leg.proxy.module_host.add_event(event)
            self._flush(leg.proxy)

    def _flush(self, proxy):
        module_host = proxy.module_host
        while module_host.events:
            for action in module_host.run_batch(self.now):
                if type(action) is io.SetTimer:
                    self._after(max(1, action.at_us - self.now), self._timer, proxy)
                elif type(action) not in (io.Log, io.SubscribeList):
                    self._act(module_host.calls[action.call], action)

    def _timer(self, proxy):
        proxy.module_host.add_event(io.TimerFired(0))
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
        if leg.current is not None:
            self._record_break("two seizures out")
        if self.now < leg.released_at + RELEASE_US:
            self._record_break("release not awaited")
        server = leg.proxy.servers[action.server]
        leg.current = Seizure(leg, leg.seizures_sent, server, self.now + action.timeout_us)
        leg.seizures_sent += 1
        self._send(self._on_setup, leg.current)
        self._after(action.timeout_us, self._time_out, leg.current)

    def _time_out(self, seizure):
        if seizure.leg.current is seizure and not seizure.leg.answered:
            self._give_up(seizure.leg, io.TIMED_OUT)

    def _give_up(self, leg, outcome):
        """Withdraws the current seizure. The server is notified, and so is every hop beyond it."""
        seizure, leg.current, leg.released_at = leg.current, None, self.now
        if seizure is None:
            return
        self._send(self._on_cancelled, seizure)
        latency_us = self.now - leg.began_at
        ended = io.SeizureEnded(
            leg.index, seizure.number, seizure.server.number, outcome, 0, latency_us, leg.answered, None
        )
        self._notify_module(leg, ended)

    def _refuse(self, leg, harmless, comeback_us):
        """Gives a refused call its final answer."""
        origin_hop = leg.refused_from or leg.proxy.hop
        if leg.answered:
            self._record_break("two answers")
        leg.answered = True
        self._release_index(leg)
        if leg.onward_of is None:
            self._caller_refused(leg.caller, origin_hop, comeback_us)
        else:
            self._send(self._on_refused_beyond, leg.onward_of, harmless, origin_hop, comeback_us)

    def _release_index(self, leg):
        if leg.index >= 0:
            leg.proxy.module_host.release_index(leg.index)
            leg.index = -1

    # ---- at a server ----

    def _on_setup(self, seizure):
        server = seizure.server
        self.setups_at[server.hop] += seizure.leg.caller.counted
        if seizure.ended:
            return
        if server.fault == DEAD:
            self._answer_refused(seizure, io.UNREACHABLE, server.hop, 0)
        elif server.fault == FAILING and self.rng.random() < FAILING_FRACTION:
            self._answer_refused(seizure, io.FAULTY, server.hop, 0)
        else:
            done = server.processor.setup(self.now)
            if done is None:
                wait_us = server.processor.wait(self.now) if self.plan.named_waits else 0
                self._answer_refused(seizure, io.FULL, server.hop, wait_us)
            else:
                self._after(done - self.now, self._on_setup_done, seizure)

    def _on_setup_done(self, seizure):
        """The server has processed the set-up: it answers, or forwards the call to the next hop."""
        server = seizure.server
        if seizure.ended:
            return
        if server.onward is None:
            self._answer_setup(seizure)
            return
        if self.plan.origin_marked:
            self._send(self._on_setup_forwarded, seizure)
        seizure.onward = Leg(server.onward, seizure.leg.caller, seizure, self.now)
        self._offer_call(seizure.onward, max(1, seizure.until - self.now - HOP_MARGIN_US))

    def _on_setup_forwarded(self, seizure):
        leg = seizure.leg
        if leg.current is seizure:
            self._notify_module(
                leg, io.Forwarded(leg.index, seizure.number, seizure.server.number, self.now - leg.began_at)
            )

    def _on_cancelled(self, seizure):
        seizure.ended = True
        onward = seizure.onward
        if onward is None or onward.index < 0:
            return
        onward.answered = True  # no answer is owed any more
        self._notify_module(onward, io.CallerAbandoned(onward.index))
        if onward.current is not None:
            self._give_up(onward, io.CANCELLED)
        self._release_index(onward)

    def _on_refused_beyond(self, seizure, harmless, origin_hop, comeback_us):
        """The call that the server forwarded was refused."""
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
        self._send(self._on_refused, seizure, outcome, origin_hop, wait_us, report)

    def _on_refused(self, seizure, outcome, origin_hop, wait_us, report):
        leg = seizure.leg
        if leg.current is not seizure:
            return
        leg.current, leg.refused_from = None, origin_hop
        latency_us = self.now - leg.began_at
        beyond = self._marks_origin(leg, origin_hop)
        number = seizure.server.number
        ended = io.SeizureEnded(
            leg.index, seizure.number, number, outcome, wait_us, latency_us, leg.answered, report, beyond
        )
        self._notify_module(leg, ended)

    def _marks_origin(self, leg, origin_hop):
        """Whether a refusal is marked for this leg's proxy as one that arose beyond the server that sends it."""
        return self.plan.origin_marked and origin_hop > leg.proxy.hop

    def _answer_setup(self, seizure):
        seizure.server.processor.answer(self.now)
        self._send(self._on_answer, seizure)

    def _on_answer(self, seizure):
        """The proxy receives the answer and passes it on."""
        leg = seizure.leg
        if leg.current is not seizure:
            return
        if leg.answered:
            self._record_break("two answers")
        leg.answered = True
        self._notify_module(leg, io.Answered(leg.index, seizure.number, seizure.server.number, self.now - leg.began_at))
        if leg.onward_of is None:
            self._caller_answered(leg.caller)
            self._after(leg.caller.hold_us, self._end_call, seizure)
        elif leg.onward_of.ended:  # given up meanwhile: release the call beyond
            self._end_call(seizure)
        else:
            self._answer_setup(leg.onward_of)

    def _end_call(self, seizure):
        """Ends an established call at this hop and all hops beyond it."""
        while seizure is not None:
            leg = seizure.leg
            seizure.ended = True
            seizure.server.processor.release(self.now)
            if leg.index >= 0:
                report = seizure.server.report(self.now) if self.plan.reports else None
                number = seizure.server.number
                self._notify_module(
                    leg, io.SeizureEnded(leg.index, seizure.number, number, io.COMPLETED, 0, 0, True, report)
                )
                self._release_index(leg)
            seizure = seizure.onward.current if seizure.onward is not None else None

    def _send_reports(self, server, proxies):
        self._after(REPORT_INTERVAL_US, self._send_reports, server, proxies)
        if server.fault == DEAD:
            return
        report = server.report(self.now)
        for proxy in proxies:
            self._send(self._on_server_report, proxy, server.number, report)

    def _on_server_report(self, proxy, number, report):
        proxy.module_host.add_event(io.ServerReport(number, report, False))
        self._flush(proxy)
