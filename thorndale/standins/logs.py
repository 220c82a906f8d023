"""Reads the log of a proxy that a fault may have killed.

SIGKILL cuts a write short where it crosses a page of the file: each kill may leave one piece of a line, and no more.
"""

import json


class LogError(Exception):
    """A log holds more unreadable lines than the kills of its proxy explain; the text names the file and a line."""


def read_events(path, kills):
    """The events of the log at `path`, oldest first, whose proxy was killed `kills` times. Raises LogError, OSError."""
    events, pieces = [], 0
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            try:
                events.append(json.loads(line))
            except ValueError:
                pieces += 1
                if pieces > kills:
                    raise LogError(f"{path}, line {number}: no JSON, after {kills} kills") from None
    return events
