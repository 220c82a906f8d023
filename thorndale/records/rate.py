"""Rates calls: pure and deterministic, the same records and tariffs give the same bytes.

A call is charged if its caller was answered with a 200. Even a call of zero duration is charged its first interval.
Each interval costs the price in force when it begins, so a call across midnight may be charged at two prices. Free
allowances and quotas are used up in the order in which calls ended, by wall time, then by proxy and sequence number. A
call in doubt (`answered` is 'doubt') costs nothing until `thorndale records settle` resolves it.
"""

import heapq
from collections import Counter
from decimal import Decimal
from typing import NamedTuple

from thorndale.records.record import DOUBT, YES

ZERO = Decimal(0)


class Charge(NamedTuple):
    """`amount`: None if the call could not be rated; `why` is the reason. `free`: how many `intervals` are free."""

    amount: object
    intervals: int
    free: int
    tariffs: tuple
    why: str


class Rater:
    def __init__(self, tariffs):
        self.tariffs = tariffs
        self.used = {}  # (entry, 'free' or 'quota', client, period): number used so far
        self.totals, self.counts = {}, Counter()

    def charge(self, record):
        """The Charge of one Record. Records must be passed in order, since allowances are used up."""
        found = self._charge(record)
        self.counts["rated" if found.amount is not None else "unrated"] += 1
        if record.answered == DOUBT:
            self.counts["in doubt"] += 1
        if found.amount is not None:
            key = (record.client, record.call_type)
            calls, intervals, amount = self.totals.get(key, (0, 0, ZERO))
            self.totals[key] = calls + 1, intervals + found.intervals, amount + found.amount
        return found

    def _charge(self, record):
        if record.answered != YES or not record.stood_us:
            return Charge(ZERO, 0, 0, (), "in doubt" if record.answered == DOUBT else "not answered")
        tariffs = self.tariffs
        if record.call_type not in tariffs.sheet.call_types:
            return Charge(None, 0, 0, (), f"call type {record.call_type!r} has no tariff")
        key = tariffs.key_of(record.call_type, record.client, record.number)
        if key is None:
            return Charge(None, 0, 0, (), "no tariff fits")
        interval_start_us = record.wall_us(record.stood_us)
        end_us = interval_start_us + record.answered_duration_us()
        rate_and_change = tariffs.at(key, interval_start_us)
        if rate_and_change is None:
            return Charge(None, 0, 0, (), "outside the tariffs' dates")
        rate, next_change_us = rate_and_change
        call_price, minimum = rate.per_call, rate.minimum
        beyond = (
            self._use_allowance(rate, "quota", record, interval_start_us, 1, 0)
            if rate.entry.quota and rate.entry.quota.calls
            else None
        )
        if beyond:
            call_price = rate.beyond[0]
        free_call = (
            self._use_allowance(rate, "free", record, interval_start_us, 1, 0)
            if rate.entry.free and rate.entry.free.calls
            else None
        )
        free_call = free_call == 0
        amount, intervals, free_intervals, tariff_names = ZERO if free_call else call_price, 0, 0, []
        while True:
            price_end_us = min(end_us, next_change_us)
            count = max(1, -(-(price_end_us - interval_start_us) // rate.interval_us))
            cost, free_here = self._intervals(rate, record, interval_start_us, count, free_call)
            amount += cost
            free_intervals += free_here
            intervals += count
            if rate.name not in tariff_names:
                tariff_names.append(rate.name)
            interval_start_us += count * rate.interval_us
            if interval_start_us >= end_us:
                break
            rate_and_change = tariffs.at(key, interval_start_us)
            if rate_and_change is None:
                return Charge(None, intervals, free_intervals, tuple(tariff_names), "runs past the tariffs' dates")
            rate, next_change_us = rate_and_change
        if not free_call and free_intervals < intervals:
            amount = max(amount, minimum)
        if tariffs.sheet.rounding.at == "call":
            amount = tariffs.rounded(amount)
        return Charge(amount, intervals, free_intervals, tuple(tariff_names), "")

    def _intervals(self, rate, record, start_us, count, free_call):
        """(cost of `count` intervals from `start_us` on, how many of them are free)."""
        if free_call:
            return ZERO, count
        entry, free_intervals = rate.entry, 0
        if entry.free is not None and entry.free.intervals:
            free_intervals = count - self._use_allowance(rate, "free", record, start_us, 0, count)
        charged, beyond_quota = count - free_intervals, 0
        if entry.quota is not None and entry.quota.intervals and charged:
            beyond_quota = self._use_allowance(rate, "quota", record, start_us, 0, charged)
        price_beyond = rate.beyond[1] if rate.beyond else rate.per_interval
        if entry.quota is not None and entry.quota.calls:
            beyond_quota = charged if self._over_calls(rate, record, start_us) else 0
        return (charged - beyond_quota) * rate.per_interval + beyond_quota * price_beyond, free_intervals

    def _over_calls(self, rate, record, start_us):
        allowance = rate.entry.quota
        return (
            self.used.get((rate.name, "quota", record.client, self.tariffs.period(allowance, start_us)), 0)
            > allowance.calls
        )

    def _use_allowance(self, rate, kind, record, start_us, calls, intervals):
        """Uses up an allowance; returns how many of the calls or intervals exceed it."""
        allowance = getattr(rate.entry, kind)
        key = (rate.name, kind, record.client, self.tariffs.period(allowance, start_us))
        used_before, limit, requested = (
            self.used.get(key, 0),
            allowance.calls or allowance.intervals,
            calls or intervals,
        )
        if kind == "quota" or used_before < limit:
            self.used[key] = used_before + requested
        return requested - min(requested, max(0, limit - used_before))

    def summed(self):
        """Rows (client, call type, calls, intervals, amount), sorted, rounded as the tariffs specify."""
        return [(*key, *values[:2], self.tariffs.rounded(values[2])) for key, values in sorted(self.totals.items())]


def ordered(streams):
    """Merges the Lines of several sources by the wall time at which calls ended. The order within a source is kept even
    if its clock was stepped: a later line counts as not earlier than the one before it."""

    def keyed(number, lines):
        latest = 0
        for line in lines:
            latest = max(latest, line.record.wall_us(line.record.ended_us))
            yield latest, line.proxy, line.chain, line.seq, number, line

    for item in heapq.merge(*(keyed(n, lines) for n, lines in enumerate(streams)), key=lambda item: item[:5]):
        yield item[-1]
