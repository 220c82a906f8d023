"""A stand-in central server: accepts set-ups by SIP, models their processing time, and injects faults on request."""

from collections import deque

from thorndale.net.clock import now_us
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.uri import parse_uri
from thorndale.standins.agent import Agent
from thorndale.standins.processor import Processor

LOAD_SAMPLE_INTERVAL_US = 300_000
ORPHAN_RELEASE_US = 90_000_000  # after which it releases a call whose other end has vanished


class ServerCall:
    """One call at the server: the transaction of its INVITE and then its dialog."""

    __slots__ = ("server", "tx", "dialog", "state", "timer", "resend_interval", "resend_until")

    def __init__(self, server, tx):
        self.server, self.tx, self.dialog, self.state = server, tx, None, "working"
        self.timer, self.resend_interval, self.resend_until = None, 0, 0

    def due(self, now, name):
        self.timer = None
        if name == "done":
            self.server.done(now, self)
        elif name == "repeat":
            self.server.repeat(now, self)
        elif name == "by itself":
            self.server.release(now, self)


class SetupServer(Agent):
    call_class = ServerCall

    def __init__(self, loop, limits, name, transport, port, work, lines, random, observe, times=None):
        super().__init__(loop, limits, f"box:{name}", observe, times)
        self.name, self.transport, self.work, self.lines, self.random = name, transport, work, lines, random
        self.listener = (transport, "127.0.0.1", port)
        self.processor = Processor(work, now_us(), False)
        self.calls, self.used_lines = {}, 0
        self.state, self.run_no = "serving", 0
        # Active faults: a scripted day sets each value through `set` and resets it.
        self.lose_answers = self.reset_part = self.report_late_us = 0
        self.flood = self.held_back = False
        self.load_samples = deque([(0, 0)])
        self.proxy_by_connection = {}  # {hop of a connection: sent-by of the proxy that sends set-ups over it}
        self.most_connections, self.opened = 0, 0  # connections that carried set-ups: most at one time, in total
        self.setups, self.queueing_delays_us = {}, []  # {second: set-ups}; queueing delay of each in us
        self.told_to = {}  # {port of a proxy: 'lost', 'stuck', or the load header that is repeated to it}
        self.on_setup = lambda number, sorted_header: None  # gets the X-Sorted header of each set-up

    def uri(self):
        return f"sip:127.0.0.1:{self.listener[2]}" + (";transport=tcp" if self.transport == "tcp" else "")

    def start(self, cold):
        self.run_no += 1
        self.processor = Processor(self.work, now_us(), cold)
        self.open([self.listener])
        self.state = "serving"
        self.observe(now_us(), self.endpoint, "start", b"cold" if cold else b"warm")

    async def die(self):
        """Crashes: closes all sockets and discards all calls and transactions."""
        self.observe(now_us(), self.endpoint, "died", b"")
        self.state, self.used_lines = "dead", 0
        for call in self.calls.values():
            self.timers.cancel(call.timer)
        self.calls.clear()
        await self.close()
        for tx in [*self.layer.server_transactions.values(), *self.layer.client_transactions.values()]:
            tx.state = "terminated"
            self.layer.remove(tx)

    def set(self, name, value):
        """Sets the value of a fault when the fault begins or ends."""
        if name == "slowness":
            self.processor.slowness = value
        else:
            setattr(self, name, value)

    def stop_now(self):
        """Ends a drain: cuts the remaining calls."""
        now = now_us()
        for call in list(self.calls.values()):
            self.release(now, call, 41)
        self.arm()

    def load(self, now, tx):
        """The load header as a list of none or one. It gives the latest sampled queueing delay, or one at least
        `report_late_us` old. A set-up samples the delay before it adds its own work."""
        while len(self.load_samples) > 1 and self.load_samples[1][0] <= now - self.report_late_us:
            self.load_samples.popleft()
        free, wait_ms = max(0, self.lines - self.used_lines), self.load_samples[0][1] / 1000
        header = ("X-Load", f"free={free};lines={self.lines};wait={wait_ms:.1f}")
        if self.told_to:
            port = tx.message.via.port
            override = self.told_to.get(port)
            if override == "stuck":
                self.told_to[port] = override = header
            return [] if override == "lost" else [override or header]
        return [header]

    def lost(self, now, hop, kind):
        """Reports the end of a connection; set-ups that arrived over it after it was dropped count as reset too."""
        sent_by = self.proxy_by_connection.pop(hop, None)
        if sent_by is not None:
            self.observe(now, self.endpoint, "reset", sent_by)
        super().lost(now, hop, kind)

    # ---- callbacks of the transaction layer ----

    def request(self, now, tx, message):
        method = message.method
        if method == "INVITE" and not message.to_tag:
            self._setup(now, tx)
        elif method == "CANCEL":
            invite = self.layer.cancelled_invite(message)
            tx.respond(now, 200 if invite else 481, "c")
            call = self.calls.get(message.call_id)
            if invite and call and call.state == "working":
                self._drop(call)
                invite.respond(now, 487, "x")
        elif method == "BYE":
            call = self.calls.get(message.call_id)
            tx.respond(now, 200 if call else 481)
            if call:
                self.processor.release(now)
                self._drop(call)
        elif method == "INVITE":
            tx.respond(now, 200, extra=[("Contact", self.contact(self.transport))], body=message.body)
        else:
            tx.respond(now, 200, "x")

    def _setup(self, now, tx):
        if tx.hop.conn and tx.hop not in self.proxy_by_connection:
            via = tx.message.via
            self.proxy_by_connection[tx.hop] = f"{via.host}:{via.port}".encode()
            self.most_connections, self.opened = (
                max(self.most_connections, len(self.proxy_by_connection)),
                self.opened + 1,
            )
        tx.respond(now, 100)
        wait_us = self.processor.wait(now)
        if now - self.load_samples[-1][0] >= LOAD_SAMPLE_INTERVAL_US:
            self.load_samples.append((now, wait_us))
        self.setups[now // 1_000_000] = self.setups.get(now // 1_000_000, 0) + 1
        self.queueing_delays_us.append(wait_us)
        self.on_setup(tx.message.uri.partition(":")[2], tx.message.get("x-sorted"))
        if self.flood:
            self.processor._add_work(now, self.work.reject_us)
            tx.respond(now, 503, "x")
            return
        if self.random() < self.reset_part:
            if self.transport == "tcp":
                connection = self.ends.tcp.by_hop.get(tx.hop)
                if connection is not None:
                    self.observe(now, self.endpoint, "reset", self.proxy_by_connection[tx.hop])
                    self.ends.tcp.drop(connection)
            else:
                tx.respond(now, 500, "x")
            return
        done = self.processor.setup(now)
        if self.processor.fallen:
            self.observe(now, self.endpoint, "fallen", b"")
            self.mute = True  # a crashed server stays down
            return
        if done is None:
            tx.respond(now, 503, "x", extra=[("Reason", "Q.850;cause=42"), ("Retry-After", "1"), *self.load(now, tx)])
            return
        if self.used_lines >= self.lines:
            tx.respond(now, 503, "x", extra=[("Reason", "Q.850;cause=34"), *self.load(now, tx)])
            return
        call = self.calls[tx.message.call_id] = self.call_class(self, tx)
        self.used_lines += 1
        call.timer = self.timers.set(done, call, "done")

    def done(self, now, call):
        """Sends the 200 for a completed set-up, unless the fault that loses answers applies."""
        tx = call.tx
        if tx.state != "proceeding":
            self._drop(call)
            return
        number = tx.message.uri.partition("@")[0]
        if number.endswith("00"):  # numbers that are always busy
            tx.respond(now, 486, "x", extra=self.load(now, tx))
            self._drop(call)
            return
        self.processor.answer(now)
        if self.random() < self.lose_answers:
            call.state = "unheard"
            call.timer = self.timers.set(now + ORPHAN_RELEASE_US, call, "by itself")
            return
        tag = f"t{len(self.calls)}-{now:x}"
        try:
            call.dialog = Dialog.from_invite(tx.message, tag, tx.hop)
        except SipError:
            self._drop(call)
            return
        call.state, call.resend_interval, call.resend_until = (
            "answered",
            self.times.t1,
            now + self.times.transaction_timeout,
        )
        extra = [("Contact", self._contact_as_addressed(tx.message)), *self.load(now, tx)]
        tx.respond(now, 180, tag, extra=extra)
        tx.respond(now, 200, tag, extra=[*extra, ("Content-Type", "application/sdp")], body=b"v=0\r\ns=box\r\n")
        call.timer = self.timers.set(now + call.resend_interval, call, "repeat")

    def repeat(self, now, call):
        if now >= call.resend_until:
            self.release(now, call)
            return
        self.send(call.tx.hop, call.tx.wire)
        call.resend_interval = min(call.resend_interval * 2, self.times.t2)
        call.timer = self.timers.set(min(now + call.resend_interval, call.resend_until), call, "repeat")

    def ack(self, now, message, hop):
        call = self.calls.get(message.call_id)
        if call and call.state == "answered":
            call.state = "standing"
            self.timers.cancel(call.timer)
            call.timer = self.timers.set(now + ORPHAN_RELEASE_US, call, "by itself")

    def release(self, now, call, cause=0):
        """Ends a call from the side of the server."""
        self._drop(call)
        if call.dialog is not None:
            extra = [("Reason", f"Q.850;cause={cause}")] if cause else []
            via = via_text(self.transport, "127.0.0.1", self.port, self.branch())
            self.layer.request(now, call.dialog.request("BYE", via, extra), call.dialog.hop, self)

    def _contact_as_addressed(self, message):
        """A Contact with the port that the set-up was sent to, which is the relay's if one is on the path."""
        port = parse_uri(message.uri).port or self.port
        return f"<sip:127.0.0.1:{port}{';transport=tcp' if self.transport == 'tcp' else ''}>"

    def _drop(self, call):
        self.timers.cancel(call.timer)
        if self.calls.pop(call.tx.message.call_id, None) is call:
            self.used_lines -= 1
