"""The process is replaced while a bad client repeats the id of another client's open request."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import HOST, TROUBLE, Balancer, CannotRun, Client, Discovery, Server, free_port, main

CLIENTS = 20
READY_WITHIN_S = 6.0   # the new process's yes is due within 6 s
KILL_AFTER_S = 3.7     # SIGKILL after the longest deadline (3 s at most) and 0.7 s


async def body(case):
    record = case.record
    servers = [await Server(record, f"s-{number}").start() for number in range(3)]
    discovery = await Discovery(record, servers).start()
    case.peers += [*servers, discovery]
    tmpdir = case.tmpdir()
    config = case.config(discovery, discovery.whole(), operator=f"{HOST}:{free_port()}")
    old = Balancer(case, "old", config, tmpdir)
    await old.start()
    await old.ready()
    clients = [Client(case, config["listen"], period=0.5) for _ in range(CLIENTS)]
    await asyncio.gather(*(client.open() for client in clients))
    if not all(client.up for client in clients):
        raise CannotRun("not all clients are up before the replacement")
    living = [asyncio.ensure_future(client.live(record.now() + 12.0)) for client in clients]
    case.tasks += living
    await asyncio.sleep(1.0)

    victim, served = clients[0], []

    async def repeat_id():
        """Sends the id of the victim's open request, and again as soon as it is turned away."""
        while victim.ended_at is None:
            bad = Client(case, config["listen"], ident=victim.ident)
            await bad.open()
            if bad.up:
                served.append(record.now())
                await bad.live(record.now() + 8.0)
            bad.close()
            await asyncio.sleep(0.05)

    if TROUBLE:
        case.tasks.append(asyncio.ensure_future(repeat_id()))
    await asyncio.sleep(0.5)
    new = Balancer(case, "new", dict(config, operator=f"{HOST}:{free_port()}"), tmpdir)
    await new.start()
    until = record.now() + READY_WITHIN_S
    while not (await new.call("readyz") or ["NO"])[0].startswith("YES"):
        if record.now() > until:
            raise CannotRun("the new process did not say yes within 6 s")
        await asyncio.sleep(0.2)
    record("the new process says yes")
    await asyncio.sleep(0.3)
    old.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(old.process.wait(), KILL_AFTER_S)
    except asyncio.TimeoutError:
        old.signal(signal.SIGKILL)
    await asyncio.gather(*living)
    if case.crashed(allowed=[old.process]):
        return ["the new process exited"]
    cut = [client for client in clients if client.ended_at is not None and client.moved_at is None]
    record(f"of {CLIENTS} connections that were up, {len(cut)} were cut off without MOVE; "
           f"the bad client was served {len(served)} times")
    return [f"lost: the connection {client.ident} was cut off without MOVE while its server still answers"
            for client in cut]


main(__file__, body)
