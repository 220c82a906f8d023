"""What an expression may read of a call, read when it is asked for and then kept.

Bounds of what comes in are the SIP package's: no text is longer than MOST_TEXT, no list longer than MOST_VALUES.
"""

from datetime import UTC, datetime

from thorndale.sip.errors import SipError
from thorndale.sip.message import MAX_FIELDS, MAX_HEAD, key_of
from thorndale.sip.uri import digits, parse_uri

MOST_TEXT = MAX_HEAD  # characters of any text in a message's head
MOST_VALUES = MAX_FIELDS  # values of one header


class Facts:
    """Of an INVITE. `wall_us` is the wall clock when it came; `slots` keeps the shared parts' values."""

    __slots__ = ("invite", "transport", "wall_us", "slots", "_uri", "_caller", "_headers", "steps")

    def __init__(self, invite, wall_us=0, transport="udp"):
        self.invite, self.wall_us, self.transport = invite, wall_us, transport
        self.slots, self._uri, self._caller, self._headers, self.steps = {}, None, None, {}, 0

    @property
    def uri(self):
        """The Request-URI. One that cannot be read is refused before any rule is tried."""
        if self._uri is None:
            self._uri = parse_uri(self.invite.uri)
        return self._uri

    @property
    def caller_uri(self):
        """The From's URI, or None where it cannot be read."""
        if self._caller is None:
            try:
                self._caller = (parse_uri(self.invite.from_.uri),)
            except SipError:
                self._caller = (None,)
        return self._caller[0]

    @property
    def number(self):
        return digits(self.uri)

    @property
    def caller(self):
        """The caller's number, or the text of a From that is no URI of ours."""
        uri = self.caller_uri
        return digits(uri) if uri is not None else self.invite.from_.uri

    def headers(self, name):
        """All values of a header, in order; compact forms are the same name."""
        found = self._headers.get(name)
        if found is None:
            try:
                found = self.invite.all(key_of(name))[:MOST_VALUES]
            except SipError:  # a quoted string without an end: one value, as it came
                found = [field[2] for field in self.invite.fields if field[0] == key_of(name)]
            self._headers[name] = found
        return found

    def local(self, zone):
        """The wall clock in a zone, of zoneinfo."""
        return datetime.fromtimestamp(self.wall_us / 1e6, UTC).astimezone(zone)
