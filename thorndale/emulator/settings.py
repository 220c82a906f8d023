"""The module's plain settings map of an emulated proxy."""

from thorndale.emulator.day import S

TICK_US = 1_000
RELEASE_US = 500_000  # us that a proxy waits after a time-out, reset or cancel before its next seizure
DRAIN_GRACE_US = 500_000
COMEBACK_MOST_US = 2 * S
SEIZURES_MOST, OPEN_MOST = 5, 60_000


def module_settings(types, work, instances, pools, **other):
    """`types`: call types of `day.Type`; `work`: of the servers' processors; `pools`: those that a call of any type may
    take; `other`: values in place of those here."""
    base = {
        "tick_us": TICK_US,
        "instances": instances,
        "type_target_us": [t.target_us for t in types],
        "type_guard_us": [t.guard_us for t in types],
        "type_hold_us": [t.hold_us for t in types],
        "type_revenue": [t.revenue for t in types],
        "type_late_part": [t.late_part for t in types],
        "type_pools": [list(pools) for _ in types],
        "client_quota": [],
        "over_quota_part": 1.0,
        "release_us": RELEASE_US,
        "resend_us": 0,
        "seizures_max": SEIZURES_MOST,
        "open_max": OPEN_MOST,
        "may_cancel": True,
        "comeback_told": True,
        "comeback_max_us": COMEBACK_MOST_US,
        "drain_grace_us": DRAIN_GRACE_US,
        "start_capacity": work.cold_from,
        "warm_up_us": work.warm_us,
        "fall_multiple": work.fall_multiple,
        "fall_us": work.fall_us,
        "list_asked": False,
        "fleet_rights": False,
    }
    return base | other
