"""Tariffs: what a call costs, by call type, client, number prefix, date and time of day; read whole or not at all.

Among the entries that fit a call, those with the longest prefix count, of these the ones that name its client, of
these the ones that name its call type. What is left, the entries of one key, must fit together without gap or
overlap over the file's whole span of dates and over each week, so that there is one price at each moment.
"""

import csv
import datetime
import io
import os
from bisect import bisect_right
from decimal import ROUND_CEILING, ROUND_DOWN, ROUND_HALF_EVEN, ROUND_HALF_UP, Decimal, InvalidOperation
from typing import Annotated
from zoneinfo import ZoneInfo

import msgspec
import pyjson5
from msgspec import Meta, Struct
from xxhash import xxh64_hexdigest

from thorndale.config.load import MAX_FILE, ConfigError, shaped

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
WEEK = 7 * 1440  # minutes
MODES = {"half even": ROUND_HALF_EVEN, "half up": ROUND_HALF_UP, "up": ROUND_CEILING, "down": ROUND_DOWN}
ANY = "*"
MONEY_MOST = Decimal(10) ** 12


class Rounding(Struct, forbid_unknown_fields=True, frozen=True):
    """`to` is the least unit, `at` whether each call is rounded or each total only."""

    to: str = "0.01"
    mode: Annotated[str, Meta(pattern="^(half even|half up|up|down)$")] = "half even"
    at: Annotated[str, Meta(pattern="^(call|total)$")] = "call"


class Price(Struct, forbid_unknown_fields=True, frozen=True):
    per_call: str = "0"
    per_interval: str = "0"


class Share(Struct, forbid_unknown_fields=True, frozen=True):
    """So many calls or intervals of a client's in each period: free of charge, or before `beyond` counts."""

    per: Annotated[str, Meta(pattern="^(day|month)$")]
    calls: Annotated[int, Meta(ge=0)] = 0
    intervals: Annotated[int, Meta(ge=0)] = 0
    beyond: Price | None = None


class Entry(Struct, forbid_unknown_fields=True, frozen=True):
    """`from_date` is the first day, `until_date` the first day no more; `hours` 'HH:MM-HH:MM', ending before it."""

    name: Annotated[str, Meta(min_length=1, max_length=80)]
    call_type: str = ANY
    client: str = ANY
    prefix: str = ""
    from_date: str = ""
    until_date: str = ""
    days: list[str] = []
    hours: str = "00:00-24:00"
    per_call: str = "0"
    interval_s: Annotated[int, Meta(ge=1, le=86_400)] = 60
    per_interval: str = "0"
    minimum: str = "0"
    free: Share | None = None
    quota: Share | None = None


class Sheet(Struct, forbid_unknown_fields=True, frozen=True):
    """`call_types` and `clients` are the names that may occur; the span is from the first day to before the last."""

    currency: Annotated[str, Meta(pattern="^[A-Z]{3}$")]
    from_date: str
    until_date: str
    call_types: Annotated[list[str], Meta(min_length=1)]
    tariffs: list[Entry] = []
    file: str = ""
    clients: list[str] = []
    zone: str = "UTC"
    rounding: Rounding = Rounding()


class Rate:
    """An entry ready to be reckoned with. Money is Decimal, spans are days and minutes of the week."""

    __slots__ = (
        "name",
        "entry",
        "first",
        "last",
        "minutes",
        "per_call",
        "per_interval",
        "interval_us",
        "minimum",
        "beyond",
    )

    def __init__(self, entry, first, last, minutes, money):
        self.name, self.entry, self.first, self.last, self.minutes = entry.name, entry, first, last, minutes
        self.per_call, self.per_interval, self.minimum, self.beyond = money
        self.interval_us = entry.interval_s * 1_000_000


class Tariffs:
    """`at(call_type, client, number, us)` gives (Rate, us of its next change) or None. `digest` names the text."""

    def __init__(self, sheet, keys, zone, digest, unit):
        self.sheet, self.keys, self.zone, self.digest, self.unit = sheet, keys, zone, digest, unit
        self.mode = MODES[sheet.rounding.mode]
        self.lengths = sorted({len(prefix) for prefix, _, _ in keys}, reverse=True)
        self.minutes = {}  # local minute: us it begins at, and ends
        self.found = {}  # (call type, client, number) tails: key

    def key_of(self, call_type, client, number):
        """The most special key that fits, or None."""
        for length in self.lengths:
            prefix = number[:length]
            if len(prefix) == length:
                for name, kind in ((client, call_type), (client, ANY), (ANY, call_type), (ANY, ANY)):
                    if (prefix, name, kind) in self.keys:
                        return prefix, name, kind
        return None

    def at(self, key, us):
        """(Rate in force, us at which it may change), or None outside the span."""
        local = datetime.datetime.fromtimestamp(us // 1_000_000, self.zone)
        day = local.date()
        edges, parts = self.keys[key]
        n = bisect_right(edges, day) - 1
        if n < 0 or n >= len(parts):
            return None
        minute = local.weekday() * 1440 + local.hour * 60 + local.minute
        starts, rates = parts[n]
        i = bisect_right(starts, minute) - 1
        # The next change, told in wall time of the zone: that of the window, or of the day on which dates change.
        until = starts[i + 1] if i + 1 < len(starts) else WEEK
        midnight = datetime.datetime.combine(day, datetime.time(), self.zone)
        days, minutes = divmod(until - local.weekday() * 1440, 1440)
        change = midnight + datetime.timedelta(days=days, minutes=minutes)
        edge = datetime.datetime.combine(edges[n + 1], datetime.time(), self.zone)
        change = min(change, edge)
        return rates[i], max(int(change.timestamp()) * 1_000_000, us + 1)

    def period(self, share, us):
        local = datetime.datetime.fromtimestamp(us // 1_000_000, self.zone)
        return local.strftime("%Y-%m-%d" if share.per == "day" else "%Y-%m")

    def rounded(self, money):
        return money.quantize(self.unit, self.mode)


def load(path, call_types=()):
    """Tariffs from a JSON5 file, with its CSV beside it where it names one. `call_types`: those that the settings
    know, if any. Raises ConfigError with every fault."""
    faults, raw, text = [], None, b""
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE)
        raw = pyjson5.decode(text.decode("utf-8"))
        if isinstance(raw, dict) and isinstance(raw.get("file"), str) and raw["file"]:
            beside = os.path.join(os.path.dirname(str(path)), raw["file"])
            with open(beside, "rb") as file:
                rows = file.read(MAX_FILE)
            text += b"\0" + rows
            raw = {**raw, "tariffs": [*raw.get("tariffs", []), *from_csv(rows.decode("utf-8-sig"), faults, beside)]}
    except OSError as fault:
        raise ConfigError(path, [f"{fault.filename} cannot be read: {fault.strerror}"]) from None
    except UnicodeDecodeError as fault:
        raise ConfigError(path, [f"byte {fault.start} is no UTF-8; save the file as UTF-8"]) from None
    except (ValueError, pyjson5.Json5Exception, RecursionError) as fault:
        raise ConfigError(path, [f"no JSON5: {str(fault)[:200]}"]) from None
    return checked(raw, str(path), faults, text, call_types)


NUMBERS = ("interval_s",)
SHARES = ("free", "quota")


def from_csv(text, faults, where):
    """Entries from CSV: a header of field names, `free.per`, `quota.beyond.per_call` and so on for what lies inside;
    `days` separated by blanks. Empty cells are left out."""
    try:
        dialect = csv.Sniffer().sniff(text[:4096], ",;\t")
    except csv.Error:
        dialect = csv.excel
    out = []
    for row in csv.DictReader(io.StringIO(text, newline=""), dialect=dialect):
        entry, line = {}, len(out) + 2
        for name, cell in row.items():
            if name is None:
                faults.append(f"{where}:{line}: more cells than the header has names")
                continue
            if cell is None:
                faults.append(f"{where}:{line}: fewer cells than the header has names")
                break
            cell = cell.strip()
            if not cell:
                continue
            at, *inside = entry, *name.strip().split(".")
            for part in inside[:-1]:
                at = at.setdefault(part, {})
            last = inside[-1]
            value = cell.split() if last == "days" else cell
            if last in ("interval_s", "calls", "intervals") and cell.isascii() and cell.isdigit():
                value = int(cell)
            at[last] = value
        out.append(entry)
    return out


def checked(raw, where, faults=(), text=b"", call_types=()):
    """Raises ConfigError with every fault that can be told."""
    faults = list(faults)
    shaped(raw, Sheet, "", faults)
    if faults:
        raise ConfigError(where, faults)
    sheet = msgspec.convert(raw, Sheet)
    first, last = _day(sheet.from_date, "from_date", faults), _day(sheet.until_date, "until_date", faults)
    zone = datetime.UTC
    try:
        zone = ZoneInfo(sheet.zone)
    except (OSError, ValueError):
        faults.append(f"zone: {sheet.zone!r} is no time zone; write one like Africa/Dakar or UTC")
    unit = _money(sheet.rounding.to, "rounding.to", faults)
    if unit is not None and unit <= 0:
        faults.append(f"rounding.to: {sheet.rounding.to} is no unit; write 0.01 or the like")
    if first and last and first >= last:
        faults.append("until_date: lies not after from_date")
    for n, name in enumerate(sheet.call_types):
        if call_types and name not in call_types:
            faults.append(f"call_types[{n}]: {name!r} is none of the settings' ({', '.join(call_types)})")
    names, groups = {}, {}
    for n, entry in enumerate(sheet.tariffs):
        at = f"tariffs[{n}] ({entry.name})"
        if entry.name in names:
            faults.append(f"{at}: the name stands at tariffs[{names[entry.name]}] already")
        names.setdefault(entry.name, n)
        if entry.call_type != ANY and entry.call_type not in sheet.call_types:
            faults.append(
                f"{at}.call_type: {entry.call_type!r} is unknown; call_types lists {', '.join(sheet.call_types)}"
            )
        if entry.client != ANY and entry.client not in sheet.clients:
            faults.append(
                f"{at}.client: {entry.client!r} is unknown; clients lists {', '.join(sheet.clients) or 'none'}"
            )
        rate = _rate(entry, at, first, last, faults)
        if rate is not None:
            groups.setdefault((entry.prefix, entry.client, entry.call_type), []).append(rate)
    if not sheet.tariffs:
        faults.append("tariffs: there is none")
    keys = {}
    if first and last:
        for key, rates in groups.items():
            keys[key] = _fitted(key, rates, first, last, faults)
        for kind in sheet.call_types:
            if not any(prefix == "" and client == ANY and of in (kind, ANY) for prefix, client, of in groups):
                faults.append(f"call_types: {kind!r} has no tariff for all clients and all numbers")
    if faults:
        raise ConfigError(where, faults)
    return Tariffs(sheet, keys, zone, xxh64_hexdigest(text), unit)


def _day(text, path, faults):
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        faults.append(f"{path}: {text!r} is no date; write YYYY-MM-DD")
        return None


def _money(text, path, faults):
    try:
        money = Decimal(text)
    except InvalidOperation:
        faults.append(f'{path}: {text!r} is no amount; write it like "0.05"')
        return None
    if not money.is_finite() or money.copy_abs() > MONEY_MOST:
        faults.append(f"{path}: {text!r} is no amount of money")
        return None
    if money < 0:
        faults.append(f"{path}: {text} is negative")
    return money


def _rate(entry, at, first, last, faults):
    money = [_money(getattr(entry, name), f"{at}.{name}", faults) for name in ("per_call", "per_interval", "minimum")]
    beyond = None
    if entry.quota is not None:
        if entry.quota.beyond is None:
            faults.append(f"{at}.quota.beyond: is missing: what is charged past the quota")
        else:
            beyond = [
                _money(entry.quota.beyond.per_call, f"{at}.quota.beyond.per_call", faults),
                _money(entry.quota.beyond.per_interval, f"{at}.quota.beyond.per_interval", faults),
            ]
    if entry.free is not None and entry.free.beyond is not None:
        faults.append(f"{at}.free.beyond: a free share has none; the entry's own prices count past it")
    for name in SHARES:
        share = getattr(entry, name)
        if share is not None and bool(share.calls) == bool(share.intervals):
            faults.append(f"{at}.{name}: needs either calls or intervals")
    begin = _day(entry.from_date, f"{at}.from_date", faults) if entry.from_date else first
    end = _day(entry.until_date, f"{at}.until_date", faults) if entry.until_date else last
    if begin and end and begin >= end:
        faults.append(f"{at}.until_date: lies not after from_date")
        return None
    minutes = _minutes(entry, at, faults)
    if begin is None or end is None or minutes is None:
        return None
    return Rate(entry, begin, end, minutes, (*money, beyond))


def _minutes(entry, at, faults):
    """Spans of minutes of the week, from and before."""
    wrong = [d for d in entry.days if d not in DAYS]
    if wrong:
        faults.append(f"{at}.days: {wrong[0]!r} is none of {', '.join(DAYS)}")
        return None
    bounds = []
    for part in entry.hours.split("-"):
        hour, colon, minute = part.partition(":")
        if (
            not colon
            or not (hour.isdigit() and minute.isdigit())
            or int(minute) > 59
            or int(hour) * 60 + int(minute) > 1440
        ):
            faults.append(f"{at}.hours: {entry.hours!r} is no span; write HH:MM-HH:MM, 24:00 at most")
            return None
        bounds.append(int(hour) * 60 + int(minute))
    if len(bounds) != 2 or bounds[0] == bounds[1]:
        faults.append(f"{at}.hours: {entry.hours!r} is no span; write HH:MM-HH:MM")
        return None
    spans = []
    for n, day in enumerate(DAYS):
        if entry.days and day not in entry.days:
            continue
        base, (begin, end) = n * 1440, bounds
        if begin < end:
            spans.append((base + begin, base + end))
        else:  # over midnight
            spans += [(base + begin, base + 1440), (base, base + end)]
    return sorted(span for span in spans if span[0] < span[1])


def _fitted(key, rates, first, last, faults):
    """(edges, parts): on the dates from edges[n] on, the week is divided at parts[n][0] into parts[n][1]. Adds each
    gap and overlap to `faults`, with where it begins."""
    edges = sorted({first, last, *(r.first for r in rates), *(r.last for r in rates)})
    edges = [e for e in edges if first <= e <= last]
    prefix, client, kind = key
    name = f"tariffs for call type {kind!r}, client {client!r}, prefix {prefix!r}"
    parts, told = [], set()
    for begin in edges[:-1]:
        there = [(a, b, r) for r in rates if r.first <= begin < r.last for a, b in r.minutes]
        there.sort(key=lambda item: item[:2])
        at, starts, order = 0, [], []
        for a, b, rate in there:
            if a > at and ("gap", at) not in told:
                told.add(("gap", at))
                faults.append(f"{name}: a gap on {begin} from {_when(at)} to {_when(a)}: no entry covers it")
            if a < at:
                pair = ("overlap", order[-1].name, rate.name)
                if pair not in told:
                    told.add(pair)
                    faults.append(f"{name}: {order[-1].name!r} and {rate.name!r} overlap on {begin} at {_when(a)}")
            starts.append(a)
            order.append(rate)
            at = max(at, b)
        if at < WEEK and ("gap", at) not in told:
            told.add(("gap", at))
            faults.append(f"{name}: a gap on {begin} from {_when(at)} to the week's end: no entry covers it")
        parts.append((starts, order))
    return edges, parts


def _when(minute):
    return f"{DAYS[minute // 1440 % 7]} {minute % 1440 // 60:02d}:{minute % 60:02d}"
