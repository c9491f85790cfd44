"""The interface through which an attempt asks its owner for permission and reports its result."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from moleport.node.response_parser import ServerResponse
from moleport.policy.interface import AttemptResult
from moleport.telemetry import Event

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt


class WritePermission(Enum):
    """The owner's decision on an attempt that is about to connect or to write."""

    GRANTED = "write"
    # The attempt supervisor delays a connect or write; the attempt asks again in PERMISSION_POLL_INTERVAL_S.
    WAIT = "wait"
    DENIED = "stop"  # the attempt supervisor denies a connect or write: the attempt ends as not sent


class AttemptOwner(Protocol):
    """The component that starts attempts, authorizes their writes and receives their results."""

    def authorize_write(self, attempt: Attempt) -> WritePermission:
        """Decide whether the attempt may connect or write now."""
        ...

    def has_send_capacity(self, attempt: Attempt) -> bool:
        """Return whether the kernel takes a complete response to the attempt's request for the client."""
        ...

    def record_attempt_event(self, attempt: Attempt, event: Event) -> None:
        """Count and trace an event of the attempt."""

    def on_request_written(self, attempt: Attempt, timeout_ns: int, written_at_ns: int) -> None:
        """Handle a request that was passed to the kernel or to the transport's write buffer.

        `timeout_ns` is the remaining time that the request states to the server in its X-Deadline header.
        `written_at_ns` is the time of the write, in monotonic ns.
        """

    def on_written_ended_unsent(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle an attempt that was ended as unsent although its request is completely written.

        `result` is the contradictory result; `on_attempt_ended` is then called with CANCELLED in its place.
        """

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, response: ServerResponse | None
    ) -> None:
        """Handle the result of an attempt; each attempt calls this method exactly once."""
