"""The keys and values of settings in the platform's protocol, by the names that this code uses.

Each constant of a class is one setting. Its name is that of the corresponding field in
`moleport.policy.interface`, in upper case and with its unit. Its value is the path of the setting in the
protocol.

A list setting has an entry for each index from 0. In flat form, `Grades.count` is the number of request
classes and `Grades.0.Aim` is the latency objective of the first one.
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
    """With polling: longest time between two polls while no watch is open."""
    SLOW_START_INITIAL_RATIO = "Contract.ColdShare"
    """Initial capacity of an endpoint in slow start, from 0 to 1 of its full capacity."""
    SLOW_START_DURATION_NS = "Contract.Cold"
    """Time after its start by which an endpoint has its full capacity."""
    OVERLOAD_MULTIPLE = "Contract.FallMultiple"
    """Load, as a multiple of present capacity, above which an endpoint collapses. Optional."""
    OVERLOAD_WINDOW_NS = "Contract.Fall"
    """Time for which that load has to last. Optional."""
    KEY_COOLDOWN_NS = "Contract.KeyRest"
    """Pause of an ordered key after an attempt that may still be running. Optional; the default is 0."""
    MAX_ATTEMPTS = "Limits.SendCap"
    """Attempts for one request, including the first."""
    MAX_RETRY_AFTER_NS = "Limits.MaxRetryAfter"
    """Longest Retry-After that a client may get."""
    SENDS_RETRY_AFTER = "Limits.RetryAfter"
    """Whether rejections carry Retry-After; one of `FLAGS`."""
    IDLE_TIMEOUT_NS = "Limits.IdleClose"
    """Idle time after which an endpoint closes a connection."""
    WEIGHT_BY_WORK = "WorthBy"
    """What a priority weight applies to; one of `WEIGHT_BY_WORK_VALUES`."""
    LOAD_REPORT_FIELDS = "Feedback.Fields"
    """Names of the figures in a load report, separated by commas; see `LOAD_REPORT_FIELDS` below."""
    ZONE = "MyZone"
    """Index of this node's zone. Optional."""


class RequestClassKey:
    """Paths of the settings of one request class, below the path of the class."""

    LATENCY_OBJECTIVE_NS = "Aim"
    """Time within which a response earns the full priority weight."""
    PRIORITY_WEIGHT = "Worth"
    """Value of a response in time, relative to the other classes."""
    LATE_WEIGHT_RATIO = "LateShare"
    """Part of the priority weight, from 0 to 1, that a response after the latency objective earns."""
    IDEMPOTENCY = "Semantics"
    """Whether a request may be executed more than once; one of `IDEMPOTENCY_VALUES`."""
    DEDUPLICATION_SCOPE = "Group"
    """Endpoints that together recognise a repeated request; one of `DEDUPLICATION_SCOPES`."""
    DEDUPLICATION_WINDOW_NS = "MemorySpan"
    """Time for which endpoints recognise a repeated request."""
    ORDERED_BY_KEY = "OneAtATime"
    """Whether requests with the same key run one at a time; one of `FLAGS`. Optional; false by default."""
    MAX_DEADLINE_NS = "Deadline"
    """Longest deadline of a request. Only the node reads it; the decision module does not."""


class TenantKey:
    """Paths of the settings of one tenant, below the path of the tenant."""

    QUOTA_RATIO = "Share"
    """Part of the service's capacity, from 0 to 1, that the tenant may use."""


class NodeKey:
    """Paths of the settings that only the node reads; the decision module does not."""

    CONNECT_TIMEOUT_NS = "Limits.DialTimeout"
    """Time within which a connection to a server must be established."""
    MAX_REQUESTS = "Limits.OpenCap"
    """Number of requests that the node may have in flight."""
    DRAIN_GRACE_NS = "Contract.StopSendingWithin"
    """Time after the start of a server's drain by which the node must stop sending to the server."""
    ZONES = "Zones"
    """List of zone names; the index in this list identifies a zone."""
    HARDWARE_TYPES = "Kinds"
    """List of the names of hardware types; the index in this list identifies a hardware type."""


ENTRY_NAME_KEY = "Name"
"""Key of the name of a request class or a tenant; requests contain this name."""

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
"""Meaning of each value of `SettingKey.WEIGHT_BY_WORK`: a weight applies to a request or a unit of work."""
LOAD_REPORT_FIELDS = {
    "concurrent": "in_flight",
    "depth": "queued",
    "load_share": "utilization",
    "mean_ms": "service_ms",
    "tps": "completed_per_s",
    "err_ps": "errors_per_s",
}
"""Names of load report fields in this code, by their names in the protocol.

A field without an entry keeps its name in the protocol.
"""
