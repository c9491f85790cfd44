"""Buffer for the actions of the current event, and tasks that are deferred to a later event."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from moleport.policy import interface as api

Task = Callable[[int], None]
"""A task, which is called with the time of the event that runs it, in ns."""


class ActionBuffer:
    """Collects actions in the order in which the rules emit them."""

    def __init__(self) -> None:
        self.pending: list[api.Action] = []

    def emit(self, action: api.Action) -> None:
        """Append an action to the actions of the current event."""
        self.pending.append(action)


class DeferredTasks:
    """A queue of tasks, ordered by due time and, for equal times, by the order of deferral."""

    def __init__(self) -> None:
        # heap of the tasks that the load balancing policy has put off until a due time: (due time in ns on
        # the policy's clock, sequence number of the deferral, task)
        self._heap: list[tuple[int, int, Task]] = []
        self._sequence_number = 0

    def defer(self, due_ns: int, task: Task) -> None:
        """Defer a task to the first event at or after `due_ns`.

        If no event may occur at that time, the caller also has to set a timer.
        """
        self._sequence_number += 1
        heappush(self._heap, (due_ns, self._sequence_number, task))

    def run_due(self, now_ns: int) -> None:
        """Run all deferred tasks that are due, in the order of their due times."""
        while self._heap and self._heap[0][0] <= now_ns:
            _, _, task = heappop(self._heap)
            task(now_ns)
