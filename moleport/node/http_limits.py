"""Limits and header names that hold for messages of clients and servers alike."""

from __future__ import annotations

BODY_MOST = 64 << 10  # bytes of an answer
HEAD_MOST = 16 << 10
HOP_BY_HOP = frozenset(
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
"""Headers that belong to one connection, and the length, which each side states anew."""
