"""The platform's rules, and their check at each request that is written to a server.

The rules: one response to a client, no repeated execution, nothing to a server that drains or is removed,
nothing for a client that has disconnected. The checks are independent of the code that enforces the rules. A
violation changes nothing; it is counted and logged.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from moleport.policy.interface import Idempotency
from moleport.units import NS_PER_MS

MAX_DISCONNECT_LATENCY_NS = 100 * NS_PER_MS  # after a client's disconnection an attempt may still begin
DEADLINE_TOLERANCE_NS = 150 * NS_PER_MS


class Invariant(StrEnum):
    """A rule for requests and attempts; the value names it in logs and counters."""

    NOT_ANSWERED = "not_answered"
    ATTEMPT_LIMIT = "attempt_limit"
    ONE_ATTEMPT_IN_FLIGHT = "one_attempt_in_flight"
    NO_REPEATED_EXECUTION = "no_repeated_execution"
    CLIENT_CONNECTED = "client_connected"
    ENDPOINT_AVAILABLE = "endpoint_available"
    DEADLINE_NOT_EXTENDED = "deadline_not_extended"
    RESULT_MATCHES_WRITE = "result_matches_write"  # no written request ends as not executed
    ENDED_IN_TIME = "ended_in_time"  # by consistency_check.py, like the next one
    ATTEMPTS_AGREE = "attempts_agree"


class RequestWrite(NamedTuple):
    """The state of one attempt as the last byte of its request is written. Durations are in ns."""

    idempotency: Idempotency
    deduplication_window_ns: int  # in which servers drop a repeated idempotency key
    attempt_index: int  # from 0
    max_attempts: int
    other_attempt_count: int  # attempts of the same request in flight
    is_answered: bool  # the client has its response
    since_execution_ns: int | None  # since the first attempt that may have been executed; None: there is none
    since_client_disconnect_ns: int | None  # since the node detected it; None: still connected
    since_endpoint_removal_ns: int | None  # since the node was notified that it drains or is removed
    drain_grace_ns: int
    timeout_ns: int  # the time left that the request states to the server
    remaining_ns: int  # until the client's deadline


def violated_invariants(write: RequestWrite) -> Iterator[Invariant]:
    """Yield each invariant that a write violates."""
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
    """Return whether a request that may have been executed may be written again."""
    if write.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    if write.idempotency is Idempotency.IDEMPOTENCY_KEY:
        return since_execution_ns < write.deduplication_window_ns
    return True
