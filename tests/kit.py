"""Shared helpers: a plain map of settings, and a driver that moves one proxy's time by hand."""

from thorndale import interface as io
from thorndale.policy import Proxy

MS, S = 1_000, 1_000_000


def settings(**other):
    base = dict(tick_us=5 * MS, instances=4)
    base |= dict(type_target_us=[1200 * MS, 800 * MS], type_guard_us=[9 * S, 6 * S])
    base |= dict(type_hold_us=[10 * S, 10 * S])
    base |= dict(type_revenue=[1.0, 6.0], type_late_part=[0.25, 0.25], type_pools=[[0, 1], [0, 1]])
    base |= dict(client_quota=[], over_quota_part=1.0, release_us=500 * MS, resend_us=0, seizures_max=5)
    base |= dict(
        open_max=20000, may_cancel=True, comeback_told=True, comeback_max_us=2 * S, list_asked=False, fleet_rights=False
    )
    base |= dict(drain_grace_us=500 * MS, start_capacity=0.28, warm_up_us=14 * S, fall_multiple=2.0)
    return base | dict(fall_us=1500 * MS) | other


class Bench:
    """One proxy with servers 0.. in pools 0..; time is advanced by hand."""

    def __init__(self, servers=2, started=0, seed=7, **other):
        self.now, self.next, self.timers, self.at = 100 * S, 0, [], {}
        self.proxy = Proxy(seed, settings(**other))
        self.tell(*[io.Server(s, s, io.SERVING, started) for s in range(servers)], whole=True)

    def give(self, *events):
        actions = self.proxy.handle(self.now, list(events))
        self.timers += [a for a in actions if type(a) is io.SetTimer]
        self.at |= {a.call: a.server for a in actions if type(a) is io.Seize}
        for a in [a for a in actions if type(a) is io.Cancel]:
            self.ended(a.call, self.at[a.call], io.CANCELLED, lag=3 * S, seizure=a.seizure)
        return [a for a in actions if type(a) not in (io.SetTimer, io.Log)]

    def tell(self, *entries, whole=False):
        return self.give(io.Servers(entries, whole, False))

    def call(self, pool=0, kind=0, key=0, left=3 * S, redial=False, again=False, client=0):
        self.next += 1
        return self.give(io.Call(self.next, kind, client, key, left, pool, redial, again))

    def later(self, us):
        """Time passes, with every timer kept; returns all that was done meanwhile."""
        end, done = self.now + us, []
        while due := [t for t in self.timers if t.at_us <= end]:
            first = min(due, key=lambda t: t.at_us)
            self.timers.remove(first)
            self.now = max(self.now, first.at_us)
            done += self.give(io.Due(first.token))
        self.now = end
        return done

    def stood(self, call, server, lag=60 * MS, seizure=0):
        return self.give(io.Stood(call, seizure, server, lag))

    def ended(self, call, server, outcome, lag=60 * MS, seizure=0, final=False, wait=0, report=None):
        return self.give(io.Ended(call, seizure, server, outcome, wait, lag, final, report))

    def warm(self, calls=20, server=0):
        """Calls that stand at a server at once and end, half a second apart."""
        for _ in range(calls):
            self.call(pool=server)
            self.stood(self.next, server)
            self.ended(self.next, server, io.COMPLETED, final=True)
            self.later(500 * MS)
