"""A scripted day: its schema, read from JSON5 and validated."""

import os
from typing import Annotated

import pyjson5
from msgspec import Meta, Struct, convert

from thorndale.config.load import ConfigError, collect_schema_problems
from thorndale.standins.links import LinkPlan, overlaps

PositiveMs = Annotated[float, Meta(gt=0)]
KINDS = (
    "dies",
    "drains",
    "slow",
    "hangs",
    "ages",
    "loses answers",
    "resets",
    "reports late",
    "floods",
    "proxy killed",
    "proxy stopped",
    "burst",
    "one proxy",
    "book lost",
    "book muddled",
    "book late to proxy",
    "reports lost to proxy",
    "reports stuck at proxy",
    "rules of proxy",
    "rules of proxy cut off",
)
ALL = "all"  # in place of a list of names: all servers, or all proxies


class CentralServerPlan(Struct, forbid_unknown_fields=True):
    name: str
    trunk_group: str
    transport: Annotated[str, Meta(pattern="^(udp|tcp)$")] = "udp"
    setup_ms: PositiveMs = 8.0
    lines: int = 4000


class CallTypePlan(Struct, forbid_unknown_fields=True):
    name: str
    prefix: str
    part: float
    setup_target_ms: int
    guard_ms: int
    patience_s: int
    hold_ms: int
    revenue: float = 1.0


class SitePlan(Struct, forbid_unknown_fields=True):
    name: str
    trunk_groups: list[str]
    outside_per_s: float = 0.0


class Fault(Struct, forbid_unknown_fields=True):
    """`who` names servers or proxies; the unit of `size` depends on `kind`: a slowdown factor, a share, or seconds."""

    at: float
    kind: str
    who: list[str] = []
    seconds: float = 1.0
    size: float = 1.0


class Day(Struct, forbid_unknown_fields=True):
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    rate: Annotated[float, Meta(gt=0, le=5000)]
    boxes: Annotated[list[CentralServerPlan], Meta(min_length=1)]
    types: Annotated[list[CallTypePlan], Meta(min_length=1)]
    proxies: Annotated[int, Meta(ge=1, le=1000)] = 3
    seed: int = 1
    tcp_part: float = 0.3
    cancel_part: float = 0.0
    busy_part: float = 0.01
    redials: int = 3
    notice_s: float = 1.5
    drain_s: float = 4.0
    queue_ms: int = 2500
    cold_from: float = 0.35
    warm_ms: int = 10_000
    fall_multiple: float = 2.0
    fall_ms: int = 1500
    t1_ms: int = 500
    records: str = ""  # how answers are ordered with their records; '' writes no records
    sites: list[SitePlan] = []
    faults: list[Fault] = []
    links: list[LinkPlan] = []
    fleet: bool = False  # the proxies exchange membership
    uneven: bool = False  # some proxies receive several times the calls of others
    hops: Annotated[int, Meta(ge=1, le=24)] = (
        1  # servers and proxies in equal groups; servers forward calls to the next hop
    )
    chained: bool = False  # proxies write and apply the marks of chains (docs/chains.md)
    progress: bool = True  # servers report with a 181 that they have forwarded a call


def read_day(raw, where):
    """Returns a Day. Raises ConfigError with every error and its path."""
    errors = []
    collect_schema_problems(raw, Day, "", errors)
    if errors:
        raise ConfigError(where, errors)
    day = convert(raw, Day)
    if len(day.boxes) % day.hops or day.proxies % day.hops:
        errors.append(f"hops: {len(day.boxes)} boxes and {day.proxies} proxies do not make {day.hops} equal hops")
    elif day.hops > 1 and len(day.boxes) != day.proxies:
        errors.append(f"hops: each of {len(day.boxes)} boxes needs one proxy, and there are {day.proxies}")
    elif day.hops > 1 and day.tcp_part:
        errors.append("tcp_part: calls that are carried on go by UDP alone: 0 where hops is over 1")
    servers = {plan.name for plan in day.boxes}
    proxies = {f"proxy{n + 1}" for n in range(day.proxies)}
    for n, link in enumerate(day.links):
        for field, known in (("to", servers | proxies), ("proxies", proxies)):
            for name in getattr(link, field):
                if name not in known:
                    errors.append(f"links[{n}].{field}: {name!r} is none of {', '.join(sorted(known))[:200]}")
        if not link.to:
            errors.append(f"links[{n}].to: names nobody")
        if link.at >= day.seconds:
            errors.append(f"links[{n}].at: {link.at} is after the end")
    for a, b in overlaps(day.links):
        errors.append(f"links[{b}]: overlaps links[{a}]: the same fault on the same link at one time")
    for n, fault in enumerate(day.faults):
        if fault.who == [ALL]:
            fault.who = sorted(proxies if "proxy" in fault.kind else servers)
        for m, other in enumerate(day.faults[:n]):
            if (
                other.kind == fault.kind
                and (set(other.who) & set(fault.who) or not fault.who)
                and fault.at < other.at + other.seconds
                and other.at < fault.at + fault.seconds
            ):
                errors.append(f"faults[{n}]: overlaps faults[{m}]: {fault.kind!r} is in force there already")
        if fault.kind not in KINDS:
            errors.append(f"faults[{n}].kind: {fault.kind!r} is none of {', '.join(KINDS)}")
            continue
        known = proxies if "proxy" in fault.kind else servers
        for name in fault.who:
            if name not in known:
                errors.append(f"faults[{n}].who: {name!r} is none of {', '.join(sorted(known))[:200]}")
        if not fault.who and fault.kind not in ("burst", "book lost", "book muddled"):
            errors.append(f"faults[{n}].who: {fault.kind!r} needs at least one")
        if fault.at >= day.seconds:
            errors.append(f"faults[{n}].at: {fault.at} is after the end")
    if abs(sum(plan.part for plan in day.types) - 1) > 0.01:
        errors.append("types: the parts should add up to 1")
    if errors:
        raise ConfigError(where, errors)
    return day


def read_file(path):
    """Reads a Day from a JSON5 file; `from` names a file in the same folder with the defaults of all missing keys.

    Raises ConfigError.
    """

    def raw(name):
        with open(name, encoding="utf-8") as text:
            values = pyjson5.decode(text.read())
        if isinstance(values, dict) and "from" in values:
            base = raw(os.path.join(os.path.dirname(name), os.path.basename(str(values.pop("from")))))
            values = {**base, **values}
        return values

    try:
        return read_day(raw(path), path)
    except OSError as error:
        raise ConfigError(path, [f"{error.filename} cannot be read: {error.strerror}"]) from None
    except (ValueError, pyjson5.Json5Exception, RecursionError) as error:
        raise ConfigError(path, [f"no JSON5 day: {str(error)[:200]}"]) from None


def hop_of(day, number, count):
    """The hop, from 0, of server or proxy `number` out of `count`."""
    return number * day.hops // count


def servers_of(day, proxy):
    """Indices of the servers at which a proxy sets calls up."""
    hop = hop_of(day, proxy, day.proxies)
    return [n for n in range(len(day.boxes)) if hop_of(day, n, len(day.boxes)) == hop]


def settings_of(day, number, port, server_uris, book_uri, folder, fleet=None):
    """The settings file of one proxy, as a map. `server_uris`: where it reaches the servers of its hop; `fleet`: its
    own listening address, and {name: address} of all members."""
    own = [day.boxes[n] for n in servers_of(day, number)]
    groups = list(dict.fromkeys(plan.trunk_group for plan in own))
    records = (
        {"records": {"folder": f"{folder}/proxy{number + 1}.records", "answer": day.records, "segment_bytes": 1 << 20}}
        if day.records
        else {}
    )
    members = [{"name": n, "at": at} for n, at in fleet[1].items()] if fleet else []
    fleet_settings = {"fleet": {"listen": fleet[0], "members": members}} if fleet else {}
    return {
        **records,
        **fleet_settings,
        "name": f"proxy{number + 1}",
        "instances": day.proxies // day.hops,
        "chained": day.chained,
        "listen": [f"udp:127.0.0.1:{port}", f"tcp:127.0.0.1:{port}"],
        "trunk_groups": [{"name": g} for g in groups],
        "servers": [
            {"name": plan.name, "uri": uri, "trunk_group": plan.trunk_group}
            for plan, uri in zip(own, server_uris, strict=True)
        ],
        "sites": [
            {"name": s.name, "trunk_groups": s.trunk_groups, "outside_per_s": s.outside_per_s} for s in day.sites
        ],
        "call_types": [
            {
                "name": t.name,
                "setup_target_ms": t.setup_target_ms,
                "guard_ms": t.guard_ms,
                "hold_ms": t.hold_ms,
                "revenue": t.revenue,
                "late_part": 0.25,
                "trunk_groups": groups,
            }
            for t in day.types
        ],
        "matching": {"file": f"proxy{number + 1}.rules"},
        "book": {"uri": book_uri, "file": f"{folder}/proxy{number + 1}.book", "expires_s": 20},
        "rules": {
            "release_ms": 500,
            "drain_grace_ms": 500,
            "start_capacity": min(0.28, day.cold_from),
            "warm_up_ms": day.warm_ms,
            "fall_multiple": day.fall_multiple,
            "fall_ms": day.fall_ms,
        },
        "sip": {"t1_ms": day.t1_ms, "t2_ms": 8 * day.t1_ms, "t4_ms": 10 * day.t1_ms},
        "stop": {"calls_ms": 3000, "quit_ms": 70 * day.t1_ms},
        "log": {"level": "info", "file": f"{folder}/proxy{number + 1}.log"},
    }


def rules_of(day, edition=1):
    """The rules that classify the calls of the day: the prefix gives the call type, the next digit the trunk group. The
    header X-Sorted carries the result, so that the servers can check it."""
    groups = list(dict.fromkeys(plan.trunk_group for plan in day.boxes))
    return (
        "\n".join(
            f'rule "{t.name} {group}" {{ when prefix(number, "{t.prefix}{digit}") type {t.name} group "{group}" '
            f'header "X-Sorted" = "{t.name} {edition}" }}'
            for t in day.types
            for digit, group in zip("0123456789", groups, strict=False)
        )
        + "\n"
    )
