"""Final answers of requests that no endpoint has answered: they are rejected or failed.

`Reject` promises the client that the request is safe to repeat, so it is used only if the request can't have
been executed or a repeat would be recognised (`ActiveRequest.may_reject`). Otherwise the answer is `Fail`. If
the setting `sends_retry_after` is on, a rejection tells the client to wait for the setting
`max_retry_after_ns` before it retries, or for the latency objective if that is shorter and late answers still
have value.
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer
from moleport.policy.state import ActiveRequest

NO_RETRY_AFTER_NS = 0


class FinalAnswers:
    """Emits the final answers that don't come from an endpoint."""

    def __init__(self, settings: api.Settings, actions: ActionBuffer) -> None:
        self._max_retry_after_ns = settings.max_retry_after_ns
        self._sends_retry_after = settings.sends_retry_after
        self._actions = actions

    def finish(self, active: ActiveRequest) -> None:
        """Close a request: reject a request that is safe to repeat, fail any other one."""
        active.is_closed = True
        if active.may_reject():
            self.reject(active)
        else:
            self._actions.emit(api.Fail(active.request.id))

    def reject(self, active: ActiveRequest) -> None:
        """Reject a request that can't have been executed or is safe to repeat."""
        self._actions.emit(api.Reject(active.request.id, self._retry_after_ns(active.request_class)))

    def _retry_after_ns(self, request_class: api.RequestClass) -> int:
        if not self._sends_retry_after:
            return NO_RETRY_AFTER_NS
        if request_class.late_weight_ratio:
            return min(request_class.latency_objective_ns, self._max_retry_after_ns)
        return self._max_retry_after_ns
