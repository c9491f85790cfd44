"""The watch of discovery: one connection at a time, on which updates of the endpoint list arrive."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from moleport.config.endpoints import (
    DiscoveredEndpoint,
    DiscoveryUpdate,
    EndpointListError,
    parse_endpoints,
    parse_update_header,
)
from moleport.node.json_stream import JsonObjectSplitter

log = logging.getLogger(__name__)

# From the opening of a watch to its response headers: an agent on the same machine, which responds at once;
# a discovery service that all nodes share, where calls are queued.
AGENT_RESPONSE_TIMEOUT_S = 0.5
SHARED_RESPONSE_TIMEOUT_S = 2.5
# Discovery sends an empty line at once, and then at least every 2 s. White space between two JSON objects,
# as an empty line is, counts as data.
FIRST_DATA_TIMEOUT_S = 2.5
DATA_TIMEOUT_S = 3.0
MAX_UPDATE_BYTES = 4 << 20
SLICE_ENTRY_COUNT = 512  # entries of an update that are parsed in one loop iteration, in about 1 ms


@dataclass(slots=True, eq=False)
class _PartialUpdate:
    """An update whose entries are being parsed; reported once all of them are valid."""

    watch: WatchConnection
    version: int
    is_snapshot: bool
    entries: list[object]
    endpoints: list[DiscoveredEndpoint] = field(default_factory=list)


class DiscoveryClient:
    """Holds at most one watch, opened on request; reports each watch that ends once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_update: Callable[[DiscoveryUpdate], None],
        on_failed: Callable[[], None],
        response_timeout_s: float = AGENT_RESPONSE_TIMEOUT_S,
    ) -> None:
        """Ask for the updates after `version`; use the running event loop."""
        self.response_timeout_s = response_timeout_s
        self._address = address
        self._version = version
        self._on_update = on_update
        self._on_failed = on_failed
        self._watch: WatchConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._partial_update: _PartialUpdate | None = None
        self._loop = asyncio.get_running_loop()

    def watch(self) -> None:
        """Open a watch, unless one is open or being opened."""
        if self._watch is not None:
            return
        self._watch = WatchConnection(self)
        self._opening = self._loop.create_task(self._open(self._watch))

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on.

        The end of the old watch is not reported. Version numbers belong to one address, so the new watch
        asks for a snapshot.
        """
        if address == self._address:
            return
        self.finish_parsing()
        self._address = address
        self._version = 0
        self.close()
        self.watch()

    def close(self) -> None:
        """Close the watch without a report, and drop an update that is not parsed completely."""
        watch = self._watch
        self._watch = None
        self._partial_update = None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if watch is not None:
            watch.close()

    def watch_request(self) -> bytes:
        """Return the HTTP request that opens a watch."""
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self._version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _open(self, watch: WatchConnection) -> None:
        try:
            await self._loop.create_connection(lambda: watch, *self._address)
        except OSError as error:
            self.on_watch_ended(watch, f"no connection: {error!r}")

    def is_current(self, watch: WatchConnection) -> bool:
        """Whether a watch has been neither closed nor replaced."""
        return watch is self._watch

    # Updates.

    def on_object(self, watch: WatchConnection, text: bytes) -> None:
        """Parse a JSON object that a watch has received; the watch ends if it is no valid update."""
        self.finish_parsing()
        if watch is not self._watch:
            return
        try:
            # Decoded in one call, unlike the entries, as `json` has no incremental decoder.
            # `MAX_UPDATE_BYTES` bounds the time that it takes.
            version, is_snapshot, entries = parse_update_header(json.loads(text))
            # An older update, even a snapshot, would revert what is known. If discovery has restarted its
            # count, the next watch shows it, as that asks for a snapshot.
            if version < self._version:
                raise EndpointListError(f"version {version} after {self._version}")
        except (ValueError, RecursionError, EndpointListError) as error:
            self._reject_update(watch, error)
            return
        self._partial_update = _PartialUpdate(watch, version, is_snapshot, entries)
        self._parse_slice()
        if self._partial_update is not None:
            self._loop.call_soon(self._continue_parsing, self._partial_update)

    def _continue_parsing(self, update: _PartialUpdate) -> None:
        """Parse one slice in each loop iteration, so that requests are served in between."""
        if update is self._partial_update:
            self._parse_slice()
        if update is self._partial_update:
            self._loop.call_soon(self._continue_parsing, update)

    def finish_parsing(self) -> None:
        """Parse the rest of the current update, so that it is reported ahead of what happens next."""
        while self._partial_update is not None:
            self._parse_slice()

    def _parse_slice(self) -> None:
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
        self._partial_update = None
        self._version = 0  # the content of the rejected update is unknown: ask for a snapshot
        self.on_watch_ended(watch, f"bad update: {error}")

    def on_watch_ended(self, watch: WatchConnection, reason: str) -> None:
        """Report the end of the current watch; further reports on the same one are ignored."""
        if watch is not self._watch:
            return
        self.close()
        log.warning("watch ended: %s", reason)
        self._on_failed()


class WatchConnection(asyncio.Protocol):
    """The connection of one watch, which turns the bytes of the response into JSON objects."""

    def __init__(self, owner: DiscoveryClient) -> None:
        """Start the timeout for the response headers."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None  # while the connection is open
        self._splitter = JsonObjectSplitter()
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()
        self._timeout = self._loop.call_at(
            self._opened_at + owner.response_timeout_s, self._fail, "no response"
        )

    def close(self) -> None:
        """Close the connection without a report."""
        self._timeout.cancel()
        self._parser = None  # breaks the reference cycle between the two
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        if self._owner.is_current(self):
            try:
                self._owner.finish_parsing()
            finally:
                self._owner.on_watch_ended(self, reason)
        self.close()

    def _expect_data_by(self, deadline: float) -> None:
        """Let the watch fail at a time of the loop's clock, in s, unless this is called again before.

        A connection may die without notice. Data counts if it completes an object or ends between
        two objects.
        """
        self._timeout.cancel()
        if self._owner.is_current(self):
            self._timeout = self._loop.call_at(deadline, self._fail, "silence")

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the watch was closed while it was being opened."""
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.watch_request())
        else:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser; malformed HTTP ends the watch."""
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"malformed response: {error!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the watch."""
        self._timeout.cancel()
        self._fail(f"connection ended: {exc!r}")

    # Called by the HTTP parser.

    def on_headers_complete(self) -> None:
        """Check the status; interim responses (1xx) are skipped."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status == 200:
            self._expect_data_by(self._opened_at + FIRST_DATA_TIMEOUT_S)
        elif status >= 200:
            self._fail(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Pass on the JSON objects that the data completes."""
        objects = self._splitter.feed(data)
        for text in objects:
            self._owner.on_object(self, text)
        if objects or self._splitter.is_between_objects():
            self._expect_data_by(self._loop.time() + DATA_TIMEOUT_S)
        if self._splitter.buffered_bytes() > MAX_UPDATE_BYTES:
            self._fail(f"an update longer than {MAX_UPDATE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Report the end of the watch, as its response has no end of its own."""
        self._fail("response ended")
