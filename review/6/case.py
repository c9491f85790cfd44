"""A client that offers another protocol with its request has the whole request run, with its body."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2 import world  # noqa: E402

SERVERS = 4
CLIENTS = 8
SECONDS = 10.0
DEADLINES_MS = {"price": 400, "accept": 2500}
WORK_S = {"price": (0.015, 0.026), "accept": (0.066, 0.120)}
# What an HTTP/2 client sends with the first request on a connection without TLS; a server may ignore it.
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"

received: dict[str, bytes] = {}  # body of each `accept` that a quote server ran, by X-Request-Id


async def serve(server: world.QuoteServer, message: world.Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after its work."""
    request_id, kind = message.headers["x-request-id"], message.headers["x-class"]
    if kind == "accept":
        received[request_id] = message.body
        server.record.write(f"server {server.name} runs accept {request_id} with {message.body!r}")
    await asyncio.sleep(random.uniform(*WORK_S[kind]))
    writer.write(world.answer(200, request_id.encode()))


class Tally:
    """What the clients sent and saw."""

    def __init__(self) -> None:
        self.sent: dict[str, bytes] = {}  # body of each `accept`, by X-Request-Id
        self.results: Counter[str] = Counter()


async def client(node: world.Node, record: world.Record, tally: Tally, end: float) -> None:
    """Send a few requests on each connection; the first may offer another protocol."""
    while time.monotonic() < end:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            for index in range(random.randrange(1, 5)):
                kind = "accept" if random.random() < 0.18 else "price"
                request_id = world.new_id()
                body = f"work order for {request_id}\n".encode() if kind == "accept" else b""
                text = world.request_bytes(kind, request_id, DEADLINES_MS[kind], "job-1", body)
                if not index and world.trouble():
                    text = text.replace(b"X-Class:", OFFER + b"X-Class:", 1)
                if kind == "accept":
                    tally.sent[request_id] = body
                record.write(f"client sends {kind} {request_id} with {body!r}")
                writer.write(text)
                message = await world.read_message(reader)
                tally.results[message.first.split()[1]] += 1
                record.write(f"client gets {message.first.split()[1]} for {kind} {request_id}")
                if message.headers.get("connection") == "close":
                    break
                await asyncio.sleep(random.uniform(0.02, 0.08))
            writer.close()


async def case(record: world.Record) -> bool:
    """Play the case; return whether each `accept` was run as its client sent it."""
    servers = [world.QuoteServer(f"s-{index}", record, serve) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = world.Agent(record, servers)
    await agent.start()
    node = world.Node(agent, [server.entry() for server in servers], world.settings())
    tally = Tally()
    try:
        await node.wait_ready()
        end = time.monotonic() + SECONDS
        await asyncio.gather(*(client(node, record, tally, end) for _ in range(CLIENTS)))
    finally:
        node.stop()
    changed = [request_id for request_id, body in received.items() if tally.sent.get(request_id) != body]
    for request_id in changed:
        record.write(f"BROKEN: accept {request_id} was run with the body {received[request_id]!r}")
    record.say(
        f"{len(tally.sent)} accepts sent, {len(received)} run, {len(changed)} of them with another body than "
        f"was sent; answers to all requests: {dict(tally.results)}"
    )
    if not tally.results["200"]:
        raise world.CannotRunError("no request was served")
    return not changed


if __name__ == "__main__":
    sys.exit(world.play(FOLDER, case))
