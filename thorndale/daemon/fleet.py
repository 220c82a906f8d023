"""I/O of the fleet protocol: one datagram socket, one timer, and log lines at a bounded rate. The border reports this
proxy's own actions here, and receives events derived from the other proxies' messages."""

import time

from thorndale import interface as io
from thorndale.config.load import parse_listener
from thorndale.fleet import wire
from thorndale.fleet.exchange import FleetExchange
from thorndale.fleet.members import STATES
from thorndale.net.alarm import Alarm
from thorndale.net.clock import now_us
from thorndale.net.udp import Udp

VIEW_PERIOD_S = 10  # between two log lines with the membership view
BAD_DATAGRAM_LOG_PERIOD_S = 1.0  # between two log lines on bad datagrams
LATE_TIMER_US = 20_000  # delay of a timer above which the socket is read before anybody's silence is judged
LATE_READ_DATAGRAMS = 4_096  # read then at most
MAX_CHANGES_PER_S = 20  # membership changes logged per second; the rest is dropped from the log


class FleetEndpoint:
    """`close()` announces that this proxy leaves. Raises OSError with the listener's name as `filename` if the socket
    cannot be opened."""

    def __init__(self, loop, settings, seed, log_event, border, arm=lambda: None):
        """`arm()` reschedules the border's timers after events were delivered to it."""
        fleet = settings.fleet
        names = [m.name for m in fleet.members]
        self.loop, self.log_event, self.closed = loop, log_event, False
        self.member_addresses = [parse_listener(m.at)[1:] for m in fleet.members]
        self.member_by_address = {address: n for n, address in enumerate(self.member_addresses)}
        self.count = {"sent": 0, "heard": 0, "bytes": 0, "unlisted": 0, "unreadable": 0}
        self.last_complaint_at, self.left_out, self.changes_logged = 0.0, 0, (0, 0)
        self.view_at = time.monotonic() + VIEW_PERIOD_S
        _, host, port = parse_listener(fleet.listen)
        try:
            self.udp = Udp(loop, host, port, self._receive, lambda hop: None, self._arm)
        except OSError as error:
            error.filename = fleet.listen
            raise
        self.border, self.arm_border, self.server_names = border, arm, [s.name for s in settings.servers]
        self.exchange = FleetExchange(
            names,
            names.index(settings.name),
            self.server_names,
            seed,
            now_us(),
            seed >> 32 & 0xFFFFFFFF,
            int(time.time()) << 16,
            fleet.rights,
            fleet.words,
        )
        self.members, self.module = (
            self.exchange.members,
            getattr(border.module_host.module, "module", border.module_host.module),
        )
        self.delivery_scheduled = False
        self.alarm = Alarm(loop, self.exchange, self._timer_due, LATE_TIMER_US)
        border.fleet = self
        self._arm()

    # ---- reports from the border ----

    def odds_before(self, events):
        for event in events:
            if type(event) is io.Servers:
                for entry in event.entries:
                    at = entry.started_us + self.border.wall_offset_us if entry.started_us else 0
                    self.exchange.server_started(entry.server, max(0, at) // 1_000_000)
        return self.exchange.odds_before(events, self.module)

    def record_outcomes(self, now, odds_before):
        self.exchange.record_outcomes(now, odds_before, self.module)
        self._arm()

    def record_seizure(self, now, action):
        self.exchange.record_seizure(now, action.server, action.first)

    def request_lease(self, now, action):
        self._send(self.exchange.request_lease(now, action.call, action.server, action.resume_us))
        self._arm()

    # ---- messages from other proxies ----

    def _receive(self, data, hop):
        sender = self.member_by_address.get((hop.host, hop.port))
        if sender is None:
            self.count["unlisted"] += 1
            self._log_bad_datagram("unlisted sender", hop)
            return
        try:
            datagram = wire.decode(data)
        except wire.WireError as error:
            self.count["unreadable"] += 1
            self._log_bad_datagram(str(error), hop)
            return
        self.count["heard"] += 1
        self._send(self.exchange.receive(now_us(), datagram, sender))

    def _log_bad_datagram(self, reason, hop):
        now = time.monotonic()
        if now - self.last_complaint_at < BAD_DATAGRAM_LOG_PERIOD_S:
            self.left_out += 1
            return
        self.log_event("warning", "bad datagram", peer=f"{hop.host}:{hop.port}", reason=reason, left_out=self.left_out)
        self.last_complaint_at, self.left_out = now, 0

    def _send(self, outgoing):
        for member, datagram in outgoing:
            data = wire.encode(datagram)
            host, port = self.member_addresses[member]
            self.udp.sock_send(host, port, data)
            self.count["sent"] += 1
            self.count["bytes"] += len(data)

    def _arm(self):
        if not self.closed:
            self._schedule_delivery()
            self.alarm.arm()

    def _schedule_delivery(self):
        """Schedules the delivery of pending events to the border in a separate iteration of the event loop, because the
        border may still be processing the action that caused them."""
        if not self.delivery_scheduled and self.exchange.has_events():
            self.delivery_scheduled = True
            self.loop.call_soon(self._deliver_events)

    def _deliver_events(self):
        self.delivery_scheduled = False
        if not self.closed:
            self.border.deliver_events(now_us(), self.exchange.take_events())
            self.arm_border()
            self._arm()

    def _timer_due(self, late_us):
        """Lets the exchange judge what is overdue. If late, first reads what other proxies have sent meanwhile."""
        if late_us > LATE_TIMER_US:
            self.udp.read(LATE_READ_DATAGRAMS)
        now = now_us()
        if self.exchange.next_at() <= now:
            self._send(self.exchange.tick(now))
        self._log_state()
        self._arm()

    def _log_state(self):
        members, second = self.members, int(time.monotonic())
        for _, member, what, why in members.changes:
            at, logged = self.changes_logged
            self.changes_logged = (second, logged + 1) if at == second else (second, 1)
            if self.changes_logged[1] <= MAX_CHANGES_PER_S:
                self.log_event("info", "member", member=members.names[member], now=what, why=why)
        members.changes.clear()
        if time.monotonic() >= self.view_at:
            self.view_at += VIEW_PERIOD_S
            self.view()

    def view(self):
        """Logs this proxy's view of the membership (members alive, and the others by state), and the state of retry
        leases and failure reports."""
        members, names_by_state = self.members, {}
        for member, state in enumerate(members.state):
            names_by_state.setdefault(STATES[state], []).append(members.names[member])
        self.log_event(
            "info",
            "members",
            second=int(time.time()),
            alive=names_by_state.pop("alive", []),
            others=names_by_state,
            slow=members.slowness,
            counts={**self.count, **members.count},
        )
        names = self.server_names
        if self.exchange.rights:
            held, counts = self.exchange.rights.view()
            held = {names[s]: n for s, n in held.items()}
            self.log_event("info", "rights", second=int(time.time()), held=held, counts=counts)
        if self.exchange.words:
            shut, counts = self.exchange.words.view()
            self.log_event("info", "words", second=int(time.time()), shut=[names[s] for s in shut], counts=counts)

    def close(self):
        self._send(self.exchange.leave(now_us()))
        self.view()
        self.closed = True
        self.alarm.stop()
        self.udp.close()
