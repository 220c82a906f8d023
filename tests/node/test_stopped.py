"""Timers of a process that was stopped by a signal: libuv then runs those that are due before it reads the sockets. Each
test runs one function of this module in a process of its own."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time

import uvloop
from test_crossings import LateServer

from thorndale.net.connection import connect

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
