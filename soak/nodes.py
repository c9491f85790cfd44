"""Starts, stops, restarts, reloads and ends the real node processes of the soak, and reads their logs."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from soak.oracle import Observations, Violation
from soak.servers import DiscoveryAgent
from soak.shims import ROOT, Faults

# ports at which nodes listen for clients, below the ephemeral ports of Linux for outgoing connections
LISTEN_PORTS = range(15_000, 30_000)
MAX_READY_SECONDS = 10.0  # time from the start of a node's process until the node must be ready
# longest request deadline for which the platform that runs the nodes waits between SIGTERM and SIGKILL
MAX_DEADLINE_SECONDS = 3.0
# shortest time that the platform that runs the nodes adds to the longest request deadline before it kills a
# node in shutdown
KILL_DELAY_SECONDS = 0.7
NEW_CONNECTIONS_SECONDS = 0.3  # time after SIGTERM to a node for which clients still connect to the node
# upper bound of the random pause between two consecutive signals that the soak sends to a node's process
MAX_SIGNAL_GAP_SECONDS = 0.005
# exclusive upper bound of the random number of signals, SIGHUP or SIGTERM, that the soak sends to a node's
# process in one series
SIGNAL_COUNT_BOUND = 4
NS_PER_SECOND = 10**9
LOGGED_FAULTS = ("Traceback", "invariant violated", "the policy failed", "action failed")


def free_port() -> int:
    """Return a free port outside the ephemeral range, so no connection takes it while its node is down."""
    while True:
        port = secrets.randbelow(LISTEN_PORTS.stop - LISTEN_PORTS.start) + LISTEN_PORTS.start
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class NodeProcess:
    """A node whose name and address stay the same when its process is restarted."""

    def __init__(self, name: str, folder: Path, document: dict[str, Any], observations: Observations) -> None:
        self.name = name
        self.port = free_port()
        self.agents = [DiscoveryAgent(), DiscoveryAgent()]
        self.agent_index = 0  # index, 0 or 1, of the discovery agent that the node's configuration names
        self.is_up = False  # whether clients of the soak open new connections to the node
        # monotonic time in seconds before which the soak's check for attempts at drained servers
        # (soak/oracle.py) does not expect the node to know endpoint updates
        self.notified_from = 0.0
        self.violations: list[Violation] = []
        self._folder = folder
        self._document = document
        self._observations = observations
        self._log_path = folder / f"{name}.log"
        self._config_path = folder / f"{name}.json"
        self.faults = Faults(folder / f"{name}.faults")
        self._process: asyncio.subprocess.Process | None = None
        deadlines = [entry["Deadline"] / NS_PER_SECOND for entry in document["settings"]["Grades"]]
        self._kill_after_s = min(MAX_DEADLINE_SECONDS, max(deadlines)) + KILL_DELAY_SECONDS

    def configuration_text(self) -> str:
        """Return the content of the node's configuration file, with the node's current discovery agent."""
        agent_address = f"127.0.0.1:{self.agents[self.agent_index].port}"
        listen_address = f"127.0.0.1:{self.port}"
        return json.dumps(
            self._document | {"name": self.name, "listen": listen_address, "discovery": agent_address}
        )

    async def start(self) -> None:
        """Start the node's process and wait until `/up` answers 200.

        Record a violation if the process ends or is not ready within MAX_READY_SECONDS.
        """
        self._config_path.write_text(self.configuration_text())
        self.notified_from = time.monotonic()
        environment = {**os.environ, "BALANCER_CONFIG": str(self._config_path), "BALANCER_TRACE": "1"}
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.faults.command(),
                cwd=ROOT,
                env=environment,
                stderr=log,
                stdout=asyncio.subprocess.DEVNULL,
            )
        end = time.monotonic() + MAX_READY_SECONDS
        while time.monotonic() < end and self._process.returncode is None:
            if await self._is_ready():
                self.is_up = True
                return
            await asyncio.sleep(0.05)
        self.violations.append(
            Violation(
                "crash",
                self.name,
                f"process exited, or was not ready within {MAX_READY_SECONDS} s of its start",
            )
        )

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            status_line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in status_line

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def send_signals(self, signals: list[signal.Signals], random: Random) -> None:
        """Send signals to the node's process, with random pauses of up to MAX_SIGNAL_GAP_SECONDS."""
        for signal_number in signals:
            self.send_signal(signal_number)
            await asyncio.sleep(random.uniform(0.0, MAX_SIGNAL_GAP_SECONDS))

    async def restart(self, kill: bool, random: Random) -> None:
        """Restart the node by SIGTERM, or by SIGKILL if `kill` is true.

        SIGHUP signals are sent before SIGTERM, and SIGHUP or SIGTERM signals after it. Clients use their open
        connections until the process ends.
        """
        process = self._process
        assert process is not None
        if kill:
            self.is_up = False
            self._observations.kill_times[self.name].append(time.monotonic())
            self.send_signal(signal.SIGKILL)
        else:
            before = [signal.SIGHUP] * random.randrange(SIGNAL_COUNT_BOUND)
            after = random.choices((signal.SIGTERM, signal.SIGHUP), k=random.randrange(SIGNAL_COUNT_BOUND))
            await self.send_signals([*before, signal.SIGTERM, *after], random)
            await asyncio.sleep(NEW_CONNECTIONS_SECONDS)
            self.is_up = False
        await self._wait_for_end(process)
        if not kill and process.returncode != 0:
            self.violations.append(
                Violation(
                    "crash", self.name, f"process ended with exit code {process.returncode} after SIGTERM"
                )
            )
        self.faults.set(accept_errno=0, connect_errno=0)
        await self.start()

    async def hold(self, seconds: float) -> None:
        """Stop the node's process by SIGSTOP for some seconds, then continue it by SIGCONT."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)

    async def reload(self, half_written: bool, random: Random) -> None:
        """Reload the node with a configuration that names its other discovery agent.

        One to three SIGHUP signals request the reload. With `half_written`, the configuration file is
        incomplete when the signals are sent, and complete shortly after. The old agent resets its watches
        later.
        """
        old_agent = self.agents[self.agent_index]
        self.agent_index = 1 - self.agent_index
        text = self.configuration_text()
        self.notified_from = time.monotonic() + 4.0
        if half_written:
            self._config_path.write_text(text[: len(text) // 2])
        else:
            self._config_path.write_text(text)
        await self.send_signals([signal.SIGHUP] * random.randrange(1, SIGNAL_COUNT_BOUND), random)
        if half_written:
            await asyncio.sleep(0.2)
            self._config_path.write_text(text)
        await asyncio.sleep(1.5)
        old_agent.reset_watches()

    def kill(self) -> None:
        """Kill the node's process if it is running: no process must outlive a failed run of the driver."""
        with suppress(ProcessLookupError):
            self.send_signal(signal.SIGKILL)

    async def end(self) -> None:
        """Shut the node down; record a violation if the node's process has ended already."""
        process = self._process
        if process is None:
            return
        if process.returncode is not None:
            self.violations.append(
                Violation(
                    "crash", self.name, f"process exited during the run with exit code {process.returncode}"
                )
            )
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        await self._wait_for_end(process)

    async def _wait_for_end(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end of a process; kill the process after the shortest time that the platform waits.

        Record a violation if the process had to be killed.
        """
        try:
            await asyncio.wait_for(process.wait(), self._kill_after_s)
        except TimeoutError:
            self.violations.append(
                Violation("end", self.name, f"process was still running {self._kill_after_s} s after SIGTERM")
            )
            self.send_signal(signal.SIGKILL)
            await process.wait()

    def read_log(self) -> None:
        """Record, from the node's log, the requests that the node has read and the faults of the node."""
        for line in self._log_path.read_text(errors="replace").splitlines():
            if '"event": "request_received"' in line:
                request_id = json.loads(line[line.index("{") :])["id"]
                self._observations.read_request_ids.add(request_id.removeprefix("b'").removesuffix("'"))
            elif any(fault in line for fault in LOGGED_FAULTS):
                self.violations.append(Violation("fault", self.name, line[:300]))
