"""Runs generated days through the core and checks them against a simple model of the rules: one final answer for each
call in time, one seizure in flight at a time, no set-up to a draining or gone server, the guard time after a cut-off
seizure, and no state left at the end."""

import random

import pytest
from platform_rig import MS, Rig, S, entry

from thorndale import interface as io
from thorndale.platform import isup
from thorndale.platform.releases import DELIVERY_US, RESEND_US

GUARD_US = 250 * MS
CLOSE_CROSSING_US = 50 * MS
MAX_COPIES = DELIVERY_US // RESEND_US + 1  # of a release that no caller's own connection carries


class Model:
    """Checks the messages on the wire. `answering`: callers answer each release that they read. Once a release was
    answered on the connection of its set-up, or on one on which a call was answered before, it may not be repeated;
    other peers may be strangers. A release that the connection of its set-up has not carried may be repeated, at most
    `MAX_COPIES` times, at most once on each connection."""

    def __init__(self, rig, answering):
        self.answering, self.release_connections = answering, {}
        self.answered, self.confirmed = set(), set()  # calls whose release was answered; connections with an answer
        # {call: connection of its set-up}; calls whose release arrived there while it was open; releases to answer
        self.setup_connection, self.received_on_own, self.to_answer = {}, set(), []
        self.rig, self.due, self.in_flight, self.earliest_invite, self.barred = rig, {}, {}, {}, {}
        self.answers, self.abandoned, self.messages_checked, self.last_message, self.crossed = {}, set(), {}, {}, set()

    def check(self):
        rig, now = self.rig, self.rig.now
        for conn, messages in rig.received_by.items():
            for kind, call, _ in messages[self.messages_checked.get(conn, 0) :]:
                self.answers.setdefault(call, []).append(kind)
                self.last_message[call] = conn, now
                kinds = self.answers[call]
                if kinds[2:]:
                    assert kinds.pop() == isup.RELEASE, (call, kinds)
                    assert call not in self.received_on_own, (
                        "sent again though the connection of the set-up has received it"
                    )
                    assert call not in self.answered, "sent again though its caller has answered"
                if kind == isup.ANSWER:
                    self.confirmed.add(conn)
                if kind == isup.RELEASE and kinds[:1] == [isup.ANSWER]:
                    assert conn not in self.release_connections.setdefault(call, set()), "sent twice on one connection"
                    self.release_connections[call].add(conn)
                    copies = len(self.release_connections[call])
                    assert call in self.crossed or copies <= MAX_COPIES, "sent again and again"
                    if self.answering:
                        self.to_answer.append((call, conn))
                    if conn == self.setup_connection.get(call) and conn in rig.core.connections:
                        self.received_on_own.add(call)
                assert kinds in ([isup.ANSWER], [isup.RELEASE], [isup.ANSWER, isup.RELEASE]), (call, kinds)
                assert call not in self.abandoned or len(kinds) > 1 or kinds == [isup.RELEASE]
                assert len(kinds) > 1 or now <= self.due[call] + 50 * MS
            self.messages_checked[conn] = len(messages)
        for call, conn in self.to_answer:
            if conn in rig.core.connections:
                rig.answer_release(call, conn)
                if conn in self.confirmed or conn == self.setup_connection.get(call):
                    self.answered.add(call)
        self.to_answer.clear()
        for key, sent in rig.sent.items():
            for m in sent[self.messages_checked.get(key, 0) :]:
                if m.method == "INVITE":
                    assert not self.in_flight.get(m.call), "two seizures in flight"
                    assert now >= self.earliest_invite.get(m.call, 0), (
                        "the guard time after the earlier seizure was not kept"
                    )
                    host = next(host for k, host, _ in rig.dialled if k == key)
                    assert host not in self.barred, "sent to a draining or gone server"
                    self.in_flight[m.call] = key
                elif m.method == "CANCEL":
                    self.ended(m.call, True)
            self.messages_checked[key] = len(sent)
        for call, key in list(self.in_flight.items()):
            if key in rig.ended or key not in rig.core.links:
                self.ended(call, True)
        for call, due in self.due.items():
            assert call in self.answers or call in self.abandoned or now <= due + 50 * MS, "no answer in time"

    def caller_lost(self, conn):
        """A close may cross a release: the caller has not read it, so it must arrive on another connection."""
        self.abandoned |= set(self.rig.core.connections[conn].setups)
        self.received_on_own -= {call for call, setup_conn in self.setup_connection.items() if setup_conn == conn}
        for call, (conn_of_last, at) in self.last_message.items():
            if call in self.answered:
                continue
            if (
                conn_of_last == conn
                and self.rig.now < at + CLOSE_CROSSING_US
                and self.answers[call] == [isup.ANSWER, isup.RELEASE]
            ):
                self.answers[call].pop()
                self.crossed.add(call)

    def ended(self, call, keeps_guard_time):
        if self.in_flight.pop(call, None) is not None and keeps_guard_time:
            self.earliest_invite[call] = self.rig.now + GUARD_US


def day(seed):
    rng = random.Random(seed)
    rig = Rig()
    model, number, conns, states = Model(rig, bool(seed % 2)), 1, ["c"], {"a": io.SERVING, "b": io.SERVING}
    hosts = {"a": "127.0.1.1", "b": "127.0.1.2"}
    for step in range(400):
        event = rng.random()
        open_invites = [
            (key, m) for key, m in rig.invites() if model.in_flight.get(m.call) == key and key in rig.core.links
        ]
        if event < 0.30:
            within = rng.choice((200, 600, 1200))
            conn = rng.choice(conns)
            call = rig.setup(conn, within=b"%d" % within, redial=rng.random() < 0.2)
            model.due[call], model.setup_connection[call] = rig.now + within * MS, conn
        elif event < 0.62 and open_invites:
            key, m = rng.choice(open_invites)
            status = rng.choices((200, 503, 500, 486, 504, 480), (12, 2, 1, 1, 1, 1))[0]
            model.ended(m.call, status == 504)
            rig.answer(key, m, status, extra=rng.choice(("", "Fail-Word: congestion\r\n", "Fail-Word: engaged\r\n")))
        elif event < 0.66 and rig.core.calls:
            call = rng.choice(sorted(rig.core.calls))
            pending = rig.core.calls[call]
            if pending.central is not None and pending.central.first_open_link():
                rig.bye(pending.central.first_open_link().key, call, rng.choice((16, 41)))
            elif pending.central is None:
                model.abandoned.add(call)
                rig.release(call, pending.connection.key)
        elif event < 0.70 and rig.core.links:
            key = rng.choice(sorted(rig.core.links))
            rig.deliver(
                "server_lost",
                key,
                rng.choice(("lost", "spoilt") if rig.core.links[key].is_open else ("refused", "unreached")),
            )
        elif event < 0.72 and rig.core.links:
            key = rng.choice(sorted(rig.core.links))
            if rig.core.links[key].is_open:
                rig.signal(key, rng.choice((b"\x81" * 30 + b"\r\n\r\n", b"SIP/2.0 200 OK\r\nCSeq: x\r\n\r\n")))
        elif event < 0.74:
            name = rng.choice("ab")
            number += 1
            states[name] = rng.choice((io.SERVING, io.SERVING, io.DRAINING, io.GONE))
            rig.change_list(number, entry(f"s-0000000{name}", hosts[name], states[name], "ab".index(name)))
            model.barred = {hosts[n] for n, state in states.items() if state != io.SERVING}
        elif event < 0.76:
            conn = f"d{step}"
            conns.append(conn)
            rig.caller(conn)
        elif event < 0.77 and len(conns) > 1:
            conn = conns.pop(0)
            model.caller_lost(conn)
            rig.deliver("caller_lost", conn)
        rig.open_dialled()
        model.check()
        for _ in range(rng.randrange(6)):
            rig.advance(5 * MS)
            model.check()
    for _ in range(30):
        rig.advance(50 * MS)
        model.check()
    for call in sorted(rig.core.calls):
        pending = rig.core.calls[call]
        rig.open_dialled()
        link = pending.central.first_open_link()
        if link is not None:
            rig.bye(link.key, call)
    model.check()
    rig.advance(10 * S)
    model.check()
    for call in model.crossed:
        assert model.answers[call] == [isup.ANSWER, isup.RELEASE], "a release was lost with its connection"
    assert set(rig.seizure_ends().values()) <= {1} and len(rig.core.decision_host) == len(rig.core.calls)
    assert all(type(e) is not io.SeizureEnded or e.latency_us >= 0 for e in rig.module_events)


@pytest.mark.parametrize("seed", range(25))
def test_generated_days_keep_the_rules(seed):
    day(seed)
