"""The pool book's subscriber: order, gaps, malformed notifications, a lost subscription; and the copy on disk."""

import pytest
from call.rig import SERVER1, Rig, methods, statuses
from call.test_calls import notify

from thorndale import interface as io
from thorndale.call.book import Body, Entry, decode_copy, encode_copy, parse_body
from thorndale.daemon import book_file
from thorndale.sip.errors import SipError
from thorndale.sip.transaction import Hop

BOOK = Hop("udp", "127.0.0.1", 7100)
BOOK_SETTING = 'book: {uri: "sip:book@127.0.0.1:7100", expires_s: 10}'


def subscribed_rig(**options):
    rig = Rig(BOOK_SETTING, **options)
    subscribe = rig.sole_request(BOOK, "SUBSCRIBE")
    rig.answer(subscribe, 200, tag="bk", hop=BOOK, extra="Expires: 10")
    return rig, subscribe


def server_states(rig):
    return [rig.border.module_host.server_state(n) for n in range(2)]


def test_lists_in_order_repeated_late_and_with_a_gap():
    rig, subscribe = subscribed_rig()
    notify(rig, subscribe, 4, True, [("box1", "serving"), ("box2", "serving")])
    notify(rig, subscribe, 5, False, [("box1", "draining")])
    assert server_states(rig) == ["draining", "serving"]
    notify(rig, subscribe, 4, True, [("box1", "serving"), ("box2", "serving")], seq=6)
    assert server_states(rig) == ["draining", "serving"] and rig.border.book.counts["repeated"] == 1
    rig.take_sent()
    notify(rig, subscribe, 7, False, [("box2", "gone")], seq=7)  # 6 is missing
    assert server_states(rig) == ["draining", "serving"] and rig.border.book.counts["gaps"] == 1
    assert methods(rig.take_sent(BOOK)) == ["SUBSCRIBE"]  # requests the whole list inside the dialog
    notify(rig, subscribe, 7, True, [("box1", "serving")], seq=8)
    assert server_states(rig) == ["serving", "gone"]


def test_a_restarted_book_has_its_own_version_numbers():
    rig, subscribe = subscribed_rig()
    notify(rig, subscribe, 40, True, [("box1", "draining"), ("box2", "serving")])
    notify(rig, subscribe, 41, False, [("box1", "serving")], book="c", seq=41)
    assert server_states(rig) == ["draining", "serving"]
    notify(rig, subscribe, 1, True, [("box1", "serving"), ("box2", "serving")], book="c", seq=42)
    assert server_states(rig) == ["serving", "serving"]


def test_unknown_servers_and_malformed_states_are_logged_and_change_nothing():
    rig, subscribe = subscribed_rig()
    notify(rig, subscribe, 1, True, [("box1", "draining"), ("box9", "serving")])
    assert server_states(rig)[0] == "draining"
    notify(rig, subscribe, 2, False, [("box1", "asleep")])
    assert statuses(rig.take_sent(BOOK))[-1] == 400 and server_states(rig)[0] == "draining"
    events = [event for _, event, _ in rig.log_lines]
    assert "unknown server in the pool book" in events and "pool book refused" in events


def test_the_subscription_is_refreshed_and_its_loss_leaves_the_list_in_force():
    rig, subscribe = subscribed_rig()
    notify(rig, subscribe, 1, True, [("box1", "draining"), ("box2", "serving")])
    rig.take_sent()
    rig.run(7_100_000)
    refresh = rig.sole_request(BOOK, "SUBSCRIBE")
    assert refresh.to_tag == "bk" and refresh.cseq[0] == 2
    rig.answer(refresh, 481, hop=BOOK)
    assert server_states(rig)[0] == "draining"
    rig.run(600_000)
    fresh = [r for r in rig.take_sent(BOOK) if r.method == "SUBSCRIBE"]
    assert len(fresh) == 1 and fresh[0].to_tag == "" and fresh[0].call_id != subscribe.call_id


def test_an_unresponsive_book_is_retried_with_growing_delays():
    rig = Rig(BOOK_SETTING + ", sip: {t1_ms: 10, t2_ms: 80}")
    rig.run(30_000_000)
    attempts = {r.call_id for r in rig.take_sent(BOOK) if r.method == "SUBSCRIBE"}
    assert 4 <= len(attempts) <= 12
    rig.deliver(rig.invite())
    assert methods(rig.take_sent(SERVER1)) == ["INVITE"]  # the servers of the settings are used meanwhile


def test_server_start_times_are_converted_to_the_proxys_clock():
    rig, subscribe = subscribed_rig()
    border = rig.border
    border.book.wall_offset_us = 1_764_000_000_000_000 - rig.now
    entries = border.book._module_entries(
        [Entry("box1", "serving", 1_764_000_000_000 - 400), Entry("box2", "serving", 5)]
    )
    assert entries == (io.Server(0, 0, io.SERVING, rig.now - 400_000), io.Server(1, 1, io.SERVING, 0))


def test_a_truncated_or_corrupt_copy_on_disk_is_refused(tmp_path):
    body = Body("b", 3, True, [Entry("box1", "draining", 7)])
    data = encode_copy(body)
    assert decode_copy(data) == body
    for cut in range(len(data) - 1):
        with pytest.raises(SipError):
            decode_copy(data[:cut])
    for at in range(0, len(data), 7):
        corrupt = bytearray(data)
        corrupt[at] ^= 4
        with pytest.raises(SipError):
            decode_copy(bytes(corrupt))
    path, logged = str(tmp_path / "book"), []
    book_file.replace(path, data)
    assert book_file.read(path, lambda *a, **k: logged.append(a)) == body
    (tmp_path / "book").write_bytes(data[:-9])
    assert book_file.read(path, lambda *a, **k: logged.append(a)) is None and logged[0][0] == "error"
    rig = Rig(BOOK_SETTING, book=body)
    assert server_states(rig) == ["draining", "gone"]


def test_a_malformed_body_is_refused():
    for text in (b"{", b"[]", b'{"book":1}', b'{"book":"a","version":1,"full":true,"servers":[{"name":"x"}]}'):
        with pytest.raises(SipError):
            parse_body(text)
