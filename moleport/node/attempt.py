"""One attempt to send a request to one server, from asking for permission to reporting its single result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from time import monotonic_ns

from moleport.node.attempt_owner import AttemptOwner, WritePermission
from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault
from moleport.node.response_parser import ServerResponse
from moleport.node.server_connection import ServerConnection
from moleport.policy.interface import AttemptResult, EndpointId
from moleport.telemetry import Event
from moleport.units import NS_PER_MS, NS_PER_SECOND, NS_PER_US

# After its n-th connect failure by a fault of this machine or its network, an attempt waits for
# min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**min(n, MAX_BACKOFF_DOUBLINGS)) seconds before it connects again.
BACKOFF_BASE_S = 0.0025
MAX_BACKOFF_DOUBLINGS = 4
MAX_BACKOFF_S = 0.04
# An attempt that has had more than MAX_LOCAL_FAULT_COUNT connect failures by faults of this machine or its
# network ends as not sent if the latest failure is a missing route.
MAX_LOCAL_FAULT_COUNT = 8
# After a hold, in which the event loop did not run, an attempt must wait until all input is read. At this
# interval it asks the attempt supervisor, which starts all attempts, again whether it may connect or write.
PERMISSION_POLL_INTERVAL_S = 0.002
# If the timer of an attempt's timeout fires late by more than this, a hold of the process is assumed.
MAX_TIMER_DELAY_NS = 5 * NS_PER_MS
# If the timer of an attempt's timeout fires late, the attempt times out only after this wait, in which the
# event loop reads each readable socket at least once, so that a response that has arrived still counts.
SOCKET_READ_DELAY_S = 0.001

UNSENT_RESULTS = (AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED)
"""Results that claim that the last byte of the request was not written."""


class AttemptState(Enum):
    """The progress of an attempt."""

    # The attempt has no connection. It waits for the end of a connect backoff, or for the permission of the
    # attempt supervisor, which starts and authorizes all attempts, to connect or write.
    WAITING = "waiting"
    CONNECTING = "connecting"  # the attempt is opening a connection to the server
    CONNECTED = "connected"  # the attempt has a new connection to the server, and has written nothing to it
    IN_FLIGHT = "in flight"  # the attempt's request is written, or being written
    ENDED = "ended"  # a response, a fault, a timer or `Attempt.cancel` has ended the attempt


class Attempt:
    """One attempt to send a request to one server.

    The state advances from WAITING through CONNECTING and CONNECTED to IN_FLIGHT, and every state can change
    to ENDED. An attempt that reuses an idle connection changes from WAITING to IN_FLIGHT directly. A local
    fault while connecting changes the state back to WAITING. Only `_set_state` changes the state. Once the
    attempt has started, the state alone determines whether the attempt is in `ConnectionPool.unsent`.

    - WAITING: `_permission_timer` runs, until the next call of `authorize_write` or the end of a backoff.
    - CONNECTING: `_connect_task` runs.
    - CONNECTED: `_new_connection` is set, and `_permission_timer` runs if the owner has returned WAIT.
    - IN_FLIGHT: the request is written, or being written, to `_connection`.

    Only `end` changes the state to ENDED; its first call reports the result, later calls have no effect.
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
        "_write_deadline_timer",
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
        """Prepare an attempt; `start` begins it.

        `head` holds the request line and the headers without the blank line at their end. All times are in
        monotonic ns. The attempt ends at `expires_at_ns` at the latest, and as not sent if the last byte of
        its request is not written by `write_deadline_ns`; 0 sets no write deadline. `effective_start_ns` is
        the time of the start minus the sum of all earlier holds; the attempt adds its backoffs to it.
        """
        self.request_number = request_number
        self.index = index  # position of the attempt among those of its request, from 0
        self.endpoint_id = endpoint_id
        self.pool = pool
        # Start (monotonic ns) of the attempt, minus all earlier holds, plus the attempt's connect backoffs.
        self.effective_start_ns = effective_start_ns
        self.expires_at_ns = expires_at_ns
        self.write_deadline_ns = write_deadline_ns
        # Time (monotonic ns) at which the attempt's request was written, set by AttemptSupervisor; 0 before.
        self.written_at_ns = 0
        self._head = head
        self._body = body
        self._owner = owner
        self._state = AttemptState.WAITING
        self._connection: ServerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._new_connection: ServerConnection | None = None
        self._permission_timer: asyncio.TimerHandle | None = None
        self._local_fault_count = 0  # number of connect failures by faults of this machine or its network
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._write_deadline_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin the attempt, which may end before this call returns."""
        if self.write_deadline_ns:
            remaining_s = max(0, self.write_deadline_ns - monotonic_ns()) / NS_PER_SECOND
            self._write_deadline_timer = asyncio.get_running_loop().call_later(
                remaining_s, self.end_if_unwritten
            )
        self._acquire_connection()

    def cancel(self) -> None:
        """End the attempt because its request no longer needs a response."""
        self.end(AttemptResult.CANCELLED)

    def has_send_capacity(self) -> bool:
        """Return whether the kernel takes a complete response for the client."""
        return self._owner.has_send_capacity(self)

    def end_if_unwritten(self) -> None:
        """End the attempt as not sent, unless its request is completely written."""
        if not self._is_written():
            self.end(AttemptResult.NOT_SENT)

    def end(self, result: AttemptResult, response: ServerResponse | None = None) -> None:
        """Release the attempt's timers and connections, and report the result of the attempt to its owner.

        Only the first call has an effect. A result of `UNSENT_RESULTS` is reported as CANCELLED if the
        request is completely written.
        """
        if self._state is AttemptState.ENDED:
            return
        if result in UNSENT_RESULTS and self._is_written():
            # The request is completely written, so CANCELLED is reported: a result that claims that the
            # request was not sent (UNSENT_RESULTS) would permit a retry, which could execute it twice.
            self._owner.on_written_ended_unsent(self, result)
            result = AttemptResult.CANCELLED
        self._set_state(AttemptState.ENDED)
        for timer in (self._expiry_timer, self._write_deadline_timer, self._permission_timer):
            if timer is not None:
                timer.cancel()
        try:
            self._release_connections()
        finally:
            self._owner.on_attempt_ended(self, result, response)

    def _release_connections(self) -> None:
        """Cancel connecting, return an unused connection to the pool, and release a connection in use."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        new_connection, self._new_connection = self._new_connection, None
        if new_connection is not None:
            self.pool.return_unused(new_connection)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)

    def _set_state(self, state: AttemptState) -> None:
        """Change the state of the attempt, and update `ConnectionPool.unsent` accordingly.

        `ConnectionPool.unsent` holds a started attempt unless the attempt is in flight or has ended.
        """
        self._state = state
        if state is AttemptState.IN_FLIGHT or state is AttemptState.ENDED:
            self.pool.unsent.pop(self, None)
        else:
            self.pool.unsent[self] = None

    # Methods with which an attempt obtains a connection to its server.

    def _acquire_connection(self) -> None:
        """Write the request to an idle connection or open a new connection, if the owner gives permission.

        Connecting needs permission like writing, because a connection uses resources of the server and the
        client may have disconnected.
        """
        if not self._has_permission(self._acquire_connection):
            return
        connection = self.pool.acquire()
        if connection is not None:
            self._write_request(connection)
        elif not self.pool.pools.ensure_capacity():
            # All sockets for connections to servers are in use, which is not a fault of the attempt's server.
            self.end(AttemptResult.NOT_SENT)
        else:
            self._set_state(AttemptState.CONNECTING)
            self._start_timer(min(self.expires_at_ns, monotonic_ns() + self.pool.pools.connect_timeout_ns))
            self._connect_task = asyncio.get_running_loop().create_task(self._open_connection())

    def _has_permission(self, retry: Callable[[], None]) -> bool:
        """Return whether the owner grants permission to connect or write.

        The attempt ends as not sent if permission is denied. If the owner returns WAIT, `retry` is scheduled.
        """
        permission = self._owner.authorize_write(self)
        if permission is WritePermission.DENIED:
            self.end(AttemptResult.NOT_SENT)
        elif permission is WritePermission.WAIT:
            self._set_state(AttemptState.CONNECTED if self._new_connection else AttemptState.WAITING)
            self._permission_timer = asyncio.get_running_loop().call_later(PERMISSION_POLL_INTERVAL_S, retry)
        return permission is WritePermission.GRANTED

    async def _open_connection(self) -> None:
        """Connect to the server, and write the request or handle the error."""
        connection = ServerConnection(self.pool)
        pools = self.pool.pools
        # In `ConnectionPools.socket_count`, Attempt counts connecting sockets, ServerConnection open ones.
        pools.socket_count += 1
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self.pool.address)
        except asyncio.CancelledError:
            connection.on_connect_cancelled()
            raise
        except OSError as error:
            self._connect_task = None
            self._on_connect_failed(pools.classify_connect_error(self.pool.address, error))
            return
        finally:
            pools.socket_count -= 1
        self._connect_task = None
        pools.on_connected()
        # The state is checked, as the attempt may have ended in the event loop iteration that connected it.
        if self._state is AttemptState.ENDED:
            connection.close()
        elif connection.closed:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self._new_connection = connection
            self._set_state(AttemptState.CONNECTED)
            self._write_to_new_connection()

    def _on_connect_failed(self, fault: Fault) -> None:
        """End the attempt if the server is at fault; otherwise connect again after a backoff.

        The attempt stays at the same server after a local fault, because such a fault is transient and would
        affect a connection to any other server too.
        """
        if fault is Fault.PEER:
            self._owner.record_attempt_event(self, Event.CONNECT_FAILED)
            self.end(AttemptResult.CONNECT_FAILED)
            return
        self._owner.record_attempt_event(self, Event.CONNECT_FAILED_LOCALLY)
        self._local_fault_count += 1
        if fault is Fault.PATH and self._local_fault_count > MAX_LOCAL_FAULT_COUNT:
            self.end(AttemptResult.NOT_SENT)
            return
        if fault is Fault.DESCRIPTORS:
            self.pool.pools.close_longest_idle()
        self._set_state(AttemptState.WAITING)
        doublings = min(self._local_fault_count, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**doublings)
        # A connect backoff is excluded from the attempt's elapsed time that the policy receives.
        self.effective_start_ns += int(backoff_s * NS_PER_SECOND)
        self._permission_timer = asyncio.get_running_loop().call_later(backoff_s, self._acquire_connection)

    # Methods with which an attempt writes its request to a connection.

    def _write_to_new_connection(self) -> None:
        """Write the request to the new connection if the owner still permits it."""
        if not self._has_permission(self._write_to_new_connection):
            return
        connection, self._new_connection = self._new_connection, None
        assert connection is not None
        self._write_request(connection)

    def _write_request(self, connection: ServerConnection) -> None:
        """Write the request with its remaining time as X-Deadline, or end the attempt if no time remains."""
        if connection.closed:  # server connection closed while the attempt supervisor held back the write
            self.end(AttemptResult.CONNECT_FAILED)
            return
        now = monotonic_ns()
        remaining_ns = self.expires_at_ns - now
        is_write_overdue = 0 < self.write_deadline_ns <= now
        if remaining_ns <= 0 or is_write_overdue:
            self._owner.record_attempt_event(self, Event.ATTEMPT_STOPPED_AFTER_DEADLINE)
            self.pool.return_unused(connection)
            # The server is not at fault if the attempt missed its write deadline, or waited for the attempt
            # supervisor's permission to connect or write, or for the end of a connect backoff.
            is_own_delay = is_write_overdue or self._permission_timer is not None
            self.end(AttemptResult.NOT_SENT if is_own_delay else AttemptResult.CONNECT_FAILED)
            return
        # Nothing slow may run between reading the clock and writing the request, or X-Deadline states more
        # time than remains. A hold of the process between reading the clock and writing has the same effect.
        connection.send(
            self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, remaining_ns // NS_PER_US, self._body)
        )
        written_at_ns = monotonic_ns()
        self._connection = connection
        connection.await_response(len(self._head) + len(self._body))
        self._set_state(AttemptState.IN_FLIGHT)
        self._start_timer(self.expires_at_ns)
        self._owner.on_request_written(self, remaining_ns, written_at_ns)

    def _is_written(self) -> bool:
        """Return whether the kernel has accepted the last byte of the request."""
        return self._connection is not None and self._connection.written

    # Methods that enforce the time limit of an attempt.

    def _start_timer(self, expires_at_ns: int) -> None:
        """Start or replace the timer that ends the attempt at or after `expires_at_ns`, in monotonic ns.

        The timer's delay is rounded up, because the event loop rounds to milliseconds and must not fire
        early: a retry after an early timeout would have too little time for any server to respond, and the
        timeout of the retry would count as a failure of its server.
        """
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        delay_ms = max(0, expires_at_ns - monotonic_ns()) // NS_PER_MS + 1
        self._expiry_timer = asyncio.get_running_loop().call_later(
            delay_ms * NS_PER_MS / NS_PER_SECOND, self._on_timer, expires_at_ns
        )

    def _on_timer(self, expires_at_ns: int) -> None:
        """End the attempt as timed out, unless its response may still be unread.

        After a hold the event loop may run timers before it reads its sockets, while the response is in the
        kernel's receive buffer. A timer that fires late therefore waits until the sockets have been read.
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
        """End the attempt with the result that matches its progress at the timeout."""
        if self._is_written():
            self.end(AttemptResult.TIMEOUT)
        elif self._local_fault_count or self._state is AttemptState.CONNECTED:
            self.end(AttemptResult.NOT_SENT)
        else:
            self.end(AttemptResult.CONNECT_FAILED)
