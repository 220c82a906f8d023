"""Measures stalls of the stand-ins' event loop, so that the auditor can separate their latency from a proxy's.

A message that arrives while the loop is busy is read and timestamped only afterwards. A timer with a period of a few
milliseconds bounds this error: a message read right after a gap between two wake-ups arrived after the gap began.
"""

from thorndale.net.clock import now_us

PERIOD_S = 0.005
STALL_US = 20_000  # a longer gap between two wake-ups counts as a stall


class LoopStallMonitor:
    """Calls `observe(ended_us, endpoint, "still", began_us as text)` for each stall and endpoint, until `stop()`."""

    def __init__(self, loop, endpoints, observe):
        self.loop, self.endpoints, self.observe = loop, endpoints, observe
        self.last_wake_us = now_us()
        self.timer = loop.call_later(PERIOD_S, self._wake)

    def _wake(self):
        now = now_us()
        if now - self.last_wake_us > STALL_US:
            for endpoint in self.endpoints:
                self.observe(now, endpoint, "still", str(self.last_wake_us).encode())
        self.last_wake_us = now
        self.timer = self.loop.call_later(PERIOD_S, self._wake)

    def stop(self):
        self.timer.cancel()
