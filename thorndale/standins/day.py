"""Plays a scripted day: proxies as real processes, boxes, book and callers in this one, the auditor over all."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter

import uvloop

from thorndale.config.settings import Limits
from thorndale.net.clock import now_us
from thorndale.sip.transaction import Times
from thorndale.standins.audit import RULES, Auditor
from thorndale.standins.box import Box
from thorndale.standins.callers import Callers, Kind, Want
from thorndale.standins.poolbook import PoolBook
from thorndale.standins.processor import Work
from thorndale.standins.script import rules_of, settings_of

START_S = 15  # a proxy that has not started by then will not
PORTS_FROM, PORTS, PORTS_EACH = 20_000, 12_000, 64
AGE_STEPS = 20  # steps in which an ageing box gets slower


class DayError(Exception):
    """The day could not be played."""


def draw(seed):
    """A generator of shares from 0 to 1: a linear congruential one, its high bits."""
    state = [seed & (1 << 64) - 1]

    def chance():
        state[0] = (state[0] * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (state[0] >> 40) / (1 << 24)

    return chance


def free_port(taken):
    """A loopback port free for UDP and TCP. It lies below the range from which systems give ports to connections,
    one of which could take it before its owner does; days played side by side begin at different places."""
    port = PORTS_FROM + os.getpid() * PORTS_EACH % PORTS
    while True:
        port = PORTS_FROM + (port + 1 - PORTS_FROM) % PORTS
        if port in taken:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, contextlib.suppress(OSError):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            taken.add(port)
            return port


class Player:
    def __init__(self, day, calls=0, command=None, folder=None):
        """`calls`: this many first tries in place of the day's length; `command` starts a proxy, its settings file
        appended."""
        self.day, self.calls = day, calls
        self.command = command or [sys.executable, "-m", "thorndale", "run"]
        self.folder = folder
        self.chance = draw(day.seed)
        self.count, self.per_second, self.lag = Counter(), {}, []
        self.processes, self.files, self.left, self.seconds = {}, {}, {}, 0.0
        self.killed = set()  # process ids of proxies that a fault has killed
        self.rate_factor, self.only = 1.0, []
        self.tasks, self.faults = [], []
        self.wrong_type, self.editions, self.edition = 0, Counter(), 1
        self.observer = None  # (now, place, way, bytes) of every message at the stand-ins, beside the auditor

    # ---- what callers report ----

    def ledger(self, now, event, attempt):
        name = self.day.types[attempt.want.kind].name
        second = (now - self.began) // 1_000_000
        row = self.per_second.setdefault(second, Counter())
        key = "redials" if event == "offered" and attempt.tries else event
        self.count[(name, key)] += 1
        row[key] += 1
        if event == "stood":
            lag = now - attempt.sent_at
            self.lag.append(lag)
            if now - attempt.want.first_at <= self.callers.kinds[attempt.want.kind].target_us:
                self.count[(name, "in time")] += 1

    def sorted_as(self, number, sorted_):
        """A set-up's type as the proxy's rules have it, against the caller's."""
        name, _, edition = sorted_.rpartition(" ")
        self.editions[edition] += 1
        self.wrong_type += not any(t.name == name and number.startswith(t.prefix) for t in self.day.types)

    def _both(self, *seen):
        self.auditor.saw(*seen)
        self.observer(*seen)

    # ---- the parts ----

    async def play(self):
        day, loop = self.day, asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.faults.append(context))
        limits = Limits(connections=4096)
        times = Times(day.t1_ms * 1000, 8000 * day.t1_ms, 10_000 * day.t1_ms, 64_000 * day.t1_ms)
        taken = set()
        work = {b.name: Work(setup_us=int(b.setup_ms * 1000), answer_us=int(b.setup_ms * 125),
                             release_us=int(b.setup_ms * 125), reject_us=int(b.setup_ms * 90),
                             queue_us=day.queue_ms * 1000, cold_from=day.cold_from, warm_us=day.warm_ms * 1000,
                             fall_multiple=day.fall_multiple, fall_us=day.fall_ms * 1000) for b in day.boxes}
        rules = {"release_us": 500_000, "drain_grace_us": 500_000, "fall_multiple": day.fall_multiple,
                 "fall_us": day.fall_ms * 1000}
        boxes = {n: (w.setup_us, w.cold_from, w.warm_us) for n, w in work.items()}
        self.auditor = Auditor(rules, boxes)
        saw = self._both if self.observer else self.auditor.saw
        self.book = PoolBook(loop, limits, free_port(taken), int(day.notice_s * 1e6), self.chance, saw, times)
        self.boxes = {b.name: Box(loop, limits, b.name, b.transport, free_port(taken), work[b.name], b.lines,
                                  self.chance, saw, times) for b in day.boxes}
        ports = [free_port(taken) for _ in range(day.proxies)]
        kinds = [Kind(t.name, t.prefix, t.part, t.setup_target_ms * 1000, t.guard_ms * 1000, t.patience_s,
                      t.hold_ms * 1000, t.revenue) for t in day.types]
        self.callers = Callers(loop, limits, free_port(taken), kinds, [("127.0.0.1", p) for p in ports], self.chance,
                               self.ledger, saw, times, day.cancel_part, day.redials)
        with tempfile.TemporaryDirectory(prefix="thorndale-day-") as temporary:
            folder = self.folder or temporary
            try:
                self.book.start()
                for box in self.boxes.values():
                    box.note = self.sorted_as
                    box.start(False)
                    self.book.change(now_us(), box.name, "serving", 0)
                self.callers.start()
                uris = [b.uri() for b in self.boxes.values()]
                for n, port in enumerate(ports):
                    name = f"proxy{n + 1}"
                    self.auditor.proxy(name, "127.0.0.1", port)
                    self.files[name] = f"{folder}/{name}.json5"
                    with open(self.files[name], "w", encoding="utf-8") as file:
                        json.dump(settings_of(day, n, port, uris, self.book.uri(), folder), file, indent=1)
                    with open(f"{folder}/{name}.rules", "w", encoding="utf-8") as file:
                        file.write(rules_of(day))
                    self.spawn(name)
                await asyncio.gather(*(self.started(name) for name in self.processes))
                await self._traffic()
                await self._end(folder)
                if self.faults:
                    raise DayError(f"a stand-in failed: {self.faults[0]}")
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
                for process in self.processes.values():
                    if process.poll() is None:
                        process.kill()
                    process.wait()
                for agent in (self.callers, self.book, *self.boxes.values()):
                    await agent.close()
        return self.auditor.finish(now_us())

    def spawn(self, name):
        self.processes[name] = subprocess.Popen(
            [*self.command, self.files[name]], stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
            stderr=open(self.files[name] + ".err", "ab"))  # noqa: SIM115 - the child's own from now on

    async def started(self, name):
        """Waits until the proxy says so in its log; False where it was killed before."""
        path, process = self.files[name].replace(".json5", ".log"), self.processes[name]
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            if process.poll() is not None:
                if process.pid in self.killed:
                    return False
                with open(self.files[name] + ".err", encoding="utf-8", errors="replace") as file:
                    raise DayError(f"{name} ended with {process.returncode}: {file.read()[-800:]}")
            with contextlib.suppress(OSError), open(path, encoding="utf-8") as file:
                if f'"pid": {process.pid}' in file.read():
                    return True
            await asyncio.sleep(0.03)
        raise DayError(f"{name} did not start within {START_S} s")

    async def _traffic(self):
        """First tries at the day's rate, and its faults at their moments."""
        day, chance, callers = self.day, self.chance, self.callers
        groups = list(dict.fromkeys(b.trunk_group for b in day.boxes))
        self.began = now_us()
        self.plan = sorted(day.faults, key=lambda f: f.at)
        for fault in self.plan:
            self._task(self._fault(fault))
        serial, at = 0, self.began
        end = self.began + int(day.seconds * 1e6)
        while (serial < self.calls) if self.calls else (at < end):
            now = now_us()
            while at <= now:
                kind, left = 0, chance()
                while kind < len(day.types) - 1 and left >= day.types[kind].part:
                    left -= day.types[kind].part
                    kind += 1
                group = int(chance() * len(groups))
                tail = "00" if chance() < day.busy_part else f"{1 + int(chance() * 99):02d}"
                number = f"{day.types[kind].prefix}{group}{int(chance() * 1e5):05d}{tail}"
                caller = f"+22177{serial % 10_000_000:07d}"
                if self.only and chance() < self.rate_part:
                    proxy = self.only[int(chance() * len(self.only))]
                else:
                    proxy = int(chance() * day.proxies)
                transport = "tcp" if chance() < day.tcp_part else "udp"
                callers.ring(now, Want(serial, kind, caller, number, now), proxy, transport)
                serial += 1
                at += int(1e6 * 2 * chance() / (day.rate * self.rate_factor)) + 1
                if serial == self.calls:
                    break
            callers.arm()
            await asyncio.sleep(max(0.001, (at - now_us()) / 1e6))
        self.seconds = (now_us() - self.began) / 1e6

    def _task(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _fault(self, fault):
        await asyncio.sleep(fault.at)
        kind, span = fault.kind, fault.seconds
        if kind == "burst":
            self.rate_factor = fault.size
            await asyncio.sleep(span)
            self.rate_factor = 1.0
        elif kind == "one proxy":
            self.only, self.rate_part = [int(n[5:]) - 1 for n in fault.who], fault.size
            await asyncio.sleep(span)
            self.only = []
        elif kind == "book lost":
            self.book.forget_all()
            self.book.mute = True
            await asyncio.sleep(span)
            self.book.mute = False
        elif kind == "book muddled":
            self.book.muddle = True
            await asyncio.sleep(span)
            self.book.muddle = False
        elif kind.startswith("rules of proxy"):
            self.edition += 1
            text = rules_of(self.day, self.edition)
            for name in fault.who:
                with open(self.files[name].replace(".json5", ".rules"), "w", encoding="utf-8") as file:
                    file.write(text[:-9] if kind.endswith("cut off") else text)
                self.processes[name].send_signal(signal.SIGHUP)
        elif kind == "proxy killed":
            for name in fault.who:
                self.killed.add(self.processes[name].pid)
                self.processes[name].kill()
                self.processes[name].wait()
                self.auditor.did(now_us(), "killed", name)
            await asyncio.sleep(span)
            for name in fault.who:
                self.spawn(name)
                if await self.started(name):
                    self.auditor.did(now_us(), "up", name)
        elif kind == "proxy stopped":
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGSTOP)
                self.auditor.did(now_us(), "stopped", name)
            await asyncio.sleep(span)
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGCONT)
                self.auditor.did(now_us(), "went on", name)
        else:
            await asyncio.gather(*(self._box_fault(fault, self.boxes[name]) for name in fault.who))

    async def _box_fault(self, fault, box):
        kind, span, wall = fault.kind, fault.seconds, lambda: time.time_ns() // 1_000_000
        if kind == "dies":
            await box.die()
            self.book.change(now_us(), box.name, "gone", 0)
            await asyncio.sleep(span)
            box.start(True)
            self.book.change(now_us(), box.name, "serving", wall())
        elif kind == "drains":
            self.book.change(now_us(), box.name, "draining", 0)
            await asyncio.sleep(self.day.drain_s)
            box.stop_all(now_us())
            box.arm()
            await asyncio.sleep(0.2)
            await box.die()
            self.book.change(now_us(), box.name, "gone", 0)
            await asyncio.sleep(span)
            box.start(True)
            self.book.change(now_us(), box.name, "serving", wall())
        elif kind == "slow":
            box.processor.slowness = fault.size
            await asyncio.sleep(span)
            box.processor.slowness = 1.0
        elif kind == "ages":
            for step in range(1, AGE_STEPS + 1):
                box.processor.slowness = 1 + (fault.size - 1) * step / AGE_STEPS
                await asyncio.sleep(span / AGE_STEPS)
            box.processor.slowness = 1.0
        else:
            name = {"hangs": "mute", "loses answers": "lose_answers", "resets": "reset_part", "floods": "flood",
                    "reports late": "report_late_us"}[kind]
            size = int(fault.size * 1e6) if kind == "reports late" else fault.size
            setattr(box, name, size)
            await asyncio.sleep(span)
            setattr(box, name, 0)

    async def _end(self, folder):
        """Lets the last calls come to their end, then stops the proxies and counts what they had left."""
        for fault in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(fault, BaseException):
                raise fault
        end = time.monotonic() + max(t.patience_s for t in self.day.types) + 4
        while time.monotonic() < end and any(t.state in ("ringing", "cancelling") for t in self.callers.trying):
            await asyncio.sleep(0.05)
        self.callers.hang_up_all(now_us())
        await asyncio.sleep(0.5)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            else:
                raise DayError(f"{name} had ended with {process.returncode}")
        end = time.monotonic() + 80 * self.day.t1_ms / 1000 + 10
        while time.monotonic() < end and any(p.poll() is None for p in self.processes.values()):
            await asyncio.sleep(0.05)
        for name, process in self.processes.items():
            if process.poll() is None:
                raise DayError(f"{name} did not stop")
            with open(self.files[name].replace(".json5", ".log"), encoding="utf-8") as file:
                last = json.loads(file.readlines()[-1])
            self.left[name] = last
            if process.returncode:
                with open(self.files[name] + ".err", encoding="utf-8", errors="replace") as file:
                    raise DayError(f"{name} ended with {process.returncode}: {file.read()[-800:]}")


def play(day, calls=0, command=None, folder=None):
    """Plays the day; gives the player, and its breaks."""
    player = Player(day, calls, command, folder)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    return player, breaks


def leaks(player):
    """What proxies had left at their end, by name, where it is not nothing."""
    found = {}
    for name, line in player.left.items():
        held = {k: v for k, v in line.get("left", {"no last line": 1}).items() if v}
        if line.get("tasks"):
            held["tasks"] = line["tasks"]
        if line.get("descriptors", 0) > 0:
            held["descriptors"] = line["descriptors"]
        if held:
            found[name] = held
    return found


def exit_code(player, breaks):
    return 1 if breaks or leaks(player) or player.wrong_type else 0


__all__ = ["DayError", "Player", "RULES", "exit_code", "leaks", "play"]
