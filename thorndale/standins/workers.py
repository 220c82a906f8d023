"""Runs the stand-in servers and callers of a day in worker processes, to generate load for hundreds of proxies.

Each worker writes the messages at its sockets to a file, timestamped with the clock that all processes share; after the
day the files are merged in the order of time and replayed to the auditor. Messages that no rule uses (ACKs, provisional
answers) are only counted.
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

from thorndale.standins.groups import StandInGroup

SERVERS_PER_WORKER, CALL_RATE_PER_WORKER = 8, 150  # servers, or calls/s of callers, well within one worker's capacity
PROXY_MEMORY_BYTES = 45 << 20
SPARE_DESCRIPTORS = 64  # of a process, besides its sockets
CHUNK_BYTES = 1 << 20  # of an observation file, written or read at once


class ObservationLog:
    """Writes observations to a file; `observe` has the signature of the auditor's."""

    def __init__(self, path):
        self.file, self.buffer, self.size, self.skipped = open(path, "wb"), [], 0, 0  # noqa: SIM115 - closed by close
        self.encode = msgspec.msgpack.Encoder().encode

    def observe(self, now, endpoint, event, data):
        if data.startswith((b"ACK ", b"SIP/2.0 1")):
            self.skipped += 1
            return
        record = self.encode((now, endpoint, event, data))
        self.buffer.append(len(record).to_bytes(4, "big") + record)
        self.size += len(record)
        if self.size > CHUNK_BYTES:
            self.flush()

    def flush(self):
        self.file.write(b"".join(self.buffer))
        self.buffer, self.size = [], 0

    def close(self):
        self.flush()
        self.file.close()


def read_observations(path):
    """Yields the observations of a file, oldest first. A heap sorts them, because messages that a process reads in one
    batch may be written slightly out of order."""
    decode = msgspec.msgpack.Decoder(tuple[int, str, str, bytes]).decode
    heap, serial = [], 0
    with open(path, "rb") as file:
        remainder = b""
        while data := file.read(CHUNK_BYTES):
            data, offset = remainder + data, 0
            while len(data) - offset >= 4 and len(data) - offset - 4 >= (
                size := int.from_bytes(data[offset : offset + 4], "big")
            ):
                now, endpoint, event, message = decode(data[offset + 4 : offset + 4 + size])
                serial += 1
                heapq.heappush(heap, (now, serial, endpoint, event, message))
                offset += 4 + size
            remainder = data[offset:]
            while len(heap) > 2000:
                yield heapq.heappop(heap)
    while heap:
        yield heapq.heappop(heap)


def listen(conn, loop, on_message, on_end):
    """Reads the pipe in a thread: uvloop would make the pipe non-blocking, which breaks long messages."""

    def wait():
        with contextlib.suppress(EOFError, OSError, RuntimeError):  # the other side has ended, or the loop is closed
            while True:
                loop.call_soon_threadsafe(on_message, conn.recv())
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(on_end)

    threading.Thread(target=wait, daemon=True).start()


def run_worker(conn, path, day, *group_args):
    """The main function of a worker process: carries out commands until 'close'."""
    with contextlib.suppress(KeyboardInterrupt), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve_commands(conn, path, day, group_args))


async def _serve_commands(conn, path, day, group_args):
    loop, closed, tasks = asyncio.get_running_loop(), asyncio.Event(), set()
    observations = ObservationLog(path)
    group = StandInGroup(loop, day, observations.observe, *group_args)

    async def carry_out(serial, method, server, values):
        try:
            if server:
                result = getattr(group.servers[server], method)(*values)
            elif method == "close":
                closed.set()
                result = None
            else:
                result = getattr(group, method)(*values)
            if asyncio.iscoroutine(result):
                result = await result
            conn.send((serial, True, result))
        except Exception as error:  # noqa: BLE001 - reported to the sender of the command
            conn.send((serial, False, repr(error)))

    def begin(command):
        task = loop.create_task(carry_out(*command))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    listen(conn, loop, begin, closed.set)
    await closed.wait()
    await group.close()
    observations.close()
    with contextlib.suppress(OSError):
        conn.send((0, True, observations.skipped))


class Worker:
    """A worker process, as its parent controls it."""

    def __init__(self, loop, path, *group_args):
        self.loop, self.path, self.pending, self.serial = loop, path, {}, itertools.count(1)
        context = multiprocessing.get_context("spawn")
        self.conn, worker_conn = context.Pipe()
        self.process = context.Process(target=run_worker, args=(worker_conn, path, *group_args), daemon=True)
        self.process.start()
        worker_conn.close()
        self.skipped = loop.create_future()
        self.skipped.add_done_callback(lambda f: f.cancelled() or f.exception())
        listen(self.conn, loop, self._on_reply, self._on_end)

    def _on_reply(self, reply):
        serial, succeeded, value = reply
        future = self.pending.pop(serial, None) if serial else self.skipped
        if future is not None and not future.done():
            future.set_result(value) if succeeded else future.set_exception(RuntimeError(value))

    def _on_end(self):
        for future in (*self.pending.values(), self.skipped):
            if not future.done():
                future.set_exception(RuntimeError("a process of stand-ins ended unexpectedly"))

    def send_command(self, method, server="", *values):
        """Sends a command: a method of a server or of the group. The returned future need not be awaited."""
        serial, future = next(self.serial), self.loop.create_future()
        future.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.pending[serial] = future
        self.conn.send((serial, method, server, values))
        return future

    async def close(self):
        with contextlib.suppress(RuntimeError, OSError, TimeoutError):
            self.send_command("close")
            await asyncio.wait_for(asyncio.shield(self.skipped), 10)
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
        self.conn.close()


class RemoteServer:
    """The proxy object of a server in a worker process, with the methods that faults use."""

    def __init__(self, worker, name, transport, port):
        self.worker, self.name, self.transport, self.port = worker, name, transport, port

    def uri(self):
        return f"sip:127.0.0.1:{self.port}" + (";transport=tcp" if self.transport == "tcp" else "")

    def start(self, cold):
        self.worker.send_command("start", self.name, cold)

    async def die(self):
        await self.worker.send_command("die", self.name)

    def set(self, name, value):
        self.worker.send_command("set", self.name, name, value)

    def stop_now(self):
        self.worker.send_command("stop_now", self.name)


class WorkerStandIns:
    def __init__(self, loop, day, folder, server_ports, caller_port, proxies, calls, onward):
        """`caller_port`: a function that returns a free port."""
        self.workers, self.caller_workers, self.servers = [], [], {}
        names, plans = list(server_ports), {plan.name: plan for plan in day.boxes}
        for n in range(0, len(names), SERVERS_PER_WORKER):
            own = {name: server_ports[name] for name in names[n : n + SERVERS_PER_WORKER]}
            own_onward = {name: onward[name] for name in own if name in onward}
            worker = Worker(loop, f"{folder}/seen-boxes{n}", day, own, 0, (), 0, 0, 1, own_onward)
            self.workers.append(worker)
            self.servers |= {
                name: RemoteServer(worker, name, plans[name].transport, port) for name, port in own.items()
            }
        count = max(1, -(-int(day.rate) // CALL_RATE_PER_WORKER))
        for n in range(count):
            worker = Worker(loop, f"{folder}/seen-callers{n}", day, {}, caller_port(), proxies, calls, n, count)
            self.workers.append(worker)
            self.caller_workers.append(worker)

    async def open(self):
        await asyncio.gather(*(worker.send_command("open") for worker in self.workers))

    async def run(self, began):
        return max(await asyncio.gather(*(worker.send_command("run", "", began) for worker in self.caller_workers)))

    def drive(self, **values):
        for worker in self.caller_workers:
            worker.send_command("drive", "", values)

    async def quiet(self):
        return all(await asyncio.gather(*(worker.send_command("quiet") for worker in self.caller_workers)))

    def hang_up_all(self):
        for worker in self.caller_workers:
            worker.send_command("hang_up_all")

    async def figures(self):
        return await asyncio.gather(*(worker.send_command("figures") for worker in self.workers))

    async def replay_to(self, auditor, local_observations):
        """Replays all observations of the workers, merged with those of this process, to the auditor."""
        for worker in self.workers:
            await worker.close()
            auditor.messages += (
                worker.skipped.result() if worker.skipped.done() and not worker.skipped.exception() else 0
            )
        gc.disable()  # scanning millions of live small objects again and again takes minutes
        merged = heapq.merge(
            *(read_observations(worker.path) for worker in self.workers),
            sorted(local_observations, key=lambda observation: observation[0]),
            key=lambda observation: observation[0],
        )
        for now, serial, endpoint, event, data in merged:
            if serial < 0:
                auditor.record_event(now, endpoint, event)
            else:
                auditor.observe(now, endpoint, event, data)
        gc.enable()

    async def close(self):
        for worker in self.workers:
            if not worker.conn.closed:
                await worker.close()


def missing_resources(day):
    """A description of the resources that this machine lacks for the day; '' if it has enough."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = max(1, -(-int(day.rate) // CALL_RATE_PER_WORKER))
    server_sockets = min(SERVERS_PER_WORKER, len(day.boxes)) * (day.proxies + 2)
    names = {plan.name for plan in day.boxes}
    links = sum(bool(names.intersection(link.to)) for link in day.links)  # links between proxies share one socket
    needed = SPARE_DESCRIPTORS + max(server_sockets, day.proxies + 2, 2 * links * day.proxies)
    if needed > soft:
        return (
            f"{needed} descriptors in one process, and the limit is {soft}: raise it (ulimit -n) or play fewer proxies"
        )
    with contextlib.suppress(OSError), open("/proc/meminfo", encoding="ascii") as file:
        free_bytes = Counter({line.split(":")[0]: int(line.split()[1]) for line in file})["MemAvailable"] << 10
        needed_bytes = PROXY_MEMORY_BYTES * (day.proxies + count + -(-len(day.boxes) // SERVERS_PER_WORKER))
        if needed_bytes > free_bytes:
            return f"{needed_bytes >> 20} MB of memory, and {free_bytes >> 20} are free: play fewer proxies"
    return ""
