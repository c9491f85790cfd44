"""Runs the node's real program with a wall clock and system calls that fail on command.

As a program (`python soak/shims.py CONTROL`) it is the node, its module `time`, listening socket and event
loop replaced by ones that look into the control file before each call. A test holds a `Faults` on the same
file and sets what they find there. It needs no compiler; the monotonic clock is left alone.
"""

from __future__ import annotations

import mmap
import os
import socket
import struct
import sys
import time
from pathlib import Path
from typing import Any

FIELDS = ("wall_offset_ms", "accept_errno", "connect_errno", "connect_port", "accepts_failed")
LAYOUT = struct.Struct(f"<{len(FIELDS)}q")
ROOT = Path(__file__).parent.parent


class Faults:
    """What the shims of one node find; each field is a whole number, 0 for no fault."""

    def __init__(self, path: Path, create: bool = True) -> None:
        self.path = path
        if create:
            path.write_bytes(bytes(LAYOUT.size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), LAYOUT.size)

    def get(self, field: str) -> int:
        """Return the value of a field."""
        return int(LAYOUT.unpack_from(self._memory)[FIELDS.index(field)])

    def set(self, **values: int) -> None:
        """Set fields by name."""
        for field, value in values.items():
            struct.pack_into("<q", self._memory, 8 * FIELDS.index(field), value)

    def command(self) -> list[str]:
        """Return the command that starts the node with these shims."""
        return [sys.executable, str(Path(__file__)), str(self.path)]


def install(faults: Faults) -> None:
    """Replace clock, sockets and loop of this process; before anything of the node is imported."""
    import uvloop

    real_time_ns, real_time = time.time_ns, time.time
    time.time_ns = lambda: real_time_ns() + faults.get("wall_offset_ms") * 1_000_000
    time.time = lambda: real_time() + faults.get("wall_offset_ms") / 1000

    class FaultySocket(socket.socket):
        def accept(self) -> tuple[socket.socket, Any]:
            if number := faults.get("accept_errno"):
                faults.set(accepts_failed=faults.get("accepts_failed") + 1)
                raise OSError(number, os.strerror(number))
            return super().accept()

    class FaultyLoop(uvloop.Loop):
        async def create_connection(self, *arguments: Any, **options: Any) -> Any:
            number, port = faults.get("connect_errno"), faults.get("connect_port")
            if number and port in (0, arguments[2]):
                raise OSError(number, os.strerror(number))
            return await super().create_connection(*arguments, **options)

    socket.socket = FaultySocket  # type: ignore[misc]
    uvloop.new_event_loop = FaultyLoop


def main() -> int:
    """Run the node with the shims; return its exit code."""
    install(Faults(Path(sys.argv[1]), create=False))
    sys.path.insert(0, str(ROOT))
    from moleport.__main__ import main as node

    return node()


if __name__ == "__main__":
    sys.exit(main())
