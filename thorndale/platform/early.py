"""Releases that came before their calls are known: after a restart a server may release a call of which its caller
has not told yet. Pure.
"""

from collections import deque
from typing import NamedTuple

MOST = 20_000  # kept at one time: as many as calls may stand
KEPT_US = 30_000_000  # us for which one is kept


class EarlyRelease(NamedTuple):
    """`server`: the name of the central server that sent it; `cause`: of the call's end."""

    server: str
    cause: int


class EarlyReleases:
    """The first release of each call that is not known, by the call's id."""

    def __init__(self):
        self.by_call, self.ends_at = {}, deque()  # ends_at: (when to forget, id), in order of time

    def keep(self, now, call, server, cause):
        while self.ends_at and (self.ends_at[0][0] <= now or len(self.ends_at) >= MOST):
            self.by_call.pop(self.ends_at.popleft()[1], None)
        if call not in self.by_call:
            self.by_call[call] = EarlyRelease(server, cause)
            self.ends_at.append((now + KEPT_US, call))

    def of(self, call):
        """The EarlyRelease of a call, or None."""
        return self.by_call.get(call)
