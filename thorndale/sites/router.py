"""The sites before the module: which site each call is offered to.

How to call it: Sites(seed, settings, sites, module), `module` made from `plan.expand(settings, sites)`; then
handle(now_us, events) as the module's own, with the same events and actions. A call is offered to one site at a time,
under that site's number of its type; the module alone decides what becomes of it there. Only a call that the module
turns away without having sent it anywhere is offered to the next site, and only within that site's limit.

A call that stands stays where it is. What no site takes is answered at once with a drawn come-back time.
"""

from thorndale import interface as io
from thorndale.sites import health, plan, spill

LOST, UNANSWERED = (io.UNREACHABLE, io.RESET), (io.TIMED_OUT, io.CANCELLED)


class Offered:
    """A call that is owed an answer or stands. `sites`: those that it may still be offered to; `site`: where it is."""

    __slots__ = ("event", "origin", "last", "sites", "site", "sent", "stood")

    def __init__(self, event, origin, last, sites):
        self.event, self.origin, self.last, self.sites = event, origin, last, sites
        self.site, self.sent, self.stood = -1, False, False


class Sites:
    def __init__(self, seed, settings, sites, module):
        plan.check(settings, sites)
        self.settings, self.module, self.order = settings, module, sites["site_order"]
        self.seed = seed & (1 << 64) - 1
        self.number = len(sites["site_pools"])
        self.site_of = {pool: s for s, pools in enumerate(sites["site_pools"]) for pool in pools}
        self.health = [health.Site(self._chance) for _ in range(self.number)]
        self.spill = [spill.Spill(rate, self._chance) for rate in sites["site_outside"]]
        self.part = [spill.Part(settings["instances"]) for _ in range(self.number)]
        self.standing = [0] * self.number
        self.limit = min(settings["type_target_us"])
        self.servers, self.calls = {}, {}  # server: (pool, state, started); call: Offered
        self.notes = []

    @property
    def state(self):
        """The module's states of servers, as its hosts read them."""
        return self.module.state

    def _chance(self):
        """A linear congruential generator; its high bits as a share from 0 to 1."""
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.seed >> 40) / (1 << 24)

    def handle(self, now, events):
        passed, actions = [], []
        for event in events:
            kind = type(event)
            if kind is io.Call:
                self._call(now, event, passed, actions)
                continue
            if kind is io.Answered:
                self._stood(now, event)
            elif kind is io.SeizureEnded:
                self._ended(now, event)
            elif kind is io.CallerAbandoned:
                self._left(event)
            elif kind is io.Servers:
                self._servers(now, event)
            elif kind is io.ServerReport:
                self._report(event.server, event.report)
            passed.append(event)
        actions += self._offer(now, passed)
        notes, self.notes = self.notes, []
        return [io.Log(text) for text in notes] + actions

    # ---- what is known ----

    def _servers(self, now, event):
        before = [site.state for site in self.health]
        known, anew = {} if event.whole else self.servers, set()
        for entry in event.entries:
            was = self.servers.get(entry.server)
            known[entry.server] = now_ = entry.pool, entry.state, entry.started_us
            if entry.state != io.SERVING:
                for part in self.part:
                    part.used.pop(entry.server, None)
            elif was != now_:
                anew.add(entry.server)
        self.servers = known
        for s, site in enumerate(self.health):
            serving = [
                n for n, (pool, state, _) in known.items() if state == io.SERVING and self.site_of.get(pool) == s
            ]
            site.listed(now, serving, anew.intersection(serving))
        self._note(before)

    def _report(self, server, report):
        if report is None or report.free is None or report.lines is None or server not in self.servers:
            return
        site = self.site_of.get(self.servers[server][0])
        if site is not None:
            self.part[site].told(server, max(0.0, report.lines - report.free))

    def _site(self, server):
        found = self.servers.get(server)
        return None if found is None else self.site_of.get(found[0])

    def _stood(self, now, event):
        site, offered = self._site(event.server), self.calls.get(event.call)
        if site is None:
            return
        self._judge(now, site, self.health[site].answered, event.server)
        if offered is not None and not offered.stood:
            offered.stood, offered.site = True, site
            self.standing[site] += 1

    def _ended(self, now, event):
        site, offered = self._site(event.server), self.calls.get(event.call)
        stood = offered is not None and offered.stood
        if stood:
            self.standing[offered.site] -= 1
        if site is not None:
            self._report(event.server, event.report)
            if event.outcome in LOST:
                self._judge(now, site, self.health[site].lost, event.server, health.CUT_PART if stood else 1.0)
            elif event.outcome in UNANSWERED and event.latency_us >= self.limit:
                self._judge(now, site, self.health[site].unanswered, event.server, event.latency_us)
            elif event.outcome in (io.BUSY, io.FULL, io.EMPTY, io.FAULTY):
                self._judge(now, site, self.health[site].answered, event.server)
        if event.final:
            self.calls.pop(event.call, None)

    def _judge(self, now, site, told, *values):
        before = [s.state for s in self.health]
        told(now, *values)
        self._note(before)
        if self.health[site].state == health.UP:
            self.part[site].observe(now, self.standing[site])

    def _note(self, before):
        for s, (was, site) in enumerate(zip(before, self.health, strict=True)):
            if was != site.state:
                self.notes.append(f"site {s}: {('up', 'dark', 'on trial')[site.state]}")

    def _left(self, event):
        offered = self.calls.get(event.call)
        if offered is not None and not offered.stood:
            del self.calls[event.call]

    # ---- where a call is offered ----

    def _call(self, now, event, passed, actions):
        order = self.order[event.call_type]
        origin = self.site_of.get(event.pool, -1)
        origin = origin if origin >= 0 else int(self._chance() * self.number)
        self.calls[event.call] = offered = Offered(event, origin, now + event.answer_within_us, list(order[origin]))
        if not self._next(now, offered, passed):
            actions.append(self._turn_away(offered))

    def _next(self, now, offered, passed):
        """Offers a call to the next site that takes it; False where none does."""
        event = offered.event
        first = offered.site < 0
        while offered.sites:
            site = offered.sites.pop(0)
            before = [s.state for s in self.health]
            takes = self.health[site].takes(now)
            self._note(before)
            if not takes:
                continue
            if site != offered.origin and not self.spill[site].takes(
                now, self._part(offered.origin), self._revenue(event)
            ):
                continue
            offered.site = site
            passed.append(
                event._replace(
                    call_type=plan.index(event.call_type, site, self.number),
                    answer_within_us=max(1, offered.last - now),
                    pool=event.pool if self.site_of.get(event.pool) == site else -1,
                    key=event.key if first else 0,
                )
            )  # or the module would take its own rejection for the caller's redial
            return True
        return False

    def _part(self, origin):
        return self.part[origin].value

    def _revenue(self, event):
        revenue = self.settings["type_revenue"][event.call_type]
        return revenue * self.settings["type_late_part"][event.call_type] if event.redial else revenue

    def _turn_away(self, offered):
        del self.calls[offered.event.call]
        comeback = self.settings["comeback_max_us"] if self.settings["comeback_told"] else 0
        return io.Reject(offered.event.call, int(comeback * (1 + self._chance()) / 2), io.Reason.NO_SITE)

    def _offer(self, now, events):
        """Hands the events to the module; what it turns away unsent goes to the next site in the same moment."""
        done = []
        while True:
            again = []
            for action in self.module.handle(now, events):
                kind = type(action)
                if kind is io.Seize:
                    offered = self.calls[action.call]
                    if not offered.sent and offered.site == offered.origin and not offered.event.redial:
                        self.spill[offered.site].own(False)
                    offered.sent = True
                elif kind is io.Reject:
                    offered = self.calls[action.call]
                    if not offered.sent:
                        self.health[offered.site].unsent()
                        if offered.site == offered.origin and not offered.event.redial:
                            self.spill[offered.site].own(True)
                        if self._next(now, offered, again):
                            continue
                    del self.calls[action.call]
                elif kind is io.Fail:
                    del self.calls[action.call]
                done.append(action)
            if not again:
                return done
            events = again
