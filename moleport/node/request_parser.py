"""Parses the bytes of one client connection into requests."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

import httptools

from moleport.config.node_config import Config
from moleport.node.http_limits import (
    HEADER_LINE_OVERHEAD_BYTES,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
)
from moleport.node.parsed_request import REQUEST_OVERHEAD_BYTES, ParsedRequest
from moleport.node.receive_buffer import ReceiveBuffer
from moleport.node.request_validation import InvalidRequestError, validate_framing, validate_request

MAX_HEADERS_COUNT = 100
MAX_FRAMED_BODY_BYTES = 8 * MAX_BODY_BYTES  # size limit of a request body including its chunk framing
# Size of a client's unparsed data from which on no more is read. Up to there, its end of stream is seen
# even behind requests that wait for the response before theirs.
MAX_UNPARSED_BYTES = MAX_BODY_BYTES
# Limit on data ahead of a request that starts none; a server ignores blank lines (RFC 9112, section 2.2).
MAX_BLANK_BYTES = 1024
# Number of bytes of client data that are parsed at a time. With small slices, few pipelined requests are
# parsed ahead, and no slice takes long.
PARSE_SLICE_BYTES = 1024
SHORT_SLICE_BYTES = 256  # the same while clients are not read ahead

NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-deadline", b"expect"}
UNREPEATABLE_HEADERS = frozenset(
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
"""Headers that a request must not repeat: the node and a server might act on different values."""


class RequestParser:
    """Parses requests up to the first invalid one, whose response status is `error_status` (0 until then)."""

    def __init__(self, config: Config) -> None:
        """Create the parser of one connection, with the limits of `config`."""
        self.ready: deque[ParsedRequest] = deque()
        self.error_status = 0
        self._config = config
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unparsed = ReceiveBuffer()
        self._arrived_at_ns = 0  # lower bound (monotonic ns) of the arrival time of the data parsed last
        self._partial: ParsedRequest | None = None
        self._in_body = False
        self._is_body_new = False  # whether `begins_body` has not reported the partial request yet
        self._blank_bytes = 0  # data in a row that started no request
        # Request with a complete head that offers another protocol, until a new HTTP parser reads its body.
        self._upgrade_offer: ParsedRequest | None = None

    def close(self) -> None:
        """Discard all data, and break the reference cycle with the httptools parser."""
        self._parser = None
        self._partial = None
        self._unparsed.clear()
        self.ready.clear()

    def feed(self, data: bytes, arrived_at_ns: int) -> None:
        """Add data of which no byte arrived before `arrived_at_ns` (monotonic ns); it is not parsed yet.

        A request's arrival time is that of its last byte.
        """
        self._unparsed.append(data, arrived_at_ns)

    def parse_slice(self, is_short: bool) -> None:
        """Parse a slice of the received data, of which there must be some; a short one yields few requests.

        Parsing all pipelined requests of a client at once would delay other clients and fill the memory.
        """
        data_slice, self._arrived_at_ns = self._unparsed.take(
            SHORT_SLICE_BYTES if is_short else PARSE_SLICE_BYTES
        )
        self._parse(data_slice)

    def _parse(self, data_slice: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data_slice)
        except httptools.HttpParserUpgrade as upgrade:
            (end_of_head,) = upgrade.args
            if end_of_head < len(data_slice):
                self._unparsed.put_back(data_slice[end_of_head:], self._arrived_at_ns)
            self._ignore_upgrade()
            return
        except httptools.HttpParserCallbackError as error:
            self.error_status = _status_of(error.__context__)
        except httptools.HttpParserError:
            self.error_status = HTTPStatus.BAD_REQUEST
        if self._partial is not None and not self.error_status:
            self._check_size(self._partial, len(data_slice))
        if self._partial is None and not self.ready:
            self._limit_blank_data(len(data_slice))
        else:
            self._blank_bytes = 0
        if self.error_status:
            self._unparsed.clear()
            self._partial = None

    def _limit_blank_data(self, added_bytes: int) -> None:
        """Limit data that starts no request; no time limit ends a connection on which it keeps arriving."""
        self._blank_bytes += added_bytes
        if self._blank_bytes > MAX_BLANK_BYTES and not self.error_status:
            self.error_status = HTTPStatus.BAD_REQUEST

    def _ignore_upgrade(self) -> None:
        """Go on in HTTP/1.1 behind the head of a request that offers another protocol.

        A server may ignore such an offer (RFC 9110, section 7.8), but an HTTP parser of httptools ends with
        the head. A new one therefore gets a head with the same framing and without the offer.
        """
        assert self._upgrade_offer is not None
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(self._upgrade_offer.head_for_framing())

    def _check_size(self, partial: ParsedRequest, added_bytes: int) -> None:
        """Limit the size of a partial request; httptools reports a header line only once it is complete."""
        partial.size_bytes += added_bytes
        if self._in_body and partial.size_bytes > MAX_FRAMED_BODY_BYTES:
            self.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif not self._in_body and partial.size_bytes > MAX_HEAD_BYTES:
            self.error_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def has_partial_request(self) -> bool:
        """Return whether bytes of an incomplete or unparsed request have been received."""
        return self._partial is not None or self._unparsed.size_bytes > 0

    def has_begun_request(self) -> bool:
        """Return whether an incomplete request is parsed in part."""
        return self._partial is not None

    def memory_bytes(self) -> int:
        """Return the approximate memory, in bytes, of data and requests that are not taken from `ready`."""
        partial = self._partial
        if partial is None and not self.ready:
            return self._unparsed.size_bytes
        return (
            self._unparsed.size_bytes
            + REQUEST_OVERHEAD_BYTES * len(self.ready)
            + (self._partial_bytes(partial) if partial is not None else 0)
        )

    def _partial_bytes(self, partial: ParsedRequest) -> int:
        """Return the memory of the partial request; the HTTP parser holds an incomplete header line."""
        return partial.memory_bytes() + (0 if self._in_body else partial.unparsed_head_bytes())

    def missing_body_bytes(self) -> int:
        """Return how much of the partial request's body is missing, as its Content-Length states."""
        partial = self._partial
        if partial is None or not partial.content_length:
            return 0
        return partial.content_length - len(partial.body)

    def begins_body(self) -> bool:
        """Return whether the partial request's head states a body that follows; True once a request."""
        partial = self._partial
        if partial is None or not partial.content_length or not self._is_body_new:
            return False
        self._is_body_new = False
        return True

    def reject(self, status: HTTPStatus) -> None:
        """End parsing with an error response of this status, and discard what is not parsed completely."""
        self.error_status = status
        self._unparsed.clear()
        self._partial = None

    def has_unparsed(self) -> bool:
        """Return whether received data is not parsed yet."""
        return self._unparsed.size_bytes > 0

    def is_full(self) -> bool:
        """Return whether so much data is not parsed yet that no more should be read."""
        return self._unparsed.size_bytes >= MAX_UNPARSED_BYTES

    def wants_continue(self) -> bool:
        """Return whether the client waits for a 100 (Continue) to send the body; True once per request."""
        partial = self._partial
        if partial is None or not partial.expects_continue or not self._in_body:
            return False
        partial.expects_continue = False
        return True

    # Callbacks by which the httptools parser reports the parts of a request.

    def on_message_begin(self) -> None:
        """Start a request of which nothing has been parsed."""
        self._partial = ParsedRequest()
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        assert self._partial is not None
        self._partial.target += url
        self._partial.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; raise InvalidRequestError if it must not be repeated or the head is too large."""
        partial = self._partial
        assert partial is not None
        # The size of a request head is checked at each header too, as the check after each slice of received
        # data does not count the slice that completes the head.
        partial.header_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if partial.header_bytes > MAX_HEAD_BYTES:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"request head exceeds {MAX_HEAD_BYTES} bytes"
            )
        if self._in_body:
            return  # a trailer counts towards the size limit of the request head, but is not forwarded
        lower_name, value = name.lower(), value.strip()
        if lower_name in UNREPEATABLE_HEADERS and lower_name in partial.header_values:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST, f"request header {name!r} is repeated")
        partial.header_values[lower_name] = value
        if len(partial.forwarded_headers) >= MAX_HEADERS_COUNT:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"request has more than {MAX_HEADERS_COUNT} headers",
            )
        if lower_name not in NOT_FORWARDED:
            partial.forwarded_headers.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Validate the head; raise InvalidRequestError if the request is to be rejected."""
        if self._upgrade_offer is not None:
            # The head that has just been parsed is that of `_ignore_upgrade`; the request's own is validated.
            self._partial, self._upgrade_offer = self._upgrade_offer, None
            self._in_body = True
            return
        partial = self._partial
        assert partial is not None and self._parser is not None
        partial.method = self._parser.get_method()
        partial.content_length = validate_framing(partial)
        self._is_body_new = True
        validate_request(partial, self._config)
        partial.expects_continue = partial.header_values.get(b"expect", b"").lower() == b"100-continue"
        partial.size_bytes = 0
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; raise InvalidRequestError if it exceeds `MAX_BODY_BYTES`."""
        partial = self._partial
        assert partial is not None
        partial.body += data
        if len(partial.body) > MAX_BODY_BYTES:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"request body exceeds {MAX_BODY_BYTES} bytes"
            )

    def on_message_complete(self) -> None:
        """Add the complete request to `ready`, unless the HTTP parser ends here because of an upgrade."""
        partial, self._partial = self._partial, None
        assert partial is not None and self._parser is not None
        partial.keep_alive = self._parser.should_keep_alive()
        if self._parser.should_upgrade():
            self._upgrade_offer = partial
            return
        partial.arrived_at_ns = self._arrived_at_ns
        self.ready.append(partial)


def _status_of(cause: BaseException | None) -> HTTPStatus:
    """Return the response status for an exception of a callback.

    A variable of the method that called the HTTP parser would form a reference cycle with the exception's
    traceback, and keep the request in memory until the next garbage collection.
    """
    return cause.status if isinstance(cause, InvalidRequestError) else HTTPStatus.BAD_REQUEST
