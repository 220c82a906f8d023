"""What befalls the messages of one link between two parties: a plan, pure. Time in whole microseconds from the day's
start, chance from a seed; `relay` carries it out on sockets.

A link has two directions, 'out' (from the proxy) and 'back'. `Line.carry(now, size)` tells at which moments a datagram
is delivered: none (lost), one, or two (doubled). `Line.held(now)` tells until when a stream's bytes are kept back: the
connection stays open and silent, as it does when a network loses everything between.
"""

from typing import Annotated

from msgspec import Meta, Struct

Part = Annotated[float, Meta(ge=0, le=1)]


class LinkPlan(Struct, forbid_unknown_fields=True):
    """From `at` for `seconds`: between these `proxies` (all where empty) and `to`, boxes or proxies. `way`: out, back
    or both. `lose` and `double` are parts of the datagrams; `delay_ms` is added to each, `jitter_ms` drawn on top, so
    that they overtake each other; `cut`: nothing passes, streams stay open and silent; `reset`: streams are reset and
    new ones refused; `bytes_per_s` bounds what passes."""

    at: float
    to: list[str]
    seconds: Annotated[float, Meta(gt=0)] = 1.0
    proxies: list[str] = []
    way: Annotated[str, Meta(pattern="^(out|back|both)$")] = "both"
    lose: Part = 0.0
    double: Part = 0.0
    delay_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    jitter_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    cut: bool = False
    reset: bool = False
    bytes_per_s: Annotated[int, Meta(ge=0)] = 0

    def joins(self, proxy, other):
        return other in self.to and (not self.proxies or proxy in self.proxies)

    def sides(self, a, b):
        """'out', 'back' or both, as it is for messages from a to b."""
        found = set()
        if self.joins(a, b) and self.way != "back":
            found.add("out")
        if self.joins(b, a) and self.way != "out":
            found.add("back")
        return found

    def lasts(self, now):
        return self.at * 1e6 <= now < (self.at + self.seconds) * 1e6


def overlaps(plans):
    """Pairs of places of plans that act on one direction of one link at one time with the same kind of fault: which of
    the two should hold could not be told."""

    def kinds(p):
        return {
            name
            for name in ("lose", "double", "delay_ms", "jitter_ms", "cut", "reset", "bytes_per_s")
            if getattr(p, name)
        }

    for n, a in enumerate(plans):
        for m in range(n):
            b = plans[m]
            ways = a.way == b.way or "both" in (a.way, b.way)
            met = set(a.to) & set(b.to) and (not a.proxies or not b.proxies or set(a.proxies) & set(b.proxies))
            if ways and met and kinds(a) & kinds(b) and a.at < b.at + b.seconds and b.at < a.at + a.seconds:
                yield m, n


class Line:
    """What passes from `a` to `b`. `plans` is looked at anew each time: a plan that is added later holds too."""

    def __init__(self, plans, a, b, chance):
        self.plans, self.ends = plans, (a, b)
        self.chance, self.free_at, self.last_at = chance, 0, 0

    def _lasting(self, now):
        return [plan for plan in self.plans if plan.lasts(now) and plan.sides(*self.ends)]

    def carry(self, now, size):
        """Moments of delivery of a datagram that comes now."""
        at, times = now, 1
        for plan in self._lasting(now):
            if plan.cut or plan.reset or (plan.lose and self.chance() < plan.lose):
                return []
            if plan.double and self.chance() < plan.double:
                times = 2
            at += (
                plan.delay_ms * 1000 + int(self.chance() * plan.jitter_ms * 1000)
                if plan.jitter_ms
                else plan.delay_ms * 1000
            )
            if plan.bytes_per_s:
                self.free_at = max(self.free_at, at) + size * 1_000_000 // plan.bytes_per_s
                at = self.free_at
        return [at] * times

    def stream(self, now, size):
        """When the next bytes of a stream are delivered, in their order; None: not before `heals`."""
        at = now
        for plan in self._lasting(now):
            if plan.cut:
                return None
            at += plan.delay_ms * 1000
            if plan.bytes_per_s:
                self.free_at = max(self.free_at, at) + size * 1_000_000 // plan.bytes_per_s
                at = self.free_at
        self.last_at = max(self.last_at, at)
        return self.last_at

    def heals(self, now):
        """When the cuts that last now are over."""
        return max([int((p.at + p.seconds) * 1e6) for p in self._lasting(now) if p.cut], default=now)

    def resets(self, now):
        return any(plan.reset for plan in self._lasting(now))
