"""Interface of the decision module: the events that it handles, the actions that it returns, its settings.

Every time and duration is a whole number of nanoseconds on one monotonic clock. Endpoints are identified by
opaque, hashable and sortable ids, requests by numbers of which none is used twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

EndpointId = bytes


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    """The request may be executed any number of times."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """For a limited time, the endpoints of the deduplication scope drop repeats with the same key."""
    NOT_IDEMPOTENT = "not_idempotent"
    """The request must not be executed more than once."""


class DeduplicationScope(Enum):
    """The endpoints that share their record of idempotency keys, and so recognise a repeat."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How the endpoint list reaches a node."""

    PUSH = "push"
    """The node itself keeps a watch of the endpoint list open."""
    POLL = "poll"
    """The decision module decides when to poll for the endpoint list, and emits `WatchEndpoints`."""


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list contains."""

    CACHED = "cached"
    """The complete endpoint list that the node stored before a restart; the stored list may be stale."""
    SNAPSHOT = "snapshot"
    """The complete endpoint list; endpoints that are not listed are removed."""
    DELTA = "delta"
    """Only the entries of the endpoint list that have changed."""
    FAILED = "failed"
    """No entries of the endpoint list, as a poll or a watch has failed."""


class EndpointState(Enum):
    """The state of an endpoint, as reported by discovery."""

    READY = "ready"
    DRAINING = "draining"
    """The endpoint finishes its requests and accepts no new ones."""
    REMOVED = "removed"


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    """The endpoint answered with an error, or with an answer that could not be parsed."""
    REJECTED = "rejected"
    """An overloaded or draining endpoint rejected the request without executing the request."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    """The connection was not established, or broke before the last byte of the request was written."""
    RESET = "reset"
    """The connection broke after the whole request was written."""
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The node sent nothing, for a reason that is not the endpoint's."""
    CLIENT_ERROR = "client_error"
    """The endpoint refused the request because of an error in the request (4xx)."""


NOT_EXECUTED = frozenset((AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT))
"""Results which prove that the endpoint did not execute the request."""

DEFAULT_OVERLOAD_MULTIPLE = 2.0
"""Default of the setting `overload_multiple`.

An endpoint collapses under a load above this multiple of its present capacity.
"""

DEFAULT_OVERLOAD_WINDOW_NS = 3_000_000_000
"""Default of the setting `overload_window_ns`."""


class TimerId(IntEnum):
    """The timers that the decision module sets; the simulator's wire protocol uses these numbers."""

    WINDOW_END = 1
    """A measurement window ends."""
    POLL = 2
    """A poll of discovery for the endpoint list is due."""
    DEFERRED = 3
    """A deferred task is due."""


def _require(name: str, is_valid: bool, value: object) -> None:
    if not is_valid:
        raise ValueError(f"{name} is out of range: {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Requests that share a latency objective, a priority weight and rules of idempotency.

    Raises a ValueError that names the field for a value out of range.
    """

    latency_objective_ns: int
    """An answer within this time has the full priority weight."""
    priority_weight: float
    """Value of an answer in time, relative to the other classes."""
    late_weight_ratio: float
    """Fraction of the priority weight that an answer after the latency objective still has, 0 to 1."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    """Time for which endpoints recognise a repeated idempotency key."""
    ordered_by_key: bool = False
    """Requests with the same key run one at a time, in the order in which this node accepted them."""

    def __post_init__(self) -> None:
        _require("latency_objective_ns", self.latency_objective_ns >= 1, self.latency_objective_ns)
        _require("priority_weight", 0.0 <= self.priority_weight < float("inf"), self.priority_weight)
        _require("late_weight_ratio", 0.0 <= self.late_weight_ratio <= 1.0, self.late_weight_ratio)
        _require("deduplication_window_ns", self.deduplication_window_ns >= 0, self.deduplication_window_ns)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service. Raises a ValueError for a quota out of range."""

    quota_ratio: float
    """Fraction of the service's capacity that the tenant may use, 0 to 1."""

    def __post_init__(self) -> None:
        _require("quota_ratio", 0.0 <= self.quota_ratio <= 1.0, self.quota_ratio)


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer, which do not change during its lifetime.

    Raises a ValueError that names the field for a value out of range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    node_count: int
    """Number of nodes that share the endpoints of the fleet."""
    discovery_mode: DiscoveryMode
    poll_interval_ns: int
    """In discovery mode `poll`, the longest wait between polls while no watch is open."""
    slow_start_initial_ratio: float
    """Least fraction of its capacity that an endpoint has right after its start, 0 to 1."""
    slow_start_duration_ns: int
    """Time from the start of an endpoint until it has its full capacity."""
    max_attempts: int
    """Largest number of attempts for one request, including the first."""
    max_retry_after_ns: int
    """Longest Retry-After that may be sent to a client."""
    sends_retry_after: bool
    """Whether rejections tell clients how long to wait before a retry."""
    weight_by_work: bool
    """Whether priority weights are per unit of work instead of per request."""
    load_report_fields: tuple[str, ...]
    """Names of the values in a load report of an endpoint, in order."""
    idle_timeout_ns: int = 0
    """Idle time after which endpoints close a connection; 0: connections are not reused."""
    key_cooldown_ns: int = 0
    """Pause before the next request with an ordered key, after an attempt that may still be running."""
    zone: int | None = None
    """Zone of this node; None: not known."""
    node_index: int | None = None
    """Index of this node among the `node_count` nodes, from 0; None: not known."""
    overload_multiple: float = DEFAULT_OVERLOAD_MULTIPLE
    """Multiple of its present capacity above which an endpoint in slow start collapses."""
    overload_window_ns: int = DEFAULT_OVERLOAD_WINDOW_NS
    """Time for which the load has to exceed `overload_multiple` before an endpoint collapses."""

    def __post_init__(self) -> None:
        _require("classes", len(self.classes) >= 1, self.classes)
        ratio = self.slow_start_initial_ratio
        _require("slow_start_initial_ratio", 0.0 <= ratio <= 1.0, ratio)
        _require("overload_multiple", 0.0 <= self.overload_multiple < float("inf"), self.overload_multiple)
        for name, minimum in (
            ("node_count", 1),
            ("max_attempts", 1),
            ("poll_interval_ns", 0),
            ("slow_start_duration_ns", 0),
            ("max_retry_after_ns", 0),
            ("idle_timeout_ns", 0),
            ("key_cooldown_ns", 0),
            ("overload_window_ns", 0),
        ):
            value = getattr(self, name)
            _require(name, value >= minimum, value)
        _require("node_index", self.node_index is None or self.node_index >= 0, self.node_index)


class Endpoint(NamedTuple):
    """One entry of the endpoint list: a server that requests can be forwarded to."""

    id: EndpointId
    zone: int
    cell: int
    """Endpoints of one cell share their record of idempotency keys."""
    state: EndpointState
    weight: float
    """Capacity relative to the other endpoints."""
    started_at_ns: int
    """Time of the last start of the endpoint; 0: the endpoint started so long ago that it is warm."""
    hardware_type: int = 0
    """Endpoints of the same type run on machines of the same kind."""


class EndpointUpdate(NamedTuple):
    """Event: an update of the endpoint list, or a failure to get one."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """Event: the node has received a request from a client."""

    id: int
    remaining_ns: int
    """Time for which the client still waits for the answer."""
    class_index: int
    tenant_index: int
    """Index into the tenants of the settings; an index past the last one means an unknown tenant."""
    key: int
    """Hash of the key, which names the object that the request concerns; 0: the request has no key."""
    is_client_retry: bool
    """Whether the client marks the request as a retry of its own."""


class AttemptOutcome(NamedTuple):
    """Event: an attempt has ended."""

    request_id: int
    is_answered: bool
    """Whether the client has the final answer to its request."""
    result: AttemptResult
    elapsed_ns: int
    endpoint_id: EndpointId
    attempt_index: int
    """Index of the attempt among the attempts of the request, from 0."""
    load_report: tuple[float, ...]
    """Load values in the order of the setting `load_report_fields`; empty if there was no report."""


class ClientDisconnected(NamedTuple):
    """Event: the client has disconnected; its request gets no further attempt and no final answer.

    The event is also sent when the node ends the request: at its deadline, at shutdown or after a fault.
    """

    request_id: int
    may_be_half_closed: bool = False
    """Whether the client may have closed only its sending side; it then still gets a final answer."""


class TimerFired(NamedTuple):
    """Event: a timer is due. Numbers that are not in `TimerId` are allowed and ignored."""

    timer_id: int


Event = EndpointUpdate | Request | AttemptOutcome | ClientDisconnected | TimerFired


class Forward(NamedTuple):
    """Action: forward a request to an endpoint, as its next attempt."""

    request_id: int
    endpoint_id: EndpointId
    timeout_ns: int
    """Time limit of the attempt; 0: only the deadline of the request applies."""
    write_deadline_ns: int = 0
    """Time by which the last byte of the request has to be written, or else no byte may be; 0: no bound."""


class Reject(NamedTuple):
    """Action: send the final answer that the request was rejected and is safe to repeat."""

    request_id: int
    retry_after_ns: int
    """Time that the client is told to wait before a retry; 0: no time is given."""


class Fail(NamedTuple):
    """Action: send the final answer that the request failed; the request may have been executed."""

    request_id: int


class CloseIdleConnections(NamedTuple):
    """Action: close this node's idle connections to an endpoint."""

    endpoint_id: EndpointId


class SetTimer(NamedTuple):
    """Action: set a timer for a time; a timer that is set twice fires twice."""

    at_ns: int
    timer_id: TimerId


class WatchEndpoints(NamedTuple):
    """Action: poll discovery for the endpoint list, and watch the list for later changes."""


class EndpointEjected(NamedTuple):
    """Notice for logs and counters: an endpoint was ejected, and gets no requests for a time."""

    endpoint_id: EndpointId
    result: AttemptResult
    """Result of the attempt that led to the ejection."""
    duration_ns: int
    failure_rate: float
    failed_trial_count: int
    """Number of trials that have failed in a row, up to a limit."""


class EndpointReinstated(NamedTuple):
    """Notice for logs and counters: the ejection of an endpoint has ended."""

    endpoint_id: EndpointId


Notice = EndpointEjected | EndpointReinstated

Action = Forward | Reject | Fail | CloseIdleConnections | SetTimer | WatchEndpoints
