"""The discovery watch: a long-lived HTTP response in which discovery sends updates of the endpoint list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol, cast

import httptools

from moleport.node import discovery_limits
from moleport.node.hold_detector import MIN_HOLD_NS, HoldDetector
from moleport.node.json_stream import JsonObjectSplitter

MAX_UPDATE_BYTES = 4 << 20  # limit on the size of a discovery update; a longer update ends the watch


class WatchFailure(Enum):
    """Why a discovery watch has failed; an overdue watch may still deliver updates."""

    LOCAL_FAULT = auto()
    """The watch could not connect, through a fault of the node's own machine."""
    NOT_CONNECTED = auto()
    """The watch could not connect to discovery."""
    NO_RESPONSE = auto()
    """Discovery sent no response headers in time; the watch is overdue."""
    SILENT = auto()
    """Discovery sent response headers, and then no complete data in time; the watch may be overdue."""
    ENDED_BY_DISCOVERY = auto()
    """Discovery closed the watch, rejected it or sent something other than valid updates."""


@dataclass(slots=True, eq=False)
class DiscoverySource:
    """An address of discovery between two reloads; version numbers are specific to it."""

    address: tuple[str, int]
    """Host and port."""
    version: int
    """Version of the latest valid update; 0: none is known, so the next watch requests a snapshot."""

    def watch_request(self) -> bytes:
        """Return the HTTP request that opens a watch."""
        host, port = self.address
        target = f"/discovery/hosts?watch=1&from={self.version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()


class WatchOwner(Protocol):
    """What a watch needs of the client that opened it."""

    hold_detector: HoldDetector
    response_timeout_s: float
    """Limit on the time from the opening of the watch to the headers of discovery's response."""

    def is_open(self, watch: WatchConnection) -> bool:
        """Return whether a watch has not been closed."""

    def on_json_object(self, watch: WatchConnection, text: bytes) -> None:
        """Process a JSON object that a watch has received."""

    def on_response_headers(self, watch: WatchConnection) -> None:
        """Process the start of a response; it may close the watch."""

    def on_data(self, watch: WatchConnection, has_update: bool) -> None:
        """Process complete data of a watch, which is an update or an empty line."""

    def on_overdue(self, watch: WatchConnection, failure: WatchFailure, reason: str) -> None:
        """Process the failure of a watch that stays open."""

    def on_ended(self, watch: WatchConnection, failure: WatchFailure, reason: str) -> None:
        """Process the end of a watch."""


class WatchConnection(asyncio.Protocol):
    """The connection of one watch, which splits the body of the response into JSON objects.

    Discovery may fail without closing the connection, or may only be slow. A watch without its first data in
    time, or whose data does not complete an update in time, is therefore overdue: its failure is reported,
    and it stays open. A watch that falls silent between two updates ends, as it may have missed changes.
    """

    def __init__(self, owner: WatchOwner, source: DiscoverySource) -> None:
        """Start the timeout for the response headers of the watch."""
        self.source = source
        self.is_overdue = False
        self._has_response_headers = False
        self.connect_task: asyncio.Task[None] | None = None
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        # Parser of discovery's response to the watch; None unless the connection is open.
        self._parser: httptools.HttpResponseParser | None = None
        self._splitter = JsonObjectSplitter()
        self._has_received_data = False  # whether any data was complete
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()
        self._hold_at_opening_ns = owner.hold_detector.total_hold_ns()
        self._timeout = self._loop.call_at(
            self._opened_at + owner.response_timeout_s, self._on_response_timeout
        )

    def close(self) -> None:
        """Close the connection of the watch without reporting the end of the watch."""
        self._timeout.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        # The watch drops its HTTP parser, which refers to the watch, to break the reference cycle.
        self._parser = None
        if self._transport is not None:
            self._transport.abort()

    def _end_watch(self, failure: WatchFailure, reason: str) -> None:
        """Report the end of the watch, and close the connection."""
        self._owner.on_ended(self, failure, reason)
        self.close()

    def _on_response_timeout(self) -> None:
        """Report that the watch has no response headers, or extend its timeout once after a hold.

        In a hold, the node neither finished connecting nor read a response that had arrived.
        """
        hold_ns = self._owner.hold_detector.total_hold_ns() - self._hold_at_opening_ns
        if hold_ns < MIN_HOLD_NS:
            self._on_no_response()
        else:
            self._timeout = self._loop.call_later(discovery_limits.HOLD_EXTENSION_S, self._on_no_response)

    def _on_no_response(self) -> None:
        self._become_overdue(WatchFailure.NO_RESPONSE, "no response headers from discovery in time")

    def _become_overdue(self, failure: WatchFailure, reason: str) -> None:
        """Report the failure, and wait for discovery for a longer time."""
        self.is_overdue = True
        self._timeout = self._loop.call_later(
            discovery_limits.OVERDUE_PATIENCE_S, self._end_watch, failure, "overdue for too long"
        )
        self._owner.on_overdue(self, failure, reason)

    def _set_data_deadline(self, deadline: float) -> None:
        """Expect data until `deadline`, in seconds of the loop's clock, unless a later call replaces it.

        Data that completes a JSON object, or that ends between two objects, extends the deadline.
        """
        self._timeout.cancel()
        if self._owner.is_open(self):
            self._timeout = self._loop.call_at(deadline, self._on_data_timeout)

    def _on_data_timeout(self) -> None:
        """Let a watch be overdue whose first data, or whose present update, may still arrive; end another."""
        reason = "no complete data from discovery in time"
        if self.is_receiving():
            self._become_overdue(WatchFailure.SILENT, reason)
        else:
            self._end_watch(WatchFailure.SILENT, reason)

    def is_receiving(self) -> bool:
        """Return whether a response has begun whose first data, or whose present update, is incomplete."""
        return self._has_response_headers and (not self._has_received_data or self.has_partial_update())

    def age_s(self) -> float:
        """Return the time since the opening of the watch in s."""
        return self._loop.time() - self._opened_at

    def has_partial_update(self) -> bool:
        """Return whether a part of an update has arrived, and not the rest."""
        return not self._splitter.is_between_objects()

    # Methods of `asyncio.Protocol`, which the event loop calls for the connection of a watch.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the watch request, or abort the connection if the watch was closed while connecting."""
        # The transport of the watch's connection to discovery is cast, because isinstance would fail:
        # uvloop's transport class does not inherit from asyncio.Transport.
        self._transport = transport = cast(asyncio.Transport, transport)
        if self._owner.is_open(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self.source.watch_request())
        else:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass data to the HTTP parser; malformed HTTP ends the watch."""
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end_watch(
                WatchFailure.ENDED_BY_DISCOVERY, f"malformed HTTP response from discovery: {error!r}"
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the watch, because its connection was closed."""
        self._timeout.cancel()
        self._end_watch(WatchFailure.ENDED_BY_DISCOVERY, f"connection to discovery closed: {exc!r}")

    # Callbacks of the HTTP parser (httptools) for discovery's response to a watch.

    def on_headers_complete(self) -> None:
        """Check the response status and start the timeout for first data; skip interim (1xx) responses."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status == 200:
            self._on_response_headers()
        elif status >= 200:
            self._end_watch(
                WatchFailure.ENDED_BY_DISCOVERY, f"discovery responded with status {status}, expected 200"
            )

    def _on_response_headers(self) -> None:
        """Start the timeout for first data; that of an overdue watch starts now."""
        self._has_response_headers = True
        self._owner.on_response_headers(self)
        first_data_timeout_s = discovery_limits.FIRST_DATA_TIMEOUT_S
        began_at = self._loop.time() if self.is_overdue else self._opened_at
        self.is_overdue = False
        self._set_data_deadline(began_at + first_data_timeout_s)

    def on_body(self, data: bytes) -> None:
        """Pass the JSON objects that `data` completes to the owner, and extend the deadline for data."""
        objects = self._splitter.feed(data)
        if objects or self._splitter.is_between_objects():
            self.is_overdue = False
            self._has_received_data = True
        for text in objects:
            self._owner.on_json_object(self, text)
        if objects or self._splitter.is_between_objects():
            self._set_data_deadline(self._loop.time() + discovery_limits.DATA_TIMEOUT_S)
            self._owner.on_data(self, has_update=bool(objects))
        if self._splitter.buffered_bytes() > MAX_UPDATE_BYTES:
            self._end_watch(
                WatchFailure.ENDED_BY_DISCOVERY, f"endpoint list update exceeds {MAX_UPDATE_BYTES} bytes"
            )

    def on_message_complete(self) -> None:
        """End the watch; discovery ends the response only when it ends the watch."""
        self._end_watch(WatchFailure.ENDED_BY_DISCOVERY, "discovery ended the response to the watch")
