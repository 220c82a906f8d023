"""Generates first attempts at the rate of a day, and counts their outcomes by call type and second."""

import asyncio
from collections import Counter

from thorndale.net.clock import now_us
from thorndale.standins.callers import CallerType, CallIntent


def caller_types(day):
    return [
        CallerType(
            plan.name,
            plan.prefix,
            plan.part,
            plan.setup_target_ms * 1000,
            plan.guard_ms * 1000,
            plan.patience_s,
            plan.hold_ms * 1000,
            plan.revenue,
        )
        for plan in day.types
    ]


def seeded_random(seed):
    """Returns a generator function of random floats in [0, 1): the high bits of a linear congruential generator."""
    state = [seed & (1 << 64) - 1]

    def random():
        state[0] = (state[0] * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (state[0] >> 40) / (1 << 24)

    return random


def cumulative_shares(day):
    """The cumulative shares of the calls by proxy: equal shares, or with `uneven` some several times as large."""
    random = seeded_random(day.seed ^ 0x5DEECE66D)
    entrances = day.proxies // day.hops  # callers reach only the first hop
    weights = [(0.2, 0.5, 0.5, 1.0, 1.0, 1.0, 3.0)[int(random() * 7)] if day.uneven else 1.0 for _ in range(entrances)]
    total, shares = 0.0, []
    for weight in weights:
        total += weight / sum(weights)
        shares.append(total)
    return shares


class CallStatistics:
    """Aggregates the reports of callers: counts by (call type, event) and by second, and set-up times in us."""

    def __init__(self, day, kinds):
        self.day, self.kinds, self.began = day, kinds, 0
        self.count, self.per_second, self.setup_times_us = Counter(), {}, []

    def __call__(self, now, event, attempt):
        name = self.day.types[attempt.intent.kind].name
        row = self.per_second.setdefault((now - self.began) // 1_000_000, Counter())
        key = "redials" if event == "offered" and attempt.redial_count else event
        self.count[(name, key)] += 1
        row[key] += 1
        if event == "stood":
            self.setup_times_us.append(now - attempt.sent_at)
            if now - attempt.intent.first_at <= self.kinds[attempt.intent.kind].target_us:
                self.count[(name, "in time")] += 1


class Traffic:
    """`run(began)` generates the calls of the day, or the first `calls` of them; instance `index` of `count` generates
    its share. `factor` (of the rate) and `only` (proxies that get `only_part` of the calls) may change meanwhile."""

    def __init__(self, day, callers, random, calls=0, index=0, count=1):
        self.day, self.callers, self.random, self.calls = day, callers, random, calls
        self.index, self.count = index, count
        self.factor, self.only, self.only_part = 1.0, [], 0.0
        self.cumulative_shares, self.seconds = cumulative_shares(day), 0.0

    def _proxy(self):
        if self.only and self.random() < self.only_part:
            return self.only[int(self.random() * len(self.only))]
        position, low, high = self.random(), 0, len(self.cumulative_shares) - 1
        while low < high:
            middle = (low + high) // 2
            low, high = (middle + 1, high) if self.cumulative_shares[middle] < position else (low, middle)
        return low

    async def run(self, began):
        day, random, callers = self.day, self.random, self.callers
        groups = list(dict.fromkeys(plan.trunk_group for plan in day.boxes))
        serial, at = self.index, began
        end = began + int(day.seconds * 1e6)
        while (serial < self.calls) if self.calls else (at < end):
            now = now_us()
            while at <= now:
                kind, remainder = 0, random()
                while kind < len(day.types) - 1 and remainder >= day.types[kind].part:
                    remainder -= day.types[kind].part
                    kind += 1
                group = int(random() * len(groups))
                tail = "00" if random() < day.busy_part else f"{1 + int(random() * 99):02d}"
                number = f"{day.types[kind].prefix}{group}{int(random() * 1e5):05d}{tail}"
                caller = f"+22177{serial % 10_000_000:07d}"
                transport = "tcp" if random() < day.tcp_part else "udp"
                callers.place_call(now, CallIntent(serial, kind, caller, number, now), self._proxy(), transport)
                serial += self.count
                at += int(1e6 * 2 * random() * self.count / (day.rate * self.factor)) + 1
                if self.calls and serial >= self.calls:
                    break
            callers.arm()
            await asyncio.sleep(max(0.001, (at - now_us()) / 1e6))
        self.seconds = (now_us() - began) / 1e6

    def quiet(self):
        return not any(attempt.state in ("ringing", "cancelling") for attempt in self.callers.attempts)
