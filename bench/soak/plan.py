"""The plan of one trial, drawn entirely from its seed; `play` runs it. Times are in seconds from the trial's start.

The order of the draws is part of the format: a change makes every seed play another trial.
"""

import random
from typing import NamedTuple

EARLIEST_REPLACEMENT_S = 2.5  # the limit for a new server comes from a whole load window of the old one
FAULT_FREE_TAIL_S = 2.0  # no fault begins this close to the end of the load


class ServerPlan(NamedTuple):
    """A central server. `refuses`, `spoils` (malformed), `in_pieces`: shares of its answers; `pieces_s`: pause between
    the two halves of an answer; `lines`: most established calls at one time."""

    name: str
    pool: int
    answer_s: tuple
    refuses: float
    spoils: float
    in_pieces: float
    pieces_s: float
    lines: int


class CallersPlan(NamedTuple):
    """Callers of one proxy. `rate`: set-ups a second. Shares of the calls: `gives_up`, `in_pieces`, `redials`; of the
    connections: `resets`."""

    rate: float
    connections: int
    answers_releases: bool
    gives_up: float
    in_pieces: float
    redials: float
    resets: float


class Fault(NamedTuple):
    """A fault that begins `at` and `lasts` so many seconds. `what`: a key of `play.FAULTS`; `proxy`, `server`: indices,
    -1 where the fault is not limited to one."""

    at: float
    what: str
    lasts: float = 0.0
    proxy: int = -1
    server: int = -1


class Plan(NamedTuple):
    seed: int
    seconds: float
    settings: dict
    sockets: int
    proxies: int
    servers: tuple
    callers: CallersPlan
    faults: tuple

    @property
    def deadline_s(self):
        return self.settings["classes"][0]["giveUpMs"] / 1000

    @property
    def earliest_kill_s(self):
        """Seconds from SIGTERM to the earliest SIGKILL, as the protocol sets them."""
        return min(max(kind["giveUpMs"] for kind in self.settings["classes"]) / 1000, 3.0) + 0.7


def draw(seed):
    """Draws the Plan of a seed."""
    rng = random.Random(seed)
    pools = rng.choice((2, 2, 3))
    servers = tuple(_server(rng, number, number % pools) for number in range(rng.randint(pools, pools + 2)))
    proxies, seconds = rng.randint(3, 8), rng.uniform(10, 16)
    callers = CallersPlan(
        rate=_rate(rng),
        connections=rng.randint(2, 8),
        answers_releases=rng.random() < 0.7,
        gives_up=rng.choice((0.0, 0.05, 0.2)),
        in_pieces=rng.choice((0.0, 0.05, 0.15)),
        redials=rng.choice((0.3, 0.8)),
        resets=rng.choice((0.0, 0.02, 0.08)),
    )
    settings = _settings(rng, proxies, pools)
    faults = _faults(rng, seconds, proxies, len(servers))
    return Plan(seed, seconds, settings, rng.choice((128, 256)), proxies, servers, callers, faults)


def _rate(rng):
    """Set-ups a second at one proxy: very low in a quarter of the trials, tripled in 15% of them."""
    kind = rng.random()
    if kind < 0.25:
        return rng.uniform(0.4, 2.0)
    return rng.uniform(6, 30) * (3 if kind > 0.85 else 1)


def _server(rng, number, pool):
    fast = rng.uniform(0.005, 0.05)
    return ServerPlan(
        f"s-000000{number + 10:02x}",
        pool,
        (fast, fast * rng.uniform(1, 8)),
        rng.choice((0.0, 0.0, 0.05, 0.3)),
        rng.choice((0.0, 0.0, 0.02)),
        rng.choice((0.0, 0.0, 0.1, 0.3)),
        rng.choice((0.1, 0.3, 0.5)),
        rng.choice((40, 100, 400)),
    )


def _settings(rng, proxies, pools):
    deadlines = [rng.choice((300, 400, 800, 1500, 3000, 5000)) for _ in range(rng.randint(1, 2))]
    holds = [rng.choice((300.0, 1000.0, 3000.0, 9000.0)) for _ in deadlines]
    return {
        "tickMs": 1.0,
        "nInstances": proxies,
        "discovery": "automatic",
        "tenants": [],
        "classes": [
            {"name": f"kind{n}", "goalTimeMs": ms / 3, "giveUpMs": float(ms), "worth": rng.choice((1.0, 4.0))}
            for n, ms in enumerate(deadlines)
        ],
        "familyInfo": {
            "classHoldMs": holds,
            "classWidth": [rng.choice((1, 1, 2)) for _ in deadlines],
            "guardMs": rng.choice((50.0, 100.0, 250.0)),
            "skilledPools": [list(range(pools))] * len(deadlines),
        },
        "ceilings": {
            "sendCap": rng.choice((2, 3, 5)),
            "mostHeld": 2000,
            "mayCancel": True,
            "retryAfter": rng.random() < 0.8,
            "maxRetryAfterMs": 2000.0,
            "dialTimeoutMs": rng.choice((200.0, 500.0, 1500.0)),
        },
        "rules": {
            "drainGraceMs": rng.choice((200.0, 500.0, 1000.0)),
            "startCapacity": 0.28,
            "warmUpMs": 14000.0,
            "fallMultiple": 2.0,
            "fallMs": 1500.0,
        },
    }


PROXY_FAULTS = (
    "restart",
    "restart",
    "restart with signals",
    "kill",
    "feed silent",
    "feed slow",
    "feed down",
    "moved",
    "moved thrice",
)
SERVER_FAULTS = (
    "drain",
    "drain",
    "replace",
    "vanish",
    "hang",
    "cut",
    "resets",
    "late connections",
    "lost connections",
    "releases all",
    "closes",
    "closes at once",
)
LINK_FAULTS = ("link cut", "link reset", "link slow")
CALLER_FAULTS = ("bad callers", "burst", "crowd", "callers close")
COINCIDENCES = (
    "drain in a silence",
    "drain as the feed returns",
    "drain among moves",
    "ends after answers",
    "callers end as they send",
)  # two faults that coincide within some tenths of a second


def _faults(rng, seconds, proxies, servers):
    """Draws some faults of each group. They may overlap; the proxies restart one after another."""
    drawn, latest = [], seconds - FAULT_FREE_TAIL_S

    def at():
        return rng.uniform(0.5, latest)

    first_restart_at = rng.uniform(1.0, latest)
    for number in range(rng.randint(1, proxies)):
        drawn.append(
            Fault(
                min(latest, first_restart_at + number * rng.uniform(0.05, 0.8)), rng.choice(PROXY_FAULTS[:4]), 0, number
            )
        )
    for _ in range(rng.randint(1, 4)):
        what = rng.choice(PROXY_FAULTS[4:])
        drawn.append(Fault(at(), what, rng.uniform(0.5, 5.0), rng.randrange(proxies)))
    for _ in range(rng.randint(2, 6)):
        when, what = at(), rng.choice(SERVER_FAULTS)
        if what == "replace":
            when = max(when, EARLIEST_REPLACEMENT_S)
        drawn.append(Fault(when, what, rng.uniform(0.3, 4.0), -1, rng.randrange(servers)))
    for _ in range(rng.randint(0, 3)):
        what = rng.choice(LINK_FAULTS)
        drawn.append(Fault(at(), what, rng.uniform(0.2, 2.5), rng.randrange(proxies), rng.randrange(servers)))
    for _ in range(rng.randint(1, 4)):
        drawn.append(Fault(at(), rng.choice(CALLER_FAULTS), 0, rng.randrange(proxies)))
    for _ in range(rng.randint(0, 3)):
        what, lasts = rng.choice(COINCIDENCES), rng.uniform(0.5, 3.0)
        drawn.append(Fault(at(), what, lasts, rng.randrange(proxies), rng.randrange(servers)))
    return tuple(sorted(drawn))
