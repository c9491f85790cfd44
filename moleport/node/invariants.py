"""Invariants of the node, and the check of the invariants that concern writing a request to a server.

A client gets one response. A request that must not be repeated is not executed twice. No request is sent to a
server that is draining or removed, or for a client that has disconnected. The checks of these invariants are
independent of the code that enforces them. A violation is counted and logged, and does not change how the
request is handled.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from moleport.policy.interface import Idempotency
from moleport.units import NS_PER_MS

# Time after a client's disconnect is detected in which the client's request may still be written to a server.
MAX_DISCONNECT_LATENCY_NS = 100 * NS_PER_MS
# Time by which the timeout stated in X-Deadline to a server may exceed the time until the client's deadline.
DEADLINE_TOLERANCE_NS = 150 * NS_PER_MS


class Invariant(StrEnum):
    """A rule for requests and attempts; its value is its name in logs and counters."""

    NOT_ANSWERED = "not_answered"
    ATTEMPT_LIMIT = "attempt_limit"
    ONE_ATTEMPT_IN_FLIGHT = "one_attempt_in_flight"
    NO_REPEATED_EXECUTION = "no_repeated_execution"
    CLIENT_CONNECTED = "client_connected"
    ENDPOINT_AVAILABLE = "endpoint_available"
    DEADLINE_NOT_EXTENDED = "deadline_not_extended"
    RESULT_MATCHES_WRITE = "result_matches_write"  # no attempt ends as unsent after its request is written
    # No request and no attempt is still active after its deadline plus the tolerance MAX_OVERDUE_NS;
    # checked by consistency_check.py.
    ENDED_IN_TIME = "ended_in_time"
    # The policy counts as many attempts in flight as the node; checked by consistency_check.py.
    ATTEMPTS_AGREE = "attempts_agree"


class RequestWrite(NamedTuple):
    """The state of a request and one of its attempts when the request is written. Durations are in ns."""

    idempotency: Idempotency
    deduplication_window_ns: int  # time for which servers drop requests with a repeated idempotency key
    attempt_index: int  # position of the attempt among those of its request, from 0
    max_attempts: int
    # Number of the request's attempts that have not ended, without the attempt that is being written.
    other_attempt_count: int
    is_answered: bool  # whether the final response to the request has been sent to the client
    # Time (ns) from the write of the request's first attempt that a server may have executed to the write of
    # this attempt; None without such an earlier attempt.
    since_execution_ns: int | None
    # Time (ns) from the node's detection of the client's disconnect to the write of this attempt; None if no
    # disconnect was detected.
    since_client_disconnect_ns: int | None
    # Time (ns) from the moment at which the node learned of the server's drain, removal, move or restart to
    # the write of this attempt; None if the node knows of no such change.
    since_endpoint_removal_ns: int | None
    drain_grace_ns: int  # time after a server's drain or removal in which requests may still be written
    timeout_ns: int  # remaining time that the request states to the server in X-Deadline
    remaining_ns: int  # time (ns) from the write of this attempt to the deadline of the client's request


def violated_invariants(write: RequestWrite) -> Iterator[Invariant]:
    """Yield each invariant that writing the request of an attempt violates."""
    if write.is_answered:
        yield Invariant.NOT_ANSWERED
    if write.attempt_index >= write.max_attempts:
        yield Invariant.ATTEMPT_LIMIT
    if write.other_attempt_count:
        yield Invariant.ONE_ATTEMPT_IN_FLIGHT
    if write.since_execution_ns is not None and not _may_repeat(write, write.since_execution_ns):
        yield Invariant.NO_REPEATED_EXECUTION
    if (
        write.since_client_disconnect_ns is not None
        and write.since_client_disconnect_ns > MAX_DISCONNECT_LATENCY_NS
    ):
        yield Invariant.CLIENT_CONNECTED
    if write.since_endpoint_removal_ns is not None and write.since_endpoint_removal_ns > write.drain_grace_ns:
        yield Invariant.ENDPOINT_AVAILABLE
    if write.timeout_ns > write.remaining_ns + DEADLINE_TOLERANCE_NS:
        yield Invariant.DEADLINE_NOT_EXTENDED


def _may_repeat(write: RequestWrite, since_execution_ns: int) -> bool:
    """Return whether a request that may have been executed may be written again.

    `since_execution_ns` is the time since the first attempt that may have been executed, in ns.
    """
    if write.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    if write.idempotency is Idempotency.IDEMPOTENCY_KEY:
        return since_execution_ns < write.deduplication_window_ns
    return True
