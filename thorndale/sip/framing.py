"""Splits a byte stream into messages by Content-Length (RFC 3261 section 18.3), with size limits.

`Framer` accepts bytes in any pieces and returns complete messages and keep-alives. After a SipError the start of the
next message is unknown, so the connection must be closed.
"""

from thorndale.sip.errors import SipError
from thorndale.sip.message import MAX_BODY_BYTES, MAX_HEAD_BYTES

KEEPALIVE = b"\r\n\r\n"  # RFC 5626 section 4.4.1: answered with one CRLF
_LENGTH_NAMES = (b"content-length", b"l")


class Framer:
    """`feed(data)` returns the messages completed so far, as bytes, and `KEEPALIVE` for each ping.

    The buffer holds at most MAX_HEAD_BYTES + MAX_BODY_BYTES; a message above a limit raises SipError.
    """

    # _message_length: length of the message at the start of the buffer, 0 while its header is incomplete.
    # _scanned: bytes already searched for the end of the header.
    __slots__ = ("_buffer", "_message_length", "_scanned")

    def __init__(self):
        self._buffer, self._message_length, self._scanned = bytearray(), 0, 0

    @property
    def partial(self):
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    @property
    def buffered(self):
        """The bytes of the incomplete message."""
        return self._buffer

    def feed(self, data):
        buffer, messages = self._buffer, []
        buffer += data
        while buffer:
            if not self._message_length:
                if buffer[0] in b"\r\n":
                    if buffer.startswith(KEEPALIVE):
                        messages.append(KEEPALIVE)
                        del buffer[:4]
                        continue
                    if buffer[:2] == b"\r\n" and len(buffer) < 4:
                        if len(buffer) == 3 and buffer[2:3] != b"\r":
                            del buffer[:2]
                            continue
                        break  # may be the start of a keep-alive
                    if buffer[:2] == b"\r\n":
                        del buffer[:2]
                        continue
                    if len(buffer) == 1:
                        break
                    raise SipError("a bare line end between messages", "stream")
                end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
                if end < 0:
                    self._scanned = len(buffer)
                    if len(buffer) > MAX_HEAD_BYTES:
                        raise SipError(f"more than {MAX_HEAD_BYTES} bytes of header fields", "stream", 513)
                    break
                if end > MAX_HEAD_BYTES:
                    raise SipError(f"more than {MAX_HEAD_BYTES} bytes of header fields", "stream", 513)
                self._message_length = end + 4 + _body_length(bytes(buffer[:end]))
            if len(buffer) < self._message_length:
                break
            messages.append(bytes(buffer[: self._message_length]))
            del buffer[: self._message_length]
            self._message_length = self._scanned = 0
        return messages


def _body_length(head):
    length = -1
    for line in head.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if colon and name.strip().lower() in _LENGTH_NAMES:
            value = value.strip()
            if not value.isdigit() or len(value) > 9:
                raise SipError("no whole number", "Content-Length")
            if length >= 0 and length != int(value):
                raise SipError("two that differ", "Content-Length")
            length = int(value)
    if length > MAX_BODY_BYTES:
        raise SipError(f"more than {MAX_BODY_BYTES} bytes", "Content-Length", 513)
    return max(length, 0)
