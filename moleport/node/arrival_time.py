"""Bounds the time at which data of one client arrived, which may be long before the node reads it.

A deadline counts from the arrival. A client's data waits in the kernel while its connection is in the accept
queue, while reading from it is paused, and during a hold of the process.
"""

from __future__ import annotations

import socket
from time import monotonic_ns

from moleport.node.disconnect_detector import DisconnectDetector
from moleport.node.hold_detector import MIN_HOLD_NS, HoldDetector
from moleport.node.kernel_socket import last_data_age_ns


class ArrivalTime:
    """Lower bound of the arrival time of a client's data that is unread in the kernel."""

    __slots__ = ("_earliest_unread_ns", "_hold_detector")

    def __init__(self, earliest_ns: int, hold_detector: HoldDetector) -> None:
        """Create the bound for an accepted connection, whose data arrived after `earliest_ns` (monotonic)."""
        self._hold_detector = hold_detector
        # Lower bound (monotonic ns) of the arrival time of data that is unread in the kernel; 0: no bound.
        self._earliest_unread_ns = earliest_ns

    def on_connected(self, detector: DisconnectDetector, client_socket: socket.socket) -> None:
        """Raise or drop the bound of a connection that has been set up, as far as the kernel's state allows.

        The data may have arrived much later than the earliest client in the accept queue.
        """
        now = monotonic_ns()
        if now - self._earliest_unread_ns < MIN_HOLD_NS or not detector.is_readable():
            self._earliest_unread_ns = 0
            return
        data_age_ns = last_data_age_ns(client_socket)
        if data_age_ns is not None:
            self._earliest_unread_ns = max(self._earliest_unread_ns, now - data_age_ns)

    def of_read_data_ns(self) -> int:
        """Return a lower bound (monotonic ns) of the arrival time of data that has just been read."""
        earliest_ns = self._hold_detector.earliest_arrival_ns()
        return min(earliest_ns, self._earliest_unread_ns) if self._earliest_unread_ns else earliest_ns

    def on_read(self, detector: DisconnectDetector, may_have_filled_buffer: bool) -> None:
        """Drop the bound after a read that left nothing unread, unless reading is paused."""
        if self._earliest_unread_ns and not (may_have_filled_buffer and detector.is_readable()):
            self._earliest_unread_ns = 0

    def on_paused(self, detector: DisconnectDetector) -> None:
        """Keep the bound of data that is unread already; otherwise set it to now, as reading is paused."""
        if not self._earliest_unread_ns or not detector.is_readable():
            self._earliest_unread_ns = monotonic_ns()

    def on_resumed(self, detector: DisconnectDetector) -> None:
        """Drop the bound if no data arrived while reading was paused."""
        if not detector.is_readable():
            self._earliest_unread_ns = 0
