"""Codec of the datagrams between proxies: one MessagePack array each. Anything else is rejected with a reason.

A member is identified by a 32-bit hash of its name rather than by its index, so that member lists may differ for a
while, as when a member is added.
"""

from typing import Annotated

import msgspec
from xxhash import xxh32_intdigest

VERSION = 2
PROBE, ACK, INDIRECT_PROBE = 0, 1, 2  # membership: probe; its answer; request to probe another member
EARNED_UNITS, CLOCK_STAMP, LEASE_REQUEST, LEASE_REPLY = 3, 4, 5, 6  # retry leases
FAILURE_REPORTS = 7
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
MAX_UPDATES = 10  # in one datagram, which keeps it under 256 bytes
MAX_ROWS, MAX_REPORTS = 12, 10  # lease rows and failure reports in one datagram, for the same reason
MAX_DATAGRAM_BYTES = 512  # longer datagrams are not from a proxy

WireId = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, gc=False, forbid_unknown_fields=True):
    """`member` is in `state` as of `incarnation`; `boot_id` identifies the member's process."""

    member: WireId
    boot_id: WireId
    incarnation: Counter
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]


class LeaseRow(msgspec.Struct, array_like=True, frozen=True, gc=False, forbid_unknown_fields=True):
    """One row of a retry lease message; `a` and `b` by its kind. EARNED_UNITS: the time in us by the receiver's clock,
    and the number of units. CLOCK_STAMP: the sender's clock in us. LEASE_REQUEST: us from now to the last use.
    LEASE_REPLY: 1 granted, 0 refused."""

    server: WireId
    a: Counter
    b: Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]


class FailureReport(msgspec.Struct, array_like=True, frozen=True, gc=False, forbid_unknown_fields=True):
    """`reporter` lost a set-up that it sent to `server` `age_ms` ago, or got an answer to it (`answered`).
    `process_start_s`: the second at which that process of the server started, 0 for long ago."""

    server: WireId
    reporter: WireId
    process_start_s: WireId
    age_ms: Annotated[int, msgspec.Meta(ge=0, lt=1 << 20)]
    answered: bool


class Datagram(msgspec.Struct, array_like=True, frozen=True, gc=False, forbid_unknown_fields=True):
    """`boot_id` and `incarnation` are those of `sender`. `number` matches an ACK with its PROBE. `about` is the member
    to be probed in an INDIRECT_PROBE, the member that answered in an ACK, and the receiver's process in lease messages;
    else the sender."""

    version: Annotated[int, msgspec.Meta(ge=0, le=255)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=7)]
    sender: WireId
    boot_id: WireId
    incarnation: Counter
    number: WireId
    about: WireId
    updates: Annotated[list[MembershipUpdate], msgspec.Meta(max_length=MAX_UPDATES)] = []
    rows: Annotated[list[LeaseRow], msgspec.Meta(max_length=MAX_ROWS)] = []
    reports: Annotated[list[FailureReport], msgspec.Meta(max_length=MAX_REPORTS)] = []


class WireError(Exception):
    """A datagram that no proxy of this version sends; the message says why."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Datagram).decode


def member_id(name):
    return xxh32_intdigest(name.encode())


def encode(datagram):
    return _encode(datagram)


def decode(data):
    """The decoded datagram. Raises WireError."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise WireError("too long")
    try:
        datagram = _decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WireError(str(error)[:120]) from None
    if datagram.version != VERSION:
        raise WireError(f"version {datagram.version}")
    return datagram
