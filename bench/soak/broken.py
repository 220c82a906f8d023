"""A border proxy with a planted fault that the soak must detect: `python -m bench.soak.broken forgets|ends-early`."""

import asyncio
import itertools
import os
import sys

from thorndale.net.clock import now_us
from thorndale.node import __main__ as node
from thorndale.node.shell import Shell
from thorndale.platform import isup

DROP_PERIOD, DROPPED_INDEX = 1_000, 100  # drops the 100th of each 1,000 answers
EARLY_EXIT_S = 0.05


def install_answer_loss():
    """Patches the node to treat one answer in a thousand as sent without writing it."""
    to_caller, answer_numbers = Shell.to_caller, itertools.count(1)

    def to_caller_dropping(self, conn, data):
        is_answer = data[2] in (isup.ANSWER, isup.RELEASE)
        if is_answer and next(answer_numbers) % DROP_PERIOD == DROPPED_INDEX:
            return True
        return to_caller(self, conn, data)

    Shell.to_caller = to_caller_dropping


def install_early_exit():
    """Patches the node to exit 50 ms before its shutdown deadline, even with pending calls."""
    stop = Shell.stop

    async def stop_early(self):
        stopping = self.loop.create_task(stop(self))
        await asyncio.sleep(0)
        await asyncio.sleep((self.core.shutdown.ends_at - now_us()) / 1e6 - EARLY_EXIT_S)
        if not stopping.done():
            os._exit(0)

    Shell.stop = stop_early


FAULTS = {"forgets": install_answer_loss, "ends-early": install_early_exit}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(node.main())
