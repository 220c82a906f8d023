"""What proxies tell each other of servers that lose set-ups: hearsay, weaker than what is seen.

A proxy that has lost a set-up at a server tells three others, who tell three each; so all know of a dead server after
a few losses in the whole fleet, where each alone needs two of its own. What is heard adds log odds to the module's
own test (`interface.PeerFailureReport`), and these are its bounds:
- each teller counts once a server, by at most WEIGHT, half as much every HALF_US: three tellers at least shut a
  server;
- a word counts only while it is newer than the last answer to this proxy itself, and than the last answer that any
  other tells of: one success clears all that was lost before it. So who is cut off alone cannot talk others out of a
  server;
- a teller whom an answer contradicts within CONTRADICTED_US counts half from then on, and gains it back in minutes;
- who loses set-ups at most of the servers that it has used takes the fault for its own, and tells nothing;
- a server held to be lost by hearsay is still tried: by one proxy of the fleet every TRIAL_US in the mean, drawn;
- a new process of a server voids all that was said of the former one (`mark`);
- the module never shuts its last way by it.
A liar that praises a dead server takes the fleet back to what each sees alone, and no further.

How to call it: `Words(ids, own, servers, seed, now)`; `met(now, server, answered, lost, since)` for the end of each
set-up, `began(server, mark)` for each process of a server, `heard(now, words)`, `tick(now)` when `next_at()` has
come, which gives words for others to be told; `changed` collects (server, log odds) for the module. Times in whole
microseconds.

The rumour is spread as in Demers et al. 1987; a teller's weight follows the usual caution about second-hand
reputation (Buchegger and Le Boudec 2004: no second-hand report against one's own experience).
"""

from thorndale.fleet.wire import WORDS_MOST, Word
from thorndale.policy import FAILED_LOG_ODDS

WEIGHT, WEIGHT_LEAST = 1.5, 0.1  # log odds of one teller at most, at least: three are needed, and no more than that
HALF_US = 10_000_000  # us in which a word loses half: the design's window
FORGET_US = 60_000_000  # us after which it is forgotten, and in which a teller's weight doubles again
ENOUGH = 8.0  # log odds from which on no more words are passed on: all who hear these have shut the server
TELL_US = 1_000_000  # us between two words of one proxy on one server
TICK_US = 100_000  # us between two looks: words of one moment go together
TRIAL_US = 2_000_000  # us between two trials of the whole fleet at a server that is lost by hearsay
OPEN_US = 10_000_000  # us that a proxy drawn for a trial has for it: its calls may be few
CONTRADICTED_US = 3_000_000  # us between a word and the answer that proves it wrong; later, both may be right
OWN_US = 10_000_000  # us of which a proxy judges whether it is itself to blame
MARK_S = 2  # seconds by which two proxies may take the start of one process of a server differently
NEVER = 1 << 62  # us
STEP = 0.25  # log odds of a change that the module is told of


class Heard:
    """Of one server: last loss by teller, newest answer to others, to this proxy, its own loss, what the module has."""

    __slots__ = ("mark", "lost", "good_at", "own_at", "lost_at", "told_at", "told", "open_until")

    def __init__(self):
        self.mark, self.told = 0, 0.0
        self.clear()

    def clear(self):
        self.lost, self.open_until = {}, 0
        self.good_at = self.own_at = self.lost_at = self.told_at = -FORGET_US


class Words:
    def __init__(self, ids, own, servers, seed, now):
        self.ids, self.own, self.index = ids, ids[own], {wire: n for n, wire in enumerate(servers)}
        self.servers, self.chance_state = servers, seed & (1 << 64) - 1
        self.known = [Heard() for _ in servers]
        self.weight = {}  # teller: (weight, as of)
        self.going, self.changed = [], []  # words to be told to others; (server, odds)
        self.busy = set()  # servers on which something was said
        self.tick_at = NEVER
        self.alive = 1  # members that are there
        self.count = dict.fromkeys(("told", "passed", "heard", "void", "contradicted", "trials", "doubted"), 0)

    def _chance(self):
        self.chance_state = (self.chance_state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.chance_state >> 40) / (1 << 24)

    # ---- what this proxy sees ----

    def began(self, server, mark):
        """A process of the server that began at wall second `mark`, 0 for long ago."""
        known = self.known[server]
        if known.mark != mark:
            known.mark = mark
            known.clear()
            self._note(server, 0.0)

    def met(self, now, server, answered, lost, since):
        """A set-up that went at `since` was answered, or was lost as the module judges."""
        known = self.known[server]
        if answered:
            known.own_at, known.open_until = max(known.own_at, since), 0
            known.told = 0.0  # as the module has set it
            if known.lost:
                self._good(now, server, since, self.own)
        elif lost:
            known.lost_at, known.open_until = since, 0
            if self._doubts(now):
                self.count["doubted"] += 1
            elif now - known.told_at >= TELL_US and self._odds(now, known) < ENOUGH:
                known.told_at = now
                self.count["told"] += 1
                self._pass_on(now, server, self.own, since, False)

    def _doubts(self, now):
        """Whether the fault may be this proxy's own: it loses set-ups at most of the servers that it used."""
        losing = sum(k.lost_at > max(now - OWN_US, k.own_at) for k in self.known)
        answering = sum(k.own_at > max(now - OWN_US, k.lost_at) for k in self.known)
        return losing > 1 and losing > answering

    def _wake(self, now):
        self.tick_at = min(self.tick_at, now + TICK_US)

    def _pass_on(self, now, server, teller, at, good):
        age_ms = min((1 << 20) - 1, max(0, now - at) // 1000)
        word = Word(self.servers[server], teller, self.known[server].mark, age_ms, good)
        if len(self.going) < WORDS_MOST:  # beyond, others say it too
            self.going.append(word)
        self._wake(now)

    # ---- what others say ----

    def heard(self, now, words):
        for word in words:
            server = self.index.get(word.server)
            if server is None or word.teller == self.own or word.teller not in self.ids:
                continue
            known = self.known[server]
            if abs(word.mark - known.mark) > MARK_S:
                self.count["void"] += 1
                continue
            self.count["heard"] += 1
            at = now - word.age_ms * 1000
            if word.good:
                if at > known.good_at and known.lost:
                    self._good(now, server, at, word.teller)
            elif at > known.lost.get(word.teller, now - FORGET_US) + TELL_US // 2:  # else the same word, another way
                if self._odds(now, known) < ENOUGH:
                    self.count["passed"] += 1
                    self._pass_on(now, server, word.teller, at, False)
                known.lost[word.teller] = at
                self.busy.add(server)
                self._wake(now)

    def _good(self, now, server, at, teller):
        """An answer after what was told: it clears that, and who told it a moment before counts less."""
        known = self.known[server]
        for other, lost_at in list(known.lost.items()):
            if lost_at < at:
                del known.lost[other]
                if at - lost_at < CONTRADICTED_US:
                    self.count["contradicted"] += 1
                    self.weight[other] = max(WEIGHT_LEAST, self._weight(now, other) / 2), now
        if at > known.good_at + TELL_US:
            self._pass_on(now, server, teller, at, True)
        known.good_at = max(known.good_at, at)
        self.busy.add(server)
        self._wake(now)

    def _weight(self, now, teller):
        weight, at = self.weight.get(teller, (WEIGHT, now))
        return min(WEIGHT, weight * 2 ** ((now - at) / FORGET_US))

    def _odds(self, now, known):
        since = max(known.own_at, known.good_at)
        return sum(
            self._weight(now, teller) * 0.5 ** ((now - at) / HALF_US) for teller, at in known.lost.items() if at > since
        )

    # ---- what falls due ----

    def next_at(self):
        return self.tick_at

    def tick(self, now):
        """Words for others to be told now."""
        for server in sorted(self.busy):
            known = self.known[server]
            known.lost = {t: at for t, at in known.lost.items() if at > now - FORGET_US}
            odds = self._odds(now, known)
            part = TICK_US / TRIAL_US / max(1, self.alive)
            if odds >= FAILED_LOG_ODDS and known.open_until <= now and self._chance() < part:
                known.open_until = now + OPEN_US
                self.count["trials"] += 1
            self._note(server, 0.0 if known.open_until > now else odds)
            if not known.lost and not known.told:
                self.busy.discard(server)
        self.tick_at = now + TICK_US if self.busy else NEVER
        going, self.going = self.going, []
        return going

    def _note(self, server, odds):
        known = self.known[server]
        over = (odds >= FAILED_LOG_ODDS) != (known.told >= FAILED_LOG_ODDS) or (odds == 0) != (known.told == 0)
        if over or abs(odds - known.told) >= STEP:
            known.told = odds
            self.changed.append((server, odds))

    def view(self):
        """For the log: servers whose hearsay shuts them here, by index, and counts."""
        return [n for n, known in enumerate(self.known) if known.told >= FAILED_LOG_ODDS], dict(self.count)
