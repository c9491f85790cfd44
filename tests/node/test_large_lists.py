"""Tests of endpoint lists of thousands of servers, which are parsed and applied in slices."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Any

import pytest
from endpoint_entries import (
    MANY,
    configuration_with,
    endpoint_updates,
    entries,
    ids,
    ready_in_policy,
    update_text,
    wait_until_applied,
)
from rig import Client, Discovery, Rig, Server, request, run, status, until

from moleport.config.endpoints import DiscoveredEndpoint, parse_address
from moleport.node import update_parser
from moleport.node.endpoint_list import SLICE_ENDPOINT_COUNT
from moleport.policy import interface as api
from moleport.policy.interface import EndpointUpdateKind
from scale.lists import measure


async def send_requests(client: Client) -> None:
    """Send one request after the other until cancelled."""
    while True:
        assert status(await client.exchange(request())) == 200


def test_a_long_list_is_applied_in_slices_and_requests_are_served_between() -> None:
    """One iteration of the event loop applies at most one slice."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-0") as server,
            Rig(configuration_with(entries(range(100), server.address), source)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            request_tasks = [asyncio.create_task(send_requests(await rig.client())) for _ in range(4)]
            await until(lambda: len(server.seen) > 20)
            source.push_bytes(update_text(9, entries(range(MANY), server.address)))
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)
            events = rig.spy.events
            update_indices = [
                index for index, event in enumerate(events) if isinstance(event, api.EndpointUpdate)
            ][1:]
            slice_sizes = [len(events[index].endpoints) for index in update_indices]  # type: ignore[union-attr]
            # The update contains entries that are known already; these are not applied again.
            assert sum(slice_sizes) == MANY - 100 and max(slice_sizes) <= SLICE_ENDPOINT_COUNT
            outcomes = [
                event
                for event in events[update_indices[0] : update_indices[-1]]
                if isinstance(event, api.AttemptOutcome)
            ]
            assert len(outcomes) >= 3
            assert all(outcome.result is api.AttemptResult.OK for outcome in outcomes)
            for task in request_tasks:
                assert not task.done()
                task.cancel()
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(MANY))

    run(test())


def test_a_long_list_is_parsed_in_slices_each_in_its_own_loop_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Parsing must not block the event loop for long either."""
    parsed_slices: list[tuple[int, int]] = []  # loop iteration, entries
    iteration = 0
    parse_endpoints = update_parser.parse_endpoints

    def record_slice(parsed_entries: list[object]) -> list[DiscoveredEndpoint]:
        parsed_slices.append((iteration, len(parsed_entries)))
        return parse_endpoints(parsed_entries)

    monkeypatch.setattr(update_parser, "parse_endpoints", record_slice)

    async def test() -> None:
        loop = asyncio.get_running_loop()

        def count_iteration() -> None:
            nonlocal iteration
            iteration += 1
            loop.call_soon(count_iteration)

        async with Discovery() as source, Rig(configuration_with([], source)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            count_iteration()
            source.push_bytes(update_text(9, entries(range(MANY))))
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)

    run(test())
    assert sum(count for _, count in parsed_slices) == MANY
    assert max(count for _, count in parsed_slices) <= update_parser.SLICE_ENTRY_COUNT
    assert len({number for number, _ in parsed_slices}) == len(parsed_slices)


def test_a_list_that_is_emptied_and_filled_again_serves_requests() -> None:
    """Each round fills the list with thousands of servers and empties it again."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-0") as server,
            Rig(configuration_with(entries(range(3), server.address), source)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            client = await rig.client()
            for version in (9, 11):
                source.push_bytes(update_text(version, entries(range(MANY), server.address)))
                await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)
                assert status(await client.exchange(request())) == 200
                source.push_bytes(update_text(version + 1, []))
                await until(lambda: not rig.node.has_endpoints())
                assert not rig.node.endpoint_list._known and not ready_in_policy(rig)
                assert status(await client.exchange(request())) == 503

    run(test())


INVALID_FIELDS = [
    {"addr": "host:80"},
    {"state": "Asleep"},
    {"addr": None},
    {"cell": "x"},
    {"weight": []},
    {"started_ms": {}},
]


@pytest.mark.parametrize("invalid_field", INVALID_FIELDS)
@pytest.mark.parametrize("index", [0, MANY - 1])
def test_an_invalid_entry_rejects_the_update_and_is_named_in_the_log(
    invalid_field: dict[str, Any], index: int, caplog: pytest.LogCaptureFixture
) -> None:
    """The known list does not change, and the next watch requests a snapshot."""
    caplog.set_level(logging.WARNING)

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-0") as server,
            Rig(configuration_with(entries(range(10), server.address), source)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            listed = entries(range(100, 100 + MANY), server.address)
            listed[index] |= invalid_field
            source.push_bytes(update_text(9, listed))
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            assert f"s-{100 + index}" in caplog.text and len(caplog.text) < 500
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(10))
            assert status(await (await rig.client()).exchange(request())) == 200
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert "from=0 " in source.targets[1]  # the changes in the rejected update are unknown
            source.push_bytes(update_text(9, entries(range(MANY), server.address)))
            await until(lambda: rig.node._ready_endpoint_ids == ids(range(MANY)))

    run(test())


@pytest.mark.parametrize("end_of_watch", ["close", "chunk"])
def test_a_long_list_is_applied_even_if_its_watch_ends_right_after_it(end_of_watch: str) -> None:
    """Otherwise discovery would send it again on the next watch, which would delay it."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration_with([], source)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(update_text(9, entries(range(MANY))))
            if end_of_watch == "close":
                source._writers[-1].close()
            else:
                source.push_raw(b"0\r\n\r\n")
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            await wait_until_applied(rig)
            assert len(rig.node._ready_endpoint_ids) == MANY
            # The failure must be the last event: an update after it would mean that a watch is open.
            assert endpoint_updates(rig)[-1].kind is EndpointUpdateKind.FAILED
            await until(lambda: len(source.targets) == 2)  # the policy opens a new watch by its timer
            assert "from=9 " in source.targets[1]

    run(test())


def test_deltas_right_after_a_long_list_are_applied_after_it() -> None:
    """The deltas arrive in the same read as the list."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration_with([], source)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            changes = [
                update_text(10 + number, entries([number], state="Gone"), full=False) for number in range(5)
            ]
            source.push_bytes(update_text(9, entries(range(MANY))) + b"\n" + b"".join(changes))
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY - 5)
            await wait_until_applied(rig)
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(5, MANY))

    run(test())


def test_a_reload_while_a_long_list_is_parsed_or_applied_loses_no_update() -> None:
    """The rest of the list is applied, and the watch at the new address requests a snapshot."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Rig(configuration_with([], old)) as rig:
            rig.watch()
            await until(lambda: old.targets)
            discovery_client = rig.node.endpoint_list.discovery
            (watch,) = discovery_client._watches
            discovery_client.on_json_object(watch, update_text(9, entries(range(MANY))))
            assert not rig.node._ready_endpoint_ids  # most entries are not parsed yet
            rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
            await until(lambda: new.targets)
            assert "from=0 " in new.targets[0]
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)
            new.push_bytes(update_text(2, entries(range(10, MANY + 10))))
            await until(lambda: rig.node._ready_endpoint_ids == ids(range(10, MANY + 10)))
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids
            assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)

    run(test())


def test_a_new_process_waits_until_a_long_list_is_applied() -> None:
    """The first update is applied completely before the node listens."""

    async def test() -> None:
        async with Discovery() as source:
            document = configuration_with([], source)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.push_bytes(update_text(9, entries(range(MANY))))
                await rig.node.wait_until_endpoints_known()
                assert rig.node._ready_endpoint_ids == ids(range(MANY))

    run(test())


def test_only_pools_with_idle_connections_are_searched_for_them() -> None:
    """The cost of a search must not grow with the number of servers."""

    async def test() -> None:
        async with Server("s-0") as server:
            document = configuration_with(entries(range(MANY), server.address))
            document["settings"]["Limits"]["IdleClose"] = 4 * 10**8
            async with Rig(document) as rig:
                pools = rig.node._pools
                clients = [await rig.client() for _ in range(5)]
                for _ in range(3):  # the pools are without idle connections between two rounds
                    for client in clients:
                        assert status(await client.exchange(request())) == 200
                    idle = {pool for pool in pools._pools.values() if pool.idle}
                    assert idle and idle <= set(pools.pools_with_idle_connections)
                    assert len(pools.pools_with_idle_connections) <= 15
                    open_before, pools._max_sockets = pools.socket_count, pools.socket_count
                    assert pools.ensure_capacity()  # closes the connection that has been idle longest
                    await until(lambda before=open_before: pools.socket_count < before)  # type: ignore[misc]
                    pools._max_sockets = 400
                    await until(lambda: not pools.socket_count and not pools.pools_with_idle_connections)

    run(test())


def test_each_scale_figure_of_lists_has_a_unit_and_a_reason() -> None:
    """A smoke run returns complete rows for two sizes."""
    rows = measure(smoke=True)
    assert {row["size"] for row in rows} == {60, 200}
    assert len({(row["name"], row["size"]) for row in rows}) == len(rows)
    for row in rows:
        assert set(row) == {"name", "size", "value", "unit", "bound", "why"} and row["unit"] and row["why"]
        assert row["value"] > 0 and (row["bound"] is None or row["bound"] > 0)
