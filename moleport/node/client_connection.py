"""One client's connection: reads its requests, passes them on one at a time, and writes the responses.

A client's disconnection is detected in four places:

- `connection_lost`: the event loop reports that the connection is closed or reset.
- `eof_received`: the event loop reports that the client has shut down its sending side.
- `has_disconnected`: `AttemptSupervisor.authorize_write` asks the kernel before it opens a
  connection to a server and before it writes a request.
- `DisconnectDetector` polls the kernel while reading is paused. Not even the kernel knows of an end of
  stream that its full receive buffer keeps out; see `may_hide_disconnection`.

The disconnection is reported to `RequestRegistry` by `on_client_disconnected` (the client gets no response)
or by `on_client_half_closed` (the client may still read a response).
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import cast

from moleport.node.arrival_time import ArrivalTime
from moleport.node.client_context import ClientContext
from moleport.node.connection_memory import ConnectionMemory
from moleport.node.disconnect_detector import DisconnectDetector
from moleport.node.packed_headers import Headers
from moleport.node.parsed_request import READINESS_PATH, ParsedRequest
from moleport.node.request import client_request
from moleport.node.request_parser import RequestParser
from moleport.node.response_format import CONTINUE_RESPONSE, format_response
from moleport.node.response_writer import ResponseWriter
from moleport.telemetry import Event

log = logging.getLogger(__name__)

# Limit in bytes on the client data that is read and discarded after a connection's last response.
MAX_LINGERING_BYTES = 128 << 10


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection; its requests are processed one at a time."""

    def __init__(self, context: ClientContext, earliest_arrival_ns: int) -> None:
        """Create the protocol of an accepted connection.

        No byte of the client arrived before `earliest_arrival_ns` (monotonic ns).
        """
        self._context = context
        self._table = context.table
        self._budget = context.table.memory
        self.memory = ConnectionMemory(context.table.memory)
        self._arrival_time = ArrivalTime(earliest_arrival_ns, context.dispatcher.hold_detector)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._disconnect_detector = DisconnectDetector()
        self._parser = RequestParser(context.config)
        # Request number (an id from `RequestRegistry`) of the client's request in progress; 0: no request.
        self._request_number = 0
        # Whether a request of the client is unanswered, or its response is not fully written.
        self._is_busy = False
        self._keep_alive = True
        # Whether the last response was sent or the connection is lost: no more data of the client is parsed.
        self._is_closing = False
        self._discarded_bytes = 0
        self._last_read_s = 0.0  # loop time at which data was last received
        # Deadline (monotonic ns) of the client's latest processed request; 0: none, as for a readiness check.
        self._deadline_ns = 0
        self._response_writer = ResponseWriter(self.memory)
        # Whether `_advance`, which processes the client's requests, is running; a nested call then returns.
        self._is_advancing = False
        self._is_scheduled = False
        self._is_paused = False

    # Callbacks by which the event loop reports data, writes and disconnections of the client.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and set the lower bound for the arrival of its unread data."""
        # The client connection's transport is cast, because isinstance would fail: uvloop's transport class
        # does not inherit from asyncio.Transport.
        self._transport = transport = cast(asyncio.Transport, transport)
        # With a limit of 0 for a client's write buffer, `resume_writing` is called once the buffer is empty.
        transport.set_write_buffer_limits(high=0)
        self._disconnect_detector.attach(transport)
        self._arrival_time.on_connected(self._disconnect_detector, transport.get_extra_info("socket"))
        self._table.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the client's disconnection: its connection is closed or reset."""
        self._is_closing = True
        self._parser.close()
        self._disconnect_detector.close()
        if self._is_scheduled:
            self._context.scheduler.remove(self)
        self.memory.set_response(0)
        self._count_memory()
        self._response_writer.stop()
        request_number, self._request_number = self._request_number, 0
        if request_number:
            self._context.dispatcher.on_client_disconnected(request_number)
        self._table.on_disconnected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads the client's data into; all connections share it."""
        # While memory is short, only clients whose body is reserved are read in large pieces.
        return self._budget.buffer if self.memory.reserved_bytes else self._budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the client's data, `nbytes` of the shared buffer, and process its next request."""
        if self._is_closing:
            self._discard(nbytes)
            return
        self._last_read_s = self._loop.time()
        self._parser.feed(bytes(self._budget.buffer[:nbytes]), self._arrival_time.of_read_data_ns())
        self._advance()
        if not self._is_paused:
            self._arrival_time.on_read(self._disconnect_detector, self._budget.may_fill_buffer(nbytes))

    def _discard(self, nbytes: int) -> None:
        """Discard data that follows the last response; abort after `MAX_LINGERING_BYTES`."""
        self._discarded_bytes += nbytes
        if self._discarded_bytes > MAX_LINGERING_BYTES:
            self.abort()

    def eof_received(self) -> bool:
        """Handle the client's half-close; return whether the connection stays open for a response.

        A half-closed client may still wait for the response to a complete request. As most clients that look
        half-closed have closed the connection, a request that is not forwarded yet will not be forwarded.
        """
        self._disconnect_detector.is_half_closed = True
        self._report_half_close()
        has_pending_request = self._is_busy or bool(self._parser.ready) or self._parser.has_unparsed()
        return has_pending_request and not self._is_closing

    def resume_writing(self) -> None:
        """Continue with the next request or the close once a slowly read response is fully written."""
        if self._response_writer.stop():
            self._on_response_written()

    # Methods that detect a disconnection of the client that the event loop has not reported.

    def has_disconnected(self) -> bool:
        """Return whether the client has half-closed or closed the connection, as the kernel reports it."""
        return self._disconnect_detector.has_disconnected()

    def may_hide_disconnection(self) -> bool:
        """Return whether the client's end of stream may be behind data that the node does not read."""
        return self._is_paused and self._disconnect_detector.is_readable()

    def _report_half_close(self) -> None:
        if self._request_number:
            self._context.dispatcher.on_client_half_closed(self._request_number)

    # Methods that process the client's requests in order of arrival.

    def _advance(self) -> None:
        """Process parsed requests, pause or resume reading, and report the state to the connection table."""
        transport = self._transport
        if transport is None or self._is_advancing:
            # A nested call of `_advance` returns, because the outer call processes the client's next request.
            return
        self._is_advancing = True
        if not self._is_scheduled and self.has_work():
            self._is_scheduled = self._context.scheduler.process(self)
        self._is_advancing = False
        self._count_memory()
        if self._is_closing or transport.is_closing():
            return
        parser = self._parser
        if self._is_paused or parser.has_unparsed():
            self._update_reading(transport)
        if self._is_busy:
            return
        if self._is_scheduled:
            self._table.mark_reading(self)
        elif self._disconnect_detector.is_half_closed:
            self.close()
        elif parser.has_partial_request():
            self._table.mark_reading(self)
            if parser.wants_continue():
                transport.write(CONTINUE_RESPONSE)
        else:
            self._table.mark_idle(self)

    def _count_memory(self) -> None:
        """Count the memory that this connection uses; free memory if it is short."""
        self.memory.count(self._parser)
        if self._budget.needs_relief:
            self._table.free_memory(self._budget.is_relieved)

    def resume_processing(self) -> None:
        """Process the client's data, which waited for a time slice of the event loop."""
        self._is_scheduled = False
        try:
            self._advance()
        except Exception:
            log.exception("could not process data of a client; its connection is aborted")
            self.abort()

    def has_work(self) -> bool:
        """Return whether data or a request can be processed now; a request waits for the response before."""
        transport, parser = self._transport, self._parser
        if self._is_busy or self._is_closing or transport is None or transport.is_closing():
            return False
        return bool(parser.ready or parser.error_status or parser.has_unparsed())

    def process_next(self) -> None:
        """Parse a slice of data if no request is ready, and process a request that is."""
        parser = self._parser
        if not parser.ready and not parser.error_status:
            parser.parse_slice(is_short=not self._budget.may_read_ahead)
            if parser.begins_body() and not self.memory.may_receive_body(parser, self._table.free_memory):
                self._context.dispatcher.telemetry.count(Event.REQUEST_REJECTED_BY_MEMORY)
                parser.reject(HTTPStatus.SERVICE_UNAVAILABLE)
        if parser.ready:
            self._is_busy = True
            self._table.mark_active(self)
            self._serve(parser.ready.popleft())
        elif parser.error_status:
            self._send_parse_error()

    def _send_parse_error(self) -> None:
        """Send the error response of the parser, which ends the connection.

        Client data after a parse error can't be parsed. All requests before the error have been answered.
        """
        self._is_busy = True
        self._keep_alive = False
        status = self._parser.error_status
        is_rejection = status == HTTPStatus.SERVICE_UNAVAILABLE
        headers = self._context.dispatcher.retry_after_headers() if is_rejection else ()
        self.send_response(status, headers, b"")

    def _update_reading(self, transport: asyncio.Transport) -> None:
        """Pause reading once much data is not parsed, so that more stays in the kernel, or resume it.

        Data behind the request in progress is read within limits, because the kernel does not receive the
        client's end of stream while its receive buffer is full.
        """
        parser, detector = self._parser, self._disconnect_detector
        has_enough = parser.has_unparsed() and (parser.is_full() or not self._budget.may_read_ahead)
        if has_enough is self._is_paused:
            return
        self._is_paused = has_enough
        if has_enough:
            self._arrival_time.on_paused(detector)
            transport.pause_reading()
            detector.start_polling(self._report_half_close)
        else:
            detector.stop_polling()
            self._arrival_time.on_resumed(detector)
            transport.resume_reading()

    def _serve(self, parsed: ParsedRequest) -> None:
        """Answer a readiness check, or pass the request to the dispatcher."""
        self._keep_alive = parsed.keep_alive
        self.memory.set_request(parsed.header_bytes, len(parsed.body))
        self._deadline_ns = 0
        dispatcher = self._context.dispatcher
        if parsed.path == READINESS_PATH:
            is_ready = dispatcher.has_endpoints() and not self._context.is_stopping
            self.send_response(200 if is_ready else 503, [], b"")
            return
        is_half_closed = self._disconnect_detector.is_half_closed
        if is_half_closed or not self.memory.may_forward():
            if not is_half_closed:
                dispatcher.telemetry.count(Event.REQUEST_REJECTED_BY_MEMORY)
            self.send_response(503, dispatcher.retry_after_headers(), b"")
            return
        request = client_request(self, parsed, self._context.config.tenant_indices)
        self._deadline_ns = request.deadline_ns
        request_number = dispatcher.accept_request(request)
        if self._is_busy:
            self._request_number = request_number

    # Methods that write responses to the client, and after each response keep or close its connection.

    def has_send_capacity(self) -> bool:
        """Return whether the kernel takes a complete response, even if the client reads none."""
        return self._transport is None or self._response_writer.has_capacity(self._transport)

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response of the request in progress."""
        transport = self._transport
        assert transport is not None
        self._request_number = 0
        if transport.is_closing():
            return
        # A 4xx response closes the client connection, because a client could otherwise repeat an invalid
        # request as fast as the node answers.
        is_client_error = 400 <= status < 500
        keep_alive = (
            self._keep_alive
            and not is_client_error
            and not self._context.is_draining
            and not self._table.is_full()
        )
        response = format_response(status, headers, body, keep_alive)
        is_written = self._response_writer.write(transport, response, self._deadline_ns)
        self._is_closing = not keep_alive
        if is_written:
            self._on_response_written()
        else:
            self._count_memory()

    def _on_response_written(self) -> None:
        """Continue with the next request, or close the connection."""
        transport = self._transport
        assert transport is not None
        self._is_busy = False
        self.memory.set_response(0)
        if not self._is_closing:
            self._advance()
            return
        self._parser.close()
        self._count_memory()
        if self._disconnect_detector.is_half_closed or transport.is_closing():
            transport.close()
        else:
            self._start_lingering_close(transport)

    def _start_lingering_close(self, transport: asyncio.Transport) -> None:
        """Shut down the sending side and wait for the client to close the connection.

        Closing with unread data would reset the connection, and the client might lose its response.
        """
        if self._is_paused:
            transport.resume_reading()
        transport.write_eof()
        self._table.start_lingering_close(self)

    # Methods with which the connection table or the shutdown closes the client connection.

    def time_out(self) -> None:
        """Close a connection that has exceeded a time limit; answer 408 to a partial request."""
        if self.reject_partial_request():
            self._context.dispatcher.telemetry.count(Event.CLIENT_TIMED_OUT)
        elif self.close_if_nothing_unread():
            self._context.dispatcher.telemetry.count(Event.CLIENT_CLOSED_IDLE)

    def is_stalled(self, since_s: float) -> bool:
        """Return whether nothing of a partial request has been received since a loop time in s."""
        return not (
            self._last_read_s > since_s or self._is_scheduled or self._disconnect_detector.is_readable()
        )

    def reject_partial_request(self, status: HTTPStatus = HTTPStatus.REQUEST_TIMEOUT) -> bool:
        """Answer a partial request with an error and discard it; return whether there was one.

        Data of which nothing is parsed yet may be a complete request, and is kept.
        """
        if not self._parser.has_begun_request():
            return False
        self._parser.reject(status)
        if not self._is_busy and not self._parser.ready:
            self._send_parse_error()
        self._count_memory()
        return True

    def reclaim(self) -> bool:
        """Close the connection to free its slot, unless it has unread data; return whether it is closed.

        A partial request is answered with 408. There is no lingering close, which would keep the slot in use.
        """
        transport = self._transport
        if transport is None or not self._parser.has_partial_request():
            return self.close_if_nothing_unread()
        if self._is_scheduled or self._disconnect_detector.is_readable():
            return False
        self.reject_partial_request()
        self._context.dispatcher.telemetry.count(Event.CLIENT_TIMED_OUT)
        transport.close()
        return True

    def close(self) -> None:
        """Close the connection once all responses are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unwritten data."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_nothing_unread(self) -> bool:
        """Close the connection unless it has unread or unparsed data, which may be a complete request.

        Return whether the connection is closed.
        """
        if self._transport is not None and not self._transport.is_closing():
            if self._parser.has_unparsed() or self._disconnect_detector.is_readable():
                return False
            self._transport.close()
        return True

    def close_if_unused(self) -> None:
        """Close the connection unless it has unread data or a request, complete or partial."""
        if not self._is_busy and not self._parser.ready and not self._parser.has_partial_request():
            self.close_if_nothing_unread()
