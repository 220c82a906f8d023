"""The pool book's copy on disk: replaced atomically, written off the event loop; only the newest version is kept."""

import asyncio
import os

from thorndale.call.book import decode_copy
from thorndale.sip.errors import SipError


def replace(path, data):
    """Replaces the file's content atomically: at each moment the old or the new content is there in full."""
    new_path = f"{path}.new"
    descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(new_path, path)
    folder_descriptor = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)


def read(path, log_event):
    """The copy's Body; None if there is no copy, or if it is damaged, which is logged."""
    if not path or not os.path.exists(path):
        return None
    try:
        with open(path, "rb") as file:
            return decode_copy(file.read())
    except (OSError, SipError) as error:
        log_event("error", "pool book's copy refused", file=path, reason=str(error))
        return None


class BookFileWriter:
    """Writes the file in one task; data that arrives during a write replaces data that is still waiting."""

    def __init__(self, loop, path, log_event):
        self.loop, self.path, self.log_event = loop, path, log_event
        self.pending, self.data_ready = None, asyncio.Event()
        self.task = loop.create_task(self._run()) if path else None

    def save(self, data):
        if self.task is not None:
            self.pending = data
            self.data_ready.set()

    async def _run(self):
        while True:
            await self.data_ready.wait()
            self.data_ready.clear()
            data, self.pending = self.pending, None
            if data is None:
                continue
            try:
                await self.loop.run_in_executor(None, replace, self.path, data)
            except OSError as error:
                self.log_event("error", "pool book's copy not written", file=self.path, reason=str(error))

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            if self.pending is not None:
                try:
                    replace(self.path, self.pending)
                except OSError as error:
                    self.log_event("error", "pool book's copy not written", file=self.path, reason=str(error))
