"""Clients that disconnect while their requests wait: nothing is forwarded for them.

Each closes at a moment at which the end of its connection is unread in the kernel as an attempt would begin.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest
from rig import Message, Rig, Server, configuration, grade, request, reset, run, until

from moleport.node import connection_pool
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult

CROWD_CLIENTS = 300


def connect(rig: Rig) -> socket.socket:
    """Return a blocking client connection, which acts without the event loop."""
    return socket.create_connection(rig.address)


async def resets_slowly(_: Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.03)
    reset(writer)


async def settled(rig: Rig) -> None:
    """Wait until no request is open, and what was written has arrived."""
    await until(lambda: not rig.node.requests.active and not rig.listener.table.connections)
    await asyncio.sleep(0.05)


def test_there_is_no_retry_as_a_client_disconnects() -> None:
    async def test() -> None:
        async with Server("s-1") as one, Server("s-2") as two, Rig(configuration(one, two)) as rig:
            client = connect(rig)
            while not (one.seen and two.seen):  # then there is a connection to each
                client.sendall(request())
                await asyncio.sleep(0.05)
            before = len(one.seen) + len(two.seen)
            one.script = two.script = resets_slowly

            def leaves(event: api.Event) -> None:
                if isinstance(event, api.AttemptOutcome):
                    client.close()

            rig.spy.instead = leaves
            client.sendall(request())
            await settled(rig)
            assert len(one.seen) + len(two.seen) == before + 1

    run(test())


def in_order(*servers: Server) -> dict[str, Any]:
    document = configuration(*servers)
    turn = grade("turn", "once", aim_ms=500) | {"OneAtATime": True, "LateShare": 0.5}
    document["settings"]["Grades"].append(turn)
    return document


def test_a_queued_request_whose_client_disconnects_as_it_is_due_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "COOL_DOWN_NS", 0)  # the connection may be reused at once

    async def slow(_: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with Server("s-1", slow) as server, Rig(in_order(server)) as rig:
            first, second = connect(rig), connect(rig)

            def leaves(event: api.Event) -> None:
                if isinstance(event, api.AttemptOutcome):
                    second.close()

            rig.spy.instead = leaves
            for client in (first, second):
                client.sendall(request("turn", "POST", X_Key="7f3a"))
                count = len(rig.spy.events)
                await until(lambda seen=count: len(rig.spy.events) > seen)  # type: ignore[misc]
            await until(rig.spy.outcomes)
            first.close()
            await settled(rig)
            assert len(server.seen) == 1

    run(test())


def test_requests_of_clients_that_left_the_accept_queue_are_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "COOL_DOWN_NS", 0)
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with Server("s-1", waits) as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 1
            stays = connect(rig)
            stays.sendall(request())
            await until(lambda: server.seen)
            for _ in range(20):
                leaver = connect(rig)
                leaver.sendall(request("order", body=b"x"))
                leaver.close()
            last = connect(rig)
            last.sendall(request())
            await asyncio.sleep(0.1)
            release.set()
            stays.close()
            await until(lambda: len(server.seen) > 1)
            last.close()
            await settled(rig)
            assert len(server.seen) == 2

    run(test())


def test_requests_of_clients_that_left_while_the_loop_was_blocked_are_not_forwarded() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            first = connect(rig)
            first.sendall(request())
            await until(rig.spy.outcomes)
            first.close()
            await settled(rig)  # its connection to the server is idle
            clients = [connect(rig) for _ in range(20)]
            await until(lambda: len(rig.listener.table.connections) == len(clients))
            await asyncio.sleep(0.1)
            for client in clients:
                client.sendall(request("order", body=b"x"))
                client.close()
            time.sleep(0.2)  # blocks the event loop
            await settled(rig)
            assert len(server.seen) == 1

    run(test())


def test_nothing_is_forwarded_for_a_crowd_that_disconnects_at_once() -> None:
    """Between two attempts, and behind a pipelined request, with a policy that always retries."""
    release = asyncio.Event()

    async def resets(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        reset(writer)

    async def test() -> None:
        async with (
            Server("s-1", resets) as one,
            Server("s-2", resets) as two,
            Rig(configuration(one, two)) as rig,
        ):
            (known,) = rig.spy.lists(api.EndpointUpdateKind.CACHED)

            def decide(event: api.Event) -> list[api.Action] | None:
                if isinstance(event, api.Request):
                    return [api.Forward(event.id, known.endpoints[event.id % 2].id, 0)]
                if isinstance(event, api.AttemptOutcome):
                    other = known.endpoints[1 - event.request_id % 2].id
                    again = event.result is AttemptResult.RESET and not event.is_answered
                    return [
                        api.Forward(event.request_id, other, 0) if again else api.Reject(event.request_id, 0)
                    ]
                return None

            rig.spy.instead = decide
            clients = [connect(rig) for _ in range(CROWD_CLIENTS)]
            for client in clients:
                client.sendall(request() + request())
            await until(lambda: len(one.seen) + len(two.seen) == CROWD_CLIENTS)
            for client in clients:
                client.close()
            release.set()
            await settled(rig)
            assert len(one.seen) + len(two.seen) == CROWD_CLIENTS

    run(test())
