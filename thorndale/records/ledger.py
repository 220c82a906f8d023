"""Connects calls to the journal: writes the frame for each event of a call and releases its final answer.

Four orders of the answer and its record, set by `answer` of the settings:

    written  the frame is written to the kernel, then the answer is sent. Survives a kill of the process; a crash of
             the machine may lose the last few milliseconds.
    synced   the frame is synced to the disk, then the answer is sent.
    intent   a frame is queued when the call arrives; the answer is sent once that frame is synced, and the record
             follows the answer. After a kill the answer that the caller received is unknown.
    after    the answer is sent first. A kill loses the records of the last milliseconds.

An answer waits `wait_us` at most. Then it is sent before its record, so that the caller receives a final answer in
time; the record stays in the queue and the call is counted as answered ahead.
"""

import heapq
from collections import Counter, deque

from thorndale.records import frame as f
from thorndale.records.record import DOUBT, Mark, Resolution, encode

ANSWER_ORDERS = ("written", "synced", "intent", "after")
RESOLUTION_WINDOW_US = 64_000_000  # after a start, messages about calls of the previous boot count for this long


class NullLedger:
    """Stands in for a Ledger if no records are kept: answers are sent at once."""

    keeps_records, records_arrivals = False, False

    def came(self, now, record):
        pass

    def refused(self, now, record, send_answer, under_way=True):
        send_answer(now)

    def begun(self, now, record, send_answer):
        send_answer(now)

    def ended(self, now, record):
        pass

    def refusing(self, now):
        return False

    def repeated(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        pass

    cancelled = repeated

    def requested_in_dialog(self, now, call, wall_us):
        pass

    def mark(self, now, wall_us):
        pass

    def flush(self, now):
        pass

    def next_at(self):
        return None

    def counts(self):
        return {}


class Ledger:
    """`start_operation(op)` starts an operation of the journal and `write_resolution(seq, resolution)` stores a
    Resolution; neither may block. `log(level, event, **fields)` writes a log entry."""

    keeps_records = True

    def __init__(self, journal, answer_order, wait_us, start_operation, write_resolution, log, unconfirmed=(), now=0):
        self.journal, self.answer_order, self.wait_us = journal, answer_order, wait_us
        self.records_arrivals = answer_order == "intent"  # whether `came` needs to be called
        self.start_operation, self.write_resolution, self.log = start_operation, write_resolution, log
        # Entries of `waiting`: (seq, waiter_id, send_answer); of `deadlines`: (deadline, waiter_id).
        self.waiting, self.deadlines, self.waiter_id = [], deque(), 0
        self.intents, self.sent_calls = {}, []
        self.count = Counter()
        self.unconfirmed = {r.call: r for r in unconfirmed}
        self.legs = {(r.caller_leg, r.caller_tag, r.caller_seq): r.call for r in unconfirmed if r.caller_leg}
        self.resolve_until, self.resolutions = now + RESOLUTION_WINDOW_US, 0
        self.alarm = ""

    # ---- calls ----

    def came(self, now, record):
        """A call was accepted; `record` is still incomplete."""
        if self.records_arrivals:
            self.intents[record.call] = self.journal.put(now, f.INTENT, encode(record), record.call)

    def refused(self, now, record, send_answer, under_way=True):
        """The call's final answer is a rejection; its record is complete. `send_answer(now)` sends the answer."""
        body = encode(record)
        seq = self.journal.put(now, f.WHOLE, body, record.call, record.wall_us(record.ended_us), under_way)
        self._answer_after(now, seq, record.call, send_answer)

    def begun(self, now, record, send_answer):
        """The server answered the call; `send_answer(now)` sends the 200 to the caller."""
        record.answered = DOUBT
        seq = self.journal.put(now, f.BEGUN, encode(record), record.call)
        self._answer_after(now, seq, record.call, lambda at: self._send_ok(at, record.call, send_answer))

    def _send_ok(self, now, call, send_answer):
        send_answer(now)
        self.sent_calls.append(call)

    def ended(self, now, record):
        """An answered call has ended; its record is complete."""
        self.journal.put(now, f.ENDED, encode(record), record.call, record.wall_us(record.ended_us))

    def _answer_after(self, now, seq, call, send_answer):
        awaited_seq = self.intents.pop(call, -1) if self.answer_order == "intent" else seq
        if self.answer_order == "after" or awaited_seq < 0 or awaited_seq <= self._confirmed_seq():
            send_answer(now)
            return
        self.journal.urgent = True
        self.waiter_id += 1
        heapq.heappush(self.waiting, (awaited_seq, self.waiter_id, send_answer))
        self.deadlines.append((now + self.wait_us, self.waiter_id))

    def _confirmed_seq(self):
        return self.journal.written if self.answer_order == "written" else self.journal.synced

    def refusing(self, now):
        return self.journal.refusing(now)

    # ---- messages about calls from before the stop ----

    def repeated(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        """An INVITE of an earlier boot arrived again: its caller received no answer."""
        call = self.legs.pop((caller_leg, caller_tag, caller_seq), None)
        if call is not None:
            self._resolve(call, "withdrawn", "its caller repeated the INVITE after the stop", wall_us)

    def cancelled(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        call = self.legs.get((caller_leg, caller_tag, caller_seq))
        if call in self.unconfirmed and self.unconfirmed[call].answered == DOUBT:
            self._resolve(call, "no", "its caller cancelled it after the stop", wall_us)

    def requested_in_dialog(self, now, call, wall_us):
        """A request arrived in a dialog of an earlier boot: its caller received the 200."""
        record = self.unconfirmed.get(call)
        if record is not None and record.answered == DOUBT:
            self._resolve(call, "yes", "its caller spoke in the dialog after the stop", wall_us)

    def _resolve(self, call, word, why, wall_us):
        record = self.unconfirmed.pop(call, None)
        if record is not None:
            self.legs.pop((record.caller_leg, record.caller_tag, record.caller_seq), None)
            self.resolutions += 1
            self.count["words"] += 1
            self.write_resolution(self.resolutions, Resolution(call, word, why, wall_us))

    # ---- timers and results ----

    def mark(self, now, wall_us):
        """Records a heartbeat, about once a second: after a kill it gives the last known time."""
        self.journal.put(now, f.MARK, encode(Mark(now, wall_us, self.journal.lost)))
        self._update_alarm(now)
        if self.unconfirmed and now >= self.resolve_until:
            self.unconfirmed.clear()
            self.legs.clear()

    def done(self, now, op, error=""):
        """Takes the result of an operation and sends the answers that waited for it."""
        self.journal.done(now, op, error)
        self._release(now)
        if error or self.alarm:
            self._update_alarm(now)

    def flush(self, now):
        """Starts the disk operations that are due. Called after each batch of work, several times per call, so each
        step is skipped cheaply if it has nothing to do."""
        journal = self.journal
        if self.sent_calls and journal.writing is None and journal.write_due(now):
            calls, self.sent_calls = self.sent_calls, []
            journal.sent(now, calls)
        if self.waiting and (self.waiting[0][0] <= self._confirmed_seq() or self.deadlines[0][0] <= now):
            self._release(now)
        if journal.may_have_work(now):
            for op in journal.next_operations(now):
                self.start_operation(op)

    def _release(self, now):
        confirmed_seq, waiting = self._confirmed_seq(), self.waiting
        while waiting and waiting[0][0] <= confirmed_seq:
            heapq.heappop(waiting)[2](now)
        deadlines = self.deadlines
        while deadlines and deadlines[0][0] <= now:
            _, waiter_id = deadlines.popleft()
            overdue = next((entry for entry in waiting if entry[1] == waiter_id), None)
            if overdue is not None:
                waiting.remove(overdue)
                heapq.heapify(waiting)
                self.count["answered ahead"] += 1
                overdue[2](now)
        if not waiting:
            deadlines.clear()

    def next_at(self):
        """When to call `flush` if nothing happens before, or None."""
        at = self.journal.next_at()
        if self.deadlines and (at is None or self.deadlines[0][0] < at):
            at = self.deadlines[0][0]
        if self.sent_calls and at is None and self.journal.writing is None:
            at = self.journal.written_us + self.journal.limits.commit_us
        return at

    def _update_alarm(self, now):
        journal = self.journal
        alarm = (
            journal.disk_error
            or ("the disk is slow" if journal.disk_slow(now) else "")
            or ("the queue is full" if journal.free_slots() <= 0 else "")
        )
        if alarm == self.alarm:
            return
        if alarm:
            act = "new calls are refused" if journal.limits.policy == "refuse" else "records may be lost, counted"
            self.log(
                "error",
                "records cannot be written",
                reason=alarm,
                act=act,
                waiting=len(journal.queue),
                lost=journal.lost,
            )
            self.count["alarms"] += 1
        else:
            self.log(
                "warning",
                "records are written again",
                lost=journal.lost,
                unguarded=journal.unguarded,
                answered_ahead=self.count["answered ahead"],
            )
        self.alarm = alarm

    def counts(self):
        journal = self.journal
        return {
            "lost": journal.lost,
            "unguarded": journal.unguarded,
            "troubles": journal.disk_errors,
            "waiting": len(journal.queue),
            "frames": journal.next_seq,
            **self.count,
        }
