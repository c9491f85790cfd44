"""The measurement window that several modules share, and jitter."""

from __future__ import annotations

from random import Random

# length of a measurement window in ns: the time between two updates of rates and caps
WINDOW_NS = 500_000_000


def jittered_ns(random: Random, max_ns: int, min_ratio: float) -> int:
    """Return a uniformly distributed random time in ns, from min_ratio * max_ns to max_ns."""
    return int(max_ns * random.uniform(min_ratio, 1.0))
