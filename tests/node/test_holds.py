"""Tests of holds: a node process that was stopped, or lost its core, handles what it missed."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from time import sleep

import pytest
from node_process import program
from rig import (
    Discovery,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    reset,
    respond_when,
    run,
    status,
    until,
)

from moleport.node.hold_detector import HoldDetector
from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS

HOLD_CLIENTS = 8
HOLD_COUNT = 6
DISCONNECT_DELAY_S = 0.02  # from a client's request to its disconnect


@pytest.mark.parametrize("disconnect", ["close", "reset"])
@pytest.mark.parametrize("connection", ["used", "open", "new"])
@pytest.mark.parametrize("hold_s", [0.15, 0.3])
def test_nothing_is_forwarded_after_a_hold_for_clients_that_disconnected_in_it(
    hold_s: float, connection: str, disconnect: str, tmp_path: Path
) -> None:
    """An attempt may not begin more than 0.1 s after its client has disconnected.

    The process is stopped before the requests are sent, so each request that reaches the server was forwarded
    too late.
    """

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            active_client = await node.client()
            overdue_count = 0
            for round_number in range(HOLD_COUNT):
                assert (
                    status(await active_client.exchange(request())) == 200
                )  # opens a connection to the server
                clients = [] if connection == "new" else [await node.client() for _ in range(HOLD_CLIENTS)]
                if connection == "used":
                    for client in clients:
                        assert status(await client.exchange(request())) == 200
                # Each round stops the process at a different phase of the node's timers.
                await asyncio.sleep(0.05 + round_number * 0.003)
                earlier_count = len(server.seen)
                node.process.send_signal(signal.SIGSTOP)
                if connection == "new":
                    clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                for client in clients:
                    client.writer.write(request())
                await asyncio.sleep(DISCONNECT_DELAY_S)
                for client in clients:
                    if disconnect == "reset":
                        reset(client.writer)
                    else:
                        client.writer.close()
                await asyncio.sleep(hold_s - DISCONNECT_DELAY_S)
                node.process.send_signal(signal.SIGCONT)
                assert status(await active_client.exchange(request())) == 200  # the process runs again
                await asyncio.sleep(0.05)
                overdue_count += len(server.seen) - earlier_count - 1
            assert overdue_count == 0

    run(test())


def test_a_server_that_began_to_drain_in_a_hold_gets_no_request_after_it(tmp_path: Path) -> None:
    """The update about the drain is older than the drain grace when the hold ends.

    The requests and the update are both unread in the kernel. The result must not depend on the order in
    which the loop reads them.
    """

    async def send_empty_update(agent: Discovery) -> None:
        await until(lambda: agent.targets)
        agent.push(7)

    async def test() -> None:
        async with Discovery() as agent, Server("s-1") as draining, Server("s-2") as other:
            document = configuration(draining, other, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            initial_update = asyncio.create_task(send_empty_update(agent))
            async with program(document, tmp_path) as node:
                await initial_update
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                version = 8
                for _ in range(5):
                    for client in clients:
                        assert status(await client.exchange(request())) == 200
                    earlier_count = len(draining.seen)
                    node.process.send_signal(signal.SIGSTOP)
                    for client in clients:
                        client.writer.write(request())
                    draining.state = "Terminating"
                    agent.push(version, draining)
                    await asyncio.sleep(0.7)
                    node.process.send_signal(signal.SIGCONT)
                    for client in clients:
                        assert status(await client.read()) in (200, 503)
                    assert len(draining.seen) == earlier_count
                    draining.state = "Ready"
                    agent.push(version + 1, draining)
                    version += 2
                    await asyncio.sleep(0.05)

    run(test())


def stated_timeout_ms(message: Message) -> float:
    """Return the remaining time that a request states to the server in X-Deadline, in ms."""
    return int(message.headers["x-deadline"].removesuffix("u")) / 1000


def test_the_stated_timeout_does_not_exceed_the_time_left_after_a_hold(tmp_path: Path) -> None:
    """The time of a request starts when the request arrives in the kernel, not when it is read."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            active_client = await node.client()
            for round_number in range(HOLD_COUNT):
                assert status(await active_client.exchange(request())) == 200
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                await asyncio.sleep(0.05 + round_number * 0.003)
                earlier_count = len(server.seen)
                node.process.send_signal(signal.SIGSTOP)
                # These are more clients than the listener accepts in one loop iteration.
                clients += [await node.client() for _ in range(3 * HOLD_CLIENTS)]
                for client in clients:
                    client.writer.write(request(X_Deadline="2000m"))
                await asyncio.sleep(0.4)
                node.process.send_signal(signal.SIGCONT)
                for client in clients:  # these are more requests at once than the circuit breaker admits
                    assert status(await client.read()) in (200, 503)
                    client.writer.close()
                assert len(server.seen) >= earlier_count + HOLD_CLIENTS
                assert (
                    max(stated_timeout_ms(message) for message in server.seen[earlier_count:])
                    <= 2000 - 400 + 150
                )

    run(test())


@pytest.mark.parametrize("count", [2, 60])
def test_the_stated_timeout_does_not_exceed_the_time_left_for_pipelined_requests(count: int) -> None:
    """The time of a pipelined request starts when it arrives, not when the previous response is sent."""
    total_s = 0.6

    async def respond_slowly(_: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(total_s / (count - 1))
        writer.write(answer())

    async def test() -> None:
        async with Server("s-1", respond_slowly) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            # Of many padded requests, the last are unread in the kernel while the first are in flight.
            padding = "p" * 400
            client.writer.write(request(X_Deadline="2000m", X_Pad=padding))
            for _ in range(count - 1):
                client.writer.write(request(X_Deadline="2000m", X_Pad=padding))
            for _ in range(count):
                assert status(await client.read()) == 200
            assert stated_timeout_ms(server.seen[-1]) <= 2000 - total_s * 1000 + 150
            assert stated_timeout_ms(server.seen[0]) > 1900
            await asyncio.sleep(0.3)
            assert status(await client.exchange(request(X_Deadline="2000m"))) == 200
            # The idle time before the request is not subtracted.
            assert stated_timeout_ms(server.seen[-1]) > 1900

    run(test())


def test_a_client_that_waits_briefly_behind_a_long_accept_queue_keeps_its_time() -> None:
    """The time of a first request must not start with that of the oldest client in the accept queue."""
    release = asyncio.Event()

    respond_when_released = respond_when(release)

    async def test() -> None:
        async with Server("s-1", respond_when_released) as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 1
            connected_client = await rig.client()
            connected_client.writer.write(request())
            await until(lambda: server.seen)
            first = await rig.client()
            first.writer.write(request(X_Deadline="2000m"))
            await asyncio.sleep(0.6)
            second = await rig.client()
            second.writer.write(request(X_Deadline="400m"))
            await asyncio.sleep(0.1)
            rig.listener.table.max_connections = 9
            release.set()
            assert [status(await client.read()) for client in (connected_client, first, second)] == [
                200,
                200,
                200,
            ]
            stated_ms = sorted(stated_timeout_ms(message) for message in server.seen[1:])
            assert 150 < stated_ms[0] <= 400 - 100 + 150
            assert 1100 < stated_ms[1] <= 2000 - 700 + 150

    run(test())


def test_a_request_completed_in_a_hold_is_not_timed_out_after_it(tmp_path: Path) -> None:
    """The timer that ends slow requests may run before the loop reads the rest of a request."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            for round_number in range(3):
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                requests = [request(body=b"whole") for _ in clients]
                for client, data in zip(clients, requests, strict=True):
                    client.writer.write(data[:-3])
                # This is shorter than the time limit for receiving a request.
                await asyncio.sleep(1.6 + round_number * 0.003)
                node.process.send_signal(signal.SIGSTOP)
                for client, data in zip(clients, requests, strict=True):
                    client.writer.write(data[-3:])
                await asyncio.sleep(0.8)
                node.process.send_signal(signal.SIGCONT)
                assert {status(await client.read()) for client in clients} == {200}

    run(test())


def test_an_attempt_that_begins_within_a_hold_has_no_negative_duration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A heartbeat is overdue by 15 ms when the attempt starts, and by 22 ms when it ends."""
    hold_sums_ns = iter([0, 22 * NS_PER_MS])

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(HoldDetector, "total_hold_ns", lambda _: next(hold_sums_ns, 22 * NS_PER_MS))
            assert status(await (await rig.client()).exchange(request())) == 200
            (outcome,) = rig.spy.outcomes()
            assert 0 <= outcome.elapsed_ns < 22 * NS_PER_MS

    run(test())


def test_a_hold_after_the_write_is_no_violation_of_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process may be stopped, or its log may be slow, while the event is traced after the write."""
    count = Telemetry.count

    def slow_count(self: Telemetry, event: Event, **ids: object) -> None:
        count(self, event, **ids)
        if event is Event.ATTEMPT_WRITTEN:
            sleep(0.2)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(Telemetry, "count", slow_count)
            assert status(await (await rig.client()).exchange(request(X_Deadline="2000m"))) == 200
            assert not rig.node.telemetry.violations

    run(test())
