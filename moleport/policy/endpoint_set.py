"""The endpoints that a node knows, as the rules look them up."""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.candidate_index import CandidateIndex
from moleport.policy.state import EndpointStatus


class EndpointSet:
    """Endpoints by id, those that are ready, and the index by hash. Owner: endpoint_registry."""

    def __init__(self, zone: int | None) -> None:
        self.by_id: dict[api.EndpointId, EndpointStatus] = {}
        self.ready: list[EndpointStatus] = []
        """Ordered by id; always the same list object."""
        self.candidates: CandidateIndex[EndpointStatus] = CandidateIndex(zone)
        """The ready endpoints by hash of the key."""
        self.version = 0
        """Grows with each change of the ready endpoints."""
