"""Plans the overflow between sites for the loss of a site or server: a linear program (HiGHS, through highspy) finds
the distribution that loses the least revenue and names the limiting constraints. Pure: values in, values out.

One call a second of type t from origin o at site s uses one set-up a second of that site's capacity and as many of its
lines as t's mean length in seconds. The capacity of a site is the sum over its servers; within a site the decision
module distributes the calls.
"""

from typing import NamedTuple

import highspy

from thorndale.sites.topology import SitesError

ROUNDING_PER_S = 1e-6  # calls a second below which a value is the solver's rounding
DISTANCE_PENALTY = 1e-4  # revenue a call for each step away from the own site: among equal plans the least moves wins
SLACK_PENALTY = 1e6  # revenue a call, above that of any call: only a constraint that cannot be met is relaxed


class Capacity(NamedTuple):
    """A server: set-ups a second when warm, and lines."""

    site: int
    per_s: float
    lines: float


class Load(NamedTuple):
    """`offered[t][o]`: calls a second of type t from origin site o. `hold_s`, `revenue`: by type. `order[t][o]`: the
    sites that such a call may be offered to. `keep_own`: share of its own calls that each remaining site must serve."""

    offered: list
    hold_s: list
    revenue: list
    order: list
    keep_own: float = 0.0


class Plan(NamedTuple):
    """`served[t][o][s]`: calls a second. `outside[s]`: set-ups a second of other sites' calls at s.
    `earned`, `offered_revenue`: revenue a second. `bottlenecks`: (text, revenue a second that one unit more adds)."""

    served: list
    outside: list
    earned: float
    offered_revenue: float
    bottlenecks: list


def plan(servers, load, sites, lost_site=None, lost_server=None):
    """The Plan for one loss (or none). `servers` is {name: Capacity}, `sites` the names. Raises SitesError that names
    the constraints that cannot be met."""
    up = {n: c for n, c in servers.items() if n != lost_server and c.site != lost_site}
    program = _LinearProgram(up, load, sites, lost_site)
    if not program.solve():
        relaxed = _LinearProgram(up, load, sites, lost_site, slack=True)
        if not relaxed.solve():
            raise SitesError(f"the plan has no solution, even with relaxed constraints: {relaxed.status()}")
        raise SitesError("the plan has no solution: " + "; ".join(relaxed.violated()))
    return program.plan()


class _LinearProgram:
    def __init__(self, up, load, sites, lost, slack=False):
        self.load, self.sites, self.highs = load, sites, highspy.Highs()
        self.highs.setOptionValue("output_flag", False)
        self.constraint_names, self.slacks, self.flows = [], [], {}
        remaining = sorted({c.site for c in up.values()})
        add = self.highs.addVariable
        for t, origins in enumerate(load.offered):
            for o, offered in enumerate(origins):
                for step, s in enumerate(load.order[t][o]):
                    if s in remaining:
                        self.flows[t, o, s] = add(0, offered, load.revenue[t] - DISTANCE_PENALTY * step)
        for t, origins in enumerate(load.offered):
            for o, offered in enumerate(origins):
                of_origin = [v for (t_, o_, _), v in self.flows.items() if (t_, o_) == (t, o)]
                if of_origin:
                    self._add_limit(f"calls offered of type {t} from {sites[o]}", sum(of_origin), offered)
        for s in remaining:
            here = [(k, v) for k, v in self.flows.items() if k[2] == s]
            if not here:
                continue
            servers = [c for c in up.values() if c.site == s]
            self._add_limit(f"set-ups a second at {sites[s]}", sum(v for _, v in here), sum(c.per_s for c in servers))
            self._add_limit(
                f"lines at {sites[s]}", sum(v * load.hold_s[k[0]] for k, v in here), sum(c.lines for c in servers)
            )
        if load.keep_own:
            for s in remaining:
                self._require_own_share(s, load.keep_own, slack)

    def _require_own_share(self, s, share, slack):
        own = [v for (_, o, at), v in self.flows.items() if o == s and at == s]
        least = share * sum(row[s] for t, row in enumerate(self.load.offered) if s in self.load.order[t][s])
        if not own:
            return
        served = sum(own)
        if slack:
            missing = self.highs.addVariable(0, highspy.kHighsInf, -SLACK_PENALTY)
            text = f"{self.sites[s]} cannot serve {share:g} of its own {least / share:g} calls a second"
            self.slacks.append((text, missing))
            served = served + missing
        self.highs.addConstr(served >= least)
        self.constraint_names.append("")

    def _add_limit(self, text, total, limit):
        self.highs.addConstr(total <= limit)
        self.constraint_names.append(text)

    def solve(self):
        if not self.flows:  # no remaining site accepts any call
            return True
        self.highs.changeObjectiveSense(highspy.ObjSense.kMaximize)
        self.highs.run()
        return self.highs.getModelStatus() == highspy.HighsModelStatus.kOptimal

    def status(self):
        return self.highs.modelStatusToString(self.highs.getModelStatus())

    def violated(self):
        values = self.highs.getSolution().col_value
        return [
            f"{text}, {values[missing.index]:.3g} are missing"
            for text, missing in self.slacks
            if values[missing.index] > ROUNDING_PER_S
        ]

    def plan(self):
        load, count = self.load, len(self.sites)
        solution = self.highs.getSolution()
        served = [[[0.0] * count for _ in row] for row in load.offered]
        outside = [0.0] * count
        for (t, o, s), flow in self.flows.items():
            rate = solution.col_value[flow.index]
            rate = rate if rate > ROUNDING_PER_S else 0.0
            served[t][o][s] = rate
            if s != o:
                outside[s] += rate
        duals = [
            (text, abs(dual))
            for text, dual in zip(self.constraint_names, solution.row_dual, strict=True)
            if text and "offered" not in text and abs(dual) > ROUNDING_PER_S
        ]
        earned = sum(r * sum(map(sum, rows)) for r, rows in zip(load.revenue, served, strict=True))
        offered_revenue = sum(r * sum(row) for r, row in zip(load.revenue, load.offered, strict=True))
        return Plan(served, outside, earned, offered_revenue, sorted(duals, key=lambda d: -d[1]))
