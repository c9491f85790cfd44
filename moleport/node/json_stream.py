"""Splits a byte stream into JSON objects while the stream arrives.

The splitter scans only for braces and strings; the caller decodes the objects. An object may be indented, may
span any number of lines, and may be divided at any byte between two reads.
"""

from __future__ import annotations

import re

# NEXT_BRACE matches JSON text up to and including the next brace outside of a string.
# The group of the match holds the brace, or is empty at the end of the data and before an unclosed string.
# The quantifiers of the expression are possessive, so that no byte is scanned twice.
NEXT_BRACE = re.compile(rb'(?:[^"{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([{}]?)', re.DOTALL)


class JsonObjectSplitter:
    """Collects bytes of a stream and returns each JSON object once its last brace has arrived."""

    def __init__(self) -> None:
        """Create a splitter for the beginning of a stream."""
        self._buffer = b""
        # Number of bytes at the start of `_buffer` that are already scanned for braces. The buffer holds the
        # bytes received since the last complete JSON object of the stream.
        self._scanned_bytes = 0
        # Number of braces that are open at the end of the part of `_buffer` that is scanned for braces. The
        # buffer holds the bytes received since the last complete JSON object of the stream.
        self._depth = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add `data` to the buffer and return the JSON objects that are then complete, in order.

        Text between two objects, other than white space, is invalid. Such text is returned like an object,
        so that the decoder rejects it.
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
        """Return whether each JSON object that has begun is complete."""
        return self._depth == 0

    def buffered_bytes(self) -> int:
        """Return the number of bytes received of an incomplete JSON object."""
        return len(self._buffer)
