"""Divides the time of the event loop among the clients whose data is to be processed.

Without it, one iteration of the event loop would process all that was read, and the data of a few clients
could delay the requests of all others. A client processes its data for a time slice of `TIME_SLICE_NS`. After
`ITERATION_BUDGET_NS` of them, everything else that the event loop has to do goes first.

Clients with data left after their time slice wait behind those that had nothing to process before, as in the
queues of fq_codel (RFC 8290, section 4.2): a client that sends little does not wait for those that send much.
In each iteration at least one client of the former kind has a time slice.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from time import monotonic_ns
from typing import Protocol

from moleport.units import NS_PER_MS

ITERATION_BUDGET_NS = 2 * NS_PER_MS
TIME_SLICE_NS = NS_PER_MS // 10


class Client(Protocol):
    """A client connection that processes its data step by step."""

    def has_work(self) -> bool:
        """Return whether a step can be taken now."""
        ...

    def process_next(self) -> None:
        """Take one step, which is short."""
        ...

    def resume_processing(self) -> None:
        """Go on after a wait in a queue; calls `ClientScheduler.process` if there still is work."""
        ...


class ClientScheduler:
    """The clients that wait for a time slice, and the time that time slices have used."""

    def __init__(self) -> None:
        """Create a scheduler without clients; needs a running event loop."""
        self._loop = asyncio.get_running_loop()
        # Queues, as ordered sets: clients that had no data to process before, and clients with data left
        # after a time slice.
        self._new: OrderedDict[Client, None] = OrderedDict()
        self._continuing: OrderedDict[Client, None] = OrderedDict()
        self._is_run_pending = False
        self._is_processing = False
        # Sum of the time slices in ns. It is reset in the iteration after it has reached ITERATION_BUDGET_NS,
        # so it may include those of earlier iterations; a client then waits until the next one at most.
        self._spent_ns = 0

    def process(self, client: Client) -> bool:
        """Take steps of a client that has work, for a time slice; return whether it has to wait.

        It waits at once if another client's time slice is in progress, or if the budget is used up.
        """
        if self._is_processing or self._spent_ns >= ITERATION_BUDGET_NS:
            self._new[client] = None
            self._schedule()
            return True
        self._is_processing = True
        began_at_ns = monotonic_ns()
        try:
            has_work_left = self._take_steps(client, began_at_ns)
        finally:
            self._is_processing = False
            self._spent_ns += monotonic_ns() - began_at_ns
            if self._spent_ns >= ITERATION_BUDGET_NS:
                self._schedule()
        if has_work_left:
            self._continuing[client] = None
            self._schedule()
        return has_work_left

    def remove(self, client: Client) -> None:
        """Remove a client that has been closed from the queues."""
        self._new.pop(client, None)
        self._continuing.pop(client, None)

    def _take_steps(self, client: Client, began_at_ns: int) -> bool:
        """Take steps until the client has no more work or its time is over; return whether work is left."""
        client.process_next()
        while client.has_work():
            used_ns = monotonic_ns() - began_at_ns
            if used_ns >= TIME_SLICE_NS or self._spent_ns + used_ns >= ITERATION_BUDGET_NS:
                return True
            client.process_next()
        return False

    def _schedule(self) -> None:
        if not self._is_run_pending:
            self._is_run_pending = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Let waiting clients process their data until the budget of an iteration is used up."""
        self._is_run_pending = False
        self._spent_ns = 0
        try:
            if self._continuing:
                self._continuing.popitem(last=False)[0].resume_processing()
            while (self._new or self._continuing) and self._spent_ns < ITERATION_BUDGET_NS:
                (self._new or self._continuing).popitem(last=False)[0].resume_processing()
        finally:
            if self._new or self._continuing:
                self._schedule()
