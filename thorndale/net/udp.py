"""Datagram sockets. uvloop has no `sock_recvfrom`, so they are read through `add_reader`, in bounded batches.

With IP_RECVERR, Linux reports which address an ICMP 'port unreachable' was about. A socket with a queued error shows
POLLERR, and libuv then stops watching the descriptor for good, so that the socket is never read again. On Linux the
loop therefore watches an epoll descriptor that holds this one socket and is simply readable. Elsewhere no address is
reported as unreachable.
"""

import contextlib
import select
import socket

from thorndale.sip.transaction import Hop

BATCH = 64  # datagrams read in one go, so that timers and other sockets get their turn
MAX_DATAGRAM_BYTES = 65_535
KERNEL_BUFFER_BYTES = 4 << 20  # requested size: a few seconds of a small proxy's traffic
_RECVERR = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}
_MSG_ERRQUEUE = 0x2000


class Udp:
    """One datagram socket. Calls `on_data(data, hop)` for each datagram, `on_lost(hop)` for each address found
    unreachable and `on_batch()` after each batch. Datagrams that the kernel has no room for are dropped and counted."""

    def __init__(self, loop, host, port, on_data, on_lost, on_batch):
        self.loop, self.on_data, self.on_lost, self.on_batch = loop, on_data, on_lost, on_batch
        self.dropped = 0
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.sock.setblocking(False)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
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
        self.buffer = bytearray(MAX_DATAGRAM_BYTES)
        self.watched = self.poll or self.sock
        loop.add_reader(self.watched.fileno(), self._readable)

    def _readable(self):
        self.read()
        self.on_batch()

    def read(self, limit=BATCH):
        """Reads at most `limit` queued datagrams. Returns how many were read."""
        sock, buffer, on_data = self.sock, self.buffer, self.on_data
        for n in range(limit):
            try:
                size, address = sock.recvfrom_into(buffer)
            except (BlockingIOError, InterruptedError):
                return n
            except OSError:
                if not self._read_errors():
                    return n
                continue
            on_data(bytes(buffer[:size]), Hop("udp", address[0], address[1], 0))
        return limit

    def _read_errors(self):
        """Reads the socket's error queue. Returns how many errors there were."""
        for count in range(BATCH):
            try:
                _, _, _, address = self.sock.recvmsg(0, 512, _MSG_ERRQUEUE)
            except OSError:
                return count
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
                if not self._read_errors():
                    break
        self.dropped += 1

    def close(self):
        self.loop.remove_reader(self.watched.fileno())
        if self.poll is not None:
            self.poll.close()
        self.sock.close()
