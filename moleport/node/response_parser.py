"""Parse the HTTP responses of one connection to a server, within limits on their size."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import httptools

from moleport.node.http_limits import HEADER_LINE_BYTES, HOP_BY_HOP_HEADERS, MAX_BODY_BYTES, MAX_HEAD_BYTES

MAX_INTERIM_COUNT = 16  # 1xx responses ahead of the final one
MIN_FINAL_STATUS = HTTPStatus.OK.value
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class InvalidResponseError(Exception):
    """A server sent data that is not an HTTP response, that exceeds a limit or that was not requested."""


class ServerResponse(NamedTuple):
    """A complete response of a server."""

    status: int
    headers: list[tuple[bytes, bytes]]  # end-to-end headers in their original order and case
    body: bytes
    load_report: bytes  # empty if there is none


class ResponseParser:
    """Collects one response at a time from the callbacks of an HTTP parser.

    Call `reset` ahead of each request and `feed` with what the server sends until `is_complete` is set. Call
    `close` at the end, because the HTTP parser and this object refer to each other.
    """

    __slots__ = (
        "_body",
        "_ends_with_connection",
        "_header_bytes",
        "_headers",
        "_http_parser",
        "_in_head",
        "_interim_count",
        "_is_framed",
        "_load_report",
        "_size",
        "is_complete",
        "is_not_executed",
        "is_reusable",
        "status",
    )

    def __init__(self) -> None:
        self._http_parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._interim_count = 0
        self.is_reusable = False  # the connection may carry another request
        self.reset()

    def reset(self) -> None:
        """Forget the previous response."""
        self.is_reusable = False
        self._interim_count = 0
        self._start_message()

    def _start_message(self) -> None:
        """Forget the previous message, which may be an interim response ahead of the final one."""
        self.status = 0
        self._size = 0  # bytes of the head or the body so far
        self._header_bytes = 0  # of the status line, the headers and the trailers
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._load_report = b""
        self.is_not_executed = False  # the server states that it did not execute the request
        self._is_framed = False  # by a length or by chunks
        self._ends_with_connection = False
        self._in_head = True
        self.is_complete = False

    def close(self) -> None:
        """Release the HTTP parser; nothing may be fed after that."""
        self._http_parser = None

    def feed(self, data: bytes) -> None:
        """Parse data from the server; `is_complete` tells whether the response has ended.

        Raises InvalidResponseError if the data is invalid and the response is not complete. Invalid data
        behind a complete response makes the connection unusable for another request.
        """
        assert self._http_parser is not None
        try:
            self._http_parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_reusable = False
            if not self.is_complete:
                raise InvalidResponseError(f"invalid response: {error.__context__ or error}") from error
        if self._in_head:
            self._size += len(data)
            if self._size > MAX_HEAD_BYTES:
                raise InvalidResponseError(f"response head of {self._size} bytes exceeds {MAX_HEAD_BYTES}")

    def may_end_with_connection(self) -> bool:
        """Return whether the end of the connection completes the response.

        That is so if it has neither a length nor chunks. A 200 without a single byte of its body counts as
        cut off: the server closed the connection after the head.
        """
        if not self._ends_with_connection or self._in_head:
            return False
        return bool(self._body) or self.status != HTTPStatus.OK

    def response(self) -> ServerResponse:
        """Return the complete response."""
        return ServerResponse(self.status, self._headers, b"".join(self._body), self._load_report)

    # Callbacks of the HTTP parser. It wraps exceptions that they raise in an HttpParserCallbackError.

    def on_message_begin(self) -> None:
        """Forget an interim response ahead of this one, and reject a second final one."""
        if self.is_complete:
            raise InvalidResponseError("more than one response to one request")
        if self._interim_count:
            self._start_message()

    def on_status(self, reason: bytes) -> None:
        """Count the reason phrase."""
        self._header_bytes += len(reason)
        self._check_head_size()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep an end-to-end header, and interpret those that frame the body or are meant for this node.

        A trailer is counted and dropped.
        """
        # `feed` counts neither a head that arrives in one piece nor the trailers.
        self._header_bytes += len(name) + len(value) + HEADER_LINE_BYTES
        if self._header_bytes > MAX_HEAD_BYTES:
            self._check_head_size()
        if not self._in_head:
            return
        lower = name.lower()
        if lower == b"x-load":
            self._load_report = value
        elif lower == b"x-not-run":
            self.is_not_executed = value.strip() == b"1"
        elif lower == b"content-length":
            # A body that is too long is rejected at its head, before any of it is read.
            if int(value) > MAX_BODY_BYTES:
                raise InvalidResponseError(f"response body of {int(value)} bytes exceeds {MAX_BODY_BYTES}")
            self._is_framed = True
        elif lower == b"transfer-encoding":
            coding = value.strip().lower()
            if coding not in (b"chunked", b"identity"):
                raise InvalidResponseError(f"unsupported transfer coding {coding!r}")
            self._is_framed = coding == b"chunked"
        elif lower not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def _check_head_size(self) -> None:
        if self._header_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError(
                f"response head of over {self._header_bytes} bytes exceeds {MAX_HEAD_BYTES}"
            )

    def on_headers_complete(self) -> None:
        """Take the status, and determine how the body ends."""
        assert self._http_parser is not None
        self.status = self._http_parser.get_status_code()
        if self.status < MIN_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_COUNT:
                raise InvalidResponseError(f"more than {MAX_INTERIM_COUNT} interim responses")
        else:
            self._ends_with_connection = not self._is_framed and self.status not in STATUSES_WITHOUT_BODY
        self._in_head = False
        self._size = 0

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            raise InvalidResponseError(f"response body of {self._size} bytes exceeds {MAX_BODY_BYTES}")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one."""
        if self.status < MIN_FINAL_STATUS:
            return
        assert self._http_parser is not None
        self.is_reusable = self._http_parser.should_keep_alive()
        self.is_complete = True
