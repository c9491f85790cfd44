"""Endpoint lists of thousands of servers: parsed and applied in slices, the last state counts."""

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
from moleport.node import discovery_watch as discovery
from moleport.node.endpoint_list import SLICE_ENDPOINT_COUNT
from moleport.policy import interface as api
from moleport.policy.interface import EndpointUpdateKind
from scale.lists import measure


async def send_requests(client: Client) -> None:
    """Send one request after the other until cancelled."""
    while True:
        assert status(await client.ask(request())) == 200


def test_a_long_list_is_applied_in_slices_and_requests_are_served_between() -> None:
    """One iteration of the loop applies no more than a slice."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-0") as server,
            Rig(configuration_with(entries(range(100), server.address), source)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            asking = [asyncio.create_task(send_requests(await rig.client())) for _ in range(4)]
            await until(lambda: len(server.seen) > 20)
            source.push_bytes(update_text(9, entries(range(MANY), server.address)))
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)
            events = rig.spy.events
            slices = [at for at, event in enumerate(events) if isinstance(event, api.EndpointUpdate)][1:]
            sizes = [len(events[at].endpoints) for at in slices]  # type: ignore[union-attr]
            # Entries that are known already are left out.
            assert sum(sizes) == MANY - 100 and max(sizes) <= SLICE_ENDPOINT_COUNT
            between = [
                event for event in events[slices[0] : slices[-1]] if isinstance(event, api.AttemptOutcome)
            ]
            assert len(between) >= 3
            assert all(outcome.result is api.AttemptResult.OK for outcome in between)
            for one in asking:
                assert not one.done()
                one.cancel()
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(MANY))

    run(test())


def test_a_long_list_is_parsed_in_slices_each_in_its_own_loop_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Parsing must not stall the loop either."""
    read: list[tuple[int, int]] = []  # loop iteration, entries
    turns = 0
    parse_hosts = discovery.parse_endpoints

    def recording(found: list[object]) -> list[DiscoveredEndpoint]:
        read.append((turns, len(found)))
        return parse_hosts(found)

    monkeypatch.setattr(discovery, "parse_endpoints", recording)

    async def test() -> None:
        loop = asyncio.get_running_loop()

        def turn() -> None:
            nonlocal turns
            turns += 1
            loop.call_soon(turn)

        async with Discovery() as source, Rig(configuration_with([], source)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            turn()
            source.push_bytes(update_text(9, entries(range(MANY))))
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)

    run(test())
    assert sum(count for _, count in read) == MANY
    assert max(count for _, count in read) <= discovery.SLICE_ENTRY_COUNT
    assert len({turn for turn, _ in read}) == len(read)


def test_a_list_that_is_emptied_and_filled_again_serves_requests() -> None:
    """Twice, with long lists."""

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
                assert status(await client.ask(request())) == 200
                source.push_bytes(update_text(version + 1, []))
                await until(lambda: not rig.node.has_endpoints())
                assert not rig.node.endpoint_list._known and not ready_in_policy(rig)
                assert status(await client.ask(request())) == 503

    run(test())


BAD = [
    {"addr": "host:80"},
    {"state": "Asleep"},
    {"addr": None},
    {"cell": "x"},
    {"weight": []},
    {"started_ms": {}},
]


@pytest.mark.parametrize("bad", BAD)
@pytest.mark.parametrize("at", [0, MANY - 1])
def test_an_invalid_entry_rejects_the_update_and_is_named_in_the_log(
    bad: dict[str, Any], at: int, caplog: pytest.LogCaptureFixture
) -> None:
    """The known list stays, and the next watch asks for a snapshot."""
    caplog.set_level(logging.WARNING)

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-0") as server,
            Rig(configuration_with(entries(range(10), server.address), source)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            found = entries(range(100, 100 + MANY), server.address)
            found[at] |= bad
            source.push_bytes(update_text(9, found))
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            assert f"s-{100 + at}" in caplog.text and len(caplog.text) < 500
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids == ids(range(10))
            assert status(await (await rig.client()).ask(request())) == 200
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert "from=0 " in source.targets[1]  # the content of the rejected update is unknown
            source.push_bytes(update_text(9, entries(range(MANY), server.address)))
            await until(lambda: rig.node._ready_endpoint_ids == ids(range(MANY)))

    run(test())


@pytest.mark.parametrize("end", ["close", "chunk"])
def test_a_long_list_is_applied_though_its_watch_ends_right_after(end: str) -> None:
    """Otherwise it would be sent again on the next watch, with delay."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration_with([], source)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(update_text(9, entries(range(MANY))))
            if end == "close":
                source._writers[-1].close()
            else:
                source.push_raw(b"0\r\n\r\n")
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            await wait_until_applied(rig)
            assert len(rig.node._ready_endpoint_ids) == MANY
            # The failure comes last: an update after it would mean that a watch is open.
            assert endpoint_updates(rig)[-1].kind is EndpointUpdateKind.FAILED
            await until(lambda: len(source.targets) == 2)  # the policy opens a new one by its timer
            assert "from=9 " in source.targets[1]

    run(test())


def test_deltas_right_after_a_long_list_are_applied_after_it() -> None:
    """They arrive in the same read."""

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


def test_a_reload_while_a_long_list_is_parsed_or_applied_loses_nothing() -> None:
    """The rest of the list is applied, and the new address sends a snapshot."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Rig(configuration_with([], old)) as rig:
            rig.watch()
            await until(lambda: old.targets)
            watching = rig.node.endpoint_list.discovery
            assert watching._watch is not None
            watching.on_json_object(watching._watch, update_text(9, entries(range(MANY))))
            assert not rig.node._ready_endpoint_ids  # most of it is not parsed
            rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
            await until(lambda: new.targets)
            assert "from=0 " in new.targets[0]
            await until(lambda: len(rig.node._ready_endpoint_ids) == MANY)
            new.push_bytes(update_text(2, entries(range(10, MANY + 10))))
            await until(lambda: rig.node._ready_endpoint_ids == ids(range(10, MANY + 10)))
            assert ready_in_policy(rig) == rig.node._ready_endpoint_ids
            assert not rig.spy.lists(EndpointUpdateKind.FAILED)

    run(test())


def test_a_new_process_waits_until_a_long_list_is_applied() -> None:
    """The first update is complete before the node listens."""

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
    """The cost of a search does not grow with the number of servers."""

    async def test() -> None:
        async with Server("s-0") as server:
            document = configuration_with(entries(range(MANY), server.address))
            document["settings"]["Limits"]["IdleClose"] = 4 * 10**8
            async with Rig(document) as rig:
                pools = rig.node._pools
                clients = [await rig.client() for _ in range(5)]
                for _ in range(3):  # also after a while without idle connections
                    for client in clients:
                        assert status(await client.ask(request())) == 200
                    idle = {pool for pool in pools._pools.values() if pool.idle}
                    assert idle and idle <= set(pools.pools_with_idle_connections)
                    assert len(pools.pools_with_idle_connections) <= 15
                    open_before, pools._max_sockets = pools.sockets, pools.sockets
                    assert pools.ensure_capacity()  # closes the one that is idle longest
                    await until(lambda before=open_before: pools.sockets < before)  # type: ignore[misc]
                    pools._max_sockets = 400
                    await until(lambda: not pools.sockets and not pools.pools_with_idle_connections)

    run(test())


def test_each_scale_figure_of_lists_has_a_unit_and_a_reason() -> None:
    """A smoke run gives rows for two sizes, each complete."""
    rows = measure(smoke=True)
    assert {row["size"] for row in rows} == {60, 200}
    assert len({(row["name"], row["size"]) for row in rows}) == len(rows)
    for row in rows:
        assert set(row) == {"name", "size", "value", "unit", "bound", "why"} and row["unit"] and row["why"]
        assert row["value"] > 0 and (row["bound"] is None or row["bound"] > 0)
