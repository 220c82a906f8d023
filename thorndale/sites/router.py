"""Routes each call to a site, ahead of the decision module.

Usage: SiteRouter(seed, settings, sites, module), with `module` made from the settings expanded for the sites; then
handle(now_us, events), with the same events and actions as the module's own. A call is offered to one site at a time,
under the number that its call type has at that site; the module alone decides what happens to it there. Only a call
that the module turns away without having sent it to a server is offered to the next site, and only within that site's
limit.

An answered call stays where it is. A call that no site accepts is rejected at once with a random come-back time.
"""

from thorndale import interface as io
from thorndale.sites import health, overflow, topology

LOST, UNANSWERED = (io.UNREACHABLE, io.RESET), (io.TIMED_OUT, io.CANCELLED)


class OfferedCall:
    """A call that is owed a final answer or is established. `candidates`: the sites that it may still be offered to;
    `site`: where it is now; `answer_due_at`: when the caller's time is up."""

    __slots__ = ("event", "origin", "answer_due_at", "candidates", "site", "sent", "established")

    def __init__(self, event, origin, answer_due_at, candidates):
        self.event, self.origin, self.answer_due_at, self.candidates = event, origin, answer_due_at, candidates
        self.site, self.sent, self.established = -1, False, False


class SiteRouter:
    def __init__(self, seed, settings, sites, module):
        topology.check_sites(settings, sites)
        self.settings, self.module, self.site_order = settings, module, sites["site_order"]
        self.random_state = seed & (1 << 64) - 1
        self.site_count = len(sites["site_pools"])
        self.site_of_pool = {pool: s for s, pools in enumerate(sites["site_pools"]) for pool in pools}
        self.health = [health.SiteHealth(self._random) for _ in range(self.site_count)]
        self.overflow_limits = [overflow.OverflowLimit(rate, self._random) for rate in sites["site_outside"]]
        self.fleet_shares = [overflow.FleetShare(settings["instances"]) for _ in range(self.site_count)]
        self.established = [0] * self.site_count
        self.timeout_us = min(settings["type_target_us"])  # an unanswered seizure counts against its site from here
        self.servers, self.calls = {}, {}  # server: (pool, state, started); call: OfferedCall
        self.notes = []

    @property
    def state(self):
        """The module's server states, which its hosts read."""
        return self.module.state

    def _random(self):
        """A linear congruential generator; its high bits as a number from 0 to 1."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.random_state >> 40) / (1 << 24)

    def handle(self, now, events):
        for_module, actions = [], []
        for event in events:
            kind = type(event)
            if kind is io.Call:
                self._on_call(now, event, for_module, actions)
                continue
            if kind is io.Answered:
                self._on_answered(now, event)
            elif kind is io.SeizureEnded:
                self._on_ended(now, event)
            elif kind is io.CallerAbandoned:
                self._on_abandoned(event)
            elif kind is io.Servers:
                self._on_servers(now, event)
            elif kind is io.ServerReport:
                self._on_report(event.server, event.report)
            for_module.append(event)
        actions += self._run_module(now, for_module)
        notes, self.notes = self.notes, []
        return [io.Log(text) for text in notes] + actions

    # ---- state of the sites ----

    def _on_servers(self, now, event):
        states_before = [site.state for site in self.health]
        listed, restarted = {} if event.whole else self.servers, set()
        for entry in event.entries:
            previous = self.servers.get(entry.server)
            listed[entry.server] = current = entry.pool, entry.state, entry.started_us
            if entry.state != io.SERVING:
                for share in self.fleet_shares:
                    share.lines_in_use.pop(entry.server, None)
            elif previous != current:
                restarted.add(entry.server)
        self.servers = listed
        for s, site in enumerate(self.health):
            serving = [
                n for n, (pool, state, _) in listed.items() if state == io.SERVING and self.site_of_pool.get(pool) == s
            ]
            site.update_servers(now, serving, restarted.intersection(serving))
        self._log_changes(states_before)

    def _on_report(self, server, report):
        if report is None or report.free is None or report.lines is None or server not in self.servers:
            return
        site = self.site_of_pool.get(self.servers[server][0])
        if site is not None:
            self.fleet_shares[site].report_lines(server, max(0.0, report.lines - report.free))

    def _site_of_server(self, server):
        entry = self.servers.get(server)
        return None if entry is None else self.site_of_pool.get(entry[0])

    def _on_answered(self, now, event):
        site, offered = self._site_of_server(event.server), self.calls.get(event.call)
        if site is None:
            return
        self._update_health(now, site, self.health[site].record_answer, event.server)
        if offered is not None and not offered.established:
            offered.established, offered.site = True, site
            self.established[site] += 1

    def _on_ended(self, now, event):
        site, offered = self._site_of_server(event.server), self.calls.get(event.call)
        was_established = offered is not None and offered.established
        if was_established:
            self.established[offered.site] -= 1
        if site is not None:
            self._on_report(event.server, event.report)
            if event.outcome in LOST:
                self._update_health(
                    now,
                    site,
                    self.health[site].record_loss,
                    event.server,
                    health.CUT_CALL_WEIGHT if was_established else 1.0,
                )
            elif event.outcome in UNANSWERED and event.latency_us >= self.timeout_us:
                self._update_health(now, site, self.health[site].record_timeout, event.server, event.latency_us)
            elif event.outcome in (io.BUSY, io.FULL, io.EMPTY, io.FAULTY):
                self._update_health(now, site, self.health[site].record_answer, event.server)
        if event.final:
            self.calls.pop(event.call, None)

    def _update_health(self, now, site, record, *values):
        states_before = [s.state for s in self.health]
        record(now, *values)
        self._log_changes(states_before)
        if self.health[site].state == health.UP:
            self.fleet_shares[site].update(now, self.established[site])

    def _log_changes(self, states_before):
        for s, (previous, site) in enumerate(zip(states_before, self.health, strict=True)):
            if previous != site.state:
                self.notes.append(f"site {s}: {('up', 'dark', 'on trial')[site.state]}")

    def _on_abandoned(self, event):
        offered = self.calls.get(event.call)
        if offered is not None and not offered.established:
            del self.calls[event.call]

    # ---- where a call is offered ----

    def _on_call(self, now, event, for_module, actions):
        order = self.site_order[event.call_type]
        origin = self.site_of_pool.get(event.pool, -1)
        origin = origin if origin >= 0 else int(self._random() * self.site_count)
        self.calls[event.call] = offered = OfferedCall(event, origin, now + event.answer_within_us, list(order[origin]))
        if not self._offer_next(now, offered, for_module):
            actions.append(self._reject(offered))

    def _offer_next(self, now, offered, for_module):
        """Offers a call to the next site that admits it; False if none does."""
        event = offered.event
        first = offered.site < 0
        while offered.candidates:
            site = offered.candidates.pop(0)
            states_before = [s.state for s in self.health]
            admitted = self.health[site].admit(now)
            self._log_changes(states_before)
            if not admitted:
                continue
            if site != offered.origin and not self.overflow_limits[site].admit(
                now, self._fleet_share(offered.origin), self._revenue(event)
            ):
                continue
            offered.site = site
            for_module.append(
                event._replace(
                    call_type=topology.type_at_site(event.call_type, site, self.site_count),
                    answer_within_us=max(1, offered.answer_due_at - now),
                    pool=event.pool if self.site_of_pool.get(event.pool) == site else -1,
                    key=event.key if first else 0,  # or the module would take its own rejection for a caller's redial
                )
            )
            return True
        return False

    def _fleet_share(self, origin):
        return self.fleet_shares[origin].value

    def _revenue(self, event):
        revenue = self.settings["type_revenue"][event.call_type]
        return revenue * self.settings["type_late_part"][event.call_type] if event.redial else revenue

    def _reject(self, offered):
        del self.calls[offered.event.call]
        comeback = self.settings["comeback_max_us"] if self.settings["comeback_told"] else 0
        return io.Reject(offered.event.call, int(comeback * (1 + self._random()) / 2), io.Reason.NO_SITE)

    def _run_module(self, now, events):
        """Passes the events to the module; a call that it rejects unsent goes to the next site at the same moment."""
        actions = []
        while True:
            next_offers = []
            for action in self.module.handle(now, events):
                kind = type(action)
                if kind is io.Seize:
                    offered = self.calls[action.call]
                    if not offered.sent and offered.site == offered.origin and not offered.event.redial:
                        self.overflow_limits[offered.site].record_own_call(False)
                    offered.sent = True
                elif kind is io.Reject:
                    offered = self.calls[action.call]
                    if not offered.sent:
                        self.health[offered.site].return_grant()
                        if offered.site == offered.origin and not offered.event.redial:
                            self.overflow_limits[offered.site].record_own_call(True)
                        if self._offer_next(now, offered, next_offers):
                            continue
                    del self.calls[action.call]
                elif kind is io.Fail:
                    del self.calls[action.call]
                actions.append(action)
            if not next_offers:
                return actions
            events = next_offers
