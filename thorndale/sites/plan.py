"""The sites as the settings give them, checked, and the module's settings made from them.

`sites` is a plain map:
    site_pools    per site its pools (trunk groups), as the module numbers them
    site_order    per call type, per origin site: the sites that it may be offered to, own site first
    site_outside  per site: set-ups a second that it takes from outside, all proxies together

The module knows a call type as one of (type, site): `index`. So it is handed the pools of one site with each call and
stays as it is.
"""

TYPED = ("type_target_us", "type_guard_us", "type_hold_us", "type_revenue", "type_late_part")


class SitesError(Exception):
    """What is wrong with the sites, where, and what to do."""


def index(call_type, site, sites):
    """The module's number for a call of this type offered to this site."""
    return call_type * sites + site


def check(settings, sites):
    """Raises SitesError that names the first fault."""
    pools, order, outside = sites["site_pools"], sites["site_order"], sites["site_outside"]
    types = len(settings["type_guard_us"])
    if not pools:
        raise SitesError("site_pools: there is no site; name one, or leave the sites out")
    owner = {}
    for s, group in enumerate(pools):
        if not group:
            raise SitesError(f"site_pools: site {s} has no trunk group; give it one, or take it out")
        for pool in group:
            if pool in owner:
                raise SitesError(f"site_pools: trunk group {pool} is in sites {owner[pool]} and {s}; leave it in one")
            owner[pool] = s
    if len(outside) != len(pools):
        raise SitesError(f"site_outside: {len(outside)} figures for {len(pools)} sites; give one each")
    for s, rate in enumerate(outside):
        if not 0 <= rate < float("inf"):
            raise SitesError(f"site_outside: site {s} has {rate}; give set-ups a second, 0 for none")
    if len(order) != types:
        raise SitesError(f"site_order: {len(order)} call types of {types}; give a row for each")
    for t, rows in enumerate(order):
        if len(rows) != len(pools):
            raise SitesError(f"site_order: call type {t} has {len(rows)} origins for {len(pools)} sites; give one each")
        for origin, row in enumerate(rows):
            where = f"site_order: call type {t} from site {origin}"
            if not row:
                raise SitesError(f"{where}: names no site; name one at least")
            if len(set(row)) != len(row):
                raise SitesError(f"{where}: {row} comes back to a site; name each once")
            for site in row:
                if not (isinstance(site, int) and 0 <= site < len(pools)):
                    raise SitesError(f"{where}: there is no site {site}")
                if not _allowed(settings, t, pools[site]):
                    raise SitesError(f"{where}: no trunk group of site {site} may take this type; leave the site out")


def _allowed(settings, call_type, group):
    """The pools of a site that calls of this type may go to."""
    pools = settings["type_pools"]
    return [p for p in group if call_type >= len(pools) or p in pools[call_type]]


def expand(settings, sites):
    """The module's settings, with each type once for every site. Raises SitesError."""
    check(settings, sites)
    groups, made = sites["site_pools"], dict(settings)
    for name in TYPED:
        made[name] = [value for value in settings[name] for _ in groups]
    types = range(len(settings["type_guard_us"]))
    made["type_pools"] = [_allowed(settings, t, group) for t in types for group in groups]
    return made
