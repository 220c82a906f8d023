"""The border proxy without its sockets: messages and time in; bytes, log lines and the book's copy out.

How to call it: `receive` for each whole message, `lost` for each connection or address that failed, `run` when
`timers.next_at()` has come, and `flush` after each batch of these. It sends through `send(hop, bytes)`, logs through
`say(level, event, **fields)` and hands over the pool book's copy through `keep(bytes)`; all three must return at
once and call nothing back.
"""

from collections import Counter, deque

from xxhash import xxh64_intdigest

from thorndale import interface as io
from thorndale.call.book import Book
from thorndale.call.call import BOX, CALLER, Call
from thorndale.call.causes import comeback
from thorndale.call.detail import of_call, of_refused
from thorndale.call.door import decider
from thorndale.call.passing import hops_left, refused_extensions
from thorndale.call.press import Press
from thorndale.call.sort import Sorter, hidden, masked
from thorndale.call.tally import Tally
from thorndale.door import Door
from thorndale.records.ledger import Unkept
from thorndale.sip import message as m
from thorndale.sip.dialog import hop_of, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import GONE, Hop, Layer, Times
from thorndale.sip.uri import host_port
from thorndale.timers import Timers

ALLOWED = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE, INFO, MESSAGE, REFER, NOTIFY"
KNOWN = frozenset(
    (
        "REGISTER",
        "SUBSCRIBE",
        "NOTIFY",
        "PUBLISH",
        "MESSAGE",
        "INFO",
        "UPDATE",
        "REFER",
        "PRACK",
        "BYE",
    )
)
MASK = (1 << 64) - 1
SWEEP_US = 1_000_000  # us between looks for calls that stand too long
RECORDS_US = 4_000  # us between two looks at what the records want, where no message brings one about
SAY_US = 1_000_000  # us between two log lines of one kind about bad input: peers choose how often they send it
FULL_DATAGRAM = 60_000  # bytes of a datagram at most; over it a message cannot go by UDP (RFC 3261 section 18.1.1)


class Border:
    def __init__(
        self,
        settings,
        rules,
        seed,
        listeners,
        send,
        say,
        keep=lambda data: None,
        wall_offset_us=0,
        ledger=None,
        hide=str,
    ):
        """`rules` is the RuleSet that sorts calls; `listeners` is a list of (transport, host, port) that are open;
        `seed` a random number of 64 bits; `wall_offset_us` the wall clock less the clock of `now`;
        `ledger` a records.Ledger, or None where no records are kept; `hide(number)` what they keep of a caller's."""
        sip = settings.sip
        self.settings, self.instances, self.load_header = settings, settings.instances, settings.load_header.lower()
        self.chained = settings.chained
        self.trunk_context = sip.trunk_context
        self._send, self._say = send, say
        self.now, self.state = 0, seed & MASK
        self.timers = Timers()
        times = Times(sip.t1_ms * 1000, sip.t2_ms * 1000, sip.t4_ms * 1000, max(sip.t1_ms * 64, 1) * 1000)
        self.ledger, self.hide, self.record_timer = ledger or Unkept(), hide, None
        self.layer = Layer(self.timers, times, settings.limits.transactions, self, self._out)
        self.door = Door(decider(seed, settings))
        self.sorter, self.wall_offset_us = Sorter(settings, rules), wall_offset_us
        self.press = Press(settings.limits.lag_ms * 1000, settings.limits.open_calls, times.most)
        self.server_hops = [hop_of(s.uri) for s in settings.servers]
        self.server_names = [s.name for s in settings.servers]
        self.server_groups = [s.trunk_group for s in settings.servers]
        self.tally = Tally(self.server_names, self.server_groups)
        self.type_names = [t.name for t in settings.call_types]
        self.revenue_classes = [f"{t.revenue:g}" for t in settings.call_types]
        self.client_names = [c.name for c in settings.clients] or [""]
        self.guards = [t.guard_ms * 1000 for t in settings.call_types]
        self.longest_us = settings.limits.call_s * 1_000_000
        self.owners = {}  # the first 16 characters of a local tag: the call or subscription that it belongs to
        self.standing = deque()  # (when it stood, call), oldest first; calls that are over stay until then
        self.freed = []  # numbers of calls to give back once the module has had what was told of them
        self.count = Counter()
        self.ending = GONE  # the user of transactions whose end nobody waits for
        self.stopping = False
        self.module_timer, self.sweep_timer = None, None
        self._said = {}  # event: when last logged, lines left out since
        self._listeners, self._contacts = {}, {}
        for transport, host, port in listeners:
            self._listeners.setdefault((transport, ":" in host), (transport, host, port))
        self.share = None  # what tells other proxies, and hears from them; a shell sets it
        self.book = Book(self, settings, wall_offset_us, keep) if settings.book else None

    def wall_us(self):
        """What the wall clock says now, for marks; a shell that knows better replaces it."""
        return self.now + self.wall_offset_us

    def use(self, rules):
        """Another checked set of rules sorts the calls from now on; those taken stay as they are."""
        self.sorter = Sorter(self.settings, rules)

    # ---- names and chance ----

    def token(self):
        """16 hex digits that this process gives out once (splitmix64 over a counter that begins at the seed)."""
        self.state = (self.state + 0x9E3779B97F4A7C15) & MASK
        z = self.state
        z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK
        return f"{z ^ (z >> 31):016x}"

    def branch(self):
        return "z9hG4bK" + self.token()

    def chance(self):
        """A share from 0 to 1."""
        return int(self.token()[:8], 16) / (1 << 32)

    def local(self, hop):
        """transport, host, port of the listener that messages to this hop name as ours."""
        found = self._listeners.get((hop.transport, ":" in hop.host))
        return found or next(iter(self._listeners.values()))

    def contact(self, hop):
        """Our Contact on the way to a hop."""
        key = (hop.transport, ":" in hop.host)
        text = self._contacts.get(key)
        if text is None:
            transport, host, port = self.local(hop)
            tail = ";transport=tcp" if transport == "tcp" else ""
            text = self._contacts[key] = f"<sip:{host_port(host, port)}{tail}>"
        return text

    # ---- what goes out ----

    def say(self, level, event, **fields):
        """A log line; warnings of one kind at most one a second, the next one with the number left out."""
        if level == "warning":
            last, left_out = self._said.get(event, (-SAY_US, 0))
            if self.now - last < SAY_US:
                self._said[event] = (last, left_out + 1)
                return
            self._said[event] = (self.now, 0)
            if left_out:
                fields["left_out"] = left_out
        self._say(level, event, **fields)

    def _out(self, hop, data):
        if hop.transport == "udp" and len(data) > FULL_DATAGRAM:
            self.count["too large for a datagram"] += 1
            self.say("warning", "message too large for a datagram", bytes=len(data), peer=host_port(hop.host, hop.port))
            return
        self._send(hop, data)

    def bye(self, now, dialog, user, extra=()):
        """A BYE inside a dialog; whether it went out."""
        transport, host, port = self.local(dialog.hop)
        message = dialog.request("BYE", via_text(transport, host, port, self.branch()), extra)
        return self.layer.request(now, message, dialog.hop, user) is not None

    def cancel(self, now, tx):
        """A CANCEL of an INVITE (RFC 3261 section 9.1), once: the layer refuses a second of the same branch."""
        invite = tx.message
        cancel = Message("CANCEL", invite.uri)
        cancel.fields = [f for f in invite.fields if f[0] in ("via", "max-forwards", "from", "to", "call-id", "route")]
        cancel.add("CSeq", f"{invite.cseq[0]} CANCEL")
        try:
            self.layer.request(now, cancel, tx.hop, self.ending)
        except SipError:
            return

    # ---- what comes in ----

    def start(self, now, book_copy=None):
        """`book_copy` is a Body that `book.unseal` gave, or None."""
        self.now = now
        if self.book is not None:
            self.book.start(book_copy)
        else:
            groups = {g.name: n for n, g in enumerate(self.settings.trunk_groups)}
            entries = tuple(io.Server(n, groups[g], io.SERVING, 0) for n, g in enumerate(self.server_groups))
            self.door.tell(io.Servers(entries, True, False))
        self.sweep_timer = self.timers.set(now + SWEEP_US, self, "sweep")
        self.flush(now)

    def receive(self, now, data, hop, stream=False):
        """One whole message from a peer: a datagram, or with `stream` one framed message."""
        self.now, message = now, None
        try:
            message = m.parse(data, stream)
            m.check(message)
        except SipError as fault:
            self._unreadable(now, fault, fault.message or message, hop)
            return
        try:
            if message.method:
                if not stream:
                    m.received_from(message, hop.host, hop.port)
                    hop = Hop("udp", *m.reply_address(message))
                if message.method == "INVITE" and self._refused_early(now, message, hop):
                    return
            self.layer.receive(now, message, hop)
        except SipError as fault:
            self._unreadable(now, fault, message, hop)

    def _unreadable(self, now, fault, message, hop):
        """Bad input: counted, said at a limited rate, answered where RFC 3261 section 8.2 allows it."""
        self.count["unreadable"] += 1
        peer = host_port(hop.host, hop.port)
        self.say("warning", "unreadable message", peer=peer, reason=hidden(str(fault))[:200])
        if message is None:
            return
        try:
            via = message.via
            if message.status:
                tx = self.layer.clients.get((via.params.get("branch", ""), "INVITE"))
                if tx is not None and message.status >= 200 and hasattr(tx.user, "unreadable"):
                    tx.user.unreadable(now)
            elif message.method != "ACK":
                if hop.transport == "udp":
                    m.received_from(message, hop.host, hop.port)
                    hop = Hop("udp", *m.reply_address(message))
                extra = [("Warning", f"399 thorndale {_plain(fault)}")]
                self._out(hop, m.response_to(message, fault.status, self.token(), extra=extra).encode())
        except SipError:
            return

    def _refused_early(self, now, message, hop):
        """Whether a new call was turned away without a transaction: this proxy is stopping or behind. Its ACK finds
        nothing and is passed over."""
        press = self.press
        if press.fresh or press.older:
            key = self.layer.key(message, message.via)
            if press.knows(_number(key)):
                self._refuse(now, message, hop, "refused again")
                return True
        unkept = self.ledger.refusing(now)
        if not self.stopping and not unkept and not press.refuses(now, len(self.door)):
            return False
        if message.to_tag or self.layer.key(message, message.via) in self.layer.servers:
            return False  # a call that was taken: its own matter
        self._refuse(now, message, hop, "refused for want of records" if unkept else "refused early")
        return True

    def _refuse(self, now, message, hop, why):
        """503 without a transaction; the same tag and wait for the same request, however often it comes."""
        self.count[why] += 1
        number = _number(self.layer.key(message, message.via))
        self.press.remember(now, number)
        wait = int(self.settings.comeback.most_ms * 1000 * (1 + (number >> 32) / (1 << 32)) / 2)
        extra = comeback(wait) if self.settings.comeback.told else []
        data = m.response_to(message, 503, f"{number:016x}", extra=extra).encode()
        if why == "refused again" or message.method != "INVITE" or not self.ledger.kept:
            self._out(hop, data)
            return
        record = of_refused(self, now, message, 503, why)
        self.ledger.refused(now, record, lambda _: self._out(hop, data), why == "transactions full")

    def full(self, now, message, hop):
        """The bound on transactions is reached: a request is turned away without one."""
        self._refuse(now, message, hop, "transactions full")

    def lost(self, now, hop, kind):
        """A connection ended ('lost'), or an address could not be reached ('refused')."""
        self.now = now
        self.layer.lost(now, hop, kind)
        if kind == "lost" and hop.transport == "tcp":
            for owner in list(self.owners.values()):
                if isinstance(owner, Call):
                    legs = owner.legs
                    if owner.state == "standing" and legs[BOX].hop == hop:
                        owner.box_lost(now)
                    elif legs[CALLER].hop == hop:
                        try:
                            legs[CALLER].hop = legs[CALLER].next_hop()
                        except SipError:
                            continue

    def late(self, now, lag_us):
        """The loop came this late to its timers."""
        self.press.late(now, lag_us)

    def run(self, now, most=1 << 30):
        """Runs what is due."""
        self.now = now
        self.timers.run(now, most)

    def due(self, now, name):
        if name == "module":
            self.module_timer = None
            self.door.tell(io.TimerFired(0))
        elif name == "records":
            self.record_timer = None
        elif name == "sweep":
            self.sweep_timer = self.timers.set(now + SWEEP_US, self, "sweep")
            self.ledger.mark(now, self.wall_us())
            self._say_spread(now)
            standing = self.standing
            while standing and (standing[0][1].state == "over" or standing[0][0] + self.longest_us <= now):
                call = standing.popleft()[1]
                if call.state == "standing":
                    self.say("warning", "call stood too long", call=call.id)
                    call.end(now, -1, "too long")
            if len(standing) > 64 and len(standing) > 2 * len(self.owners):
                self.standing = deque(pair for pair in standing if pair[1].state != "over")

    def flush(self, now):
        """Hands the module what was gathered and carries its actions out, until there is nothing new."""
        door = self.door
        while door.events:
            before = self.share.before(door.events) if self.share else ()
            actions = door.take(now)
            if before:
                self.share.met(now, before)
            for action in actions:
                kind = type(action)
                if kind is io.SetTimer:
                    if self.module_timer is not None and self.module_timer[0] > action.at_us:
                        self.timers.cancel(self.module_timer)
                        self.module_timer = None
                    if self.module_timer is None:
                        self.module_timer = self.timers.set(action.at_us, self, "module")
                elif kind is io.Log:
                    self.say("info", "module", text=self._named(action.text))
                elif kind is io.SubscribeList:
                    if self.book is not None and not self.stopping:
                        self.book.follow(now)
                else:
                    call = door.calls[action.call]
                    if kind is io.RequestLease:
                        self.share.ask(now, action)
                    elif kind is io.Seize:
                        if self.share:
                            self.share.seized(now, action)
                        self.tally.sent(self.wall_us(), action.server)
                        call.seize(now, action.server, action.timeout_us)
                    elif kind is io.Cancel:
                        call.cancel(now)
                    elif kind is io.Reject:
                        call.reject(now, action.comeback_us)
                    else:
                        call.fail(now)
        self.ledger.flush(now)
        self._next_record(now)
        for index in self.freed:
            door.release(index)
        self.freed.clear()

    def _next_record(self, now):
        """A timer for what the records want next, in case that no message comes before: while they come, each flush
        asks the ledger anyway, and a timer set to the point would be a second turn of the loop for each write."""
        if self.record_timer is None:
            at = self.ledger.next_at()
            if at is not None:
                self.record_timer = self.timers.set(max(at, now + RECORDS_US), self, "records")

    def _named(self, text):
        """The module's 'server 2: ...' with the server's name for its index."""
        head, colon, rest = text.partition(":")
        word, _, number = head.partition(" ")
        if word == "server" and number.isdigit() and int(number) < len(self.server_names):
            return f"server {self.server_names[int(number)]}:{rest}"
        return text

    # ---- the layer's user ----

    def request(self, now, tx, message):
        method = message.method
        if method == "CANCEL":
            invite = self.layer.cancelled(message)
            if invite is None:
                self.ledger.cancelled(
                    now, message.call_id, message.from_tag, message.cseq[0], now + self.wall_offset_us
                )
            if invite is None or invite.table is tx.table:
                tx.respond(now, 481, self.token())
                return
            tx.respond(now, 200, self.token())
            if invite.user is not self:
                invite.user.cancel_request(now, invite)
            return
        tag = message.to_tag
        if tag:
            owner = self.owners.get(tag[:16])
            if owner is None:
                self.ledger.spoke(now, tag[:16], now + self.wall_offset_us)
                tx.respond(now, 481)
            else:
                owner.request(now, tag, tx, message)
            return
        if method == "INVITE":
            self._invite(now, tx, message)
        elif method == "OPTIONS":
            extra = [("Allow", ALLOWED), ("Accept", "application/sdp"), ("Supported", "timer")]
            tx.respond(now, 503 if self.stopping else 200, self.token(), extra=extra)
        elif method in KNOWN:
            tx.respond(now, 481 if method in ("BYE", "NOTIFY") else 405, self.token(), extra=[("Allow", ALLOWED)])
        else:
            tx.respond(now, 501, self.token(), extra=[("Allow", ALLOWED)])

    def _invite(self, now, tx, invite):
        """A new call: handed to the module, or refused for what it is."""
        self.count["offered"] += 1
        self.ledger.repeated(now, invite.call_id, invite.from_tag, invite.cseq[0], now + self.wall_offset_us)
        refused = refused_extensions(invite)
        if refused:
            self._turn_away(now, tx, 420, "extension", [("Unsupported", ", ".join(refused))])
            return
        hops = hops_left(invite)
        if hops < 0:
            self._turn_away(now, tx, 483, "too many hops")
            return
        try:
            broken = self.sorter.rules.broken
            found = self.sorter.sort(invite, now + self.wall_offset_us, tx.hop.transport)
            if self.sorter.rules.broken != broken:
                self.count["rules broke"] += 1
                self.say("warning", "a rule broke, the default was taken", fault=self.sorter.rules.last_fault[:200])
            if found is None:
                self.count["no rule fits"] += 1
                self.say("warning", "no rule fits the call", to=masked(invite.uri.partition("@")[0]))
                self._turn_away(now, tx, 404, "no rule fits")
                return
            token = self.token()
            call = Call(self, token, tx, found, hops)
        except SipError as fault:
            self._turn_away(now, tx, fault.status, "unreadable", [("Warning", f"399 thorndale {_plain(fault)}")])
            return
        if found.unknown_group:
            self.say("warning", "unknown trunk group in a call", call=token, group=found.unknown_group[:60])
        tx.respond(now, 100)
        self.owners[token] = call
        if self.ledger.notes_coming:
            self.ledger.came(now, of_call(call, now))
        left = self.guards[found.call_type]
        expires = invite.get("expires")
        if expires.isascii() and expires.isdigit() and len(expires) < 8:
            left = min(left, int(expires) * 1_000_000)
        self.door.tell(io.Call(call.index, found.call_type, found.client, found.key, left, found.group, False, False))

    def _turn_away(self, now, tx, status, how, extra=()):
        """The final answer to an INVITE that became no call, its record first."""
        if not self.ledger.kept:
            tx.respond(now, status, self.token(), extra=extra)
            return
        record = of_refused(self, now, tx.message, status, how)
        self.ledger.refused(now, record, lambda at: tx.respond(at, status, self.token(), extra=extra))

    def ack(self, now, message, hop):
        owner = self.owners.get(message.to_tag[:16])
        if isinstance(owner, Call):
            owner.ack(now, CALLER if message.to_tag[16:17] == "a" else BOX, message)

    def stray(self, now, message, hop):
        """A response that belongs to no transaction: its transaction is over, or it is none of ours."""
        self.count["stray responses"] += 1

    def failed(self, now, tx, kind):
        """Of a server transaction that made no call."""

    # ---- what calls tell ----

    def stood(self, call):
        self.count["stood"] += 1
        self.standing.append((self.now, call))

    def ended(self, call, how, status):
        self.count[how] += 1
        self.say("info", "call ended", how=how, status=status, **call.describe())

    def forget(self, call):
        self.owners.pop(call.id, None)
        self.freed.append(call.index)

    def told(self, now, events):
        """What other proxies' words make the module be told."""
        self.now = now
        for event in events:
            self.door.tell(event)
        self.flush(now)

    # ---- the end ----

    def stop(self, now):
        """No new calls from now on; what is under way goes on."""
        self.now, self.stopping = now, True
        self._say_spread(now, True)
        if self.book is not None:
            self.book.stop(now)

    def close_calls(self, now):
        """The time for calls to end by themselves is over: those set up are answered, those standing released."""
        self.now = now
        for owner in list(self.owners.values()):
            if not isinstance(owner, Call):
                continue
            try:
                if owner.state == "setting up":
                    owner.left(now, 503)
                elif owner.state == "standing":
                    owner.end(now, -1, "stopped")
            except Exception as fault:  # noqa: BLE001 - one call's fault must not keep the others from their end
                self.say("error", "fault in the program", call=owner.id, fault=repr(fault))

    def open_calls(self):
        return sum(1 for owner in self.owners.values() if isinstance(owner, Call))

    def _say_spread(self, now, last=False):
        """The log's line on what went to each server; with `last`, of the span that is not over."""
        module = getattr(self.door.module, "module", self.door.module)
        told = self.tally.due(self.wall_us() + last * 10_000_000, now, module)
        if told is not None:
            self.say("info", "set-ups", second=told[0], rows=told[1])

    def finish(self):
        """Takes back the timers that run for ever: after it, whatever is left is a leak."""
        for timer in (self.module_timer, self.sweep_timer, self.record_timer):
            self.timers.cancel(timer)
        self.module_timer = self.sweep_timer = self.record_timer = None

    def left(self):
        """What is held, by name, for status and for the count at the end."""
        return {
            "calls": self.open_calls(),
            "numbers": len(self.door),
            "dialogs": len(self.owners),
            "transactions": len(self.layer),
            "timers": len(self.timers),
        }


def _number(key):
    """A request's number in 64 bits, from what its server transaction would be known by."""
    return xxh64_intdigest(repr(key).encode("utf-8", "surrogateescape"))


def _plain(fault):
    """A fault's text as a quoted string that can stand in a Warning header."""
    text = str(fault).encode("ascii", "replace").decode()
    return '"' + "".join(c if c.isprintable() and c not in '"\\' else "?" for c in text)[:120] + '"'
