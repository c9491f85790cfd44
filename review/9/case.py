"""With a slow discovery the node still learns within 6 s that a quote server drains."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2 import world  # noqa: E402

SERVERS = 6
CLIENTS = 8
DISCOVERY_DELAY_S = 1.0
SECONDS_BEFORE = 8.0
SECONDS_AFTER = 20.0
# A change counts as told 6 s after discovery had it; then the grace of the settings, and PROTOCOL's 50 ms.
LAST_SEND_S = 6.0 + 0.5 + 0.05
DEADLINES_MS = {"price": 400, "accept": 2500}
WORK_S = {"price": (0.015, 0.026), "accept": (0.066, 0.120)}


async def serve(server: world.QuoteServer, message: world.Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after its work, also while the server drains."""
    await asyncio.sleep(random.uniform(*WORK_S[message.headers["x-class"]]))
    writer.write(world.answer(200, message.headers["x-request-id"].encode()))


async def client(node: world.Node, record: world.Record, served: list[str], end: float) -> None:
    """Send one request at a time."""
    while time.monotonic() < end:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            while time.monotonic() < end:
                kind = "accept" if random.random() < 0.18 else "price"
                request_id = world.new_id()
                key = f"job-{random.randrange(400)}"
                writer.write(world.request_bytes(kind, request_id, DEADLINES_MS[kind], key))
                message = await world.read_message(reader)
                record.write(f"client gets {message.first.split()[1]} for {kind} {request_id}")
                served.append(message.first.split()[1])
                if message.headers.get("connection") == "close":
                    break
                await asyncio.sleep(random.uniform(0.02, 0.08))
            writer.close()


async def case(record: world.Record) -> bool:
    """Play the case; return whether nothing was sent to the draining server after it counted as told."""
    servers = [world.QuoteServer(f"s-{index}", record, serve) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = world.Agent(record, servers, DISCOVERY_DELAY_S if world.trouble() else 0.0)
    await agent.start()
    node = world.Node(agent, [server.entry() for server in servers], world.settings())
    lag = world.LoopLag()
    try:
        await node.wait_ready()
        lag_task = asyncio.create_task(lag.measure())
        end = time.monotonic() + SECONDS_BEFORE + SECONDS_AFTER
        statuses: list[str] = []
        clients = [asyncio.create_task(client(node, record, statuses, end)) for _ in range(CLIENTS)]
        await asyncio.sleep(SECONDS_BEFORE)
        drained = servers[0]
        drained.state = "Terminating"
        agent.change(drained)
        drained_at = time.monotonic()
        record.write(f"discovery has version {agent.version}: {drained.name} drains")
        await asyncio.gather(*clients)
        lag_task.cancel()
    finally:
        node.stop()
    # The script may notice a request late, by its own lag.
    last_at = drained_at + LAST_SEND_S + lag.longest_s
    late = [(at - drained_at, name) for at, name in drained.ran if at > last_at]
    for late_s, name in late:
        record.write(f"BROKEN: {drained.name} got {name} {late_s:.2f} s after discovery had its drain")
    record.say(
        f"{len(statuses)} requests, {statuses.count('200')} served; {len(late)} attempts at the draining "
        f"server later than {LAST_SEND_S:.2f} s after discovery had its drain"
        f"; script's own lag {lag.longest_s:.3f} s"
        + (f", the last after {late[-1][0]:.2f} s" if late else "")
    )
    if statuses.count("200") < len(statuses) // 2:
        raise world.CannotRunError("too few requests were served")
    return not late


if __name__ == "__main__":
    sys.exit(world.play(FOLDER, case))
