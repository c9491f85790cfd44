"""A stand-in for a quote server: it runs each request once its last byte has arrived."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from standins.record import Record


@dataclass(eq=False)
class Arrival:
    """A request that a quote server has received completely."""

    server: str
    request_id: str
    method: str
    began_at: float
    """Monotonic time at which the first byte of the request had arrived."""
    arrived_at: float
    """Monotonic time at which the last byte of the request had arrived."""
    deadline: str
    has_run: bool = False
    """Whether the quote server ran the request."""


Behaviour = Callable[["QuoteServer", Arrival, asyncio.StreamWriter], Awaitable[None]]
"""Runs or turns away a request and writes the answer."""


@dataclass
class Tier:
    """What all quote servers have received and answered."""

    record: Record
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    """Requests in order of arrival, by id."""
    bodies: dict[bytes, str] = field(default_factory=dict)
    """Id of the request that a quote server made a body for."""


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return an answer with a length."""
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


class QuoteServer:
    """Listens on a free loopback port, and handles each request by its behaviour."""

    def __init__(self, name: str, tier: Tier, behaviour: Behaviour) -> None:
        self.name = name
        self.tier = tier
        self.behaviour = behaviour
        self.state = "Ready"
        self.started_ms = 0
        self.address = ""
        self.in_hand = 0  # requests that have arrived and are not answered
        self._answer_numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 18)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "auckland",
            "kind": "fast-1c",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    def run(self, arrival: Arrival) -> bytes:
        """Run a request, and return the body that is made for it alone."""
        arrival.has_run = True
        body = f"{self.name} {next(self._answer_numbers)} quote for {arrival.request_id}".encode()
        self.tier.bodies[body] = arrival.request_id
        return body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError, RuntimeError):
            while True:
                arrival = await self._receive(reader)
                self.tier.arrivals.setdefault(arrival.request_id, []).append(arrival)
                self.tier.record.write(
                    "arrived",
                    arrival.arrived_at,
                    server=self.name,
                    id=arrival.request_id,
                    method=arrival.method,
                    deadline=arrival.deadline,
                )
                self.in_hand += 1
                try:
                    await self.behaviour(self, arrival, writer)
                finally:
                    self.in_hand -= 1
        writer.close()

    async def _receive(self, reader: asyncio.StreamReader) -> Arrival:
        first_byte = await reader.readexactly(1)
        began_at = time.monotonic()
        head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode()
        first_line, *lines = head.rstrip().split("\r\n")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        await reader.readexactly(int(headers.get("content-length", "0")))
        return Arrival(
            self.name,
            headers["x-request-id"],
            first_line.split()[0],
            began_at,
            time.monotonic(),
            headers.get("x-deadline", ""),
        )
