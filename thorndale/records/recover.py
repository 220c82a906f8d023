"""Recovery of a records folder at start, computed as a plan: pure, and idempotent across kills.

Only unsealed data is changed. A torn tail is saved under another name and cut off; unreadable bytes in the middle are
left in place and listed in the seal; calls that began and never ended are settled by frames added to the segment in
which they are open, which is then sealed. If the process is killed at any step, a new plan leads to the same bytes: a
cut tail stays cut, a settled call is closed when it is read again, settling does not advance the last known time, and a
sealed segment is not modified.
"""

from collections import deque
from typing import NamedTuple

from thorndale.records import chain as c
from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.frame_replay import CLOSING_KINDS, Replay
from thorndale.records.record import DOUBT, Opening, Record, Tombstone, decode, encode


class Step(NamedTuple):
    """sync: flush what a killed process wrote, since all later steps build on it. aside: save `data` under `name`.
    cut: truncate the file to `size`. add: append `data`. create: write the whole file under a temporary name, then
    rename it. remove: delete a file of which nothing can be read (its bytes were saved aside)."""

    what: str
    name: str
    data: bytes = b""
    size: int = 0


class Plan(NamedTuple):
    """`settled`: the Records that the steps close. `findings`: defects to report to the operator. `number`, `before`
    and `next_seq`: where the journal continues. `chain` and `proxy` are '' for a new folder."""

    steps: list
    settled: list
    findings: list
    number: int
    before: str
    next_seq: int
    chain: str
    proxy: str
    cut_bytes: int
    unconfirmed: list  # Records whose answer may not have reached the caller: in doubt, or just before the stop


# Refusals recorded within this time before a boot's last known time count as possibly unsent: an answer waits for its
# record, for `wait_ms` at most, and a caller that received the answer does not repeat its INVITE.
UNCONFIRMED_US = 2_000_000


def read_head(data):
    """(Opening, whether the carry frame after it is intact) from a segment's first bytes, or (None, False)."""
    frames = f.scan(data)
    first = next(frames, None)
    if not isinstance(first, f.Frame) or first.kind != f.OPENING:
        return None, False
    try:
        opening = decode(Opening, first.body)
    except ValueError:
        return None, False
    second = next(frames, None)
    return opening, isinstance(second, f.Frame) and second.kind == f.CARRY


def segments_needed(numbers, head, sealed):
    """The numbers of the segments that recovery must read, ascending: from the last segment whose carry frame is
    intact and whose predecessor is sealed. `head(number)` returns `read_head` of its bytes, `sealed(number)` whether it
    ends with a seal."""
    first = len(numbers)
    while first > 0:
        first -= 1
        opening, whole = head(numbers[first])
        if whole and not opening.abandoned and (first == 0 or sealed(numbers[first - 1])):
            break
    return numbers[first:]


def plan(segments):
    """The Plan for (name, bytes) pairs, ascending, starting with the first one that `segments_needed` returns."""
    steps, findings, replayed, cut_bytes = [], [], Replay(), 0
    kept, recent = [], deque()
    for name, data in segments:
        steps.append(Step("sync", name))
        data, step, torn = _trim_torn_tail(name, data)
        steps += step
        findings += torn
        cut_bytes += sum(x.end - x.at for x in torn)
        if data:
            kept.append((name, data))
    last_link, next_seq = None, 0
    for group in c.groups(c.links(kept)):
        for link in group[:-1]:
            findings.append(
                s.Finding(link.name, -1, -1, "was abandoned after a failed sync; the next segment repeats its end")
            )
        for opening, item in c.frames(group):
            line = replayed.take(opening, item)
            if line is not None and item.kind == f.WHOLE:
                recent.append((line.boot, line.record))
                while recent[0][1].ended_us < line.record.ended_us - UNCONFIRMED_US or recent[0][0] != line.boot:
                    recent.popleft()
            if item.kind not in s.UNNUMBERED:
                next_seq = max(next_seq, item.seq + 1)
        last_link = group[-1]
        replayed.newer += sum(len(link.read.newer) for link in group)
        for link in group:
            findings += [x for x in link.read.findings if link.read.seal is not None or x.at >= 0]
            for item in link.read.newer:
                next_seq = max(next_seq, item.seq + 1)
            if link.read.opening is not None:
                next_seq = max(next_seq, link.read.opening.first_seq)
    if last_link is None:
        return Plan(steps, [], findings, 1, "", 0, "", "", cut_bytes, [])
    opening, number = last_link.read.opening, s.number_of(last_link.name)
    settled = [record for _, record in replayed.settled()]
    last_known_us = replayed.last_known_us.get(replayed.boot, 0)
    unconfirmed = [r for r in settled if r.answered == DOUBT]
    unconfirmed += [r for boot, r in recent if boot == replayed.boot and r.ended_us >= last_known_us - UNCONFIRMED_US]
    frames = [f.pack(f.SETTLED, next_seq + n, encode(record)) for n, record in enumerate(settled)]
    next_seq += len(frames)
    last_digest = last_link.read.seal.digest if last_link.read.seal is not None else ""
    if last_link.read.seal is None:
        data = dict(kept)[last_link.name]
        state = _segment_state(data, last_link.read)
        _append_settled(state, frames, settled)
        seal = s.seal_bytes(state, 0, [(d.at, d.end) for d in last_link.read.damages])
        steps.append(Step("add", last_link.name, b"".join(frames) + seal, len(data)))
        last_digest = state.sha.hexdigest()
    elif settled:
        number += 1
        next_opening = Opening(
            opening.proxy,
            opening.chain,
            number,
            opening.boot,
            next_seq - len(frames),
            last_digest,
            opening.anchor_us,
            max(r.ended_us for r in settled),
        )
        data = s.opening_bytes(next_opening, 0) + f.pack(f.CARRY, 0, b"")
        state = _segment_state(data, s.parse(s.name_of(number), data))
        _append_settled(state, frames, settled)
        steps.append(Step("create", s.name_of(number), data + b"".join(frames) + s.seal_bytes(state, 0)))
        last_digest = state.sha.hexdigest()
    return Plan(
        steps,
        settled,
        findings,
        number + 1,
        last_digest,
        next_seq,
        opening.chain,
        opening.proxy,
        cut_bytes,
        unconfirmed,
    )


def _trim_torn_tail(name, data):
    """(remaining bytes, steps, findings). A torn tail is cut; a file without a readable opening is removed."""
    size = len(data)
    opening, _ = read_head(data)
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
    finding = s.Finding(name, end, size, f"torn tail of {size - end} bytes, cut and saved in a file of its own")
    steps.append(Step("cut", name, size=end) if end else Step("remove", name))
    return data[:end], steps, [finding]


def _segment_state(data, read):
    """The SegmentState that a writer of these bytes would have built, from which the seal is made."""
    state = s.SegmentState()
    state.sha.update(data)
    state.size = len(data)
    state.frames = len(read.frames) + len(read.newer) + (read.opening is not None)
    for item in read.frames:
        if item.kind in CLOSING_KINDS or item.kind in (f.BEGUN, f.INTENT):
            _index_record(state, item.at, item.body)
        if item.kind not in s.UNNUMBERED:
            state.last_seq = max(state.last_seq, item.seq)
    return state


def _index_record(state, offset, data):
    try:
        record = decode(Record, data)
    except ValueError:
        return
    state.index.append(s.call_hash(record.call))
    state.index.append(offset)
    state.records += 1
    if record.ended_us:
        state.extend_wall_range(record.wall_us(record.ended_us))


def _append_settled(state, frames, settled):
    for data, record in zip(frames, settled, strict=True):
        state.index.append(s.call_hash(record.call))
        state.index.append(state.size)
        state.records += 1
        state.extend_wall_range(record.wall_us(record.ended_us))
        state.sha.update(data)
        state.size += len(data)
        state.frames += 1
        state.last_seq = f.read(data, 0).seq


def tombstone_of(number, data, following, now_wall_us, keep_us):
    """The Tombstone for a segment whose last record is older than `keep_us`, or None if the segment must stay.
    `following` holds the bytes of the next segment: an unsealed segment is erased only if the next one lists it as
    abandoned. If the wall clock is earlier than the records, nothing is erased."""
    opening, _ = read_head(data)
    seal, next_opening = s.seal_of(data), read_head(following)[0]
    if opening is None or next_opening is None or seal is None and number not in next_opening.abandoned:
        return None
    last_wall = seal.last_wall_us if seal is not None else 0
    if now_wall_us - (last_wall or next_opening.opened_us + next_opening.anchor_us) <= keep_us:
        return None
    if seal is None:
        return Tombstone(opening.proxy, opening.chain, number, "", len(data), 0, -1, 0, now_wall_us)
    return Tombstone(
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
