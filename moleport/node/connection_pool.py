"""The idle connections to one server, and the attempts that have not begun to write to the server."""

from __future__ import annotations

from bisect import insort
from time import monotonic_ns
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt
    from moleport.node.connection_pools import ConnectionPools
    from moleport.node.server_connection import ServerConnection

# An idle connection to a server is not reused until it has been idle for MIN_REUSE_DELAY_NS, because a
# duplicate of the last response may still arrive on the connection.
MIN_REUSE_DELAY_NS = 5_000_000


class ConnectionPool:
    """The idle connections to one incarnation of a server, and the attempts that have not begun to write.

    A server that restarts or changes its address gets a new pool, so that no connection to its previous
    incarnation is reused.
    """

    __slots__ = ("address", "idle", "is_retired", "pools", "retired_at_ns", "started_at_ns", "unsent")

    def __init__(self, pools: ConnectionPools, address: tuple[str, int], started_at_ns: int) -> None:
        """Create an empty pool for the server at `address` (host, port).

        `started_at_ns` is the time of the server's start in monotonic ns; 0 means long ago.
        """
        self.pools = pools
        self.address = address
        self.started_at_ns = started_at_ns
        self.is_retired = False
        self.retired_at_ns = 0  # time (monotonic ns) at which the connection pool was retired; 0 before then
        # Idle connections to the server, ordered by `idle_since_ns`, the most recently used connection last.
        self.idle: list[ServerConnection] = []
        # Attempts that have not begun to write their request to the server, as an ordered set. Each attempt
        # adds and removes itself. A `set` would use more memory than a `dict`.
        self.unsent: dict[Attempt, None] = {}

    def acquire(self) -> ServerConnection | None:
        """Remove and return the most recently used connection that can carry a request, if there is one.

        Connections that are closed, have been idle for too long or have unread data are removed and closed
        during the search. Connections that became idle less than MIN_REUSE_DELAY_NS ago are left in the pool.
        """
        now = monotonic_ns()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since_ns > now - MIN_REUSE_DELAY_NS:
                continue
            del self.idle[index]
            if (
                not connection.closed
                and connection.idle_since_ns >= now - self.pools.max_idle_ns
                and connection.has_no_unread_data()
            ):
                return connection
            connection.close()
        return None

    def return_used(self, connection: ServerConnection) -> None:
        """Add a connection that has just received a response, as idle from now on."""
        connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def return_unused(self, connection: ServerConnection) -> None:
        """Add a connection that has carried no request since it was acquired or opened.

        The idle time of a connection that was idle before continues; that of a new connection starts now.
        """
        if not connection.idle_since_ns:
            connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def _add_idle(self, connection: ServerConnection) -> None:
        """Insert an open connection in the order of idle times, or close it if the pool is retired."""
        if self.is_retired or connection.closed:
            connection.close()
        else:
            insort(self.idle, connection, key=_idle_since_ns)
            self.pools.pools_with_idle_connections[self] = None

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Remove a closed connection from the pool and from the socket count."""
        self.pools.socket_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, idle_before_ns: int | None = None) -> None:
        """Close all idle connections, or those idle since before `idle_before_ns`, in monotonic ns."""
        expired = [
            connection
            for connection in self.idle
            if idle_before_ns is None or connection.idle_since_ns < idle_before_ns
        ]
        self.idle = self.idle[len(expired) :]
        for connection in expired:
            connection.close()

    def retire(self) -> None:
        """Send no further request: the server is draining, was removed, has moved or has restarted.

        Requests in flight continue; attempts whose request is not written yet end as not sent.
        """
        self.is_retired = True
        self.retired_at_ns = monotonic_ns()
        self.close_idle()
        for attempt in list(self.unsent):
            attempt.end_if_unwritten()


def _idle_since_ns(connection: ServerConnection) -> int:
    """Return the time since which a connection has been idle, in monotonic ns, as a sort key."""
    return connection.idle_since_ns
