"""Carries bytes between proxies and the parties behind them, as the links' plan has it: one socket pair a link.

A proxy is told the relay's port in place of the party's own; the relay speaks to the party from a port of its own for
that proxy, so that answers come back through it. What a party sends by itself to an address written in a message
(Contact) goes past the relay; boxes write the address that they were asked at, so a proxy's requests within a call
pass it.
"""

import asyncio
import contextlib
import socket

from thorndale.net.clock import now_us
from thorndale.standins.links import Line

READ = 65_536


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
        lines = {"out": Line(self.plans, proxy, other, self.chance),
                 "back": Line(self.plans, other, proxy, self.chance)}
        if transport == "udp":
            self._udp(lines, port, target)
        else:
            server = await asyncio.start_server(
                lambda reader, writer: self._tcp(lines, reader, writer, target), "127.0.0.1", port)
            self.servers.append(server)

    def between(self, a, b, ports, targets):
        """Two proxies that send each other datagrams: `ports` are the relay's that stand for b at a and for a at b,
        `targets` where a and b themselves hear. Each sees the other at one address, in both directions."""
        near, far = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock, port in ((near, ports[0]), (far, ports[1])):
            sock.bind(("127.0.0.1", port))
            sock.setblocking(False)
            self.sockets.append(sock)
        self.loop.add_reader(near.fileno(), self._datagrams, near, Line(self.plans, a, b, self.chance),
                             lambda d: far.sendto(d, targets[1]), None)
        self.loop.add_reader(far.fileno(), self._datagrams, far, Line(self.plans, b, a, self.chance),
                             lambda d: near.sendto(d, targets[0]), None)

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
        self.loop.add_reader(far.fileno(), self._datagrams, far, lines["back"],
                             lambda d: peer[0] and near.sendto(d, peer[0]), None)

    def _datagrams(self, sock, line, send, peer):
        for _ in range(64):
            try:
                data, address = sock.recvfrom(READ)
            except OSError:  # nothing more, or the party's port is closed: that datagram is lost
                return
            if peer is not None:
                peer[0] = address
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
        ends = [self.loop.create_task(self._pump(lines["out"], reader, far_writer)),
                self.loop.create_task(self._pump(lines["back"], far_reader, writer)),
                self.loop.create_task(self._watch(lines))]
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
