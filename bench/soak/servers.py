"""Central server stand-ins of a trial and their faults: each reports to the judge what it receives and writes."""

import asyncio
import contextlib
import select
import socket

from thorndale.sip import framing, message
from thorndale.standins.ports import reserve_port

STATE_INTERVAL_S = 0.5  # between two unsolicited state notifications
MIN_HOLD_S = 0.05
BACKLOG_FILL = 4  # connections that fill a listen backlog of 0
RELEASE_CONFIRM_S = 0.3  # a connection that is up this long after a write was up at the write


class Link:
    """A connection from a proxy. `outgoing` holds messages in order: (bytes, in pieces, callback after the write)."""

    def __init__(self, server, proxy, reader, writer):
        self.server, self.proxy, self.reader, self.writer = server, proxy, reader, writer
        self.outgoing, self.open_attempts, self.is_up = asyncio.Queue(), {}, True

    def enqueue(self, data, in_pieces=False, on_written=None):
        self.outgoing.put_nowait((data, in_pieces, on_written))

    async def write(self):
        while True:
            data, in_pieces, on_written = await self.outgoing.get()
            await self.server.wait_until_passing(self.proxy)
            if in_pieces:
                half = len(data) // 2
                self.writer.write(data[:half])
                await asyncio.sleep(self.server.plan.pieces_s)
                await self.server.wait_until_passing(self.proxy)
                data = data[half:]
            self.writer.write(data)
            if on_written is not None:
                on_written()

    def is_ended_by_peer(self):
        """Whether the peer has closed or reset the connection, even if this process has not read that far yet."""
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
    """Listens at a port with a full backlog and never accepts, so that the kernel drops connection requests."""

    def __init__(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.waiting = [socket.socket() for _ in range(BACKLOG_FILL)]
        for sock in self.waiting:
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())

    def close(self):
        for sock in (*self.waiting, self.listener):
            sock.close()


class Server:
    """One central server; `trial` provides `now()`, `judge`, `rng` and `spawn(coroutine)`."""

    def __init__(self, trial, plan, hold_s):
        self.trial, self.plan, self.hold_s, self.name = trial, plan, hold_s, plan.name
        self.listeners, self.ports, self.links = [], [], {}
        self.unread_links = set()  # links that the kernel has accepted and this server does not serve yet
        self.releases = {}  # by proxy: {call: a release that is sent on the next connection too}
        self.established, self.answers = {}, {}  # {call: Link}
        self.hangs_until = 0.0
        self.resets_until = self.accepts_late_until = self.ends_until = self.closes_until = 0.0
        self.cut_until, self.slow_until = {}, {}  # by proxy: end of the fault; (end of the fault, delay in s)
        self.is_dead = False

    async def start(self, proxies):
        """Listens on one port per proxy, which tells the proxies' connections apart."""
        for proxy in range(proxies):
            self.ports.append(reserve_port())
            self.links[proxy], self.releases[proxy] = set(), {}
        await self._listen()
        self.trial.spawn(self._send_states())
        return self

    async def _listen(self):
        for proxy, port in enumerate(self.ports):
            handler = self._connection_handler(proxy)
            self.listeners.append(await asyncio.start_server(handler, "127.0.0.1", port))

    def _connection_handler(self, proxy):
        async def serve(reader, writer):
            self.trial.judge.connected(self.trial.now(), proxy, self.name)
            if self.trial.now() < self.closes_until:
                writer.close()
                return
            link = Link(self, proxy, reader, writer)
            self.unread_links.add(link)
            await self._wait_until_accepting(proxy)
            self.unread_links.discard(link)
            self.links[proxy].add(link)
            writing = self.trial.spawn(link.write())
            try:
                await self._serve(link)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writing.cancel()
                self._connection_lost(link)
                writer.close()

        return serve

    async def _wait_until_accepting(self, proxy):
        """Waits until no fault delays a new connection of this proxy."""
        while True:
            until = max(self.accepts_late_until, self.hangs_until, self.cut_until.get(proxy, 0))
            if until <= self.trial.now():
                return
            await asyncio.sleep(until - self.trial.now())

    async def wait_until_passing(self, proxy):
        """Waits while a fault holds up traffic between this server and the proxy."""
        while (wait := max(self.cut_until.get(proxy, 0), self.hangs_until) - self.trial.now()) > 0:
            await asyncio.sleep(min(wait, 0.05))
        until, delay = self.slow_until.get(proxy, (0, 0))
        if self.trial.now() < until:
            await asyncio.sleep(delay)

    async def _serve(self, link):
        framer = framing.Framer()
        self._send_state(link)
        for call in list(self.releases[link.proxy]):
            self._send_release(call, link, "sent on a later connection", False)
        while data := await link.reader.read(65536):
            await self.wait_until_passing(link.proxy)
            for frame in framer.feed(data):
                self._on_message(message.parse(frame, stream=True), link)

    def _connection_lost(self, link):
        link.is_up = False
        self.links[link.proxy].discard(link)
        for call, attempt in link.open_attempts.items():
            self.trial.judge.attempt_ended(self.trial.now(), call, attempt, "its connection was closed")
        link.open_attempts.clear()

    async def _send_states(self):
        while not self.is_dead:
            await asyncio.sleep(STATE_INTERVAL_S)
            for links in self.links.values():
                for link in links:
                    self._send_state(link)

    def _send_state(self, link):
        text = f"x0:{max(0, self.plan.lines - len(self.established))};x1:{self.plan.lines};latency_ms:1"
        link.enqueue(
            f"NOTIFY sip:peer@net SIP/2.0\r\nCall-ID: {self.name}\r\nCSeq: 1 NOTIFY\r\nLink-State: {text}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    # ---- received messages ----

    def _on_message(self, received, link):
        now, call = self.trial.now(), received.call_id
        if received.status:
            return
        if received.method == "INVITE":
            link.open_attempts[call] = self.trial.judge.attempt(now, self.name, link.proxy, call)
            self.trial.spawn(self._answer(received, link))
        elif received.method == "CANCEL":
            self.trial.judge.attempt_ended(now, call, link.open_attempts.pop(call, None), "cancelled")
        elif received.method == "BYE":
            self.established.pop(call, None)
            link.enqueue(reply(received, 200))
        elif received.method == "OPTIONS":
            link.enqueue(reply(received, 200))

    async def _answer(self, received, link):
        rng, call = self.trial.rng, received.call_id
        await asyncio.sleep(rng.uniform(*self.plan.answer_s))
        if call not in link.open_attempts:
            return
        if self.trial.now() < self.resets_until and rng.random() < 0.5:
            link.reset()
            return
        if len(self.established) >= self.plan.lines:
            self._refuse(received, link, 503, "congestion")
            return
        if rng.random() < self.plan.refuses:
            status, fail_word = rng.choice(((503, ""), (503, "congestion"), (500, ""), (486, "engaged"), (504, "")))
            self._refuse(received, link, status, fail_word)
            return
        body = f"{rng.getrandbits(64):016x}\r\nc=IN IP4 10.9.9.9\r\nm=audio 40000 RTP/AVP 0\r\n".encode()
        if rng.random() < self.plan.spoils:
            link.enqueue(
                malformed(rng, reply(received, 200, body)),
                on_written=lambda: self._attempt_ended(link, call, "a malformed answer"),
            )
            return
        self.trial.judge.answer_made(call, self.name, body)
        in_pieces = rng.random() < self.plan.in_pieces
        if self.trial.now() < self.ends_until:
            self._answer_and_end(received, link, body)
            return
        link.enqueue(reply(received, 200, body), in_pieces, lambda: self._call_established(link, call))

    def _answer_and_end(self, received, link, body):
        """Closes the connection after the answer's last byte, or inside the answer: then no call is established."""
        whole, data = self.trial.rng.random() < 0.6, reply(received, 200, body)

        def written():
            if whole:
                self._call_established(link, received.call_id)
            link.writer.close()

        link.enqueue(data if whole else data[: self.trial.rng.randrange(1, len(data))], on_written=written)

    def _refuse(self, received, link, status, fail_word):
        extra = f"Fail-Word: {fail_word}\r\n" if fail_word else ""
        link.enqueue(
            reply(received, status, extra=extra),
            on_written=lambda: self._attempt_ended(link, received.call_id, f"refused with {status} {fail_word}"),
        )

    def _attempt_ended(self, link, call, how):
        self.trial.judge.attempt_ended(self.trial.now(), call, link.open_attempts.pop(call, None), how)

    def _call_established(self, link, call):
        if call not in link.open_attempts:
            return  # cancelled while its answer was on the way: the proxy releases it
        self._attempt_ended(link, call, "answered")
        self.established[call] = link
        self.trial.spawn(self._hold(call))

    async def _hold(self, call):
        await asyncio.sleep(max(MIN_HOLD_S, self.trial.rng.expovariate(1 / self.hold_s)))
        while (wait := self.hangs_until - self.trial.now()) > 0:
            await asyncio.sleep(wait)
        self.release(call)

    def release(self, call):
        """Releases an established call on its connection, else on another one of its proxy, else on the next one."""
        link = self.established.pop(call, None)
        if link is None:
            return
        self.releases[link.proxy][call] = (
            f"BYE sip:peer@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nReason: Q.850;cause=16\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        own_is_up = not link.is_ended_by_peer()
        if not own_is_up:
            link = next((other for other in self.links[link.proxy] if not other.is_ended_by_peer()), link)
        if not link.is_ended_by_peer():
            self._send_release(call, link, "released", own_is_up and self.trial.now() > self.hangs_until, False)
        else:
            self._report_end(call, link.proxy, "released without a connection", False)

    def _send_release(self, call, link, how, reliable, is_last=True):
        """Sends a release. `is_last`: not repeated on a later connection once this one has taken it."""

        def written():
            if is_last:
                self.trial.spawn(self._drop_release_if_up(call, link))
            self._report_end(call, link.proxy, how, reliable and link.is_up)

        link.enqueue(self.releases[link.proxy][call], on_written=written)

    async def _drop_release_if_up(self, call, link):
        """Drops the stored release if the connection is still up; else the release goes on the next connection too."""
        await asyncio.sleep(RELEASE_CONFIRM_S)
        if link.is_up:
            self.releases[link.proxy].pop(call, None)

    def _report_end(self, call, proxy, how, sent):
        self.trial.judge.call_ended(self.trial.now(), call, proxy, self.name, how, sent)

    # ---- faults ----

    async def lose_connections(self, seconds):
        """Resets all connections; for a while connection requests to the server get no response."""
        if not self.listeners:
            return
        self.close()
        self.listeners = [FullQueue(port) for port in self.ports]
        full_queues = self.listeners
        self.cut()
        await asyncio.sleep(seconds)
        if self.listeners is full_queues:
            self.close()
            await self._listen()

    def close(self):
        """Closes the listeners; open connections stay."""
        for listener in self.listeners:
            listener.close()
        self.listeners = []

    def cut(self):
        for links in self.links.values():
            for link in list(links):
                link.reset()

    def die(self):
        """Ends like a killed process: listeners closed, connections reset, calls cut."""
        self.is_dead = True
        self.close()
        for link in list(self.unread_links):
            link.reset()
        self.cut()
        for call, link in list(self.established.items()):
            self._report_end(call, link.proxy, "cut", False)
        self.established.clear()

    async def start_again(self):
        """Starts like a new process at the same addresses, without any call."""
        self.is_dead = False
        await self._listen()
        self.trial.spawn(self._send_states())


def reply(received, status, body=b"", extra=""):
    return (
        f"SIP/2.0 {status} {message.REASON_TEXT.get(status, 'X')}\r\nCall-ID: {received.call_id}\r\n"
        f"CSeq: {received.get('cseq')}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def malformed(rng, data):
    """A malformed answer: noise, truncated, or with a wrong length."""
    kind = rng.randrange(3)
    if kind == 0:
        return b"\x81" * 40 + b"\r\n\r\n"
    if kind == 1:
        return data[: len(data) - 30]
    return data.replace(b"Content-Length: ", b"Content-Length: 9")
