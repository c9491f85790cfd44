"""The result that the policy gets for each way in which an attempt ends, and the response to the client.

Requests of a class that is not idempotent show it from outside: a 503 means that nothing was executed.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from contextlib import suppress
from threading import Event, Thread
from time import monotonic_ns, sleep

import pytest
from rig import (
    LEAVE,
    PATIENCE,
    LoopLag,
    Message,
    Rig,
    Script,
    Server,
    answer,
    configuration,
    grade,
    read_message,
    request,
    reset,
    run,
    says,
    silent,
    status,
    until,
)

from moleport.config.endpoints import parse_update
from moleport.node.name_hashing import hash_name
from moleport.node.server_connection import ServerConnection
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult

CODING = b"Transfer-Encoding: chunked\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + CODING + b"\r\n"
REJECTION = {"X_Not_Run": "1"}


@pytest.mark.parametrize(
    ("script", "result", "expected"),
    [
        (says(answer()), AttemptResult.OK, 200),
        (says(CHUNKED + b"2\r\nfr\r\n3\r\name\r\n0\r\n\r\n"), AttemptResult.OK, 200),
        (
            says(b"HTTP/1.1 200 OK\r\n\r\nframe", close=True),
            AttemptResult.OK,
            200,
        ),  # ends with the connection
        (says(b"HTTP/1.1 200 OK\r\n\r\nframe", abort=True), AttemptResult.RESET, 502),
        (says(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfra", abort=True), AttemptResult.RESET, 502),
        (says(b"HTTP/1.0 200 OK\r\n\r\nframe", close=True), AttemptResult.OK, 200),
        (says(b"HTTP/1.0 200 OK\r\n\r\nframe", abort=True), AttemptResult.RESET, 502),
        (
            says(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nfra", abort=True),
            AttemptResult.RESET,
            502,
        ),
        (
            says(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nframe", close=True),
            AttemptResult.ERROR,
            502,
        ),
        (says(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n\r\n", close=True), AttemptResult.REJECTED, 503),
        (says(b"HTTP/1.1 500 X\r\n\r\nframe", close=True), AttemptResult.ERROR, 502),
        (says(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer()), AttemptResult.OK, 200),
        (says(answer(500)), AttemptResult.ERROR, 502),
        (says(answer(404)), AttemptResult.CLIENT_ERROR, 404),
        (says(answer(400)), AttemptResult.CLIENT_ERROR, 400),
        (says(answer(419)), AttemptResult.CLIENT_ERROR, 419),
        (says(answer(422)), AttemptResult.CLIENT_ERROR, 422),
        (says(answer(430)), AttemptResult.CLIENT_ERROR, 430),
        (says(answer(499)), AttemptResult.CLIENT_ERROR, 499),
        (says(b"HTTP/1.1 499\r\nContent-Length: 0\r\n\r\n"), AttemptResult.CLIENT_ERROR, 499),
        (says(answer(600)), AttemptResult.ERROR, 502),
        (says(answer(999)), AttemptResult.ERROR, 502),
        (says(answer(408)), AttemptResult.ERROR, 502),
        (says(answer(429)), AttemptResult.ERROR, 502),
        (says(answer(503)), AttemptResult.ERROR, 502),
        (says(answer(504)), AttemptResult.ERROR, 502),
        (says(answer(503, X_Not_Run="0")), AttemptResult.ERROR, 502),
        (says(answer(503, **REJECTION)), AttemptResult.REJECTED, 503),
        (says(answer(504, **REJECTION)), AttemptResult.REJECTED, 503),
        (says(answer(500, **REJECTION)), AttemptResult.ERROR, 502),
        (says(b"", close=True), AttemptResult.RESET, 502),
        (says(b"", abort=True), AttemptResult.RESET, 502),
        (says(b"HTTP/1.1 200 OK\r\nContent-Le", close=True), AttemptResult.RESET, 502),
        (says(answer()[:-1], close=True), AttemptResult.RESET, 502),
        (says(answer()[:-1], abort=True), AttemptResult.RESET, 502),
        (says(CHUNKED + b"5\r\nframe\r\n", close=True), AttemptResult.RESET, 502),
        (says(CHUNKED + b"5\r\nframe\r\n", abort=True), AttemptResult.RESET, 502),
        (says(CHUNKED + b"5\r\nframe\r\n0\r\n", abort=True), AttemptResult.RESET, 502),
        (says(b"SSH-2.0-server\r\n"), AttemptResult.ERROR, 502),
        (says(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), AttemptResult.ERROR, 502),
        (says(answer(Content_length="-1")), AttemptResult.ERROR, 502),
        (says(answer(Content_length="3")), AttemptResult.ERROR, 502),
        (
            says(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"),
            AttemptResult.ERROR,
            502,
        ),  # rejected at its head
        (says(CHUNKED + b"5\r\nframe\r\nzz\r\nframe\r\n0\r\n\r\n"), AttemptResult.ERROR, 502),
        (says(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 9000), AttemptResult.ERROR, 502),
        (says(b"HTTP/1.1 100 Continue\r\n\r\n" * 99 + answer()), AttemptResult.ERROR, 502),
        (says(answer() + b"\x00noise"), AttemptResult.OK, 200),
        (says(answer(body=b"x" * 65537)), AttemptResult.ERROR, 502),
    ],
)
def test_each_outcome(script: Script, result: AttemptResult, expected: int) -> None:
    """A script of a server, the result of the attempt and the status that the client gets."""

    async def test() -> None:
        async with Server("s-1", script) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            got = await client.ask(request("order"))
            assert status(got) == expected
            (outcome,) = rig.spy.outcomes()
            closed = result in (AttemptResult.OK, AttemptResult.CLIENT_ERROR)
            assert (outcome.result, outcome.is_answered, outcome.attempt_index) == (result, closed, 0)
            if result is AttemptResult.OK:
                assert got.body == b"frame"
            assert not rig.node.requests.active
            assert rig.node.attempts_in_flight_by_policy() == 0

    run(test())


@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize("head", [b"", b"Connection: close\r\n", b"Content-Length: 8\r\n", CODING])
def test_an_incomplete_response_is_a_fault_and_leaves_nothing_in_the_next_one(head: bytes, how: str) -> None:
    """A response with a length or in chunks is incomplete if its connection ends first, in whichever way.

    One with neither is complete at an orderly end of the connection, and incomplete after a reset.
    """
    framed = head in (b"Content-Length: 8\r\n", CODING)
    is_complete = how == "close" and not framed

    async def cut(_: Message, writer: asyncio.StreamWriter) -> None:
        body = b"4\r\ncut!\r\n" if head == CODING else b"cut!"
        for piece in (b"HTTP/1.1 200 OK\r\n" + head, b"\r\n", body):
            with suppress(OSError):
                writer.write(piece)
                await writer.drain()
            await asyncio.sleep(0.02)
        if how == "reset":
            reset(writer)
        else:
            writer.close()

    async def test() -> None:
        async with Server("s-1", cut) as one, Rig(configuration(one)) as rig:
            client = await rig.client()
            got = await client.ask(request("order"))
            assert (status(got), got.body) == ((200, b"cut!") if is_complete else (502, b""))
            async with Server("s-2") as other:
                rig.node.endpoint_list.on_update(
                    parse_update({"version": 8, "full": False, "servers": [other.entry()]})
                )
                while len(one.seen) < 2 or len(other.seen) < 2:  # until one is sent to s-1 first
                    before = len(other.seen)
                    got = await client.ask(request())
                    by_other = len(other.seen) > before
                    assert (status(got), got.body) == (200, b"frame" if by_other else b"cut!")
                    assert is_complete or by_other
            await until(lambda: not one.open)
            results = {
                outcome.result for outcome in rig.spy.outcomes() if outcome.endpoint_id == hash_name("s-1")
            }
            assert results == {AttemptResult.OK if is_complete else AttemptResult.RESET}

    run(test())


UNFRAMED = {
    "plain": b"HTTP/1.1 200 OK\r\n\r\n",
    "keep-alive": b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
    "closed": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\n\r\n",
    "identity": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
}


@pytest.mark.parametrize("head", UNFRAMED)
@pytest.mark.parametrize(
    ("how", "body", "expected"),
    [
        ("close", b"frame", 200),
        ("close", b"x" * 65536, 200),
        ("close", b"x" * 65537, 502),
        ("close", b"", 502),  # a 200 has a body: this server died after the head
        ("reset", b"", 502),
        ("reset", b"frame", 502),
        ("silent", b"frame", 504),  # the attempt times out before the orderly end
    ],
)
def test_a_response_without_length_is_complete_at_an_orderly_end_only(
    head: str, how: str, body: bytes, expected: int
) -> None:
    """A response with neither a length nor chunks is forwarded if its connection ends in order."""

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(UNFRAMED[head])
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(body)
        with suppress(OSError):
            await writer.drain()
        await asyncio.sleep(0.01)
        if how == "reset":
            reset(writer)
        else:
            if how == "silent":
                await asyncio.sleep(0.2)
            writer.close()

    async def test() -> None:
        async with Server("s-1", script) as server:
            document = configuration(server)
            document["settings"]["Grades"].append(grade("quick", "once", deadline_ms=150))
            async with Rig(document) as rig:
                client = await rig.client()
                got = await client.ask(request("quick" if how == "silent" else "order"))
                assert (status(got), got.body) == (expected, body if expected == 200 else b"")
                await until(
                    lambda: not server.open and not rig.node.requests.active and not rig.node._pools.sockets
                )
                assert len(server.seen) == 1

    run(test())


@pytest.mark.parametrize("head", UNFRAMED)
@pytest.mark.parametrize(("resets", "expected"), [(False, 200), (True, 502)])
def test_an_end_with_a_reset_pending_in_the_kernel_is_not_orderly(
    head: str, resets: bool, expected: int
) -> None:
    request_received, go = Event(), Event()

    def serve(listening: socket.socket) -> None:
        connection, _ = listening.accept()
        with connection:
            connection.recv(1 << 16)
            request_received.set()
            go.wait(PATIENCE)
            connection.sendall(UNFRAMED[head] + b"frame")
            connection.shutdown(socket.SHUT_WR)
            if resets:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def test() -> None:
        server = Server("s-1")
        with socket.create_server(("127.0.0.1", 0)) as listening:
            server.address = f"127.0.0.1:{listening.getsockname()[1]}"
            thread = Thread(target=serve, args=(listening,))
            thread.start()
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                client.writer.write(request("order"))
                await until(request_received.is_set)
                go.set()
                thread.join(PATIENCE)  # blocks the node's event loop until both are with the kernel
                got = await client.read()
                assert (status(got), got.body) == (expected, b"" if resets else b"frame")

    run(test())


def test_a_request_whose_connection_is_refused_is_not_executed() -> None:
    async def test() -> None:
        async with Server("s-1") as server:
            server.stop()
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                got = await client.ask(request("order"))
                assert status(got) == 503
                assert [outcome.result for outcome in rig.spy.outcomes()] == [AttemptResult.CONNECT_FAILED]
                # The latency objective of the class, up to the longest that clients respect.
                assert got.headers["retry-after"] == "1.500"

    run(test())


class Unreachable:
    """A loopback address to which nothing can connect: a listening socket with a full backlog.

    With `filled=False` connections are established, but the peer takes only a few bytes.
    """

    def __init__(self, filled: bool = True) -> None:
        self._filled = filled

    def __enter__(self) -> str:
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self._fillers = []
        for _ in range(4 if self._filled else 0):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listening.getsockname())
            self._fillers.append(filler)
        host, port = self.listening.getsockname()
        return f"{host}:{port}"

    def __exit__(self, *_: object) -> None:
        for one in (*self._fillers, self.listening):
            one.close()


def test_connecting_is_given_up_after_the_connect_timeout() -> None:
    async def test() -> None:
        server = Server("s-1")
        with Unreachable() as server.address:
            async with Rig(configuration(server, DialTimeout=100_000_000)) as rig:
                client = await rig.client()
                assert status(await client.ask(request("order"))) == 503
                (outcome,) = rig.spy.outcomes()
                assert outcome.result is AttemptResult.CONNECT_FAILED
                await until(lambda: rig.node._pools.sockets == 0)

    run(test())


def test_a_draining_server_gets_no_request_that_is_still_connecting() -> None:
    async def test() -> None:
        server = Server("s-1")
        with Unreachable() as server.address:
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                client.writer.write(request("order"))
                await until(lambda: rig.node.requests.active)
                server.state = "Terminating"
                rig.node.endpoint_list.on_update(
                    parse_update({"version": 8, "full": False, "servers": [server.entry()]})
                )
                assert status(await client.read()) == 503
                assert [outcome.result for outcome in rig.spy.outcomes()] == [AttemptResult.NOT_SENT]

    run(test())


@pytest.mark.parametrize("how", LEAVE)
def test_connecting_is_given_up_for_a_client_that_disconnects(how: str) -> None:
    """A closed connection of a client looks like one that has finished sending."""

    async def test() -> None:
        server = Server("s-1")
        with Unreachable() as server.address:
            async with Rig(configuration(server, DialTimeout=60_000_000_000)) as rig:
                client = await rig.client()
                client.writer.write(request("order"))
                await until(lambda: rig.node.requests.active)
                client.leave(how)
                if how == "sending":
                    got = await client.read()
                    assert (status(got), got.headers["retry-after"]) == (503, "1.500")
                await until(lambda: not rig.listener.table.connections and not rig.node.requests.active)
                await until(lambda: rig.node._pools.sockets == 0)
                assert [one.result for one in rig.spy.outcomes()] in (
                    [AttemptResult.NOT_SENT],
                    [AttemptResult.CANCELLED],
                )

    run(test())


@pytest.mark.parametrize("how", LEAVE)
def test_a_request_queued_behind_its_key_is_given_up_with_its_client(how: str) -> None:
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        async with Server("s-1", waits) as server:
            document = configuration(server)
            document["settings"]["Grades"][1] |= {"Aim": 10**8, "LateShare": 0.5, "OneAtATime": True}
            async with Rig(document) as rig:
                first, second = await rig.client(), await rig.client()
                first.writer.write(request("order", X_Key="7f3a"))
                await until(lambda: server.seen)
                second.writer.write(request("order", X_Key="7f3a"))
                await until(lambda: len(rig.node.requests.active) == 2)
                second.leave(how)
                if how == "sending":
                    got = await second.read()
                    assert (status(got), got.headers["retry-after"]) == (503, "0.100")
                await until(lambda: len(rig.node.requests.active) == 1)
                release.set()
                assert status(await first.read()) == 200
                assert len(server.seen) == 1 and not rig.node.requests.active

    run(test())


def test_no_response_is_a_timeout_and_the_client_gets_one_response() -> None:
    async def responds_after_deadline(_: Message, writer: asyncio.StreamWriter) -> None:
        received.set()
        await asyncio.sleep(0.4)
        writer.write(answer())

    received = asyncio.Event()

    async def test() -> None:
        async with Server("s-1", responds_after_deadline) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            async with LoopLag() as lag:
                assert status(await client.ask(request("order", X_Deadline="200m"))) in (502, 504)
            results = [outcome.result for outcome in rig.spy.outcomes()]
            assert results in lag.results_of_an_expired_attempt()
            await until(lambda: server.open == 0)  # its connection is closed, never pooled
            # The client's connection still carries requests.
            assert status(await client.ask(request(target="/nowhere"))) == 404
            assert not rig.node.requests.active

    run(test())


def test_no_attempt_times_out_early() -> None:
    """The event loop rounds to milliseconds.

    An attempt that ended a little early would leave time for retries too short for any server to answer.
    """
    limits = [20_000_000 + 100_000 * tenth for tenth in range(1, 10)]
    sent: dict[int, int] = {}
    took: dict[int, int] = {}  # by the clock: the elapsed time that the node reports leaves out holds

    def decide(event: api.Event) -> list[api.Action] | None:
        if isinstance(event, api.Request):
            sent[event.id] = monotonic_ns()
            return [api.Forward(event.id, hash_name("s-1"), limits[event.id % len(limits)])]
        if isinstance(event, api.AttemptOutcome):
            took[event.request_id] = monotonic_ns() - sent[event.request_id]
            return [api.Fail(event.request_id)]
        return None

    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            rig.spy.instead = decide
            for client in [await rig.client() for _ in limits]:
                assert status(await client.ask(request("order"))) == 502
            assert {one.result for one in rig.spy.outcomes()} == {AttemptResult.TIMEOUT}
            assert len(took) == len(limits)
            assert all(span >= limits[number % len(limits)] for number, span in took.items())

    run(test())


@pytest.mark.parametrize("among_sockets", [False, True])
def test_a_hold_of_the_node_does_not_count_as_response_time(among_sockets: bool) -> None:
    """After a hold the loop may run its timers ahead of its sockets, where responses are unread."""
    hold_s = 0.5
    inner, outer = socket.socketpair()

    def hold_up(descriptor: int) -> None:
        inner.recv(1)
        os.write(descriptor, answer())
        sleep(hold_s)

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        descriptor = writer.get_extra_info("socket").fileno()
        outer.send(b"x")
        if among_sockets:
            asyncio.get_running_loop().add_reader(inner, hold_up, descriptor)
        else:
            hold_up(descriptor)

    async def test() -> None:
        async with Server("s-1", script) as server, Rig(configuration(server)) as rig:
            decided = [api.Forward(1, hash_name("s-1"), int(hold_s / 2 * 1e9))]
            rig.spy.instead = lambda event: decided if isinstance(event, api.Request) else None
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            (outcome,) = rig.spy.outcomes()
            assert outcome.result is AttemptResult.OK
            assert outcome.elapsed_ns < hold_s / 2 * 1e9
            asyncio.get_running_loop().remove_reader(inner)

    with inner, outer:
        run(test())


def test_a_request_that_the_policy_never_forwards_fails_at_its_deadline() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.spy.instead = lambda event: [] if isinstance(event, api.Request) else None
            client = await rig.client()
            assert status(await client.ask(request(X_Deadline="150m"))) == 504
            assert [event for event in rig.spy.events if isinstance(event, api.ClientDisconnected)]
            assert not rig.node.requests.active

    run(test())


def test_a_client_that_disconnects_is_reported_once_and_its_attempt_ends() -> None:
    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            client.leave("reset")
            await until(lambda: server.open == 0)
            gone = [event for event in rig.spy.events if isinstance(event, api.ClientDisconnected)]
            assert len(gone) == 1
            (outcome,) = rig.spy.outcomes()
            assert (outcome.result, outcome.is_answered) == (AttemptResult.CANCELLED, True)
            assert not rig.node.requests.active

    run(test())


def test_a_failed_attempt_is_retried_at_the_other_server() -> None:
    async def test() -> None:
        async with (
            Server("s-1", says(b"", abort=True)) as bad,
            Server("s-2") as good,
            Rig(configuration(bad, good)) as rig,
        ):
            client = await rig.client()
            for _ in range(8):
                assert (await client.ask(request())).body == b"frame"
            attempts = [(one.request_id, one.attempt_index) for one in rig.spy.outcomes()]
            assert len(set(attempts)) == len(attempts) >= 8
            assert bad.seen and good.seen

    run(test())


def test_a_client_error_is_not_retried_and_no_failure_of_the_server() -> None:
    async def test() -> None:
        async with (
            Server("s-1", says(answer(400))) as one,
            Server("s-2", says(answer(400))) as other,
            Rig(configuration(one, other)) as rig,
        ):
            for _ in range(5):
                client = await rig.client()
                assert status(await client.ask(request())) == 400
                assert await client.ended() == b""
            assert len(one.seen) + len(other.seen) == 5
            assert not any(backend.failure_rate for backend in rig.spy._balancer._endpoints.by_id.values())

    run(test())


@pytest.mark.parametrize(
    "load",
    [
        "load_share=nan,depth=0",
        "load_share=1e999,depth=0",
        "load_share=-1,depth=0",
        "load_share",
        "load_share=0.5",
        "\xff",
        "load_share=0.5,depth=1," + "x" * 2000,
    ],
)
def test_an_invalid_load_report_is_left_out(load: str) -> None:
    async def test() -> None:
        async with Server("s-1", says(answer(X_Load=load))) as server, Rig(configuration(server)) as rig:
            assert status(await (await rig.client()).ask(request())) == 200
            assert [outcome.load_report for outcome in rig.spy.outcomes()] == [()]

    run(test())


def test_a_second_response_to_one_request_closes_the_connection_and_reaches_nobody() -> None:
    async def test() -> None:
        async with (
            Server("s-1", says(answer() + answer(body=b"other"))) as server,
            Rig(configuration(server)) as rig,
        ):
            client = await rig.client()
            for _ in range(3):
                assert (await client.ask(request())).body == b"frame"
            assert server.connections == 3

    run(test())


@pytest.mark.parametrize("how", ["reset", "time-out", "gone", "ends"])
def test_an_attempt_that_ends_before_its_last_byte_is_written_is_never_executed(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server reads nothing, so that a part of the request stays in the node's write buffer.

    That part is not written after the attempt has ended, though the server then reads.
    """
    made = ServerConnection.connection_made

    def with_small_buffer(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    monkeypatch.setattr(ServerConnection, "connection_made", with_small_buffer)

    async def test() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listening.setblocking(False)
        server = Server("s-1")
        server.address = "{}:{}".format(*listening.getsockname())
        async with Rig(configuration(server)) as rig:
            loop = asyncio.get_running_loop()
            client = await rig.client()
            late = {"X_Deadline": "300m"} if how == "time-out" else {}
            sent = request("order", body=b"x" * 65536, **late)
            client.writer.write(sent)
            accepted, _ = await asyncio.wait_for(loop.sock_accept(listening), PATIENCE)
            await until(
                lambda: any(
                    one.attempts[0]._connection for one in rig.node.requests.active.values() if one.attempts
                )
            )
            if how == "reset":
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                accepted.close()
            elif how != "time-out":
                client.leave("reset" if how == "gone" else "sending")
            if how != "gone":
                assert status(await client.read()) == 503
            await until(lambda: not rig.node.requests.active)
            (outcome,) = rig.spy.outcomes()
            never = {"gone": AttemptResult.CANCELLED, "ends": AttemptResult.NOT_SENT}
            assert outcome.result is never.get(how, AttemptResult.CONNECT_FAILED)
            if how != "reset":
                accepted.setblocking(False)
                taken = 0
                while piece := await asyncio.wait_for(loop.sock_recv(accepted, 1 << 16), PATIENCE):
                    taken += len(piece)
                assert 0 < taken < len(sent)
                accepted.close()
        listening.close()

    run(test())


def test_an_endless_response_is_a_timeout() -> None:
    async def drips(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED)
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.005)

    async def test() -> None:
        async with Server("s-1", drips) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            async with LoopLag() as lag:
                assert status(await client.ask(request("order", X_Deadline="300m"))) == 504
            results = [outcome.result for outcome in rig.spy.outcomes()]
            assert results in lag.results_of_an_expired_attempt()
            await until(lambda: not server.open and not rig.node._pools.sockets)

    run(test())


@pytest.mark.parametrize(
    ("bound", "result"),
    [("expires_at_ns", AttemptResult.CONNECT_FAILED), ("write_deadline_ns", AttemptResult.NOT_SENT)],
)
def test_a_connection_established_after_the_time_limit_carries_no_request(
    bound: str, result: AttemptResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = ServerConnection.connection_made

    def expires(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        (attempt,) = self._pool.unsent
        setattr(attempt, bound, 1)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(ServerConnection, "connection_made", expires)
            client = await rig.client()
            assert status(await client.ask(request("order"))) == 503
            assert [one.result for one in rig.spy.outcomes()] == [result]
            assert not server.seen and not rig.node.requests.active

    run(test())


@pytest.mark.parametrize(("group", "expected"), [("all", 503), ("zone", 502)])
@pytest.mark.parametrize("stuck", ["dial", "write"])
def test_a_retry_with_a_key_is_given_up_where_it_would_arrive_after_the_window(
    stuck: str, group: str, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A retry that is decided within the deduplication window but written after it would run twice.

    Connecting, or writing the last bytes, takes until servers have forgotten the idempotency key.
    """
    made = ServerConnection.connection_made
    window = 1.0  # s
    listed = asyncio.Event()
    arrived: list[Message] = []

    def with_small_buffer(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def resets(_: Message, writer: asyncio.StreamWriter) -> None:
        await listed.wait()
        reset(writer)

    async def reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            arrived.append(await read_message(reader))
            writer.write(answer())
        writer.close()

    async def test() -> None:
        late = Server("s-2")
        unreachable = Unreachable(filled=stuck == "dial")
        async with Server("s-1", resets) as server:
            document = configuration(server)
            kind = grade("keyed", "by_key") | {"Group": group, "MemorySpan": int(window * 10**9)}
            document["settings"]["Grades"].append(kind)
            with unreachable as late.address:
                async with Rig(document) as rig:
                    client = await rig.client()
                    keys = {"X_Key": "7f3a", "Idempotency_Key": "7f3a"}
                    client.writer.write(request("keyed", body=b"x" * 65536, **keys))
                    await until(lambda: server.seen)
                    update = {"version": 8, "full": False, "servers": [late.entry()]}
                    rig.node.endpoint_list.on_update(parse_update(update))
                    listed.set()
                    await until(lambda: rig.spy.outcomes() and rig.node._pools.sockets)
                    await asyncio.sleep(window)
                    # Connects succeed from now on: the kernel retries after a second.
                    accepting = await asyncio.start_server(reads, sock=unreachable.listening, limit=1 << 20)
                    assert status(await client.read()) == expected
                    results = [one.result for one in rig.spy.outcomes()]
                    assert results == [AttemptResult.RESET, AttemptResult.NOT_SENT]
                    await until(lambda: not rig.node._pools.sockets)
                    accepting.close()
                    assert not arrived

    monkeypatch.setattr(ServerConnection, "connection_made", with_small_buffer)
    run(test())


def test_a_response_that_arrives_at_the_deadline_is_no_second_one() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def keeps(message: Message, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        if message.body == b"next":
            writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", keeps) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request(body=b"first"))
            await until(lambda: server.seen)
            (open_request,) = rig.node.requests.active.values()
            os.write(writers[0].get_extra_info("socket").fileno(), answer(body=b"first"))
            rig.node.requests._on_deadline(open_request)  # in the same iteration of the loop
            assert status(await client.read()) == 504
            assert (await client.ask(request(body=b"next"))).body == b"next"
            assert [one.result for one in rig.spy.outcomes()] == [AttemptResult.CANCELLED, AttemptResult.OK]

    run(test())
