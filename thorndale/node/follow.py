"""Client of the control feed: the sockets and the timer round `FeedConnections`, which decides when to connect, to ask
and to close."""

from thorndale.net.clock import now_us
from thorndale.net.connection import Stream
from thorndale.net.tcp import Tcp
from thorndale.platform import feed
from thorndale.platform.errors import PlatformError
from thorndale.platform.feed_connections import FeedConnections

READ_BYTES = 4_096
WARNINGS = frozenset(("control feed broken", "control feed lost"))


class FeedClient:
    """Calls `on_event(event)` for each new event, in order, and `on_batch()` after one or more. `rng`: a seeded
    `random.Random`. `reconfigure(address, known)` on SIGHUP."""

    def __init__(self, loop, bounds, address, last, rng, on_event, on_batch, log_event):
        self.loop, self.address, self.feed = loop, address, feed.Feed(last)
        self.on_event, self.on_batch, self.log_event = on_event, on_batch, log_event
        self.timer, self.timer_at, self.closed = None, 0, False
        self.tcp = Tcp(
            loop,
            bounds,
            self._frame_received,
            self._lost,
            on_batch,
            Stream(feed.Framer, (PlatformError,), READ_BYTES, "unreached", "spoilt"),
            on_open=self._opened,
            on_progress=self._partial_received,
        )
        self.connections = FeedConnections(self, self.feed, rng, on_event)
        self.connections.start(now_us())
        self._arm()

    # ---- the sockets of FeedConnections ----

    def connect(self):
        """Connects to the feed's present address. Returns the connection's hop."""
        return self.tcp.connect(*self.address)

    def ask(self, hop):
        self.tcp.send(hop, self.feed.ask())

    def drop(self, hop):
        connection = self.tcp.by_hop.get(hop)
        if connection is not None:
            self.tcp.drop(connection)

    def has_unread(self, hop):
        """Whether input of this connection is waiting in its socket."""
        connection = self.tcp.by_hop.get(hop)
        return connection is not None and connection.established and connection.has_unread()

    def log(self, event, **fields):
        self.log_event("warning" if event in WARNINGS else "info", event, **fields)

    # ---- events ----

    def _opened(self, hop):
        self.connections.opened(now_us(), hop)
        self._arm()

    def _partial_received(self, hop):
        self.connections.partial_received(now_us(), hop)
        self._arm()

    def _frame_received(self, frame, hop):
        self.connections.frame_received(now_us(), hop, frame)
        self._arm()

    def _lost(self, hop, kind):
        self.connections.lost(now_us(), hop, kind)
        self._arm()

    def reconfigure(self, address, events):
        """Applies a new configuration: the new ones among its `known` events, then the feed at its new address."""
        for event in events:
            try:
                if self.feed.take(event):
                    self.on_event(event)
            except PlatformError:  # a gap in the numbers: the feed is asked for the events after the last one
                break
        now = now_us()
        if address != self.address:
            self.address = address
            self.connections.move(now)
        else:
            self.connections.hasten(now)
        self._arm()
        self.on_batch()

    # ---- the timer ----

    def _arm(self):
        """Sets the timer for the next decision; one that is set for an earlier time stays."""
        at = self.connections.next_at()
        if self.closed or at is None or (self.timer is not None and self.timer_at <= at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = at
        self.timer = self.loop.call_later(max(0, at - now_us()) / 1e6, self._timer_due)

    def _timer_due(self):
        self.timer = None
        self.connections.run(now_us())
        self._arm()

    async def close(self):
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        await self.tcp.close()
