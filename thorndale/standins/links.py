"""Planned faults of the link between two parties, without I/O. Times are whole microseconds from the start of the day,
random draws come from a seed; `relay` applies the plan to sockets.

A link has two directions, 'out' (from the proxy) and 'back'. `LinkDirection.carry(now, size)` returns the delivery
times of a datagram: none (lost), one, or two (duplicated). `LinkDirection.stream(now, size)` returns when bytes of a
stream are delivered, or None during a cut: the connection stays open without traffic, as if all packets are lost.
"""

from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]


class LinkPlan(Struct, forbid_unknown_fields=True):
    """From `at` for `seconds`, between these `proxies` (all if empty) and `to`, servers or proxies. `way`: the affected
    direction, out, back or both. `lose` and `double` are shares of the datagrams; `delay_ms` is added to each, and a
    random part of `jitter_ms`, which reorders them; `cut`: nothing passes, streams stay open; `reset`: streams are
    reset and new ones refused; `bytes_per_s` limits the bandwidth."""

    at: float
    to: list[str]
    seconds: Annotated[float, Meta(gt=0)] = 1.0
    proxies: list[str] = []
    way: Annotated[str, Meta(pattern="^(out|back|both)$")] = "both"
    lose: Share = 0.0
    double: Share = 0.0
    delay_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    jitter_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    cut: bool = False
    reset: bool = False
    bytes_per_s: Annotated[int, Meta(ge=0)] = 0

    def applies_to(self, proxy, other):
        return other in self.to and (not self.proxies or proxy in self.proxies)

    def directions_of(self, a, b):
        """The directions, 'out', 'back' or both, in which this plan affects messages from a to b."""
        directions = set()
        if self.applies_to(a, b) and self.way != "back":
            directions.add("out")
        if self.applies_to(b, a) and self.way != "out":
            directions.add("back")
        return directions

    def active_at(self, now):
        return self.at * 1e6 <= now < (self.at + self.seconds) * 1e6


def overlaps(plans):
    """Index pairs of conflicting plans: the same kind of fault on one direction of one link at one time."""

    def kinds(plan):
        return {
            name
            for name in ("lose", "double", "delay_ms", "jitter_ms", "cut", "reset", "bytes_per_s")
            if getattr(plan, name)
        }

    for n, a in enumerate(plans):
        for m in range(n):
            b = plans[m]
            same_direction = a.way == b.way or "both" in (a.way, b.way)
            same_parties = set(a.to) & set(b.to) and (not a.proxies or not b.proxies or set(a.proxies) & set(b.proxies))
            if (
                same_direction
                and same_parties
                and kinds(a) & kinds(b)
                and a.at < b.at + b.seconds
                and b.at < a.at + a.seconds
            ):
                yield m, n


class LinkDirection:
    """Messages from `a` to `b`. `plans` is read on each call, so that plans may be added later."""

    def __init__(self, plans, a, b, random):
        self.plans, self.ends = plans, (a, b)
        self.random, self.free_at, self.last_at = random, 0, 0

    def _active_plans(self, now):
        return [plan for plan in self.plans if plan.active_at(now) and plan.directions_of(*self.ends)]

    def carry(self, now, size):
        """The delivery times of a datagram that arrives now."""
        at, copies = now, 1
        for plan in self._active_plans(now):
            if plan.cut or plan.reset or (plan.lose and self.random() < plan.lose):
                return []
            if plan.double and self.random() < plan.double:
                copies = 2
            at += (
                plan.delay_ms * 1000 + int(self.random() * plan.jitter_ms * 1000)
                if plan.jitter_ms
                else plan.delay_ms * 1000
            )
            if plan.bytes_per_s:
                self.free_at = max(self.free_at, at) + size * 1_000_000 // plan.bytes_per_s
                at = self.free_at
        return [at] * copies

    def stream(self, now, size):
        """The delivery time of the next bytes of a stream, in order; None during a cut, which ends at `cut_until`."""
        at = now
        for plan in self._active_plans(now):
            if plan.cut:
                return None
            at += plan.delay_ms * 1000
            if plan.bytes_per_s:
                self.free_at = max(self.free_at, at) + size * 1_000_000 // plan.bytes_per_s
                at = self.free_at
        self.last_at = max(self.last_at, at)
        return self.last_at

    def cut_until(self, now):
        """The end of the cuts that are active now."""
        return max([int((plan.at + plan.seconds) * 1e6) for plan in self._active_plans(now) if plan.cut], default=now)

    def resets(self, now):
        return any(plan.reset for plan in self._active_plans(now))
