"""What the scale tests on loopback run, at which budgets, and the figures that they gather."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from scale.real.processes import SOCKETS

Figure = dict[str, Any]

SERVERS = 7200
DISCOVERIES = 6  # machines that are set aside for control
DAY = 86_400.0  # s
CHANGES = 3200  # a day
CHANGE_EVERY = DAY / CHANGES  # s
RATE = 273.0  # requests a second at one node
ADDED_P99 = 6.9  # ms
CONTROL_CPU = 3.6  # % of a core
CONTROL_RSS = 64.0  # MB
CONTROL_BYTES = 8192.0  # a second
IN_FORCE = 4.0  # s
SERVER_CONNECTIONS = 600  # a quote server accepts 600 to 900; the bound is the least
DELAY_MS = 5.0  # service time of a stand-in server
SLOPE_POINTS = 4  # at least
PERCENTILES = {"median": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True)
class Plan:
    """How much is run. Times in s, the others are counts."""

    sizes: tuple[int, ...]
    warm: float  # until connections open and close at an even rate
    window: float  # of the day's mean rate: one change in its midst
    settle: float  # after the zone is back
    closed: float  # of the closed loop
    clients: int  # of the closed loop
    repeats: int
    bursts: int  # changes in which a zone is lost, and as many in which it is back
    pause: float  # between loss and return
    idle: float  # for which the node is watched without load
    together: int  # sizes at once
    tenants: tuple[int, ...]  # in the configuration, at the largest size
    classes: tuple[int, ...]  # likewise; one stands for a route, which the settings do not know
    descriptors: tuple[int, ...]  # further limits of a node, tried at the largest size
    fleet: tuple[int, ...]  # nodes at one agent
    fleet_servers: int
    starting: int  # nodes that start at once
    outage: float
    storms: int  # of each kind, but one where the agent sends whole lists


FULL = Plan(
    sizes=(60, 200, 1000, 3600, 7200),
    warm=14.0,
    window=CHANGE_EVERY,
    settle=1.0,
    closed=1.2,
    clients=64,
    repeats=3,
    bursts=20,
    pause=1.0,
    idle=2.0,
    together=3,
    descriptors=(4 * SOCKETS,),
    tenants=(0, 11_000, 22_000, 44_000),
    classes=(2, 100, 400, 1_600),
    fleet=(5, 10, 20, 30),
    fleet_servers=SERVERS,
    starting=4,
    outage=2.0,
    storms=2,
)
SMOKE = Plan(
    sizes=(60,),
    warm=0.2,
    window=0.6,
    settle=0.1,
    closed=0.3,
    clients=8,
    repeats=1,
    bursts=3,
    pause=0.1,
    idle=0.1,
    together=2,
    descriptors=(),
    tenants=(0, 100),
    classes=(2, 4),
    fleet=(1, 2),
    fleet_servers=60,
    starting=2,
    outage=0.3,
    storms=1,
)


@dataclass
class Report:
    """The figures so far."""

    figures: list[Figure] = field(default_factory=list)

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
        """`runs`: the repeated runs of which `value` is the median, in its unit. The spread is half of the
        way from the least to the most."""
        figure: Figure = {
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

    def median(
        self, name: str, size: int, runs: Sequence[float], unit: str, why: str, bound: float | None = None
    ) -> float:
        value = float(np.median(runs))
        self.add(name, size, value, unit, why, bound, runs)
        return value

    def slope(self, name: str, of: str, unit: str, why: str) -> float:
        """The rise of a figure over all sizes that it has; reported where there are enough of them."""
        points = [(one["size"], one["value"]) for one in self.figures if one["name"] == name]
        sizes, values = np.array(points, dtype=float).T
        rise, base = np.polyfit(sizes, values, 1) if len(points) > 1 else (0.0, values[0])
        if len(points) >= SLOPE_POINTS:
            span = ", ".join(str(int(size)) for size in sizes)
            line = f"least squares over {of} {span}; at 0: {base:.4g}"
            self.add(f"{name}.slope", int(sizes.max()), rise, unit, f"{line}. {why}" if why else line)
        return float(rise)

    def value(self, name: str, size: int) -> float:
        return float(next(one["value"] for one in self.figures if (one["name"], one["size"]) == (name, size)))
