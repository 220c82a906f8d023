"""What a scale test may take of this machine: it refuses before anything starts, and names the limit."""

import resource
from typing import NamedTuple

PROCESSES_MOST = 300
MEMORY_MOST_MB = 16_000
DESCRIPTORS_KEPT = 64  # of each process, for its pipes, its log and the interpreter


class MachineLimitError(Exception):
    """The test asks for more than the machine, or these tests' own bound, allows; the text names the limit."""


class Demand(NamedTuple):
    """What a test will hold at its most. `sockets`: of the process that holds the most."""

    processes: int
    memory_mb: float
    sockets: int


class Machine(NamedTuple):
    processes: int
    memory_mb: float
    descriptors: int


def machine():
    """What is free now."""
    with open("/proc/meminfo", encoding="ascii") as file:
        rows = dict(line.split(":") for line in file)
    available_mb = int(rows["MemAvailable"].split()[0]) / 1024
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(PROCESSES_MOST, min(MEMORY_MOST_MB, available_mb), descriptors)


def require(demand, allowed=None):
    """Raises MachineLimitError where the demand is over a limit."""
    allowed = allowed or machine()
    if demand.processes > allowed.processes:
        raise MachineLimitError(f"{demand.processes} processes are asked for, {allowed.processes} are allowed")
    if demand.memory_mb > allowed.memory_mb:
        raise MachineLimitError(f"{demand.memory_mb:.0f} MB are asked for, {allowed.memory_mb:.0f} MB are allowed")
    needed = demand.sockets + DESCRIPTORS_KEPT
    if needed > allowed.descriptors:
        raise MachineLimitError(f"{needed} descriptors a process are asked for, {allowed.descriptors} are allowed")
