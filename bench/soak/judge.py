"""Judges the rules of the platform's protocol from what the sockets of callers, central servers and feeds saw.

Pure: stand-ins tell what happened and when, in seconds on one clock; `finish` gives the breaks. `lag_s` is how late the
stand-ins' own loop was at most: by so much every bound is longer. Nothing is taken from a proxy's log.
"""

import math
from collections import deque
from typing import NamedTuple

SLACK_S = 0.05  # s by which every time limit is longer on sockets
LATE_S = 0.5  # s after its time up to which an answer only earns nothing
CROSS_S = 0.05  # s in which a set-up may cross the end of its connection and is sent again
TOLD_S, TOLD_LATE_S = 1.0, 8.0  # s in which a release is told; where none could be sent
LEFT_S, LEFT_WAITING_S = 0.1, 0.3  # s after its caller left in which an attempt may begin; where it waited
TERM_S = 0.7  # s after SIGTERM up to which an unanswered set-up is not held against a killed proxy
BAD_S = 3.0  # s in which a caller of no use is owed an answer or a close
READY_S = 10.0  # s in which a restarted proxy is ready
CONNECTIONS_MOST = 200  # a second from one proxy to one server: more than its set-ups can be
SMALL = 30  # set-ups that a cold server may get below which chance has more room


class Break(NamedTuple):
    """A rule that was broken. `call`: its id, or '' where no call is concerned."""

    at: float
    rule: str
    call: str
    text: str


class Attempt:
    """A set-up at a central server, from when it came whole until its end was written or it was given up."""

    def __init__(self, server, at):
        self.server, self.at, self.ended_at = server, at, None


class Over(NamedTuple):
    """The end of a call at a central server, and within how many seconds its caller has to be told."""

    at: float
    told_within: float


class Call:
    """A call as its caller and the central servers saw it. `due`: when its answer is due. `bodies`: {answer: the
    server that made it}; `server`: the one whose answer its caller got; `overs`: by server, since one whose answer
    crossed the end of its connection holds the call as well."""

    def __init__(self, call, proxy, connection, at, due):
        self.id, self.proxy, self.connection, self.at, self.due = call, proxy, connection, at, due
        self.answers, self.left_at, self.attempts = [], None, []
        self.bodies, self.server, self.overs = {}, None, {}
        self.stood_at = self.told_at = self.retold_at = None
        self.released_by_caller = False
        self.story = [(at, f"set-up by connection {connection.number} of proxy {proxy}, answer due {due:.3f}")]

    def note(self, at, text):
        self.story.append((at, text))

    @property
    def over(self):
        """Its Over where its caller holds it to stand, or None."""
        return self.overs.get(self.server)


class Connection:
    """A caller's connection. `ended_by`: 'proxy' or 'caller'."""

    def __init__(self, number, proxy, opened_at):
        self.number, self.proxy, self.opened_at = number, proxy, opened_at
        self.ended_at, self.ended_by, self.useful_at = None, "", None


class Cold(NamedTuple):
    """A central server that started cold: when, and how many set-ups a second it can take once it is warm."""

    at: float
    capacity: float


def most_of_a_cold_server(rules, cold, now):
    """Set-ups in the last `fallMs` that a cold server bears: N + 2 x root of N + 2, or N + 3 x root of N + 3."""
    warm = min(1.0, (now - cold.at) * 1000 / rules["warmUpMs"])
    part = rules["startCapacity"] + (1 - rules["startCapacity"]) * warm
    allowed = rules["fallMultiple"] * cold.capacity * part * rules["fallMs"] / 1000
    roots = 3 if allowed < SMALL else 2
    return allowed + roots * math.sqrt(allowed) + roots


class Run(NamedTuple):
    """A process of a proxy, from its start to its end. `told_at`: of SIGTERM; `killed_at`: of SIGKILL."""

    started_at: float
    ready_at: float | None = None
    told_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None


class Judge:
    def __init__(self, rules, proxies):
        self.rules, self.calls, self.breaks, self.lag_s = rules, {}, [], 0.0
        self.runs = [[] for _ in range(proxies)]
        self.connections, self.barred, self.troubled = [], {}, {}
        self.told_leaving = set()  # (proxy, server) that the feed has told leaving, ever
        self.bad = self.checked = 0
        self.cold = {}  # by server: Cold
        self.recent_connections = {}  # by proxy and server: times at which they were opened, in the last second
        self.recent, self.peak = {}, {}  # by server: times of its set-ups in the last window; the most in any

    def broke(self, at, rule, call, text):
        self.breaks.append(Break(at, rule, call, text))

    # ---- proxies ----

    def run(self, proxy, number=-1, **changes):
        self.runs[proxy][number] = self.runs[proxy][number]._replace(**changes)

    def started(self, now, proxy):
        """The number of this run of the proxy."""
        self.runs[proxy].append(Run(now))
        return len(self.runs[proxy]) - 1

    def ready(self, now, proxy):
        run = self.runs[proxy][-1]
        self.run(proxy, ready_at=now)
        if now - run.started_at > READY_S + self.lag_s:
            self.broke(now, "ready", "", f"proxy {proxy} took {now - run.started_at:.1f} s to be ready")

    def ended(self, now, proxy, number, code):
        run = self.runs[proxy][number]
        self.run(proxy, number, ended_at=now)
        if run.killed_at is None and (code != 0 or run.told_at is None):
            self.broke(now, "crash", "", f"proxy {proxy} ended with code {code}, SIGTERM at {run.told_at}")

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
                if by == "caller" and call.left_at is None:
                    call.left_at = now

    def set_up(self, now, call, connection, within_s):
        connection.useful_at = connection.useful_at or now
        self.calls[call] = Call(call, connection.proxy, connection, now, now + within_s)

    def left(self, now, call):
        held = self.calls[call]
        held.left_at = now
        held.note(now, "given up by its caller")

    def answered(self, now, call, body):
        held = self.calls.get(call)
        if held is None:
            self.broke(now, "lost", call, "an answer to a call that nobody made")
            return
        held.note(now, "answered")
        if held.answers:
            self.broke(now, "lost", call, "a second final answer")
        if body not in held.bodies:
            self.broke(now, "lost", call, "an answer with what no central server made for it")
        held.answers.append("answer")
        held.stood_at, held.server = now, held.bodies.get(body)

    def released(self, now, call, cause):
        held = self.calls.get(call)
        if held is None:
            return
        held.note(now, f"released to its caller with cause {cause}")
        if held.left_at is not None and held.stood_at is None:
            return  # it has left and is owed nothing; its answer may have crossed that, and the call's release follows
        if held.stood_at is not None:
            held.told_at = held.told_at or now
        elif held.answers:
            self.broke(now, "lost", call, "a second final answer")
        else:
            held.answers.append("refusal")
        if (
            len(held.answers) == 1
            and held.stood_at is None
            and now > held.due + LATE_S + self.lag_s
            and not held.left_at
        ):
            self.broke(now, "lost", call, f"answered {now - held.due:.2f} s after its time")

    def released_by_caller(self, now, call):
        held = self.calls[call]
        held.told_at, held.released_by_caller = held.told_at or now, True
        held.note(now, "released by its caller")

    def told_again(self, now, call):
        self.calls[call].retold_at = now
        self.calls[call].note(now, "its caller told the new process of it")

    def bad_caller(self, now, opened_at, kind):
        self.bad += 1
        if now - opened_at > BAD_S + SLACK_S + self.lag_s:
            self.broke(now, "bad callers", "", f"{kind}: neither answered nor closed within {BAD_S} s")

    # ---- central servers ----

    def trouble(self, now, proxy, server, until):
        """The link between the two is faulty: what passes comes late, or not at all."""
        self.troubled.setdefault((proxy, server), []).append((now, until))

    def _in_trouble(self, proxy, server, since, until):
        return any(a <= until and since <= b for a, b in self.troubled.get((proxy, server), ()))

    def told(self, now, proxy, server, state, at_latest):
        """The feed has told, or counts as having told at the latest, that a server is leaving or back."""
        if state:
            self.told_leaving.add((proxy, server))
            self.barred.setdefault((proxy, server), at_latest)
        else:
            self.barred.pop((proxy, server), None)

    def attempt(self, now, server, proxy, call):
        held = self.calls.get(call)
        if held is None:
            self.broke(now, "lost", call, f"a set-up at {server} that no caller sent")
            return None
        self.checked += 1
        held.note(now, f"set-up at {server}")
        attempt = Attempt(server, now)
        late = self._in_trouble(proxy, server, held.at - 1, now)
        barred_at = self.barred.get((proxy, server))
        if (
            barred_at is not None
            and not late
            and now > barred_at + self.rules["drainGraceMs"] / 1000 + SLACK_S + self.lag_s
        ):
            self.broke(now, "drain", call, f"set-up at {server}, told leaving {now - barred_at:.2f} s before")
        if held.left_at is not None and not late:
            allowed = LEFT_S if held.attempts else LEFT_WAITING_S
            if now > held.left_at + allowed + SLACK_S + self.lag_s:
                self.broke(now, "left", call, f"set-up at {server} {now - held.left_at:.2f} s after its caller left")
        held.attempts.append(attempt)
        self._bears(now, server, call)
        return attempt

    def attempt_ended(self, now, call, attempt, how):
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = now
            self.calls[call].note(now, f"its set-up at {attempt.server} ended: {how}")

    def started_cold(self, now, server, instead_of):
        """It can take, once warm, what the one in whose place it stands has taken at its busiest."""
        window_s = self.rules["fallMs"] / 1000
        self.cold[server] = Cold(now, max(1, self.peak.get(instead_of, 0)) / window_s)

    def _bears(self, now, server, call):
        recent, window_s = self.recent.setdefault(server, deque()), self.rules["fallMs"] / 1000
        recent.append(now)
        while recent[0] < now - window_s:
            recent.popleft()
        self.peak[server] = max(self.peak.get(server, 0), len(recent))
        if server not in self.cold:
            return
        most = most_of_a_cold_server(self.rules, self.cold[server], now)
        if len(recent) > most:
            self.broke(
                now, "failback", call, f"{len(recent)} set-ups in {window_s} s at {server}, which bears {most:.1f}"
            )

    def connected(self, now, proxy, server):
        """A proxy has opened a connection to a central server."""
        recent = self.recent_connections.setdefault((proxy, server), deque())
        recent.append(now)
        while recent[0] < now - 1:
            recent.popleft()
        if len(recent) > CONNECTIONS_MOST:
            self.broke(now, "connections", "", f"proxy {proxy} opened {len(recent)} to {server} in a second")
            recent.clear()

    def stood(self, call, server, body):
        self.calls[call].bodies[body] = server

    def over(self, now, call, proxy, server, how, sent):
        """A call that stood has ended at its server; `sent`: its release could be written on a sound connection."""
        held = self.calls.get(call)
        if held is None or server in held.overs:
            return
        sound = sent and not self._in_trouble(proxy, server, now - 1, now + TOLD_S)
        held.overs[server] = Over(now, TOLD_S if sound else TOLD_LATE_S)
        held.note(now, f"over at {server}: {how}")

    # ---- the end ----

    def owed(self, now):
        """Whether anything is still to come."""
        return any(self._is_owed(call) for call in self.calls.values())

    def _is_owed(self, call):
        unanswered = not call.answers and call.left_at is None and call.connection.ended_at is None
        return unanswered or (call.over is not None and call.told_at is None)

    def finish(self, now):
        for call in self.calls.values():
            self._overlaps(now, call)
            if not call.answers and call.left_at is None:
                self._unanswered(now, call)
            elif call.over is not None:
                self._release(now, call)
            self._told_of_no_end(call)
        return sorted(self.breaks)

    def _overlaps(self, now, call):
        """Two attempts out at one time, but for what a faulty link or a hung server tells late."""
        sound = [a for a in call.attempts if not self._in_trouble(call.proxy, a.server, a.at - 1, a.ended_at or now)]
        for number, later in enumerate(sound):
            for earlier in sound[:number]:
                ends_at = min(earlier.ended_at or now, later.ended_at or now)
                if ends_at - later.at > SLACK_S + self.lag_s:
                    text = f"set-ups at {earlier.server} and {later.server} out together for {ends_at - later.at:.2f} s"
                    self.broke(later.at, "duplicate", call.id, text)

    def _unanswered(self, now, call):
        run, connection = self._run_at(call.proxy, call.at), call.connection
        killed = run is not None and run.killed_at is not None and run.killed_at >= call.at
        if killed and (run.told_at is None or call.at <= run.told_at + TERM_S + SLACK_S + self.lag_s):
            return
        if connection.ended_by == "proxy":
            if connection.ended_at - call.at > CROSS_S + SLACK_S + self.lag_s:
                self.broke(connection.ended_at, "lost", call.id, "its connection was closed with no answer")
        elif now > call.due + LATE_S + self.lag_s:
            self.broke(call.due, "lost", call.id, "no answer in its time")

    def _release(self, now, call):
        due = self._release_due(call)
        if due is None or due > now:
            return
        if call.told_at is None:
            self.broke(due, "lost", call.id, "it was over, and its caller was never told")
        elif call.told_at > due:
            self.broke(
                due, "lost", call.id, f"it was over, and its caller was told {call.told_at - due:.2f} s too late"
            )

    def _told_of_no_end(self, call):
        """An end that was told before it came, by a proxy that had its server's link all the time."""
        if call.stood_at is None or call.told_at is None or call.released_by_caller or call.retold_at is not None:
            return
        if call.over is not None and call.told_at >= call.over.at - SLACK_S - self.lag_s:
            return
        link = call.proxy, call.server
        if link in self.told_leaving or self._in_trouble(*link, call.stood_at - 1, call.told_at):
            return
        self.broke(call.told_at, "lost", call.id, f"its caller was told of its end, and it stands at {call.server}")

    def _release_due(self, call):
        """When the caller had to be told at the latest; None where nobody was there to be told."""
        since, within = call.over
        if call.retold_at is not None and call.retold_at > call.stood_at:
            since, within = max(since, call.retold_at), TOLD_LATE_S
        else:
            run = self._run_at(call.proxy, call.stood_at)
            if run is None or (run.ended_at or run.killed_at or run.told_at) is not None:
                return None  # its process ended, and its caller has told no other of it
        reached = [
            max(since, c.useful_at)
            for c in self.connections
            if c.proxy == call.proxy
            and c.useful_at is not None
            and (c.ended_at is None or c.ended_at > max(since, c.useful_at) + within)
        ]
        return min(reached) + within + SLACK_S + self.lag_s if reached else None
