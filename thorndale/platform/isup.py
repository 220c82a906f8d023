"""Callers' messages (the platform's PROTOCOL, 'Messages' and 'Callers to border proxies').

    message   = length:2 type:1 call:8 parameters      length counts all bytes after it; big-endian
    parameter = code:1 length:2 value

`Framer` splits the byte stream into messages; `read_setup` validates every parameter of a set-up, so that no value out
of range reaches the core.
"""

import re
from math import isfinite
from typing import NamedTuple

from thorndale.platform.description import is_description
from thorndale.platform.errors import PlatformError

MAX_MESSAGE_BYTES = 16_384  # limit of the protocol
MIN_MESSAGE_BYTES = 9  # type and call id
SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE, STATE, TEST, RESULT = 1, 6, 9, 12, 16, 43, 52, 53
MESSAGE_TYPES = frozenset((SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE, STATE, TEST, RESULT))
TYPE, WITHIN, REDIAL, NUMBER, FIGURES, COMEBACK, CAUSE, DESCRIPTION = 129, 131, 135, 137, 139, 141, 157, 159
REQUIRED_PARAMETERS = (TYPE, WITHIN, NUMBER, FIGURES, DESCRIPTION)
_NUMBER = re.compile(rb"[0-9a-f]{16}")
_SERVER = re.compile(r"s-[0-9a-f]{8}")


class Setup(NamedTuple):
    """`within_us`: how long the caller waits. `pool`: first choice. `reattempt`: the call was established and cut
    before. `established_at`: the central server at which the call is established already, else ''."""

    call_type: int
    within_us: int
    redial: bool
    number: str
    pool: int
    reattempt: bool
    established_at: str
    description: bytes


class Framer:
    """`feed(data)` yields (type, call id, parameters) for each complete message, id and parameters as bytes.

    It buffers at most one message and the data received with it. Raises PlatformError if the length is out of range or
    the type unknown, since the start of the next message cannot be found then; complete messages before that point are
    yielded first.
    """

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    @property
    def partial(self):
        return bool(self._buffer)

    def feed(self, data):
        buffer, at = self._buffer, 0
        buffer += data
        try:
            while len(buffer) - at >= 2:
                length = buffer[at] << 8 | buffer[at + 1]
                if not MIN_MESSAGE_BYTES <= length <= MAX_MESSAGE_BYTES:
                    raise PlatformError(f"a length of {length}", "message")
                if len(buffer) - at > 2 and buffer[at + 2] not in MESSAGE_TYPES:
                    raise PlatformError(f"type {buffer[at + 2]}", "message")
                if len(buffer) - at - 2 < length:
                    break
                start, at = at + 2, at + 2 + length
                yield buffer[start], bytes(buffer[start + 1 : start + 9]), bytes(buffer[start + 9 : at])
        finally:
            del buffer[:at]


def parameters(data):
    """Parses parameters into {code: value}. Raises PlatformError for a wrong length or a repeated code."""
    found, at, end = {}, 0, len(data)
    while at < end:
        if end - at < 3:
            raise PlatformError("incomplete", "parameter")
        code, length = data[at], data[at + 1] << 8 | data[at + 2]
        at += 3 + length
        if at > end:
            raise PlatformError(f"length {length} exceeds the message", f"parameter {code}")
        if code in found:
            raise PlatformError("occurs twice", f"parameter {code}")
        found[code] = data[at - length : at]
    return found


def encode(message_type, call_id, *values):
    """Encodes a message; `values` are pairs of code and bytes."""
    body = b"".join(bytes((code, len(v) >> 8, len(v) & 255)) + v for code, v in values)
    return (9 + len(body)).to_bytes(2, "big") + bytes((message_type,)) + call_id + body


def release(call_id, cause, comeback_us=0):
    """Encodes a release with its cause and, if `comeback_us` is not 0, the time after which the caller may redial."""
    values = [(CAUSE, bytes((cause,)))]
    if comeback_us > 0:
        values.append((COMEBACK, b"%d" % max(1, comeback_us // 1000)))
    return encode(RELEASE, call_id, *values)


def read_cause(found):
    value = found.get(CAUSE, b"")
    if len(value) != 1:
        raise PlatformError("not one byte", "cause")
    return value[0]


def _whole_number(value, where, lowest, highest):
    if not value.isdigit() or len(value) > 12 or not lowest <= int(value) <= highest:
        raise PlatformError(f"{value[:20]!r} is no whole number from {lowest} to {highest}", where)
    return int(value)


def figures(value):
    """Parses parameter 139 into {name: text}. Raises PlatformError for a repeated name."""
    try:
        text = value.decode("ascii")
    except UnicodeDecodeError:
        raise PlatformError("not ASCII", "figures") from None
    found = {}
    for part in text.split(";"):
        name, colon, item = part.partition(":")
        if not colon or not name or name in found or len(found) > 15:
            raise PlatformError(f"cannot be read at {part[:20]!r}", "figures")
        found[name] = item
    return found


def _figure(found, name, allowed, default=None):
    text = found.get(name, default)
    for value in allowed:
        if text == str(value):
            return value
    raise PlatformError(f"{name}:{str(text)[:20]} is out of range", "figures")


def read_setup(found, call_types):
    """Validates parameters and returns a Setup; `call_types` is {class name as bytes: CallType}, see `platform.config`.
    Raises PlatformError."""
    for code in REQUIRED_PARAMETERS:
        if code not in found:
            raise PlatformError("is missing", f"parameter {code}")
    call_type = call_types.get(found[TYPE])
    if call_type is None:
        raise PlatformError(f"no such class: {found[TYPE][:20]!r}", "class")
    if not _NUMBER.fullmatch(found[NUMBER]):
        raise PlatformError("not 16 hex digits", "number")
    if not is_description(found[DESCRIPTION]):
        raise PlatformError("cannot be read", "description")
    if found.get(REDIAL, b"1") not in (b"0", b"1"):
        raise PlatformError("neither 0 nor 1", "redial")
    given = figures(found[FIGURES])
    established_at = given.get("at", "")
    if established_at and not _SERVER.fullmatch(established_at):
        raise PlatformError("not a server id", "at")
    for name, text in given.items():
        if name not in ("at", "again"):
            try:
                is_finite = isfinite(float(text))
            except ValueError:
                is_finite = False
            if not is_finite:
                raise PlatformError(f"{name}:{text[:20]} is no number", "figures")
    _figure(given, "width", (call_type.width,), str(call_type.width))
    within_ms = _whole_number(found[WITHIN], "time to answer", 0 if established_at else 1, call_type.guard_us // 1000)
    return Setup(
        call_type.index,
        within_ms * 1000,
        found.get(REDIAL) == b"1",
        found[NUMBER].decode(),
        _figure(given, "dest", call_type.pools),
        _figure(given, "again", (0, 1), "0") == 1,
        established_at,
        found[DESCRIPTION],
    )
