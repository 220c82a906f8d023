"""The central servers' messages: plain SIP without tags or dialogs, on `thorndale.sip`'s framing and parsing
(the platform's PROTOCOL, 'Border proxies to central servers'). Messages are matched by Call-ID, answers also by CSeq.
"""

import re
from math import isfinite
from typing import NamedTuple

from thorndale import interface as io
from thorndale.platform.errors import PlatformError
from thorndale.sip import framing, message
from thorndale.sip.errors import SipError

MOST = 16_384  # bytes of a message: the protocol's bound
_CAUSE = re.compile(r"Q\.850\s*;\s*cause=(\d{1,3})", re.I)
_START = re.compile(rb"(?:^|\n)SIP/2\.0 \d{3} |(?:^|\n)(?:BYE|NOTIFY|OPTIONS) sip:\S+ SIP/2\.0\r\n")  # of a message
ANSWERED = frozenset(("INVITE", "CANCEL", "BYE", "OPTIONS", "ACK"))


class Framer:
    """`feed(data)` yields a Signal for each whole message. Raises PlatformError or SipError for what cannot be read:
    the stream is of no use then, whatever of it still comes."""

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
        if _START.search(self._framer.held, 1):
            raise PlatformError("another begins inside it", "message")


class Signal(NamedTuple):
    """`method`: of the request, or of the request that is answered; `status`: 0 for a request. `number`: CSeq's."""

    method: str
    status: int
    call: str
    number: int
    cause: int
    note: str
    report: str
    body: bytes


def read(data):
    """One framed message. Raises PlatformError or SipError."""
    if len(data) > MOST:
        raise PlatformError(f"{len(data)} bytes", "message")
    m = message.parse(data, stream=True)
    number, method = m.cseq if m.has("cseq") else (0, m.method)
    if m.status and method not in ANSWERED:
        raise PlatformError(f"an answer to {method[:20]!r}", "CSeq")
    if m.method and m.method not in ("BYE", "NOTIFY", "OPTIONS", "ACK", "CANCEL"):
        raise PlatformError(f"a {m.method[:20]}", "message")
    cause = 0
    if m.method == "BYE":
        found = _CAUSE.search(m.get("reason"))
        cause = int(found.group(1)) if found else 0
    return Signal(method, m.status, m.call_id, number, cause, m.get("fail-word"), m.get("link-state"), m.body)


def report(text, names):
    """A Link-State as the module's Report; `names` are the settings' words for the fields. A part that cannot be
    read is as one not told."""
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            figure = float(value)
        except ValueError:
            continue
        if isfinite(figure) and 0 <= figure < 1e9:
            found[names.get(name, name)] = figure
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


def heard(signal):
    """200 to a BYE."""
    return (
        f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP thorndale\r\nCall-ID: {signal.call}\r\n"
        f"CSeq: {signal.number} {signal.method}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


FAULTS = (PlatformError, SipError)
