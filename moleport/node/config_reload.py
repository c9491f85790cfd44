"""Reloads the configuration on SIGHUP, and retries with backoff while the file is unusable."""

from __future__ import annotations

import asyncio
import logging
import os

from moleport.config.node_config import ConfigError, reload
from moleport.node.dispatcher import Dispatcher
from moleport.telemetry import Event

log = logging.getLogger("moleport")

# Delay of the first retry of a configuration reload; the delay doubles with each failure in a row.
BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.2
# Time limit of reload retries: a node must know the endpoints of the new discovery agent 4 s after SIGHUP.
MAX_RETRY_SECONDS = 3.0


class ConfigReloader:
    """Reloads the configuration on SIGHUP.

    If the file is invalid, the node continues with its current configuration. An invalid file may be partly
    written, so it is read again for up to `MAX_RETRY_SECONDS`.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create a reloader that passes new configurations to the dispatcher."""
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        self._retry_timer: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        """Read the configuration; a SIGHUP during the retries of an earlier SIGHUP restarts the retries."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._attempt_reload(0, self._loop.time() + MAX_RETRY_SECONDS)

    def _attempt_reload(self, failed_attempts: int, end_time: float) -> None:
        """Read and apply the configuration, or retry until `end_time` (loop time in s)."""
        self._retry_timer = None
        try:
            config = reload(os.environ)
        except ConfigError as error:
            self._on_config_error(error, failed_attempts, end_time)
            return
        self._dispatcher.telemetry.count(Event.RELOAD_APPLIED, tries=failed_attempts + 1)
        if failed_attempts:
            log.info("the new configuration is applied after %d attempts to read it", failed_attempts + 1)
        self._dispatcher.reload(config)

    def _on_config_error(self, error: ConfigError, failed_attempts: int, end_time: float) -> None:
        """Schedule a retry of the reload, or give up if the retry would be after `end_time`."""
        telemetry = self._dispatcher.telemetry
        backoff_s = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**failed_attempts)
        if self._loop.time() + backoff_s > end_time:
            telemetry.count(Event.RELOAD_ABANDONED, tries=failed_attempts + 1)
            log.error(
                "the new configuration is not applied, gave up after %d attempts to read it: %s",
                failed_attempts + 1,
                error,
            )
            return
        if not failed_attempts:
            log.warning("the new configuration is invalid, retrying to read it: %s", error)
        telemetry.count(Event.RELOAD_RETRIED)
        self._retry_timer = self._loop.call_later(
            backoff_s, self._attempt_reload, failed_attempts + 1, end_time
        )
