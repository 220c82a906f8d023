"""Whether this proxy itself can take another call: refused early and cheaply where it can't.

The module decides about servers; it cannot know that the process it runs in is behind. What a loop that lags
answers late is worth nothing, so new calls are turned away first, by a response that leaves no transaction.

A datagram that is repeated must be refused again, in the same words (RFC 3261 section 8.2.7), even when there is room
by then: else one call gets two answers. So a number made of each refused request is kept for as long as it may repeat.
"""

KEEP_US = 500_000  # us for which a lag tells of the present: some timers' worth; longer, and one hiccup refuses many
BACK_PART = 0.5  # part of the limit below which calls are taken again: in between, the last verdict holds
KNOWN_MOST = 200_000  # refused requests kept in each half: at the bound the older half goes early, and a repeat of
# one of those may be taken for a new call


class Press:
    """`limit_us`: lag of the loop from which on new calls are refused. `open_most`: calls held at once. `repeat_us`:
    how long a request may repeat itself, 64 * T1."""

    __slots__ = (
        "limit_us",
        "open_most",
        "repeat_us",
        "lag",
        "lag_at",
        "refusing",
        "refused",
        "fresh",
        "older",
        "turned_at",
    )

    def __init__(self, limit_us, open_most, repeat_us):
        self.limit_us, self.open_most, self.repeat_us = limit_us, open_most, repeat_us
        self.fresh, self.older, self.turned_at = set(), set(), 0
        self.lag, self.lag_at, self.refusing, self.refused = 0, 0, False, 0

    def late(self, now, lag_us):
        """The loop came this late to something that was due. The worst counts until it is KEEP_US old."""
        if lag_us >= self.lag or now - self.lag_at > KEEP_US:
            self.lag, self.lag_at = lag_us, now

    def refuses(self, now, open_now):
        """Whether a new call is to be turned away at once."""
        if self.limit_us:
            lag = self.lag if now - self.lag_at <= KEEP_US else 0
            if lag >= self.limit_us:
                self.refusing = True
            elif lag < self.limit_us * BACK_PART:
                self.refusing = False
        if self.refusing or open_now >= self.open_most:
            self.refused += 1
            return True
        return False

    def remember(self, now, key):
        """This request, known by a number, was refused."""
        if now - self.turned_at >= self.repeat_us or len(self.fresh) >= KNOWN_MOST:
            self.fresh, self.older, self.turned_at = set(), self.fresh, now
        self.fresh.add(key)

    def knows(self, key):
        """Whether this very request was refused not long ago."""
        return key in self.fresh or key in self.older
