"""What to let spill where, for each loss of a site or server: the shares that lose least revenue, as a linear program
(HiGHS, by highspy), and the constraint that holds them down. Pure: values in, values out.

A call a second of type t from origin o offered to site s takes one set-up of that site's capacity and t's mean length
of its lines. Capacities of a site are the sums of its servers'; within a site the module shares them out.
"""

from typing import NamedTuple

import highspy

from thorndale.sites.plan import SitesError

SMALL = 1e-6  # calls a second below which a figure is the solver's rounding
FARTHER = 1e-4  # revenue a call less for each step away from home: among equal plans the one that moves least
SLACK = 1e6  # revenue a call that a slack costs: more than any call's, so that only what cannot be kept is given up


class Capacity(NamedTuple):
    """A server: set-ups a second when warm, and lines."""

    site: int
    per_s: float
    lines: float


class Load(NamedTuple):
    """`offered[t][o]`: calls a second of type t from origin site o. `hold_s`, `revenue`: by type. `order[t][o]`: the
    sites that such a call may be offered to. `keep_own`: part of each standing site's own calls that must be served."""

    offered: list
    hold_s: list
    revenue: list
    order: list
    keep_own: float = 0.0


class Plan(NamedTuple):
    """`served[t][o][s]`: calls a second. `outside[s]`: set-ups a second that s takes of other sites' calls.
    `earned`, `wished`: revenue a second. `bottlenecks`: (text, revenue a second that one more unit would bring)."""

    served: list
    outside: list
    earned: float
    wished: float
    bottlenecks: list


def plan(servers, load, sites, lost_site=None, lost_server=None):
    """The Plan for one loss (or none). `servers` is {name: Capacity}, `sites` the names. Raises SitesError that says
    which constraint cannot be kept."""
    up = {n: c for n, c in servers.items() if n != lost_server and c.site != lost_site}
    program = _Program(up, load, sites, lost_site)
    if not program.solve():
        kept = _Program(up, load, sites, lost_site, slack=True)
        if not kept.solve():
            raise SitesError(f"the plan has no solution and none could be made of it: {kept.status()}")
        raise SitesError("the plan has no solution: " + "; ".join(kept.broken()))
    return program.plan()


class _Program:
    def __init__(self, up, load, sites, lost, slack=False):
        self.load, self.sites, self.highs = load, sites, highspy.Highs()
        self.highs.setOptionValue("output_flag", False)
        self.rows, self.slacks, self.ways = [], [], {}
        standing = sorted({c.site for c in up.values()})
        add = self.highs.addVariable
        for t, origins in enumerate(load.offered):
            for o, offered in enumerate(origins):
                for step, s in enumerate(load.order[t][o]):
                    if s in standing:
                        self.ways[t, o, s] = add(0, offered, load.revenue[t] - FARTHER * step)
        for t, origins in enumerate(load.offered):
            for o, offered in enumerate(origins):
                mine = [v for (t_, o_, _), v in self.ways.items() if (t_, o_) == (t, o)]
                if mine:
                    self._row(f"what is offered of type {t} from {sites[o]}", sum(mine), offered)
        for s in standing:
            here = [(k, v) for k, v in self.ways.items() if k[2] == s]
            if not here:
                continue
            of = [c for c in up.values() if c.site == s]
            self._row(f"set-ups a second at {sites[s]}", sum(v for _, v in here), sum(c.per_s for c in of))
            self._row(f"lines at {sites[s]}", sum(v * load.hold_s[k[0]] for k, v in here), sum(c.lines for c in of))
        if load.keep_own:
            for s in standing:
                self._keep(s, load.keep_own, slack)

    def _keep(self, s, part, slack):
        own = [v for (_, o, at), v in self.ways.items() if o == s and at == s]
        least = part * sum(row[s] for t, row in enumerate(self.load.offered) if s in self.load.order[t][s])
        if not own:
            return
        kept = sum(own)
        if slack:
            given = self.highs.addVariable(0, highspy.kHighsInf, -SLACK)
            said = f"{self.sites[s]} cannot serve {part:g} of its own {least / part:g} calls a second"
            self.slacks.append((said, given))
            kept = kept + given
        self.highs.addConstr(kept >= least)
        self.rows.append("")

    def _row(self, text, sum_, most):
        self.highs.addConstr(sum_ <= most)
        self.rows.append(text)

    def solve(self):
        if not self.ways:  # nothing stands that could take anything
            return True
        self.highs.changeObjectiveSense(highspy.ObjSense.kMaximize)
        self.highs.run()
        return self.highs.getModelStatus() == highspy.HighsModelStatus.kOptimal

    def status(self):
        return self.highs.modelStatusToString(self.highs.getModelStatus())

    def broken(self):
        values = self.highs.getSolution().col_value
        return [
            f"{text}, {values[given.index]:.3g} are missing"
            for text, given in self.slacks
            if values[given.index] > SMALL
        ]

    def plan(self):
        load, count = self.load, len(self.sites)
        solution = self.highs.getSolution()
        served = [[[0.0] * count for _ in row] for row in load.offered]
        outside = [0.0] * count
        for (t, o, s), way in self.ways.items():
            value = solution.col_value[way.index]
            value = value if value > SMALL else 0.0
            served[t][o][s] = value
            if s != o:
                outside[s] += value
        duals = [
            (text, abs(dual))
            for text, dual in zip(self.rows, solution.row_dual, strict=True)
            if text and "offered" not in text and abs(dual) > SMALL
        ]
        earned = sum(r * sum(map(sum, rows)) for r, rows in zip(load.revenue, served, strict=True))
        wished = sum(r * sum(row) for r, row in zip(load.revenue, load.offered, strict=True))
        return Plan(served, outside, earned, wished, sorted(duals, key=lambda d: -d[1]))
