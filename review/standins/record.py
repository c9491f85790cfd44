"""The record of a run: one line of JSON for each thing that was sent, answered, run or signalled."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the run, in seconds of the monotonic clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, what: str, at: float | None = None, **fields: object) -> None:
        """Write one line; `at` is a monotonic time in seconds, by default now."""
        at = time.monotonic() if at is None else at
        line = {"at": round(at - self._started_at, 4), "what": what, **fields}
        self._file.write(json.dumps(line, default=str) + "\n")

    def close(self) -> None:
        """Write the rest to the file."""
        self._file.close()
