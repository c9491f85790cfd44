"""Size limits and header names that apply to requests of clients and responses of servers."""

from __future__ import annotations

MAX_BODY_BYTES = 64 << 10
MAX_HEAD_BYTES = 16 << 10
MAX_RESPONSE_BYTES = MAX_BODY_BYTES + MAX_HEAD_BYTES
HEADER_LINE_OVERHEAD_BYTES = 4  # size in bytes of the colon, space and line break of a header line
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
"""Headers that apply to one connection only, and Content-Length, which the node sets itself."""
