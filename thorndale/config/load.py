"""A settings file to checked Settings, or all its faults at once."""

import ipaddress
import os
import types
import typing

import msgspec
import pyjson5

from thorndale.config.lists import reader
from thorndale.config.settings import Settings
from thorndale.match.errors import MatchError
from thorndale.match.rules import AllowedNames
from thorndale.match.rules import load as load_rules
from thorndale.sip.dialog import hop_for_uri
from thorndale.sip.errors import SipError
from thorndale.sip.headers import is_token, parse_host_port
from thorndale.spelling import nearest

MAX_FILE = 16 << 20  # bytes


class ConfigError(Exception):
    """`faults` is a list of texts, each `path: what is wrong and what would do`."""

    def __init__(self, where, faults):
        super().__init__("\n".join(f"{where}: {fault}" for fault in faults))
        self.where, self.faults, self.shown = where, faults, ""  # shown: with lines and carets, where there are some


def read_text(path, kind):
    """The text of a file that is a `kind` in the faults' words. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as fault:
        raise ConfigError(path, [f"cannot be read: {fault.strerror}; give the path of a {kind}"]) from None
    if len(data) > MAX_FILE:
        raise ConfigError(path, [f"larger than {MAX_FILE} bytes"])
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as fault:
        raise ConfigError(path, [f"byte {fault.start} is no UTF-8; save the file as UTF-8"]) from None


def decoded(text, where):
    """Plain values of a JSON5 text. Raises ConfigError."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as fault:
        raise ConfigError(where, [f"no JSON5: {str(fault.args[0])[:160]}"]) from None


def load(path):
    """The Settings of a JSON5 file. Raises ConfigError."""
    return parse(read_text(path, "settings file"), str(path))


def parse(text, where="settings"):
    """The Settings of a JSON5 text. Raises ConfigError."""
    raw = decoded(text, where)
    faults = []
    shaped(raw, Settings, "", faults)
    if faults:
        raise ConfigError(where, faults)
    settings = msgspec.convert(raw, Settings)
    faults = joined(settings)
    if faults:
        raise ConfigError(where, faults)
    return settings


def matching(settings, path):
    """The RuleSet that the settings name. `path` is the settings file's. Raises ConfigError, each fault with its line
    and a caret."""
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
                text = file.read(MAX_FILE + 1).decode("utf-8")
        except OSError as fault:
            raise ConfigError(where, [f"cannot be read: {fault.strerror}; matching.file names it"]) from None
        except UnicodeDecodeError as fault:
            raise ConfigError(where, [f"byte {fault.start} is no UTF-8; save the file as UTF-8"]) from None
    try:
        folder = os.path.dirname(where if settings.matching.file else str(path))
        return load_rules(text, names, where, settings.matching.steps, reader(folder))
    except MatchError as bad:
        fault = ConfigError(where, [f"{f.line}:{f.column}: {f.text}" for f in bad.diagnostics])
        fault.shown = str(bad)
        raise fault from None


def shaped(raw, kind, path, faults):
    """Adds to `faults` whatever in `raw` does not fit the type `kind`, each by its own path."""
    kind, bounds = _bare(kind)
    if isinstance(kind, types.UnionType):
        if raw is None:
            return
        kind, bounds = _bare(next(k for k in typing.get_args(kind) if k is not type(None)))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        if not isinstance(raw, dict):
            faults.append(f"{path or 'the file'}: should be an object {{...}}, is {_name(raw)}")
            return
        known = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key in raw:
            if key not in known:
                near = nearest(key, known)
                faults.append(f"{_at(path, key)}: unknown name" + (f"; '{near}' is meant?" if near else ""))
        for name, field in known.items():
            if name in raw:
                shaped(raw[name], field.type, _at(path, name), faults)
            elif field.required:
                faults.append(f"{_at(path, name)}: is missing")
        return
    if typing.get_origin(kind) is list:
        if not isinstance(raw, list):
            faults.append(f"{path}: should be a list [...], is {_name(raw)}")
            return
        if any(b.min_length and len(raw) < b.min_length for b in bounds):
            faults.append(f"{path}: needs at least one entry")
        for n, item in enumerate(raw):
            shaped(item, typing.get_args(kind)[0], f"{path}[{n}]", faults)
        return
    try:
        msgspec.convert(raw, typing.Annotated[kind, *bounds] if bounds else kind)
    except msgspec.ValidationError as fault:
        faults.append(f"{path}: {str(fault)[0].lower()}{str(fault)[1:]}, is {_name(raw)}")


def _bare(kind):
    if typing.get_origin(kind) is typing.Annotated:
        bare, *bounds = typing.get_args(kind)
        return bare, bounds
    return kind, []


def _at(path, name):
    return f"{path}.{name}" if path else name


def _name(raw):
    text = pyjson5.dumps(raw)
    return text if len(text) <= 40 else f"{text[:37]}..."


def listener(text):
    """transport, host, port of `udp:ADDRESS:PORT`. Raises ValueError."""
    transport, colon, rest = text.partition(":")
    if transport not in ("udp", "tcp") or not colon:
        raise ValueError("should be 'udp:ADDRESS:PORT' or 'tcp:ADDRESS:PORT', IPv6 in [...]")
    try:
        host, port = parse_host_port(rest, "listen")
    except SipError as fault:
        raise ValueError(fault.what) from None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host[:40]!r} is no address") from None
    if not port:
        raise ValueError("the port is missing")
    return transport, host, port


def joined(settings):
    """Faults that lie between fields: names that are not there or twice, addresses that can't be reached."""
    faults = []
    for path in ("trunk_groups", "servers", "call_types", "clients", "sites"):
        seen = {}
        for n, item in enumerate(getattr(settings, path)):
            if item.name in seen:
                faults.append(f"{path}[{n}].name: {item.name!r} stands at {path}[{seen[item.name]}] already")
            seen.setdefault(item.name, n)
    groups = {g.name for g in settings.trunk_groups}

    def named(path, name, among, what):
        if name not in among:
            near = nearest(name, sorted(among))
            faults.append(f"{path}: {name!r} is no {what}" + (f"; '{near}' is meant?" if near else ""))

    ways = set()
    for n, text in enumerate(settings.listen):
        try:
            transport, host, port = listener(text)
        except ValueError as fault:
            faults.append(f"listen[{n}]: {fault}")
            continue
        if (transport, host, port) in [w[:3] for w in ways]:
            faults.append(f"listen[{n}]: {text!r} stands there already")
        ways.add((transport, host, port, ":" in host))
    reachable = {(w[0], w[3]) for w in ways}

    def uri(path, text):
        try:
            hop = hop_for_uri(text)
        except SipError as fault:
            faults.append(f"{path}: {fault.what}; write sip:ADDRESS:PORT or sip:ADDRESS:PORT;transport=tcp")
            return
        if ways and (hop.transport, ":" in hop.host) not in reachable:
            family = "IPv6" if ":" in hop.host else "IPv4"
            faults.append(f"{path}: no listener for {hop.transport} over {family}, from which it could be reached")

    addresses = {}
    for n, server in enumerate(settings.servers):
        named(f"servers[{n}].trunk_group", server.trunk_group, groups, "trunk group")
        uri(f"servers[{n}].uri", server.uri)
        if server.uri in addresses:
            faults.append(f"servers[{n}].uri: {server.uri!r} is that of servers[{addresses[server.uri]}] already")
        addresses.setdefault(server.uri, n)
    for n, kind in enumerate(settings.call_types):
        for i, group in enumerate(kind.trunk_groups):
            named(f"call_types[{n}].trunk_groups[{i}]", group, groups, "trunk group")
        if kind.setup_target_ms > kind.guard_ms:
            faults.append(f"call_types[{n}].setup_target_ms: {kind.setup_target_ms} is over the guard time")
    sites, taken = {s.name for s in settings.sites}, {}
    for n, site in enumerate(settings.sites):
        for i, group in enumerate(site.trunk_groups):
            named(f"sites[{n}].trunk_groups[{i}]", group, groups, "trunk group")
            if group in taken:
                faults.append(f"sites[{n}].trunk_groups[{i}]: {group!r} is in sites[{taken[group]}] already")
            taken.setdefault(group, n)
        for i, name in enumerate(site.next or []):
            named(f"sites[{n}].next[{i}]", name, sites, "site")
            if name == site.name or name in site.next[:i]:
                faults.append(f"sites[{n}].next[{i}]: {name!r} stands before it already; name each other site once")
    if settings.sites:
        faults += [
            f"sites: trunk group {g!r} is in none; no call would be offered to it" for g in sorted(groups - set(taken))
        ]
    if bool(settings.matching.file) == bool(settings.matching.text):
        faults.append("matching: needs either a file or a text")
    quotas = [c.quota_per_s > 0 for c in settings.clients]
    if any(quotas) and not all(quotas):
        faults.append("clients: either all have a quota_per_s or none has")
    if settings.load_header and not is_token(settings.load_header):
        faults.append(f"load_header: {settings.load_header!r} is no header name")
    if settings.book is not None:
        uri("book.uri", settings.book.uri)
    if settings.fleet is not None:
        faults += _fleet(settings)
    if settings.sip.t1_ms > settings.sip.t2_ms:
        faults.append("sip.t1_ms: is over t2_ms")
    return faults


def _fleet(settings):
    """Faults of the list of members."""
    fleet, faults, seen, places = settings.fleet, [], {}, {}
    places_of = [("fleet.listen", fleet.listen)]
    for n, member in enumerate(fleet.members):
        places_of.append((f"fleet.members[{n}].at", member.at))
        if member.name in seen:
            first = seen[member.name]
            faults.append(f"fleet.members[{n}].name: {member.name!r} stands at fleet.members[{first}] already")
        seen.setdefault(member.name, n)
        if member.at in places:
            faults.append(f"fleet.members[{n}].at: {member.at!r} is that of fleet.members[{places[member.at]}] already")
        places.setdefault(member.at, n)
    for path, text in places_of:
        try:
            if listener(text)[0] != "udp":
                faults.append(f"{path}: {text!r} should begin with 'udp:'; members speak by datagrams")
        except ValueError as fault:
            faults.append(f"{path}: {fault}")
    if settings.name not in seen:
        faults.append(f"fleet.members: {settings.name!r} itself is missing; name every proxy, this one too")
    if len(fleet.members) > settings.instances:
        faults.append(f"fleet.members: {len(fleet.members)} are more than instances, {settings.instances}")
    return faults
