"""The settings map of the decision module in an emulated proxy."""

from thorndale import interface as io
from thorndale.emulator.day import S

TICK_US = 1_000
RELEASE_US = 500_000  # a proxy waits this long after a time-out, reset or cancel before its next seizure
DRAIN_GRACE_US = 500_000
MAX_COMEBACK_US = 2 * S
MAX_SEIZURES, MAX_OPEN_CALLS = 5, 60_000


def module_settings(types, work, instances, pools, **overrides):
    """`types`: call types (`day.Type`). `work`: the work figures of the servers' processors. `pools`: the pools that
    are open to calls of every type. `overrides`: values that replace the defaults."""
    defaults = {
        "tick_us": TICK_US,
        "instances": instances,
        "type_target_us": [t.target_us for t in types],
        "type_guard_us": [t.guard_us for t in types],
        "type_hold_us": [t.hold_us for t in types],
        "type_revenue": [t.revenue for t in types],
        "type_late_part": [t.late_part for t in types],
        "type_repetition": [io.ALWAYS_REPEATABLE for _ in types],
        "type_pools": [list(pools) for _ in types],
        "client_quota": [],
        "over_quota_part": 1.0,
        "release_us": RELEASE_US,
        "resend_us": 0,
        "seizures_max": MAX_SEIZURES,
        "open_max": MAX_OPEN_CALLS,
        "may_cancel": True,
        "comeback_told": True,
        "comeback_max_us": MAX_COMEBACK_US,
        "drain_grace_us": DRAIN_GRACE_US,
        "start_capacity": work.cold_from,
        "warm_up_us": work.warm_us,
        "fall_multiple": work.fall_multiple,
        "fall_us": work.fall_us,
        "list_asked": False,
        "fleet_rights": False,
    }
    return defaults | overrides
