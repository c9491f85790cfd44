"""The actions of the event being handled, and tasks that a later event runs."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from moleport.policy import interface as api

Task = Callable[[int], None]
"""Gets the time of the event that runs it, in ns."""


class ActionBuffer:
    """Collects actions in the order in which the rules emit them."""

    def __init__(self) -> None:
        self.pending: list[api.Action] = []

    def emit(self, action: api.Action) -> None:
        """Append an action to those of the current event."""
        self.pending.append(action)


class DeferredTasks:
    """Tasks by due time, in the order of deferral where several are due at once."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Task]] = []  # due time in ns, sequence number, task
        self._sequence_number = 0

    def defer(self, due_ns: int, task: Task) -> None:
        """Run the task with the first event at or after this time.

        Where no event may come by then, the caller sets a timer too.
        """
        self._sequence_number += 1
        heappush(self._heap, (due_ns, self._sequence_number, task))

    def run_due(self, now_ns: int) -> None:
        """Run all tasks that are due."""
        while self._heap and self._heap[0][0] <= now_ns:
            _, _, task = heappop(self._heap)
            task(now_ns)
