"""Holds the data of one client that is not parsed yet."""

from __future__ import annotations

from collections import deque

CHUNK_OVERHEAD_BYTES = 128  # memory of a chunk beyond its data: the object, its arrival time and its entry


class ReceiveBuffer:
    """Received data in order of arrival, in chunks as the socket returned them."""

    __slots__ = ("_chunks", "size_bytes")

    def __init__(self) -> None:
        """Create an empty buffer."""
        # Data of each chunk, and a lower bound (monotonic ns) of its arrival time.
        self._chunks: deque[tuple[bytes, int]] = deque()
        self.size_bytes = 0  # memory that the chunks use, with the overhead of each

    def append(self, data: bytes, arrived_at_ns: int) -> None:
        """Add data of which no byte arrived before `arrived_at_ns` (monotonic ns)."""
        self._chunks.append((data, arrived_at_ns))
        self.size_bytes += len(data) + CHUNK_OVERHEAD_BYTES

    def put_back(self, data: bytes, arrived_at_ns: int) -> None:
        """Add data ahead of all other data, because it was taken and not parsed."""
        self._chunks.appendleft((data, arrived_at_ns))
        self.size_bytes += len(data) + CHUNK_OVERHEAD_BYTES

    def take(self, max_bytes: int) -> tuple[bytes, int]:
        """Remove and return up to `max_bytes` of the earliest chunk, with the bound of its arrival time.

        Raises IndexError if the buffer is empty.
        """
        data, arrived_at_ns = self._chunks.popleft()
        self.size_bytes -= len(data) + CHUNK_OVERHEAD_BYTES
        if len(data) > max_bytes:
            self.put_back(data[max_bytes:], arrived_at_ns)
            data = data[:max_bytes]
        return data, arrived_at_ns

    def clear(self) -> None:
        """Discard all data."""
        self._chunks.clear()
        self.size_bytes = 0
