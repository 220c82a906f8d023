"""The disk's hand: a process of its own that does the operations, and the loop's end of the socket to it.

Threads were tried first: each write cost the loop two turns of the interpreter's lock, and answers waited 10 ms and
more for theirs under load. A process shares no lock. It outlives a proxy that is killed until it has done what was sent
to it, holding the folder's lock meanwhile; it ends when the socket does.

Messages are a length of 4 bytes and a pickle, from this program to itself over a socket pair that nobody else has.
"""

import pickle
import signal
import socket
import struct
import subprocess
import sys
import threading
from collections import deque

from thorndale.records import folder as fo
from thorndale.records.files import Files

LENGTH = struct.Struct("<I")
READ = 1 << 20


class Hand:
    """`done(serial, fault, result)` is called on the loop for each piece of work; `lost()` once if the process ends."""

    def __init__(self, loop, files, done, lost):
        self.loop, self.files, self.done, self.lost = loop, files, done, lost
        self.serial, self.unsent, self.held = 0, deque(), bytearray()
        self.sock, far = socket.socketpair()
        self.sock.setblocking(False)
        self.writing = False
        # Signals to the proxy's group are for the proxy: it tells its hand when to end by closing the socket.
        self.process = subprocess.Popen(
            [sys.executable, "-m", "thorndale.records.hand", files.folder, str(far.fileno())],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            pass_fds=(far.fileno(), files.lock_fd),
            start_new_session=True,
        )
        far.close()
        loop.add_reader(self.sock, self._read)

    def submit(self, what, *args):
        """Sends work; gives its serial number."""
        self.serial += 1
        body = pickle.dumps((self.serial, what, args), pickle.HIGHEST_PROTOCOL)
        data = LENGTH.pack(len(body)) + body
        if not self.unsent:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.serial  # it has ended: `lost` tells
            if sent == len(data):
                return self.serial
            data = data[sent:]
        self.unsent.append(memoryview(data))
        if not self.writing:
            self.writing = True
            self.loop.add_writer(self.sock, self._write)
        return self.serial

    def _write(self):
        try:
            while self.unsent:
                sent = self.sock.send(self.unsent[0])
                if sent < len(self.unsent[0]):
                    self.unsent[0] = self.unsent[0][sent:]
                    return
                self.unsent.popleft()
        except BlockingIOError:
            return
        except OSError:
            self.unsent.clear()
        self.writing = False
        self.loop.remove_writer(self.sock)

    def _read(self):
        try:
            data = self.sock.recv(READ)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            self.lost()
            return
        self.held += data
        at, size = 0, len(self.held)
        while size - at >= 4:
            end = at + 4 + LENGTH.unpack_from(self.held, at)[0]
            if end > size:
                break
            serial, fault, result = pickle.loads(self.held[at + 4 : end])
            at = end
            self.done(serial, fault, result)
        del self.held[:at]

    def close(self):
        """Ends it once it has done what it was sent."""
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            if self.writing:
                self.loop.remove_writer(self.sock)
            self.sock.close()

    def wait(self, seconds):
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True


def main(folder, number):
    """The process: works until the socket ends."""
    for name in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)
    sock, files, lock = socket.socket(fileno=number), Files(folder), threading.Lock()
    syncs, ready = deque(), threading.Semaphore(0)

    def act(serial, what, args):
        fault, result = "", None
        try:
            if what == "op":
                fo.perform(files, args[0])
            elif what == "word":
                fo.add_word(files, *args)
            elif what == "erase":
                result = [(t.number, t.records) for t in fo.erase(files, *args)]
        except OSError as error:
            fault = f"{args[0].what if what == 'op' else what}: {error.strerror or error}"
        except Exception as error:  # noqa: BLE001 - a fault of ours must not leave the journal waiting for ever
            fault = f"{what}: {error!r}"
        body = pickle.dumps((serial, fault, result), pickle.HIGHEST_PROTOCOL)
        try:
            with lock:
                sock.sendall(LENGTH.pack(len(body)) + body)
        except OSError:
            pass  # the proxy is gone; what it had sent is still done

    def sync():
        while True:
            ready.acquire()
            act(*syncs.popleft())

    threading.Thread(target=sync, daemon=True).start()
    held = bytearray()
    while True:
        try:
            data = sock.recv(READ)
        except OSError:
            return  # the proxy was killed with results unread; what it had sent was read first
        if not data:
            return
        held += data
        at = 0
        while len(held) - at >= 4:
            end = at + 4 + LENGTH.unpack_from(held, at)[0]
            if end > len(held):
                break
            work = pickle.loads(held[at + 4 : end])
            at = end
            if work[1] == "op" and work[2][0].what == "sync":
                syncs.append(work)
                ready.release()
            else:
                act(*work)
        del held[:at]


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
