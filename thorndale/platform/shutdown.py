"""What a proxy that was told to end still takes, and when it ends (the platform's PROTOCOL, 'Figures').

Set-ups go on coming for 0.6 s after SIGTERM, and what comes later than 0.7 s after it must be answered before the kill,
which may come as soon as the longest deadline, counted as 3 s at most, plus 0.7 s have passed. So there are three
phases: set-ups are taken, their time cut to what is left; then they are refused at once, which is harmless to the
caller, and connections with nothing owed are closed; at last every open set-up is failed and the process ends. Calls
that stand belong to no connection and to no process: their callers tell the next one of them. Pure; times in us.
"""

TAKEN_US = 700_000  # us after SIGTERM up to which a set-up that is unanswered at the kill is not held against the proxy
LONGEST_US = 3_000_000  # us as which a longer deadline counts
ENDING_US = 250_000  # us before the earliest kill at which the process begins to end
NEW_US = 100_000  # us for which a connection that has said nothing yet is kept open: its first set-up may be under way


class Shutdown:
    """The plan of one shutdown, told at `told_at`, where the deployment's longest deadline is `longest_us`."""

    def __init__(self, told_at, longest_us):
        earliest_kill = told_at + min(longest_us, LONGEST_US) + TAKEN_US
        self.ends_at = earliest_kill - ENDING_US
        self.refuses_at = min(told_at + TAKEN_US, self.ends_at)

    def takes(self, now):
        """Whether a set-up that comes now may be whole before the end."""
        return now < self.refuses_at

    def is_over(self, now):
        return now >= self.ends_at

    def time_for(self, now, within_us):
        """us that a set-up taken now may last."""
        return max(1, min(within_us, self.ends_at - now))

    def may_close(self, now, connection):
        """Whether a caller's connection may be closed: nothing is owed on it, and nothing is about to come first."""
        if connection.is_needed():
            return False
        return connection.good or now - connection.used_at >= NEW_US
