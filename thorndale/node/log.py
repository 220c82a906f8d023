"""The log: one line of JSON per event on standard error, with a rate limit for each kind of event."""

import json
import sys
import time
from typing import NamedTuple


class RateLimit(NamedTuple):
    """Limits of one kind of event: lines per second, and lines at once."""

    rate: float
    burst: float


DEFAULT_LIMIT = RateLimit(5.0, 40.0)  # peers control how often some events occur
LIMITS = {
    "call": RateLimit(400.0, 4_000.0),
    "connection": RateLimit(100.0, 1_000.0),
    "server connection": RateLimit(50.0, 400.0),
}


class EventLog:
    """`log_event(level, event, **fields)`. Lines over the rate limit are counted and reported with the next line of
    their kind."""

    def __init__(self, name, stream=sys.stderr, clock=time.time):
        self.name, self.stream, self.clock, self.buckets = name, stream, clock, {}

    def __call__(self, level, event, **fields):
        now = self.clock()
        limit = LIMITS.get(event, DEFAULT_LIMIT)
        tokens, at, suppressed = self.buckets.get(event, (limit.burst, now, 0))
        tokens = min(limit.burst, tokens + max(0.0, now - at) * limit.rate)
        if tokens < 1:
            self.buckets[event] = tokens, now, suppressed + 1
            return
        self.buckets[event] = tokens - 1, now, 0
        if suppressed:
            fields["left_out"] = suppressed
        line = json.dumps(
            {"at": round(now, 3), "level": level, "proxy": self.name, "event": event, **fields}, default=str
        )
        try:
            self.stream.write(line + "\n")
            self.stream.flush()
        except OSError:  # a log that cannot be written must not stop the calls
            self.buckets[event] = 0.0, now, suppressed + 1
