"""Ids of calls that are over and for which a set-up was written to a central server. A caller that loses its connection
may send a set-up again under the same id, and the first one may have run. No I/O.
"""

from collections import OrderedDict

from thorndale import interface as io

RETENTION_US = 30_000_000  # far longer than a caller may send a set-up again


class SentIds:
    """The latest attempt of each such call, by the call's id; of the latest `limit` calls."""

    def __init__(self, limit):
        self.limit = limit
        self._attempts = OrderedDict()  # {call id: (when it is forgotten, EarlierAttempt)}, oldest first

    def __len__(self):
        return len(self._attempts)

    def record(self, now, call_id, attempt: io.EarlierAttempt):
        self._attempts.pop(call_id, None)
        self._attempts[call_id] = now + RETENTION_US, attempt
        if len(self._attempts) > self.limit:
            self._attempts.popitem(last=False)

    def find(self, call_id):
        """The EarlierAttempt of a call with this id, or None."""
        return self._attempts.get(call_id, (0, None))[1]

    def expire(self, now):
        while self._attempts and next(iter(self._attempts.values()))[0] <= now:
            self._attempts.popitem(last=False)
