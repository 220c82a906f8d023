"""Measures how long the loop of the stand-ins stood still, so that the auditor can tell their lateness from a proxy's.

What lies in a socket while the loop is busy is read, and noted with its time, only when the loop comes to it. A timer
that should wake every few milliseconds bounds by how much: what was read during a gap came after the gap had begun.
"""

from thorndale.net.clock import now_us

PERIOD_S = 0.005  # seconds between two wakings
GAP_US = 20_000  # us between two wakings from which the loop counts as having stood still


class Pulse:
    """`saw(ended_us, place, "still", began_us as text)` for each gap and each of `places`, until `stop()`."""

    def __init__(self, loop, places, saw):
        self.loop, self.places, self.saw = loop, places, saw
        self.last = now_us()
        self.timer = loop.call_later(PERIOD_S, self._wake)

    def _wake(self):
        now = now_us()
        if now - self.last > GAP_US:
            for place in self.places:
                self.saw(now, place, "still", str(self.last).encode())
        self.last = now
        self.timer = self.loop.call_later(PERIOD_S, self._wake)

    def stop(self):
        self.timer.cancel()
