"""The log: one line of JSON for each event, to a file or to standard error.

Implemented here instead of with structlog, which loads colour and table support for terminals: 60 ms of processor time
and 6 MB at each start, where hundreds of proxies start at once.
"""

import json
import os
import sys
import time

LEVELS = ("debug", "info", "warning", "error")


def _timestamp(now):
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now % 1 * 1e6):06d}Z"


def _ends_with_partial_line(path):
    """Whether the file ends with an incomplete line: SIGKILL truncates a write that crosses a page of the file."""
    if not os.path.isfile(path) or not os.path.getsize(path):
        return False
    try:
        with open(path, "rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) != b"\n"
    except OSError:  # this user may write the log but not read it
        return False


def _open_file(path):
    stream = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115 - the caller of open_log closes it
    if _ends_with_partial_line(path):
        stream.write("\n")
    return stream


def open_log(settings, name):
    """Returns `log_event(level, event, **fields)` and `close()`. Raises OSError if the file cannot be written."""
    path = settings.file
    stream = _open_file(path) if path else sys.stderr
    min_level = LEVELS.index(settings.level)

    def log_event(level, event, **fields):
        if LEVELS.index(level) >= min_level:
            line = {"proxy": name, **fields, "event": event, "level": level, "timestamp": _timestamp(time.time())}
            stream.write(json.dumps(line, default=repr) + "\n")

    return log_event, (stream.close if path else stream.flush)
