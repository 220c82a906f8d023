"""The four transaction state machines of RFC 3261 section 17, with the corrections of RFC 6026, as tables.

A row maps (state, event) to (next state, actions in order). `TransactionLayer` matches messages to transactions
and creates new ones; it sends through its `send(hop, bytes)`.

A hop is (transport, host, port, connection). Connection 0 stands for a datagram, or for any connection to that address
that the network layer has or opens; another number is the connection on which a message arrived.

The transaction user (RFC 3261 section 17) is called back. For a client transaction:
    response(now, transaction, message)     each response, including retransmitted 2xx of an INVITE
    failed(now, transaction, kind)          'timeout' (timers B, F), 'refused' (not sent), 'lost' (possibly sent)
For a server transaction:
    failed(now, transaction, kind)          'no ack' (timer H), 'lost' (connection lost before the final response)
The user of the layer:
    request(now, transaction, message)      a new request other than ACK
    ack(now, message, hop)                  an ACK that matches no non-2xx response: for a 2xx, or stray
    stray(now, message, hop)                a response that matches no transaction
    full(now, message, hop)                 a new request while the limit on transactions is reached
"""

from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.message import Message, response_to

BRANCH_COOKIE = "z9hG4bK"  # start of every RFC 3261 branch (section 8.1.1.7)


class Hop(NamedTuple):
    transport: str  # "udp" or "tcp"
    host: str
    port: int
    conn: int = 0


class TimerDurations(NamedTuple):
    """Timer values (RFC 3261 section 17.1.1.1), in microseconds."""

    t1: int = 500_000
    t2: int = 4_000_000
    t4: int = 5_000_000
    timer_d: int = 32_000_000  # on datagrams; RFC 3261 requires at least 32 s

    @property
    def transaction_timeout(self):
        """64 * T1: timers B, F, H, J, L and M."""
        return 64 * self.t1


# RFC 3261 section 17.1.1.2, figure 5, with the "accepted" state of RFC 6026 section 8.4. "stop retransmission":
# the user abandons the INVITE before any response; responses that still arrive are delivered.
INVITE_CLIENT = {
    ("calling", "timer A"): ("calling", ("retransmit", "restart A")),
    ("calling", "timer B"): ("terminated", ("report timeout",)),
    ("calling", "1xx"): ("proceeding", ("stop A", "stop B", "deliver")),
    ("calling", "2xx"): ("accepted", ("stop A", "stop B", "start M", "deliver")),
    ("calling", "300-699"): ("completed", ("stop A", "stop B", "ack", "start D", "deliver")),
    ("calling", "refused"): ("terminated", ("report refused",)),
    ("calling", "lost"): ("terminated", ("report lost",)),
    ("calling", "stop retransmission"): ("calling", ("stop A",)),
    ("proceeding", "1xx"): ("proceeding", ("deliver",)),
    ("proceeding", "2xx"): ("accepted", ("start M", "deliver")),
    ("proceeding", "300-699"): ("completed", ("ack", "start D", "deliver")),
    ("proceeding", "refused"): ("terminated", ("report lost",)),
    ("proceeding", "lost"): ("terminated", ("report lost",)),
    ("completed", "300-699"): ("completed", ("ack",)),
    ("completed", "timer D"): ("terminated", ()),
    ("completed", "refused"): ("terminated", ()),
    ("completed", "lost"): ("terminated", ()),
    ("accepted", "2xx"): ("accepted", ("deliver",)),
    ("accepted", "timer M"): ("terminated", ()),
}
# RFC 3261 section 17.1.2.2, figure 6.
CLIENT = {
    ("trying", "timer E"): ("trying", ("retransmit", "restart E")),
    ("trying", "timer F"): ("terminated", ("report timeout",)),
    ("trying", "1xx"): ("proceeding", ("deliver",)),
    ("trying", "2xx"): ("completed", ("stop E", "stop F", "start K", "deliver", "drop request")),
    ("trying", "300-699"): ("completed", ("stop E", "stop F", "start K", "deliver", "drop request")),
    ("trying", "refused"): ("terminated", ("report refused",)),
    ("trying", "lost"): ("terminated", ("report lost",)),
    ("proceeding", "timer E"): ("proceeding", ("retransmit", "restart E at T2")),
    ("proceeding", "timer F"): ("terminated", ("report timeout",)),
    ("proceeding", "1xx"): ("proceeding", ("deliver",)),
    ("proceeding", "2xx"): ("completed", ("stop E", "stop F", "start K", "deliver", "drop request")),
    ("proceeding", "300-699"): ("completed", ("stop E", "stop F", "start K", "deliver", "drop request")),
    ("proceeding", "refused"): ("terminated", ("report lost",)),
    ("proceeding", "lost"): ("terminated", ("report lost",)),
    ("completed", "timer K"): ("terminated", ()),
}
# RFC 3261 section 17.2.1, figure 7, with the "accepted" state of RFC 6026 section 8.7: it absorbs retransmitted
# INVITEs, and the user retransmits the 2xx.
INVITE_SERVER = {
    ("proceeding", "request"): ("proceeding", ("retransmit",)),
    ("proceeding", "1xx"): ("proceeding", ("send",)),
    ("proceeding", "2xx"): ("accepted", ("start L", "send")),
    ("proceeding", "300-699"): ("completed", ("start G", "start H", "send")),
    ("proceeding", "lost"): ("terminated", ("report lost",)),
    ("accepted", "request"): ("accepted", ()),
    ("accepted", "2xx"): ("accepted", ("send",)),
    ("accepted", "timer L"): ("terminated", ()),
    ("completed", "request"): ("completed", ("retransmit",)),
    ("completed", "timer G"): ("completed", ("retransmit", "restart G")),
    ("completed", "timer H"): ("terminated", ("report no ack",)),
    ("completed", "ACK"): ("confirmed", ("stop G", "stop H", "start I")),
    ("completed", "lost"): ("terminated", ("stop G", "stop H")),
    ("confirmed", "timer I"): ("terminated", ()),
}
# RFC 3261 section 17.2.2, figure 8.
SERVER = {
    ("trying", "1xx"): ("proceeding", ("send",)),
    ("trying", "2xx"): ("completed", ("start J", "send", "drop request")),
    ("trying", "300-699"): ("completed", ("start J", "send", "drop request")),
    ("trying", "lost"): ("terminated", ("report lost",)),
    ("proceeding", "request"): ("proceeding", ("retransmit",)),
    ("proceeding", "1xx"): ("proceeding", ("send",)),
    ("proceeding", "2xx"): ("completed", ("start J", "send", "drop request")),
    ("proceeding", "300-699"): ("completed", ("start J", "send", "drop request")),
    ("proceeding", "lost"): ("terminated", ("report lost",)),
    ("completed", "request"): ("completed", ("retransmit",)),
    ("completed", "timer J"): ("terminated", ()),
}


def _class_of(status):
    return "1xx" if status < 200 else "2xx" if status < 300 else "300-699"


class _NullUser:
    """Ignores all callbacks: the user of a terminated transaction, or of one whose outcome nobody needs."""

    __slots__ = ()

    def response(self, now, tx, message):
        pass

    def failed(self, now, tx, kind):
        pass

    def cancel_request(self, now, tx):
        pass


NULL_USER = _NullUser()


class Transaction:
    """One transaction. `message` is its request, `wire` the bytes to retransmit, `user` receives the callbacks."""

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
        "retransmit_interval",
        "ack_bytes",
        "method",
        "request_identity",
    )

    def __init__(self, layer, table, key, hop, message, user, state):
        self.layer, self.table, self.key, self.hop = layer, table, key, hop
        self.message, self.user, self.state, self.wire = message, user, state, b""
        self.method = message.method
        self.timers, self.retransmit_interval, self.ack_bytes, self.request_identity = {}, 0, None, None

    @property
    def reliable(self):
        return self.hop.transport == "tcp"

    @property
    def is_terminated(self):
        return self.state == "terminated"

    def handle_event(self, now, name, message=None):
        row = self.table.get((self.state, name))
        if row is None:
            return
        self.state = row[0]
        for action in row[1]:
            ACTIONS[action](self, now, message)
        if self.state == "terminated":
            self.layer.remove(self)

    def due(self, now, name):
        self.timers.pop(name, None)
        self.handle_event(now, name)

    def start_timer(self, now, name, delay):
        self.timers[name] = self.layer.timers.set(now + delay, self, name)

    def stop_timer(self, name):
        self.layer.timers.cancel(self.timers.pop(name, None))

    def respond(self, now, status, to_tag="", reason="", extra=(), body=b""):
        """Sends a response through a server transaction; one that its state does not allow is dropped."""
        if self.message is None:
            return
        self.send_response(now, response_to(self.message, status, to_tag, reason, extra, body))

    def send_response(self, now, message):
        self.handle_event(now, _class_of(message.status), message)

    def stop_retransmitting(self, now):
        self.handle_event(now, "stop retransmission")

    def drop_request(self):
        """Releases the request and the user, which no later state needs.

        At some thousand transactions per second, each waiting half a minute for retransmissions, these transactions
        take most of the memory.
        """
        self.message, self.user = None, NULL_USER


def _send(tx, now, message):
    tx.wire = message.encode()
    tx.layer.send(tx.hop, tx.wire)


def _retransmit(tx, now, message):
    if tx.wire:
        tx.layer.send(tx.hop, tx.wire)


def _restart(name, at_t2, capped_at_t2):
    """Restarts a retransmission timer: at T2, or at twice the last interval."""

    def restart(tx, now, message):
        times = tx.layer.times
        tx.retransmit_interval = (
            times.t2 if at_t2 else min(tx.retransmit_interval * 2, times.t2 if capped_at_t2 else 1 << 60)
        )
        tx.start_timer(now, name, tx.retransmit_interval)

    return restart


def _start(name, duration, when_reliable=True):
    """Starts a timer. With `when_reliable` false it is 0 s on a reliable transport: the transaction ends at once."""

    def start(tx, now, message):
        if not when_reliable and tx.reliable:
            tx.state = "terminated"
        else:
            tx.start_timer(now, name, duration(tx.layer.times))

    return start


def _start_timer_g(tx, now, message):
    if not tx.reliable:
        tx.retransmit_interval = tx.layer.times.t1
        tx.start_timer(now, "timer G", tx.retransmit_interval)


def _stop(name):
    return lambda tx, now, message: tx.stop_timer(name)


def _report_failure(kind):
    return lambda tx, now, message: tx.user.failed(now, tx, kind)


def _send_ack(tx, now, message):
    """Sends the ACK of a non-2xx final response (RFC 3261 section 17.1.1.3): Via, Call-ID, From and Route of the
    INVITE, To of the response."""
    if tx.ack_bytes is None:
        invite = tx.message
        fields = [f for f in invite.fields if f[0] in ("via", "from", "call-id", "route", "max-forwards")]
        ack = Message("ACK", invite.uri, fields=fields)
        ack.add("To", message.get("to")).add("CSeq", f"{invite.cseq[0]} ACK")
        tx.ack_bytes = ack.encode()
    tx.layer.send(tx.hop, tx.ack_bytes)


ACTIONS = {
    "send": _send,
    "retransmit": _retransmit,
    "ack": _send_ack,
    "drop request": lambda tx, now, message: tx.drop_request(),
    "deliver": lambda tx, now, message: tx.user.response(now, tx, message),
    "report timeout": _report_failure("timeout"),
    "report refused": _report_failure("refused"),
    "report lost": _report_failure("lost"),
    "report no ack": _report_failure("no ack"),
    "restart A": _restart("timer A", False, False),
    "restart E": _restart("timer E", False, True),
    "restart E at T2": _restart("timer E", True, True),
    "restart G": _restart("timer G", False, True),
    "start D": _start("timer D", lambda t: t.timer_d, False),
    "start G": _start_timer_g,
    "start H": _start("timer H", lambda t: t.transaction_timeout),
    "start I": _start("timer I", lambda t: t.t4, False),
    "start J": _start("timer J", lambda t: t.transaction_timeout, False),
    "start K": _start("timer K", lambda t: t.t4, False),
    "start L": _start("timer L", lambda t: t.transaction_timeout),
    "start M": _start("timer M", lambda t: t.transaction_timeout),
    **{f"stop {n}": _stop(f"timer {n}") for n in "ABEFGH"},
}


class TransactionLayer:
    """All transactions of one SIP element.

    `limit` bounds their number: at the limit a received request is passed to `user.full` without a transaction, and
    `request` returns None. `send(hop, bytes)` transmits.
    """

    def __init__(self, timers, times, limit, user, send):
        self.timers, self.times, self.limit, self.user, self.send = timers, times, limit, user, send
        self.server_transactions, self.client_transactions = {}, {}
        self.invites_by_identity = {}  # (Call-ID, From tag, CSeq) to server transaction, to detect merged requests
        self.by_hop = {}  # hop to the transactions that a lost connection or an unreachable port terminates

    def __len__(self):
        return len(self.server_transactions) + len(self.client_transactions)

    def receive(self, now, message, hop):
        """Handles one message that has passed `check`. Raises SipError only for errors that `check` does not detect."""
        via = message.via
        if message.status:
            tx = self.client_transactions.get((via.params.get("branch", ""), message.cseq[1]))
            if tx is None:
                self.user.stray(now, message, hop)
            else:
                tx.handle_event(now, _class_of(message.status), message)
            return
        key = self.server_key(message, via)
        tx = self.server_transactions.get(key)
        if message.method == "ACK":
            if tx is None or tx.state == "accepted":
                self.user.ack(now, message, hop)
            else:
                tx.handle_event(now, "ACK", message)
            return
        if tx is not None:
            tx.handle_event(now, "request", message)
            return
        if len(self) >= self.limit:
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
            # RFC 3261 section 8.2.2.2: the same request received over another path.
            identity = (message.call_id, message.from_tag, message.cseq[0])
            if identity in self.invites_by_identity:
                self._register(self.server_transactions, tx)
                tx.respond(now, 482, "merged")
                return
            self.invites_by_identity[identity], tx.request_identity = tx, identity
        self._register(self.server_transactions, tx)
        self.user.request(now, tx, message)

    @staticmethod
    def server_key(message, via, method=""):
        """The key of a request's server transaction (RFC 3261 section 17.2.3).

        It includes Call-ID and From tag, so that a request of another call with a guessed or repeated branch never
        matches this transaction.
        """
        method = method or message.method
        method = "INVITE" if method == "ACK" else method
        branch = via.params.get("branch", "")
        if branch.startswith(BRANCH_COOKIE):
            return (branch, via.host.lower(), via.port, method, message.call_id, message.from_tag)
        return ("2543", message.cseq[0], message.get("via"), method, message.call_id, message.from_tag)

    def cancelled_invite(self, message):
        """The server transaction of the INVITE that this CANCEL cancels, or None (RFC 3261 section 9.2)."""
        return self.server_transactions.get(self.server_key(message, message.via, "INVITE"))

    def request(self, now, message, hop, user):
        """Sends a request other than ACK through a new client transaction; returns None at the limit."""
        if len(self) >= self.limit:
            return None
        invite = message.method == "INVITE"
        branch = message.via.params.get("branch", "")
        if not branch.startswith(BRANCH_COOKIE) or (branch, message.method) in self.client_transactions:
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
        self._register(self.client_transactions, tx)
        tx.start_timer(now, "timer B" if invite else "timer F", self.times.transaction_timeout)
        if not tx.reliable:
            tx.retransmit_interval = self.times.t1
            tx.start_timer(now, "timer A" if invite else "timer E", tx.retransmit_interval)
        self.send(hop, tx.wire)
        return tx

    def fail_hop(self, now, hop, kind):
        """Reports to the transactions of a hop that its connection was lost ('lost'), or that it could not be connected
        or reached ('refused')."""
        for tx in sorted(self.by_hop.get(hop, ()), key=lambda t: t.key):
            tx.handle_event(now, kind)

    def _register(self, transactions, tx):
        transactions[tx.key] = tx
        if transactions is self.client_transactions or tx.hop.transport == "tcp":
            self.by_hop.setdefault(tx.hop, set()).add(tx)

    def remove(self, tx):
        for name in list(tx.timers):
            tx.stop_timer(name)
        tx.user = NULL_USER  # breaks the reference cycle with the call, which would stay until a garbage collection
        transactions = (
            self.client_transactions if tx.table is INVITE_CLIENT or tx.table is CLIENT else self.server_transactions
        )
        if transactions.get(tx.key) is tx:
            del transactions[tx.key]
        if tx.request_identity is not None and self.invites_by_identity.get(tx.request_identity) is tx:
            del self.invites_by_identity[tx.request_identity]
        hop_transactions = self.by_hop.get(tx.hop)
        if hop_transactions is not None:
            hop_transactions.discard(tx)
            if not hop_transactions:
                del self.by_hop[tx.hop]
