"""System calls that fail on the node's own machine: no other party is blamed, and nothing spins."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
from rig import Client, Server, answer, configuration, request, run, says, status, until
from test_process import Program, program

from soak.shims import Faults

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


CONNECT_FAILURES = (
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "EADDRNOTAVAIL",
    "ENETDOWN",
    "EPERM",
    "ENETUNREACH",
    "EHOSTUNREACH",
)
ONCE = says(answer(Connection="close"))  # each request needs a dial


async def ask_steadily(node: Program, span: float, pace: float) -> Counter[int]:
    """Statuses of one request each `pace` s, each on a connection of its own."""

    async def ask(number: int) -> int:
        await asyncio.sleep(number * pace)
        client = await node.client()
        got = status(await client.ask(request()))
        client.writer.close()
        return got

    return Counter(await asyncio.gather(*(ask(number) for number in range(int(span / pace)))))


@asynccontextmanager
async def bed(folder: Path) -> AsyncIterator[tuple[Faults, list[Server], Program]]:
    """A node whose calls fail on command, before four servers."""
    faults = Faults(folder / "faults")
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server(f"s-{n}", ONCE)) for n in range(4)]
        started = program(configuration(*servers), folder, command=faults.command())
        yield faults, servers, await stack.enter_async_context(started)


@pytest.mark.parametrize("name", CONNECT_FAILURES)
def test_dials_that_fail_on_this_machine_wait_and_blame_no_server(name: str, tmp_path: Path) -> None:
    """Each was put down to its server, or spent the retries on the spot: requests were refused though there
    was time left."""

    async def test() -> None:
        async with bed(tmp_path) as (faults, servers, node):
            assert (await ask_steadily(node, 1.2, 0.005)).keys() == {200}  # the breaker has its measure
            load = asyncio.create_task(ask_steadily(node, 1.0, 0.005))
            await asyncio.sleep(0.2)
            faults.set(connect_errno=getattr(errno, name))
            await asyncio.sleep(0.5)
            faults.set(connect_errno=0)
            assert await load == {200: 200}
            before = [len(server.seen) for server in servers]
            assert (await ask_steadily(node, 0.5, 0.005)).keys() == {200}
            got = [len(server.seen) - count for server, count in zip(servers, before, strict=True)]
            assert min(got) > 10  # none is ejected

    run(test())


@pytest.mark.parametrize("name", ["ENETUNREACH", "EHOSTUNREACH", "ECONNREFUSED"])
def test_a_server_that_alone_is_out_of_reach_is_left_for_the_others(name: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with bed(tmp_path) as (faults, servers, node):
            port = int(servers[0].address.rpartition(":")[2])
            faults.set(connect_errno=getattr(errno, name), connect_port=port)
            begun = asyncio.get_running_loop().time()
            assert (await ask_steadily(node, 1.0, 0.005)).keys() == {200}
            assert asyncio.get_running_loop().time() - begun < 1.5  # nobody waits for it
            assert not servers[0].seen

    run(test())
