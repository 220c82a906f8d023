"""Datagram sockets. uvloop has no `sock_recvfrom`, so they are read through `add_reader`, in bounded batches.

With IP_RECVERR, Linux tells which address an ICMP 'port unreachable' was about. A socket with such an error shows
POLLERR, at which libuv gives a descriptor up for good (tried: the socket was never read again). So on Linux the loop
watches an epoll of this one socket instead, which is simply readable. Elsewhere no address is told unreachable.
"""

import contextlib
import select
import socket

from thorndale.sip.transaction import Hop

BATCH = 64  # datagrams read at one go: then timers and other sockets have their turn
LARGEST = 65_535  # bytes
BUFFER = 4 << 20  # bytes of the kernel's buffers asked for: some seconds of a small proxy's traffic
_RECVERR = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}
_MSG_ERRQUEUE = 0x2000


class Udp:
    """One socket. `on_data(data, hop)` for each datagram, `on_lost(hop)` for each address found unreachable,
    `on_batch()` after each batch. What the kernel has no room for is dropped and counted, as datagrams may be."""

    def __init__(self, loop, host, port, on_data, on_lost, on_batch):
        self.loop, self.on_data, self.on_lost, self.on_batch = loop, on_data, on_lost, on_batch
        self.dropped = 0
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.sock.setblocking(False)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.sock.setsockopt(socket.SOL_SOCKET, option, BUFFER)
            self.sock.bind((host, port))
            self.poll = None
            if hasattr(select, "epoll"):
                with contextlib.suppress(OSError):
                    self.sock.setsockopt(*_RECVERR[family], 1)
                self.poll = select.epoll(1)
                self.poll.register(self.sock, select.EPOLLIN)
        except OSError:
            self.sock.close()
            raise
        self.buffer = bytearray(LARGEST)
        self.watched = self.poll or self.sock
        loop.add_reader(self.watched.fileno(), self._readable)

    def _readable(self):
        self.read()
        self.on_batch()

    def read(self, most=BATCH):
        """Reads up to `most` datagrams that are there; gives their number."""
        sock, buffer, on_data = self.sock, self.buffer, self.on_data
        for n in range(most):
            try:
                size, address = sock.recvfrom_into(buffer)
            except (BlockingIOError, InterruptedError):
                return n
            except OSError:
                if not self._errors():
                    return n
                continue
            on_data(bytes(buffer[:size]), Hop("udp", address[0], address[1], 0))
        return most

    def _errors(self):
        """Reads the queue of errors; gives how many there were."""
        for found in range(BATCH):
            try:
                _, _, _, address = self.sock.recvmsg(0, 512, _MSG_ERRQUEUE)
            except OSError:
                return found
            if address:
                self.on_lost(Hop("udp", address[0], address[1], 0))
        return BATCH

    def send(self, hop, data):
        self.sock_send(hop.host, hop.port, data)

    def sock_send(self, host, port, data):
        for _ in range(2):  # an error that belongs to an earlier datagram is reported at the next send
            try:
                self.sock.sendto(data, (host, port))
                return
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                if not self._errors():
                    break
        self.dropped += 1

    def close(self):
        self.loop.remove_reader(self.watched.fileno())
        if self.poll is not None:
            self.poll.close()
        self.sock.close()
