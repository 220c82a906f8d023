"""Compares the store with a plain list by hypothesis: calls, disk errors, kills, power losses and restarts in any order.

The names of rules and their arguments decide which sequences hypothesis tries; a renamed rule tries others.
"""

import errno
import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from records.disk import Disk, KilledError
from records.proxy import LIMITS, Recorder, all_lines

from thorndale.records import folder as fo
from thorndale.records.chain import ChainCheck, links
from thorndale.standins.day import seeded_random

STEPS = {"all": 0}


class Store(RuleBasedStateMachine):
    """The model: `promised`, calls whose final answer was sent; `begun`, all calls that ever began."""

    @initialize(way=st.sampled_from(["written", "synced"]), size=st.integers(300, 3000), seed=st.integers(0, 1 << 30))
    def start(self, way, size, seed):
        self.disk, self.answer_order, self.limits, self.random_draw = (
            Disk(),
            way,
            LIMITS._replace(segment_bytes=size),
            seeded_random(seed),
        )
        self.boot, self.serial, self.promised, self.begun, self.established, self.kills = 0, 0, set(), set(), [], 0
        self.recorder = None
        self.boot_up()

    def boot_up(self):
        """Starts a proxy, again after each kill during the start."""
        while self.recorder is None:
            self.boot += 1
            try:
                self.recorder = Recorder(self.disk, f"boot{self.boot}", self.answer_order, self.limits)
            except (KilledError, OSError):
                self.disk.after_kill()
        self.established = []

    def _crash(self, power):
        self.promised |= set(self.recorder.promised)
        self.recorder, self.kills = None, self.kills + 1
        if power and self.answer_order == "synced":
            self.disk.after_power_loss(self.random_draw)
        else:
            self.disk.after_kill()

    def attempt(self, act):
        STEPS["all"] += 1
        try:
            act()
        except KilledError:
            self._crash(False)
            self.boot_up()

    def _new_call(self):
        self.serial += 1
        call = f"c{self.serial}"
        self.begun.add(call)
        return call

    @rule()
    def refuse(self):
        self.attempt(lambda: self.recorder.refused(self._new_call()))

    @rule()
    def begin(self):
        call = self._new_call()
        self.established.append(call)
        self.attempt(lambda: self.recorder.begin(call))

    @rule(pick=st.integers(0, 1 << 30))
    def end(self, pick):
        if self.established:
            call = self.established.pop(pick % len(self.established))
            self.attempt(lambda: self.recorder.end(call))

    @rule(most=st.integers(1, 12))
    def work(self, most):
        self.attempt(lambda: self.recorder.work(most))

    @rule(ahead=st.integers(0, 6), code=st.sampled_from([errno.ENOSPC, errno.EIO]), tear=st.floats(0, 1))
    def fail(self, ahead, code, tear):
        self.disk.faults[self.disk.ops + ahead], self.disk.tear = code, tear

    @rule(ahead=st.integers(0, 6), tear=st.floats(0, 1))
    def kill_soon(self, ahead, tear):
        self.disk.kill_at, self.disk.tear = self.disk.ops + ahead, tear

    @rule(power=st.booleans(), again=st.integers(0, 9))
    def kill(self, power, again):
        """`again`: the operation of the recovery at which the process is killed again."""
        STEPS["all"] += 1
        self._crash(power)
        if again < 8:
            self.disk.kill_at, self.disk.tear = self.disk.ops + again, again / 8
        self.boot_up()

    @rule()
    def stop(self):
        def act():
            self.recorder.close()
            self.promised |= set(self.recorder.promised)
            self.recorder = None
            self.boot_up()

        self.attempt(act)

    @rule()
    def look(self):
        """Writes all, then reads: each promised call once and in order, no call that never began, no findings."""

        def act():
            self.recorder.work()
            self.promised |= set(self.recorder.promised)
            found = [line.record.call for line in all_lines(self.disk)]
            assert len(found) == len(set(found)), "a call twice"
            assert set(found) <= self.begun, "a call that never was"
            missing = self.promised - set(found) - set(self.established) - set(self.recorder.journal.open_calls)
            assert not missing, f"lost: {sorted(missing)}"
            seqs = [line.seq for line in all_lines(self.disk)]
            assert seqs == sorted(seqs), "out of order"
            check = ChainCheck()
            for link in links(fo.segments(self.disk)):
                check.link(link)
            assert not check.findings, check.findings

        self.attempt(act)

    @rule(where=st.integers(0, 1 << 30))
    def flip(self, where):
        """Flips one bit of a sealed segment, verifies that its place is found, and restores it."""
        STEPS["all"] += 1
        segment_numbers = fo.numbers(self.disk)
        data = {name: d for name, d in fo.segments(self.disk)}
        if len(segment_numbers) < 2 or any(link.read.findings for link in links(data.items())):
            return
        sealed = [link.name for link in links(data.items()) if link.read.seal is not None]
        if not sealed:
            return
        name = sealed[where % len(sealed)]
        entry_data = self.disk.entries[name].data
        at = (where // 7) % len(entry_data)
        entry_data[at] ^= 1 << where % 8
        try:
            check = ChainCheck()
            for link in links(fo.segments(self.disk)):
                check.link(link)
            assert any(x.name == name and (x.at < 0 or x.at <= at < x.end) for x in check.findings), (
                at,
                check.findings,
            )
        finally:
            entry_data[at] ^= 1 << where % 8

    @invariant()
    def nothing_promised_is_forgotten(self):
        if getattr(self, "recorder", None) is not None:
            assert len(self.recorder.promised) == len(set(self.recorder.promised)), "answered twice"


TestStore = Store.TestCase
TestStore.settings = settings(
    max_examples=int(os.environ.get("RECORDS_EXAMPLES", "40")),
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
