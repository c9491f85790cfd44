"""The connection pools of all servers, within the sockets that the node may use for them."""

from __future__ import annotations

import asyncio
from collections.abc import KeysView
from time import monotonic_ns

from moleport.node.connection_pool import ConnectionPool
from moleport.node.error_codes import Fault, fault_of
from moleport.policy.interface import EndpointId
from moleport.units import NS_PER_SECOND

IDLE_TIMEOUT_FRACTION = 0.9  # of the server's idle timeout: a request that is written after that is lost
MIN_UNREACHABLE_SERVERS = 2  # as many without a route (or all, if fewer) mean that the network is at fault


class ConnectionPools:
    """One connection pool for each endpoint, and the limit on sockets over all of them."""

    def __init__(self, max_sockets: int, connect_timeout_ns: int, idle_timeout_ns: int) -> None:
        """Start without pools; `idle_timeout_ns` is that of the servers."""
        self.sockets = 0  # open or connecting
        self.connect_timeout_ns = connect_timeout_ns
        self.idle_limit_ns = int(idle_timeout_ns * IDLE_TIMEOUT_FRACTION)
        self.with_idle: dict[ConnectionPool, None] = {}  # an ordered set; may hold pools without idle ones
        self._max_sockets = max_sockets
        self._pools: dict[EndpointId, ConnectionPool] = {}
        self._unreachable: set[tuple[str, int]] = set()  # addresses without a route since the last success
        self._sweep_interval_s = idle_timeout_ns * (1 - IDLE_TIMEOUT_FRACTION) / 2 / NS_PER_SECOND

    def start(self) -> None:
        """Schedule the next sweep of idle connections on the running event loop."""
        asyncio.get_running_loop().call_later(self._sweep_interval_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have been idle for too long, and schedule the next sweep."""
        idle_before_ns = monotonic_ns() - self.idle_limit_ns
        for pool in list(self.with_idle):
            pool.close_idle(idle_before_ns)
            if not pool.idle:
                del self.with_idle[pool]
        self.start()

    def get(self, endpoint_id: EndpointId) -> ConnectionPool | None:
        """Return the pool of an endpoint, or None if nothing may be sent to it."""
        return self._pools.get(endpoint_id)

    def add_endpoint(self, endpoint_id: EndpointId, address: tuple[str, int], started_at_ns: int) -> None:
        """Give an endpoint a pool, a new one if its address (host, port) or start time has changed."""
        pool = self._pools.get(endpoint_id)
        if pool is not None and (pool.address, pool.started_at_ns) == (address, started_at_ns):
            return
        self._pools[endpoint_id] = ConnectionPool(self, address, started_at_ns)
        if pool is not None:
            pool.retire()

    def retire_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove and retire the pool of an endpoint, if it has one."""
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            pool.retire()

    def endpoint_ids(self) -> KeysView[EndpointId]:
        """Return a live view of the endpoints that have a pool."""
        return self._pools.keys()

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, after closing an idle one if need be.

        The descriptor of the closed connection is free only in a later iteration of the event loop, so that
        the limit may be exceeded until then.
        """
        return self.sockets < self._max_sockets or self.close_longest_idle()

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest, and return whether there was one.

        Its descriptor is free only in a later iteration of the event loop.
        """
        idle_pools = [pool for pool in self.with_idle if pool.idle]
        if not idle_pools:
            return False
        oldest = min(idle_pools, key=lambda pool: pool.idle[0].idle_since_ns)
        oldest.idle.pop(0).close()
        return True

    def on_connected(self) -> None:
        """Note that a server can be reached, so that the network is not at fault."""
        self._unreachable.clear()

    def fault_of_connect_error(self, address: tuple[str, int], error: OSError) -> Fault:
        """Return the party at fault for an error in connecting to an address.

        An error without a route counts as the server's own fault until, with no successful connection in
        between, `MIN_UNREACHABLE_SERVERS` addresses have had one; from then on the network is at fault. With
        a single pool, or none, the network is at fault at once.
        """
        fault = fault_of(error)
        if fault is not Fault.PATH:
            return fault
        self._unreachable.add(address)
        if len(self._unreachable) < min(MIN_UNREACHABLE_SERVERS, len(self._pools)):
            return Fault.PEER
        return Fault.PATH
