"""Runs the policy's timers on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic_ns

from moleport.policy import interface as api
from moleport.units import NS_PER_MS

RETRY_AFTER_FAILURE_NS = 1_000 * NS_PER_MS


class PolicyTimers:
    """Dispatches a `TimerFired` event for each timer that the policy has set, never before its due time."""

    def __init__(self, dispatch_event: Callable[[api.Event], None]) -> None:
        """Use the running event loop, and pass timer events to the policy through `dispatch_event`."""
        self._loop = asyncio.get_running_loop()
        self._dispatch_event = dispatch_event

    def set(self, at_ns: int, timer_id: int) -> None:
        """Schedule a timer of the policy for `at_ns` (monotonic ns)."""
        # The delay of a policy timer is rounded up, because timers of the event loop have a resolution of
        # 1 ms and may fire early by less than 1 ms.
        delay_ms = max(0, at_ns - monotonic_ns()) // NS_PER_MS + 1
        self._loop.call_later(delay_ms / 1000, self._on_timer, at_ns, timer_id)

    def set_after_failure(self, timer_id: int) -> None:
        """Set a timer again after the policy raised an exception on the timer's event.

        The policy sets a periodic timer again when the timer fires, so an exception would otherwise stop it.
        """
        self.set(monotonic_ns() + RETRY_AFTER_FAILURE_NS, timer_id)

    def _on_timer(self, at_ns: int, timer_id: int) -> None:
        if monotonic_ns() < at_ns:
            self.set(at_ns, timer_id)
        else:
            self._dispatch_event(api.TimerFired(timer_id))
