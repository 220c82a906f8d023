"""Parsers for header values (RFC 3261 section 25): lists, parameters, addresses, Via, CSeq.

All of them work on text and run only for the headers that a caller reads, since parsing is on the hot path.
"""

from typing import NamedTuple

from thorndale.sip.errors import SipError

TOKEN_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")
MAX_CSEQ = (1 << 31) - 1  # RFC 3261 section 8.1.1.5: less than 2**31
MAX_PARAMS = 64  # of one value; more is an attack or an error, and would cost unbounded parsing time


def is_token(text):
    """Whether `text` is a token (RFC 3261 section 25.1)."""
    return bool(text) and TOKEN_CHARS.issuperset(text)


def split_list(value, separator=","):
    """Splits a list at separators outside quotes and angle brackets; empty items are dropped."""
    if separator not in value:
        item = value.strip()
        return [item] if item else []
    if '"' not in value and "<" not in value:
        return [i for i in map(str.strip, value.split(separator)) if i]
    items, start, quoted, angle_depth, at = [], 0, False, 0, 0
    while at < len(value):
        c = value[at]
        if quoted:
            if c == "\\":
                at += 1
            elif c == '"':
                quoted = False
        elif c == '"':
            quoted = True
        elif c == "<":
            angle_depth += 1
        elif c == ">":
            angle_depth = max(0, angle_depth - 1)
        elif c == separator and not angle_depth:
            items.append(value[start:at].strip())
            start = at + 1
        at += 1
    if quoted:
        raise SipError("a quoted string has no end")
    items.append(value[start:].strip())
    return [i for i in items if i]


def unquote(text):
    """The content of a quoted string with escapes resolved; any other text unchanged."""
    if len(text) < 2 or text[0] != '"' or text[-1] != '"':
        return text
    if "\\" not in text:
        return text[1:-1]
    chars, at, inner = [], 0, text[1:-1]
    while at < len(inner):
        if inner[at] == "\\":
            at += 1
            if at == len(inner):
                break
        chars.append(inner[at])
        at += 1
    return "".join(chars)


def quote(text):
    """`text` as a quoted string."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def parse_params(text):
    """Parses `;a=b;c` into a map of lower-case names to values ('' for a parameter without a value).

    Of several parameters with one name the first is used.
    """
    params = {}
    parts = split_list(text, ";") if '"' in text or "<" in text else text.split(";")
    if len(parts) > MAX_PARAMS:
        raise SipError(f"more than {MAX_PARAMS} parameters")
    for part in parts:
        name, _, value = part.partition("=")
        name = name.strip().lower()
        if name and name not in params:
            value = value.strip()
            params[name] = unquote(value) if value[:1] == '"' else value
    return params


class Address(NamedTuple):
    """A name-addr or addr-spec (RFC 3261 section 20.10): `uri` is unparsed text, `params` belong to the header."""

    display: str
    uri: str
    params: dict


def parse_address(value, where="address"):
    """Parses a From, To, Contact, Route or Refer-To value. Raises SipError."""
    value = value.strip()
    at = 0
    if value[:1] == "<":  # fast path for the usual form
        closing = value.find(">")
        uri, rest = value[1:closing], value[closing + 1 :].lstrip()
        if closing > 1 and " " not in uri and rest[:1] in (";", ""):
            return Address("", uri, parse_params(rest[1:]) if rest else {})
    if value.startswith('"'):
        at = 1
        while at < len(value) and value[at] != '"':
            at += 2 if value[at] == "\\" else 1
        if at >= len(value):
            raise SipError("a quoted display name has no end", where)
        at += 1
    opening = value.find("<", at)
    if opening < 0:
        if at:
            raise SipError("a display name stands without <...>", where)
        uri, semicolon, rest = value.partition(";")
        if "," in uri or "?" in uri:
            raise SipError("a URI with ',' or '?' must stand in <...>", where)
        uri = uri.strip()
        if not uri or " " in uri:
            raise SipError("no URI", where)
        return Address("", uri, parse_params(rest) if semicolon else {})
    closing = value.find(">", opening)
    if closing < 0:
        raise SipError("'<' has no '>'", where)
    display, rest = value[:opening].strip(), value[closing + 1 :].strip()
    if rest and rest[0] != ";":
        raise SipError("text after '>'", where)
    if not display.startswith('"') and display and not all(is_token(w) for w in display.split()):
        raise SipError("the display name needs quotes", where)
    uri = value[opening + 1 : closing]
    if not uri or uri != uri.strip() or " " in uri:
        raise SipError("the URI holds spaces or nothing", where)
    return Address(unquote(display), uri, parse_params(rest[1:]) if rest else {})


class Via(NamedTuple):
    """One Via value (RFC 3261 section 20.42). `port` is 0 if the value has none."""

    transport: str
    host: str
    port: int
    params: dict


def parse_host_port(text, where):
    """Parses `host[:port]`, IPv6 in brackets, into (host, port); port is 0 if absent. Raises SipError."""
    if text.startswith("["):
        host, bracket, rest = text[1:].partition("]")
        if not bracket or (rest and not rest.startswith(":")):
            raise SipError("an IPv6 address without ']'", where)
        port = rest[1:]
    else:
        host, rest, port = text.partition(":")
        if host and not rest and " " not in host:
            return host, 0
        host, port = host.strip(), port.strip()
    if not host:
        raise SipError("no host", where)
    if not rest:
        return host, 0
    if not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) < 65536:
        raise SipError("no port number", where)
    return host, int(port)


def parse_via(value):
    """Parses `SIP/2.0/UDP host:port;params`, with spaces allowed around each '/'. Raises SipError."""
    sent, semicolon, rest = value.partition(";")
    if sent[:8] == "SIP/2.0/":  # fast path for the usual form
        transport, _, address = sent[8:].partition(" ")
        if transport.isalpha() and address:
            host, port = parse_host_port(address.strip(), "Via")
            return Via(transport.upper(), host, port, parse_params(rest) if semicolon else {})
    pieces = sent.split("/", 2)
    if len(pieces) != 3:
        raise SipError("no 'SIP/2.0/TRANSPORT'", "Via")
    last = pieces[2].split(None, 1)
    if pieces[0].strip().upper() != "SIP" or pieces[1].strip() != "2.0" or len(last) != 2:
        raise SipError("no 'SIP/2.0/TRANSPORT HOST'", "Via")
    host, port = parse_host_port(last[1].strip(), "Via")
    return Via(last[0].upper(), host, port, parse_params(rest) if semicolon else {})


def parse_cseq(value):
    """Parses a CSeq into (number, method). Raises SipError."""
    parts = value.split()
    if len(parts) != 2 or not parts[0].isascii() or not parts[0].isdigit() or not is_token(parts[1]):
        raise SipError("not 'NUMBER METHOD'", "CSeq")
    if len(parts[0]) > 10 or int(parts[0]) > MAX_CSEQ:
        raise SipError("the number is 2**31 or more", "CSeq")
    return int(parts[0]), parts[1]


def parse_count(value, where, maximum=(1 << 32) - 1):
    """Parses an integer from 0 to `maximum`. Raises SipError."""
    value = value.strip()
    if not value.isascii() or not value.isdigit() or len(value) > 20 or int(value) > maximum:
        raise SipError(f"no whole number up to {maximum}", where)
    return int(value)


def parse_retry_after(value):
    """Seconds of a Retry-After (RFC 3261 section 20.33) without its comment and parameters; 0 if there is no number."""
    text = value.strip()
    end = 0
    while end < len(text) and text[end].isascii() and text[end].isdigit():
        end += 1
    return min(int(text[:end][:9]), (1 << 31) - 1) if end else 0


class Reason(NamedTuple):
    """One Reason value (RFC 3326). `location`: where a Q.850 cause arose (RFC 8606), '' if not given."""

    cause: int
    location: str = ""


def parse_reasons(values):
    """Maps each protocol, in lower case, to its first Reason; malformed values are skipped."""
    reasons = {}
    for value in values:
        try:
            for part in split_list(value):
                protocol, _, rest = part.partition(";")
                params = parse_params(rest)
                cause = params.get("cause", "")
                if cause.isascii() and cause.isdigit() and len(cause) < 5:
                    reason = Reason(int(cause), params.get("location", "").upper())
                    reasons.setdefault(protocol.strip().lower(), reason)
        except SipError:
            continue
    return reasons
