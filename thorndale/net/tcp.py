"""Stream connections: `sock_recv_into` and `sock_sendall` on asyncio's loop, messages framed by Content-Length.

Each connection has one task that reads and one that writes; `Tcp` owns them and waits for them at its end.
"""

import asyncio
import contextlib
import socket
from collections import deque

from thorndale.sip.errors import SipError
from thorndale.sip.framing import KEEPALIVE, Framer
from thorndale.sip.transaction import Hop

READ = 65_536  # bytes read at one go
BACKLOG = 512  # connections that wait to be accepted
HIGH_PART = 0.5  # of the unsent bytes allowed from which on no more is read from that peer: it must read first


class Connection:
    """`hop` is what messages by it are known by: (tcp, host, port, 0) when opened from here, else with a number."""

    def __init__(self, owner, hop, sock, opening):
        self.owner, self.hop, self.sock, self.opening = owner, hop, sock, opening
        self.queue, self.unsent, self.wake, self.drained = deque(), 0, asyncio.Event(), asyncio.Event()
        self.drained.set()
        self.framer, self.closed, self.partial_at = Framer(), False, 0.0
        self.established = not opening

    def send(self, data):
        if self.closed:
            return
        limits = self.owner.limits
        self.unsent += len(data)
        if self.unsent > limits.unsent_bytes:  # the peer does not read: kept for, it would take all memory
            self.owner.count["cut, not reading"] += 1
            self.owner.drop(self)
            return
        if self.unsent > limits.unsent_bytes * HIGH_PART:
            self.drained.clear()
        self.queue.append(data)
        self.wake.set()

    async def write(self):
        loop = self.owner.loop
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.queue:
                data = b"".join(self.queue) if len(self.queue) > 1 else self.queue[0]
                self.queue.clear()
                await loop.sock_sendall(self.sock, data)
                self.unsent -= len(data)
                self.drained.set()

    async def read(self):
        loop, owner = self.owner.loop, self.owner
        buffer = bytearray(READ)
        view = memoryview(buffer)
        while True:
            await self.drained.wait()
            size = await loop.sock_recv_into(self.sock, buffer)
            if not size:
                return
            for data in self.framer.feed(view[:size]):
                if data is KEEPALIVE:
                    self.send(b"\r\n")
                else:
                    owner.on_data(data, self.hop)
            owner.on_batch()
            if not self.framer.partial:
                self.partial_at = 0.0
            elif not self.partial_at:
                self.partial_at = loop.time()

    async def run(self):
        """The connection's life; its end is told once."""
        loop, owner = self.owner.loop, self.owner
        kind = "lost"
        writer = None
        try:
            if self.opening:
                kind = "refused"
                address = (self.hop.host, self.hop.port)
                await asyncio.wait_for(loop.sock_connect(self.sock, address), owner.limits.connect_ms / 1000)
                kind, self.established = "lost", True
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            writer = loop.create_task(self.write())
            reader = loop.create_task(self.read())
            try:
                await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (reader, writer):
                    task.cancel()
                for task in (reader, writer):
                    with contextlib.suppress(asyncio.CancelledError, OSError, SipError):
                        await task
        except (OSError, TimeoutError):
            pass
        finally:
            self.closed = True
            self.sock.close()
            owner.ended(self, kind)


class Tcp:
    """All stream connections of one element. `on_data(data, hop)`, `on_lost(hop, kind)` and `on_batch()` as for
    `Udp`; kind is 'refused' where a connection never was, else 'lost'."""

    def __init__(self, loop, limits, on_data, on_lost, on_batch):
        self.loop, self.limits = loop, limits
        self.on_data, self.on_lost, self.on_batch = on_data, on_lost, on_batch
        self.listeners, self.tasks, self.by_hop = [], {}, {}
        self.serial, self.closing = 0, False
        self.count = {"accepted": 0, "over the bound": 0, "cut, not reading": 0, "cut, partial": 0}
        self.acceptors = []

    def listen(self, host, port):
        """Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self.listeners.append(sock)
        self.acceptors.append(self.loop.create_task(self._accept(sock)))

    async def _accept(self, listener):
        while True:
            try:
                sock, address = await self.loop.sock_accept(listener)
            except OSError:
                await asyncio.sleep(0.05)  # out of descriptors: those in use go on
                continue
            if len(self.by_hop) >= self.limits.connections:
                self.count["over the bound"] += 1
                sock.close()
                continue
            self.count["accepted"] += 1
            sock.setblocking(False)
            self.serial += 1
            self._run(Connection(self, Hop("tcp", address[0], address[1], self.serial), sock, False))

    def _run(self, connection):
        self.by_hop[connection.hop] = connection
        self.tasks[connection] = self.loop.create_task(connection.run())

    def send(self, hop, data):
        """By the connection of this hop; one that was opened from here is opened again where it is gone."""
        connection = self.by_hop.get(hop)
        if connection is None:
            if hop.conn or self.closing or len(self.by_hop) >= self.limits.connections:
                self.loop.call_soon(self._never, hop)
                return
            family = socket.AF_INET6 if ":" in hop.host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            connection = Connection(self, hop, sock, True)
            self._run(connection)
        connection.send(data)

    def _never(self, hop):
        self.on_lost(hop, "refused")
        self.on_batch()

    def drop(self, connection):
        """Ends a connection; whoever used it is told."""
        connection.closed = True
        task = self.tasks.get(connection)
        if task is not None:
            task.cancel()

    def ended(self, connection, kind):
        self.tasks.pop(connection, None)
        if self.by_hop.get(connection.hop) is connection:
            del self.by_hop[connection.hop]
        if not self.closing:
            self.on_lost(connection.hop, kind)
            self.on_batch()

    def sweep(self):
        """Ends connections on which part of a message has waited too long for the rest (half-open peers)."""
        before = self.loop.time() - self.limits.partial_ms / 1000
        for connection in list(self.by_hop.values()):
            if connection.partial_at and connection.partial_at < before:
                self.count["cut, partial"] += 1
                self.drop(connection)

    async def close(self):
        self.closing = True
        tasks = [*self.acceptors, *self.tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in self.listeners:
            sock.close()
