"""A segment: a file of frames that begins with an opening and, once complete, ends with a seal.

All functions here work on bytes. Each seal holds the SHA-256 of the bytes before it, and the next segment's opening
repeats that digest: a changed byte, a missing segment or two swapped segments break the chain at a known place.
"""

import hashlib
import re
from array import array
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.records import frame as f
from thorndale.records.record import MAJOR, Opening, Seal, decode, encode

NAME = re.compile(r"^records-(\d{10})\.seg$")


def name_of(number):
    return f"records-{number:010d}.seg"


def number_of(name):
    """The segment's number, or None if the name is not that of a segment."""
    match = NAME.match(name)
    return int(match[1]) if match else None


def call_hash(call):
    return xxh64_intdigest(call.encode())


UNNUMBERED = (f.OPENING, f.CARRY, f.SEAL, f.TOMBSTONE)


class SegmentState:
    """Running state of a segment being written: its size, digest and index so far."""

    def __init__(self):
        self.size, self.opening_size, self.frames, self.records, self.last_seq = 0, 0, 0, 0, -1
        self.sha, self.index = hashlib.sha256(), array("Q")
        self.wall_range = [0, 0]

    def extend_wall_range(self, us):
        first, last = self.wall_range
        self.wall_range = [min(first, us) if first else us, max(last, us)]


def opening_bytes(opening, seq):
    return f.pack(f.OPENING, seq, encode(opening))


def seal_bytes(state, seq, damaged=()):
    index = state.index
    seal = Seal(
        state.sha.hexdigest(),
        state.frames,
        state.last_seq,
        *state.wall_range,
        state.records,
        index.tobytes(),
        list(damaged),
    )
    return f.pack(f.SEAL, seq, encode(seal))


class Finding(NamedTuple):
    """A defect: the file name, offset and end in bytes (-1: the file as a whole), and a description."""

    name: str
    at: int
    end: int
    what: str

    def __str__(self):
        place = f" bytes {self.at} to {self.end}" if self.at >= 0 else ""
        return f"{self.name}{place}: {self.what}"


class ParsedSegment(NamedTuple):
    """A parsed segment. `opening` and `seal` may be None; `frames`: those between; `damages`: unreadable ranges."""

    opening: object
    frames: list
    seal: object
    damages: list
    newer: list  # frames of a major version unknown to this reader
    findings: list
    size: int


def parse(name, data, keep_frames=True):
    """The ParsedSegment of a segment's bytes, with the place of each defect. Never raises for bad bytes."""
    opening, seal, frames, damages, newer, findings = None, None, [], [], [], []
    last_seq, count = -1, 0
    for item in f.scan(data):
        if isinstance(item, f.Damage):
            damages.append(item)
            findings.append(Finding(name, item.at, item.end, f"no frame can be read here: {item.reason}"))
            continue
        if seal is not None:
            findings.append(Finding(name, item.at, item.end, "frame after the seal"))
            continue
        if item.kind == f.SEAL and item.major == MAJOR:
            seal = item
            continue
        count += 1
        if item.kind not in UNNUMBERED:
            if item.seq <= last_seq:
                findings.append(Finding(name, item.at, item.end, f"sequence {item.seq} after {last_seq}"))
            last_seq = max(last_seq, item.seq)
        if item.major != MAJOR:
            newer.append(item)
        elif item.kind == f.OPENING and item.at == 0:
            try:
                opening = decode(Opening, item.body)
            except ValueError as error:
                findings.append(Finding(name, 0, item.end, str(error)))
        elif keep_frames:
            frames.append(item)
    if opening is None:
        findings.append(Finding(name, 0, 0, "has no opening"))
    elif number_of(name) is not None and number_of(name) != opening.number:
        findings.append(Finding(name, 0, 0, f"is segment {opening.number} by its opening"))
    if seal is not None:
        try:
            decoded_seal = decode(Seal, seal.body)
        except ValueError as error:
            findings.append(Finding(name, seal.at, seal.end, str(error)))
            decoded_seal = None
        if decoded_seal is not None:
            known_damage = {tuple(d) for d in decoded_seal.damaged}
            findings = [x for x in findings if (x.at, x.end) not in known_damage or not x.what.startswith("no frame")]
            if hashlib.sha256(memoryview(data)[: seal.at]).hexdigest() != decoded_seal.digest:
                findings.append(Finding(name, 0, seal.at, "its bytes are not those that were sealed"))
            if decoded_seal.frames != count:
                findings.append(
                    Finding(name, 0, seal.at, f"holds {count} frames, was sealed with {decoded_seal.frames}")
                )
            seal = decoded_seal
        else:
            seal = None
    return ParsedSegment(opening, frames, seal, damages, newer, findings, len(data))


def offsets_of(index, call):
    """Offsets of this call's frames in a segment, from the seal's index."""
    pairs, wanted_hash = array("Q"), call_hash(call)
    pairs.frombytes(index)
    return [pairs[n + 1] for n in range(0, len(pairs), 2) if pairs[n] == wanted_hash]


def seal_of(data):
    """The Seal at the end of a segment's bytes, or None; the other frames are not read."""
    at = len(data)
    while (at := data.rfind(f.MARKER + bytes([f.SEAL]), 0, at)) >= 0:
        found = f.read(data, at)
        if isinstance(found, f.Frame) and found.end == len(data):
            try:
                return decode(Seal, found.body)
            except ValueError:
                return None
    return None
