"""What this proxy sent to each central server, by second, and why it is that much: for the log, decides nothing.

One log line `set-ups` every SPAN_S seconds in which there were any, with a row for each server that got one or that
the proxy goes round: [server, trunk group, counts by second, share, why]. `share` is the server's learned part beside
an equal one; `why` is empty where the server takes its turns.
"""

from thorndale.interface import SERVING
from thorndale.policy import FAILED_LOG_ODDS

SPAN_S = 10


class Tally:
    """`sent(wall_us, server)` for each seizure; `due(wall_us)` gives (first second, rows) once a span is over, else
    None. Seconds are the wall clock's, and spans begin at its multiples of SPAN_S, the same at every proxy."""

    def __init__(self, names, groups):
        self.names, self.groups = names, groups
        self.first, self.counts = 0, {}

    def sent(self, wall_us, server):
        second = wall_us // 1_000_000
        if not self.counts:
            self.first = second // SPAN_S * SPAN_S
        at = min(max(second - self.first, 0), SPAN_S - 1)  # a clock that stepped: at the nearer end
        self.counts.setdefault(server, [0] * SPAN_S)[at] += 1

    def due(self, wall_us, now, module):
        if not self.counts or wall_us // 1_000_000 < self.first + SPAN_S:
            return None
        rows = []
        for server, name in enumerate(self.names):
            why = reason(module, server, now)
            counts = self.counts.get(server)
            if counts or why:
                share = round(module.weight[server], 3) if server < len(module.weight) else 1.0
                rows.append([name, self.groups[server], counts or [0] * SPAN_S, share, why])
        self.counts = {}
        return self.first, rows


def reason(module, server, now):
    """Why a server gets less than its turns, as the module has it now."""
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
