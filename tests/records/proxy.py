"""The records of a simulated proxy: calls begin and end, the test controls the disk, and time is a counter."""

from thorndale.records import folder as fo
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger
from thorndale.records.read import lines
from thorndale.records.record import Record

LIMITS = Limits(queue=1000, segment_bytes=1500, commit_us=10)


class Recorder:
    """`promised`: calls whose final answer was sent. `logged`: log entries as (level, event, fields)."""

    def __init__(self, disk, boot, answer_order="written", limits=LIMITS, wait_us=1 << 40):
        self.disk, self.now, self.promised, self.logged = disk, 10_000, [], []
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
            answer_order,
            wait_us,
            self.ops.append,
            self.write_resolution,
            lambda level, event, **more: self.logged.append((level, event, more)),
            self.plan.unconfirmed,
        )

    def write_resolution(self, seq, resolution):
        fo.add_resolution(self.disk, fo.PROXY_RESOLUTIONS, seq, resolution)

    def record(self, call, **more):
        return Record(call, f"{call}@x", "t", came_us=self.now, anchor_us=5_000_000, call_type="timetable", **more)

    def refused(self, call):
        self.now += 1
        record = self.record(call, status=503, how="rejected", ended_us=self.now)
        self.ledger.refused(self.now, record, lambda _: self.promised.append(call))

    def arrive(self, call):
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
        """Performs the pending disk operations, all of them or at most `most`; `only`: those of one kind."""
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
            error_text = ""
            try:
                fo.perform(self.disk, op)
            except OSError as error:
                error_text = f"{op.what}: {error}"
            self.ledger.done(self.now, op, error_text)

    def close(self):
        self.journal.close()
        self.work()
        self.disk.close()


def all_lines(disk):
    return list(lines(disk))


def calls(disk):
    return [line.record.call for line in all_lines(disk)]
