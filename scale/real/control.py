"""Measures a node without requests: the costs of list changes, snapshots, reconnected watches and starts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from scale.real.plan import (
    CHANGE_INTERVAL_SECONDS,
    MAX_CONTROL_BYTES_PER_SECOND,
    MAX_CONTROL_CPU_PERCENT,
    MAX_CONTROL_RSS_MB,
    MAX_UPDATE_DELAY_SECONDS,
    Plan,
    Report,
)
from scale.real.processes import NodeProcess, configuration, running_node
from scale.real.standins import EMPTY_LINE_CHUNK, EMPTY_LINE_INTERVAL_SECONDS, Agent, Entry, entry
from scale.real.worst import UNBATCHED_CHANGES_NOTE, describe_worst_minute, push_zone_outage, with_state


async def cpu_cost_ms(
    process: NodeProcess, idle_ratio: float, action: Callable[[], Awaitable[None]]
) -> float:
    """Return the processor time that an action costs the node, less what it uses when idle, in ms."""
    cpu_before, started_at = process.cpu_seconds(), monotonic()
    await action()
    await process.wait_until_idle()
    return 1000 * (process.cpu_seconds() - cpu_before - idle_ratio * (monotonic() - started_at))


async def idle_cpu_ratio(process: NodeProcess, seconds: float) -> float:
    """Return the processor time of a node without requests or changes, in relation to one core."""
    await process.wait_until_idle()
    cpu_before, started_at = process.cpu_seconds(), monotonic()
    await asyncio.sleep(seconds)
    return (process.cpu_seconds() - cpu_before) / (monotonic() - started_at)


async def measure_starts(report: Report, size: int, entries: list[Entry], repeats: int) -> None:
    """Measure starts of a node until `/up` answers 200, with and without the list in its configuration."""
    for name, known_entries, description in (
        ("known", entries, "the configuration holds the current list, the agent has no change to tell"),
        ("whole", [], "the configuration holds no list, the agent sends the whole"),
    ):
        startup_seconds, cpu_ms, sent_bytes = [], [], []
        for _ in range(repeats):
            async with Agent(entries) as agent, running_node(configuration(agent, known_entries)) as process:
                startup_seconds.append(process.startup_seconds)
                cpu_ms.append(1000 * process.startup_cpu_seconds)
                sent_bytes.append(float(agent.sent_bytes))
        report.add_median(
            f"node.start_{name}.time", size, startup_seconds, "s", f"until /up answers 200; {description}"
        )
        report.add_median(
            f"node.start_{name}.cpu", size, cpu_ms, "ms", f"processor time until then; {description}"
        )
        report.add_median(
            f"node.start_{name}.bytes",
            size,
            sent_bytes,
            "bytes",
            f"that the agent sent until then; {description}",
        )


async def measure_control(report: Report, size: int, plan: Plan) -> None:
    """Measure one node with a list of `size` servers: starts, idle, changes, and the worst minute."""
    entries = [entry(index, 9) for index in range(size)]
    await measure_starts(report, size, entries, plan.repeats)
    async with Agent(entries) as agent, running_node(configuration(agent, entries)) as process:
        idle_ratio = await idle_cpu_ratio(process, plan.idle_seconds)
        report.add(
            "node.idle_cpu",
            size,
            100 * idle_ratio,
            "% of a core",
            "neither requests nor changes",
            MAX_CONTROL_CPU_PERCENT,
        )
        report.add(
            "node.rss",
            size,
            process.rss_mb(),
            "MB",
            "resident, before any request: all of the process, not only its control",
            MAX_CONTROL_RSS_MB,
        )
        pushed_bytes: list[float] = []
        apply_seconds: list[float] = []
        snapshot_apply_seconds: list[float] = []

        async def push_change() -> None:
            state = "Terminating" if len(pushed_bytes) % 2 == 0 else "Ready"
            started_at = monotonic()
            pushed_bytes.append(float(agent.push_change(with_state(entries[:1], state, 1))))
            await process.wait_until_responsive()
            apply_seconds.append(monotonic() - started_at)

        async def push_snapshot() -> None:
            started_at = monotonic()
            pushed_bytes.append(float(agent.push_snapshot()))
            await agent.wait_until_written()
            await process.wait_until_responsive()
            snapshot_apply_seconds.append(monotonic() - started_at)

        async def reconnect() -> None:
            opened_count, sent_before = len(agent.watch_opened_at), agent.sent_bytes
            agent.drop_watches()
            while len(agent.watch_opened_at) == opened_count:
                await asyncio.sleep(0.002)
            pushed_bytes.append(float(agent.sent_bytes - sent_before))

        async def reconnect_without_history() -> None:
            agent.clear_history()
            await reconnect()

        for name, action, repeats, description in (
            ("change", push_change, 2 * plan.repeats, "one server leaves or comes back"),
            ("whole_list", push_snapshot, plan.repeats, "the whole list on a watch that stands"),
            ("reconnect", reconnect, plan.repeats, "the watch breaks, the agent has kept its changes"),
            (
                "reconnect_whole",
                reconnect_without_history,
                plan.repeats,
                "the watch breaks, the agent has kept no changes",
            ),
        ):
            pushed_bytes.clear()
            costs_ms = [await cpu_cost_ms(process, idle_ratio, action) for _ in range(repeats)]
            report.add_median(f"node.{name}.cpu", size, costs_ms, "ms", description)
            report.add_median(
                f"node.{name}.bytes", size, pushed_bytes, "bytes", f"that the agent sends; {description}"
            )
        apply_description = "from the agent's write until the node has answered /up twice, asked for after it"
        report.add_median(
            "node.change.in_force", size, apply_seconds, "s", apply_description, MAX_UPDATE_DELAY_SECONDS
        )
        report.add_median(
            "node.whole_list.in_force",
            size,
            snapshot_apply_seconds,
            "s",
            apply_description,
            MAX_UPDATE_DELAY_SECONDS,
        )
        worst_minute_bytes = 0

        async def push_worst_minute() -> None:
            nonlocal worst_minute_bytes
            worst_minute_bytes = await push_zone_outage(agent, entries, plan)

        worst_minute_ms = await cpu_cost_ms(process, idle_ratio, push_worst_minute)
        report_control_budgets(report, plan, size, idle_ratio, worst_minute_ms, worst_minute_bytes)
        report.add(
            "node.rss.after_control",
            size,
            process.rss_mb(),
            "MB",
            "resident, after the changes above",
            MAX_CONTROL_RSS_MB,
        )


def report_control_budgets(
    report: Report, plan: Plan, size: int, idle_ratio: float, worst_minute_ms: float, worst_minute_bytes: int
) -> None:
    """Add the figures that have a bound on processor time or bytes a second.

    They are given at the day's mean rate of changes, over the worst minute, and for one snapshot.
    `idle_ratio` is the processor time of the idle node in relation to one core, and `worst_minute_ms` the
    processor time for the changes of the worst minute.
    """
    change_cpu_seconds = report.value("node.change.cpu", size) / 1000
    mean_percent = 100 * (idle_ratio + change_cpu_seconds / CHANGE_INTERVAL_SECONDS)
    report.add(
        "node.control_cpu.mean_rate",
        size,
        mean_percent,
        "% of a core",
        f"idle, and one change in {CHANGE_INTERVAL_SECONDS:.0f} s",
        MAX_CONTROL_CPU_PERCENT,
        calculated=True,
    )
    report.add(
        "node.control_cpu.worst_minute",
        size,
        100 * (idle_ratio + worst_minute_ms / 1000 / 60),
        "% of a core",
        f"over 60 s in which {describe_worst_minute(plan)}; {UNBATCHED_CHANGES_NOTE}",
        MAX_CONTROL_CPU_PERCENT,
    )
    empty_line_byte_rate = len(EMPTY_LINE_CHUNK) / EMPTY_LINE_INTERVAL_SECONDS
    mean_byte_rate = report.value("node.change.bytes", size) / CHANGE_INTERVAL_SECONDS + empty_line_byte_rate
    report.add(
        "node.control_bytes.mean_rate",
        size,
        mean_byte_rate,
        "bytes/s",
        "from one change",
        MAX_CONTROL_BYTES_PER_SECOND,
        calculated=True,
    )
    report.add(
        "node.control_bytes.worst_minute",
        size,
        worst_minute_bytes / 60 + empty_line_byte_rate,
        "bytes/s",
        "over the same 60 s",
        MAX_CONTROL_BYTES_PER_SECOND,
    )
    report.add(
        "node.control_bytes.whole_list",
        size,
        report.value("node.whole_list.bytes", size),
        "bytes/s",
        "a whole list comes within one second, as at a start without a list or after an agent's restart",
        MAX_CONTROL_BYTES_PER_SECOND,
        mechanism="missing: subsets of the list by service and zone",
    )


async def measure_tenants(report: Report, plan: Plan) -> None:
    """Measure what tenants in the configuration add to a node with the longest list."""
    entries = [entry(index, 9) for index in range(plan.server_counts[-1])]
    for count in plan.tenant_counts:
        why = f"with so many tenants in the configuration and {len(entries)} servers in the list"
        startup_seconds, cpu_ms, rss_mb = [], [], []
        for _ in range(plan.repeats):
            async with (
                Agent(entries) as agent,
                running_node(configuration(agent, entries, tenant_count=count)) as process,
            ):
                startup_seconds.append(process.startup_seconds)
                cpu_ms.append(1000 * process.startup_cpu_seconds)
                rss_mb.append(process.rss_mb())
        report.add_median("tenants.start.time", count, startup_seconds, "s", f"until /up answers 200, {why}")
        report.add_median("tenants.start.cpu", count, cpu_ms, "ms", f"processor time until then, {why}")
        report.add_median("tenants.rss", count, rss_mb, "MB", f"resident, {why}", MAX_CONTROL_RSS_MB)
    for name, unit in (("tenants.start.cpu", "ms/tenant"), ("tenants.rss", "MB/tenant")):
        report.add_slope(name, "tenants", unit, "")


async def measure_classes(report: Report, plan: Plan) -> None:
    """Measure what request classes add to a node with the longest list.

    The settings don't know routes; request classes are the closest to them.
    """
    entries = [entry(index, 9) for index in range(plan.server_counts[-1])]
    for count in plan.class_counts:
        why = f"with so many request classes in the settings and {len(entries)} servers in the list"
        async with (
            Agent(entries) as agent,
            running_node(configuration(agent, entries, class_count=count)) as process,
        ):
            idle_percents = [
                100 * await idle_cpu_ratio(process, plan.idle_seconds) for _ in range(plan.repeats)
            ]
            idle_percent = sum(idle_percents) / len(idle_percents)
            costs_ms = []
            for repetition in range(2 * plan.repeats):
                state = "Terminating" if repetition % 2 == 0 else "Ready"

                async def push_change(state: str = state) -> None:
                    agent.push_change(with_state(entries[:1], state, 1))
                    await process.wait_until_responsive()

                costs_ms.append(await cpu_cost_ms(process, idle_percent / 100, push_change))
            rss_mb = process.rss_mb()
        report.add_median(
            "classes.idle_cpu",
            count,
            idle_percents,
            "% of a core",
            f"no requests, {why}",
            MAX_CONTROL_CPU_PERCENT,
        )
        report.add_median(
            "classes.change.cpu", count, costs_ms, "ms", f"one server leaves or comes back, {why}"
        )
        report.add("classes.rss", count, rss_mb, "MB", f"resident, {why}", MAX_CONTROL_RSS_MB)
    for name, unit in (("classes.idle_cpu", "%/class"), ("classes.rss", "MB/class")):
        report.add_slope(name, "classes", unit, "")


async def control(report: Report, plan: Plan) -> None:
    """Measure nodes without requests at all list sizes, then tenants and classes, and add the figures.

    The name of this function is a part of a figure's name.
    """
    run_slots = asyncio.Semaphore(plan.concurrent_runs)

    async def run_size(size: int) -> Report:
        async with run_slots:
            size_report = Report()
            await measure_control(size_report, size, plan)
            return size_report

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_size(size)) for size in plan.server_counts]
    for task in tasks:
        report.figures += task.result().figures
    await measure_tenants(report, plan)
    await measure_classes(report, plan)
    for name, unit in (
        ("node.rss", "MB/server"),
        ("node.change.cpu", "ms/server"),
        ("node.whole_list.cpu", "ms/server"),
        ("node.whole_list.bytes", "bytes/server"),
        ("node.reconnect.cpu", "ms/server"),
        ("node.start_known.cpu", "ms/server"),
        ("node.start_whole.cpu", "ms/server"),
        ("node.idle_cpu", "%/server"),
    ):
        report.add_slope(name, "servers", unit, "")
