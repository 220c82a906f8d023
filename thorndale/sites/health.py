"""Whether a site accepts calls, based on the outcomes of the calls offered to it and on the server list.

A site is UP, DARK until a random moment, or ON_TRIAL. On trial each answer admits two more calls, so that use grows
with what the site really answers. A sequential test judges each server of the site; a site is dark once none is left
that the list reports as serving and the test does not consider failed. If one server of three fails and cuts all its
calls at once, the decision module handles it and the site stays in use.
"""

from math import log

UP, DARK, ON_TRIAL = range(3)

# Probability that a seizure is lost at a failed and at a healthy server: far apart, so that few seizures decide.
LOSS_RATE_FAILED, LOSS_RATE_HEALTHY = 0.9, 0.05
FAILED_LOG_ODDS = 4.0  # a server is failed from here: two losses with no answer between them, as in the module
MAX_LOG_ODDS = 8.0  # upper bound, so that a few answers clear a server
CUT_CALL_WEIGHT = 0.9  # share of a loss; above the weight of the call's answer, or a site that cuts calls stays up
FIRST_HOLD_US = 2_000_000  # longer than the module's skip time and than a stall of a proxy
MAX_HOLD_US = 16_000_000  # a dark or flapping site costs each proxy one call in that time
HOLD_DECAY_US = 30_000_000  # time in use after which one doubling of the hold is undone
LISTED_TRIAL_SPREAD_US = 1_000_000  # proxies try a site that the list reports again at random moments within this time
GRANTS_PER_ANSWER = 2  # calls that each answered call admits on trial: use doubles in each set-up time
FULL_USE_US = 3_000_000  # a site is up once no call has lacked a grant for this long
TRIAL_INTERVAL_US = 1_000_000  # without a grant, one more trial call: the last one's outcome may never be reported
MAX_GRANTS = 64.0  # unused grants kept: a burst at one proxy


class SiteHealth:
    """The health of one site as one proxy estimates it. `random()` gives a number from 0 to 1."""

    __slots__ = (
        "random",
        "state",
        "log_odds",
        "dark_until",
        "hold_doublings",
        "up_since",
        "grants",
        "grant_lacked_at",
        "last_answer_at",
        "last_trial_at",
        "trial_began_at",
    )

    def __init__(self, random):
        self.random, self.state, self.dark_until = random, UP, 0
        self.log_odds = {}  # log odds that a server has failed, for each that the list reports as serving
        self.hold_doublings, self.up_since = 0, 0
        self.grants, self.grant_lacked_at, self.last_answer_at, self.last_trial_at, self.trial_began_at = (
            0.0,
            0,
            -1,
            0,
            0,
        )

    def update_servers(self, now, serving, restarted):
        """Applies the list: the servers serving now; `restarted`: those of them that were not serving before or have
        started again."""
        had_servers = bool(self.log_odds)
        self.log_odds = {s: 0.0 if s in restarted else self.log_odds.get(s, 0.0) for s in serving}
        if had_servers and not serving:
            self._go_dark(now)
        elif restarted and self.state == DARK:
            self.dark_until = min(self.dark_until, now + int(LISTED_TRIAL_SPREAD_US * self.random()))

    def record_answer(self, now, server):
        self.last_answer_at = now
        if self.state == DARK or server not in self.log_odds:
            return  # of a call offered earlier: no evidence that the next one would be answered
        self.log_odds[server] = max(0.0, self.log_odds[server] + log((1 - LOSS_RATE_FAILED) / (1 - LOSS_RATE_HEALTHY)))
        if self.state == ON_TRIAL:
            self.grants = min(MAX_GRANTS, self.grants + GRANTS_PER_ANSWER)

    def record_loss(self, now, server, weight=1.0):
        """Records a lost seizure; `weight`: the share of a loss that a cut call counts for."""
        if self.state == DARK or server not in self.log_odds:
            return
        self.log_odds[server] = min(
            MAX_LOG_ODDS, self.log_odds[server] + weight * log(LOSS_RATE_FAILED / LOSS_RATE_HEALTHY)
        )
        trial_failed = self.state == ON_TRIAL and self.last_answer_at < self.trial_began_at  # the first trial call
        if trial_failed or min(self.log_odds.values()) >= FAILED_LOG_ODDS:
            self._go_dark(now)

    def return_grant(self):
        """The module did not send a call that this site admitted: its grant stays available for the next one."""
        if self.state == ON_TRIAL:
            self.grants = min(MAX_GRANTS, self.grants + 1.0)

    def record_timeout(self, now, server, elapsed_us):
        """Records a seizure left unanswered for `elapsed_us`. It is a loss unless the site has answered another call
        meanwhile: then the site is slow or has lost only this call, which the module handles."""
        if self.last_answer_at < now - elapsed_us:
            self.record_loss(now, server)

    def _go_dark(self, now):
        if self.state == UP and now - self.up_since >= HOLD_DECAY_US:
            self.hold_doublings = max(0, self.hold_doublings - (now - self.up_since) // HOLD_DECAY_US)
        hold = min(MAX_HOLD_US, FIRST_HOLD_US << min(self.hold_doublings, 10))
        self.state, self.hold_doublings = DARK, self.hold_doublings + 1
        self.dark_until = now + int(hold * (1 + self.random()) / 2)  # random, or the whole fleet would return in step

    def admit(self, now):
        """Whether a call may be offered to the site now; called once for each call, since it uses a grant on trial."""
        if not self.log_odds:
            return False
        if self.state == UP:
            return True
        if self.state == DARK:
            if now < self.dark_until:
                return False
            self.state, self.grants, self.grant_lacked_at, self.trial_began_at = ON_TRIAL, 1.0, now, now
            self.log_odds = dict.fromkeys(self.log_odds, 0.0)
        if self.grants < 1.0 and now - self.last_trial_at >= TRIAL_INTERVAL_US:
            self.grants = 1.0
        if self.grants < 1.0:
            self.grant_lacked_at = now
            return False
        self.last_trial_at = now
        self.grants -= 1.0
        if now - self.grant_lacked_at >= FULL_USE_US and self.grants >= 1.0:
            self.state, self.up_since = UP, now
        return True
