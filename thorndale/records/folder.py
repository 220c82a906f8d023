"""What the operations of the journal and the steps of recovery are on files; any object like Files will do."""

from thorndale.records import frame as f
from thorndale.records import recover as r
from thorndale.records import segment as s
from thorndale.records.journal import opened
from thorndale.records.record import MAJOR, Tomb, Word, decode, encode

WORDS, TOMBS = "words-proxy.rec", "tombs.rec"
KEEP_LAST = 2  # segments that are never erased: recovery and the chain's end need them


def perform(files, op):
    """One Op of the journal. Raises OSError."""
    name = s.name_of(op.number)
    if op.what == "open":
        files.create(name, op.again)
        files.append(name, opened(op))
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
        files.done_with(name)


def numbers(files):
    found = (s.number_of(name) for name in files.names())
    return sorted(n for n in found if n is not None)


def segments(files, wanted=None):
    """(name, bytes) of each segment, ascending."""
    for number in numbers(files) if wanted is None else wanted:
        name = s.name_of(number)
        yield name, files.read(name)


def recovery(files):
    """The Plan for a folder as it is."""

    def head(number):
        return r.head_of(files.read(s.name_of(number)))

    def sealed(number):
        return s.seal_of(files.read(s.name_of(number))) is not None

    there = numbers(files)
    plan = r.plan(segments(files, r.needed(there, head, sealed)))
    tomb = next(reversed(list(tombs(files))), None)
    if not there and tomb is not None:  # every segment was erased: the chain goes on behind the last tombstone
        plan = plan._replace(
            number=tomb.number + 1, before=tomb.digest, next_seq=tomb.last_seq + 1, chain=tomb.chain, proxy=tomb.proxy
        )
    return plan


def apply(files, steps):
    """Does a Plan's steps. Raises OSError; begun anew from a new plan, they end the same."""
    if steps:  # entries of a killed process may not be on the disk: a later file must not outlive an earlier one
        files.sync_folder()
    for step in steps:
        if step.what == "aside":
            _whole(files, step.name, step.data)
        elif step.what == "sync":
            files.sync(step.name)
        elif step.what == "cut":
            files.cut(step.name, step.size)
        elif step.what == "remove":
            files.remove(step.name)
            files.sync_folder()
        elif step.what == "create":
            _whole(files, step.name, step.data)
        elif step.what == "add":
            files.append(step.name, step.data)
            files.sync(step.name)
            files.done_with(step.name)


def _whole(files, name, data):
    fresh = name + ".new"
    files.create(fresh, True)
    files.append(fresh, data)
    files.sync(fresh)
    files.rename(fresh, name)
    files.sync_folder()


def add_word(files, name, seq, word):
    """Adds to a file of words. Raises OSError."""
    _add(files, name, seq, f.WORD, encode(word))


def _add(files, name, seq, kind, body):
    """Adds a frame to a small file of its own; a tail that an earlier fault left torn is cut first."""
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


def words(files):
    """{call: Word}, the last word on each call in force."""
    found = {}
    for name in files.names():
        if name.startswith("words-") and name.endswith(".rec"):
            for item in f.scan(files.read(name)):
                if isinstance(item, f.Frame) and item.kind == f.WORD and item.major == MAJOR:
                    word = decode(Word, item.body)
                    found[word.call] = word
    return found


def tombs(files):
    """Tombs in the order in which they were written."""
    if TOMBS in files.names():
        for item in f.scan(files.read(TOMBS)):
            if isinstance(item, f.Frame) and item.kind == f.TOMB and item.major == MAJOR:
                yield decode(Tomb, item.body)


def erase(files, now_wall_us, keep_us):
    """Erases what is past its age, oldest first; gives the Tombs written. Raises OSError.

    The tombstone is on the disk before its segment goes: killed in between, the next run finds both and goes on.
    """
    there, written = numbers(files), []
    done = {tomb.number for tomb in tombs(files)}
    for number, after in zip(there[:-KEEP_LAST], there[1:], strict=False):
        data = files.read(s.name_of(number))
        tomb = r.tomb_of(number, data, files.read(s.name_of(after)), now_wall_us, keep_us)
        if tomb is None:
            break
        if number not in done:
            _add(files, TOMBS, number, f.TOMB, encode(tomb))
            written.append(tomb)
        files.remove(s.name_of(number))
    if written:
        files.sync_folder()
    return written
