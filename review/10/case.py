"""Case 10: a late notice of a server's restart cuts the calls that stand at its new process."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import Caller, Feed, Proxy, Server, call_ids, play, released_while_standing  # noqa: E402

DOWN_S = 6.0  # the brief: dead processors come back cold after 5.9 to 19 s
LATE_S = 2.3  # the site file: a start is listed 0.47 to 2.4 s later


async def scenario(record, scratch, trouble, started):
    servers = [Server(record, "s-0000000a", 0), Server(record, "s-0000000b", 1)]
    started += servers
    for server in servers:
        await server.start()
    feed = Feed(record, servers)
    started.append(feed)
    await feed.start()
    proxy = Proxy(record, scratch, "n1", feed)
    started.append(proxy)
    proxy.start()
    await proxy.ready()
    caller, ids = await Caller(record, proxy).open(), call_ids(0)
    for n in range(8):  # both servers are in use before
        caller.setup(next(ids), dest=n % 2)
        await asyncio.sleep(0.2)
    if trouble:
        await servers[0].kill()
    await asyncio.sleep(DOWN_S)
    if trouble:
        servers[0].born_ms = int(time.time() * 1000)
        await servers[0].start()
    await asyncio.sleep(1.2)
    caller = await Caller(record, proxy).open()  # the resting one may have been closed
    for n in range(8):
        caller.setup(next(ids), dest=n % 2)
        await asyncio.sleep(0.1)
    await asyncio.sleep(LATE_S - 2.0)
    if trouble:
        feed.tell(servers[0])
    await asyncio.sleep(12)
    caller.close()
    return released_while_standing(record)


sys.exit(play(Path(__file__).resolve().parent, scenario))
