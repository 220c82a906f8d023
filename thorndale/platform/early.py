"""Releases that arrive before their calls are known: after a restart of the proxy, a server may release a call that its
caller has not reported yet. No I/O.
"""

from collections import deque
from typing import NamedTuple

MAX_RELEASES = 20_000  # as many as there may be established calls
RETENTION_US = 30_000_000


class EarlyRelease(NamedTuple):
    """`server`: the name of the central server that sent the release; `cause`: why the call ended."""

    server: str
    cause: int


class EarlyReleases:
    """The first release of each unknown call, by the call's id."""

    def __init__(self):
        self.by_call, self.expiries = {}, deque()  # expiries: (time of removal, call id), oldest first

    def record(self, now, call, server, cause):
        while self.expiries and (self.expiries[0][0] <= now or len(self.expiries) >= MAX_RELEASES):
            self.by_call.pop(self.expiries.popleft()[1], None)
        if call not in self.by_call:
            self.by_call[call] = EarlyRelease(server, cause)
            self.expiries.append((now + RETENTION_US, call))

    def find(self, call):
        """The recorded release of a call, or None."""
        return self.by_call.get(call)
