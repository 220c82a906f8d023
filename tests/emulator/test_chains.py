"""Calls through a chain of hops: marks on refusals bound the set-ups that a call costs each hop. Every order of refusals
is explored in small chains with the real decision module at each hop; loaded chains show the effect of the marks."""

import pytest

from thorndale import interface as io
from thorndale.emulator.chain import FAILING, Caller, Chain, ChainPlan
from thorndale.emulator.day import S
from thorndale.policy import MAX_SEIZURES, Proxy

SERVE, FULL, FAULTY = "serve", "full", "faulty"
OUTCOMES = {FULL: io.FULL, FAULTY: io.FAULTY}


class ScriptedChain(Chain):
    """One call. Each set-up that arrives at a server takes the next outcome of the script, SERVE at its end."""

    def __init__(self, depth, script, lost_progress=False):
        super().__init__(ChainPlan(depth, 1.0, servers=3, reports=False, origin_marked=True))
        self.script, self.setups_seen, self.lost_progress = list(script), 0, lost_progress
        self.answers, self.refusals = 0, []

    def outcome(self):
        self.run(S)
        self._dial(Caller(0, 1, self.now, True, 5 * S))
        self.run(60 * S)
        return self

    def _on_setup(self, seizure):
        outcome_name = self.script[self.setups_seen] if self.setups_seen < len(self.script) else SERVE
        self.setups_seen += 1
        self.setups_at[seizure.server.hop] += 1
        if outcome_name == SERVE:
            self._on_setup_done(seizure)
        else:
            self._answer_refused(seizure, OUTCOMES[outcome_name], seizure.server.hop, 0)

    def _on_setup_forwarded(self, seizure):
        if not self.lost_progress:
            super()._on_setup_forwarded(seizure)

    def _caller_answered(self, caller):
        self.answers += 1

    def _caller_refused(self, caller, origin_hop, comeback_us):
        self.refusals.append(origin_hop)


def explore(depth, outcome_names, kind=ScriptedChain, **options):
    """Plays every script. One that had more set-ups than outcomes is played again with each outcome in each such place."""
    scripts_left = [()]
    while scripts_left:
        script = scripts_left.pop()
        play = kind(depth, script, **options).outcome()
        yield script, play
        if play.setups_seen > len(script):
            scripts_left += [
                (*script, *[SERVE] * gap, outcome_name)
                for gap in range(play.setups_seen - len(script))
                for outcome_name in outcome_names
            ]


def broken_bounds(script, play, depth):
    """The names of the bounds that a play breaks."""
    broken = list(play.breaks)
    if play.answers + len(play.refusals) != 1:
        broken.append("one final answer")
    if any(count > MAX_SEIZURES for count in play.setups_at[1:]):
        broken.append("set-ups at a hop within the limit of one proxy")
    if sum(play.setups_at) > depth - 1 + MAX_SEIZURES + (MAX_SEIZURES - 1) * (depth - 1):
        broken.append("set-ups of the whole chain")
    if len(script) == 1 and not play.answers:
        broken.append("a single refusal with other servers idle does not fail the call")
    return broken


@pytest.mark.parametrize("lost_progress", [False, True])
@pytest.mark.parametrize(("depth", "outcome_names"), [(1, (FULL, FAULTY)), (2, (FULL, FAULTY)), (3, (FULL,))])
def test_refusals_at_any_hop_cost_each_hop_at_most_the_attempts_of_one_proxy(depth, outcome_names, lost_progress):
    plays = 0
    for script, play in explore(depth, outcome_names, lost_progress=lost_progress):
        assert not broken_bounds(script, play, depth), (script, play.setups_at)
        plays += 1
    assert plays > 3**depth


class MarkLost(ScriptedChain):
    """The servers do not pass the marks on."""

    def _marks_origin(self, leg, origin_hop):
        return False

    def _on_setup_forwarded(self, seizure):
        pass


class MarkOnEverything(ScriptedChain):
    """A server marks its own refusals too."""

    def _marks_origin(self, leg, origin_hop):
        return True


class IgnoresMarks(Proxy):
    """A module that ignores the marks."""

    def _on_forwarded(self, event):
        pass

    def _on_seizure_ended(self, event):
        super()._on_seizure_ended(event._replace(beyond=False))


class RetriesBeyond(Proxy):
    """A module that tries another server after a refusal from further down."""

    def _on_seizure_ended(self, event):
        super()._on_seizure_ended(event)
        pending = self.calls.get(event.call)
        if pending and pending.want in ("reject", "fail"):
            pending.want = "again"


def with_module(module):
    class Planted(ScriptedChain):
        def __init__(self, *given, **options):
            super().__init__(*given, **options)
            for server_hop in self._proxies():
                server_hop.module_host.module = module(7, self._settings())
                listed = tuple(io.Server(s.number, 0, io.SERVING, 0) for s in server_hop.servers)
                server_hop.module_host.add_event(io.Servers(listed, True, True))

        def _proxies(self):
            hop = self.entry_proxies
            while hop:
                yield from hop
                hop = [s.onward for s in hop[0].servers if s.onward is not None]

    return Planted


@pytest.mark.parametrize(
    ("planted", "bound"),
    [
        (MarkLost, "set-ups at a hop within the limit of one proxy"),
        (with_module(IgnoresMarks), "set-ups at a hop within the limit of one proxy"),
        (with_module(RetriesBeyond), "set-ups at a hop within the limit of one proxy"),
        (MarkOnEverything, "a single refusal with other servers idle does not fail the call"),
    ],
)
def test_planted_errors_are_found(planted, bound):
    assert any(bound in broken_bounds(script, play, 2) for script, play in explore(2, (FULL, FAULTY), planted))


@pytest.mark.parametrize("reports", [False, True])
def test_a_server_that_fails_at_the_last_of_four_hops_costs_its_own_part_alone(reports):
    plan = ChainPlan(4, 0.7, length_us=24 * S, reports=reports, named_waits=reports, fault=FAILING)
    before = Chain(plan).play()
    after = Chain(plan._replace(origin_marked=True)).play()
    assert not before.breaks and not after.breaks
    assert after.answered_fraction() > 0.88 and after.answered_fraction() > before.answered_fraction()
    assert sum(after.refused_at[:-1]) <= 0.01 * after.offered


def test_sixteen_hops_carry_what_one_does():
    plan = ChainPlan(16, 0.7, length_us=16 * S, settle_us=3 * S, reports=False, origin_marked=True)
    result = Chain(plan).play()
    assert not result.breaks and result.answered_fraction() > 0.98
    assert max(result.setups_at) < 1.1 * result.offered
