"""How soon nodes that restart together take clients, on few cores and whatever the agent does."""

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
from rig import Client, Server, configuration, read_message, request, run, status

ROOT = Path(__file__).parent.parent
NODES = 30
CORES = 2  # that all nodes share
MOST_WITHIN, ALL_WITHIN = 10.0, 30.0  # s from its start until a node is ready: nine in ten, and each
LATE = 2.0  # s after the restart
LOOK = 0.05  # s
HEARTBEAT = 0.5  # s between the empty lines of a watch on which nothing changes


class Agent:
    """Holds each watch open, and answers it at once while it is up. As long as it is not, all wait."""

    def __init__(self, first: bytes) -> None:
        self.first = first
        self.up = asyncio.Event()
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
        await self.up.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.first
        with suppress(OSError):
            while not reader.at_eof():
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), HEARTBEAT)
        writer.close()


def pin() -> None:
    """In the child alone."""
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-CORES:])


class Place:
    """Where one node runs: its name and address stay the same, its process does not. An address of its own
    on the loopback keeps the port free of all clients until the next process takes it."""

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
        """Waits until `/up` says so; returns the seconds since the start."""
        async with asyncio.timeout_at(self._begun + ALL_WITHIN):
            while not await self._is_up():
                assert self._process.returncode is None, (self._folder / "log").read_text()
                await asyncio.sleep(LOOK)
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
        if self._process.returncode is None:
            self._process.send_signal(number)
        await self._process.wait()


@asynccontextmanager
async def places(many: int, folder: Path, document: dict[str, Any]) -> AsyncIterator[list[Place]]:
    """Nodes that are ready for the first time."""
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
    document = configuration(*servers, discovery=agent.address)
    document["settings"]["MembershipMode"] = "pushed"
    return document


def whole_list(*servers: Server) -> bytes:
    entries = [server.entry() for server in servers]
    return json.dumps({"version": 9, "full": True, "servers": entries}).encode() + b"\n"


@pytest.mark.parametrize(
    ("agent_is", "ended_by"), [("up", signal.SIGTERM), ("late", signal.SIGKILL), ("silent", signal.SIGKILL)]
)
def test_nodes_that_restart_together_are_ready_soon(
    agent_is: str, ended_by: signal.Signals, tmp_path: Path
) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Agent(whole_list(server)) as agent:
            agent.up.set()
            async with places(NODES, tmp_path, pushed(agent, server)) as nodes:
                await asyncio.gather(*(node.end(ended_by) for node in nodes))
                if agent_is != "up":
                    agent.up.clear()
                if agent_is == "late":
                    asyncio.get_running_loop().call_later(LATE, agent.up.set)
                for node in nodes:
                    await node.start()
                took = sorted(await asyncio.gather(*(node.ready() for node in nodes)))
                print(f"agent {agent_is}: half ready in {took[NODES // 2]:.2f} s, all in {took[-1]:.2f} s")
                assert sum(seconds <= MOST_WITHIN for seconds in took) >= 0.9 * NODES, took
                assert took[-1] <= ALL_WITHIN

    run(test())


def test_a_node_is_ready_where_the_agent_answers_and_has_nothing_to_tell(tmp_path: Path) -> None:
    """What it knew is still the newest list, so the watch brings empty lines alone: it waited for the first
    change, however late that came, and took no clients."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(b"\n") as agent:
            agent.up.set()
            async with places(1, tmp_path, pushed(agent, server)) as (node,):
                assert await node.ready() < ALL_WITHIN

    run(test())
