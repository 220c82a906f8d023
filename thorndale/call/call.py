"""A call's life: set up as the module decides, standing, released.

    setting up --Answered--> standing --BYE, cut, no ACK--> releasing --all BYEs answered--> over
    setting up --Reject, Fail, CANCEL, caller lost--> answering --its record is safe--> over

What is decided while the caller's answer waits for its record is carried out behind it: no BYE goes before the 200.

Leg 0 is the caller's, leg 1 the central server's. While it is set up at most one seizure is out; the module alone
decides which and when.
"""

from thorndale import interface as io
from thorndale.call import causes
from thorndale.call.detail import BY, of_call
from thorndale.call.passing import passed, plain_value
from thorndale.call.relay import Answer, Relay
from thorndale.call.reports import report_of
from thorndale.call.seizure import Seizure
from thorndale.call.sort import masked
from thorndale.sip.dialog import Dialog

CALLER, BOX = 0, 1
FORWARDED = 181  # Call Is Being Forwarded (RFC 3261): the server has carried the call on


class Call:
    __slots__ = (
        "border",
        "id",
        "index",
        "state",
        "tx",
        "number",
        "caller_uri",
        "body",
        "passed",
        "hops",
        "seizure",
        "seizures",
        "legs",
        "answers",
        "relays",
        "refusal",
        "outcome",
        "byes",
        "server",
        "came",
        "owed",
        "stood_at",
        "kind",
        "wait_bye",
        "rule",
        "rules",
        "client",
        "group",
        "caller",
        "priority",
        "told",
        "held",
        "caller_seq",
    )

    def __init__(self, border, token, tx, sorted_, hops):
        """`sorted_` is what the sorter found, `hops` the next leg's Max-Forwards. Raises SipError for an INVITE in
        which no dialog can be had."""
        invite = tx.message
        self.border, self.id, self.hops = border, token, hops
        self.tx = tx  # the caller's INVITE, until the call stands
        tx.user = self
        self.number, self.caller_uri, self.body = sorted_.number, invite.from_.uri, invite.body
        self.passed = passed(invite, border.load_header)
        if sorted_.headers:
            named = {name.lower() for name, _ in sorted_.headers}
            self.passed = [pair for pair in self.passed if pair[0].lower() not in named]
            self.passed += [(name, plain_value(value)) for name, value in sorted_.headers]
        self.rule, self.rules = sorted_.rule, border.sorter.rules.digest
        self.kind, self.client, self.group = sorted_.call_type, sorted_.client, sorted_.group
        self.caller, self.priority = sorted_.caller, sorted_.priority_class
        self.told = []  # (server, outcome, when sent, us it took) of each seizure that has ended, for the record
        self.caller_seq = invite.cseq[0]
        self.held = False  # decided, and the caller's final answer waits for its record
        self.state, self.seizure, self.seizures, self.server = "setting up", None, 0, -1
        self.legs = [Dialog.of_request(invite, f"{token}a", tx.hop), None]
        self.answers, self.relays = {}, {}  # (leg, CSeq): a 2xx that waits for its ACK; leg: its open re-INVITE
        self.index = border.door.number(self)
        self.refusal, self.outcome, self.byes = None, -1, 0
        self.came, self.stood_at = border.now, 0
        self.owed = True  # the module still holds it
        self.wait_bye = False  # the caller's leg is released once its ACK has come

    # ---- being set up: the module's actions ----

    def seize(self, now, server, timeout_us):
        number, self.seizures = self.seizures, self.seizures + 1
        self.seizure, self.server = Seizure(self, number, server), server
        if not self.seizure.send(now, timeout_us):
            self._told(now, io.NOT_SENT)
            return
        self.border.say("debug", "seizure", call=self.id, seizure=number, server=self.border.server_names[server])

    def cancel(self, now):
        """The module's Cancel."""
        seizure = self.seizure
        if seizure is not None and seizure.state == "out":
            seizure.give_up(now)
            self._told(now, io.CANCELLED, True)

    def reject(self, now, comeback_us):
        extra = causes.comeback(comeback_us)
        if self.border.chained:
            extra.append(causes.reason(causes.Q850_CONGESTION, True))
        self._answer(now, 503, extra, "rejected")

    def fail(self, now):
        if self.outcome == io.BUSY and self.refusal is not None:
            message = self.refusal
            extra = passed(message, self.border.load_header)
            extra += [("Reason", value) for value in message.all("reason")]
            if message.get("retry-after"):
                extra.append(("Retry-After", message.get("retry-after")))
            self._answer(now, message.status, extra, "released", message.reason)
            return
        status, cause = causes.GIVEN_UP.get(self.outcome, causes.NEVER_SEIZED)
        self._answer(now, status, [causes.reason(cause, self.border.chained)], "released")

    def _answer(self, now, status, extra, how, reason=""):
        """The one final answer that is not a 200."""
        self.owed = False
        by = "server" if self.refusal is not None and how == "released" else "proxy"
        self._conclude(now, status, how, by, lambda: self.tx.respond(now, status, f"{self.id}a", reason, extra))

    def _conclude(self, now, status, how, by, answer):
        """Its record, then the answer."""
        self.state = "answering"
        self.border.ended(self, how, status)

        def then(_):
            answer()
            self._over()

        self.border.ledger.refused(now, self._record(now, how, by, status), then)

    def _told(self, now, outcome, final=False, wait_us=0, report=None, beyond=False):
        """The one end of the seizure, to the module."""
        self.outcome = outcome
        seizure = self.seizure
        lag = seizure.lag(now) if seizure.sent_at else 0
        number, server = seizure.number, seizure.server
        self.told.append((server, outcome, seizure.sent_at, lag))
        self.border.door.tell(io.SeizureEnded(self.index, number, server, outcome, wait_us, lag, final, report, beyond))

    # ---- being set up: what the seizure tells ----

    def progress(self, now, seizure, message):
        """A provisional response; 100 stays on its leg."""
        report = report_of(message, self.border.load_header, self.border.instances)
        if report is not None:
            self.border.door.tell(io.ServerReport(seizure.server, report, False))
        if message.status == FORWARDED and self.border.chained and seizure.state == "out":
            self.border.door.tell(io.Forwarded(self.index, seizure.number, seizure.server, seizure.lag(now)))
        if message.status > 100 and self.state == "setting up":
            extra = passed(message, self.border.load_header)
            extra.append(("Contact", self.border.contact(self.tx.hop)))
            self.tx.respond(now, message.status, f"{self.id}a", message.reason, extra, message.body)

    def answered(self, now, seizure, message, dialog):
        """The first 200."""
        border = self.border
        report = report_of(message, border.load_header, border.instances)
        if report is not None:
            border.door.tell(io.ServerReport(seizure.server, report, False))
        border.door.tell(io.Answered(self.index, seizure.number, seizure.server, seizure.lag(now)))
        self.state, self.stood_at = "standing", now
        invite = self.tx.message
        self.legs[BOX] = dialog
        if invite.body:  # the offer went with the INVITE: nothing in the caller's ACK is waited for
            seizure.ack(now, dialog)
            self.seizure = None
        extra = passed(message, border.load_header)
        extra += [("Record-Route", value) for value in invite.all("record-route")]
        extra.append(("Contact", border.contact(self.tx.hop)))
        self.told.append((seizure.server, io.COMPLETED, seizure.sent_at, seizure.lag(now)))
        self.passed, self.body, self.held = None, b"", True
        border.stood(self)
        border.ledger.begun(now, self._record(now), lambda at: self._let_stand(at, message, extra))

    def _let_stand(self, now, message, extra):
        """The caller's 200, its record being safe."""
        tx, self.tx, self.held = self.tx, None, False
        tx.respond(now, message.status, f"{self.id}a", message.reason, extra, message.body)
        seq = tx.message.cseq[0] if tx.message is not None else self.legs[CALLER].remote_seq
        self.answers[(CALLER, seq)] = Answer(self.border, now, tx, self._acked, self._unacked)
        self._settle()

    def refused(self, now, seizure, message):
        self.refusal = message
        outcome, wait_us, beyond = causes.refusal(message)
        report = report_of(message, self.border.load_header, self.border.instances)
        self._told(now, outcome, False, wait_us, report, beyond and self.border.chained)
        self.border.say(
            "debug",
            "seizure ended",
            call=self.id,
            outcome=causes.OUTCOME_NAMES[outcome],
            status=message.status,
            server=self.border.server_names[seizure.server],
        )

    def seizure_lost(self, now, seizure, kind):
        self._told(now, causes.FAILED_KIND[kind])

    def seizure_faulty(self, now, seizure):
        self._told(now, io.FAULTY)

    def timed_out(self, now, seizure):
        self._told(now, io.TIMED_OUT)

    # ---- the caller leaves before its answer ----

    def left(self, now, status):
        """CANCEL or an early BYE (status 487), or its connection is lost (0: nothing can be said)."""
        if self.state != "setting up":
            return
        self.owed = False
        self.border.door.tell(io.CallerAbandoned(self.index))
        if self.seizure is not None and self.seizure.state == "out":
            self.seizure.give_up(now)
            self._told(now, io.CANCELLED, True)
        self._conclude(
            now,
            status,
            "left",
            "proxy" if status == 503 else "caller",
            lambda: status and self.tx.respond(now, status, f"{self.id}a"),
        )

    # ---- standing ----

    def _acked(self, now, ack):
        """The caller's ACK of the 200: with a late offer's answer in it, it goes on to the box."""
        seizure, self.seizure = self.seizure, None
        if seizure is not None and self.legs[BOX] is not None:
            seizure.ack(now, self.legs[BOX], passed(ack, self.border.load_header), ack.body)
        if self.wait_bye:
            self.wait_bye = False
            self._bye(now, CALLER, ())

    def _unacked(self, now):
        """64 * T1 without the caller's ACK: the call is released on both sides (RFC 3261 section 13.3.1.4)."""
        if self.wait_bye:
            self.wait_bye = False
            self._bye(now, CALLER, ())
        else:
            self.end(now, -1, "no ACK")

    def ack(self, now, side, message):
        dialog = self.legs[side]
        if dialog is None or not dialog.is_of(message):
            return
        answer = self.answers.pop((side, message.cseq[0]), None)
        if answer is not None:
            answer.acked(now, message)

    def request(self, now, tag, tx, message):
        """A request inside the call's dialogs."""
        side = CALLER if tag[16:17] == "a" else BOX
        dialog = self.legs[side]
        if dialog is None or not dialog.is_of(message):
            tx.respond(now, 481)
            return
        if not dialog.in_order(message):
            tx.respond(now, 500, extra=[("Retry-After", "1")])
            return
        if message.method == "BYE":
            tx.respond(now, 200)
            if self.state == "setting up":
                self.left(now, 487)  # 15: the calling side may end an early dialog so
            elif self.state == "standing":
                self.end(now, side, "released", message)
            return
        if self.state in ("setting up", "answering") or self.held:
            tx.respond(now, 491)
            return
        if self.state != "standing":
            tx.respond(now, 481)
            return
        if message.method == "INVITE":
            if side in self.relays:
                tx.respond(now, 500, extra=[("Retry-After", "1")])  # 14.2: an earlier one is not answered yet
                return
            if 1 - side in self.relays or any(s == side for s, _ in self.answers):
                tx.respond(now, 491)
                return
        relay = Relay(self, side, tx)
        if message.method == "INVITE":
            tx.respond(now, 100)
            self.relays[side] = relay
        relay.send(now)

    def cancel_request(self, now, invite_tx):
        """A CANCEL for an INVITE of this call."""
        if invite_tx is self.tx:
            self.left(now, 487)

    def end(self, now, by, how, bye=None):
        """The call stands no more: released by leg `by` (-1: by this proxy); the other leg gets a BYE."""
        if self.state != "standing":
            return
        self.state = "releasing"
        outcome = io.COMPLETED
        if by == BOX:
            outcome = causes.release(bye) if bye is not None else io.RESET
        self._tell_end(now, outcome)
        extra = [("Reason", value) for value in bye.all("reason")] if bye is not None else []
        if outcome == io.RESET and not extra:
            extra = [causes.reason(41)]
        if self.seizure is not None:  # the box waits for an ACK that will not come with a body any more
            self.seizure.ack(now, self.legs[BOX])
            self.seizure = None
        waits = self.held  # the 200 itself is still to go
        for key, answer in list(self.answers.items()):
            if by != CALLER and answer.on_none == self._unacked:
                waits = by == BOX  # else it is for want of this very ACK that the call ends
            else:
                answer.stop()
                del self.answers[key]
        how = how if outcome == io.COMPLETED else "cut"
        self.border.ended(self, how, 0)
        self.border.ledger.ended(now, self._record(now, how, BY[by], 200))
        for side in (CALLER, BOX):
            if side != by:
                if side == CALLER and waits:
                    self.wait_bye = True  # 15: the called side sends no BYE before the ACK
                else:
                    self._bye(now, side, extra)
        self._settle()

    def _tell_end(self, now, outcome):
        self.owed = False
        lag = now - self.stood_at
        self.border.door.tell(io.SeizureEnded(self.index, self.seizures - 1, self.server, outcome, 0, lag, True, None))

    def _bye(self, now, side, extra):
        self.byes += 1
        if not self.border.bye(now, self.legs[side], self, extra):
            self.byes -= 1
        self._settle()

    def response(self, now, tx, message):
        """Of a BYE of ours."""
        if message.status >= 200:
            self.byes -= 1
            self._settle()

    def failed(self, now, tx, kind):
        if tx is self.tx:  # the caller's INVITE: its connection is lost
            if kind == "lost":
                self.left(now, 0)
            return
        if tx.method == "INVITE":
            return  # its refusal had no ACK: nothing more is owed
        self.byes -= 1
        self._settle()

    def _settle(self):
        if self.state == "releasing" and not self.byes and not self.wait_bye and not self.held:
            self._over()

    def box_lost(self, now):
        """The connection to its box is gone: the call is cut."""
        self.end(now, BOX, "cut")

    def _over(self):
        self.state = "over"
        for answer in self.answers.values():
            answer.stop()
        self.answers.clear()
        self.seizure = self.refusal = None
        self.border.forget(self)

    def _record(self, *end):
        return of_call(self, *end) if self.border.ledger.kept else None

    def describe(self):
        """Fields for a log line."""
        names = self.border.server_names
        return {
            "call": self.id,
            "call_type": self.border.type_names[self.kind],
            "to": masked(self.number),
            "seizures": self.seizures,
            "server": names[self.server] if self.server >= 0 else "",
            "rule": self.rule,
            "ms": (self.border.now - self.came) // 1000,
        }
