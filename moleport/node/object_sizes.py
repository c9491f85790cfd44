"""The resident memory of objects that grow in number with clients and servers."""

from __future__ import annotations

CLIENT_CONNECTION_BYTES = 4608
SERVER_CONNECTION_BYTES = 5120
REQUEST_IN_PROGRESS_BYTES = 4096


def total_bytes(client_connections: int, server_connections: int, requests_in_progress: int) -> int:
    """Return the memory in bytes of so many objects, without the data that they hold."""
    return (
        CLIENT_CONNECTION_BYTES * client_connections
        + SERVER_CONNECTION_BYTES * server_connections
        + REQUEST_IN_PROGRESS_BYTES * requests_in_progress
    )
