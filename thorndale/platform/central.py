"""Messages of the central servers: plain SIP without tags or dialogs, framed and parsed by `thorndale.sip` (the
platform's PROTOCOL, 'Border proxies to central servers'). Messages are matched by Call-ID, answers also by method.
"""

import re
from math import isfinite
from typing import NamedTuple

from thorndale import interface as io
from thorndale.platform.errors import PlatformError
from thorndale.sip import framing, message
from thorndale.sip.errors import SipError

MAX_MESSAGE_BYTES = 16_384  # limit of the protocol
_CAUSE = re.compile(r"Q\.850\s*;\s*cause=(\d{1,3})", re.I)
# The start of a message.
_START = re.compile(rb"(?:^|\n)SIP/2\.0 \d{3} |(?:^|\n)(?:BYE|NOTIFY|OPTIONS) sip:\S+ SIP/2\.0\r\n")
ANSWERED_METHODS = frozenset(("INVITE", "CANCEL", "BYE", "OPTIONS", "ACK"))


class Framer:
    """`feed(data)` yields a Signal for each complete message. Raises PlatformError or SipError for unreadable data,
    after which the rest of the stream cannot be used."""

    __slots__ = ("_framer",)

    def __init__(self):
        self._framer = framing.Framer()

    @property
    def partial(self):
        return self._framer.partial

    def feed(self, data):
        for part in self._framer.feed(data):
            if part is not framing.KEEPALIVE:
                yield read(part)
        if _START.search(self._framer.buffered, 1):
            raise PlatformError("another message begins inside it", "message")


class Signal(NamedTuple):
    """`method`: of the request, or of the request that is answered; `status`: 0 for a request. `number`: of the CSeq;
    `note`: the Fail-Word; `report`: the Link-State."""

    method: str
    status: int
    call: str
    number: int
    cause: int
    note: str
    report: str
    body: bytes


def read(data):
    """Parses one framed message into a Signal. Raises PlatformError or SipError."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise PlatformError(f"{len(data)} bytes", "message")
    parsed = message.parse(data, stream=True)
    number, method = parsed.cseq if parsed.has("cseq") else (0, parsed.method)
    if parsed.status and method not in ANSWERED_METHODS:
        raise PlatformError(f"an answer to {method[:20]!r}", "CSeq")
    if parsed.method and parsed.method not in ("BYE", "NOTIFY", "OPTIONS", "ACK", "CANCEL"):
        raise PlatformError(f"a {parsed.method[:20]}", "message")
    cause = 0
    if parsed.method == "BYE":
        found = _CAUSE.search(parsed.get("reason"))
        cause = int(found.group(1)) if found else 0
    return Signal(
        method,
        parsed.status,
        parsed.call_id,
        number,
        cause,
        parsed.get("fail-word"),
        parsed.get("link-state"),
        parsed.body,
    )


def report(text, names):
    """Converts a Link-State to a Report for the module; `names` maps the field names of the wire to the module's. A
    field that cannot be read counts as missing."""
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if isfinite(number) and 0 <= number < 1e9:
            found[names.get(name, name)] = number
    wait = found.get("latency_ms")
    return io.Report(
        found.get("idle"), found.get("circuits"), None if wait is None else round(wait * 1000), found.get("max_rate")
    )


def _request(method, number, call, cseq, extra="", body=b""):
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP thorndale\r\nCall-ID: {call}\r\n"
        f"CSeq: {cseq} {method}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def invite(call, cseq, number, call_type, within_us, body):
    extra = f"Call-Kind: {call_type}\r\nAnswer-Within: {max(1, within_us // 1000)}\r\n"
    return _request("INVITE", number, call, cseq, extra, body)


def ack(call, cseq, number):
    return _request("ACK", number, call, cseq)


def cancel(call, cseq, number):
    return _request("CANCEL", number, call, cseq)


def bye(call, cseq, number, cause):
    return _request("BYE", number, call, cseq, f"Reason: Q.850;cause={cause}\r\n")


def options(call, cseq):
    return _request("OPTIONS", "ping", call, cseq)


def ok_to(signal):
    """The 200 answer to a BYE."""
    return (
        f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP thorndale\r\nCall-ID: {signal.call}\r\n"
        f"CSeq: {signal.number} {signal.method}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


STREAM_ERRORS = (PlatformError, SipError)
