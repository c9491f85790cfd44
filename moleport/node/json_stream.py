"""Splits a byte stream into JSON objects as it arrives.

The splitter scans only for braces and strings; the caller decodes the objects. An object may be indented, may
span any number of lines, and may be divided at any byte between two reads.
"""

from __future__ import annotations

import re

# Matches the bytes up to and including the next brace outside of a string. The group contains the brace, or
# is empty at the end of the data and before a string that is not closed yet. The quantifiers are possessive,
# so that no byte is scanned twice.
NEXT_BRACE = re.compile(rb'(?:[^"{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([{}]?)', re.DOTALL)


class JsonObjectSplitter:
    """Collects bytes and returns each object once its last brace has arrived."""

    def __init__(self) -> None:
        """Create a splitter for the beginning of a stream."""
        self._buffer = b""
        self._scanned_bytes = 0  # length of the start of the buffer that is already scanned
        self._depth = 0  # number of open braces at the end of the scanned part

    def feed(self, data: bytes) -> list[bytes]:
        """Add data and return the objects that it completes, in order.

        Text between two objects, other than white space, is invalid. It is returned like an object, so that
        the decoder rejects it.
        """
        self._buffer += data
        objects = []
        begin = 0
        scanned, depth = self._scanned_bytes, self._depth
        for match in NEXT_BRACE.finditer(self._buffer, scanned):
            scanned = match.end()
            brace = match[1]
            if brace == b"{":
                depth += 1
            elif brace == b"}":
                depth -= 1
                if depth <= 0:
                    depth = 0
                    objects.append(self._buffer[begin:scanned])
                    begin = scanned
            else:
                break
        self._buffer = self._buffer[begin:]
        self._scanned_bytes, self._depth = scanned - begin, depth
        if self.is_between_objects():
            if text := self._buffer.strip():
                objects.append(text)
            self._buffer = b""
            self._scanned_bytes = 0
        return objects

    def is_between_objects(self) -> bool:
        """Return whether each object that has begun is complete."""
        return self._depth == 0

    def buffered_bytes(self) -> int:
        """Return the number of bytes received of an incomplete object."""
        return len(self._buffer)
