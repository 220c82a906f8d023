"""Hollow members: many fleet members in one process, each with its own UDP socket and without calls.

Worker processes take commands over a pipe; `Workers` starts them and ends exactly those it started.
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

SECOND_US = 1_000_000
DATAGRAM_BYTES = 2_048
RECEIVE_BATCH = 32  # datagrams read from one socket before the next is served
COUNT_INTERVAL_S = 0.25  # seconds of the members' clock between two counts
START_WALL_S = 1_800_000_000  # wall clock at the start, from which incarnations are derived


class Plan(NamedTuple):
    """`slow`: the factor by which the members' clock runs slower than the machine's, so that each member of a large
    fleet gets the processor time that it would have on its own machine. `whole`: all members know each other at the
    start."""

    members: int
    seed: int = 1
    loss: float = 0.0
    slow: float = 1.0
    whole: bool = True
    start_spread_us: int = SECOND_US


class WorkerCount(NamedTuple):
    """Counts of one worker. `known`: pairs in which a living member of this worker lists the other member as present.
    `least_known`: the fewest that one of them lists. `living`: members that run in this worker. `known_dead`: pairs in
    which a living member of this worker lists a killed member as dead. `falsely_dead`: how often a member
    here recorded a running and reachable member as dead."""

    known: int
    least_known: int
    living: int
    known_dead: int
    datagrams: int
    bytes: int
    processor_s: float
    memory_kb: int
    falsely_dead: int
    time_us: int


class HollowWorker:
    """Runs the members numbered `own` of the plan's fleet."""

    def __init__(self, plan, own, conn):
        self.plan, self.own, self.conn = plan, own, conn
        self.random = random.Random(plan.seed * 1009 + own[0])
        self.names = [f"proxy{n}" for n in range(plan.members)]
        self.sockets, self.by_descriptor = {}, {}
        self.poll = select.epoll()
        self.memberships, self.timers, self.timer_serial = {}, [], 0
        self.addresses, self.member_at = [], {}
        self.killed, self.partitions = set(), {}
        self.datagrams = self.bytes = self.falsely_dead = 0
        self.started_at = 0.0
        for member in own:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
            sock.bind(("127.0.0.1", 0))
            self.sockets[member] = sock
            self.by_descriptor[sock.fileno()] = member
            self.poll.register(sock.fileno(), select.EPOLLIN)

    def now(self):
        return int((time.monotonic() - self.started_at) * SECOND_US / self.plan.slow)

    def start(self, member, at):
        incarnation = (START_WALL_S + at // SECOND_US) << 16
        seed, born = self.random.getrandbits(64), self.random.getrandbits(32)
        membership = Members(self.names, member, seed, at, born, incarnation)
        if self.plan.whole and at == 0:
            for other in range(self.plan.members):
                if other != member:
                    membership.state[other], membership.incarnation[other] = ALIVE, START_WALL_S << 16
            membership.updates.clear()
            membership.periods = 1_000
        self.memberships[member] = membership
        self._schedule_timer(member, membership)

    def _schedule_timer(self, member, membership):
        self.timer_serial += 1
        heapq.heappush(self.timers, (membership.next_at(), self.timer_serial, member, membership))

    def _send(self, member, datagrams_out):
        sock = self.sockets[member]
        for to, datagram in datagrams_out:
            data = wire.encode(datagram)
            self.datagrams += 1
            self.bytes += len(data)
            with contextlib.suppress(OSError):
                sock.sendto(data, self.addresses[to])

    def _receive_batch(self, member):
        sock, membership = self.sockets[member], self.memberships.get(member)
        for _ in range(RECEIVE_BATCH):
            try:
                data, address = sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            sender = self.member_at[address]
            partitioned = self.partitions.get(sender, 0) != self.partitions.get(member, 0)
            if membership is None or partitioned or self.random.random() < self.plan.loss:
                continue
            self._send(member, membership.receive(self.now(), wire.decode(data), sender))
            self._count_false_deaths(membership)

    def _count_false_deaths(self, membership):
        for _, about, change, _ in membership.changes:
            partitioned = self.partitions.get(about, 0) != self.partitions.get(membership.own, 0)
            self.falsely_dead += change == "dead" and about not in self.killed and not partitioned
        membership.changes.clear()

    def _run_due_timers(self):
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            _, _, member, membership = heapq.heappop(self.timers)
            if self.memberships.get(member) is not membership:
                continue
            if membership.next_at() <= now:
                self._send(member, membership.tick(now))
                self._count_false_deaths(membership)
            self._schedule_timer(member, membership)

    def count(self):
        known, least, known_dead = 0, self.plan.members, 0
        living = [m for m in self.memberships if m not in self.killed]
        for member in living:
            state = self.memberships[member].state
            known_here = sum(1 for s in state if s not in (DEAD, LEFT, UNKNOWN))
            known, least = known + known_here, min(least, known_here)
            known_dead += sum(1 for m in self.killed if state[m] in (DEAD, LEFT))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return WorkerCount(
            known,
            least,
            len(living),
            known_dead,
            self.datagrams,
            self.bytes,
            usage.ru_utime + usage.ru_stime,
            usage.ru_maxrss,
            self.falsely_dead,
            self.now(),
        )

    def run(self):
        """Executes the commands (command, value) from the pipe until 'close' or the end of the pipe."""
        self.conn.send([self.sockets[m].getsockname() for m in self.own])
        while True:
            for descriptor, _ in self.poll.poll(0.002) if self.started_at else ():
                self._receive_batch(self.by_descriptor[descriptor])
            self._run_due_timers()
            if not self.conn.poll(0 if self.started_at else None):
                continue
            command, value = self.conn.recv()
            if command == "close":
                return
            self.conn.send(self.execute(command, value))

    def execute(self, command, value):
        """Executes one command and returns the worker's counts after it."""
        if command == "places":
            self.addresses, self.member_at = value, {tuple(address): n for n, address in enumerate(value)}
        elif command == "begin":
            self.started_at = value
            for member in self.own:
                self.start(member, 0)
                if not self.plan.whole:
                    self.memberships[member].period_at = int(self.plan.start_spread_us * self.random.random())
                    self._schedule_timer(member, self.memberships[member])
        elif command == "kill":
            self.killed |= set(value)
            for member in value:
                self.memberships.pop(member, None)
        elif command == "restart":
            self.killed -= set(value)
            for member in value:
                if member in self.sockets:
                    self.start(member, self.now())
        elif command == "islands":
            self.partitions = value
        return self.count()


def _run_worker(plan, own, conn):
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        HollowWorker(plan, own, conn).run()


class Workers:
    """The worker processes of one run; leaving the `with` block ends them, also after an error. `foreign`:
    {member: (host, port)} of the members that are not hollow."""

    def __init__(self, plan, processes, foreign=None):
        self.plan, self.conns, self.processes = plan, [], []
        context = multiprocessing.get_context("spawn")
        self.addresses = [(foreign or {}).get(member) for member in range(plan.members)]
        hollow = [member for member, address in enumerate(self.addresses) if address is None]
        assignments = [hollow[n::processes] for n in range(processes)]
        for own in assignments:
            parent_conn, worker_conn = context.Pipe()
            process = context.Process(target=_run_worker, args=(plan, own, worker_conn), daemon=True)
            process.start()
            worker_conn.close()
            self.conns.append(parent_conn)
            self.processes.append(process)
        for own, conn in zip(assignments, self.conns, strict=True):
            for member, address in zip(own, conn.recv(), strict=True):
                self.addresses[member] = address
        self.command("places", self.addresses)

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

    def command(self, name, value=None):
        """Sends a command to all workers; returns the counts of each after it has executed the command."""
        for conn in self.conns:
            conn.send((name, value))
        return [conn.recv() for conn in self.conns]

    def begin(self):
        return self.command("begin", time.monotonic())

    def wait(self, seconds):
        """Waits this many seconds of the members' clock; returns the counts after it."""
        time.sleep(seconds * self.plan.slow)
        return self.command("count")

    def until(self, done, timeout_s):
        """Waits until `done(counts)` is true. Returns the seconds of the members' clock that this took, or None after
        `timeout_s`, and the last counts."""
        counts = self.command("count")
        start_us = counts[0].time_us
        while True:
            elapsed_s = (counts[0].time_us - start_us) / SECOND_US
            if done(counts):
                return round(elapsed_s, 2), counts
            if elapsed_s > timeout_s:
                return None, counts
            counts = self.wait(COUNT_INTERVAL_S)
