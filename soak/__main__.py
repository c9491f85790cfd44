"""Runs seeds of the fault soak by `python -m soak`, and prints a line of JSON for each seed.

The exit code is not zero if a rule was violated. A seed determines the faults, but not how the scheduler of
the machine interleaves the processes: run a failing seed again to see how often it fails, and keep its logs
with --keep.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from soak.clients import Client
from soak.nodes import NodeProcess
from soak.oracle import Observations, Violation
from soak.servers import DiscoveryAgent, FaultProxy, Server

NS_PER_MS = 1_000_000
# time after a discovery watch becomes silent by which its node must know the endpoint updates it missed
SILENCE_NOTIFIED_SECONDS = 6.0
# interval at which the process that runs the soak's clients and servers measures its event loop's delay
HEARTBEAT_SECONDS = 0.005
# errno values of the `fail_calls` fault, which makes accept or connect calls of a node fail: ENOMEM, ENFILE,
# EMFILE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ECONNABORTED, ENOBUFS, EHOSTUNREACH
ERROR_NUMBERS = (12, 23, 24, 99, 100, 101, 103, 105, 113)
# time that the run of a seed may take in addition to its load, for the start and the shutdown of the nodes
MAX_END_SECONDS = 30.0
CROWDED_RUNS_RATIO = 0.3  # probability that crowds of idle clients are among the faults of a seed
CROWD_CLIENT_COUNT = 200  # number of idle clients in a crowd, which connect to one node with 256 descriptors
# steps in ms, of which a `step_clocks` fault adds a random one to the wall clocks of all nodes
CLOCK_STEPS_MS = (-3_600_000, -2_000, 2_000, 3_600_000)


def request_class(name: str, semantics: str) -> dict[str, Any]:
    """Return the configuration of a request class, with the keys of the platform's protocol."""
    return {
        "Aim": 1500 * NS_PER_MS,
        "Deadline": 2500 * NS_PER_MS,
        "Group": "all",
        "LateShare": 0.2,
        "MemorySpan": 1000 * NS_PER_MS,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": 1.0,
    }


def shared_configuration(node_count: int) -> dict[str, Any]:
    """Return the part of the configuration that is the same for all nodes."""
    settings = {
        "Contract": {
            "AskWithin": 10_000 * NS_PER_MS,
            "Cold": 1500 * NS_PER_MS,
            "ColdShare": 0.4,
            "StopSendingWithin": 500 * NS_PER_MS,
            "FallMultiple": 4.0,
        },
        "Feedback": {"Fields": [], "How": "none"},
        "Grades": [request_class("page", "repeatable"), request_class("order", "once")],
        "Kinds": ["box"],
        "Zones": ["a", "b"],
        "Tenants": [],
        "MembershipMode": "pushed",
        "MyZone": 0,
        "Limits": {
            "DialTimeout": 500 * NS_PER_MS,
            "IdleClose": 3000 * NS_PER_MS,
            "MaxRetryAfter": 300 * NS_PER_MS,
            "OpenCap": 2000,
            "RetryAfter": True,
            "SendCap": 3,
        },
        "PeersTotal": node_count,
        "WorthBy": "request",
    }
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
    return {"seed": "8c1f30d27a5be964", "limits": limits, "settings": settings}


class Soak:
    """The run of one seed: nodes, servers and clients, and overlapping faults."""

    def __init__(self, seed: int, node_count: int, load_seconds: float, folder: Path) -> None:
        self.observations = Observations()
        self.fault_counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._load_seconds = load_seconds
        self._has_crowds = self._random.random() < CROWDED_RUNS_RATIO
        self._servers = [Server(f"s-{n}", self.observations, seed + n) for n in range(max(6, node_count))]
        self._proxies = [FaultProxy(server) for server in self._servers]
        document = shared_configuration(node_count)
        self._nodes = [NodeProcess(f"n{n}", folder, document, self.observations) for n in range(node_count)]
        self._document = document
        self._version = 10
        self._fault_tasks: set[asyncio.Task[None]] = set()
        # names of nodes with an active `restart`, `reload` or `lose_agent` fault (at most one per node)
        self._busy_nodes: set[str] = set()
        self._wall_offset_ms = 0

    # Methods that build and publish endpoint lists, and calculate when a node must know a published change

    def _list_entry(self, proxy: FaultProxy) -> dict[str, Any]:
        server = proxy.server
        return {
            "id": server.name,
            "addr": f"127.0.0.1:{proxy.port}",
            "zone": "ab"[proxy.port % 2],
            "kind": "box",
            "cell": 0,
            "state": server.state,
            "weight": 1.0,
            "started_ms": server.started_ms,
        }

    def _publish(self, proxy: FaultProxy) -> None:
        self._version += 1
        for node in self._nodes:
            for agent in node.agents:
                self._send_list(agent, self._list_entry(proxy))

    def _send_list(self, agent: DiscoveryAgent, *changed: dict[str, Any]) -> None:
        if not agent.is_down:
            complete = [self._list_entry(proxy) for proxy in self._proxies if proxy.server.state != "Gone"]
            agent.publish(self._version, complete, list(changed))

    def _notified_at(self, node: NodeProcess, now: float) -> float:
        """Return the monotonic time by which a node must know an endpoint change published at `now`."""
        agent = node.agents[node.agent_index]
        notified_at = max(now, node.notified_from)
        if agent.silent_since is not None:
            notified_at = max(notified_at, agent.silent_since + SILENCE_NOTIFIED_SECONDS)
        return notified_at

    # Methods that inject one fault each, and are named like the fault in the report of the soak

    async def _retire(self, proxy: FaultProxy) -> None:
        """Drain and remove a server, and add it again in slow start."""
        server = proxy.server
        now = time.monotonic()
        notified_at = {node.name: self._notified_at(node, now) for node in self._nodes}
        uninformed_nodes = {node.name for node in self._nodes if node.agents[node.agent_index].is_down}
        server.state = "Terminating"
        self._publish(proxy)
        await asyncio.sleep(self._random.uniform(1.0, 2.5))
        server.state = "Gone"
        self._publish(proxy)
        await asyncio.sleep(0.7)
        server.reset_connections()
        removal_end = time.monotonic()
        for node in self._nodes:
            if node.name not in uninformed_nodes:
                self.observations.removals.append(
                    (node.name, server.name, max(notified_at[node.name], node.notified_from), removal_end)
                )
        server.state, server.started_ms = "Ready", time.time_ns() // NS_PER_MS + self._wall_offset_ms
        self._publish(proxy)

    async def _misbehave(self, proxy: FaultProxy) -> None:
        """Give a server a random behaviour other than `serve` for a while."""
        proxy.server.behaviour = self._random.choice(Server.BEHAVIOURS[1:])
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        proxy.server.behaviour = "serve"

    async def _cut(self, proxy: FaultProxy) -> None:
        """Inject a random fault of a server's proxy for a while, then reset the server's connections."""
        proxy.fault = self._random.choice(("silent", "refuse"))
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        proxy.fault = ""
        proxy.server.reset_connections()

    async def _hold(self, node: NodeProcess) -> None:
        """Stop a node's process by SIGSTOP and continue it, one to three times."""
        for _ in range(self._random.randrange(1, 4)):
            await node.hold(self._random.uniform(0.03, 0.4))
            await asyncio.sleep(self._random.uniform(0.0, 0.2))

    async def _restart(self, node: NodeProcess) -> None:
        """Restart a node by SIGTERM, or by SIGKILL in three of ten cases."""
        await node.restart(kill=self._random.random() < 0.3, random=self._random)

    async def _reload(self, node: NodeProcess) -> None:
        """Reload a node with its other agent; in half of the cases the new file is half written at first."""
        await node.reload(half_written=self._random.random() < 0.5, random=self._random)

    async def _crowd(self, node: NodeProcess) -> None:
        """Use up a node's descriptors by the connections of idle clients for a while."""
        writers = []
        for _ in range(CROWD_CLIENT_COUNT):
            with suppress(OSError):
                writers.append((await asyncio.open_connection("127.0.0.1", node.port))[1])
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        for writer in writers:
            writer.close()

    async def _fail_calls(self, node: NodeProcess) -> None:
        """Make a node's accept or connect calls fail with a random error number for a while."""
        field = self._random.choice(("accept_errno", "connect_errno"))
        node.faults.set(**{field: self._random.choice(ERROR_NUMBERS)})
        await asyncio.sleep(self._random.uniform(0.05, 0.5))
        node.faults.set(**{field: 0})

    async def _step_clocks(self, _: NodeProcess) -> None:
        """Step the wall clocks of all nodes by one random value of `CLOCK_STEPS_MS`."""
        self._wall_offset_ms += self._random.choice(CLOCK_STEPS_MS)
        for node in self._nodes:
            node.faults.set(wall_offset_ms=self._wall_offset_ms)

    async def _lose_agent(self, node: NodeProcess) -> None:
        """Reset or silence the watches of a node's discovery agent, or shut the agent down for a while."""
        agent = node.agents[node.agent_index]
        fault = self._random.choice(("drop", "silent", "down"))
        if fault == "drop":
            agent.reset_watches()
        elif fault == "silent":
            agent.silence_watches()
        else:
            agent.is_down = True
            agent.reset_watches()
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            agent.is_down = False
            self._send_list(agent)

    async def _run_exclusively(
        self, node: NodeProcess, fault: Callable[[NodeProcess], Awaitable[None]]
    ) -> None:
        """Inject a fault at a node unless another exclusive fault is active at the node."""
        if node.name not in self._busy_nodes:
            self._busy_nodes.add(node.name)
            await fault(node)
            self._busy_nodes.discard(node.name)

    def _inject_fault(self) -> None:
        """Start a random fault at a random node or server, without waiting for the fault's end."""
        node = self._random.choice(self._nodes)
        proxy = self._random.choice(self._proxies)
        faults: list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]] = [
            ("retire", lambda: self._retire(proxy)),
            ("misbehave", lambda: self._misbehave(proxy)),
            ("misbehave", lambda: self._misbehave(proxy)),
            ("cut", lambda: self._cut(proxy)),
            ("hold", lambda: self._hold(node)),
            ("hold", lambda: self._hold(node)),
            ("restart", lambda: self._run_exclusively(node, self._restart)),
            ("reload", lambda: self._run_exclusively(node, self._reload)),
            ("fail_calls", lambda: self._fail_calls(node)),
            ("fail_calls", lambda: self._fail_calls(node)),
            ("step_clocks", lambda: self._step_clocks(node)),
            ("lose_agent", lambda: self._run_exclusively(node, self._lose_agent)),
        ]
        if self._has_crowds:
            faults.append(("crowd", lambda: self._crowd(node)))
        name, fault = self._random.choice(faults)
        if name == "retire" and proxy.server.state != "Ready":
            return
        self.fault_counts[name] += 1
        task = asyncio.create_task(fault())
        self._fault_tasks.add(task)

    async def _measure_lag(self) -> None:
        """Record the longest delay of the driver's event loop."""
        while True:
            due = time.monotonic() + HEARTBEAT_SECONDS
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.observations.max_lag_seconds = max(self.observations.max_lag_seconds, time.monotonic() - due)

    # Methods that run a seed, kill all node processes, and return the figures of the run

    def kill_all(self) -> None:
        """Kill all node processes."""
        for node in self._nodes:
            node.kill()

    async def run(self) -> list[Violation]:
        """Run the seed, and return the violations of all rules."""
        for server, proxy in zip(self._servers, self._proxies, strict=True):
            await server.start()
            await proxy.start()
        entries = [self._list_entry(proxy) for proxy in self._proxies]
        # A node that restarts during the run reads, as its cached list, the endpoint list of the run's start.
        self._document["known"] = {"version": 5, "full": True, "servers": entries}
        for node in self._nodes:
            for agent in node.agents:
                await agent.start()
                self._send_list(agent)
        await asyncio.gather(*(node.start() for node in self._nodes))
        lag_task = asyncio.create_task(self._measure_lag())
        end = time.monotonic() + self._load_seconds
        clients = [
            Client(node, self.observations, self._random.randrange(1 << 30)) for node in self._nodes * 8
        ]
        client_tasks = [asyncio.create_task(client.run(end)) for client in clients]
        while time.monotonic() < end - 4.0:
            await asyncio.sleep(self._random.uniform(0.05, 0.4))
            self._inject_fault()
        await asyncio.gather(*self._fault_tasks)
        await asyncio.gather(*client_tasks)
        await asyncio.gather(*(node.end() for node in self._nodes))
        lag_task.cancel()
        for node in self._nodes:
            node.read_log()
        violations = [violation for node in self._nodes for violation in node.violations]
        slow_count = sum(client.slow_invalid_client_count for client in clients)
        if slow_count:
            violations.append(
                Violation(
                    "bad client",
                    "",
                    f"{slow_count} invalid requests had neither a response nor a closed connection in time",
                )
            )
        return violations + list(self.observations.violations())

    def report(self) -> dict[str, Any]:
        """Return the figures of the run, by their keys in the printed JSON."""
        statuses = Counter(
            str(request.status)
            for request in self.observations.requests.values()
            if request.disconnected_at is None
        )
        return {
            "requests": len(self.observations.requests),
            "statuses": dict(statuses),
            "faults": dict(self.fault_counts),
            "attempts": sum(map(len, self.observations.attempts.values())),
            "slack": round(self.observations.max_lag_seconds, 3),
        }


def _handle_loop_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Report an exception in a callback of the event loop, unless it is a cancellation at the run's end."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def run_seed(
    seed: int, node_count: int, load_seconds: float, folder: Path
) -> tuple[dict[str, Any], list[Violation]]:
    """Run one seed; return the report and the violations of the run."""
    asyncio.get_running_loop().set_exception_handler(_handle_loop_exception)
    soak = Soak(seed, node_count, load_seconds, folder)
    try:
        async with asyncio.timeout(load_seconds + MAX_END_SECONDS):
            violations = await soak.run()
    finally:
        soak.kill_all()
    return soak.report(), violations


def main() -> int:
    """Run the seeds that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 3), metavar=("FIRST", "LAST"))
    parser.add_argument("--nodes", type=int, default=10, help="number of node processes (default: 10)")
    parser.add_argument(
        "--span", type=float, default=20.0, help="seconds of load for each seed (default: 20)"
    )
    parser.add_argument(
        "--keep",
        type=Path,
        help="folder to which the files of each run, with the logs of the nodes, are copied",
    )
    options = parser.parse_args()
    failed_seed_count = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report, violations = runner.run(run_seed(seed, options.nodes, options.span, folder))
        violation_counts = Counter(violation.rule for violation in violations)
        print(json.dumps({"seed": seed, "violations": dict(violation_counts), **report}), flush=True)
        for violation in violations[:20]:
            print(f"  {violation.rule} {violation.subject}: {violation.detail}", file=sys.stderr)
        failed_seed_count += bool(violations)
        if options.keep:
            shutil.copytree(folder, options.keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    return 1 if failed_seed_count else 0


if __name__ == "__main__":
    sys.exit(main())
