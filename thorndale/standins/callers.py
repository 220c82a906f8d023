"""Callers: they ring, wait, give up, redial, stand for a while and hang up. Some cancel early, some repeat."""

from typing import NamedTuple

from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import Hop
from thorndale.standins.agent import Agent

GRACE_US = 300_000  # us past its Expires after which a caller that got no answer cancels


class Kind(NamedTuple):
    """One call type as callers know it."""

    name: str
    prefix: str
    part: float
    target_us: int
    guard_us: int
    patience_s: int
    hold_us: int
    revenue: float


class Want(NamedTuple):
    """What one caller wants, over all its tries."""

    serial: int
    kind: int
    caller: str
    number: str
    first_at: int


class Try:
    """One INVITE and what comes of it."""

    __slots__ = (
        "callers",
        "want",
        "tries",
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

    def __init__(self, callers, want, tries, proxy, transport):
        self.callers, self.want, self.tries, self.proxy, self.transport = callers, want, tries, proxy, transport
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
            self.callers.over(now, self, "no answer" if kind == "timeout" else kind, 0)


class Callers(Agent):
    """`ledger(now, event, try)` is told 'offered', 'stood', 'rejected', 'released', 'left', 'cut', 'no answer'."""

    def __init__(
        self,
        loop,
        limits,
        port,
        kinds,
        proxies,
        chance,
        ledger,
        saw,
        times=None,
        cancel_part=0.0,
        redials=3,
        place="caller",
    ):
        super().__init__(loop, limits, place, saw, times)
        self.listeners = [("udp", "127.0.0.1", port), ("tcp", "127.0.0.1", port)]
        self.kinds, self.proxies, self.chance, self.ledger = kinds, proxies, chance, ledger
        self.cancel_part, self.redials = cancel_part, redials
        self.dialogs, self.trying = {}, set()
        self.closing = False

    def start(self):
        self.open(self.listeners)

    def ring(self, now, want, proxy, transport):
        self.invite(now, Try(self, want, 0, proxy, transport))

    def invite(self, now, attempt):
        want, kind = attempt.want, self.kinds[attempt.want.kind]
        left = want.first_at + kind.guard_us - now
        patience = min(kind.patience_s, left // 1_000_000)
        if patience < 1:
            self.ledger(now, "gave up", attempt)
            return
        host, port = self.proxies[attempt.proxy]
        hop = Hop(attempt.transport, host, port, 0)
        branch = self.branch()
        attempt.tag = branch[7:]
        tail = ";transport=tcp" if attempt.transport == "tcp" else ""
        message = Message("INVITE", f"sip:{want.number}@{host}:{port}{tail}", body=b"v=0\r\ns=caller\r\n")
        for name, value in (
            ("Via", via_text(attempt.transport, "127.0.0.1", self.port, branch)),
            ("Max-Forwards", "70"),
            ("From", f"<sip:{want.caller}@127.0.0.1>;tag={attempt.tag}"),
            ("To", f"<sip:{want.number}@{host}>"),
            ("Call-ID", attempt.tag),
            ("CSeq", "1 INVITE"),
            ("Contact", self.contact(attempt.transport)),
            ("Expires", str(patience)),
            ("Session-ID", f"{want.serial:032x};try={attempt.tries}"),
            ("Content-Type", "application/sdp"),
        ):
            message.add(name, value)
        attempt.state, attempt.sent_at = "ringing", now
        self.trying.add(attempt)
        self.ledger(now, "offered", attempt)
        wait = patience * 1_000_000 + GRACE_US
        if self.chance() < self.cancel_part:
            wait = int(self.chance() * 400_000)
        attempt.tx = self.layer.request(now, message, hop, attempt)
        if attempt.state == "ringing":
            attempt.timer = self.timers.set(now + wait, attempt, "give up")

    def cancel(self, now, attempt):
        if attempt.state != "ringing" or attempt.tx.state == "calling":
            if attempt.state == "ringing":  # no CANCEL before a provisional (RFC 3261 section 9.1)
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
                self.ledger(now, "stood", attempt)
                hold = 0 if crossed else int(self.kinds[attempt.want.kind].hold_us * (0.2 + 1.6 * self.chance()))
                attempt.timer = self.timers.set(now + hold, attempt, "hang up")
            via = via_text(attempt.transport, "127.0.0.1", self.port, self.branch())
            self.send(attempt.dialog.hop, attempt.dialog.request("ACK", via, seq=1).encode())
            return
        wait = message.get("retry-after")
        left = attempt.state == "cancelling"
        how = "left" if left else "rejected" if message.status == 503 and wait else "released"
        self.over(now, attempt, how, 0 if left or message.status in (486, 404) else int(wait or 1))

    def over(self, now, attempt, how, wait_s):
        self.timers.cancel(attempt.timer)
        self.trying.discard(attempt)
        attempt.state = "over"
        self.ledger(now, how, attempt)
        if wait_s and attempt.tries < self.redials and not self.closing:
            again = Try(self, attempt.want, attempt.tries + 1, attempt.proxy, attempt.transport)
            again.timer = self.timers.set(now + int(wait_s * 1e6 * (0.7 + 0.6 * self.chance())), again, "redial")

    def hang_up(self, now, attempt):
        if attempt.state != "standing":
            return
        attempt.state = "over"
        self.trying.discard(attempt)
        self.dialogs.pop(attempt.tag, None)
        via = via_text(attempt.transport, "127.0.0.1", self.port, self.branch())
        self.layer.request(now, attempt.dialog.request("BYE", via), attempt.dialog.hop, self)

    def hang_up_all(self, now):
        self.closing = True
        for attempt in sorted(self.trying, key=lambda a: a.tag):
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
            self.trying.discard(attempt)
            attempt.state = "over"
            self.ledger(now, "cut", attempt)
        else:
            tx.respond(now, 481 if message.method == "BYE" else 405, "x")
