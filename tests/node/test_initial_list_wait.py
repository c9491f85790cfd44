"""Tests of the wait of a starting node for its first endpoint list: which ends of a watch do not end it."""

from __future__ import annotations

import asyncio
import errno
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from node_process import program
from rig import (
    TEST_TIMEOUT_SECONDS,
    Client,
    Discovery,
    Rig,
    Server,
    answer,
    configuration,
    read_message,
    request,
    reset,
    run,
)
from rig import status as status_of

from moleport.node import discovery_limits
from moleport.node.discovery_watch import WatchFailure
from moleport.node.initial_list_wait import MAX_FURTHER_WATCHES_S, InitialListWait, WaitResult
from moleport.node.name_hashing import hash_name
from soak.shims import Faults

WATCH_HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAULT_SECONDS = 0.4  # time for which watches fail
REPLIES = {
    "ended": WATCH_HEADERS + b"0\r\n\r\n",
    "closed": b"",
    "reset": b"",
    "refused by status": answer(503, b""),
    "malformed": WATCH_HEADERS + b"5\r\nlist\n\r\n",
}


class FailingAgent:
    """A discovery agent whose watches fail in one way until `update` is set, and then get the update."""

    def __init__(self, failure: str) -> None:
        self.failure = failure
        self.update = b""
        self.watch_count = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen at a free address, or again at the earlier one."""
        _, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", int(port or 0))
        host, port_number = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port_number}"

    def stop_listening(self) -> None:
        """Refuse connections until `listen` is called again."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        self.watch_count += 1
        if self.update:
            writer.write(WATCH_HEADERS + b"%x\r\n%s\r\n" % (len(self.update), self.update))
            await reader.read()
        elif self.failure == "reset":
            reset(writer)
        else:
            writer.write(REPLIES.get(self.failure, WATCH_HEADERS + b"0\r\n\r\n"))
        writer.close()


@asynccontextmanager
async def agent_that_recovers(failure: str, update: bytes, faults: Faults) -> AsyncIterator[FailingAgent]:
    """Run an agent that fails for `FAULT_SECONDS`, and that then sends the update to each watch."""
    agent = FailingAgent(failure)
    await agent.listen()
    if failure == "refused":
        agent.stop_listening()
    elif failure == "ENFILE":
        faults.set(connect_errno=errno.ENFILE)

    async def recover() -> None:
        await asyncio.sleep(FAULT_SECONDS)
        while failure in REPLIES and not agent.watch_count:
            await asyncio.sleep(0.01)
        agent.update = update
        if failure == "refused":
            await agent.listen()
        elif failure == "ENFILE":
            faults.set(connect_errno=0)

    recovery = asyncio.create_task(recover())
    try:
        yield agent
    finally:
        await recovery
        agent.stop_listening()


@pytest.mark.parametrize("failure", [*REPLIES, "refused", "ENFILE"])
def test_a_new_process_does_not_serve_an_outdated_list_when_its_first_watches_fail(
    failure: str, tmp_path: Path
) -> None:
    """Guards against requests to drained servers: what the agent holds counts as notified from the start."""

    async def test() -> None:
        faults = Faults(tmp_path / "faults")
        async with Server("s-1") as drained, Server("s-2") as listed:
            document = configuration(drained)
            document["settings"]["MembershipMode"] = "pushed"
            update = json.dumps({"version": 9, "full": True, "servers": [listed.entry()]}).encode() + b"\n"
            async with agent_that_recovers(failure, update, faults) as agent:
                document["discovery"] = agent.address
                async with program(document, tmp_path, command=faults.command()) as node:
                    assert agent.update
                    client = await node.client()
                    for _ in range(5):
                        assert status_of(await client.exchange(request())) == 200
                    assert (len(drained.seen), len(listed.seen)) == (0, 5)

    run(test())


def test_a_new_process_is_ready_in_time_if_no_watch_gets_an_update(tmp_path: Path) -> None:
    """Guards against an endless wait: an agent that ends each watch must not keep the node from serving."""

    async def test() -> None:
        async with Server("s-1") as server:
            agent = FailingAgent("ended")
            await agent.listen()
            document = configuration(server, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            async with program(document, tmp_path) as node:
                assert loop.time() - started_at < 6.0  # time within which a restarted node has to be ready
                client = Client(*await asyncio.open_connection(*node.address))
                assert status_of(await client.exchange(request())) == 200
            agent.stop_listening()

    run(test())


@pytest.mark.parametrize(
    ("failure", "result"),
    [
        (WatchFailure.NOT_CONNECTED, WaitResult.UNREACHABLE),
        (WatchFailure.NO_RESPONSE, WaitResult.NO_RESPONSE),
        (WatchFailure.LOCAL_FAULT, WaitResult.NO_UPDATE),
        (WatchFailure.ENDED_BY_DISCOVERY, WaitResult.NO_UPDATE),
        (WatchFailure.SILENT, WaitResult.NO_UPDATE),
    ],
)
def test_the_wait_ends_by_its_limits_if_each_watch_ends_in_the_same_way(
    failure: WatchFailure, result: WaitResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking a local fault or an ended watch for an unreachable discovery."""
    monkeypatch.setattr(discovery_limits, "AGENT_RESPONSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(discovery_limits, "FIRST_DATA_TIMEOUT_S", 0.3)
    monkeypatch.setattr("moleport.node.initial_list_wait.MAX_FURTHER_WATCHES_S", 0.2)

    async def test() -> None:
        wait = InitialListWait()
        wait.start()
        ended = asyncio.create_task(wait.wait())
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not ended.done():
                await asyncio.sleep(0.02)
                wait.on_watch_failed(failure)
            assert await ended is result

    assert MAX_FURTHER_WATCHES_S > discovery_limits.AGENT_RESPONSE_TIMEOUT_S
    run(test())


@pytest.mark.parametrize("held_step", ["connecting", "responding"])
def test_a_hold_of_the_node_is_not_taken_for_a_silent_agent(held_step: str, tmp_path: Path) -> None:
    """Guards against serving an outdated list because the node did not run while its agent responded."""

    async def test() -> None:
        async with Discovery() as agent, Server("s-1") as drained, Server("s-2") as listed:
            document = configuration(drained, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            update = json.dumps({"version": 9, "full": True, "servers": [listed.entry()]}).encode() + b"\n"
            agent.reply += b"%x\r\n%s\r\n" % (len(update), update)
            async with Rig(document) as rig:
                while held_step == "responding" and not agent.targets:
                    await asyncio.sleep(0)
                time.sleep(discovery_limits.AGENT_RESPONSE_TIMEOUT_S + 0.1)
                await rig.node.wait_until_endpoints_known()
                assert rig.node._ready_endpoint_ids == {hash_name("s-2")}

    run(test())
