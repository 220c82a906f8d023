"""The connections to one central server: which one carries a set-up, when one is probed, and what the end of a
connection proves about the server. No I/O: a connection is a key assigned by whoever opens it.

Connections are stored by the server's id, never by its address, since the address of a server that is gone may be
assigned to a new one.
"""

from collections import OrderedDict, deque

from thorndale import interface as io

MAX_LINKS = 4  # per server; the limit of the protocol for unsolicited reports
# Silence on a connection with calls in flight or established before it is probed: a release sent on a connection that
# no longer works must arrive on another one within 1 s.
BUSY_SILENCE_US = 250_000
IDLE_SILENCE_US = 2_000_000  # without such calls; several report intervals of a trunk group
PROBE_TIMEOUT_US = 300_000  # six times the longest round trip
PARTIAL_TIMEOUT_US = 1_000_000  # between two parts of a message: servers may write slowly
UNREACHABLE_US = 4_000_000  # without any connection until calls count as ended; half the time that the platform allows
RECONNECT_US = 50_000  # delay of the first reconnection, doubled on each failure
MAX_RECONNECT_US = 1_000_000
MAX_RECONNECT_ESTABLISHED_US = 400_000  # with established calls: a lost release must arrive on the next link within 1 s
STABLE_US = 1_000_000  # age of a connection from which a message on it resets the reconnection delay
ABANDONED_RETENTION_US = 30_000_000  # an abandoned set-up is remembered so that its late answer can be released


class Link:
    """A connection. `in_flight` is {call id as hex: Seizure} and includes abandoned ones without an answer: answers are
    matched by Call-ID and method only, and a server may use the same CSeq number in each. `in_message`: part of a
    message has arrived. A link stays in its server's `links` until it ends."""

    __slots__ = (
        "key",
        "central",
        "is_open",
        "in_flight",
        "in_message",
        "last_received_at",
        "probe_sent_at",
        "created_at",
    )

    def __init__(self, key, central, now):
        self.key, self.central, self.is_open = key, central, False
        self.in_flight, self.in_message = {}, False
        self.last_received_at, self.probe_sent_at, self.created_at = now, 0, now

    def partial_received(self, now):
        """Records that part of a message has arrived."""
        self.last_received_at, self.in_message = now, True

    def is_dead(self, now):
        """Whether neither an answer to the probe nor any other byte has arrived for too long."""
        timeout_us = PARTIAL_TIMEOUT_US if self.in_message else PROBE_TIMEOUT_US
        return now - max(self.probe_sent_at, self.last_received_at) > timeout_us


class AbandonedSetups:
    """The set-ups that were given up after their INVITE was written and that have had no answer. They stay in their
    link's `in_flight`, so that a late answer is released; at most `limit` of them, for `ABANDONED_RETENTION_US`."""

    def __init__(self, limit):
        self.limit = limit
        self._abandoned_at = OrderedDict()  # {Seizure: when it was given up}

    def __len__(self):
        return len(self._abandoned_at)

    def add(self, now, seizure):
        """Remembers one more; beyond the limit, the oldest is forgotten: an answer that crosses a CANCEL comes soon."""
        self._abandoned_at[seizure] = now
        if len(self._abandoned_at) > self.limit:
            self._forget_oldest()

    def remove(self, seizure):
        """Removes a set-up that was answered or whose connection has ended, if it is there."""
        self._abandoned_at.pop(seizure, None)

    def expire(self, now):
        while self._abandoned_at and now - next(iter(self._abandoned_at.values())) > ABANDONED_RETENTION_US:
            self._forget_oldest()

    def _forget_oldest(self):
        seizure, _ = self._abandoned_at.popitem(last=False)
        seizure.link.in_flight.pop(seizure.call.hex_id, None)


class CentralServer:
    """A central server as this proxy observes it. `address_since`: number of the list event that gave it its address;
    `displaced`: it is still listed, while another server has that address.
    `established` is {call id: Call}, `started_us` 0 without a late
    start. `event_counts` counts socket events, to be compared in the log with the module's estimates. `unsent`:
    messages about established calls that go out on the next connection that opens, the latest `limit` of them.
    `proved_dead`: the server was proved dead since this process has known it, so any call that a caller reports as
    established there has ended. `replacement_needed_since`: when a connection was lost that may have carried a release,
    until one opened after that is up and the server can repeat the release, else None."""

    __slots__ = (
        "unsent",
        "proved_dead",
        "index",
        "name",
        "host",
        "port",
        "pool",
        "zone",
        "address_since",
        "displaced",
        "state",
        "started_us",
        "links",
        "established",
        "unreachable_since",
        "last_lost_at",
        "next_connect_at",
        "failures",
        "replacement_needed_since",
        "event_counts",
        "response_times_us",
    )

    def __init__(self, index, name, limit):
        self.index, self.name = index, name
        self.host, self.port, self.pool, self.zone, self.state, self.started_us = "", 0, -1, -1, -1, 0
        self.address_since, self.displaced = 0, False
        self.links, self.established, self.unreachable_since = [], {}, 0
        self.next_connect_at, self.failures, self.last_lost_at = 0, 0, -1
        self.replacement_needed_since = None
        self.event_counts, self.response_times_us, self.unsent, self.proved_dead = {}, [], deque(maxlen=limit), False

    def count(self, what):
        self.event_counts[what] = self.event_counts.get(what, 0) + 1

    def choose(self, hex_id):
        """(connection for a set-up of this call, or None; whether to open another one). An open connection is preferred
        to one still opening, which may take long, then the one with the fewest set-ups in flight, so that a malformed
        answer resets as few of them as possible. A connection on which an earlier set-up of the same call has no
        answer yet is excluded, since the answers could not be distinguished."""
        links = [link for link in self.links if hex_id not in link.in_flight]
        chosen = min(links, key=lambda link: (not link.is_open, link.in_message, len(link.in_flight)), default=None)
        is_opening = any(not link.is_open for link in self.links)
        is_busy = chosen is not None and (bool(chosen.in_flight) or chosen.in_message)
        open_another = chosen is None or is_busy and len(self.links) < MAX_LINKS and not (chosen.is_open and is_opening)
        return chosen, open_another

    def first_open_link(self):
        for link in self.links:
            if link.is_open:
                return link
        return None

    def uses_reports_of(self, link):
        """Whether unsolicited reports are used from this connection: only from the oldest open one. The server sends
        the same report on each connection, and the module would count it up to four times."""
        return self.first_open_link() is link

    def connection_opened(self, link, now):
        link.is_open, link.last_received_at = True, now
        self.unreachable_since = 0
        if self._is_replacement(link):
            self.replacement_needed_since = None

    def message_received(self, link, now):
        link.last_received_at, link.probe_sent_at, link.in_message = now, 0, False
        if now - link.created_at >= STABLE_US:
            self.failures = 0

    def connection_failed(self, now):
        """Records that a connection was lost or could not be opened, and schedules the next attempt. Connections that
        fail together count as one failure. Returns whether this is the first failure since the last stable connection;
        the next one may then be opened at once."""
        is_new_failure = now >= self.next_connect_at
        if is_new_failure:
            self.failures += 1
            longest_us = MAX_RECONNECT_ESTABLISHED_US if self.established else MAX_RECONNECT_US
            self.next_connect_at = now + min(longest_us, RECONNECT_US << min(self.failures - 1, 10))
        if not self.unreachable_since and not any(link.is_open for link in self.links):
            self.unreachable_since = now
        return is_new_failure and self.failures == 1

    def _is_replacement(self, link):
        """Whether a connection was opened after the loss for which one is needed."""
        return self.replacement_needed_since is not None and link.created_at >= self.replacement_needed_since

    def needs_connection(self, now):
        """Whether to open a connection now: there is none, or a release may have been lost with an earlier one and none
        is being opened since."""
        if self.state == io.GONE or now < self.next_connect_at:
            return False
        if not self.links:
            return True
        return self.replacement_needed_since is not None and not any(self._is_replacement(link) for link in self.links)

    def links_after_loss(self):
        """Connections opened after another one was lost: the server may have ended then and another have its
        address."""
        return [link for link in self.links if 0 <= self.last_lost_at <= link.created_at]

    def is_unreachable(self, now):
        return self.unreachable_since > 0 and now - self.unreachable_since >= UNREACHABLE_US

    def check_silence(self, link, now):
        """What to do about the silence of a connection: '' nothing, 'probe' to send a test, 'dead' to close it."""
        if not link.is_open:
            return ""
        if link.probe_sent_at:
            return "dead" if link.is_dead(now) else ""
        is_busy = link.in_flight or self.established
        return "probe" if now - link.last_received_at > (BUSY_SILENCE_US if is_busy else IDLE_SILENCE_US) else ""


def displaced_servers(centrals):
    """The listed servers whose address the list has given to another one since: the address of a server that has gone
    may be that of a new one, which can be told before the end of the old one. Of servers that came with one event, the
    one that started last has the address; if that does not tell them apart, none counts as displaced."""
    holders = {}
    for central in centrals:
        if central.state != io.GONE:
            holders.setdefault((central.host, central.port), []).append(central)
    displaced = []
    for sharing in holders.values():
        latest = max(_address_age(central) for central in sharing)
        displaced += [central for central in sharing if _address_age(central) < latest]
    return displaced


def _address_age(central):
    return central.address_since, central.started_us
