"""Peer failure reports: a dead server is known to all after a few losses; false reports do not take a sound one out of
service."""

import pytest

from thorndale.emulator.day import Day, S, ScenarioEvent
from thorndale.emulator.fleet import Fleet
from thorndale.emulator.peer_network import PeerLinkFault
from thorndale.fleet import wire
from thorndale.fleet.peer_reports import (
    EXPIRY_US,
    HALF_LIFE_US,
    MAX_WEIGHT,
    MIN_WEIGHT,
    REPORT_INTERVAL_US,
    PeerReports,
)
from thorndale.fleet.wire import FailureReport
from thorndale.policy import FAILED_LOG_ODDS

IDS, SERVERS = list(range(100, 120)), [7, 8, 9, 10]


def report(reporter, server=0, age_ms=0, answered=False, process_start_s=0):
    return FailureReport(SERVERS[server], IDS[reporter], process_start_s, age_ms, answered)


def odds(reports, now, server=0):
    """The log odds last reported to the module for the server."""
    reports.tick(now)
    return reports.states[server].module_odds


def test_three_reporters_make_a_server_avoided_and_one_never_does():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    for n in range(30):
        reports.receive(n * S, [report(1)])
    assert odds(reports, 30 * S) <= MAX_WEIGHT < FAILED_LOG_ODDS
    reports.receive(30 * S, [report(2)])
    assert odds(reports, 30 * S) < FAILED_LOG_ODDS
    reports.receive(30 * S, [report(3)])
    assert odds(reports, 30 * S) >= FAILED_LOG_ODDS and reports.changed_odds[-1][0] == 0
    assert odds(reports, 30 * S + HALF_LIFE_US) == pytest.approx(odds(reports, 30 * S) / 2, rel=0.2)
    assert odds(reports, 31 * S + EXPIRY_US) == 0 and not reports.active and reports.next_at() > 1 << 60


def test_an_own_answer_overrides_all_reports_and_lowers_the_reporters_weight():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    reports.receive(S, [report(n) for n in range(1, 9)])
    assert odds(reports, S) >= FAILED_LOG_ODDS
    reports.record_outcome(2 * S, 0, True, False, 2 * S)
    assert odds(reports, 2 * S) == 0
    assert [w.answered for w in reports.outgoing] == [] and reports.reporter_weights[IDS[1]][0] == MAX_WEIGHT / 2
    for n in range(3, 30):  # contradicted each time, until all together have no effect any more
        reports.receive(n * S, [report(t) for t in range(1, 9)])
        reports.record_outcome(n * S + S // 2, 0, True, False, n * S + S // 2)
    reports.receive(30 * S, [report(t) for t in range(1, 9)])
    assert odds(reports, 30 * S) < FAILED_LOG_ODDS / 2 and reports.reporter_weights[IDS[1]][0] >= MIN_WEIGHT
    assert reports._reporter_weight(30 * S + 5 * EXPIRY_US, IDS[1]) == MAX_WEIGHT  # full weight again minutes later


def test_an_answer_to_a_peer_clears_earlier_losses_and_not_later_ones():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    reports.receive(
        5 * S, [report(1, age_ms=4000), report(2, age_ms=3000), report(3, age_ms=100), report(4, age_ms=100)]
    )
    reports.receive(5 * S, [report(5, age_ms=1000, answered=True)])
    assert set(reports.states[0].losses) == {IDS[3], IDS[4]}


def test_reports_are_forwarded_once_and_not_beyond_saturation():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    reports.receive(S, [report(1)])
    assert [w.reporter for w in reports.tick(S)] == [IDS[1]]
    for age in (0, 3, 40):
        # The same report on other paths, its age rounded.
        reports.receive(S + age * 1000, [report(1, age_ms=max(0, age - 1))])
    assert reports.tick(2 * S) == []
    reports.receive(3 * S, [report(n) for n in range(2, 19)])
    assert len(reports.tick(3 * S)) < 8
    reports.record_outcome(3 * S, 0, False, True, 3 * S)
    assert reports.tick(3 * S) == []  # an own loss is not reported beyond saturation either


def test_own_losses_are_reported_once_a_second_and_not_if_the_proxy_may_be_at_fault():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    for server in (1, 2, 3):
        reports.record_outcome(S, server, True, False, S)
    for n in range(10):
        reports.record_outcome(S + n * 10_000, 0, False, True, S + n * 10_000)
    (own_report,) = reports.tick(2 * S)
    assert (own_report.server, own_report.reporter, own_report.answered) == (SERVERS[0], IDS[0], False)
    reports.record_outcome(2 * S + REPORT_INTERVAL_US, 0, False, True, 2 * S + REPORT_INTERVAL_US)
    assert len(reports.tick(4 * S)) == 1
    for server in (1, 2, 3):
        reports.record_outcome(5 * S, server, False, True, 5 * S)
    assert reports.count["doubted"] >= 1 and len(reports.tick(6 * S)) < 3


def test_a_new_process_voids_reports_on_the_previous_one():
    reports = PeerReports(IDS, 0, SERVERS, 1, 0)
    reports.receive(S, [report(n) for n in range(1, 9)])
    assert odds(reports, S) >= FAILED_LOG_ODDS
    reports.server_started(0, 1000)
    assert reports.states[0].module_odds == 0 and reports.changed_odds[-1] == (0, 0.0)
    reports.receive(2 * S, [report(n) for n in range(1, 9)])  # on the previous process
    reports.receive(
        2 * S, [report(1, process_start_s=1001)]
    )  # on this process, a second apart by another proxy's clock
    assert reports.count["void"] == 8 and list(reports.states[0].losses) == [IDS[1]]
    reports.receive(
        2 * S, [FailureReport(99, IDS[1], 0, 0, False), FailureReport(SERVERS[1], 55, 0, 0, False), report(0)]
    )
    assert not reports.states[1].losses  # unknown server; unknown member; its own report


def test_a_server_avoided_on_reports_is_tried_by_one_proxy_every_two_seconds():
    fleet = [PeerReports(IDS, n, SERVERS, n * 977, 0) for n in range(20)]
    trials = 0
    for reports in fleet:
        reports.present_members = 20
    for tick in range(600):
        now = S + tick * S // 10
        if tick % 20 == 0:
            for n, reports in enumerate(fleet):
                reports.receive(now, [report(t) for t in range(20) if t != n])
        for reports in fleet:
            reports.tick(now)
            if reports.states[0].trial_until > now:
                trials += 1
                reports.record_outcome(now, 0, False, True, now)
    assert 15 < trials < 50  # thirty expected in a minute, at random


def day_of(share, scenario_events, **given):
    return Day(
        seed=4,
        length_us=40 * S,
        proxies=40,
        servers=(4, 4),
        calls=120.0,
        outside=(0.0, 0.0),
        policy="plain",
        one_pool_per_site=True,
        lines=2000,
        sizes=(0.4,) * 8,
        peer_exchange=share,
        scenario_events=scenario_events,
        start_us=S,
        **given,
    )


def lost(fleet, server, since):
    """Set-ups sent to the dead server."""
    return sum(fleet.setups[server][since:])


def test_with_reports_a_dead_server_costs_less_than_half_the_set_ups():
    # The server refuses set-ups and stays on the server list.
    dead = (ScenarioEvent(15 * S, "killed", servers=frozenset({2}), announced=False),)
    found = {}
    for share in ("", "rights words"):
        fleet = Fleet(day_of(share, dead))
        played = fleet.run()
        assert not played.breaks
        found[share] = lost(fleet, 2, 16), played.earned_fraction()
    assert found["rights words"][0] < 0.5 * found[""][0] and found["rights words"][1] > found[""][1] - 0.002, found


def test_false_reports_by_a_tenth_on_every_server_cost_under_one_percent():
    found = {}
    for liars in (0, 4):
        fleet = Fleet(day_of("rights words", ()))
        peer_network = fleet.peer_network

        def falsify(now, outgoing, peer_network=peer_network):
            falsified = []
            for to, datagram in outgoing:
                ids = peer_network.exchanges[0].words.servers
                reports = [FailureReport(s, datagram.sender, 0, 0, False) for s in ids]
                falsified.append(
                    (
                        to,
                        wire.Datagram(
                            datagram.version,
                            datagram.kind,
                            datagram.sender,
                            datagram.boot_id,
                            datagram.incarnation,
                            datagram.number,
                            datagram.about,
                            datagram.updates,
                            datagram.rows,
                            reports,
                        ),
                    )
                )
            return falsified

        peer_network.falsifiers = dict.fromkeys(range(liars), falsify)
        played = fleet.run()
        assert not played.breaks
        found[liars] = played.earned_fraction()
        if liars:
            assert max(max(k.module_odds for k in share.words.states) for share in peer_network.exchanges) >= 0
    assert found[4] > found[0] - 0.01, found


def test_a_fully_partitioned_fleet_performs_like_one_without_reports():
    dead = (ScenarioEvent(15 * S, "dark", servers=frozenset({2}), announced=False),)
    everybody = frozenset(range(40))
    partitioned = Fleet(day_of("words", dead, peer_links=(PeerLinkFault(0, 99 * S, everybody, everybody),)))
    played = partitioned.run()
    assert sum(share.words.count["heard"] for share in partitioned.peer_network.exchanges) == 0
    alone = Fleet(day_of("", dead))
    assert played.earned_fraction() > alone.run().earned_fraction() - 0.01 and not played.breaks
