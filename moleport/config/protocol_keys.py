"""The dictionary of the platform's protocol: its words for settings and values, by this project's terms.

Each constant of a class is one setting: its name is the term, in upper case and with its unit, and its value
is the path of the setting in the protocol. The decision module's fields have the same names in lower case
(`moleport.policy.interface`).

A list setting has one entry for each index from 0; in flat form, `Grades.count` holds the number of classes
and `Grades.0.Aim` the latency objective of the first.
"""

from __future__ import annotations

from moleport.policy import interface as api


class SettingKey:
    """Settings of the service as a whole."""

    CLASSES = "Grades"
    """List of request classes; see `RequestClassKey`."""
    TENANTS = "Tenants"
    """List of tenants; see `TenantKey`. Optional."""
    NODE_COUNT = "PeersTotal"
    NODE_INDEX = "SelfIndex"
    """From 0. Optional."""
    DISCOVERY_MODE = "MembershipMode"
    """One of `DISCOVERY_MODES`."""
    POLL_INTERVAL_NS = "Contract.AskWithin"
    SLOW_START_INITIAL_RATIO = "Contract.ColdShare"
    """0 to 1, of an endpoint's full capacity."""
    SLOW_START_DURATION_NS = "Contract.Cold"
    OVERLOAD_MULTIPLE = "Contract.FallMultiple"
    """Optional."""
    OVERLOAD_WINDOW_NS = "Contract.Fall"
    """Optional."""
    KEY_COOLDOWN_NS = "Contract.KeyRest"
    """Optional; 0 if it is left out."""
    MAX_ATTEMPTS = "Limits.SendCap"
    MAX_RETRY_AFTER_NS = "Limits.MaxRetryAfter"
    SENDS_RETRY_AFTER = "Limits.RetryAfter"
    """One of `FLAGS`."""
    IDLE_TIMEOUT_NS = "Limits.IdleClose"
    WEIGHT_BY_WORK = "WorthBy"
    """One of `WEIGHT_BY_WORK_VALUES`."""
    LOAD_REPORT_FIELDS = "Feedback.Fields"
    """Names, separated by commas; the known ones are in `LOAD_REPORT_FIELDS`."""
    ZONE = "MyZone"
    """Index of the node's own zone. Optional."""


class RequestClassKey:
    """Settings of one request class."""

    LATENCY_OBJECTIVE_NS = "Aim"
    PRIORITY_WEIGHT = "Worth"
    LATE_WEIGHT_RATIO = "LateShare"
    """0 to 1, of the priority weight."""
    IDEMPOTENCY = "Semantics"
    """One of `IDEMPOTENCY_VALUES`."""
    DEDUPLICATION_SCOPE = "Group"
    """One of `DEDUPLICATION_SCOPES`."""
    DEDUPLICATION_WINDOW_NS = "MemorySpan"
    ORDERED_BY_KEY = "OneAtATime"
    """One of `FLAGS`. Optional; false if it is left out."""
    MAX_DEADLINE_NS = "Deadline"
    """For the node alone; the decision module has no use for it."""


class TenantKey:
    """Settings of one tenant."""

    QUOTA_RATIO = "Share"
    """0 to 1, of the service's capacity."""


class NodeKey:
    """Settings that only the node uses, and the decision module doesn't."""

    CONNECT_TIMEOUT_NS = "Limits.DialTimeout"
    MAX_REQUESTS = "Limits.OpenCap"
    DRAIN_GRACE_NS = "Contract.StopSendingWithin"
    ZONES = "Zones"
    """List of names; an endpoint's zone is counted by its index."""
    HARDWARE_TYPES = "Kinds"
    """List of names; an endpoint's hardware type is counted by its index."""


ENTRY_NAME_KEY = "Name"
"""The name of a request class or a tenant, as it stands in requests."""

IDEMPOTENCY_VALUES = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.IDEMPOTENCY_KEY,
    "once": api.Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
DISCOVERY_MODES = {"pushed": api.DiscoveryMode.PUSH, "on_request": api.DiscoveryMode.POLL}
FLAGS = {"true": True, "false": False}
WEIGHT_BY_WORK_VALUES = {"request": False, "work": True}
LOAD_REPORT_FIELDS = {
    "concurrent": "in_flight",
    "depth": "queued",
    "load_share": "utilization",
    "mean_ms": "service_ms",
    "tps": "completed_per_s",
    "err_ps": "errors_per_s",
}
"""A field that is not listed keeps the protocol's name."""
