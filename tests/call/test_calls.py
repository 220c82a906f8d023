"""Difficult cases of calls through the border proxy, in virtual time."""

import pytest
from call.rig import CALLER, SDP, SERVER1, SERVER2, Rig, methods, statuses

from thorndale.sip.transaction import Hop

TCP = Hop("tcp", "127.0.0.1", 40001, 5)


def test_a_call_from_invite_to_bye_leaves_nothing():
    rig = Rig()
    ok, invite = rig.establish_call()
    assert invite.uri == "sip:+22170000123@127.0.0.1:6001" and ok.body == SDP.encode()
    rig.deliver(rig.in_dialog("BYE", ok, seq=2, branch="z9hG4bKbye"))
    assert statuses(rig.take_sent(CALLER)) == [200]
    bye = rig.sole_request(SERVER1, "BYE")
    rig.answer(bye, 200)
    rig.run(40_000_000)
    assert rig.leaked_resources() == {}
    assert any(e == "call ended" and f["how"] == "released" for _, e, f in rig.log_lines)
    assert not any("771234567" in repr(line) for line in rig.log_lines)


def test_a_repeated_invite_while_pending_after_its_answer_and_after_its_ack():
    rig = Rig()
    rig.deliver(rig.invite())
    assert statuses(rig.take_sent(CALLER)) == [100]
    rig.deliver(rig.invite())
    assert statuses(rig.take_sent(CALLER)) == [100]  # the last provisional response is resent, without a second call
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 200, body=SDP)
    ok = rig.take_sent(CALLER)[0]
    rig.deliver(rig.invite())
    assert rig.take_sent(CALLER) == []  # RFC 6026: absorbed; only the timer retransmits the 200
    rig.run(500_000)
    assert statuses(rig.take_sent(CALLER)) == [200]
    rig.deliver(rig.in_dialog("ACK", ok))
    rig.run(3_000_000)
    rig.deliver(rig.invite())
    assert rig.take_sent(CALLER) == []
    assert methods(rig.take_sent(SERVER1)) == ["ACK"]


def test_cancel_before_any_provisional_is_delayed_until_one_comes():
    rig = Rig()
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.take_sent()
    rig.deliver(rig.cancel())
    assert sorted(statuses(rig.take_sent(CALLER))) == [200, 487]
    rig.run(3_000_000)
    assert rig.take_sent(SERVER1) == []  # neither a CANCEL nor a retransmitted INVITE
    rig.answer(invite, 100)
    cancel = rig.sole_request(SERVER1, "CANCEL")
    assert cancel.via.params["branch"] == invite.via.params["branch"] and "tag" not in cancel.to.params
    rig.answer(cancel, 200)
    rig.answer(invite, 487)
    assert methods(rig.take_sent(SERVER1)) == ["ACK"]
    rig.run(40_000_000)
    assert rig.leaked_resources() == {}


def test_cancel_that_crosses_a_late_200_gives_ack_and_bye_and_one_answer():
    rig = Rig()
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 180)
    rig.take_sent()
    rig.deliver(rig.cancel())
    assert sorted(statuses(rig.take_sent(CALLER))) == [200, 487]
    rig.answer(invite, 200, body=SDP)
    assert methods(rig.take_sent(SERVER1)) == ["CANCEL", "ACK", "BYE"]
    rig.answer(invite, 200, body=SDP)
    assert methods(rig.take_sent(SERVER1)) == ["ACK"]  # a retransmission, as the ACK was lost: no second BYE
    assert [s for s in statuses(rig.take_sent(CALLER)) if s != 487] == []


def test_cancel_after_the_200_changes_nothing():
    rig = Rig()
    rig.establish_call()
    rig.deliver(rig.cancel())
    assert statuses(rig.take_sent(CALLER)) == [200]
    assert rig.take_sent(SERVER1) == [] and rig.border.open_calls() == 1


def test_a_200_is_repeated_until_its_ack_and_without_one_the_call_is_released():
    rig = Rig()
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 200, body=SDP)
    rig.run(31_000_000)
    answers = rig.take_sent(CALLER)
    assert set(statuses(answers)) == {100, 200} and 8 <= statuses(answers).count(200) <= 12
    rig.run(80_000_000)
    assert rig.leaked_resources() == {}


def test_no_ack_sends_bye_to_both_sides():
    rig = Rig()
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 200, body=SDP)
    rig.run(32_100_000)
    assert "BYE" in methods(rig.take_sent(CALLER)) and "BYE" in methods(rig.take_sent(SERVER1))


def test_late_offer_waits_for_the_callers_ack():
    rig = Rig()
    rig.deliver(rig.invite(body=""))
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 200, body=SDP)
    assert rig.take_sent(SERVER1) == []
    ok = [r for r in rig.take_sent(CALLER) if r.status == 200][0]
    rig.deliver(rig.in_dialog("ACK", ok, body="v=1\r\n"))
    ack = rig.sole_request(SERVER1, "ACK")
    assert ack.body == b"v=1\r\n" and ack.cseq == (1, "ACK")


def test_two_200s_with_different_tags_the_second_is_released():
    rig = Rig()
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 200, tag="one", body=SDP)
    rig.take_sent(SERVER1)
    rig.answer(invite, 200, tag="two", body=SDP)
    sent = rig.take_sent(SERVER1)
    assert methods(sent) == ["ACK", "BYE"] and all(r.to_tag == "two" for r in sent)
    assert statuses(rig.take_sent(CALLER)) == [100, 200]


def test_a_server_that_answers_after_the_timeout_is_released_and_the_caller_gets_one_answer():
    rig = Rig()
    rig.deliver(rig.invite(extra="Expires: 2\r\n"))
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 100)
    rig.run(2_100_000)
    finals = [s for s in statuses(rig.take_sent(CALLER)) if s >= 200]
    assert set(finals) <= {408, 503} and len(set(finals)) == 1
    assert methods(rig.take_sent(SERVER1)) == ["CANCEL"]
    rig.answer(invite, 200, body=SDP)
    assert methods(rig.take_sent(SERVER1)) == ["ACK", "BYE"]
    assert 200 not in statuses(rig.take_sent(CALLER))


def test_bye_from_both_ends_at_once():
    rig = Rig()
    ok, invite = rig.establish_call()
    rig.deliver(rig.in_dialog("BYE", ok, seq=2, branch="z9hG4bKb1"))
    proxy_bye = rig.sole_request(SERVER1, "BYE")
    server_bye = (
        f"BYE sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6001;branch=z9hG4bKb2\r\n"
        f"From: {proxy_bye.get('to')}\r\nTo: {proxy_bye.get('from')}\r\nCall-ID: {proxy_bye.call_id}\r\nCSeq: 7 BYE\r\n\r\n"
    )
    rig.deliver(server_bye, SERVER1)
    assert statuses(rig.take_sent(SERVER1)) == [200]
    rig.answer(proxy_bye, 200)
    rig.run(40_000_000)
    assert rig.leaked_resources() == {}


def test_bye_of_the_server_before_the_callers_ack_waits_for_it():
    rig = Rig()
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 200, body=SDP)
    ok = [r for r in rig.take_sent(CALLER) if r.status == 200][0]
    server_bye = (
        f"BYE sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6001;branch=z9hG4bKb2\r\n"
        f"From: {invite.get('to')};tag=bt\r\nTo: {invite.get('from')}\r\nCall-ID: {invite.call_id}\r\n"
        f"CSeq: 7 BYE\r\n\r\n"
    )
    rig.deliver(server_bye, SERVER1)
    assert "BYE" not in methods(rig.take_sent(CALLER))  # RFC 3261 section 15
    rig.deliver(rig.in_dialog("ACK", ok))
    assert methods(rig.take_sent(CALLER)) == ["BYE"]


def test_bye_of_the_caller_in_the_early_dialog_is_a_cancel():
    rig = Rig()
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 180)
    ringing = [r for r in rig.take_sent(CALLER) if r.status == 180][0]
    rig.deliver(rig.in_dialog("BYE", ringing, seq=2))
    assert sorted(statuses(rig.take_sent(CALLER))) == [200, 487]
    assert methods(rig.take_sent(SERVER1)) == ["CANCEL"]


def test_a_reused_branch_or_call_id_starts_a_separate_call():
    rig = Rig()
    rig.deliver(rig.invite())
    rig.deliver(rig.invite(call="c2", tag="other"))  # the branch of another call
    rig.deliver(rig.invite(branch="z9hG4bKc3", tag="third"))  # the Call-ID of another call
    assert rig.border.open_calls() == 3
    rig.deliver(rig.invite(branch="z9hG4bKc4"))  # the same request by another path (RFC 3261 section 8.2.2.2)
    assert 482 in statuses(rig.take_sent(CALLER)) and rig.border.open_calls() == 3


def test_a_caller_whose_deadline_passes_while_a_retry_waits_gets_one_answer():
    rig = Rig()
    rig.deliver(rig.invite(extra="Expires: 1\r\n"))
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.run(900_000)
    rig.lost(SERVER1, "refused")
    rig.run(150_000)
    assert methods(rig.take_sent(SERVER2)) in (["INVITE"], [])  # depends on the random wait
    rig.run(500_000)
    finals = [s for s in statuses(rig.take_sent(CALLER)) if s >= 200]
    assert len(set(finals)) == 1 and finals[0] in (408, 503)
    assert invite.method == "INVITE"


def test_after_a_reset_the_retry_waits_for_the_release():
    rig = Rig()
    rig.deliver(rig.invite(number="+22133000123"))  # first choice: box2, on TCP
    invite = rig.sole_request(SERVER2, "INVITE")
    rig.answer(invite, 100, hop=SERVER2)
    rig.lost(SERVER2)
    rig.run(499_000)
    assert rig.take_sent(SERVER1) == []
    rig.run(100_000)
    assert methods(rig.take_sent(SERVER1)) == ["INVITE"]


def test_a_retry_already_granted_does_not_go_to_a_server_reported_as_draining():
    rig = Rig('book: {uri: "sip:book@127.0.0.1:7100"}')
    rig.deliver(rig.invite(number="+22133000123"))
    invite = rig.sole_request(SERVER2, "INVITE")
    rig.answer(invite, 100, hop=SERVER2)
    rig.lost(SERVER2)
    subscribe = [r for r in rig.take_sent() if r.method == "SUBSCRIBE"][0]
    notify(rig, subscribe, 1, True, [("box1", "draining"), ("box2", "serving")])
    rig.run(3_000_000)
    assert "INVITE" not in methods(rig.take_sent(SERVER1))


def notify(rig, subscribe, version, full, servers, book="b", seq=None):
    import json

    hop = Hop("udp", "127.0.0.1", 7100)
    entries = [{"name": n, "state": s, "started_ms": 0} for n, s in servers]
    body = json.dumps({"book": book, "version": version, "full": full, "servers": entries})
    rig.deliver(
        f"NOTIFY sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:7100;branch=z9hG4bKn{version}{book}{seq}\r\n"
        f"From: <sip:book@127.0.0.1:7100>;tag=bk\r\nTo: {subscribe.get('from')}\r\nCall-ID: {subscribe.call_id}\r\n"
        f"CSeq: {seq or version} NOTIFY\r\nEvent: pool-book\r\nSubscription-State: active\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}",
        hop,
    )
    return rig


def test_timers_that_expire_during_a_stall_of_the_process():
    rig = Rig()
    rig.deliver(rig.invite(extra="Expires: 3\r\n"))
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 100)
    rig.take_sent()
    rig.stall(50_000_000)
    rig.run(1_000_000)
    finals = [s for s in statuses(rig.take_sent(CALLER)) if s >= 200]
    assert len(set(finals)) == 1 and finals[0] in (408, 503)
    assert set(methods(rig.take_sent(SERVER1))) == {"CANCEL"}
    rig.run(80_000_000)
    assert rig.leaked_resources() == {}


def test_an_answer_larger_than_a_datagram_is_not_sent_by_udp():
    rig = Rig()
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 200, body="x" * 60_500)
    assert 200 not in statuses(rig.take_sent(CALLER))
    assert rig.border.count["too large for a datagram"] == 1


def test_a_server_that_dies_cuts_its_established_calls():
    rig = Rig()
    rig.deliver(rig.invite(number="+22133000123"))
    invite = rig.sole_request(SERVER2, "INVITE")
    rig.answer(invite, 200, hop=SERVER2, body=SDP)
    ok = [r for r in rig.take_sent(CALLER) if r.status == 200][0]
    rig.deliver(rig.in_dialog("ACK", ok))
    rig.take_sent()
    rig.lost(SERVER2)
    bye = rig.sole_request(CALLER, "BYE")
    assert "cause=41" in bye.get("reason")


def test_a_caller_whose_connection_is_lost_before_the_answer_has_abandoned_the_call():
    rig = Rig()
    rig.deliver(rig.invite(hop=TCP), TCP)
    rig.answer(rig.sole_request(SERVER1, "INVITE"), 180)
    rig.lost(TCP)
    assert methods(rig.take_sent(SERVER1)) == ["CANCEL"] and rig.border.open_calls() == 0


def test_an_established_call_outlives_its_callers_connection():
    rig = Rig()
    ok, _ = rig.establish_call(hop=TCP)
    rig.lost(TCP)
    assert rig.border.open_calls() == 1
    rig.deliver(rig.in_dialog("BYE", ok, seq=2, branch="z9hG4bKnew"), CALLER)
    assert 200 in statuses(rig.take_sent(CALLER))


def test_ack_of_a_refusal_over_tcp_ends_the_transaction():
    rig = Rig()
    rig.deliver(rig.invite(number="+33100", hop=TCP), TCP)
    refused = rig.take_sent(TCP)[-1]
    assert refused.status == 404
    rig.deliver(rig.invite(number="+33100", hop=TCP, method="ACK", body=""), TCP)
    rig.run(1)
    assert rig.leaked_resources() == {}


@pytest.mark.parametrize(
    "status, extra, expected_status",
    [
        (486, "", 486),
        (600, "", 600),
        (404, "", 404),
        (503, "Reason: Q.850;cause=34", 180),
        (503, "Retry-After: 1", 180),
        (500, "", 180),
        (408, "", 180),
    ],
)
def test_refusals_of_the_server(status, extra, expected_status):
    """A refusal about the number is final and passed on unchanged; after one about the server, the call is retried at
    the other server."""
    rig = Rig()
    rig.deliver(rig.invite())
    rig.answer(rig.sole_request(SERVER1, "INVITE"), status, extra=extra)
    rig.run(3_000_000)
    if expected_status == 180:
        assert methods(rig.take_sent(SERVER2)) == ["INVITE"]
    else:
        assert expected_status in statuses(rig.take_sent(CALLER)) and rig.take_sent(SERVER2) == []


def test_a_malformed_answer_counts_as_a_server_failure():
    rig = Rig()
    rig.deliver(rig.invite())
    invite = rig.sole_request(SERVER1, "INVITE")
    rig.answer(invite, 100)
    rig.deliver(f"SIP/2.0 200 OK\r\nVia: {invite.get('via')}\r\nCSeq: 1 INVITE\r\nFrom: <\r\n\r\n", SERVER1)
    rig.run(3_000_000)
    assert set(methods(rig.take_sent(SERVER1))) == {"CANCEL"} and methods(rig.take_sent(SERVER2)) == ["INVITE"]


def test_reinvite_passes_both_ways_with_its_ack_and_glare_is_refused():
    rig = Rig()
    ok, _ = rig.establish_call()
    rig.deliver(rig.in_dialog("INVITE", ok, seq=2, branch="z9hG4bKre", body="v=2\r\n"))
    reinvite = rig.sole_request(SERVER1, "INVITE")
    assert reinvite.body == b"v=2\r\n" and reinvite.to_tag == "bt"
    glare = (
        f"INVITE sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6001;branch=z9hG4bKgl\r\nFrom: "
        f"{reinvite.get('to')}\r\nTo: {reinvite.get('from')}\r\nCall-ID: {reinvite.call_id}\r\nCSeq: 9 INVITE\r\n\r\n"
    )
    rig.deliver(glare, SERVER1)
    assert 491 in statuses(rig.take_sent(SERVER1))
    rig.answer(reinvite, 200, body="v=3\r\n")
    ok2 = [r for r in rig.take_sent(CALLER) if r.status == 200][0]
    assert ok2.body == b"v=3\r\n" and rig.take_sent(SERVER1) == []
    rig.deliver(rig.in_dialog("ACK", ok2, seq=2, body="v=4\r\n"))
    assert rig.sole_request(SERVER1, "ACK").body == b"v=4\r\n"
    rig.deliver(rig.in_dialog("INFO", ok, seq=3, branch="z9hG4bKinfo", body="dtmf"))
    info = rig.sole_request(SERVER1, "INFO")
    rig.answer(info, 200)
    assert statuses(rig.take_sent(CALLER)) == [200]


def test_requests_out_of_order_and_of_no_dialog():
    rig = Rig()
    ok, _ = rig.establish_call()
    rig.deliver(rig.in_dialog("INFO", ok, seq=1, branch="z9hG4bKold"))
    assert statuses(rig.take_sent(CALLER)) == [500]
    rig.deliver(rig.in_dialog("BYE", ok, seq=9, branch="z9hG4bKx").replace("tag=ct", "tag=forged"))
    assert statuses(rig.take_sent(CALLER)) == [481] and rig.border.open_calls() == 1


@pytest.mark.parametrize(
    "text, status",
    [
        ("Require: 100rel\r\n", 420),
        ("Proxy-Require: sec-agree\r\n", 420),
    ],
)
def test_unsupported_extensions_are_refused(text, status):
    rig = Rig()
    rig.deliver(rig.invite(extra=text))
    refused = rig.take_sent(CALLER)[-1]
    assert refused.status == status and refused.get("unsupported")


def test_invites_refused_for_hops_scheme_contact_or_number():
    rig = Rig()
    rig.deliver(rig.invite().replace("Max-Forwards: 70", "Max-Forwards: 0"))
    rig.deliver(rig.invite(branch="z9hG4bK2", call="2").replace("INVITE sip:", "INVITE mailto:"))
    rig.deliver(rig.invite(branch="z9hG4bK3", call="3").replace("Contact:", "X:"))
    rig.deliver(rig.invite(branch="z9hG4bK4", call="4", number="+33"))
    assert statuses(rig.take_sent(CALLER)) == [483, 416, 400, 404]
    assert rig.border.open_calls() == 0 and len(rig.border.module_host) == 0


def test_an_early_refusal_is_repeated_unchanged_and_ends_with_the_event_loop_delay():
    rig = Rig()
    rig.border.record_loop_delay(rig.now, 400_000)
    rig.deliver(rig.invite())
    rig.deliver(rig.invite())
    first, second = rig.take_sent(CALLER)
    assert first.status == second.status == 503 and first.encode() == second.encode() and first.get("retry-after")
    rig.run(2_000_000)
    rig.deliver(rig.invite())
    assert rig.take_sent(CALLER)[0].encode() == first.encode()  # a late retransmission
    rig.deliver(rig.invite(branch="z9hG4bKnew", call="new", tag="n"))
    assert statuses(rig.take_sent(CALLER)) == [100]
    assert len(rig.border.layer.server_transactions) == 1


def test_a_stopping_proxy_takes_no_calls_and_releases_the_rest():
    rig = Rig()
    ok, _ = rig.establish_call()
    rig.border.stop(rig.now)
    rig.deliver(rig.invite(branch="z9hG4bKnew", call="new", tag="n"))
    assert statuses(rig.take_sent(CALLER)) == [503]
    rig.border.close_calls(rig.now)
    rig.border.flush(rig.now)
    assert methods(rig.take_sent(CALLER)) == ["BYE"] and methods(rig.take_sent(SERVER1)) == ["BYE"]


def test_options_and_unknown_methods():
    rig = Rig()
    for n, (method, status) in enumerate([("OPTIONS", 200), ("REGISTER", 405), ("FETCH", 501), ("BYE", 481)]):
        rig.deliver(rig.invite(method=method, body="", branch=f"z9hG4bKm{n}", call=f"m{n}"))
        assert statuses(rig.take_sent(CALLER)) == [status]


def test_bound_on_transactions():
    rig = Rig("limits: {transactions: 3}")
    for n in range(5):
        rig.deliver(rig.invite(branch=f"z9hG4bKm{n}", call=f"m{n}", tag=f"t{n}"))
    assert 503 in statuses(rig.take_sent(CALLER)) and len(rig.border.layer) <= 3


def test_a_rejection_has_a_retry_after():
    rig = Rig()
    rig.deliver(rig.invite())
    for _ in range(3):  # the three permitted seizures, each refused by a full processor
        for server in (SERVER1, SERVER2):
            for invite in rig.take_sent(server):
                if invite.method == "INVITE":
                    rig.answer(invite, 503, extra="Reason: Q.850;cause=42", hop=server)
        rig.run(1_500_000)
    final = [r for r in rig.take_sent(CALLER) if r.status >= 200][0]
    assert final.status == 503 and int(final.get("retry-after")) in (1, 2)


def test_bad_input_puts_no_number_into_the_log():
    rig = Rig()
    rig.deliver(rig.invite().replace("Contact:", "+221771234567 Contact"))
    assert [f for _, e, f in rig.log_lines if e == "unreadable message"] and "1771234" not in repr(rig.log_lines)


def test_rules_assign_call_types_and_are_replaced_between_two_calls():
    from thorndale.match.rules import load

    rig = Rig()
    rig.border.use_rules(
        load(
            'rule "x" { when caller == "+221771234567" type leaving-soon header "X-Sorted" = "by " + lower(caller) }'
            " default { type timetable }"
        )
    )
    rig.deliver(rig.invite(extra="X-Sorted: forged\r\n"))
    first = rig.sole_request(SERVER2, "INVITE")  # the first-choice group of leaving-soon
    assert first.all("x-sorted") == ["by +221771234567"]
    rig.border.use_rules(load("default { type timetable group b }"))
    rig.deliver(rig.invite(branch="z9hG4bK2", call="2", tag="t2"))
    assert methods(rig.take_sent(SERVER2)) == ["INVITE"] and rig.border.open_calls() == 2
