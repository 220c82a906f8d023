"""A setup box: takes set-ups by SIP, works on them with the model of a processor, and fails as it is told to."""

from collections import deque

from thorndale.net.clock import now_us
from thorndale.sip.dialog import Dialog, via_text
from thorndale.sip.errors import SipError
from thorndale.sip.uri import parse_uri
from thorndale.standins.agent import Agent
from thorndale.standins.processor import Processor

REPORT_US = 300_000  # us between two looks at its own load
BY_ITSELF_US = 90_000_000  # us after which it releases a call whose other end has vanished


class Standing:
    """One call at the box: its INVITE's transaction and then its dialog."""

    __slots__ = ("box", "tx", "dialog", "state", "timer", "gap", "until")

    def __init__(self, box, tx):
        self.box, self.tx, self.dialog, self.state = box, tx, None, "working"
        self.timer, self.gap, self.until = None, 0, 0

    def due(self, now, name):
        self.timer = None
        if name == "done":
            self.box.done(now, self)
        elif name == "repeat":
            self.box.repeat(now, self)
        elif name == "by itself":
            self.box.release(now, self)


class Box(Agent):
    standing_kind = Standing  # what is kept of a call

    def __init__(self, loop, limits, name, transport, port, work, lines, chance, saw, times=None):
        super().__init__(loop, limits, f"box:{name}", saw, times)
        self.name, self.transport, self.work, self.lines, self.chance = name, transport, work, lines, chance
        self.listener = (transport, "127.0.0.1", port)
        self.processor = Processor(work, now_us(), False)
        self.calls, self.used = {}, 0
        self.state, self.run_no = "serving", 0
        # Faults in force: each a figure that a scripted day sets and takes back.
        self.lose_answers = self.reset_part = self.report_late_us = 0
        self.flood = self.held_back = False
        self.reports = deque([(0, 0)])
        self.conns = {}  # a connection's hop: the sent-by of the proxy whose set-ups come by it
        self.held, self.opened = 0, 0  # connections with set-ups: most at one time, all
        self.setups, self.waits = {}, []  # second: set-ups; us that each met at the processor
        self.told_to = {}  # port of a proxy: 'lost', or the load header that it gets again and again
        self.note = lambda number, sorted_: None  # told what the proxy's rules made of each set-up

    def uri(self):
        return f"sip:127.0.0.1:{self.listener[2]}" + (";transport=tcp" if self.transport == "tcp" else "")

    def start(self, cold):
        self.run_no += 1
        self.processor = Processor(self.work, now_us(), cold)
        self.open([self.listener])
        self.state = "serving"
        self.saw(now_us(), self.place, "start", b"cold" if cold else b"warm")

    async def die(self):
        """All at once: sockets closed, what it held forgotten."""
        self.saw(now_us(), self.place, "died", b"")
        self.state, self.used = "dead", 0
        for call in self.calls.values():
            self.timers.cancel(call.timer)
        self.calls.clear()
        await self.close()
        for tx in [*self.layer.server_transactions.values(), *self.layer.client_transactions.values()]:
            tx.state = "terminated"
            self.layer.remove(tx)

    def set(self, name, value):
        """A fault begins or ends."""
        if name == "slowness":
            self.processor.slowness = value
        else:
            setattr(self, name, value)

    def stop_now(self):
        """What a box does at the end of its drain: the calls that it carries are cut."""
        now = now_us()
        for call in list(self.calls.values()):
            self.release(now, call, 41)
        self.arm()

    def load(self, now, tx):
        """The load header as a list of none or one: what a set-up met at its last look, or a later one's lateness
        ago; a set-up that comes looks before it adds to the wait itself."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_late_us:
            self.reports.popleft()
        free, wait = max(0, self.lines - self.used), self.reports[0][1] / 1000
        header = ("X-Load", f"free={free};lines={self.lines};wait={wait:.1f}")
        if self.told_to:
            port = tx.message.via.port
            kept = self.told_to.get(port)
            if kept == "stuck":
                self.told_to[port] = kept = header
            return [] if kept == "lost" else [kept or header]
        return [header]

    def lost(self, now, hop, kind):
        """A connection has ended: what still came by it after it was dropped is reset too."""
        sent_by = self.conns.pop(hop, None)
        if sent_by is not None:
            self.saw(now, self.place, "reset", sent_by)
        super().lost(now, hop, kind)

    # ---- the layer's user ----

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
        if tx.hop.conn and tx.hop not in self.conns:
            via = tx.message.via
            self.conns[tx.hop] = f"{via.host}:{via.port}".encode()
            self.held, self.opened = max(self.held, len(self.conns)), self.opened + 1
        tx.respond(now, 100)
        wait = self.processor.wait(now)
        if now - self.reports[-1][0] >= REPORT_US:
            self.reports.append((now, wait))
        self.setups[now // 1_000_000] = self.setups.get(now // 1_000_000, 0) + 1
        self.waits.append(wait)
        self.note(tx.message.uri.partition(":")[2], tx.message.get("x-sorted"))
        if self.flood:
            self.processor._do(now, self.work.reject_us)
            tx.respond(now, 503, "x")
            return
        if self.chance() < self.reset_part:
            if self.transport == "tcp":
                connection = self.ends.tcp.by_hop.get(tx.hop)
                if connection is not None:
                    self.saw(now, self.place, "reset", self.conns[tx.hop])
                    self.ends.tcp.drop(connection)
            else:
                tx.respond(now, 500, "x")
            return
        done = self.processor.setup(now)
        if self.processor.fallen:
            self.saw(now, self.place, "fallen", b"")
            self.mute = True  # it stays down
            return
        if done is None:
            tx.respond(now, 503, "x", extra=[("Reason", "Q.850;cause=42"), ("Retry-After", "1"), *self.load(now, tx)])
            return
        if self.used >= self.lines:
            tx.respond(now, 503, "x", extra=[("Reason", "Q.850;cause=34"), *self.load(now, tx)])
            return
        call = self.calls[tx.message.call_id] = self.standing_kind(self, tx)
        self.used += 1
        call.timer = self.timers.set(done, call, "done")

    def done(self, now, call):
        """The set-up is through: the 200 goes, unless the answers are being lost."""
        tx = call.tx
        if tx.state != "proceeding":
            self._drop(call)
            return
        number = tx.message.uri.partition("@")[0]
        if number.endswith("00"):  # numbers that are always engaged
            tx.respond(now, 486, "x", extra=self.load(now, tx))
            self._drop(call)
            return
        self.processor.answer(now)
        if self.chance() < self.lose_answers:
            call.state = "unheard"
            call.timer = self.timers.set(now + BY_ITSELF_US, call, "by itself")
            return
        tag = f"t{len(self.calls)}-{now:x}"
        try:
            call.dialog = Dialog.from_invite(tx.message, tag, tx.hop)
        except SipError:
            self._drop(call)
            return
        call.state, call.gap, call.until = "answered", self.times.t1, now + self.times.transaction_timeout
        extra = [("Contact", self._asked_at(tx.message)), *self.load(now, tx)]
        tx.respond(now, 180, tag, extra=extra)
        tx.respond(now, 200, tag, extra=[*extra, ("Content-Type", "application/sdp")], body=b"v=0\r\ns=box\r\n")
        call.timer = self.timers.set(now + call.gap, call, "repeat")

    def repeat(self, now, call):
        if now >= call.until:
            self.release(now, call)
            return
        self.send(call.tx.hop, call.tx.wire)
        call.gap = min(call.gap * 2, self.times.t2)
        call.timer = self.timers.set(min(now + call.gap, call.until), call, "repeat")

    def ack(self, now, message, hop):
        call = self.calls.get(message.call_id)
        if call and call.state == "answered":
            call.state = "standing"
            self.timers.cancel(call.timer)
            call.timer = self.timers.set(now + BY_ITSELF_US, call, "by itself")

    def release(self, now, call, cause=0):
        """The box ends a call by itself."""
        self._drop(call)
        if call.dialog is not None:
            extra = [("Reason", f"Q.850;cause={cause}")] if cause else []
            via = via_text(self.transport, "127.0.0.1", self.port, self.branch())
            self.layer.request(now, call.dialog.request("BYE", via, extra), call.dialog.hop, self)

    def _asked_at(self, message):
        """A Contact of the address that the set-up was sent to: a relay's, where one stands before this box."""
        port = parse_uri(message.uri).port or self.port
        return f"<sip:127.0.0.1:{port}{';transport=tcp' if self.transport == 'tcp' else ''}>"

    def _drop(self, call):
        self.timers.cancel(call.timer)
        if self.calls.pop(call.tx.message.call_id, None) is call:
            self.used -= 1
