"""Asks the kernel for the disconnection of a client that the event loop has not reported."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

from moleport.node.kernel_socket import is_readable, is_reset

POLL_PERIOD_SECONDS = 0.05


class DisconnectDetector:
    """The kernel's view of one client connection.

    Only the kernel knows of an end of stream that is behind unread data, or that a delayed event loop has not
    read yet.
    """

    def __init__(self) -> None:
        """Create a detector for a connection that is not set up yet."""
        self.is_half_closed = False  # whether the client is known to have shut down its sending side
        self._transport: asyncio.Transport | None = None
        self._peer_shutdown_poll = select.poll()
        # Function that reports a half-close to the connection; None: the kernel is not polled.
        self._on_half_closed: Callable[[], None] | None = None
        self._poll_timer: asyncio.TimerHandle | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport of the connection once it is set up."""
        self._transport = transport
        self._peer_shutdown_poll.register(self._descriptor(), select.POLLRDHUP)

    def has_disconnected(self) -> bool:
        """Return whether the client has half-closed or closed the connection, as the kernel reports it."""
        if self.is_half_closed or self._transport is None or self._transport.is_closing():
            return True
        self.is_half_closed = bool(self._peer_shutdown_poll.poll(0))
        return self.is_half_closed

    def is_readable(self) -> bool:
        """Return whether the kernel has unread data of the client, its end of stream or an error."""
        return is_readable(self._descriptor())

    def start_polling(self, on_half_closed: Callable[[], None]) -> None:
        """Poll the kernel every `POLL_PERIOD_SECONDS`, as the event loop does not read the connection.

        `on_half_closed` is called at each poll that finds the client half-closed. A connection that was reset
        is aborted.
        """
        self._on_half_closed = on_half_closed
        if self._poll_timer is None:
            self._poll()

    def stop_polling(self) -> None:
        """Stop to poll the kernel, as the event loop reports the disconnection itself."""
        self._on_half_closed = None

    def close(self) -> None:
        """Cancel the timer of a closed connection, and break the reference cycle with the connection."""
        self._on_half_closed = None
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def _poll(self) -> None:
        self._poll_timer = None
        transport = self._transport
        if self._on_half_closed is None or transport is None or transport.is_closing():
            return
        if is_reset(self._descriptor()):
            transport.abort()
            return
        if self.has_disconnected():
            self._on_half_closed()
        loop = asyncio.get_running_loop()
        self._poll_timer = loop.call_later(POLL_PERIOD_SECONDS, self._poll)

    def _descriptor(self) -> int:
        assert self._transport is not None
        descriptor: int = self._transport.get_extra_info("socket").fileno()
        return descriptor
