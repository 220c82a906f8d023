"""Classifies calls by the rules in force: call type, first-choice trunk group and client.

A configured trunk group named in the Request-URI (RFC 4904) takes precedence over that of the rule.
"""

import re
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.match.facts import Facts
from thorndale.sip.uri import parse_uri

MASKED_DIGITS = re.compile(r"\d{4,}(?=\d\d)")  # the digits of a phone number that logs omit


class ClassifiedCall(NamedTuple):
    """The classification of a call: indices of its call type, first-choice trunk group and client.

    `key` is equal for calls with the same caller and called number, or with the same key text if the rule gives one.
    `headers` are the header fields to set on the server leg. `unknown_group` is the name of a trunk group in the
    Request-URI that is not configured, or ''."""

    call_type: int
    group: int
    client: int
    key: int
    number: str
    caller: str
    headers: tuple
    rule: str
    priority_class: str
    unknown_group: str


class CallClassifier:
    """`rules` is a validated RuleSet that uses the names of the settings. To change rules, the whole object is replaced
    between two calls."""

    def __init__(self, settings, rules):
        self.rules = rules
        self.types = {t.name: n for n, t in enumerate(settings.call_types)}
        self.groups = {g.name: n for n, g in enumerate(settings.trunk_groups)}
        self.clients = {c.name: n for n, c in enumerate(settings.clients)}
        self.default_groups = [self.groups[t.trunk_groups[0]] for t in settings.call_types]

    def classify(self, invite, wall_us, transport):
        """A ClassifiedCall, or None if no rule matches. Raises SipError for a malformed Request-URI."""
        uri = parse_uri(invite.uri)
        facts = Facts(invite, wall_us, transport)
        outcome = self.rules.classify(facts)
        if outcome is None:
            return None
        kind = self.types[outcome.call_type]
        group = self.groups[outcome.group] if outcome.group else self.default_groups[kind]
        label, unknown = uri.trunk_group, ""
        if label:
            requested = self.groups.get(label)
            group, unknown = (group, label) if requested is None else (requested, "")
        number, caller = facts.number, facts.caller
        key_text = outcome.key or f"{caller}\0{number}"
        key = xxh64_intdigest(key_text.encode("utf-8", "surrogateescape")) or 1
        return ClassifiedCall(
            kind,
            group,
            self.clients[outcome.client] if outcome.client else 0,
            key,
            number,
            caller,
            outcome.headers,
            outcome.rule,
            outcome.priority_class,
            unknown,
        )


def mask_number(number):
    """A phone number for logs: only its last two digits."""
    return f"..{number[-2:]}" if len(number) > 4 else ".."


def mask_numbers(text):
    """`text` for logs, with each number in it cut to its last two digits: errors about malformed input may quote a
    caller's number."""
    return MASKED_DIGITS.sub("..", text)
