"""The auditor: checks the five rules against the messages at callers, servers and pool book, on one clock.

An answer is timestamped when its caller reads it. If the event loop of the caller was stalled at that time, the answer
may have waited in the socket for the measured length of the stall; exactly this span is not counted against the proxy.

The auditor uses no log or state of a proxy and imports only `thorndale.sip`. It receives each message as bytes, and the
events of the day: a server started, died or crashed; a proxy was killed, stopped or continued.

A call is identified on both legs by its Session-ID (RFC 7989), a proxy by the sent-by of its top Via.
"""

import bisect
import json

from thorndale.sip import message as m
from thorndale.sip.errors import SipError

ANSWER_SLACK_US = 250_000  # allowed after the caller's Expires; includes the latency of the stand-ins themselves
CLOCK_SLACK_US = 2_000  # between the clock readings of a proxy and the sockets here, counted against it on release
COLD_SLACK_SIGMAS = 3.0  # random variation allowed on a window's set-ups at a cold server, in square roots of the count

RULES = ("one answer", "one seizure", "drain kept", "cold kept", "release awaited")


class Seizure:
    __slots__ = ("server", "proxy", "at", "branch", "ended_at", "outcome")

    def __init__(self, server, proxy, at, branch):
        self.server, self.proxy, self.at, self.branch, self.ended_at, self.outcome = server, proxy, at, branch, 0, ""


class Attempt:
    """One INVITE of a caller."""

    __slots__ = ("proxy", "at", "deadline", "finals", "final_at", "cancelled", "token", "endpoint")

    def __init__(self, token, proxy, at, deadline, endpoint):
        self.token, self.proxy, self.at, self.deadline, self.endpoint = token, proxy, at, deadline, endpoint
        self.finals, self.final_at, self.cancelled = [], 0, 0


class Auditor:
    """`observe(now, endpoint, event, data)` takes what a stand-in sent, received or measured, `record_event(now, what,
    name)` what happened to a proxy; `finish(now)` returns the rule breaks.

    `rules`: release_us, drain_grace_us, fall_multiple, fall_us. `servers`: {name: (setup_us, cold_from, warm_us)}.
    """

    def __init__(self, rules, servers):
        self.rules, self.servers = rules, servers
        self.breaks = []  # (us, rule, text)
        self.tries, self.calls = {}, {}  # {branch: Attempt}; {token: its seizures, oldest first}
        self.by_branch, self.by_call_id = {}, {}  # {branch of a proxy's INVITE: Seizure}, {its Call-ID: Seizure}
        self.proxies, self.by_address = {}, {}
        self.downtimes, self.stops = {}, {}  # {proxy: [[killed, restarted]]}, {proxy: [[stopped, continued]]}
        self.drain_reported_at = {}  # {(proxy, server): when the proxy confirmed 'draining' or 'gone'}
        self.notified = {}  # {branch of a NOTIFY: (proxy, body)}
        self.cold_since, self.arrivals = {}, {}  # {server: time of its cold start}, {server: times of INVITEs since}
        self.messages = self.excused = 0  # excused: unanswered calls that a killed proxy owned or never received
        self.last_attempt = {}  # {token: its latest Attempt}
        self.loop_stalls = {}  # {endpoint of a caller: ordered (began, ended) of the stalls of its event loop}
        self.budget = {name: ([], []) for name in servers}  # {server: (arrival times of first set-ups, of retries)}
        self.seized_calls = set()  # (proxy, token) once a proxy has seized a server; the next seizure is a redial's

    def proxy(self, name, host, port):
        """Registers a proxy and the address at which it accepts calls."""
        self.by_address[(host, port)] = name
        self.downtimes.setdefault(name, [])
        self.stops.setdefault(name, [])

    def record_break(self, now, rule, text):
        self.breaks.append((now, rule, text))

    # ---- events of the day ----

    def record_event(self, now, what, name):
        if what == "killed":
            self.downtimes[name].append([now, 0])
        elif what == "up":
            self.downtimes[name][-1][1] = now
        elif what == "stopped":
            self.stops[name].append([now, 0])
        elif what == "went on":
            self.stops[name][-1][1] = now

    # ---- messages and events at the stand-ins ----

    def observe(self, now, endpoint, event, data):
        kind, _, name = endpoint.partition(":")
        if kind == "box" and event in ("start", "died", "fallen", "reset"):
            self._server_event(now, name, event, data)
            return
        if event == "fault":
            return
        if event == "still":
            self._loop_stalled(endpoint, int(data), now)
            return
        self.messages += 1
        try:
            message = m.parse(data)
            via = message.via
        except SipError as error:
            if event == "in":
                self.record_break(now, "one answer", f"unreadable bytes from a proxy at {endpoint}: {error}")
            return
        branch = via.params.get("branch", "")
        if kind == "caller":
            self._at_caller(now, endpoint, event, message, branch)
        elif kind == "box":
            self._at_server(now, name, event, message, via, branch)
        else:
            self._at_pool_book(now, event, message, branch)

    def _at_caller(self, now, endpoint, event, message, branch):
        if event == "out" and message.method == "INVITE" and branch not in self.tries and not message.to_tag:
            host, _, port = message.uri.partition("@")[2].partition(";")[0].rpartition(":")
            token = message.get("session-id").partition(";")[0]
            deadline = now + int(message.get("expires", "180")) * 1_000_000
            attempt = Attempt(token, self.by_address.get((host, int(port)), ""), now, deadline, endpoint)
            self.tries[branch] = self.last_attempt[token] = attempt
        elif event == "out" and message.method == "CANCEL" and branch in self.tries:
            self.tries[branch].cancelled = now
        elif event == "in" and message.status >= 200 and message.cseq[1] == "INVITE":
            attempt = self.tries.get(branch)
            if attempt is None:
                self.record_break(now, "one answer", f"an answer {message.status} to no call")
                return
            answer = (message.status, message.to_tag)
            if not attempt.finals:
                attempt.finals, attempt.final_at = [answer], now
            elif answer not in attempt.finals:
                attempt.finals.append(answer)
                self.record_break(
                    now, "one answer", f"call {attempt.token[-8:]}: {answer[0]} after {attempt.finals[0][0]}"
                )

    def _server_event(self, now, name, event, data):
        if event == "reset":
            host, _, port = data.decode().rpartition(":")
            data = self.by_address.get((host, int(port)), "").encode()
        if event == "start":
            self.arrivals[name] = []
            if data == b"cold":
                self.cold_since[name] = now
            else:
                self.cold_since.pop(name, None)
            return
        if event == "fallen":
            return
        only_proxy = data.decode()  # set for a reset connection: the proxy at its other end
        for seizures in self.calls.values():
            last = seizures[-1]
            if last.server == name and not last.ended_at and only_proxy in ("", last.proxy):
                last.ended_at, last.outcome = now, "reset"

    def _at_server(self, now, name, event, message, via, branch):
        if event == "in" and message.method == "INVITE" and not message.to_tag:
            self._on_seizure(now, name, message, via, branch)
        elif event == "in" and message.method == "CANCEL":
            seizure = self.by_branch.get(branch)
            if seizure is not None and not seizure.ended_at:
                seizure.ended_at, seizure.outcome = now, "cancelled"
        elif event == "out" and message.status >= 200 and message.cseq[1] == "INVITE":
            seizure = self.by_branch.get(branch)
            if seizure is not None and not seizure.ended_at and message.status >= 300:
                seizure.ended_at, seizure.outcome = now, "answered"
            elif seizure is not None and message.status < 300 and not seizure.ended_at:
                seizure.outcome = "stands"
        elif message.method == "BYE":
            seizure = self.by_call_id.get(message.call_id)
            if seizure is not None and not seizure.ended_at:
                seizure.ended_at, seizure.outcome = now, "released"

    def _on_seizure(self, now, name, message, via, branch):
        if name in self.cold_since:
            self.arrivals[name].append(now)  # retransmissions included: each costs work
            self._check_cold_start(now, name)
        if branch in self.by_branch:
            return
        token = message.get("session-id").partition(";")[0]
        proxy = self.by_address.get((via.host, via.port), "")
        seizure = Seizure(name, proxy, now, branch)
        self.by_branch[branch] = self.by_call_id[message.call_id] = seizure
        reported_at = self.drain_reported_at.get((proxy, name))
        if reported_at is not None and now > reported_at + self.rules["drain_grace_us"] + CLOCK_SLACK_US:
            late_ms = (now - reported_at) // 1000
            self.record_break(now, "drain kept", f"{proxy}: new work for {name} {late_ms} ms after it was told")
        attempt = self.last_attempt.get(token)
        if attempt is None:
            self.record_break(now, "one seizure", f"{proxy}: a seizure of no call at {name}")
            return
        # Messages of one proxy arrive in the order sent, so this seizure was sent after the final answer.
        if attempt.final_at and attempt.final_at < now - CLOCK_SLACK_US and seizure.proxy == attempt.proxy:
            self.record_break(now, "one answer", f"{proxy}: a seizure at {name} after the call's final answer")
        seizures = self.calls.setdefault(token, [])
        if seizures and attempt.at < seizures[-1].at:  # otherwise it is a redial, which is a new call to the proxy
            last = seizures[-1]
            owner_killed = any(last.at <= killed for killed, _ in self.downtimes.get(last.proxy, ()))
            if not last.ended_at and not owner_killed:
                self.record_break(now, "one seizure", f"{proxy}: {name} seized while one at {last.server} is out")
            waited_us = now - last.ended_at + CLOCK_SLACK_US
            if last.outcome in ("cancelled", "reset") and not owner_killed and waited_us < self.rules["release_us"]:
                text = f"{proxy}: {name} seized {waited_us // 1000} ms after one at {last.server} was {last.outcome}"
                self.record_break(now, "release awaited", text)
        retry = bool(seizures) and attempt.at < seizures[-1].at
        if retry:
            self.budget[name][1].append(now)
        elif (proxy, token) not in self.seized_calls:
            self.budget[name][0].append(now)
        self.seized_calls.add((proxy, token))
        seizures.append(seizure)

    def _check_cold_start(self, now, name):
        """Compares the set-ups of all proxies in a window of `fall_us` with the capacity of the cold server in it."""
        setup_us, cold_from, warm_us = self.servers[name]
        started, window, multiple = self.cold_since[name], self.rules["fall_us"], self.rules["fall_multiple"]
        if now > started + warm_us:
            del self.cold_since[name]
            return
        arrivals = self.arrivals[name]
        while arrivals and arrivals[0] <= now - window:
            arrivals.pop(0)
        warmth = cold_from + (1 - cold_from) * (now - started) / warm_us
        allowed = multiple * warmth * window / setup_us
        if len(arrivals) > allowed + COLD_SLACK_SIGMAS * allowed**0.5:
            self.record_break(
                now, "cold kept", f"{name}: {len(arrivals)} set-ups in {window / 1e6} s, {allowed:.0f} allowed"
            )
            del self.cold_since[name]

    def _at_pool_book(self, now, event, message, branch):
        if event == "out" and message.method == "NOTIFY" and message.body:
            to = message.uri.partition(":")[2].partition(";")[0]
            host, _, port = to.rpartition(":")
            name = self.by_address.get((host, int(port)), "")
            self.notified[branch] = (name, json.loads(message.body))
        elif event == "in" and 200 <= message.status < 300 and branch in self.notified:
            name, body = self.notified.pop(branch)
            states = {entry["name"]: entry["state"] for entry in body["servers"]}
            if body["full"]:
                for server in self.servers:
                    states.setdefault(server, "gone")
            for server, state in states.items():
                if state == "serving":
                    self.drain_reported_at.pop((name, server), None)
                else:
                    self.drain_reported_at.setdefault((name, server), now)

    # ---- verdict ----

    def _loop_stalled(self, endpoint, began, ended):
        """Adds a stall. Stalls without a pause between them are merged: sockets are read in bounded batches, so a
        message may wait in its socket through several of them."""
        stalls = self.loop_stalls.setdefault(endpoint, [])
        if stalls and stalls[-1][1] == began:
            began = stalls.pop()[0]
        stalls.append((began, ended))

    def _max_unread_us(self, endpoint, at):
        """How long, in us, a message read at `at` may have waited in the caller's socket because of a stall."""
        stalls = self.loop_stalls.get(endpoint, ())
        index = bisect.bisect_left(stalls, at, key=lambda stall: stall[1])
        return max(0, at - stalls[index][0]) if index < len(stalls) else 0

    def finish(self, now):
        """All rule breaks, oldest first: (us, rule, text). A killed proxy owes no answer to the calls that it had; the
        deadlines of a proxy that was stopped are extended until it continues."""
        for attempt in self.tries.values():
            killed = any(
                attempt.at <= (up_at or now) and killed_at <= attempt.deadline
                for killed_at, up_at in self.downtimes.get(attempt.proxy, ())
            )
            if killed and (not attempt.finals or attempt.final_at > attempt.deadline):
                self.excused += 1
                continue
            deadline = attempt.deadline
            for stopped, went_on in self.stops.get(attempt.proxy, ()):
                if stopped <= deadline and attempt.at <= (went_on or now):
                    deadline = max(deadline, went_on or now)
            if attempt.cancelled and attempt.finals:
                continue
            if not attempt.finals:
                self.record_break(
                    attempt.deadline, "one answer", f"{attempt.proxy}: call {attempt.token[-8:]} never answered"
                )
            elif (
                attempt.final_at - self._max_unread_us(attempt.endpoint, attempt.final_at) > deadline + ANSWER_SLACK_US
            ):
                late_ms = (attempt.final_at - deadline) // 1000
                self.record_break(
                    attempt.final_at,
                    "one answer",
                    f"{attempt.proxy}: call {attempt.token[-8:]} answered {late_ms} ms late",
                )
        self.breaks.sort(key=lambda b: (b[0], b[1], b[2]))
        return self.breaks
