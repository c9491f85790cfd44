"""The client connections by state, their time limits, and which one is closed to free its slot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from moleport.node.hold_detector import HoldDetector
from moleport.telemetry import Event, Telemetry

SWEEP_PERIOD_SECONDS = 0.2
SETTLING_RETRY_SECONDS = 0.02  # until the next attempt to sweep, after a hold
MAX_NEW_SECONDS = 2.0  # from connecting to the first complete request
MAX_READING_SECONDS = 2.0  # from the first to the last byte of a later request
MAX_IDLE_SECONDS = 2.5  # without a request
MIN_IDLE_SECONDS = 0.5  # before an idle connection may be closed to keep to MAX_IDLE_RATIO
MAX_IDLE_RATIO = 0.15  # of all slots, for connections that are idle for longer than MIN_IDLE_SECONDS
MIN_SILENT_SECONDS = 0.1  # without data, before a connection may be closed to free its slot
MAX_LINGERING_SECONDS = 1.0
MAX_LINGERING_RATIO = 0.1  # of all slots
CROWDED_RATIO = 0.5  # of all slots: while more connections are new, no idle one is closed to free its slot


class TrackedConnection(Protocol):
    """A client connection, as the table sees it."""

    def abort(self) -> None:
        """Close the connection at once and drop what is not written yet."""
        ...

    def time_out(self) -> None:
        """End a connection that has exceeded a time limit."""
        ...

    def close_if_quiet(self) -> bool:
        """Close the connection unless it has unread data; return whether it is closed."""
        ...

    def close_if_unused(self) -> None:
        """Close the connection unless it has unread data or a request, complete or partial."""
        ...


StartTimes = dict[TrackedConnection, float]
"""Connections in one state, the longest in it first, with the loop time in s at which they entered it."""


class ConnectionTable:
    """Counts the slots of client connections and knows the state of each connection.

    A connection is new (no complete request yet), idle, reading (a later request is incomplete), lingering
    (closed for the client, but what it still sends is read and dropped), or active (a request is served).
    """

    def __init__(
        self,
        max_connections: int,
        telemetry: Telemetry,
        hold_detector: HoldDetector,
        on_slot_freed: Callable[[], None],
    ) -> None:
        """Create an empty table; `on_slot_freed` is called when a connection ends and a slot is free."""
        self.max_connections = max_connections
        self.open_count = 0  # slots in use, including connections that are still being set up
        self.connections: set[TrackedConnection] = set()
        self._telemetry = telemetry
        self._hold_detector = hold_detector
        self._on_slot_freed = on_slot_freed
        self._loop = asyncio.get_running_loop()
        self._new: StartTimes = {}
        self._idle: StartTimes = {}
        self._reading: StartTimes = {}
        self._lingering: StartTimes = {}

    def has_free_slot(self) -> bool:
        """Return whether a further connection may be accepted."""
        return self.open_count < self.max_connections

    def take_slot(self) -> None:
        """Count a connection that was accepted."""
        self.open_count += 1

    def release_slot(self) -> None:
        """Free the slot of a connection that has ended."""
        self.open_count -= 1
        if self.has_free_slot():
            self._on_slot_freed()

    def is_full(self) -> bool:
        """Return whether only the end of an active connection could free a slot."""
        return self.open_count >= self.max_connections and not (self._lingering or self._new or self._idle)

    # State changes, reported by the connections.

    def on_connected(self, connection: TrackedConnection) -> None:
        """Add a connection that is ready to be read."""
        self.connections.add(connection)
        self._new[connection] = self._loop.time()

    def on_disconnected(self, connection: TrackedConnection) -> None:
        """Remove a connection that is closed and free its slot."""
        self.connections.discard(connection)
        self.mark_active(connection)
        self._lingering.pop(connection, None)
        self.release_slot()

    def mark_idle(self, connection: TrackedConnection) -> None:
        """Note that nothing is being read or served; a new connection stays new."""
        if connection in self._new:
            return
        self._reading.pop(connection, None)
        self._reclaim_idle()
        self._idle.setdefault(connection, self._loop.time())  # bytes that start no request extend no limit

    def mark_reading(self, connection: TrackedConnection) -> None:
        """Note that a request is incomplete; a new connection stays new."""
        self._idle.pop(connection, None)
        if connection not in self._new:
            self._reading.setdefault(connection, self._loop.time())

    def mark_active(self, connection: TrackedConnection) -> None:
        """Note that a complete request is being served; no time limit of the table applies."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self._reading.pop(connection, None)

    def start_lingering_close(self, connection: TrackedConnection) -> None:
        """Note that the connection waits for its client to close; abort the oldest if too many do."""
        self.mark_active(connection)
        self._lingering[connection] = self._loop.time()
        if len(self._lingering) > MAX_LINGERING_RATIO * self.max_connections:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.abort()

    # Connections that the node closes.

    def reclaim_slot(self, connecting_count: int) -> bool:
        """Close the least valuable connection; return whether there was one.

        First lingering connections, then new ones, then idle ones. While new connections, together with the
        `connecting_count` that are still being set up, crowd the table, no idle one is closed: some of the
        new ones will have been silent for long enough in a moment. A client whose request crosses with the
        close sends it again on another connection.
        """
        if self._lingering:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            self._telemetry.count(Event.CLIENT_RECLAIMED)
            oldest.abort()
            return True
        silent_since = self._loop.time() - MIN_SILENT_SECONDS
        if self._reclaim_silent(self._new, silent_since):
            return True
        if len(self._new) + connecting_count > CROWDED_RATIO * self.max_connections:
            return False
        return self._reclaim_silent(self._idle, silent_since)

    def _reclaim_silent(self, start_times: StartTimes, silent_since: float) -> bool:
        """Close the oldest connection without unread data that has been in the state since `silent_since`."""
        for connection, since in start_times.items():
            if since > silent_since:
                return False
            if connection.close_if_quiet():
                del start_times[connection]
                self._telemetry.count(Event.CLIENT_RECLAIMED)
                return True
        return False

    def _reclaim_idle(self) -> None:
        """Close the longest idle connections while too many are idle, to leave slots to other clients."""
        idle_since = self._loop.time() - MIN_IDLE_SECONDS
        while len(self._idle) > MAX_IDLE_RATIO * self.max_connections:
            oldest, since = next(iter(self._idle.items()))
            if since > idle_since or not oldest.close_if_quiet():
                break
            del self._idle[oldest]
            self._telemetry.count(Event.CLIENT_RECLAIMED)

    def start_sweeping(self) -> None:
        """Enforce the time limits from now on."""
        self._loop.call_later(SWEEP_PERIOD_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """End the connections that exceed the time limit of their state."""
        if self._hold_detector.is_settling():
            # What the clients sent during the hold is read first.
            self._loop.call_later(SETTLING_RETRY_SECONDS, self._sweep)
            return
        now = self._loop.time()
        for connection in _entered_before(self._lingering, now - MAX_LINGERING_SECONDS):
            self._lingering.pop(connection, None)
            connection.abort()
        for start_times, limit in (
            (self._new, MAX_NEW_SECONDS),
            (self._reading, MAX_READING_SECONDS),
            (self._idle, MAX_IDLE_SECONDS),
        ):
            for connection in _entered_before(start_times, now - limit):
                start_times.pop(connection, None)
                connection.time_out()
        self._reclaim_idle()
        self._loop.call_later(SWEEP_PERIOD_SECONDS, self._sweep)

    def close_unused(self) -> None:
        """Close the new and idle connections that have sent nothing."""
        for connection in [*self._new, *self._idle]:
            connection.close_if_unused()


def _entered_before(start_times: StartTimes, latest: float) -> list[TrackedConnection]:
    """Return the connections that entered the state at `latest` (loop time in s) or before."""
    overdue = []
    for connection, since in start_times.items():
        if since > latest:
            break
        overdue.append(connection)
    return overdue
