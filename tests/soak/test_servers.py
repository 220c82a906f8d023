"""The soak's central servers, each as one proxy meets it."""

import asyncio
import random
import time

import pytest

from bench.soak.judge import Judge
from bench.soak.plan import draw
from bench.soak.servers import Server


class Stage:
    """What a server needs of its trial."""

    def __init__(self):
        self.judge, self.chance, self.tasks = Judge(draw(1).settings["rules"], 1), random.Random(1), []

    def now(self):
        return time.monotonic()

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return self.tasks[-1]


# Guards against a connection that outlives the process at its other end: it would prove a dead server alive.
def test_a_server_that_dies_resets_connections_that_it_has_not_seen_yet():
    async def main():
        stage = Stage()
        server = await Server(stage, draw(1).servers[0], 1.0).start(1)
        server.late_until = stage.now() + 0.3
        reader, writer = await asyncio.open_connection("127.0.0.1", server.ports[0])
        await asyncio.sleep(0.05)
        server.die()
        try:
            return await asyncio.wait_for(reader.read(1), 1)
        except ConnectionResetError:
            return "reset"
        finally:
            writer.close()
            for task in stage.tasks:
                task.cancel()

    assert asyncio.run(main()) == "reset"


# Guards against a fault that is none: connections that are lost must not come up, and must again once it is over.
def test_no_connection_comes_up_while_a_server_loses_them():
    async def tried(port, seconds):
        _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), seconds)
        writer.close()

    async def main():
        stage = Stage()
        server = await Server(stage, draw(1).servers[0], 1.0).start(1)
        losing = stage.spawn(server.lose_connections(0.6))
        await asyncio.sleep(0.05)
        with pytest.raises(TimeoutError):
            await tried(server.ports[0], 0.3)
        await losing
        await tried(server.ports[0], 1)
        server.close()
        for task in stage.tasks:
            task.cancel()

    asyncio.run(main())
