"""No request is forwarded for a client that has disconnected while the request was waiting.

Each client closes so that its end of stream is still unread in the kernel when an attempt would start.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest
from rig import Message, Rig, Server, configuration, request, request_class, reset, respond_when, run, until

from moleport.node import connection_pool
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult

CLIENT_COUNT = 300


def connect(rig: Rig) -> socket.socket:
    """Return a blocking client socket, which can be used without the event loop."""
    return socket.create_connection(rig.address)


async def reset_after_delay(_: Message, writer: asyncio.StreamWriter) -> None:
    """Reset the connection 30 ms after a request."""
    await asyncio.sleep(0.03)
    reset(writer)


async def wait_until_settled(rig: Rig) -> None:
    """Wait until there are no requests or client connections, and written data has arrived."""
    await until(lambda: not rig.node.requests.active and not rig.listener.table.connections)
    await asyncio.sleep(0.05)


def test_no_retry_is_made_if_the_client_disconnects_as_its_attempt_ends() -> None:
    """The client closes while the policy is given the outcome that it would retry."""

    async def test() -> None:
        async with Server("s-1") as one, Server("s-2") as two, Rig(configuration(one, two)) as rig:
            client = connect(rig)
            while not (one.seen and two.seen):  # until the node has a connection to each
                client.sendall(request())
                await asyncio.sleep(0.05)
            request_count = len(one.seen) + len(two.seen)
            one.script = two.script = reset_after_delay

            def disconnect_client(event: api.Event) -> None:
                if isinstance(event, api.AttemptOutcome):
                    client.close()

            rig.spy.replace_actions = disconnect_client
            client.sendall(request())
            await wait_until_settled(rig)
            assert len(one.seen) + len(two.seen) == request_count + 1

    run(test())


def one_at_a_time_configuration(*servers: Server) -> dict[str, Any]:
    """Return a configuration with a class of which requests with the same key are forwarded one at a time."""
    document = configuration(*servers)
    class_entry = request_class("serial", "once", aim_ms=500) | {"OneAtATime": True, "LateShare": 0.5}
    document["settings"]["Grades"].append(class_entry)
    return document


def test_a_queued_request_is_not_forwarded_if_its_client_disconnects_as_it_is_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client of the queued request closes as the attempt ahead of it ends."""
    monkeypatch.setattr(connection_pool, "MIN_REUSE_DELAY_NS", 0)  # a server connection may be reused at once

    async def respond_after_delay(_: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with (
            Server("s-1", respond_after_delay) as server,
            Rig(one_at_a_time_configuration(server)) as rig,
        ):
            first_client, second_client = connect(rig), connect(rig)

            def disconnect_client(event: api.Event) -> None:
                if isinstance(event, api.AttemptOutcome):
                    second_client.close()

            rig.spy.replace_actions = disconnect_client
            for client in (first_client, second_client):
                client.sendall(request("serial", "POST", X_Key="7f3a"))
                count = len(rig.spy.events)
                await until(lambda seen=count: len(rig.spy.events) > seen)  # type: ignore[misc]
            await until(rig.spy.outcomes)
            first_client.close()
            await wait_until_settled(rig)
            assert len(server.seen) == 1

    run(test())


def test_requests_of_clients_that_disconnected_in_the_accept_queue_are_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With one client slot, the requests and the closes of 20 clients wait in the accept queue."""
    monkeypatch.setattr(connection_pool, "MIN_REUSE_DELAY_NS", 0)
    release = asyncio.Event()

    respond_when_released = respond_when(release, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with Server("s-1", respond_when_released) as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 1
            connected_client = connect(rig)
            connected_client.sendall(request())
            await until(lambda: server.seen)
            for _ in range(20):
                disconnected_client = connect(rig)
                disconnected_client.sendall(request("order", body=b"x"))
                disconnected_client.close()
            last_client = connect(rig)
            last_client.sendall(request())
            await asyncio.sleep(0.1)
            release.set()
            connected_client.close()
            await until(lambda: len(server.seen) > 1)
            last_client.close()
            await wait_until_settled(rig)
            assert len(server.seen) == 2

    run(test())


def test_requests_of_clients_that_disconnected_while_the_loop_was_blocked_are_not_forwarded() -> None:
    """After it was blocked, the event loop reads each request with the end of stream behind it."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            first_client = connect(rig)
            first_client.sendall(request())
            await until(rig.spy.outcomes)
            first_client.close()
            await wait_until_settled(rig)  # the connection to the server is idle then
            clients = [connect(rig) for _ in range(20)]
            await until(lambda: len(rig.listener.table.connections) == len(clients))
            await asyncio.sleep(0.1)
            for client in clients:
                client.sendall(request("order", body=b"x"))
                client.close()
            time.sleep(0.2)  # blocks the event loop
            await wait_until_settled(rig)
            assert len(server.seen) == 1

    run(test())


def test_nothing_is_forwarded_for_many_clients_that_disconnect_at_once() -> None:
    """The clients close between two attempts, with a second request pipelined; the policy always retries."""
    release = asyncio.Event()

    async def reset_when_released(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        reset(writer)

    async def test() -> None:
        async with (
            Server("s-1", reset_when_released) as one,
            Server("s-2", reset_when_released) as two,
            Rig(configuration(one, two)) as rig,
        ):
            (endpoint_list,) = rig.spy.endpoint_updates(api.EndpointUpdateKind.CACHED)

            def forward_and_always_retry(event: api.Event) -> list[api.Action] | None:
                if isinstance(event, api.Request):
                    return [api.Forward(event.id, endpoint_list.endpoints[event.id % 2].id, 0)]
                if isinstance(event, api.AttemptOutcome):
                    other_endpoint_id = endpoint_list.endpoints[1 - event.request_id % 2].id
                    should_retry = event.result is AttemptResult.RESET and not event.is_answered
                    return [
                        api.Forward(event.request_id, other_endpoint_id, 0)
                        if should_retry
                        else api.Reject(event.request_id, 0)
                    ]
                return None

            rig.spy.replace_actions = forward_and_always_retry
            clients = [connect(rig) for _ in range(CLIENT_COUNT)]
            for client in clients:
                client.sendall(request() + request())
            await until(lambda: len(one.seen) + len(two.seen) == CLIENT_COUNT)
            for client in clients:
                client.close()
            release.set()
            await wait_until_settled(rig)
            assert len(one.seen) + len(two.seen) == CLIENT_COUNT

    run(test())
