"""The door of one instance: wire ids to small indices and back, milliseconds to whole
microseconds, wire names to ours.

Indices of calls are used again once a call is over and none of its seizures is out.
"""

from thorndale import fields as f
from thorndale import interface as ours
from thorndale.adapter import frames

STATES = {"SERVING": ours.SERVING, "DRAINING": ours.DRAINING, "DELETED": ours.GONE}
OUTCOMES = {
    "completed": ours.COMPLETED,
    "errored": ours.FAULTY,
    "saturated": ours.FULL,
    "overdue": ours.TIMED_OUT,
    "refused_conn": ours.UNREACHABLE,
    "severed": ours.RESET,
    "recalled": ours.CANCELLED,
    "superseded": ours.NOT_SENT,
}
# Outcomes that the cause tells apart: all lines of the number engaged, no free line in the pool.
TOLD = {("errored", 4): ours.BUSY, ("saturated", 1): ours.EMPTY}


class Door:
    def __init__(self, types):
        self.types = types
        self.servers, self.server_ids = {}, []
        self.calls, self.call_ids, self.spare = {}, [], []
        self.out, self.over = [], []

    def server(self, wire_id):
        index = self.servers.get(wire_id)
        if index is None:
            index = self.servers[wire_id] = len(self.server_ids)
            self.server_ids.append(wire_id)
        return index

    def _settle(self, index):
        if self.over[index] and not self.out[index]:
            del self.calls[self.call_ids[index]]
            self.call_ids[index] = None
            self.spare.append(index)

    def _over(self, index):
        self.over[index] = True
        self._settle(index)

    def report(self, text):
        found = f.pairs("stats", text)
        told = {k: v for k, v in found.items() if v >= 0}
        wait = told.get("latency_ms")
        return ours.Report(
            told.get("idle"),
            told.get("circuits"),
            None if wait is None else round(wait * 1000),
            told.get("max_rate"),
        )

    def event(self, name, fields, lists):
        """The event for the module, or None where there is nothing for it."""
        if name == "DEMAND":
            tid = f.need(fields, "tid", f.whole)
            if tid in self.calls:
                raise f.InputError(f"call {tid} was given before")
            kind = f.need(fields, "priority", f.whole)
            if not 0 <= kind < self.types:
                raise f.InputError(f"class {kind} is not in the settings")
            if self.spare:
                index = self.spare.pop()
                self.call_ids[index], self.out[index], self.over[index] = tid, 0, False
            else:
                index = len(self.call_ids)
                self.call_ids.append(tid)
                self.out.append(0)
                self.over.append(False)
            self.calls[tid] = index
            return ours.Call(
                index,
                kind,
                f.maybe(fields, "realm", f.whole, 0),
                f.maybe(fields, "nameKey", f.hexkey, 0),
                f.need(fields, "leftMs", f.micros),
                f.need(fields, "dest", f.whole),
                f.maybe(fields, "repeat", f.flag, False),
                f.maybe(fields, "again", f.flag, False),
            )
        if name in ("UNDER_WAY", "RESOLVED"):
            index = self.calls.get(f.need(fields, "tid", f.whole))
            seizure = f.need(fields, "copy", f.whole)
            server = self.server(f.need(fields, "server", f.whole))
            lag = f.need(fields, "lagMs", f.micros)
            if name == "UNDER_WAY":
                return None if index is None else ours.Answered(index, seizure, server, lag)
            code = f.need(fields, "code", f.string)
            if code not in OUTCOMES:
                raise f.InputError(f"unknown outcome code {code[:40]!r}")
            cause = f.maybe(fields, "clearCode", f.whole, 0)
            final = f.maybe(fields, "doneFlag", f.flag, False)
            report = self.report(fields["stats"]) if "stats" in fields else None
            if index is None:
                return None
            self.out[index] -= 1
            wait = (cause >> 4) * 1000 if code == "saturated" and cause & 15 == 3 else 0
            outcome = TOLD.get((code, cause & 15), OUTCOMES[code])
            event = ours.SeizureEnded(index, seizure, server, outcome, wait, lag, final, report)
            if final:
                self.over[index] = True
            return event
        if name == "VANISHED":
            index = self.calls.get(f.need(fields, "tid", f.whole))
            return None if index is None else ours.CallerAbandoned(index)
        if name == "DEADLINE_HIT":
            return ours.TimerFired(f.need(fields, "ctx", f.whole))
        if name == "SAMPLED":
            server = f.need(fields, "server", f.whole)
            code = f.need(fields, "code", f.string)
            lag = f.maybe(fields, "lagMs", f.micros, 0)
            if server not in self.servers or code != "completed" or "stats" not in fields:
                return None
            return ours.ServerReport(self.servers[server], self.report(fields["stats"]), lag > 0)
        if name == "UPDATE":
            form = f.need(fields, "form", f.string)
            if form == "error":
                return ours.ListFailed()
            if form not in ("diff", "snapshot", "disk"):
                raise f.InputError(f"unknown form of list {form[:40]!r}")
            ref = f.need(fields, "ref", f.whole)
            if ref not in lists:
                raise f.InputError(f"list {ref} was never defined")
            entries = tuple(ours.Server(self.server(s), pool, state, started) for s, pool, state, started in lists[ref])
            return ours.Servers(entries, form != "diff", form == "disk")
        if name == "MEMO":
            return ours.PeerMessage(f.need(fields, "srcPeer", f.whole), f.need(fields, "bytes", f.octets))
        raise f.InputError(f"unknown event {name[:40]!r}")

    def after(self, event):
        """Called when the module has had the batch: forget what is over."""
        if type(event) is ours.CallerAbandoned:
            self.over[event.call] = True
        if type(event) in (ours.CallerAbandoned, ours.SeizureEnded) and self.call_ids[event.call] is not None:
            self._settle(event.call)

    def line(self, proxy, action):
        kind = type(action)
        if kind is ours.Seize:
            self.out[action.call] += 1
            return frames.line(
                "DELIVER",
                proxy=proxy,
                tid=self.call_ids[action.call],
                server=self.server_ids[action.server],
                timeoutMs=frames.ms(action.timeout_us),
            )
        if kind is ours.SetTimer:
            return frames.line("REMIND", proxy=proxy, momentMs=frames.ms(action.at_us), ctx=action.token)
        if kind is ours.Log:
            return frames.line("NOTE_DOWN", proxy=proxy, reasonText=action.text)
        if kind is ours.SubscribeList:
            return frames.line("FOLLOW", proxy=proxy, active=1)
        tid = self.call_ids[action.call]
        if kind is ours.Cancel:
            return frames.line("CANCEL", proxy=proxy, tid=tid, copy=action.seizure)
        self._over(action.call)
        if kind is ours.Reject:
            return frames.line("SAY_NO", proxy=proxy, tid=tid, backoffMs=frames.ms(action.comeback_us))
        return frames.line("ABORT", proxy=proxy, tid=tid)


def entry(fields):
    """One ITEM of a DEFINE_LIST: server, pool, state, start."""
    state = f.need(fields, "lifecycle", f.string)
    if state not in STATES:
        raise f.InputError(f"unknown lifecycle {state[:40]!r}")
    return (
        f.need(fields, "server", f.whole),
        f.need(fields, "nodeNo", f.whole),
        STATES[state],
        f.maybe(fields, "startedAtMs", f.micros, 0),
    )
