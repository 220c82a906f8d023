"""Case 9: releases go to a bad client alone, and the callers of the calls that are over never hear."""

import asyncio
import contextlib
import os
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import BODY, RELEASE, SETUP, Caller, Feed, Proxy, Server, call_ids, play  # noqa: E402

RELEASE_S, SLACK_S = 1.0, 0.05
REST_S = 4.0  # the protocol page: callers close a connection that had no call on it for 4 s


class BadClient:
    """Sends a hundred requests and takes them back at once, again and again, on one connection; reads what it is
    sent."""

    def __init__(self, port):
        self.port, self.got = port, bytearray()

    async def run(self):
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        reading = asyncio.create_task(self.read(reader))
        with contextlib.suppress(OSError):
            while True:
                out = bytearray()
                for _ in range(100):
                    call = os.urandom(8)
                    values = (129, b"timetable"), (131, b"3000"), (137, call.hex().encode()), \
                             (139, b"dest:0;width:1;via:-1"), (159, BODY)
                    body = b"".join(struct.pack(">BH", code, len(v)) + v for code, v in values)
                    out += struct.pack(">HB", 9 + len(body), SETUP) + call + body
                    out += struct.pack(">HB", 13, RELEASE) + call + b"\x9d\x00\x01\x10"
                self.writer.write(out)
                await self.writer.drain()
                await asyncio.sleep(0.3)
        reading.cancel()

    async def read(self, reader):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                self.got += data


async def scenario(record, scratch, trouble, started):
    servers = [Server(record, "s-0000000a", 0, hold_ms=9000), Server(record, "s-0000000b", 1, hold_ms=9000)]
    started += servers
    for server in servers:
        await server.start()
    feed = Feed(record, servers)
    started.append(feed)
    await feed.start()
    proxy = Proxy(record, scratch, "n1", feed)
    started.append(proxy)
    proxy.start()
    await proxy.ready()
    ids = call_ids(0)
    steady = await Caller(record, proxy, hears=False).open()  # a connection that is always in use
    ended = asyncio.Event()

    async def usual():
        n = 0
        while not ended.is_set():
            steady.setup(next(ids), dest=n % 2)
            n += 1
            await asyncio.sleep(1)

    async def passing():
        """A connection that makes some calls and is closed once it has rested."""
        caller = await Caller(record, proxy, hears=False).open()
        for n in range(4):
            caller.setup(next(ids), dest=n % 2)
            await asyncio.sleep(0.1)
        await asyncio.sleep(REST_S)
        caller.close()
        record("caller: closes a resting connection")

    task, bad = asyncio.create_task(usual()), BadClient(proxy.port)
    await asyncio.sleep(20)  # the releases of the first ten calls are told and, as is free to callers, not answered
    record("bad client begins" if trouble else "no bad client")
    attack = asyncio.create_task(bad.run()) if trouble else None
    for _ in range(5):
        await asyncio.gather(passing(), asyncio.sleep(5))
    await asyncio.sleep(12)
    ended.set()
    await task
    if attack:
        attack.cancel()
    told = {}
    for row in record.rows:
        if row["what"] == "caller: told release":
            told.setdefault(row["call"], row["at"])
    answered = {row["call"] for row in record.rows if row["what"] == "caller: answer"}
    now = record.rows[-1]["at"]
    breaks = []
    for row in record.rows:
        if row["what"] == "server: released by the server" and row["call"] in answered:
            limit = row["at"] + RELEASE_S + SLACK_S
            if limit < now and told.get(row["call"], now) > limit:
                breaks.append({"call": row["call"], "released_at": row["at"], "told_at": told.get(row["call"]),
                               "sent_to_bad_client": bytes.fromhex(row["call"]) in bytes(bad.got)})
    record("usual calls", answered=len(answered), told=len(told))
    return breaks


sys.exit(play(Path(__file__).resolve().parent / "record.txt", scenario))
