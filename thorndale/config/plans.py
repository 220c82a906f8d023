"""Reads a plan file, which adds server capacities and offered load to a proxy's settings, into the planner's types."""

import os
from typing import Annotated

from msgspec import Meta, Struct, convert

from thorndale.config.load import ConfigError, collect_schema_problems, decode_json5, load, read_text
from thorndale.sites.planner import Capacity, Load
from thorndale.spelling import nearest


class ServerCapacity(Struct, forbid_unknown_fields=True, frozen=True):
    """`per_s`: set-ups a second that the server accepts when warm; `lines`: concurrent calls."""

    name: str
    per_s: Annotated[float, Meta(gt=0, le=1e6)]
    lines: Annotated[float, Meta(gt=0, le=1e9)]


class Offered(Struct, forbid_unknown_fields=True, frozen=True):
    """Calls a second of a type that originate at this site."""

    site: str
    call_type: str
    per_s: Annotated[float, Meta(ge=0, le=1e6)]


class PlanFile(Struct, forbid_unknown_fields=True, frozen=True):
    """`settings`: path of a proxy's settings, relative to this file; `keep_own`: share of its own calls that each
    remaining site must serve after any loss."""

    settings: str
    servers: Annotated[list[ServerCapacity], Meta(min_length=1)]
    offered: Annotated[list[Offered], Meta(min_length=1)]
    keep_own: Annotated[float, Meta(ge=0, le=1)] = 0.0


def read_plan(path, site_order):
    """(settings, {server: Capacity}, Load) of a plan file. `site_order(settings)` returns the allowed sites in
    order, by call type and origin. Raises ConfigError with every problem by its path."""
    raw = decode_json5(read_text(path, "plan file"), path)
    problems = []
    collect_schema_problems(raw, PlanFile, "", problems)
    if problems:
        raise ConfigError(path, problems)
    plan_file = convert(raw, PlanFile)
    settings = load(os.path.join(os.path.dirname(path), plan_file.settings))
    if not settings.sites:
        raise ConfigError(path, [f"settings: {plan_file.settings} names no sites; there is nothing to plan"])
    sites, types = [s.name for s in settings.sites], [t.name for t in settings.call_types]
    site_of_group = {g: n for n, s in enumerate(settings.sites) for g in s.trunk_groups}
    site_of_server = {s.name: site_of_group[s.trunk_group] for s in settings.servers}

    def check_name(path_of_name, name, known_names, kind):
        if name not in known_names:
            suggestion = nearest(name, sorted(known_names))
            problems.append(
                f"{path_of_name}: {name!r} is no {kind} there" + (f"; '{suggestion}' is meant?" if suggestion else "")
            )
        return name in known_names

    servers, offered = {}, [[0.0] * len(sites) for _ in types]
    for n, server in enumerate(plan_file.servers):
        if not check_name(f"servers[{n}].name", server.name, site_of_server, "server"):
            continue
        if server.name in servers:
            problems.append(f"servers[{n}].name: {server.name!r} is listed already")
        servers[server.name] = Capacity(site_of_server[server.name], server.per_s, server.lines)
    problems += [
        f"servers: what {name!r} can take is missing"
        for name in site_of_server
        if name not in {server.name for server in plan_file.servers}
    ]
    for n, row in enumerate(plan_file.offered):
        site = check_name(f"offered[{n}].site", row.site, sites, "site")
        if check_name(f"offered[{n}].call_type", row.call_type, types, "call type") and site:
            offered[types.index(row.call_type)][sites.index(row.site)] += row.per_s
    if problems:
        raise ConfigError(path, problems)
    return (
        settings,
        servers,
        Load(
            offered,
            [t.hold_ms / 1000 for t in settings.call_types],
            [t.revenue for t in settings.call_types],
            site_order(settings),
            plan_file.keep_own,
        ),
    )
