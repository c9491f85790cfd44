"""Tests of the slots of client connections: time limits, and which connections are closed at a full table."""

from __future__ import annotations

import asyncio
import os

import pytest
from rig import Message, Rig, Server, answer, configuration, request, run, status, until

from moleport.node import connection_table, listener


@pytest.mark.parametrize("sent", [b"", b"POST /api HTTP/1.1\r\nX-Cl", request(body=b"xy")[:-1]])
def test_new_connections_and_partial_requests_time_out_but_idle_connections_stay_open(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Data that arrives slowly does not extend the time limit of a new connection or of a request."""
    assert connection_table.MAX_NEW_SECONDS + connection_table.SWEEP_PERIOD_SECONDS < 3.0
    assert connection_table.MAX_IDLE_SECONDS >= 2.0
    monkeypatch.setattr(connection_table, "MAX_NEW_SECONDS", 0.3)
    monkeypatch.setattr(connection_table, "MAX_READING_SECONDS", 0.3)
    monkeypatch.setattr(connection_table, "SWEEP_PERIOD_SECONDS", 0.02)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            used, idle = await rig.client(), await rig.client()
            for client in (used, idle):
                assert status(await client.exchange(request())) == 200
            used.writer.write(sent or b"GET")
            client = await rig.client()
            client.writer.write(sent[:1])
            await asyncio.sleep(0.1)
            client.writer.write(sent[1:])  # slow data extends no limit
            if sent:
                assert status(await client.read()) == 408
            assert await client.read_to_end() == b""
            assert status(await used.read()) == 408
            assert status(await idle.exchange(request())) == 200
            assert len(server.seen) == 3

    run(test())


def test_a_used_connection_is_closed_after_the_idle_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """The node closes a connection that has been idle for MAX_IDLE_SECONDS."""
    monkeypatch.setattr(connection_table, "MAX_IDLE_SECONDS", 0.1)
    monkeypatch.setattr(connection_table, "SWEEP_PERIOD_SECONDS", 0.02)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert status(await client.exchange(request())) == 200
            assert await client.read_to_end() == b""

    run(test())


def test_slots_are_reclaimed_from_lingering_then_new_then_idle_connections() -> None:
    """A full table admits new clients, and a used connection stays open while others can be closed."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 3
            used = await rig.client()
            assert status(await used.exchange(request())) == 200
            rejected = await rig.client()
            assert status(await rejected.exchange(b"rubbish\r\n\r\n")) == 400
            assert await rejected.reader.read() == b""  # lingering close: the client has not closed its side
            silent_clients = [await rig.client() for _ in range(6)]
            silent_clients[0].writer.write(b"GET /api HT")
            await asyncio.gather(*(one.read_to_end() for one in silent_clients[:4]))
            new = await rig.client()
            assert status(await new.exchange(request())) == 200
            assert status(await used.exchange(request())) == 200
            assert len(server.seen) == 3 and rig.listener.table.open_count <= 3

    run(test())


def test_idle_connections_use_a_limited_ratio_of_the_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node closes idle connections so that clients that stay connected do not use all slots."""
    monkeypatch.setattr(connection_table, "MIN_IDLE_SECONDS", 0.0)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 40
            clients = [await rig.client() for _ in range(20)]
            for client in clients:
                assert status(await client.exchange(request())) == 200
            assert len(rig.listener.table._idle) <= connection_table.MAX_IDLE_RATIO * 40 + 1
            assert await clients[0].read_to_end() == b""
            assert status(await clients[-1].exchange(request())) == 200

    run(test())


def test_silent_clients_at_a_full_table_do_not_block_others_for_long() -> None:
    """Hundreds of silent clients in the accept queue delay another client by a few seconds at most."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 20
            used = [await rig.client() for _ in range(10)]
            for client in used:
                assert status(await client.exchange(request())) == 200
            silent_clients = [await rig.client() for _ in range(300)]
            start_time = asyncio.get_running_loop().time()
            last_client = await rig.client()
            assert status(await last_client.exchange(request())) == 200
            # Silent clients have at least half of the table, and 0.1 s each to send data.
            # With a tenth of the table for them this took 30 s.
            assert asyncio.get_running_loop().time() - start_time < 12
            assert rig.listener.table.open_count <= 20 + listener.ACCEPT_BATCH_CONNECTIONS
            for client in silent_clients:
                client.writer.close()

    run(test())


@pytest.mark.parametrize("is_used", [False, True])
@pytest.mark.parametrize("how", ["reclaim", "reclaim idle", "sweep", "stop"])
def test_no_connection_with_an_unread_request_is_closed(
    how: str, is_used: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A complete request that is still in the kernel must not be reset unanswered."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            if is_used:
                assert status(await client.exchange(request())) == 200
            await until(lambda: rig.listener.table.connections)
            for name in (
                "MIN_RECLAIM_AGE_SECONDS",
                "MAX_NEW_SECONDS",
                "MAX_IDLE_SECONDS",
                "MAX_IDLE_RATIO",
                "MIN_IDLE_SECONDS",
            ):
                monkeypatch.setattr(connection_table, name, 0.0)
            client_socket = client.writer.get_extra_info("socket")
            # The event loop does not run, so the node does not read this before the close below.
            assert os.write(client_socket.fileno(), request())
            if how == "reclaim":
                rig.listener.table.reclaim_slot(connecting_count=0)
            elif how == "reclaim idle":
                rig.listener.table._reclaim_idle()
            elif how == "sweep":
                rig.listener.table._sweep()
            else:
                rig.listener.context.is_draining = True
                rig.listener.table.close_unused()
            assert status(await client.read()) == 200
            assert len(server.seen) == 1 + is_used

    run(test())


def test_clients_queued_at_a_full_table_are_answered_before_the_shutdown_ends() -> None:
    """The listening socket stays open while clients wait to be accepted."""
    release = asyncio.Event()

    async def respond_when_released(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        async with Server("s-1", respond_when_released) as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 2
            clients = [await rig.client() for _ in range(5)]
            for client in clients:
                client.writer.write(request("order"))
            await until(lambda: len(server.seen) == 2)
            shutdown = asyncio.create_task(rig.shut_down(within=15.0))
            await until(lambda: rig.listener.context.is_draining)
            release.set()
            assert [status(await client.read()) for client in clients] == [200] * 5
            for client in clients:
                client.writer.close()
            await shutdown

    run(test())
