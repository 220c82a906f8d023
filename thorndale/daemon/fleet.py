"""The sockets and the clock round what proxies tell each other: one datagram socket, one timer, log lines at a bounded
rate. The border tells what this proxy does, and is told what others say."""

import time

from thorndale import interface as io
from thorndale.config.load import listener
from thorndale.fleet import wire
from thorndale.fleet.members import STATES
from thorndale.fleet.share import Share
from thorndale.net.clock import now_us
from thorndale.net.udp import Udp

VIEW_S = 10  # seconds between two log lines on who is there
SAY_S = 1.0  # seconds between two log lines on bad datagrams
CHANGES_S = 20  # changes of members that are logged in a second; the rest is counted


class Talk:
    """`close()` says goodbye. Raises OSError, `filename` the listener's name, where the socket cannot be opened."""

    def __init__(self, loop, settings, seed, say, border, arm=lambda: None):
        """`arm()` lets the border's timers be set anew after it was told something."""
        fleet = settings.fleet
        names = [m.name for m in fleet.members]
        self.loop, self.say, self.closed = loop, say, False
        self.places = [listener(m.at)[1:] for m in fleet.members]
        self.by_place = {place: n for n, place in enumerate(self.places)}
        self.count = {"sent": 0, "heard": 0, "bytes": 0, "unlisted": 0, "unreadable": 0}
        self.said_at, self.left_out, self.spoken = 0.0, 0, (0, 0)
        self.timer, self.view_at = None, time.monotonic() + VIEW_S
        _, host, port = listener(fleet.listen)
        try:
            self.udp = Udp(loop, host, port, self._data, lambda hop: None, self._arm)
        except OSError as fault:
            fault.filename = fleet.listen
            raise
        self.border, self.arm_border, self.server_names = border, arm, [s.name for s in settings.servers]
        self.share = Share(
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
            self.share.members,
            getattr(border.module_host.module, "module", border.module_host.module),
        )
        self.telling = False
        border.fleet = self
        self._arm()

    # ---- what the border does ----

    def before(self, events):
        for event in events:
            if type(event) is io.Servers:
                for entry in event.entries:
                    at = entry.started_us + self.border.wall_offset_us if entry.started_us else 0
                    self.share.began(entry.server, max(0, at) // 1_000_000)
        return self.share.before(events, self.module)

    def met(self, now, before):
        self.share.met(now, before, self.module)
        self._arm()

    def seized(self, now, action):
        self.share.seized(now, action.server, action.first)

    def ask(self, now, action):
        self._send(self.share.ask(now, action.call, action.server, action.resume_us))
        self._arm()

    # ---- what others say ----

    def _data(self, data, hop):
        sender = self.by_place.get((hop.host, hop.port))
        if sender is None:
            self.count["unlisted"] += 1
            self._complain("unlisted sender", hop)
            return
        try:
            gram = wire.decode(data)
        except wire.WireError as fault:
            self.count["unreadable"] += 1
            self._complain(str(fault), hop)
            return
        self.count["heard"] += 1
        self._send(self.share.heard(now_us(), gram, sender))

    def _complain(self, reason, hop):
        now = time.monotonic()
        if now - self.said_at < SAY_S:
            self.left_out += 1
            return
        self.say("warning", "bad datagram", peer=f"{hop.host}:{hop.port}", reason=reason, left_out=self.left_out)
        self.said_at, self.left_out = now, 0

    def _send(self, out):
        for member, gram in out:
            data = wire.encode(gram)
            host, port = self.places[member]
            self.udp.sock_send(host, port, data)
            self.count["sent"] += 1
            self.count["bytes"] += len(data)

    def _arm(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.closed:
            return
        self._tell()
        wait = max(0, self.share.next_at() - now_us()) / 1e6
        self.timer = self.loop.call_later(wait, self._due)

    def _tell(self):
        """Hands the border what the module is to be told, from a turn of the loop of its own: the border may be in the
        midst of what brought it about."""
        if not self.telling and self.share.waiting():
            self.telling = True
            self.loop.call_soon(self._told)

    def _told(self):
        self.telling = False
        if not self.closed:
            self.border.deliver_events(now_us(), self.share.events())
            self.arm_border()
            self._arm()

    def _due(self):
        self.timer = None
        now = now_us()
        if self.share.next_at() <= now:
            self._send(self.share.tick(now))
        self._log()
        self._arm()

    def _log(self):
        members, second = self.members, int(time.monotonic())
        for _, member, what, why in members.changes:
            at, said = self.spoken
            self.spoken = (second, said + 1) if at == second else (second, 1)
            if self.spoken[1] <= CHANGES_S:
                self.say("info", "member", member=members.names[member], now=what, why=why)
        members.changes.clear()
        if time.monotonic() >= self.view_at:
            self.view_at += VIEW_S
            self.view()

    def view(self):
        """The log line on who is there as this proxy sees it: those alive, and the others by state."""
        members, by = self.members, {}
        for member, state in enumerate(members.state):
            by.setdefault(STATES[state], []).append(members.names[member])
        self.say(
            "info",
            "members",
            second=int(time.time()),
            alive=by.pop("alive", []),
            others=by,
            slow=members.slow,
            counts={**self.count, **members.count},
        )
        named = self.server_names
        if self.share.rights:
            held, counts = self.share.rights.view()
            held = {named[s]: n for s, n in held.items()}
            self.say("info", "rights", second=int(time.time()), held=held, counts=counts)
        if self.share.words:
            shut, counts = self.share.words.view()
            self.say("info", "words", second=int(time.time()), shut=[named[s] for s in shut], counts=counts)

    def close(self):
        self._send(self.share.leave(now_us()))
        self.view()
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.udp.close()
