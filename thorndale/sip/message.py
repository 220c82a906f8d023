"""Messages (RFC 3261 section 7), parsed lazily, since this is the hot path.

A message keeps its header fields in the order received. A value is parsed on first access and the result is cached.
Text is UTF-8; invalid bytes are kept as surrogates and sent unchanged.
"""

from thorndale.sip import headers as h
from thorndale.sip.errors import SipError

MAX_HEAD_BYTES = 16_384  # bytes of start line and header fields together: several times the largest observed in use
MAX_BODY_BYTES = 65_536  # bytes; a session description has a few hundred
MAX_FIELDS = 256  # header fields of one message
FORBIDDEN_URI_CHARS = frozenset('<>"\t\n\r')
VERSION = "SIP/2.0"

COMPACT_FORMS = {  # RFC 3261 section 20 and the registry of SIP header fields
    "i": "call-id",
    "m": "contact",
    "e": "content-encoding",
    "l": "content-length",
    "c": "content-type",
    "f": "from",
    "s": "subject",
    "k": "supported",
    "t": "to",
    "v": "via",
    "o": "event",
    "u": "allow-events",
    "r": "refer-to",
    "b": "referred-by",
    "x": "session-expires",
    "a": "accept-contact",
    "j": "reject-contact",
    "d": "request-disposition",
    "y": "identity",
}
LIST_HEADERS = frozenset(
    (
        "via",
        "route",
        "record-route",
        "contact",
        "supported",
        "require",
        "proxy-require",
        "unsupported",
        "allow",
        "accept",
    )
)
REQUIRED_HEADERS = frozenset(("via", "from", "to", "call-id", "cseq"))
SINGLE_HEADERS = frozenset(("from", "to", "call-id", "cseq", "content-length", "max-forwards"))
REASON_TEXT = {
    100: "Trying",
    180: "Ringing",
    181: "Call Is Being Forwarded",
    183: "Session Progress",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    415: "Unsupported Media Type",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    423: "Interval Too Brief",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    484: "Address Incomplete",
    486: "Busy Here",
    487: "Request Terminated",
    488: "Not Acceptable Here",
    489: "Bad Event",
    491: "Request Pending",
    500: "Server Internal Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
    513: "Message Too Large",
    600: "Busy Everywhere",
    603: "Decline",
}
_HEADER_KEYS = {}  # cache from header names as written to keys; bounded, since peers choose the names
_MAX_HEADER_KEYS = 1024


def header_key(name):
    """The canonical key of a header name: lower case, compact forms expanded. Raises SipError if it is not a token."""
    key = _HEADER_KEYS.get(name)
    if key is None:
        key = name.rstrip(" \t").lower()
        if not h.is_token(key):
            raise SipError(f"no header name: {name[:30]!r}", "header")
        key = COMPACT_FORMS.get(key, key)
        if len(_HEADER_KEYS) < _MAX_HEADER_KEYS:
            _HEADER_KEYS[name] = key
    return key


class Message:
    """A request (`method` and `uri`) or a response (`status` and `reason`; `method` is '').

    `fields` is a list of (key, name as written, value); `body` is bytes.
    """

    __slots__ = ("method", "uri", "status", "reason", "fields", "body", "_via", "_cseq", "_from", "_to")

    def __init__(self, method="", uri="", status=0, reason="", fields=None, body=b""):
        self.method, self.uri, self.status, self.reason = method, uri, status, reason
        self.fields, self.body = [] if fields is None else fields, body
        self._via = self._cseq = self._from = self._to = None

    def get(self, key, default=""):
        """The first value under `key`, as text."""
        for field in self.fields:
            if field[0] == key:
                return field[2]
        return default

    def has(self, key):
        return any(field[0] == key for field in self.fields)

    def all(self, key):
        """All values under `key`; a field that holds a list is split into its items."""
        values = []
        for field in self.fields:
            if field[0] == key:
                if key in LIST_HEADERS:
                    values += h.split_list(field[2])
                else:
                    values.append(field[2])
        return values

    @property
    def via(self):
        """The top Via. Raises SipError."""
        if self._via is None:
            text = self.get("via")
            self._via = h.parse_via((h.split_list(text) or [""])[0] if "," in text else text)
        return self._via

    @property
    def cseq(self):
        """(number, method). Raises SipError."""
        if self._cseq is None:
            self._cseq = h.parse_cseq(self.get("cseq"))
        return self._cseq

    @property
    def from_(self):
        if self._from is None:
            self._from = h.parse_address(self.get("from"), "From")
        return self._from

    @property
    def to(self):
        if self._to is None:
            self._to = h.parse_address(self.get("to"), "To")
        return self._to

    def clear_cache(self):
        """Discards the cached values, after the fields have changed."""
        self._via = self._cseq = self._from = self._to = None

    @property
    def contact(self):
        """The first Contact, or None. Raises SipError."""
        values = self.all("contact")
        return h.parse_address(values[0], "Contact") if values else None

    @property
    def call_id(self):
        return self.get("call-id")

    @property
    def from_tag(self):
        return self.from_.params.get("tag", "")

    @property
    def to_tag(self):
        return self.to.params.get("tag", "")

    def add(self, name, value):
        self.fields.append((header_key(name), name, value))
        return self

    def set(self, name, value):
        """Replaces all fields of this name by one, at the position of the first; appends it if there is none."""
        key = header_key(name)
        for at, field in enumerate(self.fields):
            if field[0] == key:
                self.fields[at] = (key, name, value)
                self.fields[at + 1 :] = [f for f in self.fields[at + 1 :] if f[0] != key]
                break
        else:
            self.fields.append((key, name, value))
        self.clear_cache()
        return self

    def encode(self):
        """The message as bytes, with the Content-Length of its body."""
        start_line = f"{self.method} {self.uri} SIP/2.0" if self.method else f"SIP/2.0 {self.status} {self.reason}"
        lines = [start_line]
        lines += [f"{name}: {value}" for key, name, value in self.fields if key != "content-length"]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def parse(data, stream=False):
    """Parses one message from bytes: a datagram or, with `stream`, exactly one framed message.

    Checks the syntax of the start line and of the header lines, and cuts the body to its Content-Length (RFC 3261
    section 18.3); `check` validates the header values. Raises SipError; its `message` is the part that could be
    parsed, sufficient for an error response, or None.
    """
    if data[:2] == b"\r\n":
        data = bytes(data).lstrip(b"\r\n")  # RFC 3261 section 7.5: empty lines before the start line
    end = data.find(b"\r\n\r\n")
    if end < 0:
        raise SipError("no empty line after the header fields", "message")
    if end > MAX_HEAD_BYTES:
        raise SipError(f"more than {MAX_HEAD_BYTES} bytes of header fields", "message", 513)
    head = bytes(data[:end]).decode("utf-8", "surrogateescape")
    if "\r\n " in head or "\r\n\t" in head:
        head = head.replace("\r\n\t", "\r\n ")
        first, *rest = head.split("\r\n ")
        head = " ".join([first.rstrip(" \t"), *(continuation.strip(" \t") for continuation in rest)])
    lines = head.split("\r\n")
    if len(lines) > MAX_FIELDS:
        raise SipError(f"more than {MAX_FIELDS} header fields", "message", 513)
    message, error = _parse_start_line(lines[0])
    fields = message.fields
    keys = _HEADER_KEYS
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        try:
            if not colon:
                raise SipError(f"no ':' in {line[:30]!r}", "header")
            if "\n" in value or "\r" in value or "\0" in value:
                raise SipError("a bare line end or NUL inside", name[:30])
            fields.append((keys.get(name) or header_key(name), name.rstrip(" \t"), value.strip(" \t")))
        except SipError as field_error:
            error = error or field_error
    if error is not None:
        error.message = message
        raise error
    try:
        message.body = _cut_body(message, bytes(data[end + 4 :]), stream)
    except SipError as body_error:
        body_error.message = message
        raise
    return message


def _cut_body(message, body, stream):
    content_length = message.get("content-length")
    if content_length:
        length = h.parse_count(content_length, "Content-Length", MAX_BODY_BYTES)
        if length > len(body):
            raise SipError(f"{length} bytes said, {len(body)} there", "Content-Length")
        return body[:length]
    if stream and body:
        raise SipError("needed on a stream", "Content-Length")
    return body


def _parse_start_line(line):
    """(message, error): an error is returned, not raised, if the request can still be answered."""
    if line.startswith("SIP/"):
        version, _, rest = line.partition(" ")
        status, _, reason = rest.partition(" ")
        if version != VERSION or len(status) != 3 or not (status.isascii() and status.isdigit()):
            raise SipError(f"no status line: {line[:40]!r}", "start line")
        if not 100 <= int(status) <= 699:
            raise SipError(f"status {status}", "start line")
        if "\n" in reason or "\r" in reason:
            raise SipError("a bare line end inside", "start line")
        return Message(status=int(status), reason=reason), None
    parts = line.split(" ")
    if len(parts) != 3 or not h.is_token(parts[0]) or not parts[1]:
        raise SipError(f"no 'METHOD URI VERSION': {line[:40]!r}", "start line")
    version, error = parts[2], None
    if version.upper() != VERSION:
        other_version = version.upper().startswith("SIP/")
        error = SipError(f"version {version[:20]!r}", "start line", 505 if other_version else 400)
    elif not FORBIDDEN_URI_CHARS.isdisjoint(parts[1]):
        error = SipError("a bracket, quote or space in the Request-URI", "start line")
    return Message(method=parts[0], uri=parts[1]), error


def check(message):
    """Validates what every message must contain (RFC 3261 sections 8.1.1 and 8.2).

    Raises SipError with the status of the response.
    """
    present = set()
    for key, _, _ in message.fields:
        if key in SINGLE_HEADERS and key in present:
            raise SipError("stands more than once", key)
        present.add(key)
    if not present.issuperset(REQUIRED_HEADERS):
        raise SipError("is missing", sorted(REQUIRED_HEADERS - present)[0])
    if not message.call_id or " " in message.call_id:
        raise SipError("is no word", "Call-ID")
    number, method = message.cseq
    if message.method and method != message.method:
        raise SipError(f"{method[:20]} in a {message.method[:20]}", "CSeq")
    message.via, message.from_, message.to  # noqa: B018 - each access parses and checks its value
    if message.method == "INVITE" and "contact" in present:
        message.contact  # noqa: B018
    if "max-forwards" in present:
        h.parse_count(message.get("max-forwards"), "Max-Forwards", 255)
    return number


def response_to(request, status, to_tag="", reason="", extra=(), body=b""):
    """A response (RFC 3261 section 8.2.6): Via, From, To, Call-ID and CSeq of the request, then `extra`.

    `extra` is pairs of header name and value.
    """
    fields = []
    for field in request.fields:
        key = field[0]
        if key == "via" or key == "from" or key == "call-id" or key == "cseq":
            fields.append(field)
        elif key == "to":
            value = field[2]
            if to_tag and status > 100 and ";tag=" not in value and not _has_to_tag(request):
                value = f"{value};tag={to_tag}"
            fields.append((key, "To", value))
        elif key == "timestamp" and status == 100:
            fields.append(field)
    for name, value in extra:
        fields.append((header_key(name), name, value))
    return Message("", "", status, reason or REASON_TEXT.get(status, "Unknown"), fields, body)


def _has_to_tag(request):
    try:
        return bool(request.to_tag)
    except SipError:
        return False


def add_received_params(message, host, port):
    """Adds the source of the request to its top Via: `received` (RFC 3261 section 18.2.1) and `rport`
    (RFC 3581 section 4). Raises SipError."""
    via = message.via
    rport_requested = via.params.get("rport") == "" and "rport" in via.params
    if not rport_requested and via.host == host:
        return
    for at, field in enumerate(message.fields):
        if field[0] == "via":
            first, *rest = h.split_list(field[2]) if "," in field[2] else (field[2],)
            if rport_requested:
                params = first.split(";")
                first = ";".join([f"rport={port}" if p.strip().lower() == "rport" else p for p in params])
                via.params["rport"] = str(port)
            via.params["received"] = host
            message.fields[at] = ("via", field[1], ", ".join([f"{first};received={host}", *rest]))
            break


def reply_address(message):
    """(host, port) for a response over UDP to this request (RFC 3261 section 18.2.2, RFC 3581 section 4)."""
    via = message.via
    host = via.params.get("maddr") or via.params.get("received") or via.host
    rport = via.params.get("rport", "")
    port = int(rport) if rport.isascii() and rport.isdigit() and len(rport) < 6 else via.port or 5060
    return host, port
