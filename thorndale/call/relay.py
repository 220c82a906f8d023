"""Relays requests inside an established call from one leg to the other, and retransmits 2xx answers until their ACK."""

from thorndale.call.forwarding import forwarded_fields
from thorndale.sip.dialog import via_text


class Answer:
    """A 2xx to an INVITE, retransmitted until its ACK arrives (RFC 3261 section 13.3.1.4), on every transport.

    `on_ack(now, ack)` is called once, or `on_timeout(now)` if no ACK arrives within 64 * T1.
    """

    __slots__ = ("border", "tx", "interval", "deadline", "timer", "on_ack", "on_timeout")

    def __init__(self, border, now, tx, on_ack, on_timeout):
        times = border.layer.times
        self.border, self.tx, self.interval, self.deadline = border, tx, times.t1, now + times.transaction_timeout
        self.on_ack, self.on_timeout = on_ack, on_timeout
        self.timer = border.timers.set(now + self.interval, self, "repeat")

    def due(self, now, name):
        if now >= self.deadline:
            self.timer = None
            self.on_timeout(now)
            return
        self.border.layer.send(self.tx.hop, self.tx.wire)
        self.interval = min(2 * self.interval, self.border.layer.times.t2)
        self.timer = self.border.timers.set(min(now + self.interval, self.deadline), self, "repeat")

    def acked(self, now, ack):
        self.stop()
        self.tx.drop_request()
        self.on_ack(now, ack)

    def stop(self):
        self.border.timers.cancel(self.timer)
        self.timer = None


class Relay:
    """One request inside the call: `tx` is the server transaction on leg `side`, `client` the client transaction on the
    other leg.

    An INVITE's ACK is relayed as well: the 200 of the far side is acknowledged when the ACK of the near side arrives.
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
        extra = forwarded_fields(request, border.load_header)
        if request.method in ("INVITE", "UPDATE", "REFER", "NOTIFY"):
            extra.append(("Contact", border.contact(dialog.hop)))
        if request.method == "REFER":
            # Referred-By identifies a party on the near side.
            extra = [pair for pair in extra if pair[0].lower() != "referred-by"]
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
        if self.call.open_reinvites.get(self.side) is self:
            del self.call.open_reinvites[self.side]

    def cancel_request(self, now, invite_tx):
        """Relays a CANCEL of the near side for its re-INVITE."""
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
                    now,
                    status,
                    reason=message.reason,
                    extra=forwarded_fields(message, border.load_header),
                    body=message.body,
                )
            return
        if self.done:
            if status < 300 and self.ack:
                border.layer.send(*self.ack)
            return
        dialogs = call.legs
        extra = forwarded_fields(message, border.load_header)
        if status < 300 and tx.method in ("INVITE", "UPDATE"):
            dialogs[1 - self.side].refresh_target(message)
            dialogs[self.side].refresh_target(self.tx.message)
            extra.append(("Contact", border.contact(dialogs[self.side].hop)))
        self._finish()
        if status in (408, 481) and call.state == "established":
            call.end(now, 1 - self.side, "gone at the far end")  # RFC 3261 section 12.2.1.2
        self.tx.respond(now, status, reason=message.reason, extra=extra, body=message.body)
        if status < 300 and tx.method == "INVITE":
            answer = Answer(border, now, self.tx, self._acked, self._unacked)
            call.unacked_answers[(self.side, self.tx.message.cseq[0])] = answer

    def _acked(self, now, ack):
        call, border = self.call, self.call.border
        dialog = call.legs[1 - self.side]
        transport, host, port = border.local(dialog.hop)
        via = via_text(transport, host, port, border.branch())
        data = dialog.request("ACK", via, forwarded_fields(ack, border.load_header), ack.body, seq=self.seq).encode()
        self.ack = (dialog.hop, data)
        border.layer.send(dialog.hop, data)

    def _unacked(self, now):
        self.call.end(now, self.side, "no ACK")

    def failed(self, now, tx, kind):
        if tx is self.client:
            self._end(now, 408 if kind == "timeout" else 503)
            if self.call.state == "established":
                self.call.end(now, 1 - self.side, "gone at the far end")
