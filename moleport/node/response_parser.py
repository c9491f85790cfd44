"""Parses the HTTP responses that arrive on one connection to a server, within limits on their size."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import httptools

from moleport.node.http_limits import (
    HEADER_LINE_OVERHEAD_BYTES,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
)
from moleport.node.packed_headers import (
    FIELD_BYTES,
    MAX_UNPACKED_COUNT,
    PACKED_FIELD_BYTES,
    Headers,
    PackedHeaders,
)

MAX_INTERIM_COUNT = 16  # limit on the number of interim (1xx) responses to one request
MIN_FINAL_STATUS = HTTPStatus.OK.value  # statuses below MIN_FINAL_STATUS are those of interim responses
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class InvalidResponseError(Exception):
    """The data from a server is not an HTTP response, exceeds a limit or belongs to no request."""


class ServerResponse(NamedTuple):
    """A complete response of a server."""

    status: int
    headers: Headers  # end-to-end headers of the response, in the server's order and case
    body: bytes
    load_report: bytes  # value of the response's X-Load header; empty without this header


class ResponseParser:
    """Collects one response at a time from the callbacks of an HTTP parser (httptools).

    Call `reset` before each request, and `feed` with the data from the server until `is_complete` is set.
    Call `close` after the last response, to break the reference cycle with the HTTP parser.
    """

    __slots__ = (
        "_body",
        "_content_length",
        "_ends_with_connection",
        "_header_bytes",
        "_headers",
        "_http_parser",
        "_in_head",
        "_interim_count",
        "_is_chunked",
        "_load_report",
        "_received_bytes",
        "is_complete",
        "is_not_executed",
        "is_reusable",
        "status",
    )

    def __init__(self) -> None:
        """Prepare for the first response on the connection."""
        self._http_parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._interim_count = 0
        # Whether the connection to the server may carry another request after the response.
        self.is_reusable = False
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to the next request."""
        self.is_reusable = False
        self._interim_count = 0
        self._reset_message()

    def _reset_message(self) -> None:
        """Discard the previous message: an earlier response, or an interim response before the final one."""
        self.status = 0
        # Number of bytes received of the response head, or, once the head is complete, of the response body.
        self._received_bytes = 0
        # Number of bytes received of the response's reason phrase, headers and trailers.
        self._header_bytes = 0
        self._headers: list[tuple[bytes, bytes]] | PackedHeaders = []
        self._body = bytearray()
        self._load_report = b""
        self.is_not_executed = False  # whether the server states that it did not execute the request
        self._content_length: int | None = None  # size of the body in bytes; None: not stated
        self._is_chunked = False
        self._ends_with_connection = False  # whether the response body ends where the connection ends
        self._in_head = True
        self.is_complete = False

    def close(self) -> None:
        """Release the HTTP parser; `feed` may not be called after `close`."""
        self._http_parser = None

    def memory_bytes(self) -> int:
        """Return the approximate memory of the partial response in bytes."""
        field_bytes = FIELD_BYTES if isinstance(self._headers, list) else PACKED_FIELD_BYTES
        return self._header_bytes + field_bytes * len(self._headers) + self._received_bytes

    def has_final_head(self) -> bool:
        """Return whether the complete head of the final response has been received."""
        return not self._in_head and self.status >= MIN_FINAL_STATUS

    def is_in_head_of_less_than(self, max_bytes: int) -> bool:
        """Return whether less than `max_bytes` of the final head have been received, and not all of it."""
        return not self.has_final_head() and self._received_bytes < max_bytes

    def missing_body_bytes(self) -> int | None:
        """Return how much of the body is missing, as its Content-Length states; None: it is unknown."""
        if self._content_length is None or self._is_chunked or not self.has_final_head():
            return None
        return self._content_length - self._received_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse data from the server; `is_complete` is set once the response is complete.

        Raises InvalidResponseError if the data is invalid and the response is not complete, or if the head
        exceeds MAX_HEAD_BYTES. Invalid data after a complete response makes the connection unusable for
        another request.
        """
        assert self._http_parser is not None
        try:
            self._http_parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_reusable = False
            if not self.is_complete:
                raise InvalidResponseError(f"invalid response: {error.__context__ or error}") from error
        if self._in_head:
            self._received_bytes += len(data)
            if self._received_bytes > MAX_HEAD_BYTES:
                raise InvalidResponseError(
                    f"response head of {self._received_bytes} bytes exceeds {MAX_HEAD_BYTES} bytes"
                )

    def may_end_with_connection(self) -> bool:
        """Return whether the end of the connection completes the response.

        The end of the connection completes a response that has neither a length nor chunks. A 200 without
        any byte of a body is treated as truncated: the server closed the connection after the head.
        """
        if not self._ends_with_connection or self._in_head:
            return False
        return bool(self._body) or self.status != HTTPStatus.OK

    def response(self) -> ServerResponse:
        """Remove and return the complete response, which an idle connection must not keep in memory."""
        headers, body = self._headers, self._body
        self._headers, self._body = [], bytearray()
        return ServerResponse(self.status, headers, bytes(body), self._load_report)

    # Callbacks of the HTTP parser (httptools), which wraps their exceptions in an HttpParserCallbackError.

    def on_message_begin(self) -> None:
        """Discard an interim response before this message, and reject a second final response."""
        if self.is_complete:
            raise InvalidResponseError("server sent more than one response to one request")
        if self._interim_count:
            self._reset_message()

    def on_status(self, reason: bytes) -> None:
        """Add the reason phrase to the size of the response head, and check the limit of the head."""
        self._header_bytes += len(reason)
        self._check_head_size()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store an end-to-end header, or interpret a header that frames the body or is meant for this node.

        A trailer adds to the size of the response head and is discarded.
        """
        # The size limit that `feed` checks covers neither a response head that arrives in one piece nor
        # trailers, so the bytes of each header are counted here too.
        self._header_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if self._header_bytes > MAX_HEAD_BYTES:
            self._check_head_size()
        if not self._in_head:
            return
        lower_name = name.lower()
        if lower_name == b"x-load":
            self._load_report = value
        elif lower_name == b"x-not-run":
            self.is_not_executed = value.strip() == b"1"
        elif lower_name == b"content-length":
            # A response body that is too long by its Content-Length is rejected before it is read.
            if int(value) > MAX_BODY_BYTES:
                raise InvalidResponseError(
                    f"response body of {int(value)} bytes exceeds {MAX_BODY_BYTES} bytes"
                )
            self._content_length = int(value)
        elif lower_name == b"transfer-encoding":
            coding = value.strip().lower()
            if coding not in (b"chunked", b"identity"):
                raise InvalidResponseError(f"response has the unsupported transfer coding {coding!r}")
            self._is_chunked = coding == b"chunked"
        elif lower_name not in HOP_BY_HOP_HEADERS:
            self._add_field(name, value)

    def _add_field(self, name: bytes, value: bytes) -> None:
        """Store an end-to-end header."""
        self._headers.append((name, value))
        if len(self._headers) == MAX_UNPACKED_COUNT:
            self._headers = PackedHeaders(self._headers)

    def _check_head_size(self) -> None:
        """Raise InvalidResponseError if the reason phrase, headers and trailers exceed MAX_HEAD_BYTES."""
        if self._header_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError(
                f"response head of over {self._header_bytes} bytes exceeds {MAX_HEAD_BYTES} bytes"
            )

    def on_headers_complete(self) -> None:
        """Store the response status, and determine how the end of the response body is marked."""
        assert self._http_parser is not None
        self.status = self._http_parser.get_status_code()
        if self.status < MIN_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_COUNT:
                raise InvalidResponseError(f"server sent more than {MAX_INTERIM_COUNT} interim responses")
        else:
            is_framed = self._is_chunked or self._content_length is not None
            self._ends_with_connection = not is_framed and self.status not in STATUSES_WITHOUT_BODY
        self._in_head = False
        self._received_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Store a part of the response body."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BODY_BYTES:
            raise InvalidResponseError(
                f"response body of {self._received_bytes} bytes exceeds {MAX_BODY_BYTES} bytes"
            )
        self._body += data

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim response."""
        if self.status < MIN_FINAL_STATUS:
            return
        assert self._http_parser is not None
        self.is_reusable = self._http_parser.should_keep_alive()
        self.is_complete = True
