"""One entry of a segment as bytes, and the search for entries in bytes that may be damaged.

A frame is a head of 24 bytes and a body:

    0  2  marker C7 52
    2  1  kind (see KINDS)
    3  1  major version of the body
    4  4  length of the body in bytes, little endian
    8  8  sequence number, little endian
    16 8  XXH3-64 of bytes 0..15 and the body, little endian (xxHash specification 0.8, seed 0)

The checksum guards against torn and rotten bytes, not against a writer with intent: that is what the segments'
chained SHA-256 is for.
"""

import struct
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

MARKER = b"\xc7R"
HEAD = struct.Struct("<2sBBIQQ")
FRONT = struct.Struct("<2sBBIQ")
BODY_MOST = 1 << 28  # bytes; a length over it is damage. The largest body is the list of open calls, some 20 MB

OPENING, BEGUN, SENT, ENDED, WHOLE, SETTLED, MARK, CARRY, SEAL, INTENT, TOMB, WORD = range(1, 13)
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
    TOMB: "tombstone",
    WORD: "word",
}


class Frame(NamedTuple):
    at: int  # offset of its head
    kind: int
    major: int
    seq: int
    body: bytes
    end: int  # offset after its body


class Damage(NamedTuple):
    """Bytes from `at` to `end` that are no frame. `torn`: they reach to the end, as a write cut short leaves them."""

    at: int
    end: int
    torn: bool
    reason: str


def pack(kind, seq, body, major=1):
    front = FRONT.pack(MARKER, kind, major, len(body), seq)
    return front + xxh3_64_intdigest(front + body).to_bytes(8, "little") + body


def read(data, at):
    """The Frame at this offset, or the reason why there is none."""
    if at + HEAD.size > len(data):
        return "head cut short"
    marker, kind, major, length, seq, check = HEAD.unpack_from(data, at)
    if marker != MARKER:
        return "no marker"
    end = at + HEAD.size + length
    if length > BODY_MOST:
        return "length beyond any frame's"
    if end > len(data):
        return "body cut short"
    body = bytes(data[at + HEAD.size : end])
    if xxh3_64_intdigest(bytes(data[at : at + 16]) + body) != check:
        return "checksum differs"
    return Frame(at, kind, major, seq, body, end)


def scan(data, at=0):
    """Yields Frames and Damages, in order, until the end of `data`.

    After damage the next marker from which a whole frame with a fitting checksum reads is where it goes on. Damage
    that nothing follows is torn: whether it was a write cut short or rot in the last frame can't be told apart.
    """
    data = memoryview(data)
    whole = data.obj if isinstance(data.obj, (bytes, bytearray)) and len(data.obj) == len(data) else bytes(data)
    size = len(data)
    while at < size:
        found = read(data, at)
        if isinstance(found, Frame):
            yield found
            at = found.end
            continue
        after = at
        while True:
            after = whole.find(MARKER, after + 1)
            if after < 0:
                yield Damage(at, size, True, found)
                return
            if isinstance(read(data, after), Frame):
                yield Damage(at, after, False, found)
                at = after
                break
