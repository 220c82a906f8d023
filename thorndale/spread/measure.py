"""Figures of balance from set-ups by server and second; of retries beside the budget's bound.

`rows` are lists of counts, one a server, all of one length: set-ups in each second. `pools` are lists of indices into
`rows`; `parts` the capacity of each server beside the others of its pool, any unit (None: alike).

What is told apart from chance: under independent draws by `parts`, the count of one server in a window of n calls of
its pool has the variance n p (1 - p). `variance` is the mean square of what was seen beside that: 1 for such draws,
less for what is more even, more where calls run together. `peak` is what one server got in a second beside its part,
less what chance gives to the largest of so many draws, sqrt(2 ln cells) standard deviations.
"""

from math import log, sqrt
from typing import NamedTuple

from thorndale.policy import RETRY_FLOOR, RETRY_SHARE, SLOT_US, SLOTS

WINDOW_S = 10
WINDOW_US = SLOTS * SLOT_US  # us of the retry budget's window


class Balance(NamedTuple):
    """`variance`: beside independent draws, over windows; `least`, `most`: of a server in a window beside its part;
    `idle`: (server, first second, seconds) in which a server got nothing that by its part was due some ten or more;
    `peak`: the largest share of a second beyond chance, beside its part, and (server, second) of it."""

    variance: float
    least: float
    most: float
    idle: list
    peak: float
    peak_at: tuple


def windows(row, seconds):
    """The counts of whole windows."""
    return [sum(row[at : at + seconds]) for at in range(0, len(row) - seconds + 1, seconds)]


def parts_of(pool, parts):
    """The part of each server of the pool, adding up to 1."""
    own = [parts[s] if parts else 1.0 for s in pool]
    return [p / sum(own) for p in own]


def variance(rows, pools, parts=None, window_s=WINDOW_S):
    """Mean square beside independent draws, pools of one server left out; 0 where there is nothing to tell."""
    total = cells = 0
    for pool in pools:
        if len(pool) < 2:
            continue
        own = parts_of(pool, parts)
        for counts in zip(*(windows(rows[s], window_s) for s in pool), strict=True):
            n = sum(counts)
            if n:
                total += sum((c - n * p) ** 2 / (n * p * (1 - p)) for c, p in zip(counts, own, strict=True))
                cells += len(pool)
    return total / cells if cells else 0.0


def extremes(rows, pools, parts=None, window_s=WINDOW_S):
    """(least, most) of any server in any window beside its part of the pool's calls."""
    found = [
        c / (sum(counts) * p)
        for pool in pools
        for counts in zip(*(windows(rows[s], window_s) for s in pool), strict=True)
        if sum(counts)
        for c, p in zip(counts, parts_of(pool, parts), strict=True)
    ]
    return (min(found), max(found)) if found else (1.0, 1.0)


def idle(rows, pools, parts=None, due=10.0):
    """(server, first second, seconds) of each stretch without a set-up in which its part of the pool's set-ups came to
    `due` or more: an even draw leaves one so with a chance of e to the minus `due`."""
    found = []
    for pool in pools:
        own, all_ = parts_of(pool, parts), [sum(second) for second in zip(*(rows[s] for s in pool), strict=True)]
        for s, part in zip(pool, own, strict=True):
            first, missed = 0, 0.0
            for second, count in enumerate([*rows[s], 1]):
                if count:
                    if missed >= due:
                        found.append((s, first, second - first))
                    first, missed = second + 1, 0.0
                elif second < len(all_):
                    missed += all_[second] * part
    return sorted(found)


def peak(rows, pools, parts=None, from_s=0, until_s=None, among_s=0):
    """(share beyond chance beside its part, server, second) of the worst second: 1 is no more than its part. `among_s`:
    the seconds that chance is reckoned over, where they are more than those looked at."""
    cells = max(2, sum(len(pool) for pool in pools) * max(among_s, len(rows[0][from_s:until_s])))
    chance, worst = sqrt(2 * log(cells)), (0.0, -1, -1)
    for pool in pools:
        own = parts_of(pool, parts)
        for second in range(from_s, len(rows[0]) if until_s is None else until_s):
            counts = [rows[s][second] for s in pool]
            n = sum(counts)
            for s, count, part in zip(pool, counts, own, strict=True):
                due = n * part
                if due > 0:
                    beyond = (count - chance * sqrt(due * (1 - part))) / due
                    worst = max(worst, (beyond, s, second))
    return worst


def settled(rows, pools, parts, from_s, within, window_s=WINDOW_S):
    """Seconds from `from_s` until each server has its part within the share `within` over a window, for good; None: not
    by the end. Beyond `within`, two standard deviations of independent draws are allowed for the window's few calls."""
    last = from_s
    for pool in pools:
        own = parts_of(pool, parts)
        for at in range(from_s, len(rows[0]) - window_s + 1):
            counts = [sum(rows[s][at : at + window_s]) for s in pool]
            n = sum(counts)
            off = (
                abs(c - n * p) - within * n * p - 2 * sqrt(n * p * (1 - p)) for c, p in zip(counts, own, strict=True)
            )
            if max(off) > 0:
                last = max(last, at + 1)
    return None if last > len(rows[0]) - 2 * window_s else last - from_s


def balance(rows, pools, parts=None, window_s=WINDOW_S):
    """All of it as a Balance."""
    least, most = extremes(rows, pools, parts, window_s)
    beyond, server, second = peak(rows, pools, parts)
    return Balance(
        variance(rows, pools, parts, window_s), least, most, idle(rows, pools, parts), beyond, (server, second)
    )


def over(firsts, retries, back_us=0):
    """(most by which retries at one server were over the design's bound, when): of the windows of 10 s that end as a
    retry comes, as the budget itself looks at them. `firsts`, `retries`: us at which they came, oldest first;
    `back_us`: by how much longer first set-ups count."""
    worst, when, f, g, r = -RETRY_FLOOR, 0, 0, 0, 0
    for n, at in enumerate(retries):
        while f < len(firsts) and firsts[f] <= at:
            f += 1
        while g < f and firsts[g] <= at - WINDOW_US - back_us:
            g += 1
        while retries[r] <= at - WINDOW_US:
            r += 1
        found = n - r + 1 - max(RETRY_FLOOR, int(RETRY_SHARE * (f - g)))
        if found > worst:
            worst, when = found, at
    return worst, when


def use(firsts, retries, since_us, until_us):
    """Retries of a span beside what its first set-ups allow; None where there were none."""
    earned = RETRY_SHARE * sum(since_us <= at < until_us for at in firsts)
    return sum(since_us <= at < until_us for at in retries) / earned if earned else None
