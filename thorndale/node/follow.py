"""Client of the control feed: requests the events after the last one received, and reconnects after each break, silence
or error."""

from thorndale.net.connection import Stream
from thorndale.net.tcp import Tcp
from thorndale.platform import feed
from thorndale.platform.errors import PlatformError

SILENCE_TIMEOUT_S = 1.7  # without a byte; the feed sends an empty frame every second
MIN_RETRY_S = 0.05  # first pause before reconnecting, doubled up to the maximum
MAX_RETRY_S = 0.5
# After a request, empty frames that name an event not yet received are ignored for this time: the event may follow.
EMPTY_FRAME_GRACE_S = 0.5


class FeedClient:
    """Calls `on_event(event)` for each new event, in order, and `on_batch()` after one or more. `reconfigure(address,
    known)` on SIGHUP."""

    def __init__(self, loop, bounds, address, last, on_event, on_batch, log_event):
        self.loop, self.address, self.feed = loop, address, feed.Feed(last)
        self.on_event, self.on_batch, self.log_event = on_event, on_batch, log_event
        self.tcp = Tcp(
            loop,
            bounds,
            self._frame_received,
            self._lost,
            on_batch,
            Stream(feed.Framer, (PlatformError,), 4096, "unreached", "spoilt"),
            on_open=self._opened,
            on_progress=self._progress,
        )
        self.hop, self.retry_s, self.reconnect_timer, self.silence_timer, self.requested_at = (
            None,
            MIN_RETRY_S,
            None,
            None,
            0.0,
        )
        self._connect()

    def _connect(self):
        self.reconnect_timer = None
        self.hop = self.tcp.connect(*self.address)

    def _opened(self, hop):
        if hop == self.hop:
            self.tcp.send(hop, self.feed.ask())
            self.requested_at = self.loop.time()
            self._restart_silence_timer()

    def _restart_silence_timer(self):
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = self.loop.call_later(SILENCE_TIMEOUT_S, self._silence_elapsed, self.hop)

    def _progress(self, hop):
        """Part of a frame has been read: a feed that writes slowly is not silent, within the limit for a message."""
        connection = self.tcp.by_hop.get(hop)
        if hop == self.hop and connection is not None and not connection.is_stuck(self.loop.time()):
            self._restart_silence_timer()

    def _silence_elapsed(self, hop):
        if hop == self.hop:
            self._reconnect("silent")

    def _frame_received(self, frame, hop):
        if hop != self.hop:
            return
        self._restart_silence_timer()
        try:
            self._process(frame)
            self.retry_s = MIN_RETRY_S
        except PlatformError as error:
            self._reconnect(str(error), self._next_retry())

    def _process(self, frame):
        event = feed.read(*frame)
        if event is not None:
            if self.feed.take(event):
                self.on_event(event)
        elif self.loop.time() >= self.requested_at + EMPTY_FRAME_GRACE_S:
            self.feed.take_empty(frame[0])

    def _next_retry(self):
        """The pause before the next attempt, doubled until a valid frame is received."""
        retry_s, self.retry_s = self.retry_s, min(MAX_RETRY_S, self.retry_s * 2)
        return retry_s

    def _reconnect(self, why, delay_s=0):
        """Ends the connection and opens another: at once, or after a pause where invalid data was received."""
        self.log_event("warning", "control feed broken", why=why, last=self.feed.last)
        hop, self.hop = self.hop, None
        connection = self.tcp.by_hop.get(hop)
        if connection is not None:
            self.tcp.drop(connection)
        self._connect_later(delay_s)

    def _connect_later(self, delay_s):
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
        self.reconnect_timer = self.loop.call_later(delay_s, self._connect)

    def _lost(self, hop, kind):
        if hop == self.hop:
            self.log_event("warning", "control feed lost", kind=kind, last=self.feed.last)
            self.hop = None
            self._connect_later(self._next_retry())

    def reconfigure(self, address, events):
        """Applies a new configuration: the new ones among its `known` events, then the feed at its new address."""
        for event in events:
            try:
                if self.feed.take(event):
                    self.on_event(event)
            except PlatformError:  # a gap in the numbers: the feed is asked for the events after the last one
                break
        if address != self.address or self.hop is None:
            self.address, self.retry_s = address, MIN_RETRY_S
            self._reconnect("moved")
        self.on_batch()

    async def close(self):
        for handle in (self.reconnect_timer, self.silence_timer):
            if handle is not None:
                handle.cancel()
        await self.tcp.close()
