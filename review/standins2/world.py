"""The world around one node: its configuration and process, discovery agent, quote servers and clients.

All stand-ins run on the event loop of the script; the node is a separate process, started with the `run`
command of the deploy file. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20.0
MS = 1_000_000  # ns


class CannotRunError(Exception):
    """Raised if a case cannot be run on this machine; the script then exits with 2."""


class Record:
    """The file `record.txt`: what was sent, answered and run, one line each, with the time in s."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
        return port


class Message(NamedTuple):
    """One HTTP message: its first line, its headers by lower-case name, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    """Return an HTTP response with a Content-Length."""
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


Behaviour = Callable[["QuoteServer", Message, asyncio.StreamWriter], Awaitable[None]]


class QuoteServer:
    """A quote server: serves one request at a time on a connection, and records each request that it runs."""

    def __init__(self, name: str, record: Record, behaviour: Behaviour, zone: str = "auckland") -> None:
        self.name = name
        self.record = record
        self.behaviour = behaviour
        self.zone = zone
        self.state = "Ready"
        self.started_ms = 0
        self.port = 0
        self.ran: list[tuple[float, str]] = []  # arrival of the last byte (monotonic s) and X-Request-Id
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                request_id = message.headers.get("x-request-id", "")
                self.ran.append((time.monotonic(), request_id))
                self.record.write(f"server {self.name} runs {request_id}")
                await self.behaviour(self, message, writer)
        writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the entry of this server in a list of discovery."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": "std-1c",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Agent:
    """The discovery agent: answers a watch with the whole list, then sends an empty line every 2 s."""

    def __init__(self, record: Record, servers: list[QuoteServer], delay_s: float = 0.0) -> None:
        self.record = record
        self.servers = servers
        self.delay_s = delay_s  # time from a watch's request to its answer
        self.version = 41
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def document(self, full: bool, servers: list[QuoteServer]) -> bytes:
        """Return one JSON object of discovery as a chunk."""
        entries = [server.entry() for server in servers]
        text = json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    def change(self, *servers: QuoteServer) -> None:
        """Send the entries of changed servers on all open watches."""
        self.version += 1
        for writer in self._writers:
            writer.write(self.document(False, list(servers)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            message = await read_message(reader)
            self.record.write(f"discovery is asked: {message.first}")
            await asyncio.sleep(self.delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self.document(True, [s for s in self.servers if s.state != "Gone"]))
            self._writers.add(writer)
            self.record.write(f"discovery answers with version {self.version}")
            while not reader.at_eof() and not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of WIRE's page for the deployment; `changes` replace top-level entries."""
    grades = [
        {"Name": "price", "Semantics": "repeatable", "Aim": 200 * MS, "Deadline": 400 * MS, "Worth": 3.0},
        {"Name": "accept", "Semantics": "once", "Aim": 500 * MS, "Deadline": 2500 * MS, "Worth": 9.0},
    ]
    for grade in grades:
        grade |= {"Group": "all", "LateShare": 0.0, "MemorySpan": 5000 * MS, "Stream": False}
    document = {
        "Callers": {"MarksRetry": False},
        "Contract": {
            "AskWithin": 10_000 * MS,
            "Cold": 8200 * MS,
            "ColdShare": 0.3,
            "Fall": 3000 * MS,
            "FallMultiple": 4.0,
            "GraceToAnswer": 8 * MS,
            "StopSendingWithin": 500 * MS,
        },
        "Extra": {"WarmKeys": True},
        "Family": "proxy",
        "Feedback": {"Fields": [], "How": "none"},
        "Goal": {"Whole": 0.7, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.1},
        "Grades": grades,
        "Kinds": ["fast-1c", "std-1c"],
        "Layer": 0,
        "Limits": {
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 800_000,
            "DialTimeout": 60 * MS,
            "IdleClose": 15_000 * MS,
            "MaxRetryAfter": 1200 * MS,
            "MayCancel": True,
            "OpenCap": 20_000,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
            "SendCap": 3,
            "StreamsPerConn": 1,
        },
        "MembershipMode": "pushed",
        "MyZone": 0,
        "OverShareWorth": 0.1,
        "PeersTotal": 1,
        "SelfIndex": 0,
        "Tenants": [],
        "Tick": 2 * MS,
        "Tiers": ["quote-servers"],
        "Weights": "nominal",
        "WorthBy": "request",
        "Zones": ["auckland", "hamilton", "wellington"],
    }
    return document | changes


class Node:
    """A node in a process of its own, started as the platform starts it."""

    def __init__(
        self,
        agent: Agent,
        known: list[dict[str, Any]],
        node_settings: dict[str, Any],
        limits: dict[str, Any] | None = None,
        name: str = "n0",
    ) -> None:
        self.port = free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self._log = Path(self._folder.name, "log.txt")
        config = Path(self._folder.name, "config.json")
        document = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
            "known": {"version": agent.version, "full": True, "servers": known},
            "settings": node_settings,
        }
        config.write_text(json.dumps(document))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = dict(os.environ)
        environment |= {
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": document["listen"],
            "BALANCER_DISCOVERY": document["discovery"],
            "BALANCER_CONFIG": str(config),
            "TMPDIR": self._folder.name,
        }
        with self._log.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until `GET /up` is answered with 200."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message.first.split()[1] == "200":
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the node is not ready: " + self.log())

    def log(self) -> str:
        """Return what the node has written."""
        return self._log.read_text()

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory of the process so far, in MB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise CannotRunError("the system does not tell a process's memory")

    def terminate(self) -> None:
        """Send SIGTERM, as at a planned restart."""
        self.process.send_signal(signal.SIGTERM)

    def stop(self) -> None:
        """End the process at once."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._folder.cleanup()


class LoopLag:
    """Measures how late the event loop of the script runs, as an excuse for late observations."""

    PERIOD_S = 0.005

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def measure(self) -> None:
        """Measure until the task is cancelled."""
        while True:
            due_at = time.monotonic() + self.PERIOD_S
            await asyncio.sleep(self.PERIOD_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_at)


def request_bytes(kind: str, request_id: str, deadline_ms: int, key: str = "", body: bytes = b"") -> bytes:
    """Return a request in the form of PROTOCOL's page; `kind` is `price` or `accept`."""
    method = "GET" if kind == "price" else "POST"
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: service.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {kind}",
        f"X-Deadline: {deadline_ms}m",
    ]
    if key:
        lines.append(f"X-Key: {key}")
    if kind != "price":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_id() -> str:
    """Return a fresh X-Request-Id."""
    return os.urandom(8).hex()


def trouble() -> bool:
    """Return whether the script plays the disruption: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, 2 if the case could not be run."""
    record = Record(folder)
    try:
        is_kept = asyncio.run(_bounded(case, record))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        record.close()
    return 0 if is_kept else 1


async def _bounded(case: Callable[[Record], Awaitable[bool]], record: Record) -> bool:
    async with asyncio.timeout(110):
        return await case(record)
