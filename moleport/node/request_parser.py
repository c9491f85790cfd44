"""Turns a client's bytes into requests."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

import httptools

from moleport.config.node_config import Config
from moleport.node.http_limits import HEADER_LINE_BYTES, HOP_BY_HOP_HEADERS, MAX_BODY_BYTES, MAX_HEAD_BYTES
from moleport.node.parsed_request import ParsedRequest
from moleport.node.request_validation import InvalidRequestError, validate_framing, validate_request

MAX_HEADERS_COUNT = 100
MAX_FRAMED_BODY_BYTES = 8 * MAX_BODY_BYTES  # of a body with the framing of its chunks
SLICE_BYTES = 4096  # parsed at once: of what a client sends ahead, no more than is served is parsed

NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-deadline", b"expect"}
SINGLE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"expect",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-key",
        b"x-deadline",
        b"x-retry",
        b"idempotency-key",
    )
)
"""Headers that the node or a server goes by: of two values, each reader might use another one."""


class RequestParser:
    """Parses requests until the first invalid one; `error_status` is the status of its response."""

    def __init__(self, config: Config) -> None:
        """Create the parser of one connection."""
        self.ready: deque[ParsedRequest] = deque()
        self.error_status = 0
        self._config = config
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._buffer = b""
        self._arrived_at_ns = 0  # monotonic, of the first byte in the buffer
        self._partial: ParsedRequest | None = None
        self._in_body = False

    def close(self) -> None:
        """Drop everything, and break the reference cycle with httptools' parser."""
        self._parser = None
        self._buffer = b""
        self.ready.clear()

    def feed(self, data: bytes, arrived_at_ns: int) -> None:
        """Parse data of which no byte arrived before `arrived_at_ns` (monotonic).

        A request counts as having arrived with its last byte. What is behind unparsed data counts as having
        arrived with it: a client's deadline must not be put too late.
        """
        if not self._buffer:
            self._arrived_at_ns = arrived_at_ns
        self._buffer = self._buffer + data if self._buffer else data
        self.parse_buffered()

    def parse_buffered(self) -> None:
        """Parse until there is a request.

        To parse all that a client has sent ahead would delay the other clients and fill the memory.
        """
        while self._parser is not None and self._buffer and not self.ready and not self.error_status:
            piece, self._buffer = self._buffer[:SLICE_BYTES], self._buffer[SLICE_BYTES:]
            self._parse(piece)

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.error_status = (
                cause.status if isinstance(cause, InvalidRequestError) else HTTPStatus.BAD_REQUEST
            )
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error_status = HTTPStatus.BAD_REQUEST
        partial = self._partial
        if partial is not None and not self.error_status:
            self._limit_size(partial, len(piece))
        if self.error_status:
            self._buffer, self._partial = b"", None

    def _limit_size(self, partial: ParsedRequest, added_bytes: int) -> None:
        """Count the bytes of a partial request; httptools doesn't hand out a line before its end."""
        partial.size_bytes += added_bytes
        if self._in_body and partial.size_bytes > MAX_FRAMED_BODY_BYTES:
            self.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif not self._in_body and partial.size_bytes > MAX_HEAD_BYTES:
            self.error_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def has_partial_request(self) -> bool:
        """Return whether bytes have come of a request that is not handed out yet."""
        return self._partial is not None or bool(self._buffer)

    def has_unparsed(self) -> bool:
        """Return whether data waits to be parsed."""
        return bool(self._buffer)

    def wants_continue(self) -> bool:
        """Return, once for each request, whether the client waits for a 100 before it sends the body."""
        partial = self._partial
        if partial is None or not partial.expects_continue or not self._in_body:
            return False
        partial.expects_continue = False
        return True

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._partial = ParsedRequest()
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        assert self._partial is not None
        self._partial.url += url
        self._partial.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; raise InvalidRequestError if it must not occur twice or there are too many."""
        partial = self._partial
        assert partial is not None
        # Counted here too, as the head may be complete before a piece of it is counted.
        partial.header_bytes += len(name) + len(value) + HEADER_LINE_BYTES
        if partial.header_bytes > MAX_HEAD_BYTES:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"request head of over {MAX_HEAD_BYTES} bytes"
            )
        if self._in_body:
            return  # a trailer
        lower, value = name.lower(), value.strip()
        if lower in SINGLE_HEADERS and lower in partial.fields:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"header {name!r} occurs twice")
        partial.fields[lower] = value
        if len(partial.headers) >= MAX_HEADERS_COUNT:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"more than {MAX_HEADERS_COUNT} headers"
            )
        if lower not in NOT_FORWARDED:
            partial.headers.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Validate the head; raise InvalidRequestError if it can't be served."""
        partial = self._partial
        assert partial is not None and self._parser is not None
        partial.method = self._parser.get_method()
        validate_framing(partial)
        validate_request(partial, self._config)
        partial.expects_continue = partial.fields.get(b"expect", b"").lower() == b"100-continue"
        partial.size_bytes = 0
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; raise InvalidRequestError if it becomes too long."""
        partial = self._partial
        assert partial is not None
        partial.body += data
        if len(partial.body) > MAX_BODY_BYTES:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body of over {MAX_BODY_BYTES} bytes"
            )

    def on_message_complete(self) -> None:
        """Hand out the request."""
        partial, self._partial = self._partial, None
        assert partial is not None and self._parser is not None
        partial.keep_alive = self._parser.should_keep_alive()
        partial.arrived_at_ns = self._arrived_at_ns
        self.ready.append(partial)
