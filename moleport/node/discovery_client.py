"""The client of discovery: opens watches of the endpoint list and reports their updates and failures."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple, Protocol

from moleport.config.endpoints import DiscoveryUpdate
from moleport.node import discovery_limits
from moleport.node.discovery_watch import DiscoverySource, WatchConnection, WatchFailure
from moleport.node.error_codes import LOCAL_FAULTS, classify_error
from moleport.node.hold_detector import HoldDetector
from moleport.node.update_parser import UpdateParser
from moleport.policy.interface import DiscoveryMode

log = logging.getLogger(__name__)


class WatchLimits(NamedTuple):
    """The limits of watches that depend on who serves discovery."""

    response_timeout_s: float
    """Time from the opening of a watch until it is overdue without response headers."""
    max_watch_count: int

    @classmethod
    def of_mode(cls, mode: DiscoveryMode) -> WatchLimits:
        """Return the limits of an agent, which pushes lists, or of a shared service, which is polled."""
        if mode is DiscoveryMode.PUSH:
            return cls(discovery_limits.AGENT_RESPONSE_TIMEOUT_S, discovery_limits.AGENT_MAX_WATCH_COUNT)
        return cls(discovery_limits.SHARED_RESPONSE_TIMEOUT_S, discovery_limits.SHARED_MAX_WATCH_COUNT)


class DiscoveryObserver(Protocol):
    """What the client of discovery reports to."""

    def on_update(self, update: DiscoveryUpdate) -> None:
        """Process a valid update."""

    def on_watch_failed(self, failure: WatchFailure) -> None:
        """Process the failure of a watch, after which another one should be opened."""

    def on_data(self) -> None:
        """Process the sign that discovery responds: complete data, which may be an empty line."""


class DiscoveryClient:
    """Opens watches on request, and reports their updates and failures.

    A watch is opened only if all open ones of the current address are overdue. The first of them that
    receives an update replaces all others.
    """

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        observer: DiscoveryObserver,
        hold_detector: HoldDetector,
        limits: WatchLimits,
    ) -> None:
        """Prepare for watches of `address` (host, port); `open_watch` opens one on the running event loop.

        The first watch requests the updates after `version`. The observer's `on_watch_failed` is called when
        a watch becomes overdue, and when one that is not overdue ends without being closed by the client.
        """
        self.response_timeout_s = limits.response_timeout_s
        self.hold_detector = hold_detector
        self._max_watch_count = limits.max_watch_count
        self._source = DiscoverySource(address, version)
        self._parser = UpdateParser(self._on_parsed, self._on_invalid_update)
        self._observer = observer
        self._watches: list[WatchConnection] = []  # open watches, the oldest first
        self._loop = asyncio.get_running_loop()

    def open_watch(self) -> None:
        """Open a watch, unless one that is not overdue is open or being opened at the current address."""
        if any(not watch.is_overdue for watch in self._watches_of(self._source)):
            return
        if len(self._watches) >= self._max_watch_count:
            self._give_up_one()
        watch = WatchConnection(self, self._source)
        self._watches.append(watch)
        watch.connect_task = self._loop.create_task(self._connect(watch))

    def _watches_of(self, source: DiscoverySource) -> list[WatchConnection]:
        """Return the open watches of a source, the oldest first."""
        return [watch for watch in self._watches if watch.source is source]

    def _give_up_one(self) -> None:
        """Close a watch of an earlier address, or else the second oldest, so that another one can be opened.

        The oldest watch stays open, for a discovery that takes longer than the other watches last.
        """
        log.warning("a discovery watch is given up, as %d are open", len(self._watches))
        superseded = (watch for watch in self._watches if watch.source is not self._source)
        self._close_watch(next(superseded, self._watches[1]))

    def change_address(self, address: tuple[str, int]) -> None:
        """Open a watch at another address (host, port), if the address has changed; it requests a snapshot.

        The oldest watch of the earlier address stays open until the new address has sent its list: it may
        deliver before a slow new one does. Its end is not reported.
        """
        if address == self._source.address:
            return
        self._parser.finish()
        for watch in self._watches_of(self._source)[1:]:
            self._close_watch(watch)
        self._source = DiscoverySource(address, version=0)
        self.open_watch()

    def close(self) -> None:
        """Close all watches without reporting it, and discard an update that is not completely parsed."""
        self._parser.discard()
        for watch in tuple(self._watches):
            self._close_watch(watch)

    def _close_watch(self, watch: WatchConnection) -> None:
        self._watches.remove(watch)
        watch.close()

    async def _connect(self, watch: WatchConnection) -> None:
        """Connect a watch to discovery; the watch ends if connecting fails."""
        try:
            await self._loop.create_connection(lambda: watch, *watch.source.address)
        except OSError as error:
            is_local_fault = classify_error(error) in LOCAL_FAULTS
            watch.connect_task = None
            self.on_ended(
                watch,
                WatchFailure.LOCAL_FAULT if is_local_fault else WatchFailure.NOT_CONNECTED,
                f"connecting to discovery at {watch.source.address} failed: {error!r}",
            )

    # Methods of `WatchOwner`, which the watches call.

    def is_open(self, watch: WatchConnection) -> bool:
        """Return whether a watch has not been closed."""
        return watch in self._watches

    def on_json_object(self, watch: WatchConnection, text: bytes) -> None:
        """Parse a JSON object that a watch has received; the watch ends if it is not a valid update."""
        if self.is_open(watch):
            self._parser.finish()
        if self.is_open(watch):
            self._parser.parse(watch, text)

    def on_response_headers(self, watch: WatchConnection) -> None:
        """Close an overdue watch, one of an earlier address, or else `watch`, if too many receive updates."""
        if watch.is_overdue:
            log.info("discovery has responded on an overdue watch, after %.1f s", watch.age_s())
        receiving = [other for other in self._watches if other is not watch and other.is_receiving()]
        if len(receiving) >= discovery_limits.MAX_RECEIVING_WATCH_COUNT:
            dispensable = (
                other for other in receiving if other.is_overdue or other.source is not self._source
            )
            self._close_watch(next(dispensable, watch))

    def on_data(self, watch: WatchConnection, has_update: bool) -> None:
        """Report that discovery responds, and close the watches that are not needed beside this one."""
        if not self.is_open(watch):
            return
        for other in tuple(self._watches):
            if other is not watch and self._is_replaced(other, watch, has_update):
                self._close_watch(other)
        if watch.source is self._source:
            self._observer.on_data()

    def _is_replaced(self, other: WatchConnection, watch: WatchConnection, has_update: bool) -> bool:
        """Return whether complete data of `watch`, an update or an empty line, makes another watch needless.

        An empty line, which a watch may begin with, replaces neither a watch that has a part of an update nor
        those of an earlier address.
        """
        if other.source is not watch.source:
            return has_update and watch.source is self._source
        return has_update or not other.has_partial_update()

    def on_overdue(self, watch: WatchConnection, failure: WatchFailure, reason: str) -> None:
        """Log and report the failure of a watch that stays open."""
        log.warning("discovery watch is overdue and stays open: %s", reason)
        if watch.source is self._source:
            self._observer.on_watch_failed(failure)

    def on_ended(self, watch: WatchConnection, failure: WatchFailure, reason: str) -> None:
        """Log the end of a watch, and report it after the update that the watch has received last.

        The failure of an overdue watch has been reported before, that of an earlier address is expected.
        """
        if not self.is_open(watch):
            return
        try:
            self._parser.finish(watch)
        finally:
            if self.is_open(watch):
                self._close_watch(watch)
                log.warning("discovery watch ended: %s", reason)
                if watch.source is self._source and not watch.is_overdue:
                    self._observer.on_watch_failed(failure)

    # Callbacks of the parser of updates.

    def _on_parsed(self, _: WatchConnection, update: DiscoveryUpdate) -> None:
        self._observer.on_update(update)

    def _on_invalid_update(self, watch: WatchConnection, error: Exception) -> None:
        """End all watches of the source: the others, opened before the update, request no snapshot."""
        for other in self._watches_of(watch.source):
            if other is not watch:
                self._close_watch(other)
        self.on_ended(watch, WatchFailure.ENDED_BY_DISCOVERY, f"invalid endpoint list update: {error}")
