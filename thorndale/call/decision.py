"""Builds the decision module and its plain settings map from the daemon's settings.

The module identifies servers, trunk groups, call types and clients by dense indices: their positions in the lists of
the settings.
"""

from thorndale import interface as io
from thorndale.policy import Proxy
from thorndale.sites.router import SiteRouter
from thorndale.sites.topology import expand_settings


def build_module(seed, settings):
    """The decision module of this proxy, behind the site router if the settings define sites."""
    base = module_settings(settings)
    if not settings.sites:
        return Proxy(seed, base)
    sites = site_settings(settings)
    return SiteRouter(seed >> 1, base, sites, Proxy(seed, expand_settings(base, sites)))


def site_settings(settings):
    """The plain settings map for `thorndale.sites.topology`.

    Calls of a type are offered to their own site, then to that site's configured alternatives (all other sites if none
    are configured). If the type can use
    none of these, they are offered to every site that it can use."""
    group = {g.name: n for n, g in enumerate(settings.trunk_groups)}
    site_names = [s.name for s in settings.sites]
    order = []
    for call_type in settings.call_types:
        usable = [n for n, s in enumerate(settings.sites) if set(s.trunk_groups) & set(call_type.trunk_groups)]
        rows = []
        for own, site in enumerate(settings.sites):
            others = site_names[own + 1 :] + site_names[:own] if site.next is None else site.next
            row = [n for n in (own, *(site_names.index(o) for o in others)) if n in usable]
            rows.append(row or usable)
        order.append(rows)
    return {
        "site_pools": [[group[g] for g in s.trunk_groups] for s in settings.sites],
        "site_order": order,
        "site_outside": [s.outside_per_s for s in settings.sites],
    }


def module_settings(settings):
    """The settings map that the module is started with, with the keys of `thorndale/interface.py` and of the bench's
    module host. Times are in whole microseconds.

    tick_us: how much the process itself may delay an answer. instances: number of proxies in the fleet, this one
    included. type_*: by call type. client_quota: set-ups per second over all proxies, by client; if any quota is 0,
    the list is empty. list_asked: whether the server list requires a subscription.
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
        "type_repetition": [io.ALWAYS_REPEATABLE for _ in types],
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
