"""A SIP user agent for stand-ins, with its own sockets and transaction layer; reports each message to the auditor."""

from thorndale.net.clock import now_us
from thorndale.net.transport import TransportLayer
from thorndale.sip import message as m
from thorndale.sip.errors import SipError
from thorndale.sip.transaction import Hop, TimerDurations, TransactionLayer
from thorndale.sip.uri import host_port
from thorndale.timers import Timers


class Agent:
    """`observe(now, endpoint, event, data)` reports to the auditor; `endpoint` identifies this agent there."""

    def __init__(self, loop, limits, endpoint, observe, times=None):
        self.loop, self.limits, self.endpoint, self.observe = loop, limits, endpoint, observe
        self.timers = Timers()
        self.times = times or TimerDurations()
        self.layer = TransactionLayer(self.timers, self.times, 1 << 20, self, self.send)
        self.ends, self.port, self.host, self.serial = None, 0, "127.0.0.1", 0
        self.mute = False  # neither handles nor sends messages, like a hung process

    def open(self, listeners):
        self.ends = TransportLayer(self.loop, self.limits, self)
        self.ends.open(listeners)
        self.host, self.port = listeners[0][1], listeners[0][2]

    async def close(self):
        if self.ends is not None:
            ends, self.ends = self.ends, None
            await ends.close()

    def send(self, hop, data):
        if self.ends is not None and not self.mute:
            self.observe(now_us(), self.endpoint, "out", data)
            self.ends.send(hop, data)

    def receive(self, now, data, hop, stream=False):
        self.observe(now, self.endpoint, "in", data)
        if self.mute:
            return
        try:
            message = m.parse(data, stream)
            m.check(message)
            if message.method and not stream:
                m.add_received_params(message, hop.host, hop.port)
                hop = Hop("udp", *m.reply_address(message))
            self.layer.receive(now, message, hop)
        except SipError as error:
            self.observe(now, self.endpoint, "fault", str(error).encode())

    def lost(self, now, hop, kind):
        self.layer.fail_hop(now, hop, kind)

    def record_loop_delay(self, now, us):
        pass

    def run(self, now, most=1 << 30):
        self.timers.run(now, most)

    def flush(self, now):
        pass

    def arm(self):
        if self.ends is not None:
            self.ends.arm()

    def branch(self):
        self.serial += 1
        return f"z9hG4bK{self.endpoint.replace(':', '')}{self.serial:x}"

    def contact(self, transport):
        tail = ";transport=tcp" if transport == "tcp" else ""
        return f"<sip:{host_port(self.host, self.port)}{tail}>"

    # ---- default callbacks of the transaction layer ----

    def request(self, now, tx, message):
        tx.respond(now, 405, "x")

    def ack(self, now, message, hop):
        pass

    def stray(self, now, message, hop):
        pass

    def full(self, now, message, hop):
        pass

    def response(self, now, tx, message):
        pass

    def failed(self, now, tx, kind):
        pass
