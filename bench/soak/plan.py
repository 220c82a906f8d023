"""What one trial plays: everything is drawn from its seed, nothing is carried out here. Times are seconds from its start."""

import random
from typing import NamedTuple

REPLACED_AFTER_S = 2.5  # s before which no server is replaced: the new one is judged by a whole window of the old one
ENDS_BEFORE_S = 2.0  # s before the load ends in which no fault begins


class ServerPlan(NamedTuple):
    """A central server. `refuses`, `spoils`, `in_pieces`: parts of its answers; `pieces_s`: s between two halves.
    `lines`: calls that can stand there at one time."""

    name: str
    pool: int
    answer_s: tuple
    refuses: float
    spoils: float
    in_pieces: float
    pieces_s: float
    lines: int


class CallersPlan(NamedTuple):
    """Callers of one proxy. Parts of the calls: `gives_up`, `in_pieces`, `redials`; of the connections: `resets`."""

    rate: float
    connections: int
    answers_releases: bool
    gives_up: float
    in_pieces: float
    redials: float
    resets: float


class Fault(NamedTuple):
    """`at` for `lasts` seconds. `what` is a name of `play.FAULTS`; `proxy`, `server`: indices, -1 where none."""

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
        """s after SIGTERM before which no SIGKILL comes: the protocol's."""
        return min(max(kind["giveUpMs"] for kind in self.settings["classes"]) / 1000, 3.0) + 0.7


def draw(seed):
    """The Plan of a seed."""
    chance = random.Random(seed)
    pools = chance.choice((2, 2, 3))
    servers = tuple(_server(chance, number, number % pools) for number in range(chance.randint(pools, pools + 2)))
    proxies, seconds = chance.randint(3, 8), chance.uniform(10, 16)
    callers = CallersPlan(
        rate=_rate(chance),
        connections=chance.randint(2, 8),
        answers_releases=chance.random() < 0.7,
        gives_up=chance.choice((0.0, 0.05, 0.2)),
        in_pieces=chance.choice((0.0, 0.05, 0.15)),
        redials=chance.choice((0.3, 0.8)),
        resets=chance.choice((0.0, 0.02, 0.08)),
    )
    settings = _settings(chance, proxies, pools)
    faults = _faults(chance, seconds, proxies, len(servers))
    return Plan(seed, seconds, settings, chance.choice((128, 256)), proxies, servers, callers, faults)


def _rate(chance):
    """Set-ups a second at one proxy: some runs are thin, some have a crowd."""
    kind = chance.random()
    if kind < 0.25:
        return chance.uniform(0.4, 2.0)
    return chance.uniform(6, 30) * (3 if kind > 0.85 else 1)


def _server(chance, number, pool):
    fast = chance.uniform(0.005, 0.05)
    return ServerPlan(
        f"s-000000{number + 10:02x}",
        pool,
        (fast, fast * chance.uniform(1, 8)),
        chance.choice((0.0, 0.0, 0.05, 0.3)),
        chance.choice((0.0, 0.0, 0.02)),
        chance.choice((0.0, 0.0, 0.1, 0.3)),
        chance.choice((0.1, 0.3, 0.5)),
        chance.choice((40, 100, 400)),
    )


def _settings(chance, proxies, pools):
    deadlines = [chance.choice((300, 400, 800, 1500, 3000, 5000)) for _ in range(chance.randint(1, 2))]
    holds = [chance.choice((300.0, 1000.0, 3000.0, 9000.0)) for _ in deadlines]
    return {
        "tickMs": 1.0,
        "nInstances": proxies,
        "discovery": "automatic",
        "tenants": [],
        "classes": [
            {"name": f"kind{n}", "goalTimeMs": ms / 3, "giveUpMs": float(ms), "worth": chance.choice((1.0, 4.0))}
            for n, ms in enumerate(deadlines)
        ],
        "familyInfo": {
            "classHoldMs": holds,
            "classWidth": [chance.choice((1, 1, 2)) for _ in deadlines],
            "guardMs": chance.choice((50.0, 100.0, 250.0)),
            "skilledPools": [list(range(pools))] * len(deadlines),
        },
        "ceilings": {
            "sendCap": chance.choice((2, 3, 5)),
            "mostHeld": 2000,
            "mayCancel": True,
            "retryAfter": chance.random() < 0.8,
            "maxRetryAfterMs": 2000.0,
            "dialTimeoutMs": chance.choice((200.0, 500.0, 1500.0)),
        },
        "rules": {
            "drainGraceMs": chance.choice((200.0, 500.0, 1000.0)),
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
CROSSINGS = (
    "drain in a silence",
    "drain as the feed returns",
    "drain among moves",
    "ends after answers",
    "callers end as they send",
)  # two things that meet within some tenths of a second


def _faults(chance, seconds, proxies, servers):
    """Some of each line, overlapping; restarts come one after another."""
    found, last = [], seconds - ENDS_BEFORE_S

    def at():
        return chance.uniform(0.5, last)

    series = chance.uniform(1.0, last)
    for number in range(chance.randint(1, proxies)):
        found.append(
            Fault(min(last, series + number * chance.uniform(0.05, 0.8)), chance.choice(PROXY_FAULTS[:4]), 0, number)
        )
    for _ in range(chance.randint(1, 4)):
        what = chance.choice(PROXY_FAULTS[4:])
        found.append(Fault(at(), what, chance.uniform(0.5, 5.0), chance.randrange(proxies)))
    for _ in range(chance.randint(2, 6)):
        when, what = at(), chance.choice(SERVER_FAULTS)
        if what == "replace":
            when = max(when, REPLACED_AFTER_S)
        found.append(Fault(when, what, chance.uniform(0.3, 4.0), -1, chance.randrange(servers)))
    for _ in range(chance.randint(0, 3)):
        what = chance.choice(LINK_FAULTS)
        found.append(Fault(at(), what, chance.uniform(0.2, 2.5), chance.randrange(proxies), chance.randrange(servers)))
    for _ in range(chance.randint(1, 4)):
        found.append(Fault(at(), chance.choice(CALLER_FAULTS), 0, chance.randrange(proxies)))
    for _ in range(chance.randint(0, 3)):
        what, lasts = chance.choice(CROSSINGS), chance.uniform(0.5, 3.0)
        found.append(Fault(at(), what, lasts, chance.randrange(proxies), chance.randrange(servers)))
    return tuple(sorted(found))
