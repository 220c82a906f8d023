"""Who sees whom, from the log lines `members` of many proxies: where their views differ, and since when. Pure."""

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
    if not all(isinstance(state, str) and isinstance(names, list) and all(isinstance(n, str) for n in names)
               for state, names in rows):
        return None
    return {name: state for state, names in rows for name in names}


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
