"""The memory of one client's connection, as the memory budget counts it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from moleport.node.memory_budget import MemoryBudget
from moleport.node.request_parser import RequestParser

# Size of a request head from which on the memory of a request in progress includes it. Most heads are
# smaller, and counting each costs processor time.
MIN_COUNTED_HEAD_BYTES = 1024


class FreeMemory(Protocol):
    """Frees memory of connections other than `spared` until `is_enough` is true, or no more can be freed."""

    def __call__(self, is_enough: Callable[[], bool], spared: ConnectionMemory | None = None) -> None:
        """Reject partial requests."""
        ...


class ConnectionMemory:
    """Counts what a client's requests and its response use, and keeps the budget informed of changes."""

    __slots__ = ("_request_bytes", "_response_bytes", "_used_bytes", "budget", "reserved_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        """Create the account of a connection that uses nothing yet."""
        self.budget = budget
        self._used_bytes = 0
        self.reserved_bytes = 0
        self._request_bytes = 0
        self._response_bytes = 0

    def set_request(self, head_bytes: int, body_bytes: int) -> None:
        """Set the size of the request in progress, which `count` includes from now on."""
        self._request_bytes = body_bytes + (head_bytes if head_bytes >= MIN_COUNTED_HEAD_BYTES else 0)

    def set_response(self, response_bytes: int) -> None:
        """Set the size of the response that the client has not read, which ends the request in progress."""
        self._request_bytes = 0
        if response_bytes == self._response_bytes:
            return
        self.budget.unread_response_bytes += response_bytes - self._response_bytes
        self._response_bytes = response_bytes

    def count(self, parser: RequestParser) -> None:
        """Pass a change of the memory in use, and of the memory reserved for a body, to the budget."""
        used_bytes = parser.memory_bytes() + self._request_bytes + self._response_bytes
        if used_bytes == self._used_bytes == 0:
            return  # without any data of a request, nothing is reserved either
        reserved_bytes = parser.missing_body_bytes()
        if used_bytes != self._used_bytes or reserved_bytes != self.reserved_bytes:
            self.budget.change(used_bytes - self._used_bytes, reserved_bytes - self.reserved_bytes)
            self._used_bytes = used_bytes
            self.reserved_bytes = reserved_bytes

    def is_alone(self) -> bool:
        """Return whether no other connection uses memory, so that the requests of this one always may."""
        budget = self.budget
        return budget.used_bytes + budget.reserved_bytes <= self._used_bytes + self.reserved_bytes

    def may_forward(self) -> bool:
        """Return whether the request that has been received may be forwarded.

        What the connection itself uses does not count. None may while responses wait until there is memory.
        """
        budget = self.budget
        if budget.has_waiting_responses:
            return False
        return not budget.is_full or not budget.is_full_without(self._used_bytes + self.reserved_bytes)

    def may_receive_body(self, parser: RequestParser, free_memory: FreeMemory) -> bool:
        """Return whether there is memory for the body of a partial request that is not counted yet.

        If there is none, `free_memory` takes that of other clients.
        """
        body_bytes = parser.missing_body_bytes()

        def may_reserve() -> bool:
            return self.budget.may_reserve(body_bytes, self._used_bytes)

        if not may_reserve():
            free_memory(may_reserve, self)
        return may_reserve()
