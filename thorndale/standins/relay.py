"""Forwards bytes between proxies and other parties with the planned link faults; one socket pair per link.

A proxy gets the port of the relay instead of the party's own; the relay sends to the party from a separate port for
that proxy, so that answers return through the relay. Requests that a party sends to an address from a message (Contact)
bypass the relay. The Contact of a server contains the address that was called, so that a proxy's requests within a call
pass through the relay.
"""

import asyncio
import contextlib
import socket
import struct

from thorndale.net.clock import now_us
from thorndale.standins.links import LinkDirection

READ_BYTES = 65_536
IP_PKTINFO = 8  # ip(7): destination of a received and source of a sent datagram; Python has no name for it
MAX_RELAYED_PROXIES = 254  # one socket distinguishes them by one byte of their loopback addresses


def loopback_address(a, b, port):
    """The relay's address at which proxy a reaches proxy b, by their indices."""
    return f"127.{a + 1}.{b + 1}.9:{port}"


class Relay:
    """`open(proxy, other, transport, port, target)` relays one faulty link; `begin(at_us)`: the day starts."""

    def __init__(self, loop, plans, random):
        self.loop, self.plans, self.random = loop, plans, random
        self.began, self.passed = now_us(), {"delivered": 0, "lost": 0, "doubled": 0, "held": 0, "reset": 0}
        self.sockets, self.tasks, self.servers = [], set(), []

    def begin(self, at_us):
        self.began = at_us

    def now(self):
        return now_us() - self.began

    async def open(self, proxy, other, transport, port, target):
        lines = {
            "out": LinkDirection(self.plans, proxy, other, self.random),
            "back": LinkDirection(self.plans, other, proxy, self.random),
        }
        if transport == "udp":
            self._udp(lines, port, target)
        else:
            server = await asyncio.start_server(
                lambda reader, writer: self._tcp(lines, reader, writer, target), "127.0.0.1", port
            )
            self.servers.append(server)

    def open_between(self, port, targets, pairs):
        """Relays datagrams between proxies with one socket on all loopback addresses: for (a, b) of `pairs`, indices
        into `targets`, a sends to `loopback_address(a, b, port)`; b receives from `loopback_address(b, a, port)`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        with contextlib.suppress(OSError):  # refused by an old kernel; datagrams to other addresses are dropped below
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        sock.bind(("0.0.0.0", port))  # all of 127.0.0.0/8
        sock.setblocking(False)
        lines = {(a, b): LinkDirection(self.plans, f"proxy{a + 1}", f"proxy{b + 1}", self.random) for a, b in pairs}
        self.loop.add_reader(sock.fileno(), self._relay_between_proxies, sock, lines, targets)

    def _relay_between_proxies(self, sock, lines, targets):
        for _ in range(256):
            try:
                data, extra, _, _ = sock.recvmsg(READ_BYTES, socket.CMSG_SPACE(12))
            except OSError:
                return
            if not extra or extra[0][2][8] != 127:
                continue
            a, b = extra[0][2][9] - 1, extra[0][2][10] - 1
            line = lines.get((a, b))
            if line is not None:
                source = struct.pack("@i4s4s", 0, bytes((127, b + 1, a + 1, 9)), bytes(4))
                self._carry(
                    line,
                    lambda d, b=b, source=source: sock.sendmsg(
                        [d], [(socket.IPPROTO_IP, IP_PKTINFO, source)], 0, targets[b]
                    ),
                    data,
                )

    # ---- datagrams ----

    def _udp(self, lines, port, target):
        proxy_side, target_side = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        proxy_side.bind(("127.0.0.1", port))
        target_side.bind(("127.0.0.1", 0))
        peer = [None]  # source address of the proxy's latest datagram
        for sock in (proxy_side, target_side):
            sock.setblocking(False)
            self.sockets.append(sock)
        self.loop.add_reader(
            proxy_side.fileno(),
            self._datagrams,
            proxy_side,
            lines["out"],
            lambda d: target_side.sendto(d, target),
            peer,
        )
        self.loop.add_reader(
            target_side.fileno(),
            self._datagrams,
            target_side,
            lines["back"],
            lambda d: peer[0] and proxy_side.sendto(d, peer[0]),
            None,
        )

    def _datagrams(self, sock, line, send, peer):
        for _ in range(64):
            try:
                data, address = sock.recvfrom(READ_BYTES)
            except OSError:  # no more datagrams, or the party's port is closed and the datagram is lost
                return
            if peer is not None:
                peer[0] = address
            self._carry(line, send, data)

    def _carry(self, line, send, data):
        now = self.now()
        delivery_times = line.carry(now, len(data))
        self.passed["lost"] += not delivery_times
        self.passed["doubled"] += len(delivery_times) > 1
        for at in delivery_times:
            if at <= now:
                self._send(send, data)
            else:
                self.loop.call_later((at - now) / 1e6, self._send, send, data)

    def _send(self, send, data):
        with contextlib.suppress(OSError):
            send(data)
            self.passed["delivered"] += 1

    # ---- streams ----

    async def _tcp(self, lines, reader, writer, target):
        if lines["out"].resets(self.now()) or lines["back"].resets(self.now()):
            self._reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*target)
        except OSError:
            self._reset(writer)
            return
        writers = (writer, target_writer)
        pumps = [
            self.loop.create_task(self._pump(lines["out"], reader, target_writer)),
            self.loop.create_task(self._pump(lines["back"], target_reader, writer)),
            self.loop.create_task(self._watch(lines)),
        ]
        self.tasks.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in pumps:
                task.cancel()
            self.tasks.difference_update(pumps)
            await asyncio.gather(*pumps, return_exceptions=True)
            for end_writer in writers:
                self._reset(end_writer)

    async def _watch(self, lines):
        while not (lines["out"].resets(self.now()) or lines["back"].resets(self.now())):
            await asyncio.sleep(0.02)

    async def _pump(self, line, reader, writer):
        while data := await reader.read(READ_BYTES):
            at = line.stream(self.now(), len(data))
            while at is None:
                self.passed["held"] += 1
                await asyncio.sleep(max(0.005, (line.cut_until(self.now()) - self.now()) / 1e6))
                at = line.stream(self.now(), len(data))
            if at > self.now():
                await asyncio.sleep((at - self.now()) / 1e6)
            writer.write(data)
            self.passed["delivered"] += 1
            await writer.drain()

    def _reset(self, writer):
        self.passed["reset"] += 1
        with contextlib.suppress(OSError, AttributeError):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        writer.close()

    async def close(self):
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sock in self.sockets:
            self.loop.remove_reader(sock.fileno())
            sock.close()
