"""Case 10: a server that was once restarted is held dead for good, so calls that stand there are given up when they are
named.

TROUBLE=proxy kills the proxy and leaves the server alone: its calls are taken up by the other proxy, and the rule
holds."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import SETTINGS, Caller, Feed, Proxy, Server, call_ids, play, released_while_standing, until  # noqa: E402

DOWN_S = 6.0  # the brief: dead processors come back cold after 5.9 to 19 s
LATE_S = 1.0  # the site file: a start is listed 0.47 to 2.4 s later
NOTICE_S = 3.0  # the protocol page: some seconds after a proxy's death the front notices
QUIET_S = 15.0  # the server is warm again (14 s at most) and serves


async def scenario(record, scratch, trouble, started):
    servers = [Server(record, "s-0000000a", 0, hold_ms=11000), Server(record, "s-0000000b", 1, hold_ms=11000)]
    started += servers
    for server in servers:
        await server.start()
    feeds = [Feed(record, servers) for _ in range(2)]
    proxies = []
    for n, feed in enumerate(feeds):
        started.append(feed)
        await feed.start()
        proxies.append(Proxy(record, scratch, f"n{n + 1}", feed, settings=SETTINGS | {"nInstances": 2, "slotNo": n}))
    started += proxies
    for proxy in proxies:
        proxy.start()
    for proxy in proxies:
        await proxy.ready()
    ids, callers = call_ids(0), [await Caller(record, proxy).open() for proxy in proxies]
    for n in range(8):  # both servers are in use by both proxies
        callers[n % 2].setup(next(ids), dest=n // 2 % 2)
        await asyncio.sleep(0.1)
    if trouble and os.environ.get("TROUBLE") != "proxy":
        await servers[0].kill()
        await asyncio.sleep(DOWN_S)
        servers[0].born_ms = int(time.time() * 1000)
        await servers[0].start()
        await asyncio.sleep(LATE_S)
        for feed in feeds:
            feed.tell(servers[0])
    await asyncio.sleep(QUIET_S)
    callers = [await Caller(record, proxy).open() for proxy in proxies]  # the resting ones may have been closed
    for n in range(4):  # the restarted server serves both proxies
        callers[0].setup(next(ids), dest=0)
        await asyncio.sleep(0.1)
    calls = [callers[1].setup(next(ids), dest=0) for _ in range(4)]
    await until(lambda: all(call in callers[1].got for call in calls), 3)
    await asyncio.sleep(1)
    if trouble:
        proxies[1].kill()
    else:
        return released_while_standing(record)
    await asyncio.sleep(NOTICE_S)
    again = await Caller(record, proxies[0]).open()
    for call in calls:
        again.setup(call, dest=0, at=servers[0].name, within=0)
    await asyncio.sleep(12)
    return released_while_standing(record)


sys.exit(play(Path(__file__).resolve().parent, scenario))
