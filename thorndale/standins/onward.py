"""A setup box that carries calls on: its own work done, it sets the call up at the next hop through a border proxy.

Towards the proxy before it, it sends 181 once it has carried a call on, and passes a refusal from further down with its
status, Reason and Retry-After unchanged (RFC 3261 section 16.7, RFC 8606).
"""

from thorndale.net.clock import now_us
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.standins.agent import Agent
from thorndale.standins.box import Box, Standing

FORWARDED = 181
PASSED = ("Reason", "Retry-After")  # fields of a refusal that go on as they came
TRIED_AGAIN_US = 200_000  # us until a CANCEL is tried again that no provisional response allows yet
TOKEN_SHIFT = 64  # bits of a Session-ID below those that name the box


class OnwardLeg:
    """One call of a box at the next hop: ringing, standing, over."""

    __slots__ = ("caller", "call", "tx", "dialog", "state", "tag", "timer")

    def __init__(self, caller, call, tag):
        self.caller, self.call, self.tag = caller, call, tag
        self.tx = self.dialog = self.timer = None
        self.state = "ringing"

    def due(self, now, name):
        self.timer = None
        self.caller.cancel(now, self)

    def response(self, now, tx, message):
        self.caller.answered(now, self, tx, message)

    def failed(self, now, tx, kind):
        if tx is self.tx and self.state in ("ringing", "cancelling"):
            self.caller.refused(now, self, 500, [])


class OnwardCaller(Agent):
    """The calling side of a box. `box.carried(now, call)` and `box.turned_down(now, call, status, extra)` tell it what
    became of a call, `box.cut(now, call)` that one which stood has ended further down."""

    def __init__(self, loop, limits, box, number, proxy, expires_s, saw, times):
        super().__init__(loop, limits, f"caller:{box.name}x", saw, times)  # x: no digit of the branch behind it
        self.box, self.number, self.proxy, self.expires_s = box, number, proxy, expires_s
        self.legs, self.calls = {}, 0

    def ring(self, now, call):
        """Sets `call` of the box up at the next hop; gives its OnwardLeg."""
        self.calls += 1
        invite, branch = call.tx.message, self.branch()
        host, port = self.proxy
        number = invite.uri.partition(":")[2].partition("@")[0].partition(";")[0]
        leg = OnwardLeg(self, call, branch[7:])
        token = (self.number << TOKEN_SHIFT) + self.calls
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

    def answered(self, now, leg, tx, message):
        if tx is not leg.tx or message.status < 200:
            return
        if message.status >= 300:
            extra = [(name, value) for name in PASSED for value in message.all(name.lower())]
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
            self.box.carried(now, leg.call)

    def refused(self, now, leg, status, extra):
        was, leg.state = leg.state, "over"
        self._forget(leg)
        if was == "ringing":
            self.box.turned_down(now, leg.call, status, extra)

    def end(self, now, leg):
        """The box holds this call no more."""
        if leg.state == "ringing":
            self.cancel(now, leg)
        elif leg.state == "standing":
            self._bye(now, leg)

    def cancel(self, now, leg):
        if leg.state == "over":
            return
        leg.state = "cancelling"
        if leg.tx.state == "calling":  # RFC 3261 section 9.1: not before a provisional response
            leg.timer = self.timers.set(now + TRIED_AGAIN_US, leg, "cancel")
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
        self.box.cut(now, leg.call)


class OnwardStanding(Standing):
    __slots__ = ("leg",)

    def __init__(self, box, tx):
        super().__init__(box, tx)
        self.leg = None


class OnwardBox(Box):
    """`number`: its own among the boxes, from 1; `proxy`: (host, port) of its border proxy; `progress`: whether it says
    that it has carried a call on."""

    standing_kind = OnwardStanding

    def __init__(self, *given, number, proxy, caller_port, expires_s, progress=True):
        super().__init__(*given)
        loop, limits, saw, times = given[0], given[1], given[8], self.times
        self.progress = progress
        self.onward = OnwardCaller(loop, limits, self, number, proxy, expires_s, saw, times)
        self.caller_port = caller_port

    def start(self, cold):
        super().start(cold)
        self.onward.open([("udp", "127.0.0.1", self.caller_port)])

    async def die(self):
        await super().die()
        for leg in list(self.onward.legs.values()):
            self.onward.timers.cancel(leg.timer)
        self.onward.legs.clear()
        await self.onward.close()

    async def close(self):
        await super().close()
        await self.onward.close()

    def done(self, now, call):
        """The box's own work is done: the call goes on."""
        if call.tx.state != "proceeding":
            self._drop(call)
            return
        if self.progress:
            call.tx.respond(now, FORWARDED, "x")
        call.leg = self.onward.ring(now, call)

    def carried(self, now, call):
        super().done(now, call)
        self.arm()

    def turned_down(self, now, call, status, extra):
        self.processor.answer(now)
        if call.tx.state == "proceeding":
            call.tx.respond(now, status, "x", extra=[*extra, *self.load(now, call.tx)])
        self._drop(call)
        self.arm()

    def cut(self, now, call):
        self.release(now, call)
        self.arm()

    def _drop(self, call):
        super()._drop(call)
        if call.leg is not None:
            leg, call.leg = call.leg, None
            self.onward.end(now_us(), leg)
