"""Who sees whom, from the log lines `members` of many proxies: where views differ, and since when; who holds which
rights, what was refused, which servers hearsay shuts, from the lines `rights` and `words`. Pure."""

import json
from typing import NamedTuple

STALE_S = 40  # seconds behind the newest line after which a proxy's last view is called old: four of its lines


class Seen(NamedTuple):
    """The last view of one proxy: wall second, {member: state}, and {member: wall second since when so}."""

    second: int
    states: dict
    since: dict
    slow: int
    counts: dict


def views(lines):
    """{proxy: Seen} of the lines of logs, and how many could not be read."""
    found, bad = {}, 0
    for line in lines:
        try:
            event = json.loads(line)
        except ValueError:
            bad += 1
            continue
        if not isinstance(event, dict) or event.get("event") != "members":
            continue
        states = _states(event)
        if states is None:
            bad += 1
            continue
        proxy, second = event["proxy"], event["second"]
        last = found.get(proxy)
        if last is not None and last.second > second:
            continue
        since = {m: (last.since[m] if last and last.states.get(m) == state else second) for m, state in states.items()}
        found[proxy] = Seen(second, states, since, event.get("slow", 0), event.get("counts", {}))
    return found, bad


def _states(event):
    if not isinstance(event.get("proxy"), str) or not isinstance(event.get("second"), int):
        return None
    alive, others = event.get("alive"), event.get("others")
    if not isinstance(alive, list) or not isinstance(others, dict):
        return None
    rows = [("alive", alive), *others.items()]
    if not all(
        isinstance(state, str) and isinstance(names, list) and all(isinstance(n, str) for n in names)
        for state, names in rows
    ):
        return None
    return {name: state for state, names in rows for name in names}


class Held(NamedTuple):
    """What a proxy told last of its rights and of what it heard: {server: rights it could give}, counts of retries,
    servers shut by hearsay."""

    held: dict
    counts: dict
    shut: list


def holdings(lines):
    """{proxy: Held} of the lines of logs; what cannot be read is passed over, as `views` counts it."""
    found = {}
    for line in lines:
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if not isinstance(event, dict) or not isinstance(event.get("proxy"), str):
            continue
        last = found.get(event["proxy"], Held({}, {}, []))
        held, counts, shut = event.get("held"), event.get("counts"), event.get("shut")
        if event.get("event") == "rights" and _plain(held) and _plain(counts):
            found[event["proxy"]] = last._replace(held=held, counts=counts)
        elif event.get("event") == "words" and isinstance(shut, list) and all(isinstance(s, str) for s in shut):
            found[event["proxy"]] = last._replace(shut=shut)
    return found


def _plain(counts):
    return isinstance(counts, dict) and all(isinstance(n, int) for n in counts.values())


def by_server(found):
    """[(server, {proxy: rights}, [proxies to which it is shut])] of servers for which there is either."""
    rows = {}
    for proxy, own in sorted(found.items()):
        for server, n in own.held.items():
            rows.setdefault(server, ({}, []))[0][proxy] = n
        for server in own.shut:
            rows.setdefault(server, ({}, []))[1].append(proxy)
    return [(server, *row) for server, row in sorted(rows.items())]


def parts(found):
    """Groups of proxies that see each other the same, largest first: ([proxies], frozenset of those held there)."""
    newest = max((seen.second for seen in found.values()), default=0)
    by = {}
    for proxy, seen in sorted(found.items()):
        if seen.second >= newest - STALE_S:
            there = frozenset(m for m, state in seen.states.items() if state in ("alive", "suspect"))
            by.setdefault(there, []).append(proxy)
    return sorted(((proxies, there) for there, proxies in by.items()), key=lambda row: (-len(row[0]), row[0]))


def differences(found):
    """[(member, {state: [proxies]}, wall second since when the first of them sees it so)] of members on whom the views
    differ or whom some do not hold alive."""
    by = {}
    for proxy, seen in sorted(found.items()):
        for member, state in seen.states.items():
            by.setdefault(member, {}).setdefault(state, []).append(proxy)
    rows = []
    for member, states in sorted(by.items()):
        if set(states) != {"alive"}:
            others = [p for state, proxies in states.items() if state != "alive" for p in proxies]
            rows.append((member, states, min(found[p].since[member] for p in others)))
    return rows
