"""Shared helpers of the decision module's tests: a plain map of settings, and a driver with a manual clock."""

from thorndale import interface as io
from thorndale.policy import Proxy

MS, S = 1_000, 1_000_000


def settings(**other):
    base = dict(tick_us=5 * MS, instances=4)
    base |= dict(type_target_us=[1200 * MS, 800 * MS], type_guard_us=[9 * S, 6 * S])
    base |= dict(type_hold_us=[10 * S, 10 * S])
    base |= dict(type_revenue=[1.0, 6.0], type_late_part=[0.25, 0.25], type_pools=[[0, 1], [0, 1]])
    base |= dict(type_repetition=[io.ALWAYS_REPEATABLE] * 2)
    base |= dict(client_quota=[], over_quota_part=1.0, release_us=500 * MS, resend_us=0, seizures_max=5)
    base |= dict(
        open_max=20000, may_cancel=True, comeback_told=True, comeback_max_us=2 * S, list_asked=False, fleet_rights=False
    )
    base |= dict(drain_grace_us=500 * MS, start_capacity=0.28, warm_up_us=14 * S, fall_multiple=2.0)
    return base | dict(fall_us=1500 * MS) | other


class ProxyDriver:
    """One decision module with a manual clock and one server in each pool: server n in pool n."""

    def __init__(self, servers=2, started=0, seed=7, **other):
        self.now, self.last_call, self.timers, self.server_of = 100 * S, 0, [], {}
        self.proxy = Proxy(seed, settings(**other))
        self.list_servers(*[io.Server(s, s, io.SERVING, started) for s in range(servers)], whole=True)

    def handle(self, *events):
        actions = self.proxy.handle(self.now, list(events))
        self.timers += [a for a in actions if type(a) is io.SetTimer]
        self.server_of |= {a.call: a.server for a in actions if type(a) is io.Seize}
        for a in [a for a in actions if type(a) is io.Cancel]:
            self.seizure_ended(a.call, self.server_of[a.call], io.CANCELLED, latency=3 * S, seizure=a.seizure)
        return [a for a in actions if type(a) not in (io.SetTimer, io.Log)]

    def list_servers(self, *entries, whole=False):
        return self.handle(io.Servers(entries, whole, False))

    def call(self, pool=0, call_type=0, key=0, answer_within=3 * S, redial=False, reattempt=False, client=0):
        self.last_call += 1
        return self.handle(io.Call(self.last_call, call_type, client, key, answer_within, pool, redial, reattempt))

    def advance(self, us):
        """Advances the clock and fires every timer that falls due; returns the actions meanwhile."""
        end, actions = self.now + us, []
        while due := [t for t in self.timers if t.at_us <= end]:
            first = min(due, key=lambda t: t.at_us)
            self.timers.remove(first)
            self.now = max(self.now, first.at_us)
            actions += self.handle(io.TimerFired(first.token))
        self.now = end
        return actions

    def answered(self, call, server, latency=60 * MS, seizure=0):
        return self.handle(io.Answered(call, seizure, server, latency))

    def seizure_ended(self, call, server, outcome, latency=60 * MS, seizure=0, final=False, wait=0, report=None):
        return self.handle(io.SeizureEnded(call, seizure, server, outcome, wait, latency, final, report))

    def warm(self, calls=20, server=0):
        """Calls half a second apart, each answered and ended at once."""
        for _ in range(calls):
            self.call(pool=server)
            self.answered(self.last_call, server)
            self.seizure_ended(self.last_call, server, io.COMPLETED, final=True)
            self.advance(500 * MS)
