"""One timer on the loop for a heap of timers: set for the next that falls due, never later."""

from thorndale.net.clock import now_us


class Alarm:
    """`due(late_us)` is called when the next timer of `timers` has come; it runs them and calls `arm` in the end."""

    def __init__(self, loop, timers, due):
        self.loop, self.timers, self.due = loop, timers, due
        self.handle, self.at = None, 0

    def arm(self):
        """After whatever may have set an earlier timer."""
        at = self.timers.next_at()
        if at is None or (self.handle is not None and self.at <= at):
            return
        self.stop()
        self.at = at
        self.handle = self.loop.call_later(max(0.0, (at - now_us()) / 1e6), self._fire)

    def _fire(self):
        self.handle = None
        self.due(now_us() - self.at)

    def stop(self):
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
