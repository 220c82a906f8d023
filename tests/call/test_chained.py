"""Chained proxies over SIP: 181 Call Is Being Forwarded, and the location of the cause of a refusal (RFC 8606)."""

import pytest
from call.rig import CALLER, SERVER1, SERVER2, Rig, statuses

from thorndale import interface as io

CHAINED = "chained: true"
REFUSED_BEYOND = "Reason: Q.850;cause=42;location=BI\r\nRetry-After: 1"
REFUSED_BY_SERVER = "Reason: Q.850;cause=42\r\nRetry-After: 1"


def refused_call(extra, status=503, settings=CHAINED):
    """A call whose first seizure is refused. Returns the caller's answers, the retries at the other server and the rig.

    It runs for 0.4 s, which is before a final answer is retransmitted for lack of an ACK."""
    rig = Rig(settings)
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, status, extra=extra)
    rig.run(400_000)
    return rig.take_sent(CALLER), [r for r in rig.take_sent(SERVER2) if r.method == "INVITE"], rig


def test_a_downstream_refusal_is_passed_back_at_once_and_does_not_count_against_the_server():
    answers, retries, rig = refused_call(REFUSED_BEYOND)
    assert statuses(answers) == [100, 503] and not retries
    assert answers[-1].get("reason") == "Q.850;cause=42;location=BI"
    module = rig.border.module_host.module
    assert module.skip_until[0] == 0 and module.queue_delay[0] == 0 and module.failure_log_odds[0] == 0


def test_a_servers_own_refusal_is_retried_elsewhere():
    answers, retries, _ = refused_call(REFUSED_BY_SERVER)
    assert statuses(answers) == [100] and len(retries) == 1


def test_a_downstream_error_is_passed_back_as_failed_with_its_location():
    answers, retries, _ = refused_call("Reason: Q.850;cause=41;location=BI", 500)
    assert statuses(answers) == [100, 500] and not retries
    assert answers[-1].get("reason") == "Q.850;cause=41;location=BI"


@pytest.mark.parametrize("extra", ["Reason: Q.850;cause=42;location=LN\r\nRetry-After: 1", REFUSED_BY_SERVER])
def test_a_refusal_with_another_location_or_none_is_the_servers_own(extra):
    assert len(refused_call(extra)[1]) == 1


@pytest.mark.parametrize(
    "bad", ["Q.850;location=BI", "Q.850;cause=x;location=BI", "Q.850;cause=42;location=" + "B" * 200]
)
def test_a_malformed_reason_header_is_ignored(bad):
    assert len(refused_call(f"Reason: {bad}\r\nRetry-After: 1")[1]) == 1


def test_without_the_setting_the_location_and_a_181_are_ignored():
    answers, retries, _ = refused_call(REFUSED_BEYOND, settings="instances: 1")
    assert statuses(answers) == [100] and len(retries) == 1
    rig = Rig("instances: 1")
    onward = watch_onward(rig)
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 181)
    assert not onward


def watch_onward(rig):
    """Records the Forwarded events that the module receives."""
    onward, handle = [], rig.border.module_host.module.handle

    def recording_handle(now, events):
        onward.extend(e for e in events if type(e) is io.Forwarded)
        return handle(now, events)

    rig.border.module_host.module.handle = recording_handle
    return onward


def test_a_forwarded_call_is_reported_once_and_its_later_delay_does_not_count_against_the_server():
    rig = Rig(CHAINED)
    onward, module = watch_onward(rig), rig.border.module_host.module
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.run(30_000)
    rig.answer(invite, 181)
    rig.answer(invite, 181)
    assert [e.latency_us for e in onward][:1] == [30_000]
    rig.run(900_000)
    assert module._expected_delay(0) == 0  # none of the 930 ms without an answer counts against the server
    rig.answer(invite, 503, extra=REFUSED_BY_SERVER)  # no location, but after the call was forwarded
    assert statuses(rig.take_sent(CALLER))[-1] == 503
    assert module.skip_until[0] == 0


def test_a_181_of_a_cancelled_seizure_is_ignored():
    rig = Rig(CHAINED)
    onward = watch_onward(rig)
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 100)
    rig.deliver(rig.cancel())
    rig.answer(invite, 181)
    assert not onward
