"""What is to be written when: the writer of one proxy's records, without its disk.

Frames are put in and wait in a queue. `want(now)` gives the operations that the disk should begin now, at most one
for the writing and one for the syncing hand; `done(now, op, fault)` takes their results. A frame is 'written' once
the kernel has it, which outlives a killed process, and 'synced' once it is on the disk, which outlives the machine.

Life of a segment:

    none --open--> filling --size or age reached, all synced--> sealing --seal--> none
    filling --write failed--> filling, its tail to be cut before anything else is written
    filling --sync failed--> abandoned: what had not been synced is written again into the next one. After a failed
        sync the kernel may have thrown the bytes away and call the next sync good, so it is never asked again.

A failed operation is tried again after a wait that doubles. Meanwhile the queue fills: with the policy 'refuse' no
new calls are taken, with 'lose' frames that find it full are dropped and counted.
"""

from collections import deque
from typing import NamedTuple

from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.record import Opening, Sent, encode

ENDS = (f.ENDED, f.WHOLE, f.SETTLED)  # kinds that close a call; the kind is a frame's third byte
BATCH = 1 << 20  # bytes of one write at most: what a failing disk makes us write again
GATHER_US = 2_000  # us between two writes for which answers wait: alone, one goes at once; at a thousand calls a second
# some share it, since each costs the loop a turn. The price is at most this in a set-up
RETRY_US = 100_000  # us before a failed operation is tried again, doubled to
RETRY_MOST_US = 5_000_000  # us: a disk that was full for an hour is found well within seconds
UNDER_WAY = 2  # times the queue's bound that frames of calls under way may fill it to: they can't be refused any more


class Limits(NamedTuple):
    """`queue` in frames, `segment_bytes` and `segment_us` when a segment is sealed, `commit_us` between two syncs,
    `slow_us` after which an operation without a result is trouble, `policy` 'refuse' or 'lose'."""

    queue: int = 20_000
    segment_bytes: int = 64 << 20
    segment_us: int = 3_600_000_000
    commit_us: int = 5_000
    slow_us: int = 500_000
    policy: str = "refuse"


class Op(NamedTuple):
    """open: make the file, `data` in it, sync it and its folder. write: add `data`. cut: make it `size` bytes long.
    seal: add `data`, sync. sync: up to `upto`. `again`: an earlier try may have left the file."""

    what: str
    number: int
    data: bytes | tuple = b""
    size: int = 0
    upto: int = -1
    again: bool = False
    entries: tuple = ()  # (seq, bytes, call, wall_us) of a write


class Journal:
    def __init__(self, limits, proxy, chain, boot, anchor_us, number, before, next_seq, abandoned=()):
        """`number` of the first segment to be opened, `before` the digest that sealed the one before it."""
        self.limits, self.proxy, self.chain, self.boot, self.anchor_us = limits, proxy, chain, boot, anchor_us
        self.number, self.before, self.abandoned = number, before, list(abandoned)
        self.next_seq, self.written, self.synced = next_seq, next_seq - 1, next_seq - 1
        self.queue, self.unsynced = deque(), deque()  # (seq, bytes, call, wall_us)
        self.open_calls = {}  # call: [its begun frame, whether its 200 went out]
        self.body, self.opened_us, self.tail_bad, self.tried = None, 0, False, False
        self.writing, self.syncing, self.synced_us, self.written_us = None, None, 0, 0
        self.writing_us = self.syncing_us = 0  # when they were begun
        self.urgent = False  # an answer waits for what is in the queue; else frames gather for `commit_us`
        self.trouble, self.troubles, self.retry_at, self.wait = "", 0, 0, RETRY_US
        self.lost, self.unguarded = 0, 0
        self.closing, self.closed, self.rotating = False, False, False

    # ---- in ----

    def room(self):
        return self.limits.queue - len(self.queue) - len(self.unsynced)

    def put(self, now, kind, body, call="", wall_us=0, under_way=True):
        """The frame's sequence number, or -1 where it is dropped for want of room, which is counted: `lost` records,
        or `unguarded` calls whose beginning is not kept and whose end may still be. `under_way`: its call was taken
        before the room ran out."""
        room = self.room()
        reserve = kind in (f.ENDED, f.SENT) or under_way and self.limits.policy == "refuse"
        if room <= 0 and (not reserve or room <= -self.limits.queue * (UNDER_WAY - 1)):
            if kind in (f.BEGUN, f.INTENT):
                self.unguarded += 1
            elif kind in ENDS:
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
        """The 200 of these calls has gone out."""
        for call in calls:
            entry = self.open_calls.get(call)
            if entry is not None:
                entry[1] = True
        return self.put(now, f.SENT, encode(Sent(list(calls))))

    def refusing(self, now):
        """Whether new calls should be turned away: their records might not be written."""
        return self.limits.policy == "refuse" and (bool(self.trouble) or self.room() <= 0 or self.late(now))

    def late(self, now):
        """Whether the disk has been at one operation for too long. The age of a frame would not do: it grows with the
        loop's own lag, and a proxy under overload would blame its disk."""
        slow = self.limits.slow_us
        return (
            self.writing is not None
            and now - self.writing_us > slow
            or self.syncing is not None
            and now - self.syncing_us > slow
        )

    def close(self):
        """All that waits is still written, then the segment is sealed."""
        self.closing = True

    # ---- out: the difference between what is wanted and what is under way ----

    def due(self, now):
        """Whether what waits is to be written now rather than with what comes next."""
        return self.closing or now >= self.written_us + (GATHER_US if self.urgent else self.limits.commit_us)

    def ready(self, now):
        """Whether `want` could have anything to begin: asked at each flush, some eight times a call, so it is cheap."""
        if self.body is None or self.closing or self.trouble or self.rotating:
            return True
        return (
            self.writing is None
            and bool(self.queue)
            and self.due(now)
            or self.syncing is None
            and bool(self.unsynced)
            and now >= self.synced_us + self.limits.commit_us
        )

    def want(self, now):
        ops = []
        if self.writing is None and now >= self.retry_at:
            op = self._write(now)
            if op is not None:
                self.writing, self.writing_us = op, now
                ops.append(op)
        if (
            self.syncing is None
            and self.unsynced
            and self.body is not None
            and not self.tail_bad
            and now >= self.retry_at
            and self._sync_due(now)
        ):
            self.syncing, self.syncing_us = Op("sync", self.number, upto=self.unsynced[-1][0]), now
            ops.append(self.syncing)
        return ops

    def next_at(self):
        """When `want` should be asked again if nothing happens before, or None."""
        if self.closed:
            return None
        if self.trouble:
            return self.retry_at if self.writing is None else None
        times = []
        if self.queue and self.writing is None and not self.rotating:  # rotating: the sync's end asks again
            times.append(self.written_us + (GATHER_US if self.urgent else self.limits.commit_us))
        if self.unsynced and self.syncing is None:
            times.append(self.synced_us + self.limits.commit_us)
        return min(times, default=None)

    def _sync_due(self, now):
        return self.closing or self._full(now) or now >= self.synced_us + self.limits.commit_us

    def _full(self, now):
        """What it was opened with does not count: the carried calls alone may be more than a small segment."""
        body = self.body
        return body is not None and (
            body.size - body.head >= self.limits.segment_bytes
            or (bool(body.records) and now - self.opened_us >= self.limits.segment_us)
        )

    def _write(self, now):
        if self.closed:
            return None
        if self.body is None:
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
                self.before,
                self.anchor_us,
                now,
                list(self.abandoned),
            )
            again, self.tried = self.tried, True
            return Op("open", self.number, (s.opening_bytes(opening, 0), self._carry()), again=again)
        if self.tail_bad:
            return Op("cut", self.number, size=self.body.size)
        if self.closing and not self.queue and self.open_calls:
            # Calls that have not ended: the next start settles them in this segment, so it is not sealed.
            self.closed = not self.unsynced and self.syncing is None
            return None
        if self._full(now) or self.closing and not self.queue:
            if self.unsynced or self.syncing is not None:
                self.rotating = True
                return None
            return Op("seal", self.number, s.seal_bytes(self.body, 0))
        if not self.queue or not self.due(now):
            return None
        entries, size = [], 0
        for entry in self.queue:
            entries.append(entry)
            size += len(entry[1])
            if size >= BATCH:
                break
        self.written_us, self.urgent = now, self.urgent and len(entries) < len(self.queue)
        return Op("write", self.number, b"".join([e[1] for e in entries]), entries=tuple(entries))

    def _carry(self):
        """The calls begun and not ended, so that recovery needs no segment before this one. Those whose begun frame
        still waits in the queue come twice, which readers pass over."""
        parts = [entry[0] for entry in self.open_calls.values()]
        sent = [call for call, entry in self.open_calls.items() if entry[1]]
        return parts, sent

    # ---- results ----

    def done(self, now, op, fault=""):
        """The result of an operation; `fault` says why it failed."""
        if op.what == "sync":
            self._synced(now, op, fault)
        elif op is self.writing:  # else it is of a segment that was given up meanwhile: its frames wait again
            self.writing = None
            if fault:
                self._failed(now, fault)
                self.tail_bad = op.what != "open"
            else:
                self._well()
                getattr(self, "_did_" + op.what)(now, op)

    def _failed(self, now, fault):
        self.urgent = True
        self.trouble, self.troubles = fault, self.troubles + 1
        self.retry_at, self.wait = now + self.wait, min(2 * self.wait, RETRY_MOST_US)

    def _well(self):
        self.trouble, self.retry_at, self.wait = "", 0, RETRY_US

    def _did_open(self, now, op):
        data = opened(op)
        self.body = s.Body()
        self.body.sha.update(data)
        self.body.size, self.body.head, self.body.frames = len(data), len(data), 2
        self.opened_us, self.synced_us, self.tried = now, now, False
        self.abandoned = []

    def _did_write(self, now, op):
        body = self.body
        at = body.size
        for seq, data, call, wall_us in op.entries:
            if call:
                body.index.append(s.call_hash(call))
                body.index.append(at)
                body.records += 1
            if wall_us:
                body.wall(wall_us)
            at += len(data)
            body.last_seq = seq
        body.sha.update(op.data)
        body.size, body.frames = at, body.frames + len(op.entries)
        for _ in op.entries:
            self.unsynced.append(self.queue.popleft())
        self.written = max(self.written, op.entries[-1][0])

    def _did_cut(self, now, op):
        self.tail_bad = False

    def _did_seal(self, now, op):
        self.before = self.body.sha.hexdigest()
        self.body, self.number, self.rotating = None, self.number + 1, False

    def _synced(self, now, op, fault):
        self.syncing = None
        if fault:
            self._failed(now, fault)
            self.writing = None
            self.abandoned.append(self.number)
            self.body, self.tail_bad, self.number, self.rotating = None, False, self.number + 1, False
            self.queue.extendleft(reversed(self.unsynced))
            self.unsynced.clear()
            return
        self.synced_us = now
        self.synced = max(self.synced, op.upto)
        while self.unsynced and self.unsynced[0][0] <= op.upto:
            _, data, call, _ = self.unsynced.popleft()
            if data[2] in ENDS:  # only now: a segment opened before must still carry it
                self.open_calls.pop(call, None)


def opened(op):
    """The bytes of an 'open': the opening and the carried calls, some 20 MB with 60,000 of them standing."""
    head, (parts, sent) = op.data
    if sent:
        parts = [*parts, f.pack(f.SENT, 0, encode(Sent(sent)))]
    return head + f.pack(f.CARRY, 0, b"".join(parts))
