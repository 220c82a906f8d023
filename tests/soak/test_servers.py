"""Central server stand-ins of the soak, as seen from one proxy."""

import asyncio
import random
import time

import pytest

from bench.soak.judge import Judge
from bench.soak.plan import draw
from bench.soak.servers import Server


class TrialStub:
    """The part of a trial that a server uses."""

    def __init__(self):
        self.judge, self.rng, self.tasks = Judge(draw(1).settings["rules"], 1), random.Random(1), []

    def now(self):
        return time.monotonic()

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return self.tasks[-1]


# A connection must not outlive the server process at its other end: it would make a dead server look alive.
def test_a_server_that_dies_resets_connections_that_it_does_not_serve_yet():
    async def main():
        trial = TrialStub()
        server = await Server(trial, draw(1).servers[0], 1.0).start(1)
        server.accepts_late_until = trial.now() + 0.3
        reader, writer = await asyncio.open_connection("127.0.0.1", server.ports[0])
        await asyncio.sleep(0.05)
        server.die()
        try:
            return await asyncio.wait_for(reader.read(1), 1)
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()
            for task in trial.tasks:
                task.cancel()

    assert asyncio.run(main()) == "reset"


# Checks that the injected fault takes effect: no connection comes up during it, and connections come up after it.
def test_no_connection_comes_up_while_a_server_loses_them():
    async def connect(port, seconds):
        _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), seconds)
        writer.close()

    async def main():
        trial = TrialStub()
        server = await Server(trial, draw(1).servers[0], 1.0).start(1)
        losing = trial.spawn(server.lose_connections(0.6))
        await asyncio.sleep(0.05)
        with pytest.raises(TimeoutError):
            await connect(server.ports[0], 0.3)
        await losing
        await connect(server.ports[0], 1)
        server.close()
        for task in trial.tasks:
            task.cancel()

    asyncio.run(main())
