"""The records of a running proxy: recovery before it starts, two threads that do the disk's work, the loop in between.

The loop is never held up: operations go to the threads and their results come back by `call_soon_threadsafe`. One
thread writes, the other syncs, so that a write needs not wait for a sync under way.
"""

import asyncio
import os
import secrets
import sys
import threading
import time
from queue import SimpleQueue

from thorndale.records import folder as fo
from thorndale.records.files import Files, Locked
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger

DAY_US = 86_400_000_000
ERASE_S = 3600.0  # s between two looks for what is past its age: ages are told in days
SWITCH_S = 0.0005  # s after which a thread that waits for the interpreter gets it: with Python's 5 ms each answer
# waits that long for the writing thread's turn while the loop is busy
CLOSE_S = 10.0  # s that a stop waits for the disk at most


class StoreError(Exception):
    """The records can't be opened; says what to do."""


def open_store(settings, proxy, loop, say, now, wall_offset_us, files=None):
    """Recovers the folder and gives a Store. `settings` is the Records of the settings. Raises StoreError."""
    try:
        if files is None:
            os.makedirs(settings.folder, mode=0o700, exist_ok=True)
            files = Files(settings.folder)
        files.lock()
        plan = fo.recovery(files)
        if plan.proxy and plan.proxy != proxy:
            files.close()
            raise StoreError(f"records.folder: {settings.folder} holds the records of {plan.proxy!r}, this is "
                             f"{proxy!r}; give each proxy a folder of its own")
        fo.apply(files, plan.steps)
        for finding in plan.findings:
            say("error", "records: found at start", file=finding.name, at=finding.at, end=finding.end,
                what=finding.what)
        if plan.settled:
            say("warning", "records: calls settled", calls=len(plan.settled),
                in_doubt=sum(r.answered == "doubt" for r in plan.settled))
    except Locked as fault:
        raise StoreError(f"records.folder: {fault}") from None
    except OSError as fault:
        files and files.close()
        raise StoreError(f"records.folder: {settings.folder}: {fault.strerror or fault}; make room or name another "
                         "folder, nothing there was lost") from None
    limits = Limits(settings.queue, settings.segment_bytes, settings.segment_s * 1_000_000,
                    settings.commit_ms * 1000, settings.slow_ms * 1000, settings.on_trouble)
    journal = Journal(limits, proxy, plan.chain or secrets.token_hex(8), secrets.token_hex(8), wall_offset_us,
                      plan.number, plan.before, plan.next_seq)
    return Store(files, journal, settings, loop, say, plan.unsure, now)


class Hand:
    """A thread that does what it is given, one after another. An executor's futures cost more than the writes."""

    def __init__(self, name):
        self.queue = SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def submit(self, act, *args):
        self.queue.put((act, args))

    def _run(self):
        while True:
            act, args = self.queue.get()
            if act is None:
                return
            act(*args)

    def shutdown(self, wait):
        self.queue.put((None, ()))
        if wait:
            self.thread.join()


class Store:
    def __init__(self, files, journal, settings, loop, say, unsure, now):
        self.files, self.journal, self.loop, self.say = files, journal, loop, say
        sys.setswitchinterval(SWITCH_S)
        self.writer, self.syncer = Hand("records-write"), Hand("records-sync")
        self.ledger = Ledger(journal, settings.answer, settings.wait_ms * 1000, self.begin, self.write_word, say,
                             unsure, now)
        self.clock, self.after, self.ending, self.erasing = None, None, False, None

    def attach(self, clock, after):
        """`clock()` gives the loop's time in us; `after()` is called when results may have let something out: it
        flushes the border, and with it the ledger."""
        self.clock, self.after = clock, after

    # ---- on the loop ----

    def begin(self, op):
        (self.syncer if op.what == "sync" else self.writer).submit(self._do, op)

    def write_word(self, seq, word):
        self.writer.submit(self._word, seq, word)

    def _done(self, op, fault):
        self.ledger.done(self.clock(), op, fault)
        self.after()

    async def close(self):
        """Writes what waits, seals, and lets go of the folder; a disk that does not answer holds a stop up only for
        a while, and what was not written is said."""
        if self.erasing is not None:
            self.erasing.cancel()
        self.journal.close()
        end = time.monotonic() + CLOSE_S
        while not self.journal.closed and time.monotonic() < end:
            self.ledger.flush(self.clock())
            await asyncio.sleep(0.002)
        if not self.journal.closed:
            self.say("error", "records not written at the end", frames=len(self.journal.queue),
                     reason=self.journal.trouble or "the disk does not answer")
        self.ending = True
        if self.journal.closed:
            self.writer.shutdown(True)
            self.syncer.shutdown(True)
            self.files.close()
        else:
            self.writer.shutdown(False)
            self.syncer.shutdown(False)

    def start_retention(self, keep_days, wall_us):
        """Erases now and each hour what is past its age, in the writing thread: a segment is read whole for it."""
        if keep_days:
            self.writer.submit(self._erase, wall_us(), keep_days * DAY_US)
            self.erasing = self.loop.call_later(ERASE_S, self.start_retention, keep_days, wall_us)

    # ---- in the threads ----

    def _erase(self, wall_us, keep_us):
        try:
            for tomb in fo.erase(self.files, wall_us, keep_us):
                self.say("info", "records erased", segment=tomb.number, records=tomb.records)
        except OSError as error:
            self.say("error", "records not erased", reason=str(error))

    def _do(self, op):
        fault = ""
        try:
            fo.perform(self.files, op)
        except OSError as error:
            fault = f"{op.what}: {error.strerror or error}"
        except Exception as error:  # noqa: BLE001 - a fault of ours must not leave the journal waiting for ever
            fault = f"{op.what}: {error!r}"
        if not self.ending:
            self.loop.call_soon_threadsafe(self._done, op, fault)

    def _word(self, seq, word):
        try:
            fo.add_word(self.files, fo.WORDS, seq, word)
        except OSError as error:
            self.say("error", "word on a call not written", call=word.call, word=word.word, reason=str(error))
