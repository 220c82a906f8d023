"""The scenario of an emulated day: callers, servers, faults and other events. Plain values."""

from typing import NamedTuple

S = 1_000_000


class CallType(NamedTuple):
    share: float
    target_us: int
    guard_us: int
    hold_us: int
    revenue: float
    late_part: float


class ScenarioEvent(NamedTuple):
    """An event of the day. `kind` is one of:

    - 'dark': all servers of `site` stop answering
    - 'killed': they reset their calls and refuse new ones
    - 'restart': they return as new, cold processes
    - 'back': unresponsive servers answer again, as the same processes
    - 'slow': each piece of work takes `factor` times as long
    - 'burst': the call rate is multiplied by `factor` until the next burst event
    - 'cuts': they answer calls and cut each one a second later
    - 'errors': they answer the fraction `factor` of their set-ups with an error at once
    - 'sizes': within each pool, each server takes over the capacity of the next
    - 'join': they are listed from now on, not before
    - 'stall': `proxies` are suspended for `span_us`

    `servers`: affects only these instead of the whole site.
    `announced`: whether the server list announces it, `late_us` later than usual."""

    at_us: int
    kind: str
    site: int = 0
    factor: float = 1.0
    announced: bool = True
    servers: frozenset = frozenset()
    proxies: frozenset = frozenset()
    span_us: int = 0
    late_us: int = 0


class LinkFault(NamedTuple):
    """A faulty link between these proxies and servers from `at_us` to `until_us`. `direction`: 'out' (to the server),
    'back' or 'both'. The fraction `lose` of the messages is lost, the others arrive `delay_us` later. `reports`:
    affects load reports only."""

    at_us: int
    until_us: int
    proxies: frozenset
    servers: frozenset
    direction: str = "both"
    lose: float = 1.0
    delay_us: int = 0
    reports: bool = False

    def connects(self, proxy, server):
        return proxy in self.proxies and server in self.servers


class Day(NamedTuple):
    """`servers`: number of servers per site.
    `calls`: call rate of all callers per second.
    `outside`: per site, the set-ups per second that it accepts from other sites.
    `policy`: 'sites', 'none' (own site only), 'unbounded' (overflow without a limit), 'plain' (every site is open to
    every call, the module alone decides) or 'oracle' (places calls by the true state of all servers).
    `largest_proxy_fraction`: the fraction of all calls that proxy 0 receives, 0 for an equal one.
    `one_pool_per_site`: the servers of a site form one pool, otherwise each server is a pool of its own.
    `sizes`: capacity of each server as a multiple of the model's.
    `selection`: how a server of a pool is selected (`selection.py`), empty for the module's own round robin.
    `unequal_proxies`: some proxies receive several times the calls of others."""

    seed: int = 1
    length_us: int = 120 * S
    proxies: int = 20
    servers: tuple = (5, 5)
    lines: int = 600  # of a server; its processor is exhausted before its lines are
    calls: float = 400.0
    outside: tuple = (150.0, 150.0)
    policy: str = "sites"
    scenario_events: tuple = ()
    types: tuple = (
        CallType(0.94, 1_200_000, 9_000_000, 5_000_000, 1.0, 0.25),
        CallType(0.06, 800_000, 6_000_000, 4_000_000, 6.0, 0.25),
    )
    own_site_delay_us: int = 6_000
    cross_site_delay_us: int = 17_000
    list_delay_us: tuple = (1_400_000, 4_700_000)  # from an event until the list announces it, drawn per proxy
    report_interval_us: int = 1_000_000
    patience_fraction: float = 0.35  # fraction of the guard time after which an attempt is given up
    redials: int = 3
    redial_delay_us: int = 1_000_000
    largest_proxy_fraction: float = 0.0
    warm_up_us: int = 12_000_000
    one_pool_per_site: bool = False
    sizes: tuple = ()
    links: tuple = ()
    selection: str = ""
    unequal_proxies: bool = False
    start_us: int = 0  # each proxy starts at a random moment within it
    peer_exchange: str = ""  # between proxies: 'rights' (leases), 'words' (failure reports) or both; empty for none
    peer_links: tuple = ()  # faulty links between proxies (`peer_network.PeerLinkFault`)
