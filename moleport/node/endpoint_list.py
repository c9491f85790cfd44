"""Keeps the endpoint list, the connection pools and the policy consistent with discovery.

`EndpointList.on_update` receives an update, compares it with the known list, and passes the changes to the
policy as `EndpointUpdate` events. A long update is applied in slices, and the event loop serves requests
between two slices.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection
from itertools import islice
from time import monotonic_ns

from moleport.config.endpoints import DiscoveredEndpoint, DiscoveryUpdate
from moleport.config.node_config import Config
from moleport.node.connection_pools import ConnectionPools
from moleport.node.discovery_client import DiscoveryClient, WatchLimits
from moleport.node.discovery_watch import WatchFailure
from moleport.node.hold_detector import HoldDetector
from moleport.node.initial_list_wait import InitialListWait, WaitResult
from moleport.node.list_freshness import ListFreshness
from moleport.node.name_hashing import hash_name
from moleport.node.reconnect_backoff import ReconnectBackoff
from moleport.node.server_start_times import ServerStartTimes
from moleport.policy import interface as api
from moleport.policy.interface import DiscoveryMode, EndpointState, EndpointUpdateKind
from moleport.telemetry import Event, Telemetry

log = logging.getLogger(__name__)

# Delay in s from a failure of the policy on an endpoint update to sending the complete list to the policy.
RESYNC_DELAY_S = 1.0
# Number of endpoints of a long discovery update that the policy is notified of in one event loop iteration.
SLICE_ENDPOINT_COUNT = 256


class EndpointList:
    """The endpoints that the policy knows, and the discovery watch that updates them."""

    def __init__(
        self,
        config: Config,
        pools: ConnectionPools,
        hold_detector: HoldDetector,
        telemetry: Telemetry,
        dispatch_event: Callable[[api.Event], None],
    ) -> None:
        """Report updates to the policy through `dispatch_event`; `start` applies the configured endpoints."""
        self._zone_indices = config.zone_indices
        self._hardware_type_indices = config.hardware_type_indices
        self._cached_endpoints = config.cached_endpoints.endpoints
        self._is_push_mode = config.policy_settings.discovery_mode is DiscoveryMode.PUSH
        self._pools = pools
        self._telemetry = telemetry
        self._dispatch_event = dispatch_event
        self._loop = asyncio.get_running_loop()
        self._known: dict[str, DiscoveredEndpoint] = {}  # endpoints that the policy knows, by endpoint id
        # Changed endpoints that are not yet applied to the policy and the connection pools, by endpoint id.
        self._pending_endpoints: dict[str, DiscoveredEndpoint] = {}
        self._next_slice: asyncio.Handle | None = None
        self._resync_timer: asyncio.TimerHandle | None = None
        self._start_times = ServerStartTimes()
        self._initial_wait = InitialListWait()
        self._freshness = ListFreshness(telemetry)
        self._backoff = ReconnectBackoff(config.seed, config.drain_grace_ns)
        self.discovery = DiscoveryClient(
            config.discovery_address,
            config.cached_endpoints.version,
            self,
            hold_detector,
            WatchLimits.of_mode(config.policy_settings.discovery_mode),
        )

    def start(self) -> None:
        """Apply the endpoints of the configuration, and in push mode open the discovery watch."""
        self._freshness.start()
        self._start_times.record(self._cached_endpoints, monotonic_ns())
        self._apply_update(EndpointUpdateKind.CACHED, self._cached_endpoints)
        if self._is_push_mode:
            self._initial_wait.start()
            self.discovery.open_watch()

    async def wait_until_synced(self) -> None:
        """Wait until an update is applied, or `InitialListWait` ends without one.

        The endpoints of the configuration may be older than the list of discovery. In poll mode there is no
        wait.
        """
        if not self._is_push_mode:
            return
        result = await self._initial_wait.wait()
        if result is not WaitResult.UPDATED:
            self._telemetry.count(Event.INITIAL_LIST_MISSING, result=result.name)
            log.warning("the endpoint list of the configuration is used as it is: %s", result.value)

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch the list at another address of discovery (host, port)."""
        self._freshness.on_address_changed()
        self.discovery.change_address(address)

    # Methods of `DiscoveryObserver`, which the discovery client calls.

    def on_data(self) -> None:
        """Record that discovery responds."""
        self._initial_wait.on_data()
        self._freshness.on_data()

    def on_update(self, update: DiscoveryUpdate) -> None:
        """Apply an update from discovery, at once or in slices."""
        self._backoff.reset()
        self._start_times.record(update.endpoints, monotonic_ns())
        self._start_times.end_initial_list()
        kind = EndpointUpdateKind.SNAPSHOT if update.is_snapshot else EndpointUpdateKind.DELTA
        self._apply_update(kind, update.endpoints)
        if not self._pending_endpoints:
            self._initial_wait.on_update_applied()

    def on_watch_failed(self, failure: WatchFailure) -> None:
        """In push mode open another watch after a backoff; in poll mode report the failure to the policy."""
        self._initial_wait.on_watch_failed(failure)
        self._telemetry.count(Event.WATCH_FAILED, end=failure.name)
        if self._is_push_mode:
            self._loop.call_later(self._backoff.next_delay_seconds(), self.discovery.open_watch)
            return
        if self._pending_endpoints:
            # All pending endpoints (changed, but not yet applied to the policy) are applied before the end of
            # the watch is reported to the policy, which would interpret an endpoint update after the report
            # as a sign that a watch is open.
            self._apply_entries(EndpointUpdateKind.DELTA, list(self._pending_endpoints.values()))
            self._pending_endpoints.clear()
        self._dispatch_event(api.EndpointUpdate(EndpointUpdateKind.FAILED, ()))

    # Methods that apply endpoint updates to the endpoint list, the policy and the connection pools.

    def schedule_resync(self) -> None:
        """Schedule a resync of the policy after `RESYNC_DELAY_S`, because it has failed on an update."""
        if self._resync_timer is None:
            self._resync_timer = self._loop.call_later(RESYNC_DELAY_S, self._resync_policy)

    def _resync_policy(self) -> None:
        """Send all known endpoints to the policy."""
        self._resync_timer = None
        endpoints = tuple(self._to_policy_endpoint(endpoint) for endpoint in self._known.values())
        # After a failure of the policy on an endpoint update, the known endpoints are sent to it as a cached
        # list. A snapshot would mean that discovery has just sent them.
        self._dispatch_event(api.EndpointUpdate(EndpointUpdateKind.CACHED, endpoints))

    def _apply_update(self, kind: EndpointUpdateKind, endpoints: tuple[DiscoveredEndpoint, ...]) -> None:
        """Apply an update, which takes precedence over the pending entries of earlier updates.

        If an update has several entries with one id, the last of them is applied.
        """
        latest = {endpoint.id: endpoint for endpoint in endpoints}
        absent: list[DiscoveredEndpoint] = []
        if kind is not EndpointUpdateKind.DELTA:
            self._pending_endpoints.clear()
            absent = self._removed_except(latest)
        elif self._pending_endpoints:
            for entry_id in latest:
                self._pending_endpoints.pop(entry_id, None)
        # The cached endpoint list of the node's configuration is applied at the start of the node, before
        # requests are accepted, so it is not divided into slices.
        if len(latest) <= SLICE_ENDPOINT_COUNT or kind is EndpointUpdateKind.CACHED:
            self._apply_entries(kind, list(latest.values()), absent)
        else:
            self._apply_update_in_slices(latest, absent)

    def _removed_except(self, listed: Collection[str]) -> list[DiscoveredEndpoint]:
        """Return the known endpoints that are not in `listed` (ids), with the state REMOVED."""
        return [
            endpoint._replace(state=EndpointState.REMOVED)
            for endpoint in self._known.values()
            if endpoint.id not in listed
        ]

    def _apply_update_in_slices(
        self, latest: dict[str, DiscoveredEndpoint], absent: list[DiscoveredEndpoint]
    ) -> None:
        """Apply the changes of a long update.

        Draining and removed endpoints are applied at once, because their drain grace is running; the others
        are applied in slices.
        """
        changed = [endpoint for endpoint in latest.values() if self._known.get(endpoint.id) != endpoint]
        # Changes of known endpoints are applied before new endpoints, because known endpoints are in use:
        # until its change is applied, a restarted endpoint gets requests as before its restart, although it
        # needs a slow start (fewer requests until it has warmed up).
        changed.sort(key=lambda endpoint: endpoint.id not in self._known)
        leaving = [endpoint for endpoint in changed if endpoint.state is not EndpointState.READY]
        self._pending_endpoints.update(
            (endpoint.id, endpoint) for endpoint in changed if endpoint.state is EndpointState.READY
        )
        self._apply_entries(EndpointUpdateKind.DELTA, absent + leaving)
        if self._pending_endpoints and self._next_slice is None:
            self._next_slice = self._loop.call_soon(self._apply_next_slice)

    def _apply_next_slice(self) -> None:
        """Apply a slice of the pending entries, and schedule the next one in another loop iteration."""
        entry_ids = list(islice(self._pending_endpoints, SLICE_ENDPOINT_COUNT))
        # A long update of the endpoint list is applied in slices. After a slice was scheduled, another update
        # may have replaced all endpoints that were still pending, so that none is left for the slice.
        if entry_ids:
            self._apply_entries(
                EndpointUpdateKind.DELTA, [self._pending_endpoints.pop(entry_id) for entry_id in entry_ids]
            )
        if self._pending_endpoints:
            self._next_slice = self._loop.call_soon(self._apply_next_slice)
        else:
            self._next_slice = None
            self._initial_wait.on_update_applied()

    def _apply_entries(
        self,
        kind: EndpointUpdateKind,
        discovered: list[DiscoveredEndpoint],
        absent: list[DiscoveredEndpoint] | None = None,
    ) -> None:
        """Notify the policy of endpoints, and update the known list and the pools accordingly.

        `absent` are known endpoints that a snapshot does not list. The event does not contain them, because
        the policy compares the snapshot with its own list.
        """
        endpoints = tuple(self._to_policy_endpoint(endpoint) for endpoint in discovered)
        retired_ids = [hash_name(endpoint.id) for endpoint in absent or ()]
        for endpoint in absent or ():
            del self._known[endpoint.id]
        for entry, endpoint_of_policy in zip(discovered, endpoints, strict=True):
            if entry.state is EndpointState.REMOVED:
                self._known.pop(entry.id, None)
            else:
                self._known[entry.id] = entry
            if entry.state is EndpointState.READY:
                self._pools.add_endpoint(
                    endpoint_of_policy.id, entry.address, endpoint_of_policy.started_at_ns
                )
            else:
                retired_ids.append(endpoint_of_policy.id)
        # The policy is notified of retired endpoints before their connection pools are retired, because
        # retiring a pool ends attempts that the policy may retry at once.
        self._dispatch_event(api.EndpointUpdate(kind, endpoints))
        for endpoint_id in retired_ids:
            self._pools.retire_endpoint(endpoint_id)
        # While changed endpoints wait to be applied to the policy, no server's start time is deleted: the
        # known endpoints (`_known`) lack new servers that still wait, but their start times must be kept.
        if not self._pending_endpoints:
            self._start_times.forget_removed(self._known)

    def _to_policy_endpoint(self, endpoint: DiscoveredEndpoint) -> api.Endpoint:
        """Return an endpoint in the form of the policy: with a hashed id, and indices in place of names.

        All zones that are not configured share one index. All hardware types that are not configured share
        one index of hardware types.
        """
        zones, hardware_types = self._zone_indices, self._hardware_type_indices
        return api.Endpoint(
            hash_name(endpoint.id),
            zones.get(endpoint.zone, len(zones)),
            endpoint.cell,
            endpoint.state,
            endpoint.weight,
            self._start_times.started_at_ns(endpoint),
            hardware_types.get(endpoint.hardware_type, len(hardware_types)),
        )
