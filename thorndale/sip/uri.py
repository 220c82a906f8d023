"""SIP, SIPS and tel URIs (RFC 3261 section 19, RFC 3966), with trunk groups (RFC 4904)."""

from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.headers import parse_host_port, parse_params

HEX = frozenset("0123456789abcdefABCDEF")
UNFIT = frozenset([*map(chr, range(33)), "<", ">", '"'])
HOST = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:%")
SEPARATORS = frozenset("-.() ")
USER_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.!~*'()&=+$,;?/")


class Uri(NamedTuple):
    """`user` is unescaped and without its own parameters, which stand in `user_params` (RFC 4904: tgrp and
    trunk-context). `port` is 0 where none is written; `headers` is the text after '?'. For tel, `host` is ''."""

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
        """The trunk group label, or ''. RFC 4904 section 5: without a trunk-context it means nothing."""
        own = self.user_params if self.scheme != "tel" else self.params
        return own.get("tgrp", "") if own.get("trunk-context") else ""


def unescape(text):
    """%XX resolved, in UTF-8 with surrogates for what is not; a '%' without two hex digits raises SipError."""
    if "%" not in text:
        return text
    out, at = bytearray(), 0
    while at < len(text):
        c = text[at]
        if c == "%":
            pair = text[at + 1 : at + 3]
            if len(pair) != 2 or not HEX.issuperset(pair):
                raise SipError("'%' without two hex digits", "URI")
            out.append(int(pair, 16))
            at += 3
        else:
            out += c.encode("utf-8", "surrogateescape")
            at += 1
    return out.decode("utf-8", "surrogateescape")


def escape_user(text):
    """`text` so that it can stand as the user of a URI."""
    if USER_PLAIN.issuperset(text) and ";" not in text:
        return text
    return "".join(
        c if c in USER_PLAIN and c != ";" else "".join(f"%{b:02X}" for b in c.encode("utf-8", "surrogateescape"))
        for c in text
    )


def parse_uri(text):
    """A URI's parts. Raises SipError, with status 416 for a scheme that is not ours."""
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
    if not UNFIT.isdisjoint(rest):
        raise SipError("a space, quote or bracket inside", "URI")
    user = password = ""
    user_params = {}
    before, at_sign, after = rest.rpartition("@") if "@" in rest.partition("?")[0] else ("", "", rest)
    if at_sign:
        if "@" in before:
            raise SipError("two '@'", "URI")
        raw, _, password = before.partition(":")
        raw, semicolon, own = raw.partition(";")
        user = unescape(raw)
        if semicolon:
            user_params = parse_params(own)
        if not user:
            raise SipError("'@' without a user", "URI")
    else:
        after = rest
    after, _, headers = after.partition("?")
    address, semicolon, params = after.partition(";")
    host, port = parse_host_port(address, "URI")
    if not HOST.issuperset(host):
        raise SipError("no host", "URI")
    return Uri(
        scheme, user, password, host.lower(), port, parse_params(params) if semicolon else {}, user_params, headers
    )


def digits(uri):
    """The number dialled: the user without visual separators (RFC 3966 section 5.1.1)."""
    if SEPARATORS.isdisjoint(uri.user):
        return uri.user
    return "".join(c for c in uri.user if c not in SEPARATORS)


def host_port(host, port):
    """`host:port` as it stands in a URI or Via; IPv6 in brackets, no port for 0."""
    host = f"[{host}]" if ":" in host else host
    return f"{host}:{port}" if port else host
