"""Carries bytes between proxies and the parties behind them, as the links' plan has it: one socket pair a link.

A proxy is told the relay's port in place of the party's own; the relay speaks to the party from a port of its own for
that proxy, so that answers come back through it. What a party sends by itself to an address written in a message
(Contact) goes past the relay; boxes write the address that they were asked at, so a proxy's requests within a call
pass it.
"""

import asyncio
import contextlib
import socket
import struct

from thorndale.net.clock import now_us
from thorndale.standins.links import Line

READ = 65_536
IP_PKTINFO = 8  # ip(7): which address a datagram came to, and goes from; Python has no name for it
PROXIES_MOST = 254  # that one socket can tell apart by their loopback addresses


def place(a, b, port):
    """Where proxy a reaches proxy b, by their indices."""
    return f"127.{a + 1}.{b + 1}.9:{port}"


class Relay:
    """`open(proxy, other, transport, port, target)` for each link with a fault; `begin(at_us)` is the day's start."""

    def __init__(self, loop, plans, chance):
        self.loop, self.plans, self.chance = loop, plans, chance
        self.began, self.passed = now_us(), {"delivered": 0, "lost": 0, "doubled": 0, "held": 0, "reset": 0}
        self.sockets, self.tasks, self.servers = [], set(), []

    def begin(self, at_us):
        self.began = at_us

    def now(self):
        return now_us() - self.began

    async def open(self, proxy, other, transport, port, target):
        lines = {
            "out": Line(self.plans, proxy, other, self.chance),
            "back": Line(self.plans, other, proxy, self.chance),
        }
        if transport == "udp":
            self._udp(lines, port, target)
        else:
            server = await asyncio.start_server(
                lambda reader, writer: self._tcp(lines, reader, writer, target), "127.0.0.1", port
            )
            self.servers.append(server)

    def between(self, port, targets, pairs):
        """Proxies that send each other datagrams, all by one socket on every loopback address: for (a, b) of `pairs`,
        indices into `targets`, a sends to `place(a, b, port)`, and b hears it as from `place(b, a, port)`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        with contextlib.suppress(OSError):  # an old kernel; then what comes to any other address is dropped below
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        sock.bind(("0.0.0.0", port))  # all of 127.0.0.0/8
        sock.setblocking(False)
        lines = {(a, b): Line(self.plans, f"proxy{a + 1}", f"proxy{b + 1}", self.chance) for a, b in pairs}
        self.loop.add_reader(sock.fileno(), self._passes, sock, lines, targets)

    def _passes(self, sock, lines, targets):
        for _ in range(256):
            try:
                data, extra, _, _ = sock.recvmsg(READ, socket.CMSG_SPACE(12))
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
        near, far = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        near.bind(("127.0.0.1", port))
        far.bind(("127.0.0.1", 0))
        peer = [None]  # the proxy's address, from what it sent last
        for sock in (near, far):
            sock.setblocking(False)
            self.sockets.append(sock)
        self.loop.add_reader(near.fileno(), self._datagrams, near, lines["out"], lambda d: far.sendto(d, target), peer)
        self.loop.add_reader(
            far.fileno(), self._datagrams, far, lines["back"], lambda d: peer[0] and near.sendto(d, peer[0]), None
        )

    def _datagrams(self, sock, line, send, peer):
        for _ in range(64):
            try:
                data, address = sock.recvfrom(READ)
            except OSError:  # nothing more, or the party's port is closed: that datagram is lost
                return
            if peer is not None:
                peer[0] = address
            self._carry(line, send, data)

    def _carry(self, line, send, data):
        now = self.now()
        moments = line.carry(now, len(data))
        self.passed["lost"] += not moments
        self.passed["doubled"] += len(moments) > 1
        for at in moments:
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
            far_reader, far_writer = await asyncio.open_connection(*target)
        except OSError:
            self._reset(writer)
            return
        both = (writer, far_writer)
        ends = [
            self.loop.create_task(self._pump(lines["out"], reader, far_writer)),
            self.loop.create_task(self._pump(lines["back"], far_reader, writer)),
            self.loop.create_task(self._watch(lines)),
        ]
        self.tasks.update(ends)
        try:
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in ends:
                task.cancel()
            self.tasks.difference_update(ends)
            await asyncio.gather(*ends, return_exceptions=True)
            for end in both:
                self._reset(end)

    async def _watch(self, lines):
        while not (lines["out"].resets(self.now()) or lines["back"].resets(self.now())):
            await asyncio.sleep(0.02)

    async def _pump(self, line, reader, writer):
        while data := await reader.read(READ):
            at = line.stream(self.now(), len(data))
            while at is None:
                self.passed["held"] += 1
                await asyncio.sleep(max(0.005, (line.heals(self.now()) - self.now()) / 1e6))
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
