"""One seizure: an INVITE to a central server, to its end and past it.

States: out; given up (the call wants it no more: it is cancelled as soon as SIP allows, and an answer that comes
all the same is acknowledged and released at once); stood; ended. Its one end is told to the call once, and
through it to the module.
"""

from thorndale.call.sort import hidden
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.message import Message
from thorndale.sip.uri import escape_user, host_port


class Seizure:
    __slots__ = ("call", "border", "number", "server", "sent_at", "tx", "state", "acks", "timer", "cancelled", "dialog")

    def __init__(self, call, number, server):
        self.call, self.border, self.number, self.server = call, call.border, number, server
        self.sent_at, self.tx, self.state, self.timer = 0, None, "out", None
        self.cancelled, self.dialog = False, None
        self.acks = {}  # To tag: (hop, bytes) of the ACK, for repeated 200s

    def send(self, now, timeout_us):
        """False where no transaction can be had."""
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
            ("max-forwards", "Max-Forwards", str(call.hops)),
            ("from", "From", f"<{call.caller_uri}>;tag={tag}"),
            ("to", "To", f"<{uri}>"),
            ("call-id", "Call-ID", tag),
            ("cseq", "CSeq", "1 INVITE"),
            ("contact", "Contact", border.contact(hop)),
        ]
        for name, value in call.passed:
            message.add(name, value)
        self.sent_at = now
        self.tx = border.layer.request(now, message, hop, self)
        if self.tx is None:
            self.state = "ended"
            return False
        self.timer = border.timers.set(now + max(1, timeout_us), self, "time-out")
        return True

    def lag(self, now):
        return now - self.sent_at

    def due(self, now, name):
        self.timer = None
        if name == "time-out" and self.state == "out":
            self.give_up(now)
            self.call.timed_out(now, self)
        elif name == "abandon" and self.tx is not None:
            # The box has not answered the CANCEL either: nothing more will come (RFC 3261 section 9.1).
            self.tx.event(now, "lost")

    def _stop(self):
        self.border.timers.cancel(self.timer)
        self.timer = None

    def give_up(self, now):
        """The call wants this seizure no more."""
        if self.state != "out":
            return
        self.state = "given up"
        self._stop()
        if self.tx.state == "proceeding":
            self._cancel(now)
        else:
            self.tx.quiet(now)  # no CANCEL before a provisional (9.1), and no more repeats of what nobody wants

    def _cancel(self, now):
        if self.cancelled:
            return
        self.cancelled = True
        self.border.cancel(now, self.tx)
        self.timer = self.border.timers.set(now + self.border.layer.times.most, self, "abandon")

    # ---- the transaction's user ----

    def response(self, now, tx, message):
        status = message.status
        if status < 200:
            if self.state == "given up":
                self._cancel(now)
            elif self.state == "out":
                self.call.progress(now, self, message)
        elif status < 300:
            self._answered(now, message)
        else:
            self._stop()
            was, self.state = self.state, "ended"
            if was == "out":
                self.call.refused(now, self, message)

    def failed(self, now, tx, kind):
        self._stop()
        was, self.state = self.state, "ended"
        if was == "out":
            self.call.seizure_lost(now, self, kind)

    def unreadable(self, now):
        """An answer came that cannot be read."""
        if self.state == "out":
            self.give_up(now)
            self.call.seizure_faulty(now, self)

    def _answered(self, now, message):
        try:
            tag = message.to_tag
            if tag in self.acks:  # repeated: its ACK was lost, or it crossed
                if self.acks[tag]:
                    self.border.layer.send(*self.acks[tag])
                return
            dialog = Dialog.of_response(self.tx.message, message, self.tx.hop)
        except SipError as fault:
            self.border.say("warning", "200 that cannot be used", call=self.call.id, reason=hidden(str(fault)))
            self.unreadable(now)
            return
        self.acks[tag] = None
        if self.state == "out":
            self._stop()
            self.state, self.dialog = "stood", dialog
            self.call.answered(now, self, message, dialog)
            return
        # Given up, or a second answer by a fork: taken and released at once (RFC 3261 section 13.2.2.4).
        self._stop()
        self.ack(now, dialog)
        self.border.bye(now, dialog, self.border.ending)

    def ack(self, now, dialog, extra=(), body=b""):
        """Acknowledges the 200 of this dialog, and whenever it comes again."""
        border = self.border
        transport, host, port = border.local(dialog.hop)
        via = via_text(transport, host, port, border.branch())
        data = dialog.request("ACK", via, extra, body, seq=1).encode()
        self.acks[dialog.remote_tag] = (dialog.hop, data)
        border.layer.send(dialog.hop, data)
