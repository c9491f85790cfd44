"""Retries: what forbids a further attempt, and the budget that bounds all of them.

A request whose attempt has ended without an answer is retried unless

- another attempt of it is in flight
- too little time is left: at most MIN_REMAINING_MULTIPLE times the typical response time of its class
- it has used the settings' `max_attempts`
- the retry budget is empty; each first attempt adds RETRY_BUDGET_RATIO of a retry, up to
  RETRY_BURST_ATTEMPTS. A retry of an attempt that did not reach its endpoint is free
- no endpoint is left that may be used (selection), or only such that could execute it twice (state)

A request that may not be retried gets its final answer (final_answers).

Failure that this is for: retries that multiply the load of endpoints that are overloaded already.
"""

from __future__ import annotations

from moleport.policy.admission import AdmissionControl
from moleport.policy.interface import AttemptResult
from moleport.policy.state import ActiveRequest

RETRY_BUDGET_RATIO = 0.1
RETRY_BURST_ATTEMPTS = 10.0
MIN_REMAINING_MULTIPLE = 0.5

UNREACHED = (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
"""Results that prove that an attempt put no load on its endpoint."""


class RetryPolicy:
    """Decides whether a request may be retried."""

    def __init__(self, max_attempts: int, admission: AdmissionControl) -> None:
        self._max_attempts = max_attempts
        self._admission = admission
        self._budget = RETRY_BURST_ATTEMPTS

    def on_first_attempt(self) -> None:
        """Add to the budget."""
        self._budget = min(RETRY_BURST_ATTEMPTS, self._budget + RETRY_BUDGET_RATIO)

    def may_retry(self, now_ns: int, active: ActiveRequest, result: AttemptResult) -> bool:
        """Return whether a request without attempts in flight may be sent again."""
        remaining_ns = active.useful_until_ns - now_ns
        typical_ns = self._admission.typical_ns(active.request.class_index)
        if remaining_ns <= MIN_REMAINING_MULTIPLE * typical_ns:
            return False
        if len(active.attempts) >= self._max_attempts:
            return False
        return self._budget >= _cost(result)

    def on_retry(self, result: AttemptResult) -> None:
        """Take a retry after this result from the budget."""
        self._budget -= _cost(result)


def _cost(result: AttemptResult) -> float:
    return 0.0 if result in UNREACHED else 1.0
