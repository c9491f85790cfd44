"""The result that is reported to the policy, and the response to the client, for each outcome of an attempt.

With a class that is not idempotent the response shows whether the request may have been executed: a 503 means
that it was not.
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
    DISCONNECT_MODES,
    TEST_TIMEOUT_SECONDS,
    LoopLag,
    Message,
    Rig,
    Script,
    Server,
    answer,
    configuration,
    never_respond,
    read_message,
    request,
    request_class,
    reset,
    respond_when,
    respond_with,
    run,
    status,
    until,
)

from moleport.config.endpoints import parse_update
from moleport.node.name_hashing import hash_name
from moleport.node.server_connection import ServerConnection
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult

CHUNKED_CODING_HEADER = b"Transfer-Encoding: chunked\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\n" + CHUNKED_CODING_HEADER + b"\r\n"
REJECTION_HEADERS = {"X_Not_Run": "1"}


@pytest.mark.parametrize(
    ("script", "result", "expected_status"),
    [
        (respond_with(answer()), AttemptResult.OK, 200),
        (respond_with(CHUNKED_HEAD + b"2\r\nfr\r\n3\r\name\r\n0\r\n\r\n"), AttemptResult.OK, 200),
        (
            respond_with(b"HTTP/1.1 200 OK\r\n\r\nframe", close=True),
            AttemptResult.OK,
            200,
        ),  # the end of the connection ends the body
        (respond_with(b"HTTP/1.1 200 OK\r\n\r\nframe", abort=True), AttemptResult.RESET, 502),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfra", abort=True),
            AttemptResult.RESET,
            502,
        ),
        (respond_with(b"HTTP/1.0 200 OK\r\n\r\nframe", close=True), AttemptResult.OK, 200),
        (respond_with(b"HTTP/1.0 200 OK\r\n\r\nframe", abort=True), AttemptResult.RESET, 502),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nfra", abort=True),
            AttemptResult.RESET,
            502,
        ),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nframe", close=True),
            AttemptResult.ERROR,
            502,
        ),
        (respond_with(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n\r\n", close=True), AttemptResult.REJECTED, 503),
        (respond_with(b"HTTP/1.1 500 X\r\n\r\nframe", close=True), AttemptResult.ERROR, 502),
        (respond_with(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer()), AttemptResult.OK, 200),
        (respond_with(answer(500)), AttemptResult.ERROR, 502),
        (respond_with(answer(404)), AttemptResult.CLIENT_ERROR, 404),
        (respond_with(answer(400)), AttemptResult.CLIENT_ERROR, 400),
        (respond_with(answer(419)), AttemptResult.CLIENT_ERROR, 419),
        (respond_with(answer(422)), AttemptResult.CLIENT_ERROR, 422),
        (respond_with(answer(430)), AttemptResult.CLIENT_ERROR, 430),
        (respond_with(answer(499)), AttemptResult.CLIENT_ERROR, 499),
        (respond_with(b"HTTP/1.1 499\r\nContent-Length: 0\r\n\r\n"), AttemptResult.CLIENT_ERROR, 499),
        (respond_with(answer(600)), AttemptResult.ERROR, 502),
        (respond_with(answer(999)), AttemptResult.ERROR, 502),
        (respond_with(answer(408)), AttemptResult.ERROR, 502),
        (respond_with(answer(429)), AttemptResult.ERROR, 502),
        (respond_with(answer(503)), AttemptResult.ERROR, 502),
        (respond_with(answer(504)), AttemptResult.ERROR, 502),
        (respond_with(answer(503, X_Not_Run="0")), AttemptResult.ERROR, 502),
        (respond_with(answer(503, **REJECTION_HEADERS)), AttemptResult.REJECTED, 503),
        (respond_with(answer(504, **REJECTION_HEADERS)), AttemptResult.REJECTED, 503),
        (respond_with(answer(500, **REJECTION_HEADERS)), AttemptResult.ERROR, 502),
        (respond_with(b"", close=True), AttemptResult.RESET, 502),
        (respond_with(b"", abort=True), AttemptResult.RESET, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Le", close=True), AttemptResult.RESET, 502),
        (respond_with(answer()[:-1], close=True), AttemptResult.RESET, 502),
        (respond_with(answer()[:-1], abort=True), AttemptResult.RESET, 502),
        (respond_with(CHUNKED_HEAD + b"5\r\nframe\r\n", close=True), AttemptResult.RESET, 502),
        (respond_with(CHUNKED_HEAD + b"5\r\nframe\r\n", abort=True), AttemptResult.RESET, 502),
        (respond_with(CHUNKED_HEAD + b"5\r\nframe\r\n0\r\n", abort=True), AttemptResult.RESET, 502),
        (respond_with(b"SSH-2.0-server\r\n"), AttemptResult.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"), AttemptResult.ERROR, 502),
        (respond_with(answer(Content_length="-1")), AttemptResult.ERROR, 502),
        (respond_with(answer(Content_length="3")), AttemptResult.ERROR, 502),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"),
            AttemptResult.ERROR,
            502,
        ),  # rejected by its Content-Length alone
        (respond_with(CHUNKED_HEAD + b"5\r\nframe\r\nzz\r\nframe\r\n0\r\n\r\n"), AttemptResult.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 9000), AttemptResult.ERROR, 502),
        (respond_with(b"HTTP/1.1 100 Continue\r\n\r\n" * 99 + answer()), AttemptResult.ERROR, 502),
        (respond_with(answer() + b"\x00noise"), AttemptResult.OK, 200),
        (respond_with(answer(body=b"x" * 65537)), AttemptResult.ERROR, 502),
    ],
)
def test_each_outcome(script: Script, result: AttemptResult, expected_status: int) -> None:
    """For each response of a server, check the result of the attempt and the status that the client gets."""

    async def test() -> None:
        async with Server("s-1", script) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            response = await client.exchange(request("order"))
            assert status(response) == expected_status
            (outcome,) = rig.spy.outcomes()
            is_answered = result in (AttemptResult.OK, AttemptResult.CLIENT_ERROR)
            assert (outcome.result, outcome.is_answered, outcome.attempt_index) == (result, is_answered, 0)
            if result is AttemptResult.OK:
                assert response.body == b"frame"
            assert not rig.node.requests.active
            assert rig.node.attempts_in_flight_by_policy() == 0

    run(test())


@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize(
    "head", [b"", b"Connection: close\r\n", b"Content-Length: 8\r\n", CHUNKED_CODING_HEADER]
)
def test_an_incomplete_response_is_a_fault_and_does_not_affect_the_next_one(head: bytes, how: str) -> None:
    """A response with a length or chunks is incomplete if its connection is closed or reset before its end.

    A response with neither is complete when its connection is closed, and incomplete after a reset.
    """
    is_framed = head in (b"Content-Length: 8\r\n", CHUNKED_CODING_HEADER)
    is_complete = how == "close" and not is_framed

    async def send_incomplete_response(_: Message, writer: asyncio.StreamWriter) -> None:
        body = b"4\r\ncut!\r\n" if head == CHUNKED_CODING_HEADER else b"cut!"
        for part in (b"HTTP/1.1 200 OK\r\n" + head, b"\r\n", body):
            with suppress(OSError):
                writer.write(part)
                await writer.drain()
            await asyncio.sleep(0.02)
        if how == "reset":
            reset(writer)
        else:
            writer.close()

    async def test() -> None:
        async with Server("s-1", send_incomplete_response) as one, Rig(configuration(one)) as rig:
            client = await rig.client()
            response = await client.exchange(request("order"))
            assert (status(response), response.body) == ((200, b"cut!") if is_complete else (502, b""))
            async with Server("s-2") as other:
                rig.node.endpoint_list.on_update(
                    parse_update({"version": 8, "full": False, "servers": [other.entry()]})
                )
                while len(one.seen) < 2 or len(other.seen) < 2:  # until s-1 gets a request first
                    before = len(other.seen)
                    response = await client.exchange(request())
                    is_answered_by_other = len(other.seen) > before
                    assert (status(response), response.body) == (
                        200,
                        b"frame" if is_answered_by_other else b"cut!",
                    )
                    assert is_complete or is_answered_by_other
            await until(lambda: not one.open)
            results = {
                outcome.result for outcome in rig.spy.outcomes() if outcome.endpoint_id == hash_name("s-1")
            }
            assert results == {AttemptResult.OK if is_complete else AttemptResult.RESET}

    run(test())


UNFRAMED_HEADS = {
    "plain": b"HTTP/1.1 200 OK\r\n\r\n",
    "keep-alive": b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
    "closed": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\n\r\n",
    "identity": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
}


@pytest.mark.parametrize("head", UNFRAMED_HEADS)
@pytest.mark.parametrize(
    ("how", "body", "expected_status"),
    [
        ("close", b"frame", 200),
        ("close", b"x" * 65536, 200),
        ("close", b"x" * 65537, 502),
        ("close", b"", 502),  # a 200 has a body, so the server failed after the head
        ("reset", b"", 502),
        ("reset", b"frame", 502),
        ("silent", b"frame", 504),  # the attempt times out before the close
    ],
)
def test_a_response_without_length_is_complete_only_if_its_connection_is_closed_in_order(
    head: str, how: str, body: bytes, expected_status: int
) -> None:
    """A response with neither a length nor chunks is forwarded if its connection ends without a reset."""

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(UNFRAMED_HEADS[head])
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
            document["settings"]["Grades"].append(request_class("quick", "once", deadline_ms=150))
            async with Rig(document) as rig:
                client = await rig.client()
                response = await client.exchange(request("quick" if how == "silent" else "order"))
                assert (status(response), response.body) == (
                    expected_status,
                    body if expected_status == 200 else b"",
                )
                await until(
                    lambda: not server.open
                    and not rig.node.requests.active
                    and not rig.node._pools.socket_count
                )
                assert len(server.seen) == 1

    run(test())


@pytest.mark.parametrize("head", UNFRAMED_HEADS)
@pytest.mark.parametrize(("is_reset", "expected_status"), [(False, 200), (True, 502)])
def test_a_response_without_length_is_incomplete_if_a_reset_is_pending_in_the_kernel(
    head: str, is_reset: bool, expected_status: int
) -> None:
    request_received, may_respond = Event(), Event()

    def serve_one_request(listening: socket.socket) -> None:
        connection, _ = listening.accept()
        with connection:
            connection.recv(1 << 16)
            request_received.set()
            may_respond.wait(TEST_TIMEOUT_SECONDS)
            connection.sendall(UNFRAMED_HEADS[head] + b"frame")
            connection.shutdown(socket.SHUT_WR)
            if is_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def test() -> None:
        server = Server("s-1")
        with socket.create_server(("127.0.0.1", 0)) as listening:
            server.address = f"127.0.0.1:{listening.getsockname()[1]}"
            thread = Thread(target=serve_one_request, args=(listening,))
            thread.start()
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                client.writer.write(request("order"))
                await until(request_received.is_set)
                may_respond.set()
                thread.join(
                    TEST_TIMEOUT_SECONDS
                )  # blocks the node's event loop until the kernel has received it all
                response = await client.read()
                assert (status(response), response.body) == (expected_status, b"" if is_reset else b"frame")

    run(test())


def test_a_request_whose_connection_is_refused_is_not_executed() -> None:
    async def test() -> None:
        async with Server("s-1") as server:
            server.stop()
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                response = await client.exchange(request("order"))
                assert status(response) == 503
                assert [outcome.result for outcome in rig.spy.outcomes()] == [AttemptResult.CONNECT_FAILED]
                # The latency objective of the class, limited to the longest Retry-After that clients respect.
                assert response.headers["retry-after"] == "1.500"

    run(test())


class Unreachable:
    """A loopback address to which nothing can connect: a listening socket with a full backlog.

    With `is_backlog_full=False` connections are established, but the peer has a small, unread receive buffer.
    """

    def __init__(self, is_backlog_full: bool = True) -> None:
        self._is_backlog_full = is_backlog_full

    def __enter__(self) -> str:
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self._pending_sockets = []
        for _ in range(4 if self._is_backlog_full else 0):
            pending_socket = socket.socket()
            pending_socket.setblocking(False)
            pending_socket.connect_ex(self.listening.getsockname())
            self._pending_sockets.append(pending_socket)
        host, port = self.listening.getsockname()
        return f"{host}:{port}"

    def __exit__(self, *_: object) -> None:
        for one in (*self._pending_sockets, self.listening):
            one.close()


def test_connecting_ends_at_the_connect_timeout() -> None:
    async def test() -> None:
        server = Server("s-1")
        with Unreachable() as server.address:
            async with Rig(configuration(server, DialTimeout=100_000_000)) as rig:
                client = await rig.client()
                assert status(await client.exchange(request("order"))) == 503
                (outcome,) = rig.spy.outcomes()
                assert outcome.result is AttemptResult.CONNECT_FAILED
                await until(lambda: rig.node._pools.socket_count == 0)

    run(test())


def test_no_request_is_sent_to_a_server_that_drains_while_connecting() -> None:
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


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_connecting_is_cancelled_if_the_client_disconnects(how: str) -> None:
    """The node cannot tell a closed client connection from a half-closed one."""

    async def test() -> None:
        server = Server("s-1")
        with Unreachable() as server.address:
            async with Rig(configuration(server, DialTimeout=60_000_000_000)) as rig:
                client = await rig.client()
                client.writer.write(request("order"))
                await until(lambda: rig.node.requests.active)
                client.disconnect(how)
                if how == "sending":
                    response = await client.read()
                    assert (status(response), response.headers["retry-after"]) == (503, "1.500")
                await until(lambda: not rig.listener.table.connections and not rig.node.requests.active)
                await until(lambda: rig.node._pools.socket_count == 0)
                assert [one.result for one in rig.spy.outcomes()] in (
                    [AttemptResult.NOT_SENT],
                    [AttemptResult.CANCELLED],
                )

    run(test())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_request_queued_for_its_key_is_dropped_if_its_client_disconnects(how: str) -> None:
    release = asyncio.Event()

    respond_when_released = respond_when(release)

    async def test() -> None:
        async with Server("s-1", respond_when_released) as server:
            document = configuration(server)
            document["settings"]["Grades"][1] |= {"Aim": 10**8, "LateShare": 0.5, "OneAtATime": True}
            async with Rig(document) as rig:
                first, second = await rig.client(), await rig.client()
                first.writer.write(request("order", X_Key="7f3a"))
                await until(lambda: server.seen)
                second.writer.write(request("order", X_Key="7f3a"))
                await until(lambda: len(rig.node.requests.active) == 2)
                second.disconnect(how)
                if how == "sending":
                    response = await second.read()
                    assert (status(response), response.headers["retry-after"]) == (503, "0.100")
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
                assert status(await client.exchange(request("order", X_Deadline="200m"))) in (502, 504)
            results = [outcome.result for outcome in rig.spy.outcomes()]
            assert results in lag.results_of_an_expired_attempt()
            await until(lambda: server.open == 0)  # its connection is closed, not pooled
            # The client's connection can still be used.
            assert status(await client.exchange(request(target="/nowhere"))) == 404
            assert not rig.node.requests.active

    run(test())


def test_no_attempt_times_out_early() -> None:
    """The event loop rounds timers to milliseconds.

    If an attempt ended early, the time left for a retry would be too short for any server to respond.
    """
    timeouts_ns = [20_000_000 + 100_000 * step for step in range(1, 10)]
    sent_at_ns: dict[int, int] = {}
    elapsed_ns: dict[int, int] = {}  # measured here: the node's reported elapsed time excludes holds

    def forward_then_fail(event: api.Event) -> list[api.Action] | None:
        if isinstance(event, api.Request):
            sent_at_ns[event.id] = monotonic_ns()
            return [api.Forward(event.id, hash_name("s-1"), timeouts_ns[event.id % len(timeouts_ns)])]
        if isinstance(event, api.AttemptOutcome):
            elapsed_ns[event.request_id] = monotonic_ns() - sent_at_ns[event.request_id]
            return [api.Fail(event.request_id)]
        return None

    async def test() -> None:
        async with Server("s-1", never_respond) as server, Rig(configuration(server)) as rig:
            rig.spy.replace_actions = forward_then_fail
            for client in [await rig.client() for _ in timeouts_ns]:
                assert status(await client.exchange(request("order"))) == 502
            assert {one.result for one in rig.spy.outcomes()} == {AttemptResult.TIMEOUT}
            assert len(elapsed_ns) == len(timeouts_ns)
            assert all(
                elapsed >= timeouts_ns[number % len(timeouts_ns)] for number, elapsed in elapsed_ns.items()
            )

    run(test())


@pytest.mark.parametrize("blocks_among_sockets", [False, True])
def test_a_hold_of_the_node_does_not_count_as_response_time(blocks_among_sockets: bool) -> None:
    """After a hold the loop may run timers before it reads the responses that have arrived."""
    hold_s = 0.5
    trigger_reader, trigger_writer = socket.socketpair()

    def respond_and_block(descriptor: int) -> None:
        trigger_reader.recv(1)
        os.write(descriptor, answer())
        sleep(hold_s)

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        descriptor = writer.get_extra_info("socket").fileno()
        trigger_writer.send(b"x")
        if blocks_among_sockets:
            asyncio.get_running_loop().add_reader(trigger_reader, respond_and_block, descriptor)
        else:
            respond_and_block(descriptor)

    async def test() -> None:
        async with Server("s-1", script) as server, Rig(configuration(server)) as rig:
            actions = [api.Forward(1, hash_name("s-1"), int(hold_s / 2 * 1e9))]
            rig.spy.replace_actions = lambda event: actions if isinstance(event, api.Request) else None
            client = await rig.client()
            assert status(await client.exchange(request())) == 200
            (outcome,) = rig.spy.outcomes()
            assert outcome.result is AttemptResult.OK
            assert outcome.elapsed_ns < hold_s / 2 * 1e9
            asyncio.get_running_loop().remove_reader(trigger_reader)

    with trigger_reader, trigger_writer:
        run(test())


def test_a_request_that_the_policy_never_forwards_fails_at_its_deadline() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.spy.replace_actions = lambda event: [] if isinstance(event, api.Request) else None
            client = await rig.client()
            assert status(await client.exchange(request(X_Deadline="150m"))) == 504
            assert [event for event in rig.spy.events if isinstance(event, api.ClientDisconnected)]
            assert not rig.node.requests.active

    run(test())


def test_a_client_that_disconnects_is_reported_once_and_its_attempt_ends() -> None:
    async def test() -> None:
        async with Server("s-1", never_respond) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            client.disconnect("reset")
            await until(lambda: server.open == 0)
            disconnections = [event for event in rig.spy.events if isinstance(event, api.ClientDisconnected)]
            assert len(disconnections) == 1
            (outcome,) = rig.spy.outcomes()
            assert (outcome.result, outcome.is_answered) == (AttemptResult.CANCELLED, True)
            assert not rig.node.requests.active

    run(test())


def test_a_failed_attempt_is_retried_at_the_other_server() -> None:
    async def test() -> None:
        async with (
            Server("s-1", respond_with(b"", abort=True)) as failing,
            Server("s-2") as healthy,
            Rig(configuration(failing, healthy)) as rig,
        ):
            client = await rig.client()
            for _ in range(8):
                assert (await client.exchange(request())).body == b"frame"
            attempts = [(one.request_id, one.attempt_index) for one in rig.spy.outcomes()]
            assert len(set(attempts)) == len(attempts) >= 8
            assert failing.seen and healthy.seen

    run(test())


def test_a_client_error_is_not_retried_and_does_not_count_as_a_failure_of_the_server() -> None:
    async def test() -> None:
        async with (
            Server("s-1", respond_with(answer(400))) as one,
            Server("s-2", respond_with(answer(400))) as other,
            Rig(configuration(one, other)) as rig,
        ):
            for _ in range(5):
                client = await rig.client()
                assert status(await client.exchange(request())) == 400
                assert await client.read_to_end() == b""
            assert len(one.seen) + len(other.seen) == 5
            assert not any(endpoint.failure_rate for endpoint in rig.spy._balancer._endpoints.by_id.values())

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
def test_an_invalid_load_report_is_ignored(load: str) -> None:
    async def test() -> None:
        async with (
            Server("s-1", respond_with(answer(X_Load=load))) as server,
            Rig(configuration(server)) as rig,
        ):
            assert status(await (await rig.client()).exchange(request())) == 200
            assert [outcome.load_report for outcome in rig.spy.outcomes()] == [()]

    run(test())


def test_a_second_response_to_one_request_closes_the_connection_and_is_not_forwarded() -> None:
    async def test() -> None:
        async with (
            Server("s-1", respond_with(answer() + answer(body=b"other"))) as server,
            Rig(configuration(server)) as rig,
        ):
            client = await rig.client()
            for _ in range(3):
                assert (await client.exchange(request())).body == b"frame"
            assert server.connections == 3

    run(test())


@pytest.mark.parametrize("how", ["reset", "time-out", "client reset", "client half-close"])
def test_an_attempt_that_ends_before_its_last_byte_is_written_is_never_executed(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server reads nothing at first, so that a part of the request stays in the node's write buffer.

    That part must not be written after the attempt has ended, although the server reads then.
    """
    connection_made = ServerConnection.connection_made

    def with_small_buffer(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
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
            deadline_header = {"X_Deadline": "300m"} if how == "time-out" else {}
            sent = request("order", body=b"x" * 65536, **deadline_header)
            client.writer.write(sent)
            accepted, _ = await asyncio.wait_for(loop.sock_accept(listening), TEST_TIMEOUT_SECONDS)
            await until(
                lambda: any(
                    one.attempts[0]._connection for one in rig.node.requests.active.values() if one.attempts
                )
            )
            if how == "reset":
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                accepted.close()
            elif how != "time-out":
                client.disconnect("reset" if how == "client reset" else "sending")
            if how != "client reset":
                assert status(await client.read()) == 503
            await until(lambda: not rig.node.requests.active)
            (outcome,) = rig.spy.outcomes()
            expected_results = {
                "client reset": AttemptResult.CANCELLED,
                "client half-close": AttemptResult.NOT_SENT,
            }
            assert outcome.result is expected_results.get(how, AttemptResult.CONNECT_FAILED)
            if how != "reset":
                accepted.setblocking(False)
                received_byte_count = 0
                while data := await asyncio.wait_for(loop.sock_recv(accepted, 1 << 16), TEST_TIMEOUT_SECONDS):
                    received_byte_count += len(data)
                assert 0 < received_byte_count < len(sent)
                accepted.close()
        listening.close()

    run(test())


def test_an_endless_response_is_a_timeout() -> None:
    async def send_endless_chunks(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_HEAD)
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.005)

    async def test() -> None:
        async with Server("s-1", send_endless_chunks) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            async with LoopLag() as lag:
                assert status(await client.exchange(request("order", X_Deadline="300m"))) == 504
            results = [outcome.result for outcome in rig.spy.outcomes()]
            assert results in lag.results_of_an_expired_attempt()
            await until(lambda: not server.open and not rig.node._pools.socket_count)

    run(test())


@pytest.mark.parametrize(
    ("limit_name", "result"),
    [("expires_at_ns", AttemptResult.CONNECT_FAILED), ("write_deadline_ns", AttemptResult.NOT_SENT)],
)
def test_a_connection_established_after_the_time_limit_carries_no_request(
    limit_name: str, result: AttemptResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    connection_made = ServerConnection.connection_made

    def expire_on_connect(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        (attempt,) = self._pool.unsent
        setattr(attempt, limit_name, 1)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            monkeypatch.setattr(ServerConnection, "connection_made", expire_on_connect)
            client = await rig.client()
            assert status(await client.exchange(request("order"))) == 503
            assert [one.result for one in rig.spy.outcomes()] == [result]
            assert not server.seen and not rig.node.requests.active

    run(test())


@pytest.mark.parametrize(("group", "expected_status"), [("all", 503), ("zone", 502)])
@pytest.mark.parametrize("slow_step", ["connect", "write"])
def test_a_retry_with_an_idempotency_key_is_not_written_after_the_deduplication_window(
    slow_step: str, group: str, expected_status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A retry that is decided within the deduplication window but written after it would be executed twice.

    Here connecting, or writing the last bytes, takes until servers have dropped the idempotency key.
    """
    connection_made = ServerConnection.connection_made
    window_s = 1.0
    is_listed = asyncio.Event()
    received_requests: list[Message] = []

    def with_small_buffer(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def reset_when_listed(_: Message, writer: asyncio.StreamWriter) -> None:
        await is_listed.wait()
        reset(writer)

    async def answer_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            received_requests.append(await read_message(reader))
            writer.write(answer())
        writer.close()

    async def test() -> None:
        second_server = Server("s-2")
        unreachable = Unreachable(is_backlog_full=slow_step == "connect")
        async with Server("s-1", reset_when_listed) as server:
            document = configuration(server)
            class_entry = request_class("keyed", "by_key") | {
                "Group": group,
                "MemorySpan": int(window_s * 10**9),
            }
            document["settings"]["Grades"].append(class_entry)
            with unreachable as second_server.address:
                async with Rig(document) as rig:
                    client = await rig.client()
                    key_headers = {"X_Key": "7f3a", "Idempotency_Key": "7f3a"}
                    client.writer.write(request("keyed", body=b"x" * 65536, **key_headers))
                    await until(lambda: server.seen)
                    update = {"version": 8, "full": False, "servers": [second_server.entry()]}
                    rig.node.endpoint_list.on_update(parse_update(update))
                    is_listed.set()
                    await until(lambda: rig.spy.outcomes() and rig.node._pools.socket_count)
                    await asyncio.sleep(window_s)
                    # Connecting succeeds from here on: the kernel retries it after a second.
                    accepting_server = await asyncio.start_server(
                        answer_request, sock=unreachable.listening, limit=1 << 20
                    )
                    assert status(await client.read()) == expected_status
                    results = [one.result for one in rig.spy.outcomes()]
                    assert results == [AttemptResult.RESET, AttemptResult.NOT_SENT]
                    await until(lambda: not rig.node._pools.socket_count)
                    accepting_server.close()
                    assert not received_requests

    monkeypatch.setattr(ServerConnection, "connection_made", with_small_buffer)
    run(test())


def test_a_response_that_arrives_at_the_deadline_is_not_sent_as_a_second_one() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def answer_next_only(message: Message, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        if message.body == b"next":
            writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", answer_next_only) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request(body=b"first"))
            await until(lambda: server.seen)
            (pending_request,) = rig.node.requests.active.values()
            os.write(writers[0].get_extra_info("socket").fileno(), answer(body=b"first"))
            rig.node.requests._on_deadline(pending_request)  # in the same loop iteration
            assert status(await client.read()) == 504
            assert (await client.exchange(request(body=b"next"))).body == b"next"
            assert [one.result for one in rig.spy.outcomes()] == [AttemptResult.CANCELLED, AttemptResult.OK]

    run(test())
