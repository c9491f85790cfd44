"""Holds: spans in which the process did not run (stopped, its core taken, a long pause of its own).

After a hold the event loop runs its timers and reads its sockets in an order that nobody may rely on. What
it reads then may have lain with the kernel for as long as the hold lasted, and what a timer finds missing may
lie there unread.
"""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from moleport.telemetry import Event, Telemetry

MS = 1_000_000  # ns
HEARTBEAT = 20 * MS  # between two signs of life of the loop
HOLD_LEAST = 100 * MS  # a heartbeat that is so late shows a hold; a busy loop is late by less
SETTLE = 0.001  # s after the first late timer: the loop has read its sockets once by then


class HoldDetector:
    """Tells for how long the loop was held up, and whether it may still have to read what came meanwhile."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._loop = asyncio.get_running_loop()
        self._stalled = 0  # ns, of all holds that have ended
        self._beat = monotonic_ns()  # when the loop last ran its heartbeat
        self._held_since: int | None = None  # while what came in a hold may lie unread

    def start(self) -> None:
        self._beat = monotonic_ns()
        self._loop.call_later(HEARTBEAT / 1e9, self._heartbeat)

    def _heartbeat(self) -> None:
        late = self._late()
        self._stalled = self.stalled_ns()
        if late >= HOLD_LEAST:
            self._telemetry.count(Event.LOOP_HELD, ms=late // MS)
            if self._held_since is None:
                self._held_since = self._beat
            self._loop.call_later(SETTLE, self._settled)
        self._beat = monotonic_ns()
        self._loop.call_later(HEARTBEAT / 1e9, self._heartbeat)

    def _settled(self) -> None:
        self._held_since = None

    def _late(self) -> int:
        return monotonic_ns() - self._beat - HEARTBEAT

    def stalled_ns(self) -> int:
        """For how long the process has been held up since its start, in ns: no time of the servers."""
        late = self._late()
        return self._stalled + (late if late > HEARTBEAT else 0)

    def is_settling(self) -> bool:
        """A hold has just ended, and sockets may hold what came in it."""
        return self._held_since is not None or self._late() >= HOLD_LEAST

    def earliest_arrival(self) -> int:
        """What is read now has come since then, in monotonic ns; right to within `HOLD_LEAST`."""
        if self._held_since is not None:
            return self._held_since
        return self._beat if self._late() >= HOLD_LEAST else monotonic_ns()
