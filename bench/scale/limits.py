"""Limits on what a scale test may use of this machine, checked before the test starts anything."""

import resource
from typing import NamedTuple

MAX_PROCESSES = 300
MAX_MEMORY_MB = 16_000
RESERVED_DESCRIPTORS = 64  # reserved in each process for its pipes, its log and the interpreter


class MachineLimitError(Exception):
    """The test needs more than the machine, or the bound of the scale tests, allows; the message names the limit."""


class Demand(NamedTuple):
    """Peak use of a test. `sockets`: those of the process with the most."""

    processes: int
    memory_mb: float
    sockets: int


class Machine(NamedTuple):
    processes: int
    memory_mb: float
    descriptors: int


def machine():
    """What is available now: the free memory, and at most the bounds above."""
    with open("/proc/meminfo", encoding="ascii") as file:
        rows = dict(line.split(":") for line in file)
    available_mb = int(rows["MemAvailable"].split()[0]) / 1024
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Machine(MAX_PROCESSES, min(MAX_MEMORY_MB, available_mb), descriptors)


def require(demand, allowed=None):
    """Raises MachineLimitError if the demand exceeds a limit."""
    allowed = allowed or machine()
    if demand.processes > allowed.processes:
        raise MachineLimitError(f"{demand.processes} processes are requested, {allowed.processes} are allowed")
    if demand.memory_mb > allowed.memory_mb:
        raise MachineLimitError(f"{demand.memory_mb:.0f} MB are requested, {allowed.memory_mb:.0f} MB are allowed")
    needed = demand.sockets + RESERVED_DESCRIPTORS
    if needed > allowed.descriptors:
        raise MachineLimitError(f"{needed} descriptors a process are requested, {allowed.descriptors} are allowed")
