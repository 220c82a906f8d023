"""Set-ups not yet written, releases on connections that close, and callers that are gone."""

import pytest
from platform_rig import MS, Rig, S, entry

from thorndale import interface as io
from thorndale.platform import isup
from thorndale.platform.links import MAX_LINKS
from thorndale.platform.releases import DELIVERY_US, MAX_OFFERS, MAX_UNANSWERED, OFFER_AGE_US, RESEND_US

A, B = "127.0.1.1", "127.0.1.2"


def disconnected_rig(*hosts):
    """A rig whose servers have lost their connections; the next ones are being dialled and not open yet."""
    rig = Rig()
    rig.open_dialled()
    for key in list(rig.core.links):
        rig.deliver("server_lost", key, "lost")
    rig.advance(150 * MS)
    assert not any(link.is_open for link in rig.core.links.values())
    return rig


def ended_events(rig):
    return [e for e in rig.module_events if type(e) is io.SeizureEnded]


def releases(rig, call):
    return [conn for conn, got in rig.received_by.items() for kind, c, _ in got if kind == isup.RELEASE and c == call]


def established_call(rig, conn="c", **values):
    call = rig.setup(conn, **values)
    key, invite = rig.last_invite()
    rig.answer(key, invite)
    assert (isup.ANSWER, call) in [m[:2] for m in rig.received_by[conn]]
    return key, call


def established_call_and_another_caller():
    """An established call on connection c, and a caller on d with a later set-up."""
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.caller("d")
    rig.setup("d")
    return rig, key, call


# ---- set-ups whose connection is not open yet ----


@pytest.mark.parametrize("gone", ["given up", "closed"])
def test_nothing_is_sent_for_a_caller_that_left_before_the_connection_was_up(gone):
    rig = disconnected_rig()
    call = rig.setup()
    if gone == "closed":
        rig.deliver("caller_lost", "c")
    else:
        rig.release(call)
    assert [e.outcome for e in ended_events(rig)] == [io.NOT_SENT] and len(rig.core.decision_host) == 0
    rig.open_dialled()
    rig.advance(2 * S)
    assert not rig.invites() and not [m for sent in rig.sent.values() for m in sent if m.method == "CANCEL"]
    assert not any(link.in_flight for link in rig.core.links.values())


def test_a_set_up_that_was_out_of_time_before_the_connection_was_up_is_never_sent():
    rig = disconnected_rig()
    rig.setup(within=b"300")
    rig.advance(310 * MS)
    assert [m[0] for m in rig.received_by["c"]] == [isup.RELEASE]
    assert [e.outcome for e in ended_events(rig)] in ([io.UNREACHABLE], [io.NOT_SENT])
    rig.open_dialled()
    rig.advance(S)
    assert not rig.invites() and len(rig.received_by["c"]) == 1


@pytest.mark.parametrize("change", [dict(state=io.DRAINING), dict(state=io.GONE), dict(state=io.SERVING, started=5)])
def test_a_set_up_not_written_leaves_a_server_that_is_leaving_or_was_replaced(change):
    rig = disconnected_rig()
    rig.setup()
    call = next(iter(rig.core.calls.values()))
    central = call.seizure.central
    pool = "ab".index(central.name[-1])
    rig.change_list(2, entry(central.name, (A, B)[pool], pool=pool, **change))
    assert [e.outcome for e in ended_events(rig)] == [io.NOT_SENT] and ended_events(rig)[0].server == central.index
    rig.open_dialled()
    rig.advance(300 * MS)  # the random delay of a further set-up
    rig.open_dialled()
    sent = {host for key, _ in rig.invites() for k, host, _ in rig.dialled if k == key}
    assert sent <= {(B, A)[pool]}, "it was sent to the server that is leaving"


def test_a_whole_list_without_the_server_withdraws_its_set_ups_too():
    rig = disconnected_rig()
    rig.setup()
    central = next(iter(rig.core.calls.values())).seizure.central
    other, host, pool = ("s-0000000b", B, 1) if central.name == "s-0000000a" else ("s-0000000a", A, 0)
    rig.change_list(2, entry(other, host, io.SERVING, pool), whole=True)
    assert [(e.outcome, e.server) for e in ended_events(rig)] == [(io.NOT_SENT, central.index)]
    rig.open_dialled()
    assert central.name not in {rig.core.links[key].central.name for key, _ in rig.invites()}


def test_a_set_up_written_late_names_the_remaining_time_and_its_latency_counts_from_there():
    rig = disconnected_rig()
    rig.setup(within=b"1200")
    rig.advance(700 * MS)
    rig.open_dialled()
    key, invite = rig.last_invite()
    assert 400 <= int(invite.fields["Answer-Within"]) <= 500
    rig.advance(30 * MS)
    rig.answer(key, invite)
    assert [e.latency_us for e in rig.module_events if type(e) is io.Answered] == [30 * MS]


def test_a_set_up_that_a_closing_connection_does_not_accept_was_not_sent():
    rig = Rig()
    rig.open_dialled()
    rig.closing.update(rig.core.links)
    rig.setup()
    link = next(iter(rig.core.calls.values())).seizure.link
    rig.deliver("server_lost", link.key, "lost")
    assert [e.outcome for e in ended_events(rig)] == [io.NOT_SENT]


def test_an_open_connection_is_preferred_to_one_that_is_not_open_yet():
    rig = Rig()
    rig.open_dialled()
    for _ in range(12):
        rig.setup()
    assert len(rig.invites()) == 12, "set-ups wait for connections while others are up"
    assert all(len(c.links) <= MAX_LINKS for c in rig.core.centrals.values())
    for _ in range(3):
        rig.open_dialled()
        rig.setup()
    busy = next(c for c in rig.core.centrals.values() if len(c.links) > 1)
    assert len({link.key for link in busy.links if link.in_flight}) > 1, "the later ones go by the new connections"


# ---- releases on connections that close ----


def test_a_release_that_the_own_connection_does_not_accept_is_sent_on_another():
    rig, key, call = established_call_and_another_caller()
    rig.closing.add("c")
    rig.bye(key, call)
    assert releases(rig, call) == ["d"]
    rig.deliver("caller_lost", "c")
    assert releases(rig, call) == ["d"]


def test_a_release_crossed_by_the_callers_close_comes_once_more_by_another_connection():
    rig, key, call = established_call_and_another_caller()
    rig.bye(key, call)
    (first,) = releases(rig, call)
    rig.advance(20 * MS)
    rig.deliver("caller_lost", first)
    assert sorted(releases(rig, call)) == ["c", "d"]


def test_a_release_crossed_by_the_close_of_the_last_connection_waits_for_the_next():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.bye(key, call)
    rig.deliver("caller_lost", "c")
    rig.advance(3 * S)
    rig.caller("d")
    established_call(rig, "d")
    assert releases(rig, call) == ["c", "d"]
    rig.advance(2 * S)
    assert not rig.core.releases.undelivered and not rig.core.releases.waiting and len(releases(rig, call)) == 2


def test_an_answered_release_is_not_sent_again_whatever_closes():
    rig, key, call = established_call_and_another_caller()
    rig.bye(key, call)
    (first,) = releases(rig, call)
    rig.answer_release(call, first)
    assert not rig.core.releases.undelivered
    rig.deliver("caller_lost", first)
    rig.advance(2 * S)
    assert releases(rig, call) == [first]


def test_an_unanswered_release_is_sent_on_the_next_connection_if_callers_answer_releases():
    """Prevents a failure observed in a traced run: a release was sent on a connection with a newer set-up instead of
    the idle connection of the call. Its peer was another caller, which ignored the release, so the call never ended for
    its own caller."""
    rig = Rig()
    rig.open_dialled()
    key, other = established_call(rig)
    rig.bye(key, other)
    rig.answer_release(other)
    key, call = established_call(rig)
    rig.advance(3_500 * MS)
    rig.caller("stranger")
    rig.setup("stranger")
    rig.bye(key, call)
    assert releases(rig, call) == ["c"], "sent on the connection of the set-up, which has answered releases"
    rig.advance(300 * MS)
    assert releases(rig, call) == ["c", "stranger"], "sent on the next connection, since there was no answer"
    rig.answer_release(call, "c")
    rig.advance(2 * S)
    assert len(releases(rig, call)) == 2 and not rig.core.releases.undelivered


def test_each_release_is_sent_once_if_callers_never_answer_releases():
    rig = Rig()
    rig.open_dialled()
    for conn in "def":
        rig.caller(conn)
        rig.setup(conn)
    key, call = established_call(rig)
    rig.bye(key, call)
    rig.advance(2 * S)
    assert len(releases(rig, call)) == 1 and not rig.core.releases.undelivered


def test_an_answer_on_a_connection_that_did_not_carry_the_release_is_ignored():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.caller("d")
    rig.bye(key, call)
    rig.answer_release(call, "d")
    assert list(rig.core.releases.undelivered) == [call]


def test_the_release_of_a_call_released_by_its_caller_meanwhile_is_not_sent():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.release(call)
    rig.bye(key, call)
    assert not rig.core.releases.undelivered and not releases(rig, call)


def test_a_caller_that_only_releases_is_a_caller_too():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    _, second = established_call(rig)
    rig.deliver("caller_lost", "c")
    rig.caller("d")
    rig.release(call, "d")
    rig.bye(key, second)
    assert releases(rig, second) == ["d"]


# Peers that open connections by the hundred must not multiply the writes of a waiting release.
def test_a_waiting_release_is_offered_on_a_bounded_number_of_unproven_connections():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.deliver("caller_lost", "c")
    for number in range(50):
        rig.caller(number)
    rig.advance(500 * MS)
    rig.bye(key, call)
    for number in range(50, 100):
        rig.caller(number)
        rig.advance(100 * MS)
    offered = releases(rig, call)
    assert len(offered) == len(set(offered)) == MAX_OFFERS
    rig.caller("d")
    established_call(rig, "d")
    assert releases(rig, call) == [*offered, "d"]
    rig.advance(2 * S)
    assert not rig.core.releases.undelivered and not rig.core.releases.waiting


def test_a_release_is_not_offered_during_a_health_check_and_not_repeated_on_a_connection_that_becomes_proven():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.deliver("caller_lost", "c")
    rig.bye(key, call)
    rig.caller("d")
    rig.advance(OFFER_AGE_US - 60 * MS)
    assert not releases(rig, call)
    rig.advance(120 * MS)
    assert releases(rig, call) == ["d"] and rig.core.releases.waiting
    established_call(rig, "d")
    rig.advance(2 * S)
    assert releases(rig, call) == ["d"] and not rig.core.releases.undelivered and not rig.core.releases.waiting


# A caller that names an ended call at full speed must not make each further naming slower.
def test_naming_an_ended_call_again_and_again_sends_its_release_once():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.bye(key, call)
    server = rig.core.links[key].central.name
    rig.caller("d")
    for _ in range(20):
        rig.setup("d", call=call, figures=f"dest:0;width:1;at:{server}".encode())
    assert releases(rig, call) == ["c", "d"]
    (release,) = rig.core.releases.undelivered.values()
    assert len(release.preferred_connections()) == 2 and not rig.core.calls


def test_an_offer_that_its_connection_does_not_accept_does_not_count_when_the_connection_is_proven():
    rig = Rig()
    rig.open_dialled()
    key, call = established_call(rig)
    rig.deliver("caller_lost", "c")
    rig.bye(key, call)
    rig.caller("d")
    rig.closing.add("d")
    rig.advance(500 * MS)
    rig.closing.remove("d")
    rig.setup("d")
    assert releases(rig, call) == ["d"]


# ---- peers that are no callers ----


def taken_back_set_up(rig, conn):
    """What anybody can send: a sound set-up that is taken back at once."""
    rig.release(rig.setup(conn), conn)


def departed_caller(rig):
    """An established call whose connection has been closed at rest, and the connection of its server."""
    rig.caller("own")
    key, call = established_call(rig, "own")
    rig.deliver("caller_lost", "own")
    return key, call


# Review case 9: after releases that callers left unanswered, as they may, each release went to a stranger alone.
def test_a_release_goes_to_a_confirmed_caller_whatever_a_stranger_sends():
    rig = Rig()
    rig.open_dialled()
    for _ in range(MAX_UNANSWERED + 2):
        key, call = established_call(rig)
        rig.bye(key, call)
        rig.advance(1_200 * MS)
    key, call = departed_caller(rig)
    rig.caller("stranger")
    for _ in range(20):
        rig.advance(50 * MS)
        taken_back_set_up(rig, "stranger")
    rig.bye(key, call)
    assert releases(rig, call) == ["c"]
    rig.advance(10 * S)
    assert not rig.core.releases.undelivered


def test_a_release_that_only_strangers_got_is_sent_on_the_next_confirmed_connection():
    rig = Rig()
    rig.open_dialled()
    key, call = departed_caller(rig)
    rig.deliver("caller_lost", "c")
    for conn in ("stranger", "other stranger"):
        rig.caller(conn)
        taken_back_set_up(rig, conn)
    rig.bye(key, call)
    rig.advance(6 * S)
    assert sorted(releases(rig, call)) == ["other stranger", "stranger"]
    rig.caller("d")
    established_call(rig, "d")
    assert sorted(releases(rig, call)) == ["d", "other stranger", "stranger"]
    rig.advance(3 * S)
    assert not rig.core.releases.undelivered


# Related to review case 9: whoever was sent a release could end its delivery by answering it.
@pytest.mark.parametrize("names_it", [False, True])
def test_an_answer_of_a_stranger_does_not_end_the_delivery(names_it):
    rig = Rig()
    rig.open_dialled()
    key, call = departed_caller(rig)
    rig.deliver("caller_lost", "c")
    rig.caller("stranger")
    taken_back_set_up(rig, "stranger")
    rig.bye(key, call)
    assert releases(rig, call) == ["stranger"]
    if names_it:
        server = rig.core.links[key].central.name
        rig.setup("stranger", call=call, figures=f"dest:0;width:1;at:{server}".encode())
    rig.answer_release(call, "stranger")
    rig.caller("d")
    established_call(rig, "d")
    assert releases(rig, call) == ["stranger", "d"]


# A stranger may have calls of its own that stand: one write to it is no delivery either.
def test_a_release_without_its_own_connection_is_sent_to_several_callers_if_none_answers():
    rig = Rig()
    rig.open_dialled()
    for conn in "defghi":
        rig.caller(conn)
        established_call(rig, conn)
    for _ in range(MAX_UNANSWERED + 2):
        key, other = established_call(rig)
        rig.bye(key, other)
        rig.advance(1_200 * MS)
    key, call = departed_caller(rig)
    rig.bye(key, call)
    rig.advance(5 * S)
    assert len(releases(rig, call)) == len(set(releases(rig, call))) == DELIVERY_US // RESEND_US
