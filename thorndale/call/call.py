"""The life cycle of a call: set-up as the module decides, established, release.

    setting up --200 of the server--> established --BYE, cut, no ACK--> releasing --all BYEs answered--> over
    setting up --Reject, Fail, CANCEL, caller lost--> answering --its record is safe--> over

While the caller's final answer waits for its record to be written, later actions are deferred until the answer has been
sent: no BYE is sent before the 200.

Leg 0 is the caller's, leg 1 the central server's. During set-up at most one seizure is pending; the module alone
decides on the server and the time.
"""

from thorndale import interface as io
from thorndale.call import causes
from thorndale.call.call_records import RELEASED_BY, call_record
from thorndale.call.forwarding import forwarded_fields, header_safe_text
from thorndale.call.relay import Answer, Relay
from thorndale.call.reports import parse_load_report
from thorndale.call.seizure import Seizure
from thorndale.call.sort import mask_number
from thorndale.sip.dialog import Dialog

CALLER, SERVER = 0, 1  # indices of the legs
FORWARDED = 181  # Call Is Being Forwarded (RFC 3261): the server has forwarded the call downstream


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
        "forwarded",
        "max_forwards",
        "seizure",
        "seizure_count",
        "legs",
        "unacked_answers",
        "open_reinvites",
        "refusal",
        "last_outcome",
        "open_byes",
        "server",
        "received_at",
        "module_open",
        "answered_at",
        "call_type",
        "bye_after_ack",
        "rule",
        "rules",
        "client",
        "group",
        "caller",
        "priority",
        "seizure_results",
        "answer_pending",
        "caller_seq",
    )

    def __init__(self, border, token, tx, classified, max_forwards):
        """`classified` is the ClassifiedCall, `max_forwards` that of the server leg. Raises SipError for an INVITE that
        cannot create a dialog."""
        invite = tx.message
        self.border, self.id, self.max_forwards = border, token, max_forwards
        self.tx = tx  # the transaction of the caller's INVITE, until its 200 is sent
        tx.user = self
        self.number, self.caller_uri, self.body = classified.number, invite.from_.uri, invite.body
        self.forwarded = forwarded_fields(invite, border.load_header)
        if classified.headers:
            rule_names = {name.lower() for name, _ in classified.headers}
            self.forwarded = [pair for pair in self.forwarded if pair[0].lower() not in rule_names]
            self.forwarded += [(name, header_safe_text(value)) for name, value in classified.headers]
        self.rule, self.rules = classified.rule, border.classifier.rules.digest
        self.call_type, self.client, self.group = classified.call_type, classified.client, classified.group
        self.caller, self.priority = classified.caller, classified.priority_class
        # For the record: (server, outcome, when sent, duration in us) of each seizure that has ended.
        self.seizure_results = []
        self.caller_seq = invite.cseq[0]
        self.answer_pending = False  # the 200 to the caller waits until its record is written
        self.state, self.seizure, self.seizure_count, self.server = "setting up", None, 0, -1
        self.legs = [Dialog.from_invite(invite, f"{token}a", tx.hop), None]
        # (leg, CSeq): the 2xx that waits for its ACK; leg: the Relay of its open re-INVITE
        self.unacked_answers, self.open_reinvites = {}, {}
        self.index = border.module_host.assign_index(self)
        self.refusal, self.last_outcome, self.open_byes = None, -1, 0
        self.received_at, self.answered_at = border.now, 0
        self.module_open = True  # the module has not yet closed the call
        self.bye_after_ack = False  # a BYE to the caller is due once its ACK has arrived

    # ---- set-up: actions of the module ----

    def seize(self, now, server, timeout_us):
        number, self.seizure_count = self.seizure_count, self.seizure_count + 1
        self.seizure, self.server = Seizure(self, number, server), server
        if not self.seizure.send(now, timeout_us):
            self._report_seizure_end(now, io.NOT_SENT)
            return
        self.border.log("debug", "seizure", call=self.id, seizure=number, server=self.border.server_names[server])

    def cancel(self, now):
        """Carries out the module's Cancel."""
        seizure = self.seizure
        if seizure is not None and seizure.state == "pending":
            seizure.abandon(now)
            self._report_seizure_end(now, io.CANCELLED, True)

    def reject(self, now, retry_after_us):
        extra = causes.retry_after_fields(retry_after_us)
        if self.border.chained:
            extra.append(causes.reason_field(causes.Q850_CONGESTION, True))
        self._answer_failure(now, 503, extra, "rejected")

    def fail(self, now):
        if self.last_outcome == io.BUSY and self.refusal is not None:
            message = self.refusal
            extra = forwarded_fields(message, self.border.load_header)
            extra += [("Reason", value) for value in message.all("reason")]
            if message.get("retry-after"):
                extra.append(("Retry-After", message.get("retry-after")))
            self._answer_failure(now, message.status, extra, "released", message.reason)
            return
        status, cause = causes.FINAL_ANSWERS.get(self.last_outcome, causes.NO_SEIZURE_ANSWER)
        self._answer_failure(now, status, [causes.reason_field(cause, self.border.chained)], "released")

    def _answer_failure(self, now, status, extra, how, reason=""):
        """Sends the final answer of a call that was not established."""
        self.module_open = False
        by = "server" if self.refusal is not None and how == "released" else "proxy"
        self._conclude(now, status, how, by, lambda: self.tx.respond(now, status, f"{self.id}a", reason, extra))

    def _conclude(self, now, status, how, by, answer):
        """Writes the record of the call, then sends the answer."""
        self.state = "answering"
        self.border.call_ended(self, how, status)

        def then(_):
            answer()
            self._close()

        self.border.ledger.refused(now, self._record(now, how, by, status), then)

    def _report_seizure_end(self, now, outcome, final=False, wait_us=0, report=None, beyond=False):
        """Reports the end of the seizure to the module; exactly once per seizure."""
        self.last_outcome = outcome
        seizure = self.seizure
        elapsed = seizure.elapsed(now) if seizure.sent_at else 0
        number, server = seizure.number, seizure.server
        self.seizure_results.append((server, outcome, seizure.sent_at, elapsed))
        self.border.module_host.add_event(
            io.SeizureEnded(self.index, number, server, outcome, wait_us, elapsed, final, report, beyond)
        )

    # ---- set-up: callbacks of the seizure ----

    def progress(self, now, seizure, message):
        """Handles a provisional response. A 100 is not forwarded to the caller."""
        report = parse_load_report(message, self.border.load_header, self.border.instances)
        if report is not None:
            self.border.module_host.add_event(io.ServerReport(seizure.server, report, False))
        if message.status == FORWARDED and self.border.chained and seizure.state == "pending":
            self.border.module_host.add_event(
                io.Forwarded(self.index, seizure.number, seizure.server, seizure.elapsed(now))
            )
        if message.status > 100 and self.state == "setting up":
            extra = forwarded_fields(message, self.border.load_header)
            extra.append(("Contact", self.border.contact(self.tx.hop)))
            self.tx.respond(now, message.status, f"{self.id}a", message.reason, extra, message.body)

    def seizure_answered(self, now, seizure, message, dialog):
        """Handles the first 200 of the server: the call is established."""
        border = self.border
        report = parse_load_report(message, border.load_header, border.instances)
        if report is not None:
            border.module_host.add_event(io.ServerReport(seizure.server, report, False))
        border.module_host.add_event(io.Answered(self.index, seizure.number, seizure.server, seizure.elapsed(now)))
        self.state, self.answered_at = "established", now
        invite = self.tx.message
        self.legs[SERVER] = dialog
        if invite.body:  # the offer was in the INVITE, so the caller's ACK is not needed for an answer
            seizure.ack(now, dialog)
            self.seizure = None
        extra = forwarded_fields(message, border.load_header)
        extra += [("Record-Route", value) for value in invite.all("record-route")]
        extra.append(("Contact", border.contact(self.tx.hop)))
        self.seizure_results.append((seizure.server, io.COMPLETED, seizure.sent_at, seizure.elapsed(now)))
        self.forwarded, self.body, self.answer_pending = None, b"", True
        border.call_answered(self)
        border.ledger.begun(now, self._record(now), lambda at: self._send_answer(at, message, extra))

    def _send_answer(self, now, message, extra):
        """Sends the 200 to the caller, after its record is safe."""
        tx, self.tx, self.answer_pending = self.tx, None, False
        tx.respond(now, message.status, f"{self.id}a", message.reason, extra, message.body)
        seq = tx.message.cseq[0] if tx.message is not None else self.legs[CALLER].remote_seq
        self.unacked_answers[(CALLER, seq)] = Answer(self.border, now, tx, self._acked, self._unacked)
        self._finish_release()

    def seizure_refused(self, now, seizure, message):
        self.refusal = message
        outcome, wait_us, beyond = causes.classify_refusal(message)
        report = parse_load_report(message, self.border.load_header, self.border.instances)
        self._report_seizure_end(now, outcome, False, wait_us, report, beyond and self.border.chained)
        self.border.log(
            "debug",
            "seizure ended",
            call=self.id,
            outcome=causes.OUTCOME_NAMES[outcome],
            status=message.status,
            server=self.border.server_names[seizure.server],
        )

    def seizure_lost(self, now, seizure, kind):
        self._report_seizure_end(now, causes.TRANSACTION_FAILURES[kind])

    def seizure_faulty(self, now, seizure):
        self._report_seizure_end(now, io.FAULTY)

    def seizure_timed_out(self, now, seizure):
        self._report_seizure_end(now, io.TIMED_OUT)

    # ---- set-up: aborted ----

    def abort_setup(self, now, status):
        """Ends the set-up after a CANCEL or an early BYE (status 487), at shutdown (503), or after the loss of the
        caller's connection (0: no answer can be sent)."""
        if self.state != "setting up":
            return
        self.module_open = False
        self.border.module_host.add_event(io.CallerAbandoned(self.index))
        if self.seizure is not None and self.seizure.state == "pending":
            self.seizure.abandon(now)
            self._report_seizure_end(now, io.CANCELLED, True)
        self._conclude(
            now,
            status,
            "left",
            "proxy" if status == 503 else "caller",
            lambda: status and self.tx.respond(now, status, f"{self.id}a"),
        )

    # ---- established ----

    def _acked(self, now, ack):
        """Handles the caller's ACK of the 200. For a late offer it carries the answer and is relayed to the server."""
        seizure, self.seizure = self.seizure, None
        if seizure is not None and self.legs[SERVER] is not None:
            seizure.ack(now, self.legs[SERVER], forwarded_fields(ack, self.border.load_header), ack.body)
        if self.bye_after_ack:
            self.bye_after_ack = False
            self._bye(now, CALLER, ())

    def _unacked(self, now):
        """Releases both legs after 64 * T1 without the caller's ACK (RFC 3261 section 13.3.1.4)."""
        if self.bye_after_ack:
            self.bye_after_ack = False
            self._bye(now, CALLER, ())
        else:
            self.end(now, -1, "no ACK")

    def ack(self, now, side, message):
        dialog = self.legs[side]
        if dialog is None or not dialog.matches_request(message):
            return
        answer = self.unacked_answers.pop((side, message.cseq[0]), None)
        if answer is not None:
            answer.acked(now, message)

    def request(self, now, tag, tx, message):
        """Handles a request inside one of the call's dialogs."""
        side = CALLER if tag[16:17] == "a" else SERVER
        dialog = self.legs[side]
        if dialog is None or not dialog.matches_request(message):
            tx.respond(now, 481)
            return
        if not dialog.accept_cseq(message):
            tx.respond(now, 500, extra=[("Retry-After", "1")])
            return
        if message.method == "BYE":
            tx.respond(now, 200)
            if self.state == "setting up":
                self.abort_setup(now, 487)  # RFC 3261 section 15: the caller may end an early dialog by BYE
            elif self.state == "established":
                self.end(now, side, "released", message)
            return
        if self.state in ("setting up", "answering") or self.answer_pending:
            tx.respond(now, 491)
            return
        if self.state != "established":
            tx.respond(now, 481)
            return
        if message.method == "INVITE":
            if side in self.open_reinvites:
                tx.respond(now, 500, extra=[("Retry-After", "1")])  # section 14.2: an earlier one is pending
                return
            if 1 - side in self.open_reinvites or any(s == side for s, _ in self.unacked_answers):
                tx.respond(now, 491)
                return
        relay = Relay(self, side, tx)
        if message.method == "INVITE":
            tx.respond(now, 100)
            self.open_reinvites[side] = relay
        relay.send(now)

    def cancel_request(self, now, invite_tx):
        """Handles a CANCEL for an INVITE of this call."""
        if invite_tx is self.tx:
            self.abort_setup(now, 487)

    def end(self, now, by, how, bye=None):
        """Ends an established call, released by leg `by` (-1: by this proxy), and sends a BYE to each other leg."""
        if self.state != "established":
            return
        self.state = "releasing"
        outcome = io.COMPLETED
        if by == SERVER:
            outcome = causes.bye_outcome(bye) if bye is not None else io.RESET
        self._report_call_end(now, outcome)
        extra = [("Reason", value) for value in bye.all("reason")] if bye is not None else []
        if outcome == io.RESET and not extra:
            extra = [causes.reason_field(41)]
        if self.seizure is not None:  # the server still waits for the ACK, which will have no body
            self.seizure.ack(now, self.legs[SERVER])
            self.seizure = None
        bye_waits = self.answer_pending  # the 200 itself is not sent yet
        for key, answer in list(self.unacked_answers.items()):
            if by != CALLER and answer.on_timeout == self._unacked:
                bye_waits = by == SERVER  # otherwise the proxy ends the call, for lack of this ACK
            else:
                answer.stop()
                del self.unacked_answers[key]
        how = how if outcome == io.COMPLETED else "cut"
        self.border.call_ended(self, how, 0)
        self.border.ledger.ended(now, self._record(now, how, RELEASED_BY[by], 200))
        for side in (CALLER, SERVER):
            if side != by:
                if side == CALLER and bye_waits:
                    self.bye_after_ack = True  # RFC 3261 section 15: the callee sends no BYE before the ACK
                else:
                    self._bye(now, side, extra)
        self._finish_release()

    def _report_call_end(self, now, outcome):
        self.module_open = False
        elapsed = now - self.answered_at
        self.border.module_host.add_event(
            io.SeizureEnded(self.index, self.seizure_count - 1, self.server, outcome, 0, elapsed, True, None)
        )

    def _bye(self, now, side, extra):
        self.open_byes += 1
        if not self.border.bye(now, self.legs[side], self, extra):
            self.open_byes -= 1
        self._finish_release()

    def response(self, now, tx, message):
        """Handles a response to a BYE of this proxy."""
        if message.status >= 200:
            self.open_byes -= 1
            self._finish_release()

    def failed(self, now, tx, kind):
        if tx is self.tx:  # the caller's INVITE: its connection is lost
            if kind == "lost":
                self.abort_setup(now, 0)
            return
        if tx.method == "INVITE":
            return  # a refusal without an ACK: no further action
        self.open_byes -= 1
        self._finish_release()

    def _finish_release(self):
        if self.state == "releasing" and not self.open_byes and not self.bye_after_ack and not self.answer_pending:
            self._close()

    def server_connection_lost(self, now):
        """Ends the call as cut, since the connection to its server is lost."""
        self.end(now, SERVER, "cut")

    def _close(self):
        self.state = "over"
        for answer in self.unacked_answers.values():
            answer.stop()
        self.unacked_answers.clear()
        self.seizure = self.refusal = None
        self.border.forget(self)

    def _record(self, *end):
        return call_record(self, *end) if self.border.ledger.keeps_records else None

    def describe(self):
        """Fields for a log line."""
        names = self.border.server_names
        return {
            "call": self.id,
            "call_type": self.border.type_names[self.call_type],
            "to": mask_number(self.number),
            "seizures": self.seizure_count,
            "server": names[self.server] if self.server >= 0 else "",
            "rule": self.rule,
            "ms": (self.border.now - self.received_at) // 1000,
        }
