"""Checks every second that the state of the node is consistent.

No request and no attempt may be active after its deadline, and the policy must count as many attempts in
flight as the node. A violation is counted and logged, and not repaired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from time import monotonic_ns

from moleport.node.hold_detector import HoldDetector
from moleport.node.invariants import Invariant
from moleport.node.request import PendingRequest
from moleport.telemetry import Telemetry
from moleport.units import NS_PER_MS

CHECK_PERIOD_SECONDS = 1.0
# A request or an attempt that is still active MAX_OVERDUE_NS after its deadline is reported as overdue.
MAX_OVERDUE_NS = 500 * NS_PER_MS


class ConsistencyCheck:
    """Finds overdue requests and attempts, and compares the attempt counts of the node and of the policy."""

    def __init__(
        self,
        active_requests: Mapping[int, PendingRequest],
        policy_attempt_count: Callable[[], int],
        hold_detector: HoldDetector,
        telemetry: Telemetry,
    ) -> None:
        """Create a consistency check of `active_requests`, by request number; `start` schedules the check.

        `policy_attempt_count` returns the number of attempts that the policy counts as in flight.
        """
        self._active_requests = active_requests
        self._policy_attempt_count = policy_attempt_count
        self._hold_detector = hold_detector
        self._telemetry = telemetry
        # Requests and attempts that were active more than MAX_OVERDUE_NS after their deadline when the node's
        # state was last checked for consistency, and that have been reported.
        # An entry is the request number and the attempt index, which is None for the request itself.
        self._reported_overdue: set[tuple[int, int | None]] = set()
        # The policy's count of attempts in flight minus the node's count, when they were last compared.
        self._excess_count = 0

    def start(self) -> None:
        """Schedule the next consistency check on the running event loop."""
        asyncio.get_running_loop().call_later(CHECK_PERIOD_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        """Schedule the next check, and check the state of the node now unless a hold has just ended."""
        self.start()
        # Just after a hold (the event loop did not run for a while), the checks for requests and attempts
        # past their deadline, and for wrong attempt counts, are skipped, because timers that end requests
        # and attempts may be overdue and not have run yet.
        if not self._hold_detector.may_have_unread_input():
            self.check()

    def check(self) -> None:
        """Report each overdue request and attempt once, and each new difference of the attempt counts."""
        self._check_overdue(monotonic_ns() - MAX_OVERDUE_NS)
        self._check_attempt_counts()

    def _check_overdue(self, latest_deadline_ns: int) -> None:
        """Report requests and attempts with a deadline before `latest_deadline_ns`, in monotonic ns."""
        overdue: set[tuple[int, int | None]] = set()
        for request in self._active_requests.values():
            if request.client_request.deadline_ns < latest_deadline_ns:
                overdue.add((request.request_number, None))
            for index, attempt in request.attempts.items():
                if attempt.expires_at_ns < latest_deadline_ns:
                    overdue.add((request.request_number, index))
        for request_number, attempt_index in overdue - self._reported_overdue:
            self._telemetry.record_violation(
                Invariant.ENDED_IN_TIME, request=request_number, attempt=attempt_index
            )
        self._reported_overdue = overdue

    def _check_attempt_counts(self) -> None:
        """Report a new difference between the attempts that the policy and the node count as in flight."""
        node_count = sum(len(request.attempts) for request in self._active_requests.values())
        policy_count = self._policy_attempt_count()
        excess_count = policy_count - node_count
        if excess_count and excess_count != self._excess_count:
            self._telemetry.record_violation(Invariant.ATTEMPTS_AGREE, node=node_count, policy=policy_count)
        self._excess_count = excess_count
