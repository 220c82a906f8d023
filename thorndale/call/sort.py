"""Which call type, first-choice trunk group and client a call has, by the rules in force.

A trunk group named in the Request-URI (RFC 4904) goes before the rule's, where it is one of ours.
"""

import re
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.match.facts import Facts
from thorndale.sip.uri import parse_uri

NUMBER = re.compile(r"\d{4,}(?=\d\d)")  # what of a number a log leaves out


class Sorted(NamedTuple):
    """Indices of call type, first-choice trunk group and client; `key` is the same for the same caller and called
    number, or for the same text that the rule names; `headers` are pairs to be set on the way out; `unknown_group`
    names a trunk group in the call that is none of ours, or ''."""

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


class Sorter:
    """`rules` is a checked RuleSet whose names are those of the settings. Swapped whole between two calls."""

    def __init__(self, settings, rules):
        self.rules = rules
        self.types = {t.name: n for n, t in enumerate(settings.call_types)}
        self.groups = {g.name: n for n, g in enumerate(settings.trunk_groups)}
        self.clients = {c.name: n for n, c in enumerate(settings.clients)}
        self.first = [self.groups[t.trunk_groups[0]] for t in settings.call_types]

    def sort(self, invite, wall_us, transport):
        """A Sorted, or None where no rule fits. Raises SipError for a Request-URI that cannot be read."""
        uri = parse_uri(invite.uri)
        facts = Facts(invite, wall_us, transport)
        found = self.rules.sort(facts)
        if found is None:
            return None
        kind = self.types[found.call_type]
        group = self.groups[found.group] if found.group else self.first[kind]
        label, unknown = uri.trunk_group, ""
        if label:
            named = self.groups.get(label)
            group, unknown = (group, label) if named is None else (named, "")
        number, caller = facts.number, facts.caller
        text = found.key or f"{caller}\0{number}"
        key = xxh64_intdigest(text.encode("utf-8", "surrogateescape")) or 1
        return Sorted(
            kind,
            group,
            self.clients[found.client] if found.client else 0,
            key,
            number,
            caller,
            found.headers,
            found.rule,
            found.priority_class,
            unknown,
        )


def masked(number):
    """A number for a log: its last two digits."""
    return f"..{number[-2:]}" if len(number) > 4 else ".."


def hidden(text):
    """`text` for a log, each number in it down to its last two digits: bad input may quote a caller's."""
    return NUMBER.sub("..", text)
