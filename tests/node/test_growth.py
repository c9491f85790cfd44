"""The connections that a node opens while the number of servers grows and its request rate does not."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from rig import Message, Rig, Server, answer, configuration, request, run, status

REQUESTS_PER_SECOND = 150.0
LOAD_SECONDS = 6.0
RESPONSE_SECONDS = 0.1


async def respond_after_delay(_: Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after `RESPONSE_SECONDS`."""
    await asyncio.sleep(RESPONSE_SECONDS)
    writer.write(answer())


async def count_connections(server_count: int, listening_count: int = 0) -> int:
    """Return how many connections one node opens to `server_count` servers under requests without keys.

    Only the first `listening_count` servers (0: all) have an address of their own. The others share the
    address of the first.
    """
    async with AsyncExitStack() as stack:
        listening_indices = range(listening_count or server_count)
        servers = [
            await stack.enter_async_context(Server(f"s-{index}", respond_after_delay))
            for index in listening_indices
        ]
        document = configuration(*servers, IdleClose=5 * 10**9)
        entries = document["known"]["servers"]
        entries += [entries[0] | {"id": f"s-{index}"} for index in range(len(entries), server_count)]
        rig = await stack.enter_async_context(Rig(document))
        clients = [await rig.client() for _ in range(40)]

        async def send_requests(index: int) -> None:
            await asyncio.sleep(index / REQUESTS_PER_SECOND)
            for _ in range(int(LOAD_SECONDS * REQUESTS_PER_SECOND) // len(clients)):
                sent_at = asyncio.get_running_loop().time()
                assert status(await clients[index].exchange(request())) in (200, 503)
                pause_s = len(clients) / REQUESTS_PER_SECOND - (asyncio.get_running_loop().time() - sent_at)
                await asyncio.sleep(max(0.0, pause_s))

        await asyncio.gather(*(send_requests(index) for index in range(len(clients))))
        return sum(server.connections for server in servers)


def test_sixteen_times_the_servers_need_at_most_2_5_times_the_connections_plus_40() -> None:
    """The number of connections must grow far less than the number of servers."""

    async def test() -> None:
        few = await count_connections(12)
        many = await count_connections(192)
        assert many <= 2.5 * few + 40, (few, many)

    run(test())


def test_thousands_of_servers_need_as_few_connections() -> None:
    """The servers share one address, but the node keeps a connection pool for each."""

    async def test() -> None:
        few = await count_connections(12)
        many = await count_connections(3200, listening_count=1)
        assert many <= 2.5 * few + 40, (few, many)

    run(test())
