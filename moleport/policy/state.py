"""State that several modules share: the status of an endpoint, and a request with its attempts.

Each field names its owner, the module that writes it; the other modules only read it. One field has two
owners: balancer and final_answers set `ActiveRequest.is_closed`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from moleport.policy import interface as api
from moleport.policy.interface import NOT_EXECUTED, AttemptResult, DeduplicationScope, Idempotency

# Time allowed for a retry, sent by the node, to arrive at the endpoint after its last byte is written. The
# write has to end this long before the end of the deduplication window, in which endpoints drop repeats.
REPEAT_TRANSIT_NS = 20_000_000


@dataclass(slots=True, eq=False)
class EndpointStatus:
    """What this node knows about one endpoint."""

    endpoint: api.Endpoint
    """Entry of the endpoint in the endpoint list. Owner: endpoint_registry."""
    slow_start_tokens: float
    """Number of requests that may be sent to the endpoint during slow start. Owner: slow_start."""
    slow_start_refilled_at_ns: int
    """Time at which the slow start tokens were last refilled. Owner: slow_start."""
    unproven_sent_at_ns: tuple[int, ...] = ()
    """Send times of the last requests while the capacity is unknown, newest last. Owner: slow_start."""
    success_streak: int = 0
    """Successful attempts in slow start since the last failed one. Owner: slow_start."""
    in_flight: int = 0
    """Attempts of this node in flight, or awaiting their release after a time-out. Owner: admission."""
    idle_since_ns: list[int] = field(default_factory=list)
    """Time at which each idle connection became idle, newest last. Owner: connection_health."""
    rejection_rates: dict[int, float] = field(default_factory=dict)
    """Fraction of recent answers that were rejections, 0 to 1, by class index. Owner: rejection_rates."""
    utilization: float = 0.0
    """Fraction of the endpoint's cores in use, 0 to 1, as last reported or assumed. Owner: load_reports."""
    response_time_ratio: float = 1.0
    """Mean of response times divided by the typical time of the class. Owner: admission."""
    waiting_time_ratio: float = 1.0
    """Mean as in `response_time_ratio`, but including attempts that timed out. Owner: admission."""
    succeeded_at_ns: int = 0
    """Time of the last successful answer of the endpoint. Owner: outlier_detection."""
    listed_at_ns: int = 0
    """Time when this node learnt of the endpoint or its last restart. Owner: endpoint_registry."""
    ring_position: int = 0
    """Hash of the endpoint id: sort key on the ring of endpoint_subset. Owner: endpoint_registry."""
    is_ready: bool = False
    """Whether the endpoint is among the ready ones. Owner: endpoint_registry."""
    warm_weight_units: int = 0
    """Contribution to the total weight of the warm endpoints; 0 during slow start. Owner: slow_start."""
    failure_rate: float = 0.0
    """Fraction of recent attempts that failed, 0 to 1. Owner: outlier_detection."""
    ejected_until_ns: int = 0
    """Time from which an ejected endpoint may get a trial; 0: not ejected. Owner: outlier_detection."""
    ejection_doublings: int = 0
    """Number of times that failed trials have doubled the ejection. Owner: outlier_detection."""
    is_on_trial: bool = False
    """Whether the trial attempt that decides on reinstatement is in flight. Owner: outlier_detection."""

    def silence_ns(self, now_ns: int) -> int:
        """Return the time without a successful answer since the endpoint was listed, in ns."""
        return now_ns - max(self.succeeded_at_ns, self.listed_at_ns)

    def reset_failures(self) -> None:
        """Reset the failure rate and end the ejection."""
        self.failure_rate = 0.0
        self.ejected_until_ns = 0
        self.ejection_doublings = 0
        self.is_on_trial = False


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt: a request that was sent to an endpoint. Owner: balancer."""

    status: EndpointStatus
    sent_at_ns: int
    idle_ns: int
    """Time for which the connection of the attempt had been idle, in ns; 0: a new connection."""
    result: AttemptResult | None = None
    """Result of the attempt; None while the attempt is in flight."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request without its final answer, or with attempts in flight. Owner: balancer.

    The methods are the idempotency rules, which prevent a request from being executed twice.
    """

    request: api.Request
    request_class: api.RequestClass
    answer_deadline_ns: int
    """Time after which an answer has no value; the node stops waiting for the answer then."""
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_closed: bool = False
    """Whether the client has the final answer or has disconnected. Owners: balancer, final_answers."""

    def is_complete(self) -> bool:
        """Return whether the request is closed and none of its attempts is in flight."""
        return self.is_closed and all(attempt.result is not None for attempt in self.attempts)

    def maybe_executed_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that an endpoint may have executed, in sending order."""
        return [attempt for attempt in self.attempts if attempt.result not in NOT_EXECUTED]

    def may_reject(self) -> bool:
        """Return whether the client may safely be told to repeat the request."""
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
        return all(
            self._is_repeat_dropped(endpoint, earlier, now_ns) for earlier in self.maybe_executed_attempts()
        )

    def write_deadline_ns(self) -> int:
        """Return the time by which the next attempt has to be written; 0: no such bound.

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
