"""Checks the rules of the platform against what clients, servers and agents of the soak observed.

All times are monotonic seconds of the driver, the process that runs clients, servers and agents. The driver
observes each event with a delay; `Observations.max_lag_seconds` is the longest delay. The oracle reports a
violation only if this delay can't explain the violation.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

ANSWER_GRACE_SECONDS = 0.5  # time after a request's deadline within which a late response is no violation
# time after a client disconnects within which a server may still receive an attempt of the client's request
DISCONNECT_GRACE_SECONDS = 0.1
# time for which a node may still send attempts to a server after the notification of the server's drain: the
# limit of 500 ms and the tolerance of 50 ms that the platform's protocol adds to each time limit
DRAIN_GRACE_SECONDS = 0.55
# time by which the timeout in an attempt's X-Deadline may exceed the time until its request's deadline
DEADLINE_TOLERANCE_SECONDS = 0.15


class Violation(NamedTuple):
    """A rule that was broken, and the request or node that broke it."""

    rule: str
    subject: str
    """Id of the request, or name of the node, that broke the rule."""
    detail: str


@dataclass(eq=False)
class Attempt:
    """A request that a server has received completely."""

    server: str
    """Name of the server that received the request."""
    received_at: float
    """Time at which the server had received the last byte of the request."""
    timeout_s: float
    """Time until the request's deadline that the attempt states in X-Deadline, in seconds."""
    may_have_run: bool = True
    """False if the server responded that the request was not executed."""
    ended_at: float | None = None
    """Time of the server's response, or of the end of the connection; None while the attempt is in flight."""


@dataclass(eq=False)
class ClientRequest:
    """A request that a client has sent."""

    request_id: str
    node: str
    """Name of the node that the client sent the request to."""
    at_most_once: bool
    """Whether the request must never be executed twice."""
    sent_at: float
    deadline_seconds: float
    """Time from `sent_at` to the request's deadline, as the request states in X-Deadline."""
    disconnected_at: float | None = None
    """Time at which the client closed its connection without waiting for the response."""
    status: int | None = None
    """Status code of the response; None for a request without a response."""
    body: bytes = b""
    """Body of the response; empty for a request without a response."""
    answered_at: float | None = None
    """Time at which the client had received the response."""
    closed_at: float | None = None
    """Time at which the connection ended without a response."""


@dataclass
class Observations:
    """All that clients, servers and agents observed in one run, with the checks of the platform's rules."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    """Requests of clients, by id."""
    attempts: defaultdict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    """Attempts of each request in the order of their arrival at servers, by request id."""
    request_ids_by_body: dict[bytes, str] = field(default_factory=dict)
    """Id of the request that a server responded to, by the body of the response."""
    read_request_ids: set[str] = field(default_factory=set)
    """Ids of the requests that nodes have read, as the logs of the nodes state."""
    kill_times: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    """Times at which each node was killed, by the name of the node."""
    removals: list[tuple[str, str, float, float]] = field(default_factory=list)
    """Drain periods: node, server, time of the node's notification, time of the end of the period.

    From DRAIN_GRACE_SECONDS after the notification until the end, the node must not send to the server.
    """
    max_lag_seconds: float = 0.0
    """Longest delay of the driver's event loop."""

    def violations(self) -> Iterator[Violation]:
        """Yield each violation of a rule."""
        for request in self.requests.values():
            yield from self._response_violations(request)
            yield from self._attempt_violations(request)
        yield from self._drain_violations()

    def _node_was_killed(self, request: ClientRequest) -> bool:
        """Return whether a request's node was killed while the request may have been in flight."""
        end = request.sent_at + request.deadline_seconds + ANSWER_GRACE_SECONDS
        return any(
            request.sent_at - 0.1 <= killed_at <= end + 0.1 for killed_at in self.kill_times[request.node]
        )

    def _response_violations(self, request: ClientRequest) -> Iterator[Violation]:
        if request.disconnected_at is not None or self._node_was_killed(request):
            return
        if request.status is None:
            if request.closed_at is None:
                yield Violation("lost", request.request_id, f"no response to {request}")
            elif request.request_id in self.read_request_ids or self.attempts[request.request_id]:
                yield Violation(
                    "lost",
                    request.request_id,
                    f"connection closed without a response after the node read {request}",
                )
            return
        assert request.answered_at is not None
        late_seconds = (
            request.answered_at
            - request.sent_at
            - request.deadline_seconds
            - ANSWER_GRACE_SECONDS
            - self.max_lag_seconds
        )
        if late_seconds > 0:
            yield Violation(
                "lost", request.request_id, f"response {late_seconds:.3f} s too late to {request}"
            )
        if request.status == 200 and self.request_ids_by_body.get(request.body) != request.request_id:
            yield Violation(
                "lost",
                request.request_id,
                f"no server sent the response to the request: {request.body[:60]!r}",
            )
        executed = [attempt for attempt in self.attempts[request.request_id] if attempt.may_have_run]
        if request.status in (429, 503) and request.at_most_once and executed:
            yield Violation(
                "duplicate",
                request.request_id,
                f"request rejected with {request.status}, though servers may have executed it: {executed}",
            )

    def _attempt_violations(self, request: ClientRequest) -> Iterator[Violation]:
        attempts = self.attempts[request.request_id]
        if request.at_most_once and sum(attempt.may_have_run for attempt in attempts) > 1:
            yield Violation(
                "duplicate", request.request_id, f"request may have been executed more than once: {attempts}"
            )
        for earlier, later in pairwise(attempts):
            if earlier.ended_at is None or earlier.ended_at > later.received_at + self.max_lag_seconds:
                yield Violation(
                    "duplicate",
                    request.request_id,
                    f"two attempts of the request in flight at once: {earlier}, {later}",
                )
        for attempt in attempts:
            if (
                request.disconnected_at is not None
                and attempt.received_at
                > request.disconnected_at + DISCONNECT_GRACE_SECONDS + self.max_lag_seconds
            ):
                late_seconds = attempt.received_at - request.disconnected_at
                yield Violation(
                    "lost",
                    request.request_id,
                    f"attempt sent {late_seconds:.3f} s after the client disconnected",
                )
            left_seconds = request.sent_at + request.deadline_seconds - attempt.received_at
            if attempt.timeout_s > left_seconds + DEADLINE_TOLERANCE_SECONDS + self.max_lag_seconds:
                yield Violation(
                    "deadline",
                    request.request_id,
                    f"attempt stated {attempt.timeout_s:.3f} s in X-Deadline with {left_seconds:.3f} s left",
                )

    def _drain_violations(self) -> Iterator[Violation]:
        periods = defaultdict(list)
        for node, server, notified_at, until in self.removals:
            periods[node, server].append((notified_at + DRAIN_GRACE_SECONDS + self.max_lag_seconds, until))
        for request_id, attempts in self.attempts.items():
            request = self.requests.get(request_id)
            for attempt in attempts:
                for begin, end in periods[request.node, attempt.server] if request else ():
                    if begin < attempt.received_at < end:
                        late_seconds = attempt.received_at - begin
                        yield Violation(
                            "drain",
                            request_id,
                            f"attempt sent to drained {attempt.server} {late_seconds:.3f} s too late",
                        )
