"""Shutdown schedule of a proxy after SIGTERM (the platform's PROTOCOL, 'Figures').

Callers keep sending set-ups for 0.6 s after SIGTERM. A set-up that arrives later than 0.7 s after it must be answered
before the kill, which may follow as soon as the longest deadline (counted as 3 s at most) plus 0.7 s have passed. There
are three phases: set-ups are accepted, with their time limited to the time left; then set-ups are refused at once,
which costs the caller nothing, and connections on which nothing is due are closed; finally every open set-up is failed
and the process ends. Established calls are not tied to a connection or a process: their callers report them to the next
one. No I/O; times are in microseconds.
"""

SETUP_GRACE_US = 700_000  # after SIGTERM; an earlier set-up may be unanswered at the kill without counting as a failure
MAX_DEADLINE_US = 3_000_000  # longer deadlines count as this
EXIT_LEAD_US = 250_000  # the process begins to end this long before the earliest kill
NEW_CONNECTION_GRACE_US = 100_000  # the first set-up of a new, silent connection may still be on its way


class Shutdown:
    """The schedule of one shutdown that begins at `signal_at`; `longest_us` is the longest deadline of a call type."""

    def __init__(self, signal_at, longest_us):
        earliest_kill = signal_at + min(longest_us, MAX_DEADLINE_US) + SETUP_GRACE_US
        self.ends_at = earliest_kill - EXIT_LEAD_US
        self.refuses_at = min(signal_at + SETUP_GRACE_US, self.ends_at)

    def accepts_setups(self, now):
        """Whether a set-up that arrives now is accepted: it may be answered before the process ends."""
        return now < self.refuses_at

    def is_over(self, now):
        return now >= self.ends_at

    def allowed_us(self, now, within_us):
        """The time that a set-up accepted now may last."""
        return max(1, min(within_us, self.ends_at - now))

    def may_close(self, now, connection):
        """Whether a caller's connection may be closed: nothing is due on it, and no first set-up is expected."""
        if connection.is_needed():
            return False
        return connection.proven or now - connection.last_used_at >= NEW_CONNECTION_GRACE_US
