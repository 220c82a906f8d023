"""The processor of a central server, as a pure model: one line of work, in whole microseconds.

A set-up, an answer, a release and a rejection each cost work. Releases and answers go ahead of set-ups. A set-up
that would wait longer than `queue_us` is turned away, which costs work too. A processor that has just started does
only a part of its work, growing evenly; sent too much meanwhile it falls over and stays down.
"""

from collections import deque
from typing import NamedTuple


class Work(NamedTuple):
    """Work in us on a warm, sound processor, and the other figures of a processor's kind."""

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
        """The part of its work that it can do, 0 to 1."""
        if not self.cold:
            return 1.0
        part = min(1.0, (now - self.started) / self.work.warm_us)
        return self.work.cold_from + (1 - self.work.cold_from) * part

    def wait(self, now):
        """us that a new set-up would wait."""
        return max(0, self.free_at - now)

    def _do(self, now, work_us):
        self.free_at = max(self.free_at, now) + int(work_us * self.slowness / self.warmth(now))
        return self.free_at

    def setup(self, now):
        """When this set-up is done, or None: turned away. Counts towards falling over."""
        work = self.work
        if self.cold and not self.fallen and now < self.started + work.warm_us:
            self.arrived.append(now)
            while self.arrived[0] <= now - work.fall_us:
                self.arrived.popleft()
            sent = len(self.arrived) * work.setup_us
            most = work.fall_multiple * self.warmth(now) * work.fall_us
            self.fallen = sent > most + 3 * work.setup_us * max(1.0, (most / work.setup_us) ** 0.5)
        if self.wait(now) > work.queue_us:
            self._do(now, work.reject_us)
            return None
        return self._do(now, work.setup_us)

    def answer(self, now):
        self._do(now, self.work.answer_us)

    def release(self, now):
        self._do(now, self.work.release_us)
