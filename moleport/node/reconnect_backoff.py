"""Exponential backoff with jitter between the end of a discovery watch and the next watch."""

from __future__ import annotations

from random import Random

from moleport.units import NS_PER_SECOND

MIN_DELAY_SECONDS = 0.03  # delay, before jitter, from the first failed discovery watch to the next watch
MAX_DOUBLINGS = 5
# The delay until the next discovery watch is limited to MAX_DRAIN_GRACE_FRACTION of the drain grace, because
# a drain grace begins when discovery receives an update, even if the node has no watch open.
# The limit is at least MIN_DELAY_SECONDS.
MAX_DRAIN_GRACE_FRACTION = 0.5
# Each delay until the next discovery watch is multiplied by a random factor from MIN_JITTER_FACTOR to 1.
MIN_JITTER_FACTOR = 0.5


class ReconnectBackoff:
    """Computes delays that double with each failed watch; jitter keeps nodes from reconnecting together."""

    def __init__(self, seed: int, drain_grace_ns: int) -> None:
        """Create the backoff without any failed watch.

        `seed` is the seed of the jitter. `drain_grace_ns` limits the delay, see MAX_DRAIN_GRACE_FRACTION.
        """
        self._random = Random(seed)
        self._drain_grace_ns = drain_grace_ns
        self.failure_count = 0  # number of failed discovery watches since the last reset of the backoff

    def reset(self) -> None:
        """Return to the shortest delay, because an update has arrived from discovery."""
        self.failure_count = 0

    def next_delay_seconds(self) -> float:
        """Count a failed watch, and return the delay until the next watch in seconds."""
        max_delay = max(MIN_DELAY_SECONDS, MAX_DRAIN_GRACE_FRACTION * self._drain_grace_ns / NS_PER_SECOND)
        delay = MIN_DELAY_SECONDS * (1 << min(self.failure_count, MAX_DOUBLINGS))
        self.failure_count += 1
        return min(max_delay, delay) * self._random.uniform(MIN_JITTER_FACTOR, 1.0)
