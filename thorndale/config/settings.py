"""The settings' shape. Times end in _ms or _s; what is left out takes the value written here.

Bounds stand beside the fields (msgspec.Meta); what joins several fields is checked in `load.py`.
"""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,63}$")]
Ms = Annotated[int, Meta(ge=0, le=86_400_000)]
MsOver0 = Annotated[int, Meta(ge=1, le=86_400_000)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class TrunkGroup(Struct, forbid_unknown_fields=True, frozen=True):
    """`name` is also its label in `tgrp` (RFC 4904)."""

    name: Name


class CentralServer(Struct, forbid_unknown_fields=True, frozen=True):
    """`uri` is where it takes set-ups: sip:ADDRESS:PORT[;transport=tcp]."""

    name: Name
    uri: str
    trunk_group: str


class CallType(Struct, forbid_unknown_fields=True, frozen=True):
    """`hold_ms` is the mean length of a call; `late_part` what one earns that stands after its setup target;
    `trunk_groups` those that it may take, the first being the first choice where no row names one."""

    name: Name
    setup_target_ms: MsOver0
    guard_ms: MsOver0
    trunk_groups: Annotated[list[str], Meta(min_length=1)]
    hold_ms: MsOver0 = 180_000
    revenue: Annotated[float, Meta(gt=0)] = 1.0
    late_part: Share = 0.0


class Site(Struct, forbid_unknown_fields=True, frozen=True):
    """Trunk groups that are lost together. `outside_per_s`: set-ups a second that it takes of other sites' calls, all
    proxies together; `next`: where its own calls go once it is lost, in this order (left out: the others as listed)."""

    name: Name
    trunk_groups: Annotated[list[str], Meta(min_length=1)]
    outside_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    next: list[str] | None = None


class Client(Struct, forbid_unknown_fields=True, frozen=True):
    """`quota_per_s`: set-ups a second of all proxies together; quotas count when all clients have one."""

    name: Name
    quota_per_s: Annotated[float, Meta(ge=0)] = 0.0


class Matching(Struct, forbid_unknown_fields=True, frozen=True):
    """The rules that sort calls: a file beside the settings, or the text itself; `steps` bounds each expression;
    `examples` is a file of calls and what should become of them, run by `thorndale check`."""

    file: str = ""
    text: str = ""
    examples: str = ""
    steps: Count = 50_000


class Book(Struct, forbid_unknown_fields=True, frozen=True):
    """The pool book: where to subscribe, and where its copy is kept over a restart."""

    uri: str
    file: str = ""
    expires_s: Annotated[int, Meta(ge=1, le=86_400)] = 60


class Rules(Struct, forbid_unknown_fields=True, frozen=True):
    release_ms: Ms = 500
    resend_ms: Ms = 0
    drain_grace_ms: Ms = 500
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 0.28
    warm_up_ms: MsOver0 = 14_000
    fall_multiple: Annotated[float, Meta(ge=1)] = 2.0
    fall_ms: MsOver0 = 1_500


class Comeback(Struct, forbid_unknown_fields=True, frozen=True):
    told: bool = True
    most_ms: Ms = 2_000


class Limits(Struct, forbid_unknown_fields=True, frozen=True):
    """`lag_ms` 0: the loop's lag refuses nothing. `tick_ms`: how late the program may be by itself."""

    open_calls: Count = 60_000
    transactions: Count = 400_000
    seizures: Annotated[int, Meta(ge=1, le=10)] = 5
    connections: Count = 1_024
    unsent_bytes: Count = 1_000_000
    connect_ms: MsOver0 = 500
    partial_ms: MsOver0 = 10_000
    lag_ms: Ms = 250
    tick_ms: MsOver0 = 5
    call_s: Count = 14_400


class Sip(Struct, forbid_unknown_fields=True, frozen=True):
    """RFC 3261's T1, T2 and T4. `trunk_context`: with it, the trunk group goes into the Request-URI (RFC 4904)."""

    t1_ms: MsOver0 = 500
    t2_ms: MsOver0 = 4_000
    t4_ms: MsOver0 = 5_000
    trunk_context: str = ""


class Stop(Struct, forbid_unknown_fields=True, frozen=True):
    """On SIGTERM: calls may go on for `calls_ms`, then are released; after `quit_ms` more the process ends."""

    calls_ms: Ms = 30_000
    quit_ms: Ms = 35_000


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    file: str = ""


class Records(Struct, forbid_unknown_fields=True, frozen=True):
    """Call records: a folder of this proxy's own. `answer` is the order of a final answer and its record (see
    docs/records.md), `on_trouble` what a full or failing disk does: refuse new calls, or lose records, counted.
    `queue` in frames; `segment_bytes` and `segment_s` are when a segment is sealed; `keep_days` 0 keeps all;
    `hash_key_file` holds a key with which callers' numbers are hashed instead of kept."""

    folder: str
    answer: Annotated[str, Meta(pattern="^(written|synced|intent|after)$")] = "written"
    on_trouble: Annotated[str, Meta(pattern="^(refuse|lose)$")] = "refuse"
    queue: Count = 20_000
    wait_ms: MsOver0 = 200
    slow_ms: MsOver0 = 500
    commit_ms: MsOver0 = 10
    segment_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = 64 << 20
    segment_s: Count = 3_600
    keep_days: Annotated[int, Meta(ge=0, le=36_500)] = 0
    hash_key_file: str = ""


class Member(Struct, forbid_unknown_fields=True, frozen=True):
    """A border proxy of the fleet, by the `name` in its own settings; `at` is where it hears the others."""

    name: Name
    at: str


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """The proxies that tell each other who is there: all of them, this one included; `listen` is where this one hears
    them. Left out, no datagram goes to another proxy. `rights`: retries go by the whole fleet's budget too; `words`:
    they tell each other of servers that lose set-ups."""

    listen: str
    members: Annotated[list[Member], Meta(min_length=1)]
    rights: bool = True
    words: bool = True


class Settings(Struct, forbid_unknown_fields=True, frozen=True):
    listen: Annotated[list[str], Meta(min_length=1)]
    trunk_groups: Annotated[list[TrunkGroup], Meta(min_length=1)]
    servers: Annotated[list[CentralServer], Meta(min_length=1)]
    call_types: Annotated[list[CallType], Meta(min_length=1)]
    matching: Matching
    name: Name = "proxy"
    instances: Count = 1
    clients: list[Client] = []
    sites: list[Site] = []
    over_quota_part: Share = 1.0
    load_header: str = "X-Load"
    chained: bool = False  # servers carry calls on through border proxies of their own (docs/chains.md)
    book: Book | None = None
    records: Records | None = None
    fleet: Fleet | None = None
    rules: Rules = Rules()
    comeback: Comeback = Comeback()
    limits: Limits = Limits()
    sip: Sip = Sip()
    stop: Stop = Stop()
    log: Log = Log()
