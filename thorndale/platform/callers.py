"""The connections from callers, in the order in which they may be given up for one more.

One on which something is owed is kept; of the rest those by which nothing of use has come go before the others, and
within both the longest unused goes first. The order is kept as connections are used, so that finding the next one takes
the same time however many there are.
"""


class CallerConnection:
    """`open` is {id: Call}; `standing`: ids of calls that were set up by it and stand; `unheard`: those of releases
    that it took and nobody has answered. `good`: a set-up that can be used, or a caller's release, came by it;
    `hears`: a release sent by it was answered. Times are whole microseconds; `called_at`: of its latest set-up."""

    __slots__ = ("key", "open", "standing", "unheard", "good", "hears", "used_at", "called_at")

    def __init__(self, key, now):
        self.key, self.open, self.good, self.hears = key, {}, False, False
        self.standing, self.unheard = set(), set()
        self.used_at, self.called_at = now, now

    def is_needed(self):
        """Whether an answer or a release is owed on it, now or at a call's end."""
        return bool(self.open or self.standing or self.unheard)


class CallerConnections:
    """By key, as a mapping."""

    def __init__(self):
        self._unproven, self._good = {}, {}  # each by key, the longest unused first

    def get(self, key):
        return self._unproven.get(key) or self._good.get(key)

    def __getitem__(self, key):
        return self._unproven[key] if key in self._unproven else self._good[key]

    def __contains__(self, key):
        return key in self._unproven or key in self._good

    def __len__(self):
        return len(self._unproven) + len(self._good)

    def values(self):
        yield from self._unproven.values()
        yield from self._good.values()

    def add(self, key, now):
        self._unproven[key] = CallerConnection(key, now)

    def pop(self, key):
        """The connection, which is no more; None where there was none."""
        return self._unproven.pop(key, None) or self._good.pop(key, None)

    def use(self, connection, now):
        """Something came by it, or was sent by it."""
        connection.used_at = now
        group = self._good if connection.good else self._unproven
        if group.pop(connection.key, None) is not None:
            group[connection.key] = connection

    def prove(self, connection):
        """What came by it was of use."""
        if not connection.good:
            connection.good = True
            if self._unproven.pop(connection.key, None) is not None:
                self._good[connection.key] = connection

    def idle(self, now, quiet_us):
        """Keys of connections on which nothing is owed and which were unused for so long, in the order in which to
        give them up. Connections may end while this goes on."""
        for group in (self._unproven, self._good):
            for connection in list(group.values()):
                if now - connection.used_at < quiet_us:
                    break
                if not connection.is_needed():
                    yield connection.key

    def spare(self, now):
        """Keys of connections that may be given up for one more, the first best: those on which nothing is owed, then
        those without an open set-up, since a release can go by any other."""
        yield from self.idle(now, 0)
        for connection in list(self._good.values()):
            if not connection.open:
                yield connection.key
