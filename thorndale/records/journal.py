"""The journal of one proxy's records without its disk: decides what is written when.

Frames wait in a queue. `next_operations(now)` returns the operations to start now, at most one write and one sync at a
time; `done(now, op, error)` takes their results. A frame is 'written' once the kernel has it, so that it survives a
kill of the process, and 'synced' once it is on the disk, so that it survives a crash of the machine.

States of a segment:

    none --open--> filling --size or age reached, all synced--> sealing --seal--> none
    filling --write failed--> filling; its tail is cut before anything else is written
    filling --sync failed--> abandoned: unsynced frames are written again into the next segment. After a failed sync the
        kernel may have dropped the bytes and report success for the next sync, so the file is not synced again.

A failed operation is retried after a delay that doubles. Meanwhile the queue fills: with the policy 'refuse' new calls
are refused, with 'lose' frames that do not fit are dropped and counted.
"""

from collections import deque
from typing import NamedTuple

from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.record import Opening, Sent, encode

CLOSING_KINDS = (f.ENDED, f.WHOLE, f.SETTLED)  # kinds that close a call; the kind is the third byte of a frame
MAX_WRITE_BYTES = 1 << 20  # maximum size of one write, which is repeated if the disk fails
# Between two writes that answers wait for. A lone frame is written at once; at a thousand calls a second several frames
# share a write, since each write costs the event loop one iteration. Adds at most this to the set-up time.
WRITE_GATHER_US = 2_000
RETRY_US = 100_000  # first retry delay of a failed operation, doubled up to the maximum
MAX_RETRY_US = 5_000_000  # a disk with free space again after an hour is noticed within seconds
# Frames of calls in progress, which can no longer be refused, may fill the queue to this multiple of its bound.
UNDER_WAY_QUEUE_FACTOR = 2


class Limits(NamedTuple):
    """`queue`: its length in frames. `segment_bytes`, `segment_us`: size and age at which a segment is sealed.
    `commit_us`: interval between syncs. `slow_us`: an operation without a result for this long counts as a disk error.
    `policy`: 'refuse' or 'lose'."""

    queue: int = 20_000
    segment_bytes: int = 64 << 20
    segment_us: int = 3_600_000_000
    commit_us: int = 5_000
    slow_us: int = 500_000
    policy: str = "refuse"


class Op(NamedTuple):
    """open: create the file with `data`, sync it and its folder. write: append `data`. cut: truncate to `size` bytes.
    seal: append `data` and sync. sync: up to frame `upto`. `again`: an earlier attempt may have left the file."""

    what: str
    number: int
    data: bytes | tuple = b""
    size: int = 0
    upto: int = -1
    again: bool = False
    entries: tuple = ()  # (seq, bytes, call, wall_us) of a write


class Journal:
    def __init__(self, limits, proxy, chain, boot, anchor_us, number, previous_digest, next_seq, abandoned=()):
        """`number`: that of the first segment to open; `previous_digest`: the one in the seal of the segment before."""
        self.limits, self.proxy, self.chain, self.boot, self.anchor_us = limits, proxy, chain, boot, anchor_us
        self.number, self.previous_digest, self.abandoned = number, previous_digest, list(abandoned)
        self.next_seq, self.written, self.synced = next_seq, next_seq - 1, next_seq - 1
        self.queue, self.unsynced = deque(), deque()  # (seq, bytes, call, wall_us)
        self.open_calls = {}  # call: [its begun frame, whether its 200 was sent]
        self.segment, self.opened_us, self.tail_needs_cut, self.open_attempted = None, 0, False, False
        self.writing, self.syncing, self.synced_us, self.written_us = None, None, 0, 0
        self.writing_us = self.syncing_us = 0  # when the operations under way were started
        self.urgent = False  # an answer waits for a queued frame; else frames are gathered for `commit_us`
        self.disk_error, self.disk_errors, self.retry_at, self.retry_delay_us = "", 0, 0, RETRY_US
        self.lost, self.unguarded = 0, 0
        self.closing, self.closed, self.rotating = False, False, False

    # ---- input ----

    def free_slots(self):
        return self.limits.queue - len(self.queue) - len(self.unsynced)

    def put(self, now, kind, body, call="", wall_us=0, under_way=True):
        """Queues a frame and returns its sequence number, or -1 if the queue is full and the frame is dropped. Drops
        are counted: `lost` records, and `unguarded` calls, whose beginning is not recorded although their end may be.
        `under_way`: the call was accepted before the queue was full."""
        free_slots = self.free_slots()
        reserve = kind in (f.ENDED, f.SENT) or under_way and self.limits.policy == "refuse"
        if free_slots <= 0 and (not reserve or free_slots <= -self.limits.queue * (UNDER_WAY_QUEUE_FACTOR - 1)):
            if kind in (f.BEGUN, f.INTENT):
                self.unguarded += 1
            elif kind in CLOSING_KINDS:
                self.lost += 1
                self.open_calls.pop(call, None)
            return -1
        seq, self.next_seq = self.next_seq, self.next_seq + 1
        data = f.pack(kind, seq, body)
        if kind in (f.BEGUN, f.INTENT):
            self.open_calls[call] = [data, False]
        self.queue.append((seq, data, call, wall_us))
        return seq

    def sent(self, now, calls):
        """Records that the 200 of these calls has been sent."""
        for call in calls:
            entry = self.open_calls.get(call)
            if entry is not None:
                entry[1] = True
        return self.put(now, f.SENT, encode(Sent(list(calls))))

    def refusing(self, now):
        """Whether to refuse new calls because their records might not be written."""
        return self.limits.policy == "refuse" and (
            bool(self.disk_error) or self.free_slots() <= 0 or self.disk_slow(now)
        )

    def disk_slow(self, now):
        """Whether an operation of the disk takes too long. The age of a frame is no measure of this: it grows with the
        event loop's own delay, so that a proxy under overload would report a slow disk."""
        slow = self.limits.slow_us
        return (
            self.writing is not None
            and now - self.writing_us > slow
            or self.syncing is not None
            and now - self.syncing_us > slow
        )

    def close(self):
        """Writes the queue to its end, then seals the segment."""
        self.closing = True

    # ---- output: operations that are needed and not under way ----

    def write_due(self, now):
        """Whether to write the queue now rather than gather more frames."""
        return self.closing or now >= self.written_us + (WRITE_GATHER_US if self.urgent else self.limits.commit_us)

    def may_have_work(self, now):
        """Whether `next_operations` may return one. Cheap, as it is called at each flush, some eight times per call."""
        if self.segment is None or self.closing or self.disk_error or self.rotating:
            return True
        return (
            self.writing is None
            and bool(self.queue)
            and self.write_due(now)
            or self.syncing is None
            and bool(self.unsynced)
            and now >= self.synced_us + self.limits.commit_us
        )

    def next_operations(self, now):
        ops = []
        if self.writing is None and now >= self.retry_at:
            op = self._write(now)
            if op is not None:
                self.writing, self.writing_us = op, now
                ops.append(op)
        if (
            self.syncing is None
            and self.unsynced
            and self.segment is not None
            and not self.tail_needs_cut
            and now >= self.retry_at
            and self._sync_due(now)
        ):
            self.syncing, self.syncing_us = Op("sync", self.number, upto=self.unsynced[-1][0]), now
            ops.append(self.syncing)
        return ops

    def next_at(self):
        """When to call `next_operations` again if nothing happens before, or None."""
        if self.closed:
            return None
        if self.disk_error:
            return self.retry_at if self.writing is None else None
        times = []
        # While rotating, the end of the sync calls `next_operations`.
        if self.queue and self.writing is None and not self.rotating:
            times.append(self.written_us + (WRITE_GATHER_US if self.urgent else self.limits.commit_us))
        if self.unsynced and self.syncing is None:
            times.append(self.synced_us + self.limits.commit_us)
        return min(times, default=None)

    def _sync_due(self, now):
        return self.closing or self._full(now) or now >= self.synced_us + self.limits.commit_us

    def _full(self, now):
        """Whether to seal the segment. The opening does not count: carried calls alone may exceed a small segment."""
        segment = self.segment
        return segment is not None and (
            segment.size - segment.opening_size >= self.limits.segment_bytes
            or (bool(segment.records) and now - self.opened_us >= self.limits.segment_us)
        )

    def _write(self, now):
        if self.closed:
            return None
        if self.segment is None:
            if self.closing and not self.queue:
                self.closed = True
                return None
            first = self.queue[0][0] if self.queue else self.next_seq
            opening = Opening(
                self.proxy,
                self.chain,
                self.number,
                self.boot,
                first,
                self.previous_digest,
                self.anchor_us,
                now,
                list(self.abandoned),
            )
            again, self.open_attempted = self.open_attempted, True
            return Op("open", self.number, (s.opening_bytes(opening, 0), self._carry()), again=again)
        if self.tail_needs_cut:
            return Op("cut", self.number, size=self.segment.size)
        if self.closing and not self.queue and self.open_calls:
            # Some calls have not ended: the next start settles them in this segment, so it is left unsealed.
            self.closed = not self.unsynced and self.syncing is None
            return None
        if self._full(now) or self.closing and not self.queue:
            if self.unsynced or self.syncing is not None:
                self.rotating = True
                return None
            return Op("seal", self.number, s.seal_bytes(self.segment, 0))
        if not self.queue or not self.write_due(now):
            return None
        entries, size = [], 0
        for entry in self.queue:
            entries.append(entry)
            size += len(entry[1])
            if size >= MAX_WRITE_BYTES:
                break
        self.written_us, self.urgent = now, self.urgent and len(entries) < len(self.queue)
        return Op("write", self.number, b"".join([e[1] for e in entries]), entries=tuple(entries))

    def _carry(self):
        """The calls begun and not ended, so that recovery needs no earlier segment. A call whose begun frame is still
        in the queue appears twice; readers ignore the repetition."""
        parts = [entry[0] for entry in self.open_calls.values()]
        sent = [call for call, entry in self.open_calls.items() if entry[1]]
        return parts, sent

    # ---- results ----

    def done(self, now, op, error=""):
        """Takes the result of an operation; `error` is the reason if it failed."""
        if op.what == "sync":
            self._synced(now, op, error)
        elif op is self.writing:  # else the segment was abandoned meanwhile, and its frames are queued again
            self.writing = None
            if error:
                self._failed(now, error)
                self.tail_needs_cut = op.what != "open"
            else:
                self._recovered()
                getattr(self, "_did_" + op.what)(now, op)

    def _failed(self, now, error):
        self.urgent = True
        self.disk_error, self.disk_errors = error, self.disk_errors + 1
        self.retry_at, self.retry_delay_us = now + self.retry_delay_us, min(2 * self.retry_delay_us, MAX_RETRY_US)

    def _recovered(self):
        self.disk_error, self.retry_at, self.retry_delay_us = "", 0, RETRY_US

    def _did_open(self, now, op):
        data = open_bytes(op)
        self.segment = s.SegmentState()
        self.segment.sha.update(data)
        self.segment.size, self.segment.opening_size, self.segment.frames = len(data), len(data), 2
        self.opened_us, self.synced_us, self.open_attempted = now, now, False
        self.abandoned = []

    def _did_write(self, now, op):
        segment = self.segment
        offset = segment.size
        for seq, data, call, wall_us in op.entries:
            if call:
                segment.index.append(s.call_hash(call))
                segment.index.append(offset)
                segment.records += 1
            if wall_us:
                segment.extend_wall_range(wall_us)
            offset += len(data)
            segment.last_seq = seq
        segment.sha.update(op.data)
        segment.size, segment.frames = offset, segment.frames + len(op.entries)
        for _ in op.entries:
            self.unsynced.append(self.queue.popleft())
        self.written = max(self.written, op.entries[-1][0])

    def _did_cut(self, now, op):
        self.tail_needs_cut = False

    def _did_seal(self, now, op):
        self.previous_digest = self.segment.sha.hexdigest()
        self.segment, self.number, self.rotating = None, self.number + 1, False

    def _synced(self, now, op, error):
        self.syncing = None
        if error:
            self._failed(now, error)
            self.writing = None
            self.abandoned.append(self.number)
            self.segment, self.tail_needs_cut, self.number, self.rotating = None, False, self.number + 1, False
            self.queue.extendleft(reversed(self.unsynced))
            self.unsynced.clear()
            return
        self.synced_us = now
        self.synced = max(self.synced, op.upto)
        while self.unsynced and self.unsynced[0][0] <= op.upto:
            _, data, call, _ = self.unsynced.popleft()
            if data[2] in CLOSING_KINDS:  # not earlier: a segment opened before the sync must still carry the call
                self.open_calls.pop(call, None)


def open_bytes(op):
    """The bytes of an 'open' operation: the opening and the carried calls, some 20 MB for 60,000 established calls."""
    head, (parts, sent) = op.data
    if sent:
        parts = [*parts, f.pack(f.SENT, 0, encode(Sent(sent)))]
    return head + f.pack(f.CARRY, 0, b"".join(parts))
