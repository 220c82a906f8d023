"""The attributes of a call that expressions can read, parsed on first use and cached.

The SIP package bounds the input: no text is longer than MAX_TEXT_CHARS, no list longer than MAX_HEADER_VALUES.
"""

from datetime import UTC, datetime

from thorndale.sip.errors import SipError
from thorndale.sip.message import MAX_FIELDS, MAX_HEAD_BYTES, header_key
from thorndale.sip.uri import dialled_number, parse_uri

MAX_TEXT_CHARS = MAX_HEAD_BYTES  # bytes of a message head bound every text in it
MAX_HEADER_VALUES = MAX_FIELDS  # per header name


class Facts:
    """The attributes of an INVITE. `wall_us` is the wall clock time of its arrival; `slots` caches the values of shared
    subexpressions and lets."""

    __slots__ = ("invite", "transport", "wall_us", "slots", "_uri", "_caller", "_headers", "steps")

    def __init__(self, invite, wall_us=0, transport="udp"):
        self.invite, self.wall_us, self.transport = invite, wall_us, transport
        self.slots, self._uri, self._caller, self._headers, self.steps = {}, None, None, {}, 0

    @property
    def uri(self):
        """The Request-URI. A call whose Request-URI is malformed is rejected before any rule is evaluated."""
        if self._uri is None:
            self._uri = parse_uri(self.invite.uri)
        return self._uri

    @property
    def caller_uri(self):
        """The URI of the From header, or None if it is malformed."""
        if self._caller is None:
            try:
                self._caller = (parse_uri(self.invite.from_.uri),)
            except SipError:
                self._caller = (None,)
        return self._caller[0]

    @property
    def number(self):
        return dialled_number(self.uri)

    @property
    def caller(self):
        """The caller's number, or the raw text of a From whose URI cannot be parsed."""
        uri = self.caller_uri
        return dialled_number(uri) if uri is not None else self.invite.from_.uri

    def headers(self, name):
        """All values of a header, in order; a compact form counts as the full name."""
        result = self._headers.get(name)
        if result is None:
            try:
                result = self.invite.all(header_key(name))[:MAX_HEADER_VALUES]
            except SipError:  # unterminated quoted string: each field is one raw value
                result = [field[2] for field in self.invite.fields if field[0] == header_key(name)]
            self._headers[name] = result
        return result

    def local(self, zone):
        """The wall clock time of arrival in a time zone (ZoneInfo)."""
        return datetime.fromtimestamp(self.wall_us / 1e6, UTC).astimezone(zone)
