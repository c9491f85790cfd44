"""Wall clocks that are wrong or stepped while the node runs do not change its time spans."""

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
SLOW_START_SECONDS = 1.0  # as in the settings of the rig
REQUEST_INTERVAL_SECONDS = 0.005


def wall_ms(offset_ms: int = 0) -> int:
    """Return the Unix time in ms, with an offset."""
    return time.time_ns() // 1_000_000 + offset_ms


class ClockTestbed:
    """A node with an agent and servers, under a wall clock of its own."""

    def __init__(self, folder: Path, offset_ms: int, ages_ms: list[int | None]) -> None:
        """`ages_ms`: how long each server has run, None for long ago."""
        self.faults = Faults(folder / "faults")
        self.faults.set(wall_offset_ms=offset_ms)
        self.agent = Discovery()
        self.servers = [Server(f"s-{number}") for number in range(len(ages_ms))]
        self.node: Program
        self._ages, self._folder, self._stack = ages_ms, folder, AsyncExitStack()
        self._version = 8

    async def __aenter__(self) -> ClockTestbed:
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
        """Push an update that a server has restarted, by its own clock."""
        server.started_ms = wall_ms(offset_ms)
        self.agent.push(self._version, server)
        self._version += 1

    async def load(self, span: float) -> Counter[int]:
        """Send requests at a steady rate for a span in seconds, and count the statuses."""
        got: Counter[int] = Counter()
        clients = [await self.node.client() for _ in range(4)]

        async def send_requests(number: int) -> None:
            await asyncio.sleep(number * REQUEST_INTERVAL_SECONDS)
            end = time.monotonic() + span
            while time.monotonic() < end:
                got[status(await clients[number].ask(request()))] += 1
                await asyncio.sleep(4 * REQUEST_INTERVAL_SECONDS)

        await asyncio.gather(*(send_requests(number) for number in range(4)))
        for client in clients:
            client.writer.close()
        return got

    async def traffic_ratio(self, server: Server, span: float) -> float:
        """Return the part of the requests that one server gets under a steady load."""
        before = [len(one.seen) for one in self.servers]
        await self.load(span)
        got = [len(one.seen) - count for one, count in zip(self.servers, before, strict=True)]
        return got[self.servers.index(server)] / sum(got)


@pytest.mark.parametrize("offset_ms", [-HOUR_MS, -5_000, HOUR_MS])
def test_a_wrong_clock_at_the_start_rejects_no_request_for_long(offset_ms: int, tmp_path: Path) -> None:
    """A slow clock puts starts in the future, which must not keep servers in slow start."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, offset_ms, [30_000] * 4) as bed:
            first = await bed.load(1.0)
            assert first[200] > 0.2 * first.total()  # all are in slow start, and serve nevertheless
            later = await bed.load(1.5)
            assert later.keys() == {200}

    run(test())


@pytest.mark.parametrize("offset_ms", [0, HOUR_MS])
def test_a_server_that_starts_with_the_node_is_in_slow_start(offset_ms: int, tmp_path: Path) -> None:
    """Whatever the wall clock of the node."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, offset_ms, [None, None, None, 0]) as bed:
            assert await bed.traffic_ratio(bed.servers[3], 0.8) < 0.19

    run(test())


@pytest.mark.parametrize("step_ms", [0, HOUR_MS, -HOUR_MS, -2_000])
def test_a_restart_after_a_clock_step_is_in_slow_start_and_then_warm(step_ms: int, tmp_path: Path) -> None:
    """The slow start ends by the monotonic clock."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, 0, [30_000, None, None, None]) as bed:
            await bed.load(1.5)
            bed.faults.set(wall_offset_ms=step_ms)
            bed.restart(bed.servers[3], step_ms)
            assert await bed.traffic_ratio(bed.servers[3], 0.8) < 0.19
            await asyncio.sleep(SLOW_START_SECONDS)
            assert await bed.traffic_ratio(bed.servers[3], 1.0) > 0.18

    run(test())
