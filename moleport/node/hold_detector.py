"""Detects holds: periods in which the event loop did not run.

A hold occurs if the process is stopped, loses its CPU core or pauses for a long time itself. After a hold the
event loop runs timers and reads sockets in no defined order. Data that it reads may have been in the kernel
since the start of the hold, and data that a timer finds missing may be unread in the kernel.

The delay of a heartbeat beyond its period is compared with two thresholds. A delay of more than
`HEARTBEAT_PERIOD_NS` is added to the sum of holds (`total_hold_ns`). A delay of `MIN_HOLD_NS` or more is
counted as a `LOOP_STALLED` event.
"""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS, NS_PER_SECOND

# Period of the heartbeat, the timer that detects holds of the event loop.
# A heartbeat that is late by more than HEARTBEAT_PERIOD_NS adds its delay to the sum of holds.
HEARTBEAT_PERIOD_NS = 20 * NS_PER_MS
# Delay of the event loop's heartbeat timer from which on a hold is reported.
# The delays in an event loop that is only busy are shorter.
MIN_HOLD_NS = 100 * NS_PER_MS
# Wait after a periodic timer, the heartbeat, that is so late that the event loop did not run for a while. In
# this wait the loop reads all readable sockets once. Until it ends, connects and writes to servers and checks
# of the time limits of client connections are put off, because unread data may affect them.
SETTLE_DELAY_S = 0.001


class HoldDetector:
    """Measures holds of the event loop by the delay of a periodic timer, the heartbeat."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Create a detector of holds of the running event loop; `start` begins the detection."""
        self._telemetry = telemetry
        self._loop = asyncio.get_running_loop()
        self._ended_holds_ns = 0  # sum of the lengths, in ns, of all holds of the event loop that have ended
        self._last_heartbeat_ns = monotonic_ns()
        # A hold is a period in which the event loop did not run. This is the start (monotonic ns) of the
        # earliest hold whose data, which arrived while it lasted, may still be unread; None: no such hold.
        self._hold_began_ns: int | None = None

    def start(self) -> None:
        """Schedule the next heartbeat on the event loop."""
        self._last_heartbeat_ns = monotonic_ns()
        self._loop.call_later(HEARTBEAT_PERIOD_NS / NS_PER_SECOND, self._on_heartbeat)

    def _on_heartbeat(self) -> None:
        """Add the delay of this heartbeat to the sum of holds, and schedule the next heartbeat."""
        delay_ns = self._heartbeat_delay_ns()
        self._ended_holds_ns = self.total_hold_ns()
        if delay_ns >= MIN_HOLD_NS:
            self._telemetry.count(Event.LOOP_STALLED, ms=delay_ns // NS_PER_MS)
            if self._hold_began_ns is None:
                self._hold_began_ns = self._last_heartbeat_ns
            self._loop.call_later(SETTLE_DELAY_S, self._on_settled)
        self.start()

    def _on_settled(self) -> None:
        """Record that the event loop has read the data that arrived in the last hold."""
        self._hold_began_ns = None

    def _heartbeat_delay_ns(self) -> int:
        """Return the delay of the next heartbeat in ns; negative if the heartbeat is not due yet."""
        return monotonic_ns() - self._last_heartbeat_ns - HEARTBEAT_PERIOD_NS

    def total_hold_ns(self) -> int:
        """Return the sum, in ns, of the delays of heartbeats that exceed `HEARTBEAT_PERIOD_NS`."""
        delay_ns = self._heartbeat_delay_ns()
        if delay_ns <= HEARTBEAT_PERIOD_NS:
            return self._ended_holds_ns
        return self._ended_holds_ns + delay_ns

    def may_have_unread_input(self) -> bool:
        """Return whether a hold has just ended and data that arrived in it may still be unread."""
        return self._hold_began_ns is not None or self._heartbeat_delay_ns() >= MIN_HOLD_NS

    def earliest_arrival_ns(self) -> int:
        """Return the earliest time, in monotonic ns, at which data that is read now may have arrived.

        The returned time is exact to within `MIN_HOLD_NS` plus `HEARTBEAT_PERIOD_NS`: a hold that delays the
        heartbeat by less than `MIN_HOLD_NS` is not considered, and may begin right after a heartbeat.
        """
        if self._hold_began_ns is not None:
            return self._hold_began_ns
        if self._heartbeat_delay_ns() >= MIN_HOLD_NS:
            return self._last_heartbeat_ns
        return monotonic_ns()
