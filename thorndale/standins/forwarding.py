"""A stand-in central server that forwards calls: after its own work it sets the call up at the next hop.

The next hop is reached through a border proxy. The previous hop's proxy gets a 181 when a call has been forwarded, and
a refusal by the next hop with its status, Reason and Retry-After unchanged (RFC 3261 section 16.7, RFC 8606).
"""

from thorndale.net.clock import now_us
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.standins.agent import Agent
from thorndale.standins.server import ServerCall, SetupServer

CALL_FORWARDED_STATUS = 181
COPIED_HEADERS = ("Reason", "Retry-After")  # headers of a refusal that are returned unchanged
CANCEL_RETRY_US = 200_000  # while no provisional response allows the CANCEL yet
SERVER_ID_SHIFT = 64  # bits of a Session-ID below those that identify the server


class ForwardedLeg:
    """The call leg of a server to the next hop. `state`: ringing, cancelling, standing (answered), over."""

    __slots__ = ("caller", "call", "tx", "dialog", "state", "tag", "timer")

    def __init__(self, caller, call, tag):
        self.caller, self.call, self.tag = caller, call, tag
        self.tx = self.dialog = self.timer = None
        self.state = "ringing"

    def due(self, now, name):
        self.timer = None
        self.caller.cancel(now, self)

    def response(self, now, tx, message):
        self.caller.on_response(now, self, tx, message)

    def failed(self, now, tx, kind):
        if tx is self.tx and self.state in ("ringing", "cancelling"):
            self.caller.refused(now, self, 500, [])


class ForwardingCaller(Agent):
    """The calling side of a forwarding server. It reports the outcome of a call with `on_answered(now, call)` or
    `on_refused(now, call, status, extra)`, and the end of an answered call at the next hop with `on_cut(now, call)`."""

    def __init__(self, loop, limits, server, number, proxy, expires_s, observe, times):
        # The x separates the name from the digits of the branch.
        super().__init__(loop, limits, f"caller:{server.name}x", observe, times)
        self.server, self.number, self.proxy, self.expires_s = server, number, proxy, expires_s
        self.legs, self.calls = {}, 0

    def place_call(self, now, call):
        """Sets `call` up at the next hop and returns the new leg."""
        self.calls += 1
        invite, branch = call.tx.message, self.branch()
        host, port = self.proxy
        number = invite.uri.partition(":")[2].partition("@")[0].partition(";")[0]
        leg = ForwardedLeg(self, call, branch[7:])
        token = (self.number << SERVER_ID_SHIFT) + self.calls
        message = Message("INVITE", f"sip:{number}@{host}:{port}", body=invite.body)
        for name, value in (
            ("Via", via_text("udp", "127.0.0.1", self.port, branch)),
            ("Max-Forwards", invite.get("max-forwards")),
            ("From", f"<{invite.from_.uri}>;tag={leg.tag}"),
            ("To", f"<sip:{number}@{host}>"),
            ("Call-ID", leg.tag),
            ("CSeq", "1 INVITE"),
            ("Contact", self.contact("udp")),
            ("Expires", str(self.expires_s)),
            ("Session-ID", f"{token:032x}"),
            ("Content-Type", "application/sdp"),
        ):
            message.add(name, value)
        self.legs[leg.tag] = leg
        leg.tx = self.layer.request(now, message, Hop("udp", host, port, 0), leg)
        self.arm()
        return leg

    def on_response(self, now, leg, tx, message):
        if tx is not leg.tx or message.status < 200:
            return
        if message.status >= 300:
            extra = [(name, value) for name in COPIED_HEADERS for value in message.all(name.lower())]
            self.refused(now, leg, message.status, extra)
            return
        if leg.dialog is None:
            try:
                leg.dialog = Dialog.from_response(tx.message, message, tx.hop)
            except SipError:
                self.refused(now, leg, 500, [])
                return
        via = via_text("udp", "127.0.0.1", self.port, self.branch())
        self.send(leg.dialog.hop, leg.dialog.request("ACK", via, seq=1).encode())
        if leg.state == "cancelling":  # the answer crossed the CANCEL
            self._bye(now, leg)
        elif leg.state == "ringing":
            leg.state = "standing"
            self.server.on_answered(now, leg.call)

    def refused(self, now, leg, status, extra):
        previous, leg.state = leg.state, "over"
        self._forget(leg)
        if previous == "ringing":
            self.server.on_refused(now, leg.call, status, extra)

    def end(self, now, leg):
        """Ends the leg of a call that the server has dropped."""
        if leg.state == "ringing":
            self.cancel(now, leg)
        elif leg.state == "standing":
            self._bye(now, leg)

    def cancel(self, now, leg):
        if leg.state == "over":
            return
        leg.state = "cancelling"
        if leg.tx.state == "calling":  # no CANCEL before a provisional response (RFC 3261 section 9.1)
            leg.timer = self.timers.set(now + CANCEL_RETRY_US, leg, "cancel")
        elif leg.tx.state == "proceeding":
            invite = leg.tx.message
            cancel = Message("CANCEL", invite.uri)
            cancel.fields = [f for f in invite.fields if f[0] in ("via", "max-forwards", "from", "to", "call-id")]
            cancel.add("CSeq", "1 CANCEL")
            self.layer.request(now, cancel, leg.tx.hop, self)
        self.arm()

    def _bye(self, now, leg):
        leg.state = "over"
        self._forget(leg)
        via = via_text("udp", "127.0.0.1", self.port, self.branch())
        self.layer.request(now, leg.dialog.request("BYE", via), leg.dialog.hop, self)
        self.arm()

    def _forget(self, leg):
        self.timers.cancel(leg.timer)
        self.legs.pop(leg.tag, None)

    def request(self, now, tx, message):
        leg = self.legs.get(message.to_tag)
        if message.method != "BYE" or leg is None or leg.state != "standing":
            tx.respond(now, 481 if message.method == "BYE" else 405, "x")
            return
        tx.respond(now, 200)
        leg.state = "over"
        self._forget(leg)
        self.server.on_cut(now, leg.call)


class ForwardedCall(ServerCall):
    __slots__ = ("leg",)

    def __init__(self, server, tx):
        super().__init__(server, tx)
        self.leg = None


class ForwardingServer(SetupServer):
    """`number`: its position among the servers, from 1; `proxy`: (host, port) of its border proxy; `progress`: whether
    it sends a 181 for a forwarded call."""

    call_class = ForwardedCall

    def __init__(self, *given, number, proxy, caller_port, expires_s, progress=True):
        super().__init__(*given)
        loop, limits, observe, times = given[0], given[1], given[8], self.times
        self.progress = progress
        self.forwarding = ForwardingCaller(loop, limits, self, number, proxy, expires_s, observe, times)
        self.caller_port = caller_port

    def start(self, cold):
        super().start(cold)
        self.forwarding.open([("udp", "127.0.0.1", self.caller_port)])

    async def die(self):
        await super().die()
        for leg in list(self.forwarding.legs.values()):
            self.forwarding.timers.cancel(leg.timer)
        self.forwarding.legs.clear()
        await self.forwarding.close()

    async def close(self):
        await super().close()
        await self.forwarding.close()

    def done(self, now, call):
        """Forwards a call after the server's own work on it."""
        if call.tx.state != "proceeding":
            self._drop(call)
            return
        if self.progress:
            call.tx.respond(now, CALL_FORWARDED_STATUS, "x")
        call.leg = self.forwarding.place_call(now, call)

    def on_answered(self, now, call):
        super().done(now, call)
        self.arm()

    def on_refused(self, now, call, status, extra):
        self.processor.answer(now)
        if call.tx.state == "proceeding":
            call.tx.respond(now, status, "x", extra=[*extra, *self.load(now, call.tx)])
        self._drop(call)
        self.arm()

    def on_cut(self, now, call):
        self.release(now, call)
        self.arm()

    def _drop(self, call):
        super()._drop(call)
        if call.leg is not None:
            leg, call.leg = call.leg, None
            self.forwarding.end(now_us(), leg)
