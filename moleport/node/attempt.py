"""One attempt: a request at one server, from the permission to write it to its single result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from time import monotonic_ns
from typing import Protocol

from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault
from moleport.node.response_parser import ServerResponse
from moleport.node.server_connection import ServerConnection
from moleport.policy.interface import AttemptResult, EndpointId
from moleport.telemetry import Event
from moleport.units import NS_PER_MS, NS_PER_SECOND, NS_PER_US

MS_PER_S = 1000
BACKOFF_BASE_S = 0.0025  # doubled for each local fault in connecting: the first backoff is twice this
MAX_BACKOFF_DOUBLINGS = 4
MAX_BACKOFF_S = 0.04
MAX_UNROUTED_CONNECTS_COUNT = 8
PERMISSION_POLL_INTERVAL_S = 0.002
MAX_TIMER_DELAY_NS = 5 * NS_PER_MS  # a longer one means that the process was held up
SOCKET_READ_DELAY_S = 0.001  # in which the event loop reads its sockets once

UNSENT_RESULTS = (AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED)
"""Results that say that the last byte of the request was not written."""


class WritePermission(Enum):
    """The owner's answer to an attempt that is about to connect or to write."""

    GRANTED = "write"
    WAIT = "wait"  # poll again soon
    DENIED = "stop"  # the attempt ends unsent


class AttemptState(Enum):
    """How far an attempt has come."""

    WAITING = "waiting"  # for permission, or for a backoff to pass
    CONNECTING = "connecting"
    CONNECTED = "connected"  # the new connection has not carried a request
    IN_FLIGHT = "in flight"  # the request is written, or being written
    ENDED = "ended"  # by a response, a fault, a timer or `cancel`


class AttemptOwner(Protocol):
    """The party that starts attempts, permits their writes and takes their results."""

    def authorize_write(self, attempt: Attempt) -> WritePermission:
        """Return whether the attempt may connect, or write, now."""
        ...

    def record_attempt_event(self, attempt: Attempt, event: Event) -> None:
        """Count and trace an event of the attempt."""

    def on_request_written(self, attempt: Attempt, timeout_ns: int, written_at_ns: int) -> None:
        """Handle a request that is with the kernel, or in the write buffer in front of it.

        `timeout_ns` is the time left that the request states to the server, `written_at_ns` a monotonic time.
        """

    def on_written_ended_unsent(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle that an attempt was to end as not executed though its last byte is with the kernel."""

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, response: ServerResponse | None
    ) -> None:
        """Handle the result of an attempt; it comes exactly once for each."""


class Attempt:
    """One request at one server.

    It goes through the states of `AttemptState`, from WAITING to IN_FLIGHT and from each of them to ENDED.
    Only `_enter` changes the state, on which alone depends whether the pool takes the attempt for unsent.
    A local fault in connecting leads back to WAITING, and an idle connection from there to IN_FLIGHT.

    - WAITING and CONNECTED: polls its owner for permission (`_permission_timer`)
    - CONNECTING: `_connect_task` runs
    - CONNECTED: holds `_new_connection`
    - IN_FLIGHT: its request is written, or being written, to `_connection`

    `end` is the only way to ENDED; only its first call has an effect.
    """

    __slots__ = (
        "_body",
        "_connect_task",
        "_connection",
        "_expiry_timer",
        "_head",
        "_local_fault_count",
        "_new_connection",
        "_owner",
        "_permission_timer",
        "_state",
        "_write_timer",
        "effective_start_ns",
        "endpoint_id",
        "expires_at_ns",
        "index",
        "pool",
        "request_number",
        "write_deadline_ns",
        "written_at_ns",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        request_number: int,
        index: int,
        endpoint_id: EndpointId,
        pool: ConnectionPool,
        head: bytes,
        body: bytes,
        effective_start_ns: int,
        expires_at_ns: int,
        write_deadline_ns: int,
    ) -> None:
        """Prepare an attempt that begins with `start`.

        `head` is the request line and the headers without the closing empty line. All times are monotonic,
        in ns; a `write_deadline_ns` of 0 sets no such limit. `effective_start_ns` is the time of the start
        less the sum of holds until then; backoffs are added to it later.
        """
        self.request_number = request_number
        self.index = index  # among the attempts of its request, from 0
        self.endpoint_id = endpoint_id
        self.pool = pool
        self.effective_start_ns = effective_start_ns  # less the sum of holds, plus backoffs
        self.expires_at_ns = expires_at_ns
        self.write_deadline_ns = write_deadline_ns
        self.written_at_ns = 0  # 0: not written
        self._head = head
        self._body = body
        self._owner = owner
        self._state = AttemptState.WAITING
        self._connection: ServerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._new_connection: ServerConnection | None = None
        self._permission_timer: asyncio.TimerHandle | None = None
        self._local_fault_count = 0  # connects that failed for a fault of this machine or its network
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin the attempt; it may end within this call."""
        if self.write_deadline_ns:
            remaining_s = max(0, self.write_deadline_ns - monotonic_ns()) / NS_PER_SECOND
            self._write_timer = asyncio.get_running_loop().call_later(remaining_s, self.give_up_unwritten)
        self._acquire_connection()

    def cancel(self) -> None:
        """End the attempt because its request needs no response any more."""
        self.end(AttemptResult.CANCELLED)

    def give_up_unwritten(self) -> None:
        """End the attempt unless its request has been written."""
        if not self._is_written():
            self.end(AttemptResult.NOT_SENT)

    def end(self, result: AttemptResult, response: ServerResponse | None = None) -> None:
        """Release timers and connections, and report the result to the owner; later calls have no effect."""
        if self._state is AttemptState.ENDED:
            return
        if result in UNSENT_RESULTS and self._is_written():
            # A retry could execute the request twice.
            self._owner.on_written_ended_unsent(self, result)
            result = AttemptResult.CANCELLED
        self._enter(AttemptState.ENDED)
        for timer in (self._expiry_timer, self._write_timer, self._permission_timer):
            if timer is not None:
                timer.cancel()
        try:
            self._release_connections()
        finally:
            self._owner.on_attempt_ended(self, result, response)

    def _release_connections(self) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
        new_connection, self._new_connection = self._new_connection, None
        if new_connection is not None:
            self.pool.return_unused(new_connection)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)

    def _enter(self, state: AttemptState) -> None:
        """Change the state; the pool may end the attempt as unsent until it is in flight."""
        self._state = state
        if state is AttemptState.IN_FLIGHT or state is AttemptState.ENDED:
            self.pool.unsent.pop(self, None)
        else:
            self.pool.unsent[self] = None

    # Connecting.

    def _acquire_connection(self) -> None:
        """Write to an idle connection, or open one, if the owner permits it.

        Connecting needs permission too: it costs the server, and the client may have disconnected.
        """
        if not self._has_permission(self._acquire_connection):
            return
        connection = self.pool.take()
        if connection is not None:
            self._write_request(connection)
        elif not self.pool.pools.ensure_capacity():
            # A lack of descriptors in this process is no fault of the server.
            self.end(AttemptResult.NOT_SENT)
        else:
            self._enter(AttemptState.CONNECTING)
            self._start_timer(min(self.expires_at_ns, monotonic_ns() + self.pool.pools.connect_timeout_ns))
            self._connect_task = asyncio.get_running_loop().create_task(self._open_connection())

    def _has_permission(self, retry: Callable[[], None]) -> bool:
        """Return whether the owner permits to go on; if it wants the attempt to wait, schedule `retry`."""
        permission = self._owner.authorize_write(self)
        if permission is WritePermission.DENIED:
            self.end(AttemptResult.NOT_SENT)
        elif permission is WritePermission.WAIT:
            self._enter(AttemptState.CONNECTED if self._new_connection else AttemptState.WAITING)
            self._permission_timer = asyncio.get_running_loop().call_later(PERMISSION_POLL_INTERVAL_S, retry)
        return permission is WritePermission.GRANTED

    async def _open_connection(self) -> None:
        """Connect to the server, and write the request or handle the error."""
        connection = ServerConnection(self.pool)
        pools = self.pool.pools
        pools.sockets += 1  # while it is connecting; an open connection counts itself
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self.pool.address)
        except asyncio.CancelledError:
            connection.on_connect_cancelled()
            raise
        except OSError as error:
            self._connect_task = None
            self._on_connect_failed(pools.fault_of_connect_error(self.pool.address, error))
            return
        finally:
            pools.sockets -= 1
        self._connect_task = None
        pools.on_connected()
        if self._state is AttemptState.ENDED:  # it ended in the same iteration of the event loop
            connection.close()
        elif connection.closed:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self._new_connection = connection
            self._enter(AttemptState.CONNECTED)
            self._write_to_new_connection()

    def _on_connect_failed(self, fault: Fault) -> None:
        """End the attempt if the server is at fault; else connect to the same server after a backoff.

        A local fault is transient, and an attempt at another server would meet it too.
        """
        if fault is Fault.PEER:
            self._owner.record_attempt_event(self, Event.CONNECT_FAILED)
            self.end(AttemptResult.CONNECT_FAILED)
            return
        self._owner.record_attempt_event(self, Event.CONNECT_FAILED_LOCALLY)
        self._local_fault_count += 1
        if fault is Fault.PATH and self._local_fault_count > MAX_UNROUTED_CONNECTS_COUNT:
            self.end(AttemptResult.NOT_SENT)
            return
        if fault is Fault.DESCRIPTORS:
            self.pool.pools.close_longest_idle()
        self._enter(AttemptState.WAITING)
        doublings = min(self._local_fault_count, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**doublings)
        self.effective_start_ns += int(backoff_s * NS_PER_SECOND)  # not part of the server's response time
        self._permission_timer = asyncio.get_running_loop().call_later(backoff_s, self._acquire_connection)

    # Writing.

    def _write_to_new_connection(self) -> None:
        """Write the request if the owner still permits it after connecting."""
        if not self._has_permission(self._write_to_new_connection):
            return
        connection, self._new_connection = self._new_connection, None
        assert connection is not None
        self._write_request(connection)

    def _write_request(self, connection: ServerConnection) -> None:
        """Write the request with the time that is left, unless there is none."""
        if connection.closed:  # by the server, while the attempt waited
            self.end(AttemptResult.CONNECT_FAILED)
            return
        now = monotonic_ns()
        remaining_ns = self.expires_at_ns - now
        is_write_overdue = 0 < self.write_deadline_ns <= now
        if remaining_ns <= 0 or is_write_overdue:
            self._owner.record_attempt_event(self, Event.ATTEMPT_STOPPED_TOO_LATE)
            self.pool.return_unused(connection)
            # Neither a passed write deadline nor time spent waiting here is the server's fault.
            is_own_delay = is_write_overdue or self._permission_timer is not None
            self.end(AttemptResult.NOT_SENT if is_own_delay else AttemptResult.CONNECT_FAILED)
            return
        # Nothing else stands between the clock and the write: a hold there makes the stated timeout too long.
        connection.send(
            self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, remaining_ns // NS_PER_US, self._body)
        )
        written_at_ns = monotonic_ns()
        self._connection = connection
        self._enter(AttemptState.IN_FLIGHT)
        self._start_timer(self.expires_at_ns)
        self._owner.on_request_written(self, remaining_ns, written_at_ns)

    def _is_written(self) -> bool:
        """Return whether the last byte of the request is with the kernel."""
        return self._connection is not None and self._connection.written

    # Time limits.

    def _start_timer(self, expires_at_ns: int) -> None:
        """Set the timer that ends the attempt, in place of one that is set, never ahead of the time given.

        The event loop rounds to milliseconds. An attempt that timed out early would leave time for retries
        too short for any server to answer, which would count as failures of these servers.
        """
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        delay_ms = max(0, expires_at_ns - monotonic_ns()) // NS_PER_MS + 1
        self._expiry_timer = asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_S, self._on_timer, expires_at_ns
        )

    def _on_timer(self, expires_at_ns: int) -> None:
        """End the attempt as timed out.

        After a hold the event loop may run timers ahead of its sockets, with the response unread in the
        kernel. An overdue timer therefore lets it read the sockets first.
        """
        now = monotonic_ns()
        if now < expires_at_ns:
            self._start_timer(expires_at_ns)
        elif now > expires_at_ns + MAX_TIMER_DELAY_NS:
            self._expiry_timer = asyncio.get_running_loop().call_later(
                SOCKET_READ_DELAY_S, self._end_timed_out
            )
        else:
            self._end_timed_out()

    def _end_timed_out(self) -> None:
        """End the attempt with the result that fits how far it got."""
        if self._is_written():
            self.end(AttemptResult.TIMEOUT)
        elif self._local_fault_count or self._state is AttemptState.CONNECTED:
            self.end(AttemptResult.NOT_SENT)
        else:
            self.end(AttemptResult.CONNECT_FAILED)
