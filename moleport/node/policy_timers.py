"""Runs the policy's timers on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic_ns

from moleport.policy import interface as api
from moleport.units import NS_PER_MS

RETRY_AFTER_FAILURE_NS = 1_000 * NS_PER_MS


class PolicyTimers:
    """Dispatches a `TimerFired` event for each timer that the policy has set, never before its time."""

    def __init__(self, dispatch_event: Callable[[api.Event], None]) -> None:
        """Use the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._dispatch_event = dispatch_event

    def set(self, at_ns: int, timer_id: int) -> None:
        """Let a timer fire at a monotonic time, in ns."""
        # Rounded up: the loop counts in ms, and may call back early by a part of one.
        delay_ms = max(0, at_ns - monotonic_ns()) // NS_PER_MS + 1
        self._loop.call_later(delay_ms / 1000, self._on_loop_timer, at_ns, timer_id)

    def set_after_failure(self, timer_id: int) -> None:
        """Set a timer again whose event the policy failed on.

        Periodic timers are set anew by the policy as they fire, so a failure would otherwise stop them.
        """
        self.set(monotonic_ns() + RETRY_AFTER_FAILURE_NS, timer_id)

    def _on_loop_timer(self, at_ns: int, timer_id: int) -> None:
        if monotonic_ns() < at_ns:
            self.set(at_ns, timer_id)
        else:
            self._dispatch_event(api.TimerFired(timer_id))
