"""Decides which connections to the control feed are open, and when the feed is asked once more (the platform's
PROTOCOL, 'The control feed'). No I/O: the sockets are an object passed in, times are whole microseconds passed in.

On each connection the feed is asked for the events after the last one received. Before a connection has answered,
nothing tells a feed that is slow from one that will never answer there. So an unanswered connection is kept, and after
a pause the feed is asked on another one beside it (a hedged request); the first connection that answers becomes the
current one, and the others are closed. Events have numbers: it does no harm if two connections deliver the same one.

Waits: for a connection to come up, by the sockets; for its first frame, `ANSWER_PAUSE_US` and growing; for later
frames, `SILENCE_US`; for the rest of a frame, `PARTIAL_PAUSE_US` and `FRAME_LIMIT_US`. Those that begin for many
proxies at once are drawn within a range, so that these do not ask together.
"""

from thorndale.platform import feed as wire
from thorndale.platform.errors import PlatformError

ANSWER_PAUSE_US = 1_200_000  # first wait for an answer; without events, the feed writes a frame each second
ANSWER_PAUSE_GROWTH = 1.1  # factor for each further question: three are asked within the 4 s of a moved feed
MAX_ANSWER_PAUSE_US = 5_000_000
ANSWER_PAUSE_MIN_SHARE = 0.95  # of the pause, drawn anew each time
ANSWER_LIMIT_US = 12_000_000  # age at which an unanswered connection without any input is closed
SILENCE_US = 1_700_000  # without a byte on the current connection, until the feed is asked on another one
SILENCE_MIN_SHARE = 0.8  # above the second between two frames
PARTIAL_PAUSE_US = 1_000_000  # longest pause within a frame
FRAME_LIMIT_US = 4_000_000  # longest time for a whole frame
RETRY_PAUSE_US = 500_000  # longest pause before the first reconnection after a lost connection or invalid data
RETRY_PAUSE_GROWTH = 1.1
MAX_RETRY_PAUSE_US = 700_000
FIRST_RETRY_MIN_SHARE = 0.2  # of the pause; wide, as many proxies lose the feed at one moment
LATER_RETRY_MIN_SHARE = 0.67
MOVE_SPREAD_US = 400_000  # within which a feed at a new address is connected to
UNREAD_PAUSE_US = 20_000  # until a connection with unread input is judged again
MAX_UNANSWERED = 4  # connections at a time on which an answer is awaited


class FeedConnection:
    """One connection. `asked_at`: when it came up and the feed was asked on it, None before. `partial_since`: when the
    frame began that is still incomplete, or None. `silence_us`: the wait for a later frame. `has_answered`: it was the
    current one at some time."""

    __slots__ = ("key", "asked_at", "last_byte_at", "partial_since", "silence_us", "has_answered")

    def __init__(self, key, now):
        self.key, self.asked_at, self.last_byte_at, self.partial_since = key, None, now, None
        self.silence_us, self.has_answered = SILENCE_US, False

    def silent_at(self):
        """When it counts as silent unless more is received."""
        wait_us = self.silence_us if self.partial_since is None else PARTIAL_PAUSE_US
        return self.last_byte_at + wait_us

    def whole_frame_received(self, now):
        self.last_byte_at, self.partial_since = now, None

    def partial_received(self, now):
        """Returns whether the frame is still within its time; if not, its bytes no longer count as a sign of life."""
        if self.partial_since is None:
            self.partial_since = now
        if now - self.partial_since > FRAME_LIMIT_US:
            return False
        self.last_byte_at = now
        return True


class FeedConnections:
    """`sockets` has `connect()`, which returns the key of a new connection, `ask(key)`, `drop(key)`, `has_unread(key)`
    and `log(event, **fields)`. `feed` is the `Feed` that knows the last event. `on_event(event)` is called once for
    each new event, in order. `rng`: a seeded `random.Random`.

    Call one method for each event of the sockets, and `run` at `next_at()`."""

    def __init__(self, sockets, feed, rng, on_event):
        self.sockets, self.feed, self.rng, self.on_event = sockets, feed, rng, on_event
        self.connections = {}  # by key, oldest first: the current one, or those on which an answer is awaited
        self.current = None
        self.previous = None  # the connection to the former address, read until the new address has answered
        self.attempt_at = None  # when the feed is asked on one more connection
        self.questions, self.failures = 0, 0  # since the last answer

    # ---- commands ----

    def start(self, now):
        self._open(now)

    def move(self, now):
        """The feed has a new address, for which `sockets.connect` connects from now on."""
        if self.current is not None:
            self._drop_previous()
            self.previous = self.current
            del self.connections[self.current.key]
            self.current = None
        for connection in list(self.connections.values()):
            self._drop(connection)
        self.questions, self.failures = 0, 0
        self._log_broken("moved")
        self._attempt_by(now + int(self.rng.random() * MOVE_SPREAD_US))

    def hasten(self, now):
        """Shortens the pause before a reconnection, if there is no connection."""
        if not self.connections:
            self.failures = 0
            self._attempt_by(now + int(self.rng.random() * MOVE_SPREAD_US))

    def next_at(self):
        """When `run` has to be called next, or None."""
        times = [c.last_byte_at + ANSWER_LIMIT_US for c in self.connections.values() if c is not self.current]
        if self.current is not None:
            times.append(self.current.silent_at())
        if self.attempt_at is not None:
            times.append(self.attempt_at)
        return min(times, default=None)

    def run(self, now):
        """Acts on the waits that are over. A connection with unread input is not judged before that is read."""
        for connection in list(self.connections.values()):
            if connection is not self.current and now - connection.last_byte_at >= ANSWER_LIMIT_US:
                self._expire(now, connection)
        if self.current is not None and now >= self.current.silent_at():
            self._judge_silence(now)
        if self.attempt_at is not None and now >= self.attempt_at:
            self._ask_once_more(now)

    # ---- events of the sockets ----

    def opened(self, now, key):
        """A connection is up: the feed is asked on it, and the wait for the first frame begins."""
        connection = self.connections.get(key)
        if connection is None:
            return
        connection.asked_at = connection.last_byte_at = now
        self.sockets.ask(key)
        if self.current is None:
            self.attempt_at = now + self._answer_pause()
        self.questions += 1

    def partial_received(self, now, key):
        """Part of a frame has been read: a feed that writes slowly is not silent, within the limits for a frame."""
        connection = self.connections.get(key)
        if connection is None or not connection.partial_received(now):
            return
        if self.attempt_at is not None and connection is not self.current:
            self.attempt_at = max(self.attempt_at, now + PARTIAL_PAUSE_US)

    def frame_received(self, now, key, frame):
        connection = self._find(key)
        if connection is None:
            return
        connection.whole_frame_received(now)
        try:
            is_answer = self._apply(now, connection, frame)
        except PlatformError as error:
            self._fail(now, connection, str(error))
            return
        if is_answer and connection is not self.previous:
            self._make_current(now, connection)

    def lost(self, now, key, kind):
        connection = self._find(key)
        if connection is None:
            return
        self._remove(connection)
        if connection is self.previous:
            self.previous = None
            return
        self.sockets.log("control feed lost", kind=kind, **self._state(connection, now))
        self._retry(now)

    # ---- decisions ----

    def _apply(self, now, connection, frame):
        """Applies a frame. Returns whether it is an answer. An empty frame is none if it names an event that has not
        been received: that may still follow, but on the current connection it was left out. Raises PlatformError."""
        event = wire.read(*frame)
        if event is not None:
            if self.feed.take(event):
                self.on_event(event)
            return True
        number = frame[0]
        if connection is not self.current:
            return number <= self.feed.last
        try:
            self.feed.take_empty(number)
        except PlatformError as error:
            self._leave_current(now, str(error))
            self._retry(now)
        return False

    def _make_current(self, now, connection):
        if connection is self.current:
            return
        self.sockets.log("control feed answered", questions=self.questions, **self._state(connection, now))
        self._drop_previous()
        for other in list(self.connections.values()):
            if other is not connection:
                self._drop(other)
        self.current, connection.has_answered = connection, True
        connection.silence_us = self._draw(SILENCE_US, SILENCE_MIN_SHARE)
        self.attempt_at, self.questions, self.failures = None, 0, 0

    def _fail(self, now, connection, why):
        """Closes a connection that delivers invalid data."""
        self._log_broken(why, connection, now)
        is_followed = connection is not self.previous
        self._drop(connection)
        if is_followed:
            self._retry(now)

    def _leave_current(self, now, why):
        """The current connection becomes one on which an answer is awaited."""
        self._log_broken(why, self.current, now)
        self.current = None

    def _judge_silence(self, now):
        if self.sockets.has_unread(self.current.key):
            self.current.last_byte_at = now
            return
        self._leave_current(now, "silent")
        self._attempt_by(now)

    def _ask_once_more(self, now):
        if any(self.sockets.has_unread(key) for key in self.connections):
            self.attempt_at = now + UNREAD_PAUSE_US
            return
        if len(self.connections) >= MAX_UNANSWERED:
            self._drop(self._least_promising())
        self._open(now)

    def _least_promising(self):
        """A connection that has fallen silent, else the second oldest: the oldest is the next to answer if the feed is
        slow, the newest ones if it answers no earlier connection."""
        waiting = list(self.connections.values())
        return next((connection for connection in waiting if connection.has_answered), waiting[1])

    def _expire(self, now, connection):
        if self.sockets.has_unread(connection.key):
            connection.last_byte_at = now
            return
        self._log_broken("no answer", connection, now)
        self._drop(connection)
        if not self.connections:
            self._attempt_by(now)

    def _open(self, now):
        self.attempt_at = None
        key = self.sockets.connect()
        self.connections[key] = FeedConnection(key, now)

    def _retry(self, now):
        longest_us = min(MAX_RETRY_PAUSE_US, RETRY_PAUSE_US * RETRY_PAUSE_GROWTH**self.failures)
        min_share = LATER_RETRY_MIN_SHARE if self.failures else FIRST_RETRY_MIN_SHARE
        self.failures += 1
        self._attempt_by(now + self._draw(longest_us, min_share))

    def _attempt_by(self, at):
        self.attempt_at = at if self.attempt_at is None else min(self.attempt_at, at)

    def _answer_pause(self):
        pause_us = min(MAX_ANSWER_PAUSE_US, ANSWER_PAUSE_US * ANSWER_PAUSE_GROWTH**self.questions)
        return self._draw(pause_us, ANSWER_PAUSE_MIN_SHARE)

    def _draw(self, longest_us, min_share):
        return int(longest_us * self.rng.uniform(min_share, 1))

    # ---- bookkeeping ----

    def _find(self, key):
        if self.previous is not None and self.previous.key == key:
            return self.previous
        return self.connections.get(key)

    def _drop(self, connection):
        self._remove(connection)
        if connection is self.previous:
            self.previous = None
        self.sockets.drop(connection.key)

    def _drop_previous(self):
        if self.previous is not None:
            self._drop(self.previous)

    def _remove(self, connection):
        self.connections.pop(connection.key, None)
        if connection is self.current:
            self.current = None

    def _log_broken(self, why, connection=None, now=0):
        state = self._state(connection, now) if connection is not None else {"last": self.feed.last}
        self.sockets.log("control feed broken", why=why, **state)

    def _state(self, connection, now):
        """Log fields: the last event, whether the connection has answered, ms since the question and the last byte."""
        asked_at = connection.asked_at
        return {
            "last": self.feed.last,
            "answered": connection.has_answered,
            "asked_ms_ago": None if asked_at is None else (now - asked_at) // 1000,
            "silent_ms": (now - connection.last_byte_at) // 1000,
        }
