"""A node's control: what changes of the list, whole lists, lost watches and starts cost it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from scale.real.plan import CHANGE_EVERY, CONTROL_BYTES, CONTROL_CPU, CONTROL_RSS, IN_FORCE, Plan, Report
from scale.real.processes import NodeProcess, configuration, node
from scale.real.standins import EMPTY, EMPTY_EVERY, Agent, Entry, entry
from scale.real.worst import UNGATHERED, flipped, tell_bursts, worst_minute


async def cost(process: NodeProcess, idle: float, act: Callable[[], Awaitable[None]]) -> float:
    """ms of processor time that one act costs the node, above its idle share of a core."""
    cpu, at = process.cpu(), monotonic()
    await act()
    await process.settle()
    return 1000 * (process.cpu() - cpu - idle * (monotonic() - at))


async def idle_share(process: NodeProcess, seconds: float) -> float:
    """Of a core, without requests or changes."""
    await process.settle()
    cpu, at = process.cpu(), monotonic()
    await asyncio.sleep(seconds)
    return (process.cpu() - cpu) / (monotonic() - at)


async def starts(report: Report, size: int, entries: list[Entry], repeats: int) -> None:
    """A start to `/up`, with the last list in the configuration and without."""
    for name, known, what in (
        ("known", entries, "the configuration holds the current list, the agent has no change to tell"),
        ("whole", [], "the configuration holds no list, the agent sends the whole"),
    ):
        wall, cpu, sent = [], [], []
        for _ in range(repeats):
            async with Agent(entries) as agent, node(configuration(agent, known)) as process:
                wall.append(process.ready)
                cpu.append(1000 * process.cpu_ready)
                sent.append(float(agent.sent))
        report.median(f"node.start_{name}.time", size, wall, "s", f"until /up answers 200; {what}")
        report.median(f"node.start_{name}.cpu", size, cpu, "ms", f"processor time until then; {what}")
        report.median(
            f"node.start_{name}.bytes", size, sent, "bytes", f"that the agent sent until then; {what}"
        )


async def control_run(report: Report, size: int, plan: Plan) -> None:
    entries = [entry(index, 9) for index in range(size)]
    await starts(report, size, entries, plan.repeats)
    async with Agent(entries) as agent, node(configuration(agent, entries)) as process:
        idle = await idle_share(process, plan.idle)
        report.add(
            "node.idle_cpu", size, 100 * idle, "% of a core", "neither requests nor changes", CONTROL_CPU
        )
        report.add(
            "node.rss",
            size,
            process.rss(),
            "MB",
            "resident, before any request: all of the process, not only its control",
            CONTROL_RSS,
        )
        told: list[float] = []
        force: list[float] = []
        whole_force: list[float] = []

        async def change() -> None:
            state = "Terminating" if len(told) % 2 == 0 else "Ready"
            at = monotonic()
            told.append(float(agent.change(flipped(entries[:1], state, 1))))
            await process.answers()
            force.append(monotonic() - at)

        async def whole() -> None:
            at = monotonic()
            told.append(float(agent.push_whole()))
            await agent.written()
            await process.answers()
            whole_force.append(monotonic() - at)

        async def reconnect() -> None:
            number, sent = len(agent.opened), agent.sent
            agent.drop()
            while len(agent.opened) == number:
                await asyncio.sleep(0.002)
            told.append(float(agent.sent - sent))

        async def forgotten() -> None:
            agent.forget()
            await reconnect()

        for name, act, times, what in (
            ("change", change, 2 * plan.repeats, "one server leaves or comes back"),
            ("whole_list", whole, plan.repeats, "the whole list on a watch that stands"),
            ("reconnect", reconnect, plan.repeats, "the watch breaks, the agent has kept its changes"),
            ("reconnect_whole", forgotten, plan.repeats, "the watch breaks, the agent has kept no changes"),
        ):
            told.clear()
            spent = [await cost(process, idle, act) for _ in range(times)]
            report.median(f"node.{name}.cpu", size, spent, "ms", what)
            report.median(f"node.{name}.bytes", size, told, "bytes", f"that the agent sends; {what}")
        asked = "from the agent's write until the node has answered /up twice, asked for after it"
        report.median("node.change.in_force", size, force, "s", asked, IN_FORCE)
        report.median("node.whole_list.in_force", size, whole_force, "s", asked, IN_FORCE)
        sent = 0

        async def bursts() -> None:
            nonlocal sent
            sent = await tell_bursts(agent, entries, plan)

        spent_ms = await cost(process, idle, bursts)
        report_control(report, plan, size, idle, spent_ms, sent)
        report.add(
            "node.rss.after_control",
            size,
            process.rss(),
            "MB",
            "resident, after the changes above",
            CONTROL_RSS,
        )


def report_control(
    report: Report, plan: Plan, size: int, idle: float, burst_ms: float, burst_bytes: int
) -> None:
    """Shares of the budgets: at the day's mean rate, and over the minute in which a zone is lost and back."""
    change = report.value("node.change.cpu", size) / 1000
    mean = 100 * (idle + change / CHANGE_EVERY)
    report.add(
        "node.control_cpu.mean_rate",
        size,
        mean,
        "% of a core",
        f"idle, and one change in {CHANGE_EVERY:.0f} s",
        CONTROL_CPU,
        calculated=True,
    )
    report.add(
        "node.control_cpu.worst_minute",
        size,
        100 * (idle + burst_ms / 1000 / 60),
        "% of a core",
        f"over 60 s in which {worst_minute(plan)}; {UNGATHERED}",
        CONTROL_CPU,
    )
    empty = len(EMPTY) / EMPTY_EVERY
    rate = report.value("node.change.bytes", size) / CHANGE_EVERY + empty
    report.add(
        "node.control_bytes.mean_rate",
        size,
        rate,
        "bytes/s",
        "from one change",
        CONTROL_BYTES,
        calculated=True,
    )
    report.add(
        "node.control_bytes.worst_minute",
        size,
        burst_bytes / 60 + empty,
        "bytes/s",
        "over the same 60 s",
        CONTROL_BYTES,
    )
    report.add(
        "node.control_bytes.whole_list",
        size,
        report.value("node.whole_list.bytes", size),
        "bytes/s",
        "a whole list comes within one second, as at a start without a list or after an agent's restart",
        CONTROL_BYTES,
        mechanism="missing: subsets of the list by service and zone",
    )


async def tenants(report: Report, plan: Plan) -> None:
    """What the tenants in the configuration add, at the largest list."""
    entries = [entry(index, 9) for index in range(plan.sizes[-1])]
    for number in plan.tenants:
        why = f"with so many tenants in the configuration and {len(entries)} servers in the list"
        wall, cpu, rss = [], [], []
        for _ in range(plan.repeats):
            async with (
                Agent(entries) as agent,
                node(configuration(agent, entries, tenants=number)) as process,
            ):
                wall.append(process.ready)
                cpu.append(1000 * process.cpu_ready)
                rss.append(process.rss())
        report.median("tenants.start.time", number, wall, "s", f"until /up answers 200, {why}")
        report.median("tenants.start.cpu", number, cpu, "ms", f"processor time until then, {why}")
        report.median("tenants.rss", number, rss, "MB", f"resident, {why}", CONTROL_RSS)
    for name, unit in (("tenants.start.cpu", "ms/tenant"), ("tenants.rss", "MB/tenant")):
        report.slope(name, "tenants", unit, "")


async def classes(report: Report, plan: Plan) -> None:
    """What request classes add, at the largest list. They are as near to routes as today's settings come."""
    entries = [entry(index, 9) for index in range(plan.sizes[-1])]
    for number in plan.classes:
        why = f"with so many request classes in the settings and {len(entries)} servers in the list"
        async with Agent(entries) as agent, node(configuration(agent, entries, classes=number)) as process:
            shares = [100 * await idle_share(process, plan.idle) for _ in range(plan.repeats)]
            idle = sum(shares) / len(shares)
            spent = []
            for turn in range(2 * plan.repeats):
                state = "Terminating" if turn % 2 == 0 else "Ready"

                async def change(state: str = state) -> None:
                    agent.change(flipped(entries[:1], state, 1))
                    await process.answers()

                spent.append(await cost(process, idle / 100, change))
            rss = process.rss()
        report.median("classes.idle_cpu", number, shares, "% of a core", f"no requests, {why}", CONTROL_CPU)
        report.median("classes.change.cpu", number, spent, "ms", f"one server leaves or comes back, {why}")
        report.add("classes.rss", number, rss, "MB", f"resident, {why}", CONTROL_RSS)
    for name, unit in (("classes.idle_cpu", "%/class"), ("classes.rss", "MB/class")):
        report.slope(name, "classes", unit, "")


async def control(report: Report, plan: Plan) -> None:
    gate = asyncio.Semaphore(plan.together)

    async def one(size: int) -> Report:
        async with gate:
            found = Report()
            await control_run(found, size, plan)
            return found

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one(size)) for size in plan.sizes]
    for task in tasks:
        report.figures += task.result().figures
    await tenants(report, plan)
    await classes(report, plan)
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
        report.slope(name, "servers", unit, "")
