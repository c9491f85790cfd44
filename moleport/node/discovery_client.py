"""The client of discovery: opens watches of the endpoint list and reports their updates and failures."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from moleport.config.endpoints import DiscoveryUpdate
from moleport.node.discovery_limits import AGENT_RESPONSE_TIMEOUT_S
from moleport.node.discovery_watch import WatchConnection, WatchEnd
from moleport.node.error_codes import LOCAL_FAULTS, classify_error
from moleport.node.hold_detector import HoldDetector
from moleport.node.update_parser import UpdateParser

log = logging.getLogger(__name__)


class DiscoveryObserver(Protocol):
    """What the client of discovery reports to."""

    def on_update(self, update: DiscoveryUpdate) -> None:
        """Process a valid update."""

    def on_watch_failed(self, watch_end: WatchEnd) -> None:
        """Process the end of a watch that the client did not close itself."""

    def on_data(self) -> None:
        """Process the sign that discovery responds: complete data, which may be an empty line."""


class DiscoveryClient:
    """Opens a watch on request, at most one at a time, and reports the end of each watch once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        observer: DiscoveryObserver,
        hold_detector: HoldDetector,
        response_timeout_s: float = AGENT_RESPONSE_TIMEOUT_S,
    ) -> None:
        """Prepare for a watch of `address` (host, port); `open_watch` opens it on the running event loop.

        The first watch requests the updates after `version`. The observer's `on_watch_failed` is called once
        for each watch that ends in another way than by `close` or `change_address`.
        """
        self.response_timeout_s = response_timeout_s
        self.hold_detector = hold_detector
        self._address = address
        self._parser = UpdateParser(version, self._on_parsed, self._on_invalid_update)
        self._observer = observer
        self._watch: WatchConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
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
        self._parser.finish()
        self._address = address
        self._parser.version = 0
        self.close()
        self.open_watch()

    def close(self) -> None:
        """Close the watch without reporting its end, and discard an update that is not completely parsed."""
        watch = self._watch
        self._watch = None
        self._parser.discard()
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if watch is not None:
            watch.close()

    def watch_request(self) -> bytes:
        """Return the HTTP request that opens a watch."""
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self._parser.version}"
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

    def on_data(self, watch: WatchConnection) -> None:
        """Report that a watch has received complete data."""
        if self.is_current(watch):
            self._observer.on_data()

    def on_json_object(self, watch: WatchConnection, text: bytes) -> None:
        """Parse a JSON object that a watch has received; the watch ends if it is not a valid update."""
        self._parser.finish()
        if watch is self._watch:
            self._parser.parse(watch, text)

    def finish_parsing(self) -> None:
        """Parse the rest of the current update at once, so that later events are reported after it."""
        self._parser.finish()

    def _on_parsed(self, _: WatchConnection, update: DiscoveryUpdate) -> None:
        self._observer.on_update(update)

    def _on_invalid_update(self, watch: WatchConnection, error: Exception) -> None:
        self.on_watch_ended(watch, WatchEnd.ENDED_BY_DISCOVERY, f"invalid endpoint list update: {error}")

    def on_watch_ended(self, watch: WatchConnection, watch_end: WatchEnd, reason: str) -> None:
        """Log and report the end of the current watch; calls for any other watch are ignored."""
        if watch is not self._watch:
            return
        self.close()
        log.warning("discovery watch ended: %s", reason)
        self._observer.on_watch_failed(watch_end)
