"""One stream connection: a reading and a writing task, with a framer that splits the stream into messages.

Data is written to the kernel at once where possible. `send` returns whether the connection accepted the data; data it
did not accept remains the sender's. The end of a connection is reported once, when it is detected; nothing is accepted
after it. `tcp` owns the connections and receives their reports.
"""

import asyncio
import contextlib
import errno
import os
import select
import socket
from collections import deque
from typing import NamedTuple

from thorndale.sip.errors import SipError
from thorndale.sip.framing import KEEPALIVE, Framer

READ_BYTES = 65_536  # size of one read
HIGH_WATER_SHARE = 0.5  # share of the unsent bytes allowed above which the peer is not read until it reads
READS_PER_BATCH = 8  # reads before the input is acted on: what follows a message may cancel it
READS_WHILE_FLOODED = 1  # the same while a peer sends faster than it is read, so that the others' input waits less
MESSAGE_TIME_FACTOR = 4  # limit for a whole message, in multiples of the limit for a pause within it
QUEUE_ENTRY_BYTES = 64  # of memory for each queued message beside its text
# States of Linux's TCP_INFO in which the peer has ended its direction, or reset the connection.
PEER_CLOSED_STATES = frozenset((6, 7, 8, 9, 11))  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
MAX_DISCARDED_BYTES = 65_536  # limit after `finish`: a peer sending at full speed would occupy the event loop


class Stream(NamedTuple):
    """The protocol on a Tcp's connections. `framer()` has `feed(bytes)`, which yields whole messages, and `partial`; it
    raises one of `errors` where the stream cannot be read further. `read_bytes`: size of one read and of the buffer
    of each connection. `unreached_kind`, `malformed_kind`: the kinds of end reported for a connection that neither
    came up nor was refused, and for one whose stream cannot be read."""

    framer: type = Framer
    errors: tuple = (SipError,)
    read_bytes: int = READ_BYTES
    unreached_kind: str = "refused"
    malformed_kind: str = "lost"


SIP = Stream()


async def connect(loop, sock, address, seconds):
    """Connects a non-blocking socket to (host, port); the host is a numeric address, never a name. Raises OSError, also
    on time-out. uvloop's `sock_connect` is not used, as it asks the resolver for each address, in one of four threads
    that it starts for that. Nor is `wait_for`, as the exception that it raises is part of a reference cycle. After the
    process was stopped, the timer runs before the socket is looked at, so it looks itself."""
    socket.inet_pton(sock.family, address[0].partition("%")[0])  # else `connect_ex` would resolve a name, blocking
    error = sock.connect_ex(address)
    if error in (errno.EINPROGRESS, errno.EINTR):
        settled = loop.create_future()

        def settle(code=0):
            if not settled.done():
                settled.set_result(code)

        timer = loop.call_later(seconds, lambda: settle(0 if _has_connected(sock) else errno.ETIMEDOUT))
        loop.add_writer(sock, settle)
        try:
            error = await settled
        finally:
            timer.cancel()
            loop.remove_writer(sock)
        error = error or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


def _has_connected(sock):
    """Whether the kernel has connected a socket, or failed to."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))


class Connection:
    """`hop` identifies the connection's messages: (tcp, host, port, 0) when opened from here, else with a number."""

    def __init__(self, owner, hop, sock, opening):
        self.owner, self.hop, self.sock, self.opening = owner, hop, sock, opening
        self.queue, self.unsent, self.write_wanted, self.drained = deque(), 0, asyncio.Event(), asyncio.Event()
        self.drained.set()
        self.queue_memory = 0  # bytes of memory that the queue takes
        self.framer, self.closed = owner.stream.framer(), False
        self.partial_since = self.progress_at = 0.0  # start and latest byte of the message that is still incomplete
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.established, self.opened_at, self.got_message = not opening, owner.loop.time(), False
        self.finished_at, self.end_reported, self.discarded_bytes, self.end_kind = None, False, 0, "lost"
        self.peer_closed = False
        self.reason = ""  # why it ended, for the log

    def send(self, data):
        """Whether the connection accepted the data: the kernel has it, or it is queued until the peer reads."""
        if self.closed or self.finished_at is not None:
            return False
        if self.established and not self.queue:
            try:
                data = data[self.sock.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                self._send_failed(error)
                return False
            if not data:
                return True
        limits = self.owner.limits
        self.unsent += len(data)
        if self.unsent > limits.unsent_bytes:  # the peer does not read; its queue would take all memory
            self.owner.count["cut, not reading"] += 1
            self.owner.drop(self, "its peer does not read")
            return False
        if self.unsent > limits.unsent_bytes * HIGH_WATER_SHARE:
            self.drained.clear()
        self.queue.append(data)
        self._count_queued(len(data) + QUEUE_ENTRY_BYTES)
        self.write_wanted.set()
        return self.owner.keep_within_queue_limit(self)

    def _count_queued(self, size):
        self.queue_memory += size
        self.owner.queue_memory += size

    def discard_queue(self):
        """Gives back the memory of what was not sent, on a connection that has ended."""
        self.queue.clear()
        self._count_queued(-self.queue_memory)

    def has_unread(self):
        """Whether the socket holds bytes, or the peer's end of stream, that have not been read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            pass
        return True

    async def write(self):
        """Sends the queue in order; on a finished connection, then ends the outgoing direction."""
        loop = self.owner.loop
        try:
            while True:
                await self.write_wanted.wait()
                self.write_wanted.clear()
                while self.queue:  # an entry stays until it is sent, as `send` bypasses an empty queue
                    await loop.sock_sendall(self.sock, self.queue[0])
                    if self.closed:  # its queue is discarded
                        return
                    size = len(self.queue.popleft())
                    self.unsent -= size
                    self._count_queued(-size - QUEUE_ENTRY_BYTES)
                    self.drained.set()
                if self.finished_at is not None:
                    self.sock.shutdown(socket.SHUT_WR)
                    return
        except OSError as error:
            self._send_failed(error)

    def _send_failed(self, error):
        """The peer accepts nothing more. The reader reports the end, after reading what the peer had sent before it."""
        self.closed = True
        self.reason = self.reason or f"send failed: {error.strerror}"
        self.drained.set()

    def _check_peer(self):
        """Reports, once, that the peer has closed, although what it wrote before that is not read yet."""
        report = self.owner.on_peer_closed
        if report is None or self.peer_closed or self.finished_at is not None:
            return
        self.peer_closed = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_CLOSED_STATES
        if self.peer_closed:
            report(self.hop)

    def shutdown(self):
        """Ends both directions at once, so that the peer sees the end before its report makes anyone reconnect."""
        with contextlib.suppress(OSError):  # the peer has reset it
            self.sock.shutdown(socket.SHUT_RDWR)

    async def read(self):
        """Reads to the end of the stream and reports the end in the same loop iteration as the last data."""
        stream = self.owner.stream
        try:
            await self._read()
        except stream.errors as error:
            self.end_kind = stream.malformed_kind
            self.owner.count["cut, unreadable"] += 1
            self.owner.last_error = f"{self.hop.host}: {error}"
            self.reason = f"unreadable: {error}"
            self.shutdown()
        except OSError as error:
            self.reason = self.reason or f"connection error: {error.strerror}"
        self.reason = self.reason or "closed by its peer"
        self.owner.report_end(self)

    async def _read(self):
        loop, owner = self.owner.loop, self.owner
        buffer = bytearray(owner.stream.read_bytes)
        view, reads = memoryview(buffer), READS_PER_BATCH
        while True:
            await self.drained.wait()
            size, completed = await loop.sock_recv_into(self.sock, buffer), False
            for reads_left in reversed(range(reads)):
                if not size or self.discarded_bytes > MAX_DISCARDED_BYTES:
                    return
                has_more = size == len(buffer)
                self._check_peer()
                completed = self._deliver(view[:size]) or completed
                try:
                    size = self.sock.recv_into(buffer) if reads_left else 0  # bytes that are read must be delivered
                except (BlockingIOError, InterruptedError):
                    has_more = False
                    break
            reads = READS_WHILE_FLOODED if has_more else READS_PER_BATCH
            owner.on_batch()
            self._note_progress(completed)

    def _note_progress(self, completed):
        """Called after a read; `completed`: it completed a message."""
        if not self.framer.partial or self.finished_at is not None:
            self.partial_since = 0.0
            return
        self.progress_at = self.owner.loop.time()
        if completed or not self.partial_since:
            self.partial_since = self.progress_at
        if self.owner.on_progress is not None:
            self.owner.on_progress(self.hop)

    def is_stuck(self, now):
        """Whether the rest of a message is overdue."""
        if not self.partial_since:
            return False
        pause_s = self.owner.limits.partial_ms / 1000
        return now - self.progress_at > pause_s or now - self.partial_since > pause_s * MESSAGE_TIME_FACTOR

    def _deliver(self, data):
        """Passes on the messages that the data completes. Returns whether there was one. Data on a finished
        connection is discarded."""
        if self.finished_at is not None:
            self.discarded_bytes += len(data)
            return False
        completed = False
        try:
            for message in self.framer.feed(data):
                completed = self.got_message = True
                if message is KEEPALIVE:
                    self.send(b"\r\n")
                else:
                    self.owner.on_data(message, self.hop)
                if self.finished_at is not None:
                    break
        except self.owner.stream.errors as error:
            if self.owner.on_unreadable is None or self.finished_at is not None:
                raise
            self._report_unreadable(error)
        return completed

    def _report_unreadable(self, error):
        """Calls `on_unreadable`, which sends what is still owed on the connection and finishes it."""
        self.owner.count["cut, unreadable"] += 1
        self.owner.last_error = f"{self.hop.host}: {error}"
        self.reason = f"unreadable: {error}"
        self.owner.on_unreadable(self.hop)

    async def run(self):
        """The connection's task. The end is reported once, as `end_kind`: by the reader, or by the owner of the task,
        since a task cancelled before its first step runs none of this."""
        loop, owner = self.owner.loop, self.owner
        if self.opening:
            self.end_kind = owner.stream.unreached_kind
            try:
                await connect(loop, self.sock, (self.hop.host, self.hop.port), owner.limits.connect_ms / 1000)
            except ConnectionRefusedError:
                self.end_kind = self.reason = "refused"
                return
            except OSError as error:
                self.reason = f"connect failed: {error.strerror}"
                return
            self.end_kind, self.established = "lost", True
            await asyncio.sleep(0)  # first reads what other connections received in the same loop iteration
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
                raise task.exception()  # a programming error
