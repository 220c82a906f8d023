"""The fleet of one day, event by event."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from thorndale import interface as io
from thorndale.emulator.day import S
from thorndale.emulator.settings import RELEASE_US, module_settings
from thorndale.emulator.sharing import Sharing
from thorndale.emulator.ways import module
from thorndale.module_host import ModuleHost
from thorndale.sites.router import SiteRouter
from thorndale.sites.topology import expand_settings
from thorndale.standins.processor import Processor, Work

WORK = Work(setup_us=8_000, answer_us=1_000, release_us=1_000, warm_us=12_000_000)
NOTICED_US = 4 * S  # us after which a proxy holds the calls of a silent server to be cut
WINDOW_US = 10 * S


class Played(NamedTuple):
    """By windows of 10 s, of calls first made in each: revenue `offered`, `earned`, and `allowed` by the capacity
    that is up; `own`: by origin site, the part earned of what was offered. `spilled`: set-ups stood at a site not
    their own, per second. `longest_us`: the longest wait at a server's processor, per site and second. `breaks`:
    rules broken, by name. `calls`: tries in all."""

    offered: list
    earned: list
    allowed: list
    own: list
    spilled: list
    longest_us: list
    breaks: dict
    calls: int
    rejected: int
    fallen: int
    setups: list  # by server and second: set-ups that came to it
    waits_us: list  # what each of them met, sorted

    def share(self):
        return sum(self.earned) / max(1e-9, sum(self.offered))


class Server:
    __slots__ = (
        "number",
        "site",
        "processor",
        "lines",
        "used",
        "silent",
        "dead",
        "cuts",
        "errors",
        "standing",
        "state",
        "started",
        "size",
        "pool",
    )

    def __init__(self, number, site, lines, size=1.0, pool=None):
        self.number, self.site, self.lines, self.used, self.size = number, site, lines, 0, size
        self.pool = number if pool is None else pool
        self.errors = 0.0  # part of its set-ups answered with a fault
        self.renew(0, False)
        self.silent = self.dead = self.cuts = False
        self.standing, self.state, self.started = {}, io.SERVING, 0

    def renew(self, now, cold, slow=1.0):
        """Another process: `size` is its capacity, of the model's."""
        self.processor = Processor(WORK, now, cold)
        self.processor.slowness = slow / self.size

    def up(self):
        return not (self.silent or self.dead or self.processor.fallen)


class Try:
    """One try of a caller. `stood`: at which server it stands; `out`: (seizure, server) that is out; `answered`."""

    __slots__ = ("caller", "proxy", "index", "out", "sent", "server", "answered", "due", "released_at", "counted")

    def __init__(self, caller, proxy):
        self.caller, self.proxy, self.index, self.out, self.sent = caller, proxy, -1, None, 0
        self.server, self.answered, self.due, self.released_at = None, False, 0, -RELEASE_US


class Caller:
    __slots__ = ("kind", "origin", "pool", "came", "tries", "earned", "key")

    def __init__(self, kind, origin, pool, came, key):
        self.kind, self.origin, self.pool, self.came, self.key = kind, origin, pool, came, key
        self.tries, self.earned = 0, 0.0


class Host:
    """One proxy: its core, and its part of the calls."""

    __slots__ = ("core", "door", "timer", "weight", "site", "number", "until")

    def __init__(self, core, weight, site, number):
        self.core, self.door, self.timer, self.weight, self.site = core, ModuleHost(core), 0, weight, site
        self.number, self.until = number, 0  # us until which it stands still


class Fleet:
    def __init__(self, day):
        self.day, self.chance, self.now, self.serial, self.heap = day, Random(day.seed), 0, 0, []
        self.servers = []
        for site, count in enumerate(day.servers):
            for _ in range(count):
                number = len(self.servers)
                size = day.sizes[number] if day.sizes else 1.0
                self.servers.append(Server(number, site, day.lines, size, site if day.together else None))
        self.pools = [sorted({s.pool for s in self.servers if s.site == site}) for site in range(len(day.servers))]
        for trouble in day.troubles:
            for server in self._meant(trouble) if trouble.kind == "join" else ():
                server.state, server.dead = io.GONE, True
        self.links = []  # those in force
        self.rate, self.calls, self.rejected, self.keys = day.calls, 0, 0, 0
        windows, seconds = day.length_us // WINDOW_US, day.length_us // S
        self.offered, self.earned, self.allowed = [0.0] * windows, [0.0] * windows, [0.0] * windows
        self.by_origin = [[0.0, 0.0] for _ in day.servers]  # offered, earned
        self.spilled = [0] * seconds
        self.longest = [[0] * seconds for _ in day.servers]
        self.breaks = {}
        self.setups, self.waits = [[0] * seconds for _ in self.servers], []
        self.sharing = None
        self.hosts = [self._host(n) for n in range(day.proxies)]
        self.weights = [h.weight for h in self.hosts]
        if day.share:
            self.sharing = Sharing(self, day.between, "rights" in day.share, "words" in day.share)

    # ---- the proxies ----

    def settings(self):
        day = self.day
        pools = sorted({s.pool for s in self.servers})
        rights = "rights" in day.share
        return module_settings(day.types, WORK, day.proxies, pools, warm_up_us=day.warm_up_us, fleet_rights=rights)

    def sites(self):
        day, count = self.day, len(self.day.servers)
        others = [[origin] + [(origin + n) % count for n in range(1, count)] for origin in range(count)]
        order = [[origin] for origin in range(count)] if day.policy == "none" else others
        outside = [1e6] * count if day.policy == "unbounded" else list(day.outside)
        return {"site_pools": self.pools, "site_order": [order for _ in day.types], "site_outside": outside}

    def _host(self, number):
        day, seed = self.day, self.chance.getrandbits(63)
        settings = self.settings()
        if day.policy in ("plain", "oracle"):
            core = module(day.way, seed, settings, number, self.servers)
        else:
            core = module(day.way, seed, expand_settings(settings, self.sites()), number, self.servers)
            core = SiteRouter(seed ^ 0x5DEECE66D, settings, self.sites(), core)
        equal = 1.0 / day.proxies
        weight = equal if not day.largest else day.largest if number == 0 else (1 - day.largest) / (day.proxies - 1)
        if day.unequal:
            weight *= self.chance.choice((0.2, 0.5, 0.5, 1.0, 1.0, 1.0, 3.0))
        host = Host(core, weight, number % len(day.servers), number)
        host.door.add_event(
            io.Servers(tuple(io.Server(s.number, s.pool, s.state, s.started) for s in self.servers), True, True)
        )
        host.until = int(day.start_us * self.chance.random())
        self._at(host.until, self._flush, host)
        return host

    def _at(self, at, do, *values):
        self.serial += 1
        heappush(self.heap, (at, self.serial, do, values))

    def _after(self, wait, do, *values):
        self._at(self.now + int(wait), do, *values)

    def _break(self, rule):
        self.breaks[rule] = self.breaks.get(rule, 0) + 1

    def _carry(self, host, server, way, do, *values):
        """A message between a proxy and a server: what the links make of it, and the time it takes."""
        wait = self._way(host, server)
        for link in self.links:
            if not link.reports and link.way in (way, "both") and link.joins(host.number, server):
                if self.chance.random() < link.lose:
                    return
                wait += link.delay_us
        self._after(wait, self._reach, host, do, values) if way == "back" else self._after(wait, do, *values)

    def _reach(self, host, do, values):
        """At the proxy, or once it goes on."""
        if host.until > self.now:
            self._at(host.until, self._reach, host, do, values)
        else:
            do(*values)

    def _flush(self, host):
        door = host.door
        if host.until > self.now:
            self._at(host.until, self._flush, host)
            return
        sharing = self.sharing
        while door.events:
            odds_before = sharing.odds_before(host, door.events) if sharing else ()
            actions = door.run_batch(self.now)
            if odds_before:
                sharing.record_outcomes(host, odds_before)
            for action in actions:
                kind = type(action)
                if kind is io.RequestLease:
                    sharing.request_lease(host, action)
                    continue
                if kind is io.Seize and sharing:
                    sharing.record_seizure(host, action)
                if kind is io.SetTimer:
                    self._at(max(action.at_us, self.now + 1), self._timer, host)
                elif kind is not io.Log and kind is not io.SubscribeList:
                    self._act(host, door.calls[action.call], action, kind)

    def _timer(self, host):
        host.door.add_event(io.TimerFired(0))
        self._flush(host)

    def _act(self, host, held, action, kind):
        if kind is io.Seize:
            if held.out is not None:
                self._break("two seizures out")
            if self.now < held.released_at + RELEASE_US:
                self._break("release not awaited")
            held.out = held.sent, action.server
            if self.sharing:
                held.counted = action.first
            held.sent += 1
            self._carry(host, action.server, "out", self._arrive, held, held.out)
            self._after(action.timeout_us, self._reach, host, self._late, (held, held.out, self.now))
        elif kind is io.Cancel:
            self._cancel(held, io.CANCELLED, True)
        else:
            self._answer(held, kind is io.Reject and action.comeback_us or 0, kind is io.Reject)

    def _way(self, host, server):
        day = self.day
        base = day.own_us if host.site == self.servers[server].site else day.cross_us
        return base * (0.9 + 0.4 * self.chance.random())

    # ---- seizures ----

    def _arrive(self, held, seizure):
        server = self.servers[seizure[1]]
        if self.sharing:
            self.sharing.arrived(server.number, held.counted and not seizure[0], seizure[0] > 0)
        second = min(len(self.spilled) - 1, self.now // S)
        self.setups[server.number][second] += 1
        if server.silent:
            return
        if server.dead or server.processor.fallen:
            self._carry(held.proxy, server.number, "back", self._refused, held, seizure, io.UNREACHABLE)
            return
        if held.out != seizure:
            return
        if server.errors and (server.errors >= 1 or self.chance.random() < server.errors):
            self._carry(held.proxy, server.number, "back", self._refused, held, seizure, io.FAULTY)
            return
        if server.used >= server.lines:
            self._carry(held.proxy, server.number, "back", self._refused, held, seizure, io.EMPTY)
            return
        wait = server.processor.wait(self.now)
        self.waits.append(wait)
        if wait > self.longest[server.site][second]:
            self.longest[server.site][second] = wait
        done = server.processor.setup(self.now)
        if done is None:
            self._carry(held.proxy, server.number, "back", self._refused, held, seizure, io.FULL)
            return
        server.used += 1
        self._at(done, self._stand, held, seizure, server, server.started)

    def _refused(self, held, seizure, outcome):
        if held.out != seizure:
            return
        held.out = None
        self._tell(
            held,
            io.SeizureEnded(
                held.index, seizure[0], seizure[1], outcome, 0, 0, held.answered, self._report(self.servers[seizure[1]])
            ),
        )

    def _stand(self, held, seizure, server, started):
        if server.started != started or not server.up():
            return
        server.processor.answer(self.now)
        if held.out != seizure:  # given up meanwhile: released at once
            server.used -= 1
            return
        server.standing[held] = seizure
        self._carry(held.proxy, server.number, "back", self._stood, held, seizure, server, self.now)
        hold = self.day.types[held.caller.kind].hold_us
        wait = S if server.cuts else self.chance.expovariate(1 / hold)
        self._after(wait, self._over, held, seizure, server, io.RESET if server.cuts else io.COMPLETED)

    def _stood(self, held, seizure, server, answered_at):
        if held.out != seizure:
            self._drop(held, server)
            return
        if held.answered:
            self._break("two answers")
        held.out, held.answered, held.server = None, True, server
        caller = held.caller
        kind = self.day.types[caller.kind]
        late = self.now - caller.came > kind.target_us
        caller.earned = kind.revenue * (kind.late_part if late else 1.0)
        if server.site != caller.origin:
            self.spilled[min(len(self.spilled) - 1, self.now // S)] += 1
        self._credit(caller, caller.earned)
        self._tell(held, io.Answered(held.index, seizure[0], server.number, int(answered_at - held.due)))

    def _drop(self, held, server):
        if server.standing.pop(held, None) is not None:
            server.used -= 1

    def _over(self, held, seizure, server, outcome):
        """The end of a call that stood."""
        if server.standing.get(held) != seizure or not server.up():
            return
        self._drop(held, server)
        server.processor.release(self.now)
        self._carry(held.proxy, server.number, "back", self._ended, held, seizure, server, outcome)

    def _ended(self, held, seizure, server, outcome):
        if held.server is not server:
            return
        held.server = None
        if outcome == io.RESET:
            self._credit(held.caller, -held.caller.earned)
        self._tell(
            held, io.SeizureEnded(held.index, seizure[0], server.number, outcome, 0, 0, True, self._report(server))
        )
        self._release(held)

    def _late(self, held, seizure, sent_at):
        if held.out == seizure:
            self._cancel(held, io.TIMED_OUT, held.answered)

    def _cancel(self, held, outcome, final):
        seizure, held.out, held.released_at = held.out, None, self.now
        if seizure is None:
            return
        self._drop(held, self.servers[seizure[1]])
        self._tell(
            held, io.SeizureEnded(held.index, seizure[0], seizure[1], outcome, 0, self.now - held.due, final, None)
        )

    def _report(self, server):
        if not server.up():
            return None
        return io.Report(server.lines - server.used, server.lines, server.processor.wait(self.now), None)

    def _tell(self, held, event):
        if held.index < 0:
            return
        held.proxy.door.add_event(event)
        self._flush(held.proxy)

    # ---- callers ----

    def _arrivals(self):
        self._after(self.chance.expovariate(self.rate / S), self._arrivals)
        kind = 0
        draw = self.chance.random()
        for n, t in enumerate(self.day.types):
            kind = n
            draw -= t.share
            if draw < 0:
                break
        site = int(self.chance.random() * len(self.day.servers))
        self.keys += 1
        caller = Caller(kind, site, self.chance.choice(self.pools[site]), self.now, self.keys)
        window = self.now // WINDOW_US
        if window < len(self.offered):
            self.offered[window] += self.day.types[kind].revenue
            self.by_origin[site][0] += self.day.types[kind].revenue
        self._dial(caller)

    def _credit(self, caller, revenue):
        window = caller.came // WINDOW_US
        if window < len(self.earned):
            self.earned[window] += revenue
            self.by_origin[caller.origin][1] += revenue

    def _dial(self, caller):
        day, kind = self.day, self.day.types[caller.kind]
        caller.tries += 1
        self.calls += 1
        uneven = day.largest or day.unequal
        host = self.chance.choices(self.hosts, self.weights)[0] if uneven else self.chance.choice(self.hosts)
        held = Try(caller, host)
        held.due = self.now
        if day.policy == "oracle":
            self._oracle(held)
            return
        held.index = host.door.assign_index(held)
        patience = int(min(kind.guard_us * day.patience, kind.guard_us - (self.now - caller.came)))
        host.door.add_event(
            io.Call(held.index, caller.kind, 0, caller.key, patience, caller.pool, caller.tries > 1, False)
        )
        self._after(patience, self._gives_up, held)
        self._flush(host)

    def _gives_up(self, held):
        if held.answered or held.index < 0 or held.proxy.until > held.due:  # it stood still meanwhile
            return
        self._break("no answer in time") if self.day.policy != "oracle" else None

    def _answer(self, held, comeback, rejected):
        if held.answered:
            self._break("two answers")
        held.answered = True
        self.rejected += rejected
        if held.out is None:
            self._release(held)
        self._redial(held.caller, comeback)

    def _redial(self, caller, comeback):
        kind = self.day.types[caller.kind]
        wait = comeback or self.day.backoff_us * (0.5 + self.chance.random())
        if caller.tries <= self.day.redials and self.now + wait - caller.came < kind.guard_us:
            self._after(wait, self._dial, caller)

    def _release(self, held):
        if held.index >= 0:
            held.proxy.door.release_index(held.index)
            held.index = -1

    # ---- the oracle: sees every server as it is, and sends to the one with the least wait while that is in time ----

    def _oracle(self, held):
        kind = self.day.types[held.caller.kind]
        late = self.now - held.caller.came > kind.target_us  # a redial that earns its late part only
        dearest = kind.revenue == max(t.revenue for t in self.day.types) and not late
        most, kept = (0.8, 0.0) if dearest else (0.05, 0.1) if late else (0.4, 0.02)  # of target and lines
        open_ = [s for s in self.servers if s.up() and s.used < s.lines * (1 - kept)]
        best = min(open_, key=lambda s: s.processor.wait(self.now) / s.processor.warmth(self.now), default=None)
        if best is None or best.processor.wait(self.now) > most * kind.target_us:
            self.rejected += 1
            self._redial(held.caller, 0)
            return
        held.out = 0, best.number
        self._arrive(held, held.out)

    # ---- what happens ----

    def _reports(self, server):
        self._after(self.day.report_us, self._reports, server)
        report = self._report(server)
        if report is None:
            return
        for host in self.hosts:
            late = 0
            for link in self.links:
                if link.reports and link.joins(host.number, server.number):
                    late = -1 if self.chance.random() < link.lose else link.delay_us
            if late >= 0:
                self._after(late, self._seen, host, server.number, report)

    def _seen(self, host, number, report):
        host.door.add_event(io.ServerReport(number, report, False))
        if host.until <= self.now:
            self._flush(host)

    def _listed(self, server, late):
        """The list's telling of a server as it is now, at each proxy after a lag of its own."""
        entry = io.Server(server.number, server.pool, server.state, server.started)
        least, most = self.day.list_us
        for host in self.hosts:
            self._after(late + least + (most - least) * self.chance.random(), self._told, host, entry)

    def _told(self, host, entry):
        host.door.add_event(io.Servers((entry,), False, False))
        if host.until <= self.now:
            self._flush(host)

    def _meant(self, trouble):
        return [s for s in self.servers if (s.number in trouble.servers if trouble.servers else s.site == trouble.site)]

    def _trouble(self, trouble):
        if trouble.kind == "burst":
            self.rate = self.day.calls * trouble.factor
        elif trouble.kind == "stall":
            for host in self.hosts:
                if host.number in trouble.proxies:
                    host.until = self.now + trouble.span_us
        elif trouble.kind == "sizes":
            for pool in {s.pool for s in self.servers}:
                among = [s for s in self.servers if s.pool == pool]
                sizes = [s.size for s in among]
                for server, size in zip(among, sizes[1:] + sizes[:1], strict=True):
                    server.processor.slowness *= server.size / size
                    server.size = size
        else:
            for server in self._meant(trouble):
                self._befalls(server, trouble)

    def _befalls(self, server, trouble):
        kind = trouble.kind
        if kind in ("dark", "killed"):
            server.silent, server.dead = kind == "dark", kind == "killed"
            server.state = io.GONE
            noticed = NOTICED_US if server.silent else self.day.own_us
            for held, seizure in list(server.standing.items()):
                self._after(noticed, self._ended, held, seizure, server, io.RESET)
            server.standing, server.used = {}, 0
        elif kind in ("back", "restart", "join"):
            server.silent = server.dead = server.cuts = False
            server.state = io.SERVING
            server.started = self.now if kind != "back" else server.started
            server.renew(self.now, kind != "back")
        elif kind == "slow":
            server.processor.slowness = trouble.factor / server.size
        elif kind == "cuts":
            server.cuts = True
        elif kind == "errors":
            server.errors = trouble.factor
        if trouble.told and kind in ("dark", "killed", "back", "restart", "join"):
            self._listed(server, trouble.late_us)

    def _linked(self, link, on):
        self.links.append(link) if on else self.links.remove(link)

    def _capacity(self):
        """What the servers that are up could earn of what is offered, the dearest first."""
        self._after(S, self._capacity)
        each = WORK.setup_us + WORK.answer_us + WORK.release_us
        hold = sum(t.share * t.hold_us for t in self.day.types)
        room = sum(
            min(s.processor.warmth(self.now) / s.processor.slowness / each, s.lines / hold) * S
            for s in self.servers
            if s.up() and not s.cuts
        )
        window = self.now // WINDOW_US
        for kind in sorted(self.day.types, key=lambda t: -t.revenue):
            taken = min(room, self.rate * kind.share)
            room -= taken
            if window < len(self.allowed):
                self.allowed[window] += taken * kind.revenue

    def run(self):
        day = self.day
        self._at(0, self._arrivals)
        self._at(0, self._capacity)
        for server in self.servers:
            self._at(int(self.chance.random() * day.report_us), self._reports, server)
        for trouble in day.troubles:
            self._at(trouble.at_us, self._trouble, trouble)
        for link in day.links:
            self._at(link.at_us, self._linked, link, True)
            self._at(link.until_us, self._linked, link, False)
        heap = self.heap
        while heap and heap[0][0] < day.length_us:
            self.now, _, do, values = heappop(heap)
            do(*values)
        fallen = sum(s.processor.fallen for s in self.servers)
        if fallen:
            self.breaks["cold server pushed over"] = fallen
        own = [earned / max(1e-9, offered) for offered, earned in self.by_origin]
        return Played(
            self.offered,
            self.earned,
            self.allowed,
            own,
            self.spilled,
            self.longest,
            self.breaks,
            self.calls,
            self.rejected,
            fallen,
            self.setups,
            sorted(self.waits),
        )
