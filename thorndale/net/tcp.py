"""Stream connections of one element: opened, accepted, given up for room, swept, finished in order.

Each connection is a task (`connection`); `Tcp` owns them and waits for them at its end.
"""

import asyncio
import socket

from thorndale.net.connection import SIP, Connection
from thorndale.sip.transaction import Hop

BACKLOG = 512  # connections that wait to be accepted
LINGER_S = 0.5  # s for which a finished connection is read and thrown away: closed with bytes unread, it would be
# reset by the kernel, and what is on its way to the peer with it


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
