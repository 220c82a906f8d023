"""Callers of a trial: the platform's front towards one proxy, and callers of no use."""

import asyncio
import contextlib
import itertools
import socket

from thorndale.platform import isup
from thorndale.platform.errors import PlatformError
from thorndale.standins.platform import setup_message

IDLE_S = 4.0  # s without a call on it after which a caller closes a connection: the protocol's
NEW_AFTER_TERM_S = 0.3  # s after SIGTERM in which new connections go on coming: 0.2 to 0.4 s
PER_CONNECTION = 4  # set-ups open on a connection before another one is opened
BAD_WAIT_S = 4.0
BURST = 60  # set-ups that come at once
ENDING = 8  # callers that end as they send, at one time


class Line:
    """One connection: what is open on it and what stands that was set up by it."""

    def __init__(self, callers, reader, writer):
        self.callers, self.reader, self.writer = callers, reader, writer
        self.seen = callers.trial.judge.opened(callers.trial.now(), callers.proxy)
        self.open, self.standing, self.used_at, self.is_up = {}, set(), callers.trial.now(), True
        self.writing = asyncio.Lock()

    def is_free(self):
        return self.is_up and len(self.open) < PER_CONNECTION and not self.writing.locked()


class Callers:
    """All good callers of one proxy."""

    def __init__(self, trial, proxy):
        self.trial, self.proxy, self.plan = trial, proxy, trial.plan.callers
        self.lines, self.standing, self.serves, self.told_at = [], {}, False, None
        self.serial = 0

    # ---- connections ----

    async def connect(self):
        port = self.trial.proxies[self.proxy].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        line = Line(self, reader, writer)
        self.lines.append(line)
        self.trial.spawn(self._read(line))
        if self.trial.chance.random() < self.plan.resets:
            self.trial.spawn(self._reset_later(line))
        return line

    async def _read(self, line):
        framer = isup.Framer()
        by = "proxy"
        try:
            while data := await line.reader.read(65536):
                for kind, call, values in framer.feed(data):
                    self._got(line, kind, call, isup.parameters(values))
        except PlatformError as fault:
            self.trial.judge.broke(self.trial.now(), "lost", "", f"what a proxy sent cannot be read: {fault}")
        except OSError:
            pass
        self._ended(line, by)
        line.writer.close()

    def _ended(self, line, by):
        if not line.is_up:
            return
        line.is_up = False
        self.lines.remove(line)
        now = self.trial.now()
        self.trial.judge.closed(now, line.seen, by)
        for sent_at, kind in line.open.values():
            if by == "proxy" and now - sent_at < 0.05:  # it crossed the close: sent again, once
                self.trial.spawn(self.call(kind, None, False))
        line.open.clear()

    def close(self, line, reset=False):
        if not line.is_up:
            return
        self._ended(line, "caller")
        if reset:
            with contextlib.suppress(OSError, AttributeError):
                sock = line.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            line.writer.transport.abort()
        else:
            line.writer.close()

    async def _reset_later(self, line):
        await asyncio.sleep(self.trial.chance.uniform(0.1, 5))
        self.close(line, self.trial.chance.random() < 0.5)

    def tidy(self):
        """Closes connections that had no call on them for so long."""
        for line in list(self.lines):
            if not line.open and not line.standing and self.trial.now() - line.used_at > IDLE_S:
                self.close(line)

    # ---- calls ----

    async def _line(self):
        free = [line for line in self.lines if line.is_free()]
        if free and (len(self.lines) >= self.plan.connections or self.trial.chance.random() < 0.8):
            return self.trial.chance.choice(free)
        told_at = self.told_at
        if told_at is not None and self.trial.now() > told_at + NEW_AFTER_TERM_S:
            return free[0] if free else None
        return await self.connect()

    def _id(self):
        self.serial += 1
        return ((self.proxy + 1) << 40 | self.serial).to_bytes(8, "big")

    async def call(self, kind=None, within_ms=None, redial=False, tries=0):
        """One set-up, whatever becomes of it."""
        chance, classes = self.trial.chance, self.trial.plan.settings["classes"]
        kind = chance.randrange(len(classes)) if kind is None else kind
        longest = int(classes[kind]["giveUpMs"])
        within_ms = within_ms or chance.choice((longest, longest, max(1, longest // 2), chance.randint(20, longest)))
        try:
            line = await self._line()
        except OSError:
            return
        if line is None:
            return
        call = self._id()
        data = self._message(call, kind, within_ms, redial)
        if not await self._write(line, data):
            return
        now = self.trial.now()
        line.open[call], line.used_at = (now, kind), now
        self.trial.judge.set_up(now, call.hex(), line.seen, within_ms / 1000)
        if chance.random() < self.plan.gives_up:
            self.trial.spawn(self._give_up(line, call, chance.uniform(0.001, within_ms / 1000)))
        self.trial.tries[call] = tries

    async def _write(self, line, data):
        """Whether it was written, whole: some callers write in pieces."""
        async with line.writing:
            if self.trial.chance.random() < self.plan.in_pieces:
                half = self.trial.chance.randrange(1, len(data))
                line.writer.write(data[:half])
                await asyncio.sleep(self.trial.chance.uniform(0.05, 1.0))
                data = data[half:]
            if not line.is_up or line.writer.is_closing():
                return False
            line.writer.write(data)
            return True

    def _message(self, call, kind, within_ms, redial, at=""):
        chance = self.trial.chance
        pool = chance.choice(self.trial.plan.settings["familyInfo"]["skilledPools"][kind])
        width = self.trial.plan.settings["familyInfo"]["classWidth"][kind]
        figures = f"dest:{pool};width:{width};via:-1" + (f";at:{at}" if at else "")
        name = self.trial.plan.settings["classes"][kind]["name"].encode()
        return setup_message(call, name, within_ms, figures.encode(), redial=redial)

    async def _give_up(self, line, call, after):
        await asyncio.sleep(after)
        if call in line.open and line.is_up and not line.writing.locked():
            del line.open[call]
            line.writer.write(isup.release(call, 16))
            self.trial.judge.left(self.trial.now(), call.hex())

    def _got(self, line, kind, call, values):
        now, judge = self.trial.now(), self.trial.judge
        line.used_at = now
        if kind == isup.ANSWER:
            judge.answered(now, call.hex(), values.get(isup.DESCRIPTION))
            held = line.open.pop(call, None)
            if held is not None:
                line.standing.add(call)
                self.standing[call] = line, held[1]
            elif judge.calls[call.hex()].left_at is not None and not line.writing.locked():
                line.writer.write(isup.release(call, 16))  # it crossed the caller's release
                judge.released_by_caller(now, call.hex())
        elif kind == isup.RELEASE:
            judge.released(now, call.hex(), values.get(isup.CAUSE, b"\0")[0])
            stood = self.standing.pop(call, None)
            if stood is not None:
                stood[0].standing.discard(call)
            if self.plan.answers_releases and not line.writing.locked():
                line.writer.write(isup.encode(isup.RELEASE_COMPLETE, call))
            held = line.open.pop(call, None)
            if held is not None and self.trial.chance.random() < self.plan.redials:
                self.trial.spawn(self._redial(held[1], self.trial.tries.get(call, 0)))

    async def _redial(self, kind, tries):
        if tries < 3:
            await asyncio.sleep(self.trial.chance.uniform(0.02, 0.4))
            if self.serves:
                await self.call(kind, None, True, tries + 1)

    # ---- the proxy's end and start ----

    async def tell_again(self):
        """A new process is told of the calls that stand."""
        standing, self.standing = dict(self.standing), {}
        for call, (_, kind) in standing.items():
            server = self.trial.server_of(call.hex())
            if server is None:
                continue
            try:
                line = await self._line()
            except OSError:
                return
            if line is not None and await self._write(line, self._message(call, kind, 100, False, server)):
                line.standing.add(call)
                self.standing[call] = line, kind
                self.trial.judge.told_again(self.trial.now(), call.hex())

    # ---- faults ----

    def close_some(self):
        """Callers close connections while calls stand, and while set-ups are open."""
        for line in self.lines[: max(1, len(self.lines) // 2)]:
            self.close(line, self.trial.chance.random() < 0.5)

    async def end_as_they_send(self):
        """Callers that close, or take back, with the last byte of a set-up, and some inside it."""
        for _ in range(ENDING):
            with contextlib.suppress(OSError):
                self._end_as_it_sends(await self.connect())

    def _end_as_it_sends(self, line):
        chance, call = self.trial.chance, self._id()
        kind = chance.randrange(len(self.trial.plan.settings["classes"]))
        within_ms = int(self.trial.plan.settings["classes"][kind]["giveUpMs"])
        data = self._message(call, kind, within_ms, False)
        how = chance.choice(("closes", "resets", "takes back", "inside"))
        if how == "inside":
            line.writer.write(data[: chance.randrange(1, len(data))])
            self.close(line)
            return
        self.trial.judge.set_up(self.trial.now(), call.hex(), line.seen, within_ms / 1000)
        if how == "takes back":
            line.writer.write(data + isup.release(call, 16))
            self.trial.judge.left(self.trial.now(), call.hex())
        else:
            line.writer.write(data)
            self.close(line, how == "resets")

    async def burst(self):
        """Many set-ups at once by one connection, cut into pieces that end inside a message."""
        try:
            line = await self.connect()
        except OSError:
            return
        chance, classes, coming = self.trial.chance, self.trial.plan.settings["classes"], []
        data = b""
        for _ in range(BURST):
            call, kind = self._id(), chance.randrange(len(classes))
            within_ms = int(classes[kind]["giveUpMs"])
            data += self._message(call, kind, within_ms, False)
            coming.append((len(data), call, kind, within_ms))
        async with line.writing:
            for start, end in itertools.pairwise([0, *sorted(chance.sample(range(1, len(data)), 4)), len(data)]):
                if not line.is_up:
                    return
                while coming and coming[0][0] <= end:
                    _, call, kind, within_ms = coming.pop(0)
                    line.open[call] = self.trial.now(), kind
                    self.trial.judge.set_up(self.trial.now(), call.hex(), line.seen, within_ms / 1000)
                line.writer.write(data[start:end])
                await asyncio.sleep(chance.uniform(0, 0.05))

    async def bad(self):
        """Callers of no use, each of which is owed an answer or a close."""
        whole = self._message(self._id(), 0, 300, False)
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
            self.trial.spawn(self._bad_one(port, kind, data))

    async def _bad_one(self, port, kind, data):
        opened_at, run = self.trial.now(), self.trial.proxies[self.proxy].runs
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return
        try:
            writer.write(data)
            await asyncio.wait_for(reader.read(1), BAD_WAIT_S)
        except (TimeoutError, OSError):
            pass
        finally:
            writer.close()
        if self.trial.proxies[self.proxy].runs == run:
            self.trial.judge.bad_caller(self.trial.now(), opened_at, kind)

    async def crowd(self, number):
        """Connections that pass a test and then rest, as many as the proxy may hold for callers and more."""
        port = self.trial.proxies[self.proxy].port
        resting = []
        for _ in range(number):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0")))
                resting.append(writer)
        await asyncio.sleep(3)
        for writer in resting:
            writer.close()
