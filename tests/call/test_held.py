"""A call whose final answer waits for its record: what happens meanwhile comes behind the answer, and is not lost."""

from call.rig import BOX1, CALLER, Rig

from thorndale.records import frame as f
from thorndale.records.journal import Journal, Limits
from thorndale.records.ledger import Ledger
from thorndale.records.record import Record, decode


def rig(way="written", **limits):
    """A Rig whose disk does nothing until `settle` is called."""
    made = Rig("sip: {}")
    ops, said = [], []
    journal = Journal(Limits(**limits), "p1", "c", "b", 0, 1, "", 0)
    made.border.ledger = Ledger(
        journal, way, 200_000, ops.append, lambda *a: said.append(a[1]), lambda *a, **k: said.append(a)
    )
    made.ops, made.words = ops, said

    def settle(fault=""):
        made.border.flush(made.now)
        while ops:
            made.border.ledger.done(made.now, ops.pop(0), fault)
            made.border.flush(made.now)

    made.settle = settle
    made.kept = []
    was = journal.put

    def put(now, kind, body, *rest):
        made.kept.append((kind, body))
        return was(now, kind, body, *rest)

    journal.put = put
    return made


def records(made, *kinds):
    return [decode(Record, body) for kind, body in made.kept if kind in kinds]


def stood_at_box(made):
    made.give(made.invite())
    made.settle()
    made.take(CALLER)
    invite = made.take(BOX1)[0]
    made.answer(invite, 200)
    return invite


def finals(made):
    return [x.status for x in made.take(CALLER) if x.status >= 200 and x.cseq[1] == "INVITE"]


def test_the_200_goes_behind_its_record():
    made = rig()
    stood_at_box(made)
    assert finals(made) == []
    made.settle()
    assert finals(made) == [200]
    assert [r.answered for r in records(made, f.BEGUN)] == ["doubt"]


def test_the_refusal_goes_behind_its_record_and_a_cancel_meanwhile_changes_nothing():
    made = rig()
    made.give(made.invite())
    made.settle()
    invite = made.take(BOX1)[0]
    made.take()
    made.answer(invite, 486)
    made.give(made.cancel())
    assert finals(made) == []
    made.settle()
    assert finals(made) == [486]
    assert [(r.status, r.how, r.by, r.server) for r in records(made, f.WHOLE)] == [(486, "released", "server", "box1")]


def test_a_bye_of_the_box_meanwhile_reaches_the_caller_after_its_200_and_its_ack():
    made = rig()
    invite = stood_at_box(made)
    ack = next(x for x in made.take(BOX1) if x.method == "ACK")
    assert ack.to_tag == "bt"
    made.give(
        f"BYE {invite.contact.uri} SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:6001;branch=z9hG4bKbye\r\n"
        f"Max-Forwards: 70\r\nFrom: {ack.get('to')}\r\nTo: {ack.get('from')}\r\nCall-ID: {ack.call_id}\r\n"
        f"CSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
        BOX1,
    )
    assert [x.method for x in made.take(CALLER)] == []
    made.settle()
    sent = made.take(CALLER)
    assert [x.status for x in sent] == [200]
    text = made.invite(method="ACK", body="", branch="z9hG4bKa").replace(
        "To: <sip:+22170000123@127.0.0.1>", f"To: <sip:+22170000123@127.0.0.1>;tag={sent[0].to_tag}"
    )
    made.give(text)
    assert [x.method for x in made.take(CALLER)] == ["BYE"]
    made.settle()
    assert [(r.how, r.by) for r in records(made, f.ENDED)] == [("released", "server")]


def test_an_answer_is_not_held_longer_than_its_bound():
    made = rig()
    stood_at_box(made)
    made.run(250_000)
    assert finals(made) == [200]
    assert made.border.ledger.count["answered ahead"] == 1


def test_a_caller_that_leaves_has_its_487_behind_its_record():
    made = rig()
    made.give(made.invite())
    made.settle()
    box = made.take(BOX1)[0]
    made.answer(box, 180)
    made.take()
    made.give(made.cancel())
    assert finals(made) == []
    assert [x.method for x in made.take(BOX1)] == ["CANCEL"]  # the box is told at once
    made.settle()
    assert [(r.how, r.by, r.status) for r in records(made, f.WHOLE)] == [("left", "caller", 487)]


def test_a_disk_that_fails_has_new_calls_refused_and_those_under_way_answered():
    made = rig()
    stood_at_box(made)
    made.border.flush(made.now)
    made.border.ledger.done(made.now, made.ops.pop(0), "write: no space left")
    made.give(made.invite(branch="z9hG4bKc2", call="c2", tag="ct2"))
    made.run(250_000)
    assert sorted(finals(made)) == [200, 503]
    assert made.border.count["refused for want of records"] == 1
    made.run(5_000_000)
    made.settle()
    made.settle()
    assert not made.border.ledger.refusing(made.now)


def test_an_invite_that_becomes_no_call_has_its_record_too():
    made = rig()
    made.give(made.invite(number="+33100000"))
    made.give(made.invite(branch="z9hG4bKc3", call="c3", tag="ct3", extra="Require: 100rel\r\n"))
    assert finals(made) == []
    made.settle()
    assert sorted(finals(made)) == [404, 420]
    assert [(r.status, r.caller_leg, r.answered) for r in records(made, f.WHOLE)] == [
        (404, "c1", "no"),
        (420, "c3", "no"),
    ]
    assert not made.border.owners


def test_the_four_ways_differ_in_what_an_answer_waits_for():
    for way, wanted in (("after", [200]), ("intent", [])):
        made = rig(way)
        made.give(made.invite())
        made.border.flush(made.now)
        invite = made.take(BOX1)[0]
        made.take()
        made.answer(invite, 200)
        assert finals(made) == wanted, way
        made.run(20_000)
        made.settle()
        made.run(20_000)
        made.settle()
        assert finals(made) == ([] if wanted else [200]), way
