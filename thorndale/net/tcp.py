"""Stream connections of one element: opens, accepts, evicts, sweeps and finishes them.

Each connection is a task (`connection`); `Tcp` owns the tasks and waits for them when it closes.
"""

import asyncio
import socket

from thorndale.net.connection import SIP, Connection
from thorndale.sip.transaction import Hop

LISTEN_BACKLOG = 512  # connections in a listener's accept queue
# Time for which the input of a finished connection is discarded: if a socket is closed with unread bytes, the kernel
# resets the connection, and data that is on its way to the peer is lost.
LINGER_S = 0.5


class Tcp:
    """All stream connections of one element. `on_data(data, hop)`, `on_lost(hop, kind)` and `on_batch()` are as for
    `Udp`; kind is 'refused' for a connection that never came up, else 'lost', unless `stream` has kinds of its own.
    `on_open(hop)`: a connection that was opened or accepted is up. `on_full()`: names a connection to evict when one
    more comes than the limit allows; None refuses the new one. `on_end(hop, reason)`: why each connection ended, for
    the log. `on_unreadable(hop)`: the stream cannot be read further; the receiver of the call finishes the connection.
    `on_progress(hop)`: part of a message has been read. `is_needed(hop)`: whether something is owed on the connection,
    so that a slow message does not end it. `on_peer_closed(hop)`: the peer has closed the connection, and what it wrote
    before follows. `queue_limit`: bytes of memory for what all peers together have not read;
    beyond it, the connection with the longest queue is ended."""

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
        on_peer_closed=None,
        queue_limit=None,
    ):
        self.loop, self.limits, self.stream = loop, limits, stream
        self.on_data, self.on_lost, self.on_batch = on_data, on_lost, on_batch
        self.on_open, self.on_full, self.on_end, self.last_error = on_open, on_full, on_end, ""
        self.on_unreadable, self.on_progress, self.is_needed = on_unreadable, on_progress, is_needed
        self.on_peer_closed = on_peer_closed
        self.queue_limit, self.queue_memory = queue_limit, 0
        self.listeners, self.tasks, self.by_hop = [], {}, {}
        self.finishing = {}  # connections ended by `finish` that are not closed yet, oldest first
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
            sock.listen(LISTEN_BACKLOG)
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
                await asyncio.sleep(0.05)  # out of descriptors; those in use are not affected
                continue
            self._admit(sock, address)

    def _admit(self, sock, address):
        if len(self.tasks) >= self.limits.connections and not self._evict():
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

    def _evict(self):
        """Closes a connection to make room for one more: a finished one, else the one that `on_full` names."""
        evicted = next((c for c in self.finishing if not c.closed and not c.queue), None)
        if evicted is None and self.on_full is not None:
            evicted = self.by_hop.get(self.on_full())
        if evicted is not None:
            self.count["given up for room"] += 1
            self.drop(evicted, "evicted for a new connection")
        return evicted is not None

    def _run(self, connection):
        self.by_hop[connection.hop] = connection
        task = self.tasks[connection] = self.loop.create_task(connection.run())
        task.add_done_callback(lambda task: self._task_done(connection, task))

    def send(self, hop, data):
        """Sends by the connection of this hop; one that was opened from here is reopened if it is gone. Returns whether
        the data was accepted."""
        connection = self.by_hop.get(hop)
        if connection is None:
            if hop.conn or self.closing or len(self.tasks) >= self.limits.connections:
                self.loop.call_soon(self._report_unreached, hop)
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
        """Opens one more connection, with a number of its own, that is never reopened. Returns its hop; `on_open` or
        `on_lost` follows."""
        self.serial += 1
        hop = Hop("tcp", host, port, self.serial)
        if self.closing or len(self.tasks) >= self.limits.connections:
            self.loop.call_soon(self._report_unreached, hop)
            return hop
        try:
            self._dial(hop)
        except OSError:  # out of descriptors
            self.loop.call_soon(self._report_unreached, hop)
        return hop

    def finish(self, hop, reason=""):
        """Ends a connection once its queue is sent. Further input is discarded, and the end is not reported."""
        connection = self.by_hop.pop(hop, None)
        if connection is not None:
            connection.reason = connection.reason or reason
            if self.on_end is not None:
                self.on_end(hop, connection.reason)
            connection.finished_at, connection.end_reported = self.loop.time(), True
            connection.write_wanted.set()
            self.finishing[connection] = None

    def keep_within_queue_limit(self, connection):
        """Called when data was queued on this connection. Returns whether the connection is still up."""
        while self.queue_limit is not None and self.queue_memory > self.queue_limit:
            longest = max(self.tasks, key=lambda other: other.queue_memory)
            self.count["cut, not reading"] += 1
            self.drop(longest, "its peer does not read")
        return not connection.closed

    def is_quiet(self, hop):
        """Whether a connection holds neither unread input nor unsent output."""
        connection = self.by_hop.get(hop)
        return connection is not None and not connection.queue and not connection.has_unread()

    def is_at_rest(self):
        """Whether all connections are quiet and the accept queues are empty."""
        for listener in self.listeners:
            try:
                accepted = listener.accept()
            except OSError:
                continue
            self._admit(*accepted)
            return False
        return all(self.is_quiet(hop) for hop in self.by_hop)

    async def finish_all(self, reason="", linger_s=LINGER_S):
        """Stops accepting and finishes every connection, waiting at most `linger_s`."""
        self._stop_accepting()
        for hop in list(self.by_hop):
            self.finish(hop, reason)
        if self.tasks:
            await asyncio.wait(self.tasks.values(), timeout=linger_s)

    def _stop_accepting(self):
        for task in self.acceptors:
            task.cancel()
        for sock in self.listeners:
            sock.close()

    def _report_unreached(self, hop):
        self.on_lost(hop, self.stream.unreached_kind)
        self.on_batch()

    def drop(self, connection, reason=""):
        """Ends a connection from outside its reader; the end is reported in the next iteration of the loop."""
        connection.reason = connection.reason or reason
        connection.closed, connection.finished_at = True, self.loop.time()
        self.finishing.pop(connection, None)
        connection.discard_queue()
        connection.shutdown()
        self.loop.call_soon(self.report_end, connection)
        task = self.tasks.get(connection)
        if task is not None:
            task.cancel()

    def report_end(self, connection):
        """Reports the end of a connection, once."""
        connection.closed = True
        if self.by_hop.get(connection.hop) is connection:
            del self.by_hop[connection.hop]
        if not connection.end_reported and not self.closing:
            connection.end_reported = True
            if self.on_end is not None:
                self.on_end(connection.hop, connection.reason)
            self.on_lost(connection.hop, connection.end_kind)
            self.on_batch()

    def _task_done(self, connection, task):
        connection.sock.close()
        connection.discard_queue()
        self.tasks.pop(connection, None)
        self.finishing.pop(connection, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:  # a programming error ends this connection only
            self.loop.call_exception_handler({"message": "error on a connection", "exception": error})
        self.report_end(connection)

    def sweep(self, silent_ms=0):
        """Ends connections on which the rest of a message is overdue (half-open peers), finished ones whose peers do
        not close and, with `silent_ms`, accepted ones on which no message has come for that long. Connections with
        unread input are spared: it arrived in time while this process was stalled."""
        now = self.loop.time()
        for connection in list(self.tasks):
            if connection.finished_at is not None and connection.finished_at < now - LINGER_S:
                self.drop(connection)
        for connection in list(self.by_hop.values()):
            if silent_ms and not connection.got_message:
                if now - connection.opened_at > silent_ms / 1000 and not connection.has_unread():
                    self.count["cut, silent"] += 1
                    self.drop(connection, "no complete message received")
            elif connection.is_stuck(now) and not connection.has_unread() and not self._is_needed(connection.hop):
                self.count["cut, partial"] += 1
                self.drop(connection, "incomplete message timed out")

    def _is_needed(self, hop):
        return self.is_needed is not None and self.is_needed(hop)

    async def close(self):
        self.closing = True
        tasks = [*self.acceptors, *self.tasks.values()]
        self._stop_accepting()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
