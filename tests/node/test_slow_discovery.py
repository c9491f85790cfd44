"""Tests of a discovery that responds, but takes longer than the time limits of a watch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest
from rig import TEST_TIMEOUT_SECONDS, Rig, Server, configuration, run, until
from slow_discovery import SlowDiscovery

from moleport.config.endpoints import parse_address
from moleport.node import discovery_limits
from moleport.node.discovery_limits import MAX_RECEIVING_WATCH_COUNT
from moleport.node.name_hashing import hash_name

NOTIFICATION_LIMIT_S = 6.0  # from a change of the endpoint list until the node has to know it
RELOAD_LIMIT_S = 4.0  # the same from a reload of the configuration
OLD_ADDRESS_CLOSES_S = 1.5  # from a reload until the earlier address of discovery closes its connections


def document(mode: str, discovery: SlowDiscovery, *servers: Server) -> dict[str, Any]:
    """Return a configuration whose list of servers is outdated if the discovery has another."""
    found = configuration(*servers, discovery=discovery.address)
    found["settings"]["MembershipMode"] = mode
    return found


def ready_names(rig: Rig, *servers: Server) -> set[str]:
    """Return the names of the servers that the node forwards to."""
    return {server.name for server in servers if hash_name(server.name) in rig.node._ready_endpoint_ids}


@asynccontextmanager
async def two_servers(mode: str, **delays: float) -> AsyncIterator[tuple[Server, Server, SlowDiscovery, Rig]]:
    """Run a node that knows two servers, and its discovery; the second server is to begin to drain."""
    async with (
        Server("s-1") as first,
        Server("s-2") as drained,
        SlowDiscovery(first, drained, **delays) as discovery,
        Rig(document(mode, discovery, first, drained)) as rig,
    ):
        yield first, drained, discovery, rig


async def play_drain(mode: str, **delays: float) -> tuple[float, int, int]:
    """Return the time until a drain known to a slow discovery is applied, and its calls and connections."""
    async with two_servers(mode, **delays) as (first, drained, discovery, rig):
        drained.state = "Terminating"
        loop = asyncio.get_running_loop()
        changed_at = loop.time()
        rig.watch()
        await until(lambda: ready_names(rig, first, drained) == {"s-1"})
        delay_s = loop.time() - changed_at
        calls = discovery.calls
        await asyncio.sleep(4.0)  # the watch stays open, and no other call follows
        assert (discovery.calls, discovery.open) == (calls, 1)
        return delay_s, calls, discovery.max_open


SLOW_CALLS: list[tuple[str, dict[str, float]]] = [
    ("pushed", {"wait": 0.7}),
    ("pushed", {"wait": 1.0}),
    ("pushed", {"wait": 2.0}),
    ("pushed", {"wait": 3.0}),
    ("pushed", {"wait": 5.0}),
    ("pushed", {"head": 3.0}),
    ("on_request", {"wait": 3.0}),
    ("on_request", {"wait": 5.0}),
    ("on_request", {"head": 4.0}),
]


def test_a_node_learns_of_a_drain_from_a_discovery_whose_responses_are_overdue() -> None:
    """Guards against giving up each watch before its response: the node then never learned of a drain."""

    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            results = await asyncio.gather(*(play_drain(mode, **delays) for mode, delays in SLOW_CALLS))
        assert [result for result in results if result[0] >= NOTIFICATION_LIMIT_S] == []
        # One call each 0.5 s at most, as for a discovery that is down.
        assert [result for result in results if result[1] > result[0] / 0.5 + 1] == []

    run(test())


SLOW_LISTS: list[tuple[str, dict[str, float]]] = [
    ("pushed", {"body": 4.0}),
    ("pushed", {"wait": 2.0, "body": 2.0}),
    ("pushed", {"wait": 1.0, "head": 1.0, "body": 3.0}),
    ("on_request", {"body": 4.0}),
]


def test_a_node_learns_of_a_drain_from_a_list_whose_bytes_arrive_slowly() -> None:
    """Guards against taking a list that is on its way for silence, and starting again from its first byte."""

    async def test() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            results = await asyncio.gather(*(play_drain(mode, **delays) for mode, delays in SLOW_LISTS))
        assert [result for result in results if result[0] >= NOTIFICATION_LIMIT_S] == []
        assert [result for result in results if result[1] > result[0] / 0.5 + 1] == []

    run(test())


def test_a_change_whose_bytes_arrive_slowly_is_applied_from_the_watch_that_receives_it() -> None:
    """Guards against closing a watch within a change: the next watch would receive as slowly."""

    async def test() -> None:
        async with two_servers("pushed") as (first, drained, discovery, rig):
            await until(lambda: discovery._watches)
            discovery.body_seconds = 10.0
            drained.state = "Terminating"
            async with asyncio.timeout(NOTIFICATION_LIMIT_S):
                await discovery.change(drained, seconds=4.5)
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            await until(lambda: discovery.open == 1)

    run(test())


def test_few_watches_receive_at_once_while_lists_stop_half_way() -> None:
    """Guards against buffering one partial list for each watch, and against not replacing stopped ones."""

    async def test() -> None:
        async with two_servers("pushed") as (first, drained, discovery, rig):
            await until(lambda: discovery._watches)
            discovery.stalls = True
            discovery.cut()
            await until(lambda: discovery.calls == 5)
            assert discovery.max_open <= MAX_RECEIVING_WATCH_COUNT + 1
            discovery.stalls = False
            drained.state = "Terminating"
            async with asyncio.timeout(NOTIFICATION_LIMIT_S):
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            await until(lambda: discovery.open == 1)

    run(test())


def test_the_older_list_of_a_slower_watch_does_not_replace_a_newer_one() -> None:
    """Guards against reverting a drain by the response to a call from before it."""

    async def test() -> None:
        async with two_servers("pushed", wait=2.0) as (first, drained, discovery, rig):
            await until(lambda: discovery.calls == 1)
            await asyncio.sleep(0.1)
            discovery.wait_seconds = 0.2
            drained.state = "Terminating"
            await discovery.change()
            await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            assert discovery.calls == 2
            await asyncio.sleep(2.0)  # the first call is answered
            assert ready_names(rig, first, drained) == {"s-1"}
            assert (discovery.calls, discovery.open) == (2, 1)

    run(test())


def test_a_discovery_slower_than_the_limit_on_open_watches_allows_is_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against giving up each watch for a newer one before its response."""
    monkeypatch.setattr(discovery_limits, "AGENT_RESPONSE_TIMEOUT_S", 0.02)
    monkeypatch.setattr(discovery_limits, "AGENT_MAX_WATCH_COUNT", 3)

    async def test() -> None:
        async with two_servers("pushed", wait=2.0) as (first, drained, discovery, rig):
            drained.state = "Terminating"
            await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            assert discovery.calls > 5
            # A connection that the node has closed may not be noticed yet.
            assert discovery.max_open <= 4

    run(test())


@pytest.mark.parametrize("wait", [1.0, 2.0])
def test_a_watch_that_was_cut_is_replaced_by_a_slow_one_in_time(wait: float) -> None:
    """Guards against losing a drain that begins as the watch breaks, while new watches are slow."""

    async def test() -> None:
        async with two_servers("pushed") as (first, drained, discovery, rig):
            await until(lambda: discovery._watches)
            discovery.wait_seconds = wait
            discovery.cut()
            drained.state = "Terminating"
            async with asyncio.timeout(NOTIFICATION_LIMIT_S):
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})

    run(test())


def test_a_silent_discovery_that_is_slow_afterwards_is_heard_in_time() -> None:
    """Guards against keeping only watches from the outage, which are never answered."""

    async def test() -> None:
        async with two_servers("pushed") as (first, drained, discovery, rig):
            await until(lambda: discovery._watches)
            discovery.is_silent = True
            discovery.cut()
            await asyncio.sleep(8.0)
            assert discovery.max_open <= 8
            discovery.is_silent = False
            discovery.wait_seconds = 3.0
            drained.state = "Terminating"
            async with asyncio.timeout(NOTIFICATION_LIMIT_S):
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            await until(lambda: discovery.open == 1)

    run(test())


async def play_start(**delays: float) -> tuple[set[str], float]:
    """Return the servers that a new node with an outdated list serves from, and the time of its start."""
    async with (
        Server("s-1") as first,
        Server("s-2") as drained,
        SlowDiscovery(first, drained, **delays) as discovery,
    ):
        drained.state = "Terminating"
        outdated = document("pushed", discovery, first, drained)
        outdated["known"]["servers"][1]["state"] = "Ready"
        started_at = asyncio.get_running_loop().time()
        async with Rig(outdated) as rig:
            assert ready_names(rig, first, drained) == {"s-1", "s-2"}
            await rig.node.wait_until_endpoints_known()
            start_s = asyncio.get_running_loop().time() - started_at
            return ready_names(rig, first, drained), start_s


def test_a_new_node_waits_for_the_list_of_a_slow_discovery() -> None:
    """Guards against serving an outdated list because the agent needs over 0.5 s for its response."""

    async def test() -> None:
        slow_starts: list[dict[str, float]] = [
            {"wait": 0.7},
            {"wait": 1.0},
            {"wait": 2.0},
            {"wait": 3.0},
            {"body": 3.5},
            {"wait": 1.5, "body": 2.0},
        ]
        results = await asyncio.gather(*(play_start(**delays) for delays in slow_starts))
        assert [result for result in results if result[0] != {"s-1"}] == []
        assert max(start_s for _, start_s in results) < 6.0  # time in which a node has to be ready

    run(test())


@pytest.mark.parametrize("wait", [1.0, 2.0])
def test_a_reload_to_a_slow_discovery_applies_its_list_in_time(wait: float) -> None:
    """Guards against giving up each watch at a new address, which has 4 s from the signal."""

    async def test() -> None:
        async with (
            Server("s-1") as first,
            Server("s-2") as drained,
            SlowDiscovery(first, drained) as old,
            SlowDiscovery(first, drained, wait=wait) as new,
            Rig(document("pushed", old, first, drained)) as rig,
        ):
            await until(lambda: old._watches)
            drained.state = "Terminating"
            rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
            async with asyncio.timeout(RELOAD_LIMIT_S):
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            await until(lambda: old.open == 0)

    run(test())


def test_reloads_in_quick_succession_do_not_start_the_wait_for_a_slow_discovery_again() -> None:
    """Guards against dropping, at the second reload, a response that counts as notified after the first."""

    async def test() -> None:
        async with (
            Server("s-1") as first,
            Server("s-2") as drained,
            SlowDiscovery(first, drained) as old,
            SlowDiscovery(first, drained, wait=2.0) as second,
            SlowDiscovery(first, drained, wait=2.0) as third,
            SlowDiscovery(first, drained, wait=2.0) as fourth,
            Rig(document("pushed", old, first, drained)) as rig,
        ):
            await until(lambda: old._watches)
            drained.state = "Terminating"

            async def reload_in_series() -> None:
                for previous, new in ((old, second), (second, third), (third, fourth)):
                    rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
                    asyncio.get_running_loop().call_later(OLD_ADDRESS_CLOSES_S, previous.cut)
                    await asyncio.sleep(1.2)

            series = asyncio.create_task(reload_in_series())
            async with asyncio.timeout(RELOAD_LIMIT_S):
                await until(lambda: ready_names(rig, first, drained) == {"s-1"})
            await series
            await until(lambda: (old.open, second.open, third.open, fourth.open) == (0, 0, 0, 1))
            drained.state = "Ready"
            await fourth.change(drained)
            await until(lambda: ready_names(rig, first, drained) == {"s-1", "s-2"})

    run(test())
