"""Callers: they place calls, cancel or redial unanswered ones, and hang up answered ones after a hold time."""

from typing import NamedTuple

from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.standins.agent import Agent

CANCEL_GRACE_US = 300_000  # after its Expires; then a caller without an answer cancels


class CallerType(NamedTuple):
    """A call type as callers use it. `part`: its share of the calls."""

    name: str
    prefix: str
    part: float
    target_us: int
    guard_us: int
    patience_s: int
    hold_us: int
    revenue: float


class CallIntent(NamedTuple):
    """One call that a caller wants to make, over all its attempts."""

    serial: int
    kind: int
    caller: str
    number: str
    first_at: int


class Attempt:
    """One INVITE and the call that results from it."""

    __slots__ = (
        "callers",
        "intent",
        "redial_count",
        "tx",
        "dialog",
        "state",
        "sent_at",
        "timer",
        "transport",
        "tag",
        "proxy",
        "cancel_at",
    )

    def __init__(self, callers, intent, redial_count, proxy, transport):
        self.callers, self.intent, self.redial_count, self.proxy, self.transport = (
            callers,
            intent,
            redial_count,
            proxy,
            transport,
        )
        self.tx = self.dialog = self.timer = None
        self.state, self.sent_at, self.cancel_at, self.tag = "new", 0, 0, ""

    def due(self, now, name):
        self.timer = None
        if name == "give up":
            self.callers.cancel(now, self)
        elif name == "hang up":
            self.callers.hang_up(now, self)
        elif name == "redial":
            self.callers.invite(now, self)

    def response(self, now, tx, message):
        self.callers.answer(now, self, tx, message)

    def failed(self, now, tx, kind):
        if tx is self.tx and self.state in ("ringing", "cancelling"):
            self.callers.finish(now, self, "no answer" if kind == "timeout" else kind, 0)


class Callers(Agent):
    """`report(now, event, attempt)` gets 'offered', 'stood' (answered), 'rejected', 'released', 'left' (the caller
    cancelled), 'cut' (the server ended an answered call), 'no answer', 'gave up' and transport errors."""

    def __init__(
        self,
        loop,
        limits,
        port,
        kinds,
        proxies,
        random,
        report,
        observe,
        times=None,
        cancel_part=0.0,
        redials=3,
        endpoint="caller",
    ):
        super().__init__(loop, limits, endpoint, observe, times)
        self.listeners = [("udp", "127.0.0.1", port), ("tcp", "127.0.0.1", port)]
        self.kinds, self.proxies, self.random, self.report = kinds, proxies, random, report
        self.cancel_part, self.redials = cancel_part, redials
        self.dialogs, self.attempts = {}, set()
        self.closing = False

    def start(self):
        self.open(self.listeners)

    def place_call(self, now, intent, proxy, transport):
        self.invite(now, Attempt(self, intent, 0, proxy, transport))

    def invite(self, now, attempt):
        intent, kind = attempt.intent, self.kinds[attempt.intent.kind]
        remaining_us = intent.first_at + kind.guard_us - now
        patience_s = min(kind.patience_s, remaining_us // 1_000_000)
        if patience_s < 1:
            self.report(now, "gave up", attempt)
            return
        host, port = self.proxies[attempt.proxy]
        hop = Hop(attempt.transport, host, port, 0)
        branch = self.branch()
        attempt.tag = branch[7:]
        tail = ";transport=tcp" if attempt.transport == "tcp" else ""
        message = Message("INVITE", f"sip:{intent.number}@{host}:{port}{tail}", body=b"v=0\r\ns=caller\r\n")
        for name, value in (
            ("Via", via_text(attempt.transport, "127.0.0.1", self.port, branch)),
            ("Max-Forwards", "70"),
            ("From", f"<sip:{intent.caller}@127.0.0.1>;tag={attempt.tag}"),
            ("To", f"<sip:{intent.number}@{host}>"),
            ("Call-ID", attempt.tag),
            ("CSeq", "1 INVITE"),
            ("Contact", self.contact(attempt.transport)),
            ("Expires", str(patience_s)),
            ("Session-ID", f"{intent.serial:032x};try={attempt.redial_count}"),
            ("Content-Type", "application/sdp"),
        ):
            message.add(name, value)
        attempt.state, attempt.sent_at = "ringing", now
        self.attempts.add(attempt)
        self.report(now, "offered", attempt)
        wait_us = patience_s * 1_000_000 + CANCEL_GRACE_US
        if self.random() < self.cancel_part:
            wait_us = int(self.random() * 400_000)
        attempt.tx = self.layer.request(now, message, hop, attempt)
        if attempt.state == "ringing":
            attempt.timer = self.timers.set(now + wait_us, attempt, "give up")

    def cancel(self, now, attempt):
        if attempt.state != "ringing" or attempt.tx.state == "calling":
            if attempt.state == "ringing":  # no CANCEL before a provisional response (RFC 3261 section 9.1)
                attempt.timer = self.timers.set(now + 200_000, attempt, "give up")
            return
        attempt.state = "cancelling"
        invite = attempt.tx.message
        cancel = Message("CANCEL", invite.uri)
        cancel.fields = [f for f in invite.fields if f[0] in ("via", "max-forwards", "from", "to", "call-id")]
        cancel.add("CSeq", "1 CANCEL")
        self.layer.request(now, cancel, attempt.tx.hop, self)

    def answer(self, now, attempt, tx, message):
        if tx is not attempt.tx or message.status < 200:
            return
        if message.status < 300:
            if attempt.dialog is None:
                try:
                    attempt.dialog = Dialog.from_response(tx.message, message, tx.hop)
                except SipError:
                    return
                self.dialogs[attempt.tag] = attempt
                first = attempt.state == "ringing"
                crossed, attempt.state = not first, "standing"
                self.timers.cancel(attempt.timer)
                self.report(now, "stood", attempt)
                hold = 0 if crossed else int(self.kinds[attempt.intent.kind].hold_us * (0.2 + 1.6 * self.random()))
                attempt.timer = self.timers.set(now + hold, attempt, "hang up")
            via = via_text(attempt.transport, "127.0.0.1", self.port, self.branch())
            self.send(attempt.dialog.hop, attempt.dialog.request("ACK", via, seq=1).encode())
            return
        retry_after = message.get("retry-after")
        abandoned = attempt.state == "cancelling"
        how = "left" if abandoned else "rejected" if message.status == 503 and retry_after else "released"
        self.finish(now, attempt, how, 0 if abandoned or message.status in (486, 404) else int(retry_after or 1))

    def finish(self, now, attempt, how, wait_s):
        self.timers.cancel(attempt.timer)
        self.attempts.discard(attempt)
        attempt.state = "over"
        self.report(now, how, attempt)
        if wait_s and attempt.redial_count < self.redials and not self.closing:
            redial = Attempt(self, attempt.intent, attempt.redial_count + 1, attempt.proxy, attempt.transport)
            redial.timer = self.timers.set(now + int(wait_s * 1e6 * (0.7 + 0.6 * self.random())), redial, "redial")

    def hang_up(self, now, attempt):
        if attempt.state != "standing":
            return
        attempt.state = "over"
        self.attempts.discard(attempt)
        self.dialogs.pop(attempt.tag, None)
        via = via_text(attempt.transport, "127.0.0.1", self.port, self.branch())
        self.layer.request(now, attempt.dialog.request("BYE", via), attempt.dialog.hop, self)

    def hang_up_all(self, now):
        self.closing = True
        for attempt in sorted(self.attempts, key=lambda a: a.tag):
            self.timers.cancel(attempt.timer)
            if attempt.state == "standing":
                self.hang_up(now, attempt)
        self.arm()

    def request(self, now, tx, message):
        attempt = self.dialogs.get(message.to_tag)
        if message.method == "BYE" and attempt is not None:
            tx.respond(now, 200)
            self.timers.cancel(attempt.timer)
            self.dialogs.pop(attempt.tag, None)
            self.attempts.discard(attempt)
            attempt.state = "over"
            self.report(now, "cut", attempt)
        else:
            tx.respond(now, 481 if message.method == "BYE" else 405, "x")
