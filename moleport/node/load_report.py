"""Parses the load report that a server may attach to a response."""

from __future__ import annotations

import logging
from math import inf

log = logging.getLogger(__name__)

MAX_REPORT_BYTES = 1024


class LoadReportError(ValueError):
    """A load report that cannot be used; the text says why."""


class LoadReportParser:
    """Parses `name=value, name=value` headers into the order that the settings give."""

    def __init__(self, field_names: tuple[bytes, ...]) -> None:
        """Expect all of `field_names` in each report."""
        self._field_names = field_names
        self._has_warned = False

    def parse(self, header: bytes) -> tuple[float, ...]:
        """Return the values in the order of the field names, or an empty tuple for an unusable report.

        The first unusable report is logged, later ones are ignored silently.
        """
        try:
            if len(header) > MAX_REPORT_BYTES:
                raise LoadReportError(f"it is longer than {MAX_REPORT_BYTES} bytes")
            fields = dict(part.strip().split(b"=", 1) for part in header.split(b","))
            values = tuple(float(fields[name]) for name in self._field_names)
            # Rejects NaN as well, as each comparison with it is false.
            if not all(0.0 <= value < inf for value in values):
                raise LoadReportError("a value is negative or not finite")
            return values
        except (ValueError, KeyError) as error:
            self._warn_once(header, error)
            return ()

    def _warn_once(self, header: bytes, error: Exception) -> None:
        if self._has_warned:
            return
        self._has_warned = True
        log.warning("unusable load report %r, expected %r: %r", header, self._field_names, error)
