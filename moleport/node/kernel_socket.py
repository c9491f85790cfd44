"""Queries the kernel for the state of a socket, which the event loop may not have read yet."""

from __future__ import annotations

import asyncio
import select
import socket
import sys

from moleport.units import NS_PER_MS

# Position of the field tcpi_last_data_recv, a u32 in ms, in the bytes of Linux's struct tcp_info.
TCPI_LAST_DATA_RECV = slice(52, 56)


def is_readable(descriptor: int) -> bool:
    """Return whether the socket has unread data, an end of stream, a new connection or an error."""
    return _has_event(descriptor, select.POLLIN)


def is_reset(descriptor: int) -> bool:
    """Return whether the connection was reset, has failed or is closed in both directions."""
    return _has_event(descriptor, 0)


def _has_event(descriptor: int, events: int) -> bool:
    """Return whether one of the poll(2) `events`, an error or a hang-up is pending on a descriptor."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def last_data_age_ns(tcp_socket: socket.socket) -> int | None:
    """Return the time since data last arrived on a TCP socket, in ns, or None if the kernel has no figure.

    The figure is `tcpi_last_data_recv` of the socket option `TCP_INFO`, see tcp(7).
    """
    try:
        info = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_LAST_DATA_RECV.stop)
    except OSError:
        return None
    if len(info) != TCPI_LAST_DATA_RECV.stop:
        return None
    return int.from_bytes(info[TCPI_LAST_DATA_RECV], sys.byteorder) * NS_PER_MS


def ensure_send_capacity(transport: asyncio.Transport, nbytes: int) -> bool:
    """Return whether the kernel takes `nbytes` more for the peer; enlarge a send buffer that is too small.

    Linux reports a connection as writable while at least a third of its send buffer is free. A connection
    that is closing takes anything, as nothing is written to it.
    """
    if transport.is_closing():
        return True
    tcp_socket = transport.get_extra_info("socket")
    try:
        if tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < 3 * nbytes:
            # The kernel doubles the value, for its own overhead.
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 3 * nbytes // 2)
            if tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < 3 * nbytes:
                return False
        return _has_event(tcp_socket.fileno(), select.POLLOUT)
    except OSError:
        return False
