"""Clients of the soak: most ask and wait; some leave, stop half way, send ahead or talk nonsense."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from itertools import count

from soak.nodes import NodeProcess
from soak.oracle import ANSWER_GRACE, Asked, Record
from soak.servers import read_message, reset

GIVES_UP = 1.0  # s after the grace in which an answer may still come to a client of the soak
LEAVES_PART, STRAYS_PART = 0.08, 0.04
BAD_CLIENT_TIME = 3.0  # s in which one is owed an error or a close
JUNK = (b"", b"GET /api HT", b"\x16\x03\x01\x02\x00", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n12")
numbers = count(1)


class Client:
    """Asks one node, request after request, on a connection that it keeps while it can."""

    def __init__(self, node: NodeProcess, record: Record, seed: int) -> None:
        self._node = node
        self._record = record
        self._random = random.Random(seed)
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.slow_to_bad_clients = 0

    async def run(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self._random.choice((0.01, 0.05, 0.2, 0.7, 2.4)))
            if not self._node.up:
                # The node is ending, or down: what is open is used until it is closed.
                await self._ask()
                continue
            if self._random.random() < STRAYS_PART:
                await self._stray()
            else:
                await self._ask()
        self._forget()

    def _forget(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        with suppress(OSError):
            return await asyncio.open_connection("127.0.0.1", self._node.port)
        return None

    async def _ask(self) -> None:
        once = self._random.random() < 0.4
        patience = self._random.choice((0.15, 0.4, 1.0, 2.5))
        asked = Asked(f"{next(numbers):016x}", self._node.name, once, 0.0, patience)
        leaves = self._random.random() < LEAVES_PART
        for fresh in (False, True):
            if fresh or self._stream is None or self._stream[0].at_eof():
                self._forget()
                self._stream = await self._connect() if self._node.up else None
            if self._stream is None:
                return
            reader, writer = self._stream
            asked.sent = time.monotonic()
            self._record.asked[asked.identity] = asked
            asked.closed = None
            writer.write(self._request(asked))
            if leaves:
                await self._leave(asked, writer)
                return
            if await self._wait(asked, reader):
                return
            self._forget()
            if asked.identity in self._record.attempts:
                return  # it was read: the oracle says whose fault that is
            # The close crossed a request that was not read: the client sends it once more.

    def _request(self, asked: Asked) -> bytes:
        method, kind = (b"POST", b"order") if asked.once else (b"GET", b"page")
        length = b"Content-Length: 4\r\n" if asked.once else b""
        key = self._random.randrange(200)
        lines = (
            b"%s /api HTTP/1.1" % method,
            b"Host: service.internal",
            b"X-Request-Id: %s" % asked.identity.encode(),
            b"X-Class: %s" % kind,
            b"X-Key: k%d" % key,
            b"X-Deadline: %dm" % (asked.patience * 1000),
        )
        return b"\r\n".join(lines) + b"\r\n" + length + (b"\r\nbody" if asked.once else b"\r\n")

    async def _leave(self, asked: Asked, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._random.choice((0.0, 0.003, 0.02, 0.1)))
        if self._random.random() < 0.5:
            reset(writer)
        else:
            writer.close()
        asked.left = time.monotonic()
        self._stream = None

    async def _wait(self, asked: Asked, reader: asyncio.StreamReader) -> bool:
        """False if the connection ended with no byte of an answer."""
        try:
            async with asyncio.timeout(asked.patience + ANSWER_GRACE + GIVES_UP):
                first, headers, body = await read_message(reader)
        except TimeoutError:
            self._forget()
            return True
        except asyncio.IncompleteReadError as problem:
            asked.closed = time.monotonic()
            return bool(problem.partial)
        except (OSError, RuntimeError):
            asked.closed = time.monotonic()
            return False
        asked.answered = time.monotonic()
        asked.status, asked.body = int(first.split()[1]), body
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
            async with asyncio.timeout(BAD_CLIENT_TIME + 2.0):
                await reader.read(1)
        if time.monotonic() - begun > BAD_CLIENT_TIME + self._record.slack + 0.5:
            self.slow_to_bad_clients += 1
        writer.close()
