"""One attempt at a server: its leave to write, its connection, its time, its single end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from time import monotonic_ns
from typing import Protocol

from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault, fault_of
from moleport.node.response_parser import ServerResponse
from moleport.node.server_connection import ServerConnection
from moleport.policy.interface import AttemptResult, EndpointId
from moleport.telemetry import Event

INITIAL_BACKOFF_S = 0.0025  # s until a dial that failed for this machine's fault is tried again; doubles
MAX_BACKOFF_DOUBLINGS = 4
MAX_BACKOFF_S = 0.04  # s
MIN_UNREACHABLE_SERVERS = 2  # servers in a row that no way leads to: the way is at fault, not they
MAX_UNREACHABLE_ATTEMPTS = 8  # dials, for some 0.25 s
PERMISSION_POLL_INTERVAL_S = 0.002  # s until an attempt that has to wait asks for leave again
MAX_TIMER_DELAY_NS = (
    5_000_000  # ns that a timer may come behind its time before the process counts as held up
)


class WritePermission(Enum):
    """What the guard of all writes says of one that is about to begin."""

    GRANTED = "write"
    WAIT = "wait"  # ask again soon
    DENIED = "stop"  # nothing may be written for this attempt any more


class AttemptOwner(Protocol):
    """Who an attempt asks before each write and dial, and tells of what became of it."""

    def check_write_permission(self, attempt: Attempt) -> WritePermission: ...

    def record_attempt_event(self, attempt: Attempt, event: Event) -> None:
        """Why it goes no further, or on."""

    def on_request_written(self, attempt: Attempt, told: int) -> None:
        """Its last byte is with the kernel, or soon will be; the server was told of `told` ns."""

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, answer: ServerResponse | None
    ) -> None: ...


class Attempt:
    """One request at one server. It ends once: by `end`, and then its owner hears of it."""

    __slots__ = (
        "_body",
        "_connect_task",
        "_connection",
        "_head",
        "_local_fault_count",
        "_new_connection",
        "_owner",
        "_retry_timer",
        "_timer",
        "_write_timer",
        "done",
        "endpoint_id",
        "expires_at_ns",
        "index",
        "pool",
        "request_number",
        "started_at_ns",
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
        started_at_ns: int,
        expires_at_ns: int,
        write_deadline_ns: int,
    ) -> None:
        self.request_number = request_number  # its number
        self.index = index  # among the attempts of its request, from 0
        self.endpoint_id = endpoint_id
        self.pool = pool
        self.started_at_ns = started_at_ns  # monotonic ns, less the holds up to then
        self.expires_at_ns = expires_at_ns  # monotonic ns
        self.write_deadline_ns = write_deadline_ns  # monotonic ns; 0: no such bound
        self.written_at_ns = 0  # monotonic ns, when it was written; 0: it was not
        self.done = False
        self._head = head
        self._body = body
        self._owner = owner
        self._connection: ServerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._new_connection: ServerConnection | None = (
            None  # has come up, and waits for leave to be written to
        )
        self._retry_timer: asyncio.TimerHandle | None = None
        self._local_fault_count = 0  # dials that failed for this machine's fault
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.write_deadline_ns:
            left = max(0, self.write_deadline_ns - monotonic_ns()) / 1e9
            self._write_timer = asyncio.get_running_loop().call_later(left, self.give_up_unwritten)
        self._acquire_connection()

    def _acquire_connection(self) -> None:
        """Write on a connection that is idle, or dial one. Neither without leave: the client may have left
        since the request was read, and a dial costs its server as well."""
        if not self._has_permission(self._acquire_connection):
            return
        if (connection := self.pool.take()) is not None:
            self._write_request(connection)
        elif not self.pool.pools.ensure_capacity():
            # The node's own want of descriptors is no failure of the server.
            self.end(AttemptResult.NOT_SENT)
        else:
            self.pool.connecting[self] = None
            self._start_timer(min(self.expires_at_ns, monotonic_ns() + self.pool.pools.connect_timeout_ns))
            self._connect_task = asyncio.get_running_loop().create_task(self._open_connection())

    def _has_permission(self, again: Callable[[], None]) -> bool:
        """Whether its owner lets it go on now; if it has to wait, `again` is called soon."""
        permit = self._owner.check_write_permission(self)
        if permit is WritePermission.DENIED:
            self.end(AttemptResult.NOT_SENT)
        elif permit is WritePermission.WAIT:
            self._retry_timer = asyncio.get_running_loop().call_later(PERMISSION_POLL_INTERVAL_S, again)
        return permit is WritePermission.GRANTED

    async def _open_connection(self) -> None:
        connection = ServerConnection(self.pool)
        self.pool.pools.sockets += 1  # while it is dialed; an open connection counts itself
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self.pool.address)
        except asyncio.CancelledError:
            connection.on_connect_cancelled()
            raise
        except OSError as problem:
            self._connect_task = None
            self._on_connect_failed(fault_of(problem))
            return
        finally:
            self.pool.pools.sockets -= 1
        self._connect_task = None
        self.pool.connecting.pop(self, None)
        self.pool.pools.unreachable.clear()
        if self.done:  # it ended in the moment in which the connection came up
            connection.close()
        elif connection.closed:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self._new_connection = connection
            self._write_to_new_connection()

    def _on_connect_failed(self, fault: Fault) -> None:
        """What is this machine's fault passes, and is no reason to try, or to blame, another server."""
        pools = self.pool.pools
        if fault is Fault.PATH:
            pools.unreachable.add(self.pool.address)
            # One server that nothing reaches is lost; several without one that is reached are cut off alike.
            if len(pools.unreachable) < min(MIN_UNREACHABLE_SERVERS, len(pools.endpoint_ids())):
                fault = Fault.PEER
        if fault is Fault.PEER:
            self._owner.record_attempt_event(self, Event.DIAL_FAILED)
            self.end(AttemptResult.CONNECT_FAILED)
            return
        self._owner.record_attempt_event(self, Event.DIAL_FAILED_LOCALLY)
        self._local_fault_count += 1
        if self._local_fault_count > MAX_UNREACHABLE_ATTEMPTS and fault is Fault.PATH:
            self.end(AttemptResult.NOT_SENT)
            return
        if fault is Fault.DESCRIPTORS:
            pools.close_longest_idle()
        pause = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(self._local_fault_count, MAX_BACKOFF_DOUBLINGS)
        )
        self.started_at_ns += int(pause * 1e9)  # no time of the server's
        self._retry_timer = asyncio.get_running_loop().call_later(pause, self._acquire_connection)

    def _write_to_new_connection(self) -> None:
        """While it was dialed the client may have left, or the server."""
        if self._has_permission(self._write_to_new_connection):
            connection, self._new_connection = self._new_connection, None
            assert connection is not None
            self._write_request(connection)

    def _write_request(self, connection: ServerConnection) -> None:
        if connection.closed:  # it ended while the attempt waited
            self.end(AttemptResult.CONNECT_FAILED)
            return
        now = monotonic_ns()
        left = self.expires_at_ns - now
        too_late_to_write = 0 < self.write_deadline_ns <= now
        if left <= 0 or too_late_to_write:
            self._owner.record_attempt_event(self, Event.ATTEMPT_STOPPED_TOO_LATE)
            self.pool.return_unused(connection)
            # That the time to write it was short is no failure of the server.
            self.end(AttemptResult.NOT_SENT if too_late_to_write else AttemptResult.CONNECT_FAILED)
            return
        self._connection = connection
        self._start_timer(self.expires_at_ns)
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, left // 1000, self._body))
        self._owner.on_request_written(self, left)

    def _start_timer(self, at: int) -> None:
        # The loop counts in whole milliseconds and rounds. Guards against a time-out that comes a little
        # early: the module would find time left, and spend a further attempt that has none on each of the
        # other servers, to each of which it would look like a failure.
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0, at - monotonic_ns()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._on_timer, at)

    def _on_timer(self, at: int) -> None:
        now = monotonic_ns()
        if now < at:
            self._start_timer(at)
            return
        if now > at + MAX_TIMER_DELAY_NS:
            # The loop looks at timers ahead of its sockets. Guards against a process that was held up: what
            # was answered meanwhile is with the kernel, and would be given up unread.
            self._timer = asyncio.get_running_loop().call_later(0.001, self._end_timed_out)
        else:
            self._end_timed_out()

    def _end_timed_out(self) -> None:
        if self._is_written():
            self.end(AttemptResult.TIMEOUT)
        else:
            self.end(AttemptResult.NOT_SENT if self._local_fault_count else AttemptResult.CONNECT_FAILED)

    def _is_written(self) -> bool:
        return self._connection is not None and self._connection.written

    def give_up_unwritten(self) -> None:
        if not self._is_written():
            self.end(AttemptResult.NOT_SENT)

    def cancel(self) -> None:
        self.end(AttemptResult.CANCELLED)

    def end(self, result: AttemptResult, answer: ServerResponse | None = None) -> None:
        if self.done:
            return
        self.done = True
        for timer in (self._timer, self._write_timer, self._retry_timer):
            if timer is not None:
                timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self.pool.connecting.pop(self, None)
        dialed, self._new_connection = self._new_connection, None
        if dialed is not None:
            self.pool.return_unused(dialed)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)
        self._owner.on_attempt_ended(self, result, answer)
