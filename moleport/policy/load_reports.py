"""Endpoints' load reports, and the utilization that is assumed where there are none.

A load report lists figures in the order of the settings' `load_report_fields`. Only `utilization` is used:
the part of the endpoint's cores in use, 0 to 1. An attempt that times out sets it to 1, as the most loaded
endpoints don't answer. Where endpoints report no utilization, a successful answer sets it back to 0; where
they do, only a report does, as an answer may come without one.

Used by selection (load score), hardware_types (hash ratios) and admission (whether the fleet has headroom).
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.state import EndpointStatus

UTILIZATION = "utilization"
HEADROOM_UTILIZATION_RATIO = 0.6  # mean of the ready endpoints; below it the fleet has headroom
UTILIZATION_UNITS = 1 << 40  # units in a utilization of 1.0


class LoadReports:
    """Keeps each endpoint's utilization, and the sum over those that are ready."""

    def __init__(self, settings: api.Settings, hardware_types: HardwareTypes) -> None:
        self._fields = settings.load_report_fields
        self._has_utilization = UTILIZATION in settings.load_report_fields
        self._hardware_types = hardware_types
        self._total_units = 0  # in 1 / UTILIZATION_UNITS: sums of whole numbers have no rounding error

    def has_headroom(self, ready_count: int) -> bool:
        """Return whether the ready endpoints report a low mean utilization."""
        return (
            self._has_utilization
            and self._total_units < HEADROOM_UTILIZATION_RATIO * ready_count * UTILIZATION_UNITS
        )

    def on_success(self, status: EndpointStatus) -> None:
        """Take an endpoint that answered for idle where endpoints report no utilization."""
        if not self._has_utilization:
            self._set(status, 0.0)

    def on_timeout(self, status: EndpointStatus) -> None:
        """Take an endpoint that did not answer for fully utilized."""
        self._record(status, 1.0)

    def on_report(self, status: EndpointStatus, report: tuple[float, ...]) -> None:
        """Note the utilization in a load report; an empty or shorter report may have none."""
        if not report or not self._has_utilization:
            return
        values = dict(zip(self._fields, report, strict=False))
        if UTILIZATION in values:
            self._record(status, min(1.0, max(0.0, values[UTILIZATION])))

    def add_ready(self, status: EndpointStatus) -> None:
        """Add an endpoint that has become ready to the sum."""
        self._total_units += int(status.utilization * UTILIZATION_UNITS)

    def remove_ready(self, status: EndpointStatus) -> None:
        """Take an endpoint that was ready out of the sum."""
        self._total_units -= int(status.utilization * UTILIZATION_UNITS)

    def _record(self, status: EndpointStatus, utilization: float) -> None:
        self._set(status, utilization)
        hardware_type = status.endpoint.hardware_type
        self._hardware_types.record_utilization(hardware_type, utilization, self._has_utilization)

    def _set(self, status: EndpointStatus, utilization: float) -> None:
        if status.is_ready:
            units = int(utilization * UTILIZATION_UNITS)
            self._total_units += units - int(status.utilization * UTILIZATION_UNITS)
        status.utilization = utilization
