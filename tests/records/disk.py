"""An in-memory folder with the failures of a disk: at the n-th operation, in the middle of a write, or by losing
unsynced writes in any order."""

import errno

from thorndale.records.files import LockedError


class KilledError(Exception):
    """The process is killed at this operation."""


class MemoryFile:
    def __init__(self):
        self.data, self.synced, self.writes = bytearray(), b"", []  # writes since the last sync: (offset, bytes)


class Disk:
    """`kill_at`: the operation (counted from 0) at which the process is killed. `tear`: the fraction of the failing
    write that is still done. `faults`: {operation: errno to raise}."""

    def __init__(self):
        self.entries, self.durable_names, self.ops, self.kill_at, self.tear, self.faults = {}, {}, 0, -1, 0.5, {}
        self.locked = False

    def _step(self, name="", data=b""):
        n, self.ops = self.ops, self.ops + 1
        if n == self.kill_at or n in self.faults:
            if data:
                self._put(name, data[: int(len(data) * self.tear)])
            if n == self.kill_at:
                raise KilledError
            raise OSError(self.faults[n], "made to fail")

    def _put(self, name, data):
        file = self.entries[name]
        file.writes.append((len(file.data), bytes(data)))
        file.data += data

    # ---- the interface of Files ----

    def names(self):
        return sorted(self.entries)

    def read(self, name):
        return bytes(self.entries[name].data)

    def size(self, name):
        return len(self.entries[name].data)

    def lock(self, wait_s=0.0):
        if self.locked:
            raise LockedError("in use")
        self.locked = True

    def create(self, name, again=False):
        self._step()
        if name in self.entries and not again:
            raise OSError(errno.EEXIST, "exists")
        self.entries[name] = MemoryFile()

    def append(self, name, data):
        self._step(name, data)
        self._put(name, data)

    def cut(self, name, size):
        self._step()
        file = self.entries[name]
        del file.data[size:]
        file.synced, file.writes = bytes(file.data), []

    def sync(self, name):
        self._step()
        file = self.entries[name]
        file.synced, file.writes = bytes(file.data), []

    def sync_folder(self):
        self._step()
        self.durable_names = dict(self.entries)

    def rename(self, name, to):
        self._step()
        self.entries[to] = self.entries.pop(name)

    def remove(self, name):
        self._step()
        del self.entries[name]

    def close_file(self, name):
        pass

    def close(self):
        self.locked = False

    # ---- crashes ----

    def after_kill(self):
        """The process was killed but the kernel runs on: all writes are kept."""
        self.kill_at, self.faults, self.locked = -1, {}, False
        return self

    def after_power_loss(self, random_draw):
        """A random subset of the unsynced writes is kept; a lost write before a kept one leaves zeroes."""
        self.after_kill()
        kept = {}
        for name, file in self.durable_names.items():
            data = bytearray(file.synced)
            for at, piece in file.writes:
                if random_draw() < 0.5:
                    data.extend(bytes(max(0, at + len(piece) - len(data))))
                    data[at : at + len(piece)] = piece
            new = kept[name] = MemoryFile()
            new.data, new.synced = data, bytes(data)
        for name, file in self.entries.items():
            if (
                name not in self.durable_names and random_draw() < 0.3
            ):  # the directory entry reached the disk without a sync
                new = kept[name] = MemoryFile()
                new.data = new.synced = bytearray(file.synced)
        self.entries, self.durable_names = kept, dict(kept)
        return self
