"""Stream connections: `sock_recv_into` and `sock_sendall` on asyncio's loop, framed by what they are given.

Each connection has one task that reads and one that writes; `Tcp` owns them and waits for them at its end. What is
sent goes to the kernel at once where it takes it, and `send` says whether the connection takes it at all: what it does
not take is still its sender's. The end of a connection is told once, when it is seen; nothing is taken after it.
"""

import asyncio
import contextlib
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
READS = 8  # reads of one connection before what came is acted on: what lies behind a message may take it back
MESSAGE_PARTS = 4  # times as long as it may stop may a message take in all
LINGER_S = 0.5  # s for which a finished connection is read and thrown away: closed with bytes unread, it would be
# reset by the kernel, and what is on its way to the peer with it
THROWN_MOST = 65_536  # bytes thrown away of it at most: a sender at full speed would take the loop's time


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
        self.framer, self.closed = owner.stream.framer(), False
        self.partial_at = self.progress_at = 0.0  # when the message that is not whole yet began, and when it went on
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.established, self.opened_at, self.spoke = not opening, owner.loop.time(), False
        self.ending_at, self.told, self.thrown, self.kind = None, False, 0, "lost"
        self.reason = ""  # why it ended, for the log

    def send(self, data):
        """Whether the connection has taken the data: the kernel has it, or it waits here for the peer to read."""
        if self.closed or self.ending_at is not None:
            return False
        if self.established and not self.queue:
            try:
                data = data[self.sock.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as fault:
                self._fails(fault)
                return False
            if not data:
                return True
        limits = self.owner.limits
        self.unsent += len(data)
        if self.unsent > limits.unsent_bytes:  # the peer does not read: kept for, it would take all memory
            self.owner.count["cut, not reading"] += 1
            self.owner.drop(self, "its peer does not read")
            return False
        if self.unsent > limits.unsent_bytes * HIGH_PART:
            self.drained.clear()
        self.queue.append(data)
        self.wake.set()
        return True

    def unread(self):
        """Whether bytes or the peer's end lie in the socket that no reader has seen."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            pass
        return True

    async def write(self):
        """Sends what waits, in order; of a finished connection its own end behind it."""
        loop = self.owner.loop
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                while self.queue:  # an entry stays until it is out: `send` goes round an empty queue alone
                    await loop.sock_sendall(self.sock, self.queue[0])
                    self.unsent -= len(self.queue.popleft())
                    self.drained.set()
                if self.ending_at is not None:
                    self.sock.shutdown(socket.SHUT_WR)
                    return
        except OSError as fault:
            self._fails(fault)

    def _fails(self, fault):
        """The peer takes nothing more. The reader finds the end, after what the peer had sent before it."""
        self.closed = True
        self.reason = self.reason or f"cannot be sent to: {fault.strerror}"
        self.drained.set()

    def end_now(self):
        """Ends both directions at once, so that the peer sees it before anyone who is told opens another connection."""
        with contextlib.suppress(OSError):  # the peer has reset it
            self.sock.shutdown(socket.SHUT_RDWR)

    async def read(self):
        """Reads to the end of the stream and tells of it in the same turn, so that it is known with what came."""
        stream = self.owner.stream
        try:
            await self._read()
        except stream.faults as fault:
            self.kind = stream.spoilt
            self.owner.count["cut, unreadable"] += 1
            self.owner.fault = f"{self.hop.host}: {fault}"
            self.reason = f"unreadable: {fault}"
            self.end_now()
        except OSError as fault:
            self.reason = self.reason or f"broken by its peer: {fault.strerror}"
        self.reason = self.reason or "closed by its peer"
        self.owner.tell(self)

    async def _read(self):
        loop, owner = self.owner.loop, self.owner
        buffer = bytearray(owner.stream.read)
        view = memoryview(buffer)
        while True:
            await self.drained.wait()
            size, came = await loop.sock_recv_into(self.sock, buffer), False
            for more in reversed(range(READS)):
                if not size or self.thrown > THROWN_MOST:
                    return
                came = self._take(view[:size]) or came
                try:
                    size = self.sock.recv_into(buffer) if more else 0  # what is read must be taken
                except (BlockingIOError, InterruptedError):
                    break
            owner.on_batch()
            self._note_progress(came)

    def _note_progress(self, came):
        """Bytes were read; `came`: with them the end of a message."""
        if not self.framer.partial or self.ending_at is not None:
            self.partial_at = 0.0
            return
        self.progress_at = self.owner.loop.time()
        if came or not self.partial_at:
            self.partial_at = self.progress_at
        if self.owner.on_progress is not None:
            self.owner.on_progress(self.hop)

    def is_stuck(self, now):
        """Whether the rest of a message has not come for too long."""
        if not self.partial_at:
            return False
        stop_s = self.owner.limits.partial_ms / 1000
        return now - self.progress_at > stop_s or now - self.partial_at > stop_s * MESSAGE_PARTS

    def _take(self, data):
        """Hands on the whole messages that the data ends; whether there was one. A connection that is ending is
        read and what comes thrown away."""
        if self.ending_at is not None:
            self.thrown += len(data)
            return False
        came = False
        try:
            for message in self.framer.feed(data):
                came = self.spoke = True
                if message is KEEPALIVE:
                    self.send(b"\r\n")
                else:
                    self.owner.on_data(message, self.hop)
                if self.ending_at is not None:
                    break
        except self.owner.stream.faults as fault:
            if self.owner.on_unreadable is None or self.ending_at is not None:
                raise
            self._unreadable(fault)
        return came

    def _unreadable(self, fault):
        """What is owed on a stream that cannot be read further is sent by whoever is told, who then finishes it."""
        self.owner.count["cut, unreadable"] += 1
        self.owner.fault = f"{self.hop.host}: {fault}"
        self.reason = f"unreadable: {fault}"
        self.owner.on_unreadable(self.hop)

    async def run(self):
        """The connection's life. `kind` is that of its end, which is told once: by its reader, or by whoever owns
        the task, as one cancelled before its first step runs none of this."""
        loop, owner = self.owner.loop, self.owner
        if self.opening:
            self.kind = owner.stream.unreached
            try:
                await connect(loop, self.sock, (self.hop.host, self.hop.port), owner.limits.connect_ms / 1000)
            except ConnectionRefusedError:
                self.kind = self.reason = "refused"
                return
            except OSError as fault:
                self.reason = f"never came up: {fault.strerror}"
                return
            self.kind, self.established = "lost", True
            await asyncio.sleep(0)  # what came by others in the same turn of the loop is read first
            if owner.on_open is not None:
                owner.on_open(self.hop)
        writer, reader = loop.create_task(self.write()), loop.create_task(self.read())
        try:
            await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            if not reader.done() and not writer.exception():
                await asyncio.wait((reader,))
        finally:
            for task in (reader, writer):
                task.cancel()
            await asyncio.wait((reader, writer))
        for task in (reader, writer):
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()  # of the program's


class Tcp:
    """All stream connections of one element. `on_data(data, hop)`, `on_lost(hop, kind)` and `on_batch()` as for
    `Udp`; kind is 'refused' where a connection never was, else 'lost', or as `stream` has it. `on_open(hop)`: one
    that was opened or accepted is up. `on_full()`: asked for a connection to give up when one more comes than the
    bound allows; None refuses the new one. `on_end(hop, reason)`: why each connection ended, for the log.
    `on_unreadable(hop)`: its stream cannot be read further; whoever is told finishes it. `on_progress(hop)`: part of a
    message has come. `is_needed(hop)`: whether something is owed on it, so that no slow message may end it."""

    def __init__(
        self,
        loop,
        limits,
        on_data,
        on_lost,
        on_batch,
        stream=SIP,
        *,
        on_open=None,
        on_full=None,
        on_end=None,
        on_unreadable=None,
        on_progress=None,
        is_needed=None,
    ):
        self.loop, self.limits, self.stream = loop, limits, stream
        self.on_data, self.on_lost, self.on_batch = on_data, on_lost, on_batch
        self.on_open, self.on_full, self.on_end, self.fault = on_open, on_full, on_end, ""
        self.on_unreadable, self.on_progress, self.is_needed = on_unreadable, on_progress, is_needed
        self.listeners, self.tasks, self.by_hop = [], {}, {}
        self.finishing = {}  # connections that `finish` has ended and that are not closed yet, oldest first
        self.serial, self.closing = 0, False
        self.count = {
            "accepted": 0,
            "over the bound": 0,
            "cut, not reading": 0,
            "cut, partial": 0,
            "cut, silent": 0,
            "cut, unreadable": 0,
            "given up for room": 0,
        }
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
            self._admit(sock, address)

    def _admit(self, sock, address):
        if len(self.tasks) >= self.limits.connections and not self._make_room():
            self.count["over the bound"] += 1
            sock.close()
            return
        self.count["accepted"] += 1
        sock.setblocking(False)
        self.serial += 1
        hop = Hop("tcp", address[0], address[1], self.serial)
        self._run(Connection(self, hop, sock, False))
        if self.on_open is not None:
            self.on_open(hop)

    def _make_room(self):
        """Gives a connection up for one more: one that is ending already, else the one that `on_full` names."""
        given_up = next((c for c in self.finishing if not c.closed and not c.queue), None)
        if given_up is None and self.on_full is not None:
            given_up = self.by_hop.get(self.on_full())
        if given_up is not None:
            self.count["given up for room"] += 1
            self.drop(given_up, "given up for room")
        return given_up is not None

    def _run(self, connection):
        self.by_hop[connection.hop] = connection
        task = self.tasks[connection] = self.loop.create_task(connection.run())
        task.add_done_callback(lambda task: self._ended(connection, task))

    def send(self, hop, data):
        """By the connection of this hop; one that was opened from here is opened again where it is gone. Whether it
        was taken."""
        connection = self.by_hop.get(hop)
        if connection is None:
            if hop.conn or self.closing or len(self.tasks) >= self.limits.connections:
                self.loop.call_soon(self._never, hop)
                return False
            connection = self._dial(hop)
        return connection.send(data)

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
        if self.closing or len(self.tasks) >= self.limits.connections:
            self.loop.call_soon(self._never, hop)
            return hop
        try:
            self._dial(hop)
        except OSError:  # out of descriptors
            self.loop.call_soon(self._never, hop)
        return hop

    def finish(self, hop, reason=""):
        """Ends a connection once what was sent is out; nothing more is taken from it, and its end is not told."""
        connection = self.by_hop.pop(hop, None)
        if connection is not None:
            connection.reason = connection.reason or reason
            if self.on_end is not None:
                self.on_end(hop, connection.reason)
            connection.ending_at, connection.told = self.loop.time(), True
            connection.wake.set()
            self.finishing[connection] = None

    def is_quiet(self, hop):
        """Whether nothing lies on a connection that was sent and not read, or taken and not sent on."""
        connection = self.by_hop.get(hop)
        return connection is not None and not connection.queue and not connection.unread()

    def is_at_rest(self):
        """Whether all is quiet and nobody waits to be accepted."""
        for listener in self.listeners:
            try:
                came = listener.accept()
            except OSError:
                continue
            self._admit(*came)
            return False
        return all(self.is_quiet(hop) for hop in self.by_hop)

    async def finish_all(self, reason="", linger_s=LINGER_S):
        """Accepts nobody more and ends every connection as `finish` does, within its time."""
        self._deafen()
        for hop in list(self.by_hop):
            self.finish(hop, reason)
        if self.tasks:
            await asyncio.wait(self.tasks.values(), timeout=linger_s)

    def _deafen(self):
        for task in self.acceptors:
            task.cancel()
        for sock in self.listeners:
            sock.close()

    def _never(self, hop):
        self.on_lost(hop, self.stream.unreached)
        self.on_batch()

    def drop(self, connection, reason=""):
        """Ends a connection from outside a read; whoever used it is told in the next turn of the loop."""
        connection.reason = connection.reason or reason
        connection.closed, connection.ending_at = True, self.loop.time()
        self.finishing.pop(connection, None)
        connection.end_now()
        self.loop.call_soon(self.tell, connection)
        task = self.tasks.get(connection)
        if task is not None:
            task.cancel()

    def tell(self, connection):
        """The end of a connection, once."""
        connection.closed = True
        if self.by_hop.get(connection.hop) is connection:
            del self.by_hop[connection.hop]
        if not connection.told and not self.closing:
            connection.told = True
            if self.on_end is not None:
                self.on_end(connection.hop, connection.reason)
            self.on_lost(connection.hop, connection.kind)
            self.on_batch()

    def _ended(self, connection, task):
        connection.sock.close()
        self.tasks.pop(connection, None)
        self.finishing.pop(connection, None)
        fault = None if task.cancelled() else task.exception()
        if fault is not None:  # of the program's: this connection alone ends by it
            self.loop.call_exception_handler({"message": "fault on a connection", "exception": fault})
        self.tell(connection)

    def sweep(self, silent_ms=0):
        """Ends connections on which the rest of a message has not come for too long (half-open peers), those that
        were finished and whose peers do not close and, with `silent_ms`, accepted ones on which no message has come
        for so long. What lies unread came in time: this process stood still."""
        now = self.loop.time()
        for connection in list(self.tasks):
            if connection.ending_at is not None and connection.ending_at < now - LINGER_S:
                self.drop(connection)
        for connection in list(self.by_hop.values()):
            if silent_ms and not connection.spoke:
                if now - connection.opened_at > silent_ms / 1000 and not connection.unread():
                    self.count["cut, silent"] += 1
                    self.drop(connection, "no whole message came")
            elif connection.is_stuck(now) and not connection.unread() and not self._is_needed(connection.hop):
                self.count["cut, partial"] += 1
                self.drop(connection, "half a message for too long")

    def _is_needed(self, hop):
        return self.is_needed is not None and self.is_needed(hop)

    async def close(self):
        self.closing = True
        tasks = [*self.acceptors, *self.tasks.values()]
        self._deafen()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
