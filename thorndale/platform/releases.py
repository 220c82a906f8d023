"""Releases that are owed to callers: calls that stood and are over, until their callers have been told.

A release goes by the connection of its call's set-up while that is up, else by the best of the others. A connection
that ends, or whose peer is not that caller, loses it without a word: so it is sent again by another one until a caller
has answered it, or its time is over. The answer is free. Callers are taken for such as answer until several releases
in a row had none; to those that never do, a release is sent again only where its connection ends as it crosses it.
What no connection takes waits for the next one that comes. Pure: `send` carries out what is to be done.
"""

from collections import deque

from thorndale.platform import isup

WAITING_MOST = 20_000  # releases that wait for a connection at most: as many as calls may stand
TOLD_US = 1_000_000  # us in which a release must be told
AGAIN_US = 250_000  # us in which a caller that answers releases has answered: four tries in that time
CROSS_US = 50_000  # us in which a caller's close may cross what is sent: the protocol's
KEPT_US = 8_000_000  # us in which a release that could not be told before must be: the protocol's
UNANSWERED_MOST = 8  # releases in a row without an answer after which callers count as not answering


class Release:
    """What is owed to the caller of a call that is over. `own`: the connection of its set-up; `by`: keys of those that
    took it and are up; `tried`: keys of all that took it; `sent_at`: when the first one did, `last_at`: the last."""

    __slots__ = ("call", "cause", "own", "by", "tried", "sent_at", "last_at")

    def __init__(self, call, cause, own):
        self.call, self.cause, self.own = call, cause, own
        self.by, self.tried, self.sent_at, self.last_at = set(), set(), None, None


class Releases:
    """All of a proxy's. `connections`: a CallerConnections; `note(what)` counts."""

    def __init__(self, connections, send, note):
        self.connections, self.send, self.note = connections, send, note
        self.owed = {}  # call's id: Release
        self.waiting = deque()  # those of them that no connection has taken
        self.answered, self.unanswered = False, 0  # whether any was, ever; how many in a row were not before that

    def __contains__(self, call):
        return call in self.owed

    def __len__(self):
        return len(self.owed)

    def owe(self, now, call, cause, own):
        """A call that stood is over. `own`: the connection of its set-up, also where it has ended."""
        if call not in self.owed:
            release = self.owed[call] = Release(call, cause, own)
            self._send(now, release)

    def heard(self, connection, call):
        """A caller has answered a release; an answer from elsewhere than where it was sent proves nothing."""
        release = self.owed.get(call)
        if release is not None and connection.key in release.by:
            connection.hears = self.answered = True
            self.send.log("call", call=call.hex(), did="release heard", connection=connection.key)
            self._forget(release)

    def caller_came(self, now):
        """There is a connection that was of use: those that wait go out by it."""
        for _ in range(len(self.waiting)):
            self._send(now, self.waiting.popleft())

    def connection_ended(self, now, connection):
        """What it took and nobody has answered goes on to another."""
        for release in [self.owed[call] for call in connection.unheard]:
            if now - release.last_at < self._doubt_us():
                release.by.discard(connection.key)
                self._send(now, release)

    def _doubt_us(self):
        """us for which a release that was sent and not answered may yet be lost with its connection."""
        if self.answered:
            return KEPT_US
        return TOLD_US if self.unanswered < UNANSWERED_MOST else CROSS_US

    def tend(self, now):
        """To be called some times within `AGAIN_US`."""
        for release in [release for release in self.owed.values() if release.by]:
            if now - release.sent_at >= max(TOLD_US, self._doubt_us()):
                self.unanswered += 1
                self._forget(release)
            elif self._is_to_be_sent_again(now, release):
                self._send(now, release)

    def _is_to_be_sent_again(self, now, release):
        if now - release.last_at < AGAIN_US or now - release.sent_at >= TOLD_US:
            return False
        if self.answered:
            return True
        return self.unanswered < UNANSWERED_MOST and release.own.key not in release.by

    def is_due(self, now):
        """Whether any is still to be told: waiting, or in the time in which an unheard one is sent again."""
        return any(release.sent_at is None or now - release.sent_at < TOLD_US for release in self.owed.values())

    def _order(self, release):
        """Connections that have not taken it, the best last: its own, then one that has heard others, then the one
        with the latest set-up."""

        def rank(connection):
            return connection is release.own, connection.hears, bool(connection.open), connection.called_at

        fit = [
            connection
            for connection in self.connections.values()
            if (connection.good or connection is release.own) and connection.key not in release.tried
        ]
        return sorted(fit, key=rank)

    def _send(self, now, release):
        candidates = self._order(release)
        while candidates:
            if self._send_by(now, release, candidates.pop()):
                return
        if release.by:
            return
        if len(self.waiting) < WAITING_MOST:
            self.send.log("call", call=release.call.hex(), did="release waits", why="no caller is connected")
            self.waiting.append(release)
        else:
            self.send.log("call", call=release.call.hex(), did="release given up", why="too many wait")
            self.note("releases given up")
            self._forget(release)

    def _send_by(self, now, release, connection):
        """Whether the connection has taken it."""
        taken = self.send.to_caller(connection.key, isup.release(release.call, release.cause))
        self.send.log(
            "call",
            call=release.call.hex(),
            did="release sent" if taken else "release not taken",
            connection=connection.key,
            own=connection is release.own,
            quiet_ms=(now - connection.called_at) // 1000,
        )
        if not taken:
            return False
        self.connections.use(connection, now)
        connection.unheard.add(release.call)
        release.by.add(connection.key)
        release.tried.add(connection.key)
        release.last_at = now
        if release.sent_at is None:
            release.sent_at = now
        else:
            self.note("releases sent again")
        return True

    def _forget(self, release):
        del self.owed[release.call]
        for key in release.by:
            connection = self.connections.get(key)
            if connection is not None:
                connection.unheard.discard(release.call)
