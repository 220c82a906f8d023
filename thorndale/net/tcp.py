"""Stream connections: `sock_recv_into` and `sock_sendall` on asyncio's loop, framed by what they are given.

Each connection has one task that reads and one that writes; `Tcp` owns them and waits for them at its end.
"""

import asyncio
import errno
import os
import socket
from collections import deque
from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.framing import KEEPALIVE, Framer
from thorndale.sip.transaction import Hop

READ = 65_536  # bytes read at one go
BACKLOG = 512  # connections that wait to be accepted
HIGH_PART = 0.5  # of the unsent bytes allowed from which on no more is read from that peer: it must read first


class Stream(NamedTuple):
    """What a Tcp's connections carry. `framer()` has `feed(bytes)`, which gives whole messages, and `partial`; it
    raises one of `faults` where the stream is of no further use. `read`: bytes read at one go, held by each
    connection. `unreached`, `spoilt`: the kinds of end of a connection that was neither up nor refused, and of one
    whose stream cannot be read."""

    framer: type = Framer
    faults: tuple = (SipError,)
    read: int = READ
    unreached: str = "refused"
    spoilt: str = "lost"


SIP = Stream()


async def connect(loop, sock, address, seconds):
    """Connects a non-blocking socket to (host, port), the host an address in figures and never a name: uvloop's
    `sock_connect` asks the resolver for each, in one of four threads that it starts for that. Raises OSError, also
    where it takes longer than that. No `wait_for`: the error that it passes on holds itself, and all else, in a
    cycle."""
    socket.inet_pton(sock.family, address[0].partition("%")[0])  # or `connect_ex` would look the name up, blocking
    error = sock.connect_ex(address)
    if error in (errno.EINPROGRESS, errno.EINTR):
        settled = loop.create_future()

        def settle(late=0):
            if not settled.done():
                settled.set_result(late)

        timer = loop.call_later(seconds, settle, errno.ETIMEDOUT)
        loop.add_writer(sock, settle)
        try:
            error = await settled
        finally:
            timer.cancel()
            loop.remove_writer(sock)
        error = error or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class Connection:
    """`hop` is what messages by it are known by: (tcp, host, port, 0) when opened from here, else with a number."""

    def __init__(self, owner, hop, sock, opening):
        self.owner, self.hop, self.sock, self.opening = owner, hop, sock, opening
        self.queue, self.unsent, self.wake, self.drained = deque(), 0, asyncio.Event(), asyncio.Event()
        self.drained.set()
        self.framer, self.closed, self.partial_at = owner.stream.framer(), False, 0.0
        self.established, self.ending, self.opened_at, self.spoke = not opening, False, owner.loop.time(), False
        self.kind = "lost"

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
            if self.ending:
                return

    async def read(self):
        loop, owner = self.owner.loop, self.owner
        buffer = bytearray(owner.stream.read)
        view = memoryview(buffer)
        while True:
            await self.drained.wait()
            size = await loop.sock_recv_into(self.sock, buffer)
            if not size:
                return
            came = False
            for data in self.framer.feed(view[:size]):
                if self.ending or self.closed:
                    return
                came = self.spoke = True
                if data is KEEPALIVE:
                    self.send(b"\r\n")
                else:
                    owner.on_data(data, self.hop)
            owner.on_batch()
            if not self.framer.partial:
                self.partial_at = 0.0
            elif came or not self.partial_at:
                self.partial_at = loop.time()

    async def run(self):
        """The connection's life. `kind` is that of its end, which is told once by whoever owns the task: a task
        cancelled before its first step runs none of this."""
        loop, owner = self.owner.loop, self.owner
        try:
            if self.opening:
                self.kind = owner.stream.unreached
                address = (self.hop.host, self.hop.port)
                await connect(loop, self.sock, address, owner.limits.connect_ms / 1000)
                self.kind, self.established = "lost", True
                if owner.on_open is not None:
                    owner.on_open(self.hop)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            writer = loop.create_task(self.write())
            reader = loop.create_task(self.read())
            try:
                await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (reader, writer):
                    task.cancel()
                await asyncio.wait((reader, writer))
                self._judge(reader, writer)
        except ConnectionRefusedError:
            self.kind = "lost" if self.established else "refused"
        except OSError:
            pass

    def _judge(self, *tasks):
        """Passes a fault of the program on; one of the stream makes the connection's end a spoilt one. The tasks are
        asked and not awaited in `run`: an error raised there would hold `run`'s frame, which holds the task, which
        holds the error, and with them the buffers of each connection that was reset."""
        for task in tasks:
            fault = None if task.cancelled() else task.exception()
            if isinstance(fault, self.owner.stream.faults):
                self.kind = self.owner.stream.spoilt
                self.owner.count["cut, unreadable"] += 1
                self.owner.fault = f"{self.hop.host}: {fault}"
            elif fault is not None and not isinstance(fault, OSError):
                raise fault


class Tcp:
    """All stream connections of one element. `on_data(data, hop)`, `on_lost(hop, kind)` and `on_batch()` as for
    `Udp`; kind is 'refused' where a connection never was, else 'lost', or as `stream` has it. `on_open(hop)`: one
    that was opened or accepted is up. `on_full()`: asked for a connection to give up when one more comes than the
    bound allows; None refuses the new one."""

    def __init__(self, loop, limits, on_data, on_lost, on_batch, stream=SIP, on_open=None, on_full=None):
        self.loop, self.limits, self.stream = loop, limits, stream
        self.on_data, self.on_lost, self.on_batch = on_data, on_lost, on_batch
        self.on_open, self.on_full, self.fault = on_open, on_full, ""
        self.listeners, self.tasks, self.by_hop = [], {}, {}
        self.serial, self.closing = 0, False
        self.count = {"accepted": 0, "over the bound": 0, "cut, not reading": 0, "cut, partial": 0,
                      "cut, silent": 0, "cut, unreadable": 0, "given up for room": 0}
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
                given_up = self.by_hop.get(self.on_full()) if self.on_full is not None else None
                if given_up is None:
                    self.count["over the bound"] += 1
                    sock.close()
                    continue
                self.count["given up for room"] += 1
                self.drop(given_up)
            self.count["accepted"] += 1
            sock.setblocking(False)
            self.serial += 1
            hop = Hop("tcp", address[0], address[1], self.serial)
            self._run(Connection(self, hop, sock, False))
            if self.on_open is not None:
                self.on_open(hop)

    def _run(self, connection):
        self.by_hop[connection.hop] = connection
        task = self.tasks[connection] = self.loop.create_task(connection.run())
        task.add_done_callback(lambda task: self._ended(connection, task))

    def send(self, hop, data):
        """By the connection of this hop; one that was opened from here is opened again where it is gone."""
        connection = self.by_hop.get(hop)
        if connection is None:
            if hop.conn or self.closing or len(self.by_hop) >= self.limits.connections:
                self.loop.call_soon(self._never, hop)
                return
            connection = self._dial(hop)
        connection.send(data)

    def _dial(self, hop):
        family = socket.AF_INET6 if ":" in hop.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        connection = Connection(self, hop, sock, True)
        self._run(connection)
        return connection

    def connect(self, host, port):
        """Opens one more connection, known by a number of its own and never opened again; its hop. `on_open` or
        `on_lost` follows."""
        self.serial += 1
        hop = Hop("tcp", host, port, self.serial)
        if self.closing or len(self.by_hop) >= self.limits.connections:
            self.loop.call_soon(self._never, hop)
            return hop
        try:
            self._dial(hop)
        except OSError:  # out of descriptors
            self.loop.call_soon(self._never, hop)
        return hop

    def finish(self, hop):
        """Ends a connection once what was sent is out."""
        connection = self.by_hop.get(hop)
        if connection is not None:
            connection.ending = True
            connection.wake.set()

    def _never(self, hop):
        self.on_lost(hop, self.stream.unreached)
        self.on_batch()

    def drop(self, connection):
        """Ends a connection; whoever used it is told."""
        connection.closed = True
        task = self.tasks.get(connection)
        if task is not None:
            task.cancel()

    def _ended(self, connection, task):
        connection.closed = True
        connection.sock.close()
        self.tasks.pop(connection, None)
        if self.by_hop.get(connection.hop) is connection:
            del self.by_hop[connection.hop]
        fault = None if task.cancelled() else task.exception()
        if fault is not None:  # of the program's: this connection alone ends by it
            self.loop.call_exception_handler({"message": "fault on a connection", "exception": fault})
        if not self.closing:
            self.on_lost(connection.hop, connection.kind)
            self.on_batch()

    def sweep(self, silent_ms=0):
        """Ends connections on which part of a message has waited too long for the rest (half-open peers) and, with
        `silent_ms`, accepted ones on which no message has come for so long."""
        now = self.loop.time()
        before, silent = now - self.limits.partial_ms / 1000, now - silent_ms / 1000
        for connection in list(self.by_hop.values()):
            if connection.partial_at and connection.partial_at < before:
                self.count["cut, partial"] += 1
                self.drop(connection)
            elif silent_ms and not connection.spoke and connection.opened_at < silent:
                self.count["cut, silent"] += 1
                self.drop(connection)

    async def close(self):
        self.closing = True
        tasks = [*self.acceptors, *self.tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in self.listeners:
            sock.close()
