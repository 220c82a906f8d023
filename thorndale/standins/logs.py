"""Reads the log of a proxy that a fault may have killed.

SIGKILL may truncate a write that crosses a page of the file, so each kill may leave at most one incomplete line.
"""

import json


class LogError(Exception):
    """A log has more unreadable lines than kills of its proxy; the text names the file and a line."""


def read_events(path, kills):
    """The events of a log, oldest first, of a proxy that was killed `kills` times. Raises LogError, OSError."""
    events, incomplete = [], 0
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            try:
                events.append(json.loads(line))
            except ValueError:
                incomplete += 1
                if incomplete > kills:
                    raise LogError(f"{path}, line {number}: no JSON, after {kills} kills") from None
    return events
