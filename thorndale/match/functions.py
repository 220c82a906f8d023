"""The functions and names of the language: their types, maximum cost, maximum result size and implementation.

A step is one unit of work: a node, a table row, or CHARS_PER_STEP characters of a text. `cost(sizes)` gives the steps
for arguments of at most these sizes (characters of a text, values of a list). The checker applies it to the maximum
sizes, the interpreter to the actual ones, so that the interpreter never counts more steps than the proven bound.
"""

import re
import zoneinfo
from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.match.facts import MAX_HEADER_VALUES, MAX_TEXT_CHARS
from thorndale.match.tree import LIST, NUMBER, SPAN, TEXT, URI, YESNO, Type
from thorndale.sip.errors import SipError
from thorndale.sip.headers import is_token
from thorndale.sip.message import header_key
from thorndale.sip.uri import parse_uri

CHARS_PER_STEP = 16
MAX_HASH_BUCKETS = 1_000_000
OPTIONAL_TEXT, OPTIONAL_NUMBER, OPTIONAL_URI = (Type(k, True) for k in ("text", "number", "uri"))


def text_steps(length):
    return (length + CHARS_PER_STEP - 1) // CHARS_PER_STEP


class Function(NamedTuple):
    """A function of the language, implemented by `run(facts, *args)`.

    `literal_args` are the positions whose argument must be a literal; `check_literals(values)` returns an error text
    or None. `literal_kind` tells `prepare_literals` how to convert the literals before `run` receives them.
    `max_size(sizes)` bounds the size of the result."""

    args: tuple
    result_type: Type
    cost: Callable
    run: Callable
    max_size: Callable = lambda sizes: 0
    literal_args: tuple = ()
    check_literals: Callable = lambda values: None
    literal_kind: Callable = None
    example: str = ""
    description: str = ""


def _utf8(value):
    return value.encode("utf-8", "surrogateescape")


def _check_header_name(values):
    name = values[0]
    return None if is_token(name) else f"{name!r} is not a header name"


def _check_zone(values):
    try:
        zoneinfo.ZoneInfo(values[0])
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return f'{values[0]!r} is not a time zone; write one like "Africa/Dakar"'
    return None


def _parse_number(facts, text):
    text = text.strip()
    return float(text) if len(text) <= 18 and re.fullmatch(r"[0-9]+(\.[0-9]+)?", text) else None


def _e164(facts, number, country):
    """Converts a dialled number to E.164: resolves +, 00 and a trunk prefix 0 and drops separators; None if it is not
    one."""
    compact = "".join(c for c in number if c not in "-.() /")
    if compact.startswith("00"):
        compact = "+" + compact[2:]
    elif compact.startswith("0"):
        compact = f"+{country}{compact[1:]}"
    elif not compact.startswith("+"):
        compact = f"+{country}{compact}"
    return compact if 4 <= len(compact) <= 16 and compact[1:].isascii() and compact[1:].isdigit() else None


def _parse_uri_text(facts, text):
    try:
        return parse_uri(text.strip().removeprefix("<").partition(">")[0])
    except SipError:
        return None


def _value_at(facts, values, index):
    index = int(index)
    return values[index - 1] if 1 <= index <= len(values) else None


def _seconds_of_day(moment):
    return float(moment.hour * 3600 + moment.minute * 60 + moment.second)


def _longest_prefix(facts, text, table):
    rows, lengths = table
    for length in lengths:
        if length <= len(text):
            result = rows.get(text[:length])
            if result is not None:
                return result
    return None


def _one_step(sizes):
    return 1


FUNCTIONS = {
    "prefix": Function(
        (TEXT, TEXT),
        YESNO,
        lambda sizes: 1 + text_steps(min(sizes)),
        lambda f, a, b: a.startswith(b),
        example='prefix(number, "+221")',
        description="whether the first text begins with the second",
    ),
    "suffix": Function(
        (TEXT, TEXT),
        YESNO,
        lambda sizes: 1 + text_steps(min(sizes)),
        lambda f, a, b: a.endswith(b),
        example='suffix(number, "00")',
        description="whether the first text ends with the second",
    ),
    "contains": Function(
        (TEXT, TEXT),
        YESNO,
        lambda sizes: 1 + text_steps(sizes[0]) * (1 + text_steps(sizes[1])),
        lambda f, a, b: b in a,
        literal_args=(1,),
        example='contains(caller, "77")',
        description="whether the first text contains the second",
    ),
    "like": Function(
        (TEXT, TEXT),
        YESNO,
        lambda sizes: 1 + sizes[0],
        lambda f, a, form: form.matches(a),
        literal_args=(1,),
        literal_kind="form",
        example=r'like(number, "\\+221(33|77)\\d+")',
        description="whether the whole text matches this regular expression",
    ),
    "length": Function(
        (TEXT,),
        NUMBER,
        _one_step,
        lambda f, a: float(len(a)),
        example="length(number)",
        description="the number of characters of a text",
    ),
    "lower": Function(
        (TEXT,),
        TEXT,
        lambda sizes: 1 + text_steps(sizes[0]),
        lambda f, a: a.lower(),
        max_size=lambda sizes: 3 * sizes[0],
        example="lower(caller)",
        description="the text in lower case",
    ),
    "count": Function(
        (LIST,),
        NUMBER,
        _one_step,
        lambda f, a: float(len(a)),
        example='count(headers("Via"))',
        description="the number of values of a list",
    ),
    "at": Function(
        (LIST, NUMBER),
        OPTIONAL_TEXT,
        _one_step,
        _value_at,
        max_size=lambda sizes: MAX_TEXT_CHARS,
        example='at(headers("Via"), 2)',
        description="the value at a position, counted from 1; absent if there is none",
    ),
    "header": Function(
        (TEXT,),
        OPTIONAL_TEXT,
        lambda sizes: MAX_HEADER_VALUES + text_steps(MAX_TEXT_CHARS),
        lambda f, name: next(iter(f.headers(name)), None),
        max_size=lambda sizes: MAX_TEXT_CHARS,
        literal_args=(0,),
        check_literals=_check_header_name,
        literal_kind="header",
        example='header("X-Station")',
        description="the first value of a header; absent if there is none",
    ),
    "headers": Function(
        (TEXT,),
        LIST,
        lambda sizes: MAX_HEADER_VALUES + text_steps(MAX_TEXT_CHARS),
        lambda f, name: f.headers(name),
        max_size=lambda sizes: MAX_HEADER_VALUES,
        literal_args=(0,),
        check_literals=_check_header_name,
        literal_kind="header",
        example='headers("Via")',
        description="all values of a header, in order",
    ),
    "to-number": Function(
        (TEXT,),
        OPTIONAL_NUMBER,
        lambda sizes: 2 + text_steps(sizes[0]),
        _parse_number,
        example='to-number(header("X-Prio") ?? "")',
        description="the text as a number; absent if it is not one",
    ),
    "to-uri": Function(
        (TEXT,),
        OPTIONAL_URI,
        lambda sizes: 2 + 4 * text_steps(sizes[0]),
        _parse_uri_text,
        max_size=lambda sizes: sizes[0],
        example='to-uri(header("P-Asserted-Identity") ?? "")',
        description="the text as a URI, with or without <>; absent if it is not one",
    ),
    "hash": Function(
        (TEXT, NUMBER),
        NUMBER,
        lambda sizes: 2 + text_steps(sizes[0]),
        lambda f, a, n: float(xxh64_intdigest(_utf8(a)) % int(n) + 1),
        literal_args=(1,),
        check_literals=lambda v: (
            None
            if v[1] == int(v[1]) and 1 <= v[1] <= MAX_HASH_BUCKETS
            else f"the number of buckets must be a whole number from 1 to {MAX_HASH_BUCKETS}"
        ),
        example="hash(caller, 4)",
        description="a bucket from 1 to n, the same for the same text, evenly distributed",
    ),
    "e164": Function(
        (TEXT, TEXT),
        OPTIONAL_TEXT,
        lambda sizes: 4 + 2 * text_steps(sizes[0]),
        _e164,
        max_size=lambda sizes: 16,
        literal_args=(1,),
        check_literals=lambda v: None if re.fullmatch(r"[1-9][0-9]{0,2}", v[1]) else f"{v[1]!r} is not a country code",
        example='e164(number, "221")',
        description="the number in E.164; absent if it cannot be converted",
    ),
    "longest": Function(
        (TEXT, Type("table")),
        OPTIONAL_TEXT,
        None,
        _longest_prefix,
        max_size=lambda sizes: MAX_TEXT_CHARS,
        example="longest(number, stations)",
        description="the value of the longest prefix of the text in a table; absent if none matches",
    ),
    "time": Function(
        (TEXT,),
        SPAN,
        lambda sizes: 4,
        lambda f, z: _seconds_of_day(f.local(z)),
        literal_args=(0,),
        check_literals=_check_zone,
        literal_kind="zone",
        example='time("Africa/Dakar")',
        description="the time of day in a time zone, since local midnight",
    ),
    "weekday": Function(
        (TEXT,),
        NUMBER,
        lambda sizes: 4,
        lambda f, z: float(f.local(z).isoweekday()),
        literal_args=(0,),
        check_literals=_check_zone,
        literal_kind="zone",
        example='weekday("Africa/Dakar")',
        description="1 for Monday to 7 for Sunday",
    ),
    "present": Function(
        (Type("any", True),),
        YESNO,
        _one_step,
        lambda f, a: a is not None,
        example='present(header("X-Station"))',
        description="whether a value that may be absent is present",
    ),
}

NAMES = {  # name: (type, maximum characters, maximum steps, description, getter)
    "number": (
        TEXT,
        MAX_TEXT_CHARS,
        2 + 5 * text_steps(MAX_TEXT_CHARS),
        "the dialled number, without separators",
        lambda f: f.number,
    ),
    "caller": (TEXT, MAX_TEXT_CHARS, 2 + 5 * text_steps(MAX_TEXT_CHARS), "the caller's number", lambda f: f.caller),
    "uri": (URI, MAX_TEXT_CHARS, 2 + 4 * text_steps(MAX_TEXT_CHARS), "the Request-URI", lambda f: f.uri),
    "caller-uri": (
        OPTIONAL_URI,
        MAX_TEXT_CHARS,
        2 + 4 * text_steps(MAX_TEXT_CHARS),
        "the URI of the From header",
        lambda f: f.caller_uri,
    ),
    "transport": (TEXT, 3, 1, '"udp" or "tcp"', lambda f: f.transport),
}

URI_PARTS = {  # part of a URI: (type, description, getter)
    "scheme": (TEXT, "sip, sips or tel", lambda u: u.scheme),
    "user": (TEXT, "its user, unescaped", lambda u: u.user),
    "host": (TEXT, "its host in lower case", lambda u: u.host),
    "port": (NUMBER, "its port, 0 if there is none", lambda u: float(u.port)),
    "group": (OPTIONAL_TEXT, "its trunk group (RFC 4904)", lambda u: u.trunk_group or None),
    "context": (
        OPTIONAL_TEXT,
        "its trunk context",
        lambda u: (u.user_params if u.scheme != "tel" else u.params).get("trunk-context"),
    ),
}


def prepare_literals(function, values):
    """Converts the literal arguments to the values that `run` takes."""
    from thorndale.match.patterns import Pattern

    if function.literal_kind == "form":
        return [values[0], Pattern(values[1])]
    if function.literal_kind == "zone":
        return [zoneinfo.ZoneInfo(values[0])]
    if function.literal_kind == "header":
        return [header_key(values[0])]
    return values
