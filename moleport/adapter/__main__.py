"""Runs the decision module behind the simulator's protocol, from standard input to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from moleport.adapter.frames import WireError, read_frame
from moleport.adapter.translation import Adapter
from moleport.config.settings import SettingsError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each input frame until the input ends; raises WireError or SettingsError."""
    adapter = Adapter()
    while (frame := read_frame(source)) is not None:
        sink.write(adapter.answer(frame))
        sink.flush()


def main() -> int:
    """Serve standard input, and return the process's exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as problem:
        print(f"moleport: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
