"""A wall clock that is wrong, or is stepped while the node runs: its spans are those of real time."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from rig import Discovery, Server, configuration, request, run, status, until
from test_process import Program, program

from soak.shims import Faults

HOUR_MS = 3_600_000
COLD_TIME = 1.0  # s, as the settings of the rig tell; servers start at half of their work
PACE = 0.005  # s between two requests


def wall_ms(offset_ms: int = 0) -> int:
    return time.time_ns() // 1_000_000 + offset_ms


class Bed:
    """A node between an agent and four servers, under its own wall clock, and a steady load."""

    def __init__(self, folder: Path, offset_ms: int, ages_ms: list[int | None]) -> None:
        """`ages_ms`: how long each server has run, None for long ago."""
        self.faults = Faults(folder / "faults")
        self.faults.set(wall_offset_ms=offset_ms)
        self.agent = Discovery()
        self.servers = [Server(f"s-{number}") for number in range(len(ages_ms))]
        self.node: Program
        self._ages, self._folder, self._stack = ages_ms, folder, AsyncExitStack()
        self._version = 8

    async def __aenter__(self) -> Bed:
        await self._stack.enter_async_context(self.agent)
        for server in self.servers:
            await self._stack.enter_async_context(server)
        for server, age in zip(self.servers, self._ages, strict=True):
            server.started_ms = 0 if age is None else wall_ms(-age)
        document: dict[str, Any] = configuration(*self.servers, discovery=self.agent.address)
        document["settings"]["MembershipMode"] = "pushed"
        path = self._folder / "config.json"
        path.write_text(json.dumps(document))
        greeting = asyncio.create_task(self._greet())
        self.node = await self._stack.enter_async_context(
            program(document, self._folder, command=self.faults.command())
        )
        await greeting
        return self

    async def _greet(self) -> None:
        await until(lambda: self.agent.targets)
        self.agent.push(7, *self.servers, full=True)

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    def restart(self, server: Server, offset_ms: int) -> None:
        server.started_ms = wall_ms(offset_ms)
        self.agent.push(self._version, server)
        self._version += 1

    async def load(self, span: float) -> Counter[int]:
        """Statuses of a steady load of so many seconds."""
        got: Counter[int] = Counter()
        clients = [await self.node.client() for _ in range(4)]

        async def ask(number: int) -> None:
            await asyncio.sleep(number * PACE)
            end = time.monotonic() + span
            while time.monotonic() < end:
                got[status(await clients[number].ask(request()))] += 1
                await asyncio.sleep(4 * PACE)

        await asyncio.gather(*(ask(number) for number in range(4)))
        for client in clients:
            client.writer.close()
        return got

    async def share(self, server: Server, span: float) -> float:
        """Of a steady load, what one server gets."""
        before = [len(one.seen) for one in self.servers]
        await self.load(span)
        got = [len(one.seen) - count for one, count in zip(self.servers, before, strict=True)]
        return got[self.servers.index(server)] / sum(got)


@pytest.mark.parametrize("offset_ms", [-HOUR_MS, -5_000, HOUR_MS])
def test_a_wrong_clock_at_the_start_refuses_nothing(offset_ms: int, tmp_path: Path) -> None:
    """An hour behind, servers that started 30 s ago lay in the future: all stayed cold for the hour, and all
    requests were refused."""

    async def test() -> None:
        async with Bed(tmp_path, offset_ms, [30_000] * 4) as bed:
            first = await bed.load(1.0)
            assert first[200] > 0.2 * first.total()  # all of them are taken as cold, yet not as useless
            later = await bed.load(1.5)
            assert later.keys() == {200}

    run(test())


@pytest.mark.parametrize("offset_ms", [0, HOUR_MS])
def test_a_server_that_has_just_started_as_the_node_starts_is_cold(offset_ms: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with Bed(tmp_path, offset_ms, [None, None, None, 0]) as bed:
            assert await bed.share(bed.servers[3], 0.8) < 0.19

    run(test())


@pytest.mark.parametrize("step_ms", [0, HOUR_MS, -HOUR_MS, -2_000])
def test_a_restart_after_a_step_of_all_clocks_is_cold_and_then_warm(step_ms: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with Bed(tmp_path, 0, [30_000, None, None, None]) as bed:
            await bed.load(1.5)
            bed.faults.set(wall_offset_ms=step_ms)
            bed.restart(bed.servers[3], step_ms)
            assert await bed.share(bed.servers[3], 0.8) < 0.19
            await asyncio.sleep(COLD_TIME)
            assert await bed.share(bed.servers[3], 1.0) > 0.18

    run(test())
