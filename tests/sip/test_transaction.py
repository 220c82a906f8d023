"""The four transaction state machines in virtual time, on datagrams and on streams."""

from thorndale.sip import message as m
from thorndale.sip.transaction import (
    CLIENT,
    INVITE_CLIENT,
    INVITE_SERVER,
    SERVER,
    Hop,
    TimerDurations,
    TransactionLayer,
)
from thorndale.timers import Timers

UDP, TCP = Hop("udp", "127.0.0.1", 9), Hop("tcp", "127.0.0.1", 9, 3)


def request_bytes(method="INVITE", branch="z9hG4bKa", seq=1, to="", call="c"):
    return (
        f"{method} sip:x@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:9;branch={branch}\r\nFrom: <sip:a@b>;tag=f\r\n"
        f"To: <sip:x@y>{to}\r\nCall-ID: {call}\r\nCSeq: {seq} {method}\r\n\r\n"
    ).encode()


class User:
    def __init__(self):
        self.now, self.sent, self.callbacks = 0, [], []
        self.timers = Timers()
        self.layer = TransactionLayer(
            self.timers, TimerDurations(), 100, self, lambda hop, data: self.sent.append((self.now, m.parse(data)))
        )

    def receive(self, data, hop=UDP):
        self.layer.receive(self.now, m.parse(data), hop)

    def run(self, us):
        end = self.now + us
        while (at := self.timers.next_at()) is not None and at <= end:
            self.now = at
            self.timers.run(at)
        self.now = end

    def times(self):
        seconds, self.sent = [t / 1e6 for t, _ in self.sent], []
        return seconds

    def request(self, now, tx, message):
        self.callbacks.append(("request", tx))

    def ack(self, now, message, hop):
        self.callbacks.append(("ack", message))

    def stray(self, now, message, hop):
        self.callbacks.append(("stray", message))

    def full(self, now, message, hop):
        self.callbacks.append(("full", message))

    def response(self, now, tx, message):
        self.callbacks.append((message.status, tx))

    def failed(self, now, tx, kind):
        self.callbacks.append((kind, tx))

    def answer(self, tx, status, tag="t"):
        self.receive(m.response_to(tx.message, status, tag).encode(), tx.hop)

    def kinds(self):
        kinds, self.callbacks = [kind for kind, _ in self.callbacks], []
        return kinds


def test_every_state_in_the_tables_is_reachable():
    for table, first in (
        (INVITE_CLIENT, "calling"),
        (CLIENT, "trying"),
        (INVITE_SERVER, "proceeding"),
        (SERVER, "trying"),
    ):
        reached, added = {first}, True
        while added:
            more = {row[0] for (state, _), row in table.items() if state in reached} | reached
            added, reached = more != reached, more
        assert {state for state, _ in table} <= reached and "terminated" in reached


def test_invite_client_repeats_and_times_out_on_datagrams_only():
    user = User()
    user.layer.request(0, m.parse(request_bytes()), UDP, user)
    user.run(40_000_000)
    assert user.times() == [0, 0.5, 1.5, 3.5, 7.5, 15.5, 31.5] and user.kinds() == ["timeout"]
    user.layer.request(user.now, m.parse(request_bytes(branch="z9hG4bKb")), TCP, user)
    user.run(40_000_000)
    assert len(user.times()) == 1 and user.kinds() == ["timeout"] and len(user.layer) == len(user.timers) == 0


def test_invite_client_acks_each_refusal_and_lingers_for_timer_d():
    user = User()
    tx = user.layer.request(0, m.parse(request_bytes()), UDP, user)
    user.answer(tx, 100)
    user.run(5_000_000)
    user.answer(tx, 486)
    user.answer(tx, 486)
    acks = [message for _, message in user.sent if message.method == "ACK"]
    assert len(acks) == 2 and acks[0].to_tag == "t" and acks[0].cseq == (1, "ACK")
    assert acks[0].get("via") == tx.message.get("via") and user.kinds() == [100, 486]
    user.run(31_000_000)
    assert len(user.layer) == 1
    user.run(2_000_000)
    assert len(user.layer) == 0 and not user.timers


def test_accepted_takes_every_200_and_nothing_else():
    user = User()
    tx = user.layer.request(0, m.parse(request_bytes()), TCP, user)
    user.answer(tx, 200)
    user.answer(tx, 200, "other")
    user.answer(tx, 486)
    assert user.kinds() == [200, 200]
    user.run(33_000_000)
    user.answer(tx, 200)
    assert user.kinds() == ["stray"]


def test_an_abandoned_invite_is_not_retransmitted_but_its_response_is_delivered():
    user = User()
    tx = user.layer.request(0, m.parse(request_bytes()), UDP, user)
    tx.stop_retransmitting(0)
    user.run(10_000_000)
    assert len(user.times()) == 1
    user.answer(tx, 180)
    assert user.kinds() == [180]


def test_client_on_datagrams():
    user = User()
    tx = user.layer.request(0, m.parse(request_bytes("BYE")), UDP, user)
    user.run(33_000_000)
    assert user.times() == [0, 0.5, 1.5, 3.5, 7.5, 11.5, 15.5, 19.5, 23.5, 27.5, 31.5] and user.kinds() == ["timeout"]
    tx = user.layer.request(user.now, m.parse(request_bytes("BYE", "z9hG4bKc")), UDP, user)
    user.answer(tx, 100)
    user.sent.clear()
    user.run(9_000_000)
    assert len(user.times()) >= 2  # timer E continues at T2 in the state "proceeding"
    ok = m.response_to(tx.message, 200, "t").encode()
    user.receive(ok)
    user.receive(ok)
    assert user.kinds() == [100, 200]
    user.run(6_000_000)
    assert len(user.layer) == 0 and not user.timers


def test_invite_server_repeats_its_refusal_until_the_ack():
    user = User()
    user.receive(request_bytes())
    tx = user.callbacks[0][1]
    tx.respond(0, 486, "t")
    user.run(4_000_000)
    assert user.times() == [0, 0.5, 1.5, 3.5]
    user.receive(request_bytes())
    assert len(user.times()) == 1
    user.receive(request_bytes("ACK", seq=1, to=";tag=t"))
    user.run(4_000_000)
    user.receive(request_bytes("ACK", seq=1, to=";tag=t"))
    assert user.times() == [] and user.kinds() == ["request"]
    user.run(2_000_000)
    assert len(user.layer) == 0 and not user.layer.invites_by_identity


def test_invite_server_without_ack():
    user = User()
    user.receive(request_bytes(), TCP)
    user.callbacks[0][1].respond(0, 486, "t")
    user.run(33_000_000)
    assert len(user.times()) == 1 and user.kinds() == ["request", "no ack"]  # nothing is retransmitted on a stream


def test_acks_of_200s_and_repeated_invites_after_them():
    user = User()
    user.receive(request_bytes())
    tx = user.callbacks[0][1]
    tx.respond(0, 200, "t")
    user.receive(request_bytes())
    user.receive(request_bytes("ACK", branch="z9hG4bKack", to=";tag=t"))
    assert len(user.times()) == 1 and user.kinds() == ["request", "ack"]
    user.run(32_000_001)
    assert len(user.layer) == 0


def test_server_repeats_its_answer():
    user = User()
    user.receive(request_bytes("OPTIONS"))
    user.receive(request_bytes("OPTIONS"))
    tx = user.callbacks[0][1]
    tx.respond(0, 200, "t")
    tx.respond(0, 500, "t")
    user.receive(request_bytes("OPTIONS"))
    assert [message.status for _, message in user.sent] == [200, 200] and user.kinds() == ["request"]
    user.run(32_000_001)
    assert len(user.layer) == 0


def test_cancel_finds_its_invite_and_only_that():
    user = User()
    user.receive(request_bytes())
    user.receive(request_bytes(branch="z9hG4bKz", call="d"))
    first = user.callbacks[0][1]
    assert user.layer.cancelled_invite(m.parse(request_bytes("CANCEL"))) is first
    assert user.layer.cancelled_invite(m.parse(request_bytes("CANCEL", call="e"))) is None


def test_branches_of_before_rfc_3261():
    user = User()
    old = request_bytes(branch="old")
    user.receive(old)
    user.receive(old)
    user.receive(request_bytes(branch="old", seq=2))
    assert user.kinds() == ["request", "request"]


def test_a_lost_connection_ends_its_transactions():
    user = User()
    user.layer.request(0, m.parse(request_bytes()), TCP, user)
    user.receive(request_bytes(call="z"), TCP)
    user.layer.request(0, m.parse(request_bytes("BYE", "z9hG4bKd")), UDP, user)
    user.kinds()
    user.layer.fail_hop(0, TCP, "lost")
    assert sorted(user.kinds()) == ["lost", "lost"]
    user.layer.fail_hop(0, UDP, "refused")
    assert user.kinds() == ["refused"] and len(user.layer) == 0 and not user.layer.by_hop and not user.timers


def test_the_bound_on_transactions():
    user = User()
    for n in range(105):
        user.receive(request_bytes(branch=f"z9hG4bK{n}", call=str(n)))
    assert user.kinds().count("full") == 5 and len(user.layer) == 100
    assert user.layer.request(0, m.parse(request_bytes("BYE", "z9hG4bKe")), UDP, user) is None


def test_timers_are_swept_and_run_in_order():
    class Owner:
        def __init__(self):
            self.fired = []

        def due(self, now, name):
            self.fired.append(name)

    timers, owner = Timers(), Owner()
    handles = [timers.set(n % 7, owner, n) for n in range(20_000)]
    for n, handle in enumerate(handles):
        if n % 5:
            timers.cancel(handle)
            timers.cancel(handle)
    assert len(timers) == 4_000
    assert timers.run(3) == len(owner.fired) and owner.fired == sorted(owner.fired, key=lambda n: (n % 7, n))
    timers.run(10)
    assert len(timers) == 0 and timers.next_at() is None and len(owner.fired) == 4_000
