"""Many real nodes at one agent: what a change and an outage cost it, and how soon all are current."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from time import monotonic, process_time

import numpy as np

from scale.real.plan import CHANGE_EVERY, DISCOVERIES, IN_FORCE, Plan, Report
from scale.real.processes import NODES, NodeProcess, configuration, nodes
from scale.real.standins import EMPTY, EMPTY_EVERY, Agent, Entry, entry
from scale.real.worst import flipped


async def own_cpu(act: Callable[[], object], rest: float) -> float:
    """ms of this process's time that an act and the sending after it cost, above waiting as long."""
    before = process_time()
    await asyncio.sleep(rest)
    waiting = process_time() - before
    before = process_time()
    act()
    await asyncio.sleep(rest)
    return 1000 * (process_time() - before - waiting)


async def everywhere(agent: Agent, processes: list[NodeProcess], entries: list[Entry], turn: int) -> float:
    """s from a change until it is in force at the last node."""
    at = monotonic()
    agent.change(flipped(entries[:1], "Ready" if turn % 2 else "Terminating", 1))
    await in_force(agent, processes)
    return monotonic() - at


async def in_force(agent: Agent, processes: list[NodeProcess]) -> None:
    """Until each node has answered after it got what the agent has told."""
    await agent.written()
    await asyncio.gather(*(process.answers() for process in processes))


@dataclass
class Storm:
    """All watches lost, and back."""

    last: float  # s from the agent's return until the last node's watch
    ready: float  # s until the last node has what that watch brought
    peak: float  # new watches in the worst second
    burst: float  # in the worst 0.1 s
    sent: float  # bytes


async def storm(agent: Agent, processes: list[NodeProcess], outage: float, forget: bool) -> Storm:
    agent.refuse()
    if forget:
        agent.forget()
    await asyncio.sleep(outage)
    number, sent, at = len(agent.opened), agent.sent, monotonic()
    await agent.listen()
    async with asyncio.timeout(30.0):
        while len(agent.watches) < len(processes):
            await asyncio.sleep(0.005)
    await in_force(agent, processes)
    ready = monotonic() - at
    opened = np.array(agent.opened[number:])
    peak, burst = (
        max(float(((opened >= one) & (opened < one + span)).sum()) for one in opened) for span in (1.0, 0.1)
    )
    return Storm(float(opened.max()) - at, ready, peak, burst, float(agent.sent - sent))


async def fleet(report: Report, plan: Plan) -> None:
    """Growing numbers of nodes at one agent, all with the whole list."""
    entries = [entry(index, 9) for index in range(plan.fleet_servers)]
    async with Agent(entries) as agent, AsyncExitStack() as stack:
        processes: list[NodeProcess] = []
        for size in plan.fleet:
            documents = [configuration(agent, entries)] * (size - len(processes))
            processes += await stack.enter_async_context(nodes(documents, plan.starting))
            while len(agent.watches) < size:
                await asyncio.sleep(0.01)
            await fleet_run(report, plan, agent, processes, entries)
    what = f"{plan.fleet_servers} servers"
    change = report.slope("agent.change.cpu", "nodes", "ms/node", what)
    sent = report.slope("agent.change.bytes", "nodes", "bytes/node", what)
    whole = report.slope("agent.storm_whole.bytes", "nodes", "bytes/node", what)
    report_discovery(report, change, sent, whole)


async def fleet_run(
    report: Report, plan: Plan, agent: Agent, processes: list[NodeProcess], entries: list[Entry]
) -> None:
    size = len(processes)
    for process in processes:
        await process.settle(0.02)
    what = f"one change to {size} nodes of {len(entries)} servers"
    spent, sent, force = [], [], []
    for turn in range(2 * plan.repeats):
        before = agent.sent
        changed = flipped(entries[1:2], "Ready" if turn % 2 else "Terminating", 1)
        spent.append(await own_cpu(partial(agent.change, changed), 0.05))
        sent.append(float(agent.sent - before))
        await in_force(agent, processes)
        force.append(await everywhere(agent, processes, entries, turn))
    report.median("agent.change.cpu", size, spent, "ms", f"processor time of the stand-in agent; {what}")
    report.median("agent.change.bytes", size, sent, "bytes", f"{what}, an empty line now and then among them")
    report.median(
        "fleet.change.in_force",
        size,
        force,
        "s",
        f"{what}, until the last has answered /up, asked for after it; they share this machine's cores",
        IN_FORCE,
    )
    for name, forget in (("storm", False), ("storm_whole", True)):
        found = [
            await storm(agent, processes, plan.outage, forget) for _ in range(1 if forget else plan.storms)
        ]
        kept = (
            "the agent has kept no changes and sends the whole list" if forget else "it has kept its changes"
        )
        what = f"{size} nodes refused for {plan.outage:g} s, then let in; {kept}; {len(entries)} servers"
        report.median(
            f"agent.{name}.last", size, [one.last for one in found], "s", f"{what}; last watch", IN_FORCE
        )
        report.median(
            f"agent.{name}.ready",
            size,
            [one.ready for one in found],
            "s",
            f"{what}; last node has what its watch brought",
            IN_FORCE,
        )
        report.median(
            f"agent.{name}.peak", size, [one.peak for one in found], "watches/s", f"{what}; worst second"
        )
        bursts = [one.burst for one in found]
        report.median(f"agent.{name}.burst", size, bursts, "watches", f"{what}; new ones in the worst 0.1 s")
        report.median(f"agent.{name}.bytes", size, [one.sent for one in found], "bytes", f"{what}; all sent")


def report_discovery(report: Report, change_ms: float, change_bytes: float, whole_bytes: float) -> None:
    """What each of the machines set aside would carry; slopes per node."""
    for lost in range(4):
        left = DISCOVERIES - lost
        each = NODES // left
        why = f"by the slopes, for {NODES} nodes at {left} of {DISCOVERIES} machines"
        sent = each * (change_bytes / CHANGE_EVERY + len(EMPTY) / EMPTY_EVERY)
        for name, value, unit, what in (
            ("sent.mean_rate", sent, "bytes/s", "changes at the day's mean rate, and empty lines"),
            ("change_cpu", each * change_ms, "ms", "processor time of one change"),
            ("storm_whole", each * whole_bytes / 1e6, "MB", "the whole list to each, after an outage"),
        ):
            report.add(f"discovery.{name}", each, value, unit, f"{what}; {why}", calculated=True)
