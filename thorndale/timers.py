"""One heap of timers in whole microseconds, for everything that is pure and must be told when time has passed.

An owner is any object with `due(now, name)`. Nothing here reads a clock: whoever has one asks `next_at` and calls
`run(now)`. Timers that fall due together run in the order in which they were set.
"""

from heapq import heapify, heappop, heappush

SWEEP_AT = 4096  # cancelled entries from which on the heap may be swept: fewer cost less than a sweep


class Timers:
    __slots__ = ("_heap", "_serial", "_dead")

    def __init__(self):
        self._heap, self._serial, self._dead = [], 0, 0

    def __len__(self):
        """Timers that are set."""
        return len(self._heap) - self._dead

    def set(self, at_us, owner, name):
        """A handle for `cancel`. `owner.due(now, name)` is called once now >= at_us."""
        self._serial += 1
        entry = [at_us, self._serial, owner, name]
        heappush(self._heap, entry)
        return entry

    def cancel(self, entry):
        """Takes a timer back; one that ran or was taken back already, or None, is passed over."""
        if entry is None or entry[2] is None:
            return
        entry[2] = None
        self._dead += 1
        if self._dead > SWEEP_AT and self._dead * 2 > len(self._heap):
            self._heap = [e for e in self._heap if e[2] is not None]
            heapify(self._heap)
            self._dead = 0

    def next_at(self):
        """When the next timer falls due, or None."""
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
            self._dead -= 1
        return heap[0][0] if heap else None

    def run(self, now, most=1 << 30):
        """Runs up to `most` timers that are due; those set meanwhile for the past run too. Gives their number."""
        heap, ran = self._heap, 0
        while heap and heap[0][0] <= now and ran < most:
            entry = heappop(heap)
            owner = entry[2]
            if owner is None:
                self._dead -= 1
                continue
            entry[2] = None
            owner.due(now, entry[3])
            ran += 1
            heap = self._heap  # a sweep may have put another in its place
        return ran
