"""The stored data of a call. Times are whole microseconds of the proxy's monotonic clock within one boot; adding
`anchor_us` gives wall time since 1970. A step of the wall clock therefore does not change the durations in a record.

On disk a record is a msgpack array (msgspec). Fields are only ever added at its end: an older reader ignores fields
that it does not know, a newer reader fills in defaults. Any other change of format takes a new major version.
"""

import msgspec

MAJOR = 1

YES, NO, DOUBT = "yes", "no", "doubt"  # whether the caller was answered with a 200; doubt: the proxy stopped meanwhile


class SeizureRecord(msgspec.Struct, array_like=True, frozen=True):
    """One seizure: the server, its outcome, when it was sent and how long it took (us)."""

    server: str
    outcome: str
    at_us: int = 0
    took_us: int = 0


class Record(msgspec.Struct, array_like=True, kw_only=False):
    """`how`: completed, cut, rejected, released, left, refused, proxy stopped and so on. `by`: who ended the call:
    caller, server or proxy. `status`: that of the final answer. `answered`: yes, no or doubt."""

    call: str
    caller_leg: str = ""  # the caller's Call-ID
    caller_tag: str = ""  # its From tag
    server_leg: str = ""  # the Call-ID towards the server
    came_us: int = 0
    stood_us: int = 0  # when the call was answered with a 200; 0: never
    ended_us: int = 0
    anchor_us: int = 0
    call_type: str = ""
    client: str = ""
    trunk_group: str = ""
    server: str = ""
    caller: str = ""
    number: str = ""
    rule: str = ""
    rules: str = ""  # the rule set: its name and a digest of its text
    revenue_class: str = ""
    priority_class: str = ""
    tries: list[SeizureRecord] = []
    answered: str = NO
    status: int = 0
    how: str = ""
    by: str = ""
    caller_seq: int = 0  # CSeq of the caller's INVITE: the same is a retransmission, a higher one a new attempt

    def wall_us(self, at):
        return at + self.anchor_us

    def answered_duration_us(self):
        """us from the answer to the end of the call; never negative, even if a faulty clock wrote the times."""
        return max(0, self.ended_us - self.stood_us) if self.stood_us else 0


class Opening(msgspec.Struct, array_like=True):
    """The first frame of a segment. `before` is the digest in the seal of segment `number` - 1, or of the last sealed
    one if the segments in `abandoned` lie between: a sync failed in them, and their unsynced frames are repeated in
    this one under the same sequence numbers."""

    proxy: str
    chain: str  # 16 random hex digits, chosen when the folder is first used
    number: int
    boot: str  # 16 random hex digits, chosen at each start
    first_seq: int
    before: str
    anchor_us: int
    opened_us: int
    abandoned: list[int] = []


class Seal(msgspec.Struct, array_like=True):
    """The last frame of a segment. `digest`: SHA-256 of all bytes before it. `index`: 16 bytes per indexed frame, the
    XXH64 of the call and the offset, little endian. `damaged`: byte ranges that recovery could not read."""

    digest: str
    frames: int
    last_seq: int
    first_wall_us: int = 0
    last_wall_us: int = 0
    records: int = 0
    index: bytes = b""
    damaged: list[tuple[int, int]] = []


class Tombstone(msgspec.Struct, array_like=True):
    """Replaces an erased segment: what readers need to follow the chain across it. Times in us of wall time."""

    proxy: str
    chain: str
    number: int
    digest: str
    size: int
    records: int
    last_seq: int
    last_wall_us: int
    erased_wall_us: int
    why: str = "age"


class Resolution(msgspec.Struct, array_like=True):
    """A later correction to a written record. `word`: `yes` or `no`, whether the call was answered; `withdrawn`, the
    caller received no answer and repeated its INVITE, so that this record is not a call of its own."""

    call: str
    word: str
    why: str
    wall_us: int


class Mark(msgspec.Struct, array_like=True):
    """A heartbeat: the proxy was running at this time. `wall_us`: the wall clock's time, which may have stepped."""

    at_us: int
    wall_us: int
    lost: int = 0  # records lost so far in this boot, by the policy 'lose'


class Sent(msgspec.Struct, array_like=True):
    """The 200 of these calls has been sent."""

    calls: list[str]


_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
_decoders = {kind: msgspec.msgpack.Decoder(kind) for kind in (Record, Opening, Seal, Tombstone, Mark, Sent, Resolution)}


def decode(kind, body):
    """Raises ValueError if the body is not a valid message of this kind."""
    try:
        return _decoders[kind].decode(body)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a {kind.__name__.lower()}: {error}") from None
