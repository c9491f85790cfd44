"""Tracks client connections by state, enforces their time limits and closes some to free their slots."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from moleport.node.connection_memory import ConnectionMemory
from moleport.node.hold_detector import HoldDetector
from moleport.node.memory_budget import MemoryBudget
from moleport.telemetry import Event, Telemetry

SWEEP_PERIOD_SECONDS = 0.2
# Delay of a check of the client connections' time limits that is due just after a hold of the process.
SWEEP_RETRY_SECONDS = 0.02
MAX_NEW_SECONDS = 2.0  # time limit from a client connection's setup to its first complete request
# Time limit for receiving the rest of a second or later request on a client connection. It starts once a
# part of the request has been received and all earlier requests are answered, whichever is later, and ends
# when the request is complete.
MAX_READING_SECONDS = 2.0
MAX_IDLE_SECONDS = 2.5  # time limit of a client connection that is idle: no request is partial or unanswered
# Idle time before a client connection may be closed because idle connections use more than the fraction
# MAX_IDLE_RATIO of all client slots.
MIN_IDLE_SECONDS = 0.5
# Fraction of all client slots that idle connections may use.
# Above MAX_IDLE_RATIO, the connections that have been idle longest are closed, if idle for MIN_IDLE_SECONDS.
MAX_IDLE_RATIO = 0.15
# Time that a client connection must have been new, idle or reading before it may be closed to free its slot.
MIN_RECLAIM_AGE_SECONDS = 0.1
MAX_LINGERING_SECONDS = 1.0  # time limit of a lingering close, in which client data is read and discarded
# Fraction of all client slots that lingering connections may use, above which the oldest of them is aborted.
MAX_LINGERING_RATIO = 0.1
# Period of the search for partial requests to reject while memory is short: it visits many connections.
MEMORY_CHECK_PERIOD_SECONDS = 0.02
# Time without data from which on a partial request is stalled, and rejected first while memory is short.
MIN_STALL_SECONDS = 0.25
# While connections without a first complete request use more than IDLE_PROTECTION_RATIO of all client slots,
# no idle connection is closed to free its slot.
IDLE_PROTECTION_RATIO = 0.5


class TrackedConnection(Protocol):
    """The interface of a client connection that the connection table uses."""

    memory: ConnectionMemory
    """The memory that the connection uses."""

    def abort(self) -> None:
        """Close the connection at once and discard unwritten data."""
        ...

    def time_out(self) -> None:
        """Close the connection because it has exceeded a time limit."""
        ...

    def reclaim(self) -> bool:
        """Close the connection to free its slot, unless it has unread data; return whether it is closed.

        A partial request is answered with 408 before.
        """
        ...

    def close_if_unused(self) -> None:
        """Close the connection unless it has unread data or a request, complete or partial."""
        ...

    def is_stalled(self, since_s: float) -> bool:
        """Return whether nothing of a partial request has been received since a loop time in s."""
        ...

    def reject_partial_request(self, status: HTTPStatus) -> bool:
        """Answer a partial request with an error and discard it; return whether there was one."""
        ...


class SlotCounts(NamedTuple):
    """The numbers of used client slots, by the state of their connections; see `ConnectionTable`."""

    connecting: int
    """Slots of accepted connections that are still being set up."""
    new: int
    idle: int
    reading: int
    active: int
    lingering: int


EntryTimes = dict[TrackedConnection, float]
"""The loop time, in s, at which each connection in one state entered the state; oldest first."""


class ConnectionTable:
    """Counts the used slots and tracks the state of each client connection.

    A connection is new (no complete request yet), idle, reading (a later request is incomplete), lingering
    (its last response is written, and further data of the client is discarded), or active (a complete request
    is unanswered).
    """

    def __init__(
        self,
        max_connections: int,
        memory: MemoryBudget,
        telemetry: Telemetry,
        hold_detector: HoldDetector,
        on_slot_freed: Callable[[], None],
    ) -> None:
        """Create an empty table; `on_slot_freed` is called when a connection ends and leaves a free slot."""
        self.max_connections = max_connections
        self.memory = memory
        self.open_count = 0  # client slots in use, including those of connections that are still being set up
        self.connections: set[TrackedConnection] = set()
        self._telemetry = telemetry
        self._hold_detector = hold_detector
        self._on_slot_freed = on_slot_freed
        self._loop = asyncio.get_running_loop()
        self._new: EntryTimes = {}
        self._idle: EntryTimes = {}
        self._reading: EntryTimes = {}
        self._lingering: EntryTimes = {}
        self._next_memory_check = 0.0  # loop time in s

    def has_free_slot(self) -> bool:
        """Return whether a further connection may be accepted."""
        return self.open_count < self.max_connections

    def acquire_slot(self) -> None:
        """Count the slot of an accepted connection."""
        self.open_count += 1

    def release_slot(self) -> None:
        """Free the slot of a connection that has ended."""
        self.open_count -= 1
        if self.has_free_slot():
            self._on_slot_freed()

    def slot_counts(self) -> SlotCounts:
        """Return the number of used slots by the state of their connections."""
        active = len(self.connections) - sum(
            len(entry_times) for entry_times in (self._new, self._idle, self._reading, self._lingering)
        )
        return SlotCounts(
            connecting=self.open_count - len(self.connections),
            new=len(self._new),
            idle=len(self._idle),
            reading=len(self._reading),
            active=active,
            lingering=len(self._lingering),
        )

    def is_full(self) -> bool:
        """Return whether no slot is free and no connection is lingering, new, reading or idle."""
        return self.open_count >= self.max_connections and not (
            self._lingering or self._new or self._reading or self._idle
        )

    # Methods by which client connections report changes of their state to the connection table.

    def on_connected(self, connection: TrackedConnection) -> None:
        """Add a connection that has been set up."""
        self.connections.add(connection)
        self._new[connection] = self._loop.time()

    def on_disconnected(self, connection: TrackedConnection) -> None:
        """Remove a closed connection and free its slot."""
        self.connections.discard(connection)
        self.mark_active(connection)
        self._lingering.pop(connection, None)
        self.release_slot()

    def mark_idle(self, connection: TrackedConnection) -> None:
        """Mark a connection that has no request, complete or partial; a new connection stays new."""
        if connection in self._new:
            return
        self._reading.pop(connection, None)
        self._reclaim_idle()
        # Bytes that start no request, such as blank lines, do not restart an idle connection's time limit.
        self._idle.setdefault(connection, self._loop.time())

    def mark_reading(self, connection: TrackedConnection) -> None:
        """Mark a connection with a partial request; a new connection stays new."""
        self._idle.pop(connection, None)
        if connection not in self._new:
            self._reading.setdefault(connection, self._loop.time())

    def mark_active(self, connection: TrackedConnection) -> None:
        """Mark a connection with a complete, unanswered request; the table applies no time limit to it."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self._reading.pop(connection, None)

    def start_lingering_close(self, connection: TrackedConnection) -> None:
        """Mark a connection that waits for its client to close; abort the oldest above the limit."""
        self.mark_active(connection)
        self._lingering[connection] = self._loop.time()
        if len(self._lingering) > MAX_LINGERING_RATIO * self.max_connections:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.abort()

    # Methods that close client connections: at a time limit, to free slots, or at the shutdown.

    def reclaim_slot(self, connecting_count: int) -> bool:
        """Close one connection to free its slot; return whether a connection could be closed.

        Lingering connections are closed first, then those without a complete request (new or reading), and
        then idle ones. While new connections, with the `connecting_count` that are still being set up, exceed
        `IDLE_PROTECTION_RATIO`, no idle connection is closed: some of the new ones can be reclaimed
        `MIN_RECLAIM_AGE_SECONDS` after they connected. A client whose request crosses with the close sends
        the request again on another connection.
        """
        if self._lingering:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            self._telemetry.count(Event.CLIENT_RECLAIMED)
            oldest.abort()
            return True
        latest_entry = self._loop.time() - MIN_RECLAIM_AGE_SECONDS
        for entry_times in sorted((self._new, self._reading), key=_earliest_entry):
            if self._reclaim_oldest(entry_times, latest_entry):
                return True
        if len(self._new) + connecting_count > IDLE_PROTECTION_RATIO * self.max_connections:
            return False
        return self._reclaim_oldest(self._idle, latest_entry)

    def _reclaim_oldest(self, entry_times: EntryTimes, latest_entry: float) -> bool:
        """Close the oldest connection that entered its state by `latest_entry` and has no unread data."""
        for connection, entered_at in entry_times.items():
            if entered_at > latest_entry:
                return False
            if connection.reclaim():
                entry_times.pop(connection, None)
                self._telemetry.count(Event.CLIENT_RECLAIMED)
                return True
        return False

    def free_memory(self, is_enough: Callable[[], bool], spared: ConnectionMemory | None = None) -> None:
        """Reject partial requests with 503, the earliest first, until `is_enough` returns True.

        Those that make progress are spared until the memory in use is critical. The connection of `spared`,
        and one that has the memory to itself, always are. None has been executed, so the client may send it
        again.
        """
        now = self._loop.time()
        if now < self._next_memory_check or self._hold_detector.may_have_unread_input():
            return
        self._next_memory_check = now + MEMORY_CHECK_PERIOD_SECONDS
        for connection, _ in list(heapq.merge(self._new.items(), self._reading.items(), key=_entry_time)):
            if is_enough():
                break
            if connection.memory is spared or connection.memory.is_alone():
                continue
            is_victim = self.memory.is_critical() or connection.is_stalled(now - MIN_STALL_SECONDS)
            if is_victim and connection.reject_partial_request(HTTPStatus.SERVICE_UNAVAILABLE):
                self._telemetry.count(Event.CLIENT_MEMORY_FULL)

    def _reclaim_idle(self) -> None:
        """Close the oldest idle connections above `MAX_IDLE_RATIO`, to leave slots to other clients."""
        latest_entry = self._loop.time() - MIN_IDLE_SECONDS
        while len(self._idle) > MAX_IDLE_RATIO * self.max_connections:
            oldest, entered_at = next(iter(self._idle.items()))
            if entered_at > latest_entry or not oldest.reclaim():
                break
            del self._idle[oldest]
            self._telemetry.count(Event.CLIENT_RECLAIMED)

    def start_sweeping(self) -> None:
        """Start to check the time limits of client connections periodically."""
        self._loop.call_later(SWEEP_PERIOD_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that exceed the time limit of their state, and schedule the next sweep."""
        if self._hold_detector.may_have_unread_input():
            # The event loop must read data that clients sent during a hold before their time limits apply.
            self._loop.call_later(SWEEP_RETRY_SECONDS, self._sweep)
            return
        self.start_sweeping()
        now = self._loop.time()
        for connection in _entered_before(self._lingering, now - MAX_LINGERING_SECONDS):
            self._lingering.pop(connection, None)
            connection.abort()
        for entry_times, limit in (
            (self._new, MAX_NEW_SECONDS),
            (self._reading, MAX_READING_SECONDS),
            (self._idle, MAX_IDLE_SECONDS),
        ):
            for connection in _entered_before(entry_times, now - limit):
                entry_times.pop(connection, None)
                connection.time_out()
        self._reclaim_idle()

    def close_unused(self) -> None:
        """Close the new and idle connections that have neither unread data nor a request."""
        for connection in [*self._new, *self._idle]:
            connection.close_if_unused()


def _entry_time(entry: tuple[TrackedConnection, float]) -> float:
    return entry[1]


def _earliest_entry(entry_times: EntryTimes) -> float:
    """Return the loop time, in s, at which the oldest connection entered the state; infinite if none has."""
    return next(iter(entry_times.values()), math.inf)


def _entered_before(entry_times: EntryTimes, latest_entry: float) -> list[TrackedConnection]:
    """Return the connections that entered the state by `latest_entry` (loop time in s)."""
    overdue = []
    for connection, entered_at in entry_times.items():
        if entered_at > latest_entry:
            break
        overdue.append(connection)
    return overdue
