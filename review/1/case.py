"""A planned restart while clients write their first lines in pieces, in a deployment with short deadlines."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Balancer, Client, Discovery, HOST, Server, run_case, settings

DEADLINE = 0.6  # the class's give_up_s; "shorter deadlines"
CLIENTS = 13  # one each 25 ms, the last 0.3 s after SIGTERM: "for 0.2 to 0.4 s new connections keep coming"
GAP = 0.05  # between the two pieces of a first line
SLACK = 0.55  # "up to half a second after its time it only earns nothing", and 50 ms


async def client_in_pieces(record, port, delay):
    await asyncio.sleep(delay)
    client = Client(record, port, chosen=f"c=ticket-stream,t=grad-uprava,d={int(DEADLINE * 1000)}")
    line = client.line.encode() + b"\r\n"
    client.reader, client.writer = await asyncio.open_connection(HOST, port)
    client.connected_at = record.now()
    client.writer.write(line[:20])
    await asyncio.sleep(GAP)
    client.writer.write(line[20:])
    client.sent_at = record.now()
    record.log(f"client {client.id} has connected at {client.connected_at:.3f} and now written its last byte: {line!r}")
    try:
        answer = await asyncio.wait_for(client.reader.readline(), DEADLINE + SLACK)
        client.answer = answer.decode().strip() if answer.endswith(b"\r\n") else "closed without an answer"
    except ConnectionError:
        client.answer = "reset without an answer"
    except asyncio.TimeoutError:
        client.answer = "nothing"
    record.log(f"client {client.id} got {client.answer!r} after {record.now() - client.sent_at:.3f} s")
    client.close()
    return client


async def case(record, has_trouble):
    servers = [Server(record, f"s-{number}") for number in range(3)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    chosen = settings()
    chosen["classes"][0].update(give_up_s=DEADLINE, promise_s=0.3)
    balancer = Balancer(record, discovery, chosen)
    try:
        await balancer.start()
        await asyncio.sleep(4.0)
        # The same clients before: all of them are served.
        before = await asyncio.gather(*(client_in_pieces(record, balancer.port, 0.025 * n) for n in range(CLIENTS)))
        if any(not client.is_up for client in before):
            raise RuntimeError("the clients are not served before the restart")
        await asyncio.sleep(1.0)
        if has_trouble:
            balancer.signal(signal.SIGTERM)
        stopped_at = record.now()
        clients = await asyncio.gather(*(client_in_pieces(record, balancer.port, 0.025 * n) for n in range(CLIENTS)))
        if has_trouble:
            # SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
            while balancer.process.poll() is None and record.now() < stopped_at + DEADLINE + 0.75:
                await asyncio.sleep(0.01)
            record.log(f"the process has ended by itself: {balancer.process.poll()}")
        broken = []
        for client in clients:
            record.log(f"client {client.id}: connected {client.connected_at - stopped_at:.3f} s, last byte "
                       f"{client.sent_at - stopped_at:.3f} s after SIGTERM: {client.answer}")
            if not client.answer.startswith(("UP ", "BUSY", "ERR")):
                broken.append(f"request {client.id}, written {client.sent_at - stopped_at:.3f} s after SIGTERM: "
                              f"{client.answer}")
        return broken
    finally:
        balancer.end()


run_case(case)
