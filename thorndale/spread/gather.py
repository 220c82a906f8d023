"""The set-ups of many proxies from the lines of their logs, laid over each other by server and second."""

import json
from typing import NamedTuple

LINES_MOST = 2_000_000  # lines of one file that are looked at
FAR_S = 7 * 86_400  # seconds between the first and the last line that are put into one picture


class Fleet(NamedTuple):
    """`servers` in the order of their trunk groups; `groups` as many names; `rows` counts by server and second from
    wall second `first` on; `parts`: by proxy and server (set-ups, share as last told, why)."""

    first: int
    servers: list
    groups: list
    rows: list
    parts: dict

    def pools(self):
        by_group = {}
        for n, group in enumerate(self.groups):
            by_group.setdefault(group, []).append(n)
        return list(by_group.values())


class LogError(Exception):
    """A file that tells nothing; the text says why."""


def told(lines):
    """[(proxy, first second, rows)] of one log, and how many lines could not be read. Raises LogError where the file
    is none of a proxy's, or has no such line."""
    found, bad, sound = [], 0, 0
    for n, line in enumerate(lines):
        if n >= LINES_MOST:
            break
        try:
            event = json.loads(line)
        except ValueError:
            bad += 1
            continue
        if not isinstance(event, dict) or "event" not in event:
            bad += 1
            continue
        sound += 1
        if event["event"] == "set-ups":
            row = _row(event)
            if row is None:
                bad += 1
            else:
                found.append(row)
    if not sound:
        raise LogError("is no log of a proxy: no line of JSON with an event")
    if not found:
        raise LogError("has no line on set-ups; its proxy set nothing up, or logs less than info")
    return found, bad


def _row(event):
    proxy, second, rows = event.get("proxy"), event.get("second"), event.get("rows")
    if not isinstance(proxy, str) or not isinstance(second, int) or not isinstance(rows, list):
        return None
    for row in rows:
        if not isinstance(row, list) or len(row) != 5 or not isinstance(row[2], list):
            return None
        if not all(isinstance(n, int) and 0 <= n < 1 << 40 for n in row[2]) or not isinstance(row[0], str):
            return None
        if not isinstance(row[1], str) or not isinstance(row[3], int | float) or not isinstance(row[4], str):
            return None
    return proxy, second, rows


def gathered(lines):
    """A Fleet of all that `told` gave, or None where there is nothing. What lies further than FAR_S behind the newest
    is left out."""
    if not lines:
        return None
    last = max(second + max((len(row[2]) for row in rows), default=0) for _, second, rows in lines)
    lines = [line for line in lines if line[1] > last - FAR_S]
    first = min(second for _, second, _ in lines)
    group = {row[0]: row[1] for _, _, rows in lines for row in rows}
    servers = sorted(group, key=lambda s: (group[s], s))
    at = {s: n for n, s in enumerate(servers)}
    counts, parts = [[0] * (last - first) for _ in servers], {}
    for proxy, second, rows in lines:
        for server, _, by_second, share, why in rows:
            own = counts[at[server]]
            for n, count in enumerate(by_second):
                own[second - first + n] += count
            sent, _, _ = parts.get((proxy, server), (0, 1.0, ""))
            parts[(proxy, server)] = (sent + sum(by_second), share, why)
    return Fleet(first, servers, [group[s] for s in servers], counts, parts)
