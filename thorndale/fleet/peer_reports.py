"""Peer failure reports: what proxies report to each other about servers that lose set-ups. Weaker evidence than a
proxy's own observations.

A proxy that has lost a set-up at a server reports it to three others, which report it to three each. So all proxies
learn of a dead server after a few losses in the whole fleet; without reports each proxy loses two set-ups of its own.
Reports add log odds to the decision module's own failure test (`interface.PeerFailureReport`), within these limits:
- each reporter counts once per server, by at most MAX_WEIGHT, halved every HALF_LIFE_US, so that it takes three
  reporters to avoid a server;
- a report counts only while it is newer than the last answer to this proxy, and than the last answer that any peer
  reports: one success clears all losses before it. So a proxy that is cut off alone cannot make others avoid a server;
- a reporter that an answer contradicts within CONTRADICTION_US counts half from then on, and recovers within minutes;
- a proxy that loses set-ups at most of the servers it has used assumes that the failure is its own and reports nothing;
- a server avoided on account of reports is still tried: by one proxy of the fleet, at random, every TRIAL_INTERVAL_US
  on average;
- a new process of a server voids all reports on the previous one (`process_start_s`);
- the module never avoids its last server on account of reports.
A faulty reporter that praises a dead server reduces the fleet to each proxy's own observations, and no further.

Usage: `PeerReports(ids, own, servers, seed, now)`; `record_outcome(now, server, answered, lost, since)` for the end of
each set-up, `server_started(server, process_start_s)` for each process of a server, `receive(now, reports)`, and
`tick(now)` once `next_at()` has passed, which returns reports to be sent to peers. `changed_odds` collects (server, log
odds) for the module. Times are integer microseconds.

Reports spread as in Demers et al. 1987. A reporter's weight follows the usual caution about second-hand reputation
(Buchegger and Le Boudec 2004: no second-hand report overrides one's own experience).
"""

from thorndale.fleet.wire import MAX_REPORTS, FailureReport
from thorndale.policy import FAILED_LOG_ODDS

MAX_WEIGHT, MIN_WEIGHT = 1.5, 0.1  # limits of one reporter's log odds: three reporters are needed, and suffice
HALF_LIFE_US = 10_000_000  # in which a report's weight halves: the window of the retry budget
EXPIRY_US = 60_000_000  # after which a report is dropped, and in which a reporter's weight doubles again
SATURATION_ODDS = 8.0  # log odds from which on reports are not forwarded: all receivers avoid the server already
REPORT_INTERVAL_US = 1_000_000  # between two reports of one proxy on one server
TICK_US = 100_000  # groups reports of one moment in one datagram
TRIAL_INTERVAL_US = 2_000_000  # mean time between two trials by the whole fleet at an avoided server
TRIAL_DURATION_US = 10_000_000  # for the proxy drawn for a trial: it may have few calls
CONTRADICTION_US = 3_000_000  # from a report to an answer that contradicts it; later, both may be right
OWN_WINDOW_US = 10_000_000  # in which a proxy judges whether the failure may be its own
START_TOLERANCE_S = 2  # by which two proxies may differ on the start of one process of a server
NEVER_US = 1 << 62
ODDS_STEP = 0.25  # smallest change of log odds that is reported to the module


class ServerReports:
    """Reports on one server: `losses` (latest by reporter), the newest answers to peers and to this proxy, this proxy's
    last loss and last report, and the log odds that the module has."""

    __slots__ = (
        "process_start_s",
        "losses",
        "peer_answer_at",
        "own_answer_at",
        "own_loss_at",
        "last_report_at",
        "module_odds",
        "trial_until",
    )

    def __init__(self):
        self.process_start_s, self.module_odds = 0, 0.0
        self.clear()

    def clear(self):
        self.losses, self.trial_until = {}, 0
        self.peer_answer_at = self.own_answer_at = self.own_loss_at = self.last_report_at = -EXPIRY_US


class PeerReports:
    def __init__(self, ids, own, servers, seed, now):
        self.ids, self.own, self.index = ids, ids[own], {wire: n for n, wire in enumerate(servers)}
        self.servers, self.random_state = servers, seed & (1 << 64) - 1
        self.states = [ServerReports() for _ in servers]
        self.reporter_weights = {}  # reporter: (weight, as of)
        self.outgoing, self.changed_odds = [], []  # reports to be sent to peers; (server, log odds) for the module
        self.active = set()  # servers with reports
        self.tick_at = NEVER_US
        self.present_members = 1  # members considered present, this one included
        self.count = dict.fromkeys(("told", "passed", "heard", "void", "contradicted", "trials", "doubted"), 0)

    def _random(self):
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.random_state >> 40) / (1 << 24)

    # ---- this proxy's observations ----

    def server_started(self, server, process_start_s):
        """A process of the server that started at wall second `process_start_s`, 0 for long ago."""
        state = self.states[server]
        if state.process_start_s != process_start_s:
            state.process_start_s = process_start_s
            state.clear()
            self._update_odds(server, 0.0)

    def record_outcome(self, now, server, answered, lost, since):
        """A set-up sent at `since` was answered, or counts as lost in the module's judgement."""
        state = self.states[server]
        if answered:
            state.own_answer_at, state.trial_until = max(state.own_answer_at, since), 0
            state.module_odds = 0.0  # the module has reset it too
            if state.losses:
                self._record_answer(now, server, since, self.own)
        elif lost:
            state.own_loss_at, state.trial_until = since, 0
            if self._may_be_at_fault(now):
                self.count["doubted"] += 1
            elif now - state.last_report_at >= REPORT_INTERVAL_US and self._odds(now, state) < SATURATION_ODDS:
                state.last_report_at = now
                self.count["told"] += 1
                self._queue_report(now, server, self.own, since, False)

    def _may_be_at_fault(self, now):
        """Whether the failure may be this proxy's own: it loses set-ups at most of the servers that it used."""
        losing = sum(k.own_loss_at > max(now - OWN_WINDOW_US, k.own_answer_at) for k in self.states)
        answering = sum(k.own_answer_at > max(now - OWN_WINDOW_US, k.own_loss_at) for k in self.states)
        return losing > 1 and losing > answering

    def _schedule_tick(self, now):
        self.tick_at = min(self.tick_at, now + TICK_US)

    def _queue_report(self, now, server, reporter, at, answered):
        age_ms = min((1 << 20) - 1, max(0, now - at) // 1000)
        report = FailureReport(self.servers[server], reporter, self.states[server].process_start_s, age_ms, answered)
        if len(self.outgoing) < MAX_REPORTS:  # further losses are reported by other proxies too
            self.outgoing.append(report)
        self._schedule_tick(now)

    # ---- peers' reports ----

    def receive(self, now, reports):
        for report in reports:
            server = self.index.get(report.server)
            if server is None or report.reporter == self.own or report.reporter not in self.ids:
                continue
            state = self.states[server]
            if abs(report.process_start_s - state.process_start_s) > START_TOLERANCE_S:
                self.count["void"] += 1
                continue
            self.count["heard"] += 1
            at = now - report.age_ms * 1000
            if report.answered:
                if at > state.peer_answer_at and state.losses:
                    self._record_answer(now, server, at, report.reporter)
            elif at > state.losses.get(report.reporter, now - EXPIRY_US) + REPORT_INTERVAL_US // 2:
                # Otherwise it is the same report on another path.
                if self._odds(now, state) < SATURATION_ODDS:
                    self.count["passed"] += 1
                    self._queue_report(now, server, report.reporter, at, False)
                state.losses[report.reporter] = at
                self.active.add(server)
                self._schedule_tick(now)

    def _record_answer(self, now, server, at, reporter):
        """An answer clears the losses reported before it, and lowers the weight of reporters it contradicts."""
        state = self.states[server]
        for other, lost_at in list(state.losses.items()):
            if lost_at < at:
                del state.losses[other]
                if at - lost_at < CONTRADICTION_US:
                    self.count["contradicted"] += 1
                    self.reporter_weights[other] = max(MIN_WEIGHT, self._reporter_weight(now, other) / 2), now
        if at > state.peer_answer_at + REPORT_INTERVAL_US:
            self._queue_report(now, server, reporter, at, True)
        state.peer_answer_at = max(state.peer_answer_at, at)
        self.active.add(server)
        self._schedule_tick(now)

    def _reporter_weight(self, now, reporter):
        weight, at = self.reporter_weights.get(reporter, (MAX_WEIGHT, now))
        return min(MAX_WEIGHT, weight * 2 ** ((now - at) / EXPIRY_US))

    def _odds(self, now, state):
        since = max(state.own_answer_at, state.peer_answer_at)
        return sum(
            self._reporter_weight(now, reporter) * 0.5 ** ((now - at) / HALF_LIFE_US)
            for reporter, at in state.losses.items()
            if at > since
        )

    # ---- timers ----

    def next_at(self):
        return self.tick_at

    def tick(self, now):
        """Updates the odds, and returns the reports to be sent to peers now."""
        for server in sorted(self.active):
            state = self.states[server]
            state.losses = {reporter: at for reporter, at in state.losses.items() if at > now - EXPIRY_US}
            odds = self._odds(now, state)
            trial_probability = TICK_US / TRIAL_INTERVAL_US / max(1, self.present_members)
            if odds >= FAILED_LOG_ODDS and state.trial_until <= now and self._random() < trial_probability:
                state.trial_until = now + TRIAL_DURATION_US
                self.count["trials"] += 1
            self._update_odds(server, 0.0 if state.trial_until > now else odds)
            if not state.losses and not state.module_odds:
                self.active.discard(server)
        self.tick_at = now + TICK_US if self.active else NEVER_US
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def _update_odds(self, server, odds):
        state = self.states[server]
        crossed = (odds >= FAILED_LOG_ODDS) != (state.module_odds >= FAILED_LOG_ODDS) or (odds == 0) != (
            state.module_odds == 0
        )
        if crossed or abs(odds - state.module_odds) >= ODDS_STEP:
            state.module_odds = odds
            self.changed_odds.append((server, odds))

    def view(self):
        """For the log: indices of servers avoided here on account of peer reports, and the counts."""
        return [n for n, state in enumerate(self.states) if state.module_odds >= FAILED_LOG_ODDS], dict(self.count)
