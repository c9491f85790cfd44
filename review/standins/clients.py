"""A stand-in for clients: one request at a time on a connection, and connections are kept."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from contextlib import suppress
from dataclasses import dataclass, field

from standins.record import Record

# A client gives up this long after the time of its request, to see whether an answer comes at all.
GIVE_UP_SECONDS = 3.0
KEY_COUNT = 400  # distinct job numbers; the users' page states 250 to 680


@dataclass(eq=False)
class Request:
    """One request and what its client saw of it."""

    request_id: str
    class_name: str
    key: str
    deadline_ms: int
    sent_at: float = 0.0
    """Monotonic time at which the request was written to a connection, the last time if more than once."""
    status: int = 0
    """Status of the answer; 0 for none."""
    body: bytes = b""
    answered_at: float = 0.0
    ended_at: float = 0.0
    """Monotonic time at which the node ended the connection without an answer; 0: it did not."""
    history: list[str] = field(default_factory=list)
    """What happened, in order; for the record."""

    def wire(self) -> bytes:
        """Return the request as it is sent."""
        method, length = ("POST", "Content-Length: 5\r\n") if self.class_name == "accept" else ("GET", "")
        body = "order" if length else ""
        return (
            f"{method} /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {self.request_id}\r\n"
            f"X-Class: {self.class_name}\r\nX-Key: {self.key}\r\nX-Deadline: {self.deadline_ms}m\r\n"
            f"{length}\r\n{body}"
        ).encode()


def new_request(class_name: str, key: str, deadline_ms: int) -> Request:
    """Return a request with a fresh id."""
    return Request(secrets.token_hex(8), class_name, key, deadline_ms)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return status and body of an answer with a length, and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first_line, *lines = head.rstrip().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first_line.split()[1]), body, headers.get("connection", "").lower() != "close"


class Clients:
    """Sends requests to one node on kept connections, and opens another one when every one is busy."""

    def __init__(self, port: int, record: Record) -> None:
        self.requests: list[Request] = []
        self._port = port
        self._record = record
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        """Send a request in the background."""
        task = asyncio.get_running_loop().create_task(self._exchange(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep_sending(self, seconds: float, rate: float, accept_ratio: float) -> asyncio.Task[None]:
        """Send requests of both classes at random times; `rate` is their mean number a second."""
        return asyncio.get_running_loop().create_task(self._send_for(seconds, rate, accept_ratio))

    async def _send_for(self, seconds: float, rate: float, accept_ratio: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            key = f"job-{random.randrange(KEY_COUNT)}"
            is_accept = random.random() < accept_ratio
            self.send(new_request("accept", key, 2000) if is_accept else new_request("price", key, 300))
            await asyncio.sleep(random.expovariate(rate))

    async def finish(self) -> None:
        """Wait until all requests are answered or given up, and close all connections."""
        await asyncio.gather(*self._tasks)
        for _, writer in self._idle:
            writer.close()

    async def _exchange(self, request: Request) -> None:
        self.requests.append(request)
        for is_new in (False, True):
            connection = await self._connection(is_new)
            if connection is None:
                request.history.append("not connected")
                return
            if await self._exchange_on(request, *connection):
                break
            # The node closed the connection without an answer. If this crossed the request, it is sent once
            # more on a new connection.
        self._record.write(
            "answered" if request.status else "unanswered",
            id=request.request_id,
            of=request.class_name,
            status=request.status,
            body=request.body.decode(errors="replace"),
            history=request.history,
        )

    async def _connection(self, is_new: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        while self._idle and not is_new:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        with suppress(OSError):
            return await asyncio.open_connection("127.0.0.1", self._port)
        return None

    async def _exchange_on(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request on a connection; return False if the connection ended without any answer."""
        try:
            request.sent_at = time.monotonic()
            self._record.write("sent", request.sent_at, id=request.request_id, of=request.class_name)
            writer.write(request.wire())
            async with asyncio.timeout(request.deadline_ms / 1000 + GIVE_UP_SECONDS):
                request.status, request.body, is_kept = await read_answer(reader)
            request.answered_at = time.monotonic()
            if is_kept:
                self._idle.append((reader, writer))
            else:
                writer.close()
            return True
        except TimeoutError:
            request.history.append("no answer")
            writer.close()
            return True
        except (asyncio.IncompleteReadError, OSError) as error:
            request.ended_at = time.monotonic()
            request.history.append(f"connection ended: {error!r:.60}")
            writer.close()
            return False
