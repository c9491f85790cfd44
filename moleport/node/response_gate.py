"""Leaves the responses of servers in the kernel while the memory budget is used up.

While the gate is closed, some connections with unread data are admitted every `ADMISSION_PERIOD_SECONDS`,
those that wait longest first, and each response is read in two steps:

1. its head, in small pieces
2. its body, once the kernel has all of it: the response then leaves the node as it is read, if the kernel
   takes it for the client

Bodies that the kernel does not take for their client, bodies of unknown length and long heads use memory
until the client reads or the server has sent the rest. They are admitted up to a limit, and never stop the
others; while one that its client would read waits, new requests are rejected.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

from moleport.node.http_limits import MAX_RESPONSE_BYTES
from moleport.node.memory_budget import MemoryBudget
from moleport.telemetry import Event, Telemetry

ADMISSION_PERIOD_SECONDS = 0.002
MAX_ADMISSIONS_COUNT = 16  # connections per period that are admitted or have to wait on


class GatedConnection(Protocol):
    """The interface of a connection to a server that the gate uses."""

    descriptor: int
    """File descriptor of the open connection."""

    def pause_reading(self) -> None:
        """Stop to read; until it is resumed, `descriptor` is readable once the rest of a body has arrived."""
        ...

    def resume_reading(self, is_short: bool) -> None:
        """Read from the server again, in small pieces or not; no effect on a closing connection."""
        ...

    def is_in_short_head(self) -> bool:
        """Return whether the head of the final response is not complete, and little of it has been read."""
        ...

    def missing_body_bytes(self) -> int | None:
        """Return how much of the response's body is missing; None: it is unknown."""
        ...

    def has_send_capacity(self) -> bool:
        """Return whether the kernel takes a complete response for the client."""
        ...


class ResponseGate:
    """The connections to servers with a request in flight, and those among them that are not read."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Create an open gate, which closes while `budget` is used up."""
        self.telemetry: Telemetry | None = None
        self._budget = budget
        self._in_flight: dict[GatedConnection, int] = {}  # descriptor of each connection
        self._paused: dict[int, GatedConnection] = {}  # connection of each descriptor that is not read
        # Memory in bytes for the rest of each response that has been admitted while the gate is closed.
        self._admitted: dict[GatedConnection, int] = {}
        self._poller = select.poll()
        self._is_closed = False
        budget.on_responses_full = self.close

    def on_sent(self, connection: GatedConnection) -> None:
        """Add a connection on which a request has been sent."""
        self._in_flight[connection] = connection.descriptor
        if self._is_closed:
            self._pause(connection)

    def on_partial(self, connection: GatedConnection) -> None:
        """Pause a connection of whose response a part has been read, unless its rest has been admitted."""
        if self._is_closed and connection in self._in_flight and connection not in self._admitted:
            self._pause(connection)

    def on_ended(self, connection: GatedConnection) -> None:
        """Remove a connection without a request in flight, and read from it again."""
        descriptor = self._in_flight.pop(connection, None)
        if self._admitted:
            self._admitted.pop(connection, None)
        if self._paused and descriptor is not None and self._paused.get(descriptor) is connection:
            self._resume(descriptor)

    def close(self) -> None:
        """Stop to read from all connections, unless the gate is closed."""
        if self._is_closed or not self._in_flight:
            return
        self._is_closed = True
        if self.telemetry is not None:
            self.telemetry.count(Event.RESPONSES_PAUSED, in_flight=len(self._in_flight))
        for connection in self._in_flight:
            self._pause(connection)
        asyncio.get_running_loop().call_later(ADMISSION_PERIOD_SECONDS, self._on_timer)

    def _pause(self, connection: GatedConnection) -> None:
        descriptor = self._in_flight[connection]
        if descriptor not in self._paused:
            connection.pause_reading()
            self._wait_last(descriptor, connection)

    def _wait_last(self, descriptor: int, connection: GatedConnection) -> None:
        """Let a connection wait behind all others, as the poller returns descriptors in order of entry."""
        self._paused[descriptor] = connection
        self._poller.register(descriptor, select.POLLIN)

    def _end_wait(self, descriptor: int) -> GatedConnection:
        self._poller.unregister(descriptor)
        return self._paused.pop(descriptor)

    def _resume(self, descriptor: int, is_short: bool = False) -> None:
        self._end_wait(descriptor).resume_reading(is_short)

    def _on_timer(self) -> None:
        """Open the gate once memory is free again, or admit connections with unread data."""
        self._budget.has_waiting_responses = False
        self._is_closed = not self._budget.may_resume_responses()
        if self._is_closed:
            asyncio.get_running_loop().call_later(ADMISSION_PERIOD_SECONDS, self._on_timer)
            self._admit()
            return
        self._admitted.clear()
        for descriptor in list(self._paused):
            self._resume(descriptor)

    def _admit(self) -> None:
        for descriptor, _ in self._poller.poll(0)[:MAX_ADMISSIONS_COUNT]:
            connection = self._paused[descriptor]
            if connection.is_in_short_head():
                self._resume(descriptor, is_short=True)
            elif self._may_read_rest(connection):
                self._admitted[connection] = _max_missing_bytes(connection)
                self._resume(descriptor)
            else:
                self._end_wait(descriptor)
                self._wait_last(descriptor, connection)

    def _may_read_rest(self, connection: GatedConnection) -> bool:
        """Return whether there is memory for the rest of a response until it is complete and read."""
        needed_bytes = sum(self._admitted.values()) + _max_missing_bytes(connection)
        if connection.has_send_capacity():
            is_waiting = not self._budget.may_hold_responses(needed_bytes)
            self._budget.has_waiting_responses |= is_waiting
            return not is_waiting
        return self._budget.may_hold_unread(needed_bytes)


def _max_missing_bytes(connection: GatedConnection) -> int:
    missing_bytes = connection.missing_body_bytes()
    return MAX_RESPONSE_BYTES if missing_bytes is None else missing_bytes
