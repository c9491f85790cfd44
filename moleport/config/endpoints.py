"""Parses endpoint lists in JSON, which discovery sends and the configuration file contains.

An endpoint list is a JSON object with three keys. `version` is an integer. `full` is true for a complete
list; with any other value, or without it, the list contains changed entries only. `servers` is a list of
objects:

| key | field of `DiscoveredEndpoint` | default |
| --- | --- | --- |
| `id` | `id` | none: the key is required |
| `addr` | `address`, in the form host:port | none: the key is required, unless the state is `Gone` |
| `state` | `state`: `Ready`, `Terminating` (draining) or `Gone` (removed) | none: the key is required |
| `zone` | `zone` | empty |
| `kind` | `hardware_type` | empty |
| `cell` | `cell` | 0 |
| `weight` | `weight`; 1 replaces a number that is not positive and finite | 1 |
| `started_ms` | `started_ms`; 0 replaces a negative number | 0 |
"""

from __future__ import annotations

from math import inf
from socket import AF_INET, inet_pton
from sys import intern
from typing import Any, NamedTuple

from moleport.policy.interface import EndpointState

STATES_BY_TEXT = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
"""Endpoint states by their text in an endpoint list."""
DEFAULT_WEIGHT = 1.0
"""Relative capacity of an endpoint whose entry has no usable weight."""
PORT_COUNT = 1 << 16
"""Number of TCP ports: valid ports are 0 to `PORT_COUNT - 1`."""


class EndpointListError(Exception):
    """Raised for an invalid endpoint list or address; the message contains the reason."""


class DiscoveredEndpoint(NamedTuple):
    """One entry of an endpoint list."""

    id: str
    """Unique name of the endpoint; it can be encoded as UTF-8."""
    address: tuple[str, int]
    """IP address and port of the endpoint; ("", 0) for a removed endpoint."""
    zone: str
    """Name of the endpoint's zone; empty if the entry has none."""
    hardware_type: str
    """Name of the endpoint's hardware type; empty if the entry has none."""
    cell: int
    """Number of the endpoint's cell."""
    state: EndpointState
    weight: float
    """Relative capacity of the endpoint, a positive and finite number."""
    started_ms: int
    """Unix time of the endpoint's last start in ms; 0 stands for a start long ago."""


class DiscoveryUpdate(NamedTuple):
    """A complete endpoint list, or the changed entries of one."""

    version: int
    """Version number that discovery gave this update."""
    is_snapshot: bool
    """Whether the list is complete, so that an endpoint without an entry is removed."""
    endpoints: tuple[DiscoveredEndpoint, ...]
    """Entries in the order of the document; of two entries with one id, the later entry takes effect."""


def parse_address(text: object) -> tuple[str, int]:
    """Return the host and port of an address; raises EndpointListError.

    Valid addresses are `a.b.c.d:port` and an IPv6 address, without brackets, followed by `:port`. The last
    colon separates the port, which is 0 to 65535. Host names are not resolved and raise EndpointListError.
    """
    if not isinstance(text, str):
        raise EndpointListError(f"endpoint address is not text: {text!r}")
    host, _, port = text.rpartition(":")
    try:
        if ":" in host:
            # The IPv6 address of an endpoint is checked with ip_address, as inet_pton rejects a scope id.
            # The import of ipaddress is local, as a global import would slow down each start of the node.
            from ipaddress import ip_address

            ip_address(host)
        else:
            inet_pton(AF_INET, host)
        port_number = int(port)
    except (OSError, ValueError):
        raise EndpointListError(f"endpoint address is not a numeric host:port: {text!r}") from None
    if not 0 <= port_number < PORT_COUNT:
        raise EndpointListError(f"port of an endpoint address is not from 0 to 65535: {text!r}")
    return host, port_number


def parse_update(document: object) -> DiscoveryUpdate:
    """Parse the JSON document of an endpoint list; raises EndpointListError.

    Entries are not merged: of two entries with one id, the later entry takes effect.
    """
    version, is_snapshot, entries = parse_update_header(document)
    return DiscoveryUpdate(version, is_snapshot, tuple(parse_endpoints(entries)))


def parse_update_header(document: object) -> tuple[int, bool, list[object]]:
    """Return the version of an endpoint list, whether the list is complete, and its unparsed entries.

    Raises EndpointListError for a document that is not an endpoint list.
    """
    if not isinstance(document, dict):
        raise EndpointListError("the endpoint list is not a JSON object")
    version, entries = document.get("version"), document.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or not isinstance(entries, list):
        raise EndpointListError(
            "version of the endpoint list is not an integer, or its servers are not a list"
        )
    return version, document.get("full") is True, entries


def parse_endpoints(entries: list[object]) -> list[DiscoveredEndpoint]:
    """Parse entries of an endpoint list, at 1 to 2 ms per thousand.

    Raises EndpointListError, whose message names the invalid entry.
    """
    return [_parse_endpoint(entry) for entry in entries]


def _parse_endpoint(entry: Any) -> DiscoveredEndpoint:
    try:
        state = STATES_BY_TEXT[entry["state"]]
        is_removed = state is EndpointState.REMOVED
        address = ("", 0) if is_removed else parse_address(entry["addr"])
        endpoint_id = entry["id"]
        if not isinstance(endpoint_id, str):
            raise ValueError("endpoint id is not text")
        if not endpoint_id.isascii():
            # Encoding an endpoint id with a lone surrogate raises UnicodeEncodeError, so that the entry
            # of the endpoint list is rejected: the hash of the id needs the id's UTF-8 encoding.
            endpoint_id.encode()
        weight = float(entry.get("weight", DEFAULT_WEIGHT))
        return DiscoveredEndpoint(
            endpoint_id,
            address,
            # Names of zones and hardware types are interned, as thousands of endpoints share a few names.
            intern(str(entry.get("zone", ""))),
            intern(str(entry.get("kind", ""))),
            int(entry.get("cell", 0)),
            state,
            # The default weight replaces a weight of an endpoint that is not positive or is infinite. It
            # replaces NaN too, as each comparison with NaN is false.
            weight if 0.0 < weight < inf else DEFAULT_WEIGHT,
            max(0, int(entry.get("started_ms", 0))),
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, EndpointListError) as error:
        entry_name = entry.get("id") if isinstance(entry, dict) else entry
        raise EndpointListError(
            f"invalid entry {entry_name!r:.80} in the endpoint list: {error!r:.200}"
        ) from None
