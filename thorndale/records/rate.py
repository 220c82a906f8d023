"""What each call costs: pure, and the same bytes for the same records and tariffs.

A call is charged if its caller was answered with a 200. It has begun its first interval even if it stood for no time;
each interval costs what the tariff says at the moment when it begins, so a call over midnight pays both prices. Free
shares and quotas are used up in the order in which calls ended, by wall time, then by proxy and sequence number. A
call in doubt (`answered` 'doubt') costs nothing until `thorndale records settle` says what became of it.
"""

import heapq
from collections import Counter
from decimal import Decimal
from typing import NamedTuple

from thorndale.records.record import DOUBT, YES

ZERO = Decimal(0)


class Charge(NamedTuple):
    """`amount` None: could not be rated, `why` tells. `intervals` begun, of which `free` cost nothing."""

    amount: object
    intervals: int
    free: int
    tariffs: tuple
    why: str


class Rater:
    def __init__(self, tariffs):
        self.tariffs = tariffs
        self.used = {}  # (entry, 'free' or 'quota', client, period): used so far
        self.totals, self.counts = {}, Counter()

    def charge(self, record):
        """The Charge of one Record; calls must come in their order, since shares are used up."""
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
        at = record.wall_us(record.stood_us)
        end = at + record.stood_for()
        found = tariffs.at(key, at)
        if found is None:
            return Charge(None, 0, 0, (), "outside the tariffs' dates")
        rate, change = found
        call_price, minimum = rate.per_call, rate.minimum
        beyond = self._take(rate, "quota", record, at, 1, 0) if rate.entry.quota and rate.entry.quota.calls else None
        if beyond:
            call_price = rate.beyond[0]
        gift = self._take(rate, "free", record, at, 1, 0) if rate.entry.free and rate.entry.free.calls else None
        gift = gift == 0
        amount, intervals, free, names = ZERO if gift else call_price, 0, 0, []
        while True:
            stop = min(end, change)
            count = max(1, -(-(stop - at) // rate.interval_us))
            cost, spared = self._intervals(rate, record, at, count, gift)
            amount += cost
            free += spared
            intervals += count
            if rate.name not in names:
                names.append(rate.name)
            at += count * rate.interval_us
            if at >= end:
                break
            found = tariffs.at(key, at)
            if found is None:
                return Charge(None, intervals, free, tuple(names), "runs past the tariffs' dates")
            rate, change = found
        if not gift and free < intervals:
            amount = max(amount, minimum)
        if tariffs.sheet.rounding.at == "call":
            amount = tariffs.rounded(amount)
        return Charge(amount, intervals, free, tuple(names), "")

    def _intervals(self, rate, record, at, count, gift):
        """(what `count` intervals cost that begin from `at` on, how many of them were free)."""
        if gift:
            return ZERO, count
        entry, free = rate.entry, 0
        if entry.free is not None and entry.free.intervals:
            free = count - self._take(rate, "free", record, at, 0, count)
        paid, over = count - free, 0
        if entry.quota is not None and entry.quota.intervals and paid:
            over = self._take(rate, "quota", record, at, 0, paid)
        dear = rate.beyond[1] if rate.beyond else rate.per_interval
        if entry.quota is not None and entry.quota.calls:
            over = paid if self._over_calls(rate, record, at) else 0
        return (paid - over) * rate.per_interval + over * dear, free

    def _over_calls(self, rate, record, at):
        share = rate.entry.quota
        return self.used.get((rate.name, "quota", record.client, self.tariffs.period(share, at)), 0) > share.calls

    def _take(self, rate, what, record, at, calls, intervals):
        """Uses up a share; gives how many of the calls or intervals find it used up."""
        share = getattr(rate.entry, what)
        key = (rate.name, what, record.client, self.tariffs.period(share, at))
        before, most, wanted = self.used.get(key, 0), share.calls or share.intervals, calls or intervals
        if what == "quota" or before < most:
            self.used[key] = before + wanted
        return wanted - min(wanted, max(0, most - before))

    def summed(self):
        """Rows (client, call type, calls, intervals, amount), sorted, rounded as stated."""
        return [(*key, *values[:2], self.tariffs.rounded(values[2])) for key, values in sorted(self.totals.items())]


def ordered(streams):
    """Lines of several sources, each an iterable in its own order, merged by the wall time of their ends. Within a
    source the order stays, whatever a stepping clock wrote: what comes later counts as not before."""

    def keyed(number, lines):
        latest = 0
        for line in lines:
            latest = max(latest, line.record.wall_us(line.record.ended_us))
            yield latest, line.proxy, line.chain, line.seq, number, line

    for item in heapq.merge(*(keyed(n, lines) for n, lines in enumerate(streams)), key=lambda item: item[:5]):
        yield item[-1]
