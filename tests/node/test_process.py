"""Tests of the node's process: its start, reload and shutdown, invalid configurations, descriptor limits."""

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
from collections.abc import Callable, Iterator
from contextlib import suppress
from importlib.util import cache_from_source
from pathlib import Path
from time import monotonic
from typing import Any

import pytest
from node_process import ROOT, Program, program, start
from rig import (
    TEST_TIMEOUT_SECONDS,
    Client,
    Discovery,
    Message,
    Server,
    answer,
    configuration,
    never_respond,
    request,
    request_class,
    run,
    status,
    until,
)

from moleport.config.node_config import load
from moleport.node.graceful_shutdown import MIN_LAME_DUCK_SECONDS, plan_shutdown
from moleport.node.node_factory import max_client_connections

UP = request(target="/up", method="GET")


# Runs the node with a longer time of normal service after SIGTERM, so that a slow machine passes as well.
SLOW_SHUTDOWN_CODE = (
    "import sys, moleport.__main__ as program, moleport.node.graceful_shutdown as graceful_shutdown;"
    "graceful_shutdown.MIN_LAME_DUCK_SECONDS = 2.0; sys.exit(program.main())"
)
# Runs the node with longer timeouts for the agent.
PATIENT_DISCOVERY_CODE = (
    "import sys, moleport.__main__ as program, moleport.node.discovery_limits as limits;"
    "limits.AGENT_RESPONSE_TIMEOUT_S = limits.FIRST_DATA_TIMEOUT_S = 60.0; sys.exit(program.main())"
)


def test_the_build_compiles_all_modules(tmp_path: Path) -> None:
    """A node's disk is read-only, so without bytecode from the build each start would compile all modules."""
    for name in ("deploy", "moleport", "requirements.txt"):
        copy = shutil.copytree if (ROOT / name).is_dir() else shutil.copy
        copy(ROOT / name, tmp_path / name)
    for cache in tmp_path.rglob("__pycache__"):
        shutil.rmtree(cache)
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
    python.chmod(0o755)
    built = tmp_path / ".venv" / "built"  # newer than the requirements, so the build installs nothing
    built.touch()
    os.utime(tmp_path / "requirements.txt", (0, 0))
    build = tomllib.loads((tmp_path / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True, timeout=TEST_TIMEOUT_SECONDS * 2)
    sources = [path for name in ("moleport",) for path in (tmp_path / name).rglob("*.py")]
    assert sources
    assert not [path for path in sources if not Path(cache_from_source(str(path))).exists()]
    # Imports the same modules as `-m moleport`, and then ends.
    import_all = "import runpy; runpy.run_module('moleport')"
    import_log = subprocess.run(
        [sys.executable, "-v", "-c", import_all],
        cwd=tmp_path,
        timeout=TEST_TIMEOUT_SECONDS,
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        check=True,
    ).stderr
    loaded_files = re.findall(r"^# code object from '?(.+?)'?$", import_log, re.MULTILINE)
    assert sum(path.startswith(str(tmp_path)) for path in loaded_files) >= 8
    assert not [path for path in loaded_files if not path.endswith(".pyc")]


def test_after_sigterm_the_node_serves_on_and_completes_the_requests_in_flight(tmp_path: Path) -> None:
    """First `/up` answers 503, then idle connections are closed; the exit code is 0."""
    release = asyncio.Event()

    async def answer_when_released(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Server("s-1", answer_when_released) as server,
            program(configuration(server), tmp_path, code=SLOW_SHUTDOWN_CODE) as node,
        ):
            in_flight_client, idle_client = await node.client(), await node.client()
            assert status(await idle_client.exchange(request(body=b"before"))) == 200
            in_flight_client.writer.write(request(body=b"held"))
            await until(lambda: len(server.seen) == 2)
            node.process.send_signal(signal.SIGTERM)
            health_client = await node.client()
            health = await health_client.exchange(request(target="/up", method="GET"))
            while status(health) == 200:  # until the node has handled the signal
                health = await health_client.exchange(request(target="/up", method="GET"))
            new_client = await node.client()
            response = await new_client.exchange(request(body=b"after"))
            assert (response.body, response.headers.get("connection")) == (b"after", None)
            assert await idle_client.read_to_end() == b""
            release.set()
            response = await in_flight_client.read()
            assert (response.body, response.headers["connection"]) == (b"held", "close")
            assert await asyncio.wait_for(node.process.wait(), TEST_TIMEOUT_SECONDS) == 0

    run(test())


def test_further_signals_during_the_shutdown_change_only_the_watch(tmp_path: Path) -> None:
    """A repeated SIGTERM or SIGINT has no effect; SIGHUP moves the watch to the new discovery agent."""
    release = asyncio.Event()

    async def answer_when_released(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", answer_when_released) as server, Discovery() as old, Discovery() as new:
            document = configuration(server, discovery=old.address)
            async with program(document, tmp_path) as node:
                client, half_client = await node.client(), await node.client()
                request_bytes = request(body=b"half")
                half_client.writer.write(request_bytes[:-1])
                client.writer.write(request(body=b"held"))
                await until(lambda: server.seen)
                for signal_number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
                    node.process.send_signal(signal_number)
                (tmp_path / "config.json").write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets)
                half_client.writer.write(request_bytes[-1:])
                await until(lambda: len(server.seen) == 2)
                release.set()
                assert [(await each.read()).body for each in (client, half_client)] == [b"held", b"half"]
                for each in (client, half_client):
                    each.writer.close()
                assert await asyncio.wait_for(node.process.wait(), TEST_TIMEOUT_SECONDS) == 0

    run(test())


@pytest.mark.parametrize("deadline_ms", [500, 5000])
def test_a_server_that_hangs_does_not_delay_responses_beyond_the_shutdown(
    deadline_ms: int, tmp_path: Path
) -> None:
    """The client gets an error response before the node ends, however long its deadline is."""

    async def test() -> None:
        async with Server("s-1", never_respond) as server:
            document = configuration(server)
            document["settings"]["Grades"][1] = request_class("order", "once", deadline_ms, deadline_ms)
            async with program(document, tmp_path) as node:
                client = await node.client()
                client.writer.write(request("order"))
                await until(lambda: server.seen)
                node.process.send_signal(signal.SIGTERM)
                assert status(await client.read()) in (502, 504)
                assert await asyncio.wait_for(node.process.wait(), TEST_TIMEOUT_SECONDS) == 0

    run(test())


@pytest.mark.parametrize(
    ("latency_objective_ms", "deadline_ms", "late_weight_ratio", "lame_duck_s"),
    [
        (1000, 5000, 0.0, 2.4),
        (1000, 5000, 0.5, MIN_LAME_DUCK_SECONDS),
        (9000, 9000, 0.0, MIN_LAME_DUCK_SECONDS),
        (400, 1000, 0.0, 1.0),
    ],
)
def test_the_shutdown_plan_leaves_time_for_the_longest_useful_request(
    latency_objective_ms: int, deadline_ms: int, late_weight_ratio: float, lame_duck_s: float, tmp_path: Path
) -> None:
    """A node serves as before for as long as it can still answer a new request in time."""
    assert MIN_LAME_DUCK_SECONDS > 0.4  # new connections arrive for up to 0.4 s after SIGTERM
    document = configuration()
    document["settings"]["Grades"] = [
        request_class("page", "once", deadline_ms, latency_objective_ms) | {"LateShare": late_weight_ratio}
    ]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    plan = plan_shutdown(load({"BALANCER_CONFIG": str(path)}))
    assert plan.lame_duck_s == pytest.approx(lame_duck_s)
    # SIGKILL follows at least 0.3 s after this time.
    assert plan.finish_within_s == pytest.approx(min(3.0, deadline_ms / 1000) + 0.4)


def test_sighup_moves_the_watch_and_keeps_endpoints_and_requests(tmp_path: Path) -> None:
    """The address in the file replaces the one in the environment; an unusable file changes nothing."""
    release = asyncio.Event()

    async def answer_when_released(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1", answer_when_released) as server,
            Server("s-2") as new_server,
        ):
            document = configuration(server, discovery=old.address)
            environment = {**os.environ, "BALANCER_DISCOVERY": old.address}
            async with program(document, tmp_path, env=environment) as node:
                client, other_client = await node.client(), await node.client()
                client.writer.write(request("order", body=b"held"))
                await until(lambda: server.seen)
                path = tmp_path / "config.json"
                stderr = node.process.stderr
                assert stderr is not None
                wrong_type = {**document["settings"], "Tenants": 5}
                unusable_files = (
                    ("{", b"BALANCER_CONFIG"),
                    ("[" * 100_000, b"BALANCER_CONFIG"),
                    (json.dumps(document | {"discovery": 5}), b"discovery"),
                    (json.dumps(document | {"settings": wrong_type}), b"Tenants"),
                    (json.dumps(document | {"seed": float("inf")}), b"seed"),
                )
                for text, named_key in unusable_files:
                    path.write_text(text)
                    node.process.send_signal(signal.SIGHUP)
                    assert named_key in await asyncio.wait_for(stderr.readline(), TEST_TIMEOUT_SECONDS)
                path.write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets)
                assert new.targets == ["GET /discovery/hosts?watch=1&from=0 HTTP/1.1"]
                old.drop()
                release.set()
                assert (
                    await client.read()
                ).body == b"held"  # the node kept the endpoint list and the request
                new.push(3, new_server, full=True)
                while not new_server.seen:
                    assert status(await other_client.exchange(request("order"))) == 200
                assert node.process.returncode is None

    run(test())


def test_descriptors_stay_within_the_limit_and_all_clients_are_answered(tmp_path: Path) -> None:
    """Three times as many clients as descriptors are answered in turn."""
    max_descriptors = 96

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    async def test() -> None:
        async with Server("s-1") as server:
            document = configuration(server)
            document["limits"]["sockets"] = max_descriptors
            async with program(document, tmp_path, preexec_fn=limit_descriptors) as node:
                clients = [await node.client() for _ in range(3 * max_descriptors)]
                statuses = await asyncio.gather(*(_status_of_request(node, client) for client in clients))
                assert set(statuses) <= {200, 503}  # the circuit breaker rejects some of so many at once
                assert len(server.seen) == statuses.count(200) > 0
                assert len(os.listdir(f"/proc/{node.process.pid}/fd")) <= max_descriptors
                assert node.process.returncode is None

    run(test())


async def _status_of_request(node: Program, client: Client) -> int:
    """Send a request, again if the node closes the connection, and return the status of its response."""
    return status(await _ask_until_answered(node, request(), client))


async def _ask_until_answered(node: Program, request_bytes: bytes, client: Client | None = None) -> Message:
    """Send a request, and send it on a new connection if the node closes the one between requests."""
    while True:
        try:
            client = client or await node.client()
            return await client.exchange(request_bytes)
        except (asyncio.IncompleteReadError, OSError):
            client = None


def test_running_out_of_descriptors_causes_no_crash_and_no_busy_loop(tmp_path: Path) -> None:
    """Accept fails if the process may have fewer descriptors than its configuration says."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (30, 30))

    async def test() -> None:
        async with program(configuration(), tmp_path, preexec_fn=limit_descriptors) as node:
            clients = [await node.client() for _ in range(60)]
            pid = node.process.pid
            cpu_before = _cpu_seconds(pid)
            await asyncio.sleep(0.5)
            assert _cpu_seconds(pid) - cpu_before < 0.4
            statuses = await asyncio.gather(*(_status_of_request(node, client) for client in clients))
            assert set(statuses) == {503}  # the node has no servers
            assert node.process.returncode is None

    run(test())


async def _stay_connected(node: Program, checks_readiness: bool) -> None:
    """Keep an idle connection open, and open a new one as soon as the node closes it."""
    while True:
        with suppress(OSError):
            client = await node.client()
            if checks_readiness:
                client.writer.write(UP)
            await client.read_to_end()
            client.writer.close()
        await asyncio.sleep(0)


def _accept_queue_length(node: Program) -> int:
    """Return how many connections in the kernel's queue the node has not accepted yet."""
    port_suffix = f":{node.address[1]:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(row[4].split(":")[1], 16) for row in rows if row[1].endswith(port_suffix) and row[3] == "0A"
    )


def _max_open_descriptors(pid: int) -> int:
    """Return an upper bound for the number of descriptors that the process has had open at once.

    The kernel's table of descriptors grows from 64 to 256 entries, then by powers of two, and never shrinks.
    """
    (line,) = (row for row in Path(f"/proc/{pid}/status").read_text().splitlines() if "FDSize" in row)
    return int(line.split()[1])


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Allow many descriptors: the test's clients need them, and a node could exceed its configured limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("many_descriptors")
@pytest.mark.parametrize(
    ("sockets", "reply_while_down"),
    [(256, b""), (1024, answer(503, b""))],
    ids=["256-silent", "1024-refuses"],
)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_idle_clients_leave_descriptors_to_the_watch_and_to_server_connections(
    sockets: int, reply_while_down: bytes, mode: str, tmp_path: Path
) -> None:
    """Idle clients fill the connection table and the accept queue while discovery is silent or fails.

    Other clients have requests in flight on a third of the descriptors. An update that discovery sends after
    its recovery counts as notified after 6 s, so the backoff between polls must not exceed that.
    """
    release = asyncio.Event()

    async def answer_and_close(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await release.wait()
        writer.write(answer(Connection="close"))  # each request needs a new server connection
        writer.close()

    async def assert_served(node: Program) -> None:
        assert status(await _ask_until_answered(node, request("order"))) == 200

    async def test() -> None:
        async with (
            Discovery() as discovery,
            Server("s-1", answer_and_close) as old_server,
            Server("s-2", answer_and_close) as new_server,
        ):
            document = configuration(discovery=discovery.address)
            document["settings"]["MembershipMode"] = mode
            document["settings"]["Grades"] = [request_class("order", "once", 60_000, 60_000)]
            document["limits"]["sockets"] = sockets
            # The list has many endpoints with the same address, so that the policy admits all requests.
            names = [f"{name}-{number}" for name in ("s-1", "s-2") for number in range(sockets // 8)]
            entries = [
                (old_server if name.startswith("s-1") else new_server).entry() | {"id": name}
                for name in names
            ]
            document["known"]["servers"] = entries[: len(entries) // 2]
            reply_while_up, discovery.reply = discovery.reply, reply_while_down
            async with program(document, tmp_path) as node:
                in_flight_clients: list[Client] = []
                for _ in range(sockets // 3):
                    in_flight_clients.append(await node.client())
                    in_flight_clients[-1].writer.write(request("order", body=b"held"))
                    # The accept queue of the server is short.
                    await until(lambda: len(old_server.seen) >= len(in_flight_clients) - 20)
                await until(lambda: len(old_server.seen) == len(in_flight_clients))
                idle_count = max_client_connections(sockets) - len(in_flight_clients) + 300
                tasks = [
                    asyncio.create_task(_stay_connected(node, slot % 4 == 0)) for slot in range(idle_count)
                ]
                await until(lambda: _accept_queue_length(node) > 150)
                for _ in range(3):
                    await assert_served(node)
                assert old_server.connections == len(old_server.seen) == len(in_flight_clients) + 3
                assert status(await _ask_until_answered(node, UP)) == 200
                await until(lambda: len(discovery.targets) > 3)  # the backoff has grown
                await until(lambda: _accept_queue_length(node) > 50)
                for entry in entries[: len(entries) // 2]:
                    entry["state"] = "Terminating"
                line = json.dumps({"version": 9, "full": False, "servers": entries}).encode() + b"\n"
                # Discovery sends this update at once on each watch.
                discovery.reply = reply_while_up + b"%x\r\n%s\r\n" % (len(line), line)
                recovered_at = monotonic()
                while not new_server.seen:
                    await assert_served(node)
                assert monotonic() - recovered_at < 6
                old_request_count = len(old_server.seen)
                for _ in range(2):
                    await assert_served(node)
                assert (len(old_server.seen), len(new_server.seen)) == (old_request_count, 3)
                assert status(await _ask_until_answered(node, UP)) == 200
                release.set()
                assert {status(await client.read()) for client in in_flight_clients} == {200}
                assert _max_open_descriptors(node.process.pid) <= sockets
                assert node.process.returncode is None
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            assert node.process.stderr is not None
            log = (await node.process.stderr.read()).decode()
            for fault_text in ("Traceback", "EMFILE", "open files", "could not be set up", "action failed"):
                assert fault_text not in log, log

    run(test())


def _cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
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
    ("change", "named_key"),
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
    change: Callable[[dict[str, Any]], None], named_key: str, tmp_path: Path
) -> None:
    """The exit code of the process is 2."""
    document = configuration()
    change(document)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), TEST_TIMEOUT_SECONDS)
        assert process.returncode == 2
        (line,) = stderr.decode().splitlines()
        assert named_key in line

    run(test())


@pytest.mark.parametrize(
    "text", [None, "{", "[]", "[" * 100_000], ids=["no file", "truncated", "list", "nested"]
)
def test_a_missing_or_malformed_configuration_file_is_reported(text: str | None, tmp_path: Path) -> None:
    """A single line contains BALANCER_CONFIG, and the exit code of the process is 2."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), TEST_TIMEOUT_SECONDS)
        assert (process.returncode, stderr.count(b"\n"), b"BALANCER_CONFIG" in stderr) == (2, 1, True)

    run(test())


def test_a_new_process_accepts_no_clients_before_the_first_discovery_update(tmp_path: Path) -> None:
    """The agent's list counts as notified from the start; the configured list may contain drained servers."""

    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as removed, Server("s-2") as listed:
            reply, discovery.reply = discovery.reply, b""
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                host, port = probe.getsockname()
            document = configuration(removed, discovery=discovery.address) | {"listen": f"{host}:{port}"}
            document["settings"]["MembershipMode"] = "pushed"
            path = tmp_path / "config.json"
            path.write_text(json.dumps(document))
            process = await start(path, code=PATIENT_DISCOVERY_CODE)
            try:
                await until(lambda: discovery.targets)
                with pytest.raises(OSError):
                    await asyncio.open_connection(host, port)
                discovery.push_raw(reply)
                discovery.push(9, listed, full=True)
                assert process.stderr is not None
                assert b"serving on" in await asyncio.wait_for(
                    process.stderr.readline(), TEST_TIMEOUT_SECONDS
                )
                client = Client(*await asyncio.open_connection(host, port))
                assert status(await client.exchange(request())) == 200
                assert (len(removed.seen), len(listed.seen)) == (0, 1)
            finally:
                process.kill()
                await process.wait()

    run(test())


def test_a_new_process_serves_from_its_configured_list_if_the_agent_is_silent(tmp_path: Path) -> None:
    """The node waits for the first update for a limited time only."""

    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as server:
            discovery.reply = b""
            document = configuration(server, discovery=discovery.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with program(document, tmp_path) as node:
                assert discovery.targets
                assert status(await (await node.client()).exchange(request())) == 200

    run(test())


@pytest.mark.parametrize("file_state", ["", "half", "missing"])
def test_an_incomplete_configuration_file_is_read_again(file_state: str, tmp_path: Path) -> None:
    """The node retries to read a file that is empty, half written or missing at SIGHUP."""

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as server:
            document = configuration(server, discovery=old.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with program(document, tmp_path) as node:
                path = tmp_path / "config.json"
                text = json.dumps(document | {"discovery": new.address})
                if file_state == "missing":
                    path.unlink()
                else:
                    path.write_text(text[: len(text) // 2] if file_state else "")
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                assert not new.targets
                path.write_text(text)
                async with asyncio.timeout(2.0):
                    await until(lambda: new.targets)
                assert status(await (await node.client()).exchange(request())) == 200

    run(test())


# Runs the node, which sends itself a SIGHUP when it imports a given module, before its event loop runs.
SIGHUP_AT_IMPORT_CODE = """
import os, runpy, signal, sys

class SignalSender:
    def find_spec(self, name, *_):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalSender())
runpy.run_module("moleport", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("module", ["uvloop", "moleport.node.node_factory"])
def test_a_sighup_during_the_start_does_not_end_the_node(module: str, tmp_path: Path) -> None:
    """Guards against the default action of SIGHUP, which ends a process without a handler for the signal."""

    async def test() -> None:
        async with (
            Server("s-1") as server,
            program(
                configuration(server), tmp_path, code=SIGHUP_AT_IMPORT_CODE.format(module=module)
            ) as node,
        ):
            assert status(await (await node.client()).exchange(request())) == 200
            node.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(node.process.wait(), TEST_TIMEOUT_SECONDS) == 0

    run(test())


def test_the_deployed_program_ignores_a_sighup_before_its_first_line() -> None:
    """The shell that starts the program ignores the signal, and the interpreter inherits this setting."""
    deployed_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    probe_command = deployed_command.replace(
        "exec .venv/bin/python -m moleport", "kill -HUP $$; exec echo started"
    )
    assert probe_command != deployed_command
    shell = subprocess.run(["/bin/sh", "-c", probe_command], capture_output=True, text=True, check=True)
    assert shell.stdout == "started\n"
