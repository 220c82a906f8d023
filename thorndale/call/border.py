"""The border proxy without sockets: takes messages and time, emits bytes, log lines and the pool book's disk copy.

The host calls `receive` for each whole message, `lost` for each failed connection or address, `run` when
`timers.next_at()` is reached, and `flush` after each batch of these. The proxy sends through `send(hop, bytes)`, logs
through `log(level, event, **fields)` and passes the pool book's copy to `save_book_copy(bytes)`. All three must return
at once and must not call back into the proxy.
"""

from collections import Counter, deque

from xxhash import xxh64_intdigest

from thorndale import interface as io
from thorndale.call.book import BookSubscriber
from thorndale.call.call import CALLER, SERVER, Call
from thorndale.call.call_records import call_record, refused_invite_record
from thorndale.call.causes import retry_after_fields
from thorndale.call.decision import build_module
from thorndale.call.forwarding import next_max_forwards, refused_extensions
from thorndale.call.overload import OverloadControl
from thorndale.call.sort import CallClassifier, mask_number, mask_numbers
from thorndale.call.tally import Tally
from thorndale.module_host import ModuleHost
from thorndale.records.ledger import NullLedger
from thorndale.sip import message as m
from thorndale.sip.dialog import hop_for_uri, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.transaction import NULL_USER, Hop, TimerDurations, TransactionLayer
from thorndale.sip.uri import host_port
from thorndale.timers import Timers

ALLOWED_METHODS = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE, INFO, MESSAGE, REFER, NOTIFY"
RECOGNIZED_METHODS = frozenset(
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
MASK_64 = (1 << 64) - 1
SWEEP_INTERVAL_US = 1_000_000  # between searches for calls that exceed their maximum duration
RECORD_POLL_US = 4_000  # least delay of a timer for the records, when no message makes the ledger flush earlier
# Between two warnings of one kind: peers control how often they send malformed input.
WARNING_INTERVAL_US = 1_000_000
MAX_UDP_BYTES = 60_000  # larger messages cannot be sent over UDP (RFC 3261 section 18.1.1)


class Border:
    def __init__(
        self,
        settings,
        rules,
        seed,
        listeners,
        send,
        log,
        save_book_copy=lambda data: None,
        wall_offset_us=0,
        ledger=None,
        mask_caller=str,
    ):
        """`rules` is the RuleSet that classifies calls; `listeners` the list of open (transport, host, port); `seed` a
        random 64-bit number; `wall_offset_us` the wall clock minus the clock of `now`; `ledger` a records.Ledger, or
        None if no records are written; `mask_caller(number)` returns the form of a caller's number for the records."""
        sip = settings.sip
        self.settings, self.instances, self.load_header = settings, settings.instances, settings.load_header.lower()
        self.chained = settings.chained
        self.trunk_context = sip.trunk_context
        self._send, self._log = send, log
        self.now, self.token_state = 0, seed & MASK_64
        self.timers = Timers()
        times = TimerDurations(sip.t1_ms * 1000, sip.t2_ms * 1000, sip.t4_ms * 1000, max(sip.t1_ms * 64, 1) * 1000)
        self.ledger, self.mask_caller, self.record_timer = ledger or NullLedger(), mask_caller, None
        self.layer = TransactionLayer(self.timers, times, settings.limits.transactions, self, self._transmit)
        self.module_host = ModuleHost(build_module(seed, settings))
        self.classifier, self.wall_offset_us = CallClassifier(settings, rules), wall_offset_us
        self.overload_control = OverloadControl(
            settings.limits.lag_ms * 1000, settings.limits.open_calls, times.transaction_timeout
        )
        self.server_hops = [hop_for_uri(s.uri) for s in settings.servers]
        self.server_names = [s.name for s in settings.servers]
        self.server_groups = [s.trunk_group for s in settings.servers]
        self.tally = Tally(self.server_names, self.server_groups)
        self.type_names = [t.name for t in settings.call_types]
        self.revenue_classes = [f"{t.revenue:g}" for t in settings.call_types]
        self.client_names = [c.name for c in settings.clients] or [""]
        self.guard_us = [t.guard_ms * 1000 for t in settings.call_types]
        self.max_call_us = settings.limits.call_s * 1_000_000
        self.owners = {}  # first 16 characters of a local tag: the call or subscription that owns it
        self.established = deque()  # (when answered, call), oldest first; calls that are over are removed later
        self.freed_indices = []  # call indices to release once the module has handled the events about them
        self.count = Counter()
        self.discard = NULL_USER  # the user of transactions whose result is ignored
        self.stopping = False
        self.module_timer, self.sweep_timer = None, None
        self._last_warnings = {}  # event: (when last logged, lines suppressed since)
        self._listeners, self._contacts = {}, {}
        for transport, host, port in listeners:
            self._listeners.setdefault((transport, ":" in host), (transport, host, port))
        self.fleet = None  # exchange with the other proxies of the fleet; set by the daemon
        self.book = BookSubscriber(self, settings, wall_offset_us, save_book_copy) if settings.book else None

    def wall_us(self):
        """The wall clock, for time marks in records and logs. A daemon with access to the real clock replaces it."""
        return self.now + self.wall_offset_us

    def use_rules(self, rules):
        """Classifies new calls by another validated RuleSet; calls already accepted keep their classification."""
        self.classifier = CallClassifier(self.settings, rules)

    # ---- tokens and random numbers ----

    def token(self):
        """16 hex digits, unique within this process (splitmix64 over a counter that starts at the seed)."""
        self.token_state = (self.token_state + 0x9E3779B97F4A7C15) & MASK_64
        z = self.token_state
        z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
        z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK_64
        return f"{z ^ (z >> 31):016x}"

    def branch(self):
        return "z9hG4bK" + self.token()

    def random_fraction(self):
        """A random number from 0 to 1."""
        return int(self.token()[:8], 16) / (1 << 32)

    def local(self, hop):
        """(transport, host, port) of the listener that messages to this hop give as our address."""
        found = self._listeners.get((hop.transport, ":" in hop.host))
        return found or next(iter(self._listeners.values()))

    def contact(self, hop):
        """The Contact header of messages to a hop."""
        key = (hop.transport, ":" in hop.host)
        text = self._contacts.get(key)
        if text is None:
            transport, host, port = self.local(hop)
            tail = ";transport=tcp" if transport == "tcp" else ""
            text = self._contacts[key] = f"<sip:{host_port(host, port)}{tail}>"
        return text

    # ---- output ----

    def log(self, level, event, **fields):
        """Writes a log line. Warnings of one kind are limited to one per WARNING_INTERVAL_US; the next one gives the
        number of suppressed lines in `left_out`."""
        if level == "warning":
            last, left_out = self._last_warnings.get(event, (-WARNING_INTERVAL_US, 0))
            if self.now - last < WARNING_INTERVAL_US:
                self._last_warnings[event] = (last, left_out + 1)
                return
            self._last_warnings[event] = (self.now, 0)
            if left_out:
                fields["left_out"] = left_out
        self._log(level, event, **fields)

    def _transmit(self, hop, data):
        if hop.transport == "udp" and len(data) > MAX_UDP_BYTES:
            self.count["too large for a datagram"] += 1
            self.log("warning", "message too large for a datagram", bytes=len(data), peer=host_port(hop.host, hop.port))
            return
        self._send(hop, data)

    def bye(self, now, dialog, user, extra=()):
        """Sends a BYE inside a dialog. False if no transaction could be created."""
        transport, host, port = self.local(dialog.hop)
        message = dialog.request("BYE", via_text(transport, host, port, self.branch()), extra)
        return self.layer.request(now, message, dialog.hop, user) is not None

    def cancel(self, now, tx):
        """Sends the CANCEL of an INVITE (RFC 3261 section 9.1), once: the layer refuses a second one of the same
        branch."""
        invite = tx.message
        cancel = Message("CANCEL", invite.uri)
        cancel.fields = [f for f in invite.fields if f[0] in ("via", "max-forwards", "from", "to", "call-id", "route")]
        cancel.add("CSeq", f"{invite.cseq[0]} CANCEL")
        try:
            self.layer.request(now, cancel, tx.hop, self.discard)
        except SipError:
            return

    # ---- input ----

    def start(self, now, book_copy=None):
        """Reports the first server list to the module. `book_copy` is the pool book's decoded disk copy, or None."""
        self.now = now
        if self.book is not None:
            self.book.start(book_copy)
        else:
            groups = {g.name: n for n, g in enumerate(self.settings.trunk_groups)}
            entries = tuple(io.Server(n, groups[g], io.SERVING, 0) for n, g in enumerate(self.server_groups))
            self.module_host.add_event(io.Servers(entries, True, False))
        self.sweep_timer = self.timers.set(now + SWEEP_INTERVAL_US, self, "sweep")
        self.flush(now)

    def receive(self, now, data, hop, stream=False):
        """Handles one whole message from a peer: a datagram, or with `stream` one framed message."""
        self.now, message = now, None
        try:
            message = m.parse(data, stream)
            m.check(message)
        except SipError as error:
            self._unreadable(now, error, error.message or message, hop)
            return
        try:
            if message.method:
                if not stream:
                    m.add_received_params(message, hop.host, hop.port)
                    hop = Hop("udp", *m.reply_address(message))
                if message.method == "INVITE" and self._refuse_early(now, message, hop):
                    return
            self.layer.receive(now, message, hop)
        except SipError as error:
            self._unreadable(now, error, message, hop)

    def _unreadable(self, now, error, message, hop):
        """Handles malformed input: counts it, logs it at a limited rate and answers it where RFC 3261 section 8.2
        permits an answer."""
        self.count["unreadable"] += 1
        peer = host_port(hop.host, hop.port)
        self.log("warning", "unreadable message", peer=peer, reason=mask_numbers(str(error))[:200])
        if message is None:
            return
        try:
            via = message.via
            if message.status:
                tx = self.layer.client_transactions.get((via.params.get("branch", ""), "INVITE"))
                if tx is not None and message.status >= 200 and hasattr(tx.user, "unreadable"):
                    tx.user.unreadable(now)
            elif message.method != "ACK":
                if hop.transport == "udp":
                    m.add_received_params(message, hop.host, hop.port)
                    hop = Hop("udp", *m.reply_address(message))
                extra = [("Warning", f"399 thorndale {_warning_text(error)}")]
                self._transmit(hop, m.response_to(message, error.status, self.token(), extra=extra).encode())
        except SipError:
            return

    def _refuse_early(self, now, message, hop):
        """Refuses a new call without a transaction if this proxy is stopping, overloaded or unable to write records.
        Returns whether it did. The ACK of such a refusal matches no transaction and is ignored."""
        overload = self.overload_control
        if overload.recent_keys or overload.previous_keys:
            key = self.layer.server_key(message, message.via)
            if overload.was_refused(_request_hash(key)):
                self._refuse_stateless(now, message, hop, "refused again")
                return True
        records_unavailable = self.ledger.refusing(now)
        if not self.stopping and not records_unavailable and not overload.should_refuse(now, len(self.module_host)):
            return False
        if message.to_tag or self.layer.server_key(message, message.via) in self.layer.server_transactions:
            return False  # belongs to an accepted call, which handles it
        self._refuse_stateless(
            now, message, hop, "refused for want of records" if records_unavailable else "refused early"
        )
        return True

    def _refuse_stateless(self, now, message, hop, why):
        """Sends a 503 without a transaction. Its tag and Retry-After are derived from a hash of the request, so that
        each retransmission gets the same response."""
        self.count[why] += 1
        request_hash = _request_hash(self.layer.server_key(message, message.via))
        self.overload_control.remember_refusal(now, request_hash)
        wait = int(self.settings.comeback.most_ms * 1000 * (1 + (request_hash >> 32) / (1 << 32)) / 2)
        extra = retry_after_fields(wait) if self.settings.comeback.told else []
        data = m.response_to(message, 503, f"{request_hash:016x}", extra=extra).encode()
        if why == "refused again" or message.method != "INVITE" or not self.ledger.keeps_records:
            self._transmit(hop, data)
            return
        record = refused_invite_record(self, now, message, 503, why)
        self.ledger.refused(now, record, lambda _: self._transmit(hop, data), why == "transactions full")

    def full(self, now, message, hop):
        """Refuses a request without a transaction, as the bound on transactions is reached."""
        self._refuse_stateless(now, message, hop, "transactions full")

    def lost(self, now, hop, kind):
        """Handles the end of a connection ('lost') or an unreachable address ('refused')."""
        self.now = now
        self.layer.fail_hop(now, hop, kind)
        if kind == "lost" and hop.transport == "tcp":
            for owner in list(self.owners.values()):
                if isinstance(owner, Call):
                    legs = owner.legs
                    if owner.state == "established" and legs[SERVER].hop == hop:
                        owner.server_connection_lost(now)
                    elif legs[CALLER].hop == hop:
                        try:
                            legs[CALLER].hop = legs[CALLER].next_hop()
                        except SipError:
                            continue

    def record_loop_delay(self, now, delay_us):
        """Records how late the event loop ran its timers, for overload control."""
        self.overload_control.record_loop_delay(now, delay_us)

    def run(self, now, most=1 << 30):
        """Runs the timers that are due, at most `most`."""
        self.now = now
        self.timers.run(now, most)

    def due(self, now, name):
        if name == "module":
            self.module_timer = None
            self.module_host.add_event(io.TimerFired(0))
        elif name == "records":
            self.record_timer = None
        elif name == "sweep":
            self.sweep_timer = self.timers.set(now + SWEEP_INTERVAL_US, self, "sweep")
            self.ledger.mark(now, self.wall_us())
            self._log_setups(now)
            established = self.established
            while established and (established[0][1].state == "over" or established[0][0] + self.max_call_us <= now):
                call = established.popleft()[1]
                if call.state == "established":
                    self.log("warning", "call stood too long", call=call.id)
                    call.end(now, -1, "too long")
            if len(established) > 64 and len(established) > 2 * len(self.owners):
                self.established = deque(pair for pair in established if pair[1].state != "over")

    def flush(self, now):
        """Passes the batch of events to the module and carries its actions out, until there are no new events."""
        host = self.module_host
        while host.events:
            snapshot = self.fleet.odds_before(host.events) if self.fleet else ()
            actions = host.run_batch(now)
            if snapshot:
                self.fleet.record_outcomes(now, snapshot)
            for action in actions:
                kind = type(action)
                if kind is io.SetTimer:
                    if self.module_timer is not None and self.module_timer[0] > action.at_us:
                        self.timers.cancel(self.module_timer)
                        self.module_timer = None
                    if self.module_timer is None:
                        self.module_timer = self.timers.set(action.at_us, self, "module")
                elif kind is io.Log:
                    self.log("info", "module", text=self._with_server_name(action.text))
                elif kind is io.SubscribeList:
                    if self.book is not None and not self.stopping:
                        self.book.subscribe(now)
                else:
                    call = host.calls[action.call]
                    if kind is io.RequestLease:
                        self.fleet.request_lease(now, action)
                    elif kind is io.Seize:
                        if self.fleet:
                            self.fleet.record_seizure(now, action)
                        self.tally.count_setup(self.wall_us(), action.server)
                        call.seize(now, action.server, action.timeout_us)
                    elif kind is io.Cancel:
                        call.cancel(now)
                    elif kind is io.Reject:
                        call.reject(now, action.comeback_us)
                    else:
                        call.fail(now)
        self.ledger.flush(now)
        self._arm_record_timer(now)
        for index in self.freed_indices:
            host.release_index(index)
        self.freed_indices.clear()

    def _arm_record_timer(self, now):
        """Sets a timer for the ledger's next deadline, in case no message arrives before it.

        While messages arrive, each flush runs the ledger anyway, and a timer at the exact deadline would cost an extra
        loop iteration per write."""
        if self.record_timer is None:
            at = self.ledger.next_at()
            if at is not None:
                self.record_timer = self.timers.set(max(at, now + RECORD_POLL_US), self, "records")

    def _with_server_name(self, text):
        """Replaces the server's index in the module's text 'server 2: ...' by the server's name."""
        head, colon, rest = text.partition(":")
        kind, _, number = head.partition(" ")
        if kind == "server" and number.isdigit() and int(number) < len(self.server_names):
            return f"server {self.server_names[int(number)]}:{rest}"
        return text

    # ---- callbacks of the transaction layer ----

    def request(self, now, tx, message):
        method = message.method
        if method == "CANCEL":
            invite = self.layer.cancelled_invite(message)
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
                self.ledger.requested_in_dialog(now, tag[:16], now + self.wall_offset_us)
                tx.respond(now, 481)
            else:
                owner.request(now, tag, tx, message)
            return
        if method == "INVITE":
            self._invite(now, tx, message)
        elif method == "OPTIONS":
            extra = [("Allow", ALLOWED_METHODS), ("Accept", "application/sdp"), ("Supported", "timer")]
            tx.respond(now, 503 if self.stopping else 200, self.token(), extra=extra)
        elif method in RECOGNIZED_METHODS:
            tx.respond(
                now, 481 if method in ("BYE", "NOTIFY") else 405, self.token(), extra=[("Allow", ALLOWED_METHODS)]
            )
        else:
            tx.respond(now, 501, self.token(), extra=[("Allow", ALLOWED_METHODS)])

    def _invite(self, now, tx, invite):
        """Handles a new INVITE: passes the call to the module, or refuses an INVITE that cannot become a call."""
        self.count["offered"] += 1
        self.ledger.repeated(now, invite.call_id, invite.from_tag, invite.cseq[0], now + self.wall_offset_us)
        refused = refused_extensions(invite)
        if refused:
            self._refuse_invite(now, tx, 420, "extension", [("Unsupported", ", ".join(refused))])
            return
        max_forwards = next_max_forwards(invite)
        if max_forwards < 0:
            self._refuse_invite(now, tx, 483, "too many hops")
            return
        try:
            broken_before = self.classifier.rules.evaluation_errors
            classified = self.classifier.classify(invite, now + self.wall_offset_us, tx.hop.transport)
            if self.classifier.rules.evaluation_errors != broken_before:
                self.count["rules broke"] += 1
                self.log("warning", "a rule broke, the default was taken", fault=self.classifier.rules.last_error[:200])
            if classified is None:
                self.count["no rule fits"] += 1
                self.log("warning", "no rule fits the call", to=mask_number(invite.uri.partition("@")[0]))
                self._refuse_invite(now, tx, 404, "no rule fits")
                return
            token = self.token()
            call = Call(self, token, tx, classified, max_forwards)
        except SipError as error:
            self._refuse_invite(
                now, tx, error.status, "unreadable", [("Warning", f"399 thorndale {_warning_text(error)}")]
            )
            return
        if classified.unknown_group:
            self.log("warning", "unknown trunk group in a call", call=token, group=classified.unknown_group[:60])
        tx.respond(now, 100)
        self.owners[token] = call
        if self.ledger.records_arrivals:
            self.ledger.came(now, call_record(call, now))
        time_left_us = self.guard_us[classified.call_type]
        expires = invite.get("expires")
        if expires.isascii() and expires.isdigit() and len(expires) < 8:
            time_left_us = min(time_left_us, int(expires) * 1_000_000)
        self.module_host.add_event(
            io.Call(
                call.index,
                classified.call_type,
                classified.client,
                classified.key,
                time_left_us,
                classified.group,
                False,
                False,
            )
        )

    def _refuse_invite(self, now, tx, status, how, extra=()):
        """Sends the final answer to an INVITE that did not become a call, after its record is written."""
        if not self.ledger.keeps_records:
            tx.respond(now, status, self.token(), extra=extra)
            return
        record = refused_invite_record(self, now, tx.message, status, how)
        self.ledger.refused(now, record, lambda at: tx.respond(at, status, self.token(), extra=extra))

    def ack(self, now, message, hop):
        owner = self.owners.get(message.to_tag[:16])
        if isinstance(owner, Call):
            owner.ack(now, CALLER if message.to_tag[16:17] == "a" else SERVER, message)

    def stray(self, now, message, hop):
        """Counts a response without a transaction: its transaction is over, or never existed here."""
        self.count["stray responses"] += 1

    def failed(self, now, tx, kind):
        """Ignores the failure of a server transaction that did not become a call."""

    # ---- callbacks of calls and of the fleet exchange ----

    def call_answered(self, call):
        self.count["stood"] += 1
        self.established.append((self.now, call))

    def call_ended(self, call, how, status):
        self.count[how] += 1
        self.log("info", "call ended", how=how, status=status, **call.describe())

    def forget(self, call):
        self.owners.pop(call.id, None)
        self.freed_indices.append(call.index)

    def deliver_events(self, now, events):
        """Passes events that result from other proxies' reports to the module."""
        self.now = now
        for event in events:
            self.module_host.add_event(event)
        self.flush(now)

    # ---- shutdown ----

    def stop(self, now):
        """Refuses new calls from now on; calls in progress continue."""
        self.now, self.stopping = now, True
        self._log_setups(now, True)
        if self.book is not None:
            self.book.stop(now)

    def close_calls(self, now):
        """Ends all calls when the time for them to end by themselves is over: calls in set-up get a final answer,
        established calls are released."""
        self.now = now
        for owner in list(self.owners.values()):
            if not isinstance(owner, Call):
                continue
            try:
                if owner.state == "setting up":
                    owner.abort_setup(now, 503)
                elif owner.state == "established":
                    owner.end(now, -1, "stopped")
            except Exception as error:  # noqa: BLE001 - an error in one call must not prevent ending the others
                self.log("error", "fault in the program", call=owner.id, fault=repr(error))

    def open_calls(self):
        return sum(1 for owner in self.owners.values() if isinstance(owner, Call))

    def _log_setups(self, now, last=False):
        """Logs the set-ups sent to each server in a finished span; with `last`, also in the unfinished one."""
        module = getattr(self.module_host.module, "module", self.module_host.module)
        span = self.tally.take_finished_span(self.wall_us() + last * 10_000_000, now, module)
        if span is not None:
            self.log("info", "set-ups", second=span[0], rows=span[1])

    def finish(self):
        """Cancels the timers that always run. Whatever `resources_in_use` counts after that is a leak."""
        for timer in (self.module_timer, self.sweep_timer, self.record_timer):
            self.timers.cancel(timer)
        self.module_timer = self.sweep_timer = self.record_timer = None

    def resources_in_use(self):
        """Counts of resources in use, for status and for the leak check at the end."""
        return {
            "calls": self.open_calls(),
            "numbers": len(self.module_host),
            "dialogs": len(self.owners),
            "transactions": len(self.layer),
            "timers": len(self.timers),
        }


def _request_hash(key):
    """A 64-bit hash of the key that a request's server transaction would have."""
    return xxh64_intdigest(repr(key).encode("utf-8", "surrogateescape"))


def _warning_text(error):
    """An error's text as a quoted string for a Warning header."""
    text = str(error).encode("ascii", "replace").decode()
    return '"' + "".join(c if c.isprintable() and c not in '"\\' else "?" for c in text)[:120] + '"'
