"""What an attempt's owner and pool make of it follows from its state."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Any

import pytest
import uvloop
from rig import (
    PATIENCE,
    Client,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    run,
    says,
    status,
    until,
)

from moleport.config.endpoints import parse_update
from moleport.node.attempt import Attempt, WritePermission
from moleport.node.attempt_supervisor import AttemptSupervisor
from moleport.node.connection_pool import ConnectionPool
from moleport.node.invariants import Invariant
from moleport.node.name_hashing import hash_name
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult
from moleport.units import NS_PER_MS


class FailingLoop(uvloop.Loop):
    """An event loop whose connections to one port fail."""

    failing_port = 0

    async def create_connection(self, *arguments: Any, **options: Any) -> Any:
        if self.failing_port and arguments[2] == self.failing_port:
            raise OSError(errno.EADDRNOTAVAIL, os.strerror(errno.EADDRNOTAVAIL))
        return await super().create_connection(*arguments, **options)


async def write_after_local_fault(rig: Rig, server: Server, release: asyncio.Event) -> Client:
    """Have a request written on an idle connection, after connecting has failed for a local fault."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, FailingLoop)
    first, second = await rig.client(), await rig.client()
    first.writer.write(request("page"))
    await until(lambda: server.seen)
    loop.failing_port = int(server.address.rpartition(":")[2])
    second.writer.write(request("order"))
    await until(lambda: len(rig.node.requests.active) == 2)
    await asyncio.sleep(0.02)
    release.set()
    assert status(await first.read()) == 200
    await until(lambda: len(server.seen) == 2)
    return second


def test_a_request_written_after_a_local_fault_is_in_flight_as_its_server_drains() -> None:
    """Ended as not sent, it would be executed twice."""
    release, finish = asyncio.Event(), asyncio.Event()

    async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
        await (release if message.first.startswith("GET") else finish).wait()
        writer.write(answer())

    async def test() -> None:
        async with (
            Server("s-1", waits) as draining,
            Server("s-2") as other,
            Rig(configuration(draining)) as rig,
        ):
            client = await write_after_local_fault(rig, draining, release)
            draining.state = "Terminating"
            entries = [draining.entry(), other.entry()]
            rig.node.endpoint_list.on_update(parse_update({"version": 8, "full": False, "servers": entries}))
            await asyncio.sleep(0.2)
            assert not other.seen
            finish.set()
            assert status(await client.read()) == 200
            assert [one.result for one in rig.spy.outcomes()] == [AttemptResult.OK] * 2
            assert not rig.node.telemetry.violations

    with asyncio.Runner(loop_factory=FailingLoop) as runner:
        runner.run(asyncio.wait_for(test(), PATIENCE))


@pytest.mark.parametrize("result", [AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED])
def test_a_written_attempt_that_is_ended_as_not_executed_is_a_violation_and_not_retried(
    result: AttemptResult,
) -> None:
    async def waits(_: Message, __: asyncio.StreamWriter) -> None:
        await asyncio.sleep(PATIENCE)

    async def test() -> None:
        one, two = Server("s-1", waits), Server("s-2", waits)
        async with one, two, Rig(configuration(one, two)) as rig:
            client = await rig.client()
            client.writer.write(request("order"))
            await until(lambda: one.seen or two.seen)
            (pending,) = rig.node.requests.active.values()
            (attempt,) = pending.attempts.values()
            attempt.end(result)
            assert status(await client.read()) == 502
            assert len(one.seen) + len(two.seen) == 1
            assert rig.node.telemetry.violations == {Invariant.RESULT_MATCHES_WRITE: 1}

    run(test())


def test_only_attempts_that_wait_or_connect_are_unsent(monkeypatch: pytest.MonkeyPatch) -> None:
    unsent_at_write: list[bool] = []
    retired: list[ConnectionPool] = []
    write_request = Attempt._write_request

    def observe(self: Attempt, *arguments: Any) -> None:
        write_request(self, *arguments)
        unsent_at_write.append(self in self.pool.unsent)
        retired.append(self.pool)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(Attempt, "_write_request", observe)
            client = await rig.client()
            for _ in range(2):  # on a new and on an idle connection
                assert status(await client.ask(request())) == 200
                await asyncio.sleep(0.02)
            assert unsent_at_write == [False, False]
            assert not any(pool.unsent for pool in retired)

    run(test())


@pytest.mark.parametrize("connection", ["idle", "new"])
@pytest.mark.parametrize("limit", ["deadline", "attempt"])
def test_time_used_up_waiting_for_permission_is_not_the_server_s_fault(
    connection: str, limit: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a hold an attempt waits until the endpoint list is read."""
    authorize_write = AttemptSupervisor.authorize_write
    permitted: list[bool] = []

    def wait(self: AttemptSupervisor, attempt: Attempt) -> WritePermission:
        if not permitted and not (connection == "new" and attempt._new_connection is None):
            return WritePermission.WAIT
        return authorize_write(self, attempt)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            if connection == "idle":
                assert status(await client.ask(request())) == 200
            before = len(rig.spy.outcomes())
            monkeypatch.setattr(AttemptSupervisor, "authorize_write", wait)
            if limit == "attempt":
                decided = [api.Forward(before + 1, hash_name("s-1"), 50 * NS_PER_MS)]
                rig.spy.instead = lambda event: decided if isinstance(event, api.Request) else None
            client.writer.write(request("order", X_Deadline="60m" if limit == "deadline" else "5000m"))
            await asyncio.sleep(0.07)
            permitted.append(True)
            assert status(await client.read()) in (503, 504)
            results = [one.result for one in rig.spy.outcomes()[before:]]
            assert AttemptResult.CONNECT_FAILED not in results
            assert len(server.seen) == before

    run(test())


def test_a_retry_of_a_request_that_has_ended_meanwhile_leaves_nothing_in_flight() -> None:
    """The policy counted it as in flight for good, as it was reported as the first attempt."""

    async def test() -> None:
        one, two = Server("s-1", says(answer(500))), Server("s-2", says(answer(500)))
        async with one, two, Rig(configuration(one, two)) as rig:

            def end_request(event: api.Event) -> None:
                if isinstance(event, api.AttemptOutcome) and event.attempt_index == 0:
                    rig.node.requests.active.pop(event.request_id, None)

            rig.spy.instead = end_request
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: len(rig.spy.outcomes()) > 1)
            assert len(one.seen) + len(two.seen) == 1
            rig.node._dispatch_event(api.ClientDisconnected(1))
            assert rig.node.attempts_in_flight_by_policy() == 0

    run(test())
