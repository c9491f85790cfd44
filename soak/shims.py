"""Runs the node's program with shims that change the wall clock and make system calls fail on command.

`python soak/shims.py CONTROL_FILE` runs the node in the same process. It replaces the wall clock, the
listening socket and the event loop by shims that read the control file before each call. A test controls the
shims through a `Faults` object on the control file. The shims need no compiler, and they do not change the
monotonic clock.
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

# Names of the signed 64-bit integers in the control file of a node's shims, in the order of the file. The
# shims are replacements of the node's clock, socket and event loop that inject faults; the soak or a test
# controls them through the file.
FIELDS = ("wall_offset_ms", "accept_errno", "connect_errno", "connect_port", "accepts_failed")
LAYOUT = struct.Struct(f"<{len(FIELDS)}q")
ROOT = Path(__file__).parent.parent


class Faults:
    """The control file of one node's shims; each field is an integer, 0 if there is no fault.

    `wall_offset_ms` is added to the wall clock. `accept_errno` and `connect_errno` are the error numbers that
    accept and connect calls fail with. `connect_port` limits failing connects to one port unless it is 0.
    `accepts_failed` counts the accept calls that failed.
    """

    def __init__(self, path: Path, create: bool = True) -> None:
        self.path = path
        if create:
            path.write_bytes(bytes(LAYOUT.size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), LAYOUT.size)

    def get(self, field: str) -> int:
        """Return the value of a field of the control file, by the field's name in `FIELDS`."""
        return int(LAYOUT.unpack_from(self._memory)[FIELDS.index(field)])

    def set(self, **values: int) -> None:
        """Set fields of the control file, by the fields' names in `FIELDS`."""
        for field, value in values.items():
            struct.pack_into("<q", self._memory, 8 * FIELDS.index(field), value)

    def command(self) -> list[str]:
        """Return the command that starts the node with shims that read this control file."""
        return [sys.executable, str(Path(__file__)), str(self.path)]


def install(faults: Faults) -> None:
    """Replace the wall clock, the sockets and the event loop of this process by shims.

    The caller must not have imported any module of the node before.
    """
    import uvloop

    real_time_ns, real_time = time.time_ns, time.time
    time.time_ns = lambda: real_time_ns() + faults.get("wall_offset_ms") * 1_000_000
    time.time = lambda: real_time() + faults.get("wall_offset_ms") / 1000

    class FaultySocket(socket.socket):
        """A socket whose accept fails while `accept_errno` in the control file is not 0."""

        def accept(self) -> tuple[socket.socket, Any]:
            if error_number := faults.get("accept_errno"):
                faults.set(accepts_failed=faults.get("accepts_failed") + 1)
                raise OSError(error_number, os.strerror(error_number))
            return super().accept()

    class FaultyLoop(uvloop.Loop):
        """An event loop whose connects fail while `connect_errno` in the control file is not 0."""

        async def create_connection(self, *arguments: Any, **options: Any) -> Any:
            error_number, port = faults.get("connect_errno"), faults.get("connect_port")
            if error_number and port in (0, arguments[2]):
                raise OSError(error_number, os.strerror(error_number))
            return await super().create_connection(*arguments, **options)

    socket.socket = FaultySocket  # type: ignore[misc]
    uvloop.new_event_loop = FaultyLoop


def main() -> int:
    """Run the node with the shims; return the node's exit code."""
    install(Faults(Path(sys.argv[1]), create=False))
    sys.path.insert(0, str(ROOT))
    from moleport.__main__ import main as run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
