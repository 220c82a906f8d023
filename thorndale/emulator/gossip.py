"""Fleet membership in virtual time: `Net(n, link)`.

`link(now, a, b, draw)` returns the delay in us of each copy of a message that arrives, none if it is lost.
"""

import random
from heapq import heappop, heappush

from thorndale.fleet import wire
from thorndale.fleet.members import Members

S = 1_000_000
WALL_CLOCK_START_S = 1_800_000_000


def sound(now, a, b, draw):
    return [int(1_000 + 4_000 * draw())]


class Net:
    def __init__(self, n, link=sound, seed=1, spread_us=S):
        self.now, self.serial, self.heap, self.link = 0, 0, [], link
        self.rng = random.Random(seed)
        self.names = [f"proxy{k}" for k in range(n)]
        self.up, self.halted = [None] * n, [0] * n
        self.sent = self.bytes = self.most = 0
        self.said = []  # (now, who, member, what, why)
        for k in range(n):
            self._at(int(spread_us * self.rng.random()), self.start, k)

    def _at(self, at, callback, *values):
        self.serial += 1
        heappush(self.heap, (at, self.serial, callback, values))

    def start(self, k, wall=0):
        """Starts a process whose wall clock is `wall` seconds off."""
        incarnation = (WALL_CLOCK_START_S + self.now // S + wall) << 16
        self.up[k] = Members(self.names, k, self.rng.getrandbits(64), self.now, self.rng.getrandbits(32), incarnation)
        self._schedule_tick(k)

    def kill(self, k):
        self.up[k] = None

    def halt(self, k, us):
        self.halted[k] = self.now + us

    def _schedule_tick(self, k):
        self._at(max(self.now, self.up[k].next_at()), self._tick, k, self.up[k])

    def _tick(self, k, member):
        if self.up[k] is not member:
            return
        if self.halted[k] > self.now:
            self._at(self.halted[k], self._tick, k, member)
            return
        if member.next_at() <= self.now:
            self.send(k, member.tick(self.now))
        self._collect_changes(k)
        self._schedule_tick(k)

    def _collect_changes(self, k):
        self.said += [(at, k, member, what, why) for at, member, what, why in self.up[k].changes]
        self.up[k].changes.clear()

    def send(self, k, outgoing):
        for to, datagram in outgoing:
            data = wire.encode(datagram)
            self.sent, self.bytes, self.most = self.sent + 1, self.bytes + len(data), max(self.most, len(data))
            for wait in self.link(self.now, k, to, self.rng.random):
                self._at(self.now + wait, self._arrive, k, to, data)

    def _arrive(self, sender, to, data):
        if self.up[to] is None:
            return
        if self.halted[to] > self.now:
            self._at(self.halted[to], self._arrive, sender, to, data)
            return
        self.send(to, self.up[to].receive(self.now, wire.decode(data), sender))
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
            k: frozenset(m.alive()) for k, m in enumerate(self.up) if m is not None and (among is None or k in among)
        }

    def agreed(self, members, among=None):
        return set(self.views(among).values()) == {frozenset(members)}

    def until(self, done, most_us):
        """Runs until `done()`, checked every tenth of a second. Returns the seconds taken, or None after `most_us`."""
        began = self.now
        while self.now < began + most_us:
            self.run(self.now + S // 10)
            if done():
                return (self.now - began) / S
        return None
