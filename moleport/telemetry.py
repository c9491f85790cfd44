"""Counters of the node's events, and an optional trace of single events.

Counters are always kept; `Telemetry.report` logs them as one JSON object. The trace, one JSON object for each
event with the ids that it concerns, is logged when the environment variable BALANCER_TRACE is 1.
"""

from __future__ import annotations

import json
import logging
import os
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Event(StrEnum):
    """An event of the node; the value is the name of its counter."""

    REQUEST_RECEIVED = "request_received"
    REQUEST_EXPIRED_ON_ARRIVAL = "request_expired_on_arrival"  # its deadline passed before it was read
    REQUEST_DUPLICATE_ID = "request_duplicate_id"
    REQUEST_REJECTED_BY_LIMIT = "request_rejected_by_limit"  # too many active requests
    REQUEST_REJECTED_AT_SHUTDOWN = "request_rejected_at_shutdown"
    REQUEST_REJECTED_BY_POLICY = "request_rejected_by_policy"
    REQUEST_FAILED_BY_POLICY = "request_failed_by_policy"
    REQUEST_OVERDUE = (
        "request_overdue"  # unanswered at its deadline, at shutdown or after a fault of the policy
    )
    RESPONSE_FAILED = "response_failed"  # an exception as the client's connection was given a response
    CLIENT_DISCONNECTED = "client_disconnected"  # before its response
    CLIENT_TIMED_OUT = "client_timed_out"  # stopped sending within a request
    CLIENT_CLOSED_IDLE = "client_closed_idle"  # sent no request, or no further one, for too long
    CLIENT_RECLAIMED = "client_reclaimed"  # closed in favour of another connection
    ACCEPT_FAILED = "accept_failed"
    ATTEMPT_WRITTEN = "attempt_written"
    ATTEMPT_FAILED = "attempt_failed"  # with any result but OK; the trace has it
    ATTEMPT_RETRIED = "attempt_retried"  # any but the first of a request; also counted as written
    ATTEMPT_STOPPED_CLIENT_DISCONNECTED = "attempt_stopped_client_disconnected"
    ATTEMPT_STOPPED_SERVER_REMOVED = "attempt_stopped_server_removed"  # or draining
    ATTEMPT_STOPPED_TOO_LATE = "attempt_stopped_too_late"
    ATTEMPT_STOPPED_LIMIT = "attempt_stopped_limit"  # too many attempts, or the request is answered
    ATTEMPT_DELAYED_AFTER_STALL = "attempt_delayed_after_stall"  # until sockets are read again
    ENDPOINT_EJECTED = "endpoint_ejected"
    ENDPOINT_REINSTATED = "endpoint_reinstated"
    CONNECT_FAILED_LOCALLY = "connect_failed_locally"  # a fault of the node's machine
    CONNECT_FAILED = "connect_failed"
    POLICY_FAILED = "policy_failed"  # an exception as it handled an event
    LOOP_HELD = "loop_held"  # the event loop was stalled
    WATCH_FAILED = "watch_failed"
    RELOAD_APPLIED = "reload_applied"
    RELOAD_RETRIED = "reload_retried"  # the configuration file was not usable yet
    RELOAD_ABANDONED = "reload_abandoned"


class Telemetry:
    """The counters and the trace of one node."""

    def __init__(self, trace: bool | None = None) -> None:
        """Trace single events if told to, or by default if the environment says so."""
        self.counters: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self._trace = os.environ.get("BALANCER_TRACE") == "1" if trace is None else trace

    def count(self, event: Event, **ids: object) -> None:
        """Count an event; the ids go to the trace."""
        self.counters[event] += 1
        if self._trace:
            log.info("trace %s", json.dumps({"event": event, **ids}, default=str))

    def violate(self, invariant: str, **ids: object) -> None:
        """Count and log an invariant that does not hold, which is a fault of the node itself."""
        self.violations[invariant] += 1
        log.error("invariant violated: %s", json.dumps({"invariant": invariant, **ids}, default=str))

    def report(self) -> None:
        """Log all counters."""
        counters = dict(sorted(self.counters.items()))
        log.info("counters %s", json.dumps({"counters": counters, "violations": dict(self.violations)}))
