"""The memory that requests of clients use while they are received and processed, with its limits."""

from __future__ import annotations

import math

# Limit in bytes on what one read from a client returns; the kernel holds the rest.
READ_BYTES = 16 << 10
# The same while the requests of all clients use more than their share of the process's memory.
SHORT_READ_BYTES = 1 << 10
# Fraction of the process's memory limit for requests of clients; the node itself uses most of the rest.
CLIENT_MEMORY_RATIO = 0.125
# Fraction of that share up to which clients are read ahead of their request in progress.
READ_AHEAD_RATIO = 0.5
# Fraction of that share down to which partial requests are rejected once the share is used up.
RELIEF_RATIO = 0.875


class ClientMemory:
    """Counts the memory of all clients' requests, and holds the buffer that their connections share."""

    __slots__ = ("_buffer", "_short_buffer", "max_bytes", "read_buffer", "used_bytes")

    def __init__(self, max_process_bytes: int | None) -> None:
        """Create an account for a process with this memory limit in bytes; None: it has no limit."""
        self.max_bytes = math.inf if max_process_bytes is None else CLIENT_MEMORY_RATIO * max_process_bytes
        self.used_bytes = 0  # memory of incomplete and unparsed requests, and of bodies in progress
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._short_buffer = self._buffer[:SHORT_READ_BYTES]
        self.read_buffer = self._buffer  # buffer for the next read; its data is valid until then

    def change(self, added_bytes: int) -> None:
        """Add to the memory that requests use, and read less from clients while it is short."""
        self.used_bytes += added_bytes
        self.read_buffer = self._short_buffer if self.is_short() else self._buffer

    def is_short(self) -> bool:
        """Return whether requests of clients use more than their share."""
        return self.used_bytes > self.max_bytes

    def may_read_ahead(self) -> bool:
        """Return whether there is memory for data behind requests in progress."""
        return self.used_bytes <= READ_AHEAD_RATIO * self.max_bytes

    def needs_relief(self) -> bool:
        """Return whether requests still use so much that more partial requests should be rejected."""
        return self.used_bytes > RELIEF_RATIO * self.max_bytes

    @staticmethod
    def may_fill_buffer(nbytes: int) -> bool:
        """Return whether a read of `nbytes` may have filled its buffer, so that more data may be unread."""
        return nbytes in (READ_BYTES, SHORT_READ_BYTES)
