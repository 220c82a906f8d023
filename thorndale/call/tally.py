"""Counts of set-ups that this proxy sent to each central server, by second, for the log only.

One log line `set-ups` for every SPAN_S seconds with any set-up. It has a row for each server that received one or that
the proxy avoids: [server, trunk group, counts by second, share, why]. `share` is the server's learned share relative to
an equal share; `why` is empty if the server gets its full share.
"""

from thorndale.interface import SERVING
from thorndale.policy import FAILED_LOG_ODDS

SPAN_S = 10


class Tally:
    """`count_setup` counts a seizure; `take_finished_span` returns (first second, rows) once a span is over, else None.

    Seconds are those of the wall clock, and spans begin at its multiples of SPAN_S, so that they are the same at every
    proxy."""

    def __init__(self, names, groups):
        self.names, self.groups = names, groups
        self.span_start_s, self.counts = 0, {}

    def count_setup(self, wall_us, server):
        second = wall_us // 1_000_000
        if not self.counts:
            self.span_start_s = second // SPAN_S * SPAN_S
        offset_s = min(max(second - self.span_start_s, 0), SPAN_S - 1)  # clamped: the wall clock may step
        self.counts.setdefault(server, [0] * SPAN_S)[offset_s] += 1

    def take_finished_span(self, wall_us, now, module):
        if not self.counts or wall_us // 1_000_000 < self.span_start_s + SPAN_S:
            return None
        rows = []
        for server, name in enumerate(self.names):
            reason = reduced_share_reason(module, server, now)
            counts = self.counts.get(server)
            if counts or reason:
                share = round(module.weight[server], 3) if server < len(module.weight) else 1.0
                rows.append([name, self.groups[server], counts or [0] * SPAN_S, share, reason])
        self.counts = {}
        return self.span_start_s, rows


def reduced_share_reason(module, server, now):
    """Why a server gets less than its full share, from the module's current state; '' if it gets it."""
    if server >= len(module.state) or module.state[server] != SERVING:
        return "not serving"
    if module.failure_log_odds[server] >= FAILED_LOG_ODDS:
        return "failed"
    if module.empty_until[server] > now or module.free_lines[server] == 0:
        return "no line"
    if module.skip_until[server] > now:
        return "skipped"
    if module._is_cold(server):
        return "cold"
    if module.processor_fraction[server] < 1:
        return "busy"
    return "few lines" if module.line_fraction[server] < 1 else ""
