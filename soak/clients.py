"""Clients of the soak: most ask and wait; some leave, stop half way, send ahead or talk nonsense."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from itertools import count

from soak.nodes import NodeProcess
from soak.oracle import ANSWER_GRACE_SECONDS, ClientRequest, Record
from soak.servers import read_message, reset

GIVE_UP_SECONDS = 1.0  # s after the grace in which an answer may still come to a client of the soak
LEAVES_PART, STRAYS_PART = 0.08, 0.04
MAX_INVALID_CLIENT_SECONDS = 3.0  # s in which one is owed an error or a close
JUNK = (b"", b"GET /api HT", b"\x16\x03\x01\x02\x00", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n12")
numbers = count(1)


class Client:
    """Asks one node, request after request, on a connection that it keeps while it can."""

    def __init__(self, node: NodeProcess, record: Record, seed: int) -> None:
        self._node = node
        self._record = record
        self._random = random.Random(seed)
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.slow_invalid_client_count = 0

    async def run(self, end: float) -> None:
        """Send requests until `end`, in monotonic s."""
        while time.monotonic() < end:
            await asyncio.sleep(self._random.choice((0.01, 0.05, 0.2, 0.7, 2.4)))
            if not self._node.is_up:
                # The node is ending, or down: what is open is used until it is closed.
                await self._send_request()
                continue
            if self._random.random() < STRAYS_PART:
                await self._stray()
            else:
                await self._send_request()
        self._forget()

    def _forget(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        with suppress(OSError):
            return await asyncio.open_connection("127.0.0.1", self._node.port)
        return None

    async def _send_request(self) -> None:
        once = self._random.random() < 0.4
        patience = self._random.choice((0.15, 0.4, 1.0, 2.5))
        request = ClientRequest(f"{next(numbers):016x}", self._node.name, once, 0.0, patience)
        leaves = self._random.random() < LEAVES_PART
        for fresh in (False, True):
            if fresh or self._stream is None or self._stream[0].at_eof():
                self._forget()
                self._stream = await self._connect() if self._node.is_up else None
            if self._stream is None:
                return
            reader, writer = self._stream
            request.sent = time.monotonic()
            self._record.requests[request.identity] = request
            request.closed = None
            writer.write(self._request(request))
            if leaves:
                await self._leave(request, writer)
                return
            if await self._wait(request, reader):
                return
            self._forget()
            if request.identity in self._record.attempts:
                return  # it was read: the oracle says whose fault that is
            # The close crossed a request that was not read: the client sends it once more.

    def _request(self, request: ClientRequest) -> bytes:
        method, kind = (b"POST", b"order") if request.once else (b"GET", b"page")
        length = b"Content-Length: 4\r\n" if request.once else b""
        key = self._random.randrange(200)
        lines = (
            b"%s /api HTTP/1.1" % method,
            b"Host: service.internal",
            b"X-Request-Id: %s" % request.identity.encode(),
            b"X-Class: %s" % kind,
            b"X-Key: k%d" % key,
            b"X-Deadline: %dm" % (request.patience * 1000),
        )
        return b"\r\n".join(lines) + b"\r\n" + length + (b"\r\nbody" if request.once else b"\r\n")

    async def _leave(self, request: ClientRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._random.choice((0.0, 0.003, 0.02, 0.1)))
        if self._random.random() < 0.5:
            reset(writer)
        else:
            writer.close()
        request.left = time.monotonic()
        self._stream = None

    async def _wait(self, request: ClientRequest, reader: asyncio.StreamReader) -> bool:
        """Return False if the connection ended with no byte of an answer."""
        try:
            async with asyncio.timeout(request.patience + ANSWER_GRACE_SECONDS + GIVE_UP_SECONDS):
                first, headers, body = await read_message(reader)
        except TimeoutError:
            self._forget()
            return True
        except asyncio.IncompleteReadError as problem:
            request.closed = time.monotonic()
            return bool(problem.partial)
        except (OSError, RuntimeError):
            request.closed = time.monotonic()
            return False
        request.answered = time.monotonic()
        request.status, request.body = int(first.split()[1]), body
        if headers.get(b"connection", b"").lower() == b"close":
            self._forget()
        return True

    async def _stray(self) -> None:
        """One that sends no proper request gets an error or a close, in time."""
        stream = await self._connect()
        if stream is None:
            return
        reader, writer = stream
        writer.write(self._random.choice(JUNK))
        begun = time.monotonic()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_INVALID_CLIENT_SECONDS + 2.0):
                await reader.read(1)
        if time.monotonic() - begun > MAX_INVALID_CLIENT_SECONDS + self._record.slack + 0.5:
            self.slow_invalid_client_count += 1
        writer.close()
