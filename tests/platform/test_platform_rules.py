"""Generated days through the core against a plain model of the rules: one answer a call in its time, one seizure out
at a time, nothing to a server told draining or gone, the release awaited, nothing left at the end."""

import random

import pytest
from platform_rig import MS, Rig, S, entry

from thorndale import interface as io
from thorndale.platform import isup
from thorndale.platform.releases import TOLD_US, UNANSWERED_MOST

RELEASE_US = 250 * MS
CROSS_US = 50 * MS


class Model:
    """What the wire shows, judged slowly. `answering`: callers answer each release that they read, and then none may
    come twice; those that never do may get some of the first ones twice, each by one connection once, where its own
    connection has ended."""

    def __init__(self, rig, answering):
        self.answering, self.again, self.by = answering, set(), {}
        self.first_at, self.answered = (
            {},
            set(),
        )  # {call: when its release came first}; calls whose release was answered
        self.own, self.own_up, self.heard = {}, set(), []  # {call: the connection of its set-up}; got by it and up
        self.rig, self.due, self.out, self.not_before, self.barred = rig, {}, {}, {}, {}
        self.answers, self.left, self.seen, self.told_by, self.crossed = {}, set(), {}, {}, set()

    def look(self):
        rig, now = self.rig, self.rig.now
        for conn, messages in rig.got.items():
            for kind, call, _ in messages[self.seen.get(conn, 0) :]:
                self.answers.setdefault(call, []).append(kind)
                self.told_by[call] = conn, now
                kinds = self.answers[call]
                if kinds[2:]:
                    assert kinds.pop() == isup.RELEASE, (call, kinds)
                    assert call not in self.own_up, "sent again though its caller's own connection has it"
                    assert call not in self.answered, "sent again though its caller has answered"
                    self.again.add(call)
                if kind == isup.RELEASE and kinds[:1] == [isup.ANSWER]:
                    assert conn not in self.by.setdefault(call, set()), "twice by one connection"
                    self.by[call].add(conn)
                    self.first_at.setdefault(call, now)
                    if self.answering:
                        self.heard.append((call, conn))
                    if conn == self.own.get(call) and conn in rig.core.connections:
                        self.own_up.add(call)
                assert kinds in ([isup.ANSWER], [isup.RELEASE], [isup.ANSWER, isup.RELEASE]), (call, kinds)
                assert call not in self.left or len(kinds) > 1 or kinds == [isup.RELEASE]
                assert len(kinds) > 1 or now <= self.due[call] + 50 * MS
            self.seen[conn] = len(messages)
        for call, conn in self.heard:
            if conn in rig.core.connections:
                rig.heard(call, conn)
                self.answered.add(call)
        self.heard.clear()
        for key, sent in rig.sent.items():
            for m in sent[self.seen.get(key, 0) :]:
                if m.method == "INVITE":
                    assert not self.out.get(m.call), "two seizures out"
                    assert now >= self.not_before.get(m.call, 0), "the release was not awaited"
                    host = next(host for k, host, _ in rig.dialled if k == key)
                    assert host not in self.barred, "sent to a server told draining or gone"
                    self.out[m.call] = key
                elif m.method == "CANCEL":
                    self.ended(m.call, True)
            self.seen[key] = len(sent)
        for call, key in list(self.out.items()):
            if key in rig.ended or key not in rig.core.links:
                self.ended(call, True)
        for call, due in self.due.items():
            assert call in self.answers or call in self.left or now <= due + 50 * MS, "no answer in time"

    def finish(self):
        first = sorted(self.first_at.values())
        if not self.answering and len(first) >= UNANSWERED_MOST:
            known_at = first[UNANSWERED_MOST - 1] + TOLD_US + 100 * MS
            late = [call for call in self.again - self.crossed if self.first_at[call] > known_at]
            assert not late, "sent again though callers never answer"

    def caller_lost(self, conn):
        """A close that crosses a release: the caller has not read it, and it has to come by another connection."""
        self.left |= set(self.rig.core.connections[conn].open)
        self.own_up -= {call for call, own in self.own.items() if own == conn}
        for call, (by, at) in self.told_by.items():
            if call in self.answered:
                continue
            if by == conn and self.rig.now < at + CROSS_US and self.answers[call] == [isup.ANSWER, isup.RELEASE]:
                self.answers[call].pop()
                self.crossed.add(call)

    def ended(self, call, wait):
        if self.out.pop(call, None) is not None and wait:
            self.not_before[call] = self.rig.now + RELEASE_US


def day(seed):
    chance = random.Random(seed)
    rig = Rig()
    model, number, conns, states = Model(rig, bool(seed % 2)), 1, ["c"], {"a": io.SERVING, "b": io.SERVING}
    hosts = {"a": "127.0.1.1", "b": "127.0.1.2"}
    for step in range(400):
        what = chance.random()
        open_out = [(key, m) for key, m in rig.invites() if model.out.get(m.call) == key and key in rig.core.links]
        if what < 0.30:
            within = chance.choice((200, 600, 1200))
            conn = chance.choice(conns)
            call = rig.setup(conn, within=b"%d" % within, redial=chance.random() < 0.2)
            model.due[call], model.own[call] = rig.now + within * MS, conn
        elif what < 0.62 and open_out:
            key, m = chance.choice(open_out)
            status = chance.choices((200, 503, 500, 486, 504, 480), (12, 2, 1, 1, 1, 1))[0]
            model.ended(m.call, status == 504)
            rig.answer(key, m, status, extra=chance.choice(("", "Fail-Word: congestion\r\n", "Fail-Word: engaged\r\n")))
        elif what < 0.66 and rig.core.calls:
            call = chance.choice(sorted(rig.core.calls))
            held = rig.core.calls[call]
            if held.central is not None and held.central.any_open():
                rig.bye(held.central.any_open().key, call, chance.choice((16, 41)))
            elif held.central is None:
                model.left.add(call)
                rig.release(call, held.connection.key)
        elif what < 0.70 and rig.core.links:
            key = chance.choice(sorted(rig.core.links))
            rig.do(
                "server_lost",
                key,
                chance.choice(("lost", "spoilt") if rig.core.links[key].opened else ("refused", "unreached")),
            )
        elif what < 0.72 and rig.core.links:
            key = chance.choice(sorted(rig.core.links))
            if rig.core.links[key].opened:
                rig.signal(key, chance.choice((b"\x81" * 30 + b"\r\n\r\n", b"SIP/2.0 200 OK\r\nCSeq: x\r\n\r\n")))
        elif what < 0.74:
            name = chance.choice("ab")
            number += 1
            states[name] = chance.choice((io.SERVING, io.SERVING, io.DRAINING, io.GONE))
            rig.listed(number, entry(f"s-0000000{name}", hosts[name], states[name], "ab".index(name)))
            model.barred = {hosts[n] for n, state in states.items() if state != io.SERVING}
        elif what < 0.76:
            conn = f"d{step}"
            conns.append(conn)
            rig.caller(conn)
        elif what < 0.77 and len(conns) > 1:
            conn = conns.pop(0)
            model.caller_lost(conn)
            rig.do("caller_lost", conn)
        rig.up()
        model.look()
        for _ in range(chance.randrange(6)):
            rig.later(5 * MS)
            model.look()
    for _ in range(30):
        rig.later(50 * MS)
        model.look()
    for call in sorted(rig.core.calls):
        held = rig.core.calls[call]
        rig.up()
        link = held.central.any_open()
        if link is not None:
            rig.bye(link.key, call)
    model.look()
    rig.later(10 * S)
    model.look()
    model.finish()
    for call in model.crossed:
        assert model.answers[call] == [isup.ANSWER, isup.RELEASE], "a release lost with its connection"
    assert set(rig.ends().values()) <= {1} and len(rig.core.door) == len(rig.core.calls)
    assert all(type(e) is not io.SeizureEnded or e.latency_us >= 0 for e in rig.told)


@pytest.mark.parametrize("seed", range(25))
def test_generated_days_keep_the_rules(seed):
    day(seed)
