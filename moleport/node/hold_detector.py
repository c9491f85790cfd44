"""Detect holds: periods in which the process did not run.

A hold is a stopped process, a lost CPU core or a long pause of the process itself. After it the event loop
runs timers and reads sockets in no defined order. Data that it reads may have been in the kernel for as long
as the hold lasted, and data that a timer finds missing may be there unread.

A heartbeat's delay beyond its period is compared with two thresholds: more than `HEARTBEAT_PERIOD_NS` counts
towards the sum of holds (`stalled_ns`), `MIN_HOLD_NS` or more is a `LOOP_HELD` event.
"""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS, NS_PER_SECOND

HEARTBEAT_PERIOD_NS = 20 * NS_PER_MS  # also the delay above which a heartbeat counts towards the sum
MIN_HOLD_NS = 100 * NS_PER_MS  # longer than a busy loop delays a heartbeat
SETTLE_DELAY_S = 0.001  # after the first delayed timer: the loop has read its sockets once by then


class HoldDetector:
    """Measures how long the event loop was held up, from how much its heartbeat is delayed."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Take the running event loop; holds are detected from `start` on."""
        self._telemetry = telemetry
        self._loop = asyncio.get_running_loop()
        self._ended_holds_ns = 0  # sum of all holds that have ended
        self._last_heartbeat_ns = monotonic_ns()
        self._hold_began_ns: int | None = None  # while data that arrived in a hold may be unread

    def start(self) -> None:
        """Schedule the heartbeat on the event loop."""
        self._last_heartbeat_ns = monotonic_ns()
        self._loop.call_later(HEARTBEAT_PERIOD_NS / NS_PER_SECOND, self._on_heartbeat)

    def _on_heartbeat(self) -> None:
        """Add a delay to the sum of holds, and schedule the next heartbeat."""
        delay_ns = self._heartbeat_delay_ns()
        self._ended_holds_ns = self.stalled_ns()
        if delay_ns >= MIN_HOLD_NS:
            self._telemetry.count(Event.LOOP_HELD, ms=delay_ns // NS_PER_MS)
            if self._hold_began_ns is None:
                self._hold_began_ns = self._last_heartbeat_ns
            self._loop.call_later(SETTLE_DELAY_S, self._on_settled)
        self.start()

    def _on_settled(self) -> None:
        """Note that the loop has read what arrived in the hold."""
        self._hold_began_ns = None

    def _heartbeat_delay_ns(self) -> int:
        """Return by how much the next heartbeat is overdue; negative if it is not due yet."""
        return monotonic_ns() - self._last_heartbeat_ns - HEARTBEAT_PERIOD_NS

    def stalled_ns(self) -> int:
        """Return the sum, in ns, of the delays of heartbeats that exceed `HEARTBEAT_PERIOD_NS`."""
        delay_ns = self._heartbeat_delay_ns()
        if delay_ns <= HEARTBEAT_PERIOD_NS:
            return self._ended_holds_ns
        return self._ended_holds_ns + delay_ns

    def is_settling(self) -> bool:
        """Return whether a hold has just ended, so that data that arrived in it may be unread."""
        return self._hold_began_ns is not None or self._heartbeat_delay_ns() >= MIN_HOLD_NS

    def earliest_arrival(self) -> int:
        """Return the earliest time, in monotonic ns, at which data that is read now may have arrived.

        It is exact to within `MIN_HOLD_NS`.
        """
        if self._hold_began_ns is not None:
            return self._hold_began_ns
        if self._heartbeat_delay_ns() >= MIN_HOLD_NS:
            return self._last_heartbeat_ns
        return monotonic_ns()
