"""Measures real node processes on loopback against stand-ins: costs of requests, list changes and outages.

`measure` runs all of it. Sizes are servers in the list, or nodes at one agent. A figure named `.slope` is the
slope of a least-squares line over the measured sizes. `calculated` marks a figure that was not measured but
follows from measured ones. Times depend on this machine: on one that is busy they are longer.
"""

from __future__ import annotations

import asyncio
import json
import sys
from time import monotonic

import uvloop

from scale.real.control import control
from scale.real.fleet import fleet
from scale.real.plan import FULL, SMOKE, FigureEntry, Plan, Report
from scale.real.requests import data


async def run(plan: Plan) -> list[FigureEntry]:
    """Run all measurements of a plan, one after another, and return their figures and run times."""
    report = Report()
    for part in (control, data, fleet):
        started_at = monotonic()
        await part(report, plan)
        name = f"run.{part.__name__}.time"
        report.add(
            name,
            plan.server_counts[-1],
            monotonic() - started_at,
            "s",
            "how long this part of the tests took",
        )
    return report.figures


def measure(smoke: bool) -> list[FigureEntry]:
    """Return all figures; `smoke` runs the smallest sizes.

    The keys of a figure are `name`, `size` (servers, or nodes at one agent), `value`, `unit`, `bound` (the
    highest allowed value, or None), `why` (how it was measured), `calculated`, `mechanism` (what the bound
    depends on, `missing: ` before one that does not exist) and, of repeated runs, `spread` (half of their
    range).
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run(SMOKE if smoke else FULL))


if __name__ == "__main__":
    for figure in measure("--smoke" in sys.argv):
        print(json.dumps(figure))
