"""Sockets on loopback: framing across segments, half-open and slow peers, unreachable ports, IPv4 and IPv6."""

import asyncio
import contextlib
import gc
import socket
import struct
import time

import msgspec
import pytest
import uvloop

from thorndale.config.settings import Limits
from thorndale.net.clock import now_us
from thorndale.net.connection import READ_BYTES, READS_PER_BATCH
from thorndale.net.transport import TransportLayer
from thorndale.sip.transaction import Hop
from thorndale.standins.ports import reserve_port
from thorndale.timers import Timers

MESSAGE = b"OPTIONS sip:x SIP/2.0\r\nl: 3\r\n\r\nabc"


class Core:
    """Records the calls made to it."""

    def __init__(self):
        self.messages, self.failed, self.batches, self.late_us, self.timers = [], [], 0, [], Timers()

    def receive(self, now, data, hop, stream=False):
        self.messages.append((data, hop))

    def lost(self, now, hop, kind):
        self.failed.append((hop, kind))

    def record_loop_delay(self, now, us):
        self.late_us.append(us)

    def run(self, now, most=1 << 30):
        self.timers.run(now, most)

    def flush(self, now):
        self.batches += 1


def on_loop(test, host="127.0.0.1", **limits):
    """Runs `test(ends, core, port)` on uvloop with a UDP and a TCP listener; no task may be left over."""

    async def main():
        loop, core, port = asyncio.get_running_loop(), Core(), reserve_port(host)
        ends = TransportLayer(loop, msgspec.structs.replace(Limits(), **limits), core)
        ends.open([("udp", host, port), ("tcp", host, port)])
        try:
            await test(ends, core, port)
        finally:
            await ends.close()
        assert len(asyncio.all_tasks()) == 1

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


async def until(condition, seconds=5):
    end = asyncio.get_running_loop().time() + seconds
    while not condition():
        assert asyncio.get_running_loop().time() < end, "the condition was not met in time"
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_both_transports_and_families(host):
    async def test(ends, core, port):
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as peer:
            peer.sendto(MESSAGE, (host, port))
            await until(lambda: core.messages)
            data, hop = core.messages[0]
            assert data == MESSAGE and hop[:2] == ("udp", host)
            ends.send(hop, b"back")
            await asyncio.sleep(0.05)
            assert peer.recv(100) == b"back"
        ends.send(Hop("tcp", host, port, 0), MESSAGE)  # to its own listener, by a connection opened from here
        await until(lambda: len(core.messages) == 2)
        ends.send(core.messages[1][1], MESSAGE)  # back by the connection it was received on
        await until(lambda: len(core.messages) == 3)
        assert core.messages[2][1] == Hop("tcp", host, port, 0) and core.batches

    on_loop(test, host)


def test_segments_keepalives_and_an_end_in_the_middle():
    async def test(ends, core, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(MESSAGE + MESSAGE)
        await until(lambda: len(core.messages) == 2)
        for n in range(0, len(MESSAGE), 2):
            writer.write(MESSAGE[n : n + 2])
            await asyncio.sleep(0.001)
        writer.write(b"\r\n\r\n")
        await until(lambda: len(core.messages) == 3)
        assert await reader.readexactly(2) == b"\r\n"
        writer.write(MESSAGE[:10])
        await writer.drain()
        writer.close()
        await until(lambda: core.failed)
        assert core.failed == [(core.messages[0][1], "lost")] and len(core.messages) == 3
        await until(lambda: not ends.tcp.tasks)

    on_loop(test)


def test_a_stream_that_cannot_be_framed_is_closed():
    async def test(ends, core, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"OPTIONS sip:x SIP/2.0\r\nContent-Length: 99999999\r\n\r\n")
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()
        await until(lambda: core.failed)

    on_loop(test)


def test_a_half_open_peer_is_cut():
    async def test(ends, core, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(MESSAGE[:12])
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()
        assert ends.tcp.count["cut, partial"] == 1

    on_loop(test, partial_ms=300)


def test_a_peer_that_does_not_read_is_held_back_and_then_cut():
    async def test(ends, core, port):
        peer = socket.create_connection(("127.0.0.1", port))
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.send(MESSAGE)
        await until(lambda: core.messages)
        hop = core.messages[0][1]
        connection = ends.tcp.by_hop[hop]
        while connection.unsent <= 100_000 and not connection.closed:
            ends.send(hop, b"x" * 20_000)
            await asyncio.sleep(0)
        assert not connection.drained.is_set()  # nothing more is read from it
        await asyncio.sleep(0.02)
        read = len(core.messages)
        peer.send(MESSAGE)
        await asyncio.sleep(0.05)
        assert len(core.messages) <= read + 1
        while hop in ends.tcp.by_hop:
            ends.send(hop, b"x" * 20_000)
            await asyncio.sleep(0)
        peer.close()
        assert ends.tcp.count["cut, not reading"] == 1 and (hop, "lost") in core.failed

    on_loop(test, unsent_bytes=200_000)


# Operators' picture (b): beside one peer that sends at full speed, the others' messages waited for 32 KiB of it a turn.
def test_a_peer_that_sends_faster_than_it_is_read_gets_one_read_a_turn():
    async def test(ends, core, port):
        peer = socket.create_connection(("127.0.0.1", port))
        sizes, seen = [], 0

        def flush(now):
            nonlocal seen
            sizes.append(len(core.messages) - seen)
            seen = len(core.messages)

        core.flush = flush
        peer.setblocking(False)
        per_read, sent = READ_BYTES // len(MESSAGE) + 1, 0
        with contextlib.suppress(BlockingIOError):
            while sent < 3 * READS_PER_BATCH * READ_BYTES:  # as much as the kernel holds
                sent += peer.send(MESSAGE * 1_000)
        assert sent > 2 * READS_PER_BATCH * READ_BYTES, "the kernel holds too little for this test"
        await until(lambda: len(core.messages) == sent // len(MESSAGE))
        assert max(sizes) <= READS_PER_BATCH * per_read
        assert sum(size > per_read for size in sizes) <= len(sizes) / 2, "each turn reads as much of it as there is"
        peer.close()

    on_loop(test)


# Hundreds of peers that do not read could together fill the memory, each within its own limit.
def test_peers_that_do_not_read_are_cut_before_they_fill_the_memory_together():
    async def test(ends, core, port):
        ends.tcp.queue_limit = 300_000
        peers = [socket.create_connection(("127.0.0.1", port)) for _ in range(8)]
        for peer in peers:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            peer.send(MESSAGE)
        await until(lambda: len(core.messages) == 8)
        hops = [hop for _, hop in core.messages]
        reader = hops[0]
        for _ in range(10_000):
            for hop in hops[1:]:
                if hop in ends.tcp.by_hop:
                    ends.send(hop, b"x" * 5_000)
                assert ends.tcp.queue_memory <= 300_000
            await asyncio.sleep(0)
            if ends.tcp.count["cut, not reading"] >= 3:
                break
        assert ends.tcp.count["cut, not reading"] >= 3 and reader in ends.tcp.by_hop
        ends.send(reader, b"y")
        for peer in peers:
            peer.close()
        await until(lambda: not ends.tcp.tasks)
        assert ends.tcp.queue_memory == 0

    on_loop(test, unsent_bytes=200_000)


def test_refused_and_silent_addresses():
    async def test(ends, core, port):
        closed = reserve_port()
        ends.send(Hop("tcp", "127.0.0.1", closed, 0), MESSAGE)
        ends.send(Hop("udp", "127.0.0.1", closed, 0), MESSAGE)
        await until(lambda: len(core.failed) == 2)
        assert {(hop[0], hop[2], kind) for hop, kind in core.failed} == {
            ("tcp", closed, "refused"),
            ("udp", closed, "refused"),
        }
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:  # the socket is still read after the error
            peer.sendto(MESSAGE, ("127.0.0.1", port))
            await until(lambda: core.messages)
        ends.send(Hop("tcp", "127.0.0.1", 1, 77), MESSAGE)  # a connection that does not exist
        await until(lambda: len(core.failed) == 3)

    on_loop(test)


def test_the_bound_on_connections():
    async def test(ends, core, port):
        peers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        await until(lambda: ends.tcp.count["over the bound"] == 2)
        assert len(ends.tcp.by_hop) == 2
        for _, writer in peers:
            writer.close()

    on_loop(test, connections=2)


# A stream was not read before a late timer ran, so that an answer which had come by TCP was taken for a time-out.
@pytest.mark.parametrize("transport", ["udp", "tcp"])
def test_a_late_timer_reads_the_sockets_first(transport):
    async def test(ends, core, port):
        order = []

        class Owner:
            def due(self, now, name):
                order.append(len(core.messages))

        kind = socket.SOCK_DGRAM if transport == "udp" else socket.SOCK_STREAM
        with socket.socket(socket.AF_INET, kind) as peer:
            peer.connect(("127.0.0.1", port))
            await asyncio.sleep(0.05)  # a connection is accepted
            core.timers.set(now_us() + 20_000, Owner(), "x")
            ends.arm()
            peer.send(MESSAGE)
            time.sleep(0.15)  # stalls the whole process
            await until(lambda: order)
        assert order == [1]

    on_loop(test)


def test_a_port_in_use_is_named():
    async def test(ends, core, port):
        other = TransportLayer(asyncio.get_running_loop(), Limits(), Core())
        with pytest.raises(OSError) as caught:
            other.open([("tcp", "127.0.0.1", port)])
        assert caught.value.filename == f"tcp:127.0.0.1:{port}"
        await other.close()

    on_loop(test)


@pytest.mark.parametrize(("host", "kind"), [("localhost", "unreached"), ("127.0.0.1", "refused")])
def test_a_name_is_never_resolved_and_a_refused_connection_is_reported_as_such(host, kind):
    async def test(ends, core, port):
        ends.tcp.stream = ends.tcp.stream._replace(unreached_kind="unreached")
        hop = ends.tcp.connect(host, reserve_port())
        await until(lambda: core.failed)
        assert core.failed == [(hop, kind)] and not ends.tcp.by_hop

    on_loop(test)


def test_connections_that_end_by_an_error_leave_nothing_for_the_collector():
    """Left in a reference cycle, each reset or refused connection would keep its buffers until a garbage collection, and
    memory would grow for hours."""

    async def test(ends, core, port):
        closed = reserve_port()
        gc.collect()
        gc.disable()
        try:
            for n in range(20):
                with socket.create_connection(("127.0.0.1", port)) as peer:  # reset by the peer
                    peer.sendall(MESSAGE[:5])
                    await asyncio.sleep(0.01)
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                ends.tcp.connect("127.0.0.1", closed)  # refused
                with socket.create_connection(("127.0.0.1", port)) as peer:  # unreadable
                    peer.sendall(b"OPTIONS sip:x SIP/2.0\r\nContent-Length: 99999999\r\n\r\n")
                    await until(lambda n=n: len(core.failed) >= 3 * n + 3)
            await until(lambda: not ends.tcp.tasks)
            assert gc.collect() < 20
        finally:
            gc.enable()

    on_loop(test)


def test_a_connection_that_never_comes_up_ends_after_its_time_and_leaves_nothing():
    async def test(ends, core, port):
        ends.tcp.stream = ends.tcp.stream._replace(unreached_kind="unreached")
        with (
            socket.socket() as full_listener
        ):  # its accept queue is queue_fillers, so that a further connection gets no answer
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            queue_fillers = [socket.socket() for _ in range(4)]
            for peer in queue_fillers:
                peer.setblocking(False)
                peer.connect_ex(full_listener.getsockname())
            gc.collect()
            gc.disable()
            try:
                began = asyncio.get_running_loop().time()
                hops = [ends.tcp.connect(*full_listener.getsockname()) for _ in range(5)]
                await until(lambda: len(core.failed) == 5)
                elapsed_s = asyncio.get_running_loop().time() - began
                assert sorted(core.failed) == sorted((hop, "unreached") for hop in hops) and 0.2 <= elapsed_s < 2
                assert gc.collect() < 5
            finally:
                gc.enable()
                for peer in queue_fillers:
                    peer.close()

    on_loop(test, connect_ms=200)
