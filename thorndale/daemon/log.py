"""The log: one line of JSON for each event, to a file or to standard error.

Written out here: structlog, which did it before, brings a terminal's colours and tables along, 60 ms of processor time
and 6 MB at each start, and hundreds of proxies start at once.
"""

import json
import os
import sys
import time

LEVELS = ("debug", "info", "warning", "error")


def _stamp(now):
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}Z"


def _ends_within_a_line(path):
    """Whether the file ends with a piece of a line: SIGKILL cuts a write short where it crosses a page of the file."""
    if not os.path.isfile(path) or not os.path.getsize(path):
        return False
    try:
        with open(path, "rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) != b"\n"
    except OSError:  # a log that this user may write and not read
        return False


def _open_file(path):
    stream = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115 - closed by who opened the log
    if _ends_within_a_line(path):
        stream.write("\n")
    return stream


def open_log(settings, name):
    """`say(level, event, **fields)` and `close()`. Raises OSError where the file cannot be written."""
    path = settings.file
    stream = _open_file(path) if path else sys.stderr
    least = LEVELS.index(settings.level)

    def say(level, event, **fields):
        if LEVELS.index(level) >= least:
            line = {"proxy": name, **fields, "event": event, "level": level, "timestamp": _stamp(time.time())}
            stream.write(json.dumps(line, default=repr) + "\n")

    return say, (stream.close if path else stream.flush)
