"""Formats the responses that the node sends to clients."""

from __future__ import annotations

from http import HTTPStatus

from moleport.node.packed_headers import Headers, PackedHeaders

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
ALLOW_HEADER = b"Allow: GET, POST\r\n"


def format_response(status: int, headers: Headers, body: bytes, keep_alive: bool) -> bytes:
    """Return a response with a Content-Length; without `keep_alive` it announces the connection's close."""
    # A server may send an unregistered status code; its reason phrase is left empty.
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b""))]
    if isinstance(headers, PackedHeaders):
        parts.append(headers.format())
    else:
        for name, value in headers:
            parts += (name, b": ", value, b"\r\n")
    if status == HTTPStatus.METHOD_NOT_ALLOWED:
        parts.append(ALLOW_HEADER)
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if not keep_alive:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)
