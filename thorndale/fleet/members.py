"""Membership: which of the listed members are alive, by gossip with indirect probes and suspicion before death.

SWIM (Das, Gupta and Motivala 2002) with two refinements of Lifeguard (Dadgar, Phillips and Currey 2018): a member
that finds itself slow gives others more time, and a suspected member is notified with the next message to it.
Differences from SWIM and Lifeguard:
- the members are listed; a message from an unlisted process does not make it join;
- a suspicion lasts the same time however many members repeat it. Gossip does not show who observed a failure
  independently: repetitions counted as confirmations and ended the suspicion before the suspect could answer;
- dead members are probed again from time to time, so that a healed link is found from both sides;
- a member that was stalled declares nobody dead on account of the answers that it missed;
- a report that a member is dead or has left only makes it a suspect. So a live member can answer first, and a faulty
  member cannot remove others.

Usage: `Members(names, own, seed, now, boot_id, incarnation)`; call `receive(now, datagram, sender)` for each datagram
whose sender address is listed, `tick(now)` once `next_at()` has passed, and `leave(now)` at a stop. Each returns
[(member, Datagram)] to be sent. `changes` collects (now, member, what, why) for the log; the reader empties it. Times
are integer microseconds, members are indices into `names`. A process's first incarnation is the wall clock's second
times 65,536, so that a restarted process overrides its predecessor. If its clock went back, the other members' updates
show a higher incarnation, and it exceeds that one.
"""

from math import log, log2

from thorndale.fleet.wire import (
    ACK,
    ALIVE,
    DEAD,
    INDIRECT_PROBE,
    LEFT,
    MAX_UPDATES,
    PROBE,
    SUSPECT,
    VERSION,
    Datagram,
    MembershipUpdate,
    member_id,
)

PROBE_PERIOD_US = 1_000_000  # SWIM's protocol period; one message a second each way
PROBE_TIMEOUT_US = 300_000  # until a probe is repeated and sent through others; allows for a busy core
MAX_FAILED_PERIODS = 2  # periods without an answer; one would suspect many members on a lossy link
PROBES_PER_PERIOD = 3
INDIRECT_PROBERS = 3  # members asked for an indirect probe: SWIM's k
SUSPICION_PERIODS = 6.0  # times log10 of the fleet's size: duration of a suspicion, to learn of it and to refute it
RETRANSMIT_FACTOR = 3.0  # times log2 of the fleet's size: transmissions of one update, SWIM's lambda
MAX_SLOWNESS = 8  # limit of Lifeguard's local health score, which stretches the timeouts
STALL_US = 500_000  # a tick that is later than this shows that this process was stalled
DEAD_PROBE_PERIODS = 3  # periods between two probes of a dead or unknown member
JOIN_PERIODS, JOIN_PROBES = 15, 4  # after a start: periods, and extra probes of unknown members in each
MAX_INCARNATION_LEAD = 86_400 << 16  # incarnations more than a day ahead of this clock are rejected
UNKNOWN = 4  # local state, not on the wire: no message or update received yet
STATES = ("alive", "suspect", "dead", "left", "unknown")


class Members:
    def __init__(self, names, own, seed, now, boot_id, incarnation):
        self.names, self.own, self.now, self.random_state = list(names), own, now, seed & (1 << 64) - 1
        self.ids = [member_id(name) for name in names]
        self.index = {wire: n for n, wire in enumerate(self.ids)}
        n = len(self.names)
        self.state, self.incarnation, self.boot_id = [UNKNOWN] * n, [0] * n, [0] * n
        self.state_since = [now] * n  # start of the current state
        self.state[own], self.incarnation[own], self.boot_id[own] = ALIVE, incarnation, boot_id
        self.suspect_until = [0] * n  # end of a suspicion
        self.updates = {}  # member: transmissions of its latest update
        self.probe_queue, self.reconnect_queue = [], []  # members to probe next: present ones, and dead or unknown ones
        self.number, self.slowness, self.periods = 0, 0, 0
        self.probe = None  # (member, number, deadline of the next repetition, end of the period)
        self.failed_periods, self.probes_sent = 0, 0  # of the probed member; probes in this period
        self.relayed_probes = {}  # number of a probe sent for another member: (requester, its number, deadline)
        self.changes, self.count = [], {"late": 0, "refuted": 0, "twice": 0, "stale": 0, "absurd": 0, "unlisted": 0}
        self.started_at, self.first_incarnation = now, incarnation
        self.last_received_at = self.last_probe_at = now
        self.log_size = log2(n + 1)
        # Random, because members started at the same time would otherwise probe at the same time.
        self.period_at = now + int(PROBE_PERIOD_US * self._random())
        self._queue_update(own)

    # ---- helpers ----

    def _random(self):
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.random_state >> 40) / (1 << 24)

    def _make_datagram(self, kind, number, about, to):
        """A datagram with updates for `to`: first its own state if it is suspected or dead, then the updates with the
        fewest transmissions."""
        first = [to] if self.state[to] in (SUSPECT, DEAD) else []
        max_sends = int(RETRANSMIT_FACTOR * self.log_size) + 1
        rest = sorted(
            (m for m in self.updates if m not in first), key=lambda m: (self.updates[m], self.ids[m] ^ number)
        )
        selected = (first + rest)[:MAX_UPDATES]
        for m in selected:
            if m in self.updates:
                self.updates[m] += 1
                if self.updates[m] >= max_sends:
                    del self.updates[m]
        updates = [MembershipUpdate(self.ids[m], self.boot_id[m], self.incarnation[m], self.state[m]) for m in selected]
        own = self.own
        return Datagram(
            VERSION, kind, self.ids[own], self.boot_id[own], self.incarnation[own], number, self.ids[about], updates
        )

    def _queue_update(self, member):
        if self.state[member] != UNKNOWN:
            self.updates[member] = 0

    def _set_state(self, member, state, why):
        if self.state[member] != state:
            self.state[member], self.state_since[member] = state, self.now
            self.changes.append((self.now, member, STATES[state], why))

    def alive(self):
        """Members considered present, including suspects, which may only be slow."""
        return [m for m, state in enumerate(self.state) if state in (ALIVE, SUSPECT)]

    def next_at(self):
        deadlines = [self.period_at]
        if self.probe is not None and self.probe[2] > 0:
            deadlines.append(self.probe[2])
        deadlines += [until for m, until in enumerate(self.suspect_until) if self.state[m] == SUSPECT]
        return min(deadlines)

    # ---- receiving ----

    def receive(self, now, datagram, sender):
        """Handles a datagram from listed member `sender`."""
        self.now = self.last_received_at = now
        if datagram.sender != self.ids[sender] or sender == self.own:
            self.count["stale"] += 1
            return []
        self._apply_update(sender, datagram.boot_id, datagram.incarnation, ALIVE, sender)
        for update in datagram.updates:
            member = self.index.get(update.member)
            if member is None:
                self.count["unlisted"] += 1
            else:
                self._apply_update(member, update.boot_id, update.incarnation, update.state, sender)
        if datagram.kind > INDIRECT_PROBE:  # lease messages and failure reports only show that the sender is alive
            return []
        if datagram.kind == PROBE:
            return [(sender, self._make_datagram(ACK, datagram.number, self.own, sender))]
        if datagram.kind == INDIRECT_PROBE:
            about = self.index.get(datagram.about)
            if about is None or about in (self.own, sender):
                return []
            self.number += 1
            self.relayed_probes[self.number] = (sender, datagram.number, now + PROBE_PERIOD_US)
            return [(about, self._make_datagram(PROBE, self.number, about, about))]
        if datagram.number in self.relayed_probes:  # an ACK
            requester, number, _ = self.relayed_probes.pop(datagram.number)
            return [(requester, self._make_datagram(ACK, number, sender, requester))]
        if self.probe is not None and datagram.number == self.probe[1] and datagram.about == self.ids[self.probe[0]]:
            self.probe = (self.probe[0], self.probe[1], -1, self.probe[3])  # a negative deadline marks it as answered
            self.slowness = max(0, self.slowness - 1)
        return []

    def _apply_update(self, member, boot_id, incarnation, state, reporter):
        """Applies an update on a member. The higher incarnation wins, within one incarnation the worse state. An update
        on this member itself that is not its own is refuted with a higher incarnation, whoever sent it."""
        if (
            incarnation
            > self.first_incarnation + ((self.now - self.started_at) * 65_536 // 1_000_000) + MAX_INCARNATION_LEAD
        ):
            self.count["absurd"] += 1
            return
        if member == self.own:
            own_incarnation = self.incarnation[member]
            if incarnation > own_incarnation or (
                incarnation == own_incarnation and (state != ALIVE or boot_id != self.boot_id[member])
            ):
                self.incarnation[member] = incarnation + 1
                self.count["refuted" if boot_id == self.boot_id[member] else "twice"] += 1
                if boot_id != self.boot_id[member] and state == ALIVE:
                    self.changes.append((self.now, member, "named twice or begun anew", self.names[reporter]))
                self._queue_update(member)
            return
        known_incarnation = self.incarnation[member]
        direct = reporter == member
        if state in (DEAD, LEFT) and not direct and self.state[member] not in (DEAD, LEFT, UNKNOWN):
            state = SUSPECT
        if incarnation < known_incarnation or (incarnation == known_incarnation and not self._overrides(member, state)):
            if direct and incarnation < known_incarnation:
                self._queue_update(member)  # it has not received the update on itself yet
            return
        if self.boot_id[member] and boot_id != self.boot_id[member] and state == ALIVE:
            self.changes.append((self.now, member, "begun anew", self.names[reporter]))
        self.incarnation[member], self.boot_id[member] = incarnation, boot_id
        if state == SUSPECT:
            self._start_suspicion(member, reporter, "reported")
        else:
            self._set_state(member, state, "message received" if direct else f"reported by {self.names[reporter]}")
        self._queue_update(member)

    def _overrides(self, member, state):
        order = {UNKNOWN: -1, ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
        return order[state] > order[self.state[member]]

    # ---- suspicion ----

    def _suspicion_us(self):
        return int(SUSPICION_PERIODS * max(1.0, log(len(self.names), 10)) * PROBE_PERIOD_US)

    def _start_suspicion(self, member, reporter, why):
        self._set_state(member, SUSPECT, why if why != "reported" else f"reported by {self.names[reporter]}")
        self.suspect_until[member] = self.now + self._suspicion_us()
        self._queue_update(member)

    # ---- timers ----

    def tick(self, now):
        late, self.now = now - self.next_at(), now
        stalled = late > STALL_US
        if stalled:  # missing answers prove nothing after a stall: void the probe, restart all suspicions
            self.count["late"] += 1
            self.slowness = min(MAX_SLOWNESS, self.slowness + 1)
            self.probe = None
            for member, state in enumerate(self.state):
                if state == SUSPECT:
                    self.suspect_until[member] = max(self.suspect_until[member], now + self._suspicion_us())
        outgoing = []
        for member, state in enumerate(self.state):
            if state == SUSPECT and self.suspect_until[member] <= now:
                self._set_state(member, DEAD, "suspicion not refuted")
                self._queue_update(member)
        if self.probe is not None and 0 < self.probe[2] <= now:
            outgoing += self._retry_probe()
        if now >= self.period_at:
            outgoing += self._end_period()
        return outgoing

    def _retry_probe(self):
        """Repeats an unanswered probe, the first time also through other members."""
        member, number, deadline, period_end = self.probe
        self.probes_sent += 1
        self.probe = (
            member,
            number,
            deadline + PROBE_TIMEOUT_US if self.probes_sent < PROBES_PER_PERIOD else 0,
            period_end,
        )
        outgoing = [(member, self._make_datagram(PROBE, number, member, member))]
        helpers = [m for m in self.alive() if m not in (member, self.own)]
        for _ in range(min(INDIRECT_PROBERS, len(helpers)) if self.probes_sent == 2 else 0):
            helper = helpers.pop(int(self._random() * len(helpers)))
            outgoing.append((helper, self._make_datagram(INDIRECT_PROBE, number, member, helper)))
        return outgoing

    def _end_period(self):
        """Ends a period: evaluates an unanswered probe and sends the next one."""
        if self.probe is not None and self.probe[2] >= 0:
            member = self.probe[0]
            if self.last_received_at < self.last_probe_at:  # nothing received from anyone: this member may be slow
                self.slowness = min(MAX_SLOWNESS, self.slowness + 1)
            self.failed_periods += 1
            if self.state[member] == ALIVE and self.failed_periods >= MAX_FAILED_PERIODS:
                self._start_suspicion(member, self.own, "no answer")
        retry_member = (
            self.probe[0]
            if self.probe is not None and self.probe[2] >= 0 and self.failed_periods < MAX_FAILED_PERIODS
            else -1
        )
        self.probe = None
        self.relayed_probes = {n: relayed for n, relayed in self.relayed_probes.items() if relayed[2] > self.now}
        timeout_factor = 1 + self.slowness / 2
        self.period_at = self.now + int(PROBE_PERIOD_US * timeout_factor * (0.9 + 0.2 * self._random()))
        self.periods += 1
        outgoing = []
        member = retry_member
        if retry_member < 0 or self.state[retry_member] != ALIVE:
            member, self.failed_periods = self._next_target("probe_queue", (ALIVE, SUSPECT)), 0
        if member >= 0:
            self.number += 1
            self.probe = (member, self.number, self.now + int(PROBE_TIMEOUT_US * timeout_factor), self.period_at)
            self.last_probe_at, self.probes_sent = self.now, 1
            outgoing.append((member, self._make_datagram(PROBE, self.number, member, member)))
        joining = self.periods <= JOIN_PERIODS
        for _ in range(JOIN_PROBES if joining else self.periods % DEAD_PROBE_PERIODS == 0):
            other = self._next_target("reconnect_queue", (UNKNOWN,) if joining else (DEAD, UNKNOWN))
            if other >= 0:
                self.number += 1
                outgoing.append((other, self._make_datagram(PROBE, self.number, other, other)))
        return outgoing

    def _next_target(self, queue_name, states):
        """The next member in one of `states`: each once per round, rounds in random order; -1 if there is none."""
        for _ in range(2):
            queue = getattr(self, queue_name)
            while queue:
                member = queue.pop()
                if member != self.own and self.state[member] in states:
                    return member
            queue = [m for m, state in enumerate(self.state) if m != self.own and state in states]
            for n in range(len(queue) - 1, 0, -1):
                other = int(self._random() * (n + 1))
                queue[n], queue[other] = queue[other], queue[n]
            setattr(self, queue_name, queue)
        return -1

    def leave(self, now):
        """Announces to a few members that this one leaves; gossip reaches the others."""
        self.now = now
        self.state[self.own] = LEFT
        self._queue_update(self.own)
        others = [m for m in self.alive() if m != self.own]
        outgoing = []
        for _ in range(min(INDIRECT_PROBERS, len(others))):
            member = others.pop(int(self._random() * len(others)))
            outgoing.append((member, self._make_datagram(PROBE, 0, member, member)))
        return outgoing
