"""Nanoseconds in other units of time."""

from __future__ import annotations

NS_PER_SECOND = 1e9  # a float, for divisions that give seconds
NS_PER_MS = 1_000_000
NS_PER_US = 1_000
