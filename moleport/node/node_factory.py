"""Builds a node from its configuration and divides its file descriptors between clients and servers."""

from __future__ import annotations

from moleport.config.node_config import Config
from moleport.node.connection_pools import ConnectionPools
from moleport.node.dispatcher import Dispatcher
from moleport.node.listener import Listener
from moleport.node.memory_budget import MemoryBudget
from moleport.node.memory_monitor import MemoryMonitor
from moleport.node.object_sizes import total_bytes

# File descriptors reserved for the interpreter, event loop, listening socket and discovery, with a margin.
RESERVED_DESCRIPTORS_COUNT = 40
# Fraction of the unreserved file descriptors for clients; the others are for connections to servers.
CLIENT_DESCRIPTORS_RATIO = 0.55


def max_client_connections(max_descriptors: int) -> int:
    """Return the maximum number of client connections of a node with this many file descriptors."""
    return int((max_descriptors - RESERVED_DESCRIPTORS_COUNT) * CLIENT_DESCRIPTORS_RATIO)


def build_node(config: Config) -> tuple[Dispatcher, Listener]:
    """Return the dispatcher and listener of a node, not started yet; needs a running event loop."""
    max_clients = max_client_connections(config.max_descriptors)
    max_servers = config.max_descriptors - RESERVED_DESCRIPTORS_COUNT - max_clients
    memory = MemoryBudget(config.max_memory_bytes)
    pools = ConnectionPools(max_servers, config.connect_timeout_ns, config.idle_timeout_ns, memory)
    dispatcher = Dispatcher(config, pools)
    pools.response_gate.telemetry = dispatcher.telemetry
    return dispatcher, Listener(dispatcher, config, max_clients, memory)


def build_memory_monitor(dispatcher: Dispatcher, listener: Listener) -> MemoryMonitor:
    """Return the monitor of a node's memory, not started yet."""
    table, active_requests = listener.table, dispatcher.requests.active

    def object_bytes() -> int:
        return total_bytes(table.open_count, dispatcher.server_connection_count(), len(active_requests))

    return MemoryMonitor(table.memory, dispatcher.telemetry, object_bytes)
