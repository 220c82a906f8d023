"""Both ends of a call made as cheap as they can be, in processes of their own: a caller at a fixed rate, a box that
answers at once, and a bare relay that passes the same datagrams without a look at them.

Messages are templates; what comes is searched, not parsed. One socket each, UDP or TCP.
"""

import asyncio
import json
import select
import socket
import sys
import time

import uvloop
from hdrh.histogram import HdrHistogram

REPEAT_S = 0.5  # RFC 3261's T1
LOSE_S = 8.0  # an INVITE without a final answer after it is lost
SDP = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 9 RTP/AVP 0\r\n"


class Wire:
    """One socket that gives whole messages: datagrams, or a stream cut by Content-Length."""

    def __init__(self, transport, sock, peer=None):
        self.stream, self.sock, self.peer, self.held = transport == "tcp", sock, peer, bytearray()
        sock.setblocking(False)

    def send(self, data, to=None):
        if not self.stream:
            self.sock.sendto(data, to or self.peer)
            return
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                select.select([], [self.sock], [], 1)

    def read(self):
        """(message, from) pairs that are there."""
        out = []
        if not self.stream:
            for _ in range(256):
                try:
                    out.append(self.sock.recvfrom(65535))
                except BlockingIOError:
                    break
            return out
        try:
            self.held += self.sock.recv(262144)
        except BlockingIOError:
            return out
        while (end := self.held.find(b"\r\n\r\n")) >= 0:
            at = self.held.find(b"Content-Length: ", 0, end + 2)
            size = end + 4 + int(self.held[at + 16 : self.held.find(b"\r", at)])
            if len(self.held) < size:
                break
            out.append((bytes(self.held[:size]), None))
            del self.held[:size]
        return out


def field(data, name):
    at = data.find(b"\r\n" + name) + 2
    return data[at : data.find(b"\r\n", at)]


def box(transport, port, fail_each, seconds):
    """Answers each INVITE at once with 100 and 200; each `fail_each`-th with 500."""
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
    wire, invites, end = Wire(transport, sock), 0, time.monotonic() + seconds
    tail = ";transport=tcp" if transport == "tcp" else ""
    contact = f"Contact: <sip:127.0.0.1:{port}{tail}>\r\n"
    ok = f"{contact}X-Load: free=900;lines=1000;wait=1\r\nContent-Type: application/sdp\r\nContent-Length: {len(SDP)}\r\n\r\n{SDP}"
    while time.monotonic() < end:
        select.select([sock], [], [], 0.2)
        for data, source in wire.read():
            if data[:4] == b"ACK ":
                continue
            head = (
                b"\r\n".join(
                    (
                        field(data, b"Via"),
                        field(data, b"From"),
                        field(data, b"To"),
                        field(data, b"Call-ID"),
                        field(data, b"CSeq"),
                    )
                )
                + b"\r\n"
            )
            if data[:6] == b"INVITE":
                invites += 1
                wire.send(b"SIP/2.0 100 Trying\r\n" + head + b"Content-Length: 0\r\n\r\n", source)
                tagged = head.replace(b"\r\nCall-ID", b";tag=b%d\r\nCall-ID" % invites, 1)
                if fail_each and invites % fail_each == 0:
                    wire.send(b"SIP/2.0 500 Server Error\r\n" + tagged + b"Content-Length: 0\r\n\r\n", source)
                else:
                    wire.send(b"SIP/2.0 200 OK\r\n" + tagged + ok.encode(), source)
            elif data[:4] == b"BYE ":
                wire.send(b"SIP/2.0 200 OK\r\n" + head + b"Content-Length: 0\r\n\r\n", source)


def caller(transport, to, rate, calls, hold, base, window=1 << 30):
    """Places `calls` calls at `rate` a second, at most `window` of them not answered at once; with `hold` they stand until told by a line on standard input.

    Prints one JSON line: stood, failed, lost, repeated, seconds, and the set-up times in microseconds.
    """
    if transport == "tcp":
        sock = socket.create_connection(("127.0.0.1", to))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    else:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    wire, wave = Wire(transport, sock, ("127.0.0.1", to)), HdrHistogram(1, 60_000_000, 3)
    tail = ";transport=tcp" if transport == "tcp" else ""
    via = f"Via: SIP/2.0/{transport.upper()} 127.0.0.1:{port};branch=z9hG4bK"
    out, waiting, standing = {}, {}, []
    count = {"stood": 0, "failed": 0, "lost": 0, "repeated": 0, "ended": 0}
    sent, began = 0, time.perf_counter()
    next_look = began

    def request(method, n, to_line, uri, seq, branch):
        return (
            f"{method} {uri} SIP/2.0\r\n{via}{branch}{base}{n}\r\nMax-Forwards: 70\r\n"
            f"From: <sip:+22177{n:07d}@127.0.0.1>;tag=c{base}{n}\r\n{to_line}\r\nCall-ID: {base}{n}\r\n"
            f"CSeq: {seq} {method}\r\nContact: <sip:c@127.0.0.1:{port}{tail}>\r\n"
        )

    def bye(n, to_line, uri):
        data = (request("BYE", n, to_line, uri, 2, "b") + "Content-Length: 0\r\n\r\n").encode()
        waiting[n] = [time.perf_counter(), data]
        wire.send(data)

    while True:
        now = time.perf_counter()
        while sent < calls and now - began >= sent / rate and len(out) + len(waiting) < window:
            data = (
                request(
                    "INVITE",
                    sent,
                    f"To: <sip:+2217{sent:07d}@127.0.0.1>",
                    f"sip:+2217{sent:07d}@127.0.0.1:{to}",
                    1,
                    "i",
                )
                + f"Content-Type: application/sdp\r\nContent-Length: {len(SDP)}\r\n\r\n{SDP}"
            ).encode()
            out[sent] = [now, now, data]
            wire.send(data)
            sent += 1
        for data, _ in wire.read():
            cseq = field(data, b"CSeq")
            if data[:7] != b"SIP/2.0" or data[8:9] == b"1":
                continue
            n = int(field(data, b"Call-ID")[9 + len(base) :])
            if cseq.endswith(b"BYE"):
                if waiting.pop(n, None):
                    count["ended"] += 1
                continue
            entry = out.pop(n, None)
            to_line = field(data, b"To").decode()
            if data[8:9] == b"2":
                uri = field(data, b"Contact").decode()[10:-1]
                ack = request("ACK", n, to_line, uri, 1, "a")
                wire.send((ack + "Content-Length: 0\r\n\r\n").encode())
                if entry:
                    wave.record_value(max(1, int((time.perf_counter() - entry[0]) * 1e6)))
                    count["stood"] += 1
                    if hold:
                        standing.append((n, to_line, uri))
                    else:
                        bye(n, to_line, uri)
            elif entry:
                count["failed"] += 1
                ack = request("ACK", n, to_line, f"sip:+2217{n:07d}@127.0.0.1:{to}", 1, "i")
                wire.send((ack + "Content-Length: 0\r\n\r\n").encode())
        if now >= next_look:
            next_look = now + 0.1
            if transport == "udp":
                for entry in [e for e in out.values() if now - e[1] > REPEAT_S]:
                    entry[1] = now
                    count["repeated"] += 1
                    wire.send(entry[2])
                for entry in [e for e in waiting.values() if now - e[0] > REPEAT_S]:
                    entry[0] = now
                    count["repeated"] += 1
                    wire.send(entry[1])
            for n in [n for n, e in out.items() if now - e[0] > LOSE_S]:
                del out[n]
                count["lost"] += 1
        if sent == calls and not out and not waiting:
            if not standing:
                break
            print("standing", flush=True)
            sys.stdin.readline()
            calls_at = time.perf_counter()
            for i, call in enumerate(standing):
                while time.perf_counter() - calls_at < i / rate:
                    for data, _ in wire.read():
                        if field(data, b"CSeq").endswith(b"BYE"):
                            waiting.pop(int(field(data, b"Call-ID")[9 + len(base) :]), None)
                            count["ended"] += 1
                bye(*call)
            standing = []
        select.select(
            [sock], [], [], max(0.0, min(0.02, began + sent / rate - time.perf_counter())) if sent < calls else 0.02
        )
    seconds = time.perf_counter() - began
    at = {str(p): wave.get_value_at_percentile(p) for p in (50, 99, 99.9)}
    print(json.dumps({**count, "seconds": seconds, "us": at}), flush=True)


def relay(port, to):
    """Passes datagrams between whoever sent first and `to`, on uvloop, without reading them."""

    async def main():
        loop = asyncio.get_running_loop()
        near, far = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        near.bind(("127.0.0.1", port))
        far.bind(("127.0.0.1", 0))
        buffer, caller_at = bytearray(65535), [None]

        def outward():
            for _ in range(64):
                try:
                    size, caller_at[0] = near.recvfrom_into(buffer)
                except BlockingIOError:
                    return
                far.sendto(memoryview(buffer)[:size], ("127.0.0.1", to))

        def inward():
            for _ in range(64):
                try:
                    size, _ = far.recvfrom_into(buffer)
                except BlockingIOError:
                    return
                near.sendto(memoryview(buffer)[:size], caller_at[0])

        loop.add_reader(near.fileno(), outward)
        loop.add_reader(far.fileno(), inward)
        print("ready", flush=True)
        await asyncio.sleep(600)

    uvloop.run(main())


if __name__ == "__main__":
    kind, *rest = sys.argv[1:]
    if kind == "box":
        box(rest[0], int(rest[1]), int(rest[2]), float(rest[3]))
    elif kind == "caller":
        caller(rest[0], int(rest[1]), float(rest[2]), int(rest[3]), rest[4] == "hold", rest[5], *map(int, rest[6:]))
    else:
        relay(int(rest[0]), int(rest[1]))
