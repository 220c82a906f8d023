"""The decisions of one proxy: which call is seized where, when it waits, and when it is given back.

How to call it: Proxy(seed, settings), then for each batch handle(now_us, events), which returns the
actions to carry out in that order. The events and actions are the types of thorndale/interface.py; the
settings are one plain map (the adapter's door lists the names). Two Proxy objects share nothing.

How it is built: events change what is known; _plan sets the wanted state of each touched call; _emit,
alone, works out the difference between the wanted and the present state and returns it as actions. Why
each part is as it is: docs/design.md.
"""

from collections import deque
from heapq import heappop, heappush
from math import exp, log, sqrt

from thorndale import interface as io

# All constants. us = microseconds.
SLOTS = 10  # slots of the sliding window: the design's
SLOT_US = 1_000_000  # us a slot, so that the window is the design's 10 s
RETRY_SHARE = 0.1  # retries per first set-up in the window: the design's
RETRY_FLOOR = 3  # retries that are always within the budget: the design's
SEIZURES = 3  # seizures a call, the first included: the design's
WAIT_BASE_US = 50_000  # us, most of the first wait, doubled per earlier retry: the design's
WAIT_MOST_US = 2_000_000  # us, most of any wait: the design's
SKIP_US = 1_000_000  # us that a server which was full or timed out is skipped: the design's
TICKS_SPARE = 2  # ticks before the caller gives up at which the final answer is due: one may be under way
PRESS_NONE = 0.1  # share of the limit below which a wait is chance, not press
PRESS_AT = 0.2  # share of the limit at which a server's wait is held: below it some capacity idles
PRESS_SPAN = 0.3  # share of the limit above that over which the part is cut to none; wide, or all swing
DRAIN_RATE = 0.2  # us a us by which a wait ages: left alone a processor sheds 1, but others send
LEARN = 0.5  # a second: how fast the part is learned; faster, and it outruns what the waits tell
TURNED_PART = 5.0  # of the limit: after a first try was turned away no redial is taken, a few redial waits
REPORT_US = 500_000  # us that a load report is behind: half its period and its way
MEAN_PART = 0.02  # weight of a call in the mean revenue: some 50 calls, a few seconds of one proxy
BAD_ODDS, GOOD_ODDS = 0.9, 0.02  # chance of a lost seizure at a failed and at a sound server: far apart
FAILED_AT = 4.0  # log odds that call a server failed: two losses with no answer between
SCORE_MOST = 8.0  # log odds kept at most, so that some dozen answers clear any server
BEAT_US = 200_000  # us between timers at most while a call is held, so that a stand-still is seen
HELD_UP_US = 100_000  # us that a timer is late when the proxy itself stood still: many ticks
TRIAL_PART = 1.25  # of the limit: from a set-up without answer to the first trial, fourfold if in vain
TRIALS_MOST = 3  # sends in vain after which the gap grows no more: twenty limits, past most stand-stills
COLD_KEPT = 0.5  # of the fall time: how long unused credit at a cold server lasts; longer, and it adds up
UNSEEN = 1.5  # growth of the demand reckoned at a pool found without a line: calls sent back go uncounted
LINES_KEPT = 2  # lines kept free, as multiple of the root of what ends between tellings: what chance takes
PART_LEAST = 0.005  # least part reckoned with: below it what comes is chance
FLOW_PART = 0.1  # weight of a telling in a server's mean inflow: some ten tellings, the design's window
LOSS_PART = 0.15  # weight of a seizure in the share found lost: some seven
FAULT_PART = 0.05  # weight of a seizure in the share found faulty: some twenty, slower than the test
LOSSY = 0.1  # share lost from which one unanswered set-up tells nothing
QUOTA_US = 1_000_000  # us of a client's quota part that may come at once
FAULT_ODDS = 0.3  # chance of a fault at a sound server: callers may send this many that no server can use
LOST = (io.RESET, io.UNREACHABLE)  # outcomes that a sound server seldom gives
REFUSED = (io.FULL, io.EMPTY, io.FAULTY, io.BUSY)  # outcomes that a server answers with
CUTS_US = 100_000  # us within which a second call cut at a server tells of more than chance
TURN_MOST = 1.0  # calls that a server can be owed or ahead by in its pool: more, and its return is a herd
IDLE_US = 1_000  # us of told wait over the least told from which a processor was found at work
LEAST_PART = 0.01  # of a told wait by which the least told follows, for a figure that begins to tell more
WEIGH_US = 100_000_000  # us in which looks move a share by their whole: faster, and chance passes for size
WEIGH_MOST = 0.2  # most that one look counts for, however long ago the last: some five looks
FULL_MOST = 4.0  # looks that one counts for at most, by the square of a wait over the one that is held
SHARE_MOST = 4.0  # times an equal share, and its inverse: what is learned beyond is taken for a fault
ASK, ASKED = -1, -2  # a retry's right: wanted of the fleet, and asked for
FADE_US = 600_000_000  # us in which what is known of a share fades toward an equal one, unless learned anew

# Figures about servers, each a list under the server's index, with what it begins with.
FIGURES = dict(
    state=io.SERVING,
    pool=-1,
    started=0,
    free=None,
    rate=0.0,  # as told
    skip_until=0,
    empty_until=0,
    slot=0,  # us; number of the window's last slot
    wait=0,
    wait_at=0,
    told=None,  # wait last seen, when what met it was sent; last report
    lag=0,
    least=1 << 60,  # last lag of an answer, least
    silent=0,
    sent_at=0,  # seizures sent since the last answer, when the last one was
    score=0.0,
    word=0.0,
    loss=0.0,  # log odds that it failed, by own loss, by others' word; share lost alone
    faults=FAULT_ODDS,  # share of set-ups answered with an error, and never below what callers may cause
    cut_at=-SLOT_US,  # when a call that stood was last cut alone
    credit=0.0,
    credit_at=0,  # set-ups that may go while it is cold, since when
    used=0,
    used_at=0,  # lines in use as last told, when
    demand=0.0,
    part=1.0,  # set-ups a us that all proxies want; part of them that lines allow
    open=1.0,
    open_at=0,  # part that the processor has been found to take, as of when
    turn=None,
    share=1.0,  # calls owed in its pool; its part of the pool's calls, of an equal one
    least_told=None,
    looked_at=0,  # us of wait told at its least; when last looked at for its share
)


class Held:
    """A call that this proxy owes an answer."""

    __slots__ = (
        "call",
        "kind",
        "client",
        "pool",
        "key",
        "redial",
        "first",
        "revenue",
        "came",
        "last",
        "sent",
        "out",
        "server",
        "failed_at",
        "lack",
        "resume",
        "release",
        "right",
        "stood",
        "onward",
        "want",
        "arg",
        "reason",
    )

    def __init__(self, event, now):
        self.call, self.kind, self.client, self.pool = event.call, event.call_type, event.client, event.pool
        self.key, self.redial = event.key, event.redial or event.again
        self.first = not event.redial  # earns its full revenue
        self.came, self.last = now, now + event.left_us
        self.sent, self.out, self.server, self.failed_at = 0, -1, -1, -1
        self.resume = self.release = self.right = 0  # right: until when a retry may go, or ASK, ASKED
        self.revenue, self.stood, self.lack = 0.0, False, True  # lack: it is given back for want of room
        self.onward = False  # the seizure that is out has been carried on by its server
        self.want, self.arg, self.reason = "new", 0, io.Reason.UNSAID

    def reject(self, reason):
        self.want, self.reason = "reject", reason

    def fail(self, reason):
        self.want, self.reason = "fail", reason


class Proxy:
    def __init__(self, seed, settings):
        self.settings, self.now, self.chance = settings, 0, seed & (1 << 64) - 1
        self.calls, self.touched, self.notes = {}, [], []
        self.given_up, self.given_up_at = {}, deque()  # key: when the call first came; (when to forget, key)
        self.alarms, self.armed, self.serial = [], 0, 0
        self.held_up = False  # this proxy itself stood still: what the batch tells of times is its own delay
        for name in FIGURES:
            setattr(self, name, [])
        self.firsts, self.retries, self.out = [], [], []  # slots of the window; call: when sent, oldest first
        self.by_pool, self.inflow = {}, {}  # pool: servers; set-ups a second from all proxies, while warm
        self.busy, self.quota_at = {}, 0  # pool: part of the looks at its servers that found one at work
        self.hold = max(settings["type_hold_us"], default=SLOTS * SLOT_US)  # us, mean of a call's length
        self.mean_revenue, self.turned_until = 0.0, 0
        self.quota, self.list_wanted = [1.0] * len(settings["client_quota"]), settings["list_asked"]
        targets = settings["type_target_us"] + ([settings["resend_us"]] if settings["resend_us"] else [])
        self.limit = min(targets, default=SLOT_US)  # us, the span that all times of waiting go by
        self.trial = int(TRIAL_PART * self.limit)
        self.on = {
            io.Servers: self._servers,
            io.Call: self._call,
            io.Stood: self._stood,
            io.Left: self._left,
            io.Ended: self._ended,
            io.Seen: self._seen,
            io.ListFailed: self._list_failed,
            io.Right: self._right,
            io.Word: self._word,
            io.Onward: self._onward,
        }

    def handle(self, now, events):
        self.now = now
        self.held_up = 0 < self.armed < now - HELD_UP_US
        for event in events:
            handler = self.on.get(type(event))
            if handler:
                handler(event)
        while self.alarms and self.alarms[0][0] <= now:
            self.touched.append(heappop(self.alarms)[2])
        for held in self.touched:
            if self.calls.get(held.call) is held:
                self._plan(held)
        return self._emit()

    # ---- what is known ----

    def _chance(self):
        """A linear congruential generator; its high bits as a share from 0 to 1."""
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.chance >> 40) / (1 << 24)

    def _grow(self, server):
        while len(self.state) <= server:
            for name, first in FIGURES.items():
                getattr(self, name).append(first)
            self.firsts.append([0] * SLOTS)
            self.retries.append([0] * SLOTS)
            self.out.append({})

    def _servers(self, event):
        seen = set()
        for entry in event.entries:
            s = entry.server
            self._grow(s)
            seen.add(s)
            if entry.started_us != self.started[s] and entry.state == io.SERVING:
                # A new process: what was learned of the old one is void, and it may be cold.
                self.started[s], self.score[s] = entry.started_us, 0.0
                self.credit[s], self.credit_at[s], self.used[s] = 0.0, self.now, 0
                self.wait[s], self.rate[s], self.silent[s], self.out[s] = 0, 0.0, 0, {}
                self.share[s], self.least_told[s], self.word[s] = 1.0, None, 0.0
            self._state(s, entry.state)
            self.pool[s] = entry.pool
        if event.whole:
            for s in range(len(self.state)):
                if s not in seen:
                    self._state(s, io.GONE)
        self.by_pool = {}
        for s, state in enumerate(self.state):
            if state == io.SERVING and self.pool[s] >= 0:
                self.by_pool.setdefault(self.pool[s], []).append(s)
        for servers in self.by_pool.values():
            for s in servers if len(servers) > 1 else ():
                if self.turn[s] is None:  # drawn, or all proxies would begin with the same server
                    self.turn[s] = self._chance() - 0.5

    def _state(self, s, state):
        if self.state[s] != state:
            self.state[s] = state
            self.notes.append(f"server {s}: {('serving', 'draining', 'gone')[state]} by the list")

    def _list_failed(self, event):
        self.list_wanted = True

    def _seen(self, event):
        self._grow(event.server)
        self._report(event.server, event.report)
        if not event.asked:
            self._flow(event.server, event.report)

    def _flow(self, s, report):
        """Lines in use are all proxies' doing: what they grew by, and what ends meanwhile of calls that last
        their mean, is the set-ups that the server took from all. One proxy's own few tell little of that."""
        if report.free is None or report.lines is None or not 0 <= report.free <= report.lines:
            return
        used, passed = report.lines - report.free, self.now - self.used_at[s]
        if self.used[s] and passed > 0:
            flow = max(0.0, (used - self.used[s]) / passed + self.used[s] / self.hold)
            if not self._cold(s) and self.state[s] == io.SERVING:
                mean = self.inflow.setdefault(self.pool[s], flow * 1e6)
                self.inflow[self.pool[s]] = mean + (flow * 1e6 - mean) * FLOW_PART
            self._share(s, flow, self.used[s] < report.lines, report.free, used / self.hold, passed)
        self.used[s], self.used_at[s] = used, self.now

    def _share(self, s, flow, sought, free, ends, passed):
        """The part of the calls wanting a line of server s that may go there until the next telling, the same
        at all proxies. Guards against all of them seeking a few told lines at once and leaving together;
        harms by keeping a few lines free, as many as chance may take."""
        if sought:  # it was not told empty a telling ago, when none seek it
            demand = flow / max(self.part[s], PART_LEAST)  # not by what this proxy alone holds back besides
            if free * free < ends * passed:
                demand = max(demand, self.demand[s]) * UNSEEN
            self.demand[s] = (self.demand[s] + demand) / 2 if self.demand[s] else demand
        room = max(0.0, (free - LINES_KEPT * sqrt(ends * passed)) / passed / 2 + ends)
        self.part[s] = min(1.0, room / self.demand[s]) if self.demand[s] else 1.0

    def _report(self, s, report):
        if report.free is not None:
            self.free[s] = report.free
            if report.free > 0:
                self.empty_until[s] = 0
        self.rate[s] = report.rate or self.rate[s]
        if report.wait_us is not None and report != self.told[s]:  # another one: an idle server tells 0 again
            self.told[s] = report
            self._observe(s, report.wait_us, self.now - REPORT_US)
            self._weigh(s, report.wait_us)

    def _weigh(self, s, wait):
        """Learns the share of server s in its pool: less where it is found at work more often than others. A
        look finds a processor of any size at work as often as it is used, so equal parts of busy looks are
        load by capacity, whoever sent it. Guards against unlike servers taken for alike; harms by the noise
        of few looks, which differs from proxy to proxy and so levels out in the sum."""
        servers = self.by_pool.get(self.pool[s], ())
        if len(servers) < 2 or s not in servers or self._cold(s):
            return
        least = wait if self.least_told[s] is None else self.least_told[s]
        busy = wait > least + IDLE_US
        self.least_told[s] = min(wait, least + (wait - least) * LEAST_PART)
        known, passed, self.looked_at[s] = self._fair(s), self.now - self.looked_at[s], self.now
        step = min(WEIGH_MOST, passed / WEIGH_US)
        busy += min(FULL_MOST - 1, (wait / (PRESS_AT * self.limit)) ** 2)  # where all are, it tells no more
        mean = self.busy.get(self.pool[s], busy)
        self.busy[self.pool[s]] = mean + (busy - mean) * step / len(servers)
        self.share[s] = min(SHARE_MOST, max(1 / SHARE_MOST, known * exp(step * (mean - busy))))

    def _fair(self, s):
        """The share of server s as far as it is known still: it fades toward an equal one."""
        return self.share[s] ** exp((self.looked_at[s] - self.now) / FADE_US)

    def _observe(self, s, wait, at):
        """Takes a wait that a set-up sent at that time met, unless this proxy was held up and the wait may
        be its own delay."""
        if at > self.wait_at[s] and (not self.held_up or wait <= self._wait(s)):
            self.wait[s], self.wait_at[s] = wait, at

    def _outcome(self, s, lost, sound=GOOD_ODDS):
        """Sequential test (CUSUM of log odds) on outcomes; `sound`: chance of a loss at a sound server.
        Guards against a server that takes set-ups and loses them, whatever the cause: dead, hung,
        unreachable. One that loses some and answers others is held against its own share lost, and stays."""
        was = self.score[s] >= FAILED_AT
        self.word[s] *= lost  # an own answer is worth more
        good = min(BAD_ODDS * 0.9, max(sound, self.loss[s]))
        step = log(BAD_ODDS / good) if lost else log((1 - BAD_ODDS) / (1 - good))
        self.score[s] = min(SCORE_MOST, max(0.0, self.score[s] + step))
        if not lost and was:
            self.score[s] = 0.0  # a failed server that answers a trial is back
        if (self.score[s] >= FAILED_AT) != was:
            self.notes.append(f"server {s}: {'answers again' if was else 'failed, loses seizures'}")

    def _call(self, event):
        held = Held(event, self.now)
        kind, settings = event.call_type, self.settings
        if len(self.calls) + 1 >= settings["open_max"]:
            held.reject(io.Reason.TOO_MANY_OPEN)
        revenue = settings["type_revenue"][kind]
        while self.given_up_at and self.given_up_at[0][0] <= self.now:
            self.given_up.pop(self.given_up_at.popleft()[1], None)
        if event.key in self.given_up and not event.again:
            held.redial, held.first, held.came = True, False, self.given_up[event.key]
        if not held.first:
            revenue *= settings["type_late_part"][kind]
        if self.quota and not self._within_quota(event.client):
            revenue *= settings["over_quota_part"]
        if kind < len(settings["type_hold_us"]):
            self.hold += (settings["type_hold_us"][kind] - self.hold) * MEAN_PART
        self.mean_revenue += (revenue - self.mean_revenue) * (MEAN_PART if self.mean_revenue else 1.0)
        held.revenue = revenue
        self.calls[event.call] = held
        self.touched.append(held)
        spare = TICKS_SPARE * settings["tick_us"]
        held.last = max(self.now, held.last - spare)
        self._alarm(held.last, held)

    def _within_quota(self, client):
        """This proxy's part of a client's quota, as a bucket QUOTA_US deep."""
        quotas, n = self.settings["client_quota"], max(1, self.settings["instances"])
        passed, self.quota_at = self.now - self.quota_at, self.now
        for c, quota in enumerate(quotas):
            part = quota / n / 1e6
            self.quota[c] = min(max(1.0, part * QUOTA_US), self.quota[c] + part * passed)
        if client >= len(quotas) or self.quota[client] < 1.0:
            return client >= len(quotas)
        self.quota[client] -= 1.0
        return True

    def _stood(self, event):
        held = self.calls.get(event.call)
        mine = held is not None and held.out == event.seizure
        if not (mine and held.onward):
            self._answered(event)
        if mine:
            held.stood = True

    def _onward(self, event):
        """The server has carried the call on, so what comes later is told of those beyond it. Guards against
        taking their waits and refusals, at every hop of a chain, for the next server's own."""
        held = self.calls.get(event.call)
        if held is not None and held.out == event.seizure and not held.onward:
            held.onward = True
            self._answered(event)

    def _answered(self, event):
        s = event.server
        sent = self.out[s].pop(event.call, None)
        self.least[s] = min(self.least[s], event.lag_us)
        self.lag[s] = event.lag_us
        self.loss[s] -= self.loss[s] * LOSS_PART
        self.faults[s] = max(FAULT_ODDS, self.faults[s] * (1 - FAULT_PART))
        if sent:  # what was sent before it and has no answer was lost on the way: it tells no wait
            for call in [call for call, at in self.out[s].items() if at < sent]:
                del self.out[s][call]
                self.loss[s] += (1 - self.loss[s]) * LOSS_PART
            self._observe(s, event.lag_us - self.least[s], sent)
        self._outcome(s, False)
        self.silent[s] = 0

    def _ended(self, event):
        s, held = event.server, self.calls.get(event.call)
        beyond = event.beyond or held is not None and held.out == event.seizure and held.onward
        beyond = beyond and event.outcome in REFUSED
        outcome = io.BUSY if beyond else event.outcome  # it answered: what lies behind it is not its fault
        sent = self.out[s].pop(event.call, None)
        if event.report:
            self._report(s, event.report)
        late = outcome in (io.TIMED_OUT, io.CANCELLED)  # cancelled only when its caller gives up
        alone = outcome == io.RESET and sent is None and self.now > self.cut_at[s] + CUTS_US
        if alone:  # a call that stood was cut, with no other: go elsewhere where there is room, no more
            self.cut_at[s], self.skip_until[s] = self.now, self.now + SKIP_US
        elif late and sent and event.lag_us >= self.limit and not self.held_up or outcome in LOST:
            self._outcome(s, True)  # late but overtaken, it was held against the share lost already
        if late and sent and self.wait_at[s] > sent:
            self.loss[s] += (1 - self.loss[s]) * LOSS_PART
        elif late and sent and event.lag_us > self._wait(s) and self.loss[s] < LOSSY:
            self._observe(s, event.lag_us, sent)
        if outcome in (io.FULL, io.BUSY, io.FAULTY):
            self.silent[s] = 0
        if outcome == io.FAULTY:  # it may be the call's own, and was answered
            self._outcome(s, True, self.faults[s])
            self.faults[s] += (1 - self.faults[s]) * FAULT_PART
        if outcome == io.FULL:
            self._observe(s, max(self._wait(s), event.wait_us, 2 * self.limit), self.now)
        if outcome == io.EMPTY:
            self.empty_until[s] = self.now + SKIP_US
        if outcome == io.FULL or outcome == io.TIMED_OUT and sent and self.wait_at[s] <= sent:
            self.skip_until[s] = self.now + SKIP_US  # unless a later one was answered: it was lost alone
        if held is None or held.out != event.seizure:
            return
        if event.final:
            del self.calls[event.call]
            return
        held.out, held.stood, held.onward, held.failed_at = -1, False, False, s
        held.lack = outcome in (io.FULL, io.EMPTY)
        if outcome in (io.TIMED_OUT, io.RESET, io.CANCELLED):
            held.release = self.now + self.settings["release_us"]
        held.want = "again"
        if outcome in (io.COMPLETED, io.BUSY):
            held.fail(io.Reason.SERVER_REFUSED)
        if beyond and event.outcome in (io.FULL, io.EMPTY):  # harmless to try again, but not from here
            held.reject(io.Reason.FULL_BEYOND)
        self.touched.append(held)

    def _word(self, event):
        """What others lost there adds to the own test until an own answer comes. Guards against each learning
        of a dead server by itself; harms by slander, which never shuts the last way (`_route`)."""
        self._grow(event.server)
        self.word[event.server] = min(SCORE_MOST, event.odds)

    def _right(self, event):
        held = self.calls.get(event.call)
        if held and held.right == ASKED:
            held.right, held.resume = event.until_us, held.resume if event.until_us else self.now
            self.touched.append(held)

    def _left(self, event):
        held = self.calls.pop(event.call, None)
        if held:
            self._remember(held)

    def _remember(self, held):
        """Keeps the key of a call given back, so that a redial without a flag is known for what it is. Else
        redials come as first set-ups, widen the budget and take the place of calls still in time. Harms a
        second caller of the same number within the guard time."""
        if held.key and held.key not in self.given_up:
            self.given_up[held.key] = held.came
            guard = self.settings["type_guard_us"][held.kind]
            self.given_up_at.append((held.came + guard, held.key))

    # ---- the retry budget (the design's) ----

    def _roll(self, s):
        """Empty the slots of server s that have left the window."""
        slot = self.now // SLOT_US
        for passed in range(min(SLOTS, slot - self.slot[s])):
            at = (slot - passed) % SLOTS
            self.firsts[s][at] = self.retries[s][at] = 0
        self.slot[s] = slot
        return slot % SLOTS

    def _grant(self, s):
        """One more retry to server s: within the larger of the floor and the share of first set-ups."""
        at = self._roll(s)
        if sum(self.retries[s]) + 1 > max(RETRY_FLOOR, RETRY_SHARE * sum(self.firsts[s])):
            return False
        self.retries[s][at] += 1
        return True

    # ---- routing and admission ----

    def _wait(self, s):
        """The wait that a new set-up would meet: the last one seen, aged, and at least the age of the oldest
        one out that went after the one that met it; what went before and has no answer is lost."""
        if self.score[s] >= FAILED_AT and self._trial_due(s):
            return 0
        since = [at for at in self.out[s].values() if at > self.wait_at[s]]
        lost = int(self.loss[s] * len(since) + 1 - LOSSY)
        oldest = since[lost] if lost < len(since) else self.now
        return max(0, self.wait[s] - int((self.now - self.wait_at[s]) * DRAIN_RATE), self.now - oldest)

    def _trial_due(self, s):
        """Whether one set-up may try a server that has answered none since the last: ever later, the more it
        was sent in vain. Guards against taking lost set-ups for a queue, and so idling a sound server; harms
        the calls tried on a hung one. A server that is merely slow gets twice its last lag to answer."""
        tried = self.silent[s]
        if not tried and self.score[s] < FAILED_AT:
            return False
        gap = max(2 * self.lag[s], self.trial << 2 * max(0, min(tried, TRIALS_MOST) - 1))
        return self.now >= self.sent_at[s] + gap

    def _cold(self, s):
        return self.started[s] > 0 and self.now < self.started[s] + self.settings["warm_up_us"]

    def _pace(self, s):
        """Set-ups a second that all proxies together may send to cold server s: what its pool took while it
        was warm, or the least that any pool took where it has not been seen, times the warmth that is sure.
        Where the cold one itself has told what it can take, that."""
        if self.rate[s]:
            return self.rate[s]
        start = self.settings["start_capacity"]
        warmth = start + (1 - start) * (self.now - self.started[s]) / self.settings["warm_up_us"]
        known = self.inflow.get(self.pool[s]) or min(self.inflow.values(), default=0.0)
        return max(known, 1e6 / self.settings["fall_us"]) * warmth

    def _open(self, s):
        """The part of the calls wanting server s that may go there: what its lines allow, and what holds the
        wait at its processor. That is the part found so far, learned from waits above and below, and at once
        less or more by the wait now. Guards against any lack of capacity."""
        most, over = PRESS_AT * self.limit, self._wait(s) - PRESS_AT * self.limit
        over /= max(1, PRESS_SPAN * self.limit if over > 0 else most)
        passed, self.open_at[s] = min(SLOT_US, self.now - self.open_at[s]), self.now
        self.open[s] = min(1.0, max(PART_LEAST, self.open[s] * (1 - min(1.0, over) * LEARN * passed / 1e6)))
        return min(1.0, self.part[s], self.open[s] * max(0.0, 1 - over))

    def _admits(self, s, held):
        """Whether a set-up may go to server s, asked once for each that would. A cold server gets an equal
        part of its pace from each proxy. Credit below one is kept by chance, and a draw uses it up: so the
        sum over all proxies keeps to the pace whether there are five or five hundred, and whether they come
        apart or all at once. Harms by leaving part of the pace unused where calls are few."""
        part = self._open(s)
        if part < 1 and self._chance() >= part * held.revenue / max(self.mean_revenue, 1e-9):
            return False
        if not self._cold(s):
            return True
        part = self._pace(s) / max(1, self.settings["instances"]) / 1e6
        kept = min(self.now - self.credit_at[s], COLD_KEPT * self.settings["fall_us"])
        self.credit[s] = min(self.credit[s] + part * kept, part * COLD_KEPT * self.settings["fall_us"])
        self.credit_at[s] = self.now
        admitted = self._chance() < self.credit[s]
        self.credit[s] = max(0.0, self.credit[s] - 1.0)
        return admitted

    def _has_room(self, s):
        """Whether the guards let a set-up go to server s now; press and pace apart."""
        return self.score[s] + self.word[s] < FAILED_AT or self.word[s] < FAILED_AT and self._trial_due(s)

    def _in_turn(self, pool):
        """The servers of a pool, first the one that is owed most of this proxy's calls, each call that is out
        there counted as one too many. Every proxy deals its own calls, from a place drawn at the start: few
        as they are, the sum over all is more even than drawing, and no figure is shared that all could run
        after. Guards against herds and servers left idle; harms nothing where pools have one server."""
        servers = self.by_pool.get(pool, ())
        if len(servers) < 2:
            return servers
        # A cold one is asked for each call and has no turns: its pace lets few go, so rarely met it idles.
        owed = {s: self.turn[s] - len(self.out[s]) / self._fair(s) for s in servers}
        return sorted(servers, key=lambda s: (not self._cold(s), -owed[s]))

    def _pass_turn(self, s, fit):
        """Server s has had its turn, whether the guards let the call go there or not: what is not taken is
        not owed, or a server that is back would be owed calls by all proxies at once."""
        pool = [o for o in fit if self.pool[o] == self.pool[s] and not self._cold(o)]
        if len(pool) < 2 or self._cold(s):
            return
        fair = [self._fair(o) for o in pool]
        for o, part in zip(pool, fair, strict=True):
            self.turn[o] = min(TURN_MOST, self.turn[o] + part / sum(fair))
        self.turn[s] = max(-TURN_MOST, self.turn[s] - 1)

    def _route(self, held, avoid=-1):
        """First choice unless skipped, told empty or barred by a guard, else the others in turn, else a
        skipped one, for the others may have no room; -1: none."""
        pools = self.settings["type_pools"]
        allowed = pools[held.kind] if held.kind < len(pools) else list(self.by_pool)
        start = int(self._chance() * len(allowed))  # or all that leave one pool would come to the next
        turn = sorted(allowed[start:] + allowed[:start], key=lambda p: p != held.pool)
        servers = [s for p in turn for s in self._in_turn(p)]
        open_ = [s for s in servers if self._has_room(s)] or [s for s in servers if self.score[s] < FAILED_AT]
        lined = [s for s in open_ if s != avoid and self.empty_until[s] <= self.now and self.free[s] != 0]
        fit = [s for s in lined if self.skip_until[s] <= self.now]
        fit.sort(key=self._faulty)
        left = -1  # pool that this call has left
        for s in fit + [s for s in lined if s not in fit] or open_:
            if self.pool[s] == left:
                continue
            admitted = self._admits(s, held)
            if s in fit:
                self._pass_turn(s, fit)
            if admitted:
                return s
            if self._leaves(s):
                left = self.pool[s]
        return -1

    def _leaves(self, s):
        """Whether a call that server s has no room for leaves its pool, drawn by the part of the pool that is
        pressed. Guards against a herd inside it: all proxies hear of a wait at one time, and would all go to
        the server last told idle, then to the next. Harms a call that another one there had room for."""
        pool = self.by_pool.get(self.pool[s], ())
        if len(pool) < 2 or self._cold(s):
            return False
        return self._chance() >= sum(self._open(o) for o in pool) / len(pool)

    def _faulty(self, s):
        """Whether server s comes after the others for this call: drawn by its share of faults over what
        callers may cause. Guards against errors that come fast and draw all traffic; harms nothing where the
        others have no room, since it is tried after them."""
        over = (self.faults[s] - FAULT_ODDS) / (1 - FAULT_ODDS)
        return over > 0 and self._chance() < over

    def _plan(self, held):
        """Sets the wanted state of a call that something has happened to."""
        if held.want in ("reject", "fail"):
            return
        if held.stood:
            held.want = "keep"
        elif self.now >= held.last:
            held.fail(io.Reason.TIME_IS_UP)
        elif held.out >= 0:
            held.want = "keep"
        elif held.want == "new":
            late = not held.first and self.now < self.turned_until
            s = -1 if late else self._route(held)
            if late:
                held.reject(io.Reason.LATE_REDIAL)
            elif s < 0:
                self._turn_away(held, io.Reason.NO_ROOM)
            else:
                if not held.redial:
                    self.firsts[s][self._roll(s)] += 1
                held.want, held.arg = "seize", s
                self._reserve(held, s)
        elif held.want == "again":
            s = self._route(held, held.failed_at)
            reason = self._no_retry(held, s)
            if reason:
                self._turn_away(held, reason)
                return
            most = min(WAIT_MOST_US, WAIT_BASE_US << held.sent - 1)
            resume = max(self.now + int(self._chance() * most), held.release)
            if resume >= held.last:
                held.reject(io.Reason.RETRY_TOO_LATE)
            else:
                held.want, held.arg, held.resume = "wait", s, resume
                held.right = ASK if self.settings["fleet_rights"] else held.last
                self._alarm(resume, held)
        elif held.want == "wait" and self.now >= held.resume and held.right >= 0:
            s = held.arg
            if self.now > held.right:
                held.reject(io.Reason.NO_RIGHT)
            elif self.state[s] != io.SERVING or not self._has_room(s):
                held.reject(io.Reason.RETRY_BARRED)
            else:
                held.want = "seize"
                self._reserve(held, s)

    def _no_retry(self, held, s):
        """Why a failed call gets no other attempt at server s; where it gets one, the retry is counted."""
        if held.sent >= min(SEIZURES, self.settings["seizures_max"]):
            return io.Reason.MOST_ATTEMPTS
        if s < 0:
            return io.Reason.NO_OTHER_ROOM
        return io.Reason.UNSAID if self._grant(s) else io.Reason.BUDGET_SPENT

    def _turn_away(self, held, reason):
        held.reject(reason)
        if held.lack and held.first and held.revenue >= self.settings["type_revenue"][held.kind]:
            self.turned_until = self.now + int(TURNED_PART * self.limit)

    def _reserve(self, held, s):
        self.out[s][held.call] = self.now
        self.silent[s] += 1
        self.sent_at[s] = self.now

    def _alarm(self, at, held):
        self.serial += 1
        heappush(self.alarms, (at, self.serial, held))

    # ---- the one place that acts ----

    def _emit(self):
        """Works out the difference between the wanted and the present state, and emits it."""
        actions = [io.Log(text) for text in self.notes] + [io.Follow()] * self.list_wanted
        for held in self.touched:
            if self.calls.get(held.call) is not held:
                continue
            if held.want == "seize" and held.out < 0:
                counted = not (held.sent or held.redial)
                actions.append(io.Seize(held.call, held.arg, held.last - self.now, counted))
                held.out, held.server, held.want = held.sent, held.arg, "keep"
                held.sent += 1
            elif held.want == "wait" and held.right == ASK:
                held.right = ASKED
                actions.append(io.Ask(held.call, held.arg, held.resume))
            elif held.want in ("reject", "fail"):
                if held.out >= 0 and self.settings["may_cancel"]:
                    actions.append(io.Cancel(held.call, held.out))
                if held.want == "fail":
                    actions.append(io.Fail(held.call, held.reason))
                else:
                    actions.append(io.Reject(held.call, self._comeback(), held.reason))
                del self.calls[held.call]
                self._remember(held)
        self.touched, self.notes, self.list_wanted = [], [], False
        if self.alarms and (self.armed <= self.now or self.alarms[0][0] < self.armed):
            self.armed = min(max(self.alarms[0][0], self.now + 1), self.now + BEAT_US)
            actions.append(io.SetTimer(self.armed, 0))
        return actions

    def _comeback(self):
        """When a caller should come back: the longest time that callers heed, spread over its second half."""
        told = self.settings["comeback_told"]
        return int(self.settings["comeback_max_us"] * (1 + self._chance()) / 2) if told else 0
