"""What the platform's wire means to the module, and the module's answers to the caller: tables, no state."""

from thorndale import interface as io

REJECTED, FAILED, ENGAGED, CUT, CLEARED, UNREADABLE = 42, 41, 17, 41, 16, 100  # Q.850 causes towards the caller

# Status of a refusal; the note tells some apart.
REFUSED = {503: io.FULL, 486: io.FAULTY, 500: io.FAULTY, 480: io.NOT_SENT, 504: io.RESET}
NOTED = {(503, "congestion"): io.EMPTY, (486, "engaged"): io.BUSY, (500, "engaged"): io.BUSY}

# How a connection ended under a set-up: refused proves that nothing ran, and so does one that never came up.
CONNECTION = {"refused": io.UNREACHABLE, "unreached": io.UNREACHABLE, "lost": io.RESET, "spoilt": io.RESET}


def connection(kind, sent):
    """The outcome of a set-up whose connection ended so; one that was not sent has not run, whatever ended it."""
    found = CONNECTION[kind]
    return io.NOT_SENT if found == io.RESET and not sent else found


# The module's outcomes in the log, by their number.
NAMES = (
    "completed",
    "engaged",
    "full",
    "timed out",
    "unreachable",
    "reset",
    "cancelled",
    "not sent",
    "faulty",
    "empty",
)


def of_a_standing(cause):
    """Whether a release with this cause is of a call that stood: one of an earlier seizure of the same call, whose
    answer never came whole, says nothing of the present one."""
    return cause in (CLEARED, CUT)


def refused(status, note):
    """The outcome of a refusal; any other status is a fault of the server's."""
    return NOTED.get((status, note)) or REFUSED.get(status, io.FAULTY)


def ended(cause):
    """The outcome of a call that stood and was released with this cause."""
    return io.COMPLETED if cause == CLEARED else io.RESET
