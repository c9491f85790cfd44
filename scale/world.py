"""The expected size of the service in two years, with endpoint lists and settings for any smaller size.

Endpoints are numbered from 0. They are assigned to zones round robin; in each zone, racks of 40 and cells of
4 are filled in the order of the numbers, and hardware types with their weights are assigned round robin.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from moleport.policy import interface as api

MS_NS = 1_000_000
SECOND_NS = 1000 * MS_NS

# Requirements; see docs/CAPACITY.md.
NODE_COUNT = 660
MAX_SERVER_COUNT = 7_200
ZONE_COUNT = 9  # of all three regions together
REQUESTS_PER_SECOND = 180_000  # at the peak, over all nodes
MAX_UPDATE_DELAY_SECONDS = 4.0  # from a change of the list until the last node acts on it

SERVERS_PER_RACK = 40
SERVERS_PER_CELL = 4
HARDWARE_TYPE_WEIGHTS = (1.0, 1.0, 1.5, 2.0)

SLOW_START_INITIAL_RATIO = 0.3
SLOW_START_DURATION_NS = 8_200 * MS_NS
OVERLOAD_MULTIPLE = 4.0
OVERLOAD_DURATION_NS = 3 * SECOND_NS
"""An endpoint in slow start that gets more than the multiple of its capacity for this long collapses."""


def endpoint_name(number: int) -> str:
    """Return the id of an endpoint in discovery's form."""
    return f"s-{blake2b(number.to_bytes(4, 'big'), digest_size=4).hexdigest()}"


def zone(number: int) -> int:
    """Return the zone of an endpoint."""
    return number % ZONE_COUNT


def rack(number: int) -> int:
    """Return the rack of an endpoint, numbered over all zones."""
    return number // ZONE_COUNT // SERVERS_PER_RACK * ZONE_COUNT + zone(number)


def cell(number: int) -> int:
    """Return the cell of an endpoint, numbered over all zones."""
    return number // ZONE_COUNT // SERVERS_PER_CELL * ZONE_COUNT + zone(number)


def endpoints_in_zone(server_count: int, zone_number: int = 0) -> list[int]:
    """Return the numbers of a zone's endpoints, with `server_count` endpoints in total."""
    return list(range(zone_number, server_count, ZONE_COUNT))


def endpoints_in_rack(server_count: int, rack_number: int = 0) -> list[int]:
    """Return the numbers of a rack's endpoints, with `server_count` endpoints in total."""
    return [number for number in range(server_count) if rack(number) == rack_number]


def endpoint(
    number: int, state: api.EndpointState = api.EndpointState.READY, started_at_ns: int = 0
) -> api.Endpoint:
    """Return an endpoint as a node passes it to the policy."""
    name = blake2b(endpoint_name(number).encode(), digest_size=8).digest()
    hardware_type = number // ZONE_COUNT % len(HARDWARE_TYPE_WEIGHTS)
    weight = HARDWARE_TYPE_WEIGHTS[hardware_type]
    return api.Endpoint(name, zone(number), cell(number), state, weight, started_at_ns, hardware_type)


def snapshot(server_count: int) -> api.EndpointUpdate:
    """Return a snapshot of `server_count` ready endpoints."""
    return api.EndpointUpdate(
        api.EndpointUpdateKind.SNAPSHOT, tuple(endpoint(number) for number in range(server_count))
    )


def delta(entries: Iterable[api.Endpoint]) -> api.EndpointUpdate:
    """Return a delta with changed entries."""
    return api.EndpointUpdate(api.EndpointUpdateKind.DELTA, tuple(entries))


def settings(node_count: int, own_zone: int | None = 0) -> api.Settings:
    """Return settings with two request classes.

    The first is idempotent; the second is not, and has three times the priority weight.
    `own_zone` is the zone of the node, or None.
    """
    return api.Settings(
        classes=(
            api.RequestClass(200 * MS_NS, 3.0, 0.0, api.Idempotency.IDEMPOTENT),
            api.RequestClass(501 * MS_NS, 9.0, 0.0, api.Idempotency.NOT_IDEMPOTENT),
        ),
        tenants=(),
        node_count=node_count,
        discovery_mode=api.DiscoveryMode.PUSH,
        poll_interval_ns=10 * SECOND_NS,
        slow_start_initial_ratio=SLOW_START_INITIAL_RATIO,
        slow_start_duration_ns=SLOW_START_DURATION_NS,
        max_attempts=3,
        max_retry_after_ns=1_200 * MS_NS,
        sends_retry_after=True,
        weight_by_work=False,
        load_report_fields=(),
        idle_timeout_ns=15 * SECOND_NS,
        zone=own_zone,
    )
