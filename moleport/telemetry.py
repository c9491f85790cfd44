"""What the node decided and why: counters by reason, and a trace of single events.

Counters are always kept; `report` logs them as one JSON object. The trace, one JSON object an event with the
ids that it concerns, is written when the environment sets BALANCER_TRACE to 1.
"""

from __future__ import annotations

import json
import logging
import os
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Event(StrEnum):
    """One thing that happened; the value is the counter's name."""

    REQUEST_TAKEN = "request_taken"
    REQUEST_EXPIRED_UNREAD = "request_expired_unread"  # its time was over before it was read
    REQUEST_DUPLICATE_ID = "request_duplicate_id"
    REQUEST_REFUSED_BY_LIMIT = "request_refused_by_limit"
    REQUEST_REFUSED_AT_END = "request_refused_at_end"  # the process is about to end
    REQUEST_REFUSED_BY_MODULE = "request_refused_by_module"
    REQUEST_FAILED_BY_MODULE = "request_failed_by_module"
    REQUEST_OVERDUE = "request_overdue"  # nobody had answered it at its deadline
    CLIENT_LEFT = "client_left"  # before its answer; found by the loop or by the guard
    CLIENT_TIMED_OUT = "client_timed_out"  # stopped in the midst of a request
    CLIENT_CLOSED_IDLE = "client_closed_idle"  # had asked nothing, or nothing more, for too long
    CLIENT_RECLAIMED = "client_reclaimed"  # closed to make room for another
    ACCEPT_FAILED = "accept_failed"
    ATTEMPT_WRITTEN = "attempt_written"
    ATTEMPT_REPEATED = "attempt_repeated"  # a further attempt, also counted as written
    ATTEMPT_STOPPED_CLIENT_LEFT = "attempt_stopped_client_left"
    ATTEMPT_STOPPED_SERVER_LEFT = "attempt_stopped_server_left"
    ATTEMPT_STOPPED_TOO_LATE = "attempt_stopped_too_late"
    ATTEMPT_STOPPED_LIMIT = "attempt_stopped_limit"
    ATTEMPT_HELD_FOR_NEWS = "attempt_held_for_news"  # after a hold, until the list has been read
    DIAL_FAILED_LOCALLY = "dial_failed_locally"  # a fault of this machine
    DIAL_FAILED = "dial_failed"
    LOOP_HELD = "loop_held"
    WATCH_FAILED = "watch_failed"
    RELOAD_APPLIED = "reload_applied"
    RELOAD_RETRIED = "reload_retried"  # the file could not be used yet
    RELOAD_ABANDONED = "reload_abandoned"


class Telemetry:
    """Counters of one node, and its trace."""

    def __init__(self, trace: bool | None = None) -> None:
        self.counters: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self._trace = os.environ.get("BALANCER_TRACE") == "1" if trace is None else trace

    def count(self, event: Event, **ids: object) -> None:
        self.counters[event] += 1
        if self._trace:
            log.info("trace %s", json.dumps({"event": event, **ids}, default=str))

    def violate(self, invariant: str, **ids: object) -> None:
        """An invariant does not hold: a fault of the node's own, which its guards should have prevented."""
        self.violations[invariant] += 1
        log.error("invariant violated: %s", json.dumps({"invariant": invariant, **ids}, default=str))

    def report(self) -> None:
        """Log all counters, for whoever reads the log later."""
        counters = dict(sorted(self.counters.items()))
        log.info("counters %s", json.dumps({"counters": counters, "violations": dict(self.violations)}))
