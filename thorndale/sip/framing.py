"""Messages out of a stream of bytes, by Content-Length (RFC 3261 section 18.3), with bounds.

`Framer` takes bytes as they come and gives back whole messages, keep-alives and faults. After a fault that
leaves the next message's start unknown, the stream is of no use and the connection must be closed.
"""

from thorndale.sip.errors import SipError
from thorndale.sip.message import MAX_BODY, MAX_HEAD

KEEPALIVE = b"\r\n\r\n"  # RFC 5626 section 4.4.1: answered with one CRLF
_LENGTH = (b"content-length", b"l")


class Framer:
    """`feed(data)` gives the whole messages so far, as bytes, and `KEEPALIVE` for each ping.

    It holds at most MAX_HEAD + MAX_BODY bytes; a message over a bound raises SipError.
    """

    __slots__ = ("_held", "_need", "_looked")

    def __init__(self):
        self._held, self._need, self._looked = bytearray(), 0, 0

    @property
    def partial(self):
        """Whether part of a message waits for the rest."""
        return bool(self._held)

    @property
    def held(self):
        """The bytes of that part."""
        return self._held

    def feed(self, data):
        held, out = self._held, []
        held += data
        while held:
            if not self._need:
                if held[0] in b"\r\n":
                    if held.startswith(KEEPALIVE):
                        out.append(KEEPALIVE)
                        del held[:4]
                        continue
                    if held[:2] == b"\r\n" and len(held) < 4:
                        if len(held) == 3 and held[2:3] != b"\r":
                            del held[:2]
                            continue
                        break  # it may become a keep-alive
                    if held[:2] == b"\r\n":
                        del held[:2]
                        continue
                    if len(held) == 1:
                        break
                    raise SipError("a bare line end between messages", "stream")
                end = held.find(b"\r\n\r\n", max(0, self._looked - 3))
                if end < 0:
                    self._looked = len(held)
                    if len(held) > MAX_HEAD:
                        raise SipError(f"more than {MAX_HEAD} bytes of header fields", "stream", 513)
                    break
                if end > MAX_HEAD:
                    raise SipError(f"more than {MAX_HEAD} bytes of header fields", "stream", 513)
                self._need = end + 4 + _body_length(bytes(held[:end]))
            if len(held) < self._need:
                break
            out.append(bytes(held[: self._need]))
            del held[: self._need]
            self._need = self._looked = 0
        return out


def _body_length(head):
    found = -1
    for line in head.split(b"\r\n")[1:]:
        name, colon, value = line.partition(b":")
        if colon and name.strip().lower() in _LENGTH:
            value = value.strip()
            if not value.isdigit() or len(value) > 9:
                raise SipError("no whole number", "Content-Length")
            if found >= 0 and found != int(value):
                raise SipError("two that differ", "Content-Length")
            found = int(value)
    if found > MAX_BODY:
        raise SipError(f"more than {MAX_BODY} bytes", "Content-Length", 513)
    return max(found, 0)
