"""What goes into the decision module and what comes out of it. Types only, no logic, no wire.

Times are whole microseconds on the caller's clock, which only ever advances. Calls, servers, call types and
clients are small indices given out by whoever hosts the module. `None` stands for 'not told'.
"""

from enum import StrEnum
from typing import NamedTuple

# States of a server in the list.
SERVING, DRAINING, GONE = 0, 1, 2

# How a seizure ended.
# BUSY: all lines of the number are engaged; FAULTY: a signalling fault; FULL: the processor is full;
# EMPTY: the pool has no free line.
COMPLETED, BUSY, FULL, TIMED_OUT, UNREACHABLE, RESET, CANCELLED, NOT_SENT, FAULTY, EMPTY = range(10)


class Server(NamedTuple):
    """One entry of the list of servers."""

    server: int
    pool: int
    state: int
    started_us: int  # 0: long ago


class Report(NamedTuple):
    """What a server said of itself; None where it said nothing."""

    free: float | None
    lines: float | None
    wait_us: int | None
    rate: float | None  # new set-ups a second that it can take from all proxies


class Servers(NamedTuple):
    """The list, whole or as changes. `disk` marks the copy kept over a restart."""

    entries: tuple
    whole: bool
    disk: bool


class ListFailed(NamedTuple):
    """Asking for the list has failed; what was known stays in force."""


class Call(NamedTuple):
    """A call was handed to this proxy, which owes it one final answer within left_us."""

    call: int
    call_type: int
    client: int
    key: int
    left_us: int
    pool: int  # first choice
    redial: bool
    again: bool  # it stood and was cut, and comes once more


class Stood(NamedTuple):
    call: int
    seizure: int
    server: int
    lag_us: int


class Onward(NamedTuple):
    """The server has done its own part of a set-up and carries the call on: what the seizure waits for from now on lies
    beyond that server."""

    call: int
    seizure: int
    server: int
    lag_us: int


class Ended(NamedTuple):
    """The one end of a seizure. `final`: the call has its answer already. `beyond`: the server carried the call on, and
    the refusal arose further down, where the proxy next to it has made what retries there may be."""

    call: int
    seizure: int
    server: int
    outcome: int
    wait_us: int  # a wait named by a full processor, else 0
    lag_us: int
    final: bool
    report: Report | None
    beyond: bool = False


class Left(NamedTuple):
    """The caller has left; nothing more is owed."""

    call: int


class Due(NamedTuple):
    """A timer has fallen due."""

    token: int


class Seen(NamedTuple):
    """A report that came outside a seizure."""

    server: int
    report: Report
    asked: bool


class Told(NamedTuple):
    """A message from another proxy."""

    peer: int
    data: bytes


class Right(NamedTuple):
    """The fleet's answer to an Ask: until when the retry may go, 0 for not at all."""

    call: int
    until_us: int


class Word(NamedTuple):
    """What other proxies say of a server, weighed: log odds that it has failed, 0 for nothing said."""

    server: int
    odds: float


class Seize(NamedTuple):
    """`first`: a first set-up, which the budget counts."""

    call: int
    server: int
    timeout_us: int
    first: bool = False


class Ask(NamedTuple):
    """A retry that this proxy's own budget grants waits for a right of the fleet's, to go out at `resume_us`. Only
    where the setting `fleet_rights` says so; each is answered by a Right."""

    call: int
    server: int
    resume_us: int


class Cancel(NamedTuple):
    call: int
    seizure: int


class Reason(StrEnum):
    """Why a call is given back: for logs, nothing is decided on it."""

    UNSAID = ""
    TOO_MANY_OPEN = "as many calls are open as may be"
    LATE_REDIAL = "redials are refused while first set-ups find no room"
    NO_ROOM = "no server has room for it"
    NO_OTHER_ROOM = "no server has room for another attempt"
    MOST_ATTEMPTS = "it had all its attempts"
    BUDGET_SPENT = "the retry budget of the next server is spent"
    RETRY_TOO_LATE = "another attempt would come too late"
    RETRY_BARRED = "the server of its retry has failed or left"
    NO_RIGHT = "the fleet gave no right to the retry in time"
    FULL_BEYOND = "there is no room beyond the server"
    SERVER_REFUSED = "the server's refusal is final"
    TIME_IS_UP = "its time is up"
    NO_SITE = "no site takes it"


class Reject(NamedTuple):
    """Final answer: turned away, to come back after comeback_us (0: nothing said)."""

    call: int
    comeback_us: int
    reason: Reason = Reason.UNSAID


class Fail(NamedTuple):
    """Final answer: given up."""

    call: int
    reason: Reason = Reason.UNSAID


class SetTimer(NamedTuple):
    at_us: int
    token: int


class Log(NamedTuple):
    text: str


class Follow(NamedTuple):
    """Ask for the list's changes from now on, where they do not come unasked."""
