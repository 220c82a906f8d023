"""A heap of timers in whole microseconds, for components that do no I/O and never read a clock.

An owner is any object with `due(now, name)`. The caller that owns a clock asks `next_at` and calls `run(now)`. Timers
that fall due together run in the order in which they were set.
"""

from heapq import heapify, heappop, heappush

PURGE_THRESHOLD = 4096  # cancelled entries below which purging the heap would cost more than it saves


class Timers:
    __slots__ = ("_heap", "_serial", "_cancelled")

    def __init__(self):
        self._heap, self._serial, self._cancelled = [], 0, 0

    def __len__(self):
        """The number of pending timers."""
        return len(self._heap) - self._cancelled

    def set(self, at_us, owner, name):
        """Returns a handle for `cancel`. `owner.due(now, name)` is called once now >= at_us."""
        self._serial += 1
        entry = [at_us, self._serial, owner, name]
        heappush(self._heap, entry)
        return entry

    def cancel(self, entry):
        """Cancels a timer. None and timers that have run or been cancelled are ignored."""
        if entry is None or entry[2] is None:
            return
        entry[2] = None
        self._cancelled += 1
        if self._cancelled > PURGE_THRESHOLD and self._cancelled * 2 > len(self._heap):
            self._heap = [e for e in self._heap if e[2] is not None]
            heapify(self._heap)
            self._cancelled = 0

    def next_at(self):
        """The time of the next timer, or None."""
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
            self._cancelled -= 1
        return heap[0][0] if heap else None

    def run(self, now, limit=1 << 30):
        """Runs at most `limit` due timers, including those set for the past meanwhile. Returns how many ran."""
        heap, count = self._heap, 0
        while heap and heap[0][0] <= now and count < limit:
            entry = heappop(heap)
            owner = entry[2]
            if owner is None:
                self._cancelled -= 1
                continue
            entry[2] = None
            owner.due(now, entry[3])
            count += 1
            heap = self._heap  # a purge in the callback replaces the list
        return count
