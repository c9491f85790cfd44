"""Tests how soon restarted nodes are ready: many on few cores, with a fast, a late or a silent agent."""

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
from node_process import start
from rig import TEST_TIMEOUT_SECONDS, Client, Server, configuration, read_message, request, run, status

ROOT = Path(__file__).parents[2]
NODE_COUNT = 30
CORE_COUNT = 2  # cores that all nodes share
# Longest times from the start of a node until it is ready, for nine of ten nodes and for all nodes.
NINE_IN_TEN_READY_SECONDS, ALL_READY_SECONDS = 10.0, 30.0
AGENT_DELAY_SECONDS = 2.0  # time after the restart at which a late agent answers
READY_CHECK_PERIOD_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.5  # pause between the empty lines of a watch without changes


class Agent:
    """A discovery agent that keeps each watch open, and answers only while `is_up` is set."""

    def __init__(self, first_line: bytes) -> None:
        self.first_line = first_line
        self.is_up = asyncio.Event()
        self.has_watch = asyncio.Event()
        self.address = ""

    async def __aenter__(self) -> Agent:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.is_up.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        self.has_watch.set()
        await self.is_up.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.first_line
        with suppress(OSError):
            while not reader.at_eof():
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                line = b"\n"
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), HEARTBEAT_SECONDS)
        writer.close()


def pin_to_shared_cores() -> None:
    """Restrict the process to the shared cores; runs in the child process."""
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-CORE_COUNT:])


class RestartableNode:
    """A node whose name and address stay the same when its process is replaced.

    Each node has its own loopback address, so that no client connection can take its port while no process
    listens there.
    """

    def __init__(self, index: int, folder: Path, document: dict[str, Any]) -> None:
        self._folder = folder / f"n{index}"
        self._folder.mkdir()
        with socket.socket() as probe:
            probe.bind((f"127.0.1.{index + 1}", 0))
            self._address = probe.getsockname()
        host, port = self._address
        document = document | {"name": f"n{index}", "listen": f"{host}:{port}", "seed": f"{index:016x}"}
        (self._folder / "config.json").write_text(json.dumps(document))
        self._process: asyncio.subprocess.Process
        self._started_at = 0.0

    async def start(self) -> None:
        """Start a process of the node."""
        self._started_at = asyncio.get_running_loop().time()
        with open(self._folder / "log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "moleport",
                cwd=ROOT,
                stderr=log,
                preexec_fn=pin_to_shared_cores,
                env={**os.environ, "BALANCER_CONFIG": str(self._folder / "config.json")},
            )

    async def wait_until_ready(self) -> float:
        """Wait until `/up` answers 200; return the time since the start of the process, in seconds."""
        async with asyncio.timeout_at(self._started_at + ALL_READY_SECONDS):
            while not await self._is_up():
                assert self._process.returncode is None, (self._folder / "log").read_text()
                await asyncio.sleep(READY_CHECK_PERIOD_SECONDS)
        return asyncio.get_running_loop().time() - self._started_at

    async def _is_up(self) -> bool:
        try:
            client = Client(*await asyncio.open_connection(*self._address))
        except OSError:
            return False
        try:
            return status(await client.exchange(request(target="/up", method="GET"))) == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            client.writer.close()

    async def end(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, and wait for the end of the process."""
        if self._process.returncode is None:
            self._process.send_signal(signal_number)
        await self._process.wait()


@asynccontextmanager
async def running_nodes(
    count: int, folder: Path, document: dict[str, Any]
) -> AsyncIterator[list[RestartableNode]]:
    """Start nodes, wait until all are ready, and kill them at the end."""
    nodes = [RestartableNode(index, folder, document) for index in range(count)]
    started_nodes = []
    try:
        for node in nodes:
            await node.start()
            started_nodes.append(node)
        await asyncio.gather(*(node.wait_until_ready() for node in nodes))
        yield nodes
    finally:
        for node in started_nodes:
            await node.end(signal.SIGKILL)


def push_configuration(agent: Agent, *servers: Server) -> dict[str, Any]:
    """Return the configuration of a node to which the agent pushes endpoint lists."""
    document = configuration(*servers, discovery=agent.address)
    document["settings"]["MembershipMode"] = "pushed"
    return document


def complete_list(*servers: Server) -> bytes:
    """Return a complete endpoint list as a line of a watch."""
    entries = [server.entry() for server in servers]
    return json.dumps({"version": 9, "full": True, "servers": entries}).encode() + b"\n"


@pytest.mark.parametrize(
    ("agent_state", "end_signal"),
    [("up", signal.SIGTERM), ("late", signal.SIGKILL), ("silent", signal.SIGKILL)],
)
def test_nodes_that_restart_together_are_ready_in_time(
    agent_state: str, end_signal: signal.Signals, tmp_path: Path
) -> None:
    """Thirty nodes share two cores, and the agent answers at once, late or not at all."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(complete_list(server)) as agent:
            agent.is_up.set()
            async with running_nodes(NODE_COUNT, tmp_path, push_configuration(agent, server)) as nodes:
                await asyncio.gather(*(node.end(end_signal) for node in nodes))
                if agent_state != "up":
                    agent.is_up.clear()
                if agent_state == "late":
                    asyncio.get_running_loop().call_later(AGENT_DELAY_SECONDS, agent.is_up.set)
                for node in nodes:
                    await node.start()
                durations = sorted(await asyncio.gather(*(node.wait_until_ready() for node in nodes)))
                print(
                    f"agent {agent_state}: half of the nodes ready in {durations[NODE_COUNT // 2]:.2f} s, "
                    f"all in {durations[-1]:.2f} s"
                )
                ready_soon_count = sum(seconds <= NINE_IN_TEN_READY_SECONDS for seconds in durations)
                assert ready_soon_count >= 0.9 * NODE_COUNT, durations
                assert durations[-1] <= ALL_READY_SECONDS

    run(test())


def test_a_node_is_ready_when_the_agent_has_no_changes(tmp_path: Path) -> None:
    """The watch sends empty lines only if the node's cached list is the newest one."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(b"\n") as agent:
            agent.is_up.set()
            async with running_nodes(1, tmp_path, push_configuration(agent, server)) as (node,):
                assert await node.wait_until_ready() < ALL_READY_SECONDS

    run(test())


def test_sigterm_before_the_first_list_ends_the_node_at_once(tmp_path: Path) -> None:
    """The node must not start to listen: clients that it accepted now could lose their requests."""

    async def test() -> None:
        async with Server("s-1") as server, Agent(b"\n") as agent:
            agent.is_up.set()
            document = configuration(server, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            path = tmp_path / "config.json"
            path.write_text(json.dumps(document))
            process = await start(path)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await agent.has_watch.wait()
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                signalled_at = loop.time()
                process.send_signal(signal.SIGTERM)
                _, stderr = await process.communicate()
            assert process.returncode == 0
            assert loop.time() - signalled_at < 0.5
            assert b"serving on" not in stderr

    run(test())
