"""Checks the sites as the settings give them and expands the decision module's settings by them.

`sites` is a plain map:
    site_pools    per site its pools (trunk groups), as the module numbers them
    site_order    per call type, per origin site: the sites that a call may be offered to, own site first
    site_outside  per site: set-ups a second that it accepts from outside, all proxies together

The module gets one call type for each pair of type and site (`type_at_site`). So each call carries the pools of one
site, and the module needs no notion of sites.
"""

PER_TYPE_SETTINGS = (
    "type_target_us",
    "type_guard_us",
    "type_hold_us",
    "type_revenue",
    "type_late_part",
    "type_repetition",
)


class SitesError(Exception):
    """The sites' settings are wrong or infeasible; the text says what, where, and what to do."""


def type_at_site(call_type, site, sites):
    """The module's number for a call of this type offered to this site."""
    return call_type * sites + site


def check_sites(settings, sites):
    """Raises SitesError that names the first error."""
    pools, order, limits = sites["site_pools"], sites["site_order"], sites["site_outside"]
    types = len(settings["type_guard_us"])
    if not pools:
        raise SitesError("site_pools: no site is defined; define one, or leave the sites out")
    owner = {}
    for s, group in enumerate(pools):
        if not group:
            raise SitesError(f"site_pools: site {s} has no trunk group; give it one, or remove the site")
        for pool in group:
            if pool in owner:
                raise SitesError(f"site_pools: trunk group {pool} is in sites {owner[pool]} and {s}; keep it in one")
            owner[pool] = s
    if len(limits) != len(pools):
        raise SitesError(f"site_outside: {len(limits)} values for {len(pools)} sites; give one each")
    for s, rate in enumerate(limits):
        if not 0 <= rate < float("inf"):
            raise SitesError(f"site_outside: site {s} has {rate}; give a finite rate of set-ups a second, 0 for none")
    if len(order) != types:
        raise SitesError(f"site_order: {len(order)} rows for {types} call types; give one each")
    for t, rows in enumerate(order):
        if len(rows) != len(pools):
            raise SitesError(f"site_order: call type {t} has {len(rows)} origins for {len(pools)} sites; give one each")
        for origin, row in enumerate(rows):
            where = f"site_order: call type {t} from site {origin}"
            if not row:
                raise SitesError(f"{where}: names no site; name at least one")
            if len(set(row)) != len(row):
                raise SitesError(f"{where}: {row} names a site twice; name each once")
            for site in row:
                if not (isinstance(site, int) and 0 <= site < len(pools)):
                    raise SitesError(f"{where}: site {site} does not exist")
                if not _allowed(settings, t, pools[site]):
                    raise SitesError(f"{where}: no trunk group of site {site} accepts this type; leave the site out")


def _allowed(settings, call_type, group):
    """The pools of a site that accept calls of this type."""
    pools = settings["type_pools"]
    return [p for p in group if call_type >= len(pools) or p in pools[call_type]]


def expand_settings(settings, sites):
    """The module's settings with each call type repeated for every site. Raises SitesError."""
    check_sites(settings, sites)
    groups, expanded = sites["site_pools"], dict(settings)
    for name in PER_TYPE_SETTINGS:
        expanded[name] = [value for value in settings[name] for _ in groups]
    types = range(len(settings["type_guard_us"]))
    expanded["type_pools"] = [_allowed(settings, t, group) for t in types for group in groups]
    return expanded
