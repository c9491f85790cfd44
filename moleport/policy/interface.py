"""The events that go into the decision module, the actions that come out of it, and its settings.

Every time and duration is a whole number of nanoseconds on one monotonic clock. An endpoint is named by an
opaque, hashable and sortable id; a request by a number that is never used twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

EndpointId = bytes


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    """Any number of times."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """A repeat with the same key is dropped by the endpoints of its deduplication scope, for a while."""
    NOT_IDEMPOTENT = "not_idempotent"
    """Never more than once."""


class DeduplicationScope(Enum):
    """The endpoints that together recognise a repeat by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How the endpoint list reaches a node."""

    PUSH = "push"
    """The watch is kept open without the module's help."""
    POLL = "poll"
    """The module decides when to poll for the list, by `WatchEndpoints`."""


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list holds."""

    CACHED = "cached"
    """The complete list as last held before a restart; it may be stale."""
    SNAPSHOT = "snapshot"
    """The complete list; an endpoint that it leaves out is removed."""
    DELTA = "delta"
    """Changed entries only."""
    FAILED = "failed"
    """No entries: a poll or a watch failed, or the watch broke."""


class EndpointState(Enum):
    """The state of an endpoint, as discovery tells it."""

    READY = "ready"
    DRAINING = "draining"
    """Finishes its work and takes no new requests."""
    REMOVED = "removed"


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    """The endpoint answered with an error, or with an answer that can't be read."""
    REJECTED = "rejected"
    """The endpoint turned the request away unexecuted: overloaded or draining."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    """The connection was refused, never came up, or broke before the request's last byte was written."""
    RESET = "reset"
    """The connection broke after the request was written."""
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The node sent nothing, for a reason of its own."""
    CLIENT_ERROR = "client_error"
    """The endpoint refused the request for a fault of the request (4xx)."""


NOT_EXECUTED = frozenset((AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT))
"""Results that prove that the attempt had no effect."""

DEFAULT_OVERLOAD_MULTIPLE = 2.0
"""Used if the settings have no overload_multiple.

A load above this multiple of present capacity makes an endpoint collapse.
"""

DEFAULT_OVERLOAD_WINDOW_NS = 3_000_000_000
"""Used if the settings have no overload_window_ns."""


class TimerId(IntEnum):
    """The timers that the module sets; the numbers are those of the simulator's wire."""

    WINDOW_END = 1
    """End of a measurement window."""
    POLL = 2
    """Time to poll discovery for the endpoint list."""
    DEFERRED = 3
    """Something that was put off has fallen due."""


def _require(name: str, is_valid: bool, value: object) -> None:
    if not is_valid:
        raise ValueError(f"{name} is out of range: {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Requests that share a latency objective, a priority weight and an idempotency.

    Raises ValueError, which names the field, for values that no balancer can work by.
    """

    latency_objective_ns: int
    """An answer within this time earns the full weight."""
    priority_weight: float
    """What an answer in time is worth, against the other classes."""
    late_weight_ratio: float
    """Part of the weight that an answer after the objective still earns, 0 to 1."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    """With idempotency keys: for how long repeats are recognised."""
    ordered_by_key: bool = False
    """Requests with the same key run one at a time, in the order in which this node accepted them."""

    def __post_init__(self) -> None:
        _require("latency_objective_ns", self.latency_objective_ns >= 1, self.latency_objective_ns)
        _require("priority_weight", 0.0 <= self.priority_weight < float("inf"), self.priority_weight)
        _require("late_weight_ratio", 0.0 <= self.late_weight_ratio <= 1.0, self.late_weight_ratio)
        _require("deduplication_window_ns", self.deduplication_window_ns >= 0, self.deduplication_window_ns)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service. Raises ValueError for a quota that is no ratio."""

    quota_ratio: float
    """Part of the service's capacity that is the tenant's, 0 to 1."""

    def __post_init__(self) -> None:
        _require("quota_ratio", 0.0 <= self.quota_ratio <= 1.0, self.quota_ratio)


@dataclass(slots=True, frozen=True)
class Settings:
    """What a balancer works by, for as long as it lives.

    Raises ValueError, which names the field, for values that no balancer can work by.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    node_count: int
    """Nodes that share the endpoints."""
    discovery_mode: DiscoveryMode
    poll_interval_ns: int
    """With polling: the list is polled at least this often while no watch stands."""
    slow_start_initial_ratio: float
    """Part of its capacity that an endpoint has at least right after its start, 0 to 1."""
    slow_start_duration_ns: int
    """Time after its start by which an endpoint has its full capacity."""
    max_attempts: int
    """Attempts for one request, the first included."""
    max_retry_after_ns: int
    """Longest Retry-After that may be given to a client."""
    sends_retry_after: bool
    """Clients are told how long to stay away."""
    weight_by_work: bool
    """Priority weights count for a unit of work instead of for a request."""
    load_report_fields: tuple[str, ...]
    """Names of the figures in an endpoint's load report, in their order."""
    idle_timeout_ns: int = 0
    """An endpoint closes a connection that has been idle for this long; 0: none is reused."""
    key_cooldown_ns: int = 0
    """Ordered keys: the pause after an attempt that may still be running."""
    zone: int | None = None
    """The zone of this node, where it is known."""
    node_index: int | None = None
    """Number of this node among the `node_count`, from 0, where it is known."""
    overload_multiple: float = DEFAULT_OVERLOAD_MULTIPLE
    """Times its present capacity: an endpoint in slow start that is sent more collapses."""
    overload_window_ns: int = DEFAULT_OVERLOAD_WINDOW_NS
    """Time for which it has to be sent more."""

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
    """Endpoints of one cell recognise each other's idempotency keys."""
    state: EndpointState
    weight: float
    """Relative capacity."""
    started_at_ns: int
    """Time of its last start; 0: long ago."""
    hardware_type: int = 0
    """Endpoints of one type are machines alike."""


class EndpointUpdate(NamedTuple):
    """Event: an update of the endpoint list, or the failure of one."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """Event: a client's request was accepted by the node."""

    id: int
    remaining_ns: int
    """Time for which the client will wait for the answer."""
    class_index: int
    tenant_index: int
    """Past the last tenant of the settings: an unknown one."""
    key: int
    """Hash of the thing that the request concerns; 0: none."""
    is_client_retry: bool
    """The client says that it tried before."""


class AttemptOutcome(NamedTuple):
    """Event: an attempt has ended."""

    request_id: int
    is_answered: bool
    """The client has its final answer."""
    result: AttemptResult
    elapsed_ns: int
    endpoint_id: EndpointId
    attempt_index: int
    """Among the attempts for its request, from 0."""
    load_report: tuple[float, ...]
    """In the order of the settings' `load_report_fields`; empty if there was none."""


class ClientDisconnected(NamedTuple):
    """Event: nothing further may be sent for this client's request.

    Also sent when the node itself ends the request: at its deadline, at shutdown or after a fault.
    """

    request_id: int
    is_half_closed: bool = False
    """It may only have ended its sending: it is still answered, once no attempt is in flight."""


class TimerFired(NamedTuple):
    """Event: a timer has come due. A number that is no `TimerId` is legal and means nothing."""

    timer_id: int


Event = EndpointUpdate | Request | AttemptOutcome | ClientDisconnected | TimerFired


class Forward(NamedTuple):
    """Action: forward a request to an endpoint, as its next attempt."""

    request_id: int
    endpoint_id: EndpointId
    timeout_ns: int
    """0: until the client gives up."""
    write_deadline_ns: int = 0
    """Clock time by which the last byte has to be written, or else nothing is; 0: no such bound."""


class Reject(NamedTuple):
    """Action: final answer that the request was not executed and trying again is harmless."""

    request_id: int
    retry_after_ns: int
    """0: no advice."""


class Fail(NamedTuple):
    """Action: final answer that makes no promise about what was executed."""

    request_id: int


class CloseIdleConnections(NamedTuple):
    """Action: close this node's idle connections to an endpoint."""

    endpoint_id: EndpointId


class SetTimer(NamedTuple):
    """Action: let a timer fire at a time; a timer that is set twice fires twice."""

    at_ns: int
    timer_id: TimerId


class WatchEndpoints(NamedTuple):
    """Action: poll discovery for the endpoint list, and watch it for all later changes."""


class EndpointEjected(NamedTuple):
    """Notice: an endpoint gets no requests for a while. For logs and counters; nothing is to be done."""

    endpoint_id: EndpointId
    result: AttemptResult
    """The result that led to it."""
    duration_ns: int
    failure_rate: float
    failed_trial_count: int
    """Trials that have failed in a row, up to a limit."""


class EndpointReinstated(NamedTuple):
    """Notice: the ejection of an endpoint has ended."""

    endpoint_id: EndpointId


Notice = EndpointEjected | EndpointReinstated

Action = Forward | Reject | Fail | CloseIdleConnections | SetTimer | WatchEndpoints
