"""Writes the responses to one client, and limits the time in which it has to read each."""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from moleport.node.connection_memory import ConnectionMemory
from moleport.node.http_limits import MAX_RESPONSE_BYTES
from moleport.node.kernel_socket import ensure_send_capacity
from moleport.units import NS_PER_SECOND

MAX_WRITE_SECONDS = 10.0  # time limit for a client to read a response to a request without a deadline


class ResponseWriter:
    """Passes responses to the kernel; at most one is unread, which means not completely passed on."""

    __slots__ = ("_memory", "_timer")

    def __init__(self, memory: ConnectionMemory) -> None:
        """Create a writer that counts an unread response in `memory`."""
        self._memory = memory
        self._timer: asyncio.TimerHandle | None = None

    @staticmethod
    def has_capacity(transport: asyncio.Transport) -> bool:
        """Return whether the kernel takes a complete response at once, even if the client reads none."""
        return ensure_send_capacity(transport, MAX_RESPONSE_BYTES)

    def write(self, transport: asyncio.Transport, response: bytes, deadline_ns: int) -> bool:
        """Write a response; return whether the kernel has all of it.

        If it has not, the connection is aborted unless `stop` is called by the request's deadline in
        monotonic ns, when the client has stopped waiting; 0: after `MAX_WRITE_SECONDS`.
        """
        transport.write(response)
        if not transport.get_write_buffer_size():
            return True
        self._memory.set_response(len(response))
        remaining_s = (deadline_ns - monotonic_ns()) / NS_PER_SECOND if deadline_ns else MAX_WRITE_SECONDS
        self._timer = asyncio.get_running_loop().call_later(max(0.0, remaining_s), transport.abort)
        return False

    def has_unread(self) -> bool:
        """Return whether the client has not read its response yet."""
        return self._timer is not None

    def stop(self) -> bool:
        """Lift the time limit, as the response is read or the connection is lost; return whether it ran."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
        return timer is not None
