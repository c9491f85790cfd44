"""One connection to a server, which writes a request, receives the response and ends the attempt."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from moleport.node.error_codes import LOCAL_FAULTS, classify_error
from moleport.node.response_parser import InvalidResponseError, ResponseParser
from moleport.policy.interface import AttemptResult

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt
    from moleport.node.connection_pool import ConnectionPool

# Size of a partial head from which on it is read like a body while the response gate is closed.
SHORT_HEAD_BYTES = 1 << 10
REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
# The 4xx statuses that indicate an overloaded server, not a fault of the request.
OVERLOAD_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)


class ServerConnection(asyncio.BufferedProtocol):
    """A connection to a server that carries one request at a time.

    After a response the connection returns to its pool, unless the server or an error closes it.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Create a connection of `pool`; the event loop then calls `connection_made` with its transport."""
        self._pool = pool
        self._budget = pool.pools.memory
        self._response_gate = pool.pools.response_gate
        self._read_buffer = self._budget.buffer  # the part of the shared buffer for the next read
        # Number of unread bytes from which on the kernel reports the connection as readable.
        self._min_readable_bytes = 1
        self._used_bytes = 0  # memory of an unwritten request or partial response, as counted in the budget
        self._transport: asyncio.Transport | None = None
        self._poller = select.poll()
        self.descriptor = -1
        self._parser: ResponseParser | None = None  # parser of the server's responses; None unless connected
        self._attempt: Attempt | None = None  # attempt whose request is in flight on the connection, if any
        # Whether the kernel has accepted the last byte of the connection's latest request.
        self.written = False
        self.closed = False
        # Time (monotonic ns) at which the connection to the server last became idle; 0 before the first time.
        self.idle_since_ns = 0

    # Methods of `asyncio.BufferedProtocol`, which the event loop calls for the connection to a server.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket and the parser of a new connection."""
        # A cast is needed because uvloop's transport class does not inherit from asyncio.Transport.
        self._transport = transport = cast(asyncio.Transport, transport)
        self._pool.pools.socket_count += 1
        self._parser = ResponseParser()
        tcp_socket = transport.get_extra_info("socket")
        self.descriptor = tcp_socket.fileno()
        self._poller.register(self.descriptor, select.POLLIN)
        # A failure to set TCP_NODELAY is ignored: the connection to the server is already broken, which the
        # event loop reports later.
        with suppress(OSError):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With a write buffer limit of 0, the event loop calls `resume_writing` once the kernel has accepted
        # the last byte of the request.
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Record that the kernel has accepted the rest of the request."""
        self.written = self._attempt is not None
        self._count_memory(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads the server's data into; all connections share it."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse data from the server, and end the attempt with a complete or invalid response."""
        parser = self._parser
        if self._attempt is None or parser is None:  # the server sent data while no request was in flight
            self.close()
            return
        try:
            parser.feed(self._budget.buffer[:nbytes])
        except InvalidResponseError:
            # An invalid response does not end the attempt as RESET, because RESET states that a connection
            # was lost, and that other connections to the server may be lost too.
            self._fail_attempt(AttemptResult.ERROR)
            return
        if parser.is_complete:
            self._finish_attempt(parser)
        else:
            self._count_memory(parser.memory_bytes())
            self._response_gate.on_partial(self)

    def eof_received(self) -> bool:
        """Complete a response whose end is marked by the end of the connection.

        Returns False, so that the event loop closes the connection.
        """
        parser = self._parser
        if parser is None or not self.written:
            return False
        if parser.may_end_with_connection() and not self._is_reset():
            parser.is_complete = True
            self._finish_attempt(parser)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the lost connection from its pool, and end the attempt that is waiting for a response."""
        self.closed = True
        self._response_gate.on_ended(self)
        self._count_memory(0)
        self._pool.on_disconnected(self)
        if classify_error(exc) in LOCAL_FAULTS:
            # If a fault of this machine breaks the connection after the request is completely written, the
            # attempt ends neither as RESET (counted against the server, which is not at fault) nor as
            # NOT_SENT (the server may have executed the request): CANCELLED leaves open whether it did.
            self._fail_attempt(AttemptResult.CANCELLED, if_unwritten=AttemptResult.NOT_SENT)
        else:
            self._fail_attempt(AttemptResult.RESET)
        if self._parser is not None:
            self._parser.close()
            self._parser = None

    # Methods of a connection to a server that its attempt and its pool call.

    def on_connect_cancelled(self) -> None:
        """Call `connection_lost` for a connection that the event loop closes without calling it.

        The event loop does so if connecting is cancelled just after `connection_made`.
        """
        if self._transport is not None and not self.closed:
            self.connection_lost(None)

    def has_no_unread_data(self) -> bool:
        """Return whether the socket has neither unread data nor an unread end of the connection.

        A duplicate response in the kernel's receive buffer would be taken for the response to the next
        request.
        """
        return not self._poller.poll(0)

    def send(self, attempt: Attempt, data: bytes) -> None:
        """Write the request of an attempt; the connection calls `Attempt.end` with the result."""
        transport, parser = self._transport, self._parser
        assert transport is not None
        assert parser is not None
        self._attempt = attempt
        self.written = False
        parser.reset()
        transport.write(data)
        self.written = not transport.is_closing() and not transport.get_write_buffer_size()

    def await_response(self, request_bytes: int) -> None:
        """Count a request that is not fully written, and pass the connection to the response gate.

        This is no part of `send`, because the time of the write is read right behind the write.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not self.written:
            self._count_memory(request_bytes)
        self._response_gate.on_sent(self)

    def release(self, attempt: Attempt) -> None:
        """Detach the ended attempt; return the connection to the pool, or close it if it is not reusable."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        self._response_gate.on_ended(self)
        self._read_buffer = self._budget.buffer
        if self._used_bytes:
            self._count_memory(0)
        parser = self._parser
        if parser is not None and parser.is_reusable and self.written and not self.closed:
            self._pool.return_used(self)
        else:
            self.close()

    def _count_memory(self, used_bytes: int) -> None:
        """Pass a change of the memory in use to the budget."""
        if used_bytes != self._used_bytes:
            added_bytes = used_bytes - self._used_bytes
            self._used_bytes = used_bytes
            self._budget.change(added_bytes)

    # Methods that the response gate calls.

    def pause_reading(self) -> None:
        """Leave the server's data in the kernel, which reports it once it has the rest of a body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            self._set_min_readable_bytes(self.missing_body_bytes() or 1)

    def resume_reading(self, is_short: bool) -> None:
        """Read from the server again, in small pieces or not; no effect on a closing connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._read_buffer = self._budget.head_buffer if is_short else self._budget.buffer
            self._set_min_readable_bytes(1)
            self._transport.resume_reading()

    def _set_min_readable_bytes(self, min_bytes: int) -> None:
        """Let the kernel report data from this size on; where it can't, it reports any data."""
        if min_bytes != self._min_readable_bytes:
            assert self._transport is not None
            self._min_readable_bytes = min_bytes
            with suppress(OSError):
                tcp_socket = self._transport.get_extra_info("socket")
                tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, min_bytes)

    def is_in_short_head(self) -> bool:
        """Return whether the head of the final response is not complete, and little of it has been read."""
        parser = self._parser
        return parser is None or parser.is_in_head_of_less_than(SHORT_HEAD_BYTES)

    def missing_body_bytes(self) -> int | None:
        """Return how much of the response's body is missing; None: it is unknown."""
        return None if self._parser is None else self._parser.missing_body_bytes()

    def has_send_capacity(self) -> bool:
        """Return whether the kernel takes a complete response for the client."""
        return self._attempt is None or self._attempt.has_send_capacity()

    def close(self) -> None:
        """Close the connection at once, and discard data that is not written yet."""
        if self._transport is not None:
            self._transport.abort()

    def _is_reset(self) -> bool:
        """Return whether the kernel has received a TCP reset of the connection after the last data."""
        return any(events & (select.POLLERR | select.POLLHUP) for _, events in self._poller.poll(0))

    def _fail_attempt(
        self, result: AttemptResult, if_unwritten: AttemptResult = AttemptResult.CONNECT_FAILED
    ) -> None:
        """End the attempt in flight, if any, without a response, and close the connection.

        The attempt ends with `result` if its request is completely written, else with `if_unwritten`.
        """
        attempt = self._attempt
        if self._parser is not None:
            self._parser.is_reusable = False
        if attempt is not None:
            attempt.end(result if self.written else if_unwritten)
        self.close()

    def _finish_attempt(self, parser: ResponseParser) -> None:
        """End the attempt in flight, if any, with its complete response."""
        attempt = self._attempt
        if attempt is not None:
            attempt.end(_classify_response(parser), parser.response())


def _classify_response(parser: ResponseParser) -> AttemptResult:
    """Return the result that the status of a complete response, and its X-Not-Run header, stand for."""
    status = parser.status
    if status == 200:
        return AttemptResult.OK
    if status in REJECTION_STATUSES and parser.is_not_executed:
        return AttemptResult.REJECTED
    if 400 <= status < 500 and status not in OVERLOAD_STATUSES:
        return AttemptResult.CLIENT_ERROR
    return AttemptResult.ERROR
