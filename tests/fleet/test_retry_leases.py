"""Retry leases: with messages lost, duplicated or late and members stopped or restarted, the sum over all members stays
within its bound.

With one coordinator the bound is that of the retry budget: retries of a window against its first set-ups. While the fleet
is partitioned or views differ, several members grant leases, and each keeps the bound at its own last grant. Another's
first set-ups may have left the window since, as with the retry budgets of single proxies. So the sum is then checked
against the first set-ups of two windows.
"""

import random
from collections import deque

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from thorndale.fleet import retry_leases as module
from thorndale.fleet.retry_leases import LeaseLedger, RetryLeases
from thorndale.fleet.wire import CLOCK_STAMP, EARNED_UNITS, LEASE_REPLY, LEASE_REQUEST, Datagram, LeaseRow
from thorndale.spread import measure

S = 1_000_000
KINDS = {EARNED_UNITS: "units", CLOCK_STAMP: "stamp", LEASE_REQUEST: "want", LEASE_REPLY: "give"}


class World:
    """Members and one server, clocks that differ and drift, and a network that the test controls. A lease is used at once
    or, with `late`, at the last moment that its holder's clock allows; `firsts` and `retries` are in true time."""

    def __init__(self, members=3, seed=1, ages=False):
        self.now, self.n, self.seed = 100 * S, members, seed
        self.ids = [1000 + m for m in range(members)]
        self.clock_offset = [seed * 7919 * (m + 1) % (50 * S) for m in range(members)]
        self.in_flight, self.firsts, self.retries, self.serial = deque(), [], [], 0
        self.cut = set()  # (a, b): messages from a to b are lost
        self.present = [set(range(members)) for _ in range(members)]  # members that each considers present
        self.up, self.late = [], 0
        for m in range(members):
            self.up.append(None)
            self.start(m)
        if ages:
            self.pass_time(20 * S)  # past the time in which a new process does not grant the floor

    def clock(self, m):
        # Clocks drift apart by 0.2% at most.
        return self.now + self.clock_offset[m] + (self.now - 100 * S) * (m - 1) // 500

    def start(self, m):
        self.serial += 1
        self.up[m] = RetryLeases(
            self.ids,
            m,
            [77],
            self.seed + self.serial,
            self.clock(m),
            5000 + self.serial,
            lambda other, m=m: other in self.present[m],
        )

    def collect(self, m):
        core = self.up[m]
        for to, kind, about, number, rows in core.outbox:
            if (m, to) not in self.cut:
                self.in_flight.append(
                    (m, to, Datagram(2, kind, self.ids[m], core.boot_id, 0, number, about, rows=rows))
                )
        core.outbox = []
        for _, until in core.decisions:
            if until:
                left = until - self.clock(m)
                assert left >= 0
                self.retries.append(self.now + (left if self.late else 0) * 99 // 100)
        core.decisions = []

    def first(self, m, count):
        for _ in range(count):
            self.up[m].add_first_setup(self.clock(m), 0)
        self.firsts += [self.now] * count

    def request_lease(self, m, wait):
        now = self.clock(m)
        self.up[m].request_lease(now, 1, 0, now + wait)
        self.collect(m)

    def deliver(self, at=0, keep=False):
        if not self.in_flight:
            return
        at %= len(self.in_flight)
        a, b, datagram = self.in_flight[at]
        if not keep:
            del self.in_flight[at]
        self.up[b].receive(self.clock(b), datagram, a)
        self.collect(b)

    def pass_time(self, us):
        """Time passes and timers fire; messages in flight stay in flight."""
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + S // 10)
            for m in range(self.n):
                if self.up[m].next_at() <= self.clock(m):
                    self.up[m].tick(self.clock(m))
                    self.collect(m)

    def over(self, back_us=measure.WINDOW_US):
        return measure.worst_excess(sorted(self.firsts), sorted(self.retries), back_us)[0]

    def settle(self):
        """Delivers all messages."""
        for _ in range(10 * self.n):
            self.pass_time(S // 10)
            while self.in_flight:
                self.deliver()


def walk(seed, steps=120):
    """One random history; returns by how much the bound was exceeded."""
    draw = random.Random(seed)
    world = World(draw.choice((2, 3, 4)), seed, ages=draw.random() < 0.7)
    if draw.random() < 0.7:
        world.settle()
    world.late = draw.random() < 0.7
    for _ in range(steps):
        what, m = draw.random(), draw.randrange(world.n)
        if what < 0.2:
            world.first(m, draw.choice((1, 10, 30, 80)))
        elif what < 0.45:
            for _ in range(draw.choice((1, 1, 6))):
                world.request_lease(m, draw.choice((0, 0, 50_000, 600_000)))
        elif what < 0.7:
            world.deliver(draw.randrange(1000), draw.random() < 0.2)
        elif what < 0.73 and world.in_flight:
            del world.in_flight[draw.randrange(len(world.in_flight))]
        elif what < 0.9:
            world.pass_time(draw.choice((S // 100, S // 10, S // 2, S, 4 * S, 9 * S)))
        elif what < 0.93:
            world.cut ^= {(m, draw.randrange(world.n))}
        elif what < 0.96:
            world.present[m] ^= {draw.randrange(world.n)} - {m}
        elif what < 0.98:
            world.start(m)
        else:
            world.settle()
    return world.over()


def sound_walk(seed, steps=100):
    """One random history of a fleet whose messages arrive within half a second, in any order, some twice. Returns by how
    much the retry budget's own bound was exceeded, and the number of leases used."""
    draw = random.Random(seed)
    world = World(draw.choice((2, 3, 5)), seed, ages=True)
    world.settle()
    world.late = draw.random() < 0.7
    for _ in range(steps):
        what, m = draw.random(), draw.randrange(world.n)
        if what < 0.3:
            world.first(m, draw.choice((1, 10, 30, 80)))
        elif what < 0.6:
            for _ in range(draw.choice((1, 1, 6))):
                world.request_lease(m, draw.choice((0, 0, 50_000, 600_000)))
        else:
            for _ in range(draw.choice((1, 5, 30, 80))):
                world.pass_time(S // 10)
                while world.in_flight:
                    world.deliver(draw.randrange(1000), draw.random() < 0.3)
    return world.over(0), len(world.retries)


def test_no_random_history_exceeds_the_bound():
    worst = max((walk(seed), seed) for seed in range(200))
    assert worst[0] <= 0, worst


def test_with_one_coordinator_the_bound_is_that_of_the_retry_budget():
    found = [(*sound_walk(seed), seed) for seed in range(60)]
    assert max(found)[0] <= 0, max(found)
    assert sum(given for _, given, _ in found) > 1000


def also_kept(self, now, server, original=RetryLeases.add_first_setup):
    original(self, now, server)
    if self.unsent_units.get(server):
        self._ledger(server).add(now, now, self.own, 1)


def early_floor(self, now, server, lease, original=RetryLeases._grant):
    self.started_at -= 100 * S
    return original(self, now, server, lease)


ERRORS = {
    "floors for all": (RetryLeases, "owns_floor", lambda self, server: True),
    "units stay at the sender": (RetryLeases, "add_first_setup", also_kept),
    "grants forgotten early": (
        LeaseLedger,
        "expire",
        lambda self, now, original=LeaseLedger.expire: (
            original(self, now),
            self.grants.clear() if not self.units else None,
        ),
    ),
    "copies counted": (RetryLeases, "_is_new", lambda self, datagram, sender, place: datagram.about == self.boot_id),
    "units dated on arrival": (
        LeaseLedger,
        "add",
        lambda self, now, at, member, count, original=LeaseLedger.add: original(self, now, now, member, count),
    ),
    "floor at once after a start": (RetryLeases, "_grant", early_floor),
    "floor's worth not left": (
        LeaseLedger,
        "grant",
        lambda self, now, lease, own, floor, reserved, original=LeaseLedger.grant: original(
            self, now, lease, own, floor, 0
        ),
    ),
}


@pytest.mark.parametrize("name", ERRORS)
def test_a_planted_error_is_found(monkeypatch, name):
    monkeypatch.setattr(*ERRORS[name])
    assert any(walk(seed) > 0 or sound_walk(seed)[0] > 0 for seed in range(200)), name


class Histories(RuleBasedStateMachine):
    """The same world with sequences of steps from hypothesis."""

    @initialize(members=st.integers(2, 4), seed=st.integers(1, 999), ages=st.booleans(), late=st.booleans())
    def begin(self, members, seed, ages, late):
        self.world = World(members, seed, ages)
        self.world.late = late

    @rule(m=st.integers(0, 3), count=st.sampled_from((1, 9, 30, 100)))
    def first(self, m, count):
        self.world.first(m % self.world.n, count)

    @rule(m=st.integers(0, 3), wait=st.sampled_from((0, 100_000, 1_500_000)), times=st.integers(1, 8))
    def request_lease(self, m, wait, times):
        for _ in range(times):
            self.world.request_lease(m % self.world.n, wait)

    @precondition(lambda self: self.world.in_flight)
    @rule(at=st.integers(0, 50), keep=st.booleans())
    def deliver(self, at, keep):
        self.world.deliver(at, keep)

    @rule(us=st.sampled_from((S // 100, S // 2, 3 * S, 9_900_000)))
    def pass_time(self, us):
        self.world.pass_time(us)

    @rule(m=st.integers(0, 3))
    def start(self, m):
        self.world.start(m % self.world.n)

    @invariant()
    def kept(self):
        if hasattr(self, "world"):
            assert self.world.over() <= 0


TestHistories = Histories.TestCase
TestHistories.settings = limits(max_examples=60, stateful_step_count=30, deadline=None)


def test_every_order_of_a_few_steps():
    """All sequences of four of these steps from a fleet in service; messages are delivered, lost or duplicated."""
    steps = [
        lambda w: w.first(0, 30),
        lambda w: w.first(1, 40),
        lambda w: [w.request_lease(m, 600_000) for m in (0, 1, 0, 1)],
        lambda w: w.deliver(0),
        lambda w: w.deliver(0, keep=True),
        lambda w: w.in_flight and w.in_flight.popleft(),
        lambda w: w.pass_time(S // 2),
        lambda w: w.pass_time(8 * S),
        lambda w: w.start(0),
    ]
    found = 0
    for path in range(len(steps) ** 4):
        world = World(2, 3, ages=True)
        world.late, at = 1, path
        world.first(0, 40)
        world.first(1, 40)
        world.settle()
        for _ in range(4):
            steps[at % len(steps)](world)
            at //= len(steps)
        for m in (0, 1) * 5:
            world.request_lease(m, 0)
        while world.in_flight:
            world.deliver()
        assert world.over() <= 0, path
        found += len(world.retries)
    assert found > 5 * len(steps) ** 4  # leases are granted, not only refused


def test_the_bound_is_used_and_leases_go_to_where_retries_are():
    world = World(4, 5, ages=True)
    world.settle()
    for _ in range(400):
        for m in (0, 1, 3):
            world.first(m, 1)
        world.request_lease(1, 20_000)
        for _ in range(2):
            while world.in_flight:
                world.deliver()
            world.pass_time(S // 20)
    assert measure.budget_use(world.firsts, world.retries, world.now - 20 * S, world.now) > 0.85
    assert world.over(0) <= 0


def test_partitioned_members_use_their_own_units_and_only_the_owner_the_floor():
    world = World(3, 8, ages=True)
    world.cut = {(a, b) for a in range(3) for b in range(3)}
    owner = world.up[0].coordinator_order[0][0]
    for m in range(3):
        world.first(m, 60)
    world.pass_time(2 * S)
    for _ in range(8):
        for m in range(3):
            world.request_lease(m, 0)
    by = [sum(u.count["given"] for u in (world.up[m],)) for m in range(3)]
    assert by[owner] == 6 and sorted(by) == [3, 3, 6]  # the others leave the units that the floor is worth
    other = World(3, 8, ages=True)
    for m in range(3):
        for _ in range(5):
            other.request_lease(m, 0)
    other.settle()
    assert sum(u.count["given"] for u in other.up) == 3  # without first set-ups only the floor is granted, once


def test_a_faulty_member_at_most_doubles_the_bound_and_invalid_messages_are_counted():
    world = World(3, 4, ages=True)
    world.settle()
    coordinator = world.up[0].coordinator_order[0][0]
    core, faulty = world.up[coordinator], (coordinator + 1) % 3
    honest = 3 - coordinator - faulty
    world.first(honest, 100)
    world.pass_time(S)
    while world.in_flight:
        world.deliver()
    now, boot_id = world.clock(coordinator), world.up[faulty].boot_id
    for n in range(50):
        core.receive(
            now,
            Datagram(
                2,
                EARNED_UNITS,
                world.ids[faulty],
                boot_id,
                0,
                10_000 + n,
                core.boot_id,
                rows=[LeaseRow(77, now + 999 * S, 1000)],
            ),
            faulty,
        )
    for rows in ([LeaseRow(77, now, 5000)], [LeaseRow(12345, now, 5)]):  # too many units; unknown server
        core.receive(
            now,
            Datagram(2, EARNED_UNITS, world.ids[faulty], boot_id, 0, 30_000 - rows[0].b, core.boot_id, rows=rows),
            faulty,
        )
    core.receive(
        now,
        Datagram(2, LEASE_REQUEST, world.ids[faulty], boot_id, 0, 30_000, core.boot_id, rows=[LeaseRow(77, 99 * S, 0)]),
        faulty,
    )
    core.receive(now, Datagram(2, LEASE_REQUEST, world.ids[faulty], boot_id, 0, 30_001, core.boot_id), faulty)
    assert core.count["absurd"] == 4
    given = sum(core._grant(now, 0, 1000) for _ in range(100))
    assert 10 <= given <= 20


def test_state_is_released_once_it_has_expired():
    world = World(3, 2)
    world.first(0, 100)
    world.request_lease(1, 0)
    world.settle()
    world.pass_time(30 * S)
    assert all(not u.ledgers and not u.unsent_units and not u.pending for u in world.up)
    assert module.MAX_ROWS * 16 < 256
