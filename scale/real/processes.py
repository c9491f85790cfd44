"""Starts the processes of a capacity measurement: nodes, stand-in servers and load generators.

The context managers kill their process when the block ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from shutil import which
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

from scale.real.standins import ZONE_COUNT, Agent, Entry

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_SECONDS = 60.0
SECOND_NS = 10**9
DESCRIPTOR_COUNT = 1024  # file descriptors of a node: the most that the platform allows
IDLE_TIMEOUT_NS = 15 * SECOND_NS
"""A server closes a connection that is idle for so long, as in the example of the protocol description."""
NODE_COUNT = 660  # of the service
KILL_WITH_PARENT_COMMAND = ("setpriv", "--pdeathsig", "KILL") if which("setpriv") else ()
"""Prefix of a command, so that the kernel kills the node if the measurement is killed.

setpriv executes the command in its own process, so there is no further process to measure or to kill.
"""


def request_class(name: str, semantics: str) -> dict[str, Any]:
    """Return a request class as the configuration file writes it."""
    return {
        "Aim": SECOND_NS // 4,
        "Deadline": SECOND_NS,
        "Group": "all",
        "LateShare": 0.0,
        "MemorySpan": 5 * SECOND_NS,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": 1.0,
    }


def configuration(
    agent: Agent,
    known: list[Entry],
    descriptor_count: int = DESCRIPTOR_COUNT,
    tenant_count: int = 0,
    class_count: int = 2,
) -> dict[str, Any]:
    """Return a node's configuration document.

    `known` is the endpoint list that the node starts with, of the agent's version; without entries its
    version is 0. Request classes after the first two equal the first, and get no requests.
    """
    settings = {
        "Contract": {
            "AskWithin": 10 * SECOND_NS,
            "Cold": 8 * SECOND_NS,
            "ColdShare": 0.3,
            "StopSendingWithin": SECOND_NS // 2,
        },
        "Feedback": {"Fields": [], "How": "none"},
        "Grades": [
            request_class("page", "repeatable"),
            request_class("order", "once"),
            *(request_class(f"route-{number}", "repeatable") for number in range(class_count - 2)),
        ],
        "Kinds": ["m2"],
        "Zones": [f"z{zone}" for zone in range(ZONE_COUNT)],
        "MyZone": 0,
        "Tenants": [{"Name": f"t-{number:06x}", "Share": 1 / tenant_count} for number in range(tenant_count)],
        "MembershipMode": "pushed",
        "Limits": {
            "DialTimeout": SECOND_NS // 4,
            "IdleClose": IDLE_TIMEOUT_NS,
            "MaxRetryAfter": SECOND_NS,
            "OpenCap": 20000,
            "RetryAfter": True,
            "SendCap": 3,
        },
        "PeersTotal": NODE_COUNT,
        "WorthBy": "request",
    }
    host, port = agent.address
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{host}:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptor_count},
        "settings": settings,
        "known": {"version": agent.version if known else 0, "full": True, "servers": known},
    }


class NodeProcess:
    """A node in a process of its own, `python -m moleport`, with its processor time and memory."""

    def __init__(
        self, process: asyncio.subprocess.Process, address: tuple[str, int], started_at: float
    ) -> None:
        self.process = process
        self.address = address
        self.started_at = started_at  # in seconds of the monotonic clock
        self.startup_seconds = 0.0  # from the start of the process until `/up` answered 200
        self.startup_cpu_seconds = 0.0  # processor time until then
        self.log: list[bytes] = []

    def cpu_seconds(self) -> float:
        """Return the processor time so far, in seconds."""
        return self._schedstat_seconds(0)

    def cpu_wait_seconds(self) -> float:
        """Return for how many seconds so far its threads were ready to run without a free core.

        That time is due to other processes on this machine.
        """
        return self._schedstat_seconds(1)

    def _schedstat_seconds(self, column: int) -> float:
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[column]) for task in tasks) / SECOND_NS

    def rss_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def up_status(self) -> int:
        """Return the status code of `/up`, requested on a new connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\n\r\n")
            return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])
        finally:
            writer.close()

    async def wait_until_responsive(self) -> None:
        """Wait until the node has processed what it received before the call.

        It requests `/up` twice, as the node reads a long list in several iterations of its event loop, and
        accepts a new client in as many.
        """
        for _ in range(2):
            await self.up_status()

    async def wait_until_idle(self, sample_seconds: float = 0.03) -> None:
        """Wait until the node uses less than a fifth of a core in two successive samples."""
        idle_samples = 0
        while idle_samples < 2:
            cpu_before, sampled_at = self.cpu_seconds(), monotonic()
            await asyncio.sleep(sample_seconds)
            idle_samples = (
                idle_samples + 1 if self.cpu_seconds() - cpu_before < (monotonic() - sampled_at) / 5 else 0
            )

    async def read_log(self) -> None:
        """Read the node's standard error until it ends, and keep the first 1000 lines."""
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            if len(self.log) < 1000:
                self.log.append(line)


@asynccontextmanager
async def running_node(document: dict[str, Any]) -> AsyncIterator[NodeProcess]:
    """Start a node and yield it once `/up` answers 200; raises TimeoutError."""
    with TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(document))
        started_at = monotonic()
        process = await asyncio.create_subprocess_exec(
            *KILL_WITH_PARENT_COMMAND,
            sys.executable,
            "-m",
            "moleport",
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        log_reader = None
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                started = await _wait_for_address(process, started_at)
                log_reader = asyncio.create_task(started.read_log())
                while await started.up_status() != 200:
                    await asyncio.sleep(0.002)
            started.startup_seconds, started.startup_cpu_seconds = (
                monotonic() - started_at,
                started.cpu_seconds(),
            )
            yield started
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if log_reader is not None:
                await log_reader


async def _wait_for_address(process: asyncio.subprocess.Process, started_at: float) -> NodeProcess:
    assert process.stderr is not None
    while b"serving on" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError("the node exited before it logged its listening address")
    host, port = line.split()[-1].decode().rsplit(":", 1)
    return NodeProcess(process, (host, int(port)), started_at)


@asynccontextmanager
async def running_nodes(
    documents: list[dict[str, Any]], concurrent_starts: int
) -> AsyncIterator[list[NodeProcess]]:
    """Start a node for each configuration document, and yield all of them once they are ready.

    At most `concurrent_starts` nodes are starting at any time.
    """
    start_slots = asyncio.Semaphore(concurrent_starts)
    async with AsyncExitStack() as stack:

        async def enter(document: dict[str, Any]) -> NodeProcess:
            async with start_slots:
                return await stack.enter_async_context(running_node(document))

        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(enter(document)) for document in documents]
        yield [task.result() for task in tasks]


@asynccontextmanager
async def running_servers(service_time_ms: float) -> AsyncIterator[int]:
    """Start the stand-in servers (see `scale.real.standins`), and yield the port that all of them share."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "scale.real.standins",
        str(service_time_ms),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield int(await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_SECONDS))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def fetch_counts(port: int) -> dict[str, float]:
    """Fetch the counters of the stand-in servers: connections accepted and open, requests, addresses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /counts HTTP/1.1\r\nHost: stand-in\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        counters: dict[str, float] = json.loads(await reader.readexactly(length))
        return counters
    finally:
        writer.close()


async def run_load(
    address: tuple[str, int], begin: float, seconds: float, **plan_fields: Any
) -> dict[str, list[float]]:
    """Run a load generator to its end, and return the fields of its sample, one list for each.

    `begin` is in seconds of the monotonic clock; `plan_fields` are the further fields of the plan that
    `scale.real.load` describes. Raises TimeoutError.
    """
    plan = {
        "host": address[0],
        "port": address[1],
        "begin": begin,
        "seconds": seconds,
        "seed": 1,
        **plan_fields,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "scale.real.load", json.dumps(plan), cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        timeout_seconds = begin - monotonic() + seconds + START_TIMEOUT_SECONDS
        output, _ = await asyncio.wait_for(process.communicate(), timeout_seconds)
        sample: dict[str, list[float]] = json.loads(output)
        return sample
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
