"""Size limits and header names that apply to the messages of clients and of servers."""

from __future__ import annotations

MAX_BODY_BYTES = 64 << 10
MAX_HEAD_BYTES = 16 << 10
HEADER_LINE_BYTES = 4  # of a header line, without name and value
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
"""Headers that apply to one connection only, and the length, which is set anew on each connection."""
