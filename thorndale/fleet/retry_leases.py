"""Retry leases: the retry budget of one server, kept over the whole fleet. Units of budget are moved, never created.

Each proxy's own budget (10% of the first set-ups of 10 s, and at least 3 retries, the floor) does not bound the sum:
with hundreds of proxies the floors alone exceed it. Here the sum keeps that bound. A first set-up earns one unit at its
proxy; a retry uses ten units that were earned in the window. Each unit is held by one member at a time: its proxy sends
it to the server's lease coordinator and deletes its own copy, whether or not the message arrives. The coordinator
answers lease requests. Based on the escrow method (O'Neil 1986) and bounded counters (Balegas et al. 2015); the
coordinator is chosen by rendezvous hashing (Thaler and Ravishankar 1998).

Why the sum holds whatever messages are lost (in full in docs/fleet.md):
- a unit counts from a moment that is never after it was earned. The proxy converts that moment to the coordinator's
  clock with the last clock stamp received from there, which can only make the unit older;
- a lease counts from its grant until one window after the last moment at which it may be used. By the holder's clock a
  lease ends no later than by the coordinator's. Units count only if they are still in the window at that last moment;
- the floor belongs to one member, which the list alone determines. All others leave as many units unused as the floor
  is worth, so that max(3, a tenth) holds for the sum: the floor owner's max(3, a/10) and the others' (b - 30)/10
  together are at most max(3, (a+b)/10).

Usage: `RetryLeases(ids, own, servers, seed, now, boot_id, is_present)`; `add_first_setup(now, server)` for each first
set-up that is sent, `request_lease(now, call, server, resume)` for a retry, `receive(now, datagram, sender)`, and
`tick(now)` once `next_at()` has passed. The last three add to `outbox` [(member, kind, about, number, rows)] and to
`decisions` [(call, until)]: the last moment at which the retry may be sent, 0 if it may not. `is_present(member)` tells
whether a member counts as present. Times are integer microseconds of this process's clock.
"""

from collections import deque
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.fleet.wire import CLOCK_STAMP, EARNED_UNITS, LEASE_REPLY, LEASE_REQUEST, MAX_ROWS, LeaseRow
from thorndale.policy import RETRY_FLOOR, RETRY_SHARE, SLOT_US, SLOTS

WINDOW_US = SLOTS * SLOT_US  # of the retry budget
BUCKET_US = 250_000  # units are counted in buckets; rounding costs a fortieth of the window
LEASE_SLACK_US = 100_000  # by which a retry may be late: a busy core, the message's delay, clocks that drift by 1%
MAX_LEASE_US = 3_000_000  # from request to last use: the longest wait before a retry and a release
REPLY_TIMEOUT_US = 100_000  # many round trips, yet short compared with a retry's wait
REPORT_PERIOD_US = 500_000  # between two reports of earned units: a twentieth of the window
CLOCK_DRIFT_DIVISOR = 100  # two clocks may drift apart by 1/100 of a time
COORDINATOR_TIMEOUT_US = 1_000_000  # unanswered for longer, a coordinator is skipped and units are kept
CONTACT_RETRY_US = 2_000_000  # between two messages to an unreachable coordinator
MEMBER_MIN_UNITS = 50  # beyond, one member's units count up to all others': a faulty one at most doubles the sum
MAX_ROW_UNITS = 1000  # per row of a message: some thousand set-ups a second of one proxy


class LeaseLedger:
    """Units and grants of one server at one member: `units` by bucket and member; `grants`: until when each counts."""

    __slots__ = ("units", "grants", "last_use_at")

    def __init__(self):
        self.units, self.grants, self.last_use_at = {}, deque(), 0

    def add(self, now, at, member, count):
        """Adds `count` units that `member` earned at `at` or later."""
        bucket = min(at, now) // BUCKET_US
        if count > 0 and bucket * BUCKET_US > now - WINDOW_US:
            row = self.units.setdefault(bucket, {})
            row[member] = row.get(member, 0) + count

    def expire(self, now):
        for bucket in [bucket for bucket in self.units if bucket * BUCKET_US <= now - WINDOW_US]:
            del self.units[bucket]
        self.grants = deque(until for until in self.grants if until > now)

    def usable_units(self, last_moment, own):
        """Units still in the window at `last_moment`; the largest other member's are capped by all the rest."""
        by_member = {}
        for bucket, row in self.units.items():
            if bucket * BUCKET_US > last_moment - WINDOW_US:
                for member, count in row.items():
                    by_member[member] = by_member.get(member, 0) + count
        total = sum(by_member.values())
        largest_other = max((count for member, count in by_member.items() if member != own), default=0)
        return total - max(0, largest_other - max(MEMBER_MIN_UNITS, total - largest_other))

    def grant(self, now, lease, own, floor, reserved):
        """Grants one retry within `lease` us if the grants that count, this one included, are at most the larger of
        `floor` and a tenth of the usable units minus `reserved`."""
        self.expire(now)
        last_moment = max(self.last_use_at, now + lease)
        if len(self.grants) + 1 > max(floor, RETRY_SHARE * (self.usable_units(last_moment, own) - reserved)):
            return False
        self.last_use_at = last_moment
        self.grants.append(now + lease + WINDOW_US)
        return True

    def is_empty(self):
        return not self.units and not self.grants


class CoordinatorLink(NamedTuple):
    """State of the exchange with one coordinator: its process, the least lead of its clock over this one and when that
    was determined, when the oldest unanswered message was sent, and when it was last contacted while unreachable."""

    boot_id: int = 0
    clock_lead: int = 0
    updated_at: int = 0
    unanswered_since: int = 0
    last_contact_at: int = -CONTACT_RETRY_US


class PendingRequest(NamedTuple):
    call: int
    coordinator: int
    use_by: int  # last moment of use
    reply_by: int


class RetryLeases:
    def __init__(self, ids, own, servers, seed, now, boot_id, is_present):
        """`ids`: the members' wire ids; `servers`: the servers' wire ids by index; `is_present(member)`."""
        self.ids, self.own, self.boot_id, self.is_present, self.started_at = ids, own, boot_id, is_present, now
        self.servers, self.index = servers, {wire: n for n, wire in enumerate(servers)}

        def weight(server, member):
            return xxh64_intdigest(server.to_bytes(4, "big") + ids[member].to_bytes(4, "big"))

        self.coordinator_order = [sorted(range(len(ids)), key=lambda m, s=s: weight(s, m)) for s in servers]
        self.ledgers, self.unsent_units = {}, {}  # server: LeaseLedger; server: [(earned at, count)]
        # member: CoordinatorLink; member: (process, number of its last units, number of its last request)
        self.links, self.last_numbers = {}, {}
        self.pending, self.number = {}, seed & 0xFFFFFF
        self.first_number, self.report_at = self.number, now + int(REPORT_PERIOD_US * (seed >> 32 & 0xFFFF) / 65_536)
        self.outbox, self.decisions, self.name_conflict_at = [], [], now - 2 * WINDOW_US
        self.count = dict.fromkeys(("asked", "given", "refused", "unheard", "served", "turned", "absurd", "late"), 0)

    # ---- coordinators and floor owners ----

    def coordinator(self, now, server):
        """The member that grants leases for a server by this proxy's view: the first in its order that is present and
        answers. A silent one is skipped long before the membership declares it dead."""
        return next(
            (
                m
                for m in self.coordinator_order[server]
                if m == self.own or self.is_present(m) and not self._is_unanswered(now, m)
            ),
            self.own,
        )

    def owns_floor(self, server):
        """Whether the floor of a server belongs to this member: determined by the list alone, whoever is present."""
        return self.coordinator_order[server][0] == self.own

    def name_conflict(self, now):
        """Another process uses this proxy's name: for a while neither of the two uses the floor."""
        self.name_conflict_at = now

    def _ledger(self, server):
        return self.ledgers.setdefault(server, LeaseLedger())

    def _grant(self, now, server, lease):
        is_owner = self.owns_floor(server)
        # The previous process of this name, or another one with the same name, may have granted the floor already.
        floor_allowed = now - max(self.started_at, self.name_conflict_at) > WINDOW_US + MAX_LEASE_US
        floor, reserved = (
            (RETRY_FLOOR if is_owner and floor_allowed else 0),
            (0 if is_owner else int(RETRY_FLOOR / RETRY_SHARE)),
        )
        return self._ledger(server).grant(now, lease, self.own, floor, reserved)

    def _is_unanswered(self, now, member):
        link = self.links.get(member)
        return link is not None and 0 < link.unanswered_since < now - COORDINATOR_TIMEOUT_US

    def _is_unreachable(self, now, member):
        """Whether a coordinator does not answer, or has not answered yet: then earned units are kept here."""
        return member not in self.links or not self.links[member].boot_id or self._is_unanswered(now, member)

    # ---- this proxy's set-ups and retries ----

    def add_first_setup(self, now, server):
        coordinator = self.coordinator(now, server)
        if coordinator == self.own or self._is_unreachable(now, coordinator):
            self._ledger(server).add(now, now, self.own, 1)
        else:
            self.unsent_units.setdefault(server, []).append((now, 1))

    def request_lease(self, now, call, server, resume):
        until = max(now, resume) + LEASE_SLACK_US
        lease = until - now
        self.count["asked"] += 1
        if lease > MAX_LEASE_US:
            self._decide(call, 0)
            return
        coordinator = self.coordinator(now, server)
        # As the coordinator, or from units kept while the coordinator was unreachable.
        if server in self.ledgers and self._grant(now, server, lease):
            self._decide(call, until)
            return
        if coordinator == self.own or self._is_unreachable(now, coordinator):
            self._decide(call, until if self.owns_floor(server) and self._grant(now, server, lease) else 0)
            return
        self.number += 1
        self.pending[self.number] = PendingRequest(call, coordinator, until, now + REPLY_TIMEOUT_US)
        self._send(now, coordinator, LEASE_REQUEST, self.number, [LeaseRow(self.servers[server], lease, 0)])

    def _decide(self, call, until):
        self.count["given" if until else "refused"] += 1
        self.decisions.append((call, until))

    def _send(self, now, member, kind, number, rows):
        link = self.links.get(member, CoordinatorLink())
        if kind in (EARNED_UNITS, LEASE_REQUEST) and not link.unanswered_since:
            self.links[member] = link._replace(unanswered_since=now)
        self.outbox.append((member, kind, link.boot_id, number, rows))

    # ---- receiving ----

    def receive(self, now, datagram, sender):
        if datagram.kind == EARNED_UNITS:
            self._receive_units(now, datagram, sender)
        elif datagram.kind == CLOCK_STAMP:
            self._receive_clock(now, datagram, sender)
        elif datagram.kind == LEASE_REQUEST:
            self._receive_request(now, datagram, sender)
        elif datagram.kind == LEASE_REPLY:
            self._receive_reply(now, datagram, sender)

    def _is_new(self, datagram, sender, counter_index):
        """Whether the message is for this process and newer than the last from the sender's process; copies and old
        messages are ignored."""
        if datagram.about != self.boot_id:
            return False
        last = self.last_numbers.get(sender)
        if last is None or last[0] != datagram.boot_id:
            last = (datagram.boot_id, -1, -1)
        if datagram.number <= last[counter_index]:
            return False
        self.last_numbers[sender] = (*last[:counter_index], datagram.number, *last[counter_index + 1 :])
        return True

    def _receive_units(self, now, datagram, sender):
        if datagram.rows and not self._is_new(datagram, sender, 1):
            self.count["late"] += 1
        else:
            for row in datagram.rows:
                server = self.index.get(row.server)
                if server is None or row.b > MAX_ROW_UNITS:
                    self.count["absurd"] += 1
                else:
                    self._ledger(server).add(now, row.a, sender, row.b)
        self.outbox.append((sender, CLOCK_STAMP, datagram.boot_id, datagram.number, [LeaseRow(0, now, 0)]))

    def _receive_clock(self, now, datagram, sender):
        if (
            datagram.about != self.boot_id
            or not self.first_number < datagram.number <= self.number
            or len(datagram.rows) != 1
        ):
            return
        link, clock_lead = self.links.get(sender, CoordinatorLink()), datagram.rows[0].a - now
        if link.boot_id == datagram.boot_id:
            # Keeps the estimate from the fastest message.
            clock_lead = max(clock_lead, link.clock_lead - (now - link.updated_at) // CLOCK_DRIFT_DIVISOR)
        self.links[sender] = link._replace(
            boot_id=datagram.boot_id, clock_lead=clock_lead, updated_at=now, unanswered_since=0
        )

    def _receive_request(self, now, datagram, sender):
        row = datagram.rows[0] if len(datagram.rows) == 1 else None
        server = self.index.get(row.server) if row else None
        if server is None or not 0 < row.a <= MAX_LEASE_US:
            self.count["absurd"] += 1
            return
        if not self._is_new(datagram, sender, 2):
            self.count["late"] += 1
            return
        granted = self._grant(now, server, row.a)
        self.count["served" if granted else "turned"] += 1
        self.outbox.append(
            (sender, LEASE_REPLY, datagram.boot_id, datagram.number, [LeaseRow(row.server, int(granted), 0)])
        )

    def _receive_reply(self, now, datagram, sender):
        request = self.pending.get(datagram.number)
        if (
            request is None
            or datagram.about != self.boot_id
            or len(datagram.rows) != 1
            or sender != request.coordinator
        ):
            return
        del self.pending[datagram.number]
        link = self.links.get(sender)
        if link is not None:
            self.links[sender] = link._replace(unanswered_since=0)
        self._decide(request.call, request.use_by if datagram.rows[0].a else 0)

    # ---- timers ----

    def next_at(self):
        return min([self.report_at, *(request.reply_by for request in self.pending.values())])

    def tick(self, now):
        for number, request in [(n, a) for n, a in self.pending.items() if a.reply_by <= now]:
            del self.pending[number]
            self.count["unheard"] += 1
            self._decide(request.call, 0)
        if now < self.report_at:
            return
        self.report_at = now + REPORT_PERIOD_US
        rows_by_coordinator = {}
        for server, earned in self.unsent_units.items():
            coordinator = self.coordinator(now, server)
            if coordinator == self.own or self._is_unreachable(now, coordinator):
                for at, count in earned:
                    self._ledger(server).add(now, at, self.own, count)
            else:
                at = earned[0][0] + self.links[coordinator].clock_lead
                rows_by_coordinator.setdefault(coordinator, []).append(
                    LeaseRow(self.servers[server], max(0, at), min(MAX_ROW_UNITS, len(earned)))
                )
        self.unsent_units = {}
        for coordinator, rows in rows_by_coordinator.items():
            for n in range(0, len(rows), MAX_ROWS):
                self.number += 1
                self._send(now, coordinator, EARNED_UNITS, self.number, rows[n : n + MAX_ROWS])
        self._contact_silent_coordinators(now)
        for server in list(self.ledgers):
            self.ledgers[server].expire(now)
            if self.ledgers[server].is_empty():
                del self.ledgers[server]

    def _contact_silent_coordinators(self, now):
        """Requests a clock stamp now and then from coordinators that do not answer, including those skipped for it."""
        members = set()
        for server, order in enumerate(self.coordinator_order):
            coordinator = self.coordinator(now, server)
            members.update(m for m in order[: order.index(coordinator) + 1] if m != self.own and self.is_present(m))
        for member in sorted(members):
            link = self.links.get(member, CoordinatorLink())
            if self._is_unreachable(now, member) and now - link.last_contact_at >= CONTACT_RETRY_US:
                self.links[member] = link._replace(last_contact_at=now)
                self.number += 1
                self._send(now, member, EARNED_UNITS, self.number, [])

    def view(self):
        """For the log: leases that could be granted now by server index, and the counts."""
        held = {
            s: int(RETRY_SHARE * ledger.usable_units(ledger.last_use_at, self.own))
            for s, ledger in self.ledgers.items()
        }
        return {s: n for s, n in held.items() if n}, dict(self.count)
