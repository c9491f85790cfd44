"""State that several rules share: an endpoint's status, a request and its attempts.

Each field names its owner, the module that writes it; the other rules only read it. One field has a second
writer: final_answers also sets `ActiveRequest.is_closed`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from moleport.policy import interface as api
from moleport.policy.interface import NOT_EXECUTED, AttemptResult, DeduplicationScope, Idempotency

REPEAT_TRANSIT_NS = 20_000_000  # from a repeat's last byte written until the endpoint has it


@dataclass(slots=True, eq=False)
class EndpointStatus:
    """What this node knows of one endpoint."""

    endpoint: api.Endpoint
    """Its entry in the endpoint list. Owner: endpoint_registry."""
    slow_start_tokens: float
    """Requests that it may be sent during slow start. Owner: slow_start."""
    slow_start_refilled_at_ns: int
    """When the tokens were last refilled. Owner: slow_start."""
    unproven_sent_at_ns: tuple[int, ...] = ()
    """When it was sent its last requests while its capacity was unknown, newest last. Owner: slow_start."""
    success_streak: int = 0
    """Attempts in slow start that succeeded since one failed. Owner: slow_start."""
    in_flight: int = 0
    """Attempts of this node in flight, and those released late after a time-out. Owner: admission."""
    idle_since_ns: list[int] = field(default_factory=list)
    """For each idle connection, when it became idle; newest last. Owner: connection_health."""
    rejection_rates: dict[int, float] = field(default_factory=dict)
    """By class index: rejected part of recent answers, 0 to 1. Owner: rejection_rates."""
    utilization: float = 0.0
    """Part of its cores in use, 0 to 1, as last reported. Owner: load_reports."""
    response_time_ratio: float = 1.0
    """Mean of its response times over the typical one of their class. Owner: admission."""
    waiting_time_ratio: float = 1.0
    """The same, with the time waited for attempts that timed out. Owner: admission."""
    succeeded_at_ns: int = 0
    """When it last answered a request with success. Owner: outlier_detection."""
    listed_at_ns: int = 0
    """When this node was notified of it, or of its last start. Owner: endpoint_registry."""
    ring_position: int = 0
    """Its order on the ring of endpoint_subset, a hash of its id. Owner: endpoint_registry."""
    is_ready: bool = False
    """Whether it is among the ready endpoints. Owner: endpoint_registry."""
    warm_weight_units: int = 0
    """Its part of the warm endpoints' total weight; 0 during slow start. Owner: slow_start."""
    failure_rate: float = 0.0
    """Failed part of recent attempts, 0 to 1. Owner: outlier_detection."""
    ejected_until_ns: int = 0
    """End of its ejection, after which it gets a trial; 0: not ejected. Owner: outlier_detection."""
    ejection_doublings: int = 0
    """Times that failed trials have doubled the ejection. Owner: outlier_detection."""
    is_on_trial: bool = False
    """Whether the one attempt that decides on its reinstatement is in flight. Owner: outlier_detection."""

    def silence_ns(self, now_ns: int) -> int:
        """Return the time without a successful answer since the endpoint was listed, in ns."""
        return now_ns - max(self.succeeded_at_ns, self.listed_at_ns)

    def reset_failures(self) -> None:
        """Forget all failures and end any ejection."""
        self.failure_rate = 0.0
        self.ejected_until_ns = 0
        self.ejection_doublings = 0
        self.is_on_trial = False


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt to have a request answered by an endpoint. Owner: balancer."""

    status: EndpointStatus
    sent_at_ns: int
    idle_ns: int
    """How long its connection had been idle; 0: a new connection."""
    result: AttemptResult | None = None
    """None while in flight."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request without its final answer, or with attempts in flight. Owner: balancer.

    Its methods are the idempotency rules: they forbid whatever could execute a request twice.
    """

    request: api.Request
    request_class: api.RequestClass
    useful_until_ns: int
    """Time after which an answer has no value, so that none is waited for."""
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_closed: bool = False
    """The client has its final answer or has disconnected. Owners: balancer, final_answers."""

    def is_complete(self) -> bool:
        """Return whether the request is closed and has no attempt in flight."""
        return self.is_closed and all(attempt.result is not None for attempt in self.attempts)

    def maybe_executed_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that an endpoint may have executed, in the order of sending."""
        return [attempt for attempt in self.attempts if attempt.result not in NOT_EXECUTED]

    def may_reject(self) -> bool:
        """Return whether the client may be told that trying again is harmless."""
        idempotency = self.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT or not self.maybe_executed_attempts():
            return True
        return (
            idempotency is Idempotency.IDEMPOTENCY_KEY
            and self.request_class.deduplication_scope is DeduplicationScope.ALL
            and self.request.key != 0
        )

    def may_send_to(self, endpoint: api.Endpoint, now_ns: int) -> bool:
        """Return whether a further attempt at this endpoint can't execute the request twice."""
        if self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return all(self._is_repeat_dropped(endpoint, one, now_ns) for one in self.maybe_executed_attempts())

    def write_deadline_ns(self) -> int:
        """Return when the next attempt has to be written at the latest; 0: no such bound.

        A repeat that arrives after the deduplication window would be executed again.
        """
        if self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return 0
        executed = self.maybe_executed_attempts()
        if not executed:
            return 0
        return executed[0].sent_at_ns + self.request_class.deduplication_window_ns - REPEAT_TRANSIT_NS

    def _is_repeat_dropped(self, endpoint: api.Endpoint, earlier: AttemptRecord, now_ns: int) -> bool:
        if self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return False
        if not self.request.key or now_ns >= self.write_deadline_ns():
            return False
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return endpoint.zone == earlier.status.endpoint.zone
        return scope is DeduplicationScope.ALL or endpoint.cell == earlier.status.endpoint.cell
