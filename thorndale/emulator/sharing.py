"""What the proxies of an emulated fleet tell each other: one Share a proxy, messages on links that lose, delay and cut.

`Sharing(fleet, links, rights, words)`; `links` are `Between`. A proxy that stands still hears and does nothing until it
goes on. Retries and first set-ups are counted at the servers, cut into the design's windows (`over`, `use`).
"""

from typing import NamedTuple

from thorndale import interface as io
from thorndale.fleet import wire
from thorndale.fleet.exchange import FleetExchange
from thorndale.spread import measure

WALL_S = 1_800_000_000


class Between(NamedTuple):
    """From `at_us` to `until_us`: messages from proxies `a` to proxies `b`, and back where `both`."""

    at_us: int
    until_us: int
    a: frozenset
    b: frozenset
    lose: float = 1.0
    delay_us: int = 0
    double: float = 0.0
    both: bool = True

    def meets(self, now, a, b):
        if not self.at_us <= now < self.until_us:
            return False
        return a in self.a and b in self.b or self.both and b in self.a and a in self.b


class Sharing:
    def __init__(self, fleet, links=(), rights=True, words=True):
        self.fleet, self.links, self.chance = fleet, links, fleet.chance
        self.names = [f"proxy{n}" for n in range(len(fleet.hosts))]
        servers = [f"box{s.number}" for s in fleet.servers]
        self.shares = [
            FleetExchange(
                self.names,
                n,
                servers,
                self.chance.getrandbits(64),
                0,
                self.chance.getrandbits(32),
                WALL_S << 16,
                rights,
                words,
            )
            for n in range(len(fleet.hosts))
        ]
        self.due = [0] * len(self.shares)
        self.sent = self.bytes = 0
        self.liars = {}  # proxy: what it makes of a message it sends
        self.firsts, self.retries = [[] for _ in servers], [[] for _ in servers]  # by server: when they came
        for n in range(len(self.shares)):
            self._arm(n)

    # ---- what a proxy does ----

    def odds_before(self, host, events):
        share = self.shares[host.number]
        for event in events:
            if type(event) is io.Servers:
                for entry in event.entries:
                    share.server_started(entry.server, entry.started_us // 1_000_000)
        return share.odds_before(events, self._module(host))

    def _module(self, host):
        return getattr(host.core, "module", host.core)

    def record_outcomes(self, host, odds_before):
        self.shares[host.number].record_outcomes(self.fleet.now, odds_before, self._module(host))
        self._arm(host.number)

    def record_seizure(self, host, action):
        self.shares[host.number].record_seizure(self.fleet.now, action.server, action.first)

    def request_lease(self, host, action):
        n = host.number
        self._send(n, self.shares[n].request_lease(self.fleet.now, action.call, action.server, action.resume_us))
        self._tell(n)
        self._arm(n)

    def arrived(self, server, first, retry):
        """At the server: a first set-up that the budget counts, a retry, or (a redial's first seizure) neither."""
        if first:
            self.firsts[server].append(self.fleet.now)
        elif retry:
            self.retries[server].append(self.fleet.now)

    # ---- messages ----

    def _send(self, n, out):
        fleet = self.fleet
        lie = self.liars.get(n)
        for to, datagram in lie(fleet.now, out) if lie else out:
            data = wire.encode(datagram)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            copies, wait = 1, int(1_000 + 4_000 * self.chance.random())
            for link in self.links:
                if link.meets(fleet.now, n, to):
                    copies = 0 if self.chance.random() < link.lose else copies + (self.chance.random() < link.double)
                    wait += link.delay_us
            for _ in range(copies):
                fleet._after(wait, self._arrive, n, to, data)

    def _arrive(self, sender, to, data):
        fleet = self.fleet
        until = fleet.hosts[to].until
        if until > fleet.now:
            fleet._at(until, self._arrive, sender, to, data)
            return
        self._send(to, self.shares[to].receive(fleet.now, wire.decode(data), sender))
        self._tell(to)
        self._arm(to)

    def _tell(self, n):
        if self.shares[n].has_events():
            self.fleet._after(0, self._told, n)

    def _told(self, n):
        host = self.fleet.hosts[n]
        if host.until > self.fleet.now:
            self.fleet._at(host.until, self._told, n)
            return
        for event in self.shares[n].take_events():
            host.door.add_event(event)
        self.fleet._flush(host)

    def _arm(self, n):
        at = max(self.fleet.now, self.shares[n].next_at())
        if not self.fleet.now <= self.due[n] <= at:
            self.due[n] = at
            self.fleet._at(at, self._tick, n)

    def _tick(self, n):
        fleet, until = self.fleet, self.fleet.hosts[n].until
        if until > fleet.now:
            self.due[n] = until
            fleet._at(until, self._tick, n)
            return
        if self.shares[n].next_at() <= fleet.now:
            self._send(n, self.shares[n].tick(fleet.now))
            self._tell(n)
        self.due[n] = -1
        self._arm(n)

    # ---- what is measured ----

    def over(self):
        """(most by which the retries of a window were over its bound, when, server)."""
        rows = zip(self.firsts, self.retries, strict=True)
        return max((measure.worst_excess(f, r) + (s,) for s, (f, r) in enumerate(rows)), default=(0, 0, 0))

    def use(self, server, since_us, until_us):
        """Retries beside what the bound allows, over a span."""
        return measure.budget_use(self.firsts[server], self.retries[server], since_us, until_us)
