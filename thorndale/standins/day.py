"""Plays a scripted day: real proxy processes, with stand-in servers, pool book and callers, and the auditor.

Small days run their stand-ins in this process; days with many proxies or a high call rate run them in worker processes.
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
from thorndale.standins.audit import RULES, Auditor
from thorndale.standins.groups import LIMITS, ForwardingPlan, LocalStandIns, times_of, work_of
from thorndale.standins.logs import read_events
from thorndale.standins.poolbook import PoolBook
from thorndale.standins.ports import reserve_port
from thorndale.standins.relay import MAX_RELAYED_PROXIES, Relay, loopback_address
from thorndale.standins.script import hop_of, rules_of, servers_of, settings_of
from thorndale.standins.traffic import seeded_random
from thorndale.standins.workers import WorkerStandIns, missing_resources

START_TIMEOUT_S = 15
START_TIMEOUT_PER_PROXY_S = 0.2  # added for each proxy, because all start on the same cores
AGE_STEPS = 20  # steps in which an ageing server gets slower
IN_PROCESS_MAX_PROXIES, IN_PROCESS_MAX_RATE = 32, 300  # above this, in calls/s, the stand-ins run in worker processes


class DayError(Exception):
    """The day could not be played."""


class Player:
    def __init__(self, day, calls=0, command=None, folder=None):
        """`calls`: stop after this many first attempts instead of at the end of the day. `command`: starts a proxy when
        the name of its settings file is appended."""
        self.day, self.calls = day, calls
        self.command = command or [sys.executable, "-m", "thorndale", "run"]
        self.folder = folder
        self.random = seeded_random(day.seed)
        self.count, self.per_second, self.setup_times_us = Counter(), {}, []
        self.connections = {}  # by TCP server: (most open at one time, opened in total)
        self.setups, self.queueing_delays_us = (
            {},
            {},
        )  # by server: set-ups per clock second; queueing delay of each in us
        self.processes, self.files, self.last_events, self.seconds = {}, {}, {}, 0.0
        self.killed = set()  # process ids of proxies that a fault has killed
        self.kills = Counter()  # how often, by proxy
        self.tasks, self.loop_errors, self.local_observations = [], [], []
        self.wrong_type, self.editions, self.edition = 0, Counter(), 1
        self.observer = None  # gets the same (now, endpoint, event, bytes) of every message as the auditor
        self.use_workers = day.proxies > IN_PROCESS_MAX_PROXIES or day.rate > IN_PROCESS_MAX_RATE

    # ---- observations ----

    def _observe_both(self, *observation):
        self.auditor.observe(*observation)
        self.observer(*observation)

    def _observe_later(self, now, endpoint, event, data):
        self.local_observations.append((now, len(self.local_observations), endpoint, event, data))

    def _record_event(self, what, name):
        if self.use_workers:
            self.local_observations.append((now_us(), -1, what, name, b""))
        else:
            self.auditor.record_event(now_us(), what, name)

    # ---- the run ----

    async def play(self):
        day, loop = self.day, asyncio.get_running_loop()
        lack = missing_resources(day)
        if lack:
            raise DayError(f"the day needs {lack}")
        loop.set_exception_handler(lambda _, context: self.loop_errors.append(context))
        rules = {
            "release_us": 500_000,
            "drain_grace_us": 500_000,
            "fall_multiple": day.fall_multiple,
            "fall_us": day.fall_ms * 1000,
        }
        work = {plan.name: work_of(day, plan) for plan in day.boxes}
        self.auditor = Auditor(rules, {name: (w.setup_us, w.cold_from, w.warm_us) for name, w in work.items()})
        observe = (
            self._observe_later if self.use_workers else self._observe_both if self.observer else self.auditor.observe
        )
        self.book = PoolBook(loop, LIMITS, reserve_port(), int(day.notice_s * 1e6), self.random, observe, times_of(day))
        server_ports = {plan.name: reserve_port() for plan in day.boxes}
        ports = [reserve_port() for _ in range(day.proxies)]
        proxies = [("127.0.0.1", port) for port in ports]
        self.relay, self.standins = Relay(loop, day.links, self.random), None
        with tempfile.TemporaryDirectory(prefix="thorndale-day-") as temporary:
            folder = self.folder or temporary
            try:
                if self.use_workers:
                    onward = self._forwarding_plans(proxies)
                    self.standins = WorkerStandIns(
                        loop, day, temporary, server_ports, reserve_port, proxies, self.calls, onward
                    )
                else:
                    onward = self._forwarding_plans(proxies)
                    self.standins = LocalStandIns(
                        loop, day, observe, server_ports, reserve_port(), proxies, self.calls, onward
                    )
                self.servers = self.standins.servers
                self.book.start()
                await self.standins.open()
                for name in self.servers:
                    self.book.change(now_us(), name, "serving", 0)
                self.ports = {f"proxy{n + 1}": port for n, port in enumerate(ports)}
                self.fleet_ports = {name: reserve_port() for name in self.ports} if day.fleet else {}
                self.relayed_addresses = self._relay_between_proxies()
                for n, (name, port) in enumerate(self.ports.items()):
                    self.auditor.proxy(name, "127.0.0.1", port)
                    self.files[name] = f"{folder}/{name}.json5"
                    servers = list(self.servers.values())
                    uris = [await self._server_uri(name, servers[index]) for index in servers_of(day, n)]
                    with open(self.files[name], "w", encoding="utf-8") as file:
                        json.dump(
                            settings_of(day, n, port, uris, self.book.uri(), folder, self._fleet_settings(name)),
                            file,
                            indent=1,
                        )
                    with open(f"{folder}/{name}.rules", "w", encoding="utf-8") as file:
                        file.write(rules_of(day))
                    self.spawn(name)
                await asyncio.gather(*(self.started(name) for name in self.processes))
                self.began = now_us()
                self.relay.begin(self.began)
                self.plan = sorted(day.faults, key=lambda fault: fault.at)
                for fault in self.plan:
                    self._task(self._fault(fault))
                self.seconds = await self.standins.run(self.began)
                await self._finish()
                await self._collect_figures()
                if self.use_workers:
                    await self.standins.replay_to(self.auditor, self.local_observations)
                if self.loop_errors:
                    raise DayError(f"a stand-in failed: {self.loop_errors[0]}")
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
                for process in self.processes.values():
                    if process.poll() is None:
                        process.kill()
                    process.wait()
                await self.relay.close()
                for component in (self.book, self.standins):
                    if component is not None:
                        await component.close()
        return self.auditor.finish(now_us())

    def _forwarding_plans(self, proxies):
        """{name: ForwardingPlan} of the servers before the last hop: server n forwards through the proxy with the same
        position in the next hop. The timeout shrinks by 1 s per hop, so that the last hop gives a call up first."""
        day, plans = self.day, {}
        width = day.proxies // day.hops
        patience_s = max(plan.patience_s for plan in day.types)
        for n, server in enumerate(day.boxes[: len(day.boxes) - width] if day.hops > 1 else ()):
            expires_s = max(1, patience_s - 1 - hop_of(day, n, len(day.boxes)))
            plans[server.name] = ForwardingPlan(n + 1, proxies[n + width], reserve_port(), expires_s)
        return plans

    async def _server_uri(self, proxy, server):
        """The URI at which a proxy reaches a server: the relay's if the link has a planned fault."""
        if not any(link.applies_to(proxy, server.name) for link in self.day.links):
            return server.uri()
        port = reserve_port()
        target = ("127.0.0.1", int(server.uri().split(":")[2].partition(";")[0]))
        await self.relay.open(proxy, server.name, server.transport, port, target)
        return server.uri().replace(f":{target[1]}", f":{port}")

    def _relay_between_proxies(self):
        """{(a, b): the relay's address at which a reaches b} for proxies whose link has a planned fault."""
        names = list(self.fleet_ports)
        plans = [link for link in self.day.links if any(to in self.fleet_ports for to in link.to)]
        pairs = {
            (n, m)
            for n, a in enumerate(names)
            for m, b in enumerate(names)
            if n != m and any(link.directions_of(a, b) or link.directions_of(b, a) for link in plans)
        }
        if not pairs:
            return {}
        if len(names) > MAX_RELAYED_PROXIES:
            raise DayError(f"links between {len(names)} proxies: {MAX_RELAYED_PROXIES} at most")
        port = reserve_port()
        self.relay.open_between(port, [("127.0.0.1", own_port) for own_port in self.fleet_ports.values()], pairs)
        return {(names[a], names[b]): loopback_address(a, b, port) for a, b in pairs}

    def _fleet_settings(self, name):
        """The fleet settings of a proxy: its listening address and the address of each member."""
        if not self.fleet_ports:
            return None
        members = {
            other: "udp:" + self.relayed_addresses.get((name, other), f"127.0.0.1:{port}")
            for other, port in self.fleet_ports.items()
        }
        return f"udp:127.0.0.1:{self.fleet_ports[name]}", members

    async def _collect_figures(self):
        """Adds up the figures of all stand-in processes."""
        for (
            count,
            per_second,
            setup_times_us,
            setups,
            queueing_delays_us,
            wrong,
            editions,
            _,
            conns,
        ) in await self.standins.figures():
            self.count.update(count)
            for second, row in per_second.items():
                self.per_second.setdefault(second, Counter()).update(row)
            self.setup_times_us += setup_times_us
            self.setups |= setups
            self.queueing_delays_us |= queueing_delays_us
            self.connections |= conns
            self.wrong_type += wrong
            self.editions.update(editions)

    def by_second(self):
        """{server: set-ups in each second of the day}."""
        first, length = self.began // 1_000_000, int(self.seconds) + 1
        return {name: [counts.get(first + n, 0) for n in range(length)] for name, counts in self.setups.items()}

    def spawn(self, name):
        self.processes[name] = subprocess.Popen(
            [*self.command, self.files[name]],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=open(self.files[name] + ".err", "ab"),  # noqa: SIM115 - inherited by the child
        )

    async def started(self, name):
        """Waits until the log shows the start of the proxy; returns False if a fault killed it first."""
        path, process = self.files[name].replace(".json5", ".log"), self.processes[name]
        end = time.monotonic() + START_TIMEOUT_S + START_TIMEOUT_PER_PROXY_S * len(self.files)
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
            self.standins.drive(factor=fault.size)
            await asyncio.sleep(span)
            self.standins.drive(factor=1.0)
        elif kind == "one proxy":
            self.standins.drive(only=[int(n[5:]) - 1 for n in fault.who], only_part=fault.size)
            await asyncio.sleep(span)
            self.standins.drive(only=[])
        elif kind == "book late to proxy":
            self.book.extra_delay_us = {self.ports[name]: int(fault.size * 1e6) for name in fault.who}
            await asyncio.sleep(span)
            self.book.extra_delay_us = {}
        elif kind in ("reports lost to proxy", "reports stuck at proxy"):
            for server in self.servers.values():
                server.set("told_to", {self.ports[name]: kind.split()[1] for name in fault.who})
            await asyncio.sleep(span)
            for server in self.servers.values():
                server.set("told_to", {})
        elif kind == "book lost":
            self.book.forget_all()
            self.book.mute = True
            await asyncio.sleep(span)
            self.book.mute = False
        elif kind == "book muddled":
            self.book.duplicate_notices = True
            await asyncio.sleep(span)
            self.book.duplicate_notices = False
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
                self._record_event("killed", name)
            for name in fault.who:
                self.processes[name].wait()
            await asyncio.sleep(span)
            await asyncio.gather(*(self._restart(name) for name in fault.who))
        elif kind == "proxy stopped":
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGSTOP)
                self._record_event("stopped", name)
            await asyncio.sleep(span)
            for name in fault.who:
                self.processes[name].send_signal(signal.SIGCONT)
                self._record_event("went on", name)
        else:
            await asyncio.gather(*(self._server_fault(fault, self.servers[name]) for name in fault.who))

    async def _restart(self, name):
        self.spawn(name)
        if await self.started(name):
            self._record_event("up", name)

    async def _server_fault(self, fault, server):
        kind, span, wall_ms = fault.kind, fault.seconds, lambda: time.time_ns() // 1_000_000
        if kind == "dies":
            await server.die()
            self.book.change(now_us(), server.name, "gone", 0)
            await asyncio.sleep(span)
            server.start(True)
            self.book.change(now_us(), server.name, "serving", wall_ms())
        elif kind == "drains":
            self.book.change(now_us(), server.name, "draining", 0)
            await asyncio.sleep(self.day.drain_s)
            server.stop_now()
            await asyncio.sleep(0.2)
            await server.die()
            self.book.change(now_us(), server.name, "gone", 0)
            await asyncio.sleep(span)
            server.start(True)
            self.book.change(now_us(), server.name, "serving", wall_ms())
        elif kind == "slow":
            server.set("slowness", fault.size)
            await asyncio.sleep(span)
            server.set("slowness", 1.0)
        elif kind == "ages":
            for step in range(1, AGE_STEPS + 1):
                server.set("slowness", 1 + (fault.size - 1) * step / AGE_STEPS)
                await asyncio.sleep(span / AGE_STEPS)
            server.set("slowness", 1.0)
        else:
            attribute = {
                "hangs": "mute",
                "loses answers": "lose_answers",
                "resets": "reset_part",
                "floods": "flood",
                "reports late": "report_late_us",
            }[kind]
            size = int(fault.size * 1e6) if kind == "reports late" else fault.size
            server.set(attribute, size)
            await asyncio.sleep(span)
            server.set(attribute, 0)

    async def _finish(self):
        """Waits for the last calls to end, then stops the proxies and keeps the last log line of each."""
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result
        end = time.monotonic() + max(plan.patience_s for plan in self.day.types) + 4
        while time.monotonic() < end and not await self.standins.quiet():
            await asyncio.sleep(0.05)
        self.standins.hang_up_all()
        await asyncio.sleep(0.5)
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            else:
                raise DayError(f"{name} had ended with {process.returncode}")
        end = time.monotonic() + 80 * self.day.t1_ms / 1000 + 10 + START_TIMEOUT_PER_PROXY_S * len(self.files)
        while time.monotonic() < end and any(process.poll() is None for process in self.processes.values()):
            await asyncio.sleep(0.05)
        for name, process in self.processes.items():
            if process.poll() is None:
                raise DayError(f"{name} did not stop")
            with open(self.files[name].replace(".json5", ".log"), encoding="utf-8") as file:
                last_event = json.loads(file.readlines()[-1])
            self.last_events[name] = last_event
            if process.returncode:
                with open(self.files[name] + ".err", encoding="utf-8", errors="replace") as file:
                    raise DayError(f"{name} ended with {process.returncode}: {file.read()[-800:]}")


def play(day, calls=0, command=None, folder=None):
    """Plays the day. Returns the player and the rule breaks."""
    player = Player(day, calls, command, folder)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        breaks = runner.run(player.play())
    return player, breaks


def leaks(player):
    """{proxy: {resource: count}} of what proxies had not released when they ended, without empty entries."""
    leaks_by_proxy = {}
    for name, event in player.last_events.items():
        leaked = {what: count for what, count in event.get("left", {"no last line": 1}).items() if count}
        if event.get("tasks"):
            leaked["tasks"] = event["tasks"]
        if event.get("descriptors", 0) > 0:
            leaked["descriptors"] = event["descriptors"]
        if leaked:
            leaks_by_proxy[name] = leaked
    return leaks_by_proxy


def exit_code(player, breaks):
    return 1 if breaks or leaks(player) or player.wrong_type else 0


__all__ = ["DayError", "Player", "RULES", "exit_code", "leaks", "play"]
