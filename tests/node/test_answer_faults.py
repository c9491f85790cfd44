"""Responses that the node cannot handle: they end their request, and nothing stays counted as in flight."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest
from rig import (
    TEST_TIMEOUT_SECONDS,
    Rig,
    Server,
    answer,
    configuration,
    request,
    respond_ok,
    respond_with,
    run,
    status,
)

from moleport.node.client_connection import ClientConnection
from moleport.policy.interface import AttemptResult
from moleport.telemetry import Event


def test_a_response_that_the_client_connection_fails_to_send_leaves_nothing_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt whose outcome is never reported would count against the concurrency cap for good."""
    send_response = ClientConnection.send_response

    def raise_key_error(self: ClientConnection, *_: object) -> None:
        raise KeyError(499)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(ClientConnection, "send_response", raise_key_error)
            for _ in range(3):
                client = await rig.client()
                client.writer.write(request("order"))
                assert await client.read_to_end() == b""
            monkeypatch.setattr(ClientConnection, "send_response", send_response)
            results = [(outcome.result, outcome.is_answered) for outcome in rig.spy.outcomes()]
            assert results == [(AttemptResult.OK, True)] * 3
            assert not rig.node.requests.active
            assert rig.node.attempts_in_flight_by_policy() == 0
            assert rig.node.telemetry.counters[Event.RESPONSE_FAILED] == 3
            assert status(await (await rig.client()).exchange(request("order"))) == 200

    run(test())


def test_unregistered_statuses_of_all_servers_do_not_affect_later_requests() -> None:
    """The 60 responses exceed the cap on attempts in flight; the servers then recover."""

    async def test() -> None:
        async with Server("s-1", respond_with(answer(499))) as server, Rig(configuration(server)) as rig:
            for _ in range(60):
                client = await rig.client()
                assert status(await client.exchange(request())) == 499
            server.script = respond_ok
            client = await rig.client()
            for _ in range(20):
                assert status(await client.exchange(request())) == 200

    run(test())


def test_ejections_and_reinstatements_are_logged_with_their_reason_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A server that fails is ejected, and reinstated after it recovers."""
    caplog.set_level("INFO")

    async def test() -> None:
        async with AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(Server(f"s-{number}")) for number in range(5)]
            servers[0].script = respond_with(answer(500))
            rig = await stack.enter_async_context(Rig(configuration(*servers)))
            client = await rig.client()
            counters = rig.node.telemetry.counters
            while not counters[Event.ENDPOINT_EJECTED]:
                assert status(await client.exchange(request())) == 200
            servers[0].script = respond_ok
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not counters[Event.ENDPOINT_REINSTATED]:
                    assert status(await client.exchange(request())) == 200
                    await asyncio.sleep(0.01)
            lines = [record.getMessage() for record in caplog.records if "is ejected" in record.getMessage()]
            assert lines and all(servers[0].address in line and "error" in line for line in lines)
            assert f"{servers[0].address} is reinstated" in caplog.text

    run(test())
