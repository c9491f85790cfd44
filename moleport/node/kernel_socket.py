"""What the kernel knows about a socket and the event loop may not have seen yet."""

from __future__ import annotations

import select
import socket
import sys

from moleport.units import NS_PER_MS

LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv in struct tcp_info: a u32, in ms


def is_readable(descriptor: int) -> bool:
    """Return whether data, an end of stream, a new connection or an error can be read from the socket."""
    return _has_event(descriptor, select.POLLIN)


def is_reset(descriptor: int) -> bool:
    """Return whether the connection has failed or is closed in both directions."""
    return _has_event(descriptor, 0)


def _has_event(descriptor: int, events: int) -> bool:
    """Return whether one of the events is pending; errors and hang-ups always count."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def last_data_age_ns(connected: socket.socket) -> int | None:
    """Return how long ago the newest bytes arrived, in ns; None where the kernel does not tell.

    Source: `tcpi_last_data_recv` of `TCP_INFO`, see tcp(7).
    """
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return None
    if len(info) != LAST_DATA_RECEIVED.stop:
        return None
    return int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) * NS_PER_MS
