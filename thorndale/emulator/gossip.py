"""Fleet membership in virtual time: `MembershipNetwork(n, link)`.

`link(now, a, b, draw)` returns the delay in us of each copy of a message that arrives, none if it is lost.
"""

import random
from heapq import heappop, heappush

from thorndale.fleet import wire
from thorndale.fleet.members import Members

S = 1_000_000
WALL_CLOCK_START_S = 1_800_000_000


def healthy_link(now, a, b, draw):
    return [int(1_000 + 4_000 * draw())]


class MembershipNetwork:
    def __init__(self, n, link=healthy_link, seed=1, spread_us=S):
        self.now, self.serial, self.heap, self.link = 0, 0, [], link
        self.rng = random.Random(seed)
        self.names = [f"proxy{k}" for k in range(n)]
        self.running, self.suspended_until = [None] * n, [0] * n
        self.sent = self.bytes = self.max_datagram_bytes = 0
        self.state_changes = []  # (now, who, member, what, why)
        for k in range(n):
            self._at(int(spread_us * self.rng.random()), self.start, k)

    def _at(self, at, callback, *values):
        self.serial += 1
        heappush(self.heap, (at, self.serial, callback, values))

    def start(self, k, wall=0):
        """Starts a process whose wall clock is `wall` seconds off."""
        incarnation = (WALL_CLOCK_START_S + self.now // S + wall) << 16
        self.running[k] = Members(
            self.names, k, self.rng.getrandbits(64), self.now, self.rng.getrandbits(32), incarnation
        )
        self._schedule_tick(k)

    def kill(self, k):
        self.running[k] = None

    def suspend(self, k, us):
        self.suspended_until[k] = self.now + us

    def _schedule_tick(self, k):
        self._at(max(self.now, self.running[k].next_at()), self._tick, k, self.running[k])

    def _tick(self, k, member):
        if self.running[k] is not member:
            return
        if self.suspended_until[k] > self.now:
            self._at(self.suspended_until[k], self._tick, k, member)
            return
        if member.next_at() <= self.now:
            self.send(k, member.tick(self.now))
        self._collect_changes(k)
        self._schedule_tick(k)

    def _collect_changes(self, k):
        self.state_changes += [(at, k, member, what, why) for at, member, what, why in self.running[k].changes]
        self.running[k].changes.clear()

    def send(self, k, outgoing):
        for to, datagram in outgoing:
            data = wire.encode(datagram)
            self.sent, self.bytes, self.max_datagram_bytes = (
                self.sent + 1,
                self.bytes + len(data),
                max(self.max_datagram_bytes, len(data)),
            )
            for wait in self.link(self.now, k, to, self.rng.random):
                self._at(self.now + wait, self._arrive, k, to, data)

    def _arrive(self, sender, to, data):
        if self.running[to] is None:
            return
        if self.suspended_until[to] > self.now:
            self._at(self.suspended_until[to], self._arrive, sender, to, data)
            return
        self.send(to, self.running[to].receive(self.now, wire.decode(data), sender))
        self._collect_changes(to)

    def run(self, until_us):
        while self.heap and self.heap[0][0] <= until_us:
            self.now, _, callback, values = heappop(self.heap)
            callback(*values)
        self.now = until_us
        return self

    def views(self, among=None):
        """{proxy: set of the members that it considers alive}."""
        return {
            k: frozenset(m.alive())
            for k, m in enumerate(self.running)
            if m is not None and (among is None or k in among)
        }

    def agreed(self, members, among=None):
        return set(self.views(among).values()) == {frozenset(members)}

    def run_until(self, done, most_us):
        """Runs until `done()`, checked every tenth of a second. Returns the seconds taken, or None after `most_us`."""
        began = self.now
        while self.now < began + most_us:
            self.run(self.now + S // 10)
            if done():
                return (self.now - began) / S
        return None
