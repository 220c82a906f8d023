"""Iteration over a folder's segments in order, and verification of the chain of digests.

At most a few segments are in memory at once, however many there are.
"""

from typing import NamedTuple

from thorndale.records import segment as s
from thorndale.records.segment import Finding


class Link(NamedTuple):
    name: str
    read: s.ParsedSegment


def links(segments):
    """Yields a Link for each (name, bytes) pair."""
    for name, data in segments:
        yield Link(name, s.parse(name, data))


def groups(found):
    """Yields lists of Links to be read as one: a segment with the preceding ones that it lists as abandoned."""
    group = []
    for link in found:
        if group:
            opening = link.read.opening
            names = opening.abandoned if opening is not None else ()
            if not all(s.number_of(earlier.name) in names for earlier in group):
                yield group
                group = []
        group.append(link)
    if group:
        yield group


def frames(group):
    """Yields (opening, frame) of a group by sequence number. If a frame was rewritten into a later segment after a
    failed sync, the later copy is used; a frame that was not rewritten is used as it is."""
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


class ChainCheck:
    """Checks the chain Link by Link and collects each defect with its place in `findings`."""

    def __init__(self):
        self.findings, self.records, self.frames, self.segments, self.bytes, self.newer = [], 0, 0, 0, 0, 0
        self.last_number, self.digest, self.last_seq, self.chain = None, None, None, None
        self.erasures, self.tail_size = 0, 0
        self.open_tail = ""  # the last segment, if it has no seal yet

    def erased(self, tombstone):
        """Takes the tombstone's digest and sequence number in place of the erased segment."""
        self._number(s.name_of(tombstone.number), tombstone.number)
        self.erasures += 1
        self.chain = self.chain or tombstone.chain
        if tombstone.digest:
            self.digest, self.last_seq = tombstone.digest, tombstone.last_seq

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
        previous_number = self.last_number
        self._number(name, number)
        adjacent = previous_number is None or previous_number + 1 == number
        self.findings.extend(read.findings)
        if opening is not None:
            if self.open_tail and s.number_of(self.open_tail) in opening.abandoned:
                # The previous segment was abandoned after a failed sync: a write in progress may have torn its end, and
                # this segment repeats the frames written there.
                self.findings = [x for x in self.findings if x.name != self.open_tail or x.end != self.tail_size]
            if self.open_tail and s.number_of(self.open_tail) not in opening.abandoned:
                self.findings.append(
                    Finding(self.open_tail, -1, -1, "has no seal, although another segment follows it")
                )
                adjacent = False
            if self.chain is not None and opening.chain != self.chain:
                self.findings.append(Finding(name, 0, 0, f"belongs to chain {opening.chain}, not to {self.chain}"))
            if adjacent and self.digest is not None and opening.before != self.digest:
                self.findings.append(
                    Finding(name, 0, 0, "its opening holds another digest than that of the segment before it")
                )
            self.chain = self.chain or opening.chain
        else:
            adjacent = False
        sequence_numbers = [item.seq for item in (*read.frames, *read.newer) if item.kind not in s.UNNUMBERED]
        if sequence_numbers and not read.damages:
            if (
                self.last_seq is not None
                and adjacent
                and not (opening and opening.abandoned)
                and min(sequence_numbers) != self.last_seq + 1
            ):
                self.findings.append(
                    Finding(name, 0, 0, f"begins with frame {min(sequence_numbers)} after {self.last_seq}")
                )
            # After a failed sync and a kill, the previous segment may hold frames that this one does not repeat.
            if len(set(sequence_numbers)) != max(sequence_numbers) - min(sequence_numbers) + 1 and not (
                opening and opening.abandoned
            ):
                self.findings.append(Finding(name, 0, read.size, "frames are missing between its first and last"))
        if sequence_numbers:
            self.last_seq = max(sequence_numbers)
        if read.damages:
            self.last_seq = None
        if read.seal is not None:
            self.open_tail, self.digest = "", read.seal.digest
        else:
            self.open_tail, self.tail_size = name, read.size


def verify(segments, tombstones=()):
    """The ChainCheck of (name, bytes) pairs and the Tombstones of erased segments, in order."""
    check = ChainCheck()
    pending = {}
    for tombstone in tombstones:
        pending[tombstone.number] = tombstone
    for link in links(segments):
        number = s.number_of(link.name)
        for number_erased in sorted(n for n in pending if n < number):
            check.erased(pending.pop(number_erased))
        # Killed after the tombstone was written and before the segment was deleted: the segment itself is read.
        pending.pop(number, None)
        check.link(link)
    for number_erased in sorted(pending):
        check.erased(pending[number_erased])
    return check
