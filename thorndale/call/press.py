"""Whether this proxy itself can take another call: refused early and cheaply where it can't.

The module decides about servers; it cannot know that the process it runs in is behind. What a loop that lags
answers late is worth nothing, so new calls are turned away first, by a response that leaves no state.
"""

KEEP_US = 500_000  # us for which a lag tells of the present: some timers' worth; longer, and one hiccup refuses many
BACK_PART = 0.5  # part of the limit below which calls are taken again: in between, the last verdict holds


class Press:
    """`limit_us`: lag of the loop from which on new calls are refused. `open_most`: calls and transactions."""

    __slots__ = ("limit_us", "open_most", "lag", "lag_at", "refusing", "refused")

    def __init__(self, limit_us, open_most):
        self.limit_us, self.open_most = limit_us, open_most
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
