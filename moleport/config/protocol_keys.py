"""The keys and values of settings in the platform's protocol, by the names that this code uses.

Each constant of a class is one setting. The name of a constant is that of the corresponding field in
`moleport.policy.interface`, in upper case and with its unit. The value of a constant is the path of the
setting in the protocol.

A list setting has an entry for each index from 0. In flat form, `Grades.count` is the number of request
classes and `Grades.0.Aim` is the latency objective of the first class.
"""

from __future__ import annotations

from moleport.policy import interface as api


class SettingKey:
    """Paths of the settings of the whole service."""

    CLASSES = "Grades"
    """List of request classes, each with the keys in `RequestClassKey`."""
    TENANTS = "Tenants"
    """List of tenants, each with the keys in `TenantKey`. Optional."""
    NODE_COUNT = "PeersTotal"
    """Number of nodes of the service."""
    NODE_INDEX = "SelfIndex"
    """Index of this node among all nodes, from 0. Optional."""
    DISCOVERY_MODE = "MembershipMode"
    """How the endpoint list reaches a node; one of `DISCOVERY_MODES`."""
    POLL_INTERVAL_NS = "Contract.AskWithin"
    """Longest time between two polls of discovery in poll mode, while no watch is open."""
    SLOW_START_INITIAL_RATIO = "Contract.ColdShare"
    """Initial capacity of an endpoint in slow start, as a ratio of its full capacity from 0 to 1."""
    SLOW_START_DURATION_NS = "Contract.Cold"
    """Duration of slow start: time after its start by which an endpoint has its full capacity."""
    OVERLOAD_MULTIPLE = "Contract.FallMultiple"
    """Load, as a multiple of an endpoint's present capacity, above which the endpoint collapses. Optional."""
    OVERLOAD_WINDOW_NS = "Contract.Fall"
    """Time for which an endpoint's load has to be above `OVERLOAD_MULTIPLE` until it collapses. Optional."""
    KEY_COOLDOWN_NS = "Contract.KeyRest"
    """Pause of an ordered key after an attempt that may still be running. Optional; the default is 0."""
    MAX_ATTEMPTS = "Limits.SendCap"
    """Maximum number of attempts for one request, including the first attempt."""
    MAX_RETRY_AFTER_NS = "Limits.MaxRetryAfter"
    """Longest time that the Retry-After header of a response may state."""
    SENDS_RETRY_AFTER = "Limits.RetryAfter"
    """Whether responses to rejected requests have a Retry-After header; one of `FLAGS`."""
    IDLE_TIMEOUT_NS = "Limits.IdleClose"
    """Idle time after which an endpoint closes a connection."""
    WEIGHT_BY_WORK = "WorthBy"
    """Whether priority weights apply to requests or to units of work; one of `WEIGHT_BY_WORK_VALUES`."""
    LOAD_REPORT_FIELDS = "Feedback.Fields"
    """Names of the fields of a load report, separated by commas; the table `LOAD_REPORT_FIELDS` maps them."""
    ZONE = "MyZone"
    """Index of this node's zone. Optional."""


class RequestClassKey:
    """Paths of the settings of one request class, below the path of the class."""

    LATENCY_OBJECTIVE_NS = "Aim"
    """Time within which a response earns the full priority weight."""
    PRIORITY_WEIGHT = "Worth"
    """Value of a response within the latency objective, relative to the other request classes."""
    LATE_WEIGHT_RATIO = "LateShare"
    """Ratio of the priority weight, from 0 to 1, that a response after the latency objective earns."""
    IDEMPOTENCY = "Semantics"
    """Whether a request may be executed more than once; one of `IDEMPOTENCY_VALUES`."""
    DEDUPLICATION_SCOPE = "Group"
    """Endpoints that together recognise a repeated request; one of `DEDUPLICATION_SCOPES`."""
    DEDUPLICATION_WINDOW_NS = "MemorySpan"
    """Time for which endpoints recognise a repeated request."""
    ORDERED_BY_KEY = "OneAtATime"
    """Whether requests with the same key run one at a time; one of `FLAGS`. Optional; false by default."""
    MAX_DEADLINE_NS = "Deadline"
    """Longest deadline of a request. Only the node reads this setting, not the decision module."""


class TenantKey:
    """Paths of the settings of one tenant, below the path of the tenant."""

    QUOTA_RATIO = "Share"
    """Ratio of the service's capacity, from 0 to 1, that the tenant may use."""


class NodeKey:
    """Paths of the settings that only the node reads, not the decision module."""

    CONNECT_TIMEOUT_NS = "Limits.DialTimeout"
    """Time within which a connection to a server must be established."""
    MAX_REQUESTS = "Limits.OpenCap"
    """Number of requests that the node may have in flight."""
    DRAIN_GRACE_NS = "Contract.StopSendingWithin"
    """Time after the start of a server's drain by which the node must stop sending requests to the server."""
    ZONES = "Zones"
    """List of zone names; the index of a name in this list identifies the zone."""
    HARDWARE_TYPES = "Kinds"
    """List of hardware type names; the index of a name in this list identifies the hardware type."""


ENTRY_NAME_KEY = "Name"
"""Key of the name in the entry of a request class or a tenant; requests contain this name."""

IDEMPOTENCY_VALUES = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.IDEMPOTENCY_KEY,
    "once": api.Idempotency.NOT_IDEMPOTENT,
}
"""Meaning of each value of `RequestClassKey.IDEMPOTENCY`."""
DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
"""Meaning of each value of `RequestClassKey.DEDUPLICATION_SCOPE`."""
DISCOVERY_MODES = {"pushed": api.DiscoveryMode.PUSH, "on_request": api.DiscoveryMode.POLL}
"""Meaning of each value of `SettingKey.DISCOVERY_MODE`."""
FLAGS = {"true": True, "false": False}
"""Meaning of each value of a boolean setting."""
WEIGHT_BY_WORK_VALUES = {"request": False, "work": True}
"""Whether a priority weight applies to a unit of work, by the value of `SettingKey.WEIGHT_BY_WORK`."""
LOAD_REPORT_FIELDS = {
    "concurrent": "in_flight",
    "depth": "queued",
    "load_share": "utilization",
    "mean_ms": "service_ms",
    "tps": "completed_per_s",
    "err_ps": "errors_per_s",
}
"""Names of load report fields in this code, by their names in the protocol.

A field without an entry in this table keeps its protocol name in the code.
"""
