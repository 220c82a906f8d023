"""Generated orders of the events that may cross during a call, with checks after each step and at the end."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_rig import MS, Rig, S, entry

from thorndale import interface as io
from thorndale.platform import isup

HOSTS = {"s-0000000a": "127.0.1.1", "s-0000000b": "127.0.1.2"}


class Life:
    """One call on connection c, another caller on d, and the events that may happen to them."""

    def __init__(self, connected):
        self.rig, self.number = Rig(), 1
        self.rig.open_dialled()
        if not connected:
            for key in list(self.rig.core.links):
                self.rig.deliver("server_lost", key, "lost")
            self.rig.advance(150 * MS)
        self.abandoned_at, self.caller_waits, self.barred, self.invites_checked = None, True, {}, 0
        self.rig.caller("d")
        other = self.rig.setup("d")
        self.rig.deliver(
            "caller_message", "d", (isup.RELEASE, other, isup.encode(isup.RELEASE, other, (isup.CAUSE, b"\x10"))[11:])
        )
        self.call = self.rig.setup("c", within=b"1200")
        self.due = self.rig.now + 1200 * MS
        self.check()

    # messages seen on the wire

    def to_caller(self):
        return [kind for got in self.rig.received_by.values() for kind, call, _ in got if call == self.call]

    def invites(self):
        return [(key, m) for key, m in self.rig.invites() if m.call == self.call.hex()]

    def check(self):
        rig, now = self.rig, self.rig.now
        for key, _m in self.invites()[self.invites_checked :]:
            assert self.abandoned_at is None, "sent for a caller that has abandoned the call"
            server = next(s for s, host in HOSTS.items() if host in [h for k, h, _ in rig.dialled if k == key])
            assert server not in self.barred, "sent to a server that is draining or gone"
        self.invites_checked = len(self.invites())
        kinds = self.to_caller()
        answers = [k for k in kinds if k == isup.ANSWER]
        assert len(answers) <= 1 and kinds[:1] in ([], [isup.ANSWER], [isup.RELEASE])
        assert answers or len(kinds) <= 1, "refused twice"
        assert kinds or not self.caller_waits or now <= self.due + 50 * MS, "no answer in time"
        out = {m.call for _, m in self.invites()}
        assert len(out) <= 1
        assert all(v == 1 for v in rig.seizure_ends().values()), "a seizure ended twice"

    # events, called by name

    def connections_open(self):
        self.rig.open_dialled()

    def short_pause(self):
        self.rig.advance(120 * MS)

    def long_pause(self):
        self.rig.advance(700 * MS)

    def abandons(self):
        if "c" in self.rig.core.connections and self.call in self.rig.core.connections["c"].setups:
            self.abandoned_at, self.caller_waits = self.rig.now, False
        self.rig.release(self.call)

    def closes_connection(self):
        if "c" in self.rig.core.connections:
            if self.call in self.rig.core.connections["c"].setups:
                self.abandoned_at, self.caller_waits = self.rig.now, False
            self.rig.deliver("caller_lost", "c")

    def sends_malformed_message(self):
        """A malformed message with another call id on the caller's connection, which closes it."""
        if "c" in self.rig.core.connections:
            if self.call in self.rig.core.connections["c"].setups:
                self.abandoned_at, self.caller_waits = self.rig.now, False
            self.rig.deliver("caller_message", "c", (99, b"\x99" * 8, b""))

    def change_state(self, state, server=None):
        call = self.rig.core.calls.get(self.call)
        seizure = call.seizure if call is not None else None
        central = seizure.central if seizure is not None else call.central if call is not None else None
        name = central.name if central is not None else "s-0000000a"
        self.number += 1
        self.barred[name] = self.rig.now
        self.rig.change_list(self.number, entry(name, HOSTS[name], state, "ab".index(name[-1])))

    def draining(self):
        self.change_state(io.DRAINING)

    def gone(self):
        self.change_state(io.GONE)

    def answers(self, status=200, **more):
        for key, m in self.invites()[-1:]:
            if key in self.rig.core.links:
                self.rig.answer(key, m, status, **more)

    def answers_503(self):
        self.answers(503, extra="Fail-Word: congestion\r\n")

    def answers_504(self):
        self.answers(504)

    def sends_malformed_answer(self):
        for key, _ in self.invites()[-1:]:
            if key in self.rig.core.links:
                self.rig.signal(key, b"\x81" * 30 + b"\r\n\r\n")

    def releases(self):
        call = self.rig.core.calls.get(self.call)
        if call is not None and call.central is not None and call.central.first_open_link() is not None:
            self.rig.bye(call.central.first_open_link().key, self.call)

    def loses_connection(self):
        for key, _ in self.invites()[-1:]:
            if key in self.rig.core.links:
                self.rig.deliver("server_lost", key, "lost")

    def refuses_connections(self):
        for key, link in list(self.rig.core.links.items()):
            if not link.is_open:
                self.rig.deliver("server_lost", key, "refused")

    def accepts_no_more(self):
        """The caller's connection accepts no more data; its end is reported with the next close."""
        self.caller_waits &= bool(self.to_caller())
        self.rig.closing.add("c")

    def answers_release(self):
        if "c" in self.rig.core.connections:
            self.rig.answer_release(self.call)

    def end(self):
        """Lets all remaining events happen, then checks that nothing is due and no state is left."""
        rig = self.rig
        rig.closing -= {key for key in rig.closing if type(key) is int}
        if "c" in rig.closing and "c" in rig.core.connections:
            self.closes_connection()
        for _ in range(30):
            rig.open_dialled()
            rig.advance(100 * MS)
            self.check()
        was_answered = isup.ANSWER in self.to_caller()
        call = rig.core.calls.get(self.call)
        if call is not None:
            assert was_answered and call.central is not None, "neither answered nor abandoned"
            assert call.central.first_open_link() is not None or call.central.state == io.GONE
            if call.central.first_open_link() is not None:
                rig.bye(call.central.first_open_link().key, self.call)
        rig.advance(9 * S)
        self.check()
        assert self.call not in rig.core.calls and not rig.core.releases.undelivered and not rig.core.releases.waiting
        assert self.to_caller() or not self.caller_waits, "the caller stayed and received no answer"
        assert len(rig.core.decision_host) == 0 and not rig.core.decision_host.module.calls
        assert not any(s.sent_at is None for link in rig.core.links.values() for s in link.in_flight.values())
        assert len(rig.core.timers) < 20
        return was_answered


EVENTS = [
    name
    for name in (
        "connections_open",
        "short_pause",
        "long_pause",
        "abandons",
        "closes_connection",
        "sends_malformed_message",
        "draining",
        "gone",
        "answers",
        "answers_503",
        "answers_504",
        "sends_malformed_answer",
        "releases",
        "loses_connection",
        "refuses_connections",
        "accepts_no_more",
        "answers_release",
    )
]


@settings(max_examples=1500, deadline=None, derandomize=True)
@given(st.booleans(), st.lists(st.sampled_from(EVENTS), min_size=1, max_size=5))
def test_each_order_of_crossing_events_leaves_nothing_due(up, order):
    life = Life(up)
    for name in order:
        getattr(life, name)()
        life.check()
    life.end()


@pytest.mark.parametrize(
    "order",
    [
        ["answers", "releases", "closes_connection"],
        ["answers", "accepts_no_more", "releases", "closes_connection"],
        ["answers", "closes_connection", "releases"],
        ["answers", "sends_malformed_message", "releases"],
        ["answers", "gone", "loses_connection", "closes_connection"],
        ["answers", "draining", "releases"],
    ],
)
def test_an_established_call_is_released_to_a_remaining_caller(order):
    life = Life(True)
    for name in order:
        getattr(life, name)()
        life.check()
    assert life.end()
    kinds = [(conn, kind) for conn, got in life.rig.received_by.items() for kind, call, _ in got if call == life.call]
    assert kinds[-1][1] == isup.RELEASE, kinds
    assert ("d", isup.RELEASE) in kinds or order[-1] == "releases", kinds
