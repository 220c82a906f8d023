"""Messages between the proxies of an emulated fleet: one FleetExchange per proxy, on links that lose, delay and
duplicate messages.

`PeerNetwork(fleet, links, rights, words)`; `links` are `PeerLinkFault`.
A suspended proxy receives and does nothing until it resumes. Retries and first set-ups are recorded at the servers, to
check them against the budget of each window: `worst_budget_excess`, `budget_fraction_used`.
"""

from typing import NamedTuple

from thorndale import interface as io
from thorndale.fleet import wire
from thorndale.fleet.exchange import FleetExchange
from thorndale.spread import measure

WALL_CLOCK_START_S = 1_800_000_000


class PeerLinkFault(NamedTuple):
    """A faulty link from `at_us` to `until_us`, for messages from proxies `a` to proxies `b`, and back where
    `bidirectional`. `lose` and `duplicate` are probabilities."""

    at_us: int
    until_us: int
    a: frozenset
    b: frozenset
    lose: float = 1.0
    delay_us: int = 0
    duplicate: float = 0.0
    bidirectional: bool = True

    def applies_to(self, now, a, b):
        if not self.at_us <= now < self.until_us:
            return False
        return a in self.a and b in self.b or self.bidirectional and b in self.a and a in self.b


class PeerNetwork:
    def __init__(self, fleet, links=(), rights=True, words=True):
        self.fleet, self.links, self.rng = fleet, links, fleet.rng
        self.names = [f"proxy{n}" for n in range(len(fleet.hosts))]
        servers = [f"box{s.number}" for s in fleet.servers]
        self.exchanges = [
            FleetExchange(
                self.names,
                n,
                servers,
                self.rng.getrandbits(64),
                0,
                self.rng.getrandbits(32),
                WALL_CLOCK_START_S << 16,
                rights,
                words,
            )
            for n in range(len(fleet.hosts))
        ]
        self.tick_due_at = [0] * len(self.exchanges)
        self.sent = self.bytes = 0
        self.falsifiers = {}  # by proxy: a function that falsifies its outgoing messages
        self.first_setups, self.retries = [[] for _ in servers], [[] for _ in servers]  # arrival times, by server
        for n in range(len(self.exchanges)):
            self._schedule_tick(n)

    # ---- at a proxy ----

    def odds_before(self, host, events):
        own_exchange = self.exchanges[host.number]
        for event in events:
            if type(event) is io.Servers:
                for entry in event.entries:
                    own_exchange.server_started(entry.server, entry.started_us // 1_000_000)
        return own_exchange.odds_before(events, self._module(host))

    def _module(self, host):
        return getattr(host.core, "module", host.core)

    def record_outcomes(self, host, odds_before):
        self.exchanges[host.number].record_outcomes(self.fleet.now, odds_before, self._module(host))
        self._schedule_tick(host.number)

    def record_seizure(self, host, action):
        self.exchanges[host.number].record_seizure(self.fleet.now, action.server, action.first)

    def request_lease(self, host, action):
        n = host.number
        self._send(n, self.exchanges[n].request_lease(self.fleet.now, action.call, action.server, action.resume_us))
        self._schedule_events(n)
        self._schedule_tick(n)

    def record_setup(self, server, first, retry):
        """Records a set-up at the server: a first set-up that the budget counts, a retry, or neither (the first seizure
        of a redial)."""
        if first:
            self.first_setups[server].append(self.fleet.now)
        elif retry:
            self.retries[server].append(self.fleet.now)

    # ---- messages ----

    def _send(self, n, outgoing):
        fleet = self.fleet
        falsify = self.falsifiers.get(n)
        for to, datagram in falsify(fleet.now, outgoing) if falsify else outgoing:
            data = wire.encode(datagram)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            copies, wait = 1, int(1_000 + 4_000 * self.rng.random())
            for link in self.links:
                if link.applies_to(fleet.now, n, to):
                    copies = 0 if self.rng.random() < link.lose else copies + (self.rng.random() < link.duplicate)
                    wait += link.delay_us
            for _ in range(copies):
                fleet._after(wait, self._arrive, n, to, data)

    def _arrive(self, sender, to, data):
        fleet = self.fleet
        paused_until = fleet.hosts[to].paused_until
        if paused_until > fleet.now:
            fleet._at(paused_until, self._arrive, sender, to, data)
            return
        self._send(to, self.exchanges[to].receive(fleet.now, wire.decode(data), sender))
        self._schedule_events(to)
        self._schedule_tick(to)

    def _schedule_events(self, n):
        if self.exchanges[n].has_events():
            self.fleet._after(0, self._deliver_events, n)

    def _deliver_events(self, n):
        host = self.fleet.hosts[n]
        if host.paused_until > self.fleet.now:
            self.fleet._at(host.paused_until, self._deliver_events, n)
            return
        for event in self.exchanges[n].take_events():
            host.module_host.add_event(event)
        self.fleet._flush(host)

    def _schedule_tick(self, n):
        at = max(self.fleet.now, self.exchanges[n].next_at())
        if not self.fleet.now <= self.tick_due_at[n] <= at:
            self.tick_due_at[n] = at
            self.fleet._at(at, self._tick, n)

    def _tick(self, n):
        fleet, paused_until = self.fleet, self.fleet.hosts[n].paused_until
        if paused_until > fleet.now:
            self.tick_due_at[n] = paused_until
            fleet._at(paused_until, self._tick, n)
            return
        if self.exchanges[n].next_at() <= fleet.now:
            self._send(n, self.exchanges[n].tick(fleet.now))
            self._schedule_events(n)
        self.tick_due_at[n] = -1
        self._schedule_tick(n)

    # ---- measurements ----

    def worst_budget_excess(self):
        """(largest number of retries over the bound of a window, when, server)."""
        rows = zip(self.first_setups, self.retries, strict=True)
        return max((measure.worst_excess(f, r) + (s,) for s, (f, r) in enumerate(rows)), default=(0, 0, 0))

    def budget_fraction_used(self, server, since_us, until_us):
        """Retries as a fraction of what the bound allows, over a span."""
        return measure.budget_use(self.first_setups[server], self.retries[server], since_us, until_us)
