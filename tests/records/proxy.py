"""A proxy's records without the proxy: calls begin and end, the disk does what the test wants, time is a counter."""

from thorndale.records import folder as fo
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger
from thorndale.records.read import lines
from thorndale.records.record import Record

LIMITS = Limits(queue=1000, segment_bytes=1500, commit_us=10)


class Recorder:
    """`promised`: calls whose final answer went out."""

    def __init__(self, disk, boot, way="written", limits=LIMITS, wait_us=1 << 40):
        self.disk, self.now, self.promised, self.said = disk, 10_000, [], []
        disk.lock()
        self.plan = fo.recovery(disk)
        fo.apply(disk, self.plan.steps)
        self.journal = Journal(
            limits,
            "p1",
            self.plan.chain or "c" * 16,
            boot,
            5_000_000,
            self.plan.number,
            self.plan.before,
            self.plan.next_seq,
        )
        self.ops = []
        self.ledger = Ledger(
            self.journal,
            way,
            wait_us,
            self.ops.append,
            self.word,
            lambda level, event, **more: self.said.append((level, event, more)),
            self.plan.unsure,
        )

    def word(self, seq, word):
        fo.add_word(self.disk, fo.WORDS, seq, word)

    def record(self, call, **more):
        return Record(call, f"{call}@x", "t", came_us=self.now, anchor_us=5_000_000, call_type="timetable", **more)

    def refused(self, call):
        self.now += 1
        record = self.record(call, status=503, how="rejected", ended_us=self.now)
        self.ledger.refused(self.now, record, lambda _: self.promised.append(call))

    def come(self, call):
        self.ledger.came(self.now, self.record(call))

    def begin(self, call):
        self.now += 1
        self.ledger.begun(self.now, self.record(call, stood_us=self.now), lambda _: self.promised.append(call))

    def end(self, call):
        self.now += 1
        self.ledger.ended(
            self.now,
            self.record(call, stood_us=self.now, ended_us=self.now, answered="yes", how="released", by="caller"),
        )

    def work(self, most=1000, only=None):
        """Does what the disk should, to its end or this many operations."""
        for _ in range(most):
            self.now += 11
            self.ledger.flush(self.now)
            op = next((o for o in self.ops if only is None or o.what == only), None)
            if op is None:
                at = self.ledger.next_at()
                if at is None or only is not None:
                    return
                self.now = max(self.now, at)
                continue
            self.ops.remove(op)
            fault = ""
            try:
                fo.perform(self.disk, op)
            except OSError as error:
                fault = f"{op.what}: {error}"
            self.ledger.done(self.now, op, fault)

    def close(self):
        self.journal.close()
        self.work()
        self.disk.close()


def all_lines(disk):
    return list(lines(disk))


def calls(disk):
    return [line.record.call for line in all_lines(disk)]
