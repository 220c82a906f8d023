"""The decision module of one proxy: which server is seized for each call, when a retry waits, and when a call is
given back to its caller.

Usage: Proxy(seed, settings), then handle(now_us, events) for each batch; it returns the actions in the order in which
they are to be carried out. Events and actions are the types of thorndale/interface.py. The settings are one plain map,
whose names `module_settings` of the hosting package lists. Two Proxy objects share no state.

Structure: events update the state; _plan sets the wanted state of each call that an event or a timer concerns; _emit
alone compares the wanted state with the present one and returns the difference as actions. The reasons for each part:
docs/design.md.
"""

from collections import deque
from heapq import heapify, heappop, heappush
from math import exp, log, sqrt

from thorndale import interface as io

# Names that end in _US are microseconds. "Setup target" is the shortest setup target of any call type.

# The design fixes the values from here to SKIP_US.
SLOTS = 10  # slots of the sliding window
SLOT_US = 1_000_000  # length of a slot; the window is 10 s
RETRY_SHARE = 0.1  # retries per first set-up in the window
RETRY_FLOOR = 3  # retries in the window that are always within the budget
MAX_SEIZURES = 3  # seizures of a call, the first included
BACKOFF_BASE_US = 50_000  # upper bound of the backoff before the first retry, doubled for each earlier retry
BACKOFF_MAX_US = 2_000_000  # upper bound of any backoff
SKIP_US = 1_000_000  # how long a server that was full or timed out is skipped
ANSWER_SPARE_TICKS = 2  # ticks by which the final answer precedes the caller's deadline: one may be under way
DELAY_NOISE_FRACTION = 0.1  # of the setup target: below this a queueing delay is noise, not overload
DELAY_GOAL_FRACTION = 0.2  # of the setup target: the queueing delay aimed for; below it some capacity stays idle
DELAY_SPAN_FRACTION = 0.3  # of the setup target: excess at which no call is admitted; narrower, load oscillates
DELAY_DECAY_RATE = 0.2  # us by which a reported delay shrinks per us: an idle processor sheds 1, but others still send
FRACTION_GAIN_PER_S = 0.5  # gain of the admitted fraction per second; faster, it outruns the delays that it reacts to
# Setup targets for which redials are refused after a first attempt was: a few redial intervals.
REDIAL_REFUSAL_TARGETS = 5.0
REPORT_AGE_US = 500_000  # age of a load report on arrival: half its period and its transit time
CALL_MEAN_WEIGHT = 0.02  # weight of a call in the mean revenue and length: some 50 calls, a few seconds of one proxy
FAILED_LOSS_PROBABILITY, SOUND_LOSS_PROBABILITY = 0.9, 0.02  # chance of a lost seizure; far apart
FAILED_LOG_ODDS = 4.0  # log odds from which a server counts as failed: reached by two losses with no answer between
LOG_ODDS_MAX = 8.0  # upper bound of the log odds, so that some dozen answers clear any server
TIMER_GAP_MAX_US = 200_000  # longest gap between timers while a call is pending, so that a stall of the proxy shows
TIMER_PURGE_THRESHOLD = 4096  # timers of ended calls below which removing them would cost more than it saves
TIMERS_PER_CALL = 2  # of a pending call: its deadline and its retry
REMEMBERED_KEYS_MAX = 20_000  # keys of calls that were given back; the oldest is forgotten for one more
STALL_US = 100_000  # delay of a timer from which the proxy itself counts as stalled: many ticks
TRIAL_GAP_TARGETS = 1.25  # setup targets from an unanswered set-up to the first trial, fourfold after each vain one
TRIAL_GROWTH_STEPS = 3  # unanswered sends after which the gap no longer grows: 20 setup targets, more than most stalls
COLD_CREDIT_FALL_FRACTION = 0.5  # of the fall time: life of unused credit at a cold server; longer, it accumulates
UNSEEN_DEMAND_GROWTH = 1.5  # growth of demand assumed at a pool without a free line: rejected calls are not counted
SPARE_LINES_DEVIATIONS = 2  # lines kept free, in roots of the calls that end between reports: absorbs random variation
FRACTION_MIN = 0.005  # least admitted fraction that is reckoned with: below it arrivals are random
INFLOW_MEAN_WEIGHT = 0.1  # weight of a report in a server's mean inflow: some ten reports, the window of the design
LOSS_MEAN_WEIGHT = 0.15  # weight of a seizure in the fraction of lost ones: some seven seizures
ERROR_MEAN_WEIGHT = 0.05  # weight of a seizure in the fraction answered with an error: some 20, slower than the test
LOSSY_FRACTION = 0.1  # lost fraction from which one unanswered set-up is no evidence of a queue
QUOTA_BURST_US = 1_000_000  # span of a proxy's part of a client quota that may arrive at once
CALLER_ERROR_FRACTION = 0.3  # errors at a sound server: callers may send this fraction of calls no server can complete
LOST_OUTCOMES = (io.RESET, io.UNREACHABLE)  # a sound server seldom gives these
NEVER_RAN_OUTCOMES = (io.FULL, io.EMPTY, io.UNREACHABLE, io.NOT_SENT)  # prove that the server did not run the call
REFUSAL_OUTCOMES = (io.FULL, io.EMPTY, io.FAULTY, io.BUSY)  # a server answers with these
JOINT_CUT_US = 100_000  # span in which a second cut call at a server is evidence of more than coincidence
TURN_CREDIT_MAX = 1.0  # calls that a server may be owed or ahead by; more would send it a herd when it returns
BUSY_WAIT_US = 1_000  # reported wait over the least one from which a processor counts as busy
LEAST_WAIT_FOLLOW = 0.01  # rate at which the least reported wait follows, for a server whose reports begin to rise
WEIGHT_LEARNING_US = 100_000_000  # time in which samples move a weight by its whole; faster, noise passes for size
SAMPLE_WEIGHT_MAX = 0.2  # most that one sample counts for, however old the last one: some five samples
OVERLOAD_SAMPLE_MAX = 4.0  # samples that one may count for, by the square of its wait over the delay goal
WEIGHT_MAX = 4.0  # bound of a weight, and of its inverse: anything beyond is taken for an error

# States of PendingCall.lease_until where it holds no time: a lease is to be requested, or has been.
LEASE_WANTED, LEASE_REQUESTED = -1, -2
WEIGHT_FADE_US = 600_000_000  # time in which a learned weight fades toward 1, unless it is learned anew

# State kept per server: lists under the server's index, with their initial values.
SERVER_DEFAULTS = dict(
    state=io.SERVING,
    pool=-1,
    zone=-1,
    started=0,
    free_lines=None,  # free lines as last reported
    reported_rate=0.0,  # set-ups a second that the server reports it can take
    skip_until=0,
    empty_until=0,
    window_slot=0,  # number of the window's newest slot
    queue_delay=0,  # us of queueing delay last observed
    queue_delay_at=0,  # when the set-up that met it was sent
    last_report=None,  # last report with a wait
    last_latency=0,  # us that the last answer took
    least_latency=1 << 60,  # us that the fastest answer took
    unanswered=0,  # seizures sent since the last answer
    last_sent_at=0,
    failure_log_odds=0.0,  # log odds that it has failed, by this proxy's own outcomes
    peer_log_odds=0.0,  # the same, as other proxies report it
    loss_fraction=0.0,  # fraction of set-ups that were lost while others were answered
    error_fraction=CALLER_ERROR_FRACTION,  # answered with an error; never below what callers may cause
    last_cut_at=-SLOT_US,  # when an answered call was last cut with no other
    cold_credit=0.0,  # set-ups that may go while the server is cold
    cold_credit_at=0,
    lines_in_use=0,  # as last reported
    lines_in_use_at=0,
    line_demand=0.0,  # set-ups a us that all proxies together want
    line_fraction=1.0,  # fraction of the set-ups that the lines allow
    processor_fraction=1.0,  # fraction of the set-ups that the processor has been found to take
    processor_fraction_at=0,
    turn_credit=None,  # round-robin credit: calls owed to it within its pool
    weight=1.0,  # its weight among the pool's servers; 1 is an equal one
    least_reported_wait=None,  # us
    weight_at=0,  # when the weight was last updated
)


class PendingCall:
    """A call to which this proxy still owes a final answer, or which is established over it."""

    __slots__ = (
        "call",
        "call_type",
        "client",
        "pool",
        "key",
        "redial",
        "full_revenue",
        "revenue",
        "arrived_at",
        "deadline",
        "attempts",
        "seizure",
        "server",
        "failed_server",
        "no_capacity",
        "retry_at",
        "release_until",
        "lease_until",
        "answered",
        "forwarded",
        "want",
        "target_server",
        "reason",
        "sent_at",
        "run_server",
        "run_sent_at",
    )

    def __init__(self, event, now):
        self.call, self.call_type, self.client, self.pool = event.call, event.call_type, event.client, event.pool
        self.key, self.redial = event.key, event.redial or event.reattempt
        self.full_revenue = not event.redial
        self.arrived_at, self.deadline = now, now + event.answer_within_us
        # seizure: number of the one in flight, -1 if there is none
        self.attempts, self.seizure, self.server, self.failed_server = 0, -1, -1, -1
        # lease_until: until when a retry may go, or LEASE_WANTED, LEASE_REQUESTED
        self.retry_at = self.release_until = self.lease_until = 0
        # no_capacity: the call would be given back because servers are full, not because they failed
        self.revenue, self.answered, self.no_capacity = 0.0, False, True
        self.forwarded = False  # the server of the seizure in flight has carried the call on
        self.want, self.target_server, self.reason = "new", 0, io.Reason.UNSPECIFIED
        # Of the latest attempt; of the first one that may have run: its server, -1 if there is none, and when it went.
        self.sent_at = 0
        self.run_server, self.run_sent_at = event.earlier or (-1, 0)

    def reject(self, reason):
        self.want, self.reason = "reject", reason

    def fail(self, reason):
        self.want, self.reason = "fail", reason


class Proxy:
    def __init__(self, seed, settings):
        self.settings, self.now, self.random_state = settings, 0, seed & (1 << 64) - 1
        self.calls, self.changed, self.log_lines = {}, [], []
        self.recent_keys, self.key_expiry = {}, deque()  # key: first arrival; (expiry, key)
        self.timers, self.timer_at, self.timer_serial = [], 0, 0
        self.stalled = False  # this proxy stalled, so the times in this batch contain its own delay
        for name in SERVER_DEFAULTS:
            setattr(self, name, [])
        # Per server: set-ups and retries per slot; in_flight: {call: when sent}, oldest first.
        self.first_setups, self.retries, self.in_flight = [], [], []
        self.by_pool, self.pool_inflow = {}, {}  # servers; set-ups a second from all proxies while warm
        self.busy_fraction, self.quota_credit_at = {}, 0  # by pool: fraction of samples that found a busy server
        self.mean_hold_us = max(settings["type_hold_us"], default=SLOTS * SLOT_US)  # mean length of a call
        self.mean_revenue, self.redials_refused_until = 0.0, 0
        self.quota_credit, self.list_request_due = [1.0] * len(settings["client_quota"]), settings["list_asked"]
        targets = settings["type_target_us"] + ([settings["resend_us"]] if settings["resend_us"] else [])
        self.setup_target_us = min(targets, default=SLOT_US)  # the unit of all waiting times
        self.first_trial_gap_us = int(TRIAL_GAP_TARGETS * self.setup_target_us)
        self.handlers = {
            io.Servers: self._on_servers,
            io.Call: self._on_call,
            io.Answered: self._on_answered,
            io.CallerAbandoned: self._on_caller_abandoned,
            io.SeizureEnded: self._on_seizure_ended,
            io.ServerReport: self._on_server_report,
            io.ListFailed: self._on_list_failed,
            io.RetryLease: self._on_retry_lease,
            io.PeerFailureReport: self._on_peer_failure_report,
            io.Forwarded: self._on_forwarded,
        }

    def handle(self, now, events):
        self.now = now
        self.stalled = 0 < self.timer_at < now - STALL_US
        self._forget_keys()
        for event in events:
            handler = self.handlers.get(type(event))
            if handler:
                handler(event)
        while self.timers and self.timers[0][0] <= now:
            self.changed.append(heappop(self.timers)[2])
        for pending in self.changed:
            if self.calls.get(pending.call) is pending:
                self._plan(pending)
        return self._emit()

    # ---- state, updated by events ----

    def _random(self):
        """A linear congruential generator; returns its high bits as a fraction from 0 to 1."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.random_state >> 40) / (1 << 24)

    def _add_server(self, server):
        while len(self.state) <= server:
            for name, first in SERVER_DEFAULTS.items():
                getattr(self, name).append(first)
            self.first_setups.append([0] * SLOTS)
            self.retries.append([0] * SLOTS)
            self.in_flight.append({})

    def _on_servers(self, event):
        listed = set()
        for entry in event.entries:
            server = entry.server
            self._add_server(server)
            listed.add(server)
            if entry.started_us != self.started[server] and entry.state == io.SERVING:
                # A new process: what was learned about the old one is void, and it may be cold.
                self.started[server], self.failure_log_odds[server] = entry.started_us, 0.0
                self.cold_credit[server], self.cold_credit_at[server], self.lines_in_use[server] = 0.0, self.now, 0
                (
                    self.queue_delay[server],
                    self.reported_rate[server],
                    self.unanswered[server],
                    self.in_flight[server],
                ) = 0, 0.0, 0, {}
                self.weight[server], self.least_reported_wait[server], self.peer_log_odds[server] = 1.0, None, 0.0
            self._set_state(server, entry.state)
            self.pool[server], self.zone[server] = entry.pool, entry.zone
        if event.whole:
            for server in range(len(self.state)):
                if server not in listed:
                    self._set_state(server, io.GONE)
        self.by_pool = {}
        for server, state in enumerate(self.state):
            if state == io.SERVING and self.pool[server] >= 0:
                self.by_pool.setdefault(self.pool[server], []).append(server)
        for servers in self.by_pool.values():
            for server in servers if len(servers) > 1 else ():
                if self.turn_credit[server] is None:  # random, or all proxies would begin with the same server
                    self.turn_credit[server] = self._random() - 0.5

    def _set_state(self, server, state):
        if self.state[server] != state:
            self.state[server] = state
            self.log_lines.append(f"server {server}: {('serving', 'draining', 'gone')[state]} by the list")

    def _on_list_failed(self, event):
        self.list_request_due = True

    def _on_server_report(self, event):
        self._add_server(event.server)
        self._apply_report(event.server, event.report)
        if not event.requested:
            self._update_inflow(event.server, event.report)

    def _update_inflow(self, server, report):
        """Estimates the set-ups that a server takes from all proxies: the growth of its lines in use plus the calls of
        mean length that end meanwhile. This proxy's own few set-ups are too small a sample."""
        if report.free is None or report.lines is None or not 0 <= report.free <= report.lines:
            return
        in_use, elapsed_us = report.lines - report.free, self.now - self.lines_in_use_at[server]
        if self.lines_in_use[server] and elapsed_us > 0:
            inflow = max(
                0.0, (in_use - self.lines_in_use[server]) / elapsed_us + self.lines_in_use[server] / self.mean_hold_us
            )
            if not self._is_cold(server) and self.state[server] == io.SERVING:
                mean = self.pool_inflow.setdefault(self.pool[server], inflow * 1e6)
                self.pool_inflow[self.pool[server]] = mean + (inflow * 1e6 - mean) * INFLOW_MEAN_WEIGHT
            self._update_line_fraction(
                server,
                inflow,
                self.lines_in_use[server] < report.lines,
                report.free,
                in_use / self.mean_hold_us,
                elapsed_us,
            )
        self.lines_in_use[server], self.lines_in_use_at[server] = in_use, self.now

    def _update_line_fraction(self, server, inflow, was_open, free, ending_rate, elapsed_us):
        """Sets the fraction of the calls for a line of this server that may go there until the next report; it is the
        same at all proxies. Prevents all of them from seeking a few reported free lines at once and then leaving
        together. Cost: a few lines stay free to absorb random variation."""
        if was_open:  # while the last report says that no line is free, no proxy sends calls there
            # Calls held back by this proxy's own load control do not count.
            demand = inflow / max(self.line_fraction[server], FRACTION_MIN)
            if free * free < ending_rate * elapsed_us:
                demand = max(demand, self.line_demand[server]) * UNSEEN_DEMAND_GROWTH
            self.line_demand[server] = (self.line_demand[server] + demand) / 2 if self.line_demand[server] else demand
        capacity = max(
            0.0, (free - SPARE_LINES_DEVIATIONS * sqrt(ending_rate * elapsed_us)) / elapsed_us / 2 + ending_rate
        )
        self.line_fraction[server] = min(1.0, capacity / self.line_demand[server]) if self.line_demand[server] else 1.0

    def _apply_report(self, server, report):
        if report.free is not None:
            self.free_lines[server] = report.free
            if report.free > 0:
                self.empty_until[server] = 0
        self.reported_rate[server] = report.rate or self.reported_rate[server]
        # A repeated report may be an old one. An idle server's reports of 0 differ in their other figures.
        if report.wait_us is not None and report != self.last_report[server]:
            self.last_report[server] = report
            self._record_queue_delay(server, report.wait_us, self.now - REPORT_AGE_US)
            self._update_weight(server, report.wait_us)

    def _update_weight(self, server, wait):
        """Learns the weight of a server in its pool: it sinks where samples find the server busy more often than
        others. A processor of any size is found busy as often as it is used, so equal busy fractions mean load in
        proportion to capacity, whoever sent it. Prevents servers of unlike size from being loaded alike. Cost: the
        noise of few samples, which differs from proxy to proxy and so averages out in the sum."""
        servers = self.by_pool.get(self.pool[server], ())
        if len(servers) < 2 or server not in servers or self._is_cold(server):
            return
        least_wait = wait if self.least_reported_wait[server] is None else self.least_reported_wait[server]
        busy = wait > least_wait + BUSY_WAIT_US
        self.least_reported_wait[server] = min(wait, least_wait + (wait - least_wait) * LEAST_WAIT_FOLLOW)
        weight, elapsed_us, self.weight_at[server] = (
            self._current_weight(server),
            self.now - self.weight_at[server],
            self.now,
        )
        step = min(SAMPLE_WEIGHT_MAX, elapsed_us / WEIGHT_LEARNING_US)
        # Distinguishes servers where all are busy.
        busy += min(OVERLOAD_SAMPLE_MAX - 1, (wait / (DELAY_GOAL_FRACTION * self.setup_target_us)) ** 2)
        pool_mean = self.busy_fraction.get(self.pool[server], busy)
        self.busy_fraction[self.pool[server]] = pool_mean + (busy - pool_mean) * step / len(servers)
        self.weight[server] = min(WEIGHT_MAX, max(1 / WEIGHT_MAX, weight * exp(step * (pool_mean - busy))))

    def _current_weight(self, server):
        """The weight of a server, faded toward 1 with the time since it was last learned."""
        return self.weight[server] ** exp((self.weight_at[server] - self.now) / WEIGHT_FADE_US)

    def _record_queue_delay(self, server, delay, sent_at):
        """Records a queueing delay met by a set-up sent at `sent_at`, unless this proxy stalled and the delay may be
        its own."""
        if sent_at > self.queue_delay_at[server] and (not self.stalled or delay <= self._expected_delay(server)):
            self.queue_delay[server], self.queue_delay_at[server] = delay, sent_at

    def _score_outcome(self, server, lost, sound_loss=SOUND_LOSS_PROBABILITY):
        """Sequential test (CUSUM of log odds) on outcomes; `sound_loss` is the chance of a loss at a sound server.
        Detects a server that takes set-ups and loses them, whatever the cause: dead, hung or unreachable. A server
        that loses some and answers others is judged against its own lost fraction, and stays in use."""
        was_failed = self.failure_log_odds[server] >= FAILED_LOG_ODDS
        self.peer_log_odds[server] *= lost  # an own answer outweighs peer reports
        expected_loss = min(FAILED_LOSS_PROBABILITY * 0.9, max(sound_loss, self.loss_fraction[server]))
        step = (
            log(FAILED_LOSS_PROBABILITY / expected_loss)
            if lost
            else log((1 - FAILED_LOSS_PROBABILITY) / (1 - expected_loss))
        )
        self.failure_log_odds[server] = min(LOG_ODDS_MAX, max(0.0, self.failure_log_odds[server] + step))
        if not lost and was_failed:
            self.failure_log_odds[server] = 0.0  # a failed server that answers a trial is back in use
        if (self.failure_log_odds[server] >= FAILED_LOG_ODDS) != was_failed:
            self.log_lines.append(f"server {server}: {'answers again' if was_failed else 'failed, loses seizures'}")

    def _on_call(self, event):
        pending = PendingCall(event, self.now)
        call_type, settings = event.call_type, self.settings
        if len(self.calls) + 1 >= settings["open_max"]:
            pending.reject(io.Reason.TOO_MANY_OPEN)
        revenue = settings["type_revenue"][call_type]
        if event.key in self.recent_keys and not event.reattempt:
            pending.redial, pending.full_revenue, pending.arrived_at = True, False, self.recent_keys[event.key]
        if not pending.full_revenue:
            revenue *= settings["type_late_part"][call_type]
        if self.quota_credit and not self._within_quota(event.client):
            revenue *= settings["over_quota_part"]
        if call_type < len(settings["type_hold_us"]):
            self.mean_hold_us += (settings["type_hold_us"][call_type] - self.mean_hold_us) * CALL_MEAN_WEIGHT
        self.mean_revenue += (revenue - self.mean_revenue) * (CALL_MEAN_WEIGHT if self.mean_revenue else 1.0)
        pending.revenue = revenue
        self.calls[event.call] = pending
        self.changed.append(pending)
        spare_us = ANSWER_SPARE_TICKS * settings["tick_us"]
        pending.deadline = max(self.now, pending.deadline - spare_us)
        self._schedule(pending.deadline, pending)

    def _within_quota(self, client):
        """Whether a call is within this proxy's part of its client's quota: a token bucket of QUOTA_BURST_US."""
        quotas, instances = self.settings["client_quota"], max(1, self.settings["instances"])
        elapsed_us, self.quota_credit_at = self.now - self.quota_credit_at, self.now
        for index, quota in enumerate(quotas):
            rate = quota / instances / 1e6
            self.quota_credit[index] = min(
                max(1.0, rate * QUOTA_BURST_US), self.quota_credit[index] + rate * elapsed_us
            )
        if client >= len(quotas) or self.quota_credit[client] < 1.0:
            return client >= len(quotas)
        self.quota_credit[client] -= 1.0
        return True

    def _on_answered(self, event):
        pending = self.calls.get(event.call)
        current = pending is not None and pending.seizure == event.seizure
        if not (current and pending.forwarded):
            self._record_answer(event)
        if current:
            pending.answered = True

    def _on_forwarded(self, event):
        """The server has carried the call on, so later events concern those beyond it. Prevents their delays and
        refusals from being counted as the next server's own at every hop of a chain."""
        pending = self.calls.get(event.call)
        if pending is not None and pending.seizure == event.seizure and not pending.forwarded:
            pending.forwarded = True
            self._record_answer(event)

    def _record_answer(self, event):
        server = event.server
        sent_at = self.in_flight[server].pop(event.call, None)
        self.least_latency[server] = min(self.least_latency[server], event.latency_us)
        self.last_latency[server] = event.latency_us
        self.loss_fraction[server] -= self.loss_fraction[server] * LOSS_MEAN_WEIGHT
        self.error_fraction[server] = max(CALLER_ERROR_FRACTION, self.error_fraction[server] * (1 - ERROR_MEAN_WEIGHT))
        if sent_at:  # unanswered set-ups sent earlier were lost on the way: no evidence of a queue
            for call in [call for call, earlier in self.in_flight[server].items() if earlier < sent_at]:
                del self.in_flight[server][call]
                self.loss_fraction[server] += (1 - self.loss_fraction[server]) * LOSS_MEAN_WEIGHT
            self._record_queue_delay(server, event.latency_us - self.least_latency[server], sent_at)
        self._score_outcome(server, False)
        self.unanswered[server] = 0

    def _on_seizure_ended(self, event):
        server, pending = event.server, self.calls.get(event.call)
        downstream = event.beyond or pending is not None and pending.seizure == event.seizure and pending.forwarded
        downstream = downstream and event.outcome in REFUSAL_OUTCOMES
        # The server answered; a refusal from beyond it is not its own.
        outcome = io.BUSY if downstream else event.outcome
        sent_at = self.in_flight[server].pop(event.call, None)
        if event.report:
            self._apply_report(server, event.report)
        no_answer = outcome in (io.TIMED_OUT, io.CANCELLED)  # cancelled only when the caller's deadline comes
        single_cut = outcome == io.RESET and sent_at is None and self.now > self.last_cut_at[server] + JOINT_CUT_US
        if single_cut:  # one answered call was cut, no other: prefer other servers that have capacity, nothing more
            self.last_cut_at[server], self.skip_until[server] = self.now, self.now + SKIP_US
        elif (
            no_answer
            and sent_at
            and event.latency_us >= self.setup_target_us
            and not self.stalled
            or outcome in LOST_OUTCOMES
        ):
            # One that others overtook also raises the lost fraction, against which it is judged.
            self._score_outcome(server, True)
        if no_answer and sent_at and self.queue_delay_at[server] > sent_at:
            self.loss_fraction[server] += (1 - self.loss_fraction[server]) * LOSS_MEAN_WEIGHT
        elif (
            no_answer
            and sent_at
            and event.latency_us > self._expected_delay(server)
            and self.loss_fraction[server] < LOSSY_FRACTION
        ):
            self._record_queue_delay(server, event.latency_us, sent_at)
        if outcome in (io.FULL, io.BUSY, io.FAULTY):
            self.unanswered[server] = 0
        if outcome == io.FAULTY:  # the call itself may be the cause, and the server answered
            self._score_outcome(server, True, self.error_fraction[server])
            self.error_fraction[server] += (1 - self.error_fraction[server]) * ERROR_MEAN_WEIGHT
        if outcome == io.FULL:
            self._record_queue_delay(
                server, max(self._expected_delay(server), event.wait_us, 2 * self.setup_target_us), self.now
            )
        if outcome == io.EMPTY:
            self.empty_until[server] = self.now + SKIP_US
        if outcome == io.FULL or outcome == io.TIMED_OUT and sent_at and self.queue_delay_at[server] <= sent_at:
            # Not if a later one was answered: then this one alone was lost.
            self.skip_until[server] = self.now + SKIP_US
        if pending is None or pending.seizure != event.seizure:
            return
        if event.final:
            del self.calls[event.call]
            return
        pending.seizure, pending.answered, pending.forwarded, pending.failed_server = -1, False, False, server
        if event.outcome not in NEVER_RAN_OUTCOMES and pending.run_server < 0:
            pending.run_server, pending.run_sent_at = server, pending.sent_at
        pending.no_capacity = outcome in (io.FULL, io.EMPTY)
        if outcome in (io.TIMED_OUT, io.RESET, io.CANCELLED):
            pending.release_until = self.now + self.settings["release_us"]
        pending.want = "again"
        if outcome in (io.COMPLETED, io.BUSY):
            pending.fail(io.Reason.SERVER_REFUSED)
        # A retry would do no harm, but is not for this proxy to make.
        if downstream and event.outcome in (io.FULL, io.EMPTY):
            pending.reject(io.Reason.FULL_DOWNSTREAM)
        self.changed.append(pending)

    def _on_peer_failure_report(self, event):
        """Adds the losses that other proxies report to this proxy's own test until it gets an answer of its own. Spares
        each proxy from finding a dead server by itself. Cost: false reports shift calls, but never bar the last
        server (`_route`)."""
        self._add_server(event.server)
        self.peer_log_odds[event.server] = min(LOG_ODDS_MAX, event.failure_log_odds)

    def _on_retry_lease(self, event):
        pending = self.calls.get(event.call)
        if pending and pending.lease_until == LEASE_REQUESTED:
            pending.lease_until, pending.retry_at = event.until_us, pending.retry_at if event.until_us else self.now
            self.changed.append(pending)

    def _on_caller_abandoned(self, event):
        pending = self.calls.pop(event.call, None)
        if pending and pending.attempts:  # else it was taken back unsent, and a later call is the first one
            self._remember_key(pending)

    def _remember_key(self, pending):
        """Keeps the key of a call that was given back, to recognise a redial that carries no flag. Unrecognised redials
        would count as first set-ups, widen the retry budget and displace calls that are still in time. Cost: a
        second caller of the same number within the guard time is taken for a redial."""
        if pending.key and pending.key not in self.recent_keys:
            self.recent_keys[pending.key] = pending.arrived_at
            guard_us = self.settings["type_guard_us"][pending.call_type]
            self.key_expiry.append((pending.arrived_at + guard_us, pending.key))
            self._forget_keys()

    def _forget_keys(self):
        """Removes the remembered keys whose guard time is over, and the oldest ones beyond the bound."""
        while self.key_expiry and (self.key_expiry[0][0] <= self.now or len(self.key_expiry) > REMEMBERED_KEYS_MAX):
            self.recent_keys.pop(self.key_expiry.popleft()[1], None)

    # ---- calls that may have run ----

    def _repetition(self, pending):
        return self.settings["type_repetition"][pending.call_type]

    def _repeat_until(self, pending):
        """Until when a further attempt may be sent: the deadline, unless an earlier one may have run. Then the page's
        rule on duplicate effects holds: UNSAFE calls get none, KEYED ones within their window."""
        repetition = self._repetition(pending)
        if pending.run_server < 0 or repetition.semantics == io.Semantics.SAFE:
            return pending.deadline
        if repetition.semantics == io.Semantics.UNSAFE:
            return self.now - 1
        return min(pending.deadline, pending.run_sent_at + repetition.window_us)

    def _may_run_at(self, server, pending):
        """Whether a server may get a further attempt: of a KEYED call that may have run, only the servers that discard
        its repeats."""
        repetition = self._repetition(pending)
        if pending.run_server < 0 or repetition.semantics == io.Semantics.SAFE:
            return True
        if repetition.semantics == io.Semantics.UNSAFE:
            return False
        if repetition.group == io.KeyedGroup.ALL or server == pending.run_server:
            return True
        places = self.zone if repetition.group == io.KeyedGroup.ZONE else self.pool
        return places[server] == places[pending.run_server] >= 0

    def _may_be_rejected(self, pending):
        """Whether the caller may be told that trying again is harmless."""
        repetition = self._repetition(pending)
        if pending.run_server < 0 or repetition.semantics == io.Semantics.SAFE:
            return True
        return repetition.semantics == io.Semantics.KEYED and repetition.group == io.KeyedGroup.ALL

    # ---- the retry budget ----

    def _roll_window(self, server):
        """Empties the slots that have left a server's window; returns the index of the current slot."""
        slot = self.now // SLOT_US
        for age in range(min(SLOTS, slot - self.window_slot[server])):
            index = (slot - age) % SLOTS
            self.first_setups[server][index] = self.retries[server][index] = 0
        self.window_slot[server] = slot
        return slot % SLOTS

    def _grant_retry(self, server):
        """Counts one more retry to a server if it is within the larger of the floor and the ratio to first set-ups."""
        index = self._roll_window(server)
        if sum(self.retries[server]) + 1 > max(RETRY_FLOOR, RETRY_SHARE * sum(self.first_setups[server])):
            return False
        self.retries[server][index] += 1
        return True

    # ---- routing and admission ----

    def _expected_delay(self, server):
        """The queueing delay that a new set-up would meet: the last one observed, decayed, and at least the age of the
        oldest unanswered set-up sent after the one that observed it. Unanswered set-ups sent before that one are
        lost."""
        if self.failure_log_odds[server] >= FAILED_LOG_ODDS and self._trial_due(server):
            return 0
        unanswered_since = [
            sent_at for sent_at in self.in_flight[server].values() if sent_at > self.queue_delay_at[server]
        ]
        lost = int(self.loss_fraction[server] * len(unanswered_since) + 1 - LOSSY_FRACTION)
        oldest = unanswered_since[lost] if lost < len(unanswered_since) else self.now
        return max(
            0,
            self.queue_delay[server] - int((self.now - self.queue_delay_at[server]) * DELAY_DECAY_RATE),
            self.now - oldest,
        )

    def _trial_due(self, server):
        """Whether one set-up may try a server that has answered none since the last answer. The gap grows with the
        unanswered sends. Prevents lost set-ups from being taken for a queue, which would idle a sound server. Cost:
        the calls tried on a hung server. A server that is merely slow gets twice its last latency to answer."""
        unanswered = self.unanswered[server]
        if not unanswered and self.failure_log_odds[server] < FAILED_LOG_ODDS:
            return False
        gap_us = max(
            2 * self.last_latency[server],
            self.first_trial_gap_us << 2 * max(0, min(unanswered, TRIAL_GROWTH_STEPS) - 1),
        )
        return self.now >= self.last_sent_at[server] + gap_us

    def _is_cold(self, server):
        return self.started[server] > 0 and self.now < self.started[server] + self.settings["warm_up_us"]

    def _cold_rate(self, server):
        """Set-ups a second that all proxies together may send to a cold server: the rate that the server itself
        reported, else what its pool took while warm (the least that any pool took if this one was not observed)
        times the warmth reached."""
        if self.reported_rate[server]:
            return self.reported_rate[server]
        start_capacity = self.settings["start_capacity"]
        warmth = start_capacity + (1 - start_capacity) * (self.now - self.started[server]) / self.settings["warm_up_us"]
        warm_rate = self.pool_inflow.get(self.pool[server]) or min(self.pool_inflow.values(), default=0.0)
        return max(warm_rate, 1e6 / self.settings["fall_us"]) * warmth

    def _admitted_fraction(self, server):
        """The fraction of the calls for a server that may go there: what its lines allow, and what keeps the queueing
        delay at its processor near the goal. The latter is learned from delays above and below the goal, and
        adjusted at once by the present delay. Covers any lack of capacity, whatever its cause."""
        delay_goal, excess = (
            DELAY_GOAL_FRACTION * self.setup_target_us,
            self._expected_delay(server) - DELAY_GOAL_FRACTION * self.setup_target_us,
        )
        excess /= max(1, DELAY_SPAN_FRACTION * self.setup_target_us if excess > 0 else delay_goal)
        elapsed_us, self.processor_fraction_at[server] = (
            min(SLOT_US, self.now - self.processor_fraction_at[server]),
            self.now,
        )
        self.processor_fraction[server] = min(
            1.0,
            max(
                FRACTION_MIN,
                self.processor_fraction[server] * (1 - min(1.0, excess) * FRACTION_GAIN_PER_S * elapsed_us / 1e6),
            ),
        )
        return min(1.0, self.line_fraction[server], self.processor_fraction[server] * max(0.0, 1 - excess))

    def _admits(self, server, pending):
        """Whether a set-up may go to a server; called once for each set-up that would. A cold server gets an equal part
        of its rate from each proxy. Credit below one admits a call at random, and each draw uses it up: so the sum
        over all proxies keeps to the rate with five proxies or five hundred, and whether calls come apart or all at
        once. Cost: part of the rate stays unused where calls are few."""
        fraction = self._admitted_fraction(server)
        if fraction < 1 and self._random() >= fraction * pending.revenue / max(self.mean_revenue, 1e-9):
            return False
        if not self._is_cold(server):
            return True
        fraction = self._cold_rate(server) / max(1, self.settings["instances"]) / 1e6
        saved_us = min(self.now - self.cold_credit_at[server], COLD_CREDIT_FALL_FRACTION * self.settings["fall_us"])
        self.cold_credit[server] = min(
            self.cold_credit[server] + fraction * saved_us,
            fraction * COLD_CREDIT_FALL_FRACTION * self.settings["fall_us"],
        )
        self.cold_credit_at[server] = self.now
        admitted = self._random() < self.cold_credit[server]
        self.cold_credit[server] = max(0.0, self.cold_credit[server] - 1.0)
        return admitted

    def _is_usable(self, server):
        """Whether failure detection lets a set-up go to a server now; load control and the cold rate are separate
        (`_admits`)."""
        return (
            self.failure_log_odds[server] + self.peer_log_odds[server] < FAILED_LOG_ODDS
            or self.peer_log_odds[server] < FAILED_LOG_ODDS
            and self._trial_due(server)
        )

    def _round_robin(self, pool):
        """The servers of a pool in round-robin order: first the one that is owed most of this proxy's calls, each call
        in flight there counted against it. Every proxy distributes its own calls, from a random starting point: few
        as they are, the sum over all proxies is more even than random choice, and no shared figure exists that all
        could follow to one server. Prevents herds and idle servers; no effect in a pool of one server."""
        servers = self.by_pool.get(pool, ())
        if len(servers) < 2:
            return servers
        # A cold server is considered for each call, outside the round robin: its rate admits few calls, and it would
        # idle if it were considered only at its turn.
        owed = {
            server: self.turn_credit[server] - len(self.in_flight[server]) / self._current_weight(server)
            for server in servers
        }
        return sorted(servers, key=lambda server: (not self._is_cold(server), -owed[server]))

    def _charge_turn(self, server, preferred):
        """Charges a server for its turn, whether or not the call was admitted there. A call that was not taken is not
        owed; otherwise a server that returns would be owed calls by all proxies at once."""
        pool = [other for other in preferred if self.pool[other] == self.pool[server] and not self._is_cold(other)]
        if len(pool) < 2 or self._is_cold(server):
            return
        weights = [self._current_weight(other) for other in pool]
        for other, weight in zip(pool, weights, strict=True):
            self.turn_credit[other] = min(TURN_CREDIT_MAX, self.turn_credit[other] + weight / sum(weights))
        self.turn_credit[server] = max(-TURN_CREDIT_MAX, self.turn_credit[server] - 1)

    def _route(self, pending, avoid=-1):
        """The server for a call: the first choice unless skipped, reported without free lines or barred by a guard,
        else the others in round-robin order, else a skipped one, since the others may have no capacity. -1: none."""
        pools = self.settings["type_pools"]
        allowed = pools[pending.call_type] if pending.call_type < len(pools) else list(self.by_pool)
        # A random start, or all calls that leave one pool would go to the same next one.
        offset = int(self._random() * len(allowed))
        pool_order = sorted(allowed[offset:] + allowed[:offset], key=lambda pool: pool != pending.pool)
        servers = [s for pool in pool_order for s in self._round_robin(pool) if self._may_run_at(s, pending)]
        usable = [server for server in servers if self._is_usable(server)] or [
            server for server in servers if self.failure_log_odds[server] < FAILED_LOG_ODDS
        ]
        with_lines = [
            server
            for server in usable
            if server != avoid and self.empty_until[server] <= self.now and self.free_lines[server] != 0
        ]
        preferred = [server for server in with_lines if self.skip_until[server] <= self.now]
        preferred.sort(key=self._ranks_last)
        exhausted_pool = -1  # the pool that this call has left
        for server in preferred + [server for server in with_lines if server not in preferred] or usable:
            if self.pool[server] == exhausted_pool:
                continue
            admitted = self._admits(server, pending)
            if server in preferred:
                self._charge_turn(server, preferred)
            if admitted:
                return server
            if self._overflows_pool(server):
                exhausted_pool = self.pool[server]
        return -1

    def _overflows_pool(self, server):
        """Whether a call for which a server has no capacity leaves the pool, drawn at random by the overloaded fraction
        of the pool. Prevents a herd within it: all proxies learn of a delay at one time and would all go to the
        server last reported idle, then to the next. Cost: a call may leave although another server there had
        capacity."""
        pool = self.by_pool.get(self.pool[server], ())
        if len(pool) < 2 or self._is_cold(server):
            return False
        return self._random() >= sum(self._admitted_fraction(other) for other in pool) / len(pool)

    def _ranks_last(self, server):
        """Whether a server comes after the others for this call, drawn at random by its error fraction above what
        callers may cause. Prevents fast errors from attracting all traffic. No effect where the others have no
        capacity, since the server is tried after them."""
        excess = (self.error_fraction[server] - CALLER_ERROR_FRACTION) / (1 - CALLER_ERROR_FRACTION)
        return excess > 0 and self._random() < excess

    def _plan(self, pending):
        """Sets the wanted state of a call that an event or a timer concerns."""
        if pending.want in ("reject", "fail"):
            return
        if pending.answered:
            pending.want = "keep"
        elif self.now >= pending.deadline:
            pending.fail(io.Reason.DEADLINE_PASSED)
        elif pending.seizure >= 0:
            pending.want = "keep"
        elif pending.want in ("new", "again") and self._repeat_until(pending) <= self.now:
            pending.reject(io.Reason.NOT_REPEATABLE)
        elif pending.want == "new":
            refused_redial = not pending.full_revenue and self.now < self.redials_refused_until
            server = -1 if refused_redial else self._route(pending)
            if refused_redial:
                pending.reject(io.Reason.LATE_REDIAL)
            elif server < 0:
                self._reject_setup(pending, io.Reason.NO_CAPACITY)
            else:
                if not pending.redial:
                    self.first_setups[server][self._roll_window(server)] += 1
                pending.want, pending.target_server = "seize", server
                self._record_seizure(pending, server)
        elif pending.want == "again":
            server = self._route(pending, pending.failed_server)
            reason = self._retry_refusal(pending, server)
            if reason:
                self._reject_setup(pending, reason)
                return
            backoff_us = min(BACKOFF_MAX_US, BACKOFF_BASE_US << pending.attempts - 1)
            retry_at = max(self.now + int(self._random() * backoff_us), pending.release_until)
            if retry_at >= self._repeat_until(pending):
                pending.reject(io.Reason.RETRY_TOO_LATE)
            else:
                pending.want, pending.target_server, pending.retry_at = "wait", server, retry_at
                pending.lease_until = LEASE_WANTED if self.settings["fleet_rights"] else pending.deadline
                self._schedule(retry_at, pending)
        elif pending.want == "wait" and self.now >= pending.retry_at and pending.lease_until >= 0:
            server = pending.target_server
            if self.now > pending.lease_until:
                pending.reject(io.Reason.NO_LEASE)
            elif self._repeat_until(pending) <= self.now or not self._may_run_at(server, pending):
                pending.reject(io.Reason.NOT_REPEATABLE)
            elif self.state[server] != io.SERVING or not self._is_usable(server):
                pending.reject(io.Reason.RETRY_BARRED)
            else:
                pending.want = "seize"
                self._record_seizure(pending, server)

    def _retry_refusal(self, pending, server):
        """Why a failed call gets no other attempt at a server. Counts the retry if there is no such reason."""
        if pending.attempts >= min(MAX_SEIZURES, self.settings["seizures_max"]):
            return io.Reason.ATTEMPTS_EXHAUSTED
        if server < 0:
            return io.Reason.NO_OTHER_CAPACITY
        return io.Reason.UNSPECIFIED if self._grant_retry(server) else io.Reason.BUDGET_SPENT

    def _reject_setup(self, pending, reason):
        pending.reject(reason)
        if (
            pending.no_capacity
            and pending.full_revenue
            and pending.revenue >= self.settings["type_revenue"][pending.call_type]
        ):
            self.redials_refused_until = self.now + int(REDIAL_REFUSAL_TARGETS * self.setup_target_us)

    def _record_seizure(self, pending, server):
        self.in_flight[server][pending.call] = pending.sent_at = self.now
        self.unanswered[server] += 1
        self.last_sent_at[server] = self.now

    def _schedule(self, at_us, pending):
        self.timer_serial += 1
        heappush(self.timers, (at_us, self.timer_serial, pending))
        if len(self.timers) > TIMER_PURGE_THRESHOLD + 2 * TIMERS_PER_CALL * len(self.calls):
            self._purge_timers()

    def _purge_timers(self):
        """Removes the timers of calls that have ended: callers that take their calls back at once would otherwise
        leave each one in memory until its deadline."""
        self.timers = [timer for timer in self.timers if self.calls.get(timer[2].call) is timer[2]]
        heapify(self.timers)

    # ---- actions ----

    def _emit(self):
        """Compares the wanted state with the present one and returns the difference as actions."""
        actions = [io.Log(text) for text in self.log_lines] + [io.SubscribeList()] * self.list_request_due
        for pending in self.changed:
            if self.calls.get(pending.call) is not pending:
                continue
            if pending.want == "seize" and pending.seizure < 0:
                counted = not (pending.attempts or pending.redial)
                timeout_us = (
                    self._repeat_until(pending) - self.now
                )  # it may be written later than now, but not too late
                actions.append(io.Seize(pending.call, pending.target_server, timeout_us, counted))
                pending.seizure, pending.server, pending.want = pending.attempts, pending.target_server, "keep"
                pending.attempts += 1
            elif pending.want == "wait" and pending.lease_until == LEASE_WANTED:
                pending.lease_until = LEASE_REQUESTED
                actions.append(io.RequestLease(pending.call, pending.target_server, pending.retry_at))
            elif pending.want in ("reject", "fail"):
                if pending.seizure >= 0 and self.settings["may_cancel"]:
                    actions.append(io.Cancel(pending.call, pending.seizure))
                if pending.want == "fail" or not self._may_be_rejected(pending):
                    actions.append(io.Fail(pending.call, pending.reason))
                else:
                    actions.append(io.Reject(pending.call, self._comeback_delay(), pending.reason))
                del self.calls[pending.call]
                self._remember_key(pending)
        self.changed, self.log_lines, self.list_request_due = [], [], False
        if self.timers and (self.timer_at <= self.now or self.timers[0][0] < self.timer_at):
            self.timer_at = min(max(self.timers[0][0], self.now + 1), self.now + TIMER_GAP_MAX_US)
            actions.append(io.SetTimer(self.timer_at, 0))
        return actions

    def _comeback_delay(self):
        """When the caller should come back: the longest that callers heed, spread at random over its later half."""
        announced = self.settings["comeback_told"]
        return int(self.settings["comeback_max_us"] * (1 + self._random()) / 2) if announced else 0
