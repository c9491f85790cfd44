"""A bounded load of requests, open or closed loop; `python -m scale.real.load PLAN` prints what came of it.

PLAN is JSON: `host` and `port`; `begin`, monotonic s; `seconds`; `seed`; and either `rate`, requests a second
with random gaps (open loop), or `clients`, each of which asks again once it has its answer (closed loop).
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

CONNECTIONS_MOST = 500  # at once: a node of 1,024 descriptors holds 541 clients
GRACE = 2.0  # s for the last answers
POST_PART = 0.2  # of the requests; the others are GET
BODY = b"b" * 200  # of a POST
DEADLINE_MS = 1000


class Sample:
    """What came of each request, in the order of sending."""

    def __init__(self) -> None:
        self.at: list[float] = []  # s after the beginning, when it was sent
        self.ms: list[float] = []  # until the last byte of its answer; the grace at most
        self.status: list[int] = []  # 0: no answer
        self.late_ms: list[float] = []  # after its time in the plan (open loop): the driver's own delay

    def sent(self, at: float, late: float) -> int:
        self.at.append(at)
        self.late_ms.append(late * 1000)
        self.ms.append(0.0)
        self.status.append(0)
        return len(self.at) - 1


class Connection(asyncio.Protocol):
    """One client's connection; it carries one request at a time."""

    def __init__(self, on_end: Callable[[Connection, int, bool], None]) -> None:
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._rest = b""
        self._data = b""
        self.index = -1  # of the request that is out
        self.fresh = True  # nothing was answered on it
        self.closed = False
        self.status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._data:
            self._transport.write(self._data)

    def ask(self, index: int, data: bytes) -> None:
        self.index, self._data, self._rest = index, data, b""
        if self._transport is not None:
            self._transport.write(data)

    @property
    def data(self) -> bytes:
        return self._data

    def data_received(self, data: bytes) -> None:
        self._rest += data
        head, end, body = self._rest.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head):
            self.fresh = False
            if b"\r\nconnection: close" in head.lower():
                self.closed = True
                if self._transport is not None:
                    self._transport.close()
            index, self.index = self.index, -1
            if index >= 0:
                self.status = int(head.split(b" ", 2)[1])
                self._on_end(self, index, True)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        index, self.index = self.index, -1
        self._on_end(self, index, False)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Load:
    """The clients of one plan."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self._plan = plan
        self._random = Random(plan["seed"])
        self._loop = asyncio.get_running_loop()
        self._begin = float(plan["begin"])
        self._until = self._begin + plan["seconds"]
        self._sample = Sample()
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._out = 0

    async def run(self) -> Sample:
        await asyncio.sleep(max(0.0, self._begin - monotonic()))
        if "rate" in self._plan:
            await self._open_loop(self._plan["rate"])
        else:
            for _ in range(self._plan["clients"]):
                self._send(0.0)
            await asyncio.sleep(max(0.0, self._until - monotonic()))
        last = monotonic() + GRACE
        while self._out and monotonic() < last:
            await asyncio.sleep(0.01)
        for connection in list(self._open):
            connection.abort()
        return self._sample

    async def _open_loop(self, rate: float) -> None:
        due = self._begin
        while due < self._until:
            now = monotonic()
            if due > now:
                await asyncio.sleep(due - now)
                continue
            self._send(now - due)
            due += self._random.expovariate(rate)

    def _send(self, late: float) -> None:
        index = self._sample.sent(monotonic() - self._begin, late)
        self._out += 1
        data = self._request()
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                connection.ask(index, data)
                return
        self._dial(index, data)

    def _request(self) -> bytes:
        draw = self._random
        post = draw.random() < POST_PART
        length = b"Content-Length: %d\r\n" % len(BODY) if post else b""
        return (
            b"%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %016x\r\nX-Class: %s\r\n"
            b"X-Key: %016x\r\nX-Deadline: %dm\r\n%s\r\n%s"
        ) % (
            b"POST" if post else b"GET",
            draw.getrandbits(64),
            b"order" if post else b"page",
            draw.getrandbits(64),
            DEADLINE_MS,
            length,
            BODY if post else b"",
        )

    def _dial(self, index: int, data: bytes) -> None:
        if len(self._open) >= CONNECTIONS_MOST:
            self._record(index, 0)
            return
        connection = Connection(self._ended)
        connection.ask(index, data)
        self._open.add(connection)
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
        self._out -= 1

    def _ended(self, connection: Connection, index: int, answered: bool) -> None:
        if connection.closed:
            self._open.discard(connection)
        if index < 0:
            return  # it ended between requests
        if not answered and not connection.fresh:
            self._dial(index, connection.data)  # the node closed it as the request set out: once more
            return
        self._record(index, connection.status if answered else 0)
        if not connection.closed:
            self._idle.append(connection)
        if "clients" in self._plan and monotonic() < self._until:
            self._send(0.0)


async def main(plan: dict[str, Any]) -> None:
    print(json.dumps(vars(await Load(plan).run())))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(json.loads(sys.argv[1])))
