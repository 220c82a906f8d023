"""Mapping between SIP responses with Q.850 causes and the decision module's outcomes, in both directions.

Q.850 causes are carried in Reason header fields (RFC 3326, RFC 6432), with the location where they arose (RFC 8606).
"""

from typing import NamedTuple

from thorndale import interface as io
from thorndale.sip.headers import Reason, parse_reasons, parse_retry_after

Q850_NO_CIRCUIT = 34  # no circuit/channel available
Q850_CONGESTION = 42  # switching equipment congestion
Q850_NORMAL_CLEARING = (16, 31)  # normal call clearing; normal, unspecified
LOCATION_BEYOND = "BI"  # RFC 8606, Q.850: network beyond interworking point
EMPTY_REASON = Reason(0)


class Refusal(NamedTuple):
    """The outcome of a seizure that a response ended, and the Retry-After of the central server in us. `beyond`: the
    response was caused further downstream, where a border proxy refused the call that the server had forwarded."""

    outcome: int
    wait_us: int
    beyond: bool


def classify_refusal(response):
    """Classifies a final response of 300 or above to a seizure. Returns a Refusal.

    Responses about the called number rather than the server (busy, unknown, forbidden, a redirection) are final for
    the call and show that the server is healthy: BUSY. An unsolicited 487, a 408 and 5xx are server failures,
    distinguished by Reason and Retry-After.
    """
    status = response.status
    if status not in (408, 487) and not 500 <= status < 600:
        return Refusal(io.BUSY, 0, False)
    reason = parse_reasons(response.all("reason")).get("q.850", EMPTY_REASON)
    beyond = reason.location == LOCATION_BEYOND
    if status == 503:
        wait = parse_retry_after(response.get("retry-after")) * 1_000_000
        if reason.cause == Q850_NO_CIRCUIT:
            return Refusal(io.EMPTY, 0, beyond)
        if reason.cause == Q850_CONGESTION or wait:
            return Refusal(io.FULL, wait, beyond)
    return Refusal(io.FAULTY, 0, beyond)


def bye_outcome(bye):
    """The outcome of an established call that the central server ends: COMPLETED, or RESET if the Reason of its BYE
    gives a cause other than normal clearing."""
    cause = parse_reasons(bye.all("reason")).get("q.850", EMPTY_REASON).cause
    return io.RESET if cause and cause not in Q850_NORMAL_CLEARING else io.COMPLETED


TRANSACTION_FAILURES = {"refused": io.UNREACHABLE, "lost": io.RESET, "timeout": io.TIMED_OUT}

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

# The final answer to the caller when the module fails a call (Fail), by the outcome of the last seizure: a status and
# the Q.850 cause for its Reason. A refusal about the called number (BUSY) is passed on unchanged instead.
FINAL_ANSWERS = {
    io.TIMED_OUT: (408, 102),  # recovery on timer expiry
    io.UNREACHABLE: (503, 27),  # destination out of order
    io.RESET: (503, 41),  # temporary failure
    io.FAULTY: (500, 41),
    io.FULL: (503, 42),
    io.EMPTY: (503, 34),
    io.NOT_SENT: (503, 47),  # resource unavailable
}
NO_SEIZURE_ANSWER = (408, 102)  # the set-up time ran out before any seizure


def retry_after_fields(retry_after_us):
    """Header fields of a Reject: Retry-After in whole seconds, rounded up so that no caller redials too early."""
    seconds = -(-retry_after_us // 1_000_000)
    return [("Retry-After", str(seconds))] if seconds > 0 else []


def reason_field(cause, beyond=False):
    """A Reason header field. `beyond` marks the cause as having arisen beyond the receiver's next server."""
    location = f";location={LOCATION_BEYOND}" if beyond else ""
    return ("Reason", f"Q.850;cause={cause}{location}")
