"""One stream connection: a task that reads and one that writes, framed by what it is given.

What is sent goes to the kernel at once where it takes it, and `send` says whether the connection takes it at all: what
it does not take is still its sender's. The end is told once, when it is seen; nothing is taken after it. Who owns
connections, and what they are told, is in `tcp`.
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

READ = 65_536  # bytes read at one go
HIGH_PART = 0.5  # of the unsent bytes allowed from which on no more is read from that peer: it must read first
READS = 8  # reads of one connection before what came is acted on: what lies behind a message may take it back
MESSAGE_PARTS = 4  # times as long as it may stop may a message take in all
THROWN_MOST = 65_536  # bytes thrown away of a finished one at most: a sender at full speed would take the loop's time


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
