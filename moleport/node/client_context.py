"""The state that all client connections of a node share."""

from __future__ import annotations

from moleport.config.node_config import Config
from moleport.node.client_scheduler import ClientScheduler
from moleport.node.connection_table import ConnectionTable
from moleport.node.dispatcher import Dispatcher


class ClientContext:
    """What client connections share: dispatcher, scheduler, configuration, table and shutdown state."""

    __slots__ = ("config", "dispatcher", "is_draining", "is_stopping", "scheduler", "table")

    def __init__(self, dispatcher: Dispatcher, config: Config, table: ConnectionTable) -> None:
        """Create the context for a node that is not shutting down."""
        self.dispatcher = dispatcher
        self.config = config
        self.table = table
        self.scheduler = ClientScheduler()
        # Whether the node's shutdown has begun and readiness checks are answered with 503.
        self.is_stopping = False
        # Whether each response closes its client connection, as the node is shutting down.
        self.is_draining = False
