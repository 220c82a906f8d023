"""Stand-ins and helpers for the cases of the second review. Standard library only; nothing of the reviewed software is
imported. Every address is a loopback address.

`python stand.py server ID HOST PORT ANSWER_MS HOLD_MS MARK` is one central server: a process of its own, so that a case
can kill it. It follows the protocol page: NOTIFY first on each connection and then each 0.5 s on at most four, 200 to
OPTIONS at once, 200 with a description to INVITE, BYE with cause 16 when a call has come to its end, on the
connection of its set-up or else any open one, and again on the next one that is opened. It prints a JSON line for
each step and reads commands from standard input: `full SECONDS` (accept no connection for so long: the allowance is
full), `rest` (close the connections on which no set-up is open) and `spoil N` (the next N answers break off in the middle, with
their connection).
"""

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BODY = b"9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
SETUP, ANSWER, RELEASE, HEARD, TEST, RESULT = 1, 9, 12, 16, 52, 53

# The settings of the protocol note's example, as nested JSON: a deployment of two servers.
SETTINGS = {
    "tickMs": 5.0,
    "nInstances": 1,
    "slotNo": 0,
    "layer": 0,
    "myZone": 0,
    "zones": ["dakar", "thies"],
    "skus": ["small"],
    "tiers": ["setup-fleet"],
    "discovery": "automatic",
    "family": "trunks",
    "tenants": [],
    "overShareWorth": 0.1,
    "weightKind": "none",
    "worthBy": "request",
    "clientHabits": {"marksRetry": True},
    "report": {"fields": ["idle", "circuits", "latency_ms"], "via": "answers"},
    "classes": [
        {
            "name": name, "goalTimeMs": goal, "giveUpMs": limit, "worth": worth, "lateWorth": 0.25, "group": "all",
            "semantics": "safe", "streaming": True, "windowMs": 5000.0,
        }
        for name, goal, limit, worth in (("timetable", 1200.0, 9000.0, 1.0), ("leaving-soon", 800.0, 6000.0, 6.0))
    ],
    "familyInfo": {
        "advice": False, "classHoldMs": [11000.0, 8800.0], "classWidth": [1, 1], "guardMs": 500.0, "ownNumber": -1,
        "peerLoad": "answers", "repeatMs": 800.0, "retryHint": False, "skilledPools": [[0, 1], [0, 1]],
        "topology": "skills",
    },
    "ceilings": {
        "connIdleMs": 600000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutMs": 500.0,
        "maxRetryAfterMs": 2000.0, "mayCancel": True, "mayDuplicate": False, "mayTell": False, "mostHeld": 20000,
        "probes": False, "retryAfter": True, "sendCap": 5, "streamsPerConn": 1048576,
    },
    "rules": {
        "answerSlackMs": 20.0, "askWithinMs": 10000.0, "drainGraceMs": 500.0, "fallMs": 1500.0, "fallMultiple": 2.0,
        "startCapacity": 0.28, "warmUpMs": 14000.0,
    },
}


# ---- the record ----


class Record:
    """Writes what was sent, answered and run, with seconds since the start, and keeps it for the check."""

    def __init__(self, path):
        self.file, self.began, self.rows = open(path, "w"), time.time(), []

    def __call__(self, what, **more):
        row = {"at": round(time.time() - self.began, 3), "what": what, **more}
        self.rows.append(row)
        self.file.write(json.dumps(row) + "\n")
        self.file.flush()

    def first(self, what, **match):
        for row in self.rows:
            if row["what"] == what and all(row.get(key) == value for key, value in match.items()):
                return row
        return None


def end_with_parent():
    """For a child before its start: the kernel kills it when the case itself is killed (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


# ---- SIP ----


def sip(first, call, cseq, extra="", body=b""):
    return (f"{first}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {cseq}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def split(buffer):
    """Takes whole messages off the buffer: (first line, headers, body)."""
    while (end := buffer.find(b"\r\n\r\n")) >= 0:
        lines = buffer[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        if len(buffer) < end + 4 + size:
            return
        body = bytes(buffer[end + 4 : end + 4 + size])
        del buffer[: end + 4 + size]
        yield lines[0], headers, body


class Central:
    """One central server, the body of its process."""

    def __init__(self, name, host, port, answer_s, hold_s, mark):
        self.name, self.host, self.port, self.answer_s, self.hold_s, self.mark = name, host, port, answer_s, hold_s, mark
        self.links, self.open, self.standing, self.repeat, self.listener, self.spoil = [], {}, {}, [], None, 0

    def say(self, did, **more):
        row = {"t": time.time(), "server": self.name, "process": self.mark, "did": did, **more}
        print(json.dumps(row), flush=True)

    async def run(self):
        await self.listen()
        self.say("listens")
        loop = asyncio.get_running_loop()
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        states = loop.create_task(self.tell_states())
        while line := await commands.readline():
            words = line.decode().split()
            if words[0] == "rest":
                for link in list(self.links):
                    if not any(held is link for held in self.open.values()):
                        link.close()
                self.say("closed its resting connections", standing=len(self.standing))
            elif words[0] == "full":
                self.listener.close()
                self.say("accepts no further connection: its allowance is full", standing=len(self.standing))
                loop.call_later(float(words[1]), lambda: loop.create_task(self.listen("accepts again")))
            elif words[0] == "spoil":
                self.spoil = int(words[1])
        states.cancel()

    async def listen(self, say=None):
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, reuse_address=True)
        if say:
            self.say(say, standing=len(self.standing))

    def state(self):
        return sip("NOTIFY sip:peer@net SIP/2.0", self.name, "1 NOTIFY",
                   f"Link-State: x0:{100 - len(self.standing)};x1:100;latency_ms:2\r\n")

    async def tell_states(self):
        while True:
            await asyncio.sleep(0.5)
            for link in self.links[:4]:
                link.write(self.state())

    async def serve(self, reader, link):
        self.links.append(link)
        self.say("connection opened", links=len(self.links))
        link.write(self.state())
        repeat, self.repeat = self.repeat, []
        for data in repeat:
            link.write(data)
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                buffer += data
                for message in split(buffer):
                    self.take(link, *message)
        self.links.remove(link)
        for call in [call for call, held in self.open.items() if held is link]:
            del self.open[call]
            self.say("given up with its connection", call=call)
        link.close()
        self.say("connection ended", links=len(self.links))

    def take(self, link, first, headers, body):
        if first.startswith("SIP/2.0"):
            return
        method, call, cseq = first.split()[0], headers["call-id"], headers["cseq"]
        if method == "INVITE":
            self.open[call] = link
            self.say("set-up", call=call)
            asyncio.get_running_loop().call_later(self.answer_s, self.answer, link, call, cseq)
        elif method == "CANCEL":
            link.write(sip("SIP/2.0 200 OK", call, cseq))
            if self.open.pop(call, None):
                self.say("given up", call=call)
                link.write(sip("SIP/2.0 487 Request Terminated", call, cseq.replace("CANCEL", "INVITE")))
        elif method == "OPTIONS":
            link.write(sip("SIP/2.0 200 OK", call, cseq))
        elif method == "BYE":
            link.write(sip("SIP/2.0 200 OK", call, cseq))
            if self.standing.pop(call, None):
                self.say("released by the border proxy", call=call)

    def answer(self, link, call, cseq):
        if self.open.pop(call, None) is None:
            return
        self.standing[call] = link
        self.say("answered: stands", call=call)
        body = f"{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 40000 RTP/AVP 0\r\n".encode()
        data = sip("SIP/2.0 200 OK", call, cseq, body=body)
        if self.spoil:
            self.spoil -= 1
            self.say("its answer breaks off", call=call)
            link.write(data[: len(data) // 2])
            link.close()
        else:
            link.write(data)
        asyncio.get_running_loop().call_later(self.hold_s, self.end, call)

    def end(self, call):
        link = self.standing.pop(call, None)
        if link is None:
            return
        data = sip("BYE sip:peer@net SIP/2.0", call, "9 BYE", "Reason: Q.850;cause=16\r\n")
        link = link if link in self.links else next(iter(self.links), None)
        self.say("released by the server", call=call, carried=link is not None)
        if link is not None:
            link.write(data)
        self.repeat.append(data)


# ---- the platform's side of a case ----


class Server:
    """A central server's process, started and killed by the case. The port stays its own over a restart."""

    def __init__(self, record, name, block, answer_ms=20, hold_ms=9000):
        self.record, self.name, self.block, self.times = record, name, block, (answer_ms, hold_ms)
        self.host, self.port, self.starts, self.process, self.state, self.born_ms = "127.0.0.1", free_port(), 0, None, 0, 0

    async def start(self):
        self.starts += 1
        mark = f"{self.name}/{self.starts}"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "server", self.name, self.host, str(self.port), *map(str, self.times), mark,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, preexec_fn=end_with_parent)
        ready = asyncio.get_running_loop().create_future()
        self.reader = asyncio.get_running_loop().create_task(self._read(self.process, ready))
        await asyncio.wait_for(ready, 10)

    async def _read(self, process, ready):
        while line := await process.stdout.readline():
            row = json.loads(line)
            self.record(f"server: {row.pop('did')}", **{k: v for k, v in row.items() if k != "t"})
            if not ready.done():
                ready.set_result(None)

    def command(self, text):
        self.process.stdin.write(text.encode() + b"\n")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.record("server: process killed", server=self.name, process=f"{self.name}/{self.starts}")

    def row(self):
        return {"host": self.name, "dial": f"{self.host}:{self.port}", "site": "dakar", "class": "small",
                "block": self.block, "health": ("Ready", "Terminating", "Gone")[self.state], "share": 1,
                "born_ms": self.born_ms}

    def binary(self):
        return struct.pack(">I4sHBBBHIQ", int(self.name[2:], 16), socket.inet_aton(self.host), self.port, self.state, 0,
                           0, self.block, 1000, self.born_ms)


class Feed:
    """A control feed: numbered events, an empty frame each second. `lag_s`: all that it writes comes so much later."""

    def __init__(self, record, servers, lag_s=0.0, frames=()):
        self.record, self.servers, self.frames, self.lag_s = record, servers, list(frames), lag_s
        self.queues, self.asked = {}, 0
        self.known = {"n": 1, "events": [
            {"n": 1, "members": {"seq": 1, "whole": True, "hosts": [s.row() for s in servers]}}]}
        if not frames:
            self.frames.append(self._frame(1, servers))

    def _frame(self, kind, servers):
        data = b"".join(s.binary() for s in servers)
        return struct.pack(">IQB", 9 + len(data), len(self.frames) + 1, kind) + data

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, *servers):
        self.frames.append(self._frame(2, servers))
        self.record("feed: event", number=len(self.frames), servers=[s.row() for s in servers])
        for queue in self.queues.values():
            self._put(queue, self.frames[-1])

    def _put(self, queue, data):
        queue.put_nowait((time.monotonic() + self.lag_s, data))

    async def _beat(self, queue):
        while True:
            await asyncio.sleep(1)
            self._put(queue, struct.pack(">IQB", 9, len(self.frames), 0))

    async def _deliver(self, writer, queue):
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            writer.write(data)

    async def serve(self, reader, writer):
        tasks, queue = [], asyncio.Queue()
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.asked += 1
            self.record("feed: asked", after=last)
            if self.frames[last:]:
                self._put(queue, b"".join(self.frames[last:]))
            self.queues[writer] = queue
            tasks = [asyncio.create_task(self._beat(queue)), asyncio.create_task(self._deliver(writer, queue))]
            await reader.read()  # until the border proxy closes
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            self.queues.pop(writer, None)
            writer.close()

    async def kill(self):
        self.server.close()
        for writer in list(self.queues):
            writer.close()


class Proxy:
    """One border proxy, started with the deploy file's own line."""

    def __init__(self, record, folder, name, feed, sockets=256, settings=None, memory_mb=192):
        self.record, self.name, self.feed, self.port = record, name, feed, free_port()
        self.config, self.log = Path(folder) / f"{name}.json", Path(folder) / f"{name}.log"
        self.sockets, self.settings, self.process, self.starts = sockets, settings or SETTINGS, None, 0
        self.memory_mb = memory_mb

    def write(self, known=None):
        self.config.write_text(json.dumps({
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": f"{0x8C1F30D27A5BE964 + self.starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}, "feed": f"127.0.0.1:{self.feed.port}",
            "known": known or self.feed.known, "settings": self.settings}))

    def start(self, known=None):
        self.starts += 1
        self.write(known)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = dict(os.environ, GW_NAME=self.name, GW_LISTEN=f"127.0.0.1:{self.port}", GW_CONFIG=str(self.config),
                       PYTHONDONTWRITEBYTECODE="1")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=open(self.log, "a"),
                                        preexec_fn=end_with_parent)
        self.record("proxy: started", proxy=self.name)

    async def ready(self):
        for _ in range(300):
            with contextlib.suppress(OSError):
                caller = Caller(self.record, self)
                await caller.open()
                caller.write(TEST, bytes(8), (157, b"\0"))
                await until(lambda: caller.passed, 2)
                caller.close()
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    def reload(self, feed):
        """A new configuration that names another feed, and SIGHUP."""
        self.feed = feed
        self.write()
        self.process.send_signal(signal.SIGHUP)
        self.record("proxy: SIGHUP, the feed has moved", proxy=self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.record("proxy: killed", proxy=self.name)


class Caller:
    """One connection of callers. `hears`: it answers each release, as the protocol page leaves it free to."""

    all = []

    def __init__(self, record, proxy, hears=True):
        self.all.append(self)
        self.hears = hears
        self.record, self.proxy, self.got, self.passed, self.ended = record, proxy, {}, False, False

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    def write(self, kind, call, *values):
        body = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in values)
        self.writer.write(struct.pack(">HB", 9 + len(body), kind) + call + body)

    def setup(self, call, dest=0, at=None, within=3000, kind=b"timetable"):
        figures = f"dest:{dest};width:1;via:-1" + (f";at:{at}" if at else "")
        number = call.hex()[::-1].encode()
        self.record("caller: names a call" if at else "caller: set-up", call=call.hex(), proxy=self.proxy.name, dest=dest,
                    **({"stands_at": at} if at else {}))
        self.write(SETUP, call, (129, kind), (131, b"%d" % within), (137, number), (139, figures.encode()), (159, BODY))
        return call

    def release(self, call):
        self.record("caller: release", call=call.hex())
        self.write(RELEASE, call, (157, b"\x10"))

    async def _read(self):
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                buffer += data
                while len(buffer) >= 2 and len(buffer) >= 2 + (size := buffer[0] << 8 | buffer[1]):
                    self._take(buffer[2], bytes(buffer[3:11]), bytes(buffer[11 : 2 + size]))
                    del buffer[: 2 + size]
        self.ended = True

    def _take(self, kind, call, data):
        values, at = {}, 0
        while at + 3 <= len(data):
            size = data[at + 1] << 8 | data[at + 2]
            values[data[at]] = data[at + 3 : at + 3 + size]
            at += 3 + size
        if kind == RESULT:
            self.passed = values.get(157) == b"\1"
            return
        cause = values.get(157, b"\0")[0]
        self.got.setdefault(call, []).append((kind, cause))
        if kind == ANSWER:
            self.record("caller: answer", call=call.hex(), proxy=self.proxy.name,
                        own=values.get(159, b"").startswith(call.hex().encode()))
        elif kind == RELEASE:
            self.record("caller: told release", call=call.hex(), proxy=self.proxy.name, cause=cause)
            if self.hears:
                self.write(HEARD, call)

    def close(self):
        if hasattr(self, "writer"):
            self.writer.close()


class CannotRun(Exception):
    """The case could not be played."""


async def until(done, seconds):
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            raise CannotRun("a condition of the case did not come true")
        await asyncio.sleep(0.01)


def call_ids(start):
    n = int.from_bytes(os.urandom(4), "big") << 32 | start
    while True:
        n += 1
        yield n.to_bytes(8, "big")


def released_while_standing(record):
    """Calls whose caller was told that they are over while the process that answered them held them: it lives, has not
    released them, and neither caller nor border proxy released them to it."""
    found, over, holder = [], {}, {}
    for row in record.rows:  # in order of time as this process saw it
        what, call = row["what"], row.get("call")
        if what == "server: answered: stands":
            holder[call] = row["process"]
        elif what in ("server: released by the server", "server: released by the border proxy", "caller: release"):
            over.setdefault(call, row["at"])
        elif what == "server: process killed":
            for other, process in holder.items():
                if process == row["process"]:
                    over.setdefault(other, row["at"])
    answered = {row["call"] for row in record.rows if row["what"] == "caller: answer"}
    for row in record.rows:
        call = row.get("call")
        if row["what"] == "caller: told release" and call in answered and call in holder:
            # 50 ms of slack, since two processes report to this one
            if call not in over or over[call] > row["at"] + 0.05:
                found.append({"call": call, "told_at": row["at"], "cause": row["cause"], "server": holder[call],
                              "really_over_at": over.get(call)})
    return found


def play(record_path, scenario):
    """Writes the record to `record_path`. Runs `scenario(record, folder for files, trouble, started)`; returns the exit code. `started` collects what has
    to be ended. The scenario returns the breaks that it found."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        started = []
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(scenario(record, scratch, trouble, started), 110)
            finally:
                for thing in started:
                    ended = thing.kill()
                    if ended is not None:
                        await ended
                for caller in Caller.all:
                    caller.close()
                await asyncio.sleep(0.2)  # for the ends of the connections

    async def stoppable():
        """Ended early by a signal, the case still ends what it started."""
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        breaks = asyncio.run(stoppable())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record("verdict", code=2, why=f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record("verdict", code=int(bool(breaks)), trouble=trouble, breaks=breaks)
    print(f"TROUBLE={int(trouble)}: {len(breaks)} breaks of the rule", *breaks[:5], sep="\n")
    return int(bool(breaks))


if __name__ == "__main__" and sys.argv[1:2] == ["server"]:
    name, host, port, answer_ms, hold_ms, mark = sys.argv[2:]
    asyncio.run(Central(name, host, int(port), int(answer_ms) / 1000, int(hold_ms) / 1000, mark).run())
