"""The fleet protocol of one proxy under one clock: membership, retry leases and peer failure reports.

Usage: `FleetExchange(names, own, servers, seed, now, boot_id, incarnation, rights, words)`; `servers` are names in the
order of the module's indices; `rights` and `words` are the settings that enable retry leases and failure reports. Call
`receive(now, datagram, sender)` for each datagram of a listed member, and `tick(now)` once `next_at()` has passed. The
proxy reports its own actions with `record_seizure`, `request_lease`, `record_outcomes` and `server_started`. `receive`,
`tick`, `request_lease` and `leave` return [(member, Datagram)] to be sent. `take_events()` returns and clears the
events for the module. No I/O; time and seed are passed in.
"""

from thorndale import interface as io
from thorndale.fleet import wire
from thorndale.fleet.members import ALIVE, Members
from thorndale.fleet.peer_reports import PeerReports
from thorndale.fleet.retry_leases import RetryLeases

# Members that a report is sent to at once. Four would reach the last few sooner, and send all others twice more.
FANOUT = 3
ANSWER_OUTCOMES = (io.BUSY, io.FULL, io.EMPTY)  # outcomes of a set-up that show a working server


class FleetExchange:
    def __init__(self, names, own, servers, seed, now, boot_id, incarnation, rights=True, words=True):
        self.members = Members(names, own, seed, now, boot_id, incarnation)
        ids, server_ids = self.members.ids, [wire.member_id(name) for name in servers]
        self.own = own
        # None where the setting of the same name disables them.
        self.rights = (
            RetryLeases(ids, own, server_ids, seed >> 7, now, boot_id, self._not_known_gone) if rights else None
        )
        self.words = PeerReports(ids, own, server_ids, seed >> 13, now) if words else None
        self.name_conflicts = 0

    def is_present(self, member):
        return self.members.state[member] in (ALIVE, wire.SUSPECT)

    def _not_known_gone(self, member):
        """Members not heard from yet may be coordinators too: a silent one is skipped anyway, whereas waiting for each
        to join would have every proxy use a different coordinator while a fleet starts."""
        return self.members.state[member] not in (wire.DEAD, wire.LEFT)

    # ---- this proxy's actions ----

    def record_seizure(self, now, server, first):
        if first and self.rights:
            self.rights.add_first_setup(now, server)

    def request_lease(self, now, call, server, resume):
        if self.rights is None:
            return []
        self.rights.request_lease(now, call, server, resume)
        return self._lease_datagrams(now)

    def odds_before(self, events, module):
        """The module's failure log odds of the events' servers before it receives the events, for `record_outcomes`."""
        if self.words is None:
            return []
        return [
            (e, module.failure_log_odds[e.server])
            for e in events
            if type(e) in (io.Answered, io.SeizureEnded) and e.server < len(module.failure_log_odds)
        ]

    def record_outcomes(self, now, odds_before, module):
        """Called after the module received those events. A set-up that raised the server's odds is a loss; any other
        may be an answer."""
        for event, score in odds_before:
            # A faulty outcome is an answer, and as often caused by the caller.
            if type(event) is io.SeizureEnded and event.outcome == io.FAULTY:
                continue
            answered = type(event) is io.Answered or event.outcome in ANSWER_OUTCOMES
            lost = module.failure_log_odds[event.server] > score
            self.words.record_outcome(now, event.server, answered and not lost, lost, now - event.latency_us)

    def server_started(self, server, process_start_s):
        if self.words:
            self.words.server_started(server, process_start_s)

    def has_events(self):
        return bool(self.rights and self.rights.decisions or self.words and self.words.changed_odds)

    def take_events(self):
        events = []
        if self.rights and self.rights.decisions:
            events += [io.RetryLease(call, until) for call, until in self.rights.decisions]
            self.rights.decisions = []
        if self.words and self.words.changed_odds:
            events += [io.PeerFailureReport(server, odds) for server, odds in self.words.changed_odds]
            self.words.changed_odds = []
        return events

    # ---- receiving and timers ----

    def receive(self, now, datagram, sender):
        outgoing = self.members.receive(now, datagram, sender)
        if datagram.sender != self.members.ids[sender] or datagram.boot_id != self.members.boot_id[sender]:
            return outgoing  # not from its claimed sender, or from a previous process of that name
        if datagram.reports and self.words:
            self.words.receive(now, datagram.reports)
        if datagram.kind in (wire.EARNED_UNITS, wire.CLOCK_STAMP, wire.LEASE_REQUEST, wire.LEASE_REPLY) and self.rights:
            self.rights.receive(now, datagram, sender)
        return outgoing + self._lease_datagrams(now)

    def next_at(self):
        return min(
            component.next_at() for component in (self.members, self.rights, self.words) if component is not None
        )

    def tick(self, now):
        outgoing = self.members.tick(now) if self.members.next_at() <= now else []
        if self.members.count["twice"] != self.name_conflicts:
            self.name_conflicts = self.members.count["twice"]
            if self.rights:
                self.rights.name_conflict(now)
        if self.rights and self.rights.next_at() <= now:
            self.rights.tick(now)
        if self.words and self.words.next_at() <= now:
            self.words.present_members = sum(map(self.is_present, range(len(self.members.names))))
            reports = self.words.tick(now)
            if reports:
                outgoing += [
                    (m, self._make_datagram(wire.FAILURE_REPORTS, 0, 0, reports=reports)) for m in self._random_peers()
                ]
        return outgoing + self._lease_datagrams(now)

    def leave(self, now):
        return self.members.leave(now)

    def _random_peers(self):
        others = [m for m in range(len(self.members.names)) if m != self.own and self.is_present(m)]
        return [others.pop(int(self.words._random() * len(others))) for _ in range(min(FANOUT, len(others)))]

    def _lease_datagrams(self, now):
        if self.rights is None or not self.rights.outbox:
            return []
        outgoing, self.rights.outbox = self.rights.outbox, []
        return [(m, self._make_datagram(kind, number, about, rows=rows)) for m, kind, about, number, rows in outgoing]

    def _make_datagram(self, kind, number, about, rows=(), reports=()):
        members, own = self.members, self.own
        return wire.Datagram(
            wire.VERSION,
            kind,
            members.ids[own],
            members.boot_id[own],
            members.incarnation[own],
            number,
            about,
            rows=list(rows),
            reports=list(reports),
        )
