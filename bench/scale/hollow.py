"""Hollow members: many members of a fleet in one process, each with a UDP socket of its own and no calls.

Worker processes are told what to do over a pipe; whoever starts them ends them by their ids (`Workers`).
"""

import contextlib
import heapq
import multiprocessing
import random
import resource
import select
import socket
import time
from typing import NamedTuple

from thorndale.fleet import wire
from thorndale.fleet.members import ALIVE, DEAD, LEFT, UNKNOWN, Members

S = 1_000_000
DATAGRAM_BYTES = 2_048
BATCH = 32  # datagrams taken from one socket at a turn
COUNTED_EVERY_S = 0.25  # seconds of the members' clock between two counts of what they know
WALL_S = 1_800_000_000  # what the wall clock says at the start: incarnations begin by it


class Plan(NamedTuple):
    """`slow`: the members' clock runs so many times slower than the machine's, so that all members of a large fleet
    get the processor time that each would have on a machine of its own. `whole`: all know all at the start."""

    members: int
    seed: int = 1
    loss: float = 0.0
    slow: float = 1.0
    whole: bool = True
    start_spread_us: int = S


class Count(NamedTuple):
    """Of one worker. `known`: pairs of living members of which the first holds the second there; `living`: members
    that run here; `held_dead`: members of the down set that living ones here hold dead."""

    known: int
    least_known: int
    living: int
    held_dead: int
    datagrams: int
    bytes: int
    processor_s: float
    memory_kb: int
    falsely_dead: int
    time_us: int


class HollowWorker:
    """The members `own` of the plan's fleet."""

    def __init__(self, plan, own, conn):
        self.plan, self.own, self.conn = plan, own, conn
        self.random = random.Random(plan.seed * 1009 + own[0])
        self.names = [f"proxy{n}" for n in range(plan.members)]
        self.sockets, self.by_descriptor = {}, {}
        self.poll = select.epoll()
        self.members, self.alarms, self.serial = {}, [], 0
        self.places, self.index = [], {}
        self.down, self.island = set(), {}
        self.datagrams = self.bytes = self.falsely_dead = 0
        self.began = 0.0
        for member in own:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
            sock.bind(("127.0.0.1", 0))
            self.sockets[member] = sock
            self.by_descriptor[sock.fileno()] = member
            self.poll.register(sock.fileno(), select.EPOLLIN)

    def now(self):
        return int((time.monotonic() - self.began) * S / self.plan.slow)

    def start(self, member, at):
        incarnation = (WALL_S + at // S) << 16
        seed, born = self.random.getrandbits(64), self.random.getrandbits(32)
        made = Members(self.names, member, seed, at, born, incarnation)
        if self.plan.whole and at == 0:
            for other in range(self.plan.members):
                if other != member:
                    made.state[other], made.incarnation[other] = ALIVE, WALL_S << 16
            made.updates.clear()
            made.periods = 1_000
        self.members[member] = made
        self._alarm(member, made)

    def _alarm(self, member, made):
        self.serial += 1
        heapq.heappush(self.alarms, (made.next_at(), self.serial, member, made))

    def _send(self, member, out):
        sock = self.sockets[member]
        for to, datagram in out:
            data = wire.encode(datagram)
            self.datagrams += 1
            self.bytes += len(data)
            with contextlib.suppress(OSError):
                sock.sendto(data, self.places[to])

    def _received(self, member):
        sock, made = self.sockets[member], self.members.get(member)
        for _ in range(BATCH):
            try:
                data, place = sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            sender = self.index[place]
            apart = self.island.get(sender, 0) != self.island.get(member, 0)
            if made is None or apart or self.random.random() < self.plan.loss:
                continue
            self._send(member, made.receive(self.now(), wire.decode(data), sender))
            self._changed(made)

    def _changed(self, made):
        for _, about, what, _ in made.changes:
            apart = self.island.get(about, 0) != self.island.get(made.own, 0)
            self.falsely_dead += what == "dead" and about not in self.down and not apart
        made.changes.clear()

    def _due(self):
        now = self.now()
        while self.alarms and self.alarms[0][0] <= now:
            _, _, member, made = heapq.heappop(self.alarms)
            if self.members.get(member) is not made:
                continue
            if made.next_at() <= now:
                self._send(member, made.tick(now))
                self._changed(made)
            self._alarm(member, made)

    def count(self):
        known, least, held_dead = 0, self.plan.members, 0
        living = [m for m in self.members if m not in self.down]
        for member in living:
            state = self.members[member].state
            there = sum(1 for s in state if s not in (DEAD, LEFT, UNKNOWN))
            known, least = known + there, min(least, there)
            held_dead += sum(1 for m in self.down if state[m] in (DEAD, LEFT))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return Count(
            known,
            least,
            len(living),
            held_dead,
            self.datagrams,
            self.bytes,
            usage.ru_utime + usage.ru_stime,
            usage.ru_maxrss,
            self.falsely_dead,
            self.now(),
        )

    def run(self):
        """Carries out what the pipe tells: (what, value), until 'close' or the pipe's end."""
        self.conn.send([self.sockets[m].getsockname() for m in self.own])
        while True:
            for descriptor, _ in self.poll.poll(0.002) if self.began else ():
                self._received(self.by_descriptor[descriptor])
            self._due()
            if not self.conn.poll(0 if self.began else None):
                continue
            what, value = self.conn.recv()
            if what == "close":
                return
            self.conn.send(self.told(what, value))

    def told(self, what, value):
        if what == "places":
            self.places, self.index = value, {tuple(place): n for n, place in enumerate(value)}
        elif what == "begin":
            self.began = value
            for member in self.own:
                self.start(member, 0)
                if not self.plan.whole:
                    self.members[member].period_at = int(self.plan.start_spread_us * self.random.random())
                    self._alarm(member, self.members[member])
        elif what == "kill":
            self.down |= set(value)
            for member in value:
                self.members.pop(member, None)
        elif what == "restart":
            self.down -= set(value)
            for member in value:
                if member in self.sockets:
                    self.start(member, self.now())
        elif what == "islands":
            self.island = value
        return self.count()


def _work(plan, own, conn):
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        HollowWorker(plan, own, conn).run()


class Workers:
    """The processes of one play; `with` ends them, whatever happens. `foreign`: {member: (host, port)} of members that
    are no hollow ones."""

    def __init__(self, plan, processes, foreign=None):
        self.plan, self.conns, self.processes = plan, [], []
        context = multiprocessing.get_context("spawn")
        self.places = [(foreign or {}).get(member) for member in range(plan.members)]
        hollow = [member for member, place in enumerate(self.places) if place is None]
        shares = [hollow[n::processes] for n in range(processes)]
        for own in shares:
            ours, theirs = context.Pipe()
            process = context.Process(target=_work, args=(plan, own, theirs), daemon=True)
            process.start()
            theirs.close()
            self.conns.append(ours)
            self.processes.append(process)
        for own, conn in zip(shares, self.conns, strict=True):
            for member, place in zip(own, conn.recv(), strict=True):
                self.places[member] = place
        self.tell("places", self.places)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for conn in self.conns:
            with contextlib.suppress(OSError):
                conn.send(("close", None))
        for process in self.processes:
            process.join(3)
            if process.is_alive():
                process.terminate()
                process.join()

    def tell(self, what, value=None):
        """The counts of all workers after it was done."""
        for conn in self.conns:
            conn.send((what, value))
        return [conn.recv() for conn in self.conns]

    def begin(self):
        return self.tell("begin", time.monotonic())

    def wait(self, seconds):
        """Seconds of the members' clock."""
        time.sleep(seconds * self.plan.slow)
        return self.tell("count")

    def until(self, done, most_s):
        """(seconds of the members' clock until `done(counts)`, None at `most_s`; the last counts)."""
        counts = self.tell("count")
        began = counts[0].time_us
        while True:
            passed = (counts[0].time_us - began) / S
            if done(counts):
                return round(passed, 2), counts
            if passed > most_s:
                return None, counts
            counts = self.wait(COUNTED_EVERY_S)
