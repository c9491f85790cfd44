"""A small deployment on loopback: nodes with an agent each, and quote servers; it ends what it starts."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from standins.discovery import Agent
from standins.node import Node
from standins.record import Record
from standins.servers import Behaviour, QuoteServer, Tier
from standins.settings import document, settings

MAX_CASE_SECONDS = 115.0
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Fleet:
    """Nodes, their agents and quote servers, with the record of the run."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.tier = Tier(record)
        self.servers: list[QuoteServer] = []
        self.nodes: list[Node] = []
        self.agents: list[Agent] = []
        self._folder = folder

    async def add_servers(self, count: int, behaviour: Behaviour) -> None:
        """Start quote servers."""
        for number in range(count):
            server = QuoteServer(f"s-{number}", self.tier, behaviour)
            await server.start()
            self.servers.append(server)

    async def add_nodes(self, count: int) -> None:
        """Configure nodes with an agent each, whose list holds all quote servers; start no process."""
        for index in range(count):
            agent = Agent()
            agent.entries = {server.name: server.entry() for server in self.servers}
            await agent.start()
            node = Node(f"n{index}", self._folder)
            self.agents.append(agent)
            self.nodes.append(node)
            self.configure(index, agent.whole_list(), settings(count, index))

    def configure(self, index: int, known: dict[str, Any], node_settings: dict[str, Any]) -> None:
        """Write the configuration file of a node."""
        node, agent = self.nodes[index], self.agents[index]
        node.configure(document(node.name, node.address, agent.address, known, node_settings))

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            await node.start()
            self.record.write("node started", node=node.name)
        for node in self.nodes:
            if not await node.wait_until_ready():
                raise CaseError(f"node {node.name} is not ready: {node.log_text()[-500:]}")
            self.record.write("node ready", node=node.name)

    async def end(self) -> None:
        """Kill all nodes, and add the ends of their logs to the record."""
        for node in self.nodes:
            await node.kill()
            self.record.write("node log", node=node.name, text=node.log_text()[-4000:])


Scenario = Callable[[Fleet], Awaitable[list[str]]]
"""Plays a case, and returns a line for each break of the rule."""


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE") != "0"


async def _play(scenario: Scenario, record: Record) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with TemporaryDirectory() as folder:
        fleet = Fleet(record, Path(folder))
        try:
            async with asyncio.timeout(MAX_CASE_SECONDS):
                return list(await scenario(fleet))
        finally:
            await fleet.end()


def main(scenario: Scenario) -> int:
    """Play the case of the current folder, write record.txt, and return the exit code."""
    record = Record(Path("record.txt"))
    try:
        breaks = asyncio.run(_play(scenario, record))
    except (Exception, asyncio.CancelledError):
        record.write("not run", error=traceback.format_exc())
        print("the case could not run:", traceback.format_exc(), file=sys.stderr)
        return NOT_RUN
    finally:
        record.close()
    for line in breaks[:10]:
        print(line)
    print(f"{len(breaks)} breaks of the rule, trouble {'on' if has_trouble() else 'off'}")
    return RULE_BROKEN if breaks else RULE_HELD
