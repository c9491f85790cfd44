"""How soon nodes that restart together accept clients, on few cores and whatever the agent does."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from rig import PATIENCE, Client, Server, configuration, read_message, request, run, status
from test_process import start

ROOT = Path(__file__).parents[2]
NODES_COUNT = 30
CORES_COUNT = 2  # that all nodes share
# From its start until a node is ready: nine in ten, and each.
NINE_IN_TEN_READY_SECONDS, ALL_READY_SECONDS = 10.0, 30.0
AGENT_DELAY_SECONDS = 2.0  # after the restart, where the agent is late
READY_CHECK_PERIOD_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.5  # between the empty lines of a watch without changes


class Agent:
    """A discovery agent that keeps each watch open; it answers only while it is up."""

    def __init__(self, first: bytes) -> None:
        self.first = first
        self.up = asyncio.Event()
        self.watched = asyncio.Event()
        self.address = ""

    async def __aenter__(self) -> Agent:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.up.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        self.watched.set()
        await self.up.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.first
        with suppress(OSError):
            while not reader.at_eof():
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), HEARTBEAT_SECONDS)
        writer.close()


def pin() -> None:
    """Restrict the process to the shared cores; runs in the child."""
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-CORES_COUNT:])


class Place:
    """A node whose name and address stay the same while its processes change.

    On a loopback address of its own, no client can take its port while no process listens.
    """

    def __init__(self, index: int, folder: Path, document: dict[str, Any]) -> None:
        self._folder = folder / f"n{index}"
        self._folder.mkdir()
        with socket.socket() as free:
            free.bind((f"127.0.1.{index + 1}", 0))
            self._address = free.getsockname()
        host, port = self._address
        document = document | {"name": f"n{index}", "listen": f"{host}:{port}", "seed": f"{index:016x}"}
        (self._folder / "config.json").write_text(json.dumps(document))
        self._process: asyncio.subprocess.Process
        self._begun = 0.0

    async def start(self) -> None:
        """Start a process of the node."""
        self._begun = asyncio.get_running_loop().time()
        with open(self._folder / "log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "moleport",
                cwd=ROOT,
                stderr=log,
                preexec_fn=pin,
                env={**os.environ, "BALANCER_CONFIG": str(self._folder / "config.json")},
            )

    async def ready(self) -> float:
        """Wait until `/up` answers 200; return the time since the start, in s."""
        async with asyncio.timeout_at(self._begun + ALL_READY_SECONDS):
            while not await self._is_up():
                assert self._process.returncode is None, (self._folder / "log").read_text()
                await asyncio.sleep(READY_CHECK_PERIOD_SECONDS)
        return asyncio.get_running_loop().time() - self._begun

    async def _is_up(self) -> bool:
        try:
            client = Client(*await asyncio.open_connection(*self._address))
        except OSError:
            return False
        try:
            return status(await client.ask(request(target="/up", method="GET"))) == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            client.writer.close()

    async def end(self, number: signal.Signals) -> None:
        """Send a signal to the process and wait for its end."""
        if self._process.returncode is None:
            self._process.send_signal(number)
        await self._process.wait()


@asynccontextmanager
async def places(many: int, folder: Path, document: dict[str, Any]) -> AsyncIterator[list[Place]]:
    """Start nodes, wait until all are ready, and kill them at the end."""
    found = [Place(index, folder, document) for index in range(many)]
    started = []
    try:
        for place in found:
            await place.start()
            started.append(place)
        await asyncio.gather(*(place.ready() for place in found))
        yield found
    finally:
        for place in started:
            await place.end(signal.SIGKILL)


def pushed(agent: Agent, *servers: Server) -> dict[str, Any]:
    """Return the configuration of a node to which the agent pushes endpoint lists."""
    document = configuration(*servers, discovery=agent.address)
    document["settings"]["MembershipMode"] = "pushed"
    return document


def complete_list(*servers: Server) -> bytes:
    """Return a complete endpoint list, as a line of a watch."""
    entries = [server.entry() for server in servers]
    return json.dumps({"version": 9, "full": True, "servers": entries}).encode() + b"\n"


@pytest.mark.parametrize(
    ("agent_is", "ended_by"), [("up", signal.SIGTERM), ("late", signal.SIGKILL), ("silent", signal.SIGKILL)]
)
def test_nodes_that_restart_together_are_ready_in_time(
    agent_is: str, ended_by: signal.Signals, tmp_path: Path
) -> None:
    """Thirty nodes share two cores, and the agent is up, late or silent."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(complete_list(server)) as agent:
            agent.up.set()
            async with places(NODES_COUNT, tmp_path, pushed(agent, server)) as nodes:
                await asyncio.gather(*(node.end(ended_by) for node in nodes))
                if agent_is != "up":
                    agent.up.clear()
                if agent_is == "late":
                    asyncio.get_running_loop().call_later(AGENT_DELAY_SECONDS, agent.up.set)
                for node in nodes:
                    await node.start()
                took = sorted(await asyncio.gather(*(node.ready() for node in nodes)))
                print(
                    f"agent {agent_is}: half ready in {took[NODES_COUNT // 2]:.2f} s, all in {took[-1]:.2f} s"
                )
                ready_soon = sum(seconds <= NINE_IN_TEN_READY_SECONDS for seconds in took)
                assert ready_soon >= 0.9 * NODES_COUNT, took
                assert took[-1] <= ALL_READY_SECONDS

    run(test())


def test_a_node_is_ready_when_the_agent_has_no_changes(tmp_path: Path) -> None:
    """Where the cached list is the newest, the watch brings empty lines only."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(b"\n") as agent:
            agent.up.set()
            async with places(1, tmp_path, pushed(agent, server)) as (node,):
                assert await node.ready() < ALL_READY_SECONDS

    run(test())


def test_sigterm_ahead_of_the_first_list_ends_the_node_at_once(tmp_path: Path) -> None:
    """It has not listened yet: what it accepted now could be killed with it."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(b"\n") as agent:
            agent.up.set()
            document = configuration(server, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            path = tmp_path / "config.json"
            path.write_text(json.dumps(document))
            process = await start(path)
            async with asyncio.timeout(PATIENCE):
                await agent.watched.wait()
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                begun = loop.time()
                process.send_signal(signal.SIGTERM)
                _, stderr = await process.communicate()
            assert process.returncode == 0
            assert loop.time() - begun < 0.5
            assert b"serving on" not in stderr

    run(test())
