"""The grammar inside header values (RFC 3261 section 25): lists, parameters, addresses, Via, CSeq.

Everything works on text and is called only for the headers that somebody asks for.
"""

from typing import NamedTuple

from thorndale.sip.errors import SipError

TOKEN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")
CSEQ_MOST = (1 << 31) - 1  # RFC 3261 section 8.1.1.5: less than 2**31
MAX_PARAMS = 64  # parameters of one value; more is an attack or a fault, and costs time to no end


def is_token(text):
    """Whether `text` is a token (RFC 3261 section 25.1)."""
    return bool(text) and TOKEN.issuperset(text)


def split_list(value, separator=","):
    """The parts of a list, split outside quotes and angle brackets; empty parts are left out."""
    if separator not in value:
        part = value.strip()
        return [part] if part else []
    if '"' not in value and "<" not in value:
        return [p for p in map(str.strip, value.split(separator)) if p]
    parts, start, quoted, angle, at = [], 0, False, 0, 0
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
            angle += 1
        elif c == ">":
            angle = max(0, angle - 1)
        elif c == separator and not angle:
            parts.append(value[start:at].strip())
            start = at + 1
        at += 1
    if quoted:
        raise SipError("a quoted string has no end")
    parts.append(value[start:].strip())
    return [p for p in parts if p]


def unquote(text):
    """The content of a quoted string, escapes resolved; other text as it is."""
    if len(text) < 2 or text[0] != '"' or text[-1] != '"':
        return text
    if "\\" not in text:
        return text[1:-1]
    out, at, inner = [], 0, text[1:-1]
    while at < len(inner):
        if inner[at] == "\\":
            at += 1
            if at == len(inner):
                break
        out.append(inner[at])
        at += 1
    return "".join(out)


def quote(text):
    """`text` as a quoted string."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def parse_params(text):
    """`;a=b;c` to a map of lower-case names to values ('' for a parameter without one); the first counts."""
    found = {}
    parts = split_list(text, ";") if '"' in text or "<" in text else text.split(";")
    if len(parts) > MAX_PARAMS:
        raise SipError(f"more than {MAX_PARAMS} parameters")
    for part in parts:
        name, _, value = part.partition("=")
        name = name.strip().lower()
        if name and name not in found:
            value = value.strip()
            found[name] = unquote(value) if value[:1] == '"' else value
    return found


class Address(NamedTuple):
    """A name-addr or addr-spec (RFC 3261 section 20.10): `uri` is still text, `params` the header's own."""

    display: str
    uri: str
    params: dict


def parse_address(value, where="address"):
    """A From, To, Contact, Route or Refer-To value. Raises SipError."""
    value = value.strip()
    at = 0
    if value[:1] == "<":  # the usual form, at once
        right = value.find(">")
        uri, rest = value[1:right], value[right + 1 :].lstrip()
        if right > 1 and " " not in uri and rest[:1] in (";", ""):
            return Address("", uri, parse_params(rest[1:]) if rest else {})
    if value.startswith('"'):
        at = 1
        while at < len(value) and value[at] != '"':
            at += 2 if value[at] == "\\" else 1
        if at >= len(value):
            raise SipError("a quoted display name has no end", where)
        at += 1
    left = value.find("<", at)
    if left < 0:
        if at:
            raise SipError("a display name stands without <...>", where)
        uri, semicolon, rest = value.partition(";")
        if "," in uri or "?" in uri:
            raise SipError("a URI with ',' or '?' must stand in <...>", where)
        uri = uri.strip()
        if not uri or " " in uri:
            raise SipError("no URI", where)
        return Address("", uri, parse_params(rest) if semicolon else {})
    right = value.find(">", left)
    if right < 0:
        raise SipError("'<' has no '>'", where)
    display, rest = value[:left].strip(), value[right + 1 :].strip()
    if rest and rest[0] != ";":
        raise SipError("text after '>'", where)
    if not display.startswith('"') and display and not all(is_token(w) for w in display.split()):
        raise SipError("the display name needs quotes", where)
    uri = value[left + 1 : right]
    if not uri or uri != uri.strip() or " " in uri:
        raise SipError("the URI holds spaces or nothing", where)
    return Address(unquote(display), uri, parse_params(rest[1:]) if rest else {})


class Via(NamedTuple):
    """One Via value (RFC 3261 section 20.42). `port` is 0 where none is written."""

    transport: str
    host: str
    port: int
    params: dict


def parse_host_port(text, where):
    """host, port of `host[:port]`, IPv6 in brackets; port 0 where none is written. Raises SipError."""
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
    """`SIP/2.0/UDP host:port;params`, spaces allowed round each '/'. Raises SipError."""
    sent, semicolon, rest = value.partition(";")
    if sent[:8] == "SIP/2.0/":  # the usual form, at once
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
    """number, method of a CSeq. Raises SipError."""
    parts = value.split()
    if len(parts) != 2 or not parts[0].isascii() or not parts[0].isdigit() or not is_token(parts[1]):
        raise SipError("not 'NUMBER METHOD'", "CSeq")
    if len(parts[0]) > 10 or int(parts[0]) > CSEQ_MOST:
        raise SipError("the number is 2**31 or more", "CSeq")
    return int(parts[0]), parts[1]


def parse_count(value, where, most=(1 << 32) - 1):
    """A whole number from 0 to `most`. Raises SipError."""
    value = value.strip()
    if not value.isascii() or not value.isdigit() or len(value) > 20 or int(value) > most:
        raise SipError(f"no whole number up to {most}", where)
    return int(value)


def parse_retry_after(value):
    """Seconds of a Retry-After (RFC 3261 section 20.33), its comment and parameters passed over; 0: none."""
    digits = value.strip()
    end = 0
    while end < len(digits) and digits[end].isascii() and digits[end].isdigit():
        end += 1
    return min(int(digits[:end][:9]), (1 << 31) - 1) if end else 0


class Reason(NamedTuple):
    """One Reason value (RFC 3326). `location`: where a Q.850 cause arose (RFC 8606), '' where it does not say."""

    cause: int
    location: str = ""


def parse_reasons(values):
    """protocol: Reason, the protocol in lower case; unreadable ones are left out."""
    found = {}
    for value in values:
        try:
            for part in split_list(value):
                protocol, _, rest = part.partition(";")
                parameters = parse_params(rest)
                cause = parameters.get("cause", "")
                if cause.isascii() and cause.isdigit() and len(cause) < 5:
                    reason = Reason(int(cause), parameters.get("location", "").upper())
                    found.setdefault(protocol.strip().lower(), reason)
        except SipError:
            continue
    return found
