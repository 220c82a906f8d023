"""Checks the rules of the platform's protocol from what callers, central servers and feeds observe at their sockets.

No I/O: the stand-ins report events with their time, in seconds on one clock; `finish` returns the violations.
`loop_lag_s` is the greatest event-loop lag of the stand-ins; every time limit is extended by it. Logs of the proxies
are not used.
"""

import math
from collections import deque
from typing import NamedTuple

SOCKET_SLACK_S = 0.05  # every time limit is extended by this much for socket delays
LATE_ANSWER_S = 0.5  # an answer that is late by no more than this earns no revenue, but breaks no rule
CLOSE_CROSSING_S = 0.05  # a set-up this short before the close of its connection is sent again
# Time in which the caller must get a release: where the server could send one, and where it could not.
RELEASE_WITHIN_S, RELEASE_AFTER_FAULT_S = 1.0, 8.0
# Time after its caller hung up in which an attempt may still begin; the longer one is for a call that waited for its
# first attempt.
ABANDONED_REATTEMPT_S, ABANDONED_FIRST_ATTEMPT_S = 0.1, 0.3
ANSWER_AFTER_SIGTERM_S = 0.7  # a killed proxy may leave set-ups unanswered that came up to this long after SIGTERM
BAD_CALLER_S = 3.0  # time to answer or close a connection with invalid or no data
READY_WITHIN_S = 10.0
MAX_CONNECTIONS_PER_S = 200  # from one proxy to one server; more than its set-ups need
SMALL_SETUP_COUNT = 30  # below this many allowed set-ups the random spread gets a wider margin


class Violation(NamedTuple):
    """One violation of a rule. `call`: the call's id, or '' where no call is concerned."""

    at: float
    rule: str
    call: str
    text: str


class Attempt:
    """A set-up at a central server, from its full receipt until its final response is written or it is cancelled."""

    def __init__(self, server, at):
        self.server, self.at, self.ended_at = server, at, None


class CallEnd(NamedTuple):
    """The end of a call at a central server; its caller must get the release within `told_within` seconds."""

    at: float
    told_within: float


class Call:
    """A call as observed by its caller and the central servers. `due`: when its answer is due. `bodies`: {answer body:
    server that made it}; `server`: the one whose answer the caller got; `ends`: a CallEnd by server, since a server
    whose answer crossed the close of its connection holds the call as well."""

    def __init__(self, call, proxy, connection, at, due):
        self.id, self.proxy, self.connection, self.at, self.due = call, proxy, connection, at, due
        self.answers, self.abandoned_at, self.attempts = [], None, []
        self.bodies, self.server, self.ends = {}, None, {}
        self.established_at = self.release_reported_at = self.reannounced_at = None
        self.released_by_caller = False
        self.events = [(at, f"set-up by connection {connection.number} of proxy {proxy}, answer due {due:.3f}")]

    def note(self, at, text):
        self.events.append((at, text))

    @property
    def end(self):
        """The CallEnd at the server whose answer the caller got, or None."""
        return self.ends.get(self.server)


class Connection:
    """A caller's connection. `ended_by`: 'proxy' or 'caller'; `first_setup_at`: when its first set-up was sent."""

    def __init__(self, number, proxy, opened_at):
        self.number, self.proxy, self.opened_at = number, proxy, opened_at
        self.ended_at, self.ended_by, self.first_setup_at = None, "", None


class ColdStart(NamedTuple):
    """The cold start of a central server. `capacity`: set-ups a second that it can take once it is warm."""

    at: float
    capacity: float


def max_setups_at_cold_server(rules, cold, now):
    """Most set-ups that a cold server may get in the last `fallMs`.

    For N allowed set-ups the limit is N + 2 x sqrt(N) + 2, or N + 3 x sqrt(N) + 3 where N is small: random arrivals
    spread around N.
    """
    warm = min(1.0, (now - cold.at) * 1000 / rules["warmUpMs"])
    capacity_share = rules["startCapacity"] + (1 - rules["startCapacity"]) * warm
    allowed = rules["fallMultiple"] * cold.capacity * capacity_share * rules["fallMs"] / 1000
    deviations = 3 if allowed < SMALL_SETUP_COUNT else 2
    return allowed + deviations * math.sqrt(allowed) + deviations


class Run(NamedTuple):
    """One process of a proxy. `told_at`: time of SIGTERM; `killed_at`: time of SIGKILL."""

    started_at: float
    ready_at: float | None = None
    told_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None


class Judge:
    def __init__(self, rules, proxies):
        self.rules, self.calls, self.violations, self.loop_lag_s = rules, {}, [], 0.0
        self.runs = [[] for _ in range(proxies)]
        self.connections, self.draining_from, self.link_faults = [], {}, {}
        self.announced_leaving = set()  # (proxy, server) that the feed has ever announced as leaving
        self.bad_caller_count = self.attempts_checked = 0
        self.cold = {}  # by server: ColdStart
        self.recent_connections = {}  # by (proxy, server): times of connections opened in the last second
        self.recent, self.peak = {}, {}  # by server: times of set-ups in the last window; most in any window

    def add_violation(self, at, rule, call, text):
        self.violations.append(Violation(at, rule, call, text))

    # ---- proxies ----

    def run(self, proxy, number=-1, **changes):
        self.runs[proxy][number] = self.runs[proxy][number]._replace(**changes)

    def started(self, now, proxy):
        """Records a new process of a proxy and returns the number of this run."""
        self.runs[proxy].append(Run(now))
        return len(self.runs[proxy]) - 1

    def ready(self, now, proxy):
        run = self.runs[proxy][-1]
        self.run(proxy, ready_at=now)
        if now - run.started_at > READY_WITHIN_S + self.loop_lag_s:
            self.add_violation(now, "ready", "", f"proxy {proxy} took {now - run.started_at:.1f} s to be ready")

    def ended(self, now, proxy, number, code):
        run = self.runs[proxy][number]
        self.run(proxy, number, ended_at=now)
        if run.killed_at is None and (code != 0 or run.told_at is None):
            self.add_violation(now, "crash", "", f"proxy {proxy} ended with code {code}, SIGTERM at {run.told_at}")

    def _run_at(self, proxy, at):
        return next((run for run in reversed(self.runs[proxy]) if run.started_at <= at), None)

    # ---- callers ----

    def opened(self, now, proxy):
        connection = Connection(len(self.connections), proxy, now)
        self.connections.append(connection)
        return connection

    def closed(self, now, connection, by):
        if connection.ended_at is not None:
            return
        connection.ended_at, connection.ended_by = now, by
        for call in self.calls.values():
            if call.connection is connection and not call.answers:
                call.note(now, f"its connection was closed by its {by}")
                if by == "caller" and call.abandoned_at is None:
                    call.abandoned_at = now

    def set_up(self, now, call, connection, within_s):
        connection.first_setup_at = connection.first_setup_at or now
        self.calls[call] = Call(call, connection.proxy, connection, now, now + within_s)

    def call_abandoned(self, now, call):
        observed = self.calls[call]
        observed.abandoned_at = now
        observed.note(now, "abandoned by its caller")

    def answered(self, now, call, body):
        observed = self.calls.get(call)
        if observed is None:
            self.add_violation(now, "lost", call, "an answer to a call that no caller set up")
            return
        observed.note(now, "answered")
        if observed.answers:
            self.add_violation(now, "lost", call, "a second final answer")
        if body not in observed.bodies:
            self.add_violation(now, "lost", call, "an answer whose body no central server made for this call")
        observed.answers.append("answer")
        observed.established_at, observed.server = now, observed.bodies.get(body)

    def released(self, now, call, cause):
        observed = self.calls.get(call)
        if observed is None:
            return
        observed.note(now, f"released to its caller with cause {cause}")
        if observed.abandoned_at is not None and observed.established_at is None:
            return  # its caller hung up and needs no answer; an answer may have crossed that and is then released
        if observed.established_at is not None:
            observed.release_reported_at = observed.release_reported_at or now
        elif observed.answers:
            self.add_violation(now, "lost", call, "a second final answer")
        else:
            observed.answers.append("refusal")
        if (
            len(observed.answers) == 1
            and observed.established_at is None
            and now > observed.due + LATE_ANSWER_S + self.loop_lag_s
            and not observed.abandoned_at
        ):
            self.add_violation(now, "lost", call, f"answered {now - observed.due:.2f} s after it was due")

    def released_by_caller(self, now, call):
        observed = self.calls[call]
        observed.release_reported_at, observed.released_by_caller = observed.release_reported_at or now, True
        observed.note(now, "released by its caller")

    def call_reannounced(self, now, call):
        self.calls[call].reannounced_at = now
        self.calls[call].note(now, "announced by its caller to the new process")

    def bad_caller_closed(self, now, opened_at, kind):
        self.bad_caller_count += 1
        if now - opened_at > BAD_CALLER_S + SOCKET_SLACK_S + self.loop_lag_s:
            self.add_violation(now, "bad callers", "", f"{kind}: neither answered nor closed within {BAD_CALLER_S} s")

    # ---- central servers ----

    def link_fault(self, now, proxy, server, until):
        """The link between a proxy and a server is faulty until then: messages arrive late or not at all."""
        self.link_faults.setdefault((proxy, server), []).append((now, until))

    def _had_link_fault(self, proxy, server, since, until):
        return any(a <= until and since <= b for a, b in self.link_faults.get((proxy, server), ()))

    def server_announced(self, now, proxy, server, state, effective_at):
        """The feed announces a server as leaving or, with state 0, as back; it takes effect by `effective_at`."""
        if state:
            self.announced_leaving.add((proxy, server))
            self.draining_from.setdefault((proxy, server), effective_at)
        else:
            self.draining_from.pop((proxy, server), None)

    def attempt(self, now, server, proxy, call):
        observed = self.calls.get(call)
        if observed is None:
            self.add_violation(now, "lost", call, f"a set-up at {server} that no caller sent")
            return None
        self.attempts_checked += 1
        observed.note(now, f"set-up at {server}")
        attempt = Attempt(server, now)
        link_faulty = self._had_link_fault(proxy, server, observed.at - 1, now)
        draining_at = self.draining_from.get((proxy, server))
        if (
            draining_at is not None
            and not link_faulty
            and now > draining_at + self.rules["drainGraceMs"] / 1000 + SOCKET_SLACK_S + self.loop_lag_s
        ):
            self.add_violation(
                now, "drain", call, f"set-up at {server}, announced as leaving {now - draining_at:.2f} s before"
            )
        if observed.abandoned_at is not None and not link_faulty:
            allowed = ABANDONED_REATTEMPT_S if observed.attempts else ABANDONED_FIRST_ATTEMPT_S
            if now > observed.abandoned_at + allowed + SOCKET_SLACK_S + self.loop_lag_s:
                self.add_violation(
                    now,
                    "left",
                    call,
                    f"set-up at {server} {now - observed.abandoned_at:.2f} s after its caller hung up",
                )
        observed.attempts.append(attempt)
        self._check_cold_start(now, server, call)
        return attempt

    def attempt_ended(self, now, call, attempt, how):
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = now
            self.calls[call].note(now, f"its set-up at {attempt.server} ended: {how}")

    def started_cold(self, now, server, replaced):
        """A server starts cold. Its capacity once warm is the peak load of the server that it replaces."""
        window_s = self.rules["fallMs"] / 1000
        self.cold[server] = ColdStart(now, max(1, self.peak.get(replaced, 0)) / window_s)

    def _check_cold_start(self, now, server, call):
        recent, window_s = self.recent.setdefault(server, deque()), self.rules["fallMs"] / 1000
        recent.append(now)
        while recent[0] < now - window_s:
            recent.popleft()
        self.peak[server] = max(self.peak.get(server, 0), len(recent))
        if server not in self.cold:
            return
        max_setups = max_setups_at_cold_server(self.rules, self.cold[server], now)
        if len(recent) > max_setups:
            self.add_violation(
                now,
                "failback",
                call,
                f"{len(recent)} set-ups in {window_s} s at {server}, which may get {max_setups:.1f}",
            )

    def connected(self, now, proxy, server):
        """A proxy has opened a connection to a central server."""
        recent = self.recent_connections.setdefault((proxy, server), deque())
        recent.append(now)
        while recent[0] < now - 1:
            recent.popleft()
        if len(recent) > MAX_CONNECTIONS_PER_S:
            self.add_violation(now, "connections", "", f"proxy {proxy} opened {len(recent)} to {server} in a second")
            recent.clear()

    def answer_made(self, call, server, body):
        self.calls[call].bodies[body] = server

    def call_ended(self, now, call, proxy, server, how, sent):
        """An established call ended at its server; `sent`: the release was written on a working connection."""
        observed = self.calls.get(call)
        if observed is None or server in observed.ends:
            return
        reliable = sent and not self._had_link_fault(proxy, server, now - 1, now + RELEASE_WITHIN_S)
        observed.ends[server] = CallEnd(now, RELEASE_WITHIN_S if reliable else RELEASE_AFTER_FAULT_S)
        observed.note(now, f"ended at {server}: {how}")

    # ---- evaluation ----

    def has_pending(self, now):
        """Whether any call still lacks its answer or its release."""
        return any(self._is_pending(call) for call in self.calls.values())

    def _is_pending(self, call):
        unanswered = not call.answers and call.abandoned_at is None and call.connection.ended_at is None
        return unanswered or (call.end is not None and call.release_reported_at is None)

    def finish(self, now):
        for call in self.calls.values():
            self._check_overlaps(now, call)
            if not call.answers and call.abandoned_at is None:
                self._check_unanswered(now, call)
            elif call.end is not None:
                self._check_release(now, call)
            self._check_premature_release(call)
        return sorted(self.violations)

    def _check_overlaps(self, now, call):
        """Reports attempts of a call that overlap, except at servers with a link fault, which report ends late."""
        reliable = [
            a for a in call.attempts if not self._had_link_fault(call.proxy, a.server, a.at - 1, a.ended_at or now)
        ]
        for number, later in enumerate(reliable):
            for earlier in reliable[:number]:
                ends_at = min(earlier.ended_at or now, later.ended_at or now)
                if ends_at - later.at > SOCKET_SLACK_S + self.loop_lag_s:
                    text = (
                        f"set-ups at {earlier.server} and {later.server} in flight together "
                        f"for {ends_at - later.at:.2f} s"
                    )
                    self.add_violation(later.at, "duplicate", call.id, text)

    def _check_unanswered(self, now, call):
        run, connection = self._run_at(call.proxy, call.at), call.connection
        killed = run is not None and run.killed_at is not None and run.killed_at >= call.at
        if killed and (
            run.told_at is None or call.at <= run.told_at + ANSWER_AFTER_SIGTERM_S + SOCKET_SLACK_S + self.loop_lag_s
        ):
            return
        if connection.ended_by == "proxy":
            if connection.ended_at - call.at > CLOSE_CROSSING_S + SOCKET_SLACK_S + self.loop_lag_s:
                self.add_violation(connection.ended_at, "lost", call.id, "its connection was closed with no answer")
        elif now > call.due + LATE_ANSWER_S + self.loop_lag_s:
            self.add_violation(call.due, "lost", call.id, "no answer by its due time")

    def _check_release(self, now, call):
        due = self._release_due(call)
        if due is None or due > now:
            return
        if call.release_reported_at is None:
            self.add_violation(due, "lost", call.id, "it ended, and its caller never got a release")
        elif call.release_reported_at > due:
            self.add_violation(
                due,
                "lost",
                call.id,
                f"it ended, and its caller got the release {call.release_reported_at - due:.2f} s too late",
            )

    def _check_premature_release(self, call):
        """Reports a release before the end of the call by a proxy whose link to the server worked throughout."""
        if (
            call.established_at is None
            or call.release_reported_at is None
            or call.released_by_caller
            or call.reannounced_at is not None
        ):
            return
        if call.end is not None and call.release_reported_at >= call.end.at - SOCKET_SLACK_S - self.loop_lag_s:
            return
        link = call.proxy, call.server
        if link in self.announced_leaving or self._had_link_fault(
            *link, call.established_at - 1, call.release_reported_at
        ):
            return
        self.add_violation(
            call.release_reported_at,
            "lost",
            call.id,
            f"its caller got a release while the call was established at {call.server}",
        )

    def _release_due(self, call):
        """When the caller must have the release at the latest; None where it could not be reached."""
        since, within = call.end
        if call.reannounced_at is not None and call.reannounced_at > call.established_at:
            since, within = max(since, call.reannounced_at), RELEASE_AFTER_FAULT_S
        else:
            run = self._run_at(call.proxy, call.established_at)
            if run is None or (run.ended_at or run.killed_at or run.told_at) is not None:
                return None  # its process ended, and its caller announced the call to no other
        reachable_from = [
            max(since, c.first_setup_at)
            for c in self.connections
            if c.proxy == call.proxy
            and c.first_setup_at is not None
            and (c.ended_at is None or c.ended_at > max(since, c.first_setup_at) + within)
        ]
        return min(reachable_from) + within + SOCKET_SLACK_S + self.loop_lag_s if reachable_from else None
