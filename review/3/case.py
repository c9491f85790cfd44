"""Case 3: at a planned restart the node reads requests behind another one and never answers them."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass, field

from standins.clients import GIVE_UP_SECONDS, Request, new_request, read_answer
from standins.fleet import CaseError, Fleet, has_trouble, main
from standins.servers import Arrival, QuoteServer, answer

SERVER_COUNT = 4
CONNECTION_COUNT = 12
BATCH_SIZE = 4  # requests that a client sends at once, where the trouble is on
DEADLINE_MS = 400
SERVICE_SECONDS = (0.015, 0.026)
PAUSE_SECONDS = (0.0, 0.1)
LOAD_SECONDS = 3.0
RESTART_COUNT = 5


@dataclass
class Batch:
    """Requests that were sent in one write, and when the node ended their connection."""

    requests: list[Request]
    sent_at: float = 0.0
    ended_at: float = 0.0
    answered: list[Request] = field(default_factory=list)

    def unanswered_but_read(self) -> list[Request]:
        """Return the requests without an answer, of a batch of which an earlier request has one.

        The batch is one small write, so the node had read all of it when it answered the first request.
        """
        return [request for request in self.requests if not request.status] if self.answered else []


async def serve(server: QuoteServer, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Run every request in the time that the users' page states."""
    await asyncio.sleep(random.uniform(*SERVICE_SECONDS))
    writer.write(answer(200, server.run(arrival)))


class Client:
    """Sends batches on one connection until the node ends it, or announces its end."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.batches: list[Batch] = []
        self._fleet = fleet
        self._number = number

    async def run(self) -> None:
        """Send batches one after the other, and wait for all answers to each."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._fleet.nodes[0].port)
        is_open = True
        while is_open:
            await asyncio.sleep(random.uniform(*PAUSE_SECONDS))
            if reader.at_eof():
                break
            size = BATCH_SIZE if has_trouble() else 1
            batch = Batch([new_request("price", f"job-{self._number}", DEADLINE_MS) for _ in range(size)])
            self.batches.append(batch)
            is_open = await self._exchange(batch, reader, writer)
        writer.close()

    async def _exchange(
        self, batch: Batch, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a batch and read its answers; return whether the connection stays open."""
        record, ids = self._fleet.record, [request.request_id for request in batch.requests]
        batch.sent_at = time.monotonic()
        record.write("sent", batch.sent_at, connection=self._number, ids=ids)
        is_kept = True
        try:
            writer.write(b"".join(request.wire() for request in batch.requests))
            for request in batch.requests:
                async with asyncio.timeout(DEADLINE_MS / 1000 + GIVE_UP_SECONDS):
                    request.status, request.body, is_kept = await read_answer(reader)
                batch.answered.append(request)
                record.write("answered", id=request.request_id, status=request.status, kept=is_kept)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            batch.ended_at = time.monotonic()
            record.write("ended by the node", connection=self._number, error=repr(error)[:80])
            return False
        return is_kept


async def play_restart(fleet: Fleet) -> list[str]:
    """Start the node, restart it as planned under load, and return the breaks of the rule."""
    node = fleet.nodes[0]
    await fleet.start_nodes()
    clients = [Client(fleet, number) for number in range(CONNECTION_COUNT)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(LOAD_SECONDS)
    node.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    fleet.record.write("SIGTERM")
    exit_code = await node.wait_until_ended()
    fleet.record.write("node ended", code=exit_code)
    await asyncio.gather(*tasks)
    batches = [batch for client in clients for batch in client.batches]
    if not any(request.status == 200 for batch in batches for request in batch.requests):
        raise CaseError("nothing was served")
    return [
        f"lost: {request.request_id} was sent {batch.sent_at - stopped_at:+.3f} s from SIGTERM in one write "
        f"with {batch.answered[0].request_id}, which was answered; the node ended the connection "
        f"{batch.ended_at - batch.sent_at:.3f} s later without an answer"
        for batch in batches
        for request in batch.unanswered_but_read()
    ]


async def scenario(fleet: Fleet) -> list[str]:
    """Play planned restarts one after the other."""
    await fleet.add_servers(SERVER_COUNT, serve)
    await fleet.add_nodes(1)
    found = []
    for _ in range(RESTART_COUNT):
        found += await play_restart(fleet)
    for line in found:
        fleet.record.write("broken", line=line)
    return found


if __name__ == "__main__":
    sys.exit(main(scenario))
