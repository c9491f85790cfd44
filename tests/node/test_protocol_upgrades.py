"""Tests of requests that offer another protocol (RFC 9110, section 7.8); the node goes on in HTTP/1.1."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest
from rig import Message, Rig, Server, configuration, request, run, status

OFFERS = {
    "h2c": {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2-Settings": "AAMAAABkAAQAAP__"},
    "websocket": {"Connection": "Upgrade", "Upgrade": "websocket"},
    "two protocols": {"Connection": "upgrade", "Upgrade": "foo/2, bar"},
}
BODY = b"work order"
IN_CHUNKS = b"4\r\nwork\r\n6\r\n order\r\n0\r\n\r\n"


def chunked(data: bytes) -> bytes:
    """Return the request with its body in chunks."""
    head, _, _ = data.partition(b"\r\n\r\n")
    head = head.replace(b"Content-Length: %d" % len(BODY), b"Transfer-Encoding: chunked")
    return head + b"\r\n\r\n" + IN_CHUNKS


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("piece_bytes", [1 << 16, 40, 1])
@pytest.mark.parametrize("offer", OFFERS)
def test_a_request_that_offers_an_upgrade_is_forwarded_with_its_body(
    offer: str, piece_bytes: int, is_chunked: bool
) -> None:
    """Guards against a request that runs without its body, and a 400 that answers nothing."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            data = request(body=BODY, **OFFERS[offer])
            data = (chunked(data) if is_chunked else data) + request()
            for start in range(0, len(data), piece_bytes):
                client.writer.write(data[start : start + piece_bytes])
                await asyncio.sleep(0)
            assert [status(await client.read()) for _ in range(2)] == [200, 200]
            assert [message.body for message in server.seen] == [BODY, b""]
            assert not {"upgrade", "connection"} & set(server.seen[0].headers)

    run(test())


@pytest.mark.parametrize("is_expected", [False, True])
def test_the_body_of_an_offer_is_read_when_it_comes_later(is_expected: bool) -> None:
    """Guards against an answer to a request whose body the client has not sent yet."""
    expectation = {"Expect": "100-continue"} if is_expected else {}

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request(body=BODY, **OFFERS["h2c"], **expectation)[: -len(BODY)])
            if is_expected:
                assert status(await client.read()) == 100
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(0.1):
                        pytest.fail(f"early response {await client.reader.read(1)!r}")
            assert not server.seen
            assert status(await client.exchange(BODY)) == 200
            assert server.seen[0].body == BODY

    run(test())


@pytest.mark.parametrize("path", ["/api", "/up"])
def test_an_offer_without_a_body_keeps_or_closes_the_connection_as_it_says(path: str) -> None:
    """Guards against requests behind an offer that are never read, or read after a close was asked for."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            offer = OFFERS["websocket"]
            first = request(target=path, **offer)
            last = request(target=path, **(offer | {"Connection": "upgrade, close"}))
            client.writer.write(first + first.replace(b"X-Request-Id: ", b"X-Request-Id: a") + last)
            messages: list[Message] = [await client.read() for _ in range(3)]
            assert [status(message) for message in messages] == [200, 200, 200]
            assert [message.headers.get("connection") for message in messages] == [None, None, "close"]
            assert await client.read_to_end() == b""

    run(test())


@pytest.mark.parametrize(
    ("body", "headers", "expected"),
    [
        (b"x" * (65 << 10), {}, 413),
        (BODY, {"X-Class": "unknown"}, 400),
        (BODY, {"X-Deadline": "soon"}, 400),
    ],
)
def test_an_invalid_request_with_an_offer_is_rejected_once(
    body: bytes, headers: dict[str, str], expected: int
) -> None:
    """Guards against limits that do not apply to a request with an offer."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            message = await client.exchange(request(body=body, **OFFERS["h2c"], **headers))
            assert status(message) == expected
            assert await client.read_to_end() == b""
            assert not server.seen

    run(test())
