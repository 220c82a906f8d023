"""Encoding of one segment entry, and the scan for entries in bytes that may be damaged.

A frame is a header of 24 bytes and a body:

    0  2  marker C7 52
    2  1  kind (see KINDS)
    3  1  major version of the body
    4  4  length of the body in bytes, little endian
    8  8  sequence number, little endian
    16 8  XXH3-64 of bytes 0..15 and the body, little endian (xxHash specification 0.8, seed 0)

The checksum detects torn writes and bit rot. Deliberate changes are detected by the segments' chained SHA-256.
"""

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

MARKER = b"\xc7R"
HEADER = struct.Struct("<2sBBIQQ")
CHECKED_HEADER = struct.Struct("<2sBBIQ")
MAX_BODY_BYTES = 1 << 28  # a longer length is damage; the largest body, the list of open calls, has some 20 MB

OPENING, BEGUN, SENT, ENDED, WHOLE, SETTLED, MARK, CARRY, SEAL, INTENT, TOMBSTONE, RESOLUTION = range(1, 13)
KINDS = {
    OPENING: "opening",
    BEGUN: "begun",
    SENT: "sent",
    ENDED: "ended",
    WHOLE: "whole",
    SETTLED: "settled",
    MARK: "mark",
    CARRY: "carry",
    SEAL: "seal",
    INTENT: "intent",
    TOMBSTONE: "tombstone",
    RESOLUTION: "word",
}


class Frame(NamedTuple):
    at: int  # offset of its header
    kind: int
    major: int
    seq: int
    body: bytes
    end: int  # offset after its body


class Damage(NamedTuple):
    """Bytes from `at` to `end` that are not a frame. `torn`: they reach the end of the data, as an incomplete write
    does."""

    at: int
    end: int
    torn: bool
    reason: str


def pack(kind, seq, body, major=1):
    header = CHECKED_HEADER.pack(MARKER, kind, major, len(body), seq)
    return header + xxh3_64_intdigest(header + body).to_bytes(8, "little") + body


def read(data, at):
    """The Frame at this offset, or a string with the reason why none can be read."""
    if at + HEADER.size > len(data):
        return "head cut short"
    marker, kind, major, length, seq, checksum = HEADER.unpack_from(data, at)
    if marker != MARKER:
        return "no marker"
    end = at + HEADER.size + length
    if length > MAX_BODY_BYTES:
        return "length exceeds the maximum"
    if end > len(data):
        return "body cut short"
    body = bytes(data[at + HEADER.size : end])
    if xxh3_64_intdigest(bytes(data[at : at + 16]) + body) != checksum:
        return "checksum differs"
    return Frame(at, kind, major, seq, body, end)


def scan(data, at=0):
    """Yields Frames and Damages, in order, until the end of `data`.

    After damage the scan continues at the next marker that starts a complete frame with a correct checksum. Damage up
    to the end is reported as torn: an incomplete write and bit rot in the last frame cannot be distinguished.
    """
    data = memoryview(data)
    buffer = data.obj if isinstance(data.obj, (bytes, bytearray)) and len(data.obj) == len(data) else bytes(data)
    size = len(data)
    while at < size:
        frame_or_reason = read(data, at)
        if isinstance(frame_or_reason, Frame):
            yield frame_or_reason
            at = frame_or_reason.end
            continue
        candidate = at
        while True:
            candidate = buffer.find(MARKER, candidate + 1)
            if candidate < 0:
                yield Damage(at, size, True, frame_or_reason)
                return
            if isinstance(read(data, candidate), Frame):
                yield Damage(at, candidate, False, frame_or_reason)
                at = candidate
                break
