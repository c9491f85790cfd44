"""Parameters and bounds of the capacity measurements on loopback, and the report that collects figures."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from scale.real.processes import DESCRIPTOR_COUNT

FigureEntry = dict[str, Any]
"""One figure as `Report.add` writes it; `scale.loopback.measure` describes its keys."""

SERVER_COUNT = 7200  # of the service
DISCOVERY_MACHINE_COUNT = 6  # machines reserved for control traffic
DAY_SECONDS = 86_400.0
CHANGES_PER_DAY = 3200  # of the endpoint list
CHANGE_INTERVAL_SECONDS = DAY_SECONDS / CHANGES_PER_DAY
REQUESTS_PER_SECOND = 273.0  # at one node
MAX_ADDED_P99_MS = 6.9  # by which a node may raise the 99th percentile of response times
MAX_CONTROL_CPU_PERCENT = 3.6  # of a core
MAX_CONTROL_RSS_MB = 64.0
MAX_CONTROL_BYTES_PER_SECOND = 8192.0  # sent by the agent to one node
MAX_UPDATE_DELAY_SECONDS = 4.0  # from a change of the list until the last node has applied it
MAX_SERVER_CONNECTION_COUNT = 600  # a quote server accepts 600 to 900; the bound is the lowest of these
SERVICE_TIME_MS = 5.0  # of a stand-in server
MIN_SLOPE_POINT_COUNT = 4
PERCENTILES = {"median": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True)
class Plan:
    """Sizes, durations and repetitions of a run."""

    server_counts: tuple[int, ...]  # lengths of the endpoint list
    warm_up_seconds: float  # until connections open and close at a steady rate
    window_seconds: float  # of requests at the day's mean rate of changes: one change, halfway through
    settle_seconds: float  # after the last change of the zone outage
    closed_loop_seconds: float
    closed_loop_clients: int
    repeats: int
    zone_batch_count: int  # changes that remove a zone's servers, and as many that add them again
    pause_seconds: float  # after a zone's servers are removed, and again after they are added
    idle_seconds: float  # for which an idle node's processor time is measured
    concurrent_runs: int  # list sizes that are measured at the same time
    tenant_counts: tuple[int, ...]  # in the configuration, with the longest list
    class_counts: tuple[int, ...]  # likewise; request classes replace routes, which the settings lack
    descriptor_limits: tuple[int, ...]  # further descriptor limits of a node, with the longest list
    node_counts: tuple[int, ...]  # nodes that watch one agent
    fleet_server_count: int  # length of the list that these nodes watch
    concurrent_starts: int  # nodes that are started at the same time
    agent_outage_seconds: float
    storm_count: int  # reconnect storms of an agent with its history; there is one without history


FULL = Plan(
    server_counts=(60, 200, 1000, 3600, 7200),
    warm_up_seconds=14.0,
    window_seconds=CHANGE_INTERVAL_SECONDS,
    settle_seconds=1.0,
    closed_loop_seconds=1.2,
    closed_loop_clients=64,
    repeats=3,
    zone_batch_count=20,
    pause_seconds=1.0,
    idle_seconds=2.0,
    concurrent_runs=3,
    descriptor_limits=(4 * DESCRIPTOR_COUNT,),
    tenant_counts=(0, 11_000, 22_000, 44_000),
    class_counts=(2, 100, 400, 1_600),
    node_counts=(5, 10, 20, 30),
    fleet_server_count=SERVER_COUNT,
    concurrent_starts=4,
    agent_outage_seconds=2.0,
    storm_count=2,
)
SMOKE = Plan(
    server_counts=(60,),
    warm_up_seconds=0.2,
    window_seconds=0.6,
    settle_seconds=0.1,
    closed_loop_seconds=0.3,
    closed_loop_clients=8,
    repeats=1,
    zone_batch_count=3,
    pause_seconds=0.1,
    idle_seconds=0.1,
    concurrent_runs=2,
    descriptor_limits=(),
    tenant_counts=(0, 100),
    class_counts=(2, 4),
    node_counts=(1, 2),
    fleet_server_count=60,
    concurrent_starts=2,
    agent_outage_seconds=0.3,
    storm_count=1,
)


@dataclass
class Report:
    """Collects figures, and derives medians and slopes from them."""

    figures: list[FigureEntry] = field(default_factory=list)

    def add(
        self,
        name: str,
        size: int,
        value: float,
        unit: str,
        why: str,
        bound: float | None = None,
        runs: Sequence[float] = (),
        calculated: bool = False,
        mechanism: str = "",
    ) -> None:
        """Add one figure.

        `runs` are the repeated values of which `value` is the median, in the same unit; with two or more of
        them the figure's spread is half of their range. `bound` is the highest allowed value.
        """
        figure: FigureEntry = {
            "name": name,
            "size": size,
            "value": round(float(value), 6),
            "unit": unit,
            "bound": bound,
            "why": why,
            "calculated": calculated,
            "mechanism": mechanism,
        }
        if len(runs) > 1:
            figure["spread"] = round(float(max(runs) - min(runs)) / 2, 6)
        self.figures.append(figure)

    def add_median(
        self, name: str, size: int, runs: Sequence[float], unit: str, why: str, bound: float | None = None
    ) -> float:
        """Add the median of repeated values with their spread, and return it."""
        value = float(np.median(runs))
        self.add(name, size, value, unit, why, bound, runs)
        return value

    def add_slope(self, name: str, size_name: str, unit: str, why: str) -> float:
        """Return the least-squares slope of a figure over its sizes; 0.0 if it has only one size.

        The slope is also added as a figure if there are at least `MIN_SLOPE_POINT_COUNT` sizes. `size_name`
        says what the sizes count. Raises ValueError if no figure of this name was added.
        """
        points = [(figure["size"], figure["value"]) for figure in self.figures if figure["name"] == name]
        sizes, values = np.array(points, dtype=float).T
        slope, intercept = np.polyfit(sizes, values, 1) if len(points) > 1 else (0.0, values[0])
        if len(points) >= MIN_SLOPE_POINT_COUNT:
            size_list = ", ".join(str(int(size)) for size in sizes)
            description = f"least squares over {size_name} {size_list}; at 0: {intercept:.4g}"
            self.add(
                f"{name}.slope",
                int(sizes.max()),
                slope,
                unit,
                f"{description}. {why}" if why else description,
            )
        return float(slope)

    def value(self, name: str, size: int) -> float:
        """Return the value of an added figure; raises StopIteration if there is none."""
        return float(
            next(
                figure["value"] for figure in self.figures if (figure["name"], figure["size"]) == (name, size)
            )
        )
