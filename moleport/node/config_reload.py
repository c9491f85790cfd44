"""Reads the configuration again at SIGHUP, with backoff until a half-written file can be read."""

from __future__ import annotations

import asyncio
import logging
import os

from moleport.config.node_config import ConfigError, reload
from moleport.node.dispatcher import Dispatcher
from moleport.telemetry import Event

log = logging.getLogger("moleport")

BACKOFF_SECONDS = 0.02  # after the first failure; doubles with each failure in a row
MAX_BACKOFF_SECONDS = 0.2
GIVE_UP_AFTER_SECONDS = 3.0  # what the new agent knows counts as notified 4 s after the signal


class ConfigReloader:
    """Reloads the configuration at SIGHUP.

    Whatever is wrong with the file, the node serves on with its present configuration. A file that can't be
    used may be half written, so it is read again for a limited time.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create a reloader that passes new configurations to the dispatcher."""
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        """Read the configuration; a signal during the retries of an earlier one starts them anew."""
        if self._retry is not None:
            self._retry.cancel()
        self._attempt_reload(0, self._loop.time() + GIVE_UP_AFTER_SECONDS)

    def _attempt_reload(self, failed_attempts: int, end: float) -> None:
        """Apply the configuration, or retry until `end` (loop time in s)."""
        self._retry = None
        try:
            config = reload(os.environ)
        except ConfigError as error:
            self._on_unusable(error, failed_attempts, end)
            return
        self._dispatcher.telemetry.count(Event.RELOAD_APPLIED, tries=failed_attempts + 1)
        if failed_attempts:
            log.info("the new configuration is used after %d tries", failed_attempts + 1)
        self._dispatcher.reload(config)

    def _on_unusable(self, error: ConfigError, failed_attempts: int, end: float) -> None:
        """Schedule a retry, or give up if it would come after `end`."""
        telemetry = self._dispatcher.telemetry
        backoff = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**failed_attempts)
        if self._loop.time() + backoff > end:
            telemetry.count(Event.RELOAD_ABANDONED, tries=failed_attempts + 1)
            log.error("the new configuration is not used after %d tries: %s", failed_attempts + 1, error)
            return
        if not failed_attempts:
            log.warning("the new configuration can't be used yet: %s", error)
        telemetry.count(Event.RELOAD_RETRIED)
        self._retry = self._loop.call_later(backoff, self._attempt_reload, failed_attempts + 1, end)
