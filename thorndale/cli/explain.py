"""`thorndale match`: how a set of rules sorts a call, rule by rule, and examples kept beside the rules."""

import time

import msgspec
import pyjson5
from msgspec import Struct

from thorndale.config.load import ConfigError, shaped
from thorndale.daemon.book_file import replace
from thorndale.match.errors import MatchError
from thorndale.match.facts import Facts
from thorndale.match.fmt import format_source
from thorndale.sip import message as m
from thorndale.sip.errors import SipError

VALUES_SHOWN = 60  # characters of one value
RULES_SHOWN = 50  # rules that did not fit and are listed


class Example(Struct, forbid_unknown_fields=True):
    """A call, and what should become of it: the outcome's fields that are not '' must agree; `fits` no: no rule."""

    number: str
    caller: str = "+221770000000"
    headers: dict[str, str] = {}
    wall_s: int = 0
    rule: str = ""
    call_type: str = ""
    group: str = ""
    client: str = ""
    fits: bool = True


def invite(number, caller, headers):
    """An INVITE as text. `headers` are pairs."""
    lines = [
        f"INVITE sip:{number}@127.0.0.1 SIP/2.0",
        "Via: SIP/2.0/UDP 127.0.0.1;branch=z9hG4bKx",
        f"From: <sip:{caller}@127.0.0.1>;tag=x",
        f"To: <sip:{number}@127.0.0.1>",
        "Call-ID: x",
        "CSeq: 1 INVITE",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n"


def facts_of(data, wall_us):
    """Raises SipError."""
    message = m.parse(data)
    m.check(message)
    found = Facts(message, wall_us)
    assert found.uri  # read now, so that a URI that is none is said as such
    return found


def explain(settings, rules, number, caller, headers, call, say):
    """Prints the rules tried, each part's value, the winner. 0, or 2 where the call cannot be read."""
    try:
        if call:
            with open(call, "rb") as file:
                data = file.read()
            if b"\r\n" not in data:
                data = data.replace(b"\n", b"\r\n")
        else:
            pairs = [tuple(p.strip() for p in text.partition(":")[::2]) for text in headers]
            data = invite(number, caller, pairs)
        given = facts_of(data, time.time_ns() // 1000)
    except (OSError, SipError) as fault:
        say(f"the call cannot be read: {fault}", err=True)
        return 2
    tried, outcome = rules.explain(given)
    for rule, fits, parts in tried[-RULES_SHOWN:]:
        say(f"{'FITS' if fits else 'no  '}  {rule.name!r} (line {rule.line}, priority {rule.priority:g})")
        for line, column, kind, value in parts:
            if kind != "literal":
                say(f"        {line}:{column} {kind}: {str(value)[:VALUES_SHOWN]!r}")
    if len(tried) > RULES_SHOWN:
        say(f"({len(tried) - RULES_SHOWN} rules before these did not fit)")
    say(f"sorted: {outcome._asdict() if outcome else 'no rule fits, and there is no default: 404'}")
    return 0


def run_examples(settings, rules, path, say):
    """0 where all hold, 1 where one does not, 2 where the file is wrong."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = pyjson5.decode(file.read())
        faults = []
        shaped(raw, list[Example], "", faults)
        if faults:
            raise ConfigError(path, faults)
    except (OSError, ValueError, pyjson5.Json5Exception, ConfigError) as fault:
        say(f"{path}: {fault}", err=True)
        return 2

    wrong = 0
    for n, example in enumerate(msgspec.convert(raw, list[Example])):
        given = facts_of(invite(example.number, example.caller, example.headers.items()), example.wall_s * 1_000_000)
        found = rules.classify(given)
        if found is None or not example.fits:
            held = (found is None) == (not example.fits)
        else:
            held = all(
                not getattr(example, name) or getattr(example, name) == getattr(found, name)
                for name in ("rule", "call_type", "group", "client")
            )
        if not held:
            wrong += 1
            say(f"{path}[{n}]: {example.number}: sorted {found._asdict() if found else None}")
    say(f"{n + 1 if raw else 0} examples, {wrong} wrong")
    return 1 if wrong else 0


def format_rules(path, say):
    """Writes a rules file in its one form. 0, or 2 where it is no rule set; then it stays as it is."""
    try:
        with open(path, encoding="utf-8") as file:
            source = file.read()
        text = format_source(source, path)
    except (OSError, UnicodeDecodeError, MatchError) as fault:
        say(f"{path}: {fault}", err=True)
        return 2
    if text != source:
        replace(path, text.encode())
        say(f"{path}: written anew")
    return 0
