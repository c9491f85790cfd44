"""A client's request as the parser has read it."""

from __future__ import annotations

READINESS_PATH = b"/up"
API_PATH = b"/api"


class ParsedRequest:
    """One request; complete once its parser hands it out."""

    __slots__ = (
        "arrived_at_ns",
        "body",
        "class_index",
        "expects_continue",
        "fields",
        "header_bytes",
        "headers",
        "keep_alive",
        "method",
        "path",
        "size_bytes",
        "timeout_ns",
        "url",
    )

    def __init__(self) -> None:
        """Create a request of which nothing has been read."""
        self.url = self.path = self.method = b""
        self.headers: list[bytes] = []  # the lines that are forwarded
        self.fields: dict[bytes, bytes] = {}  # all headers, by their name in lower case
        self.header_bytes = 0  # of the target, header lines and trailers
        self.size_bytes = 0  # of the head, then of the body with its framing
        self.body = bytearray()
        self.keep_alive = True
        self.expects_continue = False
        self.class_index = 0
        self.timeout_ns = 0
        self.arrived_at_ns = 0  # monotonic, of the last byte

    def forwarded_head(self) -> bytes:
        """Return the request line and headers for a server, but for X-Deadline and the blank line."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.method != b"GET" else b""
        return b"%s %s HTTP/1.1\r\n%s%s" % (self.method, self.url, b"".join(self.headers), length)
