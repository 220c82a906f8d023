"""The clock that all times inside are told by."""

import time


def now_us():
    """Whole microseconds; it only advances, and is the same in all processes here."""
    return time.monotonic_ns() // 1000
