"""A caller's connection is reset while its calls stand. The caller connects again and names them (`at`); then their
server releases them one by one. Judged: each is released towards the caller within 1 s of the server's release."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import rig

CALLS, HOLD_S, RELEASE_WITHIN_S, LAST_WAIT_S = 4, 8.0, 1.0, 10.0


async def case(record, folder, proxies):
    server = await rig.Server(record, "s-00000001", 0).start()
    feed = await rig.Feed(record, 1).start()
    proxy = rig.Proxy(record, folder, "n1", rig.settings(1, pools=1), [server], feed)
    proxies.append(proxy)
    await proxy.start()
    calls = [bytes((n + 1,)) + os.urandom(7) for n in range(CALLS)]
    caller = await rig.Caller(record, "caller", proxy.port).open()
    connections = [caller]
    for call in calls:
        caller.setup(call, "session-open", 3000, 0)
        await asyncio.sleep(0.1)
    try:
        await rig.until(lambda: sum(kind == rig.ANSWER for _, kind, _, _ in caller.got) == CALLS, 5)
    except TimeoutError:
        raise rig.NotRunError("not every call was answered") from None
    await asyncio.sleep(1.0)
    if rig.TROUBLE:
        caller.reset()
        await asyncio.sleep(0.2)
        connections.append(await rig.Caller(record, "caller", proxy.port).open())
        for call in calls:
            connections[-1].setup(call, "session-open", 3000, 0, at=server.name)
    await asyncio.sleep(2.0)
    ended = {}
    for call in calls:
        ended[call] = record.now()
        server.end(call.hex())
        await asyncio.sleep(0.5)
    await asyncio.sleep(LAST_WAIT_S)
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


rig.play(case)
