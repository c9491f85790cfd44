"""Tests of the report that the endpoint list may be outdated."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace

import pytest
from rig import Discovery, Rig, configuration, run, until

from moleport.config.endpoints import parse_address
from moleport.node import discovery_limits
from moleport.telemetry import Event


def test_an_outdated_list_is_reported_once_and_again_when_it_is_current(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a node that uses an old list without a word in its log."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(discovery_limits, "NOTIFICATION_LIMIT_S", 0.3)

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            counters = rig.node.telemetry.counters
            rig.watch()
            await until(lambda: source.targets)
            for _ in range(30):
                source.push_bytes(b"\n")
                await asyncio.sleep(0.02)
            assert Event.ENDPOINT_LIST_OUTDATED not in counters
            await asyncio.sleep(0.8)
            assert counters[Event.ENDPOINT_LIST_OUTDATED] == 1
            source.push_bytes(b"\n")
            await until(lambda: counters[Event.ENDPOINT_LIST_CURRENT])
            await until(lambda: counters[Event.ENDPOINT_LIST_OUTDATED] == 2)

    run(test())
    assert caplog.text.count("the endpoint list may be outdated") == 2
    assert caplog.text.count("the endpoint list is current") == 1


def test_after_a_reload_the_list_is_outdated_sooner(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list of the new address counts as notified earlier than a change does."""
    monkeypatch.setattr(discovery_limits, "RELOAD_NOTIFICATION_LIMIT_S", 0.2)

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Rig(configuration(discovery=old.address)) as rig:
            rig.watch()
            await until(lambda: old.targets)
            old.push_bytes(b"\n")
            reloaded_at = asyncio.get_running_loop().time()
            rig.node.reload(replace(rig.config, discovery_address=parse_address(new.address)))
            await until(lambda: rig.node.telemetry.counters[Event.ENDPOINT_LIST_OUTDATED])
            # Sums are compared, as the difference of two times may be rounded to less than the limit.
            assert reloaded_at + 0.2 <= asyncio.get_running_loop().time() < reloaded_at + 4.0

    run(test())
