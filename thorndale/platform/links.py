"""The connections to one central server: which one a set-up goes by, when one is asked whether it works, and what
their ends prove of the server. Pure: connections are numbers given out by whoever opens them.

A connection is kept by the server's id and never by its address, since a gone server's address may be a new one's.
"""

from thorndale import interface as io

LINKS_MOST = 4  # connections to a server: the protocol's bound for unasked states
USED_QUIET_US = 250_000  # us of silence with calls out or standing before a connection is asked: a release sent on
# one that has fallen silent must be heard by another within 1 s
IDLE_QUIET_US = 2_000_000  # us of silence without any: some tellings of a group's state
ANSWER_US = 300_000  # us in which a working connection answers: six times the longest way there and back
PIECE_US = 1_000_000  # us between two pieces of a message: servers may write slowly
DARK_US = 4_000_000  # us without any connection after which calls are held to be over: half of what the pages grant
AGAIN_US = 50_000  # us from the first loss to the next connection, doubled while they fail
AGAIN_MOST_US = 1_000_000  # us at most between two tries
AGAIN_STANDING_US = (
    400_000  # us at most while calls stand there: a release that was lost is heard by the next within 1 s
)
STEADY_US = 1_000_000  # us for which a connection must have been up before what comes by it ends the doubling
GIVEN_UP_US = 30_000_000  # us for which a set-up given up is remembered, so that its late answer is released


class Link:
    """A connection. `out` is {call: Seizure}, those given up and not answered yet included: answers are matched by
    Call-ID and method alone, and a server may answer each with the same CSeq number. `in_message`: part of a message
    has come and the rest is awaited. What is in a server's `links` has not ended."""

    __slots__ = ("key", "central", "opened", "out", "in_message", "heard_at", "asked_at", "made_at")

    def __init__(self, key, central, now):
        self.key, self.central, self.opened = key, central, False
        self.out, self.in_message = {}, False
        self.heard_at, self.asked_at, self.made_at = now, 0, now

    def progressed(self, now):
        """Part of a message has come."""
        self.heard_at, self.in_message = now, True

    def is_dead(self, now):
        """Whether a test that was asked for has had no answer, nor any other byte come, for too long."""
        patience = PIECE_US if self.in_message else ANSWER_US
        return now - max(self.asked_at, self.heard_at) > patience


class Central:
    """A central server as this proxy knows it. `standing` is {call id: Call}; `passed` counts what went by the
    sockets, to be held against what the module believes. `waiting`: what concerns calls that stood and goes by the
    next connection that is up. `was_cut`: it was proved dead since this process has known it, so that a call which is
    told of as standing there, and so stood before, is over."""

    __slots__ = (
        "waiting",
        "was_cut",
        "index",
        "name",
        "host",
        "port",
        "pool",
        "state",
        "started",
        "links",
        "standing",
        "dark_since",
        "broke_at",
        "again_at",
        "fails",
        "misses_one",
        "passed",
        "lags",
    )

    def __init__(self, index, name):
        self.index, self.name = index, name
        self.host, self.port, self.pool, self.state, self.started = "", 0, -1, -1, 0
        self.links, self.standing, self.dark_since = [], {}, 0
        self.again_at, self.fails, self.broke_at = 0, 0, -1
        self.misses_one = False
        self.passed, self.lags, self.waiting, self.was_cut = {}, [], [], False

    def count(self, what):
        self.passed[what] = self.passed.get(what, 0) + 1

    def pick(self, call):
        """(connection for a set-up of this call, or None; whether one more should be opened). The connection is an
        open one before one that may yet take long to come up, and the one with the fewest out, so that a spoilt
        answer costs as few others as can be; none on which an earlier set-up of the call has no answer, as the two
        could not be told apart."""
        links = [link for link in self.links if call not in link.out]
        best = min(links, key=lambda link: (not link.opened, link.in_message, len(link.out)), default=None)
        coming = any(not link.opened for link in self.links)
        taken = best is not None and (bool(best.out) or best.in_message)
        more = best is None or taken and len(self.links) < LINKS_MOST and not (best.opened and coming)
        return best, more

    def forget_given_up(self, link, now):
        """Set-ups given up of which nothing was heard since: else each that is never answered stays for good."""
        old = [key for key, seizure in link.out.items() if seizure.over and now - seizure.sent_at > GIVEN_UP_US]
        for key in old:
            del link.out[key]

    def any_open(self):
        for link in self.links:
            if link.opened:
                return link
        return None

    def leads(self, link):
        """Whether unasked states are taken from this connection: the oldest one open. The same state comes on each,
        and taken four times it would be four tellings."""
        return self.any_open() is link

    def opened(self, link, now):
        link.opened, link.heard_at = True, now
        self.dark_since = 0

    def heard(self, link, now):
        link.heard_at, link.asked_at, link.in_message = now, 0, False
        if now - link.made_at >= STEADY_US:
            self.fails = 0

    def failed(self, now):
        """A connection was lost or never came up: when the next may be opened. Those that fail together count once.
        Whether this is the first since the server was well: then the next may be opened at once."""
        counts = now >= self.again_at
        if counts:
            self.fails += 1
            most = AGAIN_STANDING_US if self.standing else AGAIN_MOST_US
            self.again_at = now + min(most, AGAIN_US << min(self.fails - 1, 10))
        if not self.dark_since and not any(link.opened for link in self.links):
            self.dark_since = now
        return counts and self.fails == 1

    def wants_connection(self, now):
        """Whether one is to be opened now: there is none, or one that was lost may have had a release on it."""
        return (not self.links or self.misses_one) and self.state != io.GONE and now >= self.again_at

    def doubtful(self):
        """Connections opened after one had broken: its process may have ended then, and the address be another's."""
        return [link for link in self.links if 0 <= self.broke_at <= link.made_at]

    def is_dark(self, now):
        return self.dark_since > 0 and now - self.dark_since >= DARK_US

    def quiet(self, link, now):
        """What a connection's silence asks for: '' nothing, 'ask' a test, 'dead' its end."""
        if not link.opened:
            return ""
        if link.asked_at:
            return "dead" if link.is_dead(now) else ""
        used = link.out or self.standing
        return "ask" if now - link.heard_at > (USED_QUIET_US if used else IDLE_QUIET_US) else ""
