"""Minimal call ends for benchmarks, each in its own process: a caller at a fixed rate, a server stand-in that answers
at once, and a bare relay that forwards datagrams without reading them.

Their own cost has to be small beside that of the proxy, so messages are sent from templates, received messages are
searched for fields and not parsed, and each end uses one socket, UDP or TCP.
"""

import asyncio
import json
import select
import socket
import sys
import time

import uvloop
from hdrh.histogram import HdrHistogram

RETRANSMIT_AFTER_S = 0.5  # T1 of RFC 3261
LOST_AFTER_S = 8.0  # an INVITE counts as lost without a final answer after this time
SDP = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 9 RTP/AVP 0\r\n"


class MessageSocket:
    """One socket that yields whole messages: datagrams, or a stream split by Content-Length."""

    def __init__(self, transport, sock, peer=None):
        self.is_stream, self.sock, self.peer, self.buffer = transport == "tcp", sock, peer, bytearray()
        sock.setblocking(False)

    def send(self, data, to=None):
        if not self.is_stream:
            self.sock.sendto(data, to or self.peer)
            return
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                select.select([], [self.sock], [], 1)

    def read(self):
        """Returns the (message, sender) pairs that can be read without waiting."""
        messages = []
        if not self.is_stream:
            for _ in range(256):
                try:
                    messages.append(self.sock.recvfrom(65535))
                except BlockingIOError:
                    break
            return messages
        try:
            self.buffer += self.sock.recv(262144)
        except BlockingIOError:
            return messages
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            length_at = self.buffer.find(b"Content-Length: ", 0, end + 2)
            size = end + 4 + int(self.buffer[length_at + 16 : self.buffer.find(b"\r", length_at)])
            if len(self.buffer) < size:
                break
            messages.append((bytes(self.buffer[:size]), None))
            del self.buffer[:size]
        return messages


def header_line(data, name):
    at = data.find(b"\r\n" + name) + 2
    return data[at : data.find(b"\r\n", at)]


def run_server(transport, port, fail_each, seconds):
    """Server stand-in: answers each INVITE at once with 100 and 200, and each `fail_each`-th one with 500."""
    if transport == "tcp":
        listener = socket.create_server(("127.0.0.1", port))
        print("ready", flush=True)
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    else:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        sock.bind(("127.0.0.1", port))
        print("ready", flush=True)
    message_socket, invites, deadline = MessageSocket(transport, sock), 0, time.monotonic() + seconds
    uri_transport = ";transport=tcp" if transport == "tcp" else ""
    contact = f"Contact: <sip:127.0.0.1:{port}{uri_transport}>\r\n"
    ok_headers = f"{contact}X-Load: free=900;lines=1000;wait=1\r\nContent-Type: application/sdp\r\nContent-Length: {len(SDP)}\r\n\r\n{SDP}"
    while time.monotonic() < deadline:
        select.select([sock], [], [], 0.2)
        for data, source in message_socket.read():
            if data[:4] == b"ACK ":
                continue
            copied_headers = (
                b"\r\n".join(
                    (
                        header_line(data, b"Via"),
                        header_line(data, b"From"),
                        header_line(data, b"To"),
                        header_line(data, b"Call-ID"),
                        header_line(data, b"CSeq"),
                    )
                )
                + b"\r\n"
            )
            if data[:6] == b"INVITE":
                invites += 1
                message_socket.send(b"SIP/2.0 100 Trying\r\n" + copied_headers + b"Content-Length: 0\r\n\r\n", source)
                tagged = copied_headers.replace(b"\r\nCall-ID", b";tag=b%d\r\nCall-ID" % invites, 1)
                if fail_each and invites % fail_each == 0:
                    message_socket.send(b"SIP/2.0 500 Server Error\r\n" + tagged + b"Content-Length: 0\r\n\r\n", source)
                else:
                    message_socket.send(b"SIP/2.0 200 OK\r\n" + tagged + ok_headers.encode(), source)
            elif data[:4] == b"BYE ":
                message_socket.send(b"SIP/2.0 200 OK\r\n" + copied_headers + b"Content-Length: 0\r\n\r\n", source)


def run_caller(transport, target_port, rate, calls, hold_calls, call_id_prefix, max_unanswered=1 << 30):
    """Places `calls` calls at `rate` per second with at most `max_unanswered` transactions open.

    With `hold_calls` the answered calls stay established until a line arrives on standard input. Prints one JSON line:
    stood (answered), failed, lost, repeated (retransmitted), ended, seconds, and set-up times in microseconds.
    """
    if transport == "tcp":
        sock = socket.create_connection(("127.0.0.1", target_port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    else:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    message_socket, setup_times_us = (
        MessageSocket(transport, sock, ("127.0.0.1", target_port)),
        HdrHistogram(1, 60_000_000, 3),
    )
    uri_transport = ";transport=tcp" if transport == "tcp" else ""
    via = f"Via: SIP/2.0/{transport.upper()} 127.0.0.1:{port};branch=z9hG4bK"
    open_invites, open_byes, established = {}, {}, []
    counts = {"stood": 0, "failed": 0, "lost": 0, "repeated": 0, "ended": 0}
    sent, began = 0, time.perf_counter()
    next_timer_check = began

    def request(method, n, to_line, uri, seq, branch):
        return (
            f"{method} {uri} SIP/2.0\r\n{via}{branch}{call_id_prefix}{n}\r\nMax-Forwards: 70\r\n"
            f"From: <sip:+22177{n:07d}@127.0.0.1>;tag=c{call_id_prefix}{n}\r\n{to_line}\r\nCall-ID: {call_id_prefix}{n}\r\n"
            f"CSeq: {seq} {method}\r\nContact: <sip:c@127.0.0.1:{port}{uri_transport}>\r\n"
        )

    def bye(n, to_line, uri):
        data = (request("BYE", n, to_line, uri, 2, "b") + "Content-Length: 0\r\n\r\n").encode()
        open_byes[n] = [time.perf_counter(), data]
        message_socket.send(data)

    while True:
        now = time.perf_counter()
        while sent < calls and now - began >= sent / rate and len(open_invites) + len(open_byes) < max_unanswered:
            data = (
                request(
                    "INVITE",
                    sent,
                    f"To: <sip:+2217{sent:07d}@127.0.0.1>",
                    f"sip:+2217{sent:07d}@127.0.0.1:{target_port}",
                    1,
                    "i",
                )
                + f"Content-Type: application/sdp\r\nContent-Length: {len(SDP)}\r\n\r\n{SDP}"
            ).encode()
            open_invites[sent] = [now, now, data]
            message_socket.send(data)
            sent += 1
        for data, _ in message_socket.read():
            cseq = header_line(data, b"CSeq")
            if data[:7] != b"SIP/2.0" or data[8:9] == b"1":
                continue
            n = int(header_line(data, b"Call-ID")[9 + len(call_id_prefix) :])
            if cseq.endswith(b"BYE"):
                if open_byes.pop(n, None):
                    counts["ended"] += 1
                continue
            entry = open_invites.pop(n, None)
            to_line = header_line(data, b"To").decode()
            if data[8:9] == b"2":
                uri = header_line(data, b"Contact").decode()[10:-1]
                ack = request("ACK", n, to_line, uri, 1, "a")
                message_socket.send((ack + "Content-Length: 0\r\n\r\n").encode())
                if entry:
                    setup_times_us.record_value(max(1, int((time.perf_counter() - entry[0]) * 1e6)))
                    counts["stood"] += 1
                    if hold_calls:
                        established.append((n, to_line, uri))
                    else:
                        bye(n, to_line, uri)
            elif entry:
                counts["failed"] += 1
                ack = request("ACK", n, to_line, f"sip:+2217{n:07d}@127.0.0.1:{target_port}", 1, "i")
                message_socket.send((ack + "Content-Length: 0\r\n\r\n").encode())
        if now >= next_timer_check:
            next_timer_check = now + 0.1
            if transport == "udp":
                for entry in [e for e in open_invites.values() if now - e[1] > RETRANSMIT_AFTER_S]:
                    entry[1] = now
                    counts["repeated"] += 1
                    message_socket.send(entry[2])
                for entry in [e for e in open_byes.values() if now - e[0] > RETRANSMIT_AFTER_S]:
                    entry[0] = now
                    counts["repeated"] += 1
                    message_socket.send(entry[1])
            for n in [n for n, e in open_invites.items() if now - e[0] > LOST_AFTER_S]:
                del open_invites[n]
                counts["lost"] += 1
        if sent == calls and not open_invites and not open_byes:
            if not established:
                break
            print("standing", flush=True)
            sys.stdin.readline()
            release_began = time.perf_counter()
            for i, call in enumerate(established):
                while time.perf_counter() - release_began < i / rate:
                    for data, _ in message_socket.read():
                        if header_line(data, b"CSeq").endswith(b"BYE"):
                            open_byes.pop(int(header_line(data, b"Call-ID")[9 + len(call_id_prefix) :]), None)
                            counts["ended"] += 1
                bye(*call)
            established = []
        select.select(
            [sock], [], [], max(0.0, min(0.02, began + sent / rate - time.perf_counter())) if sent < calls else 0.02
        )
    seconds = time.perf_counter() - began
    percentiles = {str(p): setup_times_us.get_value_at_percentile(p) for p in (50, 99, 99.9)}
    print(json.dumps({**counts, "seconds": seconds, "us": percentiles}), flush=True)


def run_relay(port, target_port):
    """Forwards datagrams between the last sender and `target_port` on uvloop, without reading them."""

    async def main():
        loop = asyncio.get_running_loop()
        caller_side, server_side = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (caller_side, server_side):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        caller_side.bind(("127.0.0.1", port))
        server_side.bind(("127.0.0.1", 0))
        buffer, caller_address = bytearray(65535), [None]

        def forward_to_server():
            for _ in range(64):
                try:
                    size, caller_address[0] = caller_side.recvfrom_into(buffer)
                except BlockingIOError:
                    return
                server_side.sendto(memoryview(buffer)[:size], ("127.0.0.1", target_port))

        def forward_to_caller():
            for _ in range(64):
                try:
                    size, _ = server_side.recvfrom_into(buffer)
                except BlockingIOError:
                    return
                caller_side.sendto(memoryview(buffer)[:size], caller_address[0])

        loop.add_reader(caller_side.fileno(), forward_to_server)
        loop.add_reader(server_side.fileno(), forward_to_caller)
        print("ready", flush=True)
        await asyncio.sleep(600)

    uvloop.run(main())


if __name__ == "__main__":
    kind, *rest = sys.argv[1:]
    if kind == "box":
        run_server(rest[0], int(rest[1]), int(rest[2]), float(rest[3]))
    elif kind == "caller":
        run_caller(rest[0], int(rest[1]), float(rest[2]), int(rest[3]), rest[4] == "hold", rest[5], *map(int, rest[6:]))
    else:
        run_relay(int(rest[0]), int(rest[1]))
