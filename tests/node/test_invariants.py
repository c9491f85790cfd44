"""Tests of the invariants of a write: each is violated alone, and none is violated at its limit."""

from __future__ import annotations

from typing import Any

import pytest

from moleport.node.invariants import (
    DEADLINE_TOLERANCE_NS,
    MAX_DISCONNECT_LATENCY_NS,
    Invariant,
    RequestWrite,
    violated_invariants,
)
from moleport.policy.interface import Idempotency

WINDOW_NS = 10**9
GRACE_NS = 5 * 10**8
VALID = RequestWrite(
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_window_ns=WINDOW_NS,
    attempt_index=0,
    max_attempts=3,
    other_attempt_count=0,
    is_answered=False,
    since_execution_ns=None,
    since_client_disconnect_ns=None,
    since_endpoint_removal_ns=None,
    drain_grace_ns=GRACE_NS,
    timeout_ns=10**9,
    remaining_ns=10**9,
)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"is_answered": True}, Invariant.NOT_ANSWERED),
        ({"attempt_index": 3}, Invariant.ATTEMPT_LIMIT),
        ({"other_attempt_count": 1}, Invariant.ONE_ATTEMPT_IN_FLIGHT),
        (
            {"idempotency": Idempotency.NOT_IDEMPOTENT, "since_execution_ns": 0},
            Invariant.NO_REPEATED_EXECUTION,
        ),
        (
            {"idempotency": Idempotency.IDEMPOTENCY_KEY, "since_execution_ns": WINDOW_NS},
            Invariant.NO_REPEATED_EXECUTION,
        ),
        ({"since_client_disconnect_ns": MAX_DISCONNECT_LATENCY_NS + 1}, Invariant.CLIENT_CONNECTED),
        ({"since_endpoint_removal_ns": GRACE_NS + 1}, Invariant.ENDPOINT_AVAILABLE),
        ({"timeout_ns": 10**9 + DEADLINE_TOLERANCE_NS + 1}, Invariant.DEADLINE_NOT_EXTENDED),
    ],
)
def test_each_invariant_is_violated_alone(change: dict[str, Any], expected: Invariant) -> None:
    assert list(violated_invariants(VALID._replace(**change))) == [expected]


@pytest.mark.parametrize(
    "change",
    [
        {},
        {"attempt_index": 2},
        {"since_execution_ns": 10**12},
        {"idempotency": Idempotency.IDEMPOTENCY_KEY, "since_execution_ns": WINDOW_NS - 1},
        {"idempotency": Idempotency.NOT_IDEMPOTENT},
        {"since_client_disconnect_ns": MAX_DISCONNECT_LATENCY_NS},
        {"since_endpoint_removal_ns": GRACE_NS},
        {"timeout_ns": 10**9 + DEADLINE_TOLERANCE_NS},
    ],
)
def test_a_write_at_a_limit_violates_no_invariant(change: dict[str, Any]) -> None:
    assert not list(violated_invariants(VALID._replace(**change)))


def test_the_names_of_invariants_in_logs_and_counters_are_unchanged() -> None:
    assert [str(invariant) for invariant in Invariant] == [
        "not_answered",
        "attempt_limit",
        "one_attempt_in_flight",
        "no_repeated_execution",
        "client_connected",
        "endpoint_available",
        "deadline_not_extended",
        "result_matches_write",
        "ended_in_time",
        "attempts_agree",
    ]
