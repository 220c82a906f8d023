"""Membership as each proxy sees it, from the log lines `members` of many proxies: where views differ, and since when.
Retry leases held and refused, and servers avoided on account of peer reports, from the lines `rights` and `words`.
No I/O."""

import json
from typing import NamedTuple

STALE_S = 40  # behind the newest line of all, a proxy's last view is stale: four of its lines


class MemberView(NamedTuple):
    """The last view of one proxy: wall second, {member: state}, and {member: wall second of its last change}."""

    second: int
    states: dict
    since: dict
    slow: int
    counts: dict


def member_views(lines):
    """{proxy: MemberView} from log lines, and the number of unreadable lines."""
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
        found[proxy] = MemberView(second, states, since, event.get("slow", 0), event.get("counts", {}))
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


class LeaseView(NamedTuple):
    """A proxy's last reported {server: leases it could grant}, counts of retries, and servers avoided on account of
    peer reports."""

    held: dict
    counts: dict
    shut: list


def lease_views(lines):
    """{proxy: LeaseView} from log lines. Unreadable lines are skipped; `member_views` counts them."""
    found = {}
    for line in lines:
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if not isinstance(event, dict) or not isinstance(event.get("proxy"), str):
            continue
        last = found.get(event["proxy"], LeaseView({}, {}, []))
        held, counts, shut = event.get("held"), event.get("counts"), event.get("shut")
        if event.get("event") == "rights" and _is_counts(held) and _is_counts(counts):
            found[event["proxy"]] = last._replace(held=held, counts=counts)
        elif event.get("event") == "words" and isinstance(shut, list) and all(isinstance(s, str) for s in shut):
            found[event["proxy"]] = last._replace(shut=shut)
    return found


def _is_counts(counts):
    return isinstance(counts, dict) and all(isinstance(n, int) for n in counts.values())


def leases_by_server(found):
    """[(server, {proxy: leases}, [proxies that avoid it])] of servers for which there is either."""
    rows = {}
    for proxy, own in sorted(found.items()):
        for server, n in own.held.items():
            rows.setdefault(server, ({}, []))[0][proxy] = n
        for server in own.shut:
            rows.setdefault(server, ({}, []))[1].append(proxy)
    return [(server, *row) for server, row in sorted(rows.items())]


def view_groups(found):
    """Groups of proxies with the same view, largest first: ([proxies], frozenset of members they consider present)."""
    newest = max((view.second for view in found.values()), default=0)
    proxies_by_view = {}
    for proxy, view in sorted(found.items()):
        if view.second >= newest - STALE_S:
            present = frozenset(m for m, state in view.states.items() if state in ("alive", "suspect"))
            proxies_by_view.setdefault(present, []).append(proxy)
    return sorted(
        ((proxies, present) for present, proxies in proxies_by_view.items()), key=lambda row: (-len(row[0]), row[0])
    )


def view_differences(found):
    """[(member, {state: [proxies]}, wall second since when a proxy sees it as not alive)] of members that some proxy
    does not consider alive."""
    states_by_member = {}
    for proxy, view in sorted(found.items()):
        for member, state in view.states.items():
            states_by_member.setdefault(member, {}).setdefault(state, []).append(proxy)
    rows = []
    for member, states in sorted(states_by_member.items()):
        if set(states) != {"alive"}:
            others = [p for state, proxies in states.items() if state != "alive" for p in proxies]
            rows.append((member, states, min(found[p].since[member] for p in others)))
    return rows
