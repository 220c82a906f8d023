"""One seizure: an INVITE to a central server, from sending it to late answers after its end.

States: pending; given up (the call no longer uses it: it is cancelled as soon as SIP allows, and an answer that still
arrives is acknowledged and released at once); answered; ended. Its end is reported exactly once to the call, which
reports it to the module.
"""

from thorndale.call.sort import mask_numbers
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.uri import escape_user, host_port


class Seizure:
    __slots__ = ("call", "border", "number", "server", "sent_at", "tx", "state", "acks", "timer", "cancelled", "dialog")

    def __init__(self, call, number, server):
        self.call, self.border, self.number, self.server = call, call.border, number, server
        self.sent_at, self.tx, self.state, self.timer = 0, None, "pending", None
        self.cancelled, self.dialog = False, None
        self.acks = {}  # To tag: (hop, bytes) of the ACK, for retransmitted 200s

    def send(self, now, timeout_us):
        """Sends the INVITE. False if no transaction could be created."""
        border, call = self.border, self.call
        hop = border.server_hops[self.server]
        transport, host, port = border.local(hop)
        tag = f"{call.id}b{self.number}"
        user = escape_user(call.number)
        if border.trunk_context:
            group = border.server_groups[self.server]
            user += f";tgrp={group};trunk-context={border.trunk_context}"
        uri = f"sip:{user}@{host_port(hop.host, hop.port)}"
        if hop.transport == "tcp":
            uri += ";transport=tcp"
        message = Message("INVITE", uri, body=call.body)
        message.fields = [
            ("via", "Via", via_text(transport, host, port, border.branch())),
            ("max-forwards", "Max-Forwards", str(call.max_forwards)),
            ("from", "From", f"<{call.caller_uri}>;tag={tag}"),
            ("to", "To", f"<{uri}>"),
            ("call-id", "Call-ID", tag),
            ("cseq", "CSeq", "1 INVITE"),
            ("contact", "Contact", border.contact(hop)),
        ]
        for name, value in call.forwarded:
            message.add(name, value)
        self.sent_at = now
        self.tx = border.layer.request(now, message, hop, self)
        if self.tx is None:
            self.state = "ended"
            return False
        self.timer = border.timers.set(now + max(1, timeout_us), self, "time-out")
        return True

    def elapsed(self, now):
        return now - self.sent_at

    def due(self, now, name):
        self.timer = None
        if name == "time-out" and self.state == "pending":
            self.abandon(now)
            self.call.seizure_timed_out(now, self)
        elif name == "abandon" and self.tx is not None:
            # The server has not answered the CANCEL either: the transaction counts as cancelled (RFC 3261 section 9.1).
            self.tx.handle_event(now, "lost")

    def _stop(self):
        self.border.timers.cancel(self.timer)
        self.timer = None

    def abandon(self, now):
        """Gives the seizure up: the call no longer uses it."""
        if self.state != "pending":
            return
        self.state = "given up"
        self._stop()
        if self.tx.state == "proceeding":
            self._cancel(now)
        else:
            # No CANCEL may be sent before a provisional response (9.1); retransmissions of the INVITE stop.
            self.tx.stop_retransmitting(now)

    def _cancel(self, now):
        if self.cancelled:
            return
        self.cancelled = True
        self.border.cancel(now, self.tx)
        self.timer = self.border.timers.set(now + self.border.layer.times.transaction_timeout, self, "abandon")

    # ---- the transaction's user ----

    def response(self, now, tx, message):
        status = message.status
        if status < 200:
            if self.state == "given up":
                self._cancel(now)
            elif self.state == "pending":
                self.call.progress(now, self, message)
        elif status < 300:
            self._answered(now, message)
        else:
            self._stop()
            previous, self.state = self.state, "ended"
            if previous == "pending":
                self.call.seizure_refused(now, self, message)

    def failed(self, now, tx, kind):
        self._stop()
        previous, self.state = self.state, "ended"
        if previous == "pending":
            self.call.seizure_lost(now, self, kind)

    def unreadable(self, now):
        """Handles a malformed final response."""
        if self.state == "pending":
            self.abandon(now)
            self.call.seizure_faulty(now, self)

    def _answered(self, now, message):
        try:
            tag = message.to_tag
            if tag in self.acks:  # a retransmission: the ACK was lost or crossed it
                if self.acks[tag]:
                    self.border.layer.send(*self.acks[tag])
                return
            dialog = Dialog.from_response(self.tx.message, message, self.tx.hop)
        except SipError as error:
            self.border.log("warning", "200 that cannot be used", call=self.call.id, reason=mask_numbers(str(error)))
            self.unreadable(now)
            return
        self.acks[tag] = None
        if self.state == "pending":
            self._stop()
            self.state, self.dialog = "answered", dialog
            self.call.seizure_answered(now, self, message, dialog)
            return
        # Given up, or another answer of a forked INVITE: acknowledged and released at once (RFC 3261 section 13.2.2.4).
        self._stop()
        self.ack(now, dialog)
        self.border.bye(now, dialog, self.border.discard)

    def ack(self, now, dialog, extra=(), body=b""):
        """Sends the ACK for the 200 of this dialog, and stores it for retransmissions of that 200."""
        border = self.border
        transport, host, port = border.local(dialog.hop)
        via = via_text(transport, host, port, border.branch())
        data = dialog.request("ACK", via, extra, body, seq=1).encode()
        self.acks[dialog.remote_tag] = (dialog.hop, data)
        border.layer.send(dialog.hop, data)
