"""Accepts client connections while there are free slots, and backs off when `accept` fails."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from contextlib import suppress

from moleport.config.node_config import Config
from moleport.node.client_connection import ClientConnection
from moleport.node.client_context import ClientContext
from moleport.node.connection_table import ConnectionTable
from moleport.node.dispatcher import Dispatcher
from moleport.node.error_codes import Fault, classify_error
from moleport.node.kernel_socket import is_readable
from moleport.node.memory_budget import MemoryBudget
from moleport.telemetry import Event

log = logging.getLogger(__name__)

BACKLOG_CONNECTIONS = 1024
# Maximum number of accepted clients per event loop iteration: a burst must not delay other work for long.
ACCEPT_BATCH_CONNECTIONS = 16
# Delay before client connections are accepted again, while all client slots are in use and none can be freed.
FULL_TABLE_RETRY_SECONDS = 0.02
# Pause after the first failure of accept(2); the pause doubles with each failure in a row.
ACCEPT_BACKOFF_SECONDS = 0.002
MAX_ACCEPT_BACKOFF_SECONDS = 0.05
MAX_ACCEPT_BACKOFF_DOUBLINGS = 5


class Listener:
    """The listening socket, with the table of the connections accepted from it.

    The event loop watches the socket only while there is a free slot. While the table is full, clients wait
    in the kernel's accept queue, and the readable socket does not wake the loop.
    """

    def __init__(
        self, dispatcher: Dispatcher, config: Config, max_connections: int, memory: MemoryBudget
    ) -> None:
        """Create a listener with its connection table; nothing is accepted before `listen`."""
        self.table = ConnectionTable(
            max_connections,
            memory,
            dispatcher.telemetry,
            dispatcher.hold_detector,
            self._resume_accepting,
        )
        self.context = ClientContext(dispatcher, config, self.table)
        self._telemetry = dispatcher.telemetry
        self._hold_detector = dispatcher.hold_detector
        self._address = config.listen_address
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._is_accepting = False
        self._is_retry_scheduled = False
        # Lower bound (monotonic ns) of the connect times of clients in the accept queue; 0: empty queue.
        self._earliest_queued_arrival_ns = 0
        self._consecutive_accept_failures = 0
        self._setup_tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> tuple[str, int]:
        """Bind the configured address and start accepting; return the bound host and port.

        Raises OSError if the address cannot be bound.
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
        if self._is_accepting and self._socket is not None:
            self._is_accepting = False
            self._loop.remove_reader(self._socket)

    def _resume_accepting(self) -> None:
        if not self._is_accepting and self._socket is not None:
            self._is_accepting = True
            self._loop.add_reader(self._socket, self.accept_batch)

    def accept_batch(self) -> None:
        """Accept up to `ACCEPT_BATCH_CONNECTIONS` clients while slots are free or can be reclaimed."""
        if self._socket is None:
            return
        earliest_arrival_ns = self._earliest_queued_arrival_ns = (
            self._earliest_queued_arrival_ns or self._hold_detector.earliest_arrival_ns()
        )
        for _ in range(ACCEPT_BATCH_CONNECTIONS):
            if not self.table.has_free_slot() and not self.table.reclaim_slot(len(self._setup_tasks)):
                self._telemetry.count(Event.CLIENT_TABLE_FULL, **self.table.slot_counts()._asdict())
                self._pause_accepting()
                self._schedule_retry()
                return
            try:
                client_socket, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                self._earliest_queued_arrival_ns = 0
                return
            except OSError as error:
                self._on_accept_failed(error)
                return
            self._consecutive_accept_failures = 0
            self.table.acquire_slot()
            task = self._loop.create_task(self._set_up_connection(client_socket, earliest_arrival_ns))
            self._setup_tasks.add(task)
            task.add_done_callback(self._setup_tasks.discard)

    def _schedule_retry(self) -> None:
        """Schedule another accept while the table is full; a connection in it may be reclaimable by then."""
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._loop.call_later(FULL_TABLE_RETRY_SECONDS, self._on_retry_timer)

    def _on_retry_timer(self) -> None:
        self._is_retry_scheduled = False
        self._resume_accepting()

    def _on_accept_failed(self, error: OSError) -> None:
        """Stop accepting for a backoff time, or until a client slot is freed.

        Without the pause the event loop would spin, as the listening socket stays readable.
        """
        self._telemetry.count(Event.ACCEPT_FAILED, errno=error.errno)
        if classify_error(error) is Fault.DESCRIPTORS or error.errno in (errno.ENOBUFS, errno.ENOMEM):
            # If accept(2) lacks a file descriptor or memory, a client connection is closed to free its own;
            # otherwise clients in the accept queue would wait until a connected client disconnects.
            self.table.reclaim_slot(len(self._setup_tasks))
        self._pause_accepting()
        doublings = min(self._consecutive_accept_failures, MAX_ACCEPT_BACKOFF_DOUBLINGS)
        backoff = min(MAX_ACCEPT_BACKOFF_SECONDS, ACCEPT_BACKOFF_SECONDS * 2**doublings)
        self._consecutive_accept_failures += 1
        self._loop.call_later(backoff, self._resume_accepting)

    async def _set_up_connection(self, client_socket: socket.socket, earliest_arrival_ns: int) -> None:
        """Create the client connection of an accepted socket."""
        try:
            client_socket.setblocking(False)
            # A failure to set TCP_NODELAY on an accepted client socket is ignored: it occurs if memory is
            # short or the client has disconnected.
            with suppress(OSError):
                client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                lambda: ClientConnection(self.context, earliest_arrival_ns), client_socket
            )
        except Exception as error:
            log.warning("an accepted connection could not be set up: %r", error)
            client_socket.close()
            self.table.release_slot()

    # Methods for the shutdown of the listener, in the order in which graceful_shutdown calls them.

    def has_waiting_clients(self) -> bool:
        """Return whether clients wait in the accept queue; closing the listening socket would reset them."""
        return self._socket is not None and is_readable(self._socket.fileno())

    def stop_listening(self) -> None:
        """Close the listening socket; client connections stay open."""
        self._pause_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def wait_until_set_up(self) -> None:
        """Wait until the connection of every accepted socket is set up or has failed."""
        await asyncio.gather(*self._setup_tasks)
