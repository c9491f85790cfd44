"""Divides the time of the event loop among the clients whose data is to be processed.

Without it, one iteration of the event loop would process all that was read, and the data of a few clients
could delay the requests of all others. Data is processed in turns. A turn is cut after `MAX_TURN_NS`, and
after `ITERATION_BUDGET_NS` of turns, everything else that the event loop has to do goes first.

Clients whose turn was cut wait behind those that had nothing to process before, as in the queues of fq_codel
(RFC 8290, section 4.2): a client that sends little does not wait for those that send much. In each iteration
at least one client of the former has a turn.
"""

from __future__ import annotations

import asyncio
from collections import deque
from time import monotonic_ns
from typing import Protocol

from moleport.units import NS_PER_MS

ITERATION_BUDGET_NS = 2 * NS_PER_MS
MAX_TURN_NS = NS_PER_MS // 10


class Client(Protocol):
    """A client connection that processes its data step by step."""

    def has_work(self) -> bool:
        """Return whether a step can be taken now."""
        ...

    def process_next(self) -> None:
        """Take one step, which is short."""
        ...

    def take_turn(self) -> None:
        """Have a turn after a wait in the queue; calls `TurnQueue.process` if there still is work."""
        ...


class TurnQueue:
    """The clients that wait for a turn, and the time that turns have used."""

    def __init__(self) -> None:
        """Create an empty queue; needs a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Client] = deque()  # clients that wait for their first turn
        self._cut: deque[Client] = deque()  # clients whose last turn was cut
        self._is_scheduled = False
        self._is_in_turn = False
        # Sum of the turns in ns. It is reset in the iteration after it has reached ITERATION_BUDGET_NS, so it
        # may include turns of earlier iterations; a client then waits until the next iteration at most.
        self._spent_ns = 0

    def process(self, client: Client) -> bool:
        """Take steps of a client that has work, in one turn; return whether it has to wait for another turn.

        It waits at once if another turn is in progress, or if the time for turns is used up.
        """
        if self._is_in_turn or self._spent_ns >= ITERATION_BUDGET_NS:
            self._waiting.append(client)
            self._schedule()
            return True
        self._is_in_turn = True
        began_at_ns = monotonic_ns()
        try:
            is_cut = self._take_steps(client, began_at_ns)
        finally:
            self._is_in_turn = False
            self._spent_ns += monotonic_ns() - began_at_ns
            if self._spent_ns >= ITERATION_BUDGET_NS:
                self._schedule()
        if is_cut:
            self._cut.append(client)
            self._schedule()
        return is_cut

    def _take_steps(self, client: Client, began_at_ns: int) -> bool:
        """Take steps until the client has no more work or the turn is over; return whether work is left."""
        client.process_next()
        while client.has_work():
            used_ns = monotonic_ns() - began_at_ns
            if used_ns >= MAX_TURN_NS or self._spent_ns + used_ns >= ITERATION_BUDGET_NS:
                return True
            client.process_next()
        return False

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_turns)

    def _run_turns(self) -> None:
        """Give turns to the clients that wait, for as long as an iteration of the event loop may last."""
        self._is_scheduled = False
        self._spent_ns = 0
        try:
            if self._cut:
                self._cut.popleft().take_turn()
            while (self._waiting or self._cut) and self._spent_ns < ITERATION_BUDGET_NS:
                (self._waiting or self._cut).popleft().take_turn()
        finally:
            if self._waiting or self._cut:
                self._schedule()
