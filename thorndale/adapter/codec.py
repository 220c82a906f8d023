"""Translates between the simulator's protocol and the events and actions of one proxy instance: protocol ids to small
indices and back, milliseconds to whole microseconds, names and codes.

A call's index is reused once the call is over and none of its seizures is outstanding.
"""

from thorndale import fields as field
from thorndale import interface as io
from thorndale.adapter import frames

STATES = {"SERVING": io.SERVING, "DRAINING": io.DRAINING, "DELETED": io.GONE}
OUTCOMES = {
    "completed": io.COMPLETED,
    "errored": io.FAULTY,
    "saturated": io.FULL,
    "overdue": io.TIMED_OUT,
    "refused_conn": io.UNREACHABLE,
    "severed": io.RESET,
    "recalled": io.CANCELLED,
    "superseded": io.NOT_SENT,
}
# Outcomes that only the cause distinguishes: all lines of the number engaged, no free line in the pool.
OUTCOMES_BY_CAUSE = {("errored", 4): io.BUSY, ("saturated", 1): io.EMPTY}


class WireCodec:
    def __init__(self, type_count):
        self.type_count = type_count
        self.server_indices, self.server_ids = {}, []
        self.call_indices, self.call_ids, self.free_indices = {}, [], []
        self.outstanding, self.call_over = [], []  # by call index: seizures without an end; whether the call is over

    def server_index(self, wire_id):
        index = self.server_indices.get(wire_id)
        if index is None:
            index = self.server_indices[wire_id] = len(self.server_ids)
            self.server_ids.append(wire_id)
        return index

    def _free_if_done(self, index):
        if self.call_over[index] and not self.outstanding[index]:
            del self.call_indices[self.call_ids[index]]
            self.call_ids[index] = None
            self.free_indices.append(index)

    def _end_call(self, index):
        self.call_over[index] = True
        self._free_if_done(index)

    def report(self, text):
        values = field.number_pairs("stats", text)
        reported = {k: v for k, v in values.items() if v >= 0}  # a negative value stands for none
        wait_ms = reported.get("latency_ms")
        return io.Report(
            reported.get("idle"),
            reported.get("circuits"),
            None if wait_ms is None else round(wait_ms * 1000),
            reported.get("max_rate"),
        )

    def event(self, name, fields, lists):
        """The event for the module, or None if the line carries none."""
        if name == "DEMAND":
            tid = field.required(fields, "tid", field.integer)
            if tid in self.call_indices:
                raise field.InputError(f"call {tid} was given before")
            call_type = field.required(fields, "priority", field.integer)
            if not 0 <= call_type < self.type_count:
                raise field.InputError(f"class {call_type} is not in the settings")
            if self.free_indices:
                index = self.free_indices.pop()
                self.call_ids[index], self.outstanding[index], self.call_over[index] = tid, 0, False
            else:
                index = len(self.call_ids)
                self.call_ids.append(tid)
                self.outstanding.append(0)
                self.call_over.append(False)
            self.call_indices[tid] = index
            return io.Call(
                index,
                call_type,
                field.optional(fields, "realm", field.integer, 0),
                field.optional(fields, "nameKey", field.hexadecimal, 0),
                field.required(fields, "leftMs", field.ms_to_us),
                field.required(fields, "dest", field.integer),
                field.optional(fields, "repeat", field.boolean, False),
                field.optional(fields, "again", field.boolean, False),
            )
        if name in ("UNDER_WAY", "RESOLVED"):
            index = self.call_indices.get(field.required(fields, "tid", field.integer))
            seizure = field.required(fields, "copy", field.integer)
            server = self.server_index(field.required(fields, "server", field.integer))
            lag_us = field.required(fields, "lagMs", field.ms_to_us)
            if name == "UNDER_WAY":
                return None if index is None else io.Answered(index, seizure, server, lag_us)
            code = field.required(fields, "code", field.string)
            if code not in OUTCOMES:
                raise field.InputError(f"unknown outcome code {code[:40]!r}")
            cause = field.optional(fields, "clearCode", field.integer, 0)
            final = field.optional(fields, "doneFlag", field.boolean, False)
            report = self.report(fields["stats"]) if "stats" in fields else None
            if index is None:
                return None
            self.outstanding[index] -= 1
            wait_us = (cause >> 4) * 1000 if code == "saturated" and cause & 15 == 3 else 0
            outcome = OUTCOMES_BY_CAUSE.get((code, cause & 15), OUTCOMES[code])
            event = io.SeizureEnded(index, seizure, server, outcome, wait_us, lag_us, final, report)
            if final:
                self.call_over[index] = True
            return event
        if name == "VANISHED":
            index = self.call_indices.get(field.required(fields, "tid", field.integer))
            return None if index is None else io.CallerAbandoned(index)
        if name == "DEADLINE_HIT":
            return io.TimerFired(field.required(fields, "ctx", field.integer))
        if name == "SAMPLED":
            server = field.required(fields, "server", field.integer)
            code = field.required(fields, "code", field.string)
            lag_us = field.optional(fields, "lagMs", field.ms_to_us, 0)
            if server not in self.server_indices or code != "completed" or "stats" not in fields:
                return None
            return io.ServerReport(self.server_indices[server], self.report(fields["stats"]), lag_us > 0)
        if name == "UPDATE":
            form = field.required(fields, "form", field.string)
            if form == "error":
                return io.ListFailed()
            if form not in ("diff", "snapshot", "disk"):
                raise field.InputError(f"unknown form of list {form[:40]!r}")
            ref = field.required(fields, "ref", field.integer)
            if ref not in lists:
                raise field.InputError(f"list {ref} was never defined")
            entries = tuple(
                io.Server(self.server_index(s), pool, state, started, zone)
                for s, pool, state, started, zone in lists[ref]
            )
            return io.Servers(entries, form != "diff", form == "disk")
        if name == "MEMO":
            return io.PeerMessage(
                field.required(fields, "srcPeer", field.integer), field.required(fields, "bytes", field.base64_bytes)
            )
        raise field.InputError(f"unknown event {name[:40]!r}")

    def after_event(self, event):
        """Called once the module has handled the batch; frees the index of a call that is over."""
        if type(event) is io.CallerAbandoned:
            self.call_over[event.call] = True
        if type(event) in (io.CallerAbandoned, io.SeizureEnded) and self.call_ids[event.call] is not None:
            self._free_if_done(event.call)

    def action_line(self, proxy, action):
        kind = type(action)
        if kind is io.Seize:
            self.outstanding[action.call] += 1
            return frames.format_line(
                "DELIVER",
                proxy=proxy,
                tid=self.call_ids[action.call],
                server=self.server_ids[action.server],
                timeoutMs=frames.format_ms(action.timeout_us),
            )
        if kind is io.SetTimer:
            return frames.format_line("REMIND", proxy=proxy, momentMs=frames.format_ms(action.at_us), ctx=action.token)
        if kind is io.Log:
            return frames.format_line("NOTE_DOWN", proxy=proxy, reasonText=action.text)
        if kind is io.SubscribeList:
            return frames.format_line("FOLLOW", proxy=proxy, active=1)
        tid = self.call_ids[action.call]
        if kind is io.Cancel:
            return frames.format_line("CANCEL", proxy=proxy, tid=tid, copy=action.seizure)
        self._end_call(action.call)
        if kind is io.Reject:
            return frames.format_line("SAY_NO", proxy=proxy, tid=tid, backoffMs=frames.format_ms(action.comeback_us))
        return frames.format_line("ABORT", proxy=proxy, tid=tid)


def list_entry(fields):
    """One ITEM of a DEFINE_LIST as (server, pool, state, start, zone)."""
    state = field.required(fields, "lifecycle", field.string)
    if state not in STATES:
        raise field.InputError(f"unknown lifecycle {state[:40]!r}")
    return (
        field.required(fields, "server", field.integer),
        field.required(fields, "nodeNo", field.integer),
        STATES[state],
        field.optional(fields, "startedAtMs", field.ms_to_us, 0),
        field.optional(fields, "campus", field.integer, -1),
    )
