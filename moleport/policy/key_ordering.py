"""Queues of ordered keys: requests of one key that run one at a time, in the order of their arrival.

Classes with `ordered_by_key` send the first request of a key at once; the others of this key wait in its
queue until those before them are complete. A request is queued only if it can be sent in time:

    max(now, cooldown) + open requests ahead * typical <= useful_until - typical

with `typical` the class's typical response time in ns; a request of the queue is open until its client has an
answer or has disconnected. Otherwise it is rejected at once. A request that has not been sent by the
right-hand side gets its final answer then. When its turn comes, it also needs capacity under its class's cap.

After an attempt that may still be running (time-out, reset or cancellation) the key's next request waits for
the settings' `key_cooldown_ns`.

Failure that this is for: two requests of one key that are executed at once or in the wrong order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer, DeferredTasks
from moleport.policy.admission import AdmissionControl
from moleport.policy.final_answers import FinalAnswers
from moleport.policy.interface import AttemptResult
from moleport.policy.state import ActiveRequest

MAYBE_RUNNING = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
"""Results after which an endpoint may still execute the attempt."""


@dataclass(slots=True)
class KeyQueue:
    """The requests of one key, in order; only the first may have attempts."""

    requests: deque[ActiveRequest] = field(default_factory=deque)
    cooldown_until_ns: int = 0


class KeyOrdering:
    """Sends the requests of each ordered key one after the other."""

    def __init__(
        self,
        key_cooldown_ns: int,
        active_requests: dict[int, ActiveRequest],
        admission: AdmissionControl,
        final_answers: FinalAnswers,
        deferred: DeferredTasks,
        actions: ActionBuffer,
        send_first: Callable[[int, ActiveRequest], bool],
        abandon_unsent: Callable[[ActiveRequest, int], None],
    ) -> None:
        """Take the shared state and rules, and two operations of the balancer.

        `send_first` sends a request's first attempt and returns whether it could; `abandon_unsent` gives a
        request that was not sent its final answer.
        """
        self._key_cooldown_ns = key_cooldown_ns
        self._active_requests = active_requests
        self._admission = admission
        self._final_answers = final_answers
        self._deferred = deferred
        self._actions = actions
        self._send_first = send_first
        self._abandon_unsent = abandon_unsent
        self._queues: dict[int, KeyQueue] = {}  # by key

    def enqueue(self, now_ns: int, active: ActiveRequest) -> bool:
        """Send the request or let it wait; return False if it can't be answered in time."""
        key = active.request.key
        queue = self._queues.get(key)
        if queue is None:
            if not self._send_first(now_ns, active):
                return False
            queue = self._queues[key] = KeyQueue()
        elif not self._wait(now_ns, active, queue):
            return False
        queue.requests.append(active)
        return True

    def cool_down(self, now_ns: int, active: ActiveRequest, result: AttemptResult) -> None:
        """Delay the next request of a key after an attempt that may still be running."""
        if not active.request_class.ordered_by_key or result not in MAYBE_RUNNING:
            return
        queue = self._queues.get(active.request.key)
        if queue is not None:
            queue.cooldown_until_ns = now_ns + self._key_cooldown_ns

    def on_request_complete(self, now_ns: int, active: ActiveRequest) -> None:
        """Send the next request of the same key."""
        if active.request.key in self._queues:
            self._send_next(active.request.key, now_ns)

    def _wait(self, now_ns: int, active: ActiveRequest, queue: KeyQueue) -> bool:
        typical_ns = int(self._admission.typical_ns(active.request.class_index))
        open_ahead_count = sum(1 for other in queue.requests if not other.is_closed)
        latest_ns = active.useful_until_ns - typical_ns
        if max(now_ns, queue.cooldown_until_ns) + open_ahead_count * typical_ns > latest_ns:
            return False
        self._active_requests[active.request.id] = active
        self._deferred.defer(latest_ns, partial(self._abandon_unsent, active))
        self._actions.emit(api.SetTimer(latest_ns, api.TimerId.DEFERRED))
        return True

    def _send_next(self, key: int, now_ns: int) -> None:
        """Send the first request that waits and can be sent; forget the key if none waits."""
        queue = self._queues.get(key)
        while queue is not None:
            while queue.requests and queue.requests[0].is_complete():
                queue.requests.popleft()
            if queue.requests and queue.requests[0].attempts:
                return
            if now_ns < queue.cooldown_until_ns:
                self._deferred.defer(queue.cooldown_until_ns, partial(self._send_next, key))
                self._actions.emit(api.SetTimer(queue.cooldown_until_ns, api.TimerId.DEFERRED))
                return
            if not queue.requests:
                del self._queues[key]
                return
            if self._try_send(now_ns, queue.requests[0]):
                return

    def _try_send(self, now_ns: int, active: ActiveRequest) -> bool:
        is_admitted = self._admission.has_capacity(now_ns, active.request.class_index)
        if is_admitted and self._send_first(now_ns, active):
            return True
        self._final_answers.finish(active)
        del self._active_requests[active.request.id]
        return False
