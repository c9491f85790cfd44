"""While many bad clients send much at once, each request that was taken gets its answer in time."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.standins2 import world  # noqa: E402

SERVERS = 4
DESCRIPTORS = 1024
PEERS = 114  # with 0.52 MB each, 59.5 MB in all
TROUBLE_S = 6.0
REQUESTS_PER_S = 40.0
QUIET_S = 2.0  # before the peers come
PRICE_DEADLINE_MS = 400
TRY_SHARE = (0.48, 0.80)
GRACE_S = 0.5 + 0.05  # after a request's time: STANDING's half second, and PROTOCOL's 50 ms on sockets
CONNECT_TIMEOUT_S = 3.0


async def serve(server: world.QuoteServer, message: world.Message, writer: asyncio.StreamWriter) -> None:
    """Answer a price request after its work."""
    await asyncio.sleep(random.uniform(0.015, 0.026))
    writer.write(world.answer(200, message.headers["x-request-id"].encode()))


class Tally:
    """What the clients saw."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.other = 0
        self.closed = 0
        self.nothing = 0
        self.not_connected = 0
        self.slowest_s = 0.0
        self.overdue: list[tuple[float, str]] = []  # time past the request's time in s, and a description


async def client(port: int, record: world.Record, tally: Tally) -> None:
    """Send one price request on a new connection, and wait for its answer until it counts as lost."""
    request_id = world.new_id()
    deadline_s = PRICE_DEADLINE_MS / 1000 * random.uniform(*TRY_SHARE)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except (OSError, TimeoutError):
        tally.not_connected += 1
        return
    tally.sent += 1
    sent_at = time.monotonic()
    writer.write(world.request_bytes("price", request_id, int(deadline_s * 1000)))
    record.write(f"client sends price {request_id} with {deadline_s:.3f} s")
    try:
        async with asyncio.timeout(deadline_s + GRACE_S + 2.0):
            status = (await world.read_message(reader)).first.split()[1]
    except TimeoutError:
        status = "nothing"
    except (OSError, asyncio.IncompleteReadError):
        status = "a close"
    elapsed_s = time.monotonic() - sent_at
    writer.close()
    record.write(f"client gets {status} for {request_id} after {elapsed_s:.3f} s")
    tally.slowest_s = max(tally.slowest_s, elapsed_s)
    tally.served += status == "200"
    tally.closed += status == "a close"
    tally.nothing += status == "nothing"
    tally.other += status not in ("200", "a close", "nothing")
    # A close is not judged: the script cannot tell whether the request had been read.
    if status != "a close" and elapsed_s > deadline_s + GRACE_S:
        tally.overdue.append(
            (elapsed_s - deadline_s - GRACE_S, f"{request_id}: {status} after {elapsed_s:.3f} s")
        )


async def crowd(port: int, record: world.Record) -> None:
    """Let the peers come, from a process of their own; wait until the last of them has its answer."""
    if not world.trouble():
        return
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER.parent / "standins2" / "senders.py"),
        str(port),
        str(PEERS),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    record.say(output.decode().strip())


async def case(record: world.Record) -> bool:
    """Play the case; return whether each request was answered in time."""
    servers = [world.QuoteServer(f"s-{index}", record, serve) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = world.Agent(record, servers)
    await agent.start()
    known = [server.entry() for server in servers]
    node = world.Node(agent, known, world.settings(), {"sockets": DESCRIPTORS, "memory_mb": 192})
    lag = world.LoopLag()
    tally = Tally()
    try:
        await node.wait_ready()
        lag_task = asyncio.create_task(lag.measure())
        crowd_task: asyncio.Task[None] | None = None
        began = time.monotonic()
        clients: list[asyncio.Task[None]] = []
        while time.monotonic() < began + QUIET_S + TROUBLE_S:
            clients.append(asyncio.create_task(client(node.port, record, tally)))
            if crowd_task is None and time.monotonic() > began + QUIET_S:
                crowd_task = asyncio.create_task(crowd(node.port, record))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
        await asyncio.gather(*clients)
        if crowd_task is not None:
            await crowd_task
        lag_task.cancel()
        if node.process.poll() is not None:
            record.say("the node has ended")
            return False
    finally:
        node.stop()
    lost = [text for late_s, text in tally.overdue if late_s > lag.longest_s]
    for text in lost:
        record.write(f"BROKEN: {text}")
    record.say(
        f"{tally.sent} requests taken: {tally.served} served, {tally.other} refused or failed, "
        f"{tally.closed} closed, {tally.nothing} without an answer; {tally.not_connected} not connected; "
        f"slowest {tally.slowest_s:.3f} s; "
        f"script's own lag {lag.longest_s:.3f} s; {len(lost)} answered too late or never"
    )
    return not lost


if __name__ == "__main__":
    sys.exit(world.play(FOLDER, case))
