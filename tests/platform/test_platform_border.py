"""The core on the platform: one final answer for each call and one end for each seizure, in every order of events."""

import pytest
from platform_rig import ANSWER, BODY, HOSTS, MS, SETTINGS, Rig, S, entry, setup_values

from thorndale import interface as io
from thorndale.platform import isup, outcomes


def causes(rig, conn="c"):
    return [(kind, values.get(isup.CAUSE, b"\0")[0]) for kind, _, values in rig.received_by.get(conn, [])]


def test_a_call_from_set_up_to_its_end():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    assert invite.call == call.hex() and invite.body == BODY and invite.fields["Call-Kind"] == "timetable"
    assert 1100 < int(invite.fields["Answer-Within"]) <= 1200
    rig.advance(50 * MS)
    rig.answer(key, invite, 180)
    rig.answer(key, invite)
    assert rig.received_by["c"] == [(isup.ANSWER, call, {isup.DESCRIPTION: ANSWER})]
    assert [m.method for m in rig.sent[key]][-2:] == ["INVITE", "ACK"]
    rig.advance(2 * S)
    rig.bye(key, call)
    assert causes(rig)[1:] == [(isup.RELEASE, 16)] and set(rig.seizure_ends().values()) == {1}
    assert not rig.core.calls and not rig.core.established_calls() and len(rig.core.decision_host) == 0
    rig.bye(key, call)  # repeated, as on another connection
    assert len(rig.received_by["c"]) == 2


def test_repeated_and_unmatched_answers_reach_no_caller():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    invite.call, real = "00" * 8, invite.call
    rig.answer(key, invite)
    invite.call = real
    rig.answer(key, invite)
    rig.answer(key, invite)
    assert len(rig.received_by["c"]) == 1 and rig.core.established_calls() == 1
    assert not [m for m in rig.sent[key] if m.method == "BYE"]


@pytest.mark.parametrize(
    ("status", "note", "outcome"),
    [
        (503, "throttled", io.FULL),
        (503, "congestion", io.EMPTY),
        (486, "engaged", io.BUSY),
        (500, "engaged", io.BUSY),
        (500, "", io.FAULTY),
        (480, "", io.NOT_SENT),
        (504, "", io.RESET),
        (404, "", io.FAULTY),
    ],
)
def test_refusals_by_status_and_note(status, note, outcome):
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite, status, extra=f"Fail-Word: {note}\r\nLink-State: x0:12;x1:40;latency_ms:3\r\n")
    ended = [e for e in rig.module_events if type(e) is io.SeizureEnded]
    assert [e.outcome for e in ended] == [outcome] and ended[0].report == io.Report(12.0, 40.0, 3000, None)
    assert rig.sent[key][-1].method == "ACK"
    if outcome == io.BUSY:
        assert causes(rig) == [(isup.RELEASE, outcomes.ENGAGED)]


def test_a_retry_is_told_apart_by_its_connection_and_answered_like_any_set_up():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite, 503, extra="Fail-Word: congestion\r\n")
    rig.advance(100 * MS)
    rig.open_dialled()
    retry_key, second = rig.last_invite()
    assert second is not invite and second.call == invite.call
    rig.answer(retry_key, second, number=1)  # a server may answer each with the same number
    assert causes(rig) == [(isup.ANSWER, 0)] and set(rig.seizure_ends().values()) == {1}


def test_a_time_out_cancels_and_a_late_answer_is_released_at_once():
    rig = Rig()
    rig.open_dialled()
    rig.setup(within=b"300")
    key, invite = rig.last_invite()
    rig.advance(310 * MS)
    assert "CANCEL" in [m.method for m in rig.sent[key]] and len(rig.received_by["c"]) == 1
    assert causes(rig)[0][0] == isup.RELEASE
    rig.answer(key, invite)
    assert [m.method for m in rig.sent[key]][-2:] == ["ACK", "BYE"] and len(rig.received_by["c"]) == 1
    assert set(rig.seizure_ends().values()) == {1} and len(rig.core.decision_host) == 0


# Prevents a call that stays established forever: its BYE arrives on another connection before its answer is read.
def test_a_release_that_comes_before_the_answer_is_sent_after_it():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.bye(key, call)
    assert causes(rig) == []
    rig.answer(key, invite)
    assert causes(rig) == [(isup.ANSWER, 0), (isup.RELEASE, 16)]
    assert not rig.core.calls and len(rig.core.decision_host) == 0 and set(rig.seizure_ends().values()) == {1}


# Prevents ending a call because of a BYE that belongs to its earlier seizure at the same server.
def test_a_release_of_an_earlier_seizure_at_the_server_ends_no_later_one():
    one = {"n": 1, "events": [{"n": 1, "members": {"seq": 0, "whole": True, "hosts": HOSTS[:1]}}]}
    rig = Rig(known=one)
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.deliver("server_lost", key, "spoilt")
    rig.advance(600 * MS)
    rig.open_dialled()
    later_key, second = rig.last_invite()
    assert second is not invite and second.call == invite.call
    rig.bye(later_key, call)
    rig.answer(later_key, second)
    assert causes(rig) == [(isup.ANSWER, 0)] and rig.core.established_calls() == 1


def test_a_caller_that_gives_up_gets_no_answer():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.release(call)
    assert rig.sent[key][-1].method == "CANCEL" and "c" not in rig.received_by
    assert [type(e) for e in rig.module_events][-2:] == [io.CallerAbandoned, io.SeizureEnded] and rig.module_events[
        -1
    ].outcome == io.CANCELLED
    rig.answer(key, invite)
    assert "c" not in rig.received_by and len(rig.core.decision_host) == 0
    call = rig.setup()
    rig.deliver("caller_lost", "c")
    assert rig.sent[rig.last_invite()[0]][-1].method == "CANCEL" and not rig.core.calls


def test_each_order_of_answer_time_out_cancel_and_lost_connection_gives_one_end():
    import itertools

    steps = ("answer", "refuse", "late", "left", "lost", "bye")
    for order in itertools.permutations(steps, 4):
        rig = Rig()
        rig.open_dialled()
        call = rig.setup(within=b"300")
        key, invite = rig.last_invite()
        for step in order:
            if step in ("answer", "refuse") and key in rig.core.links:
                rig.answer(key, invite, 200 if step == "answer" else 503)
            elif step == "late":
                rig.advance(400 * MS)
            elif step == "left":
                rig.release(call)
            elif step == "lost":
                rig.deliver("server_lost", key, "lost")
            elif step == "bye" and key in rig.core.links:
                rig.bye(key, call, 41)
        rig.advance(15 * S)
        for key in list(rig.core.links):
            rig.deliver("server_lost", key, "refused")
        rig.advance(15 * S)
        assert set(rig.seizure_ends().values()) <= {1}, order
        answers = [kind for kind, _, _ in rig.received_by.get("c", [])]
        assert answers.count(isup.ANSWER) + answers.count(isup.RELEASE) <= 2 and answers.count(isup.ANSWER) <= 1, order
        assert not rig.core.calls and len(rig.core.decision_host) == 0, order


def test_a_malformed_stream_resets_its_own_set_ups_and_no_established_calls():
    rig = Rig()
    rig.open_dialled()
    established = rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    for _ in range(4):
        rig.setup()
    open_before = {k: len(link.in_flight) for k, link in rig.core.links.items()}
    rig.signal(key, b"SIP/9.9 OK 200\r\n\r\n")
    reset_events = [e for e in rig.module_events if type(e) is io.SeizureEnded and e.outcome == io.RESET]
    assert len(reset_events) == open_before[key] and key not in rig.core.links and rig.core.established_calls() == 1
    rig.advance(100 * MS)
    rig.open_dialled()
    other = next(k for k, link in rig.core.links.items() if link.central.established)
    rig.bye(other, established)
    assert (isup.RELEASE, 16) in causes(rig) and not rig.core.established_calls()


def test_an_answer_whose_description_cannot_be_read_is_passed_to_nobody():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite, body=b"\x81\x02" * 40)
    assert key not in rig.core.links and not [k for k, _ in causes(rig) if k == isup.ANSWER]
    assert rig.module_events[-1].outcome == io.RESET


def test_a_refused_connection_proves_that_nothing_ran_and_one_that_never_came_up_too():
    for kind in ("refused", "unreached"):
        rig = Rig()
        rig.setup()
        key = next(key for key, link in rig.core.links.items() if link.in_flight)
        rig.deliver("server_lost", key, kind)
        assert [e.outcome for e in rig.module_events if type(e) is io.SeizureEnded] == [io.UNREACHABLE]


def test_one_lost_connection_ends_no_call_and_a_refused_one_after_it_does():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    rig.deliver("server_lost", key, "lost")
    assert rig.core.established_calls() == 1 and len(rig.received_by["c"]) == 1
    reconnect_key = rig.dialled[-1][0]
    rig.deliver("server_lost", reconnect_key, "refused")
    assert rig.core.established_calls() == 0 and causes(rig)[-1] == (isup.RELEASE, outcomes.CUT)
    assert rig.module_events[-1].outcome == io.RESET and rig.module_events[-1].final


def test_calls_of_an_unresponsive_machine_are_released_within_eight_seconds():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    start = rig.now
    rig.unresponsive.update(rig.core.links)
    while rig.core.established_calls() and rig.now < start + 20 * S:
        rig.advance(500 * MS)
        for dialled, _, _ in rig.dialled:
            link = rig.core.links.get(dialled)
            if link is not None and not link.is_open:
                rig.deliver("server_lost", dialled, "unreached")
    assert rig.now - start < 8 * S and causes(rig)[-1] == (isup.RELEASE, outcomes.CUT)


def test_a_release_lost_on_a_silent_connection_arrives_on_a_new_one_within_a_second():
    for silent in (True, False):
        rig = Rig()
        rig.open_dialled()
        calls = [rig.setup(figures=b"dest:0;width:1") for _ in range(4)]
        rig.open_dialled()
        for key, invite in rig.invites():
            rig.answer(key, invite)
        rig.open_dialled()
        links = [key for key, link in rig.core.links.items() if link.central.established and link.is_open]
        dialled, start = len(rig.dialled), rig.now
        if silent:  # this one stops answering probes, the others continue
            rig.unresponsive.add(links[0])
            while len(rig.dialled) == dialled and rig.now < start + 5 * S:
                rig.advance(50 * MS)
        else:
            rig.deliver("server_lost", links[0], "lost")
        assert len(rig.dialled) > dialled and rig.now - start < 800 * MS
        assert rig.core.established_calls() == len(calls)
        rig.open_dialled()
        rig.bye(rig.dialled[-1][0], calls[0])
        assert causes(rig)[-1] == (isup.RELEASE, 16)


# Prevents missing that a dead server refuses connections: four connections that failed together raised the delay before
# the next attempt like four failed attempts.
def test_connections_that_fail_together_delay_the_next_attempt_once():
    rig = Rig()
    rig.open_dialled()
    for _ in range(4):
        rig.setup(figures=b"dest:0;width:1")
    rig.open_dialled()
    for key, invite in rig.invites():
        rig.answer(key, invite)
    for kind, wait_us in (("lost", 200 * MS), ("unreached", 200 * MS)):
        for key in [key for key, link in rig.core.links.items() if link.central.established]:
            rig.deliver("server_lost", key, kind)
        dialled = len(rig.dialled)
        rig.advance(wait_us)
    assert len(rig.dialled) > dialled and rig.core.established_calls() == 4
    rig.deliver("server_lost", rig.dialled[-1][0], "refused")
    assert rig.core.established_calls() == 0


def test_a_silent_connection_takes_no_new_set_up():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, _ = rig.last_invite()
    rig.unresponsive.add(key)
    rig.advance(700 * MS)
    assert any(m.method == "OPTIONS" for m in rig.sent[key]) and key in rig.ended and key not in rig.core.links


def test_a_new_server_may_have_the_address_of_one_that_is_gone():
    rig = Rig()
    rig.open_dialled()
    out = rig.setup()
    key, invite = rig.last_invite()
    old = rig.core.links[key].central
    established = rig.setup()
    key2, invite2 = rig.last_invite()
    rig.answer(key2, invite2)
    rig.change_list(
        2,
        entry(old.name, old.host, io.GONE, old.pool),
        entry("s-0000000c", old.host, io.SERVING, old.pool, started=990_000),
    )
    rig.advance(600 * MS)
    rig.open_dialled()
    fresh = next(link for link in rig.core.links.values() if link.central.name == "s-0000000c")
    rig.bye(fresh.key, out, 16)  # the new server has none of the old server's calls
    assert not [k for k, _ in causes(rig) if k == isup.RELEASE]
    rig.answer(key, invite)  # the connection to the old server is still open
    assert (isup.ANSWER, 0) in causes(rig)
    rig.deliver("server_lost", key, "lost")
    for link in list(old.links):
        rig.deliver("server_lost", link.key, "lost")
    assert (isup.RELEASE, outcomes.CUT) in causes(rig)
    assert old.name not in rig.core.centrals and established is not None
    dialled_old = [d for d in rig.dialled if d[1] == old.host]
    rig.advance(5 * S)
    links = [link for link in rig.core.links.values() if link.central.host == old.host]
    assert dialled_old and all(link.central.name == "s-0000000c" for link in links)


def test_calls_of_a_server_whose_address_was_reassigned_are_released_when_the_list_reports_it():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    old = rig.core.links[key].central
    for link in list(old.links):
        rig.deliver("server_lost", link.key, "lost")  # the server ended and another one started at its address
    rig.advance(200 * MS)
    rig.open_dialled()
    assert old.links and old.links[0].is_open and rig.core.established_calls() == 1
    rig.change_list(
        2,
        entry(old.name, old.host, io.GONE, old.pool),
        entry("s-0000000c", old.host, io.SERVING, old.pool, started=990_000),
    )
    assert rig.received_by["c"][-1] == (isup.RELEASE, call, {isup.CAUSE: bytes((outcomes.CUT,))})
    assert rig.core.established_calls() == 0 and old.name not in rig.core.centrals


def test_a_draining_server_gets_nothing_new():
    rig = Rig()
    rig.open_dialled()
    rig.change_list(2, entry("s-0000000a", "127.0.1.1", io.DRAINING))
    for _ in range(5):
        rig.setup()
    hosts = {rig.core.links[key].central.name for key, _ in rig.invites()}
    assert hosts == {"s-0000000b"}


def test_a_restarted_server_has_no_calls_of_the_old_process():
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    central = rig.core.links[key].central
    rig.answer(key, invite)
    rig.change_list(2, entry(central.name, central.host, io.SERVING, central.pool, started=999_000))
    assert rig.core.established_calls() == 0 and causes(rig)[-1] == (isup.RELEASE, outcomes.CUT)


def test_established_calls_are_resumed_after_a_restart_and_released():
    rig = Rig()
    call = rig.setup(figures=b"dest:0;width:1;via:-1;at:s-0000000a")
    assert "c" not in rig.received_by and not rig.invites() and rig.core.established_calls() == 1
    rig.open_dialled()
    key = next(k for k, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.deliver("caller_lost", "c")
    rig.bye(key, call)  # no caller is connected, so the release waits for the next one
    rig.caller("d")
    rig.setup("d", figures=b"dest:0;width:1")
    assert [m for m in rig.received_by["d"] if m[1] == call] == [(isup.RELEASE, call, {isup.CAUSE: b"\x10"})]
    gone = rig.setup("d", figures=b"dest:0;at:s-00000077")
    assert rig.received_by["d"][-1][1] == gone and rig.received_by["d"][-1][0] == isup.RELEASE


@pytest.mark.parametrize("idle_us", [2 * S, 3_900 * MS])
@pytest.mark.parametrize("closes", [False, True])
def test_a_release_is_sent_on_its_callers_own_connection_and_on_another_if_that_closes(idle_us, closes):
    """The connection of the set-up leads to the right caller; a newer one may lead to another caller, which ignores the
    release."""
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    rig.advance(idle_us - S)
    rig.caller("d")
    rig.setup("d")
    rig.advance(S)
    rig.bye(key, call)
    if closes:
        rig.advance(40 * MS)  # a close crosses a release within 50 ms at most
        rig.deliver("caller_lost", "c")
    rig.advance(2 * S)
    released = [conn for conn, got in rig.received_by.items() for m in got if m[:2] == (isup.RELEASE, call)]
    assert released == (["c", "d"] if closes else ["c"])


def test_a_release_received_before_its_call_is_resumed_is_passed_on_then():
    rig = Rig()
    rig.open_dialled()
    key = next(k for k, link in rig.core.links.items() if link.central.name == "s-0000000a")
    call = (77).to_bytes(8, "big")
    rig.bye(key, call, 16)
    rig.setup(call=call, figures=b"dest:0;width:1;at:s-0000000a")
    assert rig.received_by["c"] == [(isup.RELEASE, call, {isup.CAUSE: b"\x10"})] and not rig.core.established_calls()
    rig.advance(31 * S)
    rig.bye(key, (78).to_bytes(8, "big"))
    assert list(rig.core.ended_calls.by_call) == [(78).to_bytes(8, "big")]


# Prevents treating a call as established whose server died before its caller reported the call.
def test_a_call_resumed_after_its_server_was_proved_dead_is_released_at_once():
    rig = Rig()
    rig.open_dialled()
    key = next(k for k, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.deliver("server_lost", key, "lost")
    rig.advance(150 * MS)
    for key, link in list(rig.core.links.items()):
        if not link.is_open:
            rig.deliver("server_lost", key, "refused")
    call = (77).to_bytes(8, "big")
    rig.setup(call=call, figures=b"dest:0;width:1;at:s-0000000a")
    assert rig.received_by["c"] == [(isup.RELEASE, call, {isup.CAUSE: b"\x29"})] and not rig.core.established_calls()


def test_a_server_that_moved_is_connected_at_its_new_address_only():
    rig = Rig()
    rig.open_dialled()
    rig.setup(figures=b"dest:0;width:1")
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    before = len(rig.dialled)
    rig.change_list(2, entry("s-0000000a", "127.0.1.7", io.SERVING))
    rig.advance(S)
    assert {host for _, host, _ in rig.dialled[before:]} == {"127.0.1.7"} and rig.core.established_calls() == 1


def test_a_release_by_the_caller_of_an_established_call_goes_to_its_server():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    rig.caller("d")
    rig.release(call, "d")
    assert any(m.method == "BYE" and m.call == call.hex() for k in rig.sent for m in rig.sent[k])
    assert not rig.core.calls and len(rig.core.decision_host) == 0


def test_unusable_set_ups_are_refused_and_harm_nobody():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    rig.caller("bad")
    rig.setup("bad", call=call, body=BODY.replace(b"31000", b"31001"))
    assert causes(rig, "bad") == [(isup.RELEASE, outcomes.UNREADABLE)] and "bad" in rig.closed
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    assert causes(rig) == [(isup.ANSWER, 0)]
    rig.caller("worse")
    twice = rig.setup("worse")
    rig.setup("worse", call=twice)
    assert len(causes(rig, "worse")) == 1 and not rig.core.calls.get(twice)
    rig.caller("none")
    rig.setup("none", call=bytes(8))
    assert causes(rig, "none") == [(isup.RELEASE, outcomes.UNREADABLE)]


def test_health_tests_pass_until_the_shutdown_begins():
    rig = Rig()
    for expected in (1, 0):
        for message in isup.Framer().feed(isup.encode(isup.TEST, bytes(8), (isup.CAUSE, b"\0"))):
            rig.deliver("caller_message", "c", message)
        assert rig.received_by["c"][-1] == (isup.RESULT, bytes(8), {isup.CAUSE: bytes((expected,))})
        rig.core.stop(rig.now)


def test_the_same_report_on_four_connections_is_passed_on_once():
    rig = Rig()
    rig.open_dialled()
    for _ in range(12):
        rig.setup()
    rig.open_dialled()
    text = (
        b"NOTIFY sip:p@net SIP/2.0\r\nCall-ID: n\r\nCSeq: 1 NOTIFY\r\nLink-State: x0:12;x1:40;latency_ms:3\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    links = [k for k, link in rig.core.links.items() if link.central.name == "s-0000000a"]
    for key in links:
        rig.signal(key, text)
    assert len(links) > 1 and sum(type(e) is io.ServerReport for e in rig.module_events) == 1


def test_a_rejected_caller_receives_the_time_to_redial():
    rig = Rig()
    rig.change_list(2, entry("s-0000000a", "127.0.1.1", io.GONE), entry("s-0000000b", "127.0.1.2", io.GONE))
    rig.setup()
    kind, _, values = rig.received_by["c"][0]
    assert kind == isup.RELEASE and values[isup.CAUSE] == b"\x2a" and 1000 <= int(values[isup.COMEBACK]) <= 2000


def test_nothing_is_left_of_servers_and_calls_that_are_over():
    rig = Rig()
    for n in range(40):
        name = f"s-{n + 100:08x}"
        rig.change_list(2 + n, entry(name, "127.0.1.9", io.SERVING, 0, started=900_000 + n))
        rig.advance(200 * MS)
        rig.open_dialled()
        for _ in range(5):
            rig.setup()
            key, invite = rig.last_invite()
            rig.answer(key, invite)
            rig.bye(key, bytes.fromhex(invite.call))
        rig.change_list(2 + n, entry(name, "127.0.1.9", io.GONE))
        for link in [link for link in rig.core.links.values() if link.central.name == name]:
            rig.deliver("server_lost", link.key, "lost")
    assert set(rig.core.centrals) == {"s-0000000a", "s-0000000b"} == {c.name for c in rig.core.by_index.values()}
    assert not rig.core.calls and len(rig.core.decision_host) == 0 and len(rig.core.links) <= 8
    assert len(rig.core.timers) < 20


def test_markers_of_a_chain_are_ignored_on_this_platform():
    """The platform's protocol defines neither progress nor a location of refusals: the module receives neither, and no
    such header is sent."""
    rig = Rig()
    rig.open_dialled()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite, 181)
    rig.answer(key, invite, 503, extra="Fail-Word: throttled\r\nReason: Q.850;cause=42;location=BI\r\n")
    ends = [e for e in rig.module_events if type(e) is io.SeizureEnded]
    assert [(e.outcome, e.beyond) for e in ends] == [(io.FULL, False)]
    assert not any(type(e) is io.Forwarded for e in rig.module_events)


def rig_of_unsafe_calls():
    call_types = [call_type | {"semantics": "unsafe"} for call_type in SETTINGS["classes"]]
    rig = Rig(settings=SETTINGS | {"classes": call_types})
    rig.open_dialled()
    return rig


# Review case 7: a call that must not be repeated ran a second time at another server after its answer was spoilt.
@pytest.mark.parametrize("end", ["spoilt", "lost", "time-out", "error"])
def test_an_unsafe_call_that_may_have_run_fails_and_is_sent_nowhere_else(end):
    rig = rig_of_unsafe_calls()
    rig.setup(within=b"1200")
    key, invite = rig.last_invite()
    if end in ("spoilt", "lost"):
        rig.deliver("server_lost", key, end)
    elif end == "error":
        rig.answer(key, invite, 500)
    rig.advance(2 * S)
    rig.open_dialled()
    rig.advance(2 * S)
    assert len(rig.invites()) == 1 and causes(rig) == [(isup.RELEASE, 41)]


@pytest.mark.parametrize("end", ["full", "refused"])
def test_an_unsafe_call_that_certainly_never_ran_is_sent_again(end):
    if end == "full":
        rig = rig_of_unsafe_calls()
        rig.setup()
        rig.answer(*rig.last_invite(), 503)
    else:
        call_types = [call_type | {"semantics": "unsafe"} for call_type in SETTINGS["classes"]]
        rig = Rig(settings=SETTINGS | {"classes": call_types})
        rig.setup()
        link = next(iter(rig.core.calls.values())).seizure.link
        rig.deliver("server_lost", link.key, "refused")
    rig.advance(100 * MS)
    rig.open_dialled()
    rig.advance(400 * MS)
    assert len(rig.invites()) == (2 if end == "full" else 1) and "c" not in rig.received_by


# Operators' picture (c): an id ran twice when it came again after its client had left.
@pytest.mark.parametrize("leaves", ["closes", "gives up"])
def test_an_unsafe_id_that_comes_again_after_its_client_left_runs_once(leaves):
    rig = rig_of_unsafe_calls()
    call = rig.setup()
    rig.caller("d")
    if leaves == "closes":
        rig.deliver("caller_lost", "c")
    else:
        rig.release(call)
    rig.setup("d", call=call)
    assert len(rig.invites()) == 1 and causes(rig, "d") == [(isup.RELEASE, 41)]
    rig.advance(S)
    rig.core.stop(rig.now)
    rig.advance(800 * MS)
    rig.caller("e")
    rig.setup("e", call=call)
    assert causes(rig, "e") == [(isup.RELEASE, 41)], "at the end of the process too"
    rig.advance(31 * S)
    assert len(rig.core.sent_ids) == 0


def test_an_id_that_comes_again_runs_if_it_was_sent_nowhere_or_is_safe():
    rig = Rig()
    rig.open_dialled()
    call = rig.setup()
    rig.caller("d")
    rig.deliver("caller_lost", "c")
    rig.setup("d", call=call)
    rig.open_dialled()
    assert len(rig.invites()) == 2, "a safe call may run again"
    rig = rig_of_unsafe_calls()
    data = isup.encode(isup.SETUP, bytes(7) + b"\1", *setup_values())
    rig.core.caller_left(rig.now, "c")
    for message in isup.Framer().feed(data):
        rig.deliver("caller_message", "c", message)
    rig.caller("d")
    rig.setup("d", call=bytes(7) + b"\1")
    assert len(rig.invites()) == 1 and "c" not in rig.received_by


# Operators' picture (d): a new server came up at the address of one that had gone and was taken for the old one.
@pytest.mark.parametrize("told", ["as a change", "with the whole list"])
def test_a_new_server_at_the_address_of_an_old_one_displaces_it_before_the_end_of_the_old_one_is_told(told):
    rig = Rig()
    rig.open_dialled()
    call = rig.setup(figures=b"dest:0;width:1")
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    assert rig.core.links[key].central.name == "s-0000000a"
    for lost in [key for key, link in rig.core.links.items() if link.central.name == "s-0000000a"]:
        rig.deliver("server_lost", lost, "lost")  # its process has died, and another listens at its address by now
    rig.open_dialled()
    new = entry("s-0000000c", "127.0.1.1", io.SERVING, pool=1, started=1_000_001)
    if told == "as a change":
        rig.change_list(2, new)
    else:
        old = [entry("s-0000000a", "127.0.1.1", io.SERVING), entry("s-0000000b", "127.0.1.2", io.SERVING, 1)]
        rig.change_list(2, new, *old, whole=True)
    rig.open_dialled()
    assert causes(rig) == [(isup.ANSWER, 0), (isup.RELEASE, 41)], "the old server's calls have ended with its process"
    before = len(rig.invites())
    for _ in range(10):
        rig.setup(figures=b"dest:0;width:1")
        rig.advance(50 * MS)
    assert {rig.core.links[key].central.name for key, _ in rig.invites()[before:]} <= {"s-0000000b", "s-0000000c"}
    assert not any(m.call == call.hex() and m.method == "BYE" for key in rig.core.links for m in rig.sent.get(key, ()))
    draining = entry("s-0000000a", "127.0.1.1", io.DRAINING)
    for number, event in ((3, [draining]), (4, [entry("s-0000000b", "127.0.1.2", io.SERVING, 1), draining, new])):
        rig.change_list(number, *event, whole=len(event) > 1)
        assert {c.name for c in rig.core.centrals.values() if c.state == io.SERVING} == {"s-0000000b", "s-0000000c"}
    rig.change_list(5, entry("s-0000000a", "127.0.1.1", io.GONE))
    assert set(rig.core.centrals) == {"s-0000000b", "s-0000000c"}


def test_servers_that_change_addresses_with_one_event_displace_none():
    rig = Rig()
    rig.change_list(2, entry("s-0000000a", "127.0.1.2", io.SERVING), entry("s-0000000b", "127.0.1.1", io.SERVING, 1))
    assert {central.state for central in rig.core.centrals.values()} == {io.SERVING}


def test_a_displaced_server_serves_again_once_it_is_listed_at_another_address():
    rig = Rig()
    rig.open_dialled()
    rig.change_list(2, entry("s-0000000c", "127.0.1.1", io.SERVING, 1))
    rig.change_list(3, entry("s-0000000a", "127.0.1.7", io.SERVING))
    rig.advance(S)
    rig.open_dialled()
    assert rig.core.centrals["s-0000000a"].state == io.SERVING and rig.core.centrals["s-0000000c"].state == io.SERVING
    rig.setup(figures=b"dest:0;width:1")
    rig.open_dialled()
    key, _ = rig.last_invite()
    assert next(host for k, host, _ in rig.dialled if k == key) == "127.0.1.7"
