"""The control feed followed: asked from the last number had, anew after each break, silence or fault."""

from thorndale.net.connection import Stream
from thorndale.net.tcp import Tcp
from thorndale.platform import feed
from thorndale.platform.errors import PlatformError

SILENT_S = 1.7  # s without a byte after which it counts as broken: an empty frame comes each second
AGAIN_S = 0.05  # s from a break to the next try, doubled to the most
AGAIN_MOST_S = 0.5
SETTLED_S = (
    0.5  # s after it was asked from which an empty frame counts that names an event not had: it may follow still
)


class Follower:
    """`on_event(event)` for each new event, in order, and `on_batch()` after some. `move(address, known)` on SIGHUP."""

    def __init__(self, loop, bounds, address, last, on_event, on_batch, say):
        self.loop, self.address, self.feed = loop, address, feed.Feed(last)
        self.on_event, self.on_batch, self.say = on_event, on_batch, say
        self.tcp = Tcp(
            loop,
            bounds,
            self._frame,
            self._lost,
            on_batch,
            Stream(feed.Framer, (PlatformError,), 4096, "unreached", "spoilt"),
            on_open=self._opened,
            on_progress=self._progress,
        )
        self.hop, self.wait, self.again, self.silence, self.asked_at = None, AGAIN_S, None, None, 0.0
        self._connect()

    def _connect(self):
        self.again = None
        self.hop = self.tcp.connect(*self.address)

    def _opened(self, hop):
        if hop == self.hop:
            self.tcp.send(hop, self.feed.ask())
            self.asked_at = self.loop.time()
            self._heard()

    def _heard(self):
        if self.silence is not None:
            self.silence.cancel()
        self.silence = self.loop.call_later(SILENT_S, self._silent, self.hop)

    def _progress(self, hop):
        """Part of a frame has come: its feed writes slowly and is waited for, but not without end."""
        connection = self.tcp.by_hop.get(hop)
        if hop == self.hop and connection is not None and not connection.is_stuck(self.loop.time()):
            self._heard()

    def _silent(self, hop):
        if hop == self.hop:
            self._break("silent")

    def _frame(self, frame, hop):
        if hop != self.hop:
            return
        self._heard()
        try:
            self._take(frame)
            self.wait = AGAIN_S
        except PlatformError as fault:
            self._break(str(fault), self._next_wait())

    def _take(self, frame):
        event = feed.read(*frame)
        if event is not None:
            if self.feed.take(event):
                self.on_event(event)
        elif self.loop.time() >= self.asked_at + SETTLED_S:
            self.feed.take_empty(frame[0])

    def _next_wait(self):
        """The wait before a further try, doubled until a frame is of use."""
        wait, self.wait = self.wait, min(AGAIN_MOST_S, self.wait * 2)
        return wait

    def _break(self, why, wait=0):
        """Ends the connection and asks anew: at once, unless it was what came by it that is of no use."""
        self.say("warning", "control feed broken", why=why, last=self.feed.last)
        hop, self.hop = self.hop, None
        connection = self.tcp.by_hop.get(hop)
        if connection is not None:
            self.tcp.drop(connection)
        self._later(wait)

    def _later(self, wait):
        if self.again is not None:
            self.again.cancel()
        self.again = self.loop.call_later(wait, self._connect)

    def _lost(self, hop, kind):
        if hop == self.hop:
            self.say("warning", "control feed lost", kind=kind, last=self.feed.last)
            self.hop = None
            self._later(self._next_wait())

    def move(self, address, events):
        """The configuration was replaced: events of its `known` that are new, then the feed at its new address."""
        for event in events:
            try:
                if self.feed.take(event):
                    self.on_event(event)
            except PlatformError:  # a gap: the feed itself is asked from the last number had
                break
        if address != self.address or self.hop is None:
            self.address, self.wait = address, AGAIN_S
            self._break("moved")
        self.on_batch()

    async def close(self):
        for handle in (self.again, self.silence):
            if handle is not None:
                handle.cancel()
        await self.tcp.close()
