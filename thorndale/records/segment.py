"""A segment: a file of frames that begins with an opening and, once no more is added, ends with a seal.

All here are functions of bytes. Each segment's seal holds the SHA-256 of what precedes it, and the next opening
holds that digest again: a changed byte, a missing segment or two that were swapped break the chain at a place that
can be named.
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
    """The segment's number, or None for a file that is none."""
    found = NAME.match(name)
    return int(found[1]) if found else None


def call_hash(call):
    return xxh64_intdigest(call.encode())


UNNUMBERED = (f.OPENING, f.CARRY, f.SEAL, f.TOMB)


class Body:
    """What a writer gathers of the segment that it fills: its size, digest and index so far."""

    def __init__(self):
        self.size, self.head, self.frames, self.records, self.last_seq = 0, 0, 0, 0, -1  # head: size when opened
        self.sha, self.index = hashlib.sha256(), array("Q")
        self.walls = [0, 0]

    def wall(self, us):
        first, last = self.walls
        self.walls = [min(first, us) if first else us, max(last, us)]


def opening_bytes(opening, seq):
    return f.pack(f.OPENING, seq, encode(opening))


def seal_bytes(body, seq, damaged=()):
    index = body.index
    seal = Seal(
        body.sha.hexdigest(), body.frames, body.last_seq, *body.walls, body.records, index.tobytes(), list(damaged)
    )
    return f.pack(f.SEAL, seq, encode(seal))


class Finding(NamedTuple):
    """What is wrong at a place: file name, offset and end in bytes (-1: the file as a whole), and what."""

    name: str
    at: int
    end: int
    what: str

    def __str__(self):
        place = f" bytes {self.at} to {self.end}" if self.at >= 0 else ""
        return f"{self.name}{place}: {self.what}"


class Read(NamedTuple):
    """`opening` and `seal` may be None; `frames` are those between; `damages` what could not be read."""

    opening: object
    frames: list
    seal: object
    damages: list
    newer: list  # frames of a major version that this reader does not know
    findings: list
    size: int


def parse(name, data, keep_frames=True):
    """A Read of a segment's bytes; every fault with its place. Nothing in it raises for bad bytes."""
    opening, seal, frames, damages, newer, findings = None, None, [], [], [], []
    last_seq, count = -1, 0
    for found in f.scan(data):
        if isinstance(found, f.Damage):
            damages.append(found)
            findings.append(Finding(name, found.at, found.end, f"no frame can be read here: {found.reason}"))
            continue
        if seal is not None:
            findings.append(Finding(name, found.at, found.end, "stands after the seal"))
            continue
        if found.kind == f.SEAL and found.major == MAJOR:
            seal = found
            continue
        count += 1
        if found.kind not in UNNUMBERED:
            if found.seq <= last_seq:
                findings.append(Finding(name, found.at, found.end, f"sequence {found.seq} after {last_seq}"))
            last_seq = max(last_seq, found.seq)
        if found.major != MAJOR:
            newer.append(found)
        elif found.kind == f.OPENING and found.at == 0:
            try:
                opening = decode(Opening, found.body)
            except ValueError as fault:
                findings.append(Finding(name, 0, found.end, str(fault)))
        elif keep_frames:
            frames.append(found)
    if opening is None:
        findings.append(Finding(name, 0, 0, "has no opening"))
    elif number_of(name) is not None and number_of(name) != opening.number:
        findings.append(Finding(name, 0, 0, f"is segment {opening.number} by its opening"))
    if seal is not None:
        try:
            body = decode(Seal, seal.body)
        except ValueError as fault:
            findings.append(Finding(name, seal.at, seal.end, str(fault)))
            body = None
        if body is not None:
            known = {tuple(d) for d in body.damaged}
            findings = [x for x in findings if (x.at, x.end) not in known or not x.what.startswith("no frame")]
            if hashlib.sha256(memoryview(data)[: seal.at]).hexdigest() != body.digest:
                findings.append(Finding(name, 0, seal.at, "its bytes are not those that were sealed"))
            if body.frames != count:
                findings.append(Finding(name, 0, seal.at, f"holds {count} frames, was sealed with {body.frames}"))
            seal = body
        else:
            seal = None
    return Read(opening, frames, seal, damages, newer, findings, len(data))


def place(index, call):
    """Offsets in a segment at which frames of this call stand, by the seal's index."""
    pairs, wanted = array("Q"), call_hash(call)
    pairs.frombytes(index)
    return [pairs[n + 1] for n in range(0, len(pairs), 2) if pairs[n] == wanted]


def seal_of(data):
    """The Seal at the end of a segment's bytes, or None; the frames before it are not read."""
    at = len(data)
    while (at := data.rfind(f.MARKER + bytes([f.SEAL]), 0, at)) >= 0:
        found = f.read(data, at)
        if isinstance(found, f.Frame) and found.end == len(data):
            try:
                return decode(Seal, found.body)
            except ValueError:
                return None
    return None
