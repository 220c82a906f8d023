"""File operations on a proxy's records folder. A failed or partial operation raises OSError."""

import fcntl
import os
import time

LOCK = "lock"


class LockedError(Exception):
    """Another process uses the folder."""


class Files:
    """An operation is complete in the kernel when it returns; after `sync` and `sync_folder` it survives a machine
    crash too."""

    def __init__(self, folder):
        self.folder, self.fds, self.lock_fd = folder, {}, -1

    def path(self, name):
        return os.path.join(self.folder, name)

    def names(self):
        return sorted(os.listdir(self.folder))

    def read(self, name):
        with open(self.path(name), "rb") as file:
            return file.read()

    def size(self, name):
        return os.stat(self.path(name)).st_size

    def lock(self, wait_s=0.0):
        """Locks the folder for the lifetime of this process and of each child that inherited the descriptor; the kernel
        frees the lock however they end. Raises LockedError if another process holds it for `wait_s`."""
        fd = os.open(self.path(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        deadline = time.monotonic() + wait_s
        while True:
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError:
                if time.monotonic() < deadline:
                    time.sleep(0.01)
                    continue
            owner_pid = os.pread(fd, 20, 0).decode("ascii", "replace").strip()
            os.close(fd)
            raise LockedError(
                f"{self.folder} is in use by process {owner_pid or '?'}; give each proxy a folder of its own"
            )
        os.ftruncate(fd, 0)
        os.pwrite(fd, f"{os.getpid()}\n".encode(), 0)
        self.lock_fd = fd

    def create(self, name, again=False):
        """`again`: truncates a file that an earlier failed attempt left."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if again else os.O_EXCL)
        self._close_fd(name)
        self.fds[name] = os.open(self.path(name), flags, 0o600)

    def append(self, name, data):
        fd, view = self._open_fd(name), memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def cut(self, name, size):
        fd = self._open_fd(name)
        os.ftruncate(fd, size)
        os.lseek(fd, size, os.SEEK_SET)
        os.fsync(fd)

    def sync(self, name):
        os.fdatasync(self._open_fd(name))

    def sync_folder(self):
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, name, to):
        self._close_fd(name)
        os.replace(self.path(name), self.path(to))

    def remove(self, name):
        self._close_fd(name)
        os.unlink(self.path(name))

    def close_file(self, name):
        self._close_fd(name)

    def close(self):
        for name in list(self.fds):
            self._close_fd(name)
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    def _open_fd(self, name):
        fd = self.fds.get(name)
        if fd is None:
            fd = self.fds[name] = os.open(self.path(name), os.O_WRONLY | os.O_CLOEXEC)
            os.lseek(fd, 0, os.SEEK_END)
        return fd

    def _close_fd(self, name):
        fd = self.fds.pop(name, None)
        if fd is not None:
            os.close(fd)
