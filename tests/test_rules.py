"""A slow, plain model of the rules checks every action of the decision module in random load."""

import random

import pytest
from kit import MS, S, settings

from thorndale import interface as io
from thorndale.policy import RETRY_FLOOR, RETRY_SHARE, Proxy

RELEASED_OUTCOMES = (io.TIMED_OUT, io.RESET, io.CANCELLED)
FAILURES = (io.FULL, io.EMPTY, io.BUSY, io.FAULTY, io.RESET, io.UNREACHABLE, io.TIMED_OUT)


class Model:
    """Keeps each call's whole history; asserts the rules on every action, and recounts the retry budget each time."""

    def __init__(self, conf):
        self.conf, self.calls, self.state, self.firsts, self.sends = conf, {}, {}, [], []

    def called(self, now, event):
        self.calls[event.call] = dict(
            due=now + event.answer_within_us,
            out=None,
            sent=0,
            free_at=0,
            over=False,
            redial=event.redial or event.reattempt,
        )

    def ended(self, now, event):
        call = self.calls[event.call]
        call["out"], call["over"] = None, call["over"] or event.final
        if event.outcome in RELEASED_OUTCOMES:
            call["free_at"] = now + self.conf["release_us"]

    def acted(self, now, action):
        call = self.calls[action.call]
        if type(action) is io.Cancel:
            assert call["out"] is not None
            return
        assert not call["over"] and now <= call["due"], "an answer or seizure after the end"
        if type(action) is not io.Seize:
            call["over"] = True
            return
        assert call["out"] is None and call["sent"] < 3, "two seizures in flight, or too many"
        assert now >= call["free_at"], "the retry did not wait for the release"
        assert self.state[action.server] == io.SERVING, "sent to a draining or gone server"
        assert 0 < action.timeout_us <= call["due"] - now
        if call["sent"]:
            self.sends.append((now, action.server))
            # A retry is granted up to one backoff and release time before it is sent: the bounds are wider by that.
            retries = sum(1 for at, s in self.sends if s == action.server and at > now - 9 * S)
            firsts = sum(1 for at, s in self.firsts if s == action.server and at > now - 11 * S)
            assert retries <= max(RETRY_FLOOR, RETRY_SHARE * firsts) + 1, "the retry budget was exceeded"
        elif not call["redial"]:
            self.firsts.append((now, action.server))
        call["out"], call["sent"] = (call["sent"], action.server), call["sent"] + 1


@pytest.mark.parametrize("seed", range(25))
def test_module_and_model_agree(seed):
    rand = random.Random(seed)
    conf = settings(
        resend_us=rand.choice([0, 800 * MS]),
        may_cancel=rand.random() < 0.7,
        client_quota=rand.choice([[], [5.0, 2.0]]),
        over_quota_part=0.2,
    )
    proxy, twin, model = Proxy(seed, conf), Proxy(seed, conf), Model(conf)
    now, number, timers, due = 50 * S, 0, [], []  # due: (when, event)
    arrival_rate, loss, end = rand.uniform(2, 20), rand.choice([0.02, 0.3, 0.8]), now + 40 * S
    # No free line is neither overload nor failure: all calls are retried.
    failures = rand.choice([FAILURES, (io.EMPTY,)])
    servers = {s: [s % 3, io.SERVING, 0] for s in range(rand.randint(1, 4))}
    batch = [io.Servers(tuple(io.Server(s, *figures) for s, figures in servers.items()), True, True)]
    model.state = {s: io.SERVING for s in servers}
    while now < end or not all(c["over"] for c in model.calls.values()):
        while rand.random() < arrival_rate * 0.005 and now < end:
            number += 1
            left, redial = rand.randrange(50, 3600) * MS, rand.random() < 0.2
            batch.append(
                io.Call(
                    number,
                    rand.randrange(2),
                    rand.randrange(2),
                    rand.randrange(50),
                    left,
                    rand.randrange(3),
                    redial,
                    False,
                )
            )
            model.called(now, batch[-1])
        if rand.random() < 0.01:
            s = rand.choice(list(servers))
            state = model.state[s] = rand.choice([io.SERVING, io.SERVING, io.DRAINING, io.GONE])
            started = now if state == io.SERVING and rand.random() < 0.5 else servers[s][2]
            servers[s][1:] = state, started
            batch.append(io.Servers((io.Server(s, *servers[s]),), False, False))
        batch += [io.TimerFired(t.token) for t in timers if t.at_us <= now]
        timers = [t for t in timers if t.at_us > now]
        for event in [e for at, e in due if at <= now]:
            call = model.calls[event.call]
            if call["out"] is None or call["out"][0] != event.seizure:
                continue
            if type(event) is io.Answered:
                call["over"] = True
            else:
                event = event._replace(final=event.final or call["over"])
                model.ended(now, event)
            batch.append(event)
        due = [(at, e) for at, e in due if at > now]
        actions = proxy.handle(now, batch)
        assert actions == twin.handle(now, batch)
        timers += [a for a in actions if type(a) is io.SetTimer]
        for action in [a for a in actions if type(a) not in (io.Log, io.SetTimer)]:
            model.acted(now, action)
            call, lag = model.calls[action.call], rand.randrange(20, 1500) * MS
            if type(action) is io.Cancel:
                due.append((now, io.SeizureEnded(*action, call["out"][1], io.CANCELLED, 0, lag, False, None)))
            elif type(action) is io.Seize:
                seizure, failure = call["sent"] - 1, rand.choice(failures)
                end_of = io.SeizureEnded(action.call, seizure, action.server, failure, 0, lag, False, None)
                if rand.random() < loss or lag >= action.timeout_us:
                    late = end_of.outcome == io.TIMED_OUT or lag > action.timeout_us
                    lag = action.timeout_us if late else lag
                    due.append((now + lag, end_of._replace(latency_us=lag)))
                else:
                    due.append((now + lag, io.Answered(action.call, end_of.seizure, action.server, lag)))
                    report = io.Report(3, 9, lag, 20.0)
                    done = end_of._replace(outcome=io.COMPLETED, final=True, report=report)
                    due.append((now + lag + S, done))
        now, batch = now + 5 * MS, []
    assert number > 20
