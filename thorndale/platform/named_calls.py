"""Calls that stand at a central server and that this process knows only by a caller's word: a caller names them after a
restart of the proxy. No I/O.

No message asks a server whether it holds a call, so a naming cannot be checked. Hence the calls are bounded in number
(`bounds.FairBound`), and one whose caller has gone is given up after a time in which a call would long have ended.
"""

from thorndale.platform.bounds import FairBound

RETENTION_HOLDS = 20  # mean call lengths; of calls with random ends, one in 500 million lasts longer
MIN_RETENTION_US = 600_000_000


class NamedCalls:
    """The named calls that a proxy holds. `mean_holds_us`: the mean length of a call, by call type."""

    def __init__(self, limit, mean_holds_us):
        self.calls = FairBound(limit)
        self.retention_us = max(MIN_RETENTION_US, RETENTION_HOLDS * max(mean_holds_us, default=0))

    def __len__(self):
        return len(self.calls)

    def add(self, now, call, connection):
        """Counts a named call for the connection that named it. Returns the call to be given up for it, or None."""
        return self.calls.add(now, call, connection)

    def named_again(self, now, call, connection):
        """Counts a held call for the connection that named it now, if none of its earlier ones is open."""
        if call in self.calls and not call.caller_connections:
            self.calls.add(now, call, connection)

    def remove(self, call):
        self.calls.remove(call)

    def connection_ended(self, connection):
        self.calls.owner_departed(connection)

    def expired(self, now):
        """Calls to be given up: held for the whole retention and named on no open connection. Calls of callers that
        are still connected begin their retention anew."""
        expired = []
        for call in self.calls.added_until(now - self.retention_us):
            if call.caller_connections:
                self.calls.add(now, call, call.caller_connections[0])
            else:
                expired.append(call)
        return expired
