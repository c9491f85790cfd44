"""Tests of the endpoint list: its updates keep the policy and the connection pools consistent."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from endpoint_entries import (
    MANY,
    configuration_with,
    endpoint_updates,
    entries,
    ids,
    policy_endpoints,
    ready_in_policy,
    update,
    wait_until_applied,
)
from rig import Rig, Server, request, run, status, until

from moleport.config.endpoints import DiscoveredEndpoint, parse_update
from moleport.node import endpoint_list
from moleport.node.endpoint_list import SLICE_ENDPOINT_COUNT
from moleport.node.name_hashing import hash_name
from moleport.policy import interface as api
from moleport.policy.interface import EndpointState, EndpointUpdateKind
from moleport.telemetry import Event


def test_removed_and_draining_endpoints_are_applied_at_once() -> None:
    """Their drain grace is already running, so they must not wait for the slices."""

    async def test() -> None:
        async with Rig(configuration_with(entries(range(MANY)))) as rig:
            draining = {"state": "Terminating"}
            listed = (
                entries(range(MANY, MANY + 1000))
                + entries(range(1000), weight=2.0)
                + entries(range(1000, 2000))
                + entries(range(2000, 2100), **draining)
                + entries(range(2200, MANY))
            )
            rig.node.endpoint_list.on_update(update(listed))
            assert not rig.node._ready_endpoint_ids & ids(range(2000, 2200))
            assert not ready_in_policy(rig) & ids(range(2000, 2200))
            states = {endpoint.id: endpoint.state for endpoint in endpoint_updates(rig)[-1].endpoints}
            assert states == (
                dict.fromkeys(ids(range(2000, 2100)), EndpointState.DRAINING)
                | dict.fromkeys(ids(range(2100, 2200)), EndpointState.REMOVED)
            )
            assert rig.node.endpoint_list._pending_endpoints
            await wait_until_applied(rig)
            changed = [endpoint for event in endpoint_updates(rig)[2:] for endpoint in event.endpoints]
            # Endpoints in use are updated before new ones are added.
            assert {endpoint.id for endpoint in changed[:1000]} == ids(range(1000))
            assert {endpoint.id for endpoint in changed[1000:]} == ids(range(MANY, MANY + 1000))
            remaining = {*range(2000), *range(2200, MANY + 1000)}
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(remaining)

    run(test())


def test_a_later_update_replaces_pending_parts_of_earlier_ones() -> None:
    """A delta replaces the pending entries that it names, a snapshot replaces all."""

    async def test() -> None:
        async with Rig(configuration_with([])) as rig:
            rig.node.endpoint_list.on_update(update(entries(range(MANY))))
            drained, changed = entries([5000], state="Terminating"), entries([5001, 5002], weight=3.0)
            rig.node.endpoint_list.on_update(update(drained + changed, full=False))
            assert {endpoint.id for endpoint in endpoint_updates(rig)[-1].endpoints} == ids(
                [5000, 5001, 5002]
            )
            await wait_until_applied(rig)
            known_to_policy = policy_endpoints(rig)
            assert known_to_policy[hash_name("s-5000")].state is EndpointState.DRAINING
            assert (
                known_to_policy[hash_name("s-5001")].weight
                == known_to_policy[hash_name("s-5002")].weight
                == 3.0
            )
            assert len(known_to_policy) == MANY and rig.node._ready_endpoint_ids == ids(range(MANY)) - ids(
                [5000]
            )
            # A snapshot replaces all pending entries, whether it is applied at once or in slices.
            for count in (3, SLICE_ENDPOINT_COUNT + 1):
                rig.node.endpoint_list.on_update(update(entries(range(MANY, 2 * MANY))))
                assert rig.node.endpoint_list._pending_endpoints
                rig.node.endpoint_list.on_update(update(entries(range(count))))
                await wait_until_applied(rig)
                assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(count))

    run(test())


@pytest.mark.parametrize("seed", range(12))
def test_after_random_updates_policy_and_pools_agree_with_the_last_state(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Updates arrive between slices at random."""
    monkeypatch.setattr(endpoint_list, "SLICE_ENDPOINT_COUNT", 4)
    random = Random(seed)

    def random_entry(number: int) -> dict[str, Any]:
        (entry,) = entries(
            [number],
            f"127.0.0.1:{random.randrange(2, 5)}",
            weight=random.choice((1.0, 2.0)),
            state=random.choices(("Ready", "Terminating", "Gone"), (8, 1, 1))[0],
            started_ms=random.choice((0, 1_700_000_000_000)),
        )
        return entry

    async def test() -> None:
        expected: dict[str, DiscoveredEndpoint] = {}
        async with Rig(configuration_with(entries(range(10)))) as rig:
            expected = {endpoint.id: endpoint for endpoint in rig.config.cached_endpoints.endpoints}
            for _ in range(60):
                full = random.random() < 0.4
                drawn_entries = [
                    random_entry(random.randrange(40)) for _ in range(random.choice((0, 1, 3, 9, 30)))
                ]
                received = update(drawn_entries, full)
                if full:
                    expected = {}
                expected |= {endpoint.id: endpoint for endpoint in received.endpoints}
                expected = {
                    name: endpoint
                    for name, endpoint in expected.items()
                    if endpoint.state is not EndpointState.REMOVED
                }
                rig.node.endpoint_list.on_update(received)
                ready_ids = {
                    hash_name(name)
                    for name, endpoint in expected.items()
                    if endpoint.state is EndpointState.READY
                }
                # Removed endpoints are not used any more; ready ones may still be pending.
                assert rig.node._ready_endpoint_ids <= ready_ids and ready_in_policy(rig) <= ready_ids
                for _ in range(random.choice((0, 0, 1, 3))):
                    await asyncio.sleep(0)
            await wait_until_applied(rig)
            assert rig.node.endpoint_list._known == expected
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ready_ids
            assert policy_endpoints(rig) == {
                hash_name(name): rig.node.endpoint_list._to_policy_endpoint(endpoint)
                for name, endpoint in expected.items()
            }
            for name, endpoint in expected.items():
                pool = rig.node._pools.get(hash_name(name))
                assert (pool is not None) == (endpoint.state is EndpointState.READY)
                assert pool is None or pool.address == endpoint.address
            event_sizes = {
                len(event.endpoints)
                for event in endpoint_updates(rig)
                if event.kind is EndpointUpdateKind.DELTA
            }
            assert len(event_sizes) > 3

    run(test())


@pytest.mark.parametrize("other_count", [0, 2 * SLICE_ENDPOINT_COUNT])
@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"weight": 2.0}, {"weight": 3.0}),
        ({"addr": "127.0.0.1:7"}, {"addr": "127.0.0.1:8"}),
        ({"state": "Terminating"}, {}),
        ({}, {"state": "Terminating"}),
        ({"state": "Gone"}, {}),
        ({}, {"state": "Gone"}),
    ],
)
def test_of_two_entries_with_one_id_the_later_is_applied(
    first: dict[str, Any], second: dict[str, Any], full: bool, other_count: int
) -> None:
    """The last entry is applied in the policy and in the pools."""

    async def test() -> None:
        async with Rig(configuration_with(entries([1, 2]))) as rig:
            duplicated = entries([1], **first) + entries([2]) + entries([1], **second)
            rig.node.endpoint_list.on_update(update(entries(range(3, 3 + other_count)) + duplicated, full))
            await wait_until_applied(rig)
            (last_entry,) = parse_update({"version": 1, "servers": duplicated[-1:]}).endpoints
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids
            pool = rig.node._pools.get(hash_name("s-1"))
            assert (pool is not None) == (last_entry.state is EndpointState.READY)
            if pool is not None:
                assert pool.address == last_entry.address
                assert policy_endpoints(rig)[hash_name("s-1")] == rig.node.endpoint_list._to_policy_endpoint(
                    last_entry
                )

    run(test())


def test_servers_may_share_an_address_and_be_removed_one_by_one() -> None:
    """Each server has its own pool, and retiring one pool does not affect another."""

    async def test() -> None:
        async with Server("s-0") as server, Rig(configuration_with(entries(range(3), server.address))) as rig:
            client = await rig.client()
            for number in (0, 1):
                assert status(await client.exchange(request())) == 200
                rig.node.endpoint_list.on_update(update(entries([number], state="Gone"), full=False))
            assert status(await client.exchange(request())) == 200
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids([2])

    run(test())


def test_a_long_configured_list_is_applied_at_the_start() -> None:
    """The list is applied in one event, because there are no requests yet."""

    async def test() -> None:
        async with Rig(configuration_with(entries(range(MANY)))) as rig:
            assert [
                len(event.endpoints) for event in rig.spy.endpoint_updates(EndpointUpdateKind.CACHED)
            ] == [MANY]
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(MANY))

    run(test())


@pytest.mark.parametrize("count", [1300, MANY])
def test_all_servers_of_a_long_first_update_are_in_slow_start(count: int) -> None:
    """Their start times must not be forgotten while their entries are pending."""

    async def test() -> None:
        async with Rig(configuration_with([])) as rig:
            rig.node.endpoint_list.on_update(update(entries(range(count), started_ms=1_790_000_000_000)))
            await wait_until_applied(rig)
            started = [endpoint.started_at_ns for endpoint in policy_endpoints(rig).values()]
            assert len(started) == count
            assert all(started)

    run(test())


def test_the_policy_gets_the_whole_list_again_after_it_failed_on_an_update() -> None:
    """Without a resync the node and the policy would have different lists."""
    failures = [RuntimeError("a fault of the policy")]

    def fail_once(event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and failures:
            raise failures.pop()

    async def test() -> None:
        async with Rig(configuration_with(entries(range(3)))) as rig:
            rig.spy.replace_actions = fail_once
            rig.node.endpoint_list.on_update(update(entries(range(1, 5))))
            assert rig.node._ready_endpoint_ids == ids(range(1, 5))
            assert ready_in_policy(rig) == ids(range(3))
            await until(lambda: ready_in_policy(rig) == ids(range(1, 5)))
            assert rig.node.telemetry.counters[Event.POLICY_FAILED] == 1

    run(test())


def test_a_resync_does_not_lose_pending_entries() -> None:
    failures = [RuntimeError("a fault of the policy")]

    def fail_once(event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and failures:
            raise failures.pop()

    async def test() -> None:
        async with Rig(configuration_with(entries(range(3)))) as rig:
            rig.spy.replace_actions = fail_once
            rig.node.endpoint_list.on_update(update(entries(range(2, MANY))))
            await wait_until_applied(rig)
            await until(lambda: ready_in_policy(rig) == ids(range(2, MANY)))

    run(test())
