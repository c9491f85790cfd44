"""Invariants of the platform, and the check of those that concern the write of a request to a server.

A client gets one response. A request that must not be repeated is not executed twice. No request is sent to a
server that is draining or removed, or for a client that has disconnected. The checks are independent of the
code that enforces these rules. A violation is counted and logged, and does not change how the request is
handled.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from moleport.policy.interface import Idempotency
from moleport.units import NS_PER_MS

MAX_DISCONNECT_LATENCY_NS = 100 * NS_PER_MS  # time after a disconnect in which an attempt may still begin
DEADLINE_TOLERANCE_NS = 150 * NS_PER_MS  # by which a stated timeout may exceed the time left to the client


class Invariant(StrEnum):
    """A rule for requests and attempts; its value is its name in logs and counters."""

    NOT_ANSWERED = "not_answered"
    ATTEMPT_LIMIT = "attempt_limit"
    ONE_ATTEMPT_IN_FLIGHT = "one_attempt_in_flight"
    NO_REPEATED_EXECUTION = "no_repeated_execution"
    CLIENT_CONNECTED = "client_connected"
    ENDPOINT_AVAILABLE = "endpoint_available"
    DEADLINE_NOT_EXTENDED = "deadline_not_extended"
    RESULT_MATCHES_WRITE = "result_matches_write"  # no attempt ends as not executed once it is written
    ENDED_IN_TIME = "ended_in_time"  # checked by consistency_check.py, as is ATTEMPTS_AGREE
    ATTEMPTS_AGREE = "attempts_agree"


class RequestWrite(NamedTuple):
    """The state of a request and one of its attempts when the attempt is written. Durations are in ns."""

    idempotency: Idempotency
    deduplication_window_ns: int  # time for which servers drop a repeated idempotency key
    attempt_index: int  # position among the attempts of the request, from 0
    max_attempts: int
    other_attempt_count: int  # other attempts of the same request that are in flight
    is_answered: bool  # whether the final response has been sent to the client
    since_execution_ns: int | None  # time since the first attempt that may have been executed, if any
    since_client_disconnect_ns: int | None  # time since the node detected it; None if connected
    since_endpoint_removal_ns: int | None  # time since the node learned of its drain or removal, if any
    drain_grace_ns: int  # time after a drain or removal in which a request may still be written
    timeout_ns: int  # remaining time that the request states to the server
    remaining_ns: int  # time until the client's deadline


def violated_invariants(write: RequestWrite) -> Iterator[Invariant]:
    """Yield each invariant that the write of an attempt violates."""
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
