"""The endpoint list in JSON, as discovery sends it and the configuration file holds it.

A list is an object with `version` (integer), `full` (true: a complete list; else changed entries only) and
`servers`, a list of objects:

| key | field of `DiscoveredEndpoint` | if it is left out |
| --- | --- | --- |
| `id` | `id` | an error |
| `addr` | `address`, as host:port | an error, unless the endpoint is removed |
| `state` | `state`: `Ready`, `Terminating` (draining) or `Gone` (removed) | an error |
| `zone` | `zone` | empty |
| `kind` | `hardware_type` | empty |
| `cell` | `cell` | 0 |
| `weight` | `weight`; a number that is not positive and finite counts as 1 | 1 |
| `started_ms` | `started_ms` | 0 |
"""

from __future__ import annotations

from math import inf
from socket import AF_INET, inet_pton
from sys import intern
from typing import Any, NamedTuple

from moleport.policy.interface import EndpointState

STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
DEFAULT_WEIGHT = 1.0
PORT_LIMIT = 1 << 16


class EndpointListError(Exception):
    """An endpoint list or an address that can't be used; the text says why."""


class DiscoveredEndpoint(NamedTuple):
    """One entry of an endpoint list."""

    id: str
    address: tuple[str, int]
    """Host and port; ("", 0) for an endpoint that is removed."""
    zone: str
    hardware_type: str
    cell: int
    state: EndpointState
    weight: float
    """Relative capacity: positive and finite."""
    started_ms: int
    """Unix time of its last start in ms; 0: long ago."""


class DiscoveryUpdate(NamedTuple):
    """A complete endpoint list, or a change of one."""

    version: int
    is_snapshot: bool
    """The list is complete: an endpoint that it leaves out is removed."""
    endpoints: tuple[DiscoveredEndpoint, ...]


def parse_address(text: object) -> tuple[str, int]:
    """Return host and port of an address; raises EndpointListError.

    Accepted are `a.b.c.d:port` and an IPv6 address, without brackets, followed by `:port`; the last colon
    separates the port, from 0 to 65535. Names are not resolved.
    """
    if not isinstance(text, str):
        raise EndpointListError(f"no address: {text!r}")
    host, _, port = text.rpartition(":")
    try:
        if ":" in host:
            # inet_pton takes no scope. Imported where it is needed, as it would slow down each start.
            from ipaddress import ip_address

            ip_address(host)
        else:
            inet_pton(AF_INET, host)
        number = int(port)
    except (OSError, ValueError):
        raise EndpointListError(f"no address: {text!r}") from None
    if not 0 <= number < PORT_LIMIT:
        raise EndpointListError(f"no port: {text!r}")
    return host, number


def parse_update(document: object) -> DiscoveryUpdate:
    """Return the update that a JSON document holds; raises EndpointListError.

    Entries are not merged: of two with the same id, the later one holds.
    """
    version, is_snapshot, entries = parse_update_header(document)
    return DiscoveryUpdate(version, is_snapshot, tuple(parse_endpoints(entries)))


def parse_update_header(document: object) -> tuple[int, bool, list[object]]:
    """Return version, whether the list is complete, and its unparsed entries; raises EndpointListError."""
    if not isinstance(document, dict):
        raise EndpointListError("it is no object")
    version, entries = document.get("version"), document.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or not isinstance(entries, list):
        raise EndpointListError("version or servers is missing")
    return version, document.get("full") is True, entries


def parse_endpoints(entries: list[object]) -> list[DiscoveredEndpoint]:
    """Parse entries in 1 to 2 ms a thousand; raises EndpointListError, which names the entry at fault."""
    return [_parse_endpoint(entry) for entry in entries]


def _parse_endpoint(entry: Any) -> DiscoveredEndpoint:
    try:
        state = STATES[entry["state"]]
        is_removed = state is EndpointState.REMOVED
        address = ("", 0) if is_removed else parse_address(entry["addr"])
        endpoint_id = entry["id"]
        if not isinstance(endpoint_id, str):
            raise ValueError("id is no text")
        if not endpoint_id.isascii():
            endpoint_id.encode()  # raises for a lone surrogate, which could not be hashed
        weight = float(entry.get("weight", DEFAULT_WEIGHT))
        return DiscoveredEndpoint(
            endpoint_id,
            address,
            intern(str(entry.get("zone", ""))),  # interned: thousands of entries share a few names
            intern(str(entry.get("kind", ""))),
            int(entry.get("cell", 0)),
            state,
            weight if 0.0 < weight < inf else DEFAULT_WEIGHT,  # also for NaN
            max(0, int(entry.get("started_ms", 0))),
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, EndpointListError) as problem:
        name = entry.get("id") if isinstance(entry, dict) else entry
        raise EndpointListError(f"bad entry {name!r:.80}: {problem!r:.200}") from None
