"""Memory of a border proxy on the platform over a long run, by object type.

    python -m bench.memory --seconds 240 --rate 100 [--keep] [--port 25080]

Runs one real proxy against the platform's stand-in on loopback. Call ids and callers' connections are always new, each
connection ends with a reset, and the central servers are replaced one after another by new ones with new ids. After
each quarter the trial reads the proxy's anonymous memory from /proc. After the first load and at the end, the proxy
itself reports its objects by type, how many objects only the garbage collector frees, and its memory after the
allocator has returned its free pages to the system. With --keep no server is replaced.
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
CALLS_PER_CONNECTION = 4
REPLACE_EVERY_S = 4.0  # between two replacements of a central server


def resident_kb():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") // 1024


def anonymous_kb(pid):
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("Anonymous:"))


def objects_by_type():
    counts = collections.Counter(type(item).__name__ for item in gc.get_objects())
    return dict(counts.most_common(40))


def report_memory(*_):
    """Logs memory and objects before and after a garbage collection, and memory after trimming the allocator."""
    row = {"memory_kb": resident_kb(), "objects": objects_by_type(), "blocks": sys.getallocatedblocks()}
    row["ended_by_collector"] = gc.collect()
    row["after_collector"] = {
        "memory_kb": resident_kb(),
        "objects": objects_by_type(),
        "blocks": sys.getallocatedblocks(),
    }
    ctypes.CDLL(None).malloc_trim(0)
    row["after_trim_kb"] = resident_kb()
    print("MEMORY " + json.dumps(row), file=sys.stderr, flush=True)


def run_proxy():
    """Runs the unchanged program with a signal handler that reports its memory."""
    signal.signal(signal.SIGUSR1, report_memory)
    from thorndale.node.__main__ import main

    sys.exit(main())


class MemoryTrial:
    def __init__(self, folder, options):
        self.folder, self.rate, self.keep_servers, self.port = folder, options.rate, options.keep, options.port
        self.calls, self.servers_started, self.anonymous_samples_kb = 0, 0, []

    async def server(self):
        self.servers_started += 1
        server = CentralServer(f"s-{self.servers_started:08x}", hold_s=0.4)
        return await server.start("127.0.0.1")

    async def offer(self, seconds):
        """Opens connections at a steady rate, each with CALLS_PER_CONNECTION calls."""
        loop = asyncio.get_running_loop()
        began, sent, tasks = loop.time(), 0, set()
        while loop.time() - began < seconds:
            while sent < (loop.time() - began) * self.rate / CALLS_PER_CONNECTION:
                sent += 1
                task = loop.create_task(self.run_connection())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    async def run_connection(self):
        caller = await Callers().open("127.0.0.1", self.port)
        for _ in range(CALLS_PER_CONNECTION):
            self.calls += 1
            call_id = (0x9B1F << 48 | self.calls).to_bytes(8, "big")
            caller.setup(call_id, figures=b"dest:%d;width:1;via:-1" % (self.calls % 3))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        raw_socket = caller.writer.transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await caller.close()

    async def replace(self):
        index = 0
        while True:
            await asyncio.sleep(REPLACE_EVERY_S)
            old, new = self.servers[index], await self.server()
            self.servers[index] = new
            self.feed.add(
                2,
                (int(old.name[2:], 16), old.host, old.port, 1, index, 0),
                (int(new.name[2:], 16), new.host, new.port, 0, index, 0),
            )
            await asyncio.sleep(1.5)
            self.feed.add(2, (int(old.name[2:], 16), old.host, old.port, 2, index, 0))
            await old.stop()
            index = (index + 1) % len(self.servers)

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
        replacing = None if self.keep_servers else asyncio.get_running_loop().create_task(self.replace())
        try:
            await self.offer(10)
            for quarter in range(5):
                if quarter:
                    await self.offer(seconds / 4)
                await asyncio.sleep(4)  # open calls end first, so that all samples are taken in the same state
                self.anonymous_samples_kb.append(anonymous_kb(process.pid))
                if quarter in (0, 4):
                    process.send_signal(signal.SIGUSR1)
                    await asyncio.sleep(1)
                    self.anonymous_samples_kb[-1:] += [anonymous_kb(process.pid)] if quarter == 0 else []
        finally:
            if replacing:
                replacing.cancel()
            process.kill()
            process.wait()
        return [json.loads(line[7:]) for line in log.read_text().splitlines() if line.startswith("MEMORY ")]


def print_report(rows):
    for n, row in enumerate(rows):
        after = row["after_collector"]
        print(
            f"{('after the first load', 'at the end')[n]}: {row['memory_kb']} KB, {sum(row['objects'].values())} objects, {row['blocks']} blocks; "
            f"the collector frees {row['ended_by_collector']}, which leaves {after['memory_kb']} KB, "
            f"{sum(after['objects'].values())} objects, {after['blocks']} blocks; {row['after_trim_kb']} KB after trimming"
        )
    for what in ("objects", "after"):
        first, last = (
            r["objects"] if what == "objects" else r["after_collector"]["objects"] for r in (rows[0], rows[-1])
        )
        grown = sorted(((last[k] - first.get(k, 0), k) for k in last), reverse=True)[:12]
        print(
            "grown",
            "before the collection:" if what == "objects" else "after it:",
            ", ".join(f"{k} {n}" for n, k in grown if n > 0),
        )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=240)
    parser.add_argument("--rate", type=float, default=100)
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--port", type=int, default=25080)
    parser.add_argument("--proxy", action="store_true")
    options = parser.parse_args()
    if options.proxy:
        run_proxy()
    with tempfile.TemporaryDirectory() as folder:
        trial = MemoryTrial(Path(folder), options)
        rows = asyncio.run(trial.run(options.seconds))
        print(f"{trial.calls} calls, {trial.servers_started} servers, {os.cpu_count()} cores")
        print(
            "anonymous KB, after the first load (before and after its memory report) and at each quarter:",
            trial.anonymous_samples_kb,
        )
        print_report(rows)


if __name__ == "__main__":
    main()
