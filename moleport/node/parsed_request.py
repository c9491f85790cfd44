"""A client's request, during and after parsing."""

from __future__ import annotations

READINESS_PATH = b"/up"
API_PATH = b"/api"
REQUEST_OVERHEAD_BYTES = 1024  # memory of a request without its headers and body
HEADER_OVERHEAD_BYTES = 200  # memory of a header beyond its bytes: objects and entries for name and value
HEADER_COPY_COUNT = 2  # each header is held as name and value, and as the line that is forwarded


class ParsedRequest:
    """One client request, which is complete once the parser adds it to `RequestParser.ready`."""

    __slots__ = (
        "arrived_at_ns",
        "body",
        "class_index",
        "content_length",
        "expects_continue",
        "forwarded_headers",
        "header_bytes",
        "header_values",
        "keep_alive",
        "method",
        "path",
        "size_bytes",
        "target",
        "timeout_ns",
    )

    def __init__(self) -> None:
        """Create a request of which nothing has been parsed."""
        self.target = self.path = self.method = b""
        self.forwarded_headers: list[bytes] = []  # header lines that are forwarded to a server
        self.header_values: dict[bytes, bytes] = {}  # last value of each request header, by lower-case name
        self.header_bytes = 0  # size in bytes of the request target, header lines and trailers
        # Number of bytes received of the request head, or, after it, of the body with its chunk framing.
        self.size_bytes = 0
        self.content_length = 0  # size in bytes of the body; 0 if it is unknown until the request is complete
        self.body = bytearray()
        self.keep_alive = True
        self.expects_continue = False
        self.class_index = 0
        self.timeout_ns = 0
        self.arrived_at_ns = 0  # lower bound (monotonic ns) of the arrival of the request's last byte

    def memory_bytes(self) -> int:
        """Return the approximate memory of the request in bytes."""
        return (
            REQUEST_OVERHEAD_BYTES
            + HEADER_COPY_COUNT * self.header_bytes
            + HEADER_OVERHEAD_BYTES * len(self.header_values)
            + len(self.body)
        )

    def unparsed_head_bytes(self) -> int:
        """Return the size of the part of a partial head that is no complete header line yet."""
        return max(0, self.size_bytes - self.header_bytes)

    def forwarded_head(self) -> bytes:
        """Return the request line and headers for a server, without X-Deadline and the blank line."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.method != b"GET" else b""
        return b"%s %s HTTP/1.1\r\n%s%s" % (
            self.method,
            self.target,
            b"".join(self.forwarded_headers),
            length,
        )

    def head_for_framing(self) -> bytes:
        """Return a request head that frames the same body and keeps or closes the connection alike."""
        connection = b"keep-alive" if self.keep_alive else b"close"
        if b"transfer-encoding" in self.header_values:
            framing = b"Transfer-Encoding: chunked"
        else:
            framing = b"Content-Length: " + self.header_values.get(b"content-length", b"0")
        return b"POST / HTTP/1.1\r\nConnection: %s\r\n%s\r\n\r\n" % (connection, framing)
