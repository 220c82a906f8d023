"""Calls through a chain of hops: what the marks on refusals bound, explored over every order of refusals in small
chains with the real module at each hop, and what they are worth in a loaded chain."""

import pytest

from thorndale import interface as io
from thorndale.emulator.chain import FAILING, Caller, Chain, ChainPlan
from thorndale.emulator.day import S
from thorndale.policy import MAX_SEIZURES, Proxy

SERVE, FULL, FAULTY = "serve", "full", "faulty"
OUTCOMES = {FULL: io.FULL, FAULTY: io.FAULTY}


class ScriptedChain(Chain):
    """One call; each set-up that comes to a server takes the next word of the script, SERVE once it has run out."""

    def __init__(self, depth, script, lost_progress=False):
        super().__init__(ChainPlan(depth, 1.0, servers=3, reports=False, origin_marked=True))
        self.script, self.taken, self.lost_progress = list(script), 0, lost_progress
        self.stands, self.refusals = 0, []

    def outcome(self):
        self.run(S)
        self._dial(Caller(0, 1, self.now, True, 5 * S))
        self.run(60 * S)
        return self

    def _arrive(self, seizure):
        word = self.script[self.taken] if self.taken < len(self.script) else SERVE
        self.taken += 1
        self.setups_at[seizure.server.hop] += 1
        if word == SERVE:
            self._set_up(seizure)
        else:
            self._answer_refused(seizure, OUTCOMES[word], seizure.server.hop, 0)

    def _carried_on(self, seizure):
        if not self.lost_progress:
            super()._carried_on(seizure)

    def _caller_answered(self, caller):
        self.stands += 1

    def _caller_refused(self, caller, origin_hop, comeback_us):
        self.refusals.append(origin_hop)


def explore(depth, words, kind=ScriptedChain, **options):
    """Every script: a play that used more words than it was given is played again with each word in that place."""
    waiting = [()]
    while waiting:
        script = waiting.pop()
        play = kind(depth, script, **options).outcome()
        yield script, play
        if play.taken > len(script):
            waiting += [(*script, *[SERVE] * gap, word) for gap in range(play.taken - len(script)) for word in words]


def faults(script, play, depth):
    """The bounds that a play breaks, by name."""
    found = list(play.breaks)
    if play.stands + len(play.refusals) != 1:
        found.append("one final answer")
    if any(count > MAX_SEIZURES for count in play.setups_at[1:]):
        found.append("set-ups at a hop within one proxy's")
    if sum(play.setups_at) > depth - 1 + MAX_SEIZURES + (MAX_SEIZURES - 1) * (depth - 1):
        found.append("set-ups of the whole chain")
    if len(script) == 1 and not play.stands:
        found.append("one refusal with other servers idle is got over")
    return found


@pytest.mark.parametrize("lost_progress", [False, True])
@pytest.mark.parametrize(("depth", "words"), [(1, (FULL, FAULTY)), (2, (FULL, FAULTY)), (3, (FULL,))])
def test_whatever_is_refused_where_a_call_costs_each_hop_what_one_proxy_spends(depth, words, lost_progress):
    plays = 0
    for script, play in explore(depth, words, lost_progress=lost_progress):
        assert not faults(script, play, depth), (script, play.setups_at)
        plays += 1
    assert plays > 3**depth


class MarkLost(ScriptedChain):
    """The servers do not pass the marks on."""

    def _marked(self, leg, origin_hop):
        return False

    def _carried_on(self, seizure):
        pass


class MarkOnEverything(ScriptedChain):
    """A server marks its own refusals too."""

    def _marked(self, leg, origin_hop):
        return True


class Deaf(Proxy):
    """A module that does not heed the marks."""

    def _on_forwarded(self, event):
        pass

    def _on_seizure_ended(self, event):
        super()._on_seizure_ended(event._replace(beyond=False))


class RetriesBeyond(Proxy):
    """A module that goes again after a refusal from further down."""

    def _on_seizure_ended(self, event):
        super()._on_seizure_ended(event)
        held = self.calls.get(event.call)
        if held and held.want in ("reject", "fail"):
            held.want = "again"


def with_module(module):
    class Planted(ScriptedChain):
        def __init__(self, *given, **options):
            super().__init__(*given, **options)
            for server_hop in self._proxies():
                server_hop.door.module = module(7, self._settings())
                listed = tuple(io.Server(s.number, 0, io.SERVING, 0) for s in server_hop.servers)
                server_hop.door.add_event(io.Servers(listed, True, True))

        def _proxies(self):
            hop = self.entrances
            while hop:
                yield from hop
                hop = [s.onward for s in hop[0].servers if s.onward is not None]

    return Planted


@pytest.mark.parametrize(
    ("planted", "bound"),
    [
        (MarkLost, "set-ups at a hop within one proxy's"),
        (with_module(Deaf), "set-ups at a hop within one proxy's"),
        (with_module(RetriesBeyond), "set-ups at a hop within one proxy's"),
        (MarkOnEverything, "one refusal with other servers idle is got over"),
    ],
)
def test_planted_errors_are_found(planted, bound):
    assert any(bound in faults(script, play, 2) for script, play in explore(2, (FULL, FAULTY), planted))


@pytest.mark.parametrize("reports", [False, True])
def test_a_server_that_fails_at_the_last_of_four_hops_costs_its_own_part_alone(reports):
    plan = ChainPlan(4, 0.7, length_us=24 * S, reports=reports, named_waits=reports, fault=FAILING)
    before = Chain(plan).play()
    after = Chain(plan._replace(origin_marked=True)).play()
    assert not before.breaks and not after.breaks
    assert after.stood_part() > 0.88 and after.stood_part() > before.stood_part()
    assert sum(after.refused_at[:-1]) <= 0.01 * after.offered


def test_sixteen_hops_carry_what_one_does():
    plan = ChainPlan(16, 0.7, length_us=16 * S, settle_us=3 * S, reports=False, origin_marked=True)
    result = Chain(plan).play()
    assert not result.breaks and result.stood_part() > 0.98
    assert max(result.setups_at) < 1.1 * result.offered
