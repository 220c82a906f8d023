"""A model of the processor of a central server without I/O: one work queue, in whole microseconds.

A set-up, an answer, a release and a rejection each cost work. Only set-ups are subject to the queue limit: one that
would wait longer than `queue_us` is rejected, which costs work too. A processor that has just started has a reduced
capacity that grows linearly; if it is overloaded before it is warm, it crashes and stays down.
"""

from collections import deque
from typing import NamedTuple


class Work(NamedTuple):
    """The cost in us of each kind of work on a warm processor without faults, and the limits of the processor."""

    setup_us: int = 8_000
    answer_us: int = 1_000
    release_us: int = 1_000
    reject_us: int = 700
    queue_us: int = 2_500_000
    cold_from: float = 0.35
    warm_us: int = 10_000_000
    fall_multiple: float = 2.0
    fall_us: int = 1_500_000


class Processor:
    def __init__(self, work, now, cold):
        self.work, self.started, self.cold = work, now, cold
        self.free_at, self.slowness = now, 1.0
        self.arrived, self.load, self.fallen = deque(), 0.0, False

    def warmth(self, now):
        """The available share of the full capacity, 0 to 1."""
        if not self.cold:
            return 1.0
        progress = min(1.0, (now - self.started) / self.work.warm_us)
        return self.work.cold_from + (1 - self.work.cold_from) * progress

    def wait(self, now):
        """The queueing delay in us of a new set-up."""
        return max(0, self.free_at - now)

    def _add_work(self, now, work_us):
        self.free_at = max(self.free_at, now) + int(work_us * self.slowness / self.warmth(now))
        return self.free_at

    def setup(self, now):
        """Adds a set-up; returns when it is done, or None if it is rejected. Too many on a cold processor crash it."""
        work = self.work
        if self.cold and not self.fallen and now < self.started + work.warm_us:
            self.arrived.append(now)
            while self.arrived[0] <= now - work.fall_us:
                self.arrived.popleft()
            offered_us = len(self.arrived) * work.setup_us
            limit_us = work.fall_multiple * self.warmth(now) * work.fall_us
            self.fallen = offered_us > limit_us + 3 * work.setup_us * max(1.0, (limit_us / work.setup_us) ** 0.5)
        if self.wait(now) > work.queue_us:
            self._add_work(now, work.reject_us)
            return None
        return self._add_work(now, work.setup_us)

    def answer(self, now):
        self._add_work(now, self.work.answer_us)

    def release(self, now):
        self._add_work(now, self.work.release_us)
