"""The measurement window that several rules share, and jitter."""

from __future__ import annotations

from random import Random

WINDOW_NS = 500_000_000  # between two updates of the rates


def jittered_ns(random: Random, max_ns: int, min_ratio: float) -> int:
    """Draw a time in ns evenly from min_ratio * max_ns up to max_ns."""
    return int(max_ns * random.uniform(min_ratio, 1.0))
