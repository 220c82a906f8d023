"""Drives a heap of timers from the event loop with a single loop timer, set for the earliest one."""

from thorndale.net.clock import now_us

LATE_TIMER_TURNS = 3  # iterations of the loop in which the sockets are read before a late timer runs


class Alarm:
    """Calls `due(late_us)` when the next timer of `timers` is due; `due` runs the timers and then calls `arm`.

    After the process was stalled, the data in its sockets arrived before the timers that are due now. So a timer that
    is over `late_limit_us` late lets the loop read the sockets first: what lies unread is not a time-out."""

    def __init__(self, loop, timers, due, late_limit_us):
        self.loop, self.timers, self.due, self.late_limit_us = loop, timers, due, late_limit_us
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
        late_us = now_us() - self.at
        self._run(late_us, LATE_TIMER_TURNS if late_us > self.late_limit_us else 0)

    def _run(self, late_us, turns_left):
        if turns_left:
            self.handle = self.loop.call_soon(self._run, late_us, turns_left - 1)
            return
        self.handle = None
        self.due(late_us)

    def stop(self):
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
