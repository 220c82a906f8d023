"""Connections from callers, kept in the order in which they may be closed to make room for a new one.

A connection on which an answer or a release is due is kept. Of the others, unproven ones (no usable message yet) are
closed before proven ones, and within both groups the least recently used first. The order is maintained on each use, so
finding the next candidate takes the same time for any number of connections.
"""

import itertools


class CallerConnection:
    """`setups` is {id: Call} of set-ups without a final answer; `established`: ids of the established calls that were
    set up on it; `unanswered_releases`: call ids of the releases sent on it without an answer. `proven`: a usable
    set-up or a caller's release arrived on it; `confirmed`: a central server has answered a set-up of it, or released a
    call that was named on it, so its peer is a caller; `answers_releases`: a release sent on it was answered.
    `has_offers`: the waiting releases were offered on it; `peer_closed`: its peer has closed it, and some of what it
    wrote before that is still to be read. Times are whole microseconds."""

    __slots__ = (
        "key",
        "setups",
        "established",
        "unanswered_releases",
        "proven",
        "confirmed",
        "answers_releases",
        "has_offers",
        "peer_closed",
        "opened_at",
        "last_used_at",
        "last_setup_at",
    )

    def __init__(self, key, now):
        self.key, self.setups, self.proven, self.answers_releases = key, {}, False, False
        self.established, self.unanswered_releases = set(), set()
        self.has_offers = self.confirmed = self.peer_closed = False
        self.opened_at, self.last_used_at, self.last_setup_at = now, now, now

    def is_needed(self):
        """Whether an answer or a release is due on it, now or at the end of a call."""
        return bool(self.setups or self.established or self.unanswered_releases)


class CallerConnections:
    """The connections by key, with the interface of a mapping."""

    def __init__(self):
        self._unproven, self._proven = {}, {}  # each by key, least recently used first

    def get(self, key):
        return self._unproven.get(key) or self._proven.get(key)

    def __getitem__(self, key):
        return self._unproven[key] if key in self._unproven else self._proven[key]

    def __contains__(self, key):
        return key in self._unproven or key in self._proven

    def __len__(self):
        return len(self._unproven) + len(self._proven)

    def values(self):
        yield from self._unproven.values()
        yield from self._proven.values()

    def latest_unproven(self, count, opened_until):
        """Up to `count` unproven connections that were opened by then, the latest used first."""
        old_enough = (c for c in reversed(self._unproven.values()) if c.opened_at <= opened_until)
        return list(itertools.islice(old_enough, count))

    def add(self, key, now):
        self._unproven[key] = CallerConnection(key, now)

    def pop(self, key):
        """Removes and returns the connection, or None if there is none with this key."""
        return self._unproven.pop(key, None) or self._proven.pop(key, None)

    def touch(self, connection, now):
        """Records that a message was received or a release sent on it."""
        connection.last_used_at = now
        group = self._proven if connection.proven else self._unproven
        if group.pop(connection.key, None) is not None:
            group[connection.key] = connection

    def mark_proven(self, connection):
        """Marks a connection as proven: a usable message arrived on it."""
        if not connection.proven:
            connection.proven = True
            if self._unproven.pop(connection.key, None) is not None:
                self._proven[connection.key] = connection

    def idle(self, now, quiet_us):
        """Keys of connections on which nothing is due and which were unused for `quiet_us`, in closing order.
        Connections may be removed during the iteration."""
        for group in (self._unproven, self._proven):
            for connection in list(group.values()):
                if now - connection.last_used_at < quiet_us:
                    break
                if not connection.is_needed():
                    yield connection.key

    def closable_for_new(self, now):
        """Keys of connections that may be closed to make room for a new one, best first: those on which nothing is due,
        then those without an open set-up, since a release can be sent on any other connection."""
        yield from self.idle(now, 0)
        for connection in list(self._proven.values()):
            if not connection.setups:
                yield connection.key
