"""What a start finds in a folder of records and does about it, as a plan: pure, and the same again after a kill.

Only what no seal covers is touched. A torn tail is set aside and cut; what cannot be read in the middle is left and
listed in the seal; calls begun and never ended are settled by frames added to the segment in which they stood; then
it is sealed. Killed at any step, the plan made anew leads to the same bytes: a cut tail stays cut, a call settled is
over when it is met again, settling does not move the last time known, a sealed segment is left as it is.
"""

from collections import deque
from typing import NamedTuple

from thorndale.records import chain as c
from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.fold import OVER, Fold
from thorndale.records.record import DOUBT, Opening, Record, Tomb, decode, encode


class Step(NamedTuple):
    """sync: what a killed process had written may not be on the disk yet, and all that follows builds on it.
    aside: keep `data` under `name`. cut: make the file `size` long. add: `data` at its end. create: the whole file
    under a name of its own, then renamed. remove: a file of which nothing can be read (it was kept aside)."""

    what: str
    name: str
    data: bytes = b""
    size: int = 0


class Plan(NamedTuple):
    """`settled` are the Records that the steps close; `findings` what an operator should know; `number`, `before` and
    `next_seq` are where the journal goes on; `chain` and `proxy` are '' for a new folder."""

    steps: list
    settled: list
    findings: list
    number: int
    before: str
    next_seq: int
    chain: str
    proxy: str
    cut_bytes: int
    unsure: list  # Records whose answer may not have reached the caller: settled in doubt, or written just before


UNSURE_US = 2_000_000  # us before a boot's last known time from which a refusal counts as perhaps unsent. Answers wait
# for their record and not longer than its `wait_ms`; a caller that had the answer does not begin anew


def head_of(data):
    """(Opening, whether the carried calls behind it are whole) of a segment's first bytes, or (None, False)."""
    found = f.scan(data)
    first = next(found, None)
    if not isinstance(first, f.Frame) or first.kind != f.OPENING:
        return None, False
    try:
        opening = decode(Opening, first.body)
    except ValueError:
        return None, False
    second = next(found, None)
    return opening, isinstance(second, f.Frame) and second.kind == f.CARRY


def needed(numbers, head, sealed):
    """The segments that recovery must read, of all there are, ascending: those from the last one on at whose head
    the carried calls are whole and before which all is sealed. `head(number)` gives `head_of`, `sealed(number)`
    whether it ends with a seal."""
    first = len(numbers)
    while first > 0:
        first -= 1
        opening, whole = head(numbers[first])
        if whole and not opening.abandoned and (first == 0 or sealed(numbers[first - 1])):
            break
    return numbers[first:]


def plan(segments):
    """The Plan for (name, bytes) pairs, ascending, beginning where `needed` says."""
    steps, findings, fold, cut_bytes = [], [], Fold(), 0
    kept, recent = [], deque()
    for name, data in segments:
        steps.append(Step("sync", name))
        data, step, torn = _trimmed(name, data)
        steps += step
        findings += torn
        cut_bytes += sum(x.end - x.at for x in torn)
        if data:
            kept.append((name, data))
    last, next_seq = None, 0
    for group in c.groups(c.links(kept)):
        for link in group[:-1]:
            findings.append(s.Finding(link.name, -1, -1, "was given up after a failed sync; the next repeats its end"))
        for opening, item in c.frames(group):
            line = fold.take(opening, item)
            if line is not None and item.kind == f.WHOLE:
                recent.append((line.boot, line.record))
                while recent[0][1].ended_us < line.record.ended_us - UNSURE_US or recent[0][0] != line.boot:
                    recent.popleft()
            if item.kind not in s.UNNUMBERED:
                next_seq = max(next_seq, item.seq + 1)
        last = group[-1]
        fold.newer += sum(len(link.read.newer) for link in group)
        for link in group:
            findings += [x for x in link.read.findings if link.read.seal is not None or x.at >= 0]
            for item in link.read.newer:
                next_seq = max(next_seq, item.seq + 1)
            if link.read.opening is not None:
                next_seq = max(next_seq, link.read.opening.first_seq)
    if last is None:
        return Plan(steps, [], findings, 1, "", 0, "", "", cut_bytes, [])
    opening, number = last.read.opening, s.number_of(last.name)
    settled = [record for _, record in fold.settled()]
    last_us = fold.last_us.get(fold.boot, 0)
    unsure = [r for r in settled if r.answered == DOUBT]
    unsure += [r for boot, r in recent if boot == fold.boot and r.ended_us >= last_us - UNSURE_US]
    frames = [f.pack(f.SETTLED, next_seq + n, encode(record)) for n, record in enumerate(settled)]
    next_seq += len(frames)
    before = last.read.seal.digest if last.read.seal is not None else ""
    if last.read.seal is None:
        data = dict(kept)[last.name]
        body = _body_of(data, last.read)
        _add(body, frames, settled)
        seal = s.seal_bytes(body, 0, [(d.at, d.end) for d in last.read.damages])
        steps.append(Step("add", last.name, b"".join(frames) + seal, len(data)))
        before = body.sha.hexdigest()
    elif settled:
        number += 1
        head = Opening(
            opening.proxy,
            opening.chain,
            number,
            opening.boot,
            next_seq - len(frames),
            before,
            opening.anchor_us,
            max(r.ended_us for r in settled),
        )
        data = s.opening_bytes(head, 0) + f.pack(f.CARRY, 0, b"")
        body = _body_of(data, s.parse(s.name_of(number), data))
        _add(body, frames, settled)
        steps.append(Step("create", s.name_of(number), data + b"".join(frames) + s.seal_bytes(body, 0)))
        before = body.sha.hexdigest()
    return Plan(steps, settled, findings, number + 1, before, next_seq, opening.chain, opening.proxy, cut_bytes, unsure)


def _trimmed(name, data):
    """(what stays of it, steps, findings): a torn tail goes, and with it a file of which nothing else is there."""
    size = len(data)
    opening, _ = head_of(data)
    end = size
    if opening is None:
        end = 0
    else:
        for item in f.scan(data):
            if isinstance(item, f.Damage) and item.torn:
                end = item.at
    if end == size and size:
        return data, [], []
    steps = []
    if size > end:
        steps.append(Step("aside", f"{name}.torn-{end}", bytes(data[end:])))
    finding = s.Finding(name, end, size, f"torn tail of {size - end} bytes, cut and kept aside")
    steps.append(Step("cut", name, size=end) if end else Step("remove", name))
    return data[:end], steps, [finding]


def _body_of(data, read):
    """The Body that a writer would have by now, for the seal."""
    body = s.Body()
    body.sha.update(data)
    body.size = len(data)
    body.frames = len(read.frames) + len(read.newer) + (read.opening is not None)
    for item in read.frames:
        if item.kind in OVER or item.kind in (f.BEGUN, f.INTENT):
            _count(body, item.at, item.body)
        if item.kind not in s.UNNUMBERED:
            body.last_seq = max(body.last_seq, item.seq)
    return body


def _count(body, at, data):
    try:
        record = decode(Record, data)
    except ValueError:
        return
    body.index.append(s.call_hash(record.call))
    body.index.append(at)
    body.records += 1
    if record.ended_us:
        body.wall(record.wall_us(record.ended_us))


def _add(body, frames, settled):
    for data, record in zip(frames, settled, strict=True):
        body.index.append(s.call_hash(record.call))
        body.index.append(body.size)
        body.records += 1
        body.wall(record.wall_us(record.ended_us))
        body.sha.update(data)
        body.size += len(data)
        body.frames += 1
        body.last_seq = f.read(data, 0).seq


def tomb_of(number, data, following, now_wall_us, keep_us):
    """The Tomb for a segment whose last record is older than `keep_us`, or None where it has to stay. `following` are
    the bytes of the next one: one without a seal goes only if that one says that it was given up. A clock that stands
    before the records erases nothing."""
    opening, _ = head_of(data)
    seal, after = s.seal_of(data), head_of(following)[0]
    if opening is None or after is None or seal is None and number not in after.abandoned:
        return None
    last_wall = seal.last_wall_us if seal is not None else 0
    if now_wall_us - (last_wall or after.opened_us + after.anchor_us) <= keep_us:
        return None
    if seal is None:
        return Tomb(opening.proxy, opening.chain, number, "", len(data), 0, -1, 0, now_wall_us)
    return Tomb(
        opening.proxy,
        opening.chain,
        number,
        seal.digest,
        len(data),
        seal.records,
        seal.last_seq,
        last_wall,
        now_wall_us,
    )
