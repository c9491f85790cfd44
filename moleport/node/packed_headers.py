"""Header fields in few objects: many short ones would use far more memory as objects of their own."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator

MAX_UNPACKED_COUNT = 32  # packing fewer fields would cost more time than it saves memory
FIELD_BYTES = 180  # memory of a field as objects of its own, beyond its bytes
PACKED_FIELD_BYTES = 8  # the same for a packed field
Headers = Iterable[tuple[bytes, bytes]]


class PackedHeaders:
    """Names and values of header fields, in order, in two buffers."""

    __slots__ = ("_data", "_ends")

    def __init__(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Create a list of these header fields."""
        self._data = bytearray()
        self._ends = array("I")  # position in `_data` of the end of each name and of each value
        for field in fields:
            self.append(field)

    def append(self, field: tuple[bytes, bytes]) -> None:
        """Add the name and the value of a header field."""
        name, value = field
        data, ends = self._data, self._ends
        data += name
        ends.append(len(data))
        data += value
        ends.append(len(data))

    def __len__(self) -> int:
        """Return the number of header fields."""
        return len(self._ends) // 2

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Yield the name and the value of each header field."""
        data, ends = self._data, self._ends
        begin = 0
        for index in range(0, len(ends), 2):
            end_of_name, end = ends[index], ends[index + 1]
            yield bytes(data[begin:end_of_name]), bytes(data[end_of_name:end])
            begin = end

    def format(self) -> bytes:
        """Return the header lines of a message."""
        lines = bytearray()
        for name, value in self:
            lines += b"%s: %s\r\n" % (name, value)
        return bytes(lines)
