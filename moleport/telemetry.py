"""Counters of the node's events, and an optional trace of each event.

The node always counts events; `Telemetry.report` logs all counters as one JSON object. If the environment
variable BALANCER_TRACE is 1, each event is also logged as a JSON object with the ids of its request, attempt
or server.
"""

from __future__ import annotations

import json
import logging
import os
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Event(StrEnum):
    """An event of the node; its value is the name of its counter."""

    REQUEST_RECEIVED = "request_received"
    """The node received a client's request completely."""
    REQUEST_EXPIRED_ON_ARRIVAL = "request_expired_on_arrival"
    """A request's deadline was too near, or had passed, when the node had received the request."""
    REQUEST_DUPLICATE_ID = "request_duplicate_id"
    """A request arrived with the id of a request that was still active."""
    REQUEST_REJECTED_BY_LIMIT = "request_rejected_by_limit"
    """The node rejected a request because too many requests were active."""
    REQUEST_REJECTED_BY_MEMORY = "request_rejected_by_memory"
    """The node rejected a request because requests of clients used too much memory."""
    REQUEST_REJECTED_AT_SHUTDOWN = "request_rejected_at_shutdown"
    """The node rejected a request because it was shutting down."""
    REQUEST_REJECTED_BY_POLICY = "request_rejected_by_policy"
    """The policy rejected a request; the client got 503."""
    REQUEST_FAILED_BY_POLICY = "request_failed_by_policy"
    """The policy ended a request without a response of a server; the client got 502 or 504."""
    REQUEST_OVERDUE = "request_overdue"
    """A request had no response at its deadline, at shutdown or after an exception of the policy."""
    RESPONSE_FAILED = "response_failed"
    """An exception occurred when a response was passed to its client connection."""
    CLIENT_DISCONNECTED = "client_disconnected"
    """A client closed its connection, or ended its sending, before it got its response."""
    CLIENT_TIMED_OUT = "client_timed_out"
    """A client did not complete a request in time; the node answers 408."""
    CLIENT_CLOSED_IDLE = "client_closed_idle"
    """A client connection was closed because the client sent no request for too long."""
    CLIENT_RECLAIMED = "client_reclaimed"
    """A client connection was closed to free its slot for another client."""
    CLIENT_MEMORY_FULL = "client_memory_full"
    """An incomplete request was rejected because requests of clients used too much memory."""
    MEMORY_SHORT = "memory_short"
    """Requests and responses have used up the memory budget, so that new requests are rejected."""
    RESPONSES_PAUSED = "responses_paused"
    """Responses of servers stay in the kernel until memory is free."""
    CLIENT_TABLE_FULL = "client_table_full"
    """A client waited in the accept queue, as no slot was free; the trace contains the slots by state."""
    ACCEPT_FAILED = "accept_failed"
    """The system call to accept a client connection failed."""
    ATTEMPT_WRITTEN = "attempt_written"
    """An attempt was written to the connection to its server."""
    ATTEMPT_FAILED = "attempt_failed"
    """An attempt ended with a result other than `AttemptResult.OK`; the trace contains the result."""
    ATTEMPT_RETRIED = "attempt_retried"
    """An attempt other than the first of its request was written; ATTEMPT_WRITTEN counts it too."""
    ATTEMPT_STOPPED_CLIENT_DISCONNECTED = "attempt_stopped_client_disconnected"
    """An attempt was not written because its client had disconnected."""
    ATTEMPT_STOPPED_CLIENT_UNSEEN = "attempt_stopped_client_unseen"
    """An attempt was not written because its client may have disconnected behind data that is not read."""
    ATTEMPT_STOPPED_SERVER_REMOVED = "attempt_stopped_server_removed"
    """An attempt was not written because its server was draining or removed."""
    ATTEMPT_STOPPED_AFTER_DEADLINE = "attempt_stopped_too_late"
    """An attempt was not written because its timeout, or the policy's write deadline, had passed."""
    ATTEMPT_STOPPED_LIMIT = "attempt_stopped_limit"
    """An attempt was not started, as its request had no attempts left or already had its response."""
    ATTEMPT_DELAYED_AFTER_STALL = "attempt_delayed_after_stall"
    """An attempt waited, after a stall of the event loop, until the node had read its sockets again."""
    ENDPOINT_EJECTED = "endpoint_ejected"
    """The policy ejected an endpoint."""
    ENDPOINT_REINSTATED = "endpoint_reinstated"
    """The policy ended the ejection of an endpoint."""
    CONNECT_FAILED_LOCALLY = "connect_failed_locally"
    """A connection to a server failed through a fault of the node's own machine."""
    CONNECT_FAILED = "connect_failed"
    """A connection to a server failed through a fault of the server."""
    POLICY_FAILED = "policy_failed"
    """The policy raised an exception when it handled an event."""
    LOOP_STALLED = "loop_held"
    """The event loop ran late, as in a process that was stopped for a while."""
    WATCH_FAILED = "watch_failed"
    """A watch or poll of the endpoint list failed or became overdue; the trace contains the failure."""
    ENDPOINT_LIST_OUTDATED = "endpoint_list_outdated"
    """Discovery has sent nothing for so long that the endpoint list may be outdated; the trace contains for
    how long."""
    ENDPOINT_LIST_CURRENT = "endpoint_list_current"
    """Discovery has sent data again after the endpoint list had become outdated."""
    INITIAL_LIST_MISSING = "initial_list_missing"
    """The node began to serve before discovery had sent an endpoint list; the trace contains the reason."""
    RELOAD_APPLIED = "reload_applied"
    """The node read a new configuration and applied it."""
    RELOAD_RETRIED = "reload_retried"
    """A new configuration was invalid, so the node scheduled another read of the configuration file."""
    RELOAD_ABANDONED = "reload_abandoned"
    """A new configuration remained invalid, so the node kept its present configuration."""


class Gauge(StrEnum):
    """A measured value of the node; its value is the name of the gauge."""

    RESIDENT_KB = "resident_kb"
    """Resident memory of the process, in KB."""
    MEMORY_USED_KB = "memory_used_kb"
    """Memory that the memory budget counts, in KB."""


class Telemetry:
    """Event counters, invariant violation counters and the trace of one node."""

    def __init__(self, trace: bool | None = None) -> None:
        """Create empty counters.

        `trace` switches the trace on or off; by default the variable BALANCER_TRACE decides.
        """
        self.counters: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.maxima: dict[Gauge, int] = {}
        self._is_tracing = os.environ.get("BALANCER_TRACE") == "1" if trace is None else trace

    def count(self, event: Event, **ids: object) -> None:
        """Count an event, and log the event with `ids` if the trace is on."""
        self.counters[event] += 1
        if self._is_tracing:
            log.info("trace %s", json.dumps({"event": event, **ids}, default=str))

    def record_maximum(self, gauge: Gauge, value: int) -> None:
        """Keep the value if it is the largest of the gauge so far."""
        self.maxima[gauge] = max(value, self.maxima.get(gauge, 0))

    def record_violation(self, invariant: str, **ids: object) -> None:
        """Count and log the violation of an invariant, which is a fault of the node itself."""
        self.violations[invariant] += 1
        log.error("invariant violated: %s", json.dumps({"invariant": invariant, **ids}, default=str))

    def report(self) -> None:
        """Log all counters, and the maxima of all gauges, as one JSON object."""
        counters = dict(sorted(self.counters.items()))
        report = {"counters": counters, "violations": dict(self.violations), "maxima": self.maxima}
        log.info("counters %s", json.dumps(report))
