"""Load reports of endpoints, and the utilization that is assumed without reports.

A load report lists values in the order of the setting `load_report_fields`. Only `utilization` is used, the
fraction of the endpoint's cores in use, 0 to 1. An attempt that times out sets the utilization to 1, as the
most loaded endpoints don't answer. If endpoints report no utilization, a successful answer sets the value
back to 0. If endpoints report their utilization, only a report changes the value otherwise, as an answer may
be sent without a report.

The utilization is used by selection (load score), hardware_types (hash ratios) and admission (headroom).
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.state import EndpointStatus

UTILIZATION = "utilization"
# mean utilization (fraction of the cores in use) of the ready endpoints below which the fleet counts as
# having headroom
HEADROOM_UTILIZATION_RATIO = 0.6
# number of integer units that stand for a utilization of 1.0, with all cores of an endpoint in use
UTILIZATION_UNITS = 1 << 40


class LoadReports:
    """Keeps the utilization of each endpoint, and the sum of the utilization of the ready endpoints."""

    def __init__(self, settings: api.Settings, hardware_types: HardwareTypes) -> None:
        self._fields = settings.load_report_fields
        self._has_utilization = UTILIZATION in settings.load_report_fields
        self._hardware_types = hardware_types
        # sum of the utilization of all ready endpoints, in integer units to avoid rounding errors
        self._total_units = 0

    def has_headroom(self, ready_count: int) -> bool:
        """Return whether endpoints report their utilization and the mean of the ready endpoints is low."""
        return (
            self._has_utilization
            and self._total_units < HEADROOM_UTILIZATION_RATIO * ready_count * UTILIZATION_UNITS
        )

    def on_success(self, status: EndpointStatus) -> None:
        """Assume that an endpoint which answered is idle, if endpoints report no utilization."""
        if not self._has_utilization:
            self._set_utilization(status, 0.0)

    def on_timeout(self, status: EndpointStatus) -> None:
        """Assume that an endpoint which did not answer is fully utilized."""
        self._record_utilization(status, 1.0)

    def on_report(self, status: EndpointStatus, report: tuple[float, ...]) -> None:
        """Record the utilization in a load report, if the report contains it."""
        if not report or not self._has_utilization:
            return
        values = dict(zip(self._fields, report, strict=False))
        if UTILIZATION in values:
            self._record_utilization(status, min(1.0, max(0.0, values[UTILIZATION])))

    def add_ready(self, status: EndpointStatus) -> None:
        """Add the utilization of an endpoint that has become ready to the sum of the ready ones."""
        self._total_units += int(status.utilization * UTILIZATION_UNITS)

    def remove_ready(self, status: EndpointStatus) -> None:
        """Subtract the utilization of an endpoint that is no longer ready from the sum of the ready ones."""
        self._total_units -= int(status.utilization * UTILIZATION_UNITS)

    def _record_utilization(self, status: EndpointStatus, utilization: float) -> None:
        self._set_utilization(status, utilization)
        hardware_type = status.endpoint.hardware_type
        self._hardware_types.record_utilization(hardware_type, utilization, self._has_utilization)

    def _set_utilization(self, status: EndpointStatus, utilization: float) -> None:
        if status.is_ready:
            units = int(utilization * UTILIZATION_UNITS)
            self._total_units += units - int(status.utilization * UTILIZATION_UNITS)
        status.utilization = utilization
