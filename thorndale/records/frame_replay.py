"""Replays frames into finished records. The states of a call and the frames that change them:

    (nothing) --intent--> begun --begun--> begun --sent--> answered --ended--> over
    (nothing) --whole--> over; begun, answered --settled--> over

A frame that does not fit the state is ignored: it is a copy that was written again after a failed sync.
"""

from typing import NamedTuple

from thorndale.records import frame as f
from thorndale.records.record import DOUBT, MAJOR, YES, Mark, Record, Sent, decode

CLOSING_KINDS = (f.ENDED, f.WHOLE, f.SETTLED)
STOPPED = "proxy stopped"


class Line(NamedTuple):
    """A finished record with its origin."""

    proxy: str
    chain: str
    boot: str
    seq: int
    settled: bool
    record: Record


class Replay:
    """`take(opening, frame)` returns the Line that the frame finishes, or None."""

    def __init__(self):
        self.open = {}  # call: [boot, Record]
        self.last_known_us = {}  # boot: the last known time in it
        self.last_seq, self.boot = -1, ""
        self.faulty, self.newer, self.lost = 0, 0, 0

    def take(self, opening, item):
        self.boot = opening.boot
        if item.major != MAJOR:
            self.newer += 1
            return None
        try:
            return self._take(opening, item)
        except ValueError:
            self.faulty += 1
            return None

    def _take(self, opening, item):
        kind = item.kind
        if kind == f.CARRY:
            for inner in f.scan(item.body):
                if isinstance(inner, f.Damage):
                    raise ValueError("a carried call cannot be read")
                if inner.kind == f.SENT:
                    self._sent(inner)
                    continue
                record = decode(Record, inner.body)
                if record.call not in self.open:
                    self._begin(opening.boot, inner.kind, record)
            return None
        if item.seq <= self.last_seq:
            return None
        self.last_seq = item.seq
        if kind == f.MARK:
            mark = decode(Mark, item.body)
            self._advance_last_time(opening.boot, mark.at_us)
            self.lost = max(self.lost, mark.lost)
        elif kind == f.SENT:
            self._sent(item)
        elif kind in (f.BEGUN, f.INTENT):
            record = decode(Record, item.body)
            self._advance_last_time(opening.boot, max(record.came_us, record.stood_us))
            self._begin(opening.boot, kind, record)
        elif kind in CLOSING_KINDS:
            record = decode(Record, item.body)
            boot, _ = self.open.pop(record.call, (opening.boot, None))
            if kind != f.SETTLED:  # frames added by recovery must not advance the last known time
                self._advance_last_time(opening.boot, record.ended_us)
            return Line(opening.proxy, opening.chain, boot, item.seq, kind == f.SETTLED, record)
        return None

    def _begin(self, boot, kind, record):
        record.answered = DOUBT
        self.open[record.call] = [boot, record]

    def _sent(self, item):
        for call in decode(Sent, item.body).calls:
            if call in self.open:
                self.open[call][1].answered = YES

    def _advance_last_time(self, boot, us):
        if us > self.last_known_us.get(boot, 0):
            self.last_known_us[boot] = us

    def settled(self):
        """Closed records of the calls still open: the proxy stopped at the last known time of its boot. Deterministic:
        the same frames always give the same records."""
        records = []
        for call in sorted(self.open):
            boot, record = self.open[call]
            stopped_us = max(self.last_known_us.get(boot, 0), record.stood_us, record.came_us)
            records.append((boot, close_record(record, stopped_us)))
        return records


def close_record(record, last_known_us):
    values = {name: getattr(record, name) for name in record.__struct_fields__}
    values.update(ended_us=last_known_us, how=STOPPED, by="proxy")
    return Record(**values)
