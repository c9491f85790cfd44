"""Measures what an endpoint list costs the node: bytes, processor time, stalls of its loop, and memory."""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import sys
import tracemalloc
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from threading import Thread
from time import perf_counter, thread_time
from typing import Any

import uvloop

from moleport.config.endpoints import DiscoveredEndpoint, DiscoveryUpdate, parse_update
from moleport.config.node_config import Config, load
from moleport.node.connection_pools import ConnectionPools
from moleport.node.discovery_client import DiscoveryClient, WatchLimits
from moleport.node.discovery_watch import WatchConnection, WatchFailure
from moleport.node.hold_detector import HoldDetector
from moleport.node.name_hashing import hash_name
from moleport.node.node_factory import build_node
from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.telemetry import Telemetry

SIZES = (60, 200, 1000, 3600, 7200)
SMOKE_SIZES = (60, 200)
RUN_COUNT, SMOKE_RUN_COUNT = 7, 2
READ_BYTES = 64 << 10  # that one read from a socket returns
MAX_STALL_MS = 50.0  # of the node's event loop
MAX_DELTA_MS = 1.0  # processor time of the node, without the policy
TIMEOUT_SECONDS = 30.0

SETTINGS: dict[str, Any] = {
    "Contract": {"AskWithin": 10**10, "Cold": 10**9, "ColdShare": 0.5, "StopSendingWithin": 5 * 10**8},
    "Feedback": {"Fields": [], "How": "none"},
    "Grades": [
        {
            "Aim": 10**9,
            "Deadline": 10**9,
            "Group": "all",
            "LateShare": 0.0,
            "MemorySpan": 0,
            "Name": "page",
            "Semantics": "repeatable",
            "Stream": False,
            "Worth": 1.0,
        }
    ],
    "Kinds": ["m0", "m1"],
    "Zones": ["zone-a", "zone-b", "zone-c"],
    "Tenants": [],
    "MembershipMode": "pushed",
    "Limits": {
        "DialTimeout": 10**9,
        "IdleClose": 10**10,
        "MaxRetryAfter": 10**9,
        "OpenCap": 20000,
        "RetryAfter": True,
        "SendCap": 3,
    },
    "PeersTotal": 200,
    "WorthBy": "request",
}


def entry(number: int) -> dict[str, Any]:
    """Return the entry of one server as discovery writes it."""
    return {
        "id": f"s-{number * 2654435761 % (1 << 32):08x}",
        "addr": f"10.{number >> 14}.{number >> 7 & 127}.{number & 127}:3000",
        "zone": f"zone-{'abc'[number % 3]}",
        "kind": f"m{number % 2}",
        "cell": number % 8,
        "state": "Ready",
        "weight": 1.0,
        "started_ms": 1_700_000_000_000 + 977 * number,
    }


def update_text(version: int, full: bool, numbers: range | list[int]) -> bytes:
    """Return an update with the servers of these numbers as discovery writes it."""
    entries = [entry(number) for number in numbers]
    return json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n"


def endpoints(size: int) -> tuple[DiscoveredEndpoint, ...]:
    """Return the parsed entries of a list of `size` servers."""
    return parse_update(json.loads(update_text(1, True, range(size)))).endpoints


def configuration(discovery: str) -> Config:
    """Return the configuration of a node that knows no server."""
    document = {
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "settings": SETTINGS,
        "known": {"version": 0, "full": True, "servers": []},
    }
    with TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(document))
        return load({"BALANCER_CONFIG": str(path)})


class Agent:
    """A discovery agent that writes on a thread of its own, whose processor time is not counted."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._watch: socket.socket | None = None

    def accept_watch(self) -> None:
        """Wait until the node has opened its watch; blocks."""
        self._listener.settimeout(TIMEOUT_SECONDS)
        self._watch, _ = self._listener.accept()
        self._watch.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while b"\r\n\r\n" not in self._watch.recv(4096):
            pass
        self._watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def push(self, data: bytes) -> None:
        """Send an update; does not block."""
        assert self._watch is not None
        writing = Thread(target=self._watch.sendall, args=(b"%x\r\n%s\r\n" % (len(data), data),))
        writing.start()

    def close(self) -> None:
        """Close the watch and the listening socket."""
        if self._watch is not None:
            self._watch.close()
        self._listener.close()


class _NullPolicy:
    """A policy that does nothing, to measure the node without the policy."""

    def start(self, now: int) -> list[api.Action]:
        return []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        return []


class IterationTimer:
    """Measures the processor time of each loop iteration; the loop does not sleep meanwhile."""

    def __init__(self) -> None:
        self._longest_seconds = 0.0  # processor time of this thread
        self._loop = asyncio.get_running_loop()
        self._running = True
        self._last_seconds = thread_time()
        self._loop.call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        now = thread_time()
        self._longest_seconds = max(self._longest_seconds, now - self._last_seconds)
        self._last_seconds = now
        if self._running:
            self._loop.call_soon(self._on_iteration)

    def stop(self) -> float:
        """Stop, and return the longest iteration in ms."""
        self._on_iteration()
        self._running = False
        return self._longest_seconds * 1e3


async def loop_stalls_ms(size: int, with_policy: bool) -> dict[str, float]:
    """Return the longest stall of a node's loop for each kind of update, and the time until it is applied.

    The updates are a snapshot of new servers, one with a tenth of them replaced, and a delta of one server,
    received over loopback. Stalls are in ms of processor time of the node's thread; the times until an update
    is applied are in ms of wall-clock time from its first byte. Unless `with_policy` is set, the policy does
    nothing.
    """
    agent = Agent()
    node, _ = build_node(configuration(agent.address))
    if not with_policy:
        node._balancer = _NullPolicy()  # type: ignore[assignment]
    # A running node does the same: the garbage collector does not traverse the objects of the start.
    gc.collect()
    gc.freeze()
    node.start()
    await asyncio.get_running_loop().run_in_executor(None, agent.accept_watch)
    replaced_count = max(1, size // 10)
    measurements = {}
    for version, name, numbers in (
        (2, "snapshot", range(size)),
        (3, "tenth replaced", range(replaced_count, size + replaced_count)),
        (4, "delta", [size + replaced_count]),
    ):
        data = update_text(version, version < 4, numbers)
        iterations = IterationTimer()
        started_at = perf_counter()
        agent.push(data)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while (
                node.endpoint_list.discovery._source.version < version
                or node.endpoint_list._pending_endpoints
            ):
                await asyncio.sleep(0)
        measurements[f"{name} applied"] = (perf_counter() - started_at) * 1e3
        measurements[name] = iterations.stop()
        assert hash_name(entry(numbers[-1])["id"]) in node._ready_endpoint_ids
        assert len(node._ready_endpoint_ids) == size + (version == 4)
    node.endpoint_list.discovery.close()
    agent.close()
    gc.unfreeze()
    return measurements


class _UpdateCollector:
    """An observer of discovery that keeps the updates."""

    def __init__(self) -> None:
        self.updates: list[DiscoveryUpdate] = []

    def on_update(self, update: DiscoveryUpdate) -> None:
        self.updates.append(update)

    def on_watch_failed(self, failure: WatchFailure) -> None:
        pass

    def on_data(self) -> None:
        pass


async def snapshot_cpu_ms(size: int) -> float:
    """Return the processor time from a snapshot's bytes to its entries, in ms."""
    data = update_text(2, True, range(size))
    observer = _UpdateCollector()
    hold_detector = HoldDetector(Telemetry(trace=False))
    limits = WatchLimits.of_mode(api.DiscoveryMode.PUSH)
    discovery = DiscoveryClient(("127.0.0.1", 1), 0, observer, hold_detector, limits)
    watch = WatchConnection(discovery, discovery._source)
    discovery._watches.append(watch)
    started_at = thread_time()
    for begin in range(0, len(data), READ_BYTES):
        watch.on_body(data[begin : begin + READ_BYTES])
    discovery._parser.finish()
    cpu_seconds = thread_time() - started_at
    discovery.close()
    assert len(observer.updates[0].endpoints) == size
    return cpu_seconds * 1e3


async def delta_cpu_ms(size: int, with_policy: bool) -> float:
    """Return the median processor time of twenty deltas of one server each, from bytes to applied, in ms."""
    node, _ = build_node(configuration("127.0.0.1:1"))
    if not with_policy:
        node._balancer = _NullPolicy()  # type: ignore[assignment]
    node.endpoint_list.on_update(DiscoveryUpdate(1, True, endpoints(size)))
    while len(node._ready_endpoint_ids) < size:
        await asyncio.sleep(0)
    discovery = node.endpoint_list.discovery
    watch = WatchConnection(discovery, discovery._source)
    discovery._watches.append(watch)
    measurements = []
    for number in range(20):
        data = update_text(2 + number, False, [size + number])
        started_at = thread_time()
        watch.on_body(data)
        measurements.append(thread_time() - started_at)
    discovery.close()
    assert len(node._ready_endpoint_ids) == size + 20
    return median(measurements) * 1e3


@contextmanager
def allocated_bytes(measurements: dict[str, float], name: str, size: int) -> Iterator[None]:
    """Record how many bytes a server the block allocates and does not free."""
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    yield
    gc.collect()
    measurements[name] = (tracemalloc.get_traced_memory()[0] - before) / size


async def memory_bytes_per_server(size: int) -> dict[str, float]:
    """Return the memory in bytes a server of a node without its policy, of parts of it, and of the policy."""
    measurements: dict[str, float] = {}
    tracemalloc.start()
    try:
        node, _ = build_node(configuration("127.0.0.1:1"))
        node._balancer = _NullPolicy()  # type: ignore[assignment]
        with allocated_bytes(measurements, "the node's side", size):
            node.endpoint_list.on_update(DiscoveryUpdate(1, True, endpoints(size)))
            while len(node._ready_endpoint_ids) < size:
                await asyncio.sleep(0)
        pools = ConnectionPools(100, 10**9, 10**9)
        balancer = Balancer(node._config.policy_settings, 1)
        with allocated_bytes(measurements, "entries", size):
            entries = endpoints(size)
        servers = tuple(node.endpoint_list._to_policy_endpoint(listed) for listed in entries)
        with allocated_bytes(measurements, "pools", size):
            for listed, server in zip(entries, servers, strict=True):
                pools.add_endpoint(server.id, listed.address, server.started_at_ns)
        with allocated_bytes(measurements, "module", size):
            balancer.handle(1, api.EndpointUpdate(api.EndpointUpdateKind.SNAPSHOT, servers))
    finally:
        tracemalloc.stop()
    return measurements


def _run(measurement: Callable[..., Coroutine[Any, Any, Any]], *arguments: Any) -> Any:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(measurement(*arguments))


def measure(smoke: bool) -> list[dict[str, Any]]:
    """Return rows with the keys name, size (servers), value, unit, bound (or None) and why.

    A value is the median of several runs, except bytes, which are the same in each run. The bounds are
    required of the longest list, and are applied to all. Times are processor times of the node's thread,
    unless the row says otherwise. `smoke` runs the smallest sizes.
    """
    run_count = SMOKE_RUN_COUNT if smoke else RUN_COUNT
    return [row for size in (SMOKE_SIZES if smoke else SIZES) for row in _rows(size, run_count)]


def _rows(size: int, run_count: int) -> Iterator[dict[str, Any]]:
    snapshot_bytes = len(update_text(2, True, range(size)))
    yield _row("list: whole", size, snapshot_bytes, "bytes", None, "what discovery has to carry to a node")
    yield _row(
        "list: reading a whole one",
        size,
        _median_of_runs(run_count, snapshot_cpu_ms, size),
        "ms",
        None,
        "from bytes to entries, all slices together",
    )
    for subject, with_policy in (("node", False), ("node and module", True)):
        yield from _update_rows(size, run_count, subject, with_policy)
    for part, value in _run(memory_bytes_per_server, size).items():
        yield _row(
            f"list: memory, {part}", size, value, "bytes a server", None, "held for as long as it is listed"
        )


def _update_rows(size: int, run_count: int, subject: str, with_policy: bool) -> Iterator[dict[str, Any]]:
    """Yield the rows of updates, with or without the policy."""
    measurements = [_run(loop_stalls_ms, size, with_policy) for _ in range(run_count)]
    for key, description in (
        ("snapshot", "a whole one"),
        ("tenth replaced", "a tenth replaced"),
        ("delta", "a change of one"),
    ):
        yield _row(
            f"list: longest stop, {description}, {subject}",
            size,
            median(run[key] for run in measurements),
            "ms",
            MAX_STALL_MS,
            "a request that comes meanwhile waits so long",
        )
    yield _row(
        f"list: until a whole one is told, {subject}",
        size,
        median(run["snapshot applied"] for run in measurements),
        "ms",
        None,
        "by the clock, from its first byte to its last slice",
    )
    yield _row(
        f"list: a change of one, {subject}",
        size,
        _median_of_runs(run_count, delta_cpu_ms, size, with_policy),
        "ms",
        None if with_policy else MAX_DELTA_MS,
        "must not grow with the list",
    )


def _median_of_runs(
    run_count: int, measurement: Callable[..., Coroutine[Any, Any, float]], *arguments: Any
) -> float:
    measurements: list[float] = [_run(measurement, *arguments) for _ in range(run_count)]
    return median(measurements)


def _row(name: str, size: int, value: float, unit: str, bound: float | None, why: str) -> dict[str, Any]:
    return {
        "name": name,
        "size": size,
        "value": round(value, 4),
        "unit": unit,
        "bound": bound,
        "why": why,
    }


if __name__ == "__main__":
    for row in measure(smoke="--smoke" in sys.argv):
        print(f"{row['name']:56} {row['size']:6} {row['value']:12.3f} {row['unit']}", flush=True)
