"""Central servers of a trial, and the faults that one can have: each tells the judge what came to it and what it wrote."""

import asyncio
import contextlib
import select
import socket

from thorndale.sip import framing, message
from thorndale.standins.ports import reserve_port

STATE_S = 0.5  # s between two unasked tellings of a server's state
HOLD_LEAST_S = 0.05
QUEUE_FULL = 4  # connections that fill a queue of none
TAKEN_S = 0.3  # s after which a connection that was written to is known to be up still


class Link:
    """A connection from a proxy. Messages go out in order through `outgoing`: (bytes, in pieces, what to call then)."""

    def __init__(self, server, proxy, reader, writer):
        self.server, self.proxy, self.reader, self.writer = server, proxy, reader, writer
        self.outgoing, self.open_attempts, self.is_up = asyncio.Queue(), {}, True

    def put(self, data, in_pieces=False, then=None):
        self.outgoing.put_nowait((data, in_pieces, then))

    async def write(self):
        while True:
            data, in_pieces, then = await self.outgoing.get()
            await self.server.passes(self.proxy)
            if in_pieces:
                half = len(data) // 2
                self.writer.write(data[:half])
                await asyncio.sleep(self.server.plan.pieces_s)
                await self.server.passes(self.proxy)
                data = data[half:]
            self.writer.write(data)
            if then is not None:
                then()

    def is_ended_by_peer(self):
        """Whether its peer's end has come, also where this process has not read as far."""
        sock = self.writer.get_extra_info("socket")
        if not self.is_up or sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(0))

    def reset(self):
        with contextlib.suppress(OSError, AttributeError):
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort()


class FullQueue:
    """Listens at a port and takes nobody: its queue is full, so the machine drops what asks for a connection."""

    def __init__(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.waiting = [socket.socket() for _ in range(QUEUE_FULL)]
        for sock in self.waiting:
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())

    def close(self):
        for sock in (*self.waiting, self.listener):
            sock.close()


class Server:
    """One central server; `trial` has `now()`, `judge`, `chance` and `spawn(coroutine)`."""

    def __init__(self, trial, plan, hold_s):
        self.trial, self.plan, self.hold_s, self.name = trial, plan, hold_s, plan.name
        self.listeners, self.ports, self.links = [], [], {}
        self.coming = set()  # connections that the machine has accepted and this server has not seen yet
        self.releases = {}  # by proxy: {call: the release that goes on the next connection too}
        self.standing, self.answers = {}, {}  # {call: (Link, proxy)}
        self.hangs_until = 0.0
        self.resets_until = self.late_until = self.ends_until = self.closes_until = 0.0
        self.cut_until, self.slow = {}, {}  # by proxy: until when; (until when, s of delay)
        self.is_dead = False

    async def start(self, proxies):
        """Listens on one port for each proxy, so that each proxy's connections are known."""
        for proxy in range(proxies):
            self.ports.append(reserve_port())
            self.links[proxy], self.releases[proxy] = set(), {}
        await self._listen()
        self.trial.spawn(self._tell())
        return self

    async def _listen(self):
        for proxy, port in enumerate(self.ports):
            came = self._came(proxy)
            self.listeners.append(await asyncio.start_server(came, "127.0.0.1", port))

    def _came(self, proxy):
        async def serve(reader, writer):
            self.trial.judge.connected(self.trial.now(), proxy, self.name)
            if self.trial.now() < self.closes_until:
                writer.close()
                return
            link = Link(self, proxy, reader, writer)
            self.coming.add(link)
            await self._comes_up(proxy)
            self.coming.discard(link)
            self.links[proxy].add(link)
            writing = self.trial.spawn(link.write())
            try:
                await self._serve(link)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writing.cancel()
                self._lost(link)
                writer.close()

        return serve

    async def _comes_up(self, proxy):
        """Waits until this server may see a new connection of the proxy's."""
        while True:
            until = max(self.late_until, self.hangs_until, self.cut_until.get(proxy, 0))
            if until <= self.trial.now():
                return
            await asyncio.sleep(until - self.trial.now())

    async def passes(self, proxy):
        """Waits as long as nothing passes between this server and the proxy."""
        while (wait := max(self.cut_until.get(proxy, 0), self.hangs_until) - self.trial.now()) > 0:
            await asyncio.sleep(min(wait, 0.05))
        until, delay = self.slow.get(proxy, (0, 0))
        if self.trial.now() < until:
            await asyncio.sleep(delay)

    async def _serve(self, link):
        framer = framing.Framer()
        self._state(link)
        for call in list(self.releases[link.proxy]):
            self._send_release(call, link, "sent on a later connection", False)
        while data := await link.reader.read(65536):
            await self.passes(link.proxy)
            for part in framer.feed(data):
                self._take(message.parse(part, stream=True), link)

    def _lost(self, link):
        link.is_up = False
        self.links[link.proxy].discard(link)
        for call, attempt in link.open_attempts.items():
            self.trial.judge.attempt_ended(self.trial.now(), call, attempt, "its connection ended")
        link.open_attempts.clear()

    async def _tell(self):
        while not self.is_dead:
            await asyncio.sleep(STATE_S)
            for links in self.links.values():
                for link in links:
                    self._state(link)

    def _state(self, link):
        text = f"x0:{max(0, self.plan.lines - len(self.standing))};x1:{self.plan.lines};latency_ms:1"
        link.put(
            f"NOTIFY sip:peer@net SIP/2.0\r\nCall-ID: {self.name}\r\nCSeq: 1 NOTIFY\r\nLink-State: {text}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    # ---- what comes ----

    def _take(self, m, link):
        now, call = self.trial.now(), m.call_id
        if m.status:
            return
        if m.method == "INVITE":
            link.open_attempts[call] = self.trial.judge.attempt(now, self.name, link.proxy, call)
            self.trial.spawn(self._answer(m, link))
        elif m.method == "CANCEL":
            self.trial.judge.attempt_ended(now, call, link.open_attempts.pop(call, None), "cancelled")
        elif m.method == "BYE":
            self.standing.pop(call, None)
            link.put(reply(m, 200))
        elif m.method == "OPTIONS":
            link.put(reply(m, 200))

    async def _answer(self, m, link):
        chance, call = self.trial.chance, m.call_id
        await asyncio.sleep(chance.uniform(*self.plan.answer_s))
        if call not in link.open_attempts:
            return
        if self.trial.now() < self.resets_until and chance.random() < 0.5:
            link.reset()
            return
        if len(self.standing) >= self.plan.lines:
            self._refuse(m, link, 503, "congestion")
            return
        if chance.random() < self.plan.refuses:
            status, word = chance.choice(((503, ""), (503, "congestion"), (500, ""), (486, "engaged"), (504, "")))
            self._refuse(m, link, status, word)
            return
        body = f"{chance.getrandbits(64):016x}\r\nc=IN IP4 10.9.9.9\r\nm=audio 40000 RTP/AVP 0\r\n".encode()
        if chance.random() < self.plan.spoils:
            link.put(spoilt(chance, reply(m, 200, body)), then=lambda: self._ended(link, call, "a spoilt answer"))
            return
        self.trial.judge.stood(call, self.name, body)
        in_pieces = chance.random() < self.plan.in_pieces
        if self.trial.now() < self.ends_until:
            self._answer_and_end(m, link, body)
            return
        link.put(reply(m, 200, body), in_pieces, lambda: self._stood(link, call))

    def _answer_and_end(self, m, link, body):
        """The connection ends with the answer's last byte, or inside the answer: then nothing stands."""
        whole, data = self.trial.chance.random() < 0.6, reply(m, 200, body)

        def written():
            if whole:
                self._stood(link, m.call_id)
            link.writer.close()

        link.put(data if whole else data[: self.trial.chance.randrange(1, len(data))], then=written)

    def _refuse(self, m, link, status, word):
        extra = f"Fail-Word: {word}\r\n" if word else ""
        link.put(
            reply(m, status, extra=extra), then=lambda: self._ended(link, m.call_id, f"refused with {status} {word}")
        )

    def _ended(self, link, call, how):
        self.trial.judge.attempt_ended(self.trial.now(), call, link.open_attempts.pop(call, None), how)

    def _stood(self, link, call):
        if call not in link.open_attempts:
            return  # cancelled as its answer was on the way: the proxy releases it
        self._ended(link, call, "answered")
        self.standing[call] = link
        self.trial.spawn(self._hold(call))

    async def _hold(self, call):
        await asyncio.sleep(max(HOLD_LEAST_S, self.trial.chance.expovariate(1 / self.hold_s)))
        while (wait := self.hangs_until - self.trial.now()) > 0:
            await asyncio.sleep(wait)
        self.release(call)

    def release(self, call):
        """The end of a call that stands: on its connection, else on any of its proxy's, else on the next."""
        link = self.standing.pop(call, None)
        if link is None:
            return
        self.releases[link.proxy][call] = (
            f"BYE sip:peer@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nReason: Q.850;cause=16\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        own = not link.is_ended_by_peer()
        if not own:
            link = next((other for other in self.links[link.proxy] if not other.is_ended_by_peer()), link)
        if not link.is_ended_by_peer():
            self._send_release(call, link, "released", own and self.trial.now() > self.hangs_until, False)
        else:
            self._over(call, link.proxy, "released with no connection", False)

    def _send_release(self, call, link, how, sound, is_last=True):
        """`is_last`: it goes on no further connection once this one has it."""

        def written():
            if is_last:
                self.trial.spawn(self._was_taken(call, link))
            self._over(call, link.proxy, how, sound and link.is_up)

        link.put(self.releases[link.proxy][call], then=written)

    async def _was_taken(self, call, link):
        """A connection that has ended by then had ended before: its release goes on the next one still."""
        await asyncio.sleep(TAKEN_S)
        if link.is_up:
            self.releases[link.proxy].pop(call, None)

    def _over(self, call, proxy, how, sent):
        self.trial.judge.over(self.trial.now(), call, proxy, self.name, how, sent)

    # ---- faults ----

    async def lose_connections(self, seconds):
        """Connections to it end, and for a while no new one comes up: nothing answers where it listens."""
        if not self.listeners:
            return
        self.close()
        self.listeners = [FullQueue(port) for port in self.ports]
        losing = self.listeners
        self.cut()
        await asyncio.sleep(seconds)
        if self.listeners is losing:
            self.close()
            await self._listen()

    def close(self):
        """Listens no longer."""
        for listener in self.listeners:
            listener.close()
        self.listeners = []

    def cut(self):
        for links in self.links.values():
            for link in list(links):
                link.reset()

    def die(self):
        """The process ends: its listeners are closed, its connections reset and its calls cut."""
        self.is_dead = True
        self.close()
        for link in list(self.coming):
            link.reset()
        self.cut()
        for call, link in list(self.standing.items()):
            self._over(call, link.proxy, "cut", False)
        self.standing.clear()

    async def come_back(self):
        """A new process at the same addresses: it knows of no call."""
        self.is_dead = False
        await self._listen()
        self.trial.spawn(self._tell())


def reply(m, status, body=b"", extra=""):
    return (
        f"SIP/2.0 {status} {message.REASON_TEXT.get(status, 'X')}\r\nCall-ID: {m.call_id}\r\nCSeq: {m.get('cseq')}\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def spoilt(chance, data):
    """An answer that cannot be used: noise, cut short, or with a length that does not fit."""
    kind = chance.randrange(3)
    if kind == 0:
        return b"\x81" * 40 + b"\r\n\r\n"
    if kind == 1:
        return data[: len(data) - 30]
    return data.replace(b"Content-Length: ", b"Content-Length: 9")
