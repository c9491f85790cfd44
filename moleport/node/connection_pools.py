"""The pools of all servers, within the sockets that the node may use for them."""

from __future__ import annotations

import asyncio
from collections.abc import KeysView
from time import monotonic_ns

from moleport.node.connection_pool import ConnectionPool
from moleport.policy.interface import EndpointId

IDLE_TIMEOUT_FRACTION = (
    0.9  # of the server's idle limit: what is written to a connection after that limit is lost
)


class ConnectionPools:
    """All pools, within the descriptors that the node may use for servers."""

    def __init__(self, sockets_most: int, connect_timeout_ns: int, idle_close: int) -> None:
        self.sockets = 0  # open or being dialed
        self.connect_timeout_ns = connect_timeout_ns
        self.idle_limit_ns = int(idle_close * IDLE_TIMEOUT_FRACTION)
        self._max_sockets = sockets_most
        self._pools: dict[EndpointId, ConnectionPool] = {}
        self.unreachable: set[tuple[str, int]] = set()  # addresses, since a dial last came up
        self.with_idle: dict[
            ConnectionPool, None
        ] = {}  # all with idle connections, and some that had one lately
        self._sweep_interval_s = idle_close * (1 - IDLE_TIMEOUT_FRACTION) / 2 / 1e9

    def start(self) -> None:
        asyncio.get_running_loop().call_later(self._sweep_interval_s, self._close_expired)

    def _close_expired(self) -> None:
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
        if pool is not None and (pool.address, pool.started_at_ns) == (address, started):
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

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        return self.sockets < self._max_sockets or self.close_longest_idle()

    def close_longest_idle(self) -> bool:
        """Free the descriptor of the longest idle connection; False if none is idle."""
        idle = [pool for pool in self.with_idle if pool.idle]
        if not idle:
            return False
        # Its descriptor is free only once the transport is gone, so one is kept in reserve for each dial.
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since_ns)
        oldest.idle.pop(0).close()
        return True
