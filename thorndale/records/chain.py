"""Segments in their order: the walk along them that every reader takes, and whether the chain holds.

Memory is bounded by a few segments, however many there are.
"""

from typing import NamedTuple

from thorndale.records import segment as s
from thorndale.records.segment import Finding


class Link(NamedTuple):
    name: str
    read: s.Read


def links(segments):
    """A Link for each (name, bytes)."""
    for name, data in segments:
        yield Link(name, s.parse(name, data))


def groups(found):
    """Lists of Links that are to be read as one: a segment with those before it that it names as abandoned."""
    held = []
    for link in found:
        if held:
            opening = link.read.opening
            names = opening.abandoned if opening is not None else ()
            if not all(s.number_of(h.name) in names for h in held):
                yield held
                held = []
        held.append(link)
    if held:
        yield held


def frames(group):
    """(opening, frame) of a group in the order of their sequence numbers. Of a frame that stands in two, written
    again after a failed sync, the later copy is taken; one that was never written again counts as it stands."""
    if len(group) == 1:
        read = group[0].read
        if read.opening is not None:
            for item in read.frames:
                yield read.opening, item
        return
    carried, numbered = [], {}
    for link in group:
        read = link.read
        if read.opening is None:
            continue
        for item in read.frames:
            if item.kind in s.UNNUMBERED:
                carried.append((read.opening, item))
            else:
                numbered[item.seq] = (read.opening, item)
    yield from carried
    for seq in sorted(numbered):
        yield numbered[seq]


class Check:
    """Looks along the chain, Link after Link, for what does not fit; `findings` tells where and what."""

    def __init__(self):
        self.findings, self.records, self.frames, self.segments, self.bytes, self.newer = [], 0, 0, 0, 0, 0
        self.last_number, self.digest, self.last_seq, self.chain = None, None, None, None
        self.erasures, self.tail_size = 0, 0
        self.open_tail = ""  # the last segment, if it has no seal yet

    def erased(self, tomb):
        """A segment that was erased properly stands in the chain by its tombstone."""
        self._number(s.name_of(tomb.number), tomb.number)
        self.erasures += 1
        self.chain = self.chain or tomb.chain
        if tomb.digest:
            self.digest, self.last_seq = tomb.digest, tomb.last_seq

    def _number(self, name, number):
        if self.last_number is not None:
            for missing in range(self.last_number + 1, number):
                self.findings.append(Finding(s.name_of(missing), -1, -1, "is missing"))
                self.last_seq = None
        elif number > 1:
            self.findings.append(Finding(s.name_of(1), -1, -1, f"is missing, with all up to number {number - 1}"))
        self.last_number = number

    def link(self, link):
        name, read = link
        number, opening = s.number_of(name), read.opening
        self.segments += 1
        self.bytes += read.size
        self.frames += len(read.frames)
        self.newer += len(read.newer)
        was = self.last_number
        self._number(name, number)
        adjacent = was is None or was + 1 == number
        self.findings.extend(read.findings)
        if opening is not None:
            if self.open_tail and s.number_of(self.open_tail) in opening.abandoned:
                # Given up after a failed sync: a write that was under way then may have torn its end, and what stood
                # there stands again in this one.
                self.findings = [x for x in self.findings if x.name != self.open_tail or x.end != self.tail_size]
            if self.open_tail and s.number_of(self.open_tail) not in opening.abandoned:
                self.findings.append(Finding(self.open_tail, -1, -1, "has no seal, though another follows it"))
                adjacent = False
            if self.chain is not None and opening.chain != self.chain:
                self.findings.append(Finding(name, 0, 0, f"belongs to chain {opening.chain}, not to {self.chain}"))
            if adjacent and self.digest is not None and opening.before != self.digest:
                self.findings.append(Finding(name, 0, 0, "the segment before it is not the one that it was chained to"))
            self.chain = self.chain or opening.chain
        else:
            adjacent = False
        seqs = [item.seq for item in (*read.frames, *read.newer) if item.kind not in s.UNNUMBERED]
        if seqs and not read.damages:
            if (
                self.last_seq is not None
                and adjacent
                and not (opening and opening.abandoned)
                and min(seqs) != self.last_seq + 1
            ):
                self.findings.append(Finding(name, 0, 0, f"begins with frame {min(seqs)} after {self.last_seq}"))
            # After a failed sync and a kill, some of what this one repeats may stand in the one before it only.
            if len(set(seqs)) != max(seqs) - min(seqs) + 1 and not (opening and opening.abandoned):
                self.findings.append(Finding(name, 0, read.size, "frames are missing between its first and last"))
        if seqs:
            self.last_seq = max(seqs)
        if read.damages:
            self.last_seq = None
        if read.seal is not None:
            self.open_tail, self.digest = "", read.seal.digest
        else:
            self.open_tail, self.tail_size = name, read.size


def verify(segments, tombs=()):
    """A Check over (name, bytes) pairs and the Tombs of what was erased, in order."""
    check = Check()
    there = {}
    for tomb in tombs:
        there[tomb.number] = tomb
    for link in links(segments):
        number = s.number_of(link.name)
        for erased in sorted(n for n in there if n < number):
            check.erased(there.pop(erased))
        there.pop(number, None)  # a kill between its tombstone and its end: it still speaks for itself
        check.link(link)
    for erased in sorted(there):
        check.erased(there[erased])
    return check
