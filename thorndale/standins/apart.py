"""Boxes and callers of a day in several processes, so that hundreds of proxies have enough to do.

Each process writes what its sockets saw to a file, in the clock that all processes share; when the day is over the
auditor is shown all files as one, in the order of time. What no rule rests on (ACKs, provisional answers) is counted
and left out.
"""

import asyncio
import contextlib
import gc
import heapq
import itertools
import multiprocessing
import resource
import threading
from collections import Counter

import msgspec
import uvloop

from thorndale.standins.parts import Some

BOXES_EACH, RATE_EACH = 8, 150  # boxes, and calls a second of callers, that one process carries with ease
BYTES_PROXY = 45 << 20  # bytes that a proxy takes
SPARE = 64  # descriptors of a process beside its sockets
CHUNK = 1 << 20  # bytes of a file of what was seen that are written, and read, at one go


class Heard:
    """Writes what was seen: `saw` as the auditor has it."""

    def __init__(self, path):
        self.file, self.kept, self.size, self.skipped = open(path, "wb"), [], 0, 0  # noqa: SIM115 - closed by close
        self.encode = msgspec.msgpack.Encoder().encode

    def saw(self, now, place, way, data):
        if data.startswith((b"ACK ", b"SIP/2.0 1")):
            self.skipped += 1
            return
        line = self.encode((now, place, way, data))
        self.kept.append(len(line).to_bytes(4, "big") + line)
        self.size += len(line)
        if self.size > CHUNK:
            self.flush()

    def flush(self):
        self.file.write(b"".join(self.kept))
        self.kept, self.size = [], 0

    def close(self):
        self.flush()
        self.file.close()


def heard(path):
    """What a file tells, oldest first: within one process a message read in a batch may be shown a little late."""
    decode = msgspec.msgpack.Decoder(tuple[int, str, str, bytes]).decode
    waiting, serial = [], 0
    with open(path, "rb") as file:
        rest = b""
        while data := file.read(CHUNK):
            data, at = rest + data, 0
            while len(data) - at >= 4 and len(data) - at - 4 >= (size := int.from_bytes(data[at : at + 4], "big")):
                now, place, way, message = decode(data[at + 4 : at + 4 + size])
                serial += 1
                heapq.heappush(waiting, (now, serial, place, way, message))
                at += 4 + size
            rest = data[at:]
            while len(waiting) > 2000:
                yield heapq.heappop(waiting)
    while waiting:
        yield heapq.heappop(waiting)


def listen(conn, loop, heard_, gone):
    """A thread that waits on the pipe: uvloop would set it to non-blocking, which breaks its long messages."""

    def wait():
        with contextlib.suppress(EOFError, OSError, RuntimeError):  # the other side, or the loop, is over
            while True:
                loop.call_soon_threadsafe(heard_, conn.recv())
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(gone)

    threading.Thread(target=wait, daemon=True).start()


def work(conn, path, day, *given):
    """One process: carries out what it is told, until it is told to close."""
    with contextlib.suppress(KeyboardInterrupt), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_live(conn, path, day, given))


async def _live(conn, path, day, given):
    loop, over, tasks = asyncio.get_running_loop(), asyncio.Event(), set()
    seen = Heard(path)
    some = Some(loop, day, seen.saw, *given)

    async def carry_out(serial, what, box, values):
        try:
            if box:
                done = getattr(some.boxes[box], what)(*values)
            elif what == "close":
                over.set()
                done = None
            else:
                done = getattr(some, what)(*values)
            if asyncio.iscoroutine(done):
                done = await done
            conn.send((serial, True, done))
        except Exception as fault:  # noqa: BLE001 - told to whoever asked
            conn.send((serial, False, repr(fault)))

    def begin(told):
        task = loop.create_task(carry_out(*told))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    listen(conn, loop, begin, over.set)
    await over.wait()
    await some.close()
    seen.close()
    with contextlib.suppress(OSError):
        conn.send((0, True, seen.skipped))


class Part:
    """This process's hand on one of the others."""

    def __init__(self, loop, path, *given):
        self.loop, self.path, self.waiting, self.serial = loop, path, {}, itertools.count(1)
        context = multiprocessing.get_context("spawn")
        self.conn, theirs = context.Pipe()
        self.process = context.Process(target=work, args=(theirs, path, *given), daemon=True)
        self.process.start()
        theirs.close()
        self.skipped = loop.create_future()
        self.skipped.add_done_callback(lambda f: f.cancelled() or f.exception())
        listen(self.conn, loop, self._told, self._gone)

    def _told(self, told):
        serial, sound, value = told
        future = self.waiting.pop(serial, None) if serial else self.skipped
        if future is not None and not future.done():
            future.set_result(value) if sound else future.set_exception(RuntimeError(value))

    def _gone(self):
        for future in (*self.waiting.values(), self.skipped):
            if not future.done():
                future.set_exception(RuntimeError("a process of stand-ins ended by itself"))

    def tell(self, what, box="", *values):
        """Awaitable, need not be awaited."""
        serial, future = next(self.serial), self.loop.create_future()
        future.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.waiting[serial] = future
        self.conn.send((serial, what, box, values))
        return future

    async def close(self):
        with contextlib.suppress(RuntimeError, OSError, TimeoutError):
            self.tell("close")
            await asyncio.wait_for(asyncio.shield(self.skipped), 10)
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
        self.conn.close()


class FarBox:
    """A box in another process, as faults need it."""

    def __init__(self, part, name, transport, port):
        self.part, self.name, self.transport, self.port = part, name, transport, port

    def uri(self):
        return f"sip:127.0.0.1:{self.port}" + (";transport=tcp" if self.transport == "tcp" else "")

    def start(self, cold):
        self.part.tell("start", self.name, cold)

    async def die(self):
        await self.part.tell("die", self.name)

    def set(self, name, value):
        self.part.tell("set", self.name, name, value)

    def stop_now(self):
        self.part.tell("stop_now", self.name)


class Apart:
    def __init__(self, loop, day, folder, boxes, callers, proxies, calls, onward):
        """`callers`: a function that gives a free port."""
        self.parts, self.ringing, self.boxes = [], [], {}
        names, plans = list(boxes), {b.name: b for b in day.boxes}
        for n in range(0, len(names), BOXES_EACH):
            own = {name: boxes[name] for name in names[n : n + BOXES_EACH]}
            plans_on = {name: onward[name] for name in own if name in onward}
            part = Part(loop, f"{folder}/seen-boxes{n}", day, own, 0, (), 0, 0, 1, plans_on)
            self.parts.append(part)
            self.boxes |= {name: FarBox(part, name, plans[name].transport, port) for name, port in own.items()}
        count = max(1, -(-int(day.rate) // RATE_EACH))
        for n in range(count):
            part = Part(loop, f"{folder}/seen-callers{n}", day, {}, callers(), proxies, calls, n, count)
            self.parts.append(part)
            self.ringing.append(part)

    async def open(self):
        await asyncio.gather(*(part.tell("open") for part in self.parts))

    async def run(self, began):
        return max(await asyncio.gather(*(part.tell("run", "", began) for part in self.ringing)))

    def drive(self, **values):
        for part in self.ringing:
            part.tell("drive", "", values)

    async def quiet(self):
        return all(await asyncio.gather(*(part.tell("quiet") for part in self.ringing)))

    def hang_up_all(self):
        for part in self.ringing:
            part.tell("hang_up_all")

    async def figures(self):
        return await asyncio.gather(*(part.tell("figures") for part in self.parts))

    async def seen(self, auditor, also):
        """Shows the auditor all that was seen, beside what was seen here: `also`, lists of such lines."""
        for part in self.parts:
            await part.close()
            auditor.messages += part.skipped.result() if part.skipped.done() and not part.skipped.exception() else 0
        gc.disable()  # millions of small objects that stay: looking through them again and again takes minutes
        merged = heapq.merge(
            *(heard(part.path) for part in self.parts), sorted(also, key=lambda line: line[0]), key=lambda line: line[0]
        )
        for now, serial, place, way, data in merged:
            if serial < 0:
                auditor.did(now, place, way)
            else:
                auditor.saw(now, place, way, data)
        gc.enable()

    async def close(self):
        for part in self.parts:
            if not part.conn.closed:
                await part.close()


def lacking(day):
    """What this machine lacks for the day, in words; '' where nothing."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = max(1, -(-int(day.rate) // RATE_EACH))
    boxes = min(BOXES_EACH, len(day.boxes)) * (day.proxies + 2)
    names = {box.name for box in day.boxes}
    links = sum(bool(names.intersection(link.to)) for link in day.links)  # those between proxies take one for all
    most = SPARE + max(boxes, day.proxies + 2, 2 * links * day.proxies)
    if most > soft:
        return f"{most} descriptors in one process, and the limit is {soft}: raise it (ulimit -n) or play fewer proxies"
    with contextlib.suppress(OSError), open("/proc/meminfo", encoding="ascii") as file:
        free = Counter({line.split(":")[0]: int(line.split()[1]) for line in file})["MemAvailable"] << 10
        need = BYTES_PROXY * (day.proxies + count + -(-len(day.boxes) // BOXES_EACH))
        if need > free:
            return f"{need >> 20} MB of memory, and {free >> 20} are free: play fewer proxies"
    return ""
