"""Registry of endpoints: applies updates of the endpoint list.

A cached list or a snapshot removes the endpoints that it does not contain; a delta changes only the endpoints
that it contains. Only ready endpoints are candidates for requests. A new or restarted endpoint starts without
failures and with the initial tokens of slow start. Weights outside the range of the hash table are clamped; a
weight that is not a positive finite number counts as 1. Apart from reading its entries, the cost of an update
grows with the number of entries that changed, not with the length of the list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from math import inf

from moleport.policy import interface as api
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.hashing import HASH_MASK, MAX_WEIGHT, MIN_WEIGHT, mix64
from moleport.policy.interface import EndpointState, EndpointUpdateKind
from moleport.policy.load_reports import LoadReports
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.slow_start import SlowStart
from moleport.policy.state import EndpointStatus

DEFAULT_WEIGHT = 1.0
# The list of ready endpoints is sorted when the endpoints to be added are more than 1 / 50 of its length.
# Fewer new endpoints are inserted into the sorted list one at a time.
BULK_MULTIPLE = 50


class EndpointRegistry:
    """Adds, updates and removes endpoints according to updates of the endpoint list."""

    def __init__(
        self,
        endpoints: EndpointSet,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        load_reports: LoadReports,
    ) -> None:
        self._endpoints = endpoints
        self._outliers = outliers
        self._slow_start = slow_start
        self._load_reports = load_reports
        # ids of the endpoints that the current update of the endpoint list has changed
        self._changed: dict[api.EndpointId, None] = {}

    def apply_update(self, now_ns: int, update: api.EndpointUpdate) -> None:
        """Apply an update of the endpoint list; the kind of the update must not be `FAILED`."""
        listed = {endpoint.id: endpoint for endpoint in update.endpoints}
        if update.kind is not EndpointUpdateKind.DELTA:
            self._remove_unlisted(listed)
        for endpoint in listed.values():
            self.add_or_update(now_ns, endpoint)
        self._index_changed()

    def add_or_update(self, now_ns: int, endpoint: api.Endpoint) -> None:
        """Add or update the endpoint of one list entry."""
        endpoint = _with_valid_weight(endpoint)
        status = self._endpoints.by_id.get(endpoint.id)
        if status is None:
            tokens = self._slow_start.initial_tokens(now_ns, endpoint)
            position = mix64(int.from_bytes(endpoint.id, "little") & HASH_MASK)
            status = EndpointStatus(endpoint, tokens, now_ns, listed_at_ns=now_ns, ring_position=position)
            self._endpoints.by_id[endpoint.id] = status
        elif endpoint == status.endpoint:
            return
        elif endpoint.started_at_ns != status.endpoint.started_at_ns:
            self._outliers.reinstate(status)
            self._slow_start.on_restart(now_ns, status, endpoint)
            status.listed_at_ns = now_ns
        status.endpoint = endpoint
        self._changed[endpoint.id] = None

    def _remove_unlisted(self, listed: dict[api.EndpointId, api.Endpoint]) -> None:
        for status in self._endpoints.by_id.values():
            if status.endpoint.id not in listed:
                status.endpoint = status.endpoint._replace(state=EndpointState.REMOVED)
                self._changed[status.endpoint.id] = None

    def _index_changed(self) -> None:
        changed = [self._endpoints.by_id[endpoint_id] for endpoint_id in self._changed]
        self._changed.clear()
        added = []
        for status in changed:
            was_ready = status.is_ready
            if was_ready:
                self._remove_ready(status)
            status.is_ready = status.endpoint.state is EndpointState.READY
            if status.is_ready:
                self._add_ready(status)
            if status.is_ready and not was_ready:
                added.append(status)
            elif was_ready and not status.is_ready:
                ready = self._endpoints.ready
                del ready[bisect_left(ready, status.endpoint.id, key=_id_of)]
            if status.endpoint.state is EndpointState.REMOVED:
                del self._endpoints.by_id[status.endpoint.id]
        self._insert_ready(added)
        self._update_candidates(changed)

    def _add_ready(self, status: EndpointStatus) -> None:
        self._load_reports.add_ready(status)
        self._slow_start.add_ready(status)
        self._outliers.track(status)

    def _remove_ready(self, status: EndpointStatus) -> None:
        self._load_reports.remove_ready(status)
        self._slow_start.remove_ready(status)
        self._outliers.untrack(status)

    def _insert_ready(self, added: list[EndpointStatus]) -> None:
        ready = self._endpoints.ready
        if len(added) * BULK_MULTIPLE > len(ready):
            ready.extend(added)
            ready.sort(key=_id_of)
            return
        for status in added:
            insort(ready, status, key=_id_of)

    def _update_candidates(self, changed: Iterable[EndpointStatus]) -> None:
        self._endpoints.version += 1
        self._endpoints.candidates.update(
            {
                status.endpoint.id: (
                    (status.endpoint.zone, status.endpoint.weight, status) if status.is_ready else None
                )
                for status in changed
            }
        )


def _id_of(status: EndpointStatus) -> api.EndpointId:
    return status.endpoint.id


def _with_valid_weight(endpoint: api.Endpoint) -> api.Endpoint:
    if not 0.0 < endpoint.weight < inf:
        return endpoint._replace(weight=DEFAULT_WEIGHT)
    if not MIN_WEIGHT <= endpoint.weight <= MAX_WEIGHT:
        return endpoint._replace(weight=min(max(endpoint.weight, MIN_WEIGHT), MAX_WEIGHT))
    return endpoint
