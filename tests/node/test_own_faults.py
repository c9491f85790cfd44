"""System calls that fail locally: no server is ejected for them, and retries back off."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
from node_process import Program, program
from rig import Client, Server, answer, configuration, request, respond_with, run, status, until

from soak.shims import Faults

ACCEPT_FAILURES = ("ECONNABORTED", "EPROTO", "ENETDOWN", "EMFILE", "ENFILE", "ENOBUFS", "EPERM")


@pytest.mark.parametrize("name", ACCEPT_FAILURES)
def test_a_failing_accept_is_retried_with_backoff(name: str, tmp_path: Path) -> None:
    """The listening socket stays readable, so retrying without backoff would use all CPU time."""

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
            failures_before = faults.get("accepts_failed")
            await asyncio.sleep(0.5)
            assert 5 <= faults.get("accepts_failed") - failures_before <= 60
            faults.set(accept_errno=0)
            async with asyncio.timeout(0.5):
                assert status(await client.read()) == 200
            new_client = Client(*await asyncio.open_connection(*node.address))
            assert status(await new_client.exchange(request())) == 200

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
RESPOND_AND_CLOSE = respond_with(answer(Connection="close"))  # each request needs a new connection


async def send_steadily(node: Program, span_s: float, interval_s: float) -> Counter[int]:
    """Send a request every `interval_s`, each on its own connection; return how often each status occurs."""

    async def send_request(number: int) -> int:
        await asyncio.sleep(number * interval_s)
        client = await node.client()
        status_code = status(await client.exchange(request()))
        client.writer.close()
        return status_code

    return Counter(
        await asyncio.gather(*(send_request(number) for number in range(int(span_s / interval_s))))
    )


@asynccontextmanager
async def local_faults_testbed(folder: Path) -> AsyncIterator[tuple[Faults, list[Server], Program]]:
    """Start four servers, and a node whose system calls can be made to fail."""
    faults = Faults(folder / "faults")
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server(f"s-{n}", RESPOND_AND_CLOSE)) for n in range(4)]
        started = program(configuration(*servers), folder, command=faults.command())
        yield faults, servers, await stack.enter_async_context(started)


@pytest.mark.parametrize("name", CONNECT_FAILURES)
def test_connects_that_fail_locally_back_off_and_eject_no_server(name: str, tmp_path: Path) -> None:
    """Local faults neither eject a server nor use up the retries of a request."""

    async def test() -> None:
        async with local_faults_testbed(tmp_path) as (faults, servers, node):
            assert (await send_steadily(node, 1.2, 0.005)).keys() == {200}  # samples for the circuit breaker
            load = asyncio.create_task(send_steadily(node, 1.0, 0.005))
            await asyncio.sleep(0.2)
            faults.set(connect_errno=getattr(errno, name))
            await asyncio.sleep(0.5)
            faults.set(connect_errno=0)
            assert await load == {200: 200}
            counts_before = [len(server.seen) for server in servers]
            assert (await send_steadily(node, 0.5, 0.005)).keys() == {200}
            request_counts = [
                len(server.seen) - count for server, count in zip(servers, counts_before, strict=True)
            ]
            assert min(request_counts) > 10  # none is ejected

    run(test())


@pytest.mark.parametrize("name", ["ENETUNREACH", "EHOSTUNREACH", "ECONNREFUSED"])
def test_requests_to_a_single_unreachable_server_go_to_the_others(name: str, tmp_path: Path) -> None:
    """An unreachable address counts as a fault of its server, and the other servers get the requests."""

    async def test() -> None:
        async with local_faults_testbed(tmp_path) as (faults, servers, node):
            port = int(servers[0].address.rpartition(":")[2])
            faults.set(connect_errno=getattr(errno, name), connect_port=port)
            start_time = asyncio.get_running_loop().time()
            assert (await send_steadily(node, 1.0, 0.005)).keys() == {200}
            # No request waits for the unreachable server.
            assert asyncio.get_running_loop().time() - start_time < 1.5
            assert not servers[0].seen

    run(test())
