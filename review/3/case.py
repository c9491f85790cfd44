"""Case 3: peers that stop in the middle of a request keep the requests of others from being answered."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from contextlib import suppress

from standins.clients import Clients, Request, read_answer
from standins.fleet import CaseError, Fleet, has_trouble, main
from standins.node import UP_REQUEST
from standins.servers import Arrival, QuoteServer, answer
from standins.settings import document, settings

DESCRIPTOR_COUNT = 256  # the least that the users' terms give
SERVER_COUNT = 4
PRICE_SECONDS = (0.015, 0.026)
ACCEPT_SECONDS = (0.066, 0.120)
REQUESTS_PER_S = 30.0
ACCEPT_RATIO = 0.18
LOAD_SECONDS = 10.0
TROUBLE_BEGINS_SECONDS = 2.0  # from the start of the load
SECOND_REQUEST_COUNT = 200  # peers that stop in the middle of a request behind a complete GET /up
FIRST_REQUEST_COUNT = 50  # peers that stop in the middle of their first request
START_SPREAD_SECONDS = 0.4
GRACE_SECONDS = 0.5 + 0.05  # how late an answer may be, and 50 ms for each time limit on sockets
HALF_REQUEST = b"GET /api HTTP/1.1\r\nHost: service.internal\r\n"


async def serve(server: QuoteServer, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Run every request in the time that the users' page states."""
    await asyncio.sleep(random.uniform(*(PRICE_SECONDS if arrival.method == "GET" else ACCEPT_SECONDS)))
    writer.write(answer(200, server.run(arrival)))


class StoppingPeer:
    """Stops in the middle of a request and stays until the node has ended the connection."""

    def __init__(self, fleet: Fleet, is_first_request: bool, seen: Counter[str]) -> None:
        self._port = fleet.nodes[0].port
        self._is_first_request = is_first_request
        self._seen = seen

    async def run(self) -> None:
        """Connect once, stop in the middle of a request, and wait for the end of the connection."""
        await asyncio.sleep(random.uniform(0.0, START_SPREAD_SECONDS))
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            self._seen["connections of stopping peers"] += 1
            try:
                if self._is_first_request or await self._ask_whether_up(reader, writer):
                    writer.write(HALF_REQUEST)
                    self._seen["stopped in the middle"] += 1
                await reader.read()
            finally:
                writer.close()

    async def _ask_whether_up(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a whole GET /up; return whether its answer leaves the connection open."""
        writer.write(UP_REQUEST)
        _, _, is_kept = await read_answer(reader)
        return is_kept


def break_line(request: Request, began_at: float) -> str:
    """Return what breaks the rule; empty for a request that is answered in time or excused."""
    allowed = request.deadline_ms / 1000 + GRACE_SECONDS
    what = (
        f"{request.class_name} {request.request_id}, sent {request.sent_at - began_at:.3f} s after the begin"
    )
    if "no answer" in request.history:
        return f"lost: {what}, with {request.deadline_ms} ms of time, never got an answer"
    waited = request.answered_at - request.sent_at
    if request.status and waited > allowed:
        return (
            f"lost: {what}, with {request.deadline_ms} ms of time, got {request.status} after {waited:.3f} s"
        )
    return ""  # answered in time, or its connection was closed unread


async def scenario(fleet: Fleet) -> list[str]:
    """Play one node with few descriptors, ordinary clients, and peers that stop in the middle."""
    await fleet.add_servers(SERVER_COUNT, serve)
    await fleet.add_nodes(1)
    node, agent = fleet.nodes[0], fleet.agents[0]
    node.configure(
        document(node.name, node.address, agent.address, agent.whole_list(), settings(1, 0), DESCRIPTOR_COUNT)
    )
    await fleet.start_nodes()
    began_at = time.monotonic()
    clients = Clients(node.port, fleet.record)
    load = clients.keep_sending(LOAD_SECONDS, REQUESTS_PER_S, ACCEPT_RATIO)
    seen: Counter[str] = Counter()
    if has_trouble():
        await asyncio.sleep(TROUBLE_BEGINS_SECONDS)
        kinds = [False] * SECOND_REQUEST_COUNT + [True] * FIRST_REQUEST_COUNT
        stopping = [StoppingPeer(fleet, is_first, seen) for is_first in kinds]
        await asyncio.gather(*(peer.run() for peer in stopping))
    await load
    await clients.finish()
    statuses = Counter(request.status for request in clients.requests)
    fleet.record.write("figures", seen=dict(seen), statuses=dict(statuses))
    print(f"{len(clients.requests)} requests, statuses {dict(statuses)}, {dict(seen)}")
    if not statuses[200]:
        raise CaseError("nothing was served")
    found = [line for request in clients.requests if (line := break_line(request, began_at))]
    for line in found:
        fleet.record.write("broken", line=line)
    return found


if __name__ == "__main__":
    sys.exit(main(scenario))
