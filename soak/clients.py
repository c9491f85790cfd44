"""Clients of the soak.

For most requests, a client waits for the response. For some, the client disconnects early, or sends an
invalid request, an incomplete request or no data.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from itertools import count

from soak.nodes import NodeProcess
from soak.oracle import ANSWER_GRACE_SECONDS, ClientRequest, Observations
from soak.servers import read_message, reset

# time for which a client still waits for a response after the end of ANSWER_GRACE_SECONDS, the time after the
# request's deadline within which a late response is no violation
GIVE_UP_SECONDS = 1.0
# DISCONNECT_RATIO is the ratio of requests whose client disconnects without waiting for the response.
# INVALID_REQUEST_RATIO is the ratio of invalid requests among the requests to nodes that are up.
DISCONNECT_RATIO, INVALID_REQUEST_RATIO = 0.08, 0.04
# time within which a node must answer an invalid or incomplete request, or close the client's connection
MAX_INVALID_CLIENT_SECONDS = 3.0
INVALID_REQUESTS = (
    b"",
    b"GET /api HT",
    b"\x16\x03\x01\x02\x00",
    b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n12",
)
request_numbers = count(1)


class Client:
    """A client that sends requests to one node, one after another, and reuses its connection."""

    def __init__(self, node: NodeProcess, observations: Observations, seed: int) -> None:
        self._node = node
        self._observations = observations
        self._random = random.Random(seed)
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.slow_invalid_client_count = 0

    async def run(self, end: float) -> None:
        """Send requests until the time `end`, in monotonic seconds."""
        while time.monotonic() < end:
            await asyncio.sleep(self._random.choice((0.01, 0.05, 0.2, 0.7, 2.4)))
            if not self._node.is_up:
                # A client of a node that is down or shutting down sends requests on an open connection only.
                await self._send_request()
                continue
            if self._random.random() < INVALID_REQUEST_RATIO:
                await self._send_invalid_request()
            else:
                await self._send_request()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        with suppress(OSError):
            return await asyncio.open_connection("127.0.0.1", self._node.port)
        return None

    async def _send_request(self) -> None:
        at_most_once = self._random.random() < 0.4
        deadline_seconds = self._random.choice((0.15, 0.4, 1.0, 2.5))
        request = ClientRequest(
            f"{next(request_numbers):016x}", self._node.name, at_most_once, 0.0, deadline_seconds
        )
        disconnects_early = self._random.random() < DISCONNECT_RATIO
        for needs_new_connection in (False, True):
            if needs_new_connection or self._connection is None or self._connection[0].at_eof():
                self._disconnect()
                self._connection = await self._connect() if self._node.is_up else None
            if self._connection is None:
                return
            reader, writer = self._connection
            request.sent_at = time.monotonic()
            self._observations.requests[request.request_id] = request
            request.closed_at = None
            writer.write(self._request_bytes(request))
            if disconnects_early:
                await self._disconnect_early(request, writer)
                return
            if await self._receive_response(request, reader):
                return
            self._disconnect()
            if request.request_id in self._observations.attempts:
                # The connection ended without a response, but a server of the soak has received the request.
                # The client never repeats such a request: the check of all requests after the run
                # (soak/oracle.py) judges the missing response.
                return
            # The client repeats a request if the node closed the connection before a server received it.

    def _request_bytes(self, request: ClientRequest) -> bytes:
        method, class_name = (b"POST", b"order") if request.at_most_once else (b"GET", b"page")
        length = b"Content-Length: 4\r\n" if request.at_most_once else b""
        key = self._random.randrange(200)
        lines = (
            b"%s /api HTTP/1.1" % method,
            b"Host: service.internal",
            b"X-Request-Id: %s" % request.request_id.encode(),
            b"X-Class: %s" % class_name,
            b"X-Key: k%d" % key,
            b"X-Deadline: %dm" % (request.deadline_seconds * 1000),
        )
        return b"\r\n".join(lines) + b"\r\n" + length + (b"\r\nbody" if request.at_most_once else b"\r\n")

    async def _disconnect_early(self, request: ClientRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._random.choice((0.0, 0.003, 0.02, 0.1)))
        if self._random.random() < 0.5:
            reset(writer)
        else:
            writer.close()
        request.disconnected_at = time.monotonic()
        self._connection = None

    async def _receive_response(self, request: ClientRequest, reader: asyncio.StreamReader) -> bool:
        """Record the response to a request, or its absence.

        Return False if the connection ended before the first byte of the response.
        """
        try:
            async with asyncio.timeout(request.deadline_seconds + ANSWER_GRACE_SECONDS + GIVE_UP_SECONDS):
                status_line, headers, body = await read_message(reader)
        except TimeoutError:
            self._disconnect()
            return True
        except asyncio.IncompleteReadError as error:
            request.closed_at = time.monotonic()
            return bool(error.partial)
        except (OSError, RuntimeError):
            request.closed_at = time.monotonic()
            return False
        request.answered_at = time.monotonic()
        request.status, request.body = int(status_line.split()[1]), body
        if headers.get(b"connection", b"").lower() == b"close":
            self._disconnect()
        return True

    async def _send_invalid_request(self) -> None:
        """Send an invalid request, or no data, on a new connection.

        Count the request as slow if the node neither answers nor closes the connection in time.
        """
        connection = await self._connect()
        if connection is None:
            return
        reader, writer = connection
        writer.write(self._random.choice(INVALID_REQUESTS))
        sent_at = time.monotonic()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_INVALID_CLIENT_SECONDS + 2.0):
                await reader.read(1)
        if time.monotonic() - sent_at > MAX_INVALID_CLIENT_SECONDS + self._observations.max_lag_seconds + 0.5:
            self.slow_invalid_client_count += 1
        writer.close()
