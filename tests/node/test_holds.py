"""A node process that does not run for a while (stopped, or its core taken) and then finds what it missed."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from time import sleep

import pytest
from rig import Discovery, Message, Rig, Server, answer, configuration, request, reset, run, status, until
from test_process import program

from moleport.node.hold_detector import HoldDetector
from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS

HOLD_CLIENTS = 8
HOLD_COUNT = 6
DISCONNECT_DELAY_S = 0.02  # from a client's request


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("connection", ["used", "open", "new"])
@pytest.mark.parametrize("hold_s", [0.15, 0.3])
def test_nothing_is_forwarded_after_a_hold_for_clients_that_disconnected_in_it(
    hold_s: float, connection: str, how: str, tmp_path: Path
) -> None:
    """An attempt may not begin more than 0.1 s after its client has closed.

    The process is stopped before the requests are sent, so each that reaches the server began too late.
    """

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            first = await node.client()
            overdue_count = 0
            for round_number in range(HOLD_COUNT):
                assert status(await first.ask(request())) == 200  # opens a connection to the server
                clients = [] if connection == "new" else [await node.client() for _ in range(HOLD_CLIENTS)]
                if connection == "used":
                    for client in clients:
                        assert status(await client.ask(request())) == 200
                # At a different phase of the node's timers each time.
                await asyncio.sleep(0.05 + round_number * 0.003)
                before = len(server.seen)
                node.process.send_signal(signal.SIGSTOP)
                if connection == "new":
                    clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                for client in clients:
                    client.writer.write(request())
                await asyncio.sleep(DISCONNECT_DELAY_S)
                for client in clients:
                    if how == "reset":
                        reset(client.writer)
                    else:
                        client.writer.close()
                await asyncio.sleep(hold_s - DISCONNECT_DELAY_S)
                node.process.send_signal(signal.SIGCONT)
                assert status(await first.ask(request())) == 200  # it runs again
                await asyncio.sleep(0.05)
                overdue_count += len(server.seen) - before - 1
            assert overdue_count == 0

    run(test())


def test_a_server_that_began_to_drain_in_a_hold_gets_no_request_after_it(tmp_path: Path) -> None:
    """The notification of the drain is older than the grace period as the hold ends.

    Requests and the notification are both in the kernel; the order in which the loop reads them must not
    matter.
    """

    async def greet(agent: Discovery) -> None:
        await until(lambda: agent.targets)
        agent.push(7)

    async def test() -> None:
        async with Discovery() as agent, Server("s-1") as one, Server("s-2") as two:
            document = configuration(one, two, discovery=agent.address)
            document["settings"]["MembershipMode"] = "pushed"
            greeting = asyncio.create_task(greet(agent))
            async with program(document, tmp_path) as node:
                await greeting
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                version = 8
                for _ in range(5):
                    for client in clients:
                        assert status(await client.ask(request())) == 200
                    before = len(one.seen)
                    node.process.send_signal(signal.SIGSTOP)
                    for client in clients:
                        client.writer.write(request())
                    one.state = "Terminating"
                    agent.push(version, one)
                    await asyncio.sleep(0.7)
                    node.process.send_signal(signal.SIGCONT)
                    for client in clients:
                        assert status(await client.read()) in (200, 503)
                    assert len(one.seen) == before
                    one.state = "Ready"
                    agent.push(version + 1, one)
                    version += 2
                    await asyncio.sleep(0.05)

    run(test())


def stated_timeout_ms(message: Message) -> float:
    """Return the time left that a request states to the server."""
    return int(message.headers["x-deadline"].removesuffix("u")) / 1000


def test_the_stated_timeout_does_not_exceed_the_time_left_after_a_hold(tmp_path: Path) -> None:
    """The time of a request begins when it arrives in the kernel, not when it is read."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            first = await node.client()
            for round_number in range(HOLD_COUNT):
                assert status(await first.ask(request())) == 200
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                await asyncio.sleep(0.05 + round_number * 0.003)
                before = len(server.seen)
                node.process.send_signal(signal.SIGSTOP)
                # More than one loop iteration accepts.
                clients += [await node.client() for _ in range(3 * HOLD_CLIENTS)]
                for client in clients:
                    client.writer.write(request(X_Deadline="2000m"))
                await asyncio.sleep(0.4)
                node.process.send_signal(signal.SIGCONT)
                for client in clients:  # more at once than the circuit breaker admits
                    assert status(await client.read()) in (200, 503)
                    client.writer.close()
                assert len(server.seen) >= before + HOLD_CLIENTS
                assert max(stated_timeout_ms(message) for message in server.seen[before:]) <= 2000 - 400 + 150

    run(test())


@pytest.mark.parametrize("count", [2, 60])
def test_the_stated_timeout_does_not_exceed_the_time_left_for_pipelined_requests(count: int) -> None:
    """The time of a pipelined request begins when it arrives, not when the previous one is answered."""
    span = 0.6

    async def slow(_: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(span / (count - 1))
        writer.write(answer())

    async def test() -> None:
        async with Server("s-1", slow) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            padding = "p" * 400  # so that the last of many are in the kernel while the first are in flight
            client.writer.write(request(X_Deadline="2000m", X_Pad=padding))
            for _ in range(count - 1):
                client.writer.write(request(X_Deadline="2000m", X_Pad=padding))
            for _ in range(count):
                assert status(await client.read()) == 200
            assert stated_timeout_ms(server.seen[-1]) <= 2000 - span * 1000 + 150
            assert stated_timeout_ms(server.seen[0]) > 1900
            await asyncio.sleep(0.3)
            assert status(await client.ask(request(X_Deadline="2000m"))) == 200
            assert stated_timeout_ms(server.seen[-1]) > 1900  # the idle time between does not count

    run(test())


def test_a_client_that_waits_briefly_behind_a_long_accept_queue_keeps_its_time() -> None:
    """The time of a first request must not begin with the oldest client in the accept queue."""
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        async with Server("s-1", waits) as server, Rig(configuration(server)) as rig:
            rig.listener.table.max_connections = 1
            stays = await rig.client()
            stays.writer.write(request())
            await until(lambda: server.seen)
            first = await rig.client()
            first.writer.write(request(X_Deadline="2000m"))
            await asyncio.sleep(0.6)
            second = await rig.client()
            second.writer.write(request(X_Deadline="400m"))
            await asyncio.sleep(0.1)
            rig.listener.table.max_connections = 9
            release.set()
            assert [status(await client.read()) for client in (stays, first, second)] == [200, 200, 200]
            stated_ms = sorted(stated_timeout_ms(message) for message in server.seen[1:])
            assert 150 < stated_ms[0] <= 400 - 100 + 150
            assert 1100 < stated_ms[1] <= 2000 - 700 + 150

    run(test())


def test_a_request_completed_in_a_hold_is_not_timed_out_after_it(tmp_path: Path) -> None:
    """The timer that ends slow requests may run ahead of the sockets, where the rest of them is unread."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            for round_number in range(3):
                clients = [await node.client() for _ in range(HOLD_CLIENTS)]
                halves = [request(body=b"whole") for _ in clients]
                for client, data in zip(clients, halves, strict=True):
                    client.writer.write(data[:-3])
                await asyncio.sleep(1.6 + round_number * 0.003)  # shorter than the time limit of a request
                node.process.send_signal(signal.SIGSTOP)
                for client, data in zip(clients, halves, strict=True):
                    client.writer.write(data[-3:])
                await asyncio.sleep(0.8)
                node.process.send_signal(signal.SIGCONT)
                assert {status(await client.read()) for client in clients} == {200}

    run(test())


def test_an_attempt_that_begins_within_a_hold_has_no_negative_duration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A heartbeat that is overdue by 15 ms as the attempt starts is overdue by 22 ms as it ends."""
    stalls_ns = iter([0, 22 * NS_PER_MS])

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(HoldDetector, "total_hold_ns", lambda _: next(stalls_ns, 22 * NS_PER_MS))
            assert status(await (await rig.client()).ask(request())) == 200
            (outcome,) = rig.spy.outcomes()
            assert 0 <= outcome.elapsed_ns < 22 * NS_PER_MS

    run(test())


def test_a_hold_behind_the_write_is_no_violation_of_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process may be stopped, or its log be slow, as the event is traced."""
    count = Telemetry.count

    def slow_count(self: Telemetry, event: Event, **ids: object) -> None:
        count(self, event, **ids)
        if event is Event.ATTEMPT_WRITTEN:
            sleep(0.2)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(Telemetry, "count", slow_count)
            assert status(await (await rig.client()).ask(request(X_Deadline="2000m"))) == 200
            assert not rig.node.telemetry.violations

    run(test())
