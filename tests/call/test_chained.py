"""Marks of a chain on SIP: 181 Call Is Being Forwarded, and the location of a refusal's cause (RFC 8606)."""

import pytest
from call.rig import BOX1, BOX2, CALLER, Rig, statuses

from thorndale import interface as io

CHAINED = "chained: true"
BEYOND = "Reason: Q.850;cause=42;location=BI\r\nRetry-After: 1"
OWN = "Reason: Q.850;cause=42\r\nRetry-After: 1"


def refused(extra, status=503, settings=CHAINED):
    """A call whose first seizure is refused: the caller's answers, and the set-ups that followed within 0.4 s, before
    a final answer is repeated for want of an ACK."""
    rig = Rig(settings)
    rig.give(rig.invite())
    invite = rig.only(BOX1, "INVITE")
    rig.answer(invite, status, extra=extra)
    rig.run(400_000)
    return rig.take(CALLER), [r for r in rig.take(BOX2) if r.method == "INVITE"], rig


def test_a_refusal_from_beyond_is_passed_back_at_once_and_holds_nothing_against_the_server():
    answers, again, rig = refused(BEYOND)
    assert statuses(answers) == [100, 503] and not again
    assert answers[-1].get("reason") == "Q.850;cause=42;location=BI"
    module = rig.border.door.module
    assert module.skip_until[0] == 0 and module.queue_delay[0] == 0 and module.failure_log_odds[0] == 0


def test_a_servers_own_refusal_is_retried_elsewhere():
    answers, again, _ = refused(OWN)
    assert statuses(answers) == [100] and len(again) == 1


def test_a_fault_from_beyond_is_given_back_as_failed_with_its_place():
    answers, again, _ = refused("Reason: Q.850;cause=41;location=BI", 500)
    assert statuses(answers) == [100, 500] and not again
    assert answers[-1].get("reason") == "Q.850;cause=41;location=BI"


@pytest.mark.parametrize("extra", ["Reason: Q.850;cause=42;location=LN\r\nRetry-After: 1", OWN])
def test_other_places_are_the_servers_own(extra):
    assert len(refused(extra)[1]) == 1


@pytest.mark.parametrize(
    "bad", ["Q.850;location=BI", "Q.850;cause=x;location=BI", "Q.850;cause=42;location=" + "B" * 200]
)
def test_marks_that_cannot_be_read_are_passed_over(bad):
    assert len(refused(f"Reason: {bad}\r\nRetry-After: 1")[1]) == 1


def test_without_the_setting_marks_are_neither_heeded_nor_written():
    answers, again, _ = refused(BEYOND, settings="instances: 1")
    assert statuses(answers) == [100] and len(again) == 1
    rig = Rig("instances: 1")
    told = seen_by(rig)
    rig.give(rig.invite())
    rig.answer(rig.only(BOX1, "INVITE"), 181)
    assert not told


def seen_by(rig):
    """What the module is told of calls carried on."""
    told, handle = [], rig.border.door.module.handle

    def watched(now, events):
        told.extend(e for e in events if type(e) is io.Forwarded)
        return handle(now, events)

    rig.border.door.module.handle = watched
    return told


def test_a_call_carried_on_is_told_once_and_its_later_time_is_not_the_servers():
    rig = Rig(CHAINED)
    told, module = seen_by(rig), rig.border.door.module
    rig.give(rig.invite())
    invite = rig.only(BOX1, "INVITE")
    rig.run(30_000)
    rig.answer(invite, 181)
    rig.answer(invite, 181)
    assert [e.latency_us for e in told][:1] == [30_000]
    rig.run(900_000)
    assert module._expected_delay(0) == 0  # 930 ms without an answer, and none of it the server's
    rig.answer(invite, 503, extra=OWN)  # unmarked, but after it was carried on
    assert statuses(rig.take(CALLER))[-1] == 503
    assert module.skip_until[0] == 0


def test_a_late_181_of_a_seizure_given_up_tells_nothing():
    rig = Rig(CHAINED)
    told = seen_by(rig)
    rig.give(rig.invite())
    invite = rig.only(BOX1, "INVITE")
    rig.answer(invite, 100)
    rig.give(rig.cancel())
    rig.answer(invite, 181)
    assert not told
