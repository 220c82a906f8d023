"""The log: one line of JSON for each event, on standard error, at a bounded rate for each kind of event."""

import json
import sys
import time
from typing import NamedTuple


class Bound(NamedTuple):
    """Lines of one kind a second, and at once."""

    rate: float
    burst: float


ANY = Bound(5.0, 40.0)  # peers choose how often some come
BOUNDS = {"call": Bound(400.0, 4_000.0), "connection": Bound(100.0, 1_000.0), "server connection": Bound(50.0, 400.0)}


class Say:
    """`say(level, event, **fields)`. Lines over the rate are counted and told with the next one of their kind."""

    def __init__(self, name, stream=sys.stderr, clock=time.time):
        self.name, self.stream, self.clock, self.kinds = name, stream, clock, {}

    def __call__(self, level, event, **fields):
        now = self.clock()
        bound = BOUNDS.get(event, ANY)
        left, at, held = self.kinds.get(event, (bound.burst, now, 0))
        left = min(bound.burst, left + max(0.0, now - at) * bound.rate)
        if left < 1:
            self.kinds[event] = left, now, held + 1
            return
        self.kinds[event] = left - 1, now, 0
        if held:
            fields["left_out"] = held
        line = json.dumps(
            {"at": round(now, 3), "level": level, "proxy": self.name, "event": event, **fields}, default=str
        )
        try:
            self.stream.write(line + "\n")
            self.stream.flush()
        except OSError:  # nobody reads the log: the calls go on
            self.kinds[event] = 0.0, now, held + 1
