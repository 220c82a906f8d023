"""Builds the plain settings map that the decision module is started with from the platform's settings.

The simulator's protocol gives the settings as flat pairs of path and text, a border proxy's configuration gives them as
nested JSON. The nested form is flattened first, so that only `module_settings` builds the map.

tick_us: how much later the host process may deliver an answer than the module decides it. instances: proxies of this
fleet, this one included. type_*: by call type; type_repetition: what is permitted once an attempt may have run.
client_quota: set-ups a second of all proxies, by client. list_asked: whether the server list must be subscribed to.
Times are whole microseconds.
"""

from thorndale import fields as field
from thorndale import interface as io

MAX_TIME_US = 1_000_000_000_000  # upper bound of the times in the settings: some eleven days


def flatten(value, path=""):
    """Nested JSON as pairs of path and text: a list of scalars is joined by commas, any other list gives its length
    under `.count` and its items under their indices. Raises InputError for any other kind of value."""
    if isinstance(value, dict):
        pairs = {}
        for key, item in value.items():
            pairs |= flatten(item, f"{path}.{key}" if path else key)
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict | list) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for n, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{n}")
            return pairs
        return {path: ",".join(_text(path, item) for item in value)}
    return {path: _text(path, value)}


def _text(path, value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float | str):
        return str(value)
    raise field.InputError(f"'{path}' is no plain value")


def _in_range(info, path, parse, minimum, maximum):
    value = field.required(info, path, parse)
    if not minimum <= value <= maximum:
        raise field.InputError(f"'{path}' is {value}, which is not within {minimum} to {maximum}")
    return value


def _per_item(info, path, parse, default=None):
    """The values of path.N.leaf for every N; a missing leaf takes the default, or is an error if there is none."""
    base, leaf = path.split("[].")
    count = field.optional(info, f"{base}.count", field.integer, 0)
    if default is None:
        return [field.required(info, f"{base}.{n}.{leaf}", parse) for n in range(count)]
    return [field.optional(info, f"{base}.{n}.{leaf}", parse, default) for n in range(count)]


def _choice(kind):
    """A parser for the values of an enumeration."""

    def parse(path, text):
        try:
            return kind(text)
        except ValueError:
            names = ", ".join(kind)
            raise field.InputError(f"'{path}' is {text[:40]!r}, which is none of {names}") from None

    return parse


def _repetitions(info):
    """What is permitted for each call type once an attempt may have run; `keyed` requires a group and a window."""
    found = []
    for n in range(field.optional(info, "classes.count", field.integer, 0)):
        path = f"classes.{n}"
        semantics = field.optional(info, f"{path}.semantics", _choice(io.Semantics), io.Semantics.SAFE)
        if semantics != io.Semantics.KEYED:
            found.append(io.Repetition(semantics))
            continue
        group = field.required(info, f"{path}.group", _choice(io.KeyedGroup))
        window_us = _in_range(info, f"{path}.windowMs", field.ms_to_us, 0, MAX_TIME_US)
        found.append(io.Repetition(semantics, group, window_us))
    return found


def module_settings(info):
    """The decision module's settings map from flat pairs. Raises InputError that names a missing or invalid setting."""
    pool_lists = field.optional(info, "familyInfo.skilledPools.count", field.integer, 0)
    return {
        "tick_us": _in_range(info, "tickMs", field.ms_to_us, 1, 60_000_000),
        "instances": _in_range(info, "nInstances", field.integer, 1, 1_000_000),
        "type_target_us": _per_item(info, "classes[].goalTimeMs", field.ms_to_us),
        "type_guard_us": _per_item(info, "classes[].giveUpMs", field.ms_to_us),
        "type_hold_us": [
            field.ms_to_us("familyInfo.classHoldMs", hold)
            for hold in info.get("familyInfo.classHoldMs", "").split(",")
            if hold
        ],
        "type_revenue": _per_item(info, "classes[].worth", field.number),
        "type_late_part": _per_item(info, "classes[].lateWorth", field.number, 0.0),
        "type_repetition": _repetitions(info),
        "type_pools": [
            [
                field.integer("familyInfo.skilledPools", pool)
                for pool in info.get(f"familyInfo.skilledPools.{n}", "").split(",")
                if pool
            ]
            for n in range(pool_lists)
        ],
        "client_quota": _per_item(info, "tenants[].quotaPerS", field.number),
        "over_quota_part": field.optional(info, "overShareWorth", field.number, 1.0),
        "release_us": _in_range(info, "familyInfo.guardMs", field.ms_to_us, 0, MAX_TIME_US),
        "resend_us": field.optional(info, "familyInfo.repeatMs", field.ms_to_us, 0),
        "seizures_max": _in_range(info, "ceilings.sendCap", field.integer, 1, 1000),
        "open_max": _in_range(info, "ceilings.mostHeld", field.integer, 1, 1 << 40),
        "may_cancel": field.optional(info, "ceilings.mayCancel", field.boolean, False),
        "comeback_told": field.optional(info, "ceilings.retryAfter", field.boolean, False),
        "comeback_max_us": field.optional(info, "ceilings.maxRetryAfterMs", field.ms_to_us, 0),
        "drain_grace_us": _in_range(info, "rules.drainGraceMs", field.ms_to_us, 0, MAX_TIME_US),
        "start_capacity": _in_range(info, "rules.startCapacity", field.number, 0, 1),
        "warm_up_us": _in_range(info, "rules.warmUpMs", field.ms_to_us, 1, MAX_TIME_US),
        "fall_multiple": _in_range(info, "rules.fallMultiple", field.number, 0, 1e6),
        "fall_us": _in_range(info, "rules.fallMs", field.ms_to_us, 1, MAX_TIME_US),
        "list_asked": info.get("discovery") == "subscribe",
        "fleet_rights": False,  # proxies on these platforms do not communicate with each other
    }
