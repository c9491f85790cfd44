"""The idle connections to one server, and the attempts that have not written their request to it."""

from __future__ import annotations

from bisect import insort
from time import monotonic_ns
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt
    from moleport.node.connection_pools import ConnectionPools
    from moleport.node.server_connection import ServerConnection

COOL_DOWN_NS = 5_000_000  # after a response, in which a duplicate of it may still arrive


class ConnectionPool:
    """The idle connections to one incarnation of a server, and the attempts still unsent.

    A server that restarts or moves to another address gets a new pool, so that it inherits no connection.
    """

    __slots__ = ("address", "idle", "pools", "retired", "retired_at_ns", "started_at_ns", "unsent")

    def __init__(self, pools: ConnectionPools, address: tuple[str, int], started_at_ns: int) -> None:
        """Start empty, for the server at `address` (host, port) that started at monotonic `started_at_ns`."""
        self.pools = pools
        self.address = address
        self.started_at_ns = started_at_ns
        self.retired = False
        self.retired_at_ns = 0  # monotonic
        self.idle: list[ServerConnection] = []  # ordered by idle_since_ns, the most recently used last
        self.unsent: dict[Attempt, None] = {}  # kept by the attempts; a set would take more memory

    def take(self) -> ServerConnection | None:
        """Remove and return the most recently used connection that can carry a request, if there is one.

        Connections that have ended, were idle for too long or have unread data are closed on the way.
        """
        now = monotonic_ns()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since_ns > now - COOL_DOWN_NS:
                continue
            del self.idle[index]
            if (
                not connection.closed
                and connection.idle_since_ns >= now - self.pools.idle_limit_ns
                and connection.is_quiet()
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: ServerConnection) -> None:
        """Add a connection that has just delivered a response; its idle time begins now."""
        connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def return_unused(self, connection: ServerConnection) -> None:
        """Add a connection that carried no request since it was taken or opened; its idle time goes on."""
        if not connection.idle_since_ns:
            connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def _add_idle(self, connection: ServerConnection) -> None:
        """Keep a connection in the order of idle times, unless it or the pool has ended."""
        if self.retired or connection.closed:
            connection.close()
        else:
            insort(self.idle, connection, key=_idle_since_ns)
            self.pools.with_idle[self] = None

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Forget a connection that has ended."""
        self.pools.sockets -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, idle_before_ns: int | None = None) -> None:
        """Close all idle connections, or those that are idle since before a monotonic time."""
        expired = [
            connection
            for connection in self.idle
            if idle_before_ns is None or connection.idle_since_ns < idle_before_ns
        ]
        self.idle = self.idle[len(expired) :]
        for connection in expired:
            connection.close()

    def retire(self) -> None:
        """Send nothing more, because the server drains, was removed or has restarted.

        Requests in flight go on; attempts that wait or connect end unsent.
        """
        self.retired = True
        self.retired_at_ns = monotonic_ns()
        self.close_idle()
        for attempt in list(self.unsent):
            attempt.give_up_unwritten()


def _idle_since_ns(connection: ServerConnection) -> int:
    """Return the sort key of idle connections."""
    return connection.idle_since_ns
