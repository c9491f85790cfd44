"""The memory that requests and responses use while the node holds them, with its limits.

`MemoryMonitor` sets `max_bytes` from the resident memory of the process. As more is used, in this order:

1. clients are read in small pieces, and not ahead of their request in progress
2. requests with a body that is not received yet are rejected
3. stalled clients, and then any clients, lose their partial request
4. all requests are rejected, and responses stay in the kernel (`ResponseGate`)
"""

from __future__ import annotations

import math
from collections.abc import Callable

from moleport.node.http_limits import MAX_RESPONSE_BYTES

# Limit in bytes on what one read from a client or a server returns; the kernel holds the rest.
READ_BYTES = 16 << 10
# The same for a client without a reserved body, while clients are read in small pieces.
SHORT_READ_BYTES = 1 << 10
# The same for the head of a response while responses stay in the kernel.
HEAD_READ_BYTES = 512
# Fraction of the process's memory limit that requests and responses use at most.
MAX_BUDGET_RATIO = 0.125
# Fractions of the budget up to which something is done.
READ_AHEAD_RATIO = 0.5  # clients are read in large pieces, and ahead of their request in progress
RESERVATION_RATIO = 0.7  # requests with a body that is not received yet are admitted
RELIEF_RATIO = 0.8  # no client loses its partial request
CRITICAL_RATIO = 0.9  # only stalled clients lose their partial request
RESPONSE_RATIO = 1.0  # responses are read from servers without delay
RESUME_RESPONSES_RATIO = 0.85  # responses are read from servers without delay again
# Size of responses up to which more are read although there is no memory for them.
MIN_WAITING_RESPONSES_BYTES = 4 * MAX_RESPONSE_BYTES


def _ignore() -> None:
    """Do nothing."""


class MemoryBudget:
    """Counts the memory of requests and responses, and holds the buffer that all connections read into."""

    __slots__ = (
        "_short_buffer",
        "buffer",
        "has_waiting_responses",
        "head_buffer",
        "is_full",
        "max_bytes",
        "max_process_bytes",
        "may_read_ahead",
        "needs_relief",
        "next_check_bytes",
        "on_growth",
        "on_responses_full",
        "read_buffer",
        "reserved_bytes",
        "unread_response_bytes",
        "used_bytes",
    )

    def __init__(self, max_process_bytes: int | None = None) -> None:
        """Create an account for a process with this memory limit in bytes; None: it has no limit."""
        self.max_process_bytes = max_process_bytes
        self.max_bytes = self.largest_budget_bytes()
        self.used_bytes = 0  # memory of requests, partial responses and responses that clients do not read
        self.reserved_bytes = 0  # size of the bodies of admitted requests that are not received yet
        # The state of the budget, kept as attributes because each request reads it several times.
        self.may_read_ahead = True  # whether there is memory for data behind requests in progress
        self.needs_relief = False  # whether partial requests are to be rejected
        self.is_full = False  # whether the budget is used up, so that no further request is accepted
        # Whether responses whose clients would read them wait in the kernel until there is memory for them.
        self.has_waiting_responses = False
        self.unread_response_bytes = 0  # part of `used_bytes`: responses that clients have not read
        self.next_check_bytes = math.inf  # use from which on `on_growth` is called, once
        self.on_growth: Callable[[], None] = _ignore
        self.on_responses_full: Callable[[], None] = _ignore  # called while no more responses should be read
        # Data in the buffer is valid until the next read of any connection.
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._short_buffer = self.buffer[:SHORT_READ_BYTES]
        self.head_buffer = self.buffer[:HEAD_READ_BYTES]
        self.read_buffer = self.buffer  # the part of the buffer for the next read from a client

    def largest_budget_bytes(self) -> float:
        """Return the largest value of `max_bytes`; infinite if the process has no memory limit."""
        return math.inf if self.max_process_bytes is None else MAX_BUDGET_RATIO * self.max_process_bytes

    def change(self, added_bytes: int, added_reserved_bytes: int = 0) -> None:
        """Add to the memory that is used and reserved."""
        self.used_bytes += added_bytes
        self.reserved_bytes += added_reserved_bytes
        self._apply_limits()

    def set_max_bytes(self, max_bytes: float) -> None:
        """Set the size of the budget in bytes; below 0, other things than requests use too much memory."""
        self.max_bytes = max_bytes
        self._apply_limits()

    def _apply_limits(self) -> None:
        if self.used_bytes >= self.next_check_bytes:
            self.next_check_bytes = math.inf
            self.on_growth()
        total_bytes = self.used_bytes + self.reserved_bytes
        self.may_read_ahead = total_bytes <= READ_AHEAD_RATIO * self.max_bytes
        self.read_buffer = self.buffer if self.may_read_ahead else self._short_buffer
        self.needs_relief = total_bytes > RELIEF_RATIO * self.max_bytes
        self.is_full = total_bytes > self.max_bytes
        if self.used_bytes > RESPONSE_RATIO * self.max_bytes:
            self.on_responses_full()

    def is_full_without(self, own_bytes: int) -> bool:
        """Return whether the budget is used up by others than the connection that uses `own_bytes`."""
        return self.used_bytes + self.reserved_bytes - own_bytes > self.max_bytes

    def is_critical(self) -> bool:
        """Return whether so much is used that partial requests are rejected even if they make progress."""
        return self.used_bytes + self.reserved_bytes > CRITICAL_RATIO * self.max_bytes

    def is_relieved(self) -> bool:
        """Return whether no further partial request is to be rejected."""
        return not self.needs_relief

    def may_reserve(self, body_bytes: int, own_bytes: int) -> bool:
        """Return whether a request with a body may be received, of which `own_bytes` are counted already.

        A request that has the memory to itself always may.
        """
        others_bytes = self.used_bytes + self.reserved_bytes - own_bytes
        return (
            others_bytes <= 0 or others_bytes + own_bytes + body_bytes <= RESERVATION_RATIO * self.max_bytes
        )

    def may_resume_responses(self) -> bool:
        """Return whether so much memory is free that responses need not stay in the kernel."""
        return self.used_bytes <= RESUME_RESPONSES_RATIO * self.max_bytes

    def may_hold_unread(self, added_bytes: int) -> bool:
        """Return whether this many bytes may be held besides the responses that clients do not read.

        These keep their memory until the clients read them, or until their deadlines.
        """
        return self._has_capacity_for_responses(added_bytes, self.unread_response_bytes + added_bytes)

    def may_hold_responses(self, added_bytes: int) -> bool:
        """Return whether this many bytes of responses may be held until they are complete.

        Requests in progress keep their memory until their responses are read.
        """
        return self._has_capacity_for_responses(added_bytes, added_bytes)

    def _has_capacity_for_responses(self, added_bytes: int, waiting_bytes: int) -> bool:
        is_below_limit = self.used_bytes + added_bytes <= RESPONSE_RATIO * self.max_bytes
        return is_below_limit or waiting_bytes <= MIN_WAITING_RESPONSES_BYTES

    @staticmethod
    def may_fill_buffer(nbytes: int) -> bool:
        """Return whether a read of `nbytes` may have filled its buffer, so that more data may be unread."""
        return nbytes in (READ_BYTES, SHORT_READ_BYTES)
