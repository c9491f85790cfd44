"""Load generator, open or closed loop: `python -m scale.real.load PLAN` prints its sample as JSON.

PLAN is a JSON object: `host` and `port`; `begin`, the start in seconds of the monotonic clock; `seconds`, the
duration; `seed`; and either `rate`, in requests a second with exponentially distributed gaps (open loop), or
`clients`, the number of clients that send the next request once the last one was answered (closed loop).
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any, cast

import uvloop

from scale.real.standins import content_length

MAX_CONNECTION_COUNT = 500  # open at the same time: a node with 1,024 descriptors accepts 541 clients
RESPONSE_GRACE_SECONDS = 2.0  # for responses that are outstanding when the load ends
POST_RATIO = 0.2  # POST requests to all requests; the others are GET requests
POST_BODY = b"b" * 200
DEADLINE_MS = 1000


class Sample:
    """The result of each request, in the order of sending.

    The attributes are keys of the JSON object that the process prints.
    """

    def __init__(self) -> None:
        self.at: list[float] = []  # when the request was sent, in seconds after the beginning
        self.ms: list[float] = []  # response time; 0.0 if there is no response when the load ends
        self.status: list[int] = []  # status code; 0 without a response
        self.late_ms: list[float] = []  # delay of the sending by this process (open loop)

    def record_send(self, at: float, delay: float) -> int:
        """Add a request that was sent, without a result yet; return its index. Times are in seconds."""
        self.at.append(at)
        self.late_ms.append(delay * 1000)
        self.ms.append(0.0)
        self.status.append(0)
        return len(self.at) - 1


class Connection(asyncio.Protocol):
    """A client's connection, which carries one request at a time."""

    def __init__(self, on_end: Callable[[Connection, int, bool], None]) -> None:
        """Call `on_end` when a request or the connection ends.

        Its arguments are the connection, the index of the request (-1 if none was in flight), and whether it
        was answered.
        """
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._request = b""
        self.request_index = -1  # of the request in flight; -1: none
        self.is_unused = True  # no request was answered on it
        self.closed = False
        self.status = 0  # of the last response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that was waiting for the connection."""
        self._transport = cast(asyncio.Transport, transport)
        if self._request:
            self._transport.write(self._request)

    def send_request(self, index: int, data: bytes) -> None:
        """Send a request now, or once the connection is made."""
        self.request_index, self._request, self._buffer = index, data, b""
        if self._transport is not None:
            self._transport.write(data)

    @property
    def request(self) -> bytes:
        """The request that was sent last."""
        return self._request

    def data_received(self, data: bytes) -> None:
        """Report the request in flight once its response is complete."""
        self._buffer += data
        head, end, body = self._buffer.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head):
            self.is_unused = False
            if b"\r\nconnection: close" in head.lower():
                self.closed = True
                if self._transport is not None:
                    self._transport.close()
            index, self.request_index = self.request_index, -1
            if index >= 0:
                self.status = int(head.split(b" ", 2)[1])
                self._on_end(self, index, True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the request in flight, if any, as unanswered."""
        self.closed = True
        index, self.request_index = self.request_index, -1
        self._on_end(self, index, False)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class Load:
    """The clients of one plan, whose fields the module's docstring describes."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self._plan = plan
        self._random = Random(plan["seed"])
        self._loop = asyncio.get_running_loop()
        self._begin = float(plan["begin"])
        self._end = self._begin + plan["seconds"]
        self._sample = Sample()
        self._idle_connections: list[Connection] = []
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._in_flight_count = 0

    async def run(self) -> Sample:
        """Run the plan to its end, abort the connections, and return the results."""
        await asyncio.sleep(max(0.0, self._begin - monotonic()))
        if "rate" in self._plan:
            await self._run_open_loop(self._plan["rate"])
        else:
            for _ in range(self._plan["clients"]):
                self._send(0.0)
            await asyncio.sleep(max(0.0, self._end - monotonic()))
        deadline = monotonic() + RESPONSE_GRACE_SECONDS
        while self._in_flight_count and monotonic() < deadline:
            await asyncio.sleep(0.01)
        for connection in list(self._connections):
            connection.abort()
        return self._sample

    async def _run_open_loop(self, rate: float) -> None:
        due = self._begin
        while due < self._end:
            now = monotonic()
            if due > now:
                await asyncio.sleep(due - now)
                continue
            self._send(now - due)
            due += self._random.expovariate(rate)

    def _send(self, delay: float) -> None:
        index = self._sample.record_send(monotonic() - self._begin, delay)
        self._in_flight_count += 1
        data = self._request()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.closed:
                connection.send_request(index, data)
                return
        self._dial(index, data)

    def _request(self) -> bytes:
        random = self._random
        is_post = random.random() < POST_RATIO
        length_header = b"Content-Length: %d\r\n" % len(POST_BODY) if is_post else b""
        return (
            b"%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %016x\r\nX-Class: %s\r\n"
            b"X-Key: %016x\r\nX-Deadline: %dm\r\n%s\r\n%s"
        ) % (
            b"POST" if is_post else b"GET",
            random.getrandbits(64),
            b"order" if is_post else b"page",
            random.getrandbits(64),
            DEADLINE_MS,
            length_header,
            POST_BODY if is_post else b"",
        )

    def _dial(self, index: int, data: bytes) -> None:
        if len(self._connections) >= MAX_CONNECTION_COUNT:
            self._record(index, 0)
            return
        connection = Connection(self._on_end)
        connection.send_request(index, data)
        self._connections.add(connection)
        address = self._plan["host"], self._plan["port"]
        task = self._loop.create_task(self._connect(connection, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: Connection, address: tuple[str, int]) -> None:
        try:
            await self._loop.create_connection(lambda: connection, *address)
        except OSError:
            connection.connection_lost(None)

    def _record(self, index: int, status: int) -> None:
        sample = self._sample
        sample.ms[index] = (monotonic() - self._begin - sample.at[index]) * 1000
        sample.status[index] = status
        self._in_flight_count -= 1

    def _on_end(self, connection: Connection, index: int, answered: bool) -> None:
        if connection.closed:
            self._connections.discard(connection)
        if index < 0:
            return  # no request was in flight
        if not answered and not connection.is_unused:
            # The node closed the idle connection while the request was on its way: send it on a new one.
            self._dial(index, connection.request)
            return
        self._record(index, connection.status if answered else 0)
        if not connection.closed:
            self._idle_connections.append(connection)
        if "clients" in self._plan and monotonic() < self._end:
            self._send(0.0)


async def main(plan: dict[str, Any]) -> None:
    """Run a plan, and print its sample as JSON."""
    print(json.dumps(vars(await Load(plan).run())))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(json.loads(sys.argv[1])))
