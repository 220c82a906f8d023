"""How stream connections end: what lies in a socket when one side closes it. Each crossing is made by order: what the
peer does, it does between two turns of the loop."""

import asyncio
import contextlib
import socket
import struct

import pytest
from test_net import MESSAGE, Core, on_loop, until

from thorndale.net.tcp import LINGER_S


class Ordered(Core):
    """Notes the order of what it is told. `answer`: what is done for each message."""

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
    async def run(ends, core, number):
        ends.core = core = Ordered()
        await test(ends, core, number)

    on_loop(run)


def reset(peer):
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


async def admitted(ends, core, number):
    """A peer whose first message was read, and its hop."""
    peer = socket.create_connection(("127.0.0.1", number))
    peer.sendall(MESSAGE)
    await until(lambda: core.seen)
    peer.setblocking(False)
    return peer, core.seen[-1][1]


async def received(peer, size=65536):
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(peer, size), 5)


@pytest.mark.parametrize("messages", [1, 3])
@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_a_peer_that_closed_has_gone_before_what_it_sent_is_acted_on(messages, end):
    async def test(ends, core, number):
        peer, _ = await admitted(ends, core, number)
        core.order.clear()
        peer.sendall(MESSAGE * messages)
        end(peer)
        await until(lambda: core.failed)
        assert core.order[: messages + 2] == ["message"] * messages + ["lost", "acted"]

    ordered(test)


def test_a_peer_that_closed_before_it_was_accepted_has_gone_too():
    async def test(ends, core, number):
        with socket.create_connection(("127.0.0.1", number)) as peer:
            peer.sendall(MESSAGE)
        await until(lambda: core.failed)
        assert core.order[:3] == ["message", "lost", "acted"]

    ordered(test)


def test_a_finished_connection_with_bytes_unread_ends_in_order_and_is_not_reset():
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
        seen, connection = len(core.seen), ends.tcp.by_hop[hop]
        assert ends.tcp.send(hop, b"answer")
        peer.sendall(MESSAGE)
        ends.tcp.finish(hop)
        assert connection.send(b"more") is False, "an ending connection takes nothing"
        peer.sendall(MESSAGE)
        assert await received(peer) == b"answer"
        assert await received(peer) == b""
        peer.sendall(MESSAGE)
        await asyncio.sleep(0.05)
        assert len(core.seen) == seen, "what comes then is thrown away"
        peer.close()
        await until(lambda: not ends.tcp.tasks, LINGER_S / 2)
        assert not core.failed, "whoever finished it is not told"

    ordered(test)


@pytest.mark.parametrize("reads", [True, False])
def test_a_finished_connection_whose_peer_does_not_close_ends_by_itself(reads):
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
        ends.tcp.send(hop, b"x" if reads else b"x" * 120_000)
        ends.tcp.finish(hop)
        await until(lambda: not ends.tcp.tasks, LINGER_S + 1)
        peer.close()

    ordered(test)


def test_a_peer_that_goes_on_sending_to_a_finished_connection_is_not_read_for_long():
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
        connection = ends.tcp.by_hop[hop]
        ends.tcp.finish(hop)
        loop, sent = asyncio.get_running_loop(), 0
        with contextlib.suppress(OSError):
            while ends.tcp.tasks and sent < 50_000_000:
                await loop.sock_sendall(peer, b"x" * 65_536)
                sent += 65_536
        await until(lambda: not ends.tcp.tasks, LINGER_S / 2)
        assert connection.thrown < 1_000_000 and len(core.seen) == 1
        peer.close()

    ordered(test)


def test_what_a_peer_sent_before_it_reset_is_read_though_nothing_can_be_sent():
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
        core.answer = lambda hop: ends.tcp.send(hop, b"answer")
        peer.sendall(MESSAGE * 20)
        reset(peer)
        await until(lambda: core.failed)
        assert len(core.seen) == 21 and core.failed == [(hop, "lost")]

    ordered(test)


def test_a_connection_is_quiet_only_with_nothing_unread_and_nothing_waiting():
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
        assert ends.tcp.is_quiet(hop) and ends.tcp.is_at_rest()
        peer.sendall(MESSAGE[:3])
        assert not ends.tcp.is_quiet(hop) and not ends.tcp.is_at_rest()
        await until(lambda: ends.tcp.is_quiet(hop))
        ends.tcp.send(hop, b"x" * 200_000 + b"y" * 20_000)  # more than the kernel takes of a peer that does not read
        while ends.tcp.is_quiet(hop):
            ends.tcp.send(hop, b"x" * 60_000)
        peer.close()
        await until(lambda: core.failed)
        assert not ends.tcp.is_quiet(hop)

    ordered(test)


def test_who_waits_to_be_accepted_keeps_the_rest_from_being_had():
    async def test(ends, core, number):
        assert ends.tcp.is_at_rest()
        with socket.create_connection(("127.0.0.1", number)) as peer:
            assert not ends.tcp.is_at_rest()
            peer.sendall(MESSAGE)
            await until(lambda: core.seen)

    ordered(test)


def test_all_are_finished_within_the_time_and_nobody_is_accepted_any_more():
    async def test(ends, core, number):
        first, hop = await admitted(ends, core, number)
        second = socket.create_connection(("127.0.0.1", number))
        second.sendall(MESSAGE)
        await until(lambda: len(core.seen) == 2)
        ends.tcp.send(hop, b"answer")
        loop = asyncio.get_running_loop()
        began = loop.time()
        await ends.tcp.finish_all()
        assert loop.time() - began < LINGER_S + 0.5
        assert await received(first) == b"answer" and await received(first) == b""
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", number))
        first.close()
        second.close()

    ordered(test)


def test_one_more_connection_takes_the_place_of_one_that_is_ending():
    async def run(ends, core, number):
        ends.core = core = Ordered()
        peer, hop = await admitted(ends, core, number)
        ends.tcp.finish(hop)
        other = socket.create_connection(("127.0.0.1", number))
        other.sendall(MESSAGE)
        await until(lambda: len(core.seen) == 2)
        assert ends.tcp.count["given up for room"] == 1 and ends.tcp.count["over the bound"] == 0
        peer.close()
        other.close()

    on_loop(run, connections=1)


def test_each_byte_comes_in_order_through_a_peer_that_reads_in_bursts():
    async def test(ends, core, number):
        peer, hop = await admitted(ends, core, number)
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


# Guards against bytes that were read and never handed on: the ninth read of one turn was thrown away.
@pytest.mark.parametrize("read", [64, 700, 4096])
def test_every_message_of_a_burst_is_handed_on_however_many_reads_it_takes(read):
    async def test(ends, core, number):
        ends.tcp.stream = ends.tcp.stream._replace(read=read)
        peer, _ = await admitted(ends, core, number)
        seen = len(core.seen)
        peer.setblocking(True)
        peer.sendall(MESSAGE * 200)
        await until(lambda: len(core.seen) == seen + 200)
        assert not core.failed
        peer.close()

    ordered(test)


def sees_end(peer):
    """Whether the end of its connection has come to a peer."""
    try:
        return peer.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


# Guards against a message that its peer still sends on a connection which was taken for lost and replaced already.
def test_the_end_of_a_stream_that_cannot_be_read_has_reached_its_peer_before_it_is_told():
    async def test(ends, core, number):
        peer, _ = await admitted(ends, core, number)
        seen = []
        core.lost = lambda now, hop, kind: seen.append(sees_end(peer))
        peer.sendall(b"OPTIONS sip:x SIP/2.0\r\nContent-Length: 99999999\r\n\r\n")
        await until(lambda: seen)
        assert seen == [True]

    ordered(test)
