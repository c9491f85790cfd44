"""The discovery watch: a long-lived HTTP response in which discovery sends updates of the endpoint list."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import cast

import httptools

from moleport.config.endpoints import (
    DiscoveredEndpoint,
    DiscoveryUpdate,
    EndpointListError,
    parse_endpoints,
    parse_update_header,
)
from moleport.node.error_codes import LOCAL_FAULTS, classify_error
from moleport.node.hold_detector import MIN_HOLD_NS, HoldDetector
from moleport.node.json_stream import JsonObjectSplitter

log = logging.getLogger(__name__)

# AGENT_RESPONSE_TIMEOUT_S and SHARED_RESPONSE_TIMEOUT_S limit the time from the opening of a discovery watch
# to the headers of discovery's response. A discovery agent on the same machine responds at once. A discovery
# service that all nodes share queues their requests, so its timeout is longer.
AGENT_RESPONSE_TIMEOUT_S = 0.5
SHARED_RESPONSE_TIMEOUT_S = 2.5
# Further time for the response headers of a discovery watch, if the node was held while it waited for them.
HOLD_EXTENSION_S = 0.5
# Discovery sends an empty line as soon as a watch opens, and then at least every 2 s.
# White space between two JSON objects, such as an empty line, counts as data of the watch.
FIRST_DATA_TIMEOUT_S = 2.5  # limit on the time from the opening of a discovery watch to its first data
DATA_TIMEOUT_S = 3.0  # limit on the time between two receptions of data on a discovery watch
MAX_UPDATE_BYTES = 4 << 20  # limit on the size of a discovery update; a longer update ends the watch
# Number of entries of a discovery update that are parsed in one event loop iteration, in about 1 ms.
SLICE_ENTRY_COUNT = 512


class WatchEnd(Enum):
    """What ended a discovery watch."""

    LOCAL_FAULT = auto()
    """The watch could not connect, through a fault of the node's own machine."""
    NOT_CONNECTED = auto()
    """The watch could not connect to discovery."""
    NO_RESPONSE = auto()
    """Discovery sent no response headers in time."""
    SILENT = auto()
    """Discovery sent response headers, and then no complete data in time."""
    ENDED_BY_DISCOVERY = auto()
    """Discovery closed the watch, refused it or sent something other than valid updates."""


@dataclass(slots=True, eq=False)
class _PartialUpdate:
    """An update whose entries are being parsed; the update is reported once all entries are valid."""

    watch: WatchConnection
    version: int
    is_snapshot: bool
    entries: list[object]
    endpoints: list[DiscoveredEndpoint] = field(default_factory=list)


class DiscoveryClient:
    """Opens a watch on request, at most one at a time, and reports the end of each watch once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_update: Callable[[DiscoveryUpdate], None],
        on_failed: Callable[[WatchEnd], None],
        hold_detector: HoldDetector,
        response_timeout_s: float = AGENT_RESPONSE_TIMEOUT_S,
    ) -> None:
        """Prepare for a watch of `address` (host, port); `open_watch` opens it on the running event loop.

        The first watch requests the updates after `version`. `on_update` is called with each valid update,
        `on_failed` once for each watch that ends in another way than by `close` or `change_address`. Its
        argument tells what ended the watch.
        """
        self.response_timeout_s = response_timeout_s
        self.hold_detector = hold_detector
        self._address = address
        self._version = version
        self._on_update = on_update
        self._on_failed = on_failed
        self._watch: WatchConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._partial_update: _PartialUpdate | None = None
        self._loop = asyncio.get_running_loop()

    def open_watch(self) -> None:
        """Open a watch, unless one is open or being opened."""
        if self._watch is not None:
            return
        self._watch = WatchConnection(self)
        self._connect_task = self._loop.create_task(self._open(self._watch))

    def change_address(self, address: tuple[str, int]) -> None:
        """Close the watch and open one at another address (host, port), if the address has changed.

        The end of the old watch is not reported. Version numbers are specific to an address, so the new
        watch requests a snapshot.
        """
        if address == self._address:
            return
        self.finish_parsing()
        self._address = address
        self._version = 0
        self.close()
        self.open_watch()

    def close(self) -> None:
        """Close the watch without reporting its end, and discard an update that is not completely parsed."""
        watch = self._watch
        self._watch = None
        self._partial_update = None
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if watch is not None:
            watch.close()

    def watch_request(self) -> bytes:
        """Return the HTTP request that opens a watch."""
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self._version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _open(self, watch: WatchConnection) -> None:
        """Connect a watch to discovery; the watch ends if connecting fails."""
        try:
            await self._loop.create_connection(lambda: watch, *self._address)
        except OSError as error:
            is_local_fault = classify_error(error) in LOCAL_FAULTS
            self.on_watch_ended(
                watch,
                WatchEnd.LOCAL_FAULT if is_local_fault else WatchEnd.NOT_CONNECTED,
                f"connecting to discovery at {self._address} failed: {error!r}",
            )

    def is_current(self, watch: WatchConnection) -> bool:
        """Return whether a watch has been neither closed nor replaced."""
        return watch is self._watch

    # Methods that process the updates of the endpoint list that a watch receives.

    def on_json_object(self, watch: WatchConnection, text: bytes) -> None:
        """Parse a JSON object that a watch has received; the watch ends if it is not a valid update."""
        self.finish_parsing()
        if watch is not self._watch:
            return
        try:
            # A discovery update is decoded in one call, because `json` has no incremental decoder;
            # MAX_UPDATE_BYTES limits the time of the call.
            # The entries of the update are parsed in slices later.
            version, is_snapshot, entries = parse_update_header(json.loads(text))
            # A discovery update with an older version than the current one, even a snapshot, is rejected,
            # because it would revert newer changes. If discovery has restarted its version count, the next
            # watch, which requests a snapshot, accepts the update.
            if version < self._version:
                raise EndpointListError(
                    f"update version {version} is older than the current version {self._version}"
                )
        except (ValueError, RecursionError, EndpointListError) as error:
            self._reject_update(watch, error)
            return
        self._partial_update = _PartialUpdate(watch, version, is_snapshot, entries)
        self._parse_slice()
        if self._partial_update is not None:
            self._loop.call_soon(self._continue_parsing, self._partial_update)

    def _continue_parsing(self, update: _PartialUpdate) -> None:
        """Parse one slice of an update in each loop iteration; requests are served between the slices."""
        if update is self._partial_update:
            self._parse_slice()
        if update is self._partial_update:
            self._loop.call_soon(self._continue_parsing, update)

    def finish_parsing(self) -> None:
        """Parse the rest of the current update at once, so that later events are reported after it."""
        while self._partial_update is not None:
            self._parse_slice()

    def _parse_slice(self) -> None:
        """Parse the next entries of the current update, and report the update after its last entry."""
        update = self._partial_update
        assert update is not None
        begin = len(update.endpoints)
        try:
            update.endpoints += parse_endpoints(update.entries[begin : begin + SLICE_ENTRY_COUNT])
        except EndpointListError as error:
            self._reject_update(update.watch, error)
            return
        if len(update.endpoints) == len(update.entries):
            self._partial_update = None
            self._version = update.version
            self._on_update(DiscoveryUpdate(update.version, update.is_snapshot, tuple(update.endpoints)))

    def _reject_update(self, watch: WatchConnection, error: Exception) -> None:
        """Discard an invalid update, and end its watch."""
        self._partial_update = None
        # The changes in a rejected discovery update are unknown, so the next watch requests a snapshot.
        self._version = 0
        self.on_watch_ended(watch, WatchEnd.ENDED_BY_DISCOVERY, f"invalid endpoint list update: {error}")

    def on_watch_ended(self, watch: WatchConnection, watch_end: WatchEnd, reason: str) -> None:
        """Log and report the end of the current watch; calls for any other watch are ignored."""
        if watch is not self._watch:
            return
        self.close()
        log.warning("discovery watch ended: %s", reason)
        self._on_failed(watch_end)


class WatchConnection(asyncio.Protocol):
    """The connection of one watch, which splits the body of the response into JSON objects."""

    def __init__(self, owner: DiscoveryClient) -> None:
        """Start the timeout for the response headers of the watch."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        # Parser of discovery's response to the watch; None unless the connection is open.
        self._parser: httptools.HttpResponseParser | None = None
        self._splitter = JsonObjectSplitter()
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()
        self._hold_at_opening_ns = owner.hold_detector.total_hold_ns()
        self._timeout = self._loop.call_at(
            self._opened_at + owner.response_timeout_s, self._on_response_timeout
        )

    def close(self) -> None:
        """Close the connection of the watch without reporting the end of the watch."""
        self._timeout.cancel()
        # The watch drops its HTTP parser, which refers to the watch, to break the reference cycle.
        self._parser = None
        if self._transport is not None:
            self._transport.abort()

    def _end_watch(self, watch_end: WatchEnd, reason: str) -> None:
        """Finish parsing the current update, report the end of the watch, and close the connection."""
        if self._owner.is_current(self):
            try:
                self._owner.finish_parsing()
            finally:
                self._owner.on_watch_ended(self, watch_end, reason)
        self.close()

    def _on_response_timeout(self) -> None:
        """End the watch, which has no response headers, or extend its timeout once after a hold.

        In a hold, the node neither finished connecting nor read a response that had arrived.
        """
        hold_ns = self._owner.hold_detector.total_hold_ns() - self._hold_at_opening_ns
        if hold_ns < MIN_HOLD_NS:
            self._end_without_response()
        else:
            self._timeout = self._loop.call_later(HOLD_EXTENSION_S, self._end_without_response)

    def _end_without_response(self) -> None:
        self._end_watch(WatchEnd.NO_RESPONSE, "no response headers from discovery in time")

    def _set_data_deadline(self, deadline: float) -> None:
        """End the watch at `deadline`, in seconds of the loop's clock, unless a later call replaces it.

        Discovery may fail without closing the connection. Data that completes a JSON object, or that ends
        between two objects, extends the deadline.
        """
        self._timeout.cancel()
        if self._owner.is_current(self):
            self._timeout = self._loop.call_at(
                deadline, self._end_watch, WatchEnd.SILENT, "no data from discovery in time"
            )

    # Methods of `asyncio.Protocol`, which the event loop calls for the connection of a watch.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the watch request, or abort the connection if the watch was closed while connecting."""
        # The transport of the watch's connection to discovery is cast, because isinstance would fail:
        # uvloop's transport class does not inherit from asyncio.Transport.
        self._transport = transport = cast(asyncio.Transport, transport)
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.watch_request())
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
            self._end_watch(WatchEnd.ENDED_BY_DISCOVERY, f"malformed HTTP response from discovery: {error!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the watch, because its connection was closed."""
        self._timeout.cancel()
        self._end_watch(WatchEnd.ENDED_BY_DISCOVERY, f"connection to discovery closed: {exc!r}")

    # Callbacks of the HTTP parser (httptools) for discovery's response to a watch.

    def on_headers_complete(self) -> None:
        """Check the response status and start the timeout for first data; skip interim (1xx) responses."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status == 200:
            self._set_data_deadline(self._opened_at + FIRST_DATA_TIMEOUT_S)
        elif status >= 200:
            self._end_watch(
                WatchEnd.ENDED_BY_DISCOVERY, f"discovery responded with status {status}, expected 200"
            )

    def on_body(self, data: bytes) -> None:
        """Pass the JSON objects that `data` completes to the owner, and extend the deadline for data."""
        objects = self._splitter.feed(data)
        for text in objects:
            self._owner.on_json_object(self, text)
        if objects or self._splitter.is_between_objects():
            self._set_data_deadline(self._loop.time() + DATA_TIMEOUT_S)
        if self._splitter.buffered_bytes() > MAX_UPDATE_BYTES:
            self._end_watch(
                WatchEnd.ENDED_BY_DISCOVERY, f"endpoint list update exceeds {MAX_UPDATE_BYTES} bytes"
            )

    def on_message_complete(self) -> None:
        """End the watch; discovery ends the response only when it ends the watch."""
        self._end_watch(WatchEnd.ENDED_BY_DISCOVERY, "discovery ended the response to the watch")
