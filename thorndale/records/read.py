"""Reads the finished records of folders, each in the order of its proxy's frames, in bounded memory."""

from collections import Counter
from typing import NamedTuple

from thorndale.records import chain as c
from thorndale.records import folder as fo
from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.frame_replay import CLOSING_KINDS, Line, Replay
from thorndale.records.record import DOUBT, MAJOR, NO, YES, Record, decode
from thorndale.records.recover import read_head


class Source(NamedTuple):
    """A folder and its identity; `chain` is '' for an empty folder."""

    name: str
    files: object
    chain: str
    segments: int
    size: int


def lines(files, count=None, replayed=None):
    """Yields a Line for each finished record that was not withdrawn. `count` counts what was skipped."""
    count = Counter() if count is None else count
    replayed = replayed or Replay()
    resolutions = fo.resolutions(files)
    for group in c.groups(c.links(fo.segments(files))):
        for link in group:
            count["damaged"] += len(link.read.damages)
            count["newer"] += len(link.read.newer)
            if link.read.opening is None and link.read.size:
                count["unreadable segments"] += 1
        for opening, item in c.frames(group):
            line = replayed.take(opening, item)
            if line is None:
                continue
            resolution = resolutions.get(line.record.call)
            if resolution is not None and resolution.word == "withdrawn":
                count["withdrawn"] += 1
                continue
            if resolution is not None and line.record.answered == DOUBT:
                line.record.answered = YES if resolution.word == "yes" else NO
            count["records"] += 1
            yield line
    count["open"] = len(replayed.open)
    count["faulty"] = replayed.faulty
    count["lost"] = replayed.lost


def find(files, call):
    """Yields the Line of one call, looked up in the segments' indices; a segment without a seal is scanned whole."""
    resolutions = fo.resolutions(files)
    for name, data in fo.segments(files):
        seal, (opening, _) = s.seal_of(data), read_head(data)
        if opening is None:
            continue
        if seal is None:
            candidates = [item for item in s.parse(name, data).frames if item.kind in CLOSING_KINDS]
        else:
            candidates = [f.read(data, at) for at in s.offsets_of(seal.index, call)]
        for item in candidates:
            if not isinstance(item, f.Frame) or item.kind not in CLOSING_KINDS or item.major != MAJOR:
                continue
            record = decode(Record, item.body)
            if record.call == call:
                resolution = resolutions.get(call)
                if resolution is not None and record.answered == DOUBT:
                    record.answered = YES if resolution.word == "yes" else NO
                yield Line(opening.proxy, opening.chain, opening.boot, item.seq, item.kind == f.SETTLED, record)
                return


def source(name, files):
    chain = ""
    segment_numbers = fo.numbers(files)
    for _, data in fo.segments(files, segment_numbers[:1]):
        first_frame = next(f.scan(data), None)
        if isinstance(first_frame, f.Frame) and first_frame.kind == f.OPENING:
            chain = read_head(data)[0].chain
    size = sum(files.size(n) for n in files.names() if n.endswith(".seg"))
    return Source(name, files, chain, len(segment_numbers), size)


def distinct(sources):
    """Drops copies: of several folders with the same chain the longest is kept. Returns (kept, [(copy, original)])."""
    longest = {}
    for candidate in sources:
        if candidate.chain:
            best_so_far = longest.get(candidate.chain)
            if best_so_far is None or (candidate.segments, candidate.size) > (best_so_far.segments, best_so_far.size):
                longest[candidate.chain] = candidate
    kept, copies = [], []
    for candidate in sources:
        if not candidate.chain or longest[candidate.chain] is candidate:
            kept.append(candidate)
        else:
            copies.append((candidate.name, longest[candidate.chain].name))
    return kept, copies
