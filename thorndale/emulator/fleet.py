"""Simulates the fleet of one day, event by event."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from thorndale import interface as io
from thorndale.emulator.day import S
from thorndale.emulator.peer_network import PeerNetwork
from thorndale.emulator.selection import make_module
from thorndale.emulator.settings import RELEASE_US, module_settings
from thorndale.module_host import ModuleHost
from thorndale.sites.router import SiteRouter
from thorndale.sites.topology import expand_settings
from thorndale.standins.processor import Processor, Work

WORK = Work(setup_us=8_000, answer_us=1_000, release_us=1_000, warm_us=12_000_000)
CUT_DETECTION_US = 4 * S  # after this time a proxy considers the calls of an unresponsive server cut
WINDOW_US = 10 * S


class DayResult(NamedTuple):
    """By windows of 10 s, over the calls first made in each: revenue `offered`, `earned`, and `allowed` by the capacity
    that is up.
    `earned_by_origin`: by origin site, the fraction earned of what was offered.
    `spilled`: calls answered at another site than their own, per second.
    `longest_wait_us`: the longest queueing delay at a server's processor, per site and second.
    `breaks`: counts of broken rules, by name. `calls`: all attempts of callers.
    `fallen`: servers that collapsed under load while cold."""

    offered: list
    earned: list
    allowed: list
    earned_by_origin: list
    spilled: list
    longest_wait_us: list
    breaks: dict
    calls: int
    rejected: int
    fallen: int
    setups: list  # set-ups that arrived, by server and second
    waits_us: list  # queueing delay of each set-up that reached a processor, sorted

    def earned_fraction(self):
        return sum(self.earned) / max(1e-9, sum(self.offered))


class Server:
    __slots__ = (
        "number",
        "site",
        "processor",
        "lines",
        "lines_in_use",
        "unresponsive",
        "dead",
        "cuts_calls",
        "error_fraction",
        "established",
        "state",
        "started",
        "size",
        "pool",
    )

    def __init__(self, number, site, lines, size=1.0, pool=None):
        self.number, self.site, self.lines, self.lines_in_use, self.size = number, site, lines, 0, size
        self.pool = number if pool is None else pool
        self.error_fraction = 0.0  # fraction of its set-ups that it answers with an error
        self.replace_processor(0, False)
        self.unresponsive = self.dead = self.cuts_calls = False
        self.established, self.state, self.started = {}, io.SERVING, 0

    def replace_processor(self, now, cold, slow=1.0):
        """Starts another process. `size` is its capacity as a multiple of the model's."""
        self.processor = Processor(WORK, now, cold)
        self.processor.slowness = slow / self.size

    def up(self):
        return not (self.unresponsive or self.dead or self.processor.fallen)


class Attempt:
    """One attempt of a caller, a call at one proxy. `server`: the server at which it is established. `in_flight`: the
    (seizure number, server number) in flight. `answered`: the caller has its final answer."""

    __slots__ = (
        "caller",
        "proxy",
        "index",
        "in_flight",
        "seizures_sent",
        "server",
        "answered",
        "began_at",
        "released_at",
        "first_setup",
    )

    def __init__(self, caller, proxy):
        self.caller, self.proxy, self.index, self.in_flight, self.seizures_sent = caller, proxy, -1, None, 0
        self.server, self.answered, self.began_at, self.released_at = None, False, 0, -RELEASE_US


class Caller:
    __slots__ = ("kind", "origin", "pool", "arrived_at", "attempts", "earned", "key")

    def __init__(self, kind, origin, pool, arrived_at, key):
        self.kind, self.origin, self.pool, self.arrived_at, self.key = kind, origin, pool, arrived_at, key
        self.attempts, self.earned = 0, 0.0


class Host:
    """One proxy with its decision core. `weight`: its fraction of the calls."""

    __slots__ = ("core", "module_host", "timer", "weight", "site", "number", "paused_until")

    def __init__(self, core, weight, site, number):
        self.core, self.module_host, self.timer, self.weight, self.site = core, ModuleHost(core), 0, weight, site
        self.number, self.paused_until = number, 0


class Fleet:
    def __init__(self, day):
        self.day, self.rng, self.now, self.serial, self.heap = day, Random(day.seed), 0, 0, []
        self.servers = []
        for site, count in enumerate(day.servers):
            for _ in range(count):
                number = len(self.servers)
                size = day.sizes[number] if day.sizes else 1.0
                self.servers.append(Server(number, site, day.lines, size, site if day.one_pool_per_site else None))
        self.pools = [sorted({s.pool for s in self.servers if s.site == site}) for site in range(len(day.servers))]
        for scenario_event in day.scenario_events:
            for server in self._affected_servers(scenario_event) if scenario_event.kind == "join" else ():
                server.state, server.dead = io.GONE, True
        self.links = []  # the faulty links in force
        self.rate, self.calls, self.rejected, self.keys = day.calls, 0, 0, 0
        windows, seconds = day.length_us // WINDOW_US, day.length_us // S
        self.offered, self.earned, self.allowed = [0.0] * windows, [0.0] * windows, [0.0] * windows
        self.by_origin = [[0.0, 0.0] for _ in day.servers]  # offered, earned
        self.spilled = [0] * seconds
        self.longest_waits = [[0] * seconds for _ in day.servers]
        self.breaks = {}
        self.setups, self.waits = [[0] * seconds for _ in self.servers], []
        self.peer_network = None
        self.hosts = [self._host(n) for n in range(day.proxies)]
        self.weights = [h.weight for h in self.hosts]
        if day.peer_exchange:
            self.peer_network = PeerNetwork(
                self, day.peer_links, "rights" in day.peer_exchange, "words" in day.peer_exchange
            )

    # ---- the proxies ----

    def settings(self):
        day = self.day
        pools = sorted({s.pool for s in self.servers})
        rights = "rights" in day.peer_exchange
        return module_settings(day.types, WORK, day.proxies, pools, warm_up_us=day.warm_up_us, fleet_rights=rights)

    def sites(self):
        day, count = self.day, len(self.day.servers)
        others = [[origin] + [(origin + n) % count for n in range(1, count)] for origin in range(count)]
        order = [[origin] for origin in range(count)] if day.policy == "none" else others
        outside = [1e6] * count if day.policy == "unbounded" else list(day.outside)
        return {"site_pools": self.pools, "site_order": [order for _ in day.types], "site_outside": outside}

    def _host(self, number):
        day, seed = self.day, self.rng.getrandbits(63)
        settings = self.settings()
        if day.policy in ("plain", "oracle"):
            core = make_module(day.selection, seed, settings, number, self.servers)
        else:
            core = make_module(day.selection, seed, expand_settings(settings, self.sites()), number, self.servers)
            core = SiteRouter(seed ^ 0x5DEECE66D, settings, self.sites(), core)
        equal = 1.0 / day.proxies
        weight = (
            equal
            if not day.largest_proxy_fraction
            else day.largest_proxy_fraction
            if number == 0
            else (1 - day.largest_proxy_fraction) / (day.proxies - 1)
        )
        if day.unequal_proxies:
            weight *= self.rng.choice((0.2, 0.5, 0.5, 1.0, 1.0, 1.0, 3.0))
        host = Host(core, weight, number % len(day.servers), number)
        host.module_host.add_event(
            io.Servers(tuple(io.Server(s.number, s.pool, s.state, s.started) for s in self.servers), True, True)
        )
        host.paused_until = int(day.start_us * self.rng.random())
        self._at(host.paused_until, self._flush, host)
        return host

    def _at(self, at, callback, *values):
        self.serial += 1
        heappush(self.heap, (at, self.serial, callback, values))

    def _after(self, wait, callback, *values):
        self._at(self.now + int(wait), callback, *values)

    def _record_break(self, rule):
        self.breaks[rule] = self.breaks.get(rule, 0) + 1

    def _transmit(self, host, server, direction, callback, *values):
        """Sends a message between a proxy and a server, over the faulty links in force. `direction`: 'out' to the
        server, 'back' from it."""
        wait = self._link_delay_us(host, server)
        for link in self.links:
            if not link.reports and link.direction in (direction, "both") and link.connects(host.number, server):
                if self.rng.random() < link.lose:
                    return
                wait += link.delay_us
        self._after(wait, self._deliver, host, callback, values) if direction == "back" else self._after(
            wait, callback, *values
        )

    def _deliver(self, host, callback, values):
        """Runs `callback` at the proxy, now or when it resumes if it is suspended."""
        if host.paused_until > self.now:
            self._at(host.paused_until, self._deliver, host, callback, values)
        else:
            callback(*values)

    def _flush(self, host):
        module_host = host.module_host
        if host.paused_until > self.now:
            self._at(host.paused_until, self._flush, host)
            return
        peer_network = self.peer_network
        while module_host.events:
            odds_before = peer_network.odds_before(host, module_host.events) if peer_network else ()
            actions = module_host.run_batch(self.now)
            if odds_before:
                peer_network.record_outcomes(host, odds_before)
            for action in actions:
                kind = type(action)
                if kind is io.RequestLease:
                    peer_network.request_lease(host, action)
                    continue
                if kind is io.Seize and peer_network:
                    peer_network.record_seizure(host, action)
                if kind is io.SetTimer:
                    self._at(max(action.at_us, self.now + 1), self._timer, host)
                elif kind is not io.Log and kind is not io.SubscribeList:
                    self._act(host, module_host.calls[action.call], action, kind)

    def _timer(self, host):
        host.module_host.add_event(io.TimerFired(0))
        self._flush(host)

    def _act(self, host, attempt, action, kind):
        if kind is io.Seize:
            if attempt.in_flight is not None:
                self._record_break("two seizures out")
            if self.now < attempt.released_at + RELEASE_US:
                self._record_break("release not awaited")
            attempt.in_flight = attempt.seizures_sent, action.server
            if self.peer_network:
                attempt.first_setup = action.first
            attempt.seizures_sent += 1
            self._transmit(host, action.server, "out", self._on_setup, attempt, attempt.in_flight)
            self._after(
                action.timeout_us, self._deliver, host, self._on_seizure_timeout, (attempt, attempt.in_flight, self.now)
            )
        elif kind is io.Cancel:
            self._cancel(attempt, io.CANCELLED, True)
        else:
            self._final_refusal(attempt, kind is io.Reject and action.comeback_us or 0, kind is io.Reject)

    def _link_delay_us(self, host, server):
        day = self.day
        base = day.own_site_delay_us if host.site == self.servers[server].site else day.cross_site_delay_us
        return base * (0.9 + 0.4 * self.rng.random())

    # ---- seizures ----

    def _on_setup(self, attempt, seizure):
        server = self.servers[seizure[1]]
        if self.peer_network:
            self.peer_network.record_setup(server.number, attempt.first_setup and not seizure[0], seizure[0] > 0)
        second = min(len(self.spilled) - 1, self.now // S)
        self.setups[server.number][second] += 1
        if server.unresponsive:
            return
        if server.dead or server.processor.fallen:
            self._transmit(attempt.proxy, server.number, "back", self._on_refused, attempt, seizure, io.UNREACHABLE)
            return
        if attempt.in_flight != seizure:
            return
        if server.error_fraction and (server.error_fraction >= 1 or self.rng.random() < server.error_fraction):
            self._transmit(attempt.proxy, server.number, "back", self._on_refused, attempt, seizure, io.FAULTY)
            return
        if server.lines_in_use >= server.lines:
            self._transmit(attempt.proxy, server.number, "back", self._on_refused, attempt, seizure, io.EMPTY)
            return
        wait = server.processor.wait(self.now)
        self.waits.append(wait)
        if wait > self.longest_waits[server.site][second]:
            self.longest_waits[server.site][second] = wait
        done = server.processor.setup(self.now)
        if done is None:
            self._transmit(attempt.proxy, server.number, "back", self._on_refused, attempt, seizure, io.FULL)
            return
        server.lines_in_use += 1
        self._at(done, self._complete_setup, attempt, seizure, server, server.started)

    def _on_refused(self, attempt, seizure, outcome):
        if attempt.in_flight != seizure:
            return
        attempt.in_flight = None
        self._notify_module(
            attempt,
            io.SeizureEnded(
                attempt.index,
                seizure[0],
                seizure[1],
                outcome,
                0,
                0,
                attempt.answered,
                self._report(self.servers[seizure[1]]),
            ),
        )

    def _complete_setup(self, attempt, seizure, server, started):
        if server.started != started or not server.up():
            return
        server.processor.answer(self.now)
        if attempt.in_flight != seizure:  # given up meanwhile: release it at once
            server.lines_in_use -= 1
            return
        server.established[attempt] = seizure
        self._transmit(attempt.proxy, server.number, "back", self._on_answer, attempt, seizure, server, self.now)
        hold = self.day.types[attempt.caller.kind].hold_us
        wait = S if server.cuts_calls else self.rng.expovariate(1 / hold)
        self._after(wait, self._end_call, attempt, seizure, server, io.RESET if server.cuts_calls else io.COMPLETED)

    def _on_answer(self, attempt, seizure, server, answered_at):
        if attempt.in_flight != seizure:
            self._free_line(attempt, server)
            return
        if attempt.answered:
            self._record_break("two answers")
        attempt.in_flight, attempt.answered, attempt.server = None, True, server
        caller = attempt.caller
        kind = self.day.types[caller.kind]
        late = self.now - caller.arrived_at > kind.target_us
        caller.earned = kind.revenue * (kind.late_part if late else 1.0)
        if server.site != caller.origin:
            self.spilled[min(len(self.spilled) - 1, self.now // S)] += 1
        self._credit(caller, caller.earned)
        self._notify_module(
            attempt, io.Answered(attempt.index, seizure[0], server.number, int(answered_at - attempt.began_at))
        )

    def _free_line(self, attempt, server):
        if server.established.pop(attempt, None) is not None:
            server.lines_in_use -= 1

    def _end_call(self, attempt, seizure, server, outcome):
        """Ends an established call."""
        if server.established.get(attempt) != seizure or not server.up():
            return
        self._free_line(attempt, server)
        server.processor.release(self.now)
        self._transmit(attempt.proxy, server.number, "back", self._on_call_ended, attempt, seizure, server, outcome)

    def _on_call_ended(self, attempt, seizure, server, outcome):
        if attempt.server is not server:
            return
        attempt.server = None
        if outcome == io.RESET:
            self._credit(attempt.caller, -attempt.caller.earned)
        self._notify_module(
            attempt,
            io.SeizureEnded(attempt.index, seizure[0], server.number, outcome, 0, 0, True, self._report(server)),
        )
        self._release(attempt)

    def _on_seizure_timeout(self, attempt, seizure, sent_at):
        if attempt.in_flight == seizure:
            self._cancel(attempt, io.TIMED_OUT, attempt.answered)

    def _cancel(self, attempt, outcome, final):
        seizure, attempt.in_flight, attempt.released_at = attempt.in_flight, None, self.now
        if seizure is None:
            return
        self._free_line(attempt, self.servers[seizure[1]])
        self._notify_module(
            attempt,
            io.SeizureEnded(
                attempt.index, seizure[0], seizure[1], outcome, 0, self.now - attempt.began_at, final, None
            ),
        )

    def _report(self, server):
        if not server.up():
            return None
        return io.Report(server.lines - server.lines_in_use, server.lines, server.processor.wait(self.now), None)

    def _notify_module(self, attempt, event):
        if attempt.index < 0:
            return
        attempt.proxy.module_host.add_event(event)
        self._flush(attempt.proxy)

    # ---- callers ----

    def _arrivals(self):
        self._after(self.rng.expovariate(self.rate / S), self._arrivals)
        kind = 0
        draw = self.rng.random()
        for n, t in enumerate(self.day.types):
            kind = n
            draw -= t.share
            if draw < 0:
                break
        site = int(self.rng.random() * len(self.day.servers))
        self.keys += 1
        caller = Caller(kind, site, self.rng.choice(self.pools[site]), self.now, self.keys)
        window = self.now // WINDOW_US
        if window < len(self.offered):
            self.offered[window] += self.day.types[kind].revenue
            self.by_origin[site][0] += self.day.types[kind].revenue
        self._dial(caller)

    def _credit(self, caller, revenue):
        window = caller.arrived_at // WINDOW_US
        if window < len(self.earned):
            self.earned[window] += revenue
            self.by_origin[caller.origin][1] += revenue

    def _dial(self, caller):
        day, kind = self.day, self.day.types[caller.kind]
        caller.attempts += 1
        self.calls += 1
        uneven = day.largest_proxy_fraction or day.unequal_proxies
        host = self.rng.choices(self.hosts, self.weights)[0] if uneven else self.rng.choice(self.hosts)
        attempt = Attempt(caller, host)
        attempt.began_at = self.now
        if day.policy == "oracle":
            self._place_by_oracle(attempt)
            return
        attempt.index = host.module_host.assign_index(attempt)
        patience = int(min(kind.guard_us * day.patience_fraction, kind.guard_us - (self.now - caller.arrived_at)))
        host.module_host.add_event(
            io.Call(attempt.index, caller.kind, 0, caller.key, patience, caller.pool, caller.attempts > 1, False)
        )
        self._after(patience, self._check_answered, attempt)
        self._flush(host)

    def _check_answered(self, attempt):
        # A proxy that was suspended meanwhile is not judged.
        if attempt.answered or attempt.index < 0 or attempt.proxy.paused_until > attempt.began_at:
            return
        self._record_break("no answer in time") if self.day.policy != "oracle" else None

    def _final_refusal(self, attempt, comeback, rejected):
        if attempt.answered:
            self._record_break("two answers")
        attempt.answered = True
        self.rejected += rejected
        if attempt.in_flight is None:
            self._release(attempt)
        self._redial(attempt.caller, comeback)

    def _redial(self, caller, comeback):
        kind = self.day.types[caller.kind]
        wait = comeback or self.day.redial_delay_us * (0.5 + self.rng.random())
        if caller.attempts <= self.day.redials and self.now + wait - caller.arrived_at < kind.guard_us:
            self._after(wait, self._dial, caller)

    def _release(self, attempt):
        if attempt.index >= 0:
            attempt.proxy.module_host.release_index(attempt.index)
            attempt.index = -1

    # ---- the oracle: places a call at the server with the least true delay, while that is in time ----

    def _place_by_oracle(self, attempt):
        kind = self.day.types[attempt.caller.kind]
        late = self.now - attempt.caller.arrived_at > kind.target_us  # a redial earns only the late fraction by now
        highest_revenue = kind.revenue == max(t.revenue for t in self.day.types) and not late
        # The longest wait as a fraction of the setup target, and the fraction of lines reserved for other calls.
        max_wait, reserved_fraction = (0.8, 0.0) if highest_revenue else (0.05, 0.1) if late else (0.4, 0.02)
        candidates = [s for s in self.servers if s.up() and s.lines_in_use < s.lines * (1 - reserved_fraction)]
        best = min(candidates, key=lambda s: s.processor.wait(self.now) / s.processor.warmth(self.now), default=None)
        if best is None or best.processor.wait(self.now) > max_wait * kind.target_us:
            self.rejected += 1
            self._redial(attempt.caller, 0)
            return
        attempt.in_flight = 0, best.number
        self._on_setup(attempt, attempt.in_flight)

    # ---- reports, server list and events of the day ----

    def _send_reports(self, server):
        self._after(self.day.report_interval_us, self._send_reports, server)
        report = self._report(server)
        if report is None:
            return
        for host in self.hosts:
            late = 0
            for link in self.links:
                if link.reports and link.connects(host.number, server.number):
                    late = -1 if self.rng.random() < link.lose else link.delay_us
            if late >= 0:
                self._after(late, self._on_server_report, host, server.number, report)

    def _on_server_report(self, host, number, report):
        host.module_host.add_event(io.ServerReport(number, report, False))
        if host.paused_until <= self.now:
            self._flush(host)

    def _announce(self, server, late):
        """Announces a server's present state on the server list. Each proxy receives it after a delay of its own."""
        entry = io.Server(server.number, server.pool, server.state, server.started)
        least, most = self.day.list_delay_us
        for host in self.hosts:
            self._after(late + least + (most - least) * self.rng.random(), self._on_list_entry, host, entry)

    def _on_list_entry(self, host, entry):
        host.module_host.add_event(io.Servers((entry,), False, False))
        if host.paused_until <= self.now:
            self._flush(host)

    def _affected_servers(self, scenario_event):
        return [
            s
            for s in self.servers
            if (s.number in scenario_event.servers if scenario_event.servers else s.site == scenario_event.site)
        ]

    def _apply_event(self, scenario_event):
        if scenario_event.kind == "burst":
            self.rate = self.day.calls * scenario_event.factor
        elif scenario_event.kind == "stall":
            for host in self.hosts:
                if host.number in scenario_event.proxies:
                    host.paused_until = self.now + scenario_event.span_us
        elif scenario_event.kind == "sizes":
            for pool in {s.pool for s in self.servers}:
                among = [s for s in self.servers if s.pool == pool]
                sizes = [s.size for s in among]
                for server, size in zip(among, sizes[1:] + sizes[:1], strict=True):
                    server.processor.slowness *= server.size / size
                    server.size = size
        else:
            for server in self._affected_servers(scenario_event):
                self._apply_to_server(server, scenario_event)

    def _apply_to_server(self, server, scenario_event):
        kind = scenario_event.kind
        if kind in ("dark", "killed"):
            server.unresponsive, server.dead = kind == "dark", kind == "killed"
            server.state = io.GONE
            noticed = CUT_DETECTION_US if server.unresponsive else self.day.own_site_delay_us
            for attempt, seizure in list(server.established.items()):
                self._after(noticed, self._on_call_ended, attempt, seizure, server, io.RESET)
            server.established, server.lines_in_use = {}, 0
        elif kind in ("back", "restart", "join"):
            server.unresponsive = server.dead = server.cuts_calls = False
            server.state = io.SERVING
            server.started = self.now if kind != "back" else server.started
            server.replace_processor(self.now, kind != "back")
        elif kind == "slow":
            server.processor.slowness = scenario_event.factor / server.size
        elif kind == "cuts":
            server.cuts_calls = True
        elif kind == "errors":
            server.error_fraction = scenario_event.factor
        if scenario_event.announced and kind in ("dark", "killed", "back", "restart", "join"):
            self._announce(server, scenario_event.late_us)

    def _set_link(self, link, on):
        self.links.append(link) if on else self.links.remove(link)

    def _add_allowed_revenue(self):
        """Adds the revenue that the servers that are up can earn of what is offered, the highest revenue first."""
        self._after(S, self._add_allowed_revenue)
        each = WORK.setup_us + WORK.answer_us + WORK.release_us
        hold = sum(t.share * t.hold_us for t in self.day.types)
        capacity = sum(
            min(s.processor.warmth(self.now) / s.processor.slowness / each, s.lines / hold) * S
            for s in self.servers
            if s.up() and not s.cuts_calls
        )
        window = self.now // WINDOW_US
        for kind in sorted(self.day.types, key=lambda t: -t.revenue):
            taken = min(capacity, self.rate * kind.share)
            capacity -= taken
            if window < len(self.allowed):
                self.allowed[window] += taken * kind.revenue

    def run(self):
        day = self.day
        self._at(0, self._arrivals)
        self._at(0, self._add_allowed_revenue)
        for server in self.servers:
            self._at(int(self.rng.random() * day.report_interval_us), self._send_reports, server)
        for scenario_event in day.scenario_events:
            self._at(scenario_event.at_us, self._apply_event, scenario_event)
        for link in day.links:
            self._at(link.at_us, self._set_link, link, True)
            self._at(link.until_us, self._set_link, link, False)
        heap = self.heap
        while heap and heap[0][0] < day.length_us:
            self.now, _, callback, values = heappop(heap)
            callback(*values)
        fallen = sum(s.processor.fallen for s in self.servers)
        if fallen:
            self.breaks["cold server pushed over"] = fallen
        own = [earned / max(1e-9, offered) for offered, earned in self.by_origin]
        return DayResult(
            self.offered,
            self.earned,
            self.allowed,
            own,
            self.spilled,
            self.longest_waits,
            self.breaks,
            self.calls,
            self.rejected,
            fallen,
            self.setups,
            sorted(self.waits),
        )
