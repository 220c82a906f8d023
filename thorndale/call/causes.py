"""What a response means to the module, and what the module's answers mean on the wire.

Q.850 causes come in Reason header fields (RFC 3326, RFC 6432), with the place where they arose (RFC 8606).
"""

from typing import NamedTuple

from thorndale import interface as io
from thorndale.sip.headers import Reason, parse_reasons, parse_retry_after

Q850_NO_CIRCUIT = 34  # no circuit/channel available
Q850_CONGESTION = 42  # switching equipment congestion
Q850_NORMAL = (16, 31)  # normal call clearing; normal, unspecified
LOCATION_BEYOND = "BI"  # RFC 8606, Q.850: network beyond interworking point
NO_REASON = Reason(0)


class Refusal(NamedTuple):
    """A seizure's end by a response: the outcome, and the wait that the box names, in us. `beyond`: the response says
    that it arose further down, where a border proxy refused the call that the box carried on."""

    outcome: int
    wait_us: int
    beyond: bool


def refusal(response):
    """The Refusal of a final response of 300 and above to a seizure.

    Answers that are about the number, not about the server (busy, unknown, forbidden, a redirection) are final for
    the call and tell that the server is sound: BUSY. 487 that nobody asked for, and 408 and 5xx, are the server's
    faults, told apart by Reason and Retry-After.
    """
    status = response.status
    if status not in (408, 487) and not 500 <= status < 600:
        return Refusal(io.BUSY, 0, False)
    reason = parse_reasons(response.all("reason")).get("q.850", NO_REASON)
    beyond = reason.location == LOCATION_BEYOND
    if status == 503:
        wait = parse_retry_after(response.get("retry-after")) * 1_000_000
        if reason.cause == Q850_NO_CIRCUIT:
            return Refusal(io.EMPTY, 0, beyond)
        if reason.cause == Q850_CONGESTION or wait:
            return Refusal(io.FULL, wait, beyond)
    return Refusal(io.FAULTY, 0, beyond)


def release(bye):
    """The outcome of a standing call that its box ends: COMPLETED, or RESET where a Reason says it was cut."""
    cause = parse_reasons(bye.all("reason")).get("q.850", NO_REASON).cause
    return io.RESET if cause and cause not in Q850_NORMAL else io.COMPLETED


FAILED_KIND = {"refused": io.UNREACHABLE, "lost": io.RESET, "timeout": io.TIMED_OUT}

OUTCOME_NAMES = {
    io.COMPLETED: "completed",
    io.BUSY: "busy",
    io.FULL: "full",
    io.TIMED_OUT: "timed out",
    io.UNREACHABLE: "unreachable",
    io.RESET: "reset",
    io.CANCELLED: "cancelled",
    io.NOT_SENT: "not sent",
    io.FAULTY: "faulty",
    io.EMPTY: "empty",
}

# What a caller is answered when the module gives a call up (Fail), by the end of its last seizure: a status and
# the Q.850 cause of its Reason. A refusal by the number passes as it came instead.
GIVEN_UP = {
    io.TIMED_OUT: (408, 102),  # recovery on timer expiry
    io.UNREACHABLE: (503, 27),  # destination out of order
    io.RESET: (503, 41),  # temporary failure
    io.FAULTY: (500, 41),
    io.FULL: (503, 42),
    io.EMPTY: (503, 34),
    io.NOT_SENT: (503, 47),  # resource unavailable
}
NEVER_SEIZED = (408, 102)  # its time ran out while it waited


def comeback(reject_us):
    """Header fields of a Reject: Retry-After in whole seconds, rounded up so that nobody comes early."""
    seconds = -(-reject_us // 1_000_000)
    return [("Retry-After", str(seconds))] if seconds > 0 else []


def reason(cause, beyond=False):
    """A Reason header field. `beyond`: to whoever reads it, the cause arose beyond the next server."""
    location = f";location={LOCATION_BEYOND}" if beyond else ""
    return ("Reason", f"Q.850;cause={cause}{location}")
