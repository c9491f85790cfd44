"""The processes of a scale test: nodes, stand-in servers and loads; each ends with its block."""

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

from scale.real.standins import ZONES, Agent, Entry

ROOT = Path(__file__).parent.parent.parent
START_WITHIN = 60.0  # s
SECOND = 10**9  # ns
SOCKETS = 1024  # descriptors of a node: the most that the platform's terms give
IDLE_CLOSE = 15 * SECOND  # after which a server closes an idle connection, as in the wire page's example
NODES = 660
ENDS_WITH_US = ("setpriv", "--pdeathsig", "KILL") if which("setpriv") else ()
"""A test that is killed leaves no node behind. It becomes the node: no process is added."""


def grade(name: str, semantics: str) -> dict[str, Any]:
    return {
        "Aim": SECOND // 4,
        "Deadline": SECOND,
        "Group": "all",
        "LateShare": 0.0,
        "MemorySpan": 5 * SECOND,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": 1.0,
    }


def configuration(
    agent: Agent, known: list[Entry], sockets: int = SOCKETS, tenants: int = 0, classes: int = 2
) -> dict[str, Any]:
    """What a node is told; `known` is the list that it held last, of the agent's first version if any.
    Classes after the first two are as the first, and never asked for."""
    settings = {
        "Contract": {
            "AskWithin": 10 * SECOND,
            "Cold": 8 * SECOND,
            "ColdShare": 0.3,
            "StopSendingWithin": SECOND // 2,
        },
        "Feedback": {"Fields": [], "How": "none"},
        "Grades": [
            grade("page", "repeatable"),
            grade("order", "once"),
            *(grade(f"route-{number}", "repeatable") for number in range(classes - 2)),
        ],
        "Kinds": ["m2"],
        "Zones": [f"z{zone}" for zone in range(ZONES)],
        "MyZone": 0,
        "Tenants": [{"Name": f"t-{number:06x}", "Share": 1 / tenants} for number in range(tenants)],
        "MembershipMode": "pushed",
        "Limits": {
            "DialTimeout": SECOND // 4,
            "IdleClose": IDLE_CLOSE,
            "MaxRetryAfter": SECOND,
            "OpenCap": 20000,
            "RetryAfter": True,
            "SendCap": 3,
        },
        "PeersTotal": NODES,
        "WorthBy": "request",
    }
    host, port = agent.address
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{host}:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": settings,
        "known": {"version": agent.version if known else 0, "full": True, "servers": known},
    }


class NodeProcess:
    """One real node: `python -m moleport`."""

    def __init__(self, process: asyncio.subprocess.Process, address: tuple[str, int], began: float) -> None:
        self.process = process
        self.address = address
        self.began = began  # monotonic s
        self.ready = 0.0  # s from its start until `/up` answered 200
        self.cpu_ready = 0.0  # s of processor time until then
        self.log: list[bytes] = []

    def cpu(self) -> float:
        """Seconds of processor time so far."""
        return self._scheduled(0)

    def waited(self) -> float:
        """Seconds so far for which it could have run and had no core: another's load on this machine."""
        return self._scheduled(1)

    def _scheduled(self, column: int) -> float:
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[column]) for task in tasks) / SECOND

    def rss(self) -> float:
        """MB resident."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def up(self) -> int:
        """The status of `/up`, asked on a connection of its own."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: node\r\n\r\n")
            return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])
        finally:
            writer.close()

    async def answers(self) -> None:
        """Until it has done what lay before it: asked twice, as it reads a long list in several turns of its
        loop, and takes a new client in as many."""
        for _ in range(2):
            await self.up()

    async def settle(self, least: float = 0.03) -> None:
        """Until it spends under a fifth of a core, over two looks in a row."""
        quiet = 0
        while quiet < 2:
            before, at = self.cpu(), monotonic()
            await asyncio.sleep(least)
            quiet = quiet + 1 if self.cpu() - before < (monotonic() - at) / 5 else 0

    async def drain_log(self) -> None:
        assert self.process.stderr is not None
        async for text in self.process.stderr:
            if len(self.log) < 1000:
                self.log.append(text)


@asynccontextmanager
async def node(document: dict[str, Any]) -> AsyncIterator[NodeProcess]:
    """A node that is up."""
    with TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(document))
        began = monotonic()
        process = await asyncio.create_subprocess_exec(
            *ENDS_WITH_US,
            sys.executable,
            "-m",
            "moleport",
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        reading = None
        try:
            async with asyncio.timeout(START_WITHIN):
                found = await _started(process, began)
                reading = asyncio.create_task(found.drain_log())
                while await found.up() != 200:
                    await asyncio.sleep(0.002)
            found.ready, found.cpu_ready = monotonic() - began, found.cpu()
            yield found
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if reading is not None:
                await reading


async def _started(process: asyncio.subprocess.Process, began: float) -> NodeProcess:
    assert process.stderr is not None
    while b"serving on" not in (text := await process.stderr.readline()):
        if not text:
            raise RuntimeError("the node ended as it started")
    host, port = text.split()[-1].decode().rsplit(":", 1)
    return NodeProcess(process, (host, int(port)), began)


@asynccontextmanager
async def nodes(documents: list[dict[str, Any]], together: int) -> AsyncIterator[list[NodeProcess]]:
    """As many nodes as documents, so many of them starting at once."""
    gate = asyncio.Semaphore(together)
    async with AsyncExitStack() as stack:

        async def enter(document: dict[str, Any]) -> NodeProcess:
            async with gate:
                return await stack.enter_async_context(node(document))

        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(enter(document)) for document in documents]
        yield [task.result() for task in tasks]


@asynccontextmanager
async def servers(delay_ms: float) -> AsyncIterator[int]:
    """Stand-in servers with this service time; their port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "scale.real.standins",
        str(delay_ms),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield int(await asyncio.wait_for(process.stdout.readline(), START_WITHIN))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def counts(port: int) -> dict[str, float]:
    """What the stand-in servers have seen: connections accepted and open, requests."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /counts HTTP/1.1\r\nHost: stand-in\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        found: dict[str, float] = json.loads(await reader.readexactly(length))
        return found
    finally:
        writer.close()


async def load(address: tuple[str, int], begin: float, seconds: float, **how: Any) -> dict[str, list[float]]:
    """Runs one load to its end: `rate`, or `clients` (see scale.real.load); a list for each field."""
    plan = {"host": address[0], "port": address[1], "begin": begin, "seconds": seconds, "seed": 1, **how}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "scale.real.load", json.dumps(plan), cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        left = begin - monotonic() + seconds + START_WITHIN
        output, _ = await asyncio.wait_for(process.communicate(), left)
        found: dict[str, list[float]] = json.loads(output)
        return found
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
