"""The I/O worker: a separate process that performs file operations, and the event loop's end of the socket to it.

A thread would share the interpreter lock with the loop: each write costs the loop two switches of the lock, and under
load answers wait 10 ms and more for it. A process has its own lock. If the proxy is killed, the worker first completes
the jobs already sent to it, holding the folder's lock meanwhile; it ends when the socket is closed.

Messages are a length of 4 bytes and a pickle; both ends of the private socket pair run this program.
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
READ_BYTES = 1 << 20


class IoWorker:
    """Calls `done(serial, error, result)` on the loop for each job, and `lost()` once if the process ends."""

    def __init__(self, loop, files, done, lost):
        self.loop, self.files, self.done, self.lost = loop, files, done, lost
        self.serial, self.unsent, self.buffer = 0, deque(), bytearray()
        self.sock, worker_sock = socket.socketpair()
        self.sock.setblocking(False)
        self.writing = False
        # A session of its own: signals to the proxy's process group must not end the worker; the proxy ends it by
        # closing the socket.
        self.process = subprocess.Popen(
            [sys.executable, "-m", "thorndale.records.io_worker", files.folder, str(worker_sock.fileno())],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            pass_fds=(worker_sock.fileno(), files.lock_fd),
            start_new_session=True,
        )
        worker_sock.close()
        loop.add_reader(self.sock, self._read)

    def submit(self, kind, *args):
        """Sends a job; returns its serial number."""
        self.serial += 1
        body = pickle.dumps((self.serial, kind, args), pickle.HIGHEST_PROTOCOL)
        data = LENGTH.pack(len(body)) + body
        if not self.unsent:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.serial  # the process has ended, which `lost` reports
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
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            self.lost()
            return
        self.buffer += data
        at, size = 0, len(self.buffer)
        while size - at >= 4:
            end = at + 4 + LENGTH.unpack_from(self.buffer, at)[0]
            if end > size:
                break
            serial, error, result = pickle.loads(self.buffer[at + 4 : end])
            at = end
            self.done(serial, error, result)
        del self.buffer[:at]

    def close(self):
        """Ends the worker once it has completed the jobs sent so far."""
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
    """The worker process: runs jobs until the socket is closed."""
    for name in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(name, signal.SIG_IGN)
    sock, files, lock = socket.socket(fileno=number), Files(folder), threading.Lock()
    syncs, ready = deque(), threading.Semaphore(0)

    def run_job(serial, kind, args):
        error, result = "", None
        try:
            if kind == "op":
                fo.perform(files, args[0])
            elif kind == "word":
                fo.add_resolution(files, *args)
            elif kind == "erase":
                result = [(t.number, t.records) for t in fo.erase(files, *args)]
        except OSError as exc:
            error = f"{args[0].what if kind == 'op' else kind}: {exc.strerror or exc}"
        except Exception as exc:  # noqa: BLE001 - a bug must not leave the journal waiting for ever
            error = f"{kind}: {exc!r}"
        body = pickle.dumps((serial, error, result), pickle.HIGHEST_PROTOCOL)
        try:
            with lock:
                sock.sendall(LENGTH.pack(len(body)) + body)
        except OSError:
            pass  # the proxy has ended; the jobs that it sent are still done

    def sync():
        while True:
            ready.acquire()
            run_job(*syncs.popleft())

    threading.Thread(target=sync, daemon=True).start()
    buffer = bytearray()
    while True:
        try:
            data = sock.recv(READ_BYTES)
        except OSError:
            return  # the proxy was killed with results unread; the jobs that it sent were read before
        if not data:
            return
        buffer += data
        at = 0
        while len(buffer) - at >= 4:
            end = at + 4 + LENGTH.unpack_from(buffer, at)[0]
            if end > len(buffer):
                break
            job = pickle.loads(buffer[at + 4 : end])
            at = end
            if job[1] == "op" and job[2][0].what == "sync":
                syncs.append(job)
                ready.release()
            else:
                run_job(*job)
        del buffer[:at]


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
