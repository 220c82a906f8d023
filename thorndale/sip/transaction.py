"""The four transactions of RFC 3261 section 17 with the repair of RFC 6026, as tables.

A row reads: in this state, on this event, go to that state and do these things, in order. `Layer` finds the
transaction a message belongs to and makes new ones; what is to be sent goes to its `send(hop, bytes)`.

A hop is (transport, host, port, connection): connection 0 for a datagram or for whatever connection to that
address the net has or opens; else the connection that a message came by.

A user of a client transaction has
    response(now, transaction, message)     each response, 2xx of an INVITE also repeated
    failed(now, transaction, kind)          'timeout' (timers B, F), 'refused' (never sent), 'lost' (may have been)
of a server transaction
    failed(now, transaction, kind)          'no ack' (timer H), 'lost' (its connection before the final answer)
and the layer's user
    request(now, transaction, message)      a new request that is no ACK
    ack(now, message, hop)                  an ACK that belongs to no refusal: of a 2xx, or a stray
    stray(now, message, hop)                a response that belongs to no transaction
    full(now, message, hop)                 a new request while the bound on transactions is reached
"""

from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.message import Message, response_to

COOKIE = "z9hG4bK"  # RFC 3261 section 8.1.1.7


class Hop(NamedTuple):
    transport: str  # "udp" or "tcp"
    host: str
    port: int
    conn: int = 0


class Times(NamedTuple):
    """RFC 3261 section 17.1.1.1, in microseconds."""

    t1: int = 500_000
    t2: int = 4_000_000
    t4: int = 5_000_000
    d: int = 32_000_000  # timer D on datagrams: at least 32 s

    @property
    def most(self):
        """64 * T1: timers B, F, H, J, L and M."""
        return 64 * self.t1


# 17.1.1.2, figure 5, with RFC 6026 section 8.4's "accepted". "quiet": the user has given the INVITE up before
# any answer, so that it is repeated no more; what still comes is told all the same.
INVITE_CLIENT = {
    ("calling", "timer A"): ("calling", ("resend", "next A")),
    ("calling", "timer B"): ("terminated", ("timeout",)),
    ("calling", "1xx"): ("proceeding", ("stop A", "stop B", "tell")),
    ("calling", "2xx"): ("accepted", ("stop A", "stop B", "start M", "tell")),
    ("calling", "300-699"): ("completed", ("stop A", "stop B", "ack", "start D", "tell")),
    ("calling", "refused"): ("terminated", ("tell refused",)),
    ("calling", "lost"): ("terminated", ("tell lost",)),
    ("calling", "quiet"): ("calling", ("stop A",)),
    ("proceeding", "1xx"): ("proceeding", ("tell",)),
    ("proceeding", "2xx"): ("accepted", ("start M", "tell")),
    ("proceeding", "300-699"): ("completed", ("ack", "start D", "tell")),
    ("proceeding", "refused"): ("terminated", ("tell lost",)),
    ("proceeding", "lost"): ("terminated", ("tell lost",)),
    ("completed", "300-699"): ("completed", ("ack",)),
    ("completed", "timer D"): ("terminated", ()),
    ("completed", "refused"): ("terminated", ()),
    ("completed", "lost"): ("terminated", ()),
    ("accepted", "2xx"): ("accepted", ("tell",)),
    ("accepted", "timer M"): ("terminated", ()),
}
# 17.1.2.2, figure 6.
CLIENT = {
    ("trying", "timer E"): ("trying", ("resend", "next E")),
    ("trying", "timer F"): ("terminated", ("timeout",)),
    ("trying", "1xx"): ("proceeding", ("tell",)),
    ("trying", "2xx"): ("completed", ("stop E", "stop F", "start K", "tell", "slim")),
    ("trying", "300-699"): ("completed", ("stop E", "stop F", "start K", "tell", "slim")),
    ("trying", "refused"): ("terminated", ("tell refused",)),
    ("trying", "lost"): ("terminated", ("tell lost",)),
    ("proceeding", "timer E"): ("proceeding", ("resend", "next E at T2")),
    ("proceeding", "timer F"): ("terminated", ("timeout",)),
    ("proceeding", "1xx"): ("proceeding", ("tell",)),
    ("proceeding", "2xx"): ("completed", ("stop E", "stop F", "start K", "tell", "slim")),
    ("proceeding", "300-699"): ("completed", ("stop E", "stop F", "start K", "tell", "slim")),
    ("proceeding", "refused"): ("terminated", ("tell lost",)),
    ("proceeding", "lost"): ("terminated", ("tell lost",)),
    ("completed", "timer K"): ("terminated", ()),
}
# 17.2.1, figure 7, with RFC 6026 section 8.7's "accepted": repeats are absorbed there, the 2xx is the user's to
# repeat.
INVITE_SERVER = {
    ("proceeding", "request"): ("proceeding", ("resend",)),
    ("proceeding", "1xx"): ("proceeding", ("send",)),
    ("proceeding", "2xx"): ("accepted", ("start L", "send")),
    ("proceeding", "300-699"): ("completed", ("start G", "start H", "send")),
    ("proceeding", "lost"): ("terminated", ("tell lost",)),
    ("accepted", "request"): ("accepted", ()),
    ("accepted", "2xx"): ("accepted", ("send",)),
    ("accepted", "timer L"): ("terminated", ()),
    ("completed", "request"): ("completed", ("resend",)),
    ("completed", "timer G"): ("completed", ("resend", "next G")),
    ("completed", "timer H"): ("terminated", ("tell no ack",)),
    ("completed", "ACK"): ("confirmed", ("stop G", "stop H", "start I")),
    ("completed", "lost"): ("terminated", ("stop G", "stop H")),
    ("confirmed", "timer I"): ("terminated", ()),
}
# 17.2.2, figure 8.
SERVER = {
    ("trying", "1xx"): ("proceeding", ("send",)),
    ("trying", "2xx"): ("completed", ("start J", "send", "slim")),
    ("trying", "300-699"): ("completed", ("start J", "send", "slim")),
    ("trying", "lost"): ("terminated", ("tell lost",)),
    ("proceeding", "request"): ("proceeding", ("resend",)),
    ("proceeding", "1xx"): ("proceeding", ("send",)),
    ("proceeding", "2xx"): ("completed", ("start J", "send", "slim")),
    ("proceeding", "300-699"): ("completed", ("start J", "send", "slim")),
    ("proceeding", "lost"): ("terminated", ("tell lost",)),
    ("completed", "request"): ("completed", ("resend",)),
    ("completed", "timer J"): ("terminated", ()),
}


def _class_of(status):
    return "1xx" if status < 200 else "2xx" if status < 300 else "300-699"


class _Gone:
    """The user of a transaction that is over, or whose end nobody waits for: nothing is told."""

    __slots__ = ()

    def response(self, now, tx, message):
        pass

    def failed(self, now, tx, kind):
        pass

    def cancel_request(self, now, tx):
        pass


GONE = _Gone()


class Transaction:
    """One transaction. `message` is its request, `wire` the bytes to repeat, `user` who is told."""

    __slots__ = (
        "layer",
        "table",
        "key",
        "hop",
        "message",
        "wire",
        "user",
        "state",
        "timers",
        "gap",
        "last",
        "method",
        "merged",
    )

    def __init__(self, layer, table, key, hop, message, user, state):
        self.layer, self.table, self.key, self.hop = layer, table, key, hop
        self.message, self.user, self.state, self.wire = message, user, state, b""
        self.method = message.method
        self.timers, self.gap, self.last, self.merged = {}, 0, None, None

    @property
    def reliable(self):
        return self.hop.transport == "tcp"

    @property
    def over(self):
        return self.state == "terminated"

    def event(self, now, name, message=None):
        row = self.table.get((self.state, name))
        if row is None:
            return
        self.state = row[0]
        for action in row[1]:
            ACTIONS[action](self, now, message)
        if self.state == "terminated":
            self.layer.forget(self)

    def due(self, now, name):
        self.timers.pop(name, None)
        self.event(now, name)

    def start(self, now, name, wait):
        self.timers[name] = self.layer.timers.set(now + wait, self, name)

    def stop(self, name):
        self.layer.timers.cancel(self.timers.pop(name, None))

    def respond(self, now, status, to_tag="", reason="", extra=(), body=b""):
        """Sends a response through a server transaction; one that the state has no place for is not sent."""
        if self.message is None:
            return
        self.answer(now, response_to(self.message, status, to_tag, reason, extra, body))

    def answer(self, now, message):
        self.event(now, _class_of(message.status), message)

    def quiet(self, now):
        self.event(now, "quiet")

    def slim(self):
        """Lets go of what no state from here on needs: the request, and whom to tell. Some thousand transactions a
        second wait half a minute for repeats; they are most of the memory."""
        self.message, self.user = None, GONE


def _send(tx, now, message):
    tx.wire = message.encode()
    tx.layer.send(tx.hop, tx.wire)


def _resend(tx, now, message):
    if tx.wire:
        tx.layer.send(tx.hop, tx.wire)


def _next(name, to_t2, most):
    def step(tx, now, message):
        times = tx.layer.times
        tx.gap = times.t2 if to_t2 else min(tx.gap * 2, times.t2 if most else 1 << 60)
        tx.start(now, name, tx.gap)

    return step


def _start(name, wait, when_reliable=True):
    """Starts a timer; on a reliable transport, where `when_reliable` is false, it is 0 s and so falls due now."""

    def start(tx, now, message):
        if not when_reliable and tx.reliable:
            tx.state = "terminated"
        else:
            tx.start(now, name, wait(tx.layer.times))

    return start


def _start_g(tx, now, message):
    if not tx.reliable:
        tx.gap = tx.layer.times.t1
        tx.start(now, "timer G", tx.gap)


def _stop(name):
    return lambda tx, now, message: tx.stop(name)


def _tell_failed(kind):
    return lambda tx, now, message: tx.user.failed(now, tx, kind)


def _ack(tx, now, message):
    """The ACK of a refusal (RFC 3261 section 17.1.1.3): the INVITE's Via, Call-ID, From and Route, the To of the
    response."""
    if tx.last is None:
        invite = tx.message
        fields = [f for f in invite.fields if f[0] in ("via", "from", "call-id", "route", "max-forwards")]
        ack = Message("ACK", invite.uri, fields=fields)
        ack.add("To", message.get("to")).add("CSeq", f"{invite.cseq[0]} ACK")
        tx.last = ack.encode()
    tx.layer.send(tx.hop, tx.last)


ACTIONS = {
    "send": _send,
    "resend": _resend,
    "ack": _ack,
    "slim": lambda tx, now, message: tx.slim(),
    "tell": lambda tx, now, message: tx.user.response(now, tx, message),
    "timeout": _tell_failed("timeout"),
    "tell refused": _tell_failed("refused"),
    "tell lost": _tell_failed("lost"),
    "tell no ack": _tell_failed("no ack"),
    "next A": _next("timer A", False, False),
    "next E": _next("timer E", False, True),
    "next E at T2": _next("timer E", True, True),
    "next G": _next("timer G", False, True),
    "start D": _start("timer D", lambda t: t.d, False),
    "start G": _start_g,
    "start H": _start("timer H", lambda t: t.most),
    "start I": _start("timer I", lambda t: t.t4, False),
    "start J": _start("timer J", lambda t: t.most, False),
    "start K": _start("timer K", lambda t: t.t4, False),
    "start L": _start("timer L", lambda t: t.most),
    "start M": _start("timer M", lambda t: t.most),
    **{f"stop {n}": _stop(f"timer {n}") for n in "ABEFGH"},
}


class Layer:
    """All transactions of one element.

    `most` bounds them: at the bound a new request is handed to `user.full` and makes none, and `request` gives
    None. `send(hop, bytes)` carries out.
    """

    def __init__(self, timers, times, most, user, send):
        self.timers, self.times, self.most, self.user, self.send = timers, times, most, user, send
        self.servers, self.clients = {}, {}
        self.invites = {}  # (Call-ID, From tag, CSeq): server transaction, against merged requests
        self.by_hop = {}  # hop: its transactions that a lost connection or an unreachable port ends

    def __len__(self):
        return len(self.servers) + len(self.clients)

    def receive(self, now, message, hop):
        """One checked message. Raises SipError only for what `check` has not seen."""
        via = message.via
        if message.status:
            tx = self.clients.get((via.params.get("branch", ""), message.cseq[1]))
            if tx is None:
                self.user.stray(now, message, hop)
            else:
                tx.event(now, _class_of(message.status), message)
            return
        key = self.key(message, via)
        tx = self.servers.get(key)
        if message.method == "ACK":
            if tx is None or tx.state == "accepted":
                self.user.ack(now, message, hop)
            else:
                tx.event(now, "ACK", message)
            return
        if tx is not None:
            tx.event(now, "request", message)
            return
        if len(self) >= self.most:
            self.user.full(now, message, hop)
            return
        invite = message.method == "INVITE"
        tx = Transaction(
            self,
            INVITE_SERVER if invite else SERVER,
            key,
            hop,
            message,
            self.user,
            "proceeding" if invite else "trying",
        )
        if invite and not message.to_tag:
            # RFC 3261 section 8.2.2.2: the same request by another way.
            merged = (message.call_id, message.from_tag, message.cseq[0])
            if merged in self.invites:
                self._keep(self.servers, tx)
                tx.respond(now, 482, "merged")
                return
            self.invites[merged], tx.merged = tx, merged
        self._keep(self.servers, tx)
        self.user.request(now, tx, message)

    @staticmethod
    def key(message, via, method=""):
        """What a request's server transaction is known by (RFC 3261 section 17.2.3). Call-ID and From tag are
        part of it, so that another call's branch, guessed or repeated, never lands in this one's."""
        method = method or message.method
        method = "INVITE" if method == "ACK" else method
        branch = via.params.get("branch", "")
        if branch.startswith(COOKIE):
            return (branch, via.host.lower(), via.port, method, message.call_id, message.from_tag)
        return ("2543", message.cseq[0], message.get("via"), method, message.call_id, message.from_tag)

    def cancelled(self, message):
        """The INVITE's server transaction that this CANCEL is for, or None (RFC 3261 section 9.2)."""
        return self.servers.get(self.key(message, message.via, "INVITE"))

    def request(self, now, message, hop, user):
        """Sends a request that is no ACK through a new client transaction; None at the bound."""
        if len(self) >= self.most:
            return None
        invite = message.method == "INVITE"
        branch = message.via.params.get("branch", "")
        if not branch.startswith(COOKIE) or (branch, message.method) in self.clients:
            raise SipError("the branch is not new", "Via")
        tx = Transaction(
            self,
            INVITE_CLIENT if invite else CLIENT,
            (branch, message.method),
            hop,
            message,
            user,
            "calling" if invite else "trying",
        )
        tx.wire = message.encode()
        self._keep(self.clients, tx)
        tx.start(now, "timer B" if invite else "timer F", self.times.most)
        if not tx.reliable:
            tx.gap = self.times.t1
            tx.start(now, "timer A" if invite else "timer E", tx.gap)
        self.send(hop, tx.wire)
        return tx

    def lost(self, now, hop, kind):
        """A connection is gone ('lost') or never was, or an address is unreachable ('refused')."""
        for tx in sorted(self.by_hop.get(hop, ()), key=lambda t: t.key):
            tx.event(now, kind)

    def _keep(self, where, tx):
        where[tx.key] = tx
        if where is self.clients or tx.hop.transport == "tcp":
            self.by_hop.setdefault(tx.hop, set()).add(tx)

    def forget(self, tx):
        for name in list(tx.timers):
            tx.stop(name)
        tx.user = GONE  # or transaction and call would hold each other until a collection of cycles
        where = self.clients if tx.table is INVITE_CLIENT or tx.table is CLIENT else self.servers
        if where.get(tx.key) is tx:
            del where[tx.key]
        if tx.merged is not None and self.invites.get(tx.merged) is tx:
            del self.invites[tx.merged]
        found = self.by_hop.get(tx.hop)
        if found is not None:
            found.discard(tx)
            if not found:
                del self.by_hop[tx.hop]
