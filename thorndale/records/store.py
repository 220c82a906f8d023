"""Call records of a running proxy: recovery at start, then the journal on the event loop and an I/O worker process.

The event loop never blocks on the disk: operations are sent to the worker process and results return over a socket.
The worker writes in one thread and syncs in another, so that a write does not wait for a sync in progress.
"""

import asyncio
import os
import secrets
import time

from thorndale.records import folder as fo
from thorndale.records.files import Files, LockedError
from thorndale.records.io_worker import IoWorker
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger

DAY_US = 86_400_000_000
ERASE_INTERVAL_S = 3600.0  # between two erasures of expired segments; the retention time is set in days
LOCK_WAIT_S = 3.0  # time for the worker of a proxy killed just before to finish and free the folder
READY_WAIT_S = 5.0  # time for the first segment to open; then the proxy starts and applies `on_trouble`
WORKER_RESTART_S = 0.2  # before a new worker is started: repeated early deaths must not use up the loop's time
WORKER_ENDED = "the I/O worker process has ended"
CLOSE_WAIT_S = 10.0  # longest wait for the disk at a stop


class StoreError(Exception):
    """The records cannot be opened; the text tells the operator what to do."""


def open_store(settings, proxy, loop, log, now, wall_offset_us, files=None):
    """Recovers the folder and returns a Store. `settings`: the Records section of the settings. Raises StoreError."""
    try:
        if files is None:
            os.makedirs(settings.folder, mode=0o700, exist_ok=True)
            files = Files(settings.folder)
        files.lock(LOCK_WAIT_S)
        plan = fo.recovery(files)
        if plan.proxy and plan.proxy != proxy:
            files.close()
            raise StoreError(
                f"records.folder: {settings.folder} holds the records of {plan.proxy!r}, this is "
                f"{proxy!r}; give each proxy a folder of its own"
            )
        fo.apply(files, plan.steps)
        for finding in plan.findings:
            log(
                "error", "records: found at start", file=finding.name, at=finding.at, end=finding.end, what=finding.what
            )
        if plan.settled:
            log(
                "warning",
                "records: calls settled",
                calls=len(plan.settled),
                in_doubt=sum(r.answered == "doubt" for r in plan.settled),
            )
    except LockedError as error:
        raise StoreError(f"records.folder: {error}") from None
    except OSError as error:
        files and files.close()
        raise StoreError(
            f"records.folder: {settings.folder}: {error.strerror or error}; free disk space or configure "
            "another folder; no records were lost"
        ) from None
    limits = Limits(
        settings.queue,
        settings.segment_bytes,
        settings.segment_s * 1_000_000,
        settings.commit_ms * 1000,
        settings.slow_ms * 1000,
        settings.on_trouble,
    )
    journal = Journal(
        limits,
        proxy,
        plan.chain or secrets.token_hex(8),
        secrets.token_hex(8),
        wall_offset_us,
        plan.number,
        plan.before,
        plan.next_seq,
    )
    return Store(files, journal, settings, loop, log, plan.unconfirmed, now)


class Store:
    def __init__(self, files, journal, settings, loop, log, unconfirmed, now):
        self.files, self.journal, self.loop, self.log = files, journal, loop, log
        self.in_flight = {}  # serial number of a job sent to the worker: (kind, subject)
        self.worker = IoWorker(loop, files, self._done, self._worker_lost)
        self.ledger = Ledger(
            journal, settings.answer, settings.wait_ms * 1000, self.begin, self.write_resolution, log, unconfirmed, now
        )
        self.clock, self.on_results, self.closing, self.erase_timer, self.restart_timer = None, None, False, None, None

    def attach(self, clock, on_results):
        """`clock()` returns the loop's time in us. `on_results()` is called when results may have released answers; it
        flushes the border, and with it the ledger."""
        self.clock, self.on_results = clock, on_results

    async def ready(self):
        """Waits until the first segment is open, so that early answers do not precede their records. If the disk does
        not respond, waits READY_WAIT_S at most."""
        deadline = time.monotonic() + READY_WAIT_S
        while self.journal.segment is None and time.monotonic() < deadline:
            self.ledger.flush(self.clock())
            await asyncio.sleep(0.005)

    def begin(self, op):
        self._submit("op", op._replace(entries=()), op)

    def write_resolution(self, seq, resolution):
        self._submit("word", resolution, fo.PROXY_RESOLUTIONS, seq, resolution)

    def start_retention(self, keep_days, wall_us):
        """Erases expired segments now and every hour; each candidate segment is read whole."""
        if keep_days:
            self._submit("erase", None, wall_us(), keep_days * DAY_US)
            self.erase_timer = self.loop.call_later(ERASE_INTERVAL_S, self.start_retention, keep_days, wall_us)

    def _submit(self, kind, *args):
        if kind == "op":
            job_args, subject = (args[0],), args[1]
        else:
            subject, *job_args = args
        if self.worker is None:  # the worker has ended and the next one has not been started
            self.loop.call_soon(self._result, kind, subject, WORKER_ENDED, None)
            return
        self.in_flight[self.worker.submit(kind, *job_args)] = (kind, subject)

    def _done(self, serial, error, result):
        kind, subject = self.in_flight.pop(serial)
        self._result(kind, subject, error, result)

    def _result(self, kind, subject, error, result):
        if kind == "op":
            self.ledger.done(self.clock(), subject, error)
            self.on_results()
        elif kind == "word" and error:
            self.log("error", "word on a call not written", call=subject.call, word=subject.word, reason=error)
        elif kind == "erase":
            for number, records in result or ():
                self.log("info", "records erased", segment=number, records=records)
            if error:
                self.log("error", "records not erased", reason=error)

    def _worker_lost(self):
        """The worker process has ended unexpectedly: its jobs fail, and a new worker is started."""
        self.worker.wait(0)
        self.worker, in_flight, self.in_flight = None, self.in_flight, {}
        if self.closing:
            return
        self.log("error", "the process that writes records ended, another is begun")
        for kind, subject in in_flight.values():
            self._result(kind, subject, WORKER_ENDED, None)
        self.restart_timer = self.loop.call_later(WORKER_RESTART_S, self._start_worker)

    def _start_worker(self):
        self.worker = IoWorker(self.loop, self.files, self._done, self._worker_lost)
        self.on_results()

    async def close(self):
        """Writes the queue, seals the segment and unlocks the folder. If the disk does not respond within CLOSE_WAIT_S,
        the number of unwritten frames is logged."""
        if self.erase_timer is not None:
            self.erase_timer.cancel()
        self.journal.close()
        deadline = time.monotonic() + CLOSE_WAIT_S
        while not self.journal.closed and time.monotonic() < deadline:
            self.ledger.flush(self.clock())
            await asyncio.sleep(0.002)
        if not self.journal.closed:
            self.log(
                "error",
                "records not written at the end",
                frames=len(self.journal.queue),
                reason=self.journal.disk_error or "the disk does not answer",
            )
        self.closing = True
        if self.restart_timer is not None:
            self.restart_timer.cancel()
        if self.worker is not None:
            self.worker.close()
            while self.worker.process.poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.002)
        self.files.close()
