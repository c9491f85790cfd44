"""`python -m soak`: runs seeds of the fault soak and prints a line of JSON for each; non-zero on a violation.

A seed decides the faults, not what the machine's scheduler makes of them: a failing seed is played again to
see how often it fails, and its logs are kept with --keep.
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
from soak.oracle import Record, Violation
from soak.servers import Agent, FaultProxy, Server

MS = 1_000_000  # ns
SILENCE_NOTIFIED_SECONDS = 6.0  # after a watch falls silent, what it misses counts as notified
HEARTBEAT_SECONDS = 0.005  # s, of the driver, which so measures its own lateness
ERRNOS = (12, 23, 24, 99, 100, 101, 103, 105, 113)  # ENOMEM to EHOSTUNREACH, as a node's own faults
MAX_END_SECONDS = 30.0  # s after the load
CROWDED_RUNS_RATIO = 0.3
CROWD_CLIENT_COUNT = 200  # of a node with 256 descriptors
STEPS_MS = (-3_600_000, -2_000, 2_000, 3_600_000)


def request_class(name: str, semantics: str) -> dict[str, Any]:
    """Return a request class in the protocol's words."""
    return {
        "Aim": 1500 * MS,
        "Deadline": 2500 * MS,
        "Group": "all",
        "LateShare": 0.2,
        "MemorySpan": 1000 * MS,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": 1.0,
    }


def configuration(nodes: int) -> dict[str, Any]:
    """Return the part of the configuration that all nodes share."""
    settings = {
        "Contract": {
            "AskWithin": 10_000 * MS,
            "Cold": 1500 * MS,
            "ColdShare": 0.4,
            "StopSendingWithin": 500 * MS,
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
            "DialTimeout": 500 * MS,
            "IdleClose": 3000 * MS,
            "MaxRetryAfter": 300 * MS,
            "OpenCap": 2000,
            "RetryAfter": True,
            "SendCap": 3,
        },
        "PeersTotal": nodes,
        "WorthBy": "request",
    }
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 256}
    return {"seed": "8c1f30d27a5be964", "limits": limits, "settings": settings}


class Soak:
    """One seed: nodes, servers and clients, and the faults that overlap."""

    def __init__(self, seed: int, nodes: int, span: float, folder: Path) -> None:
        self.record = Record()
        self.faults: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._span = span
        self._has_crowds = self._random.random() < CROWDED_RUNS_RATIO
        self._servers = [Server(f"s-{n}", self.record, seed + n) for n in range(max(6, nodes))]
        self._proxies = [FaultProxy(server) for server in self._servers]
        document = configuration(nodes)
        self._nodes = [NodeProcess(f"n{n}", folder, document, self.record) for n in range(nodes)]
        self._document = document
        self._version = 10
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()  # nodes that are being restarted or reloaded
        self._offset_ms = 0

    # The list.

    def _entry(self, proxy: FaultProxy) -> dict[str, Any]:
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
                self._inform(agent, self._entry(proxy))

    def _inform(self, agent: Agent, *changed: dict[str, Any]) -> None:
        if not agent.down:
            complete = [self._entry(proxy) for proxy in self._proxies if proxy.server.state != "Gone"]
            agent.hold(self._version, complete, list(changed))

    def _notified_at(self, node: NodeProcess, now: float) -> float:
        """Return when a change that is published now counts as notified to a node."""
        agent = node.agents[node.agent]
        at = max(now, node.notified_from)
        if agent.silent_since is not None:
            at = max(at, agent.silent_since + SILENCE_NOTIFIED_SECONDS)
        return at

    # The faults.

    async def _retire(self, proxy: FaultProxy) -> None:
        """Drain and remove a server, and bring it back in slow start."""
        server = proxy.server
        now = time.monotonic()
        notified_at = {node.name: self._notified_at(node, now) for node in self._nodes}
        down = {node.name for node in self._nodes if node.agents[node.agent].down}
        server.state = "Terminating"
        self._publish(proxy)
        await asyncio.sleep(self._random.uniform(1.0, 2.5))
        server.state = "Gone"
        self._publish(proxy)
        await asyncio.sleep(0.7)
        server.stop_all()
        until = time.monotonic()
        for node in self._nodes:
            if node.name not in down:
                self.record.removals.append(
                    (node.name, server.name, max(notified_at[node.name], node.notified_from), until)
                )
        server.state, server.started_ms = "Ready", time.time_ns() // MS + self._offset_ms
        self._publish(proxy)

    async def _misbehave(self, proxy: FaultProxy) -> None:
        proxy.server.behaviour = self._random.choice(Server.behaviours[1:])
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        proxy.server.behaviour = "serve"

    async def _cut(self, proxy: FaultProxy) -> None:
        proxy.fault = self._random.choice(("silent", "refuse"))
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        proxy.fault = ""
        proxy.server.stop_all()

    async def _hold(self, node: NodeProcess) -> None:
        for _ in range(self._random.randrange(1, 4)):
            await node.hold(self._random.uniform(0.03, 0.4))
            await asyncio.sleep(self._random.uniform(0.0, 0.2))

    async def _restart(self, node: NodeProcess) -> None:
        await node.restart(kill=self._random.random() < 0.3, random=self._random)

    async def _reload(self, node: NodeProcess) -> None:
        await node.reload(half_written=self._random.random() < 0.5, random=self._random)

    async def _crowd(self, node: NodeProcess) -> None:
        """Idle clients take the node's descriptors for a while."""
        writers = []
        for _ in range(CROWD_CLIENT_COUNT):
            with suppress(OSError):
                writers.append((await asyncio.open_connection("127.0.0.1", node.port))[1])
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        for writer in writers:
            writer.close()

    async def _fail_calls(self, node: NodeProcess) -> None:
        field = self._random.choice(("accept_errno", "connect_errno"))
        node.faults.set(**{field: self._random.choice(ERRNOS)})
        await asyncio.sleep(self._random.uniform(0.05, 0.5))
        node.faults.set(**{field: 0})

    async def _step_clocks(self, _: NodeProcess) -> None:
        self._offset_ms += self._random.choice(STEPS_MS)
        for node in self._nodes:
            node.faults.set(wall_offset_ms=self._offset_ms)

    async def _lose_agent(self, node: NodeProcess) -> None:
        agent = node.agents[node.agent]
        fault = self._random.choice(("drop", "silent", "down"))
        if fault == "drop":
            agent.drop()
        elif fault == "silent":
            agent.fall_silent()
        else:
            agent.down = True
            agent.drop()
            await asyncio.sleep(self._random.uniform(0.5, 2.0))
            agent.down = False
            self._inform(agent)

    async def _exclusively(self, node: NodeProcess, what: Callable[[NodeProcess], Awaitable[None]]) -> None:
        """Inject a fault unless another that excludes it is under way at the node."""
        if node.name not in self._busy:
            self._busy.add(node.name)
            await what(node)
            self._busy.discard(node.name)

    def _inject_fault(self) -> None:
        node = self._random.choice(self._nodes)
        server = self._random.choice(self._proxies)
        faults: list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]] = [
            ("retire", lambda: self._retire(server)),
            ("misbehave", lambda: self._misbehave(server)),
            ("misbehave", lambda: self._misbehave(server)),
            ("cut", lambda: self._cut(server)),
            ("hold", lambda: self._hold(node)),
            ("hold", lambda: self._hold(node)),
            ("restart", lambda: self._exclusively(node, self._restart)),
            ("reload", lambda: self._exclusively(node, self._reload)),
            ("fail_calls", lambda: self._fail_calls(node)),
            ("fail_calls", lambda: self._fail_calls(node)),
            ("step_clocks", lambda: self._step_clocks(node)),
            ("lose_agent", lambda: self._exclusively(node, self._lose_agent)),
        ]
        if self._has_crowds:
            faults.append(("crowd", lambda: self._crowd(node)))
        name, fault = self._random.choice(faults)
        if name == "retire" and server.server.state != "Ready":
            return
        self.faults[name] += 1
        task = asyncio.create_task(fault())
        self._tasks.add(task)

    async def _measure_slack(self) -> None:
        while True:
            due = time.monotonic() + HEARTBEAT_SECONDS
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.record.slack = max(self.record.slack, time.monotonic() - due)

    # The run.

    def kill_all(self) -> None:
        """Kill all node processes."""
        for node in self._nodes:
            node.kill()

    async def run(self) -> list[Violation]:
        """Play the seed, and return the violations of all rules."""
        for server, proxy in zip(self._servers, self._proxies, strict=True):
            await server.start()
            await proxy.start()
        known = [self._entry(proxy) for proxy in self._proxies]
        self._document["known"] = {"version": 5, "full": True, "servers": known}  # outdated, as time goes on
        for node in self._nodes:
            for agent in node.agents:
                await agent.start()
                self._inform(agent)
        await asyncio.gather(*(node.start() for node in self._nodes))
        beat = asyncio.create_task(self._measure_slack())
        end = time.monotonic() + self._span
        clients = [Client(node, self.record, self._random.randrange(1 << 30)) for node in self._nodes * 8]
        client_tasks = [asyncio.create_task(client.run(end)) for client in clients]
        while time.monotonic() < end - 4.0:
            await asyncio.sleep(self._random.uniform(0.05, 0.4))
            self._inject_fault()
        await asyncio.gather(*self._tasks)
        await asyncio.gather(*client_tasks)
        await asyncio.gather(*(node.end() for node in self._nodes))
        beat.cancel()
        for node in self._nodes:
            node.read_log()
        own = [violation for node in self._nodes for violation in node.violations]
        slow = sum(client.slow_invalid_client_count for client in clients)
        if slow:
            own.append(Violation("bad client", "", f"{slow} got neither an error nor a close in time"))
        return own + list(self.record.violations())

    def report(self) -> dict[str, Any]:
        """Return the figures of the run."""
        statuses = Counter(
            str(request.status) for request in self.record.requests.values() if request.left is None
        )
        return {
            "requests": len(self.record.requests),
            "statuses": dict(statuses),
            "faults": dict(self.faults),
            "attempts": sum(map(len, self.record.attempts.values())),
            "slack": round(self.record.slack, 3),
        }


def _report_fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Handlers that are cancelled as the run ends are no faults."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def play(seed: int, nodes: int, span: float, folder: Path) -> tuple[dict[str, Any], list[Violation]]:
    """Play one seed; return its report and its violations."""
    asyncio.get_running_loop().set_exception_handler(_report_fault)
    soak = Soak(seed, nodes, span, folder)
    try:
        async with asyncio.timeout(span + MAX_END_SECONDS):
            violations = await soak.run()
    finally:
        soak.kill_all()
    return soak.report(), violations


def main() -> int:
    """Play the seeds that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 3), metavar=("FIRST", "LAST"))
    parser.add_argument("--nodes", type=int, default=10, help="real node processes (10)")
    parser.add_argument("--span", type=float, default=20.0, help="seconds of load for each seed (20)")
    parser.add_argument("--keep", type=Path, help="a folder for the nodes' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report, violations = runner.run(play(seed, options.nodes, options.span, folder))
        rules = Counter(violation.rule for violation in violations)
        print(json.dumps({"seed": seed, "violations": dict(rules), **report}), flush=True)
        for violation in violations[:20]:
            print(f"  {violation.rule} {violation.request}: {violation.detail}", file=sys.stderr)
        failed += bool(violations)
        if options.keep:
            shutil.copytree(folder, options.keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
