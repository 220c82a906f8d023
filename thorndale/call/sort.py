"""Which call type, first-choice trunk group and client a call has: a small table, the first row that fits counts.

A row fits when the number dialled begins with its prefix and the header it names holds its value. A trunk group
named in the Request-URI (RFC 4904) goes before the row's, where it is one of ours.
"""

import re
from typing import NamedTuple

from xxhash import xxh64_intdigest

from thorndale.sip.errors import SipError
from thorndale.sip.uri import digits, parse_uri

NUMBER = re.compile(r"\d{4,}(?=\d\d)")  # what of a number a log leaves out


class Sorted(NamedTuple):
    """Indices of call type, first-choice trunk group and client; `key` is the same for the same caller and called
    number; `unknown_group` names a trunk group in the call that is none of ours, or ''."""

    call_type: int
    group: int
    client: int
    key: int
    number: str
    caller: str
    unknown_group: str


class Sorter:
    def __init__(self, settings):
        types = {t.name: n for n, t in enumerate(settings.call_types)}
        groups = {g.name: n for n, g in enumerate(settings.trunk_groups)}
        clients = {c.name: n for n, c in enumerate(settings.clients)}
        self.groups = groups
        self.first = [groups[t.trunk_groups[0]] for t in settings.call_types]
        self.rows = []
        for row in settings.sort:
            kind = types[row.call_type]
            self.rows.append((
                row.prefix,
                row.header.lower(),
                row.value,
                kind,
                groups[row.trunk_group] if row.trunk_group else self.first[kind],
                clients[row.client] if row.client else 0,
            ))

    def sort(self, invite):
        """A Sorted, or None where no row fits. Raises SipError for a Request-URI that cannot be read."""
        uri = parse_uri(invite.uri)
        number = digits(uri)
        for prefix, header, value, kind, group, client in self.rows:
            if not number.startswith(prefix):
                continue
            if header and (value not in invite.get(header) if value else not invite.has(header)):
                continue
            label, unknown = uri.trunk_group, ""
            if label:
                named = self.groups.get(label)
                group, unknown = (group, label) if named is None else (named, "")
            try:
                caller = digits(parse_uri(invite.from_.uri))
            except SipError:
                caller = invite.from_.uri
            key = xxh64_intdigest(f"{caller}\0{number}".encode("utf-8", "surrogateescape")) or 1
            return Sorted(kind, group, client, key, number, caller, unknown)
        return None


def masked(number):
    """A number for a log: its last two digits."""
    return f"..{number[-2:]}" if len(number) > 4 else ".."


def hidden(text):
    """`text` for a log, each number in it down to its last two digits: bad input may quote a caller's."""
    return NUMBER.sub("..", text)
