"""Combines the set-ups that many proxies logged, by server and second."""

import json
from typing import NamedTuple

MAX_LINES = 2_000_000  # lines read of one file
MAX_SPAN_S = 7 * 86_400  # longest time between the first and the last set-ups that are combined


class FleetSetups(NamedTuple):
    """`servers` in the order of their trunk groups; `groups`: the trunk group of each; `rows`: counts by server and
    second, from wall-clock second `first` on; `proxy_shares`: by proxy and server (set-ups, last logged share, why)."""

    first: int
    servers: list
    groups: list
    rows: list
    proxy_shares: dict

    def pools(self):
        by_group = {}
        for n, group in enumerate(self.groups):
            by_group.setdefault(group, []).append(n)
        return list(by_group.values())


class LogError(Exception):
    """A file without usable set-ups; the text says why."""


def read_entries(lines):
    """[(proxy, first second, rows)] of one log, and the number of unreadable lines. Raises LogError if the file is not
    a proxy's log or contains no set-ups."""
    entries, unreadable, events = [], 0, 0
    for n, line in enumerate(lines):
        if n >= MAX_LINES:
            break
        try:
            event = json.loads(line)
        except ValueError:
            unreadable += 1
            continue
        if not isinstance(event, dict) or "event" not in event:
            unreadable += 1
            continue
        events += 1
        if event["event"] == "set-ups":
            entry = _entry(event)
            if entry is None:
                unreadable += 1
            else:
                entries.append(entry)
    if not events:
        raise LogError("is no log of a proxy: no line of JSON with an event")
    if not entries:
        raise LogError("has no line on set-ups; its proxy set nothing up, or logs less than info")
    return entries, unreadable


def _entry(event):
    """(proxy, first second, rows) of a set-ups event, or None if it is malformed."""
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


def combine_entries(entries):
    """A FleetSetups from the entries of all logs, or None if there are none. Entries more than MAX_SPAN_S before the
    newest are left out."""
    if not entries:
        return None
    last = max(second + max((len(row[2]) for row in rows), default=0) for _, second, rows in entries)
    entries = [entry for entry in entries if entry[1] > last - MAX_SPAN_S]
    first = min(second for _, second, _ in entries)
    group_of = {row[0]: row[1] for _, _, rows in entries for row in rows}
    servers = sorted(group_of, key=lambda s: (group_of[s], s))
    index_of = {s: n for n, s in enumerate(servers)}
    counts, proxy_shares = [[0] * (last - first) for _ in servers], {}
    for proxy, second, rows in entries:
        for server, _, by_second, share, why in rows:
            server_counts = counts[index_of[server]]
            for n, count in enumerate(by_second):
                server_counts[second - first + n] += count
            sent, _, _ = proxy_shares.get((proxy, server), (0, 1.0, ""))
            proxy_shares[(proxy, server)] = (sent + sum(by_second), share, why)
    return FleetSetups(first, servers, [group_of[s] for s in servers], counts, proxy_shares)
