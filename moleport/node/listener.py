"""The listening socket: accepts clients while there are free slots, and backs off when accept fails."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from contextlib import suppress

from moleport.config.node_config import Config
from moleport.node.client_connection import ClientConnection, ClientContext
from moleport.node.connection_table import ConnectionTable
from moleport.node.dispatcher import Dispatcher
from moleport.node.error_codes import Fault, fault_of
from moleport.node.kernel_socket import is_readable
from moleport.telemetry import Event

log = logging.getLogger(__name__)

BACKLOG_CONNECTIONS = 1024
ACCEPT_BATCH_CONNECTIONS = 16  # in one loop iteration: others must get their turn in a flood of connections
FULL_TABLE_RETRY_SECONDS = 0.02
ACCEPT_BACKOFF_SECONDS = 0.002  # after the first failure; doubles with each failure in a row
MAX_ACCEPT_BACKOFF_SECONDS = 0.05
MAX_ACCEPT_BACKOFF_DOUBLINGS = 5


class Listener:
    """The listening socket and the connections accepted from it.

    The event loop watches the socket only while there is a free slot. At a full table clients wait in the
    kernel's queue, and a socket that stays readable costs nothing.
    """

    def __init__(self, dispatcher: Dispatcher, config: Config, max_connections: int) -> None:
        """Create a listener with its connection table; nothing is accepted before `listen`."""
        self.table = ConnectionTable(
            max_connections, dispatcher.telemetry, dispatcher.hold_detector, self._resume_accepting
        )
        self.context = ClientContext(dispatcher, config, self.table)
        self._telemetry = dispatcher.telemetry
        self._hold_detector = dispatcher.hold_detector
        self._address = config.listen_address
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._accepting = False
        self._retry_scheduled = False
        # Lower bound for the arrival of the clients in the queue, monotonic ns; 0: it was empty.
        self._queue_since_ns = 0
        self._failed_accepts = 0  # in a row
        self._connecting: set[asyncio.Task[None]] = set()

    def listen(self) -> tuple[str, int]:
        """Bind the configured address and accept clients from now on; return the host and port bound.

        Raises OSError if the address can't be used.
        """
        host, port = self._address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG_CONNECTIONS)
        self._resume_accepting()
        self.table.start_sweeping()
        address = self._socket.getsockname()
        return address[0], address[1]

    def _pause_accepting(self) -> None:
        if self._accepting and self._socket is not None:
            self._accepting = False
            self._loop.remove_reader(self._socket)

    def _resume_accepting(self) -> None:
        if not self._accepting and self._socket is not None:
            self._accepting = True
            self._loop.add_reader(self._socket, self.accept_batch)

    def accept_batch(self) -> None:
        """Accept the clients that wait, up to `ACCEPT_BATCH_CONNECTIONS`, as far as there are slots."""
        if self._socket is None:
            return
        since = self._queue_since_ns = self._queue_since_ns or self._hold_detector.earliest_arrival()
        for _ in range(ACCEPT_BATCH_CONNECTIONS):
            if not self.table.has_free_slot() and not self.table.reclaim_slot(len(self._connecting)):
                self._pause_accepting()
                self._schedule_retry()
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._queue_since_ns = 0
                return
            except OSError as error:
                self._on_accept_failed(error)
                return
            self._failed_accepts = 0
            self.table.take_slot()
            task = self._loop.create_task(self._set_up_connection(accepted, since))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    def _schedule_retry(self) -> None:
        """Accept again soon: some of the connections at a full table may be reclaimed by then."""
        if not self._retry_scheduled:
            self._retry_scheduled = True
            self._loop.call_later(FULL_TABLE_RETRY_SECONDS, self._on_retry_timer)

    def _on_retry_timer(self) -> None:
        self._retry_scheduled = False
        self._resume_accepting()

    def _on_accept_failed(self, error: OSError) -> None:
        """Pause with backoff: the socket stays readable while clients wait, and the loop would spin."""
        self._telemetry.count(Event.ACCEPT_FAILED, errno=error.errno)
        if fault_of(error) is Fault.DESCRIPTORS or error.errno in (errno.ENOBUFS, errno.ENOMEM):
            # Otherwise those that wait would do so until a client leaves.
            self.table.reclaim_slot(len(self._connecting))
        self._pause_accepting()
        doublings = min(self._failed_accepts, MAX_ACCEPT_BACKOFF_DOUBLINGS)
        backoff = min(MAX_ACCEPT_BACKOFF_SECONDS, ACCEPT_BACKOFF_SECONDS * 2**doublings)
        self._failed_accepts += 1
        self._loop.call_later(backoff, self._resume_accepting)

    async def _set_up_connection(self, accepted: socket.socket, earliest_arrival_ns: int) -> None:
        """Make an accepted socket a client connection."""
        try:
            accepted.setblocking(False)
            with suppress(OSError):  # out of memory for a moment, or the client is gone
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                lambda: ClientConnection(self.context, earliest_arrival_ns), accepted
            )
        except Exception as error:
            log.warning("an accepted connection could not be set up: %r", error)
            accepted.close()
            self.table.release_slot()

    # Shutdown, in the order in which graceful_shutdown calls it.

    def has_waiting_clients(self) -> bool:
        """Return whether clients wait in the kernel's queue: they would be reset with the socket."""
        return self._socket is not None and is_readable(self._socket.fileno())

    def stop_listening(self) -> None:
        """Close the listening socket; the connections stay open."""
        self._pause_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def wait_until_connected(self) -> None:
        """Wait until every accepted socket has become a connection or has failed to."""
        await asyncio.gather(*self._connecting)
