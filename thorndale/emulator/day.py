"""A day to be played: who calls, what serves, what happens. Plain values."""

from typing import NamedTuple

S = 1_000_000


class Type(NamedTuple):
    share: float
    target_us: int
    guard_us: int
    hold_us: int
    revenue: float
    late_part: float


class Trouble(NamedTuple):
    """`kind`: 'dark' (all servers of `site` silent), 'killed' (reset and refused), 'restart' (back, cold), 'back' (a
    silent site speaks again), 'slow' (work `factor` times as long), 'burst' (calls `factor` times as many until the
    next), 'cuts' (answers, and cuts each call a second later), 'errors' (answers the part `factor` of its set-ups with
    a fault at once), 'sizes' (capacities turn by one within each pool), 'join' (listed from now on, not before),
    'stall' (`proxies` stand still for `span_us`). `servers`: these alone, not all of the site. `told`: whether the
    list tells of it, `late_us` later than it would."""

    at_us: int
    kind: str
    site: int = 0
    factor: float = 1.0
    told: bool = True
    servers: frozenset = frozenset()
    proxies: frozenset = frozenset()
    span_us: int = 0
    late_us: int = 0


class Link(NamedTuple):
    """What befalls messages between these proxies and servers from `at_us` to `until_us`: `way` 'out' (to the server),
    'back' or 'both'; a part of them is lost, the others come `delay_us` later. `reports`: load reports alone."""

    at_us: int
    until_us: int
    proxies: frozenset
    servers: frozenset
    way: str = "both"
    lose: float = 1.0
    delay_us: int = 0
    reports: bool = False

    def joins(self, proxy, server):
        return proxy in self.proxies and server in self.servers


class Day(NamedTuple):
    """`servers`: per site how many. `calls`: a second, of all callers. `outside`: per site set-ups a second from
    outside. `policy`: 'sites', 'none' (own site alone), 'unbounded' (spill without a limit), 'plain' (every site to
    every call, the module alone) or 'oracle' (sees all true states). `largest`: the part of all calls that one
    proxy has, 0 for an equal one. `together`: the servers of a site are one pool, else each is a pool of its own.
    `sizes`: capacity of each server, of the model's; `way`: how servers of a pool are chosen among (`ways.py`), the
    module's own where empty. `unequal`: some proxies get several times the calls of others."""

    seed: int = 1
    length_us: int = 120 * S
    proxies: int = 20
    servers: tuple = (5, 5)
    lines: int = 600  # a server: its processor runs short before them
    calls: float = 400.0
    outside: tuple = (150.0, 150.0)
    policy: str = "sites"
    troubles: tuple = ()
    types: tuple = (
        Type(0.94, 1_200_000, 9_000_000, 5_000_000, 1.0, 0.25),
        Type(0.06, 800_000, 6_000_000, 4_000_000, 6.0, 0.25),
    )
    own_us: int = 6_000
    cross_us: int = 17_000
    list_us: tuple = (1_400_000, 4_700_000)  # from an event to the list's telling it, drawn per proxy
    report_us: int = 1_000_000
    patience: float = 0.35  # of the guard time, after which a try is given up
    redials: int = 3
    backoff_us: int = 1_000_000
    largest: float = 0.0
    warm_up_us: int = 12_000_000
    together: bool = False
    sizes: tuple = ()
    links: tuple = ()
    way: str = ""
    unequal: bool = False
    start_us: int = 0  # proxies begin at a moment drawn within it
    share: str = ""  # what proxies tell each other: 'rights', 'words' or both; empty for nothing
    between: tuple = ()  # what befalls these messages (`sharing.Between`)
