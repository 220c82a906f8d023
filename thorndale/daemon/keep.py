"""The pool book's copy on disk: replaced as a whole, written off the loop, the newest one wins."""

import asyncio
import os

from thorndale.call.book import decode_copy
from thorndale.sip.errors import SipError


def replace(path, data):
    """Puts `data` in the file's place so that at each moment the old or the new one is there whole."""
    fresh = f"{path}.new"
    fd = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]
        os.fsync(fd)
    finally:
        os.close(fd)
    os.replace(fresh, path)
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path, say):
    """The copy's Body, or None where there is none or it is damaged, which is said."""
    if not path or not os.path.exists(path):
        return None
    try:
        with open(path, "rb") as file:
            return decode_copy(file.read())
    except (OSError, SipError) as fault:
        say("error", "pool book's copy refused", file=path, reason=str(fault))
        return None


class Keeper:
    """One task writes; what comes meanwhile replaces what waits."""

    def __init__(self, loop, path, say):
        self.loop, self.path, self.say = loop, path, say
        self.waiting, self.wake = None, asyncio.Event()
        self.task = loop.create_task(self._run()) if path else None

    def keep(self, data):
        if self.task is not None:
            self.waiting = data
            self.wake.set()

    async def _run(self):
        while True:
            await self.wake.wait()
            self.wake.clear()
            data, self.waiting = self.waiting, None
            if data is None:
                continue
            try:
                await self.loop.run_in_executor(None, replace, self.path, data)
            except OSError as fault:
                self.say("error", "pool book's copy not written", file=self.path, reason=str(fault))

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            if self.waiting is not None:
                try:
                    replace(self.path, self.waiting)
                except OSError as fault:
                    self.say("error", "pool book's copy not written", file=self.path, reason=str(fault))
