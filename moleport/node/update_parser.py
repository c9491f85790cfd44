"""Parses updates of the endpoint list, long ones in slices between which the event loop serves requests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from moleport.config.endpoints import (
    DiscoveredEndpoint,
    DiscoveryUpdate,
    EndpointListError,
    parse_endpoints,
    parse_update_header,
)
from moleport.node.discovery_watch import WatchConnection

# Number of entries of a discovery update that are parsed in one event loop iteration, in about 1 ms.
SLICE_ENTRY_COUNT = 512


@dataclass(slots=True, eq=False)
class _PartialUpdate:
    """An update whose entries are being parsed; the update is reported once all entries are valid."""

    watch: WatchConnection
    version: int
    is_snapshot: bool
    entries: list[object]
    endpoints: list[DiscoveredEndpoint] = field(default_factory=list)


class UpdateParser:
    """Parses the JSON objects of watches, and keeps the version of the latest valid update of each source."""

    def __init__(
        self,
        on_update: Callable[[WatchConnection, DiscoveryUpdate], None],
        on_invalid: Callable[[WatchConnection, Exception], None],
    ) -> None:
        """Call `on_update` with each valid update and the watch that received it.

        `on_invalid` is called with the watch and the error of each invalid update.
        """
        self._on_update = on_update
        self._on_invalid = on_invalid
        self._partial_update: _PartialUpdate | None = None
        self._loop = asyncio.get_running_loop()

    def parse(self, watch: WatchConnection, text: bytes) -> None:
        """Parse an update in JSON that a watch has received, after the rest of the update before it."""
        try:
            # A discovery update is decoded in one call, because `json` has no incremental decoder;
            # MAX_UPDATE_BYTES limits the time of the call.
            # The entries of the update are parsed in slices later.
            version, is_snapshot, entries = parse_update_header(json.loads(text))
            # A discovery update with an older version than the current one, even a snapshot, is rejected,
            # because it would revert newer changes. If discovery has restarted its version count, the next
            # watch, which requests a snapshot, accepts the update.
            current_version = watch.source.version
            if version < current_version:
                raise EndpointListError(
                    f"update version {version} is older than the current version {current_version}"
                )
        except (ValueError, RecursionError, EndpointListError) as error:
            self._reject(watch, error)
            return
        self._partial_update = _PartialUpdate(watch, version, is_snapshot, entries)
        self._parse_slice()
        if self._partial_update is not None:
            self._loop.call_soon(self._continue, self._partial_update)

    def finish(self, watch: WatchConnection | None = None) -> None:
        """Parse the rest of the current update at once, so that later events are reported after it.

        If `watch` is given, an update of another watch is left to its slices.
        """
        while self._partial_update is not None and watch in (None, self._partial_update.watch):
            self._parse_slice()

    def discard(self) -> None:
        """Discard an update that is not completely parsed."""
        self._partial_update = None

    def _continue(self, update: _PartialUpdate) -> None:
        """Parse one slice of an update in each loop iteration; requests are served between the slices."""
        if update is self._partial_update:
            self._parse_slice()
        if update is self._partial_update:
            self._loop.call_soon(self._continue, update)

    def _parse_slice(self) -> None:
        """Parse the next entries of the current update, and report the update after its last entry."""
        update = self._partial_update
        assert update is not None
        begin = len(update.endpoints)
        try:
            update.endpoints += parse_endpoints(update.entries[begin : begin + SLICE_ENTRY_COUNT])
        except EndpointListError as error:
            self._reject(update.watch, error)
            return
        if len(update.endpoints) == len(update.entries):
            self._partial_update = None
            update.watch.source.version = update.version
            self._on_update(
                update.watch,
                DiscoveryUpdate(update.version, update.is_snapshot, tuple(update.endpoints)),
            )

    def _reject(self, watch: WatchConnection, error: Exception) -> None:
        """Discard an invalid update."""
        self._partial_update = None
        # The changes in a rejected discovery update are unknown, so the next watch requests a snapshot.
        watch.source.version = 0
        self._on_invalid(watch, error)
