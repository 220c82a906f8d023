"""SIP, SIPS and tel URIs (RFC 3261 section 19, RFC 3966), with trunk groups (RFC 4904)."""

from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.headers import parse_host_port, parse_params

HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
FORBIDDEN_CHARS = frozenset([*map(chr, range(33)), "<", ">", '"'])
HOST_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:%")
VISUAL_SEPARATORS = frozenset("-.() ")
UNESCAPED_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.!~*'()&=+$,;?/")


class Uri(NamedTuple):
    """`user` is unescaped and without its own parameters, which are in `user_params` (RFC 4904: tgrp and
    trunk-context). `port` is 0 if the URI has none; `headers` is the text after '?'. For tel, `host` is ''."""

    scheme: str
    user: str
    password: str
    host: str
    port: int
    params: dict
    user_params: dict
    headers: str

    @property
    def trunk_group(self):
        """The trunk group label, or ''. RFC 4904 section 5: a label without a trunk-context is ignored."""
        params = self.user_params if self.scheme != "tel" else self.params
        return params.get("tgrp", "") if params.get("trunk-context") else ""


def unescape(text):
    """Decodes %XX as UTF-8, with surrogates for invalid bytes; a '%' without two hex digits raises SipError."""
    if "%" not in text:
        return text
    decoded, at = bytearray(), 0
    while at < len(text):
        c = text[at]
        if c == "%":
            pair = text[at + 1 : at + 3]
            if len(pair) != 2 or not HEX_DIGITS.issuperset(pair):
                raise SipError("'%' without two hex digits", "URI")
            decoded.append(int(pair, 16))
            at += 3
        else:
            decoded += c.encode("utf-8", "surrogateescape")
            at += 1
    return decoded.decode("utf-8", "surrogateescape")


def escape_user(text):
    """Escapes `text` for use as the user part of a URI."""
    if UNESCAPED_CHARS.issuperset(text) and ";" not in text:
        return text
    return "".join(
        c if c in UNESCAPED_CHARS and c != ";" else "".join(f"%{b:02X}" for b in c.encode("utf-8", "surrogateescape"))
        for c in text
    )


def parse_uri(text):
    """Parses a URI. Raises SipError, with status 416 for an unsupported scheme."""
    scheme, colon, rest = text.partition(":")
    scheme = scheme.lower()
    if not colon or not rest:
        raise SipError("no URI", "URI")
    if scheme == "tel":
        number, _, params = rest.partition(";")
        if not number:
            raise SipError("no number", "URI")
        return Uri("tel", number, "", "", 0, parse_params(params), {}, "")
    if scheme not in ("sip", "sips"):
        raise SipError(f"scheme {scheme[:20]!r} is not served", "URI", 416)
    if not FORBIDDEN_CHARS.isdisjoint(rest):
        raise SipError("a space, quote or bracket inside", "URI")
    user = password = ""
    user_params = {}
    userinfo, at_sign, after_user = rest.rpartition("@") if "@" in rest.partition("?")[0] else ("", "", rest)
    if at_sign:
        if "@" in userinfo:
            raise SipError("two '@'", "URI")
        raw_user, _, password = userinfo.partition(":")
        raw_user, semicolon, raw_params = raw_user.partition(";")
        user = unescape(raw_user)
        if semicolon:
            user_params = parse_params(raw_params)
        if not user:
            raise SipError("'@' without a user", "URI")
    else:
        after_user = rest
    after_user, _, headers = after_user.partition("?")
    address, semicolon, params = after_user.partition(";")
    host, port = parse_host_port(address, "URI")
    if not HOST_CHARS.issuperset(host):
        raise SipError("no host", "URI")
    return Uri(
        scheme, user, password, host.lower(), port, parse_params(params) if semicolon else {}, user_params, headers
    )


def dialled_number(uri):
    """The dialled number: the user part without visual separators (RFC 3966 section 5.1.1)."""
    if VISUAL_SEPARATORS.isdisjoint(uri.user):
        return uri.user
    return "".join(c for c in uri.user if c not in VISUAL_SEPARATORS)


def host_port(host, port):
    """`host:port` as written in a URI or Via: IPv6 in brackets, no port if it is 0."""
    host = f"[{host}]" if ":" in host else host
    return f"{host}:{port}" if port else host
