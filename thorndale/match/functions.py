"""The functions and names of the language: types, what each costs at most, how long its value may be, what it does.

A step is a look at one thing: a node, a table's row, or UNIT characters of a text. `cost(most)` gets the longest
texts or lists that the arguments may be; `steps(values)` what was really looked at, never more.
"""

import re
import zoneinfo
from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.match.facts import MOST_TEXT, MOST_VALUES
from thorndale.match.tree import LIST, NUMBER, SPAN, TEXT, URI, YESNO, Type
from thorndale.sip.errors import SipError
from thorndale.sip.headers import is_token
from thorndale.sip.message import key_of
from thorndale.sip.uri import parse_uri

UNIT = 16  # characters that one step looks at
PARTS_MOST = 1_000_000  # parts of a hash
MAYBE_TEXT, MAYBE_NUMBER, MAYBE_URI = (Type(k, True) for k in ("text", "number", "uri"))


def units(length):
    return (length + UNIT - 1) // UNIT


class Function(NamedTuple):
    """`literals` are positions whose argument must be written out; `check(values)` names what is wrong with them or
    gives None. `run(facts, *args)`; a literal that `make` is given for is replaced by what that makes of it."""

    args: tuple
    gives: Type
    cost: Callable
    run: Callable
    most: Callable = lambda most: 0
    literals: tuple = ()
    check: Callable = lambda values: None
    make: Callable = None
    example: str = ""
    says: str = ""


def _text(value):
    return value.encode("utf-8", "surrogateescape")


def _header_name(values):
    name = values[0]
    return None if is_token(name) else f"{name!r} is no header name"


def _zone(values):
    try:
        zoneinfo.ZoneInfo(values[0])
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return f'{values[0]!r} is no time zone; write one like "Africa/Dakar"'
    return None


def _number(facts, text):
    text = text.strip()
    return float(text) if len(text) <= 18 and re.fullmatch(r"[0-9]+(\.[0-9]+)?", text) else None


def _e164(facts, number, country):
    """A number dialled, to E.164: +, 00 and a trunk 0 resolved, separators left out; None where it cannot be one."""
    plain = "".join(c for c in number if c not in "-.() /")
    if plain.startswith("00"):
        plain = "+" + plain[2:]
    elif plain.startswith("0"):
        plain = f"+{country}{plain[1:]}"
    elif not plain.startswith("+"):
        plain = f"+{country}{plain}"
    return plain if 4 <= len(plain) <= 16 and plain[1:].isascii() and plain[1:].isdigit() else None


def _uri(facts, text):
    try:
        return parse_uri(text.strip().removeprefix("<").partition(">")[0])
    except SipError:
        return None


def _at(facts, values, index):
    index = int(index)
    return values[index - 1] if 1 <= index <= len(values) else None


def _seconds(moment):
    return float(moment.hour * 3600 + moment.minute * 60 + moment.second)


def _longest(facts, text, table):
    rows, lengths = table
    for length in lengths:
        if length <= len(text):
            found = rows.get(text[:length])
            if found is not None:
                return found
    return None


def _plain(most):
    return 1


FUNCTIONS = {
    "prefix": Function(
        (TEXT, TEXT),
        YESNO,
        lambda m: 1 + units(min(m)),
        lambda f, a, b: a.startswith(b),
        example='prefix(number, "+221")',
        says="whether the first text begins with the second",
    ),
    "suffix": Function(
        (TEXT, TEXT),
        YESNO,
        lambda m: 1 + units(min(m)),
        lambda f, a, b: a.endswith(b),
        example='suffix(number, "00")',
        says="whether the first text ends with the second",
    ),
    "contains": Function(
        (TEXT, TEXT),
        YESNO,
        lambda m: 1 + units(m[0]) * (1 + units(m[1])),
        lambda f, a, b: b in a,
        literals=(1,),
        example='contains(caller, "77")',
        says="whether the second text stands in the first",
    ),
    "like": Function(
        (TEXT, TEXT),
        YESNO,
        lambda m: 1 + m[0],
        lambda f, a, form: form.matches(a),
        literals=(1,),
        make="form",
        example=r'like(number, "\\+221(33|77)\\d+")',
        says="whether the whole text has this regular form",
    ),
    "length": Function(
        (TEXT,),
        NUMBER,
        _plain,
        lambda f, a: float(len(a)),
        example="length(number)",
        says="how many characters a text has",
    ),
    "lower": Function(
        (TEXT,),
        TEXT,
        lambda m: 1 + units(m[0]),
        lambda f, a: a.lower(),
        most=lambda m: 3 * m[0],
        example="lower(caller)",
        says="the text in small letters",
    ),
    "count": Function(
        (LIST,),
        NUMBER,
        _plain,
        lambda f, a: float(len(a)),
        example='count(headers("Via"))',
        says="how many values a list has",
    ),
    "at": Function(
        (LIST, NUMBER),
        MAYBE_TEXT,
        _plain,
        _at,
        most=lambda m: MOST_TEXT,
        example='at(headers("Via"), 2)',
        says="the value at a place, counted from 1; absent where there is none",
    ),
    "header": Function(
        (TEXT,),
        MAYBE_TEXT,
        lambda m: MOST_VALUES + units(MOST_TEXT),
        lambda f, name: next(iter(f.headers(name)), None),
        most=lambda m: MOST_TEXT,
        literals=(0,),
        check=_header_name,
        make="header",
        example='header("X-Station")',
        says="the first value of a header; absent where there is none",
    ),
    "headers": Function(
        (TEXT,),
        LIST,
        lambda m: MOST_VALUES + units(MOST_TEXT),
        lambda f, name: f.headers(name),
        most=lambda m: MOST_VALUES,
        literals=(0,),
        check=_header_name,
        make="header",
        example='headers("Via")',
        says="all values of a header, in order",
    ),
    "to-number": Function(
        (TEXT,),
        MAYBE_NUMBER,
        lambda m: 2 + units(m[0]),
        _number,
        example='to-number(header("X-Prio") ?? "")',
        says="the number that a text writes; absent where it writes none",
    ),
    "to-uri": Function(
        (TEXT,),
        MAYBE_URI,
        lambda m: 2 + 4 * units(m[0]),
        _uri,
        most=lambda m: m[0],
        example='to-uri(header("P-Asserted-Identity") ?? "")',
        says="the URI that a text is, with or without <>; absent where it is none",
    ),
    "hash": Function(
        (TEXT, NUMBER),
        NUMBER,
        lambda m: 2 + units(m[0]),
        lambda f, a, n: float(xxh64_intdigest(_text(a)) % int(n) + 1),
        literals=(1,),
        check=lambda v: (
            None
            if v[1] == int(v[1]) and 1 <= v[1] <= PARTS_MOST
            else f"a text is spread over 1 to {PARTS_MOST} parts, a whole number"
        ),
        example="hash(caller, 4)",
        says="a number from 1 to n, the same for the same text, spread evenly",
    ),
    "e164": Function(
        (TEXT, TEXT),
        MAYBE_TEXT,
        lambda m: 4 + 2 * units(m[0]),
        _e164,
        most=lambda m: 16,
        literals=(1,),
        check=lambda v: None if re.fullmatch(r"[1-9][0-9]{0,2}", v[1]) else f"{v[1]!r} is no country code",
        example='e164(number, "221")',
        says="the number in E.164; absent where it cannot be one",
    ),
    "longest": Function(
        (TEXT, Type("table")),
        MAYBE_TEXT,
        None,
        _longest,
        most=lambda m: MOST_TEXT,
        example="longest(number, stations)",
        says="the value under the longest prefix of the text in a table; absent where none fits",
    ),
    "time": Function(
        (TEXT,),
        SPAN,
        lambda m: 4,
        lambda f, z: _seconds(f.local(z)),
        literals=(0,),
        check=_zone,
        make="zone",
        example='time("Africa/Dakar")',
        says="the time of day in a zone, since midnight by its clock",
    ),
    "weekday": Function(
        (TEXT,),
        NUMBER,
        lambda m: 4,
        lambda f, z: float(f.local(z).isoweekday()),
        literals=(0,),
        check=_zone,
        make="zone",
        example='weekday("Africa/Dakar")',
        says="1 for Monday to 7 for Sunday",
    ),
    "present": Function(
        (Type("any", True),),
        YESNO,
        _plain,
        lambda f, a: a is not None,
        example='present(header("X-Station"))',
        says="whether a value that may be absent is there",
    ),
}

NAMES = {  # name: (type, longest, steps, what it is)
    "number": (TEXT, MOST_TEXT, 2 + 5 * units(MOST_TEXT), "the number dialled, without separators", lambda f: f.number),
    "caller": (TEXT, MOST_TEXT, 2 + 5 * units(MOST_TEXT), "the caller's number", lambda f: f.caller),
    "uri": (URI, MOST_TEXT, 2 + 4 * units(MOST_TEXT), "the Request-URI", lambda f: f.uri),
    "caller-uri": (MAYBE_URI, MOST_TEXT, 2 + 4 * units(MOST_TEXT), "the From's URI", lambda f: f.caller_uri),
    "transport": (TEXT, 3, 1, '"udp" or "tcp"', lambda f: f.transport),
}

PARTS = {  # part of a URI: (type, what it is)
    "scheme": (TEXT, "sip, sips or tel", lambda u: u.scheme),
    "user": (TEXT, "its user, unescaped", lambda u: u.user),
    "host": (TEXT, "its host in small letters", lambda u: u.host),
    "port": (NUMBER, "its port, 0 where none is written", lambda u: float(u.port)),
    "group": (MAYBE_TEXT, "its trunk group (RFC 4904)", lambda u: u.trunk_group or None),
    "context": (
        MAYBE_TEXT,
        "its trunk context",
        lambda u: (u.user_params if u.scheme != "tel" else u.params).get("trunk-context"),
    ),
}


def prepared(function, values):
    """The literal arguments as `run` takes them."""
    from thorndale.match.forms import Form

    if function.make == "form":
        return [values[0], Form(values[1])]
    if function.make == "zone":
        return [zoneinfo.ZoneInfo(values[0])]
    if function.make == "header":
        return [key_of(values[0])]
    return values
