"""How stream connections end, with data in the socket when one side closes it. Each race is forced: the peer acts
between two iterations of the event loop."""

import asyncio
import contextlib
import socket
import struct

import pytest
from test_net import MESSAGE, Core, on_loop, until

from thorndale.net.tcp import LINGER_S


class Ordered(Core):
    """Records the order of the calls made to it. `answer` is called for each message."""

    def __init__(self):
        super().__init__()
        self.order, self.answer = [], lambda hop: None

    def receive(self, now, data, hop, stream=False):
        super().receive(now, data, hop, stream)
        self.order.append("message")
        self.answer(hop)

    def lost(self, now, hop, kind):
        super().lost(now, hop, kind)
        self.order.append(kind)

    def flush(self, now):
        if self.order and self.order[-1] != "acted":
            self.order.append("acted")


def ordered(test):
    async def run(ends, core, port):
        ends.core = core = Ordered()
        await test(ends, core, port)

    on_loop(run)


def reset(peer):
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


async def admitted(ends, core, port):
    """A peer whose first message was read, and its hop."""
    peer = socket.create_connection(("127.0.0.1", port))
    peer.sendall(MESSAGE)
    await until(lambda: core.messages)
    peer.setblocking(False)
    return peer, core.messages[-1][1]


async def received(peer, size=65536):
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(peer, size), 5)


@pytest.mark.parametrize("messages", [1, 3])
@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_a_peer_that_closed_has_gone_before_what_it_sent_is_acted_on(messages, end):
    async def test(ends, core, port):
        peer, _ = await admitted(ends, core, port)
        core.order.clear()
        peer.sendall(MESSAGE * messages)
        end(peer)
        await until(lambda: core.failed)
        assert core.order[: messages + 2] == ["message"] * messages + ["lost", "acted"]

    ordered(test)


def test_a_peer_that_closed_before_it_was_accepted_has_gone_too():
    async def test(ends, core, port):
        with socket.create_connection(("127.0.0.1", port)) as peer:
            peer.sendall(MESSAGE)
        await until(lambda: core.failed)
        assert core.order[:3] == ["message", "lost", "acted"]

    ordered(test)


def test_a_finished_connection_with_bytes_unread_ends_in_order_and_is_not_reset():
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        count_before, connection = len(core.messages), ends.tcp.by_hop[hop]
        assert ends.tcp.send(hop, b"answer")
        peer.sendall(MESSAGE)
        ends.tcp.finish(hop)
        assert connection.send(b"more") is False, "an ending connection takes nothing"
        peer.sendall(MESSAGE)
        assert await received(peer) == b"answer"
        assert await received(peer) == b""
        peer.sendall(MESSAGE)
        await asyncio.sleep(0.05)
        assert len(core.messages) == count_before, "later input is discarded"
        peer.close()
        await until(lambda: not ends.tcp.tasks, LINGER_S / 2)
        assert not core.failed, "its end is not reported to the side that finished it"

    ordered(test)


@pytest.mark.parametrize("reads", [True, False])
def test_a_finished_connection_whose_peer_does_not_close_ends_by_itself(reads):
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        ends.tcp.send(hop, b"x" if reads else b"x" * 120_000)
        ends.tcp.finish(hop)
        await until(lambda: not ends.tcp.tasks, LINGER_S + 1)
        peer.close()

    ordered(test)


def test_a_peer_that_goes_on_sending_to_a_finished_connection_is_not_read_for_long():
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        connection = ends.tcp.by_hop[hop]
        ends.tcp.finish(hop)
        loop, sent = asyncio.get_running_loop(), 0
        with contextlib.suppress(OSError):
            while ends.tcp.tasks and sent < 50_000_000:
                await loop.sock_sendall(peer, b"x" * 65_536)
                sent += 65_536
        await until(lambda: not ends.tcp.tasks, LINGER_S / 2)
        assert connection.discarded_bytes < 1_000_000 and len(core.messages) == 1
        peer.close()

    ordered(test)


def test_what_a_peer_sent_before_it_reset_is_read_though_nothing_can_be_sent():
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        core.answer = lambda hop: ends.tcp.send(hop, b"answer")
        peer.sendall(MESSAGE * 20)
        reset(peer)
        await until(lambda: core.failed)
        assert len(core.messages) == 21 and core.failed == [(hop, "lost")]

    ordered(test)


def test_a_connection_is_quiet_only_with_nothing_unread_and_nothing_waiting():
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        assert ends.tcp.is_quiet(hop) and ends.tcp.is_at_rest()
        peer.sendall(MESSAGE[:3])
        assert not ends.tcp.is_quiet(hop) and not ends.tcp.is_at_rest()
        await until(lambda: ends.tcp.is_quiet(hop))
        ends.tcp.send(hop, b"x" * 200_000 + b"y" * 20_000)  # more than the kernel buffers for a peer that does not read
        while ends.tcp.is_quiet(hop):
            ends.tcp.send(hop, b"x" * 60_000)
        peer.close()
        await until(lambda: core.failed)
        assert not ends.tcp.is_quiet(hop)

    ordered(test)


def test_not_at_rest_while_a_connection_waits_to_be_accepted():
    async def test(ends, core, port):
        assert ends.tcp.is_at_rest()
        with socket.create_connection(("127.0.0.1", port)) as peer:
            assert not ends.tcp.is_at_rest()
            peer.sendall(MESSAGE)
            await until(lambda: core.messages)

    ordered(test)


def test_all_are_finished_within_the_time_and_nobody_is_accepted_any_more():
    async def test(ends, core, port):
        first, hop = await admitted(ends, core, port)
        second = socket.create_connection(("127.0.0.1", port))
        second.sendall(MESSAGE)
        await until(lambda: len(core.messages) == 2)
        ends.tcp.send(hop, b"answer")
        loop = asyncio.get_running_loop()
        began = loop.time()
        await ends.tcp.finish_all()
        assert loop.time() - began < LINGER_S + 0.5
        assert await received(first) == b"answer" and await received(first) == b""
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))
        first.close()
        second.close()

    ordered(test)


def test_one_more_connection_takes_the_place_of_one_that_is_ending():
    async def run(ends, core, port):
        ends.core = core = Ordered()
        peer, hop = await admitted(ends, core, port)
        ends.tcp.finish(hop)
        other = socket.create_connection(("127.0.0.1", port))
        other.sendall(MESSAGE)
        await until(lambda: len(core.messages) == 2)
        assert ends.tcp.count["given up for room"] == 1 and ends.tcp.count["over the bound"] == 0
        peer.close()
        other.close()

    on_loop(run, connections=1)


def test_each_byte_comes_in_order_through_a_peer_that_reads_in_bursts():
    async def test(ends, core, port):
        peer, hop = await admitted(ends, core, port)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sent, got = b"", b""
        for n in range(400):
            piece = b"%06d|" % n * 60
            assert ends.tcp.send(hop, piece)
            sent += piece
            if n % 7 == 0:
                got += await received(peer)
                await asyncio.sleep(0)
        while len(got) < len(sent):
            got += await received(peer)
        assert got == sent
        peer.close()

    ordered(test)


# The ninth read of one loop iteration was discarded, so that its bytes were never delivered.
@pytest.mark.parametrize("read", [64, 700, 4096])
def test_every_message_of_a_burst_is_handed_on_however_many_reads_it_takes(read):
    async def test(ends, core, port):
        ends.tcp.stream = ends.tcp.stream._replace(read_bytes=read)
        peer, _ = await admitted(ends, core, port)
        count_before = len(core.messages)
        peer.setblocking(True)
        peer.sendall(MESSAGE * 200)
        await until(lambda: len(core.messages) == count_before + 200)
        assert not core.failed
        peer.close()

    ordered(test)


def end_has_arrived(peer):
    """Whether a peer has received the end of its connection."""
    try:
        return peer.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


# Otherwise the peer still sends a message on a connection that has already been reported lost and replaced.
def test_the_end_of_a_stream_that_cannot_be_read_has_reached_its_peer_before_it_is_told():
    async def test(ends, core, port):
        peer, _ = await admitted(ends, core, port)
        end_reached_peer = []
        core.lost = lambda now, hop, kind: end_reached_peer.append(end_has_arrived(peer))
        peer.sendall(b"OPTIONS sip:x SIP/2.0\r\nContent-Length: 99999999\r\n\r\n")
        await until(lambda: end_reached_peer)
        assert end_reached_peer == [True]

    ordered(test)
