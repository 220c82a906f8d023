"""Calls whose final answer waits until their record is written.

Events that arrive during the wait must be handled after the answer is sent, and must not be lost."""

from call.rig import CALLER, SERVER1, Rig

from thorndale.records import frame as f
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger
from thorndale.records.record import Record, decode


def ledger_rig(answer_mode="written", **limits):
    """A Rig with a record ledger whose disk operations complete only when `settle` is called."""
    rig = Rig("sip: {}")
    ops, logged = [], []
    journal = Journal(Limits(**limits), "p1", "c", "b", 0, 1, "", 0)
    rig.border.ledger = Ledger(
        journal,
        answer_mode,
        200_000,
        ops.append,
        lambda *a: logged.append(a[1]),
        lambda *a, **k: logged.append(a),
    )
    rig.ops, rig.ledger_log = ops, logged

    def settle(error=""):
        rig.border.flush(rig.now)
        while ops:
            rig.border.ledger.done(rig.now, ops.pop(0), error)
            rig.border.flush(rig.now)

    rig.settle = settle
    rig.frames = []
    put_frame = journal.put

    def put(now, kind, body, *rest):
        rig.frames.append((kind, body))
        return put_frame(now, kind, body, *rest)

    journal.put = put
    return rig


def decoded_records(rig, *kinds):
    return [decode(Record, body) for kind, body in rig.frames if kind in kinds]


def answered_by_server(rig):
    rig.deliver(rig.invite())
    rig.settle()
    rig.take_sent(CALLER)
    invite = rig.take_sent(SERVER1)[0]
    rig.answer(invite, 200)
    return invite


def final_statuses(rig):
    return [x.status for x in rig.take_sent(CALLER) if x.status >= 200 and x.cseq[1] == "INVITE"]


def test_the_200_is_sent_after_its_record_is_written():
    rig = ledger_rig()
    answered_by_server(rig)
    assert final_statuses(rig) == []
    rig.settle()
    assert final_statuses(rig) == [200]
    assert [r.answered for r in decoded_records(rig, f.BEGUN)] == ["doubt"]


def test_the_refusal_is_sent_after_its_record_is_written_and_a_cancel_meanwhile_changes_nothing():
    rig = ledger_rig()
    rig.deliver(rig.invite())
    rig.settle()
    invite = rig.take_sent(SERVER1)[0]
    rig.take_sent()
    rig.answer(invite, 486)
    rig.deliver(rig.cancel())
    assert final_statuses(rig) == []
    rig.settle()
    assert final_statuses(rig) == [486]
    assert [(r.status, r.how, r.by, r.server) for r in decoded_records(rig, f.WHOLE)] == [
        (486, "released", "server", "box1")
    ]


def test_a_bye_of_the_server_meanwhile_reaches_the_caller_after_its_200_and_its_ack():
    rig = ledger_rig()
    invite = answered_by_server(rig)
    ack = next(x for x in rig.take_sent(SERVER1) if x.method == "ACK")
    assert ack.to_tag == "bt"
    rig.deliver(
        f"BYE {invite.contact.uri} SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6001;branch=z9hG4bKbye\r\n"
        f"Max-Forwards: 70\r\nFrom: {ack.get('to')}\r\nTo: {ack.get('from')}\r\nCall-ID: {ack.call_id}\r\n"
        f"CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
        SERVER1,
    )
    assert [x.method for x in rig.take_sent(CALLER)] == []
    rig.settle()
    sent = rig.take_sent(CALLER)
    assert [x.status for x in sent] == [200]
    text = rig.invite(method="ACK", body="", branch="z9hG4bKa").replace(
        "To: <sip:+22170000123@127.0.0.1>", f"To: <sip:+22170000123@127.0.0.1>;tag={sent[0].to_tag}"
    )
    rig.deliver(text)
    assert [x.method for x in rig.take_sent(CALLER)] == ["BYE"]
    rig.settle()
    assert [(r.how, r.by) for r in decoded_records(rig, f.ENDED)] == [("released", "server")]


def test_an_answer_waits_for_its_record_no_longer_than_the_limit():
    rig = ledger_rig()
    answered_by_server(rig)
    rig.run(250_000)
    assert final_statuses(rig) == [200]
    assert rig.border.ledger.count["answered ahead"] == 1


def test_the_487_of_a_caller_that_hangs_up_is_sent_after_its_record_is_written():
    rig = ledger_rig()
    rig.deliver(rig.invite())
    rig.settle()
    invite = rig.take_sent(SERVER1)[0]
    rig.answer(invite, 180)
    rig.take_sent()
    rig.deliver(rig.cancel())
    assert final_statuses(rig) == []
    assert [x.method for x in rig.take_sent(SERVER1)] == ["CANCEL"]  # sent to the server without waiting for the record
    rig.settle()
    assert [(r.how, r.by, r.status) for r in decoded_records(rig, f.WHOLE)] == [("left", "caller", 487)]


def test_on_a_disk_failure_new_calls_are_refused_and_pending_ones_answered():
    rig = ledger_rig()
    answered_by_server(rig)
    rig.border.flush(rig.now)
    rig.border.ledger.done(rig.now, rig.ops.pop(0), "write: no space left")
    rig.deliver(rig.invite(branch="z9hG4bKc2", call="c2", tag="ct2"))
    rig.run(250_000)
    assert sorted(final_statuses(rig)) == [200, 503]
    assert rig.border.count["refused for want of records"] == 1
    rig.run(5_000_000)
    rig.settle()
    rig.settle()
    assert not rig.border.ledger.refusing(rig.now)


def test_an_invite_that_is_refused_before_a_call_is_created_has_a_record():
    rig = ledger_rig()
    rig.deliver(rig.invite(number="+33100000"))
    rig.deliver(rig.invite(branch="z9hG4bKc3", call="c3", tag="ct3", extra="Require: 100rel\r\n"))
    assert final_statuses(rig) == []
    rig.settle()
    assert sorted(final_statuses(rig)) == [404, 420]
    assert [(r.status, r.caller_leg, r.answered) for r in decoded_records(rig, f.WHOLE)] == [
        (404, "c1", "no"),
        (420, "c3", "no"),
    ]
    assert not rig.border.owners


def test_the_answer_modes_after_and_intent_differ_in_what_a_200_waits_for():
    for answer_mode, expected in (("after", [200]), ("intent", [])):
        rig = ledger_rig(answer_mode)
        rig.deliver(rig.invite())
        rig.border.flush(rig.now)
        invite = rig.take_sent(SERVER1)[0]
        rig.take_sent()
        rig.answer(invite, 200)
        assert final_statuses(rig) == expected, answer_mode
        rig.run(20_000)
        rig.settle()
        rig.run(20_000)
        rig.settle()
        assert final_statuses(rig) == ([] if expected else [200]), answer_mode
