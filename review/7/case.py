"""Case 7: a call of a class that may not be repeated is set up a second time after its answer was spoilt."""

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit2"))
from stand import SETTINGS, Caller, Feed, Proxy, Server, call_ids, play  # noqa: E402

SPOILT = 3  # answers, of 20 calls at two servers


async def scenario(record, scratch, trouble, started):
    settings = copy.deepcopy(SETTINGS)
    for call_type in settings["classes"]:
        call_type["semantics"] = "unsafe"
    servers = [Server(record, "s-0000000a", 0, hold_ms=3000), Server(record, "s-0000000b", 1, hold_ms=3000)]
    started += servers
    for server in servers:
        await server.start()
    feed = Feed(record, servers)
    started.append(feed)
    await feed.start()
    proxy = Proxy(record, scratch, "n1", feed, settings=settings)
    started.append(proxy)
    proxy.start()
    await proxy.ready()
    caller, ids = await Caller(record, proxy).open(), call_ids(0)
    for n in range(20):
        if trouble and n in (5, 10, 15):
            servers[0].command("spoil 1")
        caller.setup(next(ids), dest=n % 2 if n % 5 else 0)
        await asyncio.sleep(0.3)
    await asyncio.sleep(5)
    runs = {}
    for row in record.rows:
        if row["what"] == "server: answered: stands":
            runs.setdefault(row["call"], []).append((row["process"], row["at"]))
    return [{"call": call, "run_at": found} for call, found in runs.items() if len(found) > 1]


sys.exit(play(Path(__file__).resolve().parent / "record.txt", scenario))
