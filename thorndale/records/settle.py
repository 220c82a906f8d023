"""Settles calls after the fact: calls in doubt, calls seen by two proxies, redials after a stop. Pure.

A call is in doubt if its proxy stopped between recording the answer and sending the 200, or before it recorded that
the 200 was sent. Three sources settle it: the caller's later messages to the restarted proxy (recorded by the proxy
itself), the same INVITE received by another proxy, and the other side's list of answered calls.
"""

from typing import NamedTuple

from thorndale.records.frame_replay import STOPPED
from thorndale.records.record import DOUBT, YES, Resolution

REDIAL_WINDOW_US = 120_000_000  # longest time from a stop to a redial of the same caller to the same number


class Doubt(NamedTuple):
    proxy: str
    chain: str
    call: str
    caller_leg: str
    caller_tag: str
    client: str
    call_type: str
    stood_wall_us: int


class RelatedCalls(NamedTuple):
    """Two records that belong together. `what`: 'met twice', one INVITE at two proxies; 'redial', a new call in place
    of one that a stop cut."""

    what: str
    first: tuple  # (proxy, call)
    second: tuple
    answered: tuple


class StoppedCalls:
    """First pass over all lines: the calls cut by a stop. Memory grows with these, not with all records."""

    def __init__(self):
        self.doubts, self.legs, self.pairs = [], {}, {}

    def add_line(self, line):
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

    def related_calls(self, lines):
        """Second pass: yields RelatedCalls for each other record that belongs to a call cut by a stop."""
        for line in lines:
            record = line.record
            for cut_line in self.legs.get((record.caller_leg, record.caller_tag), ()):
                if cut_line.chain != line.chain:
                    yield _related_calls("met twice", cut_line, line)
            came_wall_us = record.wall_us(record.came_us)
            for cut_line in self.pairs.get((record.caller, record.number), ()):
                cut_record = cut_line.record
                if (
                    cut_record.call != record.call
                    and cut_record.caller_leg != record.caller_leg
                    and came_wall_us - cut_record.wall_us(cut_record.came_us) >= 0
                    and came_wall_us - cut_record.wall_us(cut_record.ended_us) <= REDIAL_WINDOW_US
                ):
                    yield _related_calls("redial", cut_line, line)


def _related_calls(what, first_line, second_line):
    return RelatedCalls(
        what,
        (first_line.proxy, first_line.record.call),
        (second_line.proxy, second_line.record.call),
        (first_line.record.answered, second_line.record.answered),
    )


def resolutions(doubts, related_calls, answered, unanswered, wall_us):
    """Returns (Resolutions by (chain, call), listed names not in doubt). `answered` and `unanswered` are sets of
    Call-IDs or call names from the other side's lists; a list takes precedence over another proxy's record."""
    settled, names_in_doubt = {}, set()
    second_meetings = {m.first: m for m in related_calls if m.what == "met twice" and m.answered[1] == YES}
    for doubt in doubts:
        names = {doubt.call, doubt.caller_leg}
        names_in_doubt |= names
        yes, no = names & answered, names & unanswered
        if yes and no:
            raise ValueError(f"call {doubt.call} is in both lists")
        if yes or no:
            settled[(doubt.chain, doubt.call)] = Resolution(
                doubt.call, "yes" if yes else "no", "by the other side's list", wall_us
            )
        elif (doubt.proxy, doubt.call) in second_meetings:
            other = second_meetings[(doubt.proxy, doubt.call)].second
            settled[(doubt.chain, doubt.call)] = Resolution(
                doubt.call, "withdrawn", f"its caller went on to {other[0]}, call {other[1]}", wall_us
            )
    return settled, sorted((answered | unanswered) - names_in_doubt)
