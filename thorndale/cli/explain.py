"""`thorndale match`: shows rule by rule how a call is classified, and runs the examples kept beside the rules."""

import time

import msgspec
import pyjson5
from msgspec import Struct

from thorndale.config.load import ConfigError, collect_schema_problems
from thorndale.daemon.book_file import replace
from thorndale.match.errors import MatchError
from thorndale.match.facts import Facts
from thorndale.match.fmt import format_source
from thorndale.sip import message as m
from thorndale.sip.errors import SipError

MAX_VALUE_CHARACTERS = 60  # characters printed of one value
MAX_RULES_SHOWN = 50  # rules listed; the last ones tried


class Example(Struct, forbid_unknown_fields=True):
    """A call and its expected result: fields that are not '' must equal the outcome's; `fits` false: no rule fits."""

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
    """The bytes of an INVITE. `headers`: (name, value) pairs."""
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
    """The Facts of a SIP message. Raises SipError."""
    message = m.parse(data)
    m.check(message)
    facts = Facts(message, wall_us)
    assert facts.uri  # parsed here, so that an invalid URI is reported as such
    return facts


def explain(settings, rules, number, caller, headers, call, echo):
    """Prints the rules tried, the values of subexpressions and the result. Returns 0, or 2 if the call is invalid."""
    try:
        if call:
            with open(call, "rb") as file:
                data = file.read()
            if b"\r\n" not in data:
                data = data.replace(b"\n", b"\r\n")
        else:
            pairs = [tuple(p.strip() for p in text.partition(":")[::2]) for text in headers]
            data = invite(number, caller, pairs)
        facts = facts_of(data, time.time_ns() // 1000)
    except (OSError, SipError) as error:
        echo(f"the call cannot be read: {error}", err=True)
        return 2
    tried, outcome = rules.explain(facts)
    for rule, fits, values in tried[-MAX_RULES_SHOWN:]:
        echo(f"{'FITS' if fits else 'no  '}  {rule.name!r} (line {rule.line}, priority {rule.priority:g})")
        for line, column, kind, value in values:
            if kind != "literal":
                echo(f"        {line}:{column} {kind}: {str(value)[:MAX_VALUE_CHARACTERS]!r}")
    if len(tried) > MAX_RULES_SHOWN:
        echo(f"({len(tried) - MAX_RULES_SHOWN} earlier rules did not fit)")
    echo(f"classified: {outcome._asdict() if outcome else 'no rule fits, and there is no default: 404'}")
    return 0


def run_examples(settings, rules, path, echo):
    """Returns 0 if all examples agree, 1 if one does not, 2 if the file is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = pyjson5.decode(file.read())
        problems = []
        collect_schema_problems(raw, list[Example], "", problems)
        if problems:
            raise ConfigError(path, problems)
    except (OSError, ValueError, pyjson5.Json5Exception, ConfigError) as error:
        echo(f"{path}: {error}", err=True)
        return 2

    wrong = 0
    for n, example in enumerate(msgspec.convert(raw, list[Example])):
        facts = facts_of(invite(example.number, example.caller, example.headers.items()), example.wall_s * 1_000_000)
        outcome = rules.classify(facts)
        if outcome is None or not example.fits:
            agrees = (outcome is None) == (not example.fits)
        else:
            agrees = all(
                not getattr(example, name) or getattr(example, name) == getattr(outcome, name)
                for name in ("rule", "call_type", "group", "client")
            )
        if not agrees:
            wrong += 1
            echo(f"{path}[{n}]: {example.number}: classified {outcome._asdict() if outcome else None}")
    echo(f"{n + 1 if raw else 0} examples, {wrong} wrong")
    return 1 if wrong else 0


def format_rules(path, echo):
    """Rewrites a rules file in canonical form. Returns 0, or 2 if the rules are invalid and the file unchanged."""
    try:
        with open(path, encoding="utf-8") as file:
            source = file.read()
        text = format_source(source, path)
    except (OSError, UnicodeDecodeError, MatchError) as error:
        echo(f"{path}: {error}", err=True)
        return 2
    if text != source:
        replace(path, text.encode())
        echo(f"{path}: reformatted")
    return 0
