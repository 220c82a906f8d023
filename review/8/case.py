"""Case 8: a control feed that answers two seconds late is never heard, so that a drain is not kept."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import Caller, Feed, Proxy, Server, call_ids, play  # noqa: E402

LAG_S = 2.0  # of all that the new feed writes
TOLD_S = 4.0  # the page: what the feed has to tell counts as told 4 s after SIGHUP
GRACE_S, SLACK_S = 0.5, 0.05


async def scenario(record, scratch, trouble, started):
    servers = [Server(record, "s-0000000a", 0, hold_ms=2000), Server(record, "s-0000000b", 1, hold_ms=2000)]
    started += servers
    for server in servers:
        await server.start()
    old = Feed(record, servers)
    started.append(old)
    await old.start()
    proxy = Proxy(record, scratch, "n1", old)
    started.append(proxy)
    proxy.start()
    await proxy.ready()
    caller, ids = await Caller(record, proxy).open(), call_ids(0)

    async def calls(seconds):
        for _ in range(int(seconds * 5)):
            caller.setup(next(ids), dest=0)
            await asyncio.sleep(0.2)

    await calls(3)
    new = Feed(record, servers, LAG_S if trouble else 0.0, old.frames)
    started.append(new)
    await new.start()
    proxy.reload(new)
    moved_at = record.rows[-1]["at"]
    asyncio.get_running_loop().call_later(1.5, lambda: asyncio.ensure_future(old.kill()))
    await calls(1)
    servers[0].state = 1
    new.tell(servers[0])
    event_at = record.rows[-1]["at"]
    await calls(12)
    await asyncio.sleep(3)
    until = max(moved_at + TOLD_S, event_at) + GRACE_S + SLACK_S
    return [
        {"call": row["call"], "sent_at": row["at"], "allowed_until": until}
        for row in record.rows
        if row["what"] == "server: set-up" and row["server"] == servers[0].name and row["at"] > until
    ]


sys.exit(play(Path(__file__).resolve().parent / "record.txt", scenario))
