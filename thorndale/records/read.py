"""Finished records of one folder or of many, in the order of each proxy's frames; memory does not grow with them."""

from collections import Counter
from typing import NamedTuple

from thorndale.records import chain as c
from thorndale.records import folder as fo
from thorndale.records import frame as f
from thorndale.records import segment as s
from thorndale.records.fold import OVER, Fold, Line
from thorndale.records.record import DOUBT, MAJOR, NO, YES, Record, decode
from thorndale.records.recover import head_of


class Source(NamedTuple):
    """A folder with what it is known by: chain '' for an empty one."""

    name: str
    files: object
    chain: str
    segments: int
    size: int


def lines(files, count=None, fold=None):
    """Yields a Line for each finished record that is no withdrawn one. `count` gathers what was passed over."""
    count = Counter() if count is None else count
    fold = fold or Fold()
    words = fo.words(files)
    for group in c.groups(c.links(fo.segments(files))):
        for link in group:
            count["damaged"] += len(link.read.damages)
            count["newer"] += len(link.read.newer)
            if link.read.opening is None and link.read.size:
                count["unreadable segments"] += 1
        for opening, item in c.frames(group):
            line = fold.take(opening, item)
            if line is None:
                continue
            word = words.get(line.record.call)
            if word is not None and word.word == "withdrawn":
                count["withdrawn"] += 1
                continue
            if word is not None and line.record.answered == DOUBT:
                line.record.answered = YES if word.word == "yes" else NO
            count["records"] += 1
            yield line
    count["open"] = len(fold.open)
    count["faulty"] = fold.faulty
    count["lost"] = fold.lost


def find(files, call):
    """Lines of one call, by the segments' indices: only what may hold it is read. A segment without a seal is read
    whole."""
    words = fo.words(files)
    for name, data in fo.segments(files):
        seal, (opening, _) = s.seal_of(data), head_of(data)
        if opening is None:
            continue
        if seal is None:
            found = [item for item in s.parse(name, data).frames if item.kind in OVER]
        else:
            found = [f.read(data, at) for at in s.place(seal.index, call)]
        for item in found:
            if not isinstance(item, f.Frame) or item.kind not in OVER or item.major != MAJOR:
                continue
            record = decode(Record, item.body)
            if record.call == call:
                word = words.get(call)
                if word is not None and record.answered == DOUBT:
                    record.answered = YES if word.word == "yes" else NO
                yield Line(opening.proxy, opening.chain, opening.boot, item.seq, item.kind == f.SETTLED, record)
                return


def source(name, files):
    chain = ""
    there = fo.numbers(files)
    for _, data in fo.segments(files, there[:1]):
        first = next(f.scan(data), None)
        if isinstance(first, f.Frame) and first.kind == f.OPENING:
            chain = head_of(data)[0].chain
    size = sum(files.size(n) for n in files.names() if n.endswith(".seg"))
    return Source(name, files, chain, len(there), size)


def distinct(sources):
    """The sources, without those that are copies of another: of folders with one chain the one that goes furthest
    stays. Gives (kept, [(copy, of)])."""
    best = {}
    for item in sources:
        if item.chain:
            known = best.get(item.chain)
            if known is None or (item.segments, item.size) > (known.segments, known.size):
                best[item.chain] = item
    kept, copies = [], []
    for item in sources:
        if not item.chain or best[item.chain] is item:
            kept.append(item)
        else:
            copies.append((item.name, best[item.chain].name))
    return kept, copies
