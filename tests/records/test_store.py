"""The store on a disk that fails at every operation, tears writes and loses unsynced data."""

import contextlib
import errno

import pytest
from records.disk import Disk, KilledError
from records.proxy import LIMITS, Recorder, all_lines, calls

from thorndale.records import folder as fo
from thorndale.records.chain import verify as verify_chain
from thorndale.records.frame_replay import STOPPED
from thorndale.standins.day import seeded_random


def verify(disk):
    return verify_chain(fo.segments(disk), fo.tombstones(disk))


def small_run(disk, boot="b1", answer_order="written", created=None):
    """Thirty calls over several segments. Returns the Recorder; appends it to `created` too, for runs that are killed."""
    recorder = Recorder(disk, boot, answer_order)
    if created is not None:
        created.append(recorder)
    for n in range(30):
        call = f"{boot}-{n:02d}"
        recorder.arrive(call)
        if n % 3 == 0:
            recorder.refused(call)
        else:
            recorder.begin(call)
        recorder.work(2)
        if n > 4 and (n - 4) % 3 and n % 7:
            recorder.end(f"{boot}-{n - 4:02d}")
        recorder.work(2)
    return recorder


def test_calls_are_read_back_once_and_in_order():
    disk = Disk()
    recorder = small_run(disk)
    recorder.work()
    recorder.close()
    assert len(recorder.promised) == 30
    assert len(fo.numbers(disk)) > 3
    found = calls(disk)
    assert len(found) == len(set(found))
    Recorder(disk, "b2").close()
    settled = calls(disk)
    assert sorted(settled) == sorted(recorder.promised)
    assert settled[: len(found)] == found
    assert not verify(disk).findings


@pytest.mark.parametrize("answer_order", ["written", "synced", "intent", "after"])
def test_killed_at_every_operation(answer_order):
    """A small run is killed at its n-th operation and recovered: every answered call has exactly one record."""
    total = Disk()
    small_run(total, answer_order=answer_order).work()
    for n in range(total.ops + 1):
        disk, created_recorders = Disk(), []
        disk.kill_at, disk.tear = n, (0.0, 0.5, 1.0)[n % 3]
        with contextlib.suppress(KilledError):
            small_run(disk, created=created_recorders, answer_order=answer_order).work()
        promised = created_recorders[0].promised if created_recorders else []
        after = Recorder(disk.after_kill(), "b2", answer_order)
        found = calls(disk)
        assert len(found) == len(set(found)), n
        if answer_order != "after":
            assert set(promised) <= set(found), (n, set(promised) - set(found))
        assert not [x for x in verify(disk).findings], (n, verify(disk).findings)
        after.close()
        for line in all_lines(disk):
            assert line.record.ended_us >= line.record.came_us


@pytest.mark.parametrize("answer_order", ["synced", "intent"])
def test_power_lost_at_every_operation_loses_nothing_synced(answer_order):
    total = Disk()
    small_run(total, answer_order=answer_order).work()
    random_draw = seeded_random(7)
    for n in range(total.ops + 1):
        disk, created_recorders = Disk(), []
        disk.kill_at = n
        with contextlib.suppress(KilledError):
            small_run(disk, created=created_recorders, answer_order=answer_order).work()
        promised = created_recorders[0].promised if created_recorders else []
        Recorder(disk.after_power_loss(random_draw), "b2", answer_order)
        found = calls(disk)
        assert len(found) == len(set(found)), n
        assert set(promised) <= set(found), (n, set(promised) - set(found))


@pytest.mark.parametrize("kill_at_operation", range(11, 110, 9))
def test_killed_at_every_operation_of_recovery_leads_to_the_same_bytes(kill_at_operation):
    first = Disk()
    first.kill_at, first.tear = kill_at_operation, 0.7
    with pytest.raises(KilledError):
        small_run(first)
    first.after_kill()

    def copy():
        disk = Disk()
        for name in first.names():
            disk.create(name)
            disk.append(name, first.read(name))
        disk.ops = 0
        return disk

    def of(disk):
        return {name: disk.read(name) for name in disk.names() if name.endswith(".seg")}

    whole = copy()
    plan = fo.recovery(whole)
    assert plan.steps
    fo.apply(whole, plan.steps)
    for n in range(whole.ops):
        for tear_step in range(3):
            disk = copy()
            disk.kill_at, disk.tear = n, tear_step / 2
            with pytest.raises(KilledError):
                fo.apply(disk, fo.recovery(disk).steps)
            disk.after_kill()
            fo.apply(disk, fo.recovery(disk).steps)
            assert of(disk) == of(whole), (n, tear_step)
    assert not verify(whole).findings


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_every_single_fault_of_the_disk_loses_nothing(code):
    """Each operation in turn fails once, half done: the run continues and every call has its record."""
    total = Disk()
    small_run(total).work()
    for n in range(total.ops):
        disk = Disk()
        disk.faults = {n: code}
        try:
            recorder = small_run(disk)
        except OSError:
            continue  # the start itself failed: no call was answered
        recorder.work()
        assert len(recorder.promised) == 30, n
        assert recorder.journal.disk_errors <= 1
        recorder.close()
        Recorder(disk, "b2").close()
        found = calls(disk)
        assert sorted(found) == sorted(recorder.promised), n
        assert not verify(disk).findings, (n, verify(disk).findings)


def test_a_full_disk_refuses_new_calls_and_recovers_by_itself():
    disk = Disk()
    recorder = Recorder(disk, "b1")
    recorder.begin("one")
    recorder.work()
    disk.faults = {n: errno.ENOSPC for n in range(disk.ops, disk.ops + 6)}
    recorder.refused("two")
    recorder.work(3)
    assert recorder.ledger.refusing(recorder.now)
    assert any(
        e == "records cannot be written" and "ENOSPC" in m["reason"] or "made to fail" in m.get("reason", "")
        for _, e, m in recorder.logged
    )
    assert "two" not in recorder.promised
    recorder.work()
    assert "two" in recorder.promised and not recorder.ledger.refusing(recorder.now)
    assert recorder.logged[-1][1] == "records are written again"


def test_a_disk_that_does_not_respond_is_reported_in_time_and_new_calls_are_refused():
    recorder = Recorder(Disk(), "b1")
    recorder.work()
    recorder.refused("one")
    recorder.ledger.flush(recorder.now)  # its write is in flight, and no result returns
    assert not recorder.ledger.refusing(recorder.now + LIMITS.slow_us)
    recorder.now += LIMITS.slow_us + 1
    recorder.ledger.mark(recorder.now, 0)
    assert recorder.ledger.refusing(recorder.now) and recorder.logged[-1][2]["reason"] == "the disk is slow"
    recorder.work()
    assert recorder.promised == ["one"] and not recorder.ledger.refusing(recorder.now)
    assert recorder.logged[-1][1] == "records are written again"


def test_policy_lose_counts_dropped_records_and_keeps_the_ends_of_calls():
    disk = Disk()
    recorder = Recorder(disk, "b1", limits=LIMITS._replace(queue=4, policy="lose"))
    recorder.work()
    disk.faults = dict.fromkeys(range(disk.ops, disk.ops + 1000), errno.EIO)
    for n in range(10):
        recorder.refused(f"r{n}")
    recorder.begin("late")
    recorder.end("late")
    assert not recorder.ledger.refusing(recorder.now)
    disk.faults = {}
    recorder.work()
    recorder.close()
    assert recorder.journal.lost == 6 and recorder.journal.unguarded == 1
    assert calls(disk) == ["r0", "r1", "r2", "r3", "late"]


def test_an_answer_that_waits_too_long_is_sent_before_its_record_and_counted():
    disk = Disk()
    recorder = Recorder(disk, "b1", wait_us=500)
    recorder.refused("one")
    recorder.ledger.flush(recorder.now)
    assert recorder.promised == []
    recorder.now += 500
    recorder.ledger.flush(recorder.now)
    assert recorder.promised == ["one"] and recorder.ledger.count["answered ahead"] == 1
    recorder.work()
    assert recorder.promised == ["one"]


def test_an_established_call_is_closed_at_the_last_known_time_after_a_kill():
    disk = Disk()
    recorder = Recorder(disk, "b1")
    recorder.begin("one")
    recorder.work()
    recorder.ledger.mark(90_000, 95_000_000)
    recorder.work()
    Recorder(disk.after_kill(), "b2")
    record = all_lines(disk)[0].record
    assert (record.how, record.by, record.ended_us, record.answered) == (STOPPED, "proxy", 90_000, "yes")


def test_a_repeated_invite_withdraws_the_record_of_an_unanswered_call():
    disk = Disk()
    recorder = Recorder(disk, "b1")
    recorder.begin("one")
    recorder.refused("two")
    recorder.work(3, only="open")
    recorder.work(1, only="write")
    recorder.promised.clear()
    again = Recorder(disk.after_kill(), "b2")
    assert [line.record.answered for line in all_lines(disk)] == ["no", "doubt"]
    again.ledger.repeated(again.now, "two@x", "t", 2, 1)  # a new attempt of a caller that received its answer
    assert not again.ledger.resolutions
    again.ledger.repeated(again.now, "two@x", "t", 0, 1)
    again.ledger.requested_in_dialog(again.now, "one", 1)
    assert [(line.record.call, line.record.answered) for line in all_lines(disk)] == [("one", "yes")]


def test_two_proxies_on_one_folder_are_refused(tmp_path):
    from thorndale.records.files import Files, LockedError

    one, two = Files(str(tmp_path)), Files(str(tmp_path))
    one.lock()
    with pytest.raises(LockedError, match="in use by process"):
        two.lock()
    one.close()
    two.lock()
    two.close()
