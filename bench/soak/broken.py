"""A border proxy with a planted fault, which the soak has to find: `python -m bench.soak.broken forgets|ends-early`."""

import asyncio
import itertools
import os
import sys

from thorndale.net.clock import now_us
from thorndale.node import __main__ as node
from thorndale.node.shell import Shell
from thorndale.platform import isup

FORGETS_ONE_IN, FORGOTTEN = 1_000, 100  # which one of each thousand
EARLY_S = 0.05


def forget_answers():
    """One answer in a thousand is taken for sent."""
    to_caller, counted = Shell.to_caller, itertools.count(1)

    def forgetful(self, conn, data):
        is_answer = data[2] in (isup.ANSWER, isup.RELEASE)
        if is_answer and next(counted) % FORGETS_ONE_IN == FORGOTTEN:
            return True
        return to_caller(self, conn, data)

    Shell.to_caller = forgetful


def end_early():
    """The process ends 50 ms before its time, whatever is open."""
    stop = Shell.stop

    async def hasty(self):
        stopping = self.loop.create_task(stop(self))
        await asyncio.sleep(0)
        await asyncio.sleep((self.core.shutdown.ends_at - now_us()) / 1e6 - EARLY_S)
        if not stopping.done():
            os._exit(0)

    Shell.stop = hasty


FAULTS = {"forgets": forget_answers, "ends-early": end_early}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(node.main())
