"""Tariffs: the price of a call by call type, client, number prefix, date and time of day. Invalid files are rejected.

Of the entries that match a call, those with the longest prefix apply; among these, entries for its client take
precedence, then entries for its call type. The entries of one key must cover the file's dates and each week without gap
or overlap, so that there is exactly one price at each moment.
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

from thorndale.config.load import MAX_FILE_BYTES, ConfigError, collect_schema_problems

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
WEEK = 7 * 1440  # minutes
MODES = {"half even": ROUND_HALF_EVEN, "half up": ROUND_HALF_UP, "up": ROUND_CEILING, "down": ROUND_DOWN}
ANY = "*"
MAX_MONEY = Decimal(10) ** 12


class Rounding(Struct, forbid_unknown_fields=True, frozen=True):
    """`to`: the smallest unit. `at`: whether each call is rounded or only each total."""

    to: str = "0.01"
    mode: Annotated[str, Meta(pattern="^(half even|half up|up|down)$")] = "half even"
    at: Annotated[str, Meta(pattern="^(call|total)$")] = "call"


class Price(Struct, forbid_unknown_fields=True, frozen=True):
    per_call: str = "0"
    per_interval: str = "0"


class Allowance(Struct, forbid_unknown_fields=True, frozen=True):
    """A number of calls or intervals per client and period: free of charge, or charged before `beyond` applies."""

    per: Annotated[str, Meta(pattern="^(day|month)$")]
    calls: Annotated[int, Meta(ge=0)] = 0
    intervals: Annotated[int, Meta(ge=0)] = 0
    beyond: Price | None = None


class Entry(Struct, forbid_unknown_fields=True, frozen=True):
    """`from_date` is the first day, `until_date` the day after the last. `hours`: 'HH:MM-HH:MM', end exclusive."""

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
    free: Allowance | None = None
    quota: Allowance | None = None


class Sheet(Struct, forbid_unknown_fields=True, frozen=True):
    """A tariff file. `call_types` and `clients` list the permitted names; `until_date` is exclusive."""

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
    """An entry prepared for rating: money as Decimal, validity as dates and minutes of the week."""

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
    """Finds the Rate of a call: `key_of` for its attributes, then `at` for the time. `digest`: that of the file."""

    def __init__(self, sheet, keys, zone, digest, unit):
        self.sheet, self.keys, self.zone, self.digest, self.unit = sheet, keys, zone, digest, unit
        self.mode = MODES[sheet.rounding.mode]
        self.lengths = sorted({len(prefix) for prefix, _, _ in keys}, reverse=True)
        self.minutes = {}  # local minute: us at which it begins and ends
        self.found = {}  # (call type, client, number): key

    def key_of(self, call_type, client, number):
        """The most specific key that matches, or None."""
        for length in self.lengths:
            prefix = number[:length]
            if len(prefix) == length:
                for name, kind in ((client, call_type), (client, ANY), (ANY, call_type), (ANY, ANY)):
                    if (prefix, name, kind) in self.keys:
                        return prefix, name, kind
        return None

    def at(self, key, us):
        """(Rate in force, us at which it may change), or None outside the tariff's dates."""
        local = datetime.datetime.fromtimestamp(us // 1_000_000, self.zone)
        day = local.date()
        date_edges, schedules = self.keys[key]
        date_index = bisect_right(date_edges, day) - 1
        if date_index < 0 or date_index >= len(schedules):
            return None
        minute = local.weekday() * 1440 + local.hour * 60 + local.minute
        starts, rates = schedules[date_index]
        window_index = bisect_right(starts, minute) - 1
        # The next change in local time: the end of the time window, or the day on which another entry takes effect.
        until = starts[window_index + 1] if window_index + 1 < len(starts) else WEEK
        midnight = datetime.datetime.combine(day, datetime.time(), self.zone)
        days_ahead, minutes_ahead = divmod(until - local.weekday() * 1440, 1440)
        change = midnight + datetime.timedelta(days=days_ahead, minutes=minutes_ahead)
        date_edge = datetime.datetime.combine(date_edges[date_index + 1], datetime.time(), self.zone)
        change = min(change, date_edge)
        return rates[window_index], max(int(change.timestamp()) * 1_000_000, us + 1)

    def period(self, allowance, us):
        local = datetime.datetime.fromtimestamp(us // 1_000_000, self.zone)
        return local.strftime("%Y-%m-%d" if allowance.per == "day" else "%Y-%m")

    def rounded(self, money):
        return money.quantize(self.unit, self.mode)


def load(path, call_types=()):
    """Reads Tariffs from a JSON5 file and the CSV file that it may name. `call_types`: those of the settings, if
    given. Raises ConfigError with all errors."""
    errors, raw, text = [], None, b""
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES)
        raw = pyjson5.decode(text.decode("utf-8"))
        if isinstance(raw, dict) and isinstance(raw.get("file"), str) and raw["file"]:
            csv_path = os.path.join(os.path.dirname(str(path)), raw["file"])
            with open(csv_path, "rb") as file:
                rows = file.read(MAX_FILE_BYTES)
            text += b"\0" + rows
            raw = {**raw, "tariffs": [*raw.get("tariffs", []), *from_csv(rows.decode("utf-8-sig"), errors, csv_path)]}
    except OSError as error:
        raise ConfigError(path, [f"{error.filename} cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError(path, [f"byte {error.start} is not UTF-8; save the file as UTF-8"]) from None
    except (ValueError, pyjson5.Json5Exception, RecursionError) as error:
        raise ConfigError(path, [f"not valid JSON5: {str(error)[:200]}"]) from None
    return checked(raw, str(path), errors, text, call_types)


NUMBERS = ("interval_s",)
ALLOWANCES = ("free", "quota")


def from_csv(text, errors, where):
    """Entries from CSV: a header of field names, with nested fields as `free.per`, `quota.beyond.per_call` and so on;
    `days` are separated by blanks. Empty cells are omitted."""
    try:
        dialect = csv.Sniffer().sniff(text[:4096], ",;\t")
    except csv.Error:
        dialect = csv.excel
    entries = []
    for row in csv.DictReader(io.StringIO(text, newline=""), dialect=dialect):
        entry, line = {}, len(entries) + 2
        for name, cell in row.items():
            if name is None:
                errors.append(f"{where}:{line}: more cells than the header has names")
                continue
            if cell is None:
                errors.append(f"{where}:{line}: fewer cells than the header has names")
                break
            cell = cell.strip()
            if not cell:
                continue
            target, *field_path = entry, *name.strip().split(".")
            for field_name in field_path[:-1]:
                target = target.setdefault(field_name, {})
            leaf = field_path[-1]
            value = cell.split() if leaf == "days" else cell
            if leaf in ("interval_s", "calls", "intervals") and cell.isascii() and cell.isdigit():
                value = int(cell)
            target[leaf] = value
        entries.append(entry)
    return entries


def checked(raw, where, errors=(), text=b"", call_types=()):
    """Validates a decoded tariff file and returns its Tariffs. Raises ConfigError with all errors found."""
    errors = list(errors)
    collect_schema_problems(raw, Sheet, "", errors)
    if errors:
        raise ConfigError(where, errors)
    sheet = msgspec.convert(raw, Sheet)
    first, last = _day(sheet.from_date, "from_date", errors), _day(sheet.until_date, "until_date", errors)
    zone = datetime.UTC
    try:
        zone = ZoneInfo(sheet.zone)
    except (OSError, ValueError):
        errors.append(f"zone: {sheet.zone!r} is not a time zone; use a name such as Africa/Dakar or UTC")
    unit = _money(sheet.rounding.to, "rounding.to", errors)
    if unit is not None and unit <= 0:
        errors.append(f"rounding.to: {sheet.rounding.to} is not a unit; use a positive amount such as 0.01")
    if first and last and first >= last:
        errors.append("until_date: must be after from_date")
    for index, name in enumerate(sheet.call_types):
        if call_types and name not in call_types:
            errors.append(
                f"call_types[{index}]: {name!r} is not one of the settings' call types ({', '.join(call_types)})"
            )
    names, groups = {}, {}
    for index, entry in enumerate(sheet.tariffs):
        path = f"tariffs[{index}] ({entry.name})"
        if entry.name in names:
            errors.append(f"{path}: the name is already used at tariffs[{names[entry.name]}]")
        names.setdefault(entry.name, index)
        if entry.call_type != ANY and entry.call_type not in sheet.call_types:
            errors.append(
                f"{path}.call_type: {entry.call_type!r} is unknown; call_types lists {', '.join(sheet.call_types)}"
            )
        if entry.client != ANY and entry.client not in sheet.clients:
            errors.append(
                f"{path}.client: {entry.client!r} is unknown; clients lists {', '.join(sheet.clients) or 'none'}"
            )
        rate = _rate(entry, path, first, last, errors)
        if rate is not None:
            groups.setdefault((entry.prefix, entry.client, entry.call_type), []).append(rate)
    if not sheet.tariffs:
        errors.append("tariffs: the list is empty")
    keys = {}
    if first and last:
        for key, rates in groups.items():
            keys[key] = _check_coverage(key, rates, first, last, errors)
        for call_type in sheet.call_types:
            if not any(
                prefix == "" and client == ANY and key_type in (call_type, ANY) for prefix, client, key_type in groups
            ):
                errors.append(f"call_types: {call_type!r} has no tariff for all clients and all numbers")
    if errors:
        raise ConfigError(where, errors)
    return Tariffs(sheet, keys, zone, xxh64_hexdigest(text), unit)


def _day(text, path, errors):
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        errors.append(f"{path}: {text!r} is not a date; use YYYY-MM-DD")
        return None


def _money(text, path, errors):
    try:
        money = Decimal(text)
    except InvalidOperation:
        errors.append(f'{path}: {text!r} is no amount; write it like "0.05"')
        return None
    if not money.is_finite() or money.copy_abs() > MAX_MONEY:
        errors.append(f"{path}: {text!r} is not a valid amount of money")
        return None
    if money < 0:
        errors.append(f"{path}: {text} is negative")
    return money


def _rate(entry, path, first, last, errors):
    money = [_money(getattr(entry, name), f"{path}.{name}", errors) for name in ("per_call", "per_interval", "minimum")]
    beyond = None
    if entry.quota is not None:
        if entry.quota.beyond is None:
            errors.append(f"{path}.quota.beyond: is missing; it states the price beyond the quota")
        else:
            beyond = [
                _money(entry.quota.beyond.per_call, f"{path}.quota.beyond.per_call", errors),
                _money(entry.quota.beyond.per_interval, f"{path}.quota.beyond.per_interval", errors),
            ]
    if entry.free is not None and entry.free.beyond is not None:
        errors.append(f"{path}.free.beyond: not allowed here; beyond a free allowance the entry's own prices apply")
    for name in ALLOWANCES:
        allowance = getattr(entry, name)
        if allowance is not None and bool(allowance.calls) == bool(allowance.intervals):
            errors.append(f"{path}.{name}: needs either calls or intervals")
    valid_from = _day(entry.from_date, f"{path}.from_date", errors) if entry.from_date else first
    valid_until = _day(entry.until_date, f"{path}.until_date", errors) if entry.until_date else last
    if valid_from and valid_until and valid_from >= valid_until:
        errors.append(f"{path}.until_date: must be after from_date")
        return None
    minutes = _minutes(entry, path, errors)
    if valid_from is None or valid_until is None or minutes is None:
        return None
    return Rate(entry, valid_from, valid_until, minutes, (*money, beyond))


def _minutes(entry, path, errors):
    """Sorted (begin, end) spans in minutes of the week, end exclusive."""
    unknown_days = [day_name for day_name in entry.days if day_name not in DAYS]
    if unknown_days:
        errors.append(f"{path}.days: {unknown_days[0]!r} is none of {', '.join(DAYS)}")
        return None
    bounds = []
    for time_text in entry.hours.split("-"):
        hour, colon, minute = time_text.partition(":")
        if (
            not colon
            or not (hour.isdigit() and minute.isdigit())
            or int(minute) > 59
            or int(hour) * 60 + int(minute) > 1440
        ):
            errors.append(f"{path}.hours: {entry.hours!r} is not a time span; use HH:MM-HH:MM, up to 24:00")
            return None
        bounds.append(int(hour) * 60 + int(minute))
    if len(bounds) != 2 or bounds[0] == bounds[1]:
        errors.append(f"{path}.hours: {entry.hours!r} is not a time span; use HH:MM-HH:MM")
        return None
    spans = []
    for day_number, day in enumerate(DAYS):
        if entry.days and day not in entry.days:
            continue
        base, (begin, end) = day_number * 1440, bounds
        if begin < end:
            spans.append((base + begin, base + end))
        else:  # spans midnight
            spans += [(base + begin, base + 1440), (base, base + end)]
    return sorted(span for span in spans if span[0] < span[1])


def _check_coverage(key, rates, first, last, errors):
    """Returns (date_edges, schedules): from date_edges[n] on, schedules[n] holds start minutes of the week and their
    Rates. Adds each gap and overlap to `errors`, with the place where it begins."""
    date_edges = sorted({first, last, *(r.first for r in rates), *(r.last for r in rates)})
    date_edges = [e for e in date_edges if first <= e <= last]
    prefix, client, kind = key
    name = f"tariffs for call type {kind!r}, client {client!r}, prefix {prefix!r}"
    schedules, reported = [], set()
    for begin in date_edges[:-1]:
        active = [(start, end, r) for r in rates if r.first <= begin < r.last for start, end in r.minutes]
        active.sort(key=lambda item: item[:2])
        covered_until, starts, ordered_rates = 0, [], []
        for start, end, rate in active:
            if start > covered_until and ("gap", covered_until) not in reported:
                reported.add(("gap", covered_until))
                errors.append(
                    f"{name}: a gap on {begin} from {_when(covered_until)} to {_when(start)}: no entry covers it"
                )
            if start < covered_until:
                pair = ("overlap", ordered_rates[-1].name, rate.name)
                if pair not in reported:
                    reported.add(pair)
                    errors.append(
                        f"{name}: {ordered_rates[-1].name!r} and {rate.name!r} overlap on {begin} at {_when(start)}"
                    )
            starts.append(start)
            ordered_rates.append(rate)
            covered_until = max(covered_until, end)
        if covered_until < WEEK and ("gap", covered_until) not in reported:
            reported.add(("gap", covered_until))
            errors.append(f"{name}: a gap on {begin} from {_when(covered_until)} to the week's end: no entry covers it")
        schedules.append((starts, ordered_rates))
    return date_edges, schedules


def _when(minute):
    return f"{DAYS[minute // 1440 % 7]} {minute % 1440 // 60:02d}:{minute % 60:02d}"
