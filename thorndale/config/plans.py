"""A plan file: what servers can take and what is offered, beside a proxy's settings, in the planner's form."""

import os
from typing import Annotated

from msgspec import Meta, Struct, convert

from thorndale.config.load import ConfigError, decoded, load, read_text, shaped
from thorndale.sites.planner import Capacity, Load
from thorndale.spelling import nearest


class ServerRoom(Struct, forbid_unknown_fields=True, frozen=True):
    """`per_s`: set-ups a second that it takes when warm."""

    name: str
    per_s: Annotated[float, Meta(gt=0, le=1e6)]
    lines: Annotated[float, Meta(gt=0, le=1e9)]


class Offered(Struct, forbid_unknown_fields=True, frozen=True):
    """Calls a second of a type whose own site this is."""

    site: str
    call_type: str
    per_s: Annotated[float, Meta(ge=0, le=1e6)]


class PlanFile(Struct, forbid_unknown_fields=True, frozen=True):
    """`settings` names a proxy's settings beside this file; `keep_own`: part of a standing site's own calls that must
    be served whatever is lost."""

    settings: str
    servers: Annotated[list[ServerRoom], Meta(min_length=1)]
    offered: Annotated[list[Offered], Meta(min_length=1)]
    keep_own: Annotated[float, Meta(ge=0, le=1)] = 0.0


def read_plan(path, site_order):
    """(settings, {server: Capacity}, Load) of a plan file. `site_order(settings)` gives the rows of sites by call type
    and origin. Raises ConfigError with every fault by its path."""
    raw = decoded(read_text(path, "plan file"), path)
    faults = []
    shaped(raw, PlanFile, "", faults)
    if faults:
        raise ConfigError(path, faults)
    given = convert(raw, PlanFile)
    settings = load(os.path.join(os.path.dirname(path), given.settings))
    if not settings.sites:
        raise ConfigError(path, [f"settings: {given.settings} names no sites; there is nothing to plan"])
    sites, types = [s.name for s in settings.sites], [t.name for t in settings.call_types]
    site_of = {g: n for n, s in enumerate(settings.sites) for g in s.trunk_groups}
    known = {s.name: site_of[s.trunk_group] for s in settings.servers}

    def named(where, name, among, what):
        if name not in among:
            near = nearest(name, sorted(among))
            faults.append(f"{where}: {name!r} is no {what} there" + (f"; '{near}' is meant?" if near else ""))
        return name in among

    servers, offered = {}, [[0.0] * len(sites) for _ in types]
    for n, server in enumerate(given.servers):
        if not named(f"servers[{n}].name", server.name, known, "server"):
            continue
        if server.name in servers:
            faults.append(f"servers[{n}].name: {server.name!r} stands before it already")
        servers[server.name] = Capacity(known[server.name], server.per_s, server.lines)
    faults += [
        f"servers: what {name!r} can take is missing"
        for name in known
        if name not in {server.name for server in given.servers}
    ]
    for n, row in enumerate(given.offered):
        site = named(f"offered[{n}].site", row.site, sites, "site")
        if named(f"offered[{n}].call_type", row.call_type, types, "call type") and site:
            offered[types.index(row.call_type)][sites.index(row.site)] += row.per_s
    if faults:
        raise ConfigError(path, faults)
    return (
        settings,
        servers,
        Load(
            offered,
            [t.hold_ms / 1000 for t in settings.call_types],
            [t.revenue for t in settings.call_types],
            site_order(settings),
            given.keep_own,
        ),
    )
