"""Servers behind a fault proxy, and agents that tell nodes of them."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from soak.oracle import Attempt, Record

CHUNK_BYTES = 1 << 16
FAILURES = {
    "refuse": b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "error": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"HTTP/1.1 20\x00 ?\r\n\r\n",
    "trailer": b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Not-Run: 1\r\n\r\n",
}
"""Responses by behaviour."""


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, if it has not ended."""
    if writer.get_extra_info("socket") is None:
        return
    with suppress(OSError, RuntimeError, ValueError):  # the last one if its descriptor is closed already
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """First line, headers by their lower names, and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.rstrip().split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get(b"content-length", 0)))


ConnectionHandler = Callable[
    ["ServerProtocol", asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class ServerProtocol(asyncio.StreamReaderProtocol):
    """A connection of a server, which notes its end while the handler is busy."""

    def __init__(self, serve: ConnectionHandler) -> None:
        super().__init__(asyncio.StreamReader(), lambda reader, writer: serve(self, reader, writer))
        self.ended_at: float | None = None  # monotonic s; None: it is open

    def eof_received(self) -> bool:
        """Note the end of the client's sending."""
        self._note_end()
        return bool(super().eof_received())

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._note_end()
        super().connection_lost(exc)

    def _note_end(self) -> None:
        if self.ended_at is None:
            self.ended_at = time.monotonic()


class Server:
    """Answers requests, as its behaviour tells, and records each that has arrived completely."""

    behaviours = (
        "serve",
        "slow",
        "hang",
        "refuse",
        "reset",
        "no_length",
        "cut",
        "garbage",
        "close",
        "error",
        "odd",
        "trailer",
    )

    def __init__(self, name: str, record: Record, seed: int) -> None:
        self.name = name
        self.behaviour = "serve"
        self.state = "Ready"
        self.started_ms = 0
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._record = record
        self._random = random.Random(seed)
        self._made = 0

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerProtocol(self._serve), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, protocol: ServerProtocol, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        attempt = None
        try:
            while True:
                first, headers, _ = await read_message(reader)
                timeout_s = int(headers[b"x-deadline"].removesuffix(b"u")) / 1e6
                attempt = Attempt(self.name, time.monotonic(), timeout_s)
                identity = headers[b"x-request-id"].decode()
                self._record.attempts[identity].append(attempt)
                if not await self._answer(identity, attempt, reader, writer):
                    break
                attempt.ended = protocol.ended_at or time.monotonic()
        except (asyncio.IncompleteReadError, OSError, RuntimeError):
            pass
        finally:
            if attempt is not None and attempt.ended is None:
                attempt.ended = protocol.ended_at or time.monotonic()
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, identity: str, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return False where the connection ends behind the answer."""
        self._made += 1
        body = f"{self.name} {self._made} for {identity}".encode()
        self._record.made[body] = identity
        behaviour = self.behaviour if self._random.random() < 0.7 else "serve"
        await asyncio.sleep(self._random.uniform(0.002, 0.02))
        if behaviour == "slow":
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
        elif behaviour == "hang":
            await reader.read(1)  # until the node gives up
            return False
        framed = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        unframed = b"HTTP/1.1 200 OK\r\n\r\n" + body
        if behaviour == "reset":
            reset(writer)
        elif behaviour == "no_length":
            writer.write(unframed)
        elif behaviour == "cut":
            writer.write(self._random.choice((framed, unframed))[: -self._random.randrange(1, 20)])
            await writer.drain()
            await asyncio.sleep(0.005)
            reset(writer)
        elif behaviour == "close":
            writer.write(framed)
            await asyncio.sleep(self._random.uniform(0.0, 0.02))
        else:
            attempt.ran = behaviour != "refuse"
            writer.write(self._failure(behaviour) or framed)
            return True
        return False

    def _failure(self, behaviour: str) -> bytes:
        """Return the response of a behaviour that fails and keeps the connection; empty for any other."""
        if behaviour == "odd":
            return self._odd_response()
        return FAILURES.get(behaviour, b"")

    def _odd_response(self) -> bytes:
        """Return a complete response with a rare status, reason or header."""
        status = self._random.choice((b"204", b"304", b"418", b"419", b"430", b"451", b"499", b"599", b"999"))
        reason = self._random.choice((b"", b" ", b" \xe9\xff", b" " + b"R" * 300))
        header = self._random.choice(
            (
                b"",
                b"X-Empty:\r\n",
                b"x-odd-\x7e: \xff\xfe\r\n",
                b"Retry-After: never\r\n",
                b"X-Load: =,=,\r\n",
                b"X-Long: " + b"y" * 20_000 + b"\r\n",
            )
        )
        return b"HTTP/1.1 %s%s\r\n%sContent-Length: 0\r\n\r\n" % (status, reason, header)

    def stop_all(self) -> None:
        """Reset all its connections, as when its process dies."""
        for writer in list(self.writers):
            reset(writer)


class FaultProxy:
    """A proxy in front of a server.

    Its fault `silent` swallows what the server sends, `refuse` resets new connections. Towards the server
    nothing is delayed, so that its times are right.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.fault = ""
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        listening = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = listening.sockets[0].getsockname()[1]

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault == "refuse":
            reset(writer)
            return
        back, forth = await asyncio.open_connection("127.0.0.1", self.server.port)
        pumps = [
            asyncio.create_task(self._pump(reader, forth, False)),
            asyncio.create_task(self._pump(back, writer, True)),
        ]
        await asyncio.wait(pumps)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, answers: bool) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if not (answers and self.fault == "silent"):
                    sink.write(data)
                    await sink.drain()
            sink.close()
        except (OSError, RuntimeError):
            reset(sink)


class Agent:
    """Tells one node of the servers; one address of the two that the node's configurations name."""

    def __init__(self) -> None:
        self.port = 0
        self.version = 10
        self.down = False
        self.silent_since: float | None = None  # open watches get nothing; new ones do
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self._complete_list: list[dict[str, Any]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def hold(self, version: int, entries: list[dict[str, Any]], changed: list[dict[str, Any]]) -> None:
        """Hold a list from now on, and send the changes to the watches."""
        self.version, self._complete_list = version, entries
        for writer in self._watches - self._silent:
            self._line(writer, {"version": version, "full": False, "servers": changed})

    def _line(self, writer: asyncio.StreamWriter, document: dict[str, Any] | None) -> None:
        text = (json.dumps(document).encode() if document else b"") + b"\n"
        with suppress(OSError, RuntimeError):  # the transport may be closed by now
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def fall_silent(self) -> None:
        """Send nothing more on the open watches."""
        self.silent_since = time.monotonic()
        self._silent |= self._watches

    def drop(self) -> None:
        """Reset all watches."""
        for writer in list(self._watches):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_message(reader)
            while self.down:
                await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, {"version": self.version, "full": True, "servers": self._complete_list})
            self._watches.add(writer)
            self.silent_since = None
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                if writer not in self._silent:
                    self._line(writer, None)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            self._silent.discard(writer)
            writer.close()
