"""Conversion factors between nanoseconds and other units of time."""

from __future__ import annotations

NS_PER_SECOND = 1e9
"""Nanoseconds per second, as a float, because code divides times in nanoseconds by it to get seconds."""
NS_PER_MS = 1_000_000
"""Nanoseconds per millisecond."""
NS_PER_US = 1_000
"""Nanoseconds per microsecond."""
