"""Whether a site takes calls, by what became of the calls offered to it and by the list.

A site is UP, DARK until a drawn moment, or BACK: on trial, where each answer lets two more calls go, so that use grows
by what the site really answers. A sequential test judges each of its servers; a site is dark once none is left that
the list holds to be serving and the test does not hold to be lost. One dead server of three, with all the calls that
it cuts at once, is the module's matter and leaves the site in use.
"""

from math import log

UP, DARK, BACK = range(3)

# All constants. us = microseconds.
BAD_ODDS, GOOD_ODDS = 0.9, 0.05  # chance of a lost seizure at a lost and at a sound server: far apart
LOST_AT = 4.0  # log odds that call a server lost: two losses with no answer between, as in the module
SCORE_MOST = 8.0  # log odds kept at most, so that a few answers clear it
CUT_PART = 0.9  # of a loss: a call that stood and was cut; more than its answer counted, or a site that cuts stays up
HOLD_US = 2_000_000  # us of the first hold: past the module's skip and a proxy's stand-still
HOLD_MOST_US = 16_000_000  # us of the longest: a dark or flapping site costs each proxy a call in that time
CALM_US = 30_000_000  # us in use after which one doubling of the hold is taken back
TOLD_US = 1_000_000  # us within which each proxy tries a site that the list tells of anew, at a drawn moment
GRANTED = 2  # calls that each call that stands lets go on trial: use doubles in each time that a set-up takes
FULL_USE_US = 3_000_000  # us for which no call may have lacked a grant before a site is held to be up
TRIAL_US = 1_000_000  # us on trial without a grant after which one more call may try: the last may never be told of
GRANTS_MOST = 64.0  # grants kept unused at most: a burst of one proxy


class Site:
    """One site as one proxy sees it. `chance()` gives a share from 0 to 1."""

    __slots__ = (
        "chance",
        "state",
        "scores",
        "until",
        "doubled",
        "calm_at",
        "grants",
        "lacked_at",
        "answered_at",
        "tried_at",
        "back_at",
    )

    def __init__(self, chance):
        self.chance, self.state, self.until = chance, UP, 0
        self.scores = {}  # log odds that it is lost, by server that the list holds to be serving
        self.doubled, self.calm_at = 0, 0  # times that the hold was doubled; since when it is in use without a loss
        self.grants, self.lacked_at, self.answered_at, self.tried_at, self.back_at = 0.0, 0, -1, 0, 0

    def listed(self, now, serving, anew):
        """The list: servers serving now; `anew`: those of them that were not before, or have started again."""
        had = bool(self.scores)
        self.scores = {s: 0.0 if s in anew else self.scores.get(s, 0.0) for s in serving}
        if had and not serving:
            self._dark(now)
        elif anew and self.state == DARK:
            self.until = min(self.until, now + int(TOLD_US * self.chance()))

    def answered(self, now, server):
        self.answered_at = now
        if self.state == DARK or server not in self.scores:
            return  # of a call that went before: no proof that a next one would be
        self.scores[server] = max(0.0, self.scores[server] + log((1 - BAD_ODDS) / (1 - GOOD_ODDS)))
        if self.state == BACK:
            self.grants = min(GRANTS_MOST, self.grants + GRANTED)

    def lost(self, now, server, part=1.0):
        """A seizure that was lost; `part`: a cut call's share of a loss."""
        if self.state == DARK or server not in self.scores:
            return
        self.scores[server] = min(SCORE_MOST, self.scores[server] + part * log(BAD_ODDS / GOOD_ODDS))
        in_vain = self.state == BACK and self.answered_at < self.back_at  # the first trial itself
        if in_vain or min(self.scores.values()) >= LOST_AT:
            self._dark(now)

    def unsent(self):
        """The module sent a call nowhere that this site took: its grant is kept for the next."""
        if self.state == BACK:
            self.grants = min(GRANTS_MOST, self.grants + 1.0)

    def unanswered(self, now, server, lag):
        """A seizure that had no answer for so long: a loss unless the site has answered another meanwhile, for then
        it is slow or lost that one alone, which is the module's matter."""
        if self.answered_at < now - lag:
            self.lost(now, server)

    def _dark(self, now):
        if self.state == UP and now - self.calm_at >= CALM_US:
            self.doubled = max(0, self.doubled - (now - self.calm_at) // CALM_US)
        hold = min(HOLD_MOST_US, HOLD_US << min(self.doubled, 10))
        self.state, self.doubled = DARK, self.doubled + 1
        self.until = now + int(hold * (1 + self.chance()) / 2)  # or the fleet would come back in step

    def takes(self, now):
        """Whether a call may be offered to it now, asked once for each: uses a grant on trial."""
        if not self.scores:
            return False
        if self.state == UP:
            return True
        if self.state == DARK:
            if now < self.until:
                return False
            self.state, self.grants, self.lacked_at, self.back_at = BACK, 1.0, now, now
            self.scores = dict.fromkeys(self.scores, 0.0)
        if self.grants < 1.0 and now - self.tried_at >= TRIAL_US:
            self.grants = 1.0
        if self.grants < 1.0:
            self.lacked_at = now
            return False
        self.tried_at = now
        self.grants -= 1.0
        if now - self.lacked_at >= FULL_USE_US and self.grants >= 1.0:
            self.state, self.calm_at = UP, now
        return True
