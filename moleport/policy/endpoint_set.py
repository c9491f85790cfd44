"""The endpoints that a node knows, indexed by id, by state and by hash."""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.candidate_index import CandidateIndex
from moleport.policy.state import EndpointStatus


class EndpointSet:
    """All endpoints by id, the ready ones in order, and the ready ones by hash. Owner: endpoint_registry."""

    def __init__(self, zone: int | None) -> None:
        self.by_id: dict[api.EndpointId, EndpointStatus] = {}
        self.ready: list[EndpointStatus] = []
        """The ready endpoints, ordered by id; always the same list object."""
        self.candidates: CandidateIndex[EndpointStatus] = CandidateIndex(zone)
        """The ready endpoints by hash of the key."""
        self.version = 0
        """Number of list updates applied so far; detects that the ready endpoints may have changed."""
