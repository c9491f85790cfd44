"""Retries: the conditions for a further attempt, and the budget for all retries of the node.

A request whose attempt has ended without an answer is retried unless

- another attempt of the request is in flight
- the remaining time is at most MIN_REMAINING_MULTIPLE times the typical response time of its class
- the request has used the setting `max_attempts`
- the retry budget does not cover the retry. Each first attempt adds RETRY_BUDGET_RATIO of a retry to the
  budget, up to RETRY_BURST_ATTEMPTS. A retry of an attempt that did not reach its endpoint costs nothing
- no endpoint may be used (selection), or each one left could execute the request twice (state)

A request that may not be retried gets its final answer (final_answers).

This guards against retries that multiply the load on endpoints that are already overloaded.
"""

from __future__ import annotations

from moleport.policy.admission import AdmissionControl
from moleport.policy.interface import AttemptResult
from moleport.policy.state import ActiveRequest

RETRY_BUDGET_RATIO = 0.1
RETRY_BURST_ATTEMPTS = 10.0
MIN_REMAINING_MULTIPLE = 0.5

UNREACHED = (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
"""Results which prove that an attempt put no load on its endpoint."""


class RetryPolicy:
    """Decides whether a request may be retried."""

    def __init__(self, max_attempts: int, admission: AdmissionControl) -> None:
        self._max_attempts = max_attempts
        self._admission = admission
        self._budget = RETRY_BURST_ATTEMPTS

    def on_first_attempt(self) -> None:
        """Add RETRY_BUDGET_RATIO to the retry budget, for the first attempt of a request."""
        self._budget = min(RETRY_BURST_ATTEMPTS, self._budget + RETRY_BUDGET_RATIO)

    def may_retry(self, now_ns: int, active: ActiveRequest, result: AttemptResult) -> bool:
        """Return whether a request without attempts in flight may be sent again."""
        remaining_ns = active.answer_deadline_ns - now_ns
        typical_response_ns = self._admission.typical_response_ns(active.request.class_index)
        if remaining_ns <= MIN_REMAINING_MULTIPLE * typical_response_ns:
            return False
        if len(active.attempts) >= self._max_attempts:
            return False
        return self._budget >= _budget_cost(result)

    def on_retry(self, result: AttemptResult) -> None:
        """Subtract the cost of a retry from the retry budget; the cost depends on the last result."""
        self._budget -= _budget_cost(result)


def _budget_cost(result: AttemptResult) -> float:
    return 0.0 if result in UNREACHED else 1.0
