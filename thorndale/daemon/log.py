"""The log: one line of JSON for each event, to a file or to standard error.

Written out here: structlog, which did it before, brings a terminal's colours and tables along, 60 ms of processor time
and 6 MB at each start, and hundreds of proxies start at once.
"""

import json
import sys
import time

LEVELS = ("debug", "info", "warning", "error")


def _stamp(now):
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}Z"


def open_log(settings, name):
    """`say(level, event, **fields)` and `close()`. Raises OSError where the file cannot be written."""
    path = settings.file
    stream = open(path, "a", buffering=1, encoding="utf-8") if path else sys.stderr  # noqa: SIM115 - closed by close()
    least = LEVELS.index(settings.level)

    def say(level, event, **fields):
        if LEVELS.index(level) >= least:
            line = {"proxy": name, **fields, "event": event, "level": level, "timestamp": _stamp(time.time())}
            stream.write(json.dumps(line, default=repr) + "\n")

    return say, (stream.close if path else stream.flush)
