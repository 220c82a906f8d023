"""How many of the calls that their own site does not accept this proxy may offer to another site, so that the sum over
all proxies stays within what that site accepts from outside.

Each proxy gets the share of this limit that it has of the lost site's calls. It computes that share from its own
established calls there and the lines in use that the servers report to all proxies; without such reports, from the
number of proxies. Calls of the highest revenue go first.
"""

# How long an unused share is kept as credit: enough for some calls of one proxy in a fleet of hundreds, and the most
# that all proxies may send at once.
MAX_CREDIT_US = 1_500_000
SHARE_WINDOW_US = 5_000_000  # window of this proxy's share of a site's calls: half the retry budget's window
MIX_WEIGHT = 0.02  # of a call in the revenue mix: some fifty calls, or the share of high-revenue calls is random noise
REJECTED_WEIGHT = 0.05  # of an own call in the rejected share: some twenty calls, a few seconds of one proxy
# Rejected share of a site's own calls from which overflow is reduced, and at which it stops; a wide range, or the fleet
# would oscillate.
REJECTED_SHARE_REDUCE, REJECTED_SHARE_STOP = 0.05, 0.5


class FleetShare:
    """This proxy's share of the calls at a site, from its own established calls and the lines in use reported there."""

    __slots__ = ("value", "updated_at", "lines_in_use")

    def __init__(self, instances):
        self.value, self.updated_at, self.lines_in_use = 1.0 / max(1, instances), 0, {}

    def report_lines(self, server, lines_in_use):
        self.lines_in_use[server] = lines_in_use

    def update(self, now, established):
        """Called while the site is in use; the last value stays in force once it is not."""
        lines_in_use = sum(self.lines_in_use.values())
        if lines_in_use > 0:
            weight = min(1.0, (now - self.updated_at) / SHARE_WINDOW_US)
            self.value += (min(1.0, established / lines_in_use) - self.value) * weight
        self.updated_at = now


class OverflowLimit:
    """The limit on calls from other sites to one site: `rate` set-ups a second of all proxies together."""

    __slots__ = ("rate", "random", "rejected_share", "credit", "updated_at", "mix")

    def __init__(self, rate, random):
        self.rate, self.random, self.rejected_share = rate / 1e6, random, 0.0
        self.credit, self.updated_at, self.mix = 0.0, 0, {}  # mix: share of the overflowing calls, by revenue

    def record_own_call(self, rejected):
        """Records whether a call of the site's own was rejected or sent on for lack of capacity; if so, calls from
        outside give way."""
        self.rejected_share += (rejected - self.rejected_share) * REJECTED_WEIGHT

    def admit(self, now, fleet_share, revenue):
        """Whether a call of this revenue may be offered to the site; called once for each call. `fleet_share`: this
        proxy's share. The proxy's share of the limit accumulates as credit, and each attempt uses up credit whether or
        not the call is admitted: so the sum holds for five proxies and for five hundred, whether their calls arrive
        spread out or at once. Credit that the calls of higher revenue in the mix would use is reserved for them."""
        factor = min(
            1.0, max(0.0, (REJECTED_SHARE_STOP - self.rejected_share) / (REJECTED_SHARE_STOP - REJECTED_SHARE_REDUCE))
        )
        own_rate = self.rate * factor * fleet_share
        self.credit = min(self.credit + own_rate * min(now - self.updated_at, MAX_CREDIT_US), own_rate * MAX_CREDIT_US)
        self.updated_at = now
        self._update_mix(revenue)
        reserved = sum(share for other, share in self.mix.items() if other > revenue)
        admitted = self.random() * self.mix[revenue] < self.credit - reserved
        self.credit = max(0.0, self.credit - 1.0)
        return admitted

    def _update_mix(self, revenue):
        weight = MIX_WEIGHT if self.mix else 1.0
        self.mix.setdefault(revenue, 0.0)
        for other in self.mix:
            self.mix[other] += ((other == revenue) - self.mix[other]) * weight
