"""The module's plain settings map, as the daemon's settings give it.

The module knows servers, trunk groups, call types and clients by dense indices: those of the settings' lists.
"""

from thorndale.policy import Proxy
from thorndale.sites.router import SiteRouter
from thorndale.sites.topology import expand_settings


def decider(seed, settings):
    """What decides for this proxy: the module, with the sites before it where the settings name some."""
    known = module_settings(settings)
    if not settings.sites:
        return Proxy(seed, known)
    sites = site_settings(settings)
    return SiteRouter(seed >> 1, known, sites, Proxy(seed, expand_settings(known, sites)))


def site_settings(settings):
    """The plain map of `thorndale.sites.topology`. A type's calls are offered to their own site, then to those that it
    names, then, where the type may use none of these, to any other."""
    group = {g.name: n for n, g in enumerate(settings.trunk_groups)}
    names = [s.name for s in settings.sites]
    order = []
    for kind in settings.call_types:
        usable = [n for n, s in enumerate(settings.sites) if set(s.trunk_groups) & set(kind.trunk_groups)]
        rows = []
        for own, site in enumerate(settings.sites):
            others = names[own + 1 :] + names[:own] if site.next is None else site.next
            row = [n for n in (own, *(names.index(o) for o in others)) if n in usable]
            rows.append(row or usable)
        order.append(rows)
    return {
        "site_pools": [[group[g] for g in s.trunk_groups] for s in settings.sites],
        "site_order": order,
        "site_outside": [s.outside_per_s for s in settings.sites],
    }


def module_settings(settings):
    """The one map of names to values that the module is started with; the names as `thorndale/interface.py` and
    the bench's door have them. Times become whole microseconds.

    tick_us: how late an answer may come of the shell's own doing. instances: proxies of this fleet, this one
    included. type_*: by call type. client_quota: set-ups a second of all proxies, by client; a quota of 0 leaves
    the whole list out. list_asked: whether the list of servers must be subscribed to.
    """
    types, rules = settings.call_types, settings.rules
    group = {g.name: n for n, g in enumerate(settings.trunk_groups)}
    quotas = [float(c.quota_per_s) for c in settings.clients]
    return {
        "tick_us": settings.limits.tick_ms * 1000,
        "instances": settings.instances,
        "type_target_us": [t.setup_target_ms * 1000 for t in types],
        "type_guard_us": [t.guard_ms * 1000 for t in types],
        "type_hold_us": [t.hold_ms * 1000 for t in types],
        "type_revenue": [t.revenue for t in types],
        "type_late_part": [t.late_part for t in types],
        "type_pools": [[group[g] for g in t.trunk_groups] for t in types],
        "client_quota": quotas if quotas and all(quotas) else [],
        "over_quota_part": settings.over_quota_part,
        "release_us": rules.release_ms * 1000,
        "resend_us": rules.resend_ms * 1000,
        "seizures_max": settings.limits.seizures,
        "open_max": settings.limits.open_calls,
        "may_cancel": True,
        "comeback_told": settings.comeback.told,
        "comeback_max_us": settings.comeback.most_ms * 1000,
        "drain_grace_us": rules.drain_grace_ms * 1000,
        "start_capacity": rules.start_capacity,
        "warm_up_us": rules.warm_up_ms * 1000,
        "fall_multiple": rules.fall_multiple,
        "fall_us": rules.fall_ms * 1000,
        "list_asked": settings.book is not None,
        "fleet_rights": settings.fleet is not None and settings.fleet.rights,
    }
