"""Servers of the soak, fault proxies in front of the servers, and agents that send endpoint lists."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from soak.oracle import Attempt, Observations

CHUNK_BYTES = 1 << 16
FAILURE_RESPONSES = {
    "refuse": b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "error": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    "garbage": b"HTTP/1.1 20\x00 ?\r\n\r\n",
    "trailer": b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Not-Run: 1\r\n\r\n",
}
"""Responses of servers that fail requests on connections that stay open, by the server's behaviour."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a TCP connection unless the connection has ended."""
    if writer.get_extra_info("socket") is None:
        return
    # ValueError is suppressed too, as setsockopt raises it if the descriptor of the socket of the connection
    # to reset is closed already.
    with suppress(OSError, RuntimeError, ValueError):
        connection_socket = writer.get_extra_info("socket")
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """Return the first line of an HTTP message, its headers by lower-case name, and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.rstrip().split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return first_line, headers, await reader.readexactly(int(headers.get(b"content-length", 0)))


ConnectionHandler = Callable[
    ["ServerProtocol", asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class ServerProtocol(asyncio.StreamReaderProtocol):
    """A server's connection that records its end time, even if its handler notices the end later."""

    def __init__(self, handler: ConnectionHandler) -> None:
        super().__init__(asyncio.StreamReader(), lambda reader, writer: handler(self, reader, writer))
        # monotonic time, in seconds, at which a connection to the server ended or its peer ended its sending;
        # None until then
        self.ended_at: float | None = None

    def eof_received(self) -> bool:
        """Record the time at which the peer ended its sending."""
        self._record_end()
        return bool(super().eof_received())

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the time at which the connection ended."""
        self._record_end()
        super().connection_lost(exc)

    def _record_end(self) -> None:
        if self.ended_at is None:
            self.ended_at = time.monotonic()


class Server:
    """A server that answers requests by its behaviour, and records each completely received request."""

    BEHAVIOURS = (
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
    """Names of a server's behaviours, which apply to seven of ten requests; the server serves the others.

    `serve` sends a complete response, and `slow` sends a complete response after a delay. `hang` sends
    nothing, `reset` resets the connection without a response, and `cut` resets the connection within the
    response. `no_length` sends a response that the end of the connection delimits, and `close` closes the
    connection after a complete response. `refuse` states in a header that the request was not executed;
    `trailer` states so in a trailer only. `error`, `garbage` and `odd` send a response that is an error,
    malformed or unusual.
    """

    def __init__(self, name: str, observations: Observations, seed: int) -> None:
        self.name = name
        self.behaviour = "serve"
        self.state = "Ready"
        self.started_ms = 0
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._observations = observations
        self._random = random.Random(seed)
        self._response_count = 0

    async def start(self) -> None:
        """Listen on a free port for connections of the server's proxy."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerProtocol(self._handle_connection), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _handle_connection(
        self, protocol: ServerProtocol, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        attempt = None
        try:
            while True:
                _request_line, headers, _body = await read_message(reader)
                timeout_s = int(headers[b"x-deadline"].removesuffix(b"u")) / 1e6
                attempt = Attempt(self.name, time.monotonic(), timeout_s)
                request_id = headers[b"x-request-id"].decode()
                self._observations.attempts[request_id].append(attempt)
                if not await self._respond(request_id, attempt, reader, writer):
                    break
                attempt.ended_at = protocol.ended_at or time.monotonic()
        except (asyncio.IncompleteReadError, OSError, RuntimeError):
            pass
        finally:
            if attempt is not None and attempt.ended_at is None:
                attempt.ended_at = protocol.ended_at or time.monotonic()
            self.writers.discard(writer)
            writer.close()

    async def _respond(
        self, request_id: str, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer or fail a request by the server's behaviour; return False if the connection ends then."""
        self._response_count += 1
        body = f"{self.name} {self._response_count} for {request_id}".encode()
        self._observations.request_ids_by_body[body] = request_id
        behaviour = self.behaviour if self._random.random() < 0.7 else "serve"
        await asyncio.sleep(self._random.uniform(0.002, 0.02))
        if behaviour == "slow":
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
        elif behaviour == "hang":
            # A server that hangs sends nothing and waits until the node closes the connection.
            await reader.read(1)
            return False
        with_length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        without_length = b"HTTP/1.1 200 OK\r\n\r\n" + body
        if behaviour == "reset":
            reset(writer)
        elif behaviour == "no_length":
            writer.write(without_length)
        elif behaviour == "cut":
            writer.write(self._random.choice((with_length, without_length))[: -self._random.randrange(1, 20)])
            await writer.drain()
            await asyncio.sleep(0.005)
            reset(writer)
        elif behaviour == "close":
            writer.write(with_length)
            await asyncio.sleep(self._random.uniform(0.0, 0.02))
        else:
            attempt.may_have_run = behaviour != "refuse"
            writer.write(self._failure_response(behaviour) or with_length)
            return True
        return False

    def _failure_response(self, behaviour: str) -> bytes:
        """Return the response of a behaviour that keeps the connection open; empty for a normal response."""
        if behaviour == "odd":
            return self._unusual_response()
        return FAILURE_RESPONSES.get(behaviour, b"")

    def _unusual_response(self) -> bytes:
        """Return a complete response with an unusual status, reason or header."""
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

    def reset_connections(self) -> None:
        """Reset all connections of the server, as if its process had died."""
        for writer in list(self.writers):
            reset(writer)


class FaultProxy:
    """A TCP proxy in front of a server, which injects faults into the server's connections.

    The fault `silent` discards what the server sends; the fault `refuse` resets new connections. The proxy
    never delays data to the server, so that the times at which the server receives requests are accurate.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        # Fault that this TCP proxy between the nodes and one server injects at present: `silent` discards
        # what the server sends, `refuse` resets new connections; empty for none.
        self.fault = ""
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port for connections of nodes."""
        listener = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault == "refuse":
            reset(writer)
            return
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        copies = [
            asyncio.create_task(self._copy(reader, server_writer, False)),
            asyncio.create_task(self._copy(server_reader, writer, True)),
        ]
        await asyncio.wait(copies)

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_from_server: bool
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if not (is_from_server and self.fault == "silent"):
                    sink.write(data)
                    await sink.drain()
            sink.close()
        except (OSError, RuntimeError):
            reset(sink)


class DiscoveryAgent:
    """A discovery agent of one node, whose configuration names one of the node's two agents."""

    def __init__(self) -> None:
        self.port = 0
        self.version = 10
        # whether the discovery agent is down: it sends no endpoint list on new watches until it is up again
        self.is_down = False
        # monotonic time, in seconds, at which the discovery agent stopped sending on its open watches;
        # None if the agent has sent its endpoint list on a newer watch since
        self.silent_since: float | None = None
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self._complete_list: list[dict[str, Any]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._silent_watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port for watches of the node."""
        server = await asyncio.start_server(self._serve_watch, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def publish(self, version: int, entries: list[dict[str, Any]], changed: list[dict[str, Any]]) -> None:
        """Store a complete endpoint list for new watches, and send its changed entries on open watches."""
        self.version, self._complete_list = version, entries
        for writer in self._watches - self._silent_watches:
            self._send_line(writer, {"version": version, "full": False, "servers": changed})

    def _send_line(self, writer: asyncio.StreamWriter, document: dict[str, Any] | None) -> None:
        line = (json.dumps(document).encode() if document else b"") + b"\n"
        # A write to a discovery watch with a closed transport raises OSError or RuntimeError.
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    def silence_watches(self) -> None:
        """Send no more data on the watches that are open at present."""
        self.silent_since = time.monotonic()
        self._silent_watches |= self._watches

    def reset_watches(self) -> None:
        """Reset the connections of all watches of this agent."""
        for writer in list(self._watches):
            reset(writer)

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_message(reader)
            while self.is_down:
                await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send_line(writer, {"version": self.version, "full": True, "servers": self._complete_list})
            self._watches.add(writer)
            self.silent_since = None
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                if writer not in self._silent_watches:
                    self._send_line(writer, None)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            self._silent_watches.discard(writer)
            writer.close()
