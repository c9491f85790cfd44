"""Watches that are replaced: timeouts, backoff between watches, and a change of address."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest
from endpoint_entries import entries, update_text
from rig import PATIENCE, Discovery, Rig, Server, configuration, run, until

from moleport.config.endpoints import DiscoveryUpdate, parse_address
from moleport.node import discovery_watch as discovery
from moleport.node.name_hashing import hash_name
from moleport.node.reconnect_backoff import MAX_DOUBLINGS, MAX_DRAIN_GRACE_FRACTION, MIN_DELAY_SECONDS
from moleport.policy import discovery_polling
from moleport.policy import interface as api
from moleport.policy.interface import EndpointUpdateKind


@pytest.mark.parametrize("moves", [False, True])
def test_a_reload_during_connect_or_backoff_opens_one_watch_at_the_new_address(moves: bool) -> None:
    """The backoff timer must not open a second watch."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as server:
            old.reply = b""  # no response
            document = configuration(discovery=old.address if moves else "127.0.0.1:1")
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                # Either the first watch is being opened, or the backoff after its failure runs.
                await until(lambda: old.targets if moves else rig.node.endpoint_list._backoff.failure_count)
                rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
                await until(lambda: new.targets)
                new.push(2, server, full=True)
                await until(rig.node.has_endpoints)
                for _ in range(10):  # longer than any backoff
                    await asyncio.sleep(0.03)
                    new.push_bytes(b"\n")
                assert (len(old.targets), len(new.targets)) == (int(moves), 1)

    run(test())


def test_a_silent_watch_is_replaced_before_missed_updates_count_as_delivered() -> None:
    """The watch opened in place of a silent one may be silent too."""
    counts_as_delivered, after_sighup, grace = 6.0, 4.0, 0.5
    pause = MAX_DRAIN_GRACE_FRACTION * grace
    assert pause <= MIN_DELAY_SECONDS * 2**MAX_DOUBLINGS
    # An empty line is sent every 2 s.
    assert min(discovery.DATA_TIMEOUT_S, discovery.FIRST_DATA_TIMEOUT_S) > 2.0
    again = MIN_DELAY_SECONDS + discovery.FIRST_DATA_TIMEOUT_S + 2 * MIN_DELAY_SECONDS
    assert discovery.DATA_TIMEOUT_S + again < counts_as_delivered
    assert discovery.FIRST_DATA_TIMEOUT_S + pause + discovery.AGENT_RESPONSE_TIMEOUT_S < after_sighup
    assert pause < grace  # an agent that is back sends its updates at once


def test_a_polled_discovery_has_longer_to_respond(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Calls are queued at a discovery that all nodes share, unlike at an agent on the same machine."""
    monkeypatch.setattr(discovery, "AGENT_RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            whole, source.reply = source.reply, b""
            rig.watch()
            await until(lambda: source.targets)
            await asyncio.sleep(0.3)
            source.push_raw(whole)
            source.push(9, full=True)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))
            assert not rig.spy.lists(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


FAILURES = ("refused", "503", "silent", "headers", "bad")  # of a call to discovery


async def seconds_until_applied(mode: str, failure: str) -> float:
    """Return the time from when a failed discovery is reachable and has an update to its application."""
    async with Discovery() as source, Server("s-1") as one, Server("s-2") as two:
        whole = source.reply
        document = configuration(one, two, discovery=source.address)
        document["settings"]["MembershipMode"] = mode
        if failure == "refused":
            await source.refuse()
        elif failure != "headers":
            busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            source.reply = {"503": busy, "silent": b"", "bad": b"?\r\n"}[failure]
        async with Rig(document) as rig:
            await until(lambda: source.targets or failure == "refused")
            await asyncio.sleep(2.2)  # the backoff has grown, and a further call gets no response
            two.state = "Terminating"
            change = json.dumps({"version": 9, "full": False, "servers": [two.entry()]}).encode()
            source.reply = whole + b"%x\r\n%s\r\n" % (len(change), change)
            if failure == "refused":
                await source.listen()
            begun = asyncio.get_running_loop().time()
            await until(lambda: rig.node._ready_endpoint_ids == {hash_name("s-1")})
            return asyncio.get_running_loop().time() - begun


def test_an_update_is_applied_within_6_s_after_any_failure() -> None:
    """The backoff after failures must leave time for a further call that gets no response."""

    async def test() -> None:
        cases = [(mode, failure) for mode in ("pushed", "on_request") for failure in FAILURES]
        async with asyncio.timeout(PATIENCE):
            waits = await asyncio.gather(*(seconds_until_applied(*case) for case in cases))
        assert {case: wait for case, wait in zip(cases, waits, strict=True) if wait >= 6.0} == {}

    run(test())


def test_the_policy_assumes_the_timeouts_of_the_watch() -> None:
    """The policy bounds its polling delays by the longest call and the longest silence."""
    longest_call_s = max(discovery.SHARED_RESPONSE_TIMEOUT_S, discovery.FIRST_DATA_TIMEOUT_S)
    assert longest_call_s * 1e9 <= discovery_polling.POLL_TIMEOUT_NS
    assert discovery.DATA_TIMEOUT_S * 1e9 <= discovery_polling.WATCH_SILENCE_NS
    assert (
        discovery_polling.WATCH_SILENCE_NS
        + discovery_polling.MIN_BACKOFF_NS
        + discovery_polling.POLL_TIMEOUT_NS
        <= discovery_polling.NOTIFICATION_LIMIT_NS
        < 6e9
    )


def test_reconnect_delays_grow_and_differ_between_nodes() -> None:
    """Nodes that lose their watches in the same moment do not reconnect together."""

    async def pauses(seed: str) -> list[float]:
        document = configuration() | {"seed": seed}
        async with Discovery() as source, Rig(document | {"discovery": source.address}) as rig:
            longest = MAX_DRAIN_GRACE_FRACTION * rig.config.drain_grace_ns / 1e9
            found = [rig.node.endpoint_list._backoff.next_delay_seconds() for _ in range(2000)]
            assert longest * 0.9 < max(found) <= longest
            rig.watch()
            await until(lambda: source.targets)
            source.push(9, full=True)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))
            assert rig.node.endpoint_list._backoff.next_delay_seconds() <= MIN_DELAY_SECONDS
            return found

    async def test() -> None:
        one, other = await pauses("1"), await pauses("2")
        for found in (one, other):
            assert MIN_DELAY_SECONDS / 2 <= found[0] < found[2] < found[4]
        assert not set(one) & set(other)

    run(test())


def test_a_moved_watch_is_reported_only_if_the_new_one_fails() -> None:
    """The old watch is closed on purpose."""

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1") as server,
            Rig(configuration(server, discovery=old.address)) as rig,
        ):
            rig.watch()
            await until(lambda: old.targets)
            rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
            await until(lambda: new.targets)
            rig.watch()  # opens no second one
            old.drop()
            new.push(2, server, full=True)  # its versions are counted apart
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))
            assert not rig.spy.lists(EndpointUpdateKind.FAILED)
            rig.node.reload(replace(rig.config, discovery_address=parse_address("127.0.0.1:1")))
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}
            assert (len(old.targets), len(new.targets)) == (1, 1)

    run(test())


def test_the_policy_requests_the_watch_by_its_timer() -> None:
    """In poll mode the node opens no watch by itself."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Rig(configuration(discovery=source.address)) as rig,  # no server known: the policy polls soon
        ):
            await until(lambda: source.targets)
            assert any(isinstance(event, api.TimerFired) for event in rig.spy.events)

    run(test())


def test_in_push_mode_the_node_keeps_a_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """The policy is not notified of its end."""
    monkeypatch.setattr("moleport.node.reconnect_backoff.MIN_DELAY_SECONDS", 0.01)

    async def test() -> None:
        async with Discovery() as source:
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.drop()
                await until(lambda: len(source.targets) == 2)
                assert not rig.spy.lists(EndpointUpdateKind.FAILED)

    run(test())


def test_the_end_of_a_replaced_watch_leaves_the_update_of_the_current_one_in_slices() -> None:
    """To parse thousands of entries in one go would hold up the requests."""
    reported: list[DiscoveryUpdate] = []

    async def test() -> None:
        client = discovery.DiscoveryClient(("127.0.0.1", 1), 0, reported.append, lambda: None)
        replaced = discovery.WatchConnection(client)
        current = client._watch = discovery.WatchConnection(client)
        found = entries(range(3 * discovery.SLICE_ENTRY_COUNT))
        client.on_json_object(current, update_text(2, found))
        replaced.connection_lost(None)
        assert not reported
        await until(lambda: reported)
        assert len(reported[0].endpoints) == len(found)
        client.close()

    run(test())
