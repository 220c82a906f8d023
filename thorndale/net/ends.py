"""All sockets of one element behind one `send`, and its one timer on the loop's clock in whole microseconds."""

from thorndale.net.alarm import Alarm
from thorndale.net.clock import now_us
from thorndale.net.tcp import Tcp
from thorndale.net.udp import Udp

READ_FIRST_US = 20_000  # us that a timer may be late before the sockets are read ahead of it (see `Ends`)
SWEEP_S = 1.0


class Ends:
    """Carries bytes between sockets and a core that has `receive(now, data, hop, stream)`, `lost(now, hop, kind)`,
    `run(now, most)`, `flush(now)`, `late(now, us)` and `timers`.

    When the process stood still, what lies in the sockets came before what falls due now; so a late timer reads
    them first. Else answers that were there would be taken for time-outs.
    """

    def __init__(self, loop, limits, core=None):
        self.loop, self.limits, self.core = loop, limits, core
        self.udp, self.tcp = [], Tcp(loop, limits, self._stream, self._lost, self.batch)
        self.by_family = {}
        self.alarm, self.sweeper, self.closed = None, None, False

    def open(self, listeners):
        """Opens all or none. Raises OSError with `filename` set to the listener's name."""
        for transport, host, port in listeners:
            try:
                if transport == "udp":
                    udp = Udp(self.loop, host, port, self._datagram, self._unreachable, self.batch)
                    self.udp.append(udp)
                    self.by_family.setdefault(":" in host, udp)
                else:
                    self.tcp.listen(host, port)
            except OSError as fault:
                fault.filename = f"{transport}:{host}:{port}"
                raise
        self._sweep()

    def _sweep(self):
        self.tcp.sweep()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def _datagram(self, data, hop):
        self.core.receive(now_us(), data, hop)

    def _stream(self, data, hop):
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
        """After each batch of events: what the core makes of it, and its next timer."""
        if self.closed:
            return
        self.core.flush(now_us())
        self.arm()

    def arm(self):
        if self.alarm is None:  # the core is given after this was made
            self.alarm = Alarm(self.loop, self.core.timers, self._due)
        self.alarm.arm()

    def _due(self, late):
        now = now_us()
        if late > READ_FIRST_US:
            self.core.record_loop_delay(now, late)
            for udp in self.udp:
                udp.read(1024)
        try:
            self.core.run(now)
            self.core.flush(now)
        finally:
            self.arm()  # a fault in one callback must not stop the clock of all the others

    async def close(self):
        self.closed = True
        if self.alarm is not None:
            self.alarm.stop()
        if self.sweeper is not None:
            self.sweeper.cancel()
        await self.tcp.close()
        for udp in self.udp:
            udp.close()
