"""Tests of blank lines ahead of a request, which RFC 9112, section 2.2, has a server ignore."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest
from rig import Rig, Server, configuration, request, run, status

PEER_LIMIT_SECONDS = 3.0
"""Time within which a peer that sends no proper request gets an error or a close."""


@pytest.mark.parametrize("is_used", [False, True])
@pytest.mark.parametrize("line", [b"\r\n", b"\n"])
def test_a_peer_that_sends_blank_lines_without_end_gets_an_error(line: bytes, is_used: bool) -> None:
    """Guards against data that no limit counts: the connection was taken for idle and stayed open."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            if is_used:
                assert status(await client.exchange(request())) == 200

            async def send() -> None:
                with suppress(OSError):
                    while True:
                        client.writer.write(line * 1000)
                        await client.writer.drain()
                        await asyncio.sleep(0.001)

            sending = asyncio.create_task(send())
            async with asyncio.timeout(PEER_LIMIT_SECONDS):
                assert status(await client.read()) == 400
            sending.cancel()

    run(test())


def test_blank_lines_around_requests_are_ignored() -> None:
    """Guards against a limit that counts blank lines of several requests together."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            for _ in range(20):
                assert status(await client.exchange(b"\r\n" * 100 + request() + b"\r\n")) == 200
            assert len(server.seen) == 20

    run(test())
