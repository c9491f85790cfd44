"""The idle connections to one server."""

from __future__ import annotations

from bisect import insort
from time import monotonic_ns
from typing import TYPE_CHECKING

from moleport.policy.interface import AttemptResult

if TYPE_CHECKING:
    from moleport.node.attempt import Attempt
    from moleport.node.connection_pools import ConnectionPools
    from moleport.node.server_connection import ServerConnection

COOL_DOWN_NS = 5_000_000  # ns for which a connection is left alone after an answer: more may be on its way


class ConnectionPool:
    """The idle connections to one server. After a restart or with a new address it gets another pool."""

    __slots__ = ("address", "connecting", "idle", "pools", "retired", "retired_at_ns", "started_at_ns")

    def __init__(self, pools: ConnectionPools, address: tuple[str, int], started: int) -> None:
        self.pools = pools
        self.address = address
        self.started_at_ns = started
        self.retired = False
        self.retired_at_ns = 0  # monotonic ns
        self.idle: list[ServerConnection] = []  # the most recently used last
        self.connecting: dict[Attempt, None] = {}  # an empty set takes three times the memory

    def take(self) -> ServerConnection | None:
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
        """One that has just brought an answer is idle from now on."""
        connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def return_unused(self, connection: ServerConnection) -> None:
        """One that carried nothing since it was taken or dialed. Its server counts its idle time on."""
        if not connection.idle_since_ns:
            connection.idle_since_ns = monotonic_ns()
        self._add_idle(connection)

    def _add_idle(self, connection: ServerConnection) -> None:
        if self.retired or connection.closed:
            connection.close()
        else:
            insort(self.idle, connection, key=_idle_since_ns)
            self.pools.with_idle[self] = None

    def on_disconnected(self, connection: ServerConnection) -> None:
        self.pools.sockets -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self, idle_before_ns: int | None = None) -> None:
        """Close the idle connections, or those that are idle since before a time."""
        dropped = [one for one in self.idle if idle_before_ns is None or one.idle_since_ns < idle_before_ns]
        self.idle = self.idle[len(dropped) :]
        for connection in dropped:
            connection.close()

    def retire(self) -> None:
        """The server drains, is gone or restarted: nothing new may reach it, nor what waits for a dial."""
        self.retired = True
        self.retired_at_ns = monotonic_ns()
        self.close_idle()
        for attempt in list(self.connecting):
            attempt.end(AttemptResult.NOT_SENT)


def _idle_since_ns(connection: ServerConnection) -> int:
    return connection.idle_since_ns
