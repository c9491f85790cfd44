"""A wall clock that is wrong, or stepped while the node runs, does not change how long anything takes."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from node_process import Program, program
from rig import Discovery, Server, configuration, request, run, status, until

from soak.shims import Faults

HOUR_MS = 3_600_000
SLOW_START_SECONDS = 1.0  # as in the rig's settings
REQUEST_INTERVAL_SECONDS = 0.005


def wall_time_ms(offset_ms: int = 0) -> int:
    """Return the Unix time in ms, plus an offset."""
    return time.time_ns() // 1_000_000 + offset_ms


class ClockTestbed:
    """A node with a discovery agent and servers; the offset of the node's wall clock can be set."""

    def __init__(self, folder: Path, offset_ms: int, ages_ms: list[int | None]) -> None:
        """`ages_ms` is how long each server has run; None: long ago, it states no start time."""
        self.faults = Faults(folder / "faults")
        self.faults.set(wall_offset_ms=offset_ms)
        self.agent = Discovery()
        self.servers = [Server(f"s-{number}") for number in range(len(ages_ms))]
        self.node: Program
        self._ages_ms, self._folder, self._stack = ages_ms, folder, AsyncExitStack()
        self._version = 8

    async def __aenter__(self) -> ClockTestbed:
        await self._stack.enter_async_context(self.agent)
        for server in self.servers:
            await self._stack.enter_async_context(server)
        for server, age_ms in zip(self.servers, self._ages_ms, strict=True):
            server.started_ms = 0 if age_ms is None else wall_time_ms(-age_ms)
        document: dict[str, Any] = configuration(*self.servers, discovery=self.agent.address)
        document["settings"]["MembershipMode"] = "pushed"
        path = self._folder / "config.json"
        path.write_text(json.dumps(document))
        first_push = asyncio.create_task(self._push_endpoints())
        self.node = await self._stack.enter_async_context(
            program(document, self._folder, command=self.faults.command())
        )
        await first_push
        return self

    async def _push_endpoints(self) -> None:
        await until(lambda: self.agent.targets)
        self.agent.push(7, *self.servers, full=True)

    async def __aexit__(self, *details: object) -> None:
        await self._stack.aclose()

    def restart(self, server: Server, offset_ms: int) -> None:
        """Push an update that a server has just restarted, with a start time by a clock with this offset."""
        server.started_ms = wall_time_ms(offset_ms)
        self.agent.push(self._version, server)
        self._version += 1

    async def send_load(self, span_s: float) -> Counter[int]:
        """Send requests at a steady rate for `span_s` seconds, and count the statuses."""
        counts: Counter[int] = Counter()
        clients = [await self.node.client() for _ in range(4)]

        async def send_requests(number: int) -> None:
            await asyncio.sleep(number * REQUEST_INTERVAL_SECONDS)
            end = time.monotonic() + span_s
            while time.monotonic() < end:
                counts[status(await clients[number].exchange(request()))] += 1
                await asyncio.sleep(4 * REQUEST_INTERVAL_SECONDS)

        await asyncio.gather(*(send_requests(number) for number in range(4)))
        for client in clients:
            client.writer.close()
        return counts

    async def traffic_ratio(self, server: Server, span_s: float) -> float:
        """Return the ratio of requests that one server gets at a steady rate."""
        before = [len(one.seen) for one in self.servers]
        await self.send_load(span_s)
        counts = [len(one.seen) - count for one, count in zip(self.servers, before, strict=True)]
        return counts[self.servers.index(server)] / sum(counts)


@pytest.mark.parametrize("offset_ms", [-HOUR_MS, -5_000, HOUR_MS])
def test_a_wrong_clock_at_the_start_rejects_no_request_for_long(offset_ms: int, tmp_path: Path) -> None:
    """A slow clock makes start times appear in the future, which must not keep servers in slow start."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, offset_ms, [30_000] * 4) as testbed:
            first_statuses = await testbed.send_load(1.0)
            # All servers are in slow start, but must still get requests.
            assert first_statuses[200] > 0.2 * first_statuses.total()
            later_statuses = await testbed.send_load(1.5)
            assert later_statuses.keys() == {200}

    run(test())


@pytest.mark.parametrize("offset_ms", [0, HOUR_MS])
def test_a_server_that_starts_with_the_node_is_in_slow_start(offset_ms: int, tmp_path: Path) -> None:
    """Slow start does not depend on the offset of the node's wall clock."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, offset_ms, [None, None, None, 0]) as testbed:
            assert await testbed.traffic_ratio(testbed.servers[3], 0.8) < 0.19

    run(test())


@pytest.mark.parametrize("step_ms", [0, HOUR_MS, -HOUR_MS, -2_000])
def test_a_server_restarted_after_a_clock_step_is_in_slow_start_for_its_usual_time(
    step_ms: int, tmp_path: Path
) -> None:
    """The length of the slow start is measured with the monotonic clock."""

    async def test() -> None:
        async with ClockTestbed(tmp_path, 0, [30_000, None, None, None]) as testbed:
            await testbed.send_load(1.5)
            testbed.faults.set(wall_offset_ms=step_ms)
            testbed.restart(testbed.servers[3], step_ms)
            assert await testbed.traffic_ratio(testbed.servers[3], 0.8) < 0.19
            await asyncio.sleep(SLOW_START_SECONDS)
            assert await testbed.traffic_ratio(testbed.servers[3], 1.0) > 0.18

    run(test())
