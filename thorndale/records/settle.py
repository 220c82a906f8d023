"""What becomes clear of calls later: those in doubt, those that two proxies met, redials after a stop. Pure.

A call is in doubt when its proxy stopped between writing that it stands and sending its 200, or before it wrote that
the 200 had gone. Three things settle it: what its caller said to the restarted proxy (the proxy writes that down by
itself), the same INVITE met by another proxy later, and the other side's own list of calls that were answered.
"""

from typing import NamedTuple

from thorndale.records.fold import STOPPED
from thorndale.records.record import DOUBT, YES, Word

REDIAL_US = 120_000_000  # us after a stop in which the same caller's call to the same number counts as a redial


class Doubt(NamedTuple):
    proxy: str
    chain: str
    call: str
    caller_leg: str
    caller_tag: str
    client: str
    call_type: str
    stood_wall_us: int


class Meeting(NamedTuple):
    """`what`: 'met twice', one INVITE at two proxies; 'redial', a new call for one that a stop had cut."""

    what: str
    first: tuple  # (proxy, call)
    second: tuple
    answered: tuple


class Stops:
    """First pass over all lines: what was cut by a stop. Its size is that of what was cut, not of the records."""

    def __init__(self):
        self.doubts, self.legs, self.pairs = [], {}, {}

    def see(self, line):
        record = line.record
        if record.answered == DOUBT:
            self.doubts.append(
                Doubt(
                    line.proxy,
                    line.chain,
                    record.call,
                    record.caller_leg,
                    record.caller_tag,
                    record.client,
                    record.call_type,
                    record.wall_us(record.stood_us),
                )
            )
        if record.how == STOPPED:
            if record.caller_leg:
                self.legs.setdefault((record.caller_leg, record.caller_tag), []).append(line)
            if record.caller and record.number:
                self.pairs.setdefault((record.caller, record.number), []).append(line)

    def meetings(self, lines):
        """Second pass: the Meetings of other records with what was cut."""
        for line in lines:
            record = line.record
            for other in self.legs.get((record.caller_leg, record.caller_tag), ()):
                if other.chain != line.chain:
                    yield _meeting("met twice", other, line)
            came = record.wall_us(record.came_us)
            for other in self.pairs.get((record.caller, record.number), ()):
                cut = other.record
                if (
                    cut.call != record.call
                    and cut.caller_leg != record.caller_leg
                    and came - cut.wall_us(cut.came_us) >= 0
                    and came - cut.wall_us(cut.ended_us) <= REDIAL_US
                ):
                    yield _meeting("redial", other, line)


def _meeting(what, other, line):
    return Meeting(
        what,
        (other.proxy, other.record.call),
        (line.proxy, line.record.call),
        (other.record.answered, line.record.answered),
    )


def words(doubts, meetings, answered, unanswered, wall_us):
    """(Words by (chain, call), names that are in no doubt). `answered` and `unanswered` are sets of Call-IDs, or of
    calls, as the other side tells them; a list goes before what another proxy met."""
    found, known = {}, set()
    second = {m.first: m for m in meetings if m.what == "met twice" and m.answered[1] == YES}
    for doubt in doubts:
        names = {doubt.call, doubt.caller_leg}
        known |= names
        yes, no = names & answered, names & unanswered
        if yes and no:
            raise ValueError(f"call {doubt.call} stands in both lists")
        if yes or no:
            found[(doubt.chain, doubt.call)] = Word(
                doubt.call, "yes" if yes else "no", "by the other side's list", wall_us
            )
        elif (doubt.proxy, doubt.call) in second:
            other = second[(doubt.proxy, doubt.call)].second
            found[(doubt.chain, doubt.call)] = Word(
                doubt.call, "withdrawn", f"its caller went on to {other[0]}, call {other[1]}", wall_us
            )
    return found, sorted((answered | unanswered) - known)
