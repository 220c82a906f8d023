"""Tables that map SIP statuses, Q.850 causes and connection errors to the module's outcomes, and its answers to
causes."""

from thorndale import interface as io

REJECTED, FAILED, ENGAGED, CUT, CLEARED, UNREADABLE = 42, 41, 17, 41, 16, 100  # Q.850 causes towards the caller

# Outcomes by the status of a refusal; some are distinguished by the note (the Fail-Word).
REFUSED = {503: io.FULL, 486: io.FAULTY, 500: io.FAULTY, 480: io.NOT_SENT, 504: io.RESET}
REFUSED_WITH_NOTE = {(503, "congestion"): io.EMPTY, (486, "engaged"): io.BUSY, (500, "engaged"): io.BUSY}

# Outcomes of a set-up whose connection ended. A connection that was refused or never opened proves that the server did
# not handle the set-up.
CONNECTION_OUTCOMES = {"refused": io.UNREACHABLE, "unreached": io.UNREACHABLE, "lost": io.RESET, "spoilt": io.RESET}


def connection_outcome(kind, sent):
    """The outcome of a set-up whose connection ended this way; an unsent one was never handled, whatever the reason."""
    outcome = CONNECTION_OUTCOMES[kind]
    return io.NOT_SENT if outcome == io.RESET and not sent else outcome


# Names of the module's outcomes in the log, by number.
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


def ends_established_call(cause):
    """Whether a release with this cause ends an established call. It may then belong to an earlier seizure of the same
    call, whose answer was not completely received, and does not prove that the current one has ended."""
    return cause in (CLEARED, CUT)


def refusal_outcome(status, note):
    """The outcome of a refusal; an unlisted status counts as faulty."""
    return REFUSED_WITH_NOTE.get((status, note)) or REFUSED.get(status, io.FAULTY)


def release_outcome(cause):
    """The outcome of an established call that was released with this cause."""
    return io.COMPLETED if cause == CLEARED else io.RESET
