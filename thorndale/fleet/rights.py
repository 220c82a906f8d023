"""Retries that the whole fleet may send to one server: rights that are moved, never made.

The design's budget (10% of the first set-ups of 10 s, and never less than 3) holds at each proxy by itself; the sum
over hundreds of floors is far over it. Here the same bound is kept by the sum. A first set-up earns one unit at its
proxy; a retry takes ten units that were earned in the window. Each unit stands at one member at a time: its proxy
sends it to the server's steward and has it no more, lost on the way or not. The steward answers those who ask. Built
on the escrow method (O'Neil 1986) and bounded counters (Balegas et al. 2015); who is steward goes by rendezvous
(Thaler and Ravishankar 1998).

Why the sum holds, whoever hears whom (docs/fleet.md has it in full):
- a unit is counted as of a moment that is surely not after it was earned: the proxy turns it into the steward's clock
  by the last stamp heard from there, which can only make it older;
- a grant counts from when it is given until a window after the last moment at which it may be used, a lease that ends
  by the holder's clock at the latest when the steward thinks so; units count only while they are still in the window
  then;
- the floor belongs to one member, named by the list alone. All others leave as many units unused as it is worth, so
  that max(3, a tenth) holds for the sum: keeper max(3, a/10) and others (b - 30)/10 at most are never over max(3,
  (a+b)/10).

How to call it: `Rights(ids, own, servers, seed, now)`; `first(now, server)` for each first set-up that goes out,
`ask(now, call, server, resume)` for a retry, `heard(now, gram, sender)`, `tick(now)` when `next_at()` has come. The
last three add to `out` [(member, kind, about, number, rows)], and to `told` [(call, until)]: until when the retry may
go, 0 for not at all. `there(member)` says whether a member is held to be there. Times are whole microseconds of this
process's clock.
"""

from collections import deque
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.fleet.wire import GIVE, ROWS_MOST, STAMP, UNITS, WANT, Row
from thorndale.policy import RETRY_FLOOR, RETRY_SHARE, SLOT_US, SLOTS

WINDOW_US = SLOTS * SLOT_US  # us, the design's window
STEP_US = 250_000  # us of the steps in which units are kept: a fortieth of the window is what rounding takes
SLACK_US = 100_000  # us past its moment at which a retry still goes: a busy core, the way, clocks that drift by 1%
LEASE_MOST_US = 3_000_000  # us from the asking to the last use at most: the design's longest wait and a release
ANSWER_US = 100_000  # us that an answer is waited for: many ways there and back, yet short beside a wait
REPORT_US = 500_000  # us between two sendings of what was earned: a twentieth of the window
DRIFT = 100  # part of a time, inverse, by which two clocks may differ over it
DEAF_US = 1_000_000  # us without an answer after which a proxy takes its steward for unheard and keeps what it earns
HELLO_US = 2_000_000  # us between two tries to be heard again
MEMBER_LEAST = 50  # units that a member may always add; beyond, no more than all others: a liar at most doubles
COUNT_MOST = 1000  # units in one row of a message: some thousand set-ups a second of one proxy


class Pool:
    """Units and grants of one server at one member. Units by step and member; `grants`: until when each counts."""

    __slots__ = ("units", "grants", "last_use")

    def __init__(self):
        self.units, self.grants, self.last_use = {}, deque(), 0

    def add(self, now, at, member, count):
        """`count` units earned by `member`, at `at` or later."""
        step = min(at, now) // STEP_US
        if count > 0 and step * STEP_US > now - WINDOW_US:
            row = self.units.setdefault(step, {})
            row[member] = row.get(member, 0) + count

    def expire(self, now):
        for step in [step for step in self.units if step * STEP_US <= now - WINDOW_US]:
            del self.units[step]
        self.grants = deque(until for until in self.grants if until > now)

    def worth(self, horizon, own):
        """Units that are in the window at `horizon` still, one member's bounded by the others'."""
        by = {}
        for step, row in self.units.items():
            if step * STEP_US > horizon - WINDOW_US:
                for member, count in row.items():
                    by[member] = by.get(member, 0) + count
        total = sum(by.values())
        other = max((count for member, count in by.items() if member != own), default=0)
        return total - max(0, other - max(MEMBER_LEAST, total - other))

    def take(self, now, lease, own, floor, left):
        """One grant, to be used within `lease`: if with it no more count than the larger of `floor` and a tenth of the
        units less those that are `left` unused."""
        self.expire(now)
        horizon = max(self.last_use, now + lease)
        if len(self.grants) + 1 > max(floor, RETRY_SHARE * (self.worth(horizon, own) - left)):
            return False
        self.last_use = horizon
        self.grants.append(now + lease + WINDOW_US)
        return True

    def empty(self):
        return not self.units and not self.grants


class Link(NamedTuple):
    """What is known of one steward: its process, by how much its clock was at least ahead of this one and when, when
    the oldest message without an answer went, when a hello last went."""

    born: int = 0
    ahead: int = 0
    at: int = 0
    unanswered: int = 0
    hello: int = -HELLO_US


class Asked(NamedTuple):
    call: int
    steward: int
    until: int  # last moment of use
    answer_by: int


class Rights:
    def __init__(self, ids, own, servers, seed, now, born, there):
        """`ids`: the members' numbers on the wire; `servers`: the servers', at their own index; `there(member)`."""
        self.ids, self.own, self.born, self.there, self.began = ids, own, born, there, now
        self.servers, self.index = servers, {wire: n for n, wire in enumerate(servers)}

        def drawn(server, member):
            return xxh64_intdigest(server.to_bytes(4, "big") + ids[member].to_bytes(4, "big"))

        self.order = [sorted(range(len(ids)), key=lambda m, s=s: drawn(s, m)) for s in servers]
        self.pools, self.unsent = {}, {}  # server: Pool; server: [(earned at, count)]
        self.links, self.heard_from = {}, {}  # member: Link; member: (born, last number of units, of a want)
        self.asked, self.number = {}, seed & 0xFFFFFF
        self.base, self.report_at = self.number, now + int(REPORT_US * (seed >> 32 & 0xFFFF) / 65_536)
        self.out, self.told, self.twice_at = [], [], now - 2 * WINDOW_US
        self.count = dict.fromkeys(("asked", "given", "refused", "unheard", "served", "turned", "absurd", "late"), 0)

    # ---- whose what is ----

    def steward(self, now, server):
        """Who hands out the rights to a server, as far as is known here: the first in its order who is there and
        answers; who is silent is passed over long before the members hold it dead."""
        return next(
            (m for m in self.order[server] if m == self.own or self.there(m) and not self._silent(now, m)), self.own
        )

    def keeps(self, server):
        """Whether the floor of a server belongs to this member: by the list alone, whoever is there."""
        return self.order[server][0] == self.own

    def named_twice(self, now):
        """Another process goes by this name: for a while none of the two has the floor."""
        self.twice_at = now

    def _pool(self, server):
        return self.pools.setdefault(server, Pool())

    def _take(self, now, server, lease):
        keeper = self.keeps(server)
        # A process that is new or not alone may have given the floor in a former life, or give it in another.
        sure = now - max(self.began, self.twice_at) > WINDOW_US + LEASE_MOST_US
        floor, left = (RETRY_FLOOR if keeper and sure else 0), (0 if keeper else int(RETRY_FLOOR / RETRY_SHARE))
        return self._pool(server).take(now, lease, self.own, floor, left)

    def _silent(self, now, member):
        link = self.links.get(member)
        return link is not None and 0 < link.unanswered < now - DEAF_US

    def _deaf(self, now, member):
        """Whether a steward is not heard, or not yet: then what is earned stays here."""
        return member not in self.links or not self.links[member].born or self._silent(now, member)

    # ---- what this proxy does ----

    def first(self, now, server):
        steward = self.steward(now, server)
        if steward == self.own or self._deaf(now, steward):
            self._pool(server).add(now, now, self.own, 1)
        else:
            self.unsent.setdefault(server, []).append((now, 1))

    def ask(self, now, call, server, resume):
        until = max(now, resume) + SLACK_US
        lease = until - now
        self.count["asked"] += 1
        if lease > LEASE_MOST_US:
            self._tell(call, 0)
            return
        steward = self.steward(now, server)
        if server in self.pools and self._take(now, server, lease):  # its own, or kept while nobody was heard
            self._tell(call, until)
            return
        if steward == self.own or self._deaf(now, steward):
            self._tell(call, until if self.keeps(server) and self._take(now, server, lease) else 0)
            return
        self.number += 1
        self.asked[self.number] = Asked(call, steward, until, now + ANSWER_US)
        self._send(now, steward, WANT, self.number, [Row(self.servers[server], lease, 0)])

    def _tell(self, call, until):
        self.count["given" if until else "refused"] += 1
        self.told.append((call, until))

    def _send(self, now, member, kind, number, rows):
        link = self.links.get(member, Link())
        if kind in (UNITS, WANT) and not link.unanswered:
            self.links[member] = link._replace(unanswered=now)
        self.out.append((member, kind, link.born, number, rows))

    # ---- what is heard ----

    def heard(self, now, gram, sender):
        if gram.kind == UNITS:
            self._units(now, gram, sender)
        elif gram.kind == STAMP:
            self._stamp(now, gram, sender)
        elif gram.kind == WANT:
            self._wanted(now, gram, sender)
        elif gram.kind == GIVE:
            self._given(now, gram, sender)

    def _fresh(self, gram, sender, place):
        """Whether this is the next word of the sender's process to this one: a copy or an old one is passed over."""
        if gram.about != self.born:
            return False
        seen = self.heard_from.get(sender)
        if seen is None or seen[0] != gram.born:
            seen = (gram.born, -1, -1)
        if gram.number <= seen[place]:
            return False
        self.heard_from[sender] = (*seen[:place], gram.number, *seen[place + 1 :])
        return True

    def _units(self, now, gram, sender):
        if gram.rows and not self._fresh(gram, sender, 1):
            self.count["late"] += 1
        else:
            for row in gram.rows:
                server = self.index.get(row.server)
                if server is None or row.b > COUNT_MOST:
                    self.count["absurd"] += 1
                else:
                    self._pool(server).add(now, row.a, sender, row.b)
        self.out.append((sender, STAMP, gram.born, gram.number, [Row(0, now, 0)]))

    def _stamp(self, now, gram, sender):
        if gram.about != self.born or not self.base < gram.number <= self.number or len(gram.rows) != 1:
            return
        link, ahead = self.links.get(sender, Link()), gram.rows[0].a - now
        if link.born == gram.born:
            ahead = max(ahead, link.ahead - (now - link.at) // DRIFT)  # the quickest way known
        self.links[sender] = link._replace(born=gram.born, ahead=ahead, at=now, unanswered=0)

    def _wanted(self, now, gram, sender):
        row = gram.rows[0] if len(gram.rows) == 1 else None
        server = self.index.get(row.server) if row else None
        if server is None or not 0 < row.a <= LEASE_MOST_US:
            self.count["absurd"] += 1
            return
        if not self._fresh(gram, sender, 2):
            self.count["late"] += 1
            return
        given = self._take(now, server, row.a)
        self.count["served" if given else "turned"] += 1
        self.out.append((sender, GIVE, gram.born, gram.number, [Row(row.server, int(given), 0)]))

    def _given(self, now, gram, sender):
        asked = self.asked.get(gram.number)
        if asked is None or gram.about != self.born or len(gram.rows) != 1 or sender != asked.steward:
            return
        del self.asked[gram.number]
        link = self.links.get(sender)
        if link is not None:
            self.links[sender] = link._replace(unanswered=0)
        self._tell(asked.call, asked.until if gram.rows[0].a else 0)

    # ---- what falls due ----

    def next_at(self):
        return min([self.report_at, *(asked.answer_by for asked in self.asked.values())])

    def tick(self, now):
        for number, asked in [(n, a) for n, a in self.asked.items() if a.answer_by <= now]:
            del self.asked[number]
            self.count["unheard"] += 1
            self._tell(asked.call, 0)
        if now < self.report_at:
            return
        self.report_at = now + REPORT_US
        by = {}
        for server, earned in self.unsent.items():
            steward = self.steward(now, server)
            if steward == self.own or self._deaf(now, steward):
                for at, count in earned:
                    self._pool(server).add(now, at, self.own, count)
            else:
                at = earned[0][0] + self.links[steward].ahead
                by.setdefault(steward, []).append(Row(self.servers[server], max(0, at), min(COUNT_MOST, len(earned))))
        self.unsent = {}
        for steward, rows in by.items():
            for n in range(0, len(rows), ROWS_MOST):
                self.number += 1
                self._send(now, steward, UNITS, self.number, rows[n : n + ROWS_MOST])
        self._hellos(now)
        for server in list(self.pools):
            self.pools[server].expire(now)
            if self.pools[server].empty():
                del self.pools[server]

    def _hellos(self, now):
        """Stewards that are not heard, and those passed over for that, are asked for a stamp now and then."""
        wanted = set()
        for server, order in enumerate(self.order):
            steward = self.steward(now, server)
            wanted.update(m for m in order[: order.index(steward) + 1] if m != self.own and self.there(m))
        for member in sorted(wanted):
            link = self.links.get(member, Link())
            if self._deaf(now, member) and now - link.hello >= HELLO_US:
                self.links[member] = link._replace(hello=now)
                self.number += 1
                self._send(now, member, UNITS, self.number, [])

    def view(self):
        """For the log: rights that could be given now by server index, and counts."""
        held = {s: int(RETRY_SHARE * p.worth(p.last_use, self.own)) for s, p in self.pools.items()}
        return {s: n for s, n in held.items() if n}, dict(self.count)
