"""Membership in virtual time: on faulty links, live members are not declared dead for long and dead ones are detected."""

import random

import pytest

from thorndale.emulator.gossip import MembershipNetwork, S, healthy_link
from thorndale.fleet import wire
from thorndale.fleet.members import ALIVE, DEAD, PROBE_PERIOD_US, SUSPECT, Members


def joined(n, **given):
    net = MembershipNetwork(n, **given)
    took = net.run_until(lambda: net.agreed(range(n)), 60 * S)
    assert took is not None
    return net, took


def falsely_dead(net, gone=()):
    return [said for said in net.state_changes if said[3] == "dead" and said[2] not in gone]


@pytest.mark.parametrize("n", [2, 5, 40])
def test_members_started_together_find_each_other_and_detect_a_dead_one(n):
    net, took = joined(n)
    assert took < 12
    sent, at = net.sent, net.now
    net.run(at + 20 * S)
    assert 1.5 < (net.sent - sent) / n / 20 < 2.5 and net.max_datagram_bytes < 256  # independent of n
    net.kill(1)
    assert net.run_until(lambda: net.agreed(set(range(n)) - {1}), 60 * S) < 30
    assert not falsely_dead(net, (1,))
    net.start(1)
    assert net.run_until(lambda: net.agreed(range(n)), 60 * S) < 20  # restarted as another process
    assert n == 2 or any(said[3] == "begun anew" and said[2] == 1 for said in net.state_changes)


@pytest.mark.parametrize("lose", [0.1, 0.3])
def test_after_message_loss_all_members_are_alive_again(lose):
    def link(now, a, b, draw):
        return [] if draw() < lose else healthy_link(now, a, b, draw)

    net, _ = joined(20, link=link)
    net.run(net.now + 120 * S)
    wrong = len(falsely_dead(net))
    assert wrong <= (0 if lose < 0.2 else 40), wrong
    net.link = healthy_link
    assert net.run_until(lambda: net.agreed(range(20)), 30 * S) is not None


def test_a_fleet_partitioned_for_half_a_minute_rejoins():
    net, _ = joined(24)
    cut = net.now

    def link(now, a, b, draw):
        return [] if cut < now < cut + 30 * S and (a < 12) != (b < 12) else healthy_link(now, a, b, draw)

    net.link = link
    net.run(cut + 30 * S)
    assert set(net.views(range(12)).values()) == {frozenset(range(12))}
    assert set(net.views(range(12, 24)).values()) == {frozenset(range(12, 24))}
    assert net.run_until(lambda: net.agreed(range(24)), 60 * S) < 25


def test_a_member_cut_off_in_one_direction_stays_alive_through_indirect_probes():
    net, _ = joined(12)
    begun = net.now
    net.link = lambda now, a, b, draw: [] if (a, b) == (3, 4) else healthy_link(now, a, b, draw)
    net.run(begun + 60 * S)
    assert not falsely_dead(net)
    # Member 5 receives nothing, but its messages arrive.
    net.link = lambda now, a, b, draw: [] if b == 5 else healthy_link(now, a, b, draw)
    net.run(net.now + 60 * S)
    mistaken = [k for k, view in net.views(set(range(12)) - {5}).items() if not view >= set(range(12)) - {5}]
    assert not mistaken  # it does not make the others consider live members dead
    net.link = healthy_link
    assert net.run_until(lambda: net.agreed(range(12)), 60 * S) is not None


def test_late_duplicate_and_reordered_messages_change_nothing():
    def link(now, a, b, draw):
        return [int(draw() * 250_000) for _ in range(1 + (draw() < 0.5))]

    net, _ = joined(15, link=link)
    net.run(net.now + 60 * S)
    assert not falsely_dead(net) and net.agreed(range(15))
    net.link = lambda now, a, b, draw: [3 * S]  # all three seconds late: members are suspected, but not dead for long
    net.run(net.now + 40 * S)
    net.link = healthy_link
    assert net.run_until(lambda: net.agreed(range(15)), 30 * S) is not None


def test_a_stalled_member_declares_no_other_dead():
    net, _ = joined(20)
    net.suspend(7, 9 * S)
    net.run(net.now + 9 * S)
    said = len(net.state_changes)
    net.run(net.now + 10 * S)
    assert not [s for s in net.state_changes[said:] if s[1] == 7 and s[3] == "dead"]  # it declares nobody dead
    assert net.running[7].count["late"] and net.run_until(lambda: net.agreed(range(20)), 30 * S) is not None


def test_six_of_eight_killed_at_once_and_a_rolling_restart_of_all():
    net, _ = joined(8)
    for k in range(6):
        net.kill(k)
    assert net.run_until(lambda: net.agreed({6, 7}), 60 * S) < 30
    for k in range(6):
        net.start(k)
    assert net.run_until(lambda: net.agreed(range(8)), 30 * S) is not None
    for k in range(8):
        net.send(k, net.running[k].leave(net.now))
        net.kill(k)
        net.run(net.now + 2 * S)
        net.start(k)
        net.run(net.now + S)
    assert net.run_until(lambda: net.agreed(range(8)), 30 * S) is not None


def test_a_clock_that_went_back_an_hour_and_a_name_started_twice():
    net, _ = joined(6)
    net.kill(2)
    net.run(net.now + 5 * S)
    net.start(2, wall=-3600)  # below the incarnation that the others know
    assert net.run_until(lambda: net.agreed(range(6)), 30 * S) is not None
    first = net.running[3]
    net.start(3)  # the first process goes on: both send under one name
    net.run(net.now + 5 * S)
    datagram = first._make_datagram(wire.PROBE, 1, 0, 0)
    for k in range(20):
        net._arrive(3, k % 6 if k % 6 != 3 else 0, wire.encode(datagram))
        net.run(net.now + S)
    assert any(s[3] == "named twice or begun anew" for s in net.state_changes) or any(
        s[3] == "begun anew" for s in net.state_changes
    )
    assert net.run_until(lambda: net.agreed(range(6)), 30 * S) is not None


def test_a_faulty_reporter_cannot_remove_live_members():
    net, _ = joined(10)
    faulty, rand = net.running[9], random.Random(3)
    for _ in range(60):
        updates = [
            wire.MembershipUpdate(
                net.running[0].ids[k],
                rand.getrandbits(32),
                faulty.incarnation[k] + rand.choice((0, 1, 99, 1 << 50)),
                rand.choice((wire.DEAD, wire.SUSPECT, wire.LEFT)),
            )
            for k in rand.sample(range(9), 5)
        ]
        false_datagram = wire.Datagram(
            wire.VERSION, wire.PROBE, faulty.ids[9], faulty.boot_id[9], faulty.incarnation[9], 7, faulty.ids[9], updates
        )
        for to in rand.sample(range(9), 3):
            net._arrive(9, to, wire.encode(false_datagram))
        net.run(net.now + S)
    assert not falsely_dead(net) and sum(m.count["absurd"] for m in net.running) > 50
    assert all(view >= set(range(9)) for view in net.views(range(9)).values())


def test_old_messages_replayed_after_a_restart_change_nothing():
    net, _ = joined(8)
    old = [(to, wire.encode(datagram)) for to, datagram in net.running[2].leave(net.now)]
    net.kill(2)
    net.run(net.now + 3 * S)
    net.start(2)
    assert net.run_until(lambda: net.agreed(range(8)), 30 * S) is not None
    for to, data in old * 3:
        net._arrive(2, to, data)
    net.run(net.now + 3 * S)
    assert net.agreed(range(8))


def test_updates_by_state_and_incarnation():
    """Each reported state on a member in each known state: the state afterwards."""

    def after(known, reported, incarnation_lead):
        members = Members(["a", "b", "c"], 0, 1, 0, 11, 1 << 20)
        members._apply_update(1, 22, 1 << 20, ALIVE, 1)
        if known != ALIVE:
            members._apply_update(1, 22, 1 << 20, known, 1)
        members._apply_update(1, 22, (1 << 20) + incarnation_lead, reported, 2)
        return members.state[1]

    for known in (ALIVE, SUSPECT, DEAD):
        for reported in (ALIVE, SUSPECT, DEAD):
            assert after(known, reported, -1) == known  # an older incarnation changes nothing
    assert after(SUSPECT, ALIVE, 0) == SUSPECT and after(SUSPECT, ALIVE, 1) == ALIVE and after(DEAD, ALIVE, 1) == ALIVE
    assert after(ALIVE, DEAD, 0) == SUSPECT and after(ALIVE, SUSPECT, 0) == SUSPECT and after(DEAD, SUSPECT, 0) == DEAD


def test_a_suspicion_is_not_shortened_by_repetition_and_lasts_longer_in_a_larger_fleet():
    def duration(n, reporters):
        members = Members([f"m{k}" for k in range(n)], 0, 1, 0, 1, 1 << 20)
        members._apply_update(1, 1, 1 << 20, ALIVE, 1)
        for k in range(reporters):
            members._apply_update(1, 1, 1 << 20, SUSPECT, k + 2)
        return members.suspect_until[1]

    assert duration(10, 1) == duration(10, 7) == 6 * PROBE_PERIOD_US < duration(228, 1) < 20 * PROBE_PERIOD_US


@pytest.mark.parametrize("data", [b"", b"\x00", b"x" * 600, b"\x98\x02" + b"\x00" * 8])
def test_foreign_bytes_are_refused_with_a_reason(data):
    with pytest.raises(wire.WireError):
        wire.decode(data)


def test_a_datagram_cut_at_every_byte_and_with_every_byte_changed_is_refused_or_in_bounds():
    net, _ = joined(6)
    data = wire.encode(net.running[1]._make_datagram(wire.ACK, 5, 1, 0))
    for n in range(len(data)):
        with pytest.raises(wire.WireError):
            wire.decode(data[:n])
    for n in range(len(data)):
        for bit in (1, 16, 128):
            changed = bytes([*data[:n], data[n] ^ bit, *data[n + 1 :]])
            try:
                datagram = wire.decode(changed)
            except wire.WireError:
                continue
            net.running[0].receive(net.now, datagram, 1)
    net.run(net.now + 20 * S)
    assert not falsely_dead(net) and net.agreed(range(6))
