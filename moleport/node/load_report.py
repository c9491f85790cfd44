"""Parses the load report that a server may add to a response in the X-Load header."""

from __future__ import annotations

import logging
from math import inf

log = logging.getLogger(__name__)

MAX_REPORT_BYTES = 1024


class LoadReportError(ValueError):
    """A load report is too long or contains an invalid value; the message states which."""


class LoadReportParser:
    """Parses `name=value, name=value` headers into values in the order of the configured field names."""

    def __init__(self, field_names: tuple[bytes, ...]) -> None:
        """Create a parser of load reports that contain all of `field_names`; other fields are ignored."""
        self._field_names = field_names
        self._has_warned = False

    def parse(self, header: bytes) -> tuple[float, ...]:
        """Return the values of a load report in the order of the field names, or () if it is invalid.

        Only the first invalid report is logged.
        """
        try:
            if len(header) > MAX_REPORT_BYTES:
                raise LoadReportError(f"load report of {len(header)} bytes exceeds {MAX_REPORT_BYTES} bytes")
            fields = dict(part.strip().split(b"=", 1) for part in header.split(b","))
            values = tuple(float(fields[name]) for name in self._field_names)
            # The range check of a load report's values rejects NaN too, as each comparison with NaN is false.
            if not all(0.0 <= value < inf for value in values):
                raise LoadReportError(f"load report value in {values} is negative or not finite")
            return values
        except (ValueError, KeyError) as error:
            self._warn_once(header, error)
            return ()

    def _warn_once(self, header: bytes, error: Exception) -> None:
        """Log an invalid load report, unless one has been logged before."""
        if self._has_warned:
            return
        self._has_warned = True
        log.warning(
            "ignored invalid load report %r of a server (required fields: %r): %r",
            header,
            self._field_names,
            error,
        )
