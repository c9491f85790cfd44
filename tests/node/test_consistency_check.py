"""Tests of the consistency check: it reports each violation, and reports it once."""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from rig import Rig, Server, configuration, never_respond, request, run, until

from moleport.node.invariants import Invariant
from moleport.units import NS_PER_SECOND


def test_an_overdue_request_and_its_attempt_are_reported_once() -> None:
    async def test() -> None:
        async with Server("s-1", never_respond) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            check, violations = rig.node._consistency_check, rig.node.telemetry.violations
            check.check()
            assert not violations
            (pending,) = rig.node.requests.active.values()
            (attempt,) = pending.attempts.values()
            attempt.expires_at_ns = monotonic_ns() - NS_PER_SECOND
            check.check()
            check.check()
            assert violations == {Invariant.ENDED_IN_TIME: 1}
            pending.client_request.deadline_ns = monotonic_ns() - NS_PER_SECOND
            check.check()
            assert violations == {Invariant.ENDED_IN_TIME: 2}

    run(test())


def test_attempts_that_only_the_policy_counts_are_reported_within_a_second() -> None:
    async def test() -> None:
        async with Server("s-1", never_respond) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            (pending,) = rig.node.requests.active.values()
            attempts, pending.attempts = pending.attempts, {}
            violations = rig.node.telemetry.violations
            await until(lambda: violations)
            await asyncio.sleep(1.1)
            assert violations == {Invariant.ATTEMPTS_AGREE: 1}
            pending.attempts = attempts

    run(test())
