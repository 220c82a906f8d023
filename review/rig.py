"""Stand-ins and process control that the review cases share. Standard library only; nothing of the project is imported.

A case starts the proxy with the `run` line of deploy/balancer.toml and meets it through the published protocol alone:
`Server` is a central server, `Feed` the control feed, `Caller` one connection of callers. All addresses are 127.0.0.1
with ports that the kernel gives. `Record` keeps what was sent, answered and run.
"""

import asyncio
import contextlib
import ctypes
import functools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
SETUP, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_RESULT = 1, 9, 12, 16, 52, 53
SLACK_S = 0.05  # PROTOCOL: "every time limit is 50 ms longer"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
PR_SET_PDEATHSIG = 1  # prctl: the signal that the kernel sends to a process whose parent has ended
_libc = ctypes.PyDLL(None)
CALLER_DESCRIPTION = b"9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


class NotRunError(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    """The lines of record.txt, with seconds since the case began."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()  # noqa: SIM115 - open for the whole case

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, what):
        self.file.write(f"{self.now():8.3f}  {who:10s}  {what}\n")
        self.file.flush()


# ---- messages of callers ----


def isup(kind, call, *values):
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in values)
    return struct.pack(">HB", 9 + len(body), kind) + call + body


def read_isup(buffer):
    """Takes the whole messages out of a bytearray: [(kind, call, {code: value})]."""
    found = []
    while len(buffer) >= 2 and len(buffer) >= 2 + (length := struct.unpack_from(">H", buffer)[0]):
        message, values, at = bytes(buffer[2 : 2 + length]), {}, 9
        del buffer[: 2 + length]
        while at < len(message):
            code, size = struct.unpack_from(">BH", message, at)
            values[code] = message[at + 3 : at + 3 + size]
            at += 3 + size
        found.append((message[0], message[1:9], values))
    return found


class Caller:
    """One connection of callers. `got`: [(time, kind, call, values)]; `on_message(kind, call, values)`: a hook."""

    def __init__(self, record, name, port):
        self.record, self.name, self.port = record, name, port
        self.got, self.closed, self.on_message = [], False, lambda kind, call, values: None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.task = asyncio.create_task(self._read())
        self.record(self.name, "connected")
        return self

    async def _read(self):
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                buffer += data
                for kind, call, values in read_isup(buffer):
                    self.got.append((self.record.now(), kind, call, values))
                    if kind == RELEASE:
                        cause = values[157][0]
                        self.record(self.name, f"got release of {call.hex()} cause {cause}")
                        self.writer.write(isup(RELEASE_HEARD, call))
                    elif kind == ANSWER:
                        self.record(self.name, f"got answer to {call.hex()}")
                    self.on_message(kind, call, values)
        if not self.closed:
            self.record(self.name, "its connection has ended")
        self.closed = True

    def setup(self, call, call_type, within_ms, pool, at=""):
        figures = f"dest:{pool};width:1;via:-1" + (f";at:{at}" if at else "")
        self.writer.write(
            isup(
                SETUP,
                call,
                (129, call_type.encode()),
                (131, b"%d" % within_ms),
                (137, call.hex().encode()),
                (139, figures.encode()),
                (159, CALLER_DESCRIPTION),
            )
        )
        self.record(self.name, f"sent set-up {call.hex()} dest {pool}" + (f" at {at}" if at else ""))

    async def test(self, seconds=1.0):
        """Whether a test passes."""
        self.writer.write(isup(TEST, bytes(8), (157, b"\0")))
        with contextlib.suppress(TimeoutError):
            await until(lambda: any(kind == TEST_RESULT and v[157] == b"\1" for _, kind, _, v in self.got), seconds)
            return True
        return False

    def say_test(self):
        """Sends a test and waits for nothing: a connection that is in use is not closed as idle."""
        if not self.closed:
            self.writer.write(isup(TEST, bytes(8), (157, b"\0")))

    def close(self):
        if not self.closed:
            self.closed = True
            self.task.cancel()
            self.writer.close()


class Relay:
    """The network between callers and one proxy: passes bytes on, and can reset every connection at both ends."""

    def __init__(self, record, port):
        self.record, self.to_port, self.writers = record, port, []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        proxy_reader, proxy_writer = await asyncio.open_connection(HOST, self.to_port)
        self.writers += [writer, proxy_writer]
        await asyncio.gather(self._pass_on(reader, proxy_writer), self._pass_on(proxy_reader, writer))

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
        writer.close()

    def reset(self):
        for writer in self.writers:
            reset(writer)
        self.writers = []
        self.record("network", "every connection of callers is reset")


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- central servers ----


class Server:
    """A sound central server. `answer_s`: from a set-up to its answer; `hold_s`: from the answer to the release, 0 if
    `end` alone releases. `on_invite(call)`: a hook. `standing`: {call as hex: its connection}."""

    def __init__(self, record, name, pool, answer_s=0.02, hold_s=0.0):
        self.record, self.name, self.pool, self.answer_s, self.hold_s = record, name, pool, answer_s, hold_s
        self.invites, self.standing, self.cancelled, self.open, self.late = [], {}, set(), [], []
        self.on_invite, self.tasks = lambda call: None, set()
        self.accepted, self.ended, self.cut_at = 0, {}, {}  # when it released a call, and when the proxy did

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def die(self):
        """Its process dies: connections are reset, new ones refused, its calls are cut."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.reset_connections()
        self.standing, self.late = {}, []
        self.record(self.name, "its process has died")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        self.open.append(writer)
        self.accepted += 1
        self.record(self.name, f"connection {self.accepted} accepted")
        self._state(writer)
        reports = asyncio.create_task(self._reports(writer))
        for text in self.late:  # "also sends its release on the next one that is opened"
            writer.write(text)
        self.late = []
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                buffer += data
                while (end := buffer.find(b"\r\n\r\n")) >= 0:
                    head = bytes(buffer[:end]).decode()
                    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
                    size = int(fields["Content-Length"])
                    if len(buffer) < end + 4 + size:
                        break
                    del buffer[: end + 4 + size]
                    self._take(head.split(" ", 1)[0], fields, writer)
        reports.cancel()
        self.open.remove(writer)
        self.record(self.name, "a connection ended")
        writer.close()

    async def _reports(self, writer):
        while True:
            await asyncio.sleep(0.5)
            self._state(writer)

    def _state(self, writer):
        text = f"x0:{400 - len(self.standing)};x1:400;latency_ms:2"
        writer.write(
            f"NOTIFY sip:peer@net SIP/2.0\r\nCall-ID: {self.name}\r\nCSeq: 1 NOTIFY\r\nLink-State: {text}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def _reply(self, fields, status, body=b""):
        return (
            f"SIP/2.0 {status} X\r\nCall-ID: {fields['Call-ID']}\r\nCSeq: {fields['CSeq']}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _take(self, method, fields, writer):
        call = fields["Call-ID"]
        if method == "INVITE":
            self.invites.append((self.record.now(), call))
            self.record(self.name, f"INVITE {call}")
            self.on_invite(call)
            self.spawn(self._answer(fields, writer))
        elif method == "CANCEL":
            self.cancelled.add(call)
            self.record(self.name, f"CANCEL {call}")
        elif method == "BYE":
            self.record(self.name, f"BYE {call} from the proxy")
            self.standing.pop(call, None)
            self.cut_at.setdefault(call, self.record.now())
            writer.write(self._reply(fields, 200))
        elif method == "OPTIONS":
            writer.write(self._reply(fields, 200))

    async def _answer(self, fields, writer):
        await asyncio.sleep(self.answer_s)
        call = fields["Call-ID"]
        if call in self.cancelled or writer not in self.open:
            return
        self.standing[call] = writer
        body = call.encode() + b"\r\nc=IN IP4 127.0.0.1\r\nm=audio 40000 RTP/AVP 0\r\n"
        writer.write(self._reply(fields, 200, body))
        self.record(self.name, f"answered {call}")
        if self.hold_s:
            await asyncio.sleep(self.hold_s)
            self.end(call)

    def end(self, call, cause=16):
        """Releases a call that stands: on its connection, else on any open one, and on the next one opened."""
        writer = self.standing.pop(call, None)
        if writer is None:
            return
        self.ended[call] = self.record.now()
        text = (
            f"BYE sip:peer@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nReason: Q.850;cause={cause}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        writer = writer if writer in self.open else next(iter(self.open), None)
        if writer is not None:
            writer.write(text)
        self.late.append(text)
        self.record(self.name, f"released {call} cause {cause}")

    def reset_connections(self):
        for writer in list(self.open):
            reset(writer)
        self.record(self.name, "its connections are reset")


# ---- the control feed ----


class Feed:
    """Tells every event after the number asked for, and an empty frame each second. `told`: {event: when it was
    added}. `first_frame_s`: from a request to the first frame."""

    def __init__(self, record, events):
        self.record, self.frames, self.writers, self.first_frame_s = record, [b""] * events, [], 0.0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def add(self, server, state, started_ms=0):
        """Adds a change of one server; it counts as told from the returned time on."""
        data = struct.pack(
            ">I4sHBBBHIQ",
            int(server.name[2:], 16),
            socket.inet_aton(HOST),
            server.port,
            state,
            0,
            0,
            server.pool,
            1000,
            started_ms,
        )
        self.frames.append(struct.pack(">IQB", 9 + len(data), len(self.frames) + 1, 2) + data)
        for writer in self.writers:
            writer.write(self.frames[-1])
        self.record("feed", f"event {len(self.frames)}: {server.name} {('ready', 'draining', 'gone')[state]}")
        return self.record.now()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record("feed", f"asked for what comes after event {last}")
            await asyncio.sleep(self.first_frame_s)
            writer.write(b"".join(self.frames[last:]) or self._empty())
            self.writers.append(writer)
            ended = asyncio.create_task(reader.read())
            while not ended.done():
                await asyncio.wait((ended,), timeout=1.0)
                writer.write(self._empty())
        if writer in self.writers:
            self.writers.remove(writer)
        writer.close()

    def _empty(self):
        return struct.pack(">IQB", 9, len(self.frames), 0)


# ---- the proxy ----


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def end_with(parent):
    """Runs in a new process: the kernel kills it when the case ends, however the case ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:  # it has ended already
        os._exit(NOT_RUN)


class Proxy:
    """One border proxy, started by the `run` line of the deploy file in a session of its own."""

    def __init__(self, record, folder, name, settings, servers, feed):
        self.record, self.folder, self.name, self.settings = record, folder, name, settings
        self.servers, self.feed, self.port, self.process = servers, feed, free_port(), None

    def configuration(self):
        hosts = [
            {
                "host": server.name,
                "dial": f"{HOST}:{server.port}",
                "site": self.settings["zones"][0],
                "class": "small",
                "block": server.pool,
                "share": 1,
                "health": "Ready",
                "born_ms": 0,
            }
            for server in self.servers
        ]
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "feed": f"{HOST}:{self.feed.port}",
            "known": {"n": 1, "events": [{"n": 1, "members": {"seq": 1, "whole": True, "hosts": hosts}}]},
            "settings": self.settings,
        }

    async def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.configuration(), file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            line = tomllib.load(file)["run"]
        private = os.path.join(self.folder, f"{self.name}.tmp")
        os.makedirs(private, exist_ok=True)
        environ = dict(os.environ, GW_NAME=self.name, GW_LISTEN=f"{HOST}:{self.port}", GW_CONFIG=path, TMPDIR=private)
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")  # noqa: SIM115 - closed by `end`
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            line,
            cwd=ROOT,
            env=environ,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
            preexec_fn=functools.partial(end_with, os.getpid()),
        )
        self.record(self.name, f"started, process {self.process.pid}")
        end = time.monotonic() + 30
        while time.monotonic() < end and self.process.returncode is None:
            with contextlib.suppress(OSError):
                prober = await Caller(self.record, "prober", self.port).open()
                passed = await prober.test()
                prober.close()
                if passed:
                    self.record(self.name, "passed a test: in service")
                    return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} did not come into service")

    def signal(self, number):
        self.process.send_signal(number)
        self.record(self.name, f"was sent {signal.Signals(number).name}")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self.process is not None:
            self.log.close()


async def until(done, seconds):
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            raise TimeoutError
        await asyncio.sleep(0.005)


def settings(instances, **other):
    """Settings of the form that the simulator's first message has, with a small deployment's figures."""
    call_types = other.get(
        "classes",
        [
            {
                "name": "session-open",
                "goalTimeMs": 1500.0,
                "giveUpMs": 9000.0,
                "worth": 1.0,
                "lateWorth": 0.25,
                "semantics": "safe",
                "streaming": True,
                "windowMs": 5000.0,
                "group": "all",
            }
        ],
    )
    return {
        "tickMs": 5.0,
        "nInstances": instances,
        "slotNo": 0,
        "layer": 0,
        "tiers": ["setup-fleet"],
        "zones": ["casablanca", "rabat"],
        "myZone": 0,
        "skus": ["small"],
        "tenants": [],
        "discovery": "automatic",
        "family": "trunks",
        "classes": call_types,
        "familyInfo": {
            "topology": "skills",
            "advice": False,
            "classHoldMs": other.get("hold_ms", [8000.0] * len(call_types)),
            "classWidth": [1] * len(call_types),
            "guardMs": 500.0,
            "repeatMs": 800.0,
            "ownNumber": -1,
            "peerLoad": "answers",
            "retryHint": False,
            "skilledPools": [list(range(other.get("pools", 2)))] * len(call_types),
        },
        "ceilings": {
            "sendCap": 5,
            "mostHeld": 20000,
            "mayCancel": True,
            "mayDuplicate": False,
            "mayTell": False,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
            "dialTimeoutMs": 500.0,
            "connIdleMs": 600000,
            "streamsPerConn": 1048576,
            "cpuUsPerS": 400000,
            "cpuUsPerRequest": 0.0,
        },
        "report": {"fields": ["idle", "circuits", "latency_ms"], "via": "answers"},
        "rules": {
            "answerSlackMs": 20.0,
            "askWithinMs": 10000,
            "drainGraceMs": 500.0,
            "fallMs": 1500.0,
            "fallMultiple": 2.0,
            "startCapacity": 0.28,
            "warmUpMs": 15000.0,
        },
        "weightKind": "none",
        "worthBy": "request",
        "overShareWorth": 0.2,
    }


def play(case, record_path, seconds=110):
    """Runs `case(record, folder, proxies)`, which returns (whether the rule held, one line of text) and puts each Proxy
    that it starts into `proxies`; ends them, and this process with the exit code of the case."""
    record = Record(record_path)
    record("case", f"TROUBLE={int(TROUBLE)}")

    async def run():
        for number in STOP_SIGNALS:
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            proxies = []
            try:
                return await asyncio.wait_for(case(record, folder, proxies), seconds)
            finally:
                for proxy in proxies:
                    await proxy.end()

    try:
        held, text = asyncio.run(run())
        code = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case itself says nothing about the rule
        code, text = NOT_RUN, f"the case could not run: {type(error).__name__} {error}"
    record("result", f"exit {code}: {text}")
    print(f"exit {code}: {text}")
    sys.exit(code)
