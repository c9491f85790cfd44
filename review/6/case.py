"""A second answer, some milliseconds late, must not be taken for the answer to another request."""

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

SERVERS = 4
CLIENTS = 16
SECONDS = 15.0
SPOILT_SHARE = 0.05
SECOND_ANSWER_S = 0.006
THINK_S = (0.01, 0.05)
DEADLINES_MS = {"price": 400, "accept": 2500}
WORK_S = {"price": (0.015, 0.026), "accept": (0.066, 0.120)}


def body_of(request_id: str) -> bytes:
    """Return the body of the one right answer to a request."""
    return f"quote for {request_id}\n".encode()


async def serve(server: world.QuoteServer, message: world.Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after its work; some answers are sent again some milliseconds later."""
    request_id = message.headers["x-request-id"]
    await asyncio.sleep(random.uniform(*WORK_S[message.headers["x-class"]]))
    text = world.answer(200, body_of(request_id))
    writer.write(text)
    if world.trouble() and random.random() < SPOILT_SHARE:
        asyncio.get_running_loop().call_later(SECOND_ANSWER_S, send_again, server, request_id, writer, text)


def send_again(server: world.QuoteServer, request_id: str, writer: asyncio.StreamWriter, text: bytes) -> None:
    """Send the answer to a request a second time, if the connection is still open."""
    if not writer.is_closing():
        server.record.write(f"server {server.name} answers {request_id} again")
        writer.write(text)


class Tally:
    """What the clients saw."""

    def __init__(self) -> None:
        self.sent = 0
        self.right = 0
        self.other = 0
        self.foreign: list[str] = []


async def client(node: world.Node, record: world.Record, tally: Tally, end: float) -> None:
    """Send one request at a time, and compare each 200 with the body that the servers made for it."""
    while time.monotonic() < end:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            while time.monotonic() < end:
                kind = "accept" if random.random() < 0.18 else "price"
                request_id = world.new_id()
                key = f"job-{random.randrange(400)}"
                record.write(f"client sends {kind} {request_id}")
                tally.sent += 1
                writer.write(world.request_bytes(kind, request_id, DEADLINES_MS[kind], key))
                message = await world.read_message(reader)
                status = message.first.split()[1]
                record.write(f"client gets {status} for {request_id}: {message.body!r}")
                if status != "200":
                    tally.other += 1
                elif message.body == body_of(request_id):
                    tally.right += 1
                else:
                    tally.foreign.append(f"{kind} {request_id} was answered with {message.body!r}")
                if message.headers.get("connection") == "close":
                    break
                await asyncio.sleep(random.uniform(*THINK_S))
            writer.close()


async def case(record: world.Record) -> bool:
    """Play the case; return whether each 200 was made for its request."""
    servers = [world.QuoteServer(f"s-{index}", record, serve) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = world.Agent(record, servers)
    await agent.start()
    node = world.Node(agent, [server.entry() for server in servers], world.settings())
    try:
        await node.wait_ready()
        tally = Tally()
        end = time.monotonic() + SECONDS
        await asyncio.gather(*(client(node, record, tally, end) for _ in range(CLIENTS)))
    finally:
        node.stop()
    for line in tally.foreign:
        record.write(f"BROKEN: {line}")
    record.say(
        f"{tally.sent} requests sent: {tally.right} answered right, {tally.other} refused or failed, "
        f"{len(tally.foreign)} answered with the body of another request"
    )
    if tally.right < tally.sent // 2:
        raise world.CannotRunError("too few requests were served")
    return not tally.foreign


if __name__ == "__main__":
    sys.exit(world.play(FOLDER, case))
