"""All that a proxy and its fleet tell each other, under one clock: members, rights to retries, words on servers.

How to call it: `Share(names, own, servers, seed, now, born, incarnation, rights, words)`, `servers` by name, their
indices those of the module. `heard(now, gram, sender)` for each datagram of a listed member, `tick(now)` when
`next_at()` has come; what this proxy does goes in by `seized`, `ask`, `met` and `began`. All but the last give
[(member, Gram)] to be sent. `events()` gives what the module is to be told, and forgets it. Pure: no I/O, time and
seed from outside.
"""

from thorndale import interface as io
from thorndale.fleet import wire
from thorndale.fleet.members import ALIVE, Members
from thorndale.fleet.rights import Rights
from thorndale.fleet.words import Words

SPREAD = 3  # members told a word at once: with four, the last few are reached sooner and all the others twice more
ANSWERED = (io.BUSY, io.FULL, io.EMPTY)  # ends of a set-up that a sound server gives


class Share:
    def __init__(self, names, own, servers, seed, now, born, incarnation, rights=True, words=True):
        self.members = Members(names, own, seed, now, born, incarnation)
        ids, marks = self.members.ids, [wire.member_id(name) for name in servers]
        self.own = own
        self.rights = Rights(ids, own, marks, seed >> 7, now, born, self._may_be) if rights else None
        self.words = Words(ids, own, marks, seed >> 13, now) if words else None
        self.twice = 0

    def there(self, member):
        return self.members.state[member] in (ALIVE, wire.SUSPECT)

    def _may_be(self, member):
        """A steward is passed over once it is silent; to wait until it is heard of would have each proxy go by another
        one for as long as a fleet takes to join."""
        return self.members.state[member] not in (wire.DEAD, wire.LEFT)

    # ---- what this proxy does ----

    def seized(self, now, server, first):
        if first and self.rights:
            self.rights.first(now, server)

    def ask(self, now, call, server, resume):
        if self.rights is None:
            return []
        self.rights.ask(now, call, server, resume)
        return self._out(now)

    def before(self, events, module):
        """What the module holds of the servers of these events, before it is told them: to be given to `met`."""
        if self.words is None:
            return []
        return [
            (e, module.failure_log_odds[e.server])
            for e in events
            if type(e) in (io.Answered, io.SeizureEnded) and e.server < len(module.failure_log_odds)
        ]

    def met(self, now, before, module):
        """The module has been told those events: what it holds a loss is one, and what it does not may be an answer."""
        for event, score in before:
            if (
                type(event) is io.SeizureEnded and event.outcome == io.FAULTY
            ):  # an answer, and the caller's fault as often
                continue
            answered = type(event) is io.Answered or event.outcome in ANSWERED
            lost = module.failure_log_odds[event.server] > score
            self.words.met(now, event.server, answered and not lost, lost, now - event.latency_us)

    def began(self, server, mark):
        if self.words:
            self.words.began(server, mark)

    def waiting(self):
        return bool(self.rights and self.rights.told or self.words and self.words.changed)

    def events(self):
        found = []
        if self.rights and self.rights.told:
            found += [io.RetryLease(call, until) for call, until in self.rights.told]
            self.rights.told = []
        if self.words and self.words.changed:
            found += [io.PeerFailureReport(server, odds) for server, odds in self.words.changed]
            self.words.changed = []
        return found

    # ---- what is heard, and falls due ----

    def heard(self, now, gram, sender):
        out = self.members.heard(now, gram, sender)
        if gram.sender != self.members.ids[sender] or gram.born != self.members.born[sender]:
            return out  # not what it says, or a former process of that name
        if gram.words and self.words:
            self.words.heard(now, gram.words)
        if gram.kind in (wire.UNITS, wire.STAMP, wire.WANT, wire.GIVE) and self.rights:
            self.rights.heard(now, gram, sender)
        return out + self._out(now)

    def next_at(self):
        return min(part.next_at() for part in (self.members, self.rights, self.words) if part is not None)

    def tick(self, now):
        out = self.members.tick(now) if self.members.next_at() <= now else []
        if self.members.count["twice"] != self.twice:
            self.twice = self.members.count["twice"]
            if self.rights:
                self.rights.named_twice(now)
        if self.rights and self.rights.next_at() <= now:
            self.rights.tick(now)
        if self.words and self.words.next_at() <= now:
            self.words.alive = sum(map(self.there, range(len(self.members.names))))
            going = self.words.tick(now)
            if going:
                out += [(m, self._gram(wire.TELL, 0, 0, words=going)) for m in self._some()]
        return out + self._out(now)

    def leave(self, now):
        return self.members.leave(now)

    def _some(self):
        others = [m for m in range(len(self.members.names)) if m != self.own and self.there(m)]
        return [others.pop(int(self.words._chance() * len(others))) for _ in range(min(SPREAD, len(others)))]

    def _out(self, now):
        if self.rights is None or not self.rights.out:
            return []
        out, self.rights.out = self.rights.out, []
        return [(m, self._gram(kind, number, about, rows=rows)) for m, kind, about, number, rows in out]

    def _gram(self, kind, number, about, rows=(), words=()):
        known, own = self.members, self.own
        return wire.Gram(
            wire.VERSION,
            kind,
            known.ids[own],
            known.born[own],
            known.incarnation[own],
            number,
            about,
            rows=list(rows),
            words=list(words),
        )
