"""Updates of the endpoint list keep the policy and the connection pools in step."""

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
    """The drain grace runs already, so they do not wait for the slices."""

    async def test() -> None:
        async with Rig(configuration_with(entries(range(MANY)))) as rig:
            drains = {"state": "Terminating"}
            found = (
                entries(range(MANY, MANY + 1000))
                + entries(range(1000), weight=2.0)
                + entries(range(1000, 2000))
                + entries(range(2000, 2100), **drains)
                + entries(range(2200, MANY))
            )
            rig.node.endpoint_list.on_update(update(found))
            assert not rig.node._ready_endpoint_ids & ids(range(2000, 2200))
            assert not ready_in_policy(rig) & ids(range(2000, 2200))
            states = {one.id: one.state for one in endpoint_updates(rig)[-1].endpoints}
            assert states == (
                dict.fromkeys(ids(range(2000, 2100)), EndpointState.DRAINING)
                | dict.fromkeys(ids(range(2100, 2200)), EndpointState.REMOVED)
            )
            assert rig.node.endpoint_list._pending
            await wait_until_applied(rig)
            changed = [one for event in endpoint_updates(rig)[2:] for one in event.endpoints]
            assert {one.id for one in changed[:1000]} == ids(range(1000))  # in use, so before new ones
            assert {one.id for one in changed[1000:]} == ids(range(MANY, MANY + 1000))
            rest = {*range(2000), *range(2200, MANY + 1000)}
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(rest)

    run(test())


def test_a_later_update_replaces_pending_parts_of_earlier_ones() -> None:
    """Deltas replace the entries that they name, snapshots all."""

    async def test() -> None:
        async with Rig(configuration_with([])) as rig:
            rig.node.endpoint_list.on_update(update(entries(range(MANY))))
            drained, changed = entries([5000], state="Terminating"), entries([5001, 5002], weight=3.0)
            rig.node.endpoint_list.on_update(update(drained + changed, full=False))
            assert {one.id for one in endpoint_updates(rig)[-1].endpoints} == ids([5000, 5001, 5002])
            await wait_until_applied(rig)
            view = policy_endpoints(rig)
            assert view[hash_name("s-5000")].state is EndpointState.DRAINING
            assert view[hash_name("s-5001")].weight == view[hash_name("s-5002")].weight == 3.0
            assert len(view) == MANY and rig.node._ready_endpoint_ids == ids(range(MANY)) - ids([5000])
            # A snapshot, short or long, replaces all that is pending.
            for count in (3, SLICE_ENDPOINT_COUNT + 1):
                rig.node.endpoint_list.on_update(update(entries(range(MANY, 2 * MANY))))
                assert rig.node.endpoint_list._pending
                rig.node.endpoint_list.on_update(update(entries(range(count))))
                await wait_until_applied(rig)
                assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(count))

    run(test())


@pytest.mark.parametrize("seed", range(12))
def test_after_random_updates_policy_and_pools_agree_with_the_last_state(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Updates arrive between any two slices."""
    monkeypatch.setattr(endpoint_list, "SLICE_ENDPOINT_COUNT", 4)
    random = Random(seed)

    def drawn(number: int) -> dict[str, Any]:
        (found,) = entries(
            [number],
            f"127.0.0.1:{random.randrange(2, 5)}",
            weight=random.choice((1.0, 2.0)),
            state=random.choices(("Ready", "Terminating", "Gone"), (8, 1, 1))[0],
            started_ms=random.choice((0, 1_700_000_000_000)),
        )
        return found

    async def test() -> None:
        held: dict[str, DiscoveredEndpoint] = {}
        async with Rig(configuration_with(entries(range(10)))) as rig:
            held = {host.id: host for host in rig.config.cached_endpoints.endpoints}
            for _ in range(60):
                full = random.random() < 0.4
                found = [drawn(random.randrange(40)) for _ in range(random.choice((0, 1, 3, 9, 30)))]
                came = update(found, full)
                if full:
                    held = {}
                held |= {host.id: host for host in came.endpoints}
                held = {name: host for name, host in held.items() if host.state is not EndpointState.REMOVED}
                rig.node.endpoint_list.on_update(came)
                serving = {
                    hash_name(name) for name, host in held.items() if host.state is EndpointState.READY
                }
                # Removed endpoints are out of use at once; others may be added later.
                assert rig.node._ready_endpoint_ids <= serving and ready_in_policy(rig) <= serving
                for _ in range(random.choice((0, 0, 1, 3))):
                    await asyncio.sleep(0)
            await wait_until_applied(rig)
            assert rig.node.endpoint_list._known == held
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == serving
            assert policy_endpoints(rig) == {
                hash_name(name): rig.node.endpoint_list._to_policy_endpoint(host)
                for name, host in held.items()
            }
            for name, host in held.items():
                pool = rig.node._pools.get(hash_name(name))
                assert (pool is not None) == (host.state is EndpointState.READY)
                assert pool is None or pool.address == host.address
            sent = {
                len(event.endpoints)
                for event in endpoint_updates(rig)
                if event.kind is EndpointUpdateKind.DELTA
            }
            assert len(sent) > 3

    run(test())


@pytest.mark.parametrize("more", [0, 2 * SLICE_ENDPOINT_COUNT])
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
def test_of_two_entries_with_one_id_the_later_counts(
    first: dict[str, Any], second: dict[str, Any], full: bool, more: int
) -> None:
    """In the policy and in the pools alike."""

    async def test() -> None:
        async with Rig(configuration_with(entries([1, 2]))) as rig:
            doubled = entries([1], **first) + entries([2]) + entries([1], **second)
            rig.node.endpoint_list.on_update(update(entries(range(3, 3 + more)) + doubled, full))
            await wait_until_applied(rig)
            (last,) = parse_update({"version": 1, "servers": doubled[-1:]}).endpoints
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids
            pool = rig.node._pools.get(hash_name("s-1"))
            assert (pool is not None) == (last.state is EndpointState.READY)
            if pool is not None:
                assert pool.address == last.address
                assert policy_endpoints(rig)[hash_name("s-1")] == rig.node.endpoint_list._to_policy_endpoint(
                    last
                )

    run(test())


def test_servers_may_share_an_address_and_be_removed_one_by_one() -> None:
    """Each has a pool of its own, and the end of one closes no other."""

    async def test() -> None:
        async with Server("s-0") as server, Rig(configuration_with(entries(range(3), server.address))) as rig:
            client = await rig.client()
            for number in (0, 1):
                assert status(await client.ask(request())) == 200
                rig.node.endpoint_list.on_update(update(entries([number], state="Gone"), full=False))
            assert status(await client.ask(request())) == 200
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids([2])

    run(test())


def test_a_long_configured_list_is_applied_at_the_start() -> None:
    """In one event, as there are no requests yet."""

    async def test() -> None:
        async with Rig(configuration_with(entries(range(MANY)))) as rig:
            assert [len(one.endpoints) for one in rig.spy.lists(EndpointUpdateKind.CACHED)] == [MANY]
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(MANY))

    run(test())


@pytest.mark.parametrize("count", [1300, MANY])
def test_all_servers_of_a_long_first_update_are_in_slow_start(count: int) -> None:
    """Their start times are kept while their entries are pending."""

    async def test() -> None:
        async with Rig(configuration_with([])) as rig:
            rig.node.endpoint_list.on_update(update(entries(range(count), started_ms=1_790_000_000_000)))
            await wait_until_applied(rig)
            started = [one.started_at_ns for one in policy_endpoints(rig).values()]
            assert len(started) == count
            assert all(started)

    run(test())


def test_the_policy_gets_the_whole_list_again_after_it_failed_on_an_update() -> None:
    """Else the node and the policy would hold different lists."""
    failures = [RuntimeError("a fault of the policy")]

    def fail_once(event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and failures:
            raise failures.pop()

    async def test() -> None:
        async with Rig(configuration_with(entries(range(3)))) as rig:
            rig.spy.instead = fail_once
            rig.node.endpoint_list.on_update(update(entries(range(1, 5))))
            assert rig.node._ready_endpoint_ids == ids(range(1, 5))
            assert ready_in_policy(rig) == ids(range(3))
            await until(lambda: ready_in_policy(rig) == ids(range(1, 5)))
            assert rig.node.telemetry.counters[Event.POLICY_FAILED] == 1

    run(test())


def test_a_resync_takes_entries_that_are_pending_with_it() -> None:
    failures = [RuntimeError("a fault of the policy")]

    def fail_once(event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and failures:
            raise failures.pop()

    async def test() -> None:
        async with Rig(configuration_with(entries(range(3)))) as rig:
            rig.spy.instead = fail_once
            rig.node.endpoint_list.on_update(update(entries(range(2, MANY))))
            await wait_until_applied(rig)
            await until(lambda: ready_in_policy(rig) == ids(range(2, MANY)))

    run(test())
