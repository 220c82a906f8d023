"""The target size of the fleet and the bounds on its costs, from the operators' figures.

Where a figure has two possible readings, both are given; `docs/CAPACITY.md` states which one the design uses.
"""

SERVERS = 1_400  # central servers, each with its border proxy
SERVICES = 38
SERVICE_SERVERS = -(-SERVERS // SERVICES)  # 37 servers in one service
REGIONS, ZONES = 3, 9
ZONE_SERVERS = -(-SERVERS // ZONES)  # 156
RACK_SERVERS = 50  # servers that fail with one rack or switch; our assumption, not an operators' figure
DEPTH = 24  # hops of the deepest call
HOPS_PER_S = 96_000  # set-ups a second of all proxies, if the figure counts hops
PROXY_PER_S = HOPS_PER_S / SERVERS  # 68.6 set-ups a second at one proxy
PROXY_PER_S_IF_CALLS = HOPS_PER_S * DEPTH / SERVERS  # 1,646, if the figure counts calls, each of the full depth
ADDED_MS = 0.49  # added to a call, 99th percentile
CHANGES_PER_DAY = 450  # configuration changes
CHANGE_IN_FORCE_S = 7.0  # until a change is in force everywhere
CONTROL_CORE = 0.041  # share of a core that a proxy spends on control
CONTROL_MB = 64.0
CONTROL_BYTES_PER_S = 13_000.0
CONTROL_MACHINES = 3
RESTARTS_PER_DAY, FAILURES_PER_DAY = 140, 2
