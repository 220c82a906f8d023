"""Events that the decision module (thorndale/policy.py) takes and actions that it returns. Types only: no logic and no
wire format.

Times are whole microseconds on the host's clock, which never goes back. Calls, servers, call types and clients are
small indices assigned by the host of the module. `None` means 'not reported'.
"""

from enum import StrEnum
from typing import NamedTuple

# States of a server in the server list.
SERVING, DRAINING, GONE = 0, 1, 2

# Outcomes of a seizure.
# BUSY: all lines of the called number are engaged. FAULTY: answered with a signalling error. FULL: the server's
# processor is at capacity. EMPTY: no line is free.
COMPLETED, BUSY, FULL, TIMED_OUT, UNREACHABLE, RESET, CANCELLED, NOT_SENT, FAULTY, EMPTY = range(10)


class Semantics(StrEnum):
    """Whether a call may run more than once: SAFE at will; KEYED where the servers of one group discard repeats; UNSAFE
    never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyedGroup(StrEnum):
    """The servers that discard repeats of a KEYED call: all of them, those of one zone, or those of one pool."""

    ALL = "all"
    ZONE = "zone"
    POOL = "cell"


class Repetition(NamedTuple):
    """What is permitted for a call of one type once an attempt may have run. `group` and `window_us`, counted from when
    the first such attempt was sent, are for KEYED calls."""

    semantics: Semantics
    group: KeyedGroup = KeyedGroup.ALL
    window_us: int = 0


ALWAYS_REPEATABLE = Repetition(Semantics.SAFE)


class Server(NamedTuple):
    """One entry of the server list. `zone`: -1 if it is not known."""

    server: int
    pool: int
    state: int
    started_us: int  # start of its process; 0: long ago
    zone: int = -1


class Report(NamedTuple):
    """A server's load report; None where it reports nothing."""

    free: float | None  # free lines
    lines: float | None  # all lines
    wait_us: int | None  # queueing delay at its processor
    rate: float | None  # new set-ups a second that it can take from all proxies


class Servers(NamedTuple):
    """The server list, `whole` or as changes. `disk` marks the copy that was stored across a restart."""

    entries: tuple
    whole: bool
    disk: bool


class ListFailed(NamedTuple):
    """A request for the server list has failed; the last list stays in force."""


class EarlierAttempt(NamedTuple):
    """The latest attempt that was sent for an earlier set-up with the same id, which may have run. `sent_at_us`: when
    the first one was sent."""

    server: int
    sent_at_us: int


class Call(NamedTuple):
    """A call has arrived at this proxy, which owes it one final answer within answer_within_us."""

    call: int
    call_type: int
    client: int
    key: int  # by which a redial of the same call is recognised; 0: none
    answer_within_us: int
    pool: int  # first choice
    redial: bool
    reattempt: bool  # it was answered and then cut, and is set up anew
    earlier: EarlierAttempt | None = None


class Answered(NamedTuple):
    """The server has answered a seizure: the call is established."""

    call: int
    seizure: int
    server: int
    latency_us: int


class Forwarded(NamedTuple):
    """The server has done its own part of a set-up and carries the call on: from now on the seizure waits for
    those beyond that server."""

    call: int
    seizure: int
    server: int
    latency_us: int


class SeizureEnded(NamedTuple):
    """The end of a seizure, reported once. `final`: the call already has its final answer. `beyond`: the server carried
    the call on and the refusal arose further downstream, where the proxy next to it has made any retries."""

    call: int
    seizure: int
    server: int
    outcome: int
    wait_us: int  # queueing delay reported by a full processor, else 0
    latency_us: int
    final: bool
    report: Report | None
    beyond: bool = False


class CallerAbandoned(NamedTuple):
    """The caller has abandoned the call; no final answer is owed."""

    call: int


class TimerFired(NamedTuple):
    """A timer that SetTimer armed has fired."""

    token: int


class ServerReport(NamedTuple):
    """A load report that came outside a seizure. `requested`: in answer to a request."""

    server: int
    report: Report
    requested: bool


class PeerMessage(NamedTuple):
    """A message from another proxy."""

    peer: int
    data: bytes


class RetryLease(NamedTuple):
    """The fleet's answer to a RequestLease: the retry lease, valid until `until_us`; 0 if it is refused."""

    call: int
    until_us: int


class PeerFailureReport(NamedTuple):
    """Weighed failure reports of other proxies on a server: log odds that it has failed; 0 if there are none."""

    server: int
    failure_log_odds: float


class Seize(NamedTuple):
    """Seize a line at a server for the call. `first`: a first set-up, which widens the retry budget."""

    call: int
    server: int
    timeout_us: int
    first: bool = False


class RequestLease(NamedTuple):
    """Request a retry lease from the fleet, for a retry within this proxy's own budget that is due at `resume_us`. Only
    with the setting `fleet_rights`; each is answered by a RetryLease."""

    call: int
    server: int
    resume_us: int


class Cancel(NamedTuple):
    """Cancel a seizure in flight."""

    call: int
    seizure: int


class Reason(StrEnum):
    """Why a call is given back. For logs only: no decision depends on it."""

    UNSPECIFIED = ""
    TOO_MANY_OPEN = "as many calls are open as may be"
    LATE_REDIAL = "redials are refused while first set-ups find no room"
    NO_CAPACITY = "no server has room for it"
    NO_OTHER_CAPACITY = "no server has room for another attempt"
    ATTEMPTS_EXHAUSTED = "it had all its attempts"
    BUDGET_SPENT = "the retry budget of the next server is spent"
    RETRY_TOO_LATE = "another attempt would come too late"
    RETRY_BARRED = "the server of its retry has failed or left"
    NO_LEASE = "the fleet gave no right to the retry in time"
    FULL_DOWNSTREAM = "there is no room beyond the server"
    NOT_REPEATABLE = "it may have run, and must not run again"
    SERVER_REFUSED = "the server's refusal is final"
    DEADLINE_PASSED = "its time is up"
    NO_SITE = "no site takes it"


class Reject(NamedTuple):
    """Final answer: rejected for now; the caller may come back after comeback_us (0: none announced)."""

    call: int
    comeback_us: int
    reason: Reason = Reason.UNSPECIFIED


class Fail(NamedTuple):
    """Final answer: the call has failed."""

    call: int
    reason: Reason = Reason.UNSPECIFIED


class SetTimer(NamedTuple):
    at_us: int
    token: int


class Log(NamedTuple):
    text: str


class SubscribeList(NamedTuple):
    """Subscribe to changes of the server list, where they do not come unrequested."""
