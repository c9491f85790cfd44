"""Ordering by key: requests with the same key run one at a time, in the order of their arrival.

In classes with `ordered_by_key`, the first request of a key is sent at once; further requests with this key
wait in a queue until all requests before them are complete. A request is queued only if it can be sent in
time:

    max(now, cooldown) + open requests ahead * typical <= answer_deadline - typical

where `typical` is the typical response time of the class in ns. A queued request is open until its client has
an answer or has disconnected. A request that fails this test is rejected at once. A request that has not been
sent at the time `answer_deadline - typical` gets its final answer at that time. The first request of the
queue also needs capacity under the cap of its class.

After an attempt that may still be running (time-out, reset or cancellation), the next request of the key
waits for the setting `key_cooldown_ns`.

This guards against two requests with one key that are executed at the same time or in the wrong order.
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
    """The requests with one key, in order; only the first request may have attempts."""

    requests: deque[ActiveRequest] = field(default_factory=deque)
    cooldown_until_ns: int = 0
    """Time before which the next request with the key of this queue is not sent."""


class KeyOrdering:
    """Sends the requests with each ordered key one after the other."""

    def __init__(
        self,
        key_cooldown_ns: int,
        active_requests: dict[int, ActiveRequest],
        admission: AdmissionControl,
        final_answers: FinalAnswers,
        deferred: DeferredTasks,
        actions: ActionBuffer,
        send_first: Callable[[int, ActiveRequest], bool],
        finish_unsent: Callable[[ActiveRequest, int], None],
    ) -> None:
        """Create the queues, with references to shared state and two operations of the balancer.

        `send_first` sends the first attempt of a request and returns whether that was possible.
        `finish_unsent` sends the final answer of a request that has no attempts.
        """
        self._key_cooldown_ns = key_cooldown_ns
        self._active_requests = active_requests
        self._admission = admission
        self._final_answers = final_answers
        self._deferred = deferred
        self._actions = actions
        self._send_first = send_first
        self._finish_unsent = finish_unsent
        # queue of the requests for each key whose requests are sent one at a time, by key
        self._queues: dict[int, KeyQueue] = {}

    def enqueue(self, now_ns: int, active: ActiveRequest) -> bool:
        """Send or queue a request; return False if the request can't be sent, or not in time."""
        key = active.request.key
        queue = self._queues.get(key)
        if queue is None:
            if not self._send_first(now_ns, active):
                return False
            queue = self._queues[key] = KeyQueue()
        elif not self._register_waiting(now_ns, active, queue):
            return False
        queue.requests.append(active)
        return True

    def cool_down(self, now_ns: int, active: ActiveRequest, result: AttemptResult) -> None:
        """Delay the next request with a key after an attempt that may still be running."""
        if not active.request_class.ordered_by_key or result not in MAYBE_RUNNING:
            return
        queue = self._queues.get(active.request.key)
        if queue is not None:
            queue.cooldown_until_ns = now_ns + self._key_cooldown_ns

    def on_request_complete(self, now_ns: int, active: ActiveRequest) -> None:
        """Send the next request with the key of a request that is complete."""
        if active.request.key in self._queues:
            self._send_next(active.request.key, now_ns)

    def _register_waiting(self, now_ns: int, active: ActiveRequest, queue: KeyQueue) -> bool:
        """Set the timer for a request that has to wait; return False if that would be too late."""
        typical_response_ns = int(self._admission.typical_response_ns(active.request.class_index))
        open_ahead_count = sum(1 for other in queue.requests if not other.is_closed)
        latest_ns = active.answer_deadline_ns - typical_response_ns
        if max(now_ns, queue.cooldown_until_ns) + open_ahead_count * typical_response_ns > latest_ns:
            return False
        self._active_requests[active.request.id] = active
        self._deferred.defer(latest_ns, partial(self._finish_unsent, active))
        self._actions.emit(api.SetTimer(latest_ns, api.TimerId.DEFERRED))
        return True

    def _send_next(self, key: int, now_ns: int) -> None:
        """Send the first waiting request that can be sent; remove the queue if no request waits."""
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
