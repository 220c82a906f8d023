"""Drives a heap of timers from the event loop with a single loop timer, set for the earliest one."""

from thorndale.net.clock import now_us


class Alarm:
    """Calls `due(late_us)` when the next timer of `timers` is due; `due` runs the timers and then calls `arm`."""

    def __init__(self, loop, timers, due):
        self.loop, self.timers, self.due = loop, timers, due
        self.handle, self.at = None, 0

    def arm(self):
        """Must be called after anything that may have set an earlier timer."""
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
