"""What is kept of a call. Times are whole microseconds of the proxy's own clock, which runs on through a boot;
`anchor_us` added to one of them gives wall time since 1970. A wall clock that steps moves no record's times apart.

On disk a record is a msgpack array (msgspec): fields are only ever added at its end, so that an older reader passes
over what it does not know and a newer one fills in what is not there. What could not be read so is a new major.
"""

import msgspec

MAJOR = 1

YES, NO, DOUBT = "yes", "no", "doubt"  # whether the caller was answered with a 200; doubt: stopped just then


class Try(msgspec.Struct, array_like=True, frozen=True):
    """One seizure: which server, how it ended, when it went out and how long it took (us)."""

    server: str
    outcome: str
    at_us: int = 0
    took_us: int = 0


class Record(msgspec.Struct, array_like=True, kw_only=False):
    """`how`: completed, cut, rejected, released, left, refused, proxy stopped and so on; `by`: who ended it: caller,
    server or proxy. `status` is the final answer's. `answered` is yes, no or doubt."""

    call: str
    caller_leg: str = ""  # the caller's Call-ID
    caller_tag: str = ""  # its From tag
    server_leg: str = ""  # the Call-ID towards the server
    came_us: int = 0
    stood_us: int = 0  # 0: it never stood
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
    tries: list[Try] = []
    answered: str = NO
    status: int = 0
    how: str = ""
    by: str = ""
    caller_seq: int = 0  # the CSeq of the caller's INVITE: the same again is a repeat, a higher one a new try

    def wall_us(self, at):
        return at + self.anchor_us

    def stood_for(self):
        """us that it stood; never under 0, whatever a damaged clock wrote."""
        return max(0, self.ended_us - self.stood_us) if self.stood_us else 0


class Opening(msgspec.Struct, array_like=True):
    """The first frame of a segment. `before` is the digest that seals segment `number` - 1, or that of the last one
    that was sealed where those in `abandoned` lie between: a sync failed in them, and what had not been synced
    stands again, under the same sequence numbers, in this one."""

    proxy: str
    chain: str  # 16 hex digits drawn when the folder was first used
    number: int
    boot: str  # 16 hex digits drawn at each start
    first_seq: int
    before: str
    anchor_us: int
    opened_us: int
    abandoned: list[int] = []


class Seal(msgspec.Struct, array_like=True):
    """The last frame of a segment. `digest`: SHA-256 of all bytes before it. `index`: 16 bytes for each call's frame,
    XXH64 of the call and the offset, little endian. `damaged`: ranges that recovery found and could not read."""

    digest: str
    frames: int
    last_seq: int
    first_wall_us: int = 0
    last_wall_us: int = 0
    records: int = 0
    index: bytes = b""
    damaged: list[tuple[int, int]] = []


class Tomb(msgspec.Struct, array_like=True):
    """Stands for a segment that was erased: what readers need to go on along the chain. Times in us of wall time."""

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


class Word(msgspec.Struct, array_like=True):
    """What was learnt later of a call whose record stands: `yes` or `no`, it was answered; `withdrawn`, its caller
    had seen nothing of it and began anew, so that it is no call of its own."""

    call: str
    word: str
    why: str
    wall_us: int


class Mark(msgspec.Struct, array_like=True):
    """The proxy still ran at this time; `wall_us` is what the wall clock said, which may have stepped."""

    at_us: int
    wall_us: int
    lost: int = 0  # records lost so far in this boot, by the policy 'lose'


class Sent(msgspec.Struct, array_like=True):
    """The 200 of these calls has gone out."""

    calls: list[str]


_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
_decoders = {kind: msgspec.msgpack.Decoder(kind) for kind in (Record, Opening, Seal, Tomb, Mark, Sent, Word)}


def decode(kind, body):
    """Raises ValueError where the body is none of this kind."""
    try:
        return _decoders[kind].decode(body)
    except msgspec.MsgspecError as fault:
        raise ValueError(f"not a {kind.__name__.lower()}: {fault}") from None
