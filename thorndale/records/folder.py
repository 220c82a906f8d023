"""Carries out the journal's operations and recovery's steps on files; `files` is a Files or a test double of it."""

from thorndale.records import frame as f
from thorndale.records import recover as r
from thorndale.records import segment as s
from thorndale.records.journal import open_bytes
from thorndale.records.record import MAJOR, Resolution, Tombstone, decode, encode

PROXY_RESOLUTIONS, TOMBSTONES = "words-proxy.rec", "tombs.rec"
KEEP_LAST = 2  # latest segments, never erased: recovery and the end of the chain need them


def perform(files, op):
    """Performs one Op of the journal. Raises OSError."""
    name = s.name_of(op.number)
    if op.what == "open":
        files.create(name, op.again)
        files.append(name, open_bytes(op))
        files.sync(name)
        files.sync_folder()
    elif op.what == "write":
        files.append(name, op.data)
    elif op.what == "cut":
        files.cut(name, op.size)
    elif op.what == "sync":
        files.sync(name)
    elif op.what == "seal":
        files.append(name, op.data)
        files.sync(name)
        files.close_file(name)


def numbers(files):
    found = (s.number_of(name) for name in files.names())
    return sorted(n for n in found if n is not None)


def segments(files, wanted=None):
    """Yields (name, bytes) of each segment, ascending."""
    for number in numbers(files) if wanted is None else wanted:
        name = s.name_of(number)
        yield name, files.read(name)


def recovery(files):
    """The recovery Plan for the folder."""

    def head(number):
        return r.read_head(files.read(s.name_of(number)))

    def sealed(number):
        return s.seal_of(files.read(s.name_of(number))) is not None

    present = numbers(files)
    plan = r.plan(segments(files, r.segments_needed(present, head, sealed)))
    tombstone = next(reversed(list(tombstones(files))), None)
    if not present and tombstone is not None:  # all segments were erased: the chain continues after the last tombstone
        plan = plan._replace(
            number=tombstone.number + 1,
            before=tombstone.digest,
            next_seq=tombstone.last_seq + 1,
            chain=tombstone.chain,
            proxy=tombstone.proxy,
        )
    return plan


def apply(files, steps):
    """Performs a Plan's steps. Raises OSError; a retry with a new plan leads to the same result."""
    if steps:  # a killed process may have left directory entries unsynced; files must reach the disk in their order
        files.sync_folder()
    for step in steps:
        if step.what == "aside":
            _write_whole_file(files, step.name, step.data)
        elif step.what == "sync":
            files.sync(step.name)
        elif step.what == "cut":
            files.cut(step.name, step.size)
        elif step.what == "remove":
            files.remove(step.name)
            files.sync_folder()
        elif step.what == "create":
            _write_whole_file(files, step.name, step.data)
        elif step.what == "add":
            files.append(step.name, step.data)
            files.sync(step.name)
            files.close_file(step.name)


def _write_whole_file(files, name, data):
    temporary_name = name + ".new"
    files.create(temporary_name, True)
    files.append(temporary_name, data)
    files.sync(temporary_name)
    files.rename(temporary_name, name)
    files.sync_folder()


def add_resolution(files, name, seq, resolution):
    """Appends a Resolution to a file of them. Raises OSError."""
    _append_frame(files, name, seq, f.RESOLUTION, encode(resolution))


def _append_frame(files, name, seq, kind, body):
    """Appends a frame to a separate file; a tail torn by an earlier failure is cut first."""
    if name not in files.names():
        files.create(name)
    else:
        end = 0
        for item in f.scan(files.read(name)):
            if isinstance(item, f.Frame):
                end = item.end
        if end != files.size(name):
            files.cut(name, end)
    files.append(name, f.pack(kind, seq, body))
    files.sync(name)
    files.sync_folder()


def resolutions(files):
    """{call: Resolution}, the latest one of each call."""
    found = {}
    for name in files.names():
        if name.startswith("words-") and name.endswith(".rec"):
            for item in f.scan(files.read(name)):
                if isinstance(item, f.Frame) and item.kind == f.RESOLUTION and item.major == MAJOR:
                    resolution = decode(Resolution, item.body)
                    found[resolution.call] = resolution
    return found


def tombstones(files):
    """Yields the Tombstones in the order in which they were written."""
    if TOMBSTONES in files.names():
        for item in f.scan(files.read(TOMBSTONES)):
            if isinstance(item, f.Frame) and item.kind == f.TOMBSTONE and item.major == MAJOR:
                yield decode(Tombstone, item.body)


def erase(files, now_wall_us, keep_us):
    """Erases expired segments, oldest first; returns the Tombstones written. Raises OSError.

    The tombstone is synced before its segment is deleted: after a kill in between, the next run finds both and
    continues.
    """
    present, written = numbers(files), []
    already_erased = {tombstone.number for tombstone in tombstones(files)}
    for number, next_number in zip(present[:-KEEP_LAST], present[1:], strict=False):
        data = files.read(s.name_of(number))
        tombstone = r.tombstone_of(number, data, files.read(s.name_of(next_number)), now_wall_us, keep_us)
        if tombstone is None:
            break
        if number not in already_erased:
            _append_frame(files, TOMBSTONES, number, f.TOMBSTONE, encode(tombstone))
            written.append(tombstone)
        files.remove(s.name_of(number))
    if written:
        files.sync_folder()
    return written
