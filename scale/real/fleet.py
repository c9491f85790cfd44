"""Measures many node processes at one agent: its costs of changes and outages, and the nodes' delays.

The agent runs in this process, each node in a process of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from time import monotonic, process_time

import numpy as np

from scale.real.plan import (
    CHANGE_INTERVAL_SECONDS,
    DISCOVERY_MACHINE_COUNT,
    MAX_UPDATE_DELAY_SECONDS,
    Plan,
    Report,
)
from scale.real.processes import NODE_COUNT, NodeProcess, configuration, running_nodes
from scale.real.standins import EMPTY_LINE_CHUNK, EMPTY_LINE_INTERVAL_SECONDS, Agent, Entry, entry
from scale.real.worst import with_state


async def own_cpu_ms(action: Callable[[], object], wait_seconds: float) -> float:
    """Return the processor time of this process for an action and the sending that follows it, in ms.

    The processor time of waiting for as long without the action is measured first, and subtracted.
    """
    before = process_time()
    await asyncio.sleep(wait_seconds)
    idle_cpu_seconds = process_time() - before
    before = process_time()
    action()
    await asyncio.sleep(wait_seconds)
    return 1000 * (process_time() - before - idle_cpu_seconds)


async def time_change(
    agent: Agent, processes: list[NodeProcess], entries: list[Entry], repetition: int
) -> float:
    """Push a change of one server, and return the seconds until the last node has applied it."""
    started_at = monotonic()
    agent.push_change(with_state(entries[:1], "Ready" if repetition % 2 else "Terminating", 1))
    await wait_until_applied(agent, processes)
    return monotonic() - started_at


async def wait_until_applied(agent: Agent, processes: list[NodeProcess]) -> None:
    """Wait until each node has responded after it received what the agent sent."""
    await agent.wait_until_written()
    await asyncio.gather(*(process.wait_until_responsive() for process in processes))


@dataclass
class ReconnectStorm:
    """The reconnection of all watches after an outage of the agent."""

    last_watch_seconds: float  # from the end of the outage until the last node has opened its watch
    ready_seconds: float  # from the end of the outage until the last node has applied its first line
    peak_per_second: float  # highest number of new watches within 1 s
    peak_per_100_ms: float  # highest number of new watches within 0.1 s
    sent_bytes: float  # by the agent, from the end of the outage until all nodes are ready


async def run_reconnect_storm(
    agent: Agent, processes: list[NodeProcess], outage_seconds: float, without_history: bool
) -> ReconnectStorm:
    """Run an outage of the agent, and measure how the nodes reconnect; raises TimeoutError after 30 s.

    `without_history` makes the agent send a snapshot to each node, as after its own restart.
    """
    agent.start_outage()
    if without_history:
        agent.clear_history()
    await asyncio.sleep(outage_seconds)
    opened_before, sent_bytes, started_at = len(agent.watch_opened_at), agent.sent_bytes, monotonic()
    await agent.listen()
    async with asyncio.timeout(30.0):
        while len(agent.watches) < len(processes):
            await asyncio.sleep(0.005)
    await wait_until_applied(agent, processes)
    ready_seconds = monotonic() - started_at
    opened = np.array(agent.watch_opened_at[opened_before:])
    peak_per_second, peak_per_100_ms = (
        max(float(((opened >= begin) & (opened < begin + span_seconds)).sum()) for begin in opened)
        for span_seconds in (1.0, 0.1)
    )
    return ReconnectStorm(
        float(opened.max()) - started_at,
        ready_seconds,
        peak_per_second,
        peak_per_100_ms,
        float(agent.sent_bytes - sent_bytes),
    )


async def fleet(report: Report, plan: Plan) -> None:
    """Measure growing numbers of nodes at one agent, all with the complete list, and add the figures.

    The name of this function is a part of a figure's name.
    """
    entries = [entry(index, 9) for index in range(plan.fleet_server_count)]
    async with Agent(entries) as agent, AsyncExitStack() as stack:
        processes: list[NodeProcess] = []
        for node_count in plan.node_counts:
            documents = [configuration(agent, entries)] * (node_count - len(processes))
            processes += await stack.enter_async_context(running_nodes(documents, plan.concurrent_starts))
            while len(agent.watches) < node_count:
                await asyncio.sleep(0.01)
            await measure_fleet(report, plan, agent, processes, entries)
    description = f"{plan.fleet_server_count} servers"
    change_ms = report.add_slope("agent.change.cpu", "nodes", "ms/node", description)
    change_bytes = report.add_slope("agent.change.bytes", "nodes", "bytes/node", description)
    snapshot_bytes = report.add_slope("agent.storm_whole.bytes", "nodes", "bytes/node", description)
    report_discovery(report, change_ms, change_bytes, snapshot_bytes)


async def measure_fleet(
    report: Report, plan: Plan, agent: Agent, processes: list[NodeProcess], entries: list[Entry]
) -> None:
    """Measure single changes and reconnect storms with these nodes, and add the figures."""
    node_count = len(processes)
    for process in processes:
        await process.wait_until_idle(0.02)
    description = f"one change to {node_count} nodes of {len(entries)} servers"
    costs_ms, sent_bytes, apply_seconds = [], [], []
    for repetition in range(2 * plan.repeats):
        before = agent.sent_bytes
        changed = with_state(entries[1:2], "Ready" if repetition % 2 else "Terminating", 1)
        costs_ms.append(await own_cpu_ms(partial(agent.push_change, changed), 0.05))
        sent_bytes.append(float(agent.sent_bytes - before))
        await wait_until_applied(agent, processes)
        apply_seconds.append(await time_change(agent, processes, entries, repetition))
    report.add_median(
        "agent.change.cpu", node_count, costs_ms, "ms", f"processor time of the stand-in agent; {description}"
    )
    report.add_median(
        "agent.change.bytes",
        node_count,
        sent_bytes,
        "bytes",
        f"{description}, an empty line now and then among them",
    )
    report.add_median(
        "fleet.change.in_force",
        node_count,
        apply_seconds,
        "s",
        f"{description}, until the last has answered /up, asked for after it; "
        "they share this machine's cores",
        MAX_UPDATE_DELAY_SECONDS,
    )
    for name, without_history in (("storm", False), ("storm_whole", True)):
        storms = [
            await run_reconnect_storm(agent, processes, plan.agent_outage_seconds, without_history)
            for _ in range(1 if without_history else plan.storm_count)
        ]
        history_note = (
            "the agent has kept no changes and sends the whole list"
            if without_history
            else "it has kept its changes"
        )
        description = (
            f"{node_count} nodes refused for {plan.agent_outage_seconds:g} s, then let in; {history_note}; "
            f"{len(entries)} servers"
        )
        report.add_median(
            f"agent.{name}.last",
            node_count,
            [storm.last_watch_seconds for storm in storms],
            "s",
            f"{description}; last watch",
            MAX_UPDATE_DELAY_SECONDS,
        )
        report.add_median(
            f"agent.{name}.ready",
            node_count,
            [storm.ready_seconds for storm in storms],
            "s",
            f"{description}; last node has what its watch brought",
            MAX_UPDATE_DELAY_SECONDS,
        )
        report.add_median(
            f"agent.{name}.peak",
            node_count,
            [storm.peak_per_second for storm in storms],
            "watches/s",
            f"{description}; worst second",
        )
        peaks_per_100_ms = [storm.peak_per_100_ms for storm in storms]
        report.add_median(
            f"agent.{name}.burst",
            node_count,
            peaks_per_100_ms,
            "watches",
            f"{description}; new ones in the worst 0.1 s",
        )
        report.add_median(
            f"agent.{name}.bytes",
            node_count,
            [storm.sent_bytes for storm in storms],
            "bytes",
            f"{description}; all sent",
        )


def report_discovery(report: Report, change_ms: float, change_bytes: float, snapshot_bytes: float) -> None:
    """Add the figures of the load on each machine reserved for control, calculated for the complete service.

    They are given for all machines, and for one to three of them lost. The arguments are slopes: ms of the
    agent's processor time and bytes for each node and change, and bytes of a snapshot for each node.
    """
    for lost_machines in range(4):
        machine_count = DISCOVERY_MACHINE_COUNT - lost_machines
        nodes_per_machine = NODE_COUNT // machine_count
        why = (
            f"by the slopes, for {NODE_COUNT} nodes at {machine_count} of {DISCOVERY_MACHINE_COUNT} machines"
        )
        bytes_per_second = nodes_per_machine * (
            change_bytes / CHANGE_INTERVAL_SECONDS + len(EMPTY_LINE_CHUNK) / EMPTY_LINE_INTERVAL_SECONDS
        )
        for name, value, unit, description in (
            (
                "sent.mean_rate",
                bytes_per_second,
                "bytes/s",
                "changes at the day's mean rate, and empty lines",
            ),
            ("change_cpu", nodes_per_machine * change_ms, "ms", "processor time of one change"),
            (
                "storm_whole",
                nodes_per_machine * snapshot_bytes / 1e6,
                "MB",
                "the whole list to each, after an outage",
            ),
        ):
            report.add(
                f"discovery.{name}", nodes_per_machine, value, unit, f"{description}; {why}", calculated=True
            )
