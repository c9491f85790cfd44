"""Sets the memory budget from the resident memory of the process.

The memory of the interpreter, of the endpoint list and of the allocator's fragments is known only to the
kernel. The monitor therefore compares what the node counts with what the process really uses: the largest use
so far, `U` bytes of connections, requests and responses, came with a resident memory of `R` bytes. Up to the
target, a fixed margin below the process's limit, the resident memory may grow further, and of that growth a
fraction may be used:

    usable = U + USE_PER_RESIDENT_RATIO * (target - R)

What connections and requests in progress do not use of it, is the budget. Freed memory mostly stays in the
process and is used again, so `R` does not fall while less is used. Where `R` is above the target, `usable`
falls by the difference.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

from moleport.node.memory_budget import MemoryBudget
from moleport.node.object_sizes import CLIENT_CONNECTION_BYTES
from moleport.telemetry import Event, Gauge, Telemetry

log = logging.getLogger(__name__)

STATM_PATH = "/proc/self/statm"
MAX_STATM_BYTES = 256
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CHECK_PERIOD_SECONDS = 0.1
# The same while the process uses more than `NEAR_RATIO` of the memory between its start and the target.
NEAR_CHECK_PERIOD_SECONDS = 0.01
NEAR_RATIO = 0.5
GROWTH_CHECK_BYTES = 256 << 10  # growth of the use from which on the memory is checked at once
MARGIN_RATIO = 1 / 16  # fraction of the memory limit that remains free
# Counted bytes for each byte of resident memory: copies and the allocator's fragments use the rest.
USE_PER_RESIDENT_RATIO = 0.6
MIN_USABLE_BYTES = 1 << 20  # the node stays in service where its endpoint list alone passes the target
MAX_CONNECTIONS_RATIO = 0.5  # fraction of the memory that is free at the start for client connections
MIN_CONNECTIONS = 64
REPORT_PERIOD_SECONDS = 1.0


class ResidentMemory:
    """Reads the resident memory of this process from a file that stays open.

    A file that is opened for each reading could not be opened when all descriptors are in use.
    """

    def __init__(self) -> None:
        """Open the kernel's file; raises OSError."""
        self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)

    def read_bytes(self) -> int:
        """Return the resident memory in bytes; raises OSError."""
        return int(os.pread(self._descriptor, MAX_STATM_BYTES, 0).split()[1]) * PAGE_BYTES


class MemoryMonitor:
    """Reads the resident memory of the process periodically, and sets `MemoryBudget.max_bytes`."""

    def __init__(self, budget: MemoryBudget, telemetry: Telemetry, object_bytes: Callable[[], int]) -> None:
        """Create a monitor that does nothing until `start` is called.

        `object_bytes` returns the memory of connections and requests in progress, without their data.
        """
        self._budget = budget
        self._object_bytes = object_bytes
        self._telemetry = telemetry
        limit_bytes = budget.max_process_bytes or 0
        self._target_bytes = int(limit_bytes * (1 - MARGIN_RATIO))
        self._resident_memory: ResidentMemory | None = None
        self._start_bytes = 0
        # The largest use that the node has counted, and the resident memory at that time.
        self._peak_used_bytes = 0
        self._peak_resident_bytes = 0
        self._was_short = False
        self._next_report_at = 0.0  # loop time in s

    def start(self, max_connections: int) -> int:
        """Start to check the memory of a node that is ready; return how many client connections may be open.

        Without a memory limit nothing is limited. Where the kernel does not tell the memory in use, the
        budget stays at its largest size, a fixed fraction of the limit.
        """
        if self._budget.max_process_bytes is None:
            return max_connections
        try:
            self._resident_memory = ResidentMemory()
            self._start_bytes = self._peak_resident_bytes = self._resident_memory.read_bytes()
        except OSError as error:
            log.warning("the memory of the process is unknown, and its budget stays as it is: %s", error)
            return max_connections
        free_bytes = self._target_bytes - self._start_bytes
        affordable = int(MAX_CONNECTIONS_RATIO * free_bytes / CLIENT_CONNECTION_BYTES)
        max_connections = min(max_connections, max(MIN_CONNECTIONS, affordable))
        self._budget.on_growth = self._check_growth
        self._check()
        return max_connections

    def _check(self) -> None:
        """Set the budget, and schedule the next check."""
        assert self._resident_memory is not None
        period_s = NEAR_CHECK_PERIOD_SECONDS
        try:
            resident = self._resident_memory.read_bytes()
            self.update(resident)
            self._report(resident)
            self._budget.next_check_bytes = self._budget.used_bytes + GROWTH_CHECK_BYTES
            if resident < self._start_bytes + NEAR_RATIO * (self._target_bytes - self._start_bytes):
                period_s = CHECK_PERIOD_SECONDS
        except OSError as error:
            log.warning("could not read the memory of the process: %s", error)
        finally:
            asyncio.get_running_loop().call_later(period_s, self._check)

    def _check_growth(self) -> None:
        """Set the budget between two checks, as a burst of requests may use all memory until the next."""
        assert self._resident_memory is not None
        try:
            self.update(self._resident_memory.read_bytes())
        except OSError as error:
            log.warning("could not read the memory of the process: %s", error)
        self._budget.next_check_bytes = self._budget.used_bytes + GROWTH_CHECK_BYTES

    def update(self, resident: int) -> None:
        """Set the budget for a resident memory in bytes."""
        budget = self._budget
        object_bytes = self._object_bytes()
        used_bytes = budget.used_bytes + object_bytes
        if used_bytes >= self._peak_used_bytes:
            self._peak_used_bytes = used_bytes
            self._peak_resident_bytes = resident
        else:
            self._peak_resident_bytes = max(self._peak_resident_bytes, resident)
        free_bytes = self._target_bytes - self._peak_resident_bytes
        growth_bytes = USE_PER_RESIDENT_RATIO * free_bytes if free_bytes > 0 else free_bytes
        usable_bytes = max(MIN_USABLE_BYTES, self._peak_used_bytes + growth_bytes)
        budget.set_max_bytes(min(usable_bytes - object_bytes, budget.largest_budget_bytes()))

    def _report(self, resident: int) -> None:
        """Record the memory in use, and log when it becomes short or free again.

        At most one line per `REPORT_PERIOD_SECONDS` is logged.
        """
        budget = self._budget
        self._telemetry.record_maximum(Gauge.RESIDENT_KB, resident >> 10)
        self._telemetry.record_maximum(Gauge.MEMORY_USED_KB, budget.used_bytes >> 10)
        is_short = budget.is_full
        if is_short is self._was_short:
            return
        self._was_short = is_short
        if is_short:
            self._telemetry.count(Event.MEMORY_SHORT, resident_kb=resident >> 10)
        now = asyncio.get_running_loop().time()
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_PERIOD_SECONDS
        log.info(
            "memory is %s: %d KB resident, %d KB used and %d KB reserved of a budget of %d KB",
            "short" if is_short else "free again",
            resident >> 10,
            budget.used_bytes >> 10,
            budget.reserved_bytes >> 10,
            int(budget.max_bytes) >> 10,
        )
