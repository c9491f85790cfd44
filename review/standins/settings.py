"""The configuration of a small deployment, with the settings of the users' example."""

from __future__ import annotations

from typing import Any

NS_PER_MS = 1_000_000


def request_class(
    name: str, semantics: str, aim_ms: int, deadline_ms: int, worth: float, late_share: float = 0.0
) -> dict[str, Any]:
    """Return a request class as the configuration file writes it."""
    return {
        "Aim": aim_ms * NS_PER_MS,
        "Deadline": deadline_ms * NS_PER_MS,
        "Group": "all",
        "LateShare": late_share,
        "MemorySpan": 5_000 * NS_PER_MS,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": worth,
    }


def settings(node_count: int, self_index: int) -> dict[str, Any]:
    """Return the settings of one node; its classes, limits and rules are those of the users' example."""
    return {
        "Callers": {"MarksRetry": False},
        "Contract": {
            "AskWithin": 10_000 * NS_PER_MS,
            "Cold": 8_200 * NS_PER_MS,
            "ColdShare": 0.3,
            "Fall": 3_000 * NS_PER_MS,
            "FallMultiple": 4.0,
            "GraceToAnswer": 8 * NS_PER_MS,
            "StopSendingWithin": 500 * NS_PER_MS,
        },
        "Family": "proxy",
        "Feedback": {"Fields": [], "How": "none"},
        "Grades": [
            request_class("price", "repeatable", 200, 400, 3.0),
            request_class("accept", "once", 500, 2_500, 9.0),
        ],
        "Kinds": ["fast-1c", "std-1c"],
        "Limits": {
            "DialTimeout": 60 * NS_PER_MS,
            "IdleClose": 15_000 * NS_PER_MS,
            "MaxRetryAfter": 1_200 * NS_PER_MS,
            "MayCancel": True,
            "OpenCap": 20_000,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
            "SendCap": 3,
            "StreamsPerConn": 1,
        },
        "MembershipMode": "pushed",
        "MyZone": 0,
        "PeersTotal": node_count,
        "SelfIndex": self_index,
        "Tenants": [],
        "Weights": "nominal",
        "WorthBy": "request",
        "Zones": ["auckland"],
    }


def document(
    name: str,
    listen: str,
    discovery: str,
    known: dict[str, Any],
    node_settings: dict[str, Any],
    descriptor_count: int = 384,
) -> dict[str, Any]:
    """Return the configuration file of one node."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": descriptor_count},
        "known": known,
        "settings": node_settings,
    }
