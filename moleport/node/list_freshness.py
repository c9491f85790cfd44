"""Reports when the endpoint list may be outdated because discovery has sent nothing for too long.

A watch receives data at least every 2 s, even if nothing changes. Without data, the node continues with the
list that it has, so servers that have begun to drain meanwhile still get requests.
"""

from __future__ import annotations

import asyncio
import logging

from moleport.node import discovery_limits
from moleport.telemetry import Event, Telemetry

log = logging.getLogger(__name__)


class ListFreshness:
    """Logs and counts when the endpoint list becomes outdated, and when it is current again."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Prepare the check; `start` begins it on the running event loop."""
        self._telemetry = telemetry
        self._loop = asyncio.get_running_loop()
        self._heard_at = 0.0  # loop time in s at which discovery last sent data, or at which the node started
        self._outdated_at = 0.0  # loop time in s at which the list is outdated unless discovery sends data
        self._is_outdated = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Expect the first data within the time that discovery has for a change."""
        self.on_data()

    def on_data(self) -> None:
        """Record that discovery has sent data on a watch: an update, or the sign that nothing has changed."""
        if self._is_outdated:
            self._is_outdated = False
            self._telemetry.count(Event.ENDPOINT_LIST_CURRENT)
            log.info("discovery responds again after %.1f s, the endpoint list is current", self._age_s())
        self._heard_at = self._loop.time()
        self._outdated_at = self._heard_at + discovery_limits.NOTIFICATION_LIMIT_S
        if self._timer is None:
            self._timer = self._loop.call_at(self._outdated_at, self._check)

    def on_address_changed(self) -> None:
        """Expect data from the new address within the time that a reload has."""
        due_at = self._loop.time() + discovery_limits.RELOAD_NOTIFICATION_LIMIT_S
        self._outdated_at = min(self._outdated_at, due_at)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._loop.call_at(self._outdated_at, self._check)

    def _age_s(self) -> float:
        return self._loop.time() - self._heard_at

    def _check(self) -> None:
        """Report that the list is outdated, or check again when it may be."""
        self._timer = None
        if self._loop.time() < self._outdated_at:
            self._timer = self._loop.call_at(self._outdated_at, self._check)
            return
        self._is_outdated = True
        self._telemetry.count(Event.ENDPOINT_LIST_OUTDATED, age_s=round(self._age_s(), 1))
        log.warning("discovery has sent nothing for %.1f s, the endpoint list may be outdated", self._age_s())
