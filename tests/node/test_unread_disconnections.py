"""Tests of clients that leave behind so much unread data that the node cannot see their end of stream."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

import pytest
from rig import Message, Rig, Server, answer, configuration, never_respond, request, run, status, until

from moleport.node.request_parser import MAX_UNPARSED_BYTES
from moleport.telemetry import Event

CLIENT_COUNT = 10
SENT_BYTES = 3_800_000
SEND_SECONDS = 0.02
RESPONSE_DELAY_SECONDS = 0.16  # no attempt may begin 0.1 s after its client has closed the connection


async def reject_after_delay(_: Message, writer: asyncio.StreamWriter) -> None:
    """Reject a request without executing it, after a delay."""
    await asyncio.sleep(RESPONSE_DELAY_SECONDS)
    writer.write(answer(503, X_Not_Run="1"))


def requests_of(size_bytes: int) -> bytes:
    """Return requests of about this size together."""
    one = len(request(body=b"x" * 50))
    return b"".join(request(body=b"x" * 50) for _ in range(size_bytes // one + 1))


async def send_and_close(rig: Rig, data: bytes) -> None:
    """Send as much as the kernel takes in `SEND_SECONDS`, and close the connection."""
    loop = asyncio.get_running_loop()
    client = socket.create_connection(rig.address)
    client.setblocking(False)
    end = loop.time() + SEND_SECONDS
    sent_bytes = 0
    while sent_bytes < len(data) and loop.time() < end:
        try:
            sent_bytes += client.send(data[sent_bytes : sent_bytes + (1 << 18)])
        except BlockingIOError:
            await asyncio.sleep(0.001)
    client.close()


def test_no_attempt_begins_for_a_client_that_has_left_behind_unread_data() -> None:
    """Guards against a retry long after its client has closed, with an end of stream that is not seen."""

    async def test() -> None:
        async with (
            Server("s-1", reject_after_delay) as one,
            Server("s-2", reject_after_delay) as two,
            Rig(configuration(one, two)) as rig,
        ):
            data = [requests_of(SENT_BYTES) for _ in range(CLIENT_COUNT)]
            await asyncio.gather(*(send_and_close(rig, each) for each in data))
            await until(lambda: one.seen or two.seen)
            await until(lambda: not rig.listener.table.connections and not rig.node.requests.active)
            seen = Counter(message.headers["x-request-id"] for message in one.seen + two.seen)
            assert set(seen.values()) == {1}

    run(test())


@pytest.mark.parametrize(
    ("size_bytes", "is_retried"), [(MAX_UNPARSED_BYTES // 2, True), (20 * MAX_UNPARSED_BYTES, False)]
)
def test_a_client_that_sends_ahead_gets_a_retry_where_its_end_would_be_seen(
    size_bytes: int, is_retried: bool
) -> None:
    """Guards against a lost retry for clients that send a few requests at once."""

    async def test() -> None:
        async with (
            Server("s-1", reject_after_delay) as one,
            Server("s-2", reject_after_delay) as two,
            Rig(configuration(one, two)) as rig,
        ):
            client = await rig.client()
            client.writer.write(requests_of(size_bytes))
            assert status(await client.read()) == 503
            seen = Counter(message.headers["x-request-id"] for message in one.seen + two.seen)
            assert (max(seen.values()) > 1) is is_retried
            stopped_count = rig.node.telemetry.counters[Event.ATTEMPT_STOPPED_CLIENT_UNSEEN]
            assert (stopped_count > 0) is not is_retried
            client.writer.close()

    run(test())


def test_reading_goes_on_behind_a_request_in_progress_up_to_a_limit() -> None:
    """Guards against data without limit that is kept only to see a client's end of stream."""

    async def test() -> None:
        async with Server("s-1", never_respond) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(requests_of(SENT_BYTES))
            await until(lambda: server.seen)
            (connection,) = rig.listener.table.connections
            await until(lambda: connection._is_paused)
            memory = rig.listener.table.memory
            assert MAX_UNPARSED_BYTES <= memory.used_bytes <= 2 * MAX_UNPARSED_BYTES
            assert connection.may_hide_disconnection()
            client.writer.transport.abort()

    run(test())
