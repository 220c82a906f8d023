"""The connection of a caller is reset while its calls stand and no set-up is open on it. The caller connects again and
names them (`at`); then their server releases them one by one. Judged: each is released towards the caller within 1 s of
the server's release."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import rig

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
CALLS, RELEASE_WITHIN_S, AT_LATEST_S = 4, 1.0, 8.0  # the protocol: 1 s, or 8 s if no release could be sent
TEST_EVERY_S = 2.0


async def case(record, folder, proxies):
    servers = [await rig.Server(record, f"s-0000000{n + 1}", n).start() for n in range(2)]
    server = servers[0]
    feed = await rig.Feed(record, 1).start()
    proxy = rig.Proxy(record, folder, "n1", rig.settings(1), servers, feed)
    proxies.append(proxy)
    await proxy.start()
    network = await rig.Relay(record, proxy.port).start()
    calls = [bytes((n + 1,)) + os.urandom(7) for n in range(CALLS)]
    connections = [await rig.Caller(record, "caller", network.port).open()]
    tests = asyncio.create_task(keep_in_use(connections))
    for call in calls:
        connections[0].setup(call, "session-open", 3000, 0)
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    if len(server.standing) != CALLS:
        raise rig.NotRunError("not every call stands at the server")
    if rig.TROUBLE:
        network.reset()
        await rig.until(lambda: connections[0].closed, 1)
        await asyncio.sleep(0.2)
        connections.append(await rig.Caller(record, "caller", network.port).open())
        for call in calls:
            connections[-1].setup(call, "session-open", 3000, 0, at=server.name)
    await asyncio.sleep(2.0)
    ended = {}
    for call in calls:
        ended[call] = record.now()
        server.end(call.hex())
        await asyncio.sleep(0.5)
    await asyncio.sleep(AT_LATEST_S + 0.5)
    tests.cancel()
    record("judge", f"the caller's connection is {'closed' if connections[-1].closed else 'open'}")
    if proxy.process.returncode is not None:
        return False, "the proxy ended"
    late = 0
    for call in calls:
        heard = [at for c in connections for at, kind, i, _ in c.got if kind == rig.RELEASE and i == call]
        if not heard or heard[0] - ended[call] > RELEASE_WITHIN_S + rig.SLACK_S:
            late += 1
            after = (
                f"{heard[0] - ended[call]:.2f} s after it"
                if heard
                else f"not within {record.now() - ended[call]:.1f} s"
            )
            record("judge", f"{call.hex()} was released by its server; its caller got the release {after}")
    return not late, f"{late} of {CALLS} calls released by their server were not released to their caller within 1.05 s"


async def keep_in_use(connections):
    """Tests the caller's connection, so that it is open and in use for as long as a release may come."""
    while True:
        await asyncio.sleep(TEST_EVERY_S)
        connections[-1].say_test()


rig.play(case, RECORD)
