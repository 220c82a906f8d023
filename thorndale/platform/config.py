"""Configuration of a border proxy: the JSON file described on the platform's DEPLOY page, validated and converted."""

import json
from typing import NamedTuple

from thorndale.fields import InputError
from thorndale.platform.bounds import items_within
from thorndale.platform.errors import PlatformError
from thorndale.platform.feed import read_known
from thorndale.settings import flatten, module_settings

DEFAULT_MEMORY_MB = 192.0  # where the configuration names no limit
BYTES_PER_MB = 1 << 20


class CallType(NamedTuple):
    """A call type, against which set-ups are validated."""

    index: int
    name: str
    guard_us: int
    pools: tuple
    width: int


class Config(NamedTuple):
    """`settings`: the flat map for the module. `call_types`: {class name as bytes: CallType}. `fields`: {field of a
    report on the wire: its name in `platform.central.report`}. `known`: (last event number, events).
    `memory_bytes`: the memory limit. `state_bound`: how many items of each kind that callers can fill are kept."""

    name: str
    listen: tuple
    seed: int
    sockets: int
    limits: dict
    feed: tuple
    known: tuple
    settings: dict
    call_types: dict
    connect_us: int
    fields: dict
    memory_bytes: int
    state_bound: int


def address(text, where):
    """Parses HOST:PORT into (host, port). Raises PlatformError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise PlatformError(f"{text!r} is not HOST:PORT", where)
    return host, int(port)


def read(text):
    """Reads a Config from the file's text. Raises PlatformError that names the invalid field."""
    try:
        given = json.loads(text)
    except ValueError as error:
        raise PlatformError(f"is not JSON: {error}", "configuration") from None
    if not isinstance(given, dict):
        raise PlatformError("is no JSON object", "configuration")
    for name in ("name", "listen", "seed", "limits", "feed", "known", "settings"):
        if name not in given:
            raise PlatformError("is missing", name)
    limits = given["limits"]
    try:
        seed = int(given["seed"], 16)
        sockets = int(limits["sockets"])
        memory_mb = float(limits.get("memory_mb", DEFAULT_MEMORY_MB))
        memory_bytes = int(memory_mb * BYTES_PER_MB)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise PlatformError(f"cannot be read: {type(error).__name__} {error}", "seed or limits") from None
    if sockets < 32:
        raise PlatformError(f"{sockets} descriptors are too few, 32 are needed", "limits.sockets")
    if memory_bytes <= 0:
        raise PlatformError(f"{memory_mb} MB are too few", "limits.memory_mb")
    try:
        settings = module_settings(flatten(given["settings"]))
    except InputError as error:
        raise PlatformError(str(error), "settings") from None
    state_bound = items_within(memory_mb)
    settings["open_max"] = min(settings["open_max"], state_bound)
    return Config(
        str(given["name"]),
        address(given["listen"], "listen"),
        seed,
        sockets,
        limits,
        address(given["feed"], "feed"),
        read_known(given["known"], _zones(given["settings"])),
        settings,
        *_types(given["settings"], settings),
        memory_bytes,
        state_bound,
    )


def _zones(raw):
    zones = raw.get("zones") or ()
    if not isinstance(zones, list | tuple) or not all(isinstance(name, str) for name in zones):
        raise PlatformError("is no list of names", "settings.zones")
    return zones


def _types(raw, settings):
    try:
        info, call_types = raw.get("familyInfo", {}), {}
        widths = info.get("classWidth") or []
        for n, entry in enumerate(raw["classes"]):
            pools = settings["type_pools"][n] if n < len(settings["type_pools"]) else ()
            width = int(widths[n]) if n < len(widths) else 1
            call_types[entry["name"].encode()] = CallType(
                n, entry["name"], settings["type_guard_us"][n], tuple(pools), width
            )
        names = dict(zip(("x0", "x1"), ("idle", "circuits"), strict=True))
        return call_types, round(float(raw["ceilings"]["dialTimeoutMs"]) * 1000), names
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformError(f"cannot be read: {type(error).__name__} {error}", "settings") from None
