"""The worst minute of endpoint list changes: a zone's servers are removed and added again."""

from __future__ import annotations

import asyncio

from scale.real.plan import Plan
from scale.real.standins import ZONE_COUNT, Agent, Entry

CHANGE_GAP_SECONDS = 0.1  # between two changes that remove or add a part of the zone
UNBATCHED_CHANGES_NOTE = "each change is taken by itself: those that come together are not gathered"


def with_state(entries: list[Entry], state: str, version: int) -> list[Entry]:
    """Return copies of entries with another state.

    A ready entry gets a new start time, `version` seconds after the epoch: the server has restarted, but long
    enough ago that its slow start is over.
    """
    return [
        entry | {"state": state, "started_ms": 1000 * version if state == "Ready" else 0} for entry in entries
    ]


def zone_outage_changes(
    entries: list[Entry], batch_count: int
) -> tuple[list[list[Entry]], list[list[Entry]]]:
    """Return the changes that remove the last zone's servers, and those that add them again.

    Each change is a list of entries; a batch without servers is left out.
    """
    zone = [entry for entry in entries if entry["zone"] == f"z{ZONE_COUNT - 1}"]
    batches = [zone[first::batch_count] for first in range(min(batch_count, len(zone)))]
    return [with_state(batch, "Gone", 0) for batch in batches], [
        with_state(batch, "Ready", 1) for batch in batches
    ]


async def push_zone_outage(agent: Agent, entries: list[Entry], plan: Plan) -> int:
    """Push the changes of the worst minute to all watches; return the bytes that each watch got."""
    pushed_bytes = 0
    for changes in zone_outage_changes(entries, plan.zone_batch_count):
        for change in changes:
            pushed_bytes += agent.push_change(change)
            await asyncio.sleep(CHANGE_GAP_SECONDS)
        await asyncio.sleep(plan.pause_seconds)
    return pushed_bytes


def describe_worst_minute(plan: Plan) -> str:
    """Return the description of the worst minute in the figures."""
    return (
        f"a ninth of the list lost and back in {2 * plan.zone_batch_count} changes, "
        f"{CHANGE_GAP_SECONDS} s apart"
    )
