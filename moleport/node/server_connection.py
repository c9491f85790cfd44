"""One connection to a server: write a request, receive its response, and tell the attempt its result."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from moleport.node.error_codes import LOCAL_FAULTS, fault_of
from moleport.node.response_parser import InvalidResponseError, ResponseParser
from moleport.policy.interface import AttemptResult

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt
    from moleport.node.connection_pool import ConnectionPool

STATUSES_OF_REJECTION = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
STATUSES_OF_OVERLOAD = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)  # 4xx, but a server's fault


class ServerConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time.

    After a response it returns to its pool, unless the server or an error ends it.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Belong to `pool`; a transport follows by `connection_made`."""
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._parser: ResponseParser | None = None  # while the connection is open
        self._attempt: Attempt | None = None  # while a request is in flight
        self.written = False  # the last byte of the request is with the kernel
        self.closed = False
        self.idle_since_ns = 0  # monotonic; 0: it has never been idle

    # Calls of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket and the parser of a new connection."""
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._pool.pools.sockets += 1
        self._parser = ResponseParser()
        own_socket = transport.get_extra_info("socket")
        self._poll.register(own_socket.fileno(), select.POLLIN)
        with suppress(OSError):  # the connection may be broken already
            own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With a limit of 0, `resume_writing` is called once the last byte is with the kernel.
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Note that the kernel has taken the rest of the request."""
        self.written = self._attempt is not None

    def data_received(self, data: bytes) -> None:
        """Parse data from the server, and end the attempt with a complete or invalid response."""
        parser = self._parser
        if self._attempt is None or parser is None:  # the data belongs to no request
            self.close()
            return
        try:
            parser.feed(data)
        except InvalidResponseError:
            # RESET would say that the connection was lost, and that other connections may be too.
            self._fail(AttemptResult.ERROR)
            return
        if parser.is_complete:
            self._finish_attempt(parser)

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection; return False to let the loop close it."""
        parser = self._parser
        if parser is None or not self.written:
            return False
        if parser.may_end_with_connection() and not self._is_reset():
            parser.is_complete = True
            self._finish_attempt(parser)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool, and end the attempt that waits for a response."""
        self.closed = True
        self._pool.on_disconnected(self)
        if fault_of(exc) in LOCAL_FAULTS:
            # The server is not at fault. A written request may have been executed.
            self._fail(AttemptResult.CANCELLED, if_unwritten=AttemptResult.NOT_SENT)
        else:
            self._fail(AttemptResult.RESET)
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    # Calls of the attempt and the pool.

    def on_connect_cancelled(self) -> None:
        """Account for a connection that the loop closes without `connection_lost`.

        The loop does so where connecting is cancelled just after `connection_made`.
        """
        if self._transport is not None and not self.closed:
            self.connection_lost(None)

    def is_quiet(self) -> bool:
        """Return whether nothing is readable: neither the end of the connection nor unrequested data.

        A duplicate response that is still with the kernel would be taken for that to the next request.
        """
        return not self._poll.poll(0)

    def send(self, attempt: Attempt, data: bytes) -> None:
        """Write the request of an attempt, which is told the result."""
        transport, parser = self._transport, self._parser
        assert transport is not None
        assert parser is not None
        self._attempt = attempt
        self.written = False
        parser.reset()
        transport.write(data)
        self.written = not transport.is_closing() and not transport.get_write_buffer_size()

    def release(self, attempt: Attempt) -> None:
        """Return to the pool as the attempt has ended, or close if the response is not complete."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        parser = self._parser
        if parser is not None and parser.is_reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _is_reset(self) -> bool:
        """Return whether the kernel has a reset behind the end of the data."""
        return any(events & (select.POLLERR | select.POLLHUP) for _, events in self._poll.poll(0))

    def _fail(
        self, result: AttemptResult, if_unwritten: AttemptResult = AttemptResult.CONNECT_FAILED
    ) -> None:
        """Close the connection, and end its attempt, if any, without a response."""
        attempt = self._attempt
        if self._parser is not None:
            self._parser.is_reusable = False
        if attempt is not None:
            attempt.end(result if self.written else if_unwritten)
        self.close()

    def _finish_attempt(self, parser: ResponseParser) -> None:
        """End the attempt with its complete response."""
        attempt = self._attempt
        if attempt is not None:
            attempt.end(_result_of(parser), parser.response())


def _result_of(parser: ResponseParser) -> AttemptResult:
    """Classify a complete response by its status."""
    status = parser.status
    if status == 200:
        return AttemptResult.OK
    if status in STATUSES_OF_REJECTION and parser.is_not_executed:
        return AttemptResult.REJECTED
    if 400 <= status < 500 and status not in STATUSES_OF_OVERLOAD:
        return AttemptResult.CLIENT_ERROR
    return AttemptResult.ERROR
