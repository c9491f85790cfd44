"""Exponential backoff with jitter between two watches of the endpoint list."""

from __future__ import annotations

from random import Random

from moleport.units import NS_PER_SECOND

MIN_DELAY_SECONDS = 0.03
MAX_DOUBLINGS = 5
# The drain grace runs from when discovery receives an update, even while the node has no watch open: the
# delay may use up no more than this part of it.
MAX_DRAIN_GRACE_FRACTION = 0.5
MIN_JITTER_FACTOR = 0.5


class ReconnectBackoff:
    """Delays that double with each failure, with jitter so that nodes do not reconnect together."""

    def __init__(self, seed: int, drain_grace_ns: int) -> None:
        """Draw the jitter from `seed`; bound the delay by a part of the drain grace, in ns."""
        self._random = Random(seed)
        self._drain_grace_ns = drain_grace_ns
        self.failure_count = 0  # since the last reset

    def reset(self) -> None:
        """Begin with the shortest delay again."""
        self.failure_count = 0

    def next_delay_seconds(self) -> float:
        """Count a failure and return the delay after it, in seconds."""
        max_delay = max(MIN_DELAY_SECONDS, MAX_DRAIN_GRACE_FRACTION * self._drain_grace_ns / NS_PER_SECOND)
        delay = MIN_DELAY_SECONDS * (1 << min(self.failure_count, MAX_DOUBLINGS))
        self.failure_count += 1
        return min(max_delay, delay) * self._random.uniform(MIN_JITTER_FACTOR, 1.0)
