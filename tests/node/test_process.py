"""The program itself: how it starts, refuses to start, ends, and lives within its descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator, Callable, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from importlib.util import cache_from_source
from pathlib import Path
from time import monotonic
from typing import Any

import pytest
from rig import (
    PATIENCE,
    Client,
    Discovery,
    Message,
    Server,
    answer,
    configuration,
    grade,
    request,
    run,
    silent,
    status,
    until,
)

from moleport.config.node_config import load
from moleport.node.graceful_shutdown import MIN_SERVE_ON_SECONDS, plan_shutdown
from moleport.node.node_factory import max_client_connections

ROOT = Path(__file__).parents[2]
UP = request(target="/up", method="GET")


# The program, but it serves on for long enough after SIGTERM that a slow machine gives the same result.
SLOWER = (
    "import sys, moleport.__main__ as program, moleport.node.graceful_shutdown as graceful_shutdown;"
    "graceful_shutdown.MIN_SERVE_ON_SECONDS = 2.0; sys.exit(program.main())"
)
# The program, but it waits for a slow agent.
PATIENT = (
    "import sys, moleport.__main__ as program, moleport.node.discovery_watch as discovery;"
    "discovery.AGENT_RESPONSE_TIMEOUT_S = discovery.FIRST_DATA_TIMEOUT_S = 60.0; sys.exit(program.main())"
)


async def start(
    path: Path,
    code: str = "",
    env: Mapping[str, str] = os.environ,
    command: Sequence[str] = (),
    **options: Any,
) -> asyncio.subprocess.Process:
    """Start a node's process with the configuration file at `path`."""
    environment = {**env, "BALANCER_CONFIG": str(path)}
    program = command or [sys.executable, *(("-c", code) if code else ("-m", "moleport"))]
    return await asyncio.create_subprocess_exec(
        *program, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE, **options
    )


class Program:
    """A node in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, address: tuple[str, int]) -> None:
        self.process = process
        self.address = address

    async def client(self) -> Client:
        """Connect a client to the node."""
        return Client(*await asyncio.open_connection(*self.address))


@asynccontextmanager
async def program(document: dict[str, Any], folder: Path, **options: Any) -> AsyncIterator[Program]:
    """Start a node and wait until it listens; kill it at the end."""
    path = folder / "config.json"
    path.write_text(json.dumps(document))
    process = await start(path, **options)
    try:
        assert process.stderr is not None
        while b"serving on" not in (line := await asyncio.wait_for(process.stderr.readline(), PATIENCE)):
            assert line, "the node ended"
        host, port = line.split()[-1].decode().rsplit(":", 1)
        yield Program(process, (host, int(port)))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_the_build_compiles_all_modules(tmp_path: Path) -> None:
    """The disk is read-only for a node: without bytecode each start would compile all modules."""
    for name in ("deploy", "moleport", "requirements.txt"):
        copy = shutil.copytree if (ROOT / name).is_dir() else shutil.copy
        copy(ROOT / name, tmp_path / name)
    for cache in tmp_path.rglob("__pycache__"):
        shutil.rmtree(cache)
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
    python.chmod(0o755)
    built = tmp_path / ".venv" / "built"  # newer than the requirements: nothing is installed
    built.touch()
    os.utime(tmp_path / "requirements.txt", (0, 0))
    build = tomllib.loads((tmp_path / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, timeout=PATIENCE * 2)
    sources = [path for name in ("moleport",) for path in (tmp_path / name).rglob("*.py")]
    assert sources
    assert not [path for path in sources if not Path(cache_from_source(str(path))).exists()]
    start = "import runpy; runpy.run_module('moleport')"  # as `-m` does, but ends once all is imported
    verbose = subprocess.run(
        [sys.executable, "-v", "-c", start],
        cwd=tmp_path,
        timeout=PATIENCE,
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        check=True,
    ).stderr
    loaded = re.findall(r"^# code object from '?(.+?)'?$", verbose, re.MULTILINE)
    assert sum(path.startswith(str(tmp_path)) for path in loaded) >= 8
    assert not [path for path in loaded if not path.endswith(".pyc")]


def test_sigterm_serves_on_then_completes_what_is_in_flight(tmp_path: Path) -> None:
    """`/up` answers 503 first, then connections are closed; the exit code is 0."""
    release = asyncio.Event()

    async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Server("s-1", waits) as server,
            program(configuration(server), tmp_path, code=SLOWER) as node,
        ):
            holds, idle = await node.client(), await node.client()
            assert status(await idle.ask(request(body=b"before"))) == 200
            holds.writer.write(request(body=b"held"))
            await until(lambda: len(server.seen) == 2)
            node.process.send_signal(signal.SIGTERM)
            late = await node.client()
            up = await late.ask(request(target="/up", method="GET"))
            while status(up) == 200:  # until the signal has arrived
                up = await late.ask(request(target="/up", method="GET"))
            new = await node.client()
            got = await new.ask(request(body=b"after"))
            assert (got.body, got.headers.get("connection")) == (b"after", None)
            assert await idle.ended() == b""
            release.set()
            got = await holds.read()
            assert (got.body, got.headers["connection"]) == (b"held", "close")
            assert await asyncio.wait_for(node.process.wait(), PATIENCE) == 0

    run(test())


def test_further_signals_while_it_ends_change_nothing_but_the_watch(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", waits) as server, Discovery() as old, Discovery() as new:
            document = configuration(server, discovery=old.address)
            async with program(document, tmp_path) as node:
                client, half = await node.client(), await node.client()
                data = request(body=b"half")
                half.writer.write(data[:-1])
                client.writer.write(request(body=b"held"))
                await until(lambda: server.seen)
                for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
                    node.process.send_signal(number)
                (tmp_path / "config.json").write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets)
                half.writer.write(data[-1:])
                await until(lambda: len(server.seen) == 2)
                release.set()
                assert [(await one.read()).body for one in (client, half)] == [b"held", b"half"]
                for one in (client, half):
                    one.writer.close()
                assert await asyncio.wait_for(node.process.wait(), PATIENCE) == 0

    run(test())


@pytest.mark.parametrize("deadline_ms", [500, 5000])
def test_a_server_that_hangs_keeps_no_answer_back_at_the_end(deadline_ms: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1", silent) as server:
            document = configuration(server)
            document["settings"]["Grades"][1] = grade("order", "once", deadline_ms, deadline_ms)
            async with program(document, tmp_path) as node:
                client = await node.client()
                client.writer.write(request("order"))
                await until(lambda: server.seen)
                node.process.send_signal(signal.SIGTERM)
                assert status(await client.read()) in (502, 504)
                assert await asyncio.wait_for(node.process.wait(), PATIENCE) == 0

    run(test())


@pytest.mark.parametrize(
    ("aim_ms", "deadline_ms", "late", "serve_on"),
    [
        (1000, 5000, 0.0, 2.4),
        (1000, 5000, 0.5, MIN_SERVE_ON_SECONDS),
        (9000, 9000, 0.0, MIN_SERVE_ON_SECONDS),
        (400, 1000, 0.0, 1.0),
    ],
)
def test_the_shutdown_plan_leaves_time_for_the_longest_useful_request(
    aim_ms: int, deadline_ms: int, late: float, serve_on: float, tmp_path: Path
) -> None:
    """A node serves on for as long as a new request can still be answered in time."""
    assert MIN_SERVE_ON_SECONDS > 0.4  # s: so long new connections go on coming
    document = configuration()
    document["settings"]["Grades"] = [grade("page", "once", deadline_ms, aim_ms) | {"LateShare": late}]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    plan = plan_shutdown(load({"BALANCER_CONFIG": str(path)}))
    assert plan.serve_on_s == pytest.approx(serve_on)
    # SIGKILL comes 0.3 s later or more.
    assert plan.finish_within_s == pytest.approx(min(3.0, deadline_ms / 1000) + 0.4)


def test_sighup_moves_the_watch_and_keeps_endpoints_and_requests(tmp_path: Path) -> None:
    """The environment still names the old address; the file is newer. An unusable file changes nothing."""
    release = asyncio.Event()

    async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1", waits) as server,
            Server("s-2") as later,
        ):
            document = configuration(server, discovery=old.address)
            environment = {**os.environ, "BALANCER_DISCOVERY": old.address}
            async with program(document, tmp_path, env=environment) as node:
                client, other = await node.client(), await node.client()
                client.writer.write(request("order", body=b"held"))
                await until(lambda: server.seen)
                path = tmp_path / "config.json"
                stderr = node.process.stderr
                assert stderr is not None
                wrong_type = {**document["settings"], "Tenants": 5}
                unusable = (
                    ("{", b"BALANCER_CONFIG"),
                    ("[" * 100_000, b"BALANCER_CONFIG"),
                    (json.dumps(document | {"discovery": 5}), b"discovery"),
                    (json.dumps(document | {"settings": wrong_type}), b"Tenants"),
                    (json.dumps(document | {"seed": float("inf")}), b"seed"),
                )
                for text, word in unusable:
                    path.write_text(text)
                    node.process.send_signal(signal.SIGHUP)
                    assert word in await asyncio.wait_for(stderr.readline(), PATIENCE)
                path.write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets)
                assert new.targets == ["GET /discovery/hosts?watch=1&from=0 HTTP/1.1"]
                old.drop()
                release.set()
                assert (await client.read()).body == b"held"  # the list and the request are still there
                new.push(3, later, full=True)
                while not later.seen:
                    assert status(await other.ask(request("order"))) == 200
                assert node.process.returncode is None

    run(test())


def test_descriptors_stay_within_the_limit_and_all_clients_are_answered(tmp_path: Path) -> None:
    """Three times as many clients as descriptors are answered in turn."""
    most = 96

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    async def test() -> None:
        async with Server("s-1") as server:
            document = configuration(server)
            document["limits"]["sockets"] = most
            async with program(document, tmp_path, preexec_fn=limit) as node:
                clients = [await node.client() for _ in range(3 * most)]
                served = await asyncio.gather(*(_status_of_request(node, client) for client in clients))
                assert set(served) <= {200, 503}  # the breaker refuses some of so many at once
                assert len(server.seen) == served.count(200) > 0
                assert len(os.listdir(f"/proc/{node.process.pid}/fd")) <= most
                assert node.process.returncode is None

    run(test())


async def _status_of_request(node: Program, client: Client) -> int:
    """Send a request as clients do, and return the status of its response."""
    return status(await _ask_until_answered(node, request(), client))


async def _ask_until_answered(node: Program, data: bytes, client: Client | None = None) -> Message:
    """Send a request; where the node closes the connection between requests, send it on a new one."""
    while True:
        try:
            client = client or await node.client()
            return await client.ask(data)
        except (asyncio.IncompleteReadError, OSError):
            client = None


def test_running_out_of_descriptors_causes_no_crash_and_no_busy_loop(tmp_path: Path) -> None:
    """The process may have fewer descriptors than its configuration says, so accept fails."""

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (30, 30))

    async def test() -> None:
        async with program(configuration(), tmp_path, preexec_fn=limit) as node:
            clients = [await node.client() for _ in range(60)]
            pid = node.process.pid
            before = _cpu(pid)
            await asyncio.sleep(0.5)
            assert _cpu(pid) - before < 0.4
            served = await asyncio.gather(*(_status_of_request(node, client) for client in clients))
            assert set(served) == {503}  # it knows no server
            assert node.process.returncode is None

    run(test())


async def _stay_connected(node: Program, checks_readiness: bool) -> None:
    """Hold an idle connection, and a new one as soon as the node ends it."""
    while True:
        with suppress(OSError):
            client = await node.client()
            if checks_readiness:
                client.writer.write(UP)
            await client.ended()
            client.writer.close()
        await asyncio.sleep(0)


def _queued(node: Program) -> int:
    """Return how many connections wait in the kernel's queue for the node to accept them."""
    port = f":{node.address[1]:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(row[4].split(":")[1], 16) for row in rows if row[1].endswith(port) and row[3] == "0A")


def _max_open_descriptors(pid: int) -> int:
    """Return an upper bound for how many descriptors the process ever had open at once.

    The kernel's table of them grows from 64 to 256 and by powers of two from there, and never shrinks.
    """
    (line,) = (one for one in Path(f"/proc/{pid}/status").read_text().splitlines() if "FDSize" in one)
    return int(line.split()[1])


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Allow many descriptors: for the clients, and for a node that exceeds its configured limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("many_descriptors")
@pytest.mark.parametrize(
    ("sockets", "down"), [(256, b""), (1024, answer(503, b""))], ids=["256-silent", "1024-refuses"]
)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_idle_clients_leave_descriptors_to_the_watch_and_to_server_connections(
    sockets: int, down: bytes, mode: str, tmp_path: Path
) -> None:
    """Idle clients fill the table and the accept queue while discovery is silent or rejects the watch.

    Other clients hold a third of the descriptors with requests. What discovery sends once it is back counts
    as notified after 6 s, and the backoff between polls must not exceed that.
    """
    release = asyncio.Event()

    async def each(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await release.wait()
        writer.write(answer(Connection="close"))  # so each request needs a dial
        writer.close()

    async def served(node: Program) -> None:
        assert status(await _ask_until_answered(node, request("order"))) == 200

    async def test() -> None:
        async with Discovery() as source, Server("s-1", each) as old, Server("s-2", each) as new:
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = mode
            document["settings"]["Grades"] = [grade("order", "once", 60_000, 60_000)]
            document["limits"]["sockets"] = sockets
            # Many servers at one address: the balancer admits as much as they could serve.
            names = [f"{name}-{number}" for name in ("s-1", "s-2") for number in range(sockets // 8)]
            entries = [(old if name.startswith("s-1") else new).entry() | {"id": name} for name in names]
            document["known"]["servers"] = entries[: len(entries) // 2]
            up, source.reply = source.reply, down
            async with program(document, tmp_path) as node:
                holders: list[Client] = []
                for _ in range(sockets // 3):
                    holders.append(await node.client())
                    holders[-1].writer.write(request("order", body=b"held"))
                    await until(lambda: len(old.seen) >= len(holders) - 20)  # the server's own queue is short
                await until(lambda: len(old.seen) == len(holders))
                crowd = max_client_connections(sockets) - len(holders) + 300
                tasks = [asyncio.create_task(_stay_connected(node, slot % 4 == 0)) for slot in range(crowd)]
                await until(lambda: _queued(node) > 150)
                for _ in range(3):
                    await served(node)
                assert old.connections == len(old.seen) == len(holders) + 3
                assert status(await _ask_until_answered(node, UP)) == 200
                await until(lambda: len(source.targets) > 3)  # the backoff has grown
                await until(lambda: _queued(node) > 50)
                for entry in entries[: len(entries) // 2]:
                    entry["state"] = "Terminating"
                line = json.dumps({"version": 9, "full": False, "servers": entries}).encode() + b"\n"
                source.reply = up + b"%x\r\n%s\r\n" % (len(line), line)  # sent at once on each watch
                back = monotonic()
                while not new.seen:
                    await served(node)
                assert monotonic() - back < 6
                seen = len(old.seen)
                for _ in range(2):
                    await served(node)
                assert (len(old.seen), len(new.seen)) == (seen, 3)
                assert status(await _ask_until_answered(node, UP)) == 200
                release.set()
                assert {status(await client.read()) for client in holders} == {200}
                assert _max_open_descriptors(node.process.pid) <= sockets
                assert node.process.returncode is None
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            assert node.process.stderr is not None
            log = (await node.process.stderr.read()).decode()
            for word in ("Traceback", "EMFILE", "open files", "could not be set up", "action failed"):
                assert word not in log, log

    run(test())


def _cpu(pid: int) -> float:
    """Return the CPU time of a process, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _without(*path: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        for key in path[:-1]:
            document = document[key]
        del document[path[-1]]

    return change


def _with(value: object, *path: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        for key in path[:-1]:
            document = document[key]
        document[path[-1]] = value

    return change


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (_without("listen"), "listen"),
        (_with("here", "listen"), "listen"),
        (_with("10.0.0.1:port", "discovery"), "discovery"),
        (_with("xyz", "seed"), "seed"),
        (_with(float("inf"), "seed"), "seed"),
        (_with(5, "settings", "Tenants"), "Tenants"),
        (_with(3, "limits", "sockets"), "limits.sockets"),
        (_without("limits"), "limits"),
        (_with({"version": 1}, "known"), "known"),
        (_without("settings"), "settings"),
        (_without("settings", "Grades"), "Grades"),
        (_with("soon", "settings", "Limits", "DialTimeout"), "Limits.DialTimeout"),
        (_with(0, "settings", "PeersTotal"), "PeersTotal"),
        (_with(2.0, "settings", "Contract", "ColdShare"), "slow_start_initial_ratio"),
        (_without("settings", "Contract", "StopSendingWithin"), "StopSendingWithin"),
        (_with(None, "settings", "Zones"), "Zones"),
        (_with("203.0.113.9:1", "listen"), "BALANCER_LISTEN"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_that_names_the_key(
    change: Callable[[dict[str, Any]], None], named: str, tmp_path: Path
) -> None:
    """The process ends with 2."""
    document = configuration()
    change(document)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), PATIENCE)
        assert process.returncode == 2
        (line,) = stderr.decode().splitlines()
        assert named in line

    run(test())


@pytest.mark.parametrize("text", [None, "{", "[]", "[" * 100_000], ids=["none", "cut", "list", "deep"])
def test_a_missing_or_malformed_configuration_file_is_reported(text: str | None, tmp_path: Path) -> None:
    """One line names BALANCER_CONFIG, and the process ends with 2."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), PATIENCE)
        assert (process.returncode, stderr.count(b"\n"), b"BALANCER_CONFIG" in stderr) == (2, 1, True)

    run(test())


def test_a_new_process_accepts_no_clients_before_the_first_discovery_update(tmp_path: Path) -> None:
    """The agent's list counts as notified from the start; the configured one may name drained servers."""

    async def test() -> None:
        async with Discovery() as source, Server("s-1") as gone, Server("s-2") as later:
            reply, source.reply = source.reply, b""
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                host, port = free.getsockname()
            document = configuration(gone, discovery=source.address) | {"listen": f"{host}:{port}"}
            document["settings"]["MembershipMode"] = "pushed"
            path = tmp_path / "config.json"
            path.write_text(json.dumps(document))
            process = await start(path, code=PATIENT)
            try:
                await until(lambda: source.targets)
                with pytest.raises(OSError):
                    await asyncio.open_connection(host, port)
                source.push_raw(reply)
                source.push(9, later, full=True)
                assert process.stderr is not None
                assert b"serving on" in await asyncio.wait_for(process.stderr.readline(), PATIENCE)
                client = Client(*await asyncio.open_connection(host, port))
                assert status(await client.ask(request())) == 200
                assert (len(gone.seen), len(later.seen)) == (0, 1)
            finally:
                process.kill()
                await process.wait()

    run(test())


def test_a_new_process_serves_from_its_configured_list_if_the_agent_is_silent(tmp_path: Path) -> None:
    """The wait for the first update is limited."""

    async def test() -> None:
        async with Discovery() as source, Server("s-1") as server:
            source.reply = b""
            document = configuration(server, discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with program(document, tmp_path) as node:
                assert source.targets
                assert status(await (await node.client()).ask(request())) == 200

    run(test())


@pytest.mark.parametrize("found", ["", "half", "gone"])
def test_an_incomplete_configuration_file_is_read_again(found: str, tmp_path: Path) -> None:
    """A file that is empty, half written or missing at SIGHUP is retried."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as server:
            document = configuration(server, discovery=old.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with program(document, tmp_path) as node:
                path = tmp_path / "config.json"
                text = json.dumps(document | {"discovery": new.address})
                if found == "gone":
                    path.unlink()
                else:
                    path.write_text(text[: len(text) // 2] if found else "")
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                assert not new.targets
                path.write_text(text)
                async with asyncio.timeout(2.0):
                    await until(lambda: new.targets)
                assert status(await (await node.client()).ask(request())) == 200

    run(test())


# The program, with a SIGHUP to itself as it imports or reads the configuration, ahead of its event loop.
HUNG_UP = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, *_):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
runpy.run_module("moleport", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("module", ["uvloop", "moleport.node.node_factory"])
def test_a_sighup_during_the_start_does_not_end_the_node(module: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Server("s-1") as server,
            program(configuration(server), tmp_path, code=HUNG_UP.format(module=module)) as node,
        ):
            assert status(await (await node.client()).ask(request())) == 200
            node.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(node.process.wait(), PATIENCE) == 0

    run(test())


def test_the_deployed_program_ignores_a_sighup_ahead_of_its_first_line() -> None:
    """The shell that starts it ignores the signal, and the interpreter inherits that."""
    deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    probe = deployed.replace("exec .venv/bin/python -m moleport", "kill -HUP $$; exec echo started")
    assert probe != deployed
    shell = subprocess.run(["/bin/sh", "-c", probe], capture_output=True, text=True, check=True)
    assert shell.stdout == "started\n"
