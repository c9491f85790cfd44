"""Tests of replacing a discovery watch: timeouts, backoff between watches, and a change of address."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from unittest.mock import Mock

import pytest
from endpoint_entries import entries, update_text
from rig import TEST_TIMEOUT_SECONDS, Discovery, Rig, Server, configuration, run, until

from moleport.config.endpoints import DiscoveryUpdate, parse_address
from moleport.node import discovery_client, discovery_limits, update_parser
from moleport.node import discovery_watch as discovery
from moleport.node.hold_detector import HoldDetector
from moleport.node.name_hashing import hash_name
from moleport.node.reconnect_backoff import MAX_DOUBLINGS, MAX_DRAIN_GRACE_FRACTION, MIN_DELAY_SECONDS
from moleport.policy import discovery_polling
from moleport.policy import interface as api
from moleport.policy.interface import EndpointUpdateKind
from moleport.telemetry import Telemetry


@pytest.mark.parametrize("is_old_reachable", [False, True])
def test_a_reload_during_connect_or_backoff_opens_one_watch_at_the_new_address(
    is_old_reachable: bool,
) -> None:
    """The backoff timer must not open a second watch."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as server:
            old.reply = b""  # no response
            document = configuration(discovery=old.address if is_old_reachable else "127.0.0.1:1")
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                # The first watch has no response yet, or has failed and is followed by a backoff.
                await until(
                    lambda: old.targets if is_old_reachable else rig.node.endpoint_list._backoff.failure_count
                )
                rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
                await until(lambda: new.targets)
                new.push(2, server, full=True)
                await until(rig.node.has_endpoints)
                for _ in range(10):  # longer than any backoff
                    await asyncio.sleep(0.03)
                    new.push_bytes(b"\n")
                assert (len(old.targets), len(new.targets)) == (int(is_old_reachable), 1)

    run(test())


def test_a_silent_watch_is_replaced_before_missed_updates_count_as_delivered() -> None:
    """The limits must hold even if the watch that replaces a silent one is silent too."""
    delivery_limit_s, delivery_limit_after_sighup_s, drain_grace_s = 6.0, 4.0, 0.5
    max_delay_s = MAX_DRAIN_GRACE_FRACTION * drain_grace_s
    assert max_delay_s <= MIN_DELAY_SECONDS * 2**MAX_DOUBLINGS
    # Discovery sends an empty line at least every 2 s.
    assert min(discovery_limits.DATA_TIMEOUT_S, discovery_limits.FIRST_DATA_TIMEOUT_S) > 2.0
    next_watch_s = MIN_DELAY_SECONDS + discovery_limits.FIRST_DATA_TIMEOUT_S + 2 * MIN_DELAY_SECONDS
    assert discovery_limits.DATA_TIMEOUT_S + next_watch_s < delivery_limit_s
    assert (
        discovery_limits.FIRST_DATA_TIMEOUT_S
        + max_delay_s
        + discovery_limits.AGENT_RESPONSE_TIMEOUT_S
        + discovery_limits.HOLD_EXTENSION_S
        < delivery_limit_after_sighup_s
    )
    assert max_delay_s < drain_grace_s  # an agent that is reachable again sends its updates at once


def test_a_polled_discovery_has_a_longer_response_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A discovery service that all nodes share queues their requests, unlike an agent on the same machine."""
    monkeypatch.setattr(discovery_limits, "AGENT_RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            normal_reply, source.reply = source.reply, b""
            rig.watch()
            await until(lambda: source.targets)
            await asyncio.sleep(0.3)
            source.push_raw(normal_reply)
            source.push(9, full=True)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))
            assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


FAILURES = ("refused", "503", "silent", "headers", "malformed")  # of a request to discovery


async def seconds_until_applied(mode: str, failure: str) -> float:
    """Return the time from the end of a discovery failure until the update sent after it is applied."""
    async with Discovery() as source, Server("s-1") as first, Server("s-2") as second:
        normal_reply = source.reply
        document = configuration(first, second, discovery=source.address)
        document["settings"]["MembershipMode"] = mode
        if failure == "refused":
            await source.refuse()
        elif failure != "headers":
            unavailable = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            source.reply = {"503": unavailable, "silent": b"", "malformed": b"?\r\n"}[failure]
        async with Rig(document) as rig:
            await until(lambda: source.targets or failure == "refused")
            await asyncio.sleep(2.2)  # the backoff has grown, and a further request has failed
            second.state = "Terminating"
            update = json.dumps({"version": 9, "full": False, "servers": [second.entry()]}).encode()
            source.reply = normal_reply + b"%x\r\n%s\r\n" % (len(update), update)
            if failure == "refused":
                await source.listen()
            reachable_at = asyncio.get_running_loop().time()
            await until(lambda: rig.node._ready_endpoint_ids == {hash_name("s-1")})
            return asyncio.get_running_loop().time() - reachable_at


def test_an_update_is_applied_within_6_s_after_any_failure() -> None:
    """The backoff after failures must leave time for one more request without a response."""

    async def test() -> None:
        cases = [(mode, failure) for mode in ("pushed", "on_request") for failure in FAILURES]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            delays_s = await asyncio.gather(*(seconds_until_applied(*case) for case in cases))
        assert {case: delay_s for case, delay_s in zip(cases, delays_s, strict=True) if delay_s >= 6.0} == {}

    run(test())


def test_the_policy_assumes_the_timeouts_of_the_watch() -> None:
    """The policy derives its polling delays from the longest request and the longest silence of a watch."""
    longest_call_s = max(discovery_limits.SHARED_RESPONSE_TIMEOUT_S, discovery_limits.FIRST_DATA_TIMEOUT_S)
    assert longest_call_s * 1e9 <= discovery_polling.POLL_TIMEOUT_NS
    assert discovery_limits.DATA_TIMEOUT_S * 1e9 <= discovery_polling.WATCH_SILENCE_NS
    assert (
        discovery_polling.WATCH_SILENCE_NS
        + discovery_polling.MIN_BACKOFF_NS
        + discovery_polling.POLL_TIMEOUT_NS
        <= discovery_polling.NOTIFICATION_LIMIT_NS
        < 6e9
    )


def test_reconnect_delays_grow_and_differ_between_nodes() -> None:
    """Nodes whose watches end at the same moment must not reconnect at the same moment."""

    async def drawn_delays(seed: str) -> list[float]:
        document = configuration() | {"seed": seed}
        async with Discovery() as source, Rig(document | {"discovery": source.address}) as rig:
            max_delay_s = MAX_DRAIN_GRACE_FRACTION * rig.config.drain_grace_ns / 1e9
            delays = [rig.node.endpoint_list._backoff.next_delay_seconds() for _ in range(2000)]
            assert max_delay_s * 0.9 < max(delays) <= max_delay_s
            rig.watch()
            await until(lambda: source.targets)
            source.push(9, full=True)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))
            assert rig.node.endpoint_list._backoff.next_delay_seconds() <= MIN_DELAY_SECONDS
            return delays

    async def test() -> None:
        first_node, second_node = await drawn_delays("1"), await drawn_delays("2")
        for delays in (first_node, second_node):
            assert MIN_DELAY_SECONDS / 2 <= delays[0] < delays[2] < delays[4]
        assert not set(first_node) & set(second_node)

    run(test())


def test_a_moved_watch_is_reported_only_if_the_new_one_fails() -> None:
    """The old watch is closed intentionally, which is not a failure."""

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
            rig.watch()  # must not open a second watch
            old.drop()
            new.push(2, server, full=True)  # each address has its own version numbers
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))
            assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)
            rig.node.reload(replace(rig.config, discovery_address=parse_address("127.0.0.1:1")))
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}
            assert (len(old.targets), len(new.targets)) == (1, 1)

    run(test())


def test_the_policy_requests_the_watch_by_its_timer() -> None:
    """In poll mode the node opens a watch only if the policy requests it."""

    async def test() -> None:
        async with (
            Discovery() as source,
            # No server is known, so the policy polls soon.
            Rig(configuration(discovery=source.address)) as rig,
        ):
            await until(lambda: source.targets)
            assert any(isinstance(event, api.TimerFired) for event in rig.spy.events)

    run(test())


def test_in_push_mode_the_node_keeps_a_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """The policy is not notified of the end of a watch."""
    monkeypatch.setattr("moleport.node.reconnect_backoff.MIN_DELAY_SECONDS", 0.01)

    async def test() -> None:
        async with Discovery() as source:
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.drop()
                await until(lambda: len(source.targets) == 2)
                assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)

    run(test())


def test_the_end_of_a_replaced_watch_does_not_parse_the_update_of_the_current_one_at_once() -> None:
    """Parsing thousands of entries in one loop iteration would delay requests."""
    reported: list[DiscoveryUpdate] = []

    async def test() -> None:
        hold_detector = HoldDetector(Telemetry(trace=False))
        limits = discovery_client.WatchLimits.of_mode(api.DiscoveryMode.PUSH)
        observer = Mock(on_update=reported.append)
        client = discovery_client.DiscoveryClient(("127.0.0.1", 1), 0, observer, hold_detector, limits)
        replaced = discovery.WatchConnection(client, client._source)
        current = discovery.WatchConnection(client, client._source)
        client._watches.append(current)
        listed = entries(range(3 * update_parser.SLICE_ENTRY_COUNT))
        client.on_json_object(current, update_text(2, listed))
        replaced.connection_lost(None)
        assert not reported
        await until(lambda: reported)
        assert len(reported[0].endpoints) == len(listed)
        client.close()

    run(test())
