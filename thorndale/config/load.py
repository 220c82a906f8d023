"""Loads a settings file into validated Settings, or reports all of its problems at once."""

import ipaddress
import os
import types
import typing

import msgspec
import pyjson5

from thorndale.config.lists import make_list_reader
from thorndale.config.settings import Settings
from thorndale.match.errors import MatchError
from thorndale.match.rules import AllowedNames
from thorndale.match.rules import load as load_rules
from thorndale.sip.dialog import hop_for_uri
from thorndale.sip.errors import SipError
from thorndale.sip.headers import is_token, parse_host_port
from thorndale.spelling import nearest

MAX_FILE_BYTES = 16 << 20


class ConfigError(Exception):
    """`problems` is a list of texts of the form `path: what is wrong and how to correct it`; `rendered` is the report
    of the rules with source lines and carets, or empty."""

    def __init__(self, where, problems):
        super().__init__("\n".join(f"{where}: {problem}" for problem in problems))
        self.where, self.problems, self.rendered = where, problems, ""


def read_text(path, kind):
    """The text of a file; `kind` describes the file in error messages. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(path, [f"cannot be read: {error.strerror}; give the path of a {kind}"]) from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(path, [f"larger than {MAX_FILE_BYTES} bytes"])
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ConfigError(path, [f"byte {error.start} is not UTF-8; save the file as UTF-8"]) from None


def decode_json5(text, where):
    """The plain values of a JSON5 text. Raises ConfigError."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise ConfigError(where, [f"no JSON5: {str(error.args[0])[:160]}"]) from None


def load(path):
    """The Settings of a JSON5 file. Raises ConfigError."""
    return parse(read_text(path, "settings file"), str(path))


def parse(text, where="settings"):
    """The Settings of a JSON5 text. Raises ConfigError."""
    raw = decode_json5(text, where)
    problems = []
    collect_schema_problems(raw, Settings, "", problems)
    if problems:
        raise ConfigError(where, problems)
    settings = msgspec.convert(raw, Settings)
    problems = consistency_problems(settings)
    if problems:
        raise ConfigError(where, problems)
    return settings


def load_rule_set(settings, path):
    """The RuleSet that the settings name. `path` is that of the settings file. Raises ConfigError, in which each
    problem has its line and a caret."""
    names = AllowedNames(
        tuple(t.name for t in settings.call_types),
        tuple(g.name for g in settings.trunk_groups),
        tuple(c.name for c in settings.clients),
    )
    where, text = f"{path}: matching.text", settings.matching.text
    if settings.matching.file:
        where = os.path.join(os.path.dirname(str(path)), settings.matching.file)
        try:
            with open(where, "rb") as file:
                text = file.read(MAX_FILE_BYTES + 1).decode("utf-8")
        except OSError as error:
            raise ConfigError(where, [f"cannot be read: {error.strerror}; matching.file names it"]) from None
        except UnicodeDecodeError as error:
            raise ConfigError(where, [f"byte {error.start} is not UTF-8; save the file as UTF-8"]) from None
    try:
        folder = os.path.dirname(where if settings.matching.file else str(path))
        return load_rules(text, names, where, settings.matching.steps, make_list_reader(folder))
    except MatchError as match_error:
        error = ConfigError(where, [f"{d.line}:{d.column}: {d.text}" for d in match_error.diagnostics])
        error.rendered = str(match_error)
        raise error from None


def collect_schema_problems(raw, kind, path, problems):
    """Adds a text to `problems` for every value in `raw` that does not match the type `kind`, each with its path."""
    kind, bounds = _split_annotated(kind)
    if isinstance(kind, types.UnionType):
        if raw is None:
            return
        kind, bounds = _split_annotated(next(k for k in typing.get_args(kind) if k is not type(None)))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        if not isinstance(raw, dict):
            problems.append(f"{path or 'the file'}: should be an object {{...}}, is {_excerpt(raw)}")
            return
        fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key in raw:
            if key not in fields:
                suggestion = nearest(key, fields)
                problems.append(
                    f"{_subpath(path, key)}: unknown name" + (f"; '{suggestion}' is meant?" if suggestion else "")
                )
        for name, field in fields.items():
            if name in raw:
                collect_schema_problems(raw[name], field.type, _subpath(path, name), problems)
            elif field.required:
                problems.append(f"{_subpath(path, name)}: is missing")
        return
    if typing.get_origin(kind) is list:
        if not isinstance(raw, list):
            problems.append(f"{path}: should be a list [...], is {_excerpt(raw)}")
            return
        if any(b.min_length and len(raw) < b.min_length for b in bounds):
            problems.append(f"{path}: needs at least one entry")
        for n, item in enumerate(raw):
            collect_schema_problems(item, typing.get_args(kind)[0], f"{path}[{n}]", problems)
        return
    try:
        msgspec.convert(raw, typing.Annotated[kind, *bounds] if bounds else kind)
    except msgspec.ValidationError as error:
        problems.append(f"{path}: {str(error)[0].lower()}{str(error)[1:]}, is {_excerpt(raw)}")


def _split_annotated(kind):
    if typing.get_origin(kind) is typing.Annotated:
        plain, *bounds = typing.get_args(kind)
        return plain, bounds
    return kind, []


def _subpath(path, name):
    return f"{path}.{name}" if path else name


def _excerpt(raw):
    text = pyjson5.dumps(raw)
    return text if len(text) <= 40 else f"{text[:37]}..."


def parse_listener(text):
    """(transport, host, port) of `udp:ADDRESS:PORT` or `tcp:ADDRESS:PORT`. Raises ValueError."""
    transport, colon, address = text.partition(":")
    if transport not in ("udp", "tcp") or not colon:
        raise ValueError("should be 'udp:ADDRESS:PORT' or 'tcp:ADDRESS:PORT', IPv6 in [...]")
    try:
        host, port = parse_host_port(address, "listen")
    except SipError as error:
        raise ValueError(error.what) from None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host[:40]!r} is not an IP address") from None
    if not port:
        raise ValueError("the port is missing")
    return transport, host, port


def consistency_problems(settings):
    """Problems that involve several fields: unknown or duplicate names, addresses that no listener can reach."""
    problems = []
    for path in ("trunk_groups", "servers", "call_types", "clients", "sites"):
        first_index = {}
        for n, item in enumerate(getattr(settings, path)):
            if item.name in first_index:
                problems.append(
                    f"{path}[{n}].name: {item.name!r} is already the name of {path}[{first_index[item.name]}]"
                )
            first_index.setdefault(item.name, n)
    groups = {g.name for g in settings.trunk_groups}

    def check_name(path, name, known_names, kind_text):
        if name not in known_names:
            suggestion = nearest(name, sorted(known_names))
            problems.append(
                f"{path}: {name!r} is no {kind_text}" + (f"; '{suggestion}' is meant?" if suggestion else "")
            )

    listen_addresses = set()
    for n, text in enumerate(settings.listen):
        try:
            transport, host, port = parse_listener(text)
        except ValueError as error:
            problems.append(f"listen[{n}]: {error}")
            continue
        if (transport, host, port) in [address[:3] for address in listen_addresses]:
            problems.append(f"listen[{n}]: {text!r} is listed already")
        listen_addresses.add((transport, host, port, ":" in host))
    reachable = {(address[0], address[3]) for address in listen_addresses}

    def check_uri(path, text):
        try:
            hop = hop_for_uri(text)
        except SipError as error:
            problems.append(f"{path}: {error.what}; write sip:ADDRESS:PORT or sip:ADDRESS:PORT;transport=tcp")
            return
        if listen_addresses and (hop.transport, ":" in hop.host) not in reachable:
            family = "IPv6" if ":" in hop.host else "IPv4"
            problems.append(f"{path}: no listener for {hop.transport} over {family} can reach it")

    server_uris = {}
    for n, server in enumerate(settings.servers):
        check_name(f"servers[{n}].trunk_group", server.trunk_group, groups, "trunk group")
        check_uri(f"servers[{n}].uri", server.uri)
        if server.uri in server_uris:
            problems.append(f"servers[{n}].uri: {server.uri!r} is that of servers[{server_uris[server.uri]}] already")
        server_uris.setdefault(server.uri, n)
    for n, call_type in enumerate(settings.call_types):
        for i, group in enumerate(call_type.trunk_groups):
            check_name(f"call_types[{n}].trunk_groups[{i}]", group, groups, "trunk group")
        if call_type.setup_target_ms > call_type.guard_ms:
            problems.append(f"call_types[{n}].setup_target_ms: {call_type.setup_target_ms} exceeds the guard time")
    site_names, site_of_group = {s.name for s in settings.sites}, {}
    for n, site in enumerate(settings.sites):
        for i, group in enumerate(site.trunk_groups):
            check_name(f"sites[{n}].trunk_groups[{i}]", group, groups, "trunk group")
            if group in site_of_group:
                problems.append(f"sites[{n}].trunk_groups[{i}]: {group!r} is in sites[{site_of_group[group]}] already")
            site_of_group.setdefault(group, n)
        for i, name in enumerate(site.next or []):
            check_name(f"sites[{n}].next[{i}]", name, site_names, "site")
            if name == site.name or name in site.next[:i]:
                problems.append(
                    f"sites[{n}].next[{i}]: {name!r} is the site itself or a repetition; list each other site once"
                )
    if settings.sites:
        problems += [
            f"sites: trunk group {g!r} is in none; it would be offered no calls"
            for g in sorted(groups - set(site_of_group))
        ]
    if bool(settings.matching.file) == bool(settings.matching.text):
        problems.append("matching: needs either a file or a text")
    quotas = [c.quota_per_s > 0 for c in settings.clients]
    if any(quotas) and not all(quotas):
        problems.append("clients: either all have a quota_per_s or none has")
    if settings.load_header and not is_token(settings.load_header):
        problems.append(f"load_header: {settings.load_header!r} is not a header name")
    if settings.book is not None:
        check_uri("book.uri", settings.book.uri)
    if settings.fleet is not None:
        problems += _fleet_problems(settings)
    if settings.sip.t1_ms > settings.sip.t2_ms:
        problems.append("sip.t1_ms: exceeds t2_ms")
    return problems


def _fleet_problems(settings):
    """Problems in the list of fleet members."""
    fleet, problems, first_index, index_of_address = settings.fleet, [], {}, {}
    addresses = [("fleet.listen", fleet.listen)]
    for n, member in enumerate(fleet.members):
        addresses.append((f"fleet.members[{n}].at", member.at))
        if member.name in first_index:
            first = first_index[member.name]
            problems.append(f"fleet.members[{n}].name: {member.name!r} is already the name of fleet.members[{first}]")
        first_index.setdefault(member.name, n)
        if member.at in index_of_address:
            problems.append(
                f"fleet.members[{n}].at: {member.at!r} is that of fleet.members[{index_of_address[member.at]}] already"
            )
        index_of_address.setdefault(member.at, n)
    for path, text in addresses:
        try:
            if parse_listener(text)[0] != "udp":
                problems.append(f"{path}: {text!r} should begin with 'udp:'; members communicate by datagrams")
        except ValueError as error:
            problems.append(f"{path}: {error}")
    if settings.name not in first_index:
        problems.append(f"fleet.members: {settings.name!r} itself is missing; list every proxy, including this one")
    if len(fleet.members) > settings.instances:
        problems.append(f"fleet.members: {len(fleet.members)} are more than instances, {settings.instances}")
    return problems
