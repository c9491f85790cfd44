"""The measurement window that several modules share, and jitter."""

from __future__ import annotations

from random import Random

# Length of a measurement window in ns: the period after which this node updates the request rates that it
# measures, the rejection rates that it keeps for each server endpoint, and its caps on the number of attempts
# in flight (tries to send a request to a server that have not ended), of which each request class has one.
WINDOW_NS = 500_000_000


def jittered_ns(random: Random, max_ns: int, min_ratio: float) -> int:
    """Return a uniformly distributed random time in ns, from min_ratio * max_ns to max_ns."""
    return int(max_ns * random.uniform(min_ratio, 1.0))
