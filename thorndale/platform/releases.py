"""Delivers the releases of ended calls to their callers.

A release is sent on every open connection on which the call was set up or named by its caller: an older one may be
half-open, and on a later one another caller may have named it. If there is none, it is sent on the best other one. A
connection that closes, or whose peer is a different caller, loses it silently, so it is sent again on another
connection until a caller answers it or its time is over. Answering is optional for callers, so a release that one of
its own connections has carried is sent again only if callers are known to answer, or if that connection closes just
after it was sent. A release that no connection accepts waits for the next caller. Meanwhile it is offered on unproven
connections, whose peers may be callers that have not sent a set-up yet. No I/O: `send` carries out the socket actions.

Anybody may connect, send set-ups and read what comes. So a release counts as delivered, and its answer as a caller's,
on its own connections and on those on which a central server has confirmed a call; sent on any other one, it goes on
being sent, and is sent on each connection that is confirmed meanwhile.

The releases are bounded in number, since callers can cause them by naming calls that have ended; at the bound one is
given up as `bounds.FairBound` tells.
"""

from collections import OrderedDict

from thorndale.platform import isup
from thorndale.platform.bounds import UNCONFIRMED_DEPARTED, FairBound

DELIVERY_US = 1_000_000  # a release must be delivered within this time
RESEND_US = 250_000  # a caller that answers releases has answered by then; allows four attempts within DELIVERY_US
CLOSE_CROSSING_US = 50_000  # a caller's close may cross a message this long after it is sent, as the protocol states
MAX_DELIVERY_US = 8_000_000  # limit of the protocol for a release that could not be delivered before
WAITING_RETENTION_US = 120_000_000  # long after the time for delivery, for callers that come back late
MAX_OFFERS = 8  # unproven connections on which a waiting release is offered: peers may open them by the hundred
OFFER_AGE_US = 250_000  # age of an unproven connection from which releases are offered: a health check is over by then
MAX_UNANSWERED = 8  # releases in a row without an answer after which callers count as not answering


class Release:
    """A release that is due to the caller of an ended call. `own_connections`: those of the call's set-up and of its
    namings until it ended; `named_connections`: of its namings since, by peers that may have read the release;
    `carriers`: keys of the open connections that accepted it; `tried_keys`: keys of all that accepted it;
    `offered_keys`: those on which it was offered while unproven; tuples, as they are short and releases may be many.
    `reached_caller`: a connection that is trusted has carried it and was not lost just after; `waiting_since`: when it
    began to wait, None if it does not. `first_sent_at`: when it was first sent since the last
    time that it waited, else None; `last_sent_at`: when it was last sent."""

    __slots__ = (
        "call",
        "cause",
        "own_connections",
        "named_connections",
        "carriers",
        "tried_keys",
        "offered_keys",
        "reached_caller",
        "waiting_since",
        "first_sent_at",
        "last_sent_at",
    )

    def __init__(self, call, cause, own_connections):
        self.call, self.cause, self.own_connections, self.named_connections = call, cause, own_connections, ()
        self.carriers, self.tried_keys, self.offered_keys = (), (), ()
        self.first_sent_at = self.last_sent_at = self.waiting_since = None
        self.reached_caller = False

    def preferred_connections(self):
        return self.own_connections + self.named_connections


class Releases:
    """All releases of a proxy. `connections`: a CallerConnections; `note(what)` increments a counter; `limit`: the most
    releases that are kept."""

    def __init__(self, connections, send, note, limit):
        self.connections, self.send, self.note = connections, send, note
        self.undelivered = {}  # {call id: Release}
        self.waiting = OrderedDict()  # those that no connection has accepted, by call id, the longest waiting first
        self.bound = FairBound(limit)  # of call ids
        self._ranking = (None, ())  # (when it was made, proven connections, the best first)
        self.any_answered, self.unanswered_in_row = False, 0  # unanswered_in_row is used only until the first answer

    def __contains__(self, call):
        return call in self.undelivered

    def __len__(self):
        return len(self.undelivered)

    def add(self, now, call, cause, own_connections):
        """Queues the release of an ended call. `own_connections`: those on which its caller has set it up or named it;
        one that is undelivered already is sent on these too."""
        release = self.undelivered.get(call)
        if release is None:
            release = self.undelivered[call] = Release(call, cause, own_connections)
            owner = own_connections[0] if own_connections else UNCONFIRMED_DEPARTED
            excess_call = self.bound.add(now, call, owner)
            if excess_call is not None:
                self._give_up(self.undelivered[excess_call], "too many releases are undelivered")
            if call in self.undelivered:
                self._send(now, release)
            return
        known = release.preferred_connections()
        release.named_connections += tuple(c for c in own_connections if c not in known)
        self._send_by_preferred(now, release)

    def release_answered(self, connection, call):
        """Handles an answer to a release; ignored on a connection on which the release was not sent, and from a peer
        that may be no caller."""
        release = self.undelivered.get(call)
        if release is None or connection.key not in release.carriers:
            return
        if not self._is_trusted(release, connection):
            self.send.log("call", call=call.hex(), did="release answered by a stranger", connection=connection.key)
            return
        connection.answers_releases = self.any_answered = True
        self.send.log("call", call=call.hex(), did="release heard", connection=connection.key)
        self._forget(release)

    def caller_confirmed(self, now, connection):
        """Sends the releases that only peers of unknown standing have got on a connection that is confirmed now."""
        self._ranking = (None, ())
        for release in list(self.undelivered.values()):
            if not release.carriers or release.reached_caller:
                continue
            if connection.key in release.carriers:
                release.reached_caller = True
            elif connection.key not in release.tried_keys:
                self._send_by(now, release, connection)

    def caller_proven(self, now):
        """Sends the waiting releases, now that a proven connection is open."""
        self._ranking = (None, ())
        waiting, self.waiting = self.waiting, OrderedDict()
        for release in waiting.values():
            release.waiting_since = None
            self._send(now, release)

    def connection_ended(self, now, connection):
        """Sends the unanswered releases of a closed connection on another one."""
        self._ranking = (None, ())
        self.bound.owner_departed(connection)
        for release in [self.undelivered[call] for call in connection.unanswered_releases]:
            if now - release.last_sent_at < self._loss_window_us():
                release.carriers = tuple(key for key in release.carriers if key != connection.key)
                release.reached_caller = self._has_trusted_carrier(release)
                self._send(now, release)

    def _loss_window_us(self):
        """For how long an unanswered release counts as lost if its connection closes."""
        if self.any_answered:
            return MAX_DELIVERY_US
        return DELIVERY_US if self.unanswered_in_row < MAX_UNANSWERED else CLOSE_CROSSING_US

    def maintain(self, now):
        """Repeats, offers and expires releases; to be called several times within `RESEND_US`."""
        if self.waiting:
            self._expire_waiting(now)
            self._offer_waiting(now)
        for release in [release for release in self.undelivered.values() if release.carriers]:
            if now - release.first_sent_at >= self._keep_us(release):
                self.unanswered_in_row += 1
                self._forget(release)
            elif self._is_resend_due(now, release):
                self._send(now, release)

    def _keep_us(self, release):
        """How long a release is kept after it was first sent, if nobody answers it."""
        if release.reached_caller:
            return max(DELIVERY_US, self._loss_window_us())
        return MAX_DELIVERY_US

    def _is_trusted(self, release, connection):
        """Whether the peer of a connection is a caller, not anybody who connected."""
        return connection.confirmed or connection in release.own_connections

    def _has_trusted_carrier(self, release):
        carriers = (self.connections.get(key) for key in release.carriers)
        return any(carrier is not None and self._is_trusted(release, carrier) for carrier in carriers)

    def _expire_waiting(self, now):
        while self.waiting:
            release = next(iter(self.waiting.values()))
            if now - release.waiting_since < WAITING_RETENTION_US:
                return
            self._give_up(release, "no caller has come for it")

    def _give_up(self, release, why):
        self.send.log("call", call=release.call.hex(), did="release given up", why=why)
        self.note("releases given up")
        self._forget(release)

    def _offer_waiting(self, now):
        """Offers the waiting releases on the unproven connections that have become old enough."""
        for connection in self.connections.latest_unproven(MAX_OFFERS, now - OFFER_AGE_US):
            if not connection.has_offers:
                connection.has_offers = True
                for release in self.waiting.values():
                    self._offer(now, release, connection)

    def _offer(self, now, release, connection):
        """Writes a waiting release to an unproven connection. It goes on waiting, since this may not be a caller's;
        after `MAX_OFFERS` it waits for a proven connection only."""
        if len(release.offered_keys) >= MAX_OFFERS or connection.key in release.offered_keys:
            return
        if self._write(now, release, connection, "release offered"):
            release.offered_keys += (connection.key,)

    def _is_resend_due(self, now, release):
        if now - release.last_sent_at < RESEND_US or now - release.first_sent_at >= DELIVERY_US:
            return False
        if self.any_answered:
            return True
        return not any(connection.key in release.carriers for connection in release.own_connections)

    def has_undelivered(self, now):
        """Whether any release is waiting, or is still within the time in which it may be sent again."""
        return any(
            release.first_sent_at is None or now - release.first_sent_at < DELIVERY_US
            for release in self.undelivered.values()
        )

    def _ranked_connections(self, now):
        """The proven connections, the best first: those of confirmed callers, of these the ones that have answered
        releases, then those with open set-ups, then the one with the latest set-up. Made once for all releases of one
        moment: a server's end may release thousands of calls."""

        def rank(connection):
            return (
                connection.confirmed,
                connection.answers_releases,
                bool(connection.setups),
                connection.last_setup_at,
            )

        if self._ranking[0] != now:
            proven = (connection for connection in self.connections.values() if connection.proven)
            self._ranking = now, sorted(proven, key=rank, reverse=True)
        return self._ranking[1]

    def _send(self, now, release):
        """Sends the release on its own connections, else on the best other one; one that none accepts waits."""
        if self._send_by_preferred(now, release):
            return
        for connection in self._ranked_connections(now):
            if connection.key not in release.tried_keys and self._send_by(now, release, connection):
                return
        if release.carriers:
            return
        release.first_sent_at, release.waiting_since = None, now
        self.waiting[release.call] = release
        self.send.log(
            "call",
            call=release.call.hex(),
            did="release waits",
            why="no usable connection",
            open=len(self.connections),
            proven=sum(connection.proven for connection in self.connections.values()),
        )
        for connection in self.connections.latest_unproven(MAX_OFFERS, now - OFFER_AGE_US):
            self._offer(now, release, connection)

    def _send_by_preferred(self, now, release):
        """Sends the release on each connection of its call that has not carried it; returns whether any accepted it."""
        untried = [c for c in release.preferred_connections() if c.key not in release.tried_keys]
        return any([self._send_by(now, release, connection) for connection in untried])

    def _send_by(self, now, release, connection):
        """Sends the release on this connection, unless it was offered there; returns whether the connection accepted
        it."""
        if connection.key not in release.offered_keys and not self._write(now, release, connection, "release sent"):
            return False
        self.connections.touch(connection, now)
        connection.unanswered_releases.add(release.call)
        if connection.key not in release.carriers:
            release.carriers += (connection.key,)
        if release.tried_keys:
            self.note("releases sent again")
        if connection.key not in release.tried_keys:
            release.tried_keys += (connection.key,)
        release.reached_caller |= self._is_trusted(release, connection)
        release.last_sent_at = now
        if release.first_sent_at is None:
            release.first_sent_at = now
        return True

    def _write(self, now, release, connection, did):
        accepted = self.send.to_caller(connection.key, isup.release(release.call, release.cause))
        self.send.log(
            "call",
            call=release.call.hex(),
            did=did if accepted else "release not taken",
            connection=connection.key,
            own=connection in release.own_connections,
            quiet_ms=(now - connection.last_setup_at) // 1000,
        )
        return accepted

    def _forget(self, release):
        del self.undelivered[release.call]
        self.waiting.pop(release.call, None)
        self.bound.remove(release.call)
        for key in release.carriers:
            connection = self.connections.get(key)
            if connection is not None:
                connection.unanswered_releases.discard(release.call)
