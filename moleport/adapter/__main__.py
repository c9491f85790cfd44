"""Runs the adapter: reads frames from standard input and writes a reply to each on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from moleport.adapter.frames import WireError, read_frame
from moleport.adapter.translation import Adapter
from moleport.config.settings import SettingsError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Write a reply to each input frame until the input ends; raises WireError or SettingsError."""
    adapter = Adapter()
    while (frame := read_frame(source)) is not None:
        sink.write(adapter.reply_to(frame))
        sink.flush()


def main() -> int:
    """Serve standard input; return the exit code: 0 at the end of the input, 1 after an invalid frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"moleport: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
