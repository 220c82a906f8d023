"""The transport layer of one SIP element: all its sockets behind one `send`, and its timers on the event loop."""

from thorndale.net.alarm import Alarm
from thorndale.net.clock import now_us
from thorndale.net.tcp import Tcp
from thorndale.net.udp import Udp

LATE_TIMER_US = 20_000  # delay of a timer above which the sockets are read before it runs (see `TransportLayer`)
SWEEP_INTERVAL_S = 1.0


class TransportLayer:
    """Carries bytes between sockets and a core that has `receive(now, data, hop, stream)`, `lost(now, hop, kind)`,
    `run(now, most)`, `flush(now)`, `late(now, us)` and `timers`.

    A late timer runs after the sockets have been read (see `Alarm`); otherwise answers that have already arrived would
    be treated as time-outs.
    """

    def __init__(self, loop, limits, core=None):
        self.loop, self.limits, self.core = loop, limits, core
        self.udp, self.tcp = [], Tcp(loop, limits, self._stream_data, self._lost, self.batch)
        self.by_family = {}
        self.alarm, self.sweep_timer, self.closed = None, None, False

    def open(self, listeners):
        """Opens all listeners. Raises OSError with `filename` set to the name of the listener that failed."""
        for transport, host, port in listeners:
            try:
                if transport == "udp":
                    udp = Udp(self.loop, host, port, self._datagram, self._unreachable, self.batch)
                    self.udp.append(udp)
                    self.by_family.setdefault(":" in host, udp)
                else:
                    self.tcp.listen(host, port)
            except OSError as error:
                error.filename = f"{transport}:{host}:{port}"
                raise
        self._sweep()

    def _sweep(self):
        self.tcp.sweep()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _datagram(self, data, hop):
        self.core.receive(now_us(), data, hop)

    def _stream_data(self, data, hop):
        self.core.receive(now_us(), data, hop, True)

    def _unreachable(self, hop):
        self.core.lost(now_us(), hop, "refused")

    def _lost(self, hop, kind):
        self.core.lost(now_us(), hop, kind)

    def send(self, hop, data):
        if hop.transport == "udp":
            udp = self.by_family.get(":" in hop.host)
            if udp is not None:
                udp.send(hop, data)
        else:
            self.tcp.send(hop, data)

    def batch(self):
        """Called after each batch of events: flushes the core and sets its next timer."""
        if self.closed:
            return
        self.core.flush(now_us())
        self.arm()

    def arm(self):
        if self.alarm is None:  # the core is attached after construction
            self.alarm = Alarm(self.loop, self.core.timers, self._timers_due, LATE_TIMER_US)
        self.alarm.arm()

    def _timers_due(self, late):
        now = now_us()
        if late > LATE_TIMER_US:
            self.core.record_loop_delay(now, late)
            for udp in self.udp:
                udp.read(1024)
        try:
            self.core.run(now)
            self.core.flush(now)
        finally:
            self.arm()  # an error in one callback must not stop the timers of all the others

    async def close(self):
        self.closed = True
        if self.alarm is not None:
            self.alarm.stop()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        await self.tcp.close()
        for udp in self.udp:
            udp.close()
