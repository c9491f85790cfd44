"""The final answer of a request that no endpoint has answered: rejected or failed.

`Reject` promises the client that trying again is harmless, so it is given only where the request can't have
been executed or a repeat would be recognised (`ActiveRequest.may_reject`); else the answer is `Fail`. A
rejection advises the client to stay away for the settings' `max_retry_after_ns`; where a late answer still
has value, for the latency objective if that is shorter.
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer
from moleport.policy.state import ActiveRequest

NO_ADVICE_NS = 0


class FinalAnswers:
    """Emits final answers."""

    def __init__(self, settings: api.Settings, actions: ActionBuffer) -> None:
        self._max_retry_after_ns = settings.max_retry_after_ns
        self._sends_retry_after = settings.sends_retry_after
        self._actions = actions

    def finish(self, active: ActiveRequest) -> None:
        """Close a request, and reject it if that is safe, else fail it."""
        active.is_closed = True
        if active.may_reject():
            self.reject(active)
        else:
            self._actions.emit(api.Fail(active.request.id))

    def reject(self, active: ActiveRequest) -> None:
        """Reject a request that can't have been executed, or is safe to repeat."""
        self._actions.emit(api.Reject(active.request.id, self._retry_after_ns(active.request_class)))

    def _retry_after_ns(self, request_class: api.RequestClass) -> int:
        if not self._sends_retry_after:
            return NO_ADVICE_NS
        if request_class.late_weight_ratio:
            return min(request_class.latency_objective_ns, self._max_retry_after_ns)
        return self._max_retry_after_ns
