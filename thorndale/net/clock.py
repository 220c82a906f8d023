"""The monotonic clock that all internal times are read from."""

import time


def now_us():
    """Whole microseconds; never goes back, and is the same in all processes of this machine."""
    return time.monotonic_ns() // 1000
