"""Attempts at servers, and the pools of connections that carry them."""

from __future__ import annotations

import asyncio
import select
import socket
from bisect import insort
from collections.abc import Callable, KeysView
from contextlib import suppress
from enum import Enum
from http import HTTPStatus
from time import monotonic_ns
from typing import NamedTuple, Protocol, cast

import httptools

from moleport.node.error_codes import OWN, Fault, fault_of
from moleport.policy.interface import AttemptResult, EndpointId
from moleport.telemetry import Event

BODY_MOST = 64 << 10  # bytes of an answer
HEAD_MOST = 16 << 10
INTERIM_MOST = 16  # 1xx answers ahead of one
COOL_DOWN = 5_000_000  # ns for which a connection is left alone after an answer: more may be on its way
REDIAL_PAUSE = 0.0025  # s until a dial that failed for this machine's fault is tried again; doubles
REDIAL_DOUBLINGS = 4
REDIAL_PAUSE_MOST = 0.04  # s
UNREACHABLE_LEAST = 2  # servers in a row that no way leads to: the way is at fault, not they
PATH_TRIES = 8  # dials, for some 0.25 s
RECHECK = 0.002  # s until an attempt that has to wait asks for leave again
LATE = 5_000_000  # ns that a timer may come behind its time before the process counts as held up
IDLE_PART = 0.9  # of the server's idle limit: what is written to a connection after that limit is lost
NO_FAULT_OF_THE_REQUEST = (408, 429)  # 4xx, yet of the server's own time and load
WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
"""Headers that belong to one connection, and the length, which each side states anew."""


class ServerResponse(NamedTuple):
    status: int
    headers: list[tuple[bytes, bytes]]  # end to end, as they came
    body: bytes
    load_report: bytes  # the load report; empty if there is none


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


class ServerConnection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._parser: httptools.HttpResponseParser | None = None  # while the connection is open
        self._attempt: Attempt | None = None
        self.written = False  # the last byte of the request is with the kernel
        self.closed = False
        self.idle_since = 0
        self._reusable = False
        self._status = self._interims = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._load = b""
        self._not_run = False
        self._framed = False
        self._ends_with_connection = False  # the answer has neither a length nor chunks
        self._body: list[bytes] = []
        self._size = 0
        self._in_head = True
        self._whole = False  # the answer has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._pool.pools.sockets += 1
        self._parser = httptools.HttpResponseParser(self)
        own = transport.get_extra_info("socket")
        self._poll.register(own.fileno(), select.POLLIN)
        with suppress(OSError):  # it may be broken already
            own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # With no room in the buffer each write is tried at once, and what is left over tells when it is out.
        transport.set_write_buffer_limits(high=0)

    def is_quiet(self) -> bool:
        """Nothing has come that was not asked for, nor the end. Guards against a second copy of an answer
        that is with the kernel still: the next client would get it for its own."""
        return not self._poll.poll(0)

    def send(self, attempt: Attempt, data: bytes) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt = attempt
        self._reusable = self.written = False
        self._forget_answer()
        transport.write(data)
        self.written = not transport.is_closing() and not transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self.written = self._attempt is not None

    def _forget_answer(self) -> None:
        self._status = self._size = self._interims = 0
        self._headers = []
        self._body = []
        self._load = b""
        self._not_run = self._framed = self._whole = self._ends_with_connection = False
        self._in_head = True

    def release(self, attempt: Attempt) -> None:
        """Its attempt has ended: back to the pool, if the whole answer has come."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        if self._reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._attempt is None or self._parser is None:  # nothing was asked
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._whole:
                self._break(AttemptResult.ERROR)
                return
            self._reusable = False
        if self._whole:
            self._complete()
        elif self._in_head:
            self._size += len(data)
            if self._size > HEAD_MOST:
                self._break(AttemptResult.ERROR)

    def eof_received(self) -> bool:
        """The server's orderly end, which is also that of an answer that has no other. A 200 has a body: one
        with no byte of it comes from a server that ended behind the head."""
        whole = self._ends_with_connection and not self._in_head and self.written
        if whole and not self._is_reset() and (self._body or self._status != HTTPStatus.OK):
            self._whole = True
            self._complete()
        return False

    def _is_reset(self) -> bool:
        """Behind the end that is being read the kernel may hold a reset."""
        return any(events & (select.POLLERR | select.POLLHUP) for _, events in self._poll.poll(0))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._pool.lost(self)
        if fault_of(exc) in OWN:
            # No fault of the server's. What was written may have run.
            self._break(AttemptResult.CANCELLED, unwritten=AttemptResult.NOT_SENT)
        else:
            self._break()
        self._parser = None  # the two hold each other, and would stay until the collector comes

    def lost_unseen(self) -> None:
        """A dial that is cancelled just as it has come up is closed by the loop, which tells nobody."""
        if self._transport is not None and not self.closed:
            self.connection_lost(None)

    def _break(
        self,
        result: AttemptResult = AttemptResult.RESET,
        unwritten: AttemptResult = AttemptResult.CONNECT_FAILED,
    ) -> None:
        """The connection can't bring the answer any more. An answer that came spoilt is an error: a reset
        would tell of a connection that was lost, and of the others that they may be."""
        attempt = self._attempt
        self._reusable = False
        if attempt is not None:
            attempt.end(result if self.written else unwritten)
        self.close()

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self._whole:  # more than one answer to one request: nothing that follows can be trusted
            self._reusable = False
            raise ValueError("an answer that nobody asked for")
        interims = self._interims
        self._forget_answer()
        self._interims = interims

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-load":
            self._load = value
        elif lower == b"x-not-run":
            self._not_run = value.strip() == b"1"
        elif lower == b"content-length":
            # Refused at its head: up to the limit, a body is read before it shows that it does not end.
            if int(value) > BODY_MOST:
                raise ValueError("an answer that is too long")
            self._framed = True
        elif lower == b"transfer-encoding":
            coding = value.strip().lower()
            if coding not in (b"chunked", b"identity"):
                raise ValueError("an answer in a coding that is not undone")
            self._framed = coding == b"chunked"
        elif lower not in HOP_BY_HOP:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        if self._status < 200:
            self._interims += 1
            if self._interims > INTERIM_MOST:
                raise ValueError("interim answers without end")
        else:
            self._ends_with_connection = not self._framed and self._status not in WITHOUT_BODY
        self._in_head = False
        self._size = 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > BODY_MOST:
            raise ValueError("an answer that is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._status >= 200:  # an interim answer is followed by the real one
            assert self._parser is not None
            self._reusable = self._parser.should_keep_alive()
            self._whole = True

    def _complete(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._status == 200:
            result = AttemptResult.OK
        elif self._status in (503, 504) and self._not_run:
            result = AttemptResult.REJECTED
        elif 400 <= self._status < 500 and self._status not in NO_FAULT_OF_THE_REQUEST:
            result = AttemptResult.CLIENT_ERROR
        else:
            result = AttemptResult.ERROR
        attempt.end(result, ServerResponse(self._status, self._headers, b"".join(self._body), self._load))


class ConnectionPool:
    """The idle connections to one server. After a restart or with a new address it gets another pool."""

    __slots__ = ("address", "dialing", "idle", "pools", "retired", "retired_at", "started")

    def __init__(self, pools: ConnectionPools, address: tuple[str, int], started: int) -> None:
        self.pools = pools
        self.address = address
        self.started = started
        self.retired = False
        self.retired_at = 0  # monotonic ns
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.dialing: dict[Attempt, None] = {}  # an empty set takes three times the memory

    def take(self) -> ServerConnection | None:
        now = monotonic_ns()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since > now - COOL_DOWN:
                continue
            del self.idle[index]
            if (
                not connection.closed
                and connection.idle_since >= now - self.pools.idle_limit_ns
                and connection.is_quiet()
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: ServerConnection) -> None:
        """One that has just brought an answer is idle from now on."""
        connection.idle_since = monotonic_ns()
        self._keep(connection)

    def put_back(self, connection: ServerConnection) -> None:
        """One that carried nothing since it was taken or dialed. Its server counts its idle time on."""
        if not connection.idle_since:
            connection.idle_since = monotonic_ns()
        self._keep(connection)

    def _keep(self, connection: ServerConnection) -> None:
        if self.retired or connection.closed:
            connection.close()
        else:
            insort(self.idle, connection, key=_idle_since)
            self.pools.with_idle[self] = None

    def lost(self, connection: ServerConnection) -> None:
        self.pools.sockets -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, before: int | None = None) -> None:
        """Close the idle connections, or those that are idle since before a time."""
        dropped = [one for one in self.idle if before is None or one.idle_since < before]
        self.idle = self.idle[len(dropped) :]
        for connection in dropped:
            connection.close()

    def retire(self) -> None:
        """The server drains, is gone or restarted: nothing new may reach it, nor what waits for a dial."""
        self.retired = True
        self.retired_at = monotonic_ns()
        self.close_idle()
        for attempt in list(self.dialing):
            attempt.end(AttemptResult.NOT_SENT)


def _idle_since(connection: ServerConnection) -> int:
    return connection.idle_since


class ConnectionPools:
    """All pools, within the descriptors that the node may use for servers."""

    def __init__(self, sockets_most: int, connect_timeout_ns: int, idle_close: int) -> None:
        self.sockets = 0  # open or being dialed
        self.connect_timeout_ns = connect_timeout_ns
        self.idle_limit_ns = int(idle_close * IDLE_PART)
        self._sockets_most = sockets_most
        self._pools: dict[EndpointId, ConnectionPool] = {}
        self.unreachable: set[tuple[str, int]] = set()  # addresses, since a dial last came up
        self.with_idle: dict[
            ConnectionPool, None
        ] = {}  # all with idle connections, and some that had one lately
        self._sweep_every = idle_close * (1 - IDLE_PART) / 2 / 1e9

    def start(self) -> None:
        asyncio.get_running_loop().call_later(self._sweep_every, self._sweep)

    def _sweep(self) -> None:
        before = monotonic_ns() - self.idle_limit_ns
        for pool in list(self.with_idle):
            pool.close_idle(before)
            if not pool.idle:
                del self.with_idle[pool]
        self.start()

    def get(self, server: EndpointId) -> ConnectionPool | None:
        return self._pools.get(server)

    def add_endpoint(self, server: EndpointId, address: tuple[str, int], started: int) -> None:
        pool = self._pools.get(server)
        if pool is not None and (pool.address, pool.started) == (address, started):
            return
        self._pools[server] = ConnectionPool(self, address, started)
        if pool is not None:
            pool.retire()

    def retire_endpoint(self, server: EndpointId) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.retire()

    def endpoint_ids(self) -> KeysView[EndpointId]:
        """Those that have a pool: a live view."""
        return self._pools.keys()

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        return self.sockets < self._sockets_most or self.close_idlest()

    def close_idlest(self) -> bool:
        """Free the descriptor of the longest idle connection; False if none is idle."""
        idle = [pool for pool in self.with_idle if pool.idle]
        if not idle:
            return False
        # Its descriptor is free only once the transport is gone, so one is kept in reserve for each dial.
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        return True
