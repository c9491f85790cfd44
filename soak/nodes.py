"""Real node processes of the soak: how they are started, ended and looked after."""

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

from soak.oracle import Record, Violation
from soak.servers import Agent
from soak.shims import ROOT, Faults

LISTEN_PORTS = range(15_000, 30_000)  # below those that Linux gives to connections
MAX_READY_SECONDS = 10.0  # s
MAX_DEADLINE_SECONDS = 3.0  # a longer deadline is taken for this
KILL_DELAY_SECONDS = 0.7  # from the end of the longest deadline to SIGKILL, at least
NEW_CONNECTIONS_SECONDS = 0.3  # after SIGTERM in which the front sends new connections
MAX_SIGNAL_GAP_SECONDS = 0.005  # in a series
MAX_SERIES_SIGNAL_COUNT = 4
NS_PER_S = 10**9
ENDING_FAULTS = ("Traceback", "invariant violated", "the policy failed", "action failed")


def free_port() -> int:
    """One that no connection is given for its own end: a node keeps it while it is down."""
    while True:
        port = secrets.randbelow(LISTEN_PORTS.stop - LISTEN_PORTS.start) + LISTEN_PORTS.start
        with socket.socket() as one, suppress(OSError):
            one.bind(("127.0.0.1", port))
            return port


class NodeProcess:
    """One node, under the same name and address through all its restarts."""

    def __init__(self, name: str, folder: Path, document: dict[str, Any], record: Record) -> None:
        self.name = name
        self.port = free_port()
        self.agents = [Agent(), Agent()]
        self.agent = 0  # which of them its configuration names
        self.is_up = False  # the front sends it new connections
        self.notified_from = 0.0  # monotonic s; no update counts as notified before
        self.violations: list[Violation] = []
        self._folder = folder
        self._document = document
        self._record = record
        self._log = folder / f"{name}.log"
        self._path = folder / f"{name}.json"
        self.faults = Faults(folder / f"{name}.faults")
        self._process: asyncio.subprocess.Process | None = None
        deadlines = [one["Deadline"] / NS_PER_S for one in document["settings"]["Grades"]]
        self._kill_after_s = min(MAX_DEADLINE_SECONDS, max(deadlines)) + KILL_DELAY_SECONDS

    def configuration(self) -> str:
        """Return the node's configuration file for its current agent."""
        agent = f"127.0.0.1:{self.agents[self.agent].port}"
        listen = f"127.0.0.1:{self.port}"
        return json.dumps(self._document | {"name": self.name, "listen": listen, "discovery": agent})

    async def start(self) -> None:
        """Start the process, and wait until `/up` answers 200; not in time is a violation."""
        self._path.write_text(self.configuration())
        self.notified_from = time.monotonic()
        environment = {**os.environ, "BALANCER_CONFIG": str(self._path), "BALANCER_TRACE": "1"}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.faults.command(),
                cwd=ROOT,
                env=environment,
                stderr=log,
                stdout=asyncio.subprocess.DEVNULL,
            )
        end = time.monotonic() + MAX_READY_SECONDS
        while time.monotonic() < end and self._process.returncode is None:
            if await self._answers_up():
                self.is_up = True
                return
            await asyncio.sleep(0.05)
        self.violations.append(Violation("crash", self.name, "not ready in time"))

    async def _answers_up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def send_series(self, numbers: list[signal.Signals], random: Random) -> None:
        """Send signals a few ms apart."""
        for number in numbers:
            self.send(number)
            await asyncio.sleep(random.uniform(0.0, MAX_SIGNAL_GAP_SECONDS))

    async def restart(self, kill: bool, random: Random) -> None:
        """Restart the node as planned, or kill it and start it again.

        SIGTERM comes among other signals. Clients use the connections that they have until the process ends.
        """
        process = self._process
        assert process is not None
        if kill:
            self.is_up = False
            self._record.killed[self.name].append(time.monotonic())
            self.send(signal.SIGKILL)
        else:
            before = [signal.SIGHUP] * random.randrange(MAX_SERIES_SIGNAL_COUNT)
            behind = random.choices(
                (signal.SIGTERM, signal.SIGHUP), k=random.randrange(MAX_SERIES_SIGNAL_COUNT)
            )
            await self.send_series([*before, signal.SIGTERM, *behind], random)
            await asyncio.sleep(NEW_CONNECTIONS_SECONDS)
            self.is_up = False
        await self._wait_for_end(process)
        if not kill and process.returncode != 0:
            self.violations.append(Violation("crash", self.name, f"ended with {process.returncode}"))
        self.faults.set(accept_errno=0, connect_errno=0)
        await self.start()

    async def hold(self, span: float) -> None:
        """Stop the process for `span` s."""
        self.send(signal.SIGSTOP)
        await asyncio.sleep(span)
        self.send(signal.SIGCONT)

    async def reload(self, half_written: bool, random: Random) -> None:
        """Move the node to its other agent by a new configuration; the old one ends its watches later.

        Some reloads come as a series of signals.
        """
        old = self.agents[self.agent]
        self.agent = 1 - self.agent
        text = self.configuration()
        self.notified_from = time.monotonic() + 4.0
        if half_written:
            self._path.write_text(text[: len(text) // 2])
        else:
            self._path.write_text(text)
        await self.send_series([signal.SIGHUP] * random.randrange(1, MAX_SERIES_SIGNAL_COUNT), random)
        if half_written:
            await asyncio.sleep(0.2)
            self._path.write_text(text)
        await asyncio.sleep(1.5)
        old.drop()

    def kill(self) -> None:
        """Whatever happens to the driver, no process is left."""
        with suppress(ProcessLookupError):
            self.send(signal.SIGKILL)

    async def end(self) -> None:
        """Shut the node down; one that has ended before is a violation."""
        process = self._process
        if process is None:
            return
        if process.returncode is not None:
            self.violations.append(Violation("crash", self.name, f"found ended with {process.returncode}"))
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        await self._wait_for_end(process)

    async def _wait_for_end(self, process: asyncio.subprocess.Process) -> None:
        """Wait for as long as the platform does at least; then it is killed, which is a violation."""
        try:
            await asyncio.wait_for(process.wait(), self._kill_after_s)
        except TimeoutError:
            self.violations.append(Violation("end", self.name, "did not end after SIGTERM"))
            self.send(signal.SIGKILL)
            await process.wait()

    def read_log(self) -> None:
        """Take from the log the requests that the node has read, and faults of its own."""
        for line in self._log.read_text(errors="replace").splitlines():
            if '"event": "request_received"' in line:
                identity = json.loads(line[line.index("{") :])["id"]
                self._record.taken.add(identity.removeprefix("b'").removesuffix("'"))
            elif any(fault in line for fault in ENDING_FAULTS):
                self.violations.append(Violation("fault", self.name, line[:300]))
