"""Calls that have ended, for callers that name them as established afterwards: on a new connection, if the release was
lost, or to a restarted proxy, at which a server may end a call before its caller has named it. No I/O.
"""

from collections import deque
from typing import NamedTuple

RETENTION_US = 30_000_000  # longer than a release may take to be delivered


class EndedCall(NamedTuple):
    """`server`: the name of the central server at which the call ended; `cause`: why it ended; `expires_at`: when it is
    forgotten, in microseconds."""

    server: str
    cause: int
    expires_at: int


class EndedCalls:
    """The latest end of each call, by the call's id; of the latest `limit` ends."""

    def __init__(self, limit):
        self.limit = limit
        self.by_call, self.expiries = {}, deque()  # expiries: (time of removal, call id), oldest first

    def record(self, now, call, server, cause):
        """Records the end of a call; beyond the limit, the oldest ones are forgotten."""
        ended = self.by_call[call] = EndedCall(server, cause, now + RETENTION_US)
        self.expiries.append((ended.expires_at, call))
        self.expire(now)

    def expire(self, now):
        """Forgets the calls whose time is over, and the oldest ones beyond the limit."""
        while self.expiries and (self.expiries[0][0] <= now or len(self.expiries) > self.limit):
            expires_at, expired = self.expiries.popleft()
            if expired in self.by_call and self.by_call[expired].expires_at <= expires_at:
                del self.by_call[expired]

    def find(self, call):
        """The recorded end of a call, or None."""
        return self.by_call.get(call)
