"""The wait of a starting node for the endpoint list of its discovery agent.

The endpoint list of the node's configuration may be outdated, while all changes that the agent has received
count as notified from the start of the process. The node therefore serves no client until the wait has ended
with one of the results of `WaitResult`.

An agent that accepts a connection and does not respond is either slow, or its discovery is down. The node
cannot distinguish these, so it waits as long as it may: a later start costs requests that other nodes can
serve, an outdated list sends requests to servers that are draining. A watch that ends without an update does
not end the wait either, because the next watch may deliver the update.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from moleport.node import discovery_limits
from moleport.node.discovery_watch import WatchFailure

# Time for further watches, in addition to the time limit of one watch, before the node serves without an
# update. A restarted node has to be ready within 6 s.
MAX_FURTHER_WATCHES_S = 1.5


class WaitResult(Enum):
    """The reason for the end of the wait."""

    UPDATED = "an update is applied"
    UNREACHABLE = "discovery does not accept connections"
    NO_RESPONSE = "discovery is slow or down, and has sent nothing in time"
    NO_UPDATE = "discovery has sent no update in time"


class InitialListWait:
    """Waits until an update of discovery is applied, or is not to be expected soon."""

    def __init__(self) -> None:
        """Prepare the wait; `start` starts its time limits."""
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0  # loop time in s at which the first watch was opened
        # Loop time in s since which discovery has accepted no connection.
        self._unreachable_since = 0.0
        self._is_unanswered = False  # whether discovery has accepted connections, and sent nothing since
        self._has_data = False  # whether a watch has received data and has not failed since
        self._timer: asyncio.TimerHandle | None = None  # None: the wait has not started
        self._result: asyncio.Future[WaitResult] = self._loop.create_future()

    def start(self) -> None:
        """Start the time limits, because the first watch is being opened."""
        self._started_at = self._unreachable_since = self._loop.time()
        self._timer = self._loop.call_at(self._latest_end(), self._on_time_limit)

    async def wait(self) -> WaitResult:
        """Wait until an update is applied, or discovery is unreachable, or a time limit has passed."""
        return await asyncio.shield(self._result)

    def on_update_applied(self) -> None:
        """End the wait: the policy knows the endpoint list of discovery."""
        self._end(WaitResult.UPDATED)

    def on_data(self) -> None:
        """Limit the time for an update, because a watch has received data.

        An agent without newer changes sends empty lines only.
        """
        self._is_unanswered = False
        if not self._has_data:
            self._has_data = True
            end_at = self._loop.time() + discovery_limits.FIRST_DATA_TIMEOUT_S
            self._set_time_limit(min(end_at, self._latest_end()))

    def on_watch_failed(self, failure: WatchFailure) -> None:
        """Wait for further watches, unless discovery has not accepted a connection for some time."""
        self._has_data = False
        self._set_time_limit(self._latest_end())
        now = self._loop.time()
        if failure is WatchFailure.NOT_CONNECTED:
            if now - self._unreachable_since >= discovery_limits.AGENT_RESPONSE_TIMEOUT_S:
                self._end(WaitResult.UNREACHABLE)
            return
        # Any other failure shows that discovery may be reachable; a local fault shows nothing about it.
        self._unreachable_since = now
        if failure is not WatchFailure.LOCAL_FAULT:
            self._is_unanswered = failure is WatchFailure.NO_RESPONSE

    def _latest_end(self) -> float:
        """Return the loop time in s at which the wait ends at the latest."""
        return self._started_at + discovery_limits.FIRST_DATA_TIMEOUT_S + MAX_FURTHER_WATCHES_S

    def _set_time_limit(self, end_at: float) -> None:
        if self._timer is None or self._result.done():
            return
        self._timer.cancel()
        self._timer = self._loop.call_at(end_at, self._on_time_limit)

    def _on_time_limit(self) -> None:
        self._end(WaitResult.NO_RESPONSE if self._is_unanswered else WaitResult.NO_UPDATE)

    def _end(self, result: WaitResult) -> None:
        if not self._result.done():
            self._result.set_result(result)
