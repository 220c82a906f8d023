"""The log: one line of JSON for each event, on standard error, at a bounded rate for each kind of event."""

import json
import sys
import time

RATE, BURST = 5.0, 40.0  # lines a second and at once, of one kind: peers choose how often some come


class Say:
    """`say(level, event, **fields)`. Lines over the rate are counted and told with the next one of their kind."""

    def __init__(self, name, stream=sys.stderr, clock=time.time):
        self.name, self.stream, self.clock, self.kinds = name, stream, clock, {}

    def __call__(self, level, event, **fields):
        now = self.clock()
        left, at, held = self.kinds.get(event, (BURST, now, 0))
        left = min(BURST, left + max(0.0, now - at) * RATE)
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
