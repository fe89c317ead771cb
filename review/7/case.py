"""Lists are pushed (registry_mode `push`). A server begins to drain 5 s after the start."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import TROUBLE, Balancer, CannotRun, Client, Discovery, Server, main

DRAIN_AT_S = 5.0
RUN_S = 20.0
TOLD_WITHIN_S = 6.0    # what the agent has counts as told; the later bound of all that the pages name is used
GRACE_S = 1.0 + 0.05   # rules.drain_grace_s, and 50 ms on sockets


async def body(case):
    record = case.record
    servers = [await Server(record, f"s-{number}").start() for number in range(4)]
    discovery = await Discovery(record, servers).start()
    case.peers += [*servers, discovery]
    config = case.config(discovery, discovery.whole(), registry_mode="push")
    balancer = Balancer(case, "n0", config, case.tmpdir())
    await balancer.start()
    await balancer.ready()
    started = record.now()

    async def visit():
        client = Client(case, config["listen"])
        await client.open()
        if client.up:
            await client.live(record.now() + 1.0)
        client.close()

    drained, changed = servers[0], None
    while record.now() < started + RUN_S:
        case.tasks.append(asyncio.ensure_future(visit()))
        await asyncio.sleep(0.1)
        if TROUBLE and changed is None and record.now() >= started + DRAIN_AT_S:
            changed = discovery.change(drained, "Terminating")
            await drained.send_away(0.0)
    if case.crashed():
        return ["the balancer exited"]
    if not drained.opens:
        raise CannotRun("the server got no request")
    if changed is None:
        return []
    late = [at for at, _, _ in drained.opens if at > changed + TOLD_WITHIN_S + GRACE_S]
    record(f"{drained.name} drains from {changed:.3f}, counts as told by {changed + TOLD_WITHIN_S:.3f}; "
           f"requests sent to it after the grace: {len(late)}; watches that discovery opened: {discovery.watches_opened}")
    return [f"drain: {len(late)} requests were sent to the draining server after the grace, the last "
            f"{late[-1] - changed:.1f} s after the change"] if late else []


main(__file__, body)
