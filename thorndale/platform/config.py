"""What a border proxy is told at its start: the JSON file of the platform's DEPLOY page, checked, as values."""

import json
from typing import NamedTuple

from thorndale.fields import InputError
from thorndale.platform.errors import PlatformError
from thorndale.platform.feed import read_known
from thorndale.settings import flatten, module_settings


class Kind(NamedTuple):
    """A call type, as set-ups are checked against it."""

    index: int
    name: str
    guard_us: int
    pools: tuple
    width: int


class Config(NamedTuple):
    """`settings`: the module's plain map. `kinds`: {class as bytes: Kind}. `fields`: {the settings' word or x0, x1:
    our word for a field of a report}. `known`: (last number, events)."""

    name: str
    listen: tuple
    seed: int
    sockets: int
    limits: dict
    feed: tuple
    known: tuple
    settings: dict
    kinds: dict
    connect_us: int
    fields: dict


def address(text, where):
    """(host, port). Raises PlatformError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise PlatformError(f"{text!r} is not HOST:PORT", where)
    return host, int(port)


def read(text):
    """A Config from the file's text. Raises PlatformError that names the place."""
    try:
        given = json.loads(text)
    except ValueError as fault:
        raise PlatformError(f"is not JSON: {fault}", "configuration") from None
    if not isinstance(given, dict):
        raise PlatformError("is no JSON object", "configuration")
    for name in ("name", "listen", "seed", "limits", "feed", "known", "settings"):
        if name not in given:
            raise PlatformError("is missing", name)
    limits = given["limits"]
    try:
        seed = int(given["seed"], 16)
        sockets = int(limits["sockets"])
    except (KeyError, TypeError, ValueError) as fault:
        raise PlatformError(f"cannot be read: {type(fault).__name__} {fault}", "seed or limits") from None
    if sockets < 32:
        raise PlatformError(f"{sockets} descriptors are too few, 32 are needed", "limits.sockets")
    try:
        settings = module_settings(flatten(given["settings"]))
    except InputError as fault:
        raise PlatformError(str(fault), "settings") from None
    return Config(
        str(given["name"]),
        address(given["listen"], "listen"),
        seed,
        sockets,
        limits,
        address(given["feed"], "feed"),
        read_known(given["known"]),
        settings,
        *_types(given["settings"], settings),
    )


def _types(raw, settings):
    try:
        info, kinds = raw.get("familyInfo", {}), {}
        widths = info.get("classWidth") or []
        for n, entry in enumerate(raw["classes"]):
            pools = settings["type_pools"][n] if n < len(settings["type_pools"]) else ()
            width = int(widths[n]) if n < len(widths) else 1
            kinds[entry["name"].encode()] = Kind(n, entry["name"], settings["type_guard_us"][n], tuple(pools), width)
        names = dict(zip(("x0", "x1"), ("idle", "circuits"), strict=True))
        return kinds, round(float(raw["ceilings"]["dialTimeoutMs"]) * 1000), names
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise PlatformError(f"cannot be read: {type(fault).__name__} {fault}", "settings") from None
