"""The connection pools of all servers, which together use a limited number of sockets."""

from __future__ import annotations

import asyncio
from collections.abc import KeysView
from time import monotonic_ns

from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault, classify_error
from moleport.node.memory_budget import MemoryBudget
from moleport.node.response_gate import ResponseGate
from moleport.policy.interface import EndpointId
from moleport.units import NS_PER_SECOND

# Fraction of a server's idle timeout after which an idle connection to the server is not reused.
# A request that is written to a connection that the server has closed is lost.
IDLE_TIMEOUT_FRACTION = 0.9
# Missing routes are a fault of the network, not of the servers, once MIN_UNREACHABLE_SERVERS server addresses
# (or all, if there are fewer) have had no route.
MIN_UNREACHABLE_SERVERS = 2


class ConnectionPools:
    """One connection pool for each endpoint, and a limit on the sockets of all pools together."""

    def __init__(
        self,
        max_sockets: int,
        connect_timeout_ns: int,
        idle_timeout_ns: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create the collection without any pool.

        `max_sockets` limits the connections to servers, open or connecting. `idle_timeout_ns` is the time
        after which a server closes an idle connection. `memory` limits the responses that are read; None: it
        is unlimited.
        """
        self.memory = MemoryBudget() if memory is None else memory
        self.response_gate = ResponseGate(self.memory)
        self.socket_count = 0  # number of connections to servers that are open or connecting
        self.connect_timeout_ns = connect_timeout_ns
        self.max_idle_ns = int(idle_timeout_ns * IDLE_TIMEOUT_FRACTION)
        # Connection pools that may have idle connections, as an ordered set.
        # The next sweep of idle connections removes a pool without idle connections from the set.
        self.pools_with_idle_connections: dict[ConnectionPool, None] = {}
        self._max_sockets = max_sockets
        self._pools: dict[EndpointId, ConnectionPool] = {}
        # Server addresses that had no route since a connection to any server was last established.
        self._unreachable_addresses: set[tuple[str, int]] = set()
        self._sweep_interval_s = idle_timeout_ns * (1 - IDLE_TIMEOUT_FRACTION) / 2 / NS_PER_SECOND

    def start(self) -> None:
        """Schedule the next sweep of idle connections on the running event loop."""
        asyncio.get_running_loop().call_later(self._sweep_interval_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have been idle for too long, and schedule the next sweep."""
        self.start()
        idle_before_ns = monotonic_ns() - self.max_idle_ns
        for pool in list(self.pools_with_idle_connections):
            pool.close_idle(idle_before_ns)
            if not pool.idle:
                del self.pools_with_idle_connections[pool]

    def get(self, endpoint_id: EndpointId) -> ConnectionPool | None:
        """Return the pool of an endpoint, or None if no request may be sent to the endpoint."""
        return self._pools.get(endpoint_id)

    def add_endpoint(self, endpoint_id: EndpointId, address: tuple[str, int], started_at_ns: int) -> None:
        """Create a pool for an endpoint, and replace its pool if its address or start time has changed.

        `address` is (host, port), `started_at_ns` a time in monotonic ns. A replaced pool is retired.
        """
        pool = self._pools.get(endpoint_id)
        if pool is not None and (pool.address, pool.started_at_ns) == (address, started_at_ns):
            return
        self._pools[endpoint_id] = ConnectionPool(self, address, started_at_ns)
        if pool is not None:
            pool.retire()

    def retire_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove and retire the pool of an endpoint, if there is one."""
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            pool.retire()

    def endpoint_ids(self) -> KeysView[EndpointId]:
        """Return a live view of the ids of the endpoints that have a pool."""
        return self._pools.keys()

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close an idle connection first.

        The event loop frees the descriptor of the closed connection in a later iteration, so the limit may
        be exceeded until then.
        """
        return self.socket_count < self._max_sockets or self.close_longest_idle()

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, and return whether there was one.

        The event loop frees the descriptor of the closed connection in a later iteration.
        """
        idle_pools = [pool for pool in self.pools_with_idle_connections if pool.idle]
        if not idle_pools:
            return False
        oldest = min(idle_pools, key=lambda pool: pool.idle[0].idle_since_ns)
        oldest.idle.pop(0).close()
        return True

    def on_connected(self) -> None:
        """Forget the addresses without a route, because reaching a server shows that the network works."""
        self._unreachable_addresses.clear()

    def classify_connect_error(self, address: tuple[str, int], error: OSError) -> Fault:
        """Return the party at fault for an error that occurred while connecting to a server's address.

        A missing route counts as a fault of the server until `MIN_UNREACHABLE_SERVERS` addresses have had no
        route, with no successful connection in between; from then on the network is at fault. With a single
        pool, or none, the network is at fault at once.
        """
        fault = classify_error(error)
        if fault is not Fault.PATH:
            return fault
        self._unreachable_addresses.add(address)
        if len(self._unreachable_addresses) < min(MIN_UNREACHABLE_SERVERS, len(self._pools)):
            return Fault.PEER
        return Fault.PATH
