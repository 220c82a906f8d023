"""Timers of a process that was stopped by a signal: libuv then runs those that are due before it reads the sockets. Each
test runs one function of this module in a process of its own."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
import uvloop
from test_crossings import LateServer

from thorndale.daemon.fleet import FleetEndpoint
from thorndale.net.connection import connect
from thorndale.standins.ports import reserve_port

CONNECT_S = 1.5
STOP_S = 2.5


def start_child(function, *arguments):
    code = f"import sys; sys.path[:0] = {sys.path!r}; import test_stopped; test_stopped.{function}(*{arguments!r})"
    return subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, text=True)


def run_on_uvloop(main):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


def stop_while(child, act):
    """Stops the process for `STOP_S`; `act()` runs meanwhile. Returns what it printed."""
    time.sleep(0.3)  # within its wait
    os.kill(child.pid, signal.SIGSTOP)
    os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)
    ends_at = time.monotonic() + STOP_S
    act()
    time.sleep(max(0.0, ends_at - time.monotonic()))
    os.kill(child.pid, signal.SIGCONT)
    return child.communicate(timeout=10)[0].split()


def connect_late(port):
    async def main():
        with socket.socket() as sock:
            sock.setblocking(False)
            print("begins", flush=True)
            try:
                await connect(asyncio.get_running_loop(), sock, ("127.0.0.1", port), CONNECT_S)
                print("connected")
            except OSError as error:
                print(error)

    run_on_uvloop(main())


# A connection that the kernel had established while the process was stopped was reported as never reached.
def test_a_connection_that_came_up_while_the_process_was_stopped_is_up():
    server = LateServer()
    child = start_child("connect_late", server.port)
    assert child.stdout.readline() == "begins\n"
    assert stop_while(child, lambda: asyncio.run(server.come_up(STOP_S - 0.2))) == ["connected"]


def watch_members(own_port, other_port):
    """Prints how many datagrams had been read when the fleet's first timer after the stop ran."""

    async def main():
        names = {"p1": own_port, "p2": other_port}
        members = [SimpleNamespace(name=name, at=f"udp:127.0.0.1:{port}") for name, port in names.items()]
        fleet = SimpleNamespace(members=members, listen=members[0].at, rights=False, words=False)
        settings = SimpleNamespace(name="p1", servers=[SimpleNamespace(name="box1")], fleet=fleet)
        border = SimpleNamespace(module_host=SimpleNamespace(module=None), deliver_events=lambda *_: None)
        endpoint = FleetEndpoint(asyncio.get_running_loop(), settings, 1, lambda *_, **__: None, border)
        tick, began, read_by_then = endpoint.exchange.tick, time.monotonic(), []

        def observed_tick(now):
            if time.monotonic() > began + STOP_S:
                read_by_then.append(endpoint.count["unreadable"])
            return tick(now)

        endpoint.exchange.tick = observed_tick
        print("begins", flush=True)
        while not read_by_then:
            await asyncio.sleep(1)
        endpoint.close()
        print(read_by_then[0])

    run_on_uvloop(main())


# After a stop, a proxy judged the others' silence before it read what they had sent meanwhile.
@pytest.mark.parametrize("datagrams", [1, 200])
def test_what_members_sent_while_a_proxy_was_stopped_is_read_before_their_silence_is_judged(datagrams):
    own_port, other_port = reserve_port(), reserve_port()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", other_port))
        child = start_child("watch_members", own_port, other_port)
        assert child.stdout.readline() == "begins\n"
        printed = stop_while(child, lambda: [peer.sendto(b"x", ("127.0.0.1", own_port)) for _ in range(datagrams)])
    assert printed == [str(datagrams)]
