"""Case 10: requests that a bad client takes back at once are kept until their time is up: memory runs out."""

import asyncio
import contextlib
import os
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import BODY, RELEASE, SETTINGS, SETUP, Caller, Feed, Proxy, Server, call_ids, play  # noqa: E402

MEMORY_MB = 64  # the days page: 32 to 192 MB
SECONDS = 40  # for which the bad client sends at most
BATCH = 300  # "hundreds of requests taken back at once"


def memory_mb(pid):
    """What the border proxy's process holds, as the platform sees it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


class BadClient:
    """Sends hundreds of requests and takes them back at once, at full speed on one connection, and reads whatever it is
    sent. They ask for the longest time that their class may."""

    def __init__(self, port):
        self.port, self.sent, self.got = port, 0, 0

    async def run(self):
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        reading = asyncio.create_task(self.read(reader))
        with contextlib.suppress(OSError):
            while not self.writer.is_closing():
                out = bytearray()
                for _ in range(BATCH):
                    call = os.urandom(8)
                    values = ((129, b"timetable"), (131, b"9000"), (137, call.hex().encode()),
                              (139, b"dest:0;width:1;via:-1"), (159, BODY))
                    body = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in values)
                    out += struct.pack(">HB", 9 + len(body), SETUP) + call + body
                    out += struct.pack(">HB", 13, RELEASE) + call + b"\x9d\x00\x01\x10"
                self.writer.write(out)
                await self.writer.drain()
                self.sent += BATCH
                await asyncio.sleep(0)
        reading.cancel()

    async def read(self, reader):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                self.got += len(data)


async def scenario(record, scratch, trouble, started):
    servers = [Server(record, "s-0000000a", 0, hold_ms=3000), Server(record, "s-0000000b", 1, hold_ms=3000)]
    started += servers
    for server in servers:
        await server.start()
    feed = Feed(record, servers)
    started.append(feed)
    await feed.start()
    proxy = Proxy(record, scratch, "n1", feed, settings=SETTINGS, memory_mb=MEMORY_MB)
    started.append(proxy)
    proxy.start()
    await proxy.ready()
    caller, ids = await Caller(record, proxy).open(), call_ids(0)
    bad = BadClient(proxy.port)
    task, breaks, n = None, [], 0
    for _ in range(10):  # usual calls alone
        caller.setup(next(ids), dest=n % 2)
        n += 1
        await asyncio.sleep(0.2)
    record("memory before", mb=memory_mb(proxy.process.pid))
    if trouble:
        task = asyncio.create_task(bad.run())
    end = time.monotonic() + SECONDS
    while time.monotonic() < end and not breaks:
        caller.setup(next(ids), dest=n % 2)
        n += 1
        await asyncio.sleep(0.5)
        held = memory_mb(proxy.process.pid)
        record("memory", mb=held, limit_mb=MEMORY_MB, sent_and_taken_back=bad.sent, sent_to_bad_client=bad.got)
        if proxy.process.poll() is not None or held > MEMORY_MB:
            breaks.append({"memory_mb": held, "limit_mb": MEMORY_MB, "sent_and_taken_back": bad.sent,
                           "alive": proxy.process.poll() is None})
    if task is not None:
        bad.writer.close()
        await asyncio.gather(task, return_exceptions=True)
        for _ in range(6):
            await asyncio.sleep(2)
            record("memory, bad client gone", mb=memory_mb(proxy.process.pid), limit_mb=MEMORY_MB)
    return breaks


sys.exit(play(Path(__file__).resolve().parent / "record.txt", scenario))
