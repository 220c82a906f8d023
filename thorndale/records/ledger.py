"""Between calls and the journal: which frame a call's turn needs, and when its final answer may go out.

Four ways of ordering the answer and its record, by `answer` of the settings:

    written  the frame first, given to the kernel; then the answer. Outlives a killed process; the machine's own end
             may take the last few milliseconds.
    synced   the frame first, on the disk; then the answer.
    intent   a frame when the call comes; the answer once that one is on the disk, the rest behind the answer. After
             a kill it is not known what the caller was answered.
    after    the answer first. A kill takes the records of the last milliseconds.

An answer waits `wait_us` at most: one final answer in time goes before its record, which stays in the queue, and the
call is counted as answered ahead of it.
"""

import heapq
from collections import Counter, deque

from thorndale.records import frame as f
from thorndale.records.record import DOUBT, Mark, Word, encode

WAYS = ("written", "synced", "intent", "after")
FORGET_US = 64_000_000  # us after a start during which a caller's word about a call before it is looked for


class Unkept:
    """No records are kept: answers go at once. What a Ledger has, doing nothing."""

    kept, notes_coming = False, False

    def came(self, now, record):
        pass

    def refused(self, now, record, then, under_way=True):
        then(now)

    def begun(self, now, record, then):
        then(now)

    def ended(self, now, record):
        pass

    def refusing(self, now):
        return False

    def repeated(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        pass

    cancelled = repeated

    def spoke(self, now, call, wall_us):
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
    """`perform(op)` begins one operation of the journal's, `write_word(seq, word)` adds a word; both must return at
    once. `say(level, event, **fields)` logs."""

    kept = True

    def __init__(self, journal, way, wait_us, perform, write_word, say, unsure=(), now=0):
        self.journal, self.way, self.wait_us = journal, way, wait_us
        self.notes_coming = way == "intent"  # whether `came` wants to be told
        self.perform, self.write_word, self.say = perform, write_word, say
        self.waiting, self.deadlines, self.serial = [], deque(), 0  # (seq, serial, then); (when, serial)
        self.intents, self.sent_calls = {}, []
        self.count = Counter()
        self.unsure = {r.call: r for r in unsure}
        self.legs = {(r.caller_leg, r.caller_tag, r.caller_seq): r.call for r in unsure if r.caller_leg}
        self.forget_at, self.words = now + FORGET_US, 0
        self.alarm = ""

    # ---- calls ----

    def came(self, now, record):
        """A call was taken; `record` as far as it goes."""
        if self.notes_coming:
            self.intents[record.call] = self.journal.put(now, f.INTENT, encode(record), record.call)

    def refused(self, now, record, then, under_way=True):
        """The call's final answer is none that lets it stand: its record is whole. `then(now)` sends the answer."""
        body = encode(record)
        seq = self.journal.put(now, f.WHOLE, body, record.call, record.wall_us(record.ended_us), under_way)
        self._hold(now, seq, record.call, then)

    def begun(self, now, record, then):
        """The call stands at its server; `then(now)` sends the caller's 200."""
        record.answered = DOUBT
        seq = self.journal.put(now, f.BEGUN, encode(record), record.call)
        self._hold(now, seq, record.call, lambda at: self._go(at, record.call, then))

    def _go(self, now, call, then):
        then(now)
        self.sent_calls.append(call)

    def ended(self, now, record):
        """A call that stood has ended: its record is whole."""
        self.journal.put(now, f.ENDED, encode(record), record.call, record.wall_us(record.ended_us))

    def _hold(self, now, seq, call, then):
        wait = self.intents.pop(call, -1) if self.way == "intent" else seq
        if self.way == "after" or wait < 0 or wait <= self._safe():
            then(now)
            return
        self.journal.urgent = True
        self.serial += 1
        heapq.heappush(self.waiting, (wait, self.serial, then))
        self.deadlines.append((now + self.wait_us, self.serial))

    def _safe(self):
        return self.journal.written if self.way == "written" else self.journal.synced

    def refusing(self, now):
        return self.journal.refusing(now)

    # ---- what callers tell of calls before the stop ----

    def repeated(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        """An INVITE came that an earlier boot had met: its caller had no answer."""
        call = self.legs.pop((caller_leg, caller_tag, caller_seq), None)
        if call is not None:
            self._word(call, "withdrawn", "its caller repeated the INVITE after the stop", wall_us)

    def cancelled(self, now, caller_leg, caller_tag, caller_seq, wall_us):
        call = self.legs.get((caller_leg, caller_tag, caller_seq))
        if call in self.unsure and self.unsure[call].answered == DOUBT:
            self._word(call, "no", "its caller cancelled it after the stop", wall_us)

    def spoke(self, now, call, wall_us):
        """A request came inside a dialog that an earlier boot had begun: its caller had the 200."""
        record = self.unsure.get(call)
        if record is not None and record.answered == DOUBT:
            self._word(call, "yes", "its caller spoke in the dialog after the stop", wall_us)

    def _word(self, call, word, why, wall_us):
        record = self.unsure.pop(call, None)
        if record is not None:
            self.legs.pop((record.caller_leg, record.caller_tag, record.caller_seq), None)
            self.words += 1
            self.count["words"] += 1
            self.write_word(self.words, Word(call, word, why, wall_us))

    # ---- time and results ----

    def mark(self, now, wall_us):
        """Each second or so: the last time known, should this process be killed."""
        self.journal.put(now, f.MARK, encode(Mark(now, wall_us, self.journal.lost)))
        self._alarms(now)
        if self.unsure and now >= self.forget_at:
            self.unsure.clear()
            self.legs.clear()

    def done(self, now, op, fault=""):
        """The result of an operation; answers that waited for it go out."""
        self.journal.done(now, op, fault)
        self._release(now)
        if fault or self.alarm:
            self._alarms(now)

    def flush(self, now):
        """After each batch of work: begins what the disk should do now. Called some times for each call, so what
        there is nothing for is passed over."""
        journal = self.journal
        if self.sent_calls and journal.writing is None and journal.due(now):
            calls, self.sent_calls = self.sent_calls, []
            journal.sent(now, calls)
        if self.waiting and (self.waiting[0][0] <= self._safe() or self.deadlines[0][0] <= now):
            self._release(now)
        if journal.ready(now):
            for op in journal.want(now):
                self.perform(op)

    def _release(self, now):
        safe, waiting = self._safe(), self.waiting
        while waiting and waiting[0][0] <= safe:
            heapq.heappop(waiting)[2](now)
        deadlines = self.deadlines
        while deadlines and deadlines[0][0] <= now:
            _, serial = deadlines.popleft()
            late = next((entry for entry in waiting if entry[1] == serial), None)
            if late is not None:
                waiting.remove(late)
                heapq.heapify(waiting)
                self.count["answered ahead"] += 1
                late[2](now)
        if not waiting:
            deadlines.clear()

    def next_at(self):
        """When `flush` should be called if nothing happens before, or None."""
        at = self.journal.next_at()
        if self.deadlines and (at is None or self.deadlines[0][0] < at):
            at = self.deadlines[0][0]
        if self.sent_calls and at is None and self.journal.writing is None:
            at = self.journal.written_us + self.journal.limits.commit_us
        return at

    def _alarms(self, now):
        journal = self.journal
        alarm = (
            journal.trouble
            or ("the disk is slow" if journal.late(now) else "")
            or ("the queue is full" if journal.room() <= 0 else "")
        )
        if alarm == self.alarm:
            return
        if alarm:
            act = "new calls are refused" if journal.limits.policy == "refuse" else "records may be lost, counted"
            self.say(
                "error",
                "records cannot be written",
                reason=alarm,
                act=act,
                waiting=len(journal.queue),
                lost=journal.lost,
            )
            self.count["alarms"] += 1
        else:
            self.say(
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
            "troubles": journal.troubles,
            "waiting": len(journal.queue),
            "frames": journal.next_seq,
            **self.count,
        }
