"""Callers of a trial: the platform side of each proxy, and callers that send invalid or no data."""

import asyncio
import contextlib
import itertools
import socket

from thorndale.platform import isup
from thorndale.platform.errors import PlatformError
from thorndale.standins.platform import setup_message

IDLE_CLOSE_S = 4.0  # idle time after which a caller closes a connection, as the protocol sets it
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.3  # callers go on opening connections for 0.2 to 0.4 s after SIGTERM
MAX_PENDING_PER_CONNECTION = 4  # further set-ups go to another connection
INVALID_DATA_WAIT_S = 4.0
BURST_SETUPS = 60  # set-ups sent at once
CLOSING_CALLERS = 8  # callers that close or release while they send, at one time


class CallerConnection:
    """One connection with its pending and its established calls. `pending_calls`: {call: (sent at, call type)}."""

    def __init__(self, callers, reader, writer):
        self.callers, self.reader, self.writer = callers, reader, writer
        self.judge_connection = callers.trial.judge.opened(callers.trial.now(), callers.proxy)
        self.pending_calls, self.established, self.used_at, self.is_up = {}, set(), callers.trial.now(), True
        self.writing = asyncio.Lock()

    def is_free(self):
        return self.is_up and len(self.pending_calls) < MAX_PENDING_PER_CONNECTION and not self.writing.locked()


class Callers:
    """All callers of one proxy that follow the protocol."""

    def __init__(self, trial, proxy):
        self.trial, self.proxy, self.plan = trial, proxy, trial.plan.callers
        self.open_connections, self.established, self.is_serving, self.sigterm_at = [], {}, False, None
        self.serial = 0

    # ---- connections ----

    async def connect(self):
        port = self.trial.proxies[self.proxy].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        connection = CallerConnection(self, reader, writer)
        self.open_connections.append(connection)
        self.trial.spawn(self._read(connection))
        if self.trial.rng.random() < self.plan.resets:
            self.trial.spawn(self._reset_later(connection))
        return connection

    async def _read(self, connection):
        framer = isup.Framer()
        closed_by = "proxy"
        try:
            while data := await connection.reader.read(65536):
                for kind, call, values in framer.feed(data):
                    self._on_message(connection, kind, call, isup.parameters(values))
        except PlatformError as error:
            self.trial.judge.add_violation(self.trial.now(), "lost", "", f"unreadable message from a proxy: {error}")
        except OSError:
            pass
        self._connection_closed(connection, closed_by)
        connection.writer.close()

    def _connection_closed(self, connection, closed_by):
        if not connection.is_up:
            return
        connection.is_up = False
        self.open_connections.remove(connection)
        now = self.trial.now()
        self.trial.judge.closed(now, connection.judge_connection, closed_by)
        for sent_at, call_type in connection.pending_calls.values():
            if closed_by == "proxy" and now - sent_at < 0.05:  # the set-up crossed the close: send it once more
                self.trial.spawn(self.call(call_type, None, False))
        connection.pending_calls.clear()

    def close(self, connection, reset=False):
        if not connection.is_up:
            return
        self._connection_closed(connection, "caller")
        if reset:
            with contextlib.suppress(OSError, AttributeError):
                sock = connection.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    async def _reset_later(self, connection):
        await asyncio.sleep(self.trial.rng.uniform(0.1, 5))
        self.close(connection, self.trial.rng.random() < 0.5)

    def close_idle(self):
        """Closes connections that have been idle for IDLE_CLOSE_S."""
        for connection in list(self.open_connections):
            if (
                not connection.pending_calls
                and not connection.established
                and self.trial.now() - connection.used_at > IDLE_CLOSE_S
            ):
                self.close(connection)

    # ---- calls ----

    async def _choose_connection(self):
        free = [connection for connection in self.open_connections if connection.is_free()]
        if free and (len(self.open_connections) >= self.plan.connections or self.trial.rng.random() < 0.8):
            return self.trial.rng.choice(free)
        sigterm_at = self.sigterm_at
        if sigterm_at is not None and self.trial.now() > sigterm_at + NEW_CONNECTIONS_AFTER_SIGTERM_S:
            return free[0] if free else None
        return await self.connect()

    def _next_call_id(self):
        self.serial += 1
        return ((self.proxy + 1) << 40 | self.serial).to_bytes(8, "big")

    async def call(self, call_type=None, within_ms=None, redial=False, redial_count=0):
        """Sends one set-up; its outcome arrives in `_on_message`. Sends nothing where no connection is available."""
        rng, classes = self.trial.rng, self.trial.plan.settings["classes"]
        call_type = rng.randrange(len(classes)) if call_type is None else call_type
        give_up_ms = int(classes[call_type]["giveUpMs"])
        within_ms = within_ms or rng.choice(
            (give_up_ms, give_up_ms, max(1, give_up_ms // 2), rng.randint(20, give_up_ms))
        )
        try:
            connection = await self._choose_connection()
        except OSError:
            return
        if connection is None:
            return
        call = self._next_call_id()
        data = self._message(call, call_type, within_ms, redial)
        if not await self._write(connection, data):
            return
        now = self.trial.now()
        connection.pending_calls[call], connection.used_at = (now, call_type), now
        self.trial.judge.set_up(now, call.hex(), connection.judge_connection, within_ms / 1000)
        if rng.random() < self.plan.gives_up:
            self.trial.spawn(self._give_up(connection, call, rng.uniform(0.001, within_ms / 1000)))
        self.trial.redial_counts[call] = redial_count

    async def _write(self, connection, data):
        """Writes a message, for some calls in two pieces; returns whether all of it was written."""
        async with connection.writing:
            if self.trial.rng.random() < self.plan.in_pieces:
                half = self.trial.rng.randrange(1, len(data))
                connection.writer.write(data[:half])
                await asyncio.sleep(self.trial.rng.uniform(0.05, 1.0))
                data = data[half:]
            if not connection.is_up or connection.writer.is_closing():
                return False
            connection.writer.write(data)
            return True

    def _message(self, call, call_type, within_ms, redial, at=""):
        rng = self.trial.rng
        pool = rng.choice(self.trial.plan.settings["familyInfo"]["skilledPools"][call_type])
        width = self.trial.plan.settings["familyInfo"]["classWidth"][call_type]
        figures = f"dest:{pool};width:{width};via:-1" + (f";at:{at}" if at else "")
        name = self.trial.plan.settings["classes"][call_type]["name"].encode()
        return setup_message(call, name, within_ms, figures.encode(), redial=redial)

    async def _give_up(self, connection, call, after):
        await asyncio.sleep(after)
        if call in connection.pending_calls and connection.is_up and not connection.writing.locked():
            del connection.pending_calls[call]
            connection.writer.write(isup.release(call, 16))
            self.trial.judge.call_abandoned(self.trial.now(), call.hex())

    def _on_message(self, connection, kind, call, values):
        now, judge = self.trial.now(), self.trial.judge
        connection.used_at = now
        if kind == isup.ANSWER:
            judge.answered(now, call.hex(), values.get(isup.DESCRIPTION))
            pending = connection.pending_calls.pop(call, None)
            if pending is not None:
                connection.established.add(call)
                self.established[call] = connection, pending[1]
            elif judge.calls[call.hex()].abandoned_at is not None and not connection.writing.locked():
                connection.writer.write(isup.release(call, 16))  # the answer crossed the caller's release
                judge.released_by_caller(now, call.hex())
        elif kind == isup.RELEASE:
            judge.released(now, call.hex(), values.get(isup.CAUSE, b"\0")[0])
            established_call = self.established.pop(call, None)
            if established_call is not None:
                established_call[0].established.discard(call)
            if self.plan.answers_releases and not connection.writing.locked():
                connection.writer.write(isup.encode(isup.RELEASE_COMPLETE, call))
            pending = connection.pending_calls.pop(call, None)
            if pending is not None and self.trial.rng.random() < self.plan.redials:
                self.trial.spawn(self._redial(pending[1], self.trial.redial_counts.get(call, 0)))

    async def _redial(self, call_type, redial_count):
        if redial_count < 3:
            await asyncio.sleep(self.trial.rng.uniform(0.02, 0.4))
            if self.is_serving:
                await self.call(call_type, None, True, redial_count + 1)

    # ---- restart of the proxy ----

    async def reannounce_calls(self):
        """Announces the established calls to a new proxy process."""
        established, self.established = dict(self.established), {}
        for call, (_, call_type) in established.items():
            server = self.trial.server_of(call.hex())
            if server is None:
                continue
            try:
                connection = await self._choose_connection()
            except OSError:
                return
            if connection is not None and await self._write(
                connection, self._message(call, call_type, 100, False, server)
            ):
                connection.established.add(call)
                self.established[call] = connection, call_type
                self.trial.judge.call_reannounced(self.trial.now(), call.hex())

    # ---- faults ----

    def close_some(self):
        """Closes half of the connections, with their established calls and pending set-ups."""
        for connection in self.open_connections[: max(1, len(self.open_connections) // 2)]:
            self.close(connection, self.trial.rng.random() < 0.5)

    async def close_while_sending(self):
        """Callers that close, reset or release right after the last byte of a set-up, or close inside it."""
        for _ in range(CLOSING_CALLERS):
            with contextlib.suppress(OSError):
                self._close_while_sending(await self.connect())

    def _close_while_sending(self, connection):
        rng, call = self.trial.rng, self._next_call_id()
        call_type = rng.randrange(len(self.trial.plan.settings["classes"]))
        within_ms = int(self.trial.plan.settings["classes"][call_type]["giveUpMs"])
        data = self._message(call, call_type, within_ms, False)
        how = rng.choice(("closes", "resets", "releases", "inside"))
        if how == "inside":
            connection.writer.write(data[: rng.randrange(1, len(data))])
            self.close(connection)
            return
        self.trial.judge.set_up(self.trial.now(), call.hex(), connection.judge_connection, within_ms / 1000)
        if how == "releases":
            connection.writer.write(data + isup.release(call, 16))
            self.trial.judge.call_abandoned(self.trial.now(), call.hex())
        else:
            connection.writer.write(data)
            self.close(connection, how == "resets")

    async def burst(self):
        """Sends many set-ups at once on one connection, cut into pieces that end inside a message."""
        try:
            connection = await self.connect()
        except OSError:
            return
        rng, classes, unsent = self.trial.rng, self.trial.plan.settings["classes"], []
        data = b""
        for _ in range(BURST_SETUPS):
            call, call_type = self._next_call_id(), rng.randrange(len(classes))
            within_ms = int(classes[call_type]["giveUpMs"])
            data += self._message(call, call_type, within_ms, False)
            unsent.append((len(data), call, call_type, within_ms))
        async with connection.writing:
            for start, end in itertools.pairwise([0, *sorted(rng.sample(range(1, len(data)), 4)), len(data)]):
                if not connection.is_up:
                    return
                while unsent and unsent[0][0] <= end:
                    _, call, call_type, within_ms = unsent.pop(0)
                    connection.pending_calls[call] = self.trial.now(), call_type
                    self.trial.judge.set_up(self.trial.now(), call.hex(), connection.judge_connection, within_ms / 1000)
                connection.writer.write(data[start:end])
                await asyncio.sleep(rng.uniform(0, 0.05))

    async def send_invalid_data(self):
        """Opens connections that send invalid or no data; the proxy must answer or close each of them."""
        whole = self._message(self._next_call_id(), 0, 300, False)
        kinds = {
            "no protocol": b"GET / HTTP/1.1\r\n\r\n",
            "a wrong length": b"\xff\xff" + b"x" * 20_000,
            "no such class": whole.replace(b"kind0", b"kindx"),
            "half a message": whole[:30],
            "silence": b"",
            "half a length": b"\0",
        }
        port = self.trial.proxies[self.proxy].port
        for kind, data in kinds.items():
            self.trial.spawn(self._send_invalid(port, kind, data))

    async def _send_invalid(self, port, kind, data):
        opened_at, run = self.trial.now(), self.trial.proxies[self.proxy].run_count
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return
        try:
            writer.write(data)
            await asyncio.wait_for(reader.read(1), INVALID_DATA_WAIT_S)
        except (TimeoutError, OSError):
            pass
        finally:
            writer.close()
        if self.trial.proxies[self.proxy].run_count == run:
            self.trial.judge.bad_caller_closed(self.trial.now(), opened_at, kind)

    async def open_idle_connections(self, number):
        """Opens connections that send one test message and then stay idle, more than a proxy may hold."""
        port = self.trial.proxies[self.proxy].port
        idle = []
        for _ in range(number):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0")))
                idle.append(writer)
        await asyncio.sleep(3)
        for writer in idle:
            writer.close()
