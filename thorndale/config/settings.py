"""The schema of the settings file. Names of times end in _ms or _s; an omitted field takes the default given here.

Bounds of single fields are declared with the fields (msgspec.Meta); rules across fields are checked in `load.py`.
"""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,63}$")]
Ms = Annotated[int, Meta(ge=0, le=86_400_000)]
PositiveMs = Annotated[int, Meta(ge=1, le=86_400_000)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class TrunkGroup(Struct, forbid_unknown_fields=True, frozen=True):
    """`name` is also the label in the `tgrp` URI parameter (RFC 4904)."""

    name: Name


class CentralServer(Struct, forbid_unknown_fields=True, frozen=True):
    """`uri` is the address that accepts set-ups: sip:ADDRESS:PORT[;transport=tcp]."""

    name: Name
    uri: str
    trunk_group: str


class CallType(Struct, forbid_unknown_fields=True, frozen=True):
    """`hold_ms`: mean duration of a call; `late_part`: share of the revenue that a call earns if it is answered after
    its set-up target; `trunk_groups`: the allowed groups, the first of which is preferred if the rule names none."""

    name: Name
    setup_target_ms: PositiveMs
    guard_ms: PositiveMs
    trunk_groups: Annotated[list[str], Meta(min_length=1)]
    hold_ms: PositiveMs = 180_000
    revenue: Annotated[float, Meta(gt=0)] = 1.0
    late_part: Share = 0.0


class Site(Struct, forbid_unknown_fields=True, frozen=True):
    """Trunk groups that fail together. `outside_per_s`: set-ups a second of other sites' calls that the site accepts,
    summed over all proxies; `next`: the sites, in order, that take its own calls once it is lost (default: the other
    sites in the order of the list)."""

    name: Name
    trunk_groups: Annotated[list[str], Meta(min_length=1)]
    outside_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    next: list[str] | None = None


class Client(Struct, forbid_unknown_fields=True, frozen=True):
    """`quota_per_s`: set-ups a second, summed over all proxies; quotas apply only if all clients have one."""

    name: Name
    quota_per_s: Annotated[float, Meta(ge=0)] = 0.0


class Matching(Struct, forbid_unknown_fields=True, frozen=True):
    """The rules that classify calls: a file relative to the settings, or the text itself. `steps`: limit of evaluation
    steps per expression; `examples`: a file of calls with their expected results, run by `thorndale check`."""

    file: str = ""
    text: str = ""
    examples: str = ""
    steps: Count = 50_000


class Book(Struct, forbid_unknown_fields=True, frozen=True):
    """The pool book: the URI to subscribe to, and the file that keeps a copy across restarts."""

    uri: str
    file: str = ""
    expires_s: Annotated[int, Meta(ge=1, le=86_400)] = 60


class Rules(Struct, forbid_unknown_fields=True, frozen=True):
    release_ms: Ms = 500
    resend_ms: Ms = 0
    drain_grace_ms: Ms = 500
    start_capacity: Annotated[float, Meta(gt=0, le=1)] = 0.28
    warm_up_ms: PositiveMs = 14_000
    fall_multiple: Annotated[float, Meta(ge=1)] = 2.0
    fall_ms: PositiveMs = 1_500


class Comeback(Struct, forbid_unknown_fields=True, frozen=True):
    told: bool = True
    most_ms: Ms = 2_000


class Limits(Struct, forbid_unknown_fields=True, frozen=True):
    """`lag_ms`: event-loop delay above which new calls are refused; 0 disables the check. `tick_ms`: timer delay
    that is normal for the process itself."""

    open_calls: Count = 60_000
    transactions: Count = 400_000
    seizures: Annotated[int, Meta(ge=1, le=10)] = 5
    connections: Count = 1_024
    unsent_bytes: Count = 1_000_000
    connect_ms: PositiveMs = 500
    partial_ms: PositiveMs = 10_000
    lag_ms: Ms = 250
    tick_ms: PositiveMs = 5
    call_s: Count = 14_400


class Sip(Struct, forbid_unknown_fields=True, frozen=True):
    """RFC 3261's T1, T2 and T4. `trunk_context`: if set, the Request-URI carries the trunk group (RFC 4904)."""

    t1_ms: PositiveMs = 500
    t2_ms: PositiveMs = 4_000
    t4_ms: PositiveMs = 5_000
    trunk_context: str = ""


class Stop(Struct, forbid_unknown_fields=True, frozen=True):
    """On SIGTERM, calls may continue for `calls_ms` and are then released; the process ends at most `quit_ms` later."""

    calls_ms: Ms = 30_000
    quit_ms: Ms = 35_000


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    file: str = ""


class Records(Struct, forbid_unknown_fields=True, frozen=True):
    """Call records in `folder`, which belongs to this proxy alone. `answer`: the order of a final answer and its record
    (see docs/records.md); `on_trouble`: on a full or failing disk, refuse new calls, or lose records and count them;
    `queue`: in frames; `segment_bytes`, `segment_s`: size and age at which a segment is sealed; `keep_days`: 0 keeps
    all; `hash_key_file`: holds a key with which callers' numbers are hashed instead of stored."""

    folder: str
    answer: Annotated[str, Meta(pattern="^(written|synced|intent|after)$")] = "written"
    on_trouble: Annotated[str, Meta(pattern="^(refuse|lose)$")] = "refuse"
    queue: Count = 20_000
    wait_ms: PositiveMs = 200
    slow_ms: PositiveMs = 500
    commit_ms: PositiveMs = 10
    segment_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = 64 << 20
    segment_s: Count = 3_600
    keep_days: Annotated[int, Meta(ge=0, le=36_500)] = 0
    hash_key_file: str = ""


class Member(Struct, forbid_unknown_fields=True, frozen=True):
    """A border proxy of the fleet. `name`: as in its own settings; `at`: the address at which it receives datagrams."""

    name: Name
    at: str


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """Membership of the fleet. `members`: all proxies, including this one; `listen`: the address at which this proxy
    receives datagrams. Without this section no datagram goes to another proxy. `rights`: retries also require a retry
    lease from the budget of the whole fleet; `words`: proxies send each other failure reports of servers that lose
    set-ups."""

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
    chained: bool = False  # servers forward calls through border proxies of their own (docs/chains.md)
    book: Book | None = None
    records: Records | None = None
    fleet: Fleet | None = None
    rules: Rules = Rules()
    comeback: Comeback = Comeback()
    limits: Limits = Limits()
    sip: Sip = Sip()
    stop: Stop = Stop()
    log: Log = Log()
