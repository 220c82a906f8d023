"""Memory of a border proxy on the platform over a long run, by kind of object.

    python -m bench.memory --seconds 240 --rate 100 [--keep] [--port 25080]

One real proxy against the platform's stand-in on loopback. Ids and callers' connections are always new, each
connection ends by a reset, and central servers are replaced one after the other by new ones with new ids. At each quarter its anonymous memory is
read from outside; after the first load and at the end the proxy tells its objects by kind, how many of them only the
collector ends, and what is left once the allocator was asked to give back what it holds free. With --keep no server
is replaced.
"""

import argparse
import asyncio
import collections
import ctypes
import gc
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from pathlib import Path

from thorndale.standins.platform import Callers, CentralServer, ControlFeed, configuration

SETTINGS = {
    "tickMs": 1.0,
    "nInstances": 1,
    "discovery": "automatic",
    "tenants": [],
    "classes": [{"name": "timetable", "goalTimeMs": 1000.0, "giveUpMs": 3000.0, "worth": 1.0}],
    "familyInfo": {"classHoldMs": [500.0], "classWidth": [1], "guardMs": 100.0, "skilledPools": [[0, 1, 2]]},
    "ceilings": {
        "sendCap": 5,
        "mostHeld": 2000,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "dialTimeoutMs": 500.0,
    },
    "rules": {"drainGraceMs": 500.0, "startCapacity": 0.28, "warmUpMs": 3000.0, "fallMultiple": 2.0, "fallMs": 1500.0},
}
CALLS = 4  # calls on each connection
REPLACED_S = 4.0  # s between two replacements of a central server


def resident_kb():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") // 1024


def anonymous_kb(pid):
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("Anonymous:"))


def kinds():
    found = collections.Counter(type(thing).__name__ for thing in gc.get_objects())
    return dict(found.most_common(40))


def told(*_):
    """What is there, what of it only the collector ends, and what the allocator holds free."""
    row = {"memory_kb": resident_kb(), "objects": kinds(), "blocks": sys.getallocatedblocks()}
    row["ended_by_collector"] = gc.collect()
    row["after_collector"] = {"memory_kb": resident_kb(), "objects": kinds(), "blocks": sys.getallocatedblocks()}
    ctypes.CDLL(None).malloc_trim(0)
    row["after_trim_kb"] = resident_kb()
    print("MEMORY " + json.dumps(row), file=sys.stderr, flush=True)


def proxy():
    """The program as it is, with a signal that makes it tell."""
    signal.signal(signal.SIGUSR1, told)
    from thorndale.node.__main__ import main

    sys.exit(main())


class Play:
    def __init__(self, folder, given):
        self.folder, self.rate, self.keep, self.port = folder, given.rate, given.keep, given.port
        self.calls, self.names, self.outside = 0, 0, []

    async def server(self):
        self.names += 1
        made = CentralServer(f"s-{self.names:08x}", hold_s=0.4)
        return await made.start("127.0.0.1")

    async def offer(self, seconds):
        """Connections of CALLS calls each, one after the other."""
        loop = asyncio.get_running_loop()
        began, sent, tasks = loop.time(), 0, set()
        while loop.time() - began < seconds:
            while sent < (loop.time() - began) * self.rate / CALLS:
                sent += 1
                task = loop.create_task(self.one_connection())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    async def one_connection(self):
        caller = await Callers().open("127.0.0.1", self.port)
        for _ in range(CALLS):
            self.calls += 1
            call = (0x9B1F << 48 | self.calls).to_bytes(8, "big")
            caller.setup(call, figures=b"dest:%d;width:1;via:-1" % (self.calls % 3))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        end = caller.writer.transport.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await caller.close()

    async def replace(self):
        at = 0
        while True:
            await asyncio.sleep(REPLACED_S)
            old, new = self.servers[at], await self.server()
            self.servers[at] = new
            self.feed.add(
                2,
                (int(old.name[2:], 16), old.host, old.port, 1, at, 0),
                (int(new.name[2:], 16), new.host, new.port, 0, at, 0),
            )
            await asyncio.sleep(1.5)
            self.feed.add(2, (int(old.name[2:], 16), old.host, old.port, 2, at, 0))
            await old.stop()
            at = (at + 1) % len(self.servers)

    async def run(self, seconds):
        self.servers = [await self.server() for _ in range(3)]
        self.feed = await ControlFeed().start("127.0.0.1")
        self.feed.add(1)
        path = self.folder / "config.json"
        path.write_text(configuration(f"127.0.0.1:{self.port}", self.feed, self.servers, SETTINGS))
        log = self.folder / "log"
        with open(log, "w") as file:
            process = subprocess.Popen(
                [sys.executable, "-m", "bench.memory", "--proxy"],
                stderr=file,
                env=dict(os.environ, GW_CONFIG=str(path)),
            )
        await asyncio.sleep(2)
        replacing = None if self.keep else asyncio.get_running_loop().create_task(self.replace())
        try:
            await self.offer(10)
            for quarter in range(5):
                if quarter:
                    await self.offer(seconds / 4)
                await asyncio.sleep(4)  # what stands ends, so that the same is there each time
                self.outside.append(anonymous_kb(process.pid))
                if quarter in (0, 4):
                    process.send_signal(signal.SIGUSR1)
                    await asyncio.sleep(1)
                    self.outside[-1:] += [anonymous_kb(process.pid)] if quarter == 0 else []
        finally:
            if replacing:
                replacing.cancel()
            process.kill()
            process.wait()
        return [json.loads(line[7:]) for line in log.read_text().splitlines() if line.startswith("MEMORY ")]


def shown(rows):
    for n, row in enumerate(rows):
        after = row["after_collector"]
        print(
            f"{('after the first load', 'at the end')[n]}: {row['memory_kb']} KB, {sum(row['objects'].values())} objects, {row['blocks']} blocks; "
            f"the collector ends {row['ended_by_collector']}, leaves {after['memory_kb']} KB, "
            f"{sum(after['objects'].values())} objects, {after['blocks']} blocks; trimmed {row['after_trim_kb']} KB"
        )
    for what in ("objects", "after"):
        first, last = (
            r["objects"] if what == "objects" else r["after_collector"]["objects"] for r in (rows[0], rows[-1])
        )
        grown = sorted(((last[k] - first.get(k, 0), k) for k in last), reverse=True)[:12]
        print(
            "grown",
            "before the collector:" if what == "objects" else "after it:",
            ", ".join(f"{k} {n}" for n, k in grown if n > 0),
        )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=240)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--port", type=int, default=25080)
    parser.add_argument("--proxy", action="store_true")
    given = parser.parse_args()
    if given.proxy:
        proxy()
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder), given)
        rows = asyncio.run(play.run(given.seconds))
        print(f"{play.calls} calls, {play.names} servers, {os.cpu_count()} cores")
        print("anonymous KB, after the first load (before and after telling) and at each quarter:", play.outside)
        shown(rows)


if __name__ == "__main__":
    main()
