"""Statistics of load balance from set-ups by server and second, and of retries relative to the budget's bound.

`rows` are lists of counts, one for each server, all of one length: set-ups in each second. `pools` are lists of indices
into `rows`; `capacities` are those of the servers, in any unit (None: all equal).

The statistics separate imbalance from random variation. With independent random draws in proportion to capacity, the
count of one server in a window of n calls of its pool has the variance n p (1 - p). `variance` is the mean squared
deviation relative to that: 1 for such draws, less for a more even distribution, more if calls cluster. `peak` is what
one server got in a second relative to its expected count, less the deviation that random draws would give to the
largest of so many cells: sqrt(2 ln cells) standard deviations.
"""

from math import log, sqrt
from typing import NamedTuple

from thorndale.policy import RETRY_FLOOR, RETRY_SHARE, SLOT_US, SLOTS

WINDOW_S = 10
WINDOW_US = SLOTS * SLOT_US  # the retry budget's window


class Balance(NamedTuple):
    """`variance`: relative to independent draws, over windows; `least`, `most`: count of a server in a window relative
    to its expected count; `idle`: (server, first second, seconds) of stretches in which a server got nothing although
    ten or more set-ups were expected; `peak`: the largest count in a second beyond random variation, relative to the
    expected count; `peak_at`: its (server, second)."""

    variance: float
    least: float
    most: float
    idle: list
    peak: float
    peak_at: tuple


def windows(row, seconds):
    """The counts in consecutive whole windows."""
    return [sum(row[start : start + seconds]) for start in range(0, len(row) - seconds + 1, seconds)]


def expected_shares(pool, capacities):
    """The share of the pool's calls that each of its servers should get; they add up to 1."""
    weights = [capacities[s] if capacities else 1.0 for s in pool]
    return [p / sum(weights) for p in weights]


def variance(rows, pools, capacities=None, window_s=WINDOW_S):
    """Mean squared deviation relative to independent draws, without pools of one server; 0 if there are no calls."""
    total = cells = 0
    for pool in pools:
        if len(pool) < 2:
            continue
        shares = expected_shares(pool, capacities)
        for counts in zip(*(windows(rows[s], window_s) for s in pool), strict=True):
            n = sum(counts)
            if n:
                total += sum((c - n * p) ** 2 / (n * p * (1 - p)) for c, p in zip(counts, shares, strict=True))
                cells += len(pool)
    return total / cells if cells else 0.0


def extremes(rows, pools, capacities=None, window_s=WINDOW_S):
    """(least, most) of any server in any window relative to its expected count."""
    ratios = [
        c / (sum(counts) * p)
        for pool in pools
        for counts in zip(*(windows(rows[s], window_s) for s in pool), strict=True)
        if sum(counts)
        for c, p in zip(counts, expected_shares(pool, capacities), strict=True)
    ]
    return (min(ratios), max(ratios)) if ratios else (1.0, 1.0)


def idle(rows, pools, capacities=None, min_expected=10.0):
    """(server, first second, seconds) of each stretch without a set-up in which `min_expected` or more were expected by
    the server's share of the pool: under random draws that has a probability of e to the minus `min_expected`."""
    stretches = []
    for pool in pools:
        shares, pool_counts = (
            expected_shares(pool, capacities),
            [sum(second) for second in zip(*(rows[s] for s in pool), strict=True)],
        )
        for s, share in zip(pool, shares, strict=True):
            first, missed = 0, 0.0
            for second, count in enumerate([*rows[s], 1]):
                if count:
                    if missed >= min_expected:
                        stretches.append((s, first, second - first))
                    first, missed = second + 1, 0.0
                elif second < len(pool_counts):
                    missed += pool_counts[second] * share
    return sorted(stretches)


def peak(rows, pools, capacities=None, from_s=0, until_s=None, among_s=0):
    """(count beyond random variation relative to the expected count, server, second) of the worst second: 1 is no more
    than expected. `among_s`: the seconds over which random variation is computed, if more than those examined."""
    cells = max(2, sum(len(pool) for pool in pools) * max(among_s, len(rows[0][from_s:until_s])))
    max_deviations, worst = sqrt(2 * log(cells)), (0.0, -1, -1)
    for pool in pools:
        shares = expected_shares(pool, capacities)
        for second in range(from_s, len(rows[0]) if until_s is None else until_s):
            counts = [rows[s][second] for s in pool]
            n = sum(counts)
            for s, count, share in zip(pool, counts, shares, strict=True):
                expected = n * share
                if expected > 0:
                    excess = (count - max_deviations * sqrt(expected * (1 - share))) / expected
                    worst = max(worst, (excess, s, second))
    return worst


def settled(rows, pools, capacities, from_s, tolerance, window_s=WINDOW_S):
    """Seconds from `from_s` until each server stays within `tolerance` of its expected count over every later window;
    None if it does not by the end. Besides `tolerance`, two standard deviations of independent draws are allowed, since
    a window has few calls."""
    settled_at = from_s
    for pool in pools:
        shares = expected_shares(pool, capacities)
        for start in range(from_s, len(rows[0]) - window_s + 1):
            counts = [sum(rows[s][start : start + window_s]) for s in pool]
            n = sum(counts)
            excess = (
                abs(c - n * p) - tolerance * n * p - 2 * sqrt(n * p * (1 - p))
                for c, p in zip(counts, shares, strict=True)
            )
            if max(excess) > 0:
                settled_at = max(settled_at, start + 1)
    return None if settled_at > len(rows[0]) - 2 * window_s else settled_at - from_s


def balance(rows, pools, capacities=None, window_s=WINDOW_S):
    """All the statistics of balance."""
    least, most = extremes(rows, pools, capacities, window_s)
    excess, server, second = peak(rows, pools, capacities)
    return Balance(
        variance(rows, pools, capacities, window_s),
        least,
        most,
        idle(rows, pools, capacities),
        excess,
        (server, second),
    )


def worst_excess(firsts, retries, back_us=0):
    """(largest excess of retries at one server over the budget's bound, when), over the 10 s windows that end at a
    retry, which are the windows that the budget itself checks. `firsts`, `retries`: us at which they came, oldest
    first; `back_us`: how much longer than the window first set-ups count."""
    worst, worst_at, firsts_end, firsts_start, retries_start = -RETRY_FLOOR, 0, 0, 0, 0
    for n, at in enumerate(retries):
        while firsts_end < len(firsts) and firsts[firsts_end] <= at:
            firsts_end += 1
        while firsts_start < firsts_end and firsts[firsts_start] <= at - WINDOW_US - back_us:
            firsts_start += 1
        while retries[retries_start] <= at - WINDOW_US:
            retries_start += 1
        excess = n - retries_start + 1 - max(RETRY_FLOOR, int(RETRY_SHARE * (firsts_end - firsts_start)))
        if excess > worst:
            worst, worst_at = excess, at
    return worst, worst_at


def budget_use(firsts, retries, since_us, until_us):
    """Retries in a span relative to what its first set-ups allow; None if there were no first set-ups."""
    allowed = RETRY_SHARE * sum(since_us <= at < until_us for at in firsts)
    return sum(since_us <= at < until_us for at in retries) / allowed if allowed else None
