"""System calls that fail on the node's own machine: no other party is blamed, and nothing spins."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from faults import Faults
from rig import Client, Server, configuration, request, run, status, until
from test_process import program

ACCEPT_FAILURES = ("ECONNABORTED", "EPROTO", "ENETDOWN", "EMFILE", "ENFILE", "ENOBUFS", "EPERM")


@pytest.mark.parametrize("name", ACCEPT_FAILURES)
def test_an_accept_that_goes_on_failing_is_tried_again_with_pauses(name: str, tmp_path: Path) -> None:
    """The listening socket stays readable: without a pause it was tried 16 times a turn of the loop."""

    async def test() -> None:
        faults = Faults(tmp_path / "faults")
        async with (
            Server("s-1") as server,
            program(configuration(server), tmp_path, command=faults.command()) as node,
        ):
            faults.set(accept_errno=getattr(errno, name))
            client = await node.client()
            client.writer.write(request())
            await until(lambda: faults.get("accepts_failed"))
            before = faults.get("accepts_failed")
            await asyncio.sleep(0.5)
            assert 5 <= faults.get("accepts_failed") - before <= 60
            faults.set(accept_errno=0)
            async with asyncio.timeout(0.5):
                assert status(await client.read()) == 200
            first = Client(*await asyncio.open_connection(*node.address))
            assert status(await first.ask(request())) == 200

    run(test())
