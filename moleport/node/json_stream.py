"""Splits a byte stream into JSON objects as it arrives.

Only braces and strings are scanned; the objects themselves are decoded by the caller. Objects may be
indented, span any number of lines, and be cut anywhere between two reads.
"""

from __future__ import annotations

import re

# Everything up to the next brace outside of a string, and that brace. The group is empty where the data ends,
# or where a string is not closed yet. The quantifiers are possessive, so that nothing is scanned twice.
NEXT_BRACE = re.compile(rb'(?:[^"{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([{}]?)', re.DOTALL)


class JsonObjectSplitter:
    """Collects bytes and returns each object once its last brace has arrived."""

    def __init__(self) -> None:
        """Start between two objects."""
        self._buffer = b""
        self._scanned_bytes = 0  # at the start of the buffer: nothing in them has to be looked at again
        self._depth = 0  # braces that are open at the end of the scanned part

    def feed(self, data: bytes) -> list[bytes]:
        """Add data and return the objects that it completes, in order.

        Text between two objects that cannot begin an object is returned like an object, for the decoder
        to reject.
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
        """Whether no object has begun that is not complete."""
        return self._depth == 0

    def buffered_bytes(self) -> int:
        """Return the size of the object that is not complete yet, in bytes."""
        return len(self._buffer)
