"""State that grows with what callers send: each container has a bound, costs honest callers nothing there, and is
given back (docs/platform.md, 'Bounds')."""

from platform_rig import MS, Rig, S, entry, setup_values

from thorndale import interface as io
from thorndale.platform import isup
from thorndale.platform.caller_events import MAX_BATCH_EVENTS

MEMORY_MB = 32  # the least that the platform gives; 3,200 items of each kind


def small_rig():
    rig = Rig(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256})
    rig.open_dialled()
    return rig, rig.core.config.state_bound


def identifiers(first, count):
    return [(first + n).to_bytes(8, "big") for n in range(count)]


def name(rig, conn, calls, server="s-0000000a"):
    for call in calls:
        rig.setup(conn, call=call, figures=f"dest:0;width:1;via:-1;at:{server}".encode())


def causes(rig, conn, call):
    received = rig.received_by.get(conn, ())
    return [values[isup.CAUSE][0] for kind, c, values in received if kind == isup.RELEASE and c == call]


# Review case 6: calls named under ids that no server knows were held without bound and without end.
def test_calls_named_under_unknown_ids_are_bounded_and_given_back():
    rig, bound = small_rig()
    rig.caller("bad")
    honest = identifiers(1 << 40, 1_000)
    name(rig, "c", honest)
    name(rig, "bad", identifiers(1 << 50, bound + 2_000))
    assert len(rig.core.calls) == len(rig.core.named_calls) == rig.core.established_calls() == bound
    assert all(call in rig.core.calls for call in honest), "a bad client's namings displaced a caller's"
    key = next(key for key, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.bye(key, honest[0])
    assert causes(rig, "c", honest[0]) == [16]
    for call in honest[1:]:
        rig.release(call)
    rig.deliver("caller_lost", "bad")
    rig.advance(2 * rig.core.named_calls.retention_us)
    assert not rig.core.calls and not rig.core.established_calls() and len(rig.core.named_calls) == 0


# A bound must cost no honest caller: after a restart thousands of standing calls are named within seconds.
def test_thousands_of_calls_named_after_a_restart_are_held_as_long_as_their_caller_is_connected():
    rig = Rig()
    rig.open_dialled()
    calls = identifiers(1 << 40, 5_000)
    name(rig, "c", calls)
    rig.advance(3 * rig.core.named_calls.retention_us)
    assert rig.core.established_calls() == 5_000 and not rig.core.count.get("namings given up")
    key = next(key for key, link in rig.core.links.items() if link.central.name == "s-0000000a")
    rig.bye(key, calls[0])
    assert causes(rig, "c", calls[0]) == [16]


def test_a_naming_on_a_new_connection_counts_for_that_one():
    rig, _ = small_rig()
    (call,) = identifiers(1 << 40, 1)
    name(rig, "c", [call])
    rig.deliver("caller_lost", "c")
    rig.advance(rig.core.named_calls.retention_us - S)
    rig.caller("d")
    name(rig, "d", [call])
    rig.advance(rig.core.named_calls.retention_us)
    assert call in rig.core.calls


def test_open_set_ups_are_bounded_by_the_memory_and_given_back():
    rig, bound = small_rig()
    for call in identifiers(1 << 40, bound + 500):
        rig.setup(call=call, within=b"3000", number=call.hex().encode())
    assert len(rig.core.calls) <= bound and len(rig.core.decision_host.module.calls) <= bound
    rig.advance(4 * S)
    assert not rig.core.calls and len(rig.core.decision_host) == 0 and not rig.core.decision_host.module.calls
    assert len(rig.received_by["c"]) == bound + 500, "each set-up gets one answer"


# Related to review case 6: each naming at a server that is not listed left a release until it was heard, up to 8 s, which
# went on to other callers when the naming connection closed.
def test_calls_named_at_an_unknown_server_are_told_as_over_to_their_namer_alone():
    rig, bound = small_rig()
    rig.caller("bad")
    rig.setup()
    rig.answer(*rig.last_invite())
    calls = identifiers(1 << 50, bound + 500)
    name(rig, "bad", calls, server="s-00000077")
    assert causes(rig, "bad", calls[0]) == causes(rig, "bad", calls[-1]) == [41]
    assert not rig.core.releases.undelivered and not rig.core.calls.keys() & set(calls)
    rig.deliver("caller_lost", "bad")
    rig.advance(10 * S)
    assert not any(causes(rig, "c", call) for call in calls)


# The end of a server releases all of its calls at once.
def test_releases_are_bounded_and_given_back():
    rig, bound = small_rig()
    rig.caller("bad")
    for first in (1 << 50, 1 << 51):
        name(rig, "bad", identifiers(first, bound))
        rig.change_list(first, entry("s-0000000a", "127.0.1.1", io.SERVING, started=first >> 40))
        rig.advance(10 * MS)
        rig.open_dialled()
        assert len(rig.core.releases.undelivered) == len(rig.core.releases.bound) <= bound
    rig.deliver("caller_lost", "bad")
    rig.advance(150 * S)
    assert not rig.core.releases.undelivered and not rig.core.releases.waiting and len(rig.core.releases.bound) == 0


def test_releases_that_no_caller_comes_for_are_given_up_in_the_end():
    rig, _ = small_rig()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    rig.deliver("caller_lost", "c")
    rig.bye(key, bytes.fromhex(invite.call))
    rig.advance(60 * S)
    assert len(rig.core.releases.waiting) == 1
    rig.advance(61 * S)
    assert not rig.core.releases.waiting and not rig.core.releases.undelivered


# Related to review case 10: set-ups that were sent and then taken back were kept for 30 s, for their late answers.
def test_set_ups_taken_back_after_they_were_sent_are_bounded_and_given_back():
    rig, bound = small_rig()
    for call in identifiers(1 << 40, bound + 500):
        rig.setup(call=call, number=call.hex().encode())
        rig.release(call)
        rig.advance(100)
    sent = len(rig.invites())
    assert sent > bound, "too few were sent to reach the bound"
    assert sum(len(link.in_flight) for link in rig.core.links.values()) == len(rig.core.abandoned) == bound
    key, latest = rig.last_invite()
    rig.answer(key, latest)
    assert [m.method for m in rig.sent[key] if m.call == latest.call][-2:] == ["ACK", "BYE"], (
        "its late answer is released"
    )
    rig.advance(31 * S)
    assert len(rig.core.abandoned) == 0 and not any(link.in_flight for link in rig.core.links.values())


# Related to review case 6: a named call that is released leaves a BYE, which waits while its server has no connection.
def test_messages_to_a_server_without_a_connection_are_bounded_and_given_back():
    rig = Rig(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256})
    bound, central = rig.core.config.state_bound, rig.core.centrals["s-0000000a"]
    for call in identifiers(1 << 40, bound + 500):
        name(rig, "c", [call])
        rig.release(call)
    assert len(central.unsent) == bound
    rig.advance(150 * MS)
    for key, link in list(rig.core.links.items()):
        if link.central is central:
            rig.deliver("server_lost", key, "refused")
    assert not central.unsent


# A caller's release must reach its server in the end, however long that one could not be reached.
def test_a_release_for_a_server_that_cannot_be_reached_goes_out_once_it_can():
    rig, _ = small_rig()
    rig.setup()
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    central = rig.core.links[key].central
    for lost in [key for key, link in rig.core.links.items() if link.central is central]:
        rig.deliver("server_lost", lost, "lost")
    rig.release(bytes.fromhex(invite.call))
    assert len(central.unsent) == 1
    for _ in range(100):
        for dialled in [key for key, link in rig.core.links.items() if link.central is central]:
            rig.deliver("server_lost", dialled, "unreached")
        rig.advance(100 * MS)
    rig.advance(2 * S)
    rig.open_dialled()
    assert any(m.method == "BYE" and m.call == invite.call for sent in rig.sent.values() for m in sent)
    assert not central.unsent


def test_ended_calls_are_bounded_and_forgotten_without_another_event():
    rig, bound = small_rig()
    key = next(key for key, link in rig.core.links.items() if link.central.name == "s-0000000a")
    for call in identifiers(1 << 40, bound + 500):
        name(rig, "c", [call])
        rig.bye(key, call)
    assert len(rig.core.ended_calls.by_call) == len(rig.core.ended_calls.expiries) == bound
    rig.advance(31 * S)
    assert not rig.core.ended_calls.by_call and not rig.core.ended_calls.expiries


# Hundreds of connections may be read in one turn of the event loop, before the module is asked about any set-up.
def test_set_ups_of_one_turn_are_decided_in_batches():
    rig, _ = small_rig()
    largest = 0
    for call in identifiers(1 << 40, 2 * MAX_BATCH_EVENTS):
        data = isup.encode(isup.SETUP, call, *setup_values(number=call.hex().encode()))
        for message in isup.Framer().feed(data):
            rig.core.caller_message(rig.now, "c", message)
        largest = max(largest, len(rig.core.decision_host.events))
    assert largest < MAX_BATCH_EVENTS and rig.invites()


def test_connections_leave_nothing_behind():
    rig, _ = small_rig()
    for number in range(500):
        rig.caller(number)
        name(rig, number, identifiers(number << 16, 3))
        rig.setup(number, call=identifiers(1 << 40 | number, 1)[0])
        rig.deliver("caller_lost", number)
    rig.advance(2 * rig.core.named_calls.retention_us)
    assert len(rig.core.connections) == 1 and not rig.core.calls and len(rig.core.timers) <= 5


def test_the_ids_of_calls_that_were_sent_are_bounded_and_forgotten():
    rig, bound = small_rig()
    for call in identifiers(1 << 40, bound + 500):
        rig.setup(call=call, number=call.hex().encode())
        rig.answer(*rig.last_invite())
        rig.release(call)
    assert len(rig.core.sent_ids) == bound
    rig.advance(31 * S)
    assert len(rig.core.sent_ids) == 0
