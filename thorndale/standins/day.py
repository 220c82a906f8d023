"""Plays a scripted day: proxies as real processes, boxes, book and callers as stand-ins, the auditor over all.

Few proxies: the stand-ins are in this process. Many, or many calls: they are in several (`apart`).
"""

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter

import uvloop

from thorndale.net.clock import now_us
from thorndale.standins.apart import Apart, lacking
from thorndale.standins.audit import RULES, Auditor
from thorndale.standins.logs import read_events
from thorndale.standins.parts import LIMITS, Here, OnwardPlan, times_of, work_of
from thorndale.standins.poolbook import PoolBook
from thorndale.standins.ports import reserve_port
from thorndale.standins.relay import PROXIES_MOST, Relay, place
from thorndale.standins.script import boxes_of, hop_of, rules_of, settings_of
from thorndale.standins.traffic import draw

START_S = 15  # a proxy that has not started by then will not
START_EACH_S = 0.2  # and so much more for each: they start on the same cores
AGE_STEPS = 20  # steps in which an ageing box gets slower
HERE_PROXIES, HERE_RATE = 32, 300  # proxies, and calls a second, up to which the stand-ins are in this process


class DayError(Exception):
    """The day could not be played."""


class Player:
    def __init__(self, day, calls=0, command=None, folder=None):
        """`calls`: this many first tries in place of the day's length; `command` starts a proxy, its settings file
        appended."""
        self.day, self.calls = day, calls
        self.command = command or [sys.executable, "-m", "thorndale", "run"]
        self.folder = folder
        self.chance = draw(day.seed)
        self.count, self.per_second, self.lag = Counter(), {}, []
        self.connections = {}  # by box on TCP: connections held at most, opened in all
        self.setups, self.waits = {}, {}  # by box: set-ups by the clock's second; us that each waited there
        self.processes, self.files, self.left, self.seconds = {}, {}, {}, 0.0
        self.killed = set()  # process ids of proxies that a fault has killed
        self.kills = Counter()  # how often, by proxy
        self.tasks, self.faults, self.also = [], [], []
        self.wrong_type, self.editions, self.edition = 0, Counter(), 1
        self.observer = None  # (now, place, way, bytes) of every message at the stand-ins, beside the auditor
        self.apart = day.proxies > HERE_PROXIES or day.rate > HERE_RATE

    # ---- what is seen ----

    def _both(self, *seen):
        self.auditor.saw(*seen)
        self.observer(*seen)

    def _later(self, now, place, way, data):
        self.also.append((now, len(self.also), place, way, data))

    def _did(self, what, name):
        if self.apart:
            self.also.append((now_us(), -1, what, name, b""))
        else:
            self.auditor.did(now_us(), what, name)

    # ---- the parts ----

    async def play(self):
        day, loop = self.day, asyncio.get_running_loop()
        lacks = lacking(day)
        if lacks:
            raise DayError(f"the day takes {lacks}")
        loop.set_exception_handler(lambda _, context: self.faults.append(context))
        rules = {
            "release_us": 500_000,
            "drain_grace_us": 500_000,
            "fall_multiple": day.fall_multiple,
            "fall_us": day.fall_ms * 1000,
        }
        work = {b.name: work_of(day, b) for b in day.boxes}
        self.auditor = Auditor(rules, {n: (w.setup_us, w.cold_from, w.warm_us) for n, w in work.items()})
        saw = self._later if self.apart else self._both if self.observer else self.auditor.saw
        self.book = PoolBook(loop, LIMITS, reserve_port(), int(day.notice_s * 1e6), self.chance, saw, times_of(day))
        at = {b.name: reserve_port() for b in day.boxes}
        ports = [reserve_port() for _ in range(day.proxies)]
        proxies = [("127.0.0.1", p) for p in ports]
        self.relay, self.parts = Relay(loop, day.links, self.chance), None
        with tempfile.TemporaryDirectory(prefix="thorndale-day-") as temporary:
            folder = self.folder or temporary
            try:
                if self.apart:
                    onward = self._onward(proxies)
                    self.parts = Apart(loop, day, temporary, at, reserve_port, proxies, self.calls, onward)
                else:
                    onward = self._onward(proxies)
                    self.parts = Here(loop, day, saw, at, reserve_port(), proxies, self.calls, onward)
                self.boxes = self.parts.boxes
                self.book.start()
                await self.parts.open()
                for name in self.boxes:
                    self.book.change(now_us(), name, "serving", 0)
                self.ports = {f"proxy{n + 1}": port for n, port in enumerate(ports)}
                self.speaks = {name: reserve_port() for name in self.ports} if day.fleet else {}
                self.between = self._between()
                for n, (name, port) in enumerate(self.ports.items()):
                    self.auditor.proxy(name, "127.0.0.1", port)
                    self.files[name] = f"{folder}/{name}.json5"
                    boxes = list(self.boxes.values())
                    uris = [await self._way(name, boxes[b]) for b in boxes_of(day, n)]
                    with open(self.files[name], "w", encoding="utf-8") as file:
                        json.dump(
                            settings_of(day, n, port, uris, self.book.uri(), folder, self._fleet(name)), file, indent=1
                        )
                    with open(f"{folder}/{name}.rules", "w", encoding="utf-8") as file:
                        file.write(rules_of(day))
                    self.spawn(name)
                await asyncio.gather(*(self.started(name) for name in self.processes))
                self.began = now_us()
                self.relay.begin(self.began)
                self.plan = sorted(day.faults, key=lambda f: f.at)
                for fault in self.plan:
                    self._task(self._fault(fault))
                self.seconds = await self.parts.run(self.began)
                await self._end()
                await self._gather()
                if self.apart:
                    await self.parts.seen(self.auditor, self.also)
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
                await self.relay.close()
                for part in (self.book, self.parts):
                    if part is not None:
                        await part.close()
        return self.auditor.finish(now_us())

    def _onward(self, proxies):
        """{name: OnwardPlan} of the boxes before the last hop: box n goes on by the proxy in its place a hop later.
        Each hop gives a call a second less: what is given up is given up from the last hop on."""
        day, plans = self.day, {}
        width = day.proxies // day.hops
        patience = max(t.patience_s for t in day.types)
        for n, box in enumerate(day.boxes[: len(day.boxes) - width] if day.hops > 1 else ()):
            expires = max(1, patience - 1 - hop_of(day, n, len(day.boxes)))
            plans[box.name] = OnwardPlan(n + 1, proxies[n + width], reserve_port(), expires)
        return plans

    async def _way(self, proxy, box):
        """The URI at which a proxy reaches a box: a relay's where some link between them has a fault."""
        if not any(link.joins(proxy, box.name) for link in self.day.links):
            return box.uri()
        port = reserve_port()
        target = ("127.0.0.1", int(box.uri().split(":")[2].partition(";")[0]))
        await self.relay.open(proxy, box.name, box.transport, port, target)
        return box.uri().replace(f":{target[1]}", f":{port}")

    def _between(self):
        """{(a, b): where a reaches b} for proxies whose link has a fault; the relay stands there."""
        names = list(self.speaks)
        plans = [link for link in self.day.links if any(to in self.speaks for to in link.to)]
        pairs = {
            (n, m)
            for n, a in enumerate(names)
            for m, b in enumerate(names)
            if n != m and any(link.sides(a, b) or link.sides(b, a) for link in plans)
        }
        if not pairs:
            return {}
        if len(names) > PROXIES_MOST:
            raise DayError(f"links between {len(names)} proxies: {PROXIES_MOST} at most")
        port = reserve_port()
        self.relay.between(port, [("127.0.0.1", at) for at in self.speaks.values()], pairs)
        return {(names[a], names[b]): place(a, b, port) for a, b in pairs}

    def _fleet(self, name):
        """What a proxy is told of the fleet: where it listens, and where it reaches each."""
        if not self.speaks:
            return None
        at = {n: "udp:" + self.between.get((name, n), f"127.0.0.1:{port}") for n, port in self.speaks.items()}
        return f"udp:127.0.0.1:{self.speaks[name]}", at

    async def _gather(self):
        """What the parts have counted."""
        for count, per_second, lag, setups, waits, wrong, editions, _, conns in await self.parts.figures():
            self.count.update(count)
            for second, row in per_second.items():
                self.per_second.setdefault(second, Counter()).update(row)
            self.lag += lag
            self.setups |= setups
            self.waits |= waits
            self.connections |= conns
            self.wrong_type += wrong
            self.editions.update(editions)

    def by_second(self):
        """{box: set-ups in each second of the day}."""
        first, length = self.began // 1_000_000, int(self.seconds) + 1
        return {name: [counts.get(first + n, 0) for n in range(length)] for name, counts in self.setups.items()}

    def spawn(self, name):
        self.processes[name] = subprocess.Popen(
            [*self.command, self.files[name]],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=open(self.files[name] + ".err", "ab"),  # noqa: SIM115 - the child's own from now on
        )

    async def started(self, name):
        """Waits until the proxy says so in its log; False where it was killed before."""
        path, process = self.files[name].replace(".json5", ".log"), self.processes[name]
        end = time.monotonic() + START_S + START_EACH_S * len(self.files)
        while time.monotonic() < end:
            if process.poll() is not None:
                if process.pid in self.killed:
                    return False
                with open(self.files[name] + ".err", encoding="utf-8", errors="replace") as file:
                    raise DayError(f"{name} ended with {process.returncode}: {file.read()[-800:]}")
            with contextlib.suppress(OSError), open(path, encoding="utf-8") as file:
                if f'"pid": {process.pid}' in file.read():
                    return True
            await asyncio.sleep(0.03 + len(self.files) / 1000)
        raise DayError(f"{name} did not start in time")

    def events(self, name):
        """The events of a proxy's log. Raises LogError."""
        return read_events(self.files[name].replace(".json5", ".log"), self.kills[name])

    def _task(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _fault(self, fault):
        await asyncio.sleep(fault.at)
        kind, span = fault.kind, fault.seconds
        if kind == "burst":
            self.parts.drive(factor=fault.size)
            await asyncio.sleep(span)
            self.parts.drive(factor=1.0)
        elif kind == "one proxy":
            self.parts.drive(only=[int(n[5:]) - 1 for n in fault.who], only_part=fault.size)
            await asyncio.sleep(span)
            self.parts.drive(only=[])
        elif kind == "book late to proxy":
            self.book.told_late = {self.ports[name]: int(fault.size * 1e6) for name in fault.who}
            await asyncio.sleep(span)
            self.book.told_late = {}
        elif kind in ("reports lost to proxy", "reports stuck at proxy"):
            for box in self.boxes.values():
                box.set("told_to", {self.ports[name]: kind.split()[1] for name in fault.who})
            await asyncio.sleep(span)
            for box in self.boxes.values():
                box.set("told_to", {})
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
                self.kills[name] += 1
                self.processes[name].kill()
                self._did("killed", name)
            for name in fault.who:
                self.processes[name].wait()
            await asyncio.sleep(span)
            await asyncio.gather(*(self._again(name) for name in fault.who))
        elif kind == "proxy stopped":
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGSTOP)
                self._did("stopped", name)
            await asyncio.sleep(span)
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGCONT)
                self._did("went on", name)
        else:
            await asyncio.gather(*(self._box_fault(fault, self.boxes[name]) for name in fault.who))

    async def _again(self, name):
        self.spawn(name)
        if await self.started(name):
            self._did("up", name)

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
            box.stop_now()
            await asyncio.sleep(0.2)
            await box.die()
            self.book.change(now_us(), box.name, "gone", 0)
            await asyncio.sleep(span)
            box.start(True)
            self.book.change(now_us(), box.name, "serving", wall())
        elif kind == "slow":
            box.set("slowness", fault.size)
            await asyncio.sleep(span)
            box.set("slowness", 1.0)
        elif kind == "ages":
            for step in range(1, AGE_STEPS + 1):
                box.set("slowness", 1 + (fault.size - 1) * step / AGE_STEPS)
                await asyncio.sleep(span / AGE_STEPS)
            box.set("slowness", 1.0)
        else:
            name = {
                "hangs": "mute",
                "loses answers": "lose_answers",
                "resets": "reset_part",
                "floods": "flood",
                "reports late": "report_late_us",
            }[kind]
            size = int(fault.size * 1e6) if kind == "reports late" else fault.size
            box.set(name, size)
            await asyncio.sleep(span)
            box.set(name, 0)

    async def _end(self):
        """Lets the last calls come to their end, then stops the proxies and counts what they had left."""
        for fault in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(fault, BaseException):
                raise fault
        end = time.monotonic() + max(t.patience_s for t in self.day.types) + 4
        while time.monotonic() < end and not await self.parts.quiet():
            await asyncio.sleep(0.05)
        self.parts.hang_up_all()
        await asyncio.sleep(0.5)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            else:
                raise DayError(f"{name} had ended with {process.returncode}")
        end = time.monotonic() + 80 * self.day.t1_ms / 1000 + 10 + START_EACH_S * len(self.files)
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
