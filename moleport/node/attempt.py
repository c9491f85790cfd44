"""One attempt at a server: its leave to write, its connection, its time, its single end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from time import monotonic_ns
from typing import Protocol

from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault, fault_of
from moleport.node.server_connection import ServerConnection, ServerResponse
from moleport.policy.interface import AttemptResult, EndpointId
from moleport.telemetry import Event

REDIAL_PAUSE = 0.0025  # s until a dial that failed for this machine's fault is tried again; doubles
REDIAL_DOUBLINGS = 4
REDIAL_PAUSE_MOST = 0.04  # s
UNREACHABLE_LEAST = 2  # servers in a row that no way leads to: the way is at fault, not they
PATH_TRIES = 8  # dials, for some 0.25 s
RECHECK = 0.002  # s until an attempt that has to wait asks for leave again
LATE = 5_000_000  # ns that a timer may come behind its time before the process counts as held up


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
        "_connection",
        "_dial",
        "_dialed",
        "_head",
        "_own_faults",
        "_owner",
        "_timer",
        "_wait_timer",
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
        self._dial: asyncio.Task[None] | None = None
        self._dialed: ServerConnection | None = None  # has come up, and waits for leave to be written to
        self._wait_timer: asyncio.TimerHandle | None = None
        self._own_faults = 0  # dials that failed for this machine's fault
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.write_deadline_ns:
            left = max(0, self.write_deadline_ns - monotonic_ns()) / 1e9
            self._write_timer = asyncio.get_running_loop().call_later(left, self.give_up_unwritten)
        self._begin()

    def _begin(self) -> None:
        """Write on a connection that is idle, or dial one. Neither without leave: the client may have left
        since the request was read, and a dial costs its server as well."""
        if not self._has_leave(self._begin):
            return
        if (connection := self.pool.take()) is not None:
            self._write(connection)
        elif not self.pool.pools.make_room():
            # The node's own want of descriptors is no failure of the server.
            self.end(AttemptResult.NOT_SENT)
        else:
            self.pool.dialing[self] = None
            self._expires_at(min(self.expires_at_ns, monotonic_ns() + self.pool.pools.connect_timeout_ns))
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    def _has_leave(self, again: Callable[[], None]) -> bool:
        """Whether its owner lets it go on now; if it has to wait, `again` is called soon."""
        permit = self._owner.check_write_permission(self)
        if permit is WritePermission.DENIED:
            self.end(AttemptResult.NOT_SENT)
        elif permit is WritePermission.WAIT:
            self._wait_timer = asyncio.get_running_loop().call_later(RECHECK, again)
        return permit is WritePermission.GRANTED

    async def _connect(self) -> None:
        connection = ServerConnection(self.pool)
        self.pool.pools.sockets += 1  # while it is dialed; an open connection counts itself
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self.pool.address)
        except asyncio.CancelledError:
            connection.lost_unseen()
            raise
        except OSError as problem:
            self._dial = None
            self._dial_failed(fault_of(problem))
            return
        finally:
            self.pool.pools.sockets -= 1
        self._dial = None
        self.pool.dialing.pop(self, None)
        self.pool.pools.unreachable.clear()
        if self.done:  # it ended in the moment in which the connection came up
            connection.close()
        elif connection.closed:
            self.end(AttemptResult.CONNECT_FAILED)
        else:
            self._dialed = connection
            self._write_dialed()

    def _dial_failed(self, fault: Fault) -> None:
        """What is this machine's fault passes, and is no reason to try, or to blame, another server."""
        pools = self.pool.pools
        if fault is Fault.PATH:
            pools.unreachable.add(self.pool.address)
            # One server that nothing reaches is lost; several without one that is reached are cut off alike.
            if len(pools.unreachable) < min(UNREACHABLE_LEAST, len(pools.endpoint_ids())):
                fault = Fault.PEER
        if fault is Fault.PEER:
            self._owner.record_attempt_event(self, Event.DIAL_FAILED)
            self.end(AttemptResult.CONNECT_FAILED)
            return
        self._owner.record_attempt_event(self, Event.DIAL_FAILED_LOCALLY)
        self._own_faults += 1
        if self._own_faults > PATH_TRIES and fault is Fault.PATH:
            self.end(AttemptResult.NOT_SENT)
            return
        if fault is Fault.DESCRIPTORS:
            pools.close_idlest()
        pause = min(REDIAL_PAUSE_MOST, REDIAL_PAUSE * 2 ** min(self._own_faults, REDIAL_DOUBLINGS))
        self.started_at_ns += int(pause * 1e9)  # no time of the server's
        self._wait_timer = asyncio.get_running_loop().call_later(pause, self._begin)

    def _write_dialed(self) -> None:
        """While it was dialed the client may have left, or the server."""
        if self._has_leave(self._write_dialed):
            connection, self._dialed = self._dialed, None
            assert connection is not None
            self._write(connection)

    def _write(self, connection: ServerConnection) -> None:
        if connection.closed:  # it ended while the attempt waited
            self.end(AttemptResult.CONNECT_FAILED)
            return
        now = monotonic_ns()
        left = self.expires_at_ns - now
        too_late_to_write = 0 < self.write_deadline_ns <= now
        if left <= 0 or too_late_to_write:
            self._owner.record_attempt_event(self, Event.ATTEMPT_STOPPED_TOO_LATE)
            self.pool.put_back(connection)
            # That the time to write it was short is no failure of the server.
            self.end(AttemptResult.NOT_SENT if too_late_to_write else AttemptResult.CONNECT_FAILED)
            return
        self._connection = connection
        self._expires_at(self.expires_at_ns)
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, left // 1000, self._body))
        self._owner.on_request_written(self, left)

    def _expires_at(self, at: int) -> None:
        # The loop counts in whole milliseconds and rounds. Guards against a time-out that comes a little
        # early: the module would find time left, and spend a further attempt that has none on each of the
        # other servers, to each of which it would look like a failure.
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0, at - monotonic_ns()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._expire, at)

    def _expire(self, at: int) -> None:
        now = monotonic_ns()
        if now < at:
            self._expires_at(at)
            return
        if now > at + LATE:
            # The loop looks at timers ahead of its sockets. Guards against a process that was held up: what
            # was answered meanwhile is with the kernel, and would be given up unread.
            self._timer = asyncio.get_running_loop().call_later(0.001, self._give_up)
        else:
            self._give_up()

    def _give_up(self) -> None:
        if self._is_written():
            self.end(AttemptResult.TIMEOUT)
        else:
            self.end(AttemptResult.NOT_SENT if self._own_faults else AttemptResult.CONNECT_FAILED)

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
        for timer in (self._timer, self._write_timer, self._wait_timer):
            if timer is not None:
                timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self.pool.dialing.pop(self, None)
        dialed, self._dialed = self._dialed, None
        if dialed is not None:
            self.pool.put_back(dialed)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)
        self._owner.on_attempt_ended(self, result, answer)
