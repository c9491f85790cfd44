"""Starts the project's node by the command of the deploy file, and stops, reloads or kills it."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# Ports below the ephemeral range, so that no outgoing connection takes the port of a node that restarts.
LISTEN_PORTS = range(15_000, 30_000)
MAX_READY_SECONDS = 20.0
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    while True:
        port = LISTEN_PORTS.start + secrets.randbelow(len(LISTEN_PORTS))
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Node:
    """One node process; its name, address and configuration file stay the same over restarts."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.port = free_port()
        self.started_at = 0.0  # monotonic time just after the latest start of the process
        self._config_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """The address at which the node listens for clients."""
        return f"127.0.0.1:{self.port}"

    def configure(self, document: dict[str, Any]) -> None:
        """Replace the configuration file."""
        new_path = self._config_path.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        new_path.replace(self._config_path)

    async def start(self, core: int | None = None) -> None:
        """Start the process by `run` of the deploy file, without waiting until the node is ready.

        With a `core`, the process runs on this core only.
        """
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        document = json.loads(self._config_path.read_text())
        inherited = {name: text for name, text in os.environ.items() if name != "PYTHONPATH"}
        environment = inherited | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": document["listen"],
            "BALANCER_DISCOVERY": document["discovery"],
            "BALANCER_CONFIG": str(self._config_path),
        }
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()
        if core is not None:
            os.sched_setaffinity(self._process.pid, {core})

    async def wait_until_ready(self, poll_seconds: float = 0.02) -> bool:
        """Poll `/up` until it answers 200; return False if it does not within MAX_READY_SECONDS."""
        end = time.monotonic() + MAX_READY_SECONDS
        while time.monotonic() < end:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(UP_REQUEST)
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1.0)
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(poll_seconds)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code of the process; None while it runs."""
        return self._process.returncode if self._process is not None else None

    async def wait_until_ended(self) -> int:
        """Wait for the end of the process, and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text(errors="replace")
