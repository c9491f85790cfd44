"""Endpoint lists for tests, and access to the endpoints that a node under test knows."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from rig import Discovery, Rig, configuration, until

from moleport.config.endpoints import DiscoveryUpdate, parse_update
from moleport.node.name_hashing import hash_name
from moleport.policy import interface as api

MANY = 7200  # servers in a long list


def entries(numbers: Iterable[int], address: str = "127.0.0.1:9", **more: Any) -> list[dict[str, Any]]:
    """Return endpoint list entries of servers by number, as discovery writes them; `more` replaces keys."""
    return [
        {"id": f"s-{number}", "addr": address, "zone": "room", "kind": "box", "state": "Ready"} | more
        for number in numbers
    ]


def update_text(version: int, found: list[dict[str, Any]], full: bool = True) -> bytes:
    """Return an update as a line of a watch, as discovery writes it."""
    return json.dumps({"version": version, "full": full, "servers": found}).encode() + b"\n"


def update(found: list[dict[str, Any]], full: bool = True) -> DiscoveryUpdate:
    """Return an update of version 9 as the node parses it."""
    return parse_update({"version": 9, "full": full, "servers": found})


def configuration_with(found: list[dict[str, Any]], source: Discovery | None = None) -> dict[str, Any]:
    """Return a configuration document with a known list of entries, and the address of an agent."""
    document = configuration(discovery=source.address) if source else configuration()
    document["known"]["servers"] = found
    return document


def policy_endpoints(rig: Rig) -> dict[api.EndpointId, api.Endpoint]:
    """Return the endpoints that the policy knows, by id."""
    return {key: status.endpoint for key, status in rig.spy._balancer._endpoints.by_id.items()}


def ready_in_policy(rig: Rig) -> set[api.EndpointId]:
    """Return the ids of the endpoints that the policy may forward to."""
    return {status.endpoint.id for status in rig.spy._balancer._endpoints.ready}


def endpoint_updates(rig: Rig) -> list[api.EndpointUpdate]:
    """Return the updates that the policy received."""
    return [event for event in rig.spy.events if isinstance(event, api.EndpointUpdate)]


async def wait_until_applied(rig: Rig) -> None:
    """Wait until the node has applied the last slice of an update; raises TimeoutError."""
    await until(lambda: not rig.node.endpoint_list._pending_endpoints)


def ids(numbers: Iterable[int]) -> set[api.EndpointId]:
    """Return the ids that the policy uses for servers by number."""
    return {hash_name(f"s-{number}") for number in numbers}
