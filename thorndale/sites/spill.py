"""How much of what its own site does not take this proxy may offer to another, so that the sum over all proxies keeps
to what that site takes from outside.

A proxy's part goes by its part of the lost site's calls, which it knows from its own calls standing there and the lines
in use that the servers tell to all; where none are told, by the number of proxies. Highest revenue first.
"""

CREDIT_US = 1_500_000  # us for which the part not used is kept: some calls of one proxy in a fleet of hundreds, and
# no more than that may come at once from all
TRAFFIC_US = 5_000_000  # us over which this proxy's part of a site's calls is reckoned: half the design's window
MIX_PART = 0.02  # weight of a call in the mix of revenues that would spill: some fifty, or the dear ones are chance
TURNED_PART = 0.05  # weight of an own call in the share turned away: some twenty, a few seconds of one proxy
TURNED_NONE, TURNED_ALL = 0.05, 0.5  # share of own calls turned away below which nothing, and at which all that comes
# from outside gives way; wide, or the fleet would swing


class Part:
    """This proxy's part of a site's calls, from its own standing there and the lines in use told there."""

    __slots__ = ("value", "at", "used")

    def __init__(self, instances):
        self.value, self.at, self.used = 1.0 / max(1, instances), 0, {}

    def told(self, server, used):
        self.used[server] = used

    def observe(self, now, standing):
        """While the site is in use; what is known stays in force once it is not."""
        used = sum(self.used.values())
        if used > 0:
            weight = min(1.0, (now - self.at) / TRAFFIC_US)
            self.value += (min(1.0, standing / used) - self.value) * weight
        self.at = now


class Spill:
    """What may go from outside to one site: `rate` set-ups a second of all proxies together."""

    __slots__ = ("rate", "chance", "turned", "credit", "at", "mix")

    def __init__(self, rate, chance):
        self.rate, self.chance, self.turned = rate / 1e6, chance, 0.0
        self.credit, self.at, self.mix = 0.0, 0, {}  # mix: share of the calls that would spill, by revenue

    def own(self, turned_away):
        """A call of that site's own was sent on there, or turned away for want of room: then what comes from outside
        gives way."""
        self.turned += (turned_away - self.turned) * TURNED_PART

    def takes(self, now, part, revenue):
        """Whether a call of this revenue may be offered there, asked once for each; `part`: this proxy's. The part
        is kept as credit, which a draw uses up whatever comes of it: so the sum holds for five proxies and for five
        hundred, whether their calls come apart or at once. What the dearer ones in the mix would take of it is not
        for the cheaper."""
        factor = min(1.0, max(0.0, (TURNED_ALL - self.turned) / (TURNED_ALL - TURNED_NONE)))
        share = self.rate * factor * part
        self.credit = min(self.credit + share * min(now - self.at, CREDIT_US), share * CREDIT_US)
        self.at = now
        self._mixed(revenue)
        dearer = sum(share for other, share in self.mix.items() if other > revenue)
        admitted = self.chance() * self.mix[revenue] < self.credit - dearer
        self.credit = max(0.0, self.credit - 1.0)
        return admitted

    def _mixed(self, revenue):
        weight = MIX_PART if self.mix else 1.0
        self.mix.setdefault(revenue, 0.0)
        for other in self.mix:
            self.mix[other] += ((other == revenue) - self.mix[other]) * weight
