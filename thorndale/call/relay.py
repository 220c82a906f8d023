"""Requests inside a standing call, handed from one leg to the other, and answers that wait for their ACK."""

from thorndale.call.passing import passed
from thorndale.sip.dialog import via_text


class Answer:
    """A 2xx to an INVITE, repeated until its ACK comes (RFC 3261 section 13.3.1.4), on every transport.

    `on_ack(now, ack)` is called once; `on_none(now)` where no ACK came within 64 * T1.
    """

    __slots__ = ("border", "tx", "gap", "until", "timer", "on_ack", "on_none")

    def __init__(self, border, now, tx, on_ack, on_none):
        times = border.layer.times
        self.border, self.tx, self.gap, self.until = border, tx, times.t1, now + times.most
        self.on_ack, self.on_none = on_ack, on_none
        self.timer = border.timers.set(now + self.gap, self, "repeat")

    def due(self, now, name):
        if now >= self.until:
            self.timer = None
            self.on_none(now)
            return
        self.border.layer.send(self.tx.hop, self.tx.wire)
        self.gap = min(2 * self.gap, self.border.layer.times.t2)
        self.timer = self.border.timers.set(min(now + self.gap, self.until), self, "repeat")

    def acked(self, now, ack):
        self.stop()
        self.tx.slim()
        self.on_ack(now, ack)

    def stop(self):
        self.border.timers.cancel(self.timer)
        self.timer = None


class Relay:
    """One request inside the call: `tx` is the server transaction on leg `side`, `client` the one on the other.

    For an INVITE it also sees to the ACK: the far side's 200 is acknowledged with the near side's ACK.
    """

    __slots__ = ("call", "side", "tx", "client", "ack", "cancelled", "seq", "done")

    def __init__(self, call, side, tx):
        self.call, self.side, self.tx = call, side, tx
        self.client, self.ack, self.cancelled, self.seq, self.done = None, None, False, 0, False
        tx.user = self

    def send(self, now):
        border, request = self.call.border, self.tx.message
        dialog = self.call.legs[1 - self.side]
        transport, host, port = border.local(dialog.hop)
        via = via_text(transport, host, port, border.branch())
        extra = passed(request, border.load_header)
        if request.method in ("INVITE", "UPDATE", "REFER", "NOTIFY"):
            extra.append(("Contact", border.contact(dialog.hop)))
        if request.method == "REFER":
            extra = [pair for pair in extra if pair[0].lower() != "referred-by"]  # it names the near side
        message = dialog.request(request.method, via, extra, request.body)
        self.seq = message.cseq[0]
        self.client = border.layer.request(now, message, dialog.hop, self)
        if self.client is None:
            self._end(now, 503)

    def _end(self, now, status, extra=()):
        if not self.done:
            self._finish()
            self.tx.respond(now, status, extra=extra)

    def _finish(self):
        self.done = True
        if self.call.relays.get(self.side) is self:
            del self.call.relays[self.side]

    def cancel_request(self, now, invite_tx):
        """The near side's CANCEL of its re-INVITE."""
        if self.done or self.cancelled:
            return
        self.cancelled = True
        if self.client is not None and self.client.state == "proceeding":
            self.call.border.cancel(now, self.client)

    def response(self, now, tx, message):
        call, border = self.call, self.call.border
        status = message.status
        if status < 200:
            if self.cancelled:
                border.cancel(now, tx)
            if status > 100 and not self.done:
                self.tx.respond(
                    now, status, reason=message.reason, extra=passed(message, border.load_header), body=message.body
                )
            return
        if self.done:
            if status < 300 and self.ack:
                border.layer.send(*self.ack)
            return
        dialogs = call.legs
        extra = passed(message, border.load_header)
        if status < 300 and tx.method in ("INVITE", "UPDATE"):
            dialogs[1 - self.side].refresh(message)
            dialogs[self.side].refresh(self.tx.message)
            extra.append(("Contact", border.contact(dialogs[self.side].hop)))
        self._finish()
        if status in (408, 481) and call.state == "standing":
            call.end(now, 1 - self.side, "gone at the far end")  # RFC 3261 section 12.2.1.2
        self.tx.respond(now, status, reason=message.reason, extra=extra, body=message.body)
        if status < 300 and tx.method == "INVITE":
            answer = Answer(border, now, self.tx, self._acked, self._unacked)
            call.answers[(self.side, self.tx.message.cseq[0])] = answer

    def _acked(self, now, ack):
        call, border = self.call, self.call.border
        dialog = call.legs[1 - self.side]
        transport, host, port = border.local(dialog.hop)
        via = via_text(transport, host, port, border.branch())
        data = dialog.request("ACK", via, passed(ack, border.load_header), ack.body, seq=self.seq).encode()
        self.ack = (dialog.hop, data)
        border.layer.send(dialog.hop, data)

    def _unacked(self, now):
        self.call.end(now, self.side, "no ACK")

    def failed(self, now, tx, kind):
        if tx is self.client:
            self._end(now, 408 if kind == "timeout" else 503)
            if self.call.state == "standing":
                self.call.end(now, 1 - self.side, "gone at the far end")
