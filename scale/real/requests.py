"""A node's requests: time added, processor time, and connections to servers, while the list changes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from time import monotonic
from typing import Any

import numpy as np

from scale.real.plan import (
    ADDED_P99,
    CHANGE_EVERY,
    DELAY_MS,
    PERCENTILES,
    RATE,
    SERVER_CONNECTIONS,
    Plan,
    Report,
)
from scale.real.processes import (
    IDLE_CLOSE,
    NODES,
    SECOND,
    SOCKETS,
    NodeProcess,
    configuration,
    counts,
    load,
    node,
    servers,
)
from scale.real.standins import DIRECT, Agent, entry
from scale.real.worst import UNGATHERED, WORST_GAP, flipped, tell_bursts, worst_minute

HEAD = 0.4  # s for a load's process to start

Times = np.ndarray[Any, np.dtype[np.float64]]  # ms, shape (requests,)
Chosen = np.ndarray[Any, np.dtype[np.bool_]]  # shape (requests,)
Sample = dict[str, list[float]]  # a load's, one list for each field


@dataclass
class Moment:
    """What had been spent and seen by then."""

    at: float  # monotonic s
    cpu: float  # s
    waited: float  # s, for a core
    seen: dict[str, float]  # by the servers

    @classmethod
    async def now(cls, process: NodeProcess, port: int) -> Moment:
        return cls(monotonic(), process.cpu(), process.waited(), await counts(port))


@dataclass
class Phase:
    """A stretch of a load: what its requests met, and what the node spent."""

    ms: Times  # of each request through the node
    direct: Times  # of each request past it
    refused: float  # share without a 200
    cpu_us: float  # of the node, per request
    core: float  # share of a core that the node took
    waited: float  # share of the time for which it had none, for all that others run on this machine
    dials: float  # per request
    connections: float  # to servers, at the end
    met: float  # distinct servers until the end, since the node's start


@dataclass
class Traffic:
    """Two loads at the same time: through the node and past it."""

    through: Sample
    direct: Sample
    begin: float  # monotonic s

    def stretch(self, since: Moment, until: Moment) -> Phase:
        chosen = self._chosen(self.through, since, until)
        status = np.array(self.through["status"])[chosen]
        number = max(1, len(status))
        spent = until.cpu - since.cpu
        return Phase(
            np.array(self.through["ms"])[chosen],
            np.array(self.direct["ms"])[self._chosen(self.direct, since, until)],
            float((status != 200).mean()) if len(status) else 1.0,
            spent / number * 1e6,
            spent / (until.at - since.at),
            (until.waited - since.waited) / (until.at - since.at),
            (until.seen["accepted"] - since.seen["accepted"]) / number,
            until.seen["open"],
            until.seen["addresses"],
        )

    def _chosen(self, sample: Sample, since: Moment, until: Moment) -> Chosen:
        at = np.array(sample["at"]) + self.begin
        return (at >= since.at) & (at < until.at)

    def late_ms(self) -> float:
        """Of the driver, 99 in 100."""
        return float(np.percentile(self.through["late_ms"] + self.direct["late_ms"], 99))


async def reach(at: float) -> None:
    await asyncio.sleep(max(0.0, at - monotonic()))


@dataclass
class DataRun:
    """One list size: what the requests met under each condition."""

    size: int
    sockets: int  # descriptors of the node
    late_ms: float  # of the driver, 99 in 100
    quiet: list[Phase]  # repeated
    mean: Phase
    worst: Phase
    closed: Phase
    rss: float  # MB, after all of it


async def data_run(size: int, plan: Plan, sockets: int, alone: asyncio.Semaphore) -> DataRun:
    """With and without changes of the list, then as fast as it goes, which a run does `alone`."""
    async with (
        servers(DELAY_MS) as port,
        Agent([entry(index, port) for index in range(size)]) as agent,
        node(configuration(agent, agent.entries(), sockets)) as process,
    ):
        traffic, moments = await open_loop(process, agent, port, plan)
        await process.settle()
        async with alone:
            closed = await closed_loop(process, port, plan)
        rss = process.rss()
    return DataRun(
        size,
        sockets,
        traffic.late_ms(),
        [traffic.stretch(*pair) for pair in pairwise(moments[:-2])],
        traffic.stretch(moments[0], moments[-2]),
        traffic.stretch(moments[-2], moments[-1]),
        closed,
        rss,
    )


async def open_loop(
    process: NodeProcess, agent: Agent, port: int, plan: Plan
) -> tuple[Traffic, list[Moment]]:
    """The loads, and the moments between their stretches: repeats without a change, until the end of the
    window with one, and until a zone is lost and back."""
    entries = agent.entries()
    worst = 2 * (plan.bursts * WORST_GAP + plan.pause) + plan.settle
    begin = monotonic() + HEAD
    whole = plan.warm + plan.window + worst + HEAD
    async with asyncio.TaskGroup() as group:
        through = group.create_task(load(process.address, begin, whole, rate=RATE))
        direct = group.create_task(load((DIRECT, port), begin, whole, rate=RATE, seed=2))
        await reach(begin + plan.warm)
        moments = [await Moment.now(process, port)]
        for part in range(plan.repeats):
            await reach(moments[0].at + plan.window / 2 * (part + 1) / plan.repeats)
            moments.append(await Moment.now(process, port))
        agent.change(flipped(entries[:1], "Terminating", 0))
        await reach(moments[0].at + plan.window)
        moments.append(await Moment.now(process, port))
        await tell_bursts(agent, entries, plan)
        await asyncio.sleep(plan.settle)
        moments.append(await Moment.now(process, port))
    return Traffic(through.result(), direct.result(), begin), moments


async def closed_loop(process: NodeProcess, port: int, plan: Plan) -> Phase:
    """As many clients past the node, then through it."""
    past = await load((DIRECT, port), monotonic() + HEAD, plan.closed, clients=plan.clients)
    begin = monotonic() + HEAD
    before = await Moment.now(process, port)
    sample = await load(process.address, begin, plan.closed, clients=plan.clients)
    after = await Moment.now(process, port)
    before.at, after.at = begin, begin + plan.closed
    found = Traffic(sample, past, begin).stretch(before, after)
    found.direct = np.array(past["ms"])
    return found


P99_REQUESTS = 1000  # in a stretch: ten of them lie above their 99th percentile
DIALS_MOST = 0.1  # per request, while its servers fit a node's descriptors
WAITED = "ready to run with no core free: high where others use this machine, whose time then shows as added"
UNSUBSET = "missing: subsets of the list by service and zone that fit a node's descriptors"


def added(one: Phase, part: float) -> float:
    """ms that the node adds at this percentile."""
    return float(np.percentile(one.ms, part) - np.percentile(one.direct, part))


def p99_bound(phases: Sequence[Phase]) -> float | None:
    """ms that may be added for 99 in 100; None where so few requests were sent that one of them decides."""
    return ADDED_P99 if all(len(one.ms) >= P99_REQUESTS for one in phases) else None


def added_over_a_minute(run: DataRun) -> float:
    """ms that the node adds for 99 in 100, over a minute that holds the worst stretch, the rest quiet."""
    through, direct = (
        weighted(one, np.concatenate(quiet))
        for one, quiet in (
            (run.worst.ms, [other.ms for other in run.quiet]),
            (run.worst.direct, [other.direct for other in run.quiet]),
        )
    )
    return through - direct


def weighted(stretch: Times, quiet: Times) -> float:
    """The 99th percentile over a minute of requests: the stretch's, and quiet ones for the rest of it."""
    rest = max(0.0, 60 * RATE - len(stretch)) / len(quiet)
    weights = np.concatenate([np.ones(len(stretch)), np.full(len(quiet), rest)])
    ms = np.concatenate([stretch, quiet])
    return float(np.percentile(ms, 99, weights=weights, method="inverted_cdf"))


def report_data(report: Report, plan: Plan, run: DataRun, idle: float) -> None:
    """`idle`: share of a core that the node takes without requests, at this size."""
    size, tag = run.size, "" if run.sockets == SOCKETS else f".{run.sockets}_descriptors"
    setup = (
        f"{RATE:.0f} requests a second at random times, each with a key of its own, through a node with "
        f"{run.sockets} descriptors, less the same past it at the same time; {DELAY_MS:.0f} ms of service, "
        f"driver late by {run.late_ms:.1f} ms for 99 in 100"
    )
    worst = f"the stretch of it in which {worst_minute(plan)}; {UNGATHERED}"
    dials = f"{np.median([one.dials for one in run.quiet]):.2f} dials a request"
    if run.quiet[-1].dials > DIALS_MOST:
        dials += f"; {UNSUBSET}"
    conditions = {
        "quiet": (run.quiet, f"no change of the list; {dials}"),
        "mean_rate": ([run.mean], f"one change in {CHANGE_EVERY:.0f} s, the day's mean; {dials}"),
        "worst_minute": ([run.worst], worst),
    }
    for condition, (phases, what) in conditions.items():
        waits = [100 * one.waited for one in phases]
        waited = f"it waited {max(waits):.1f}% of the time for a core"
        for name, part in PERCENTILES.items():
            report.median(
                f"node.added_{name}.{condition}{tag}",
                size,
                [added(one, part) for one in phases],
                "ms",
                f"{what}; {setup}; {waited}",
                p99_bound(phases) if name == "p99" else None,
            )
        report.median(
            f"node.cpu.{condition}{tag}",
            size,
            [one.cpu_us for one in phases],
            "us/request",
            f"all of the node's processor time by its requests; {what}; {setup}",
        )
        report.median(f"node.waited.{condition}{tag}", size, waits, "% of the time", WAITED)
        unserved = [100 * one.refused for one in phases]
        report.median(f"node.unserved.{condition}{tag}", size, unserved, "%", what)
    minute = added_over_a_minute(run)
    report.add(
        f"node.added_p99.whole_worst_minute{tag}",
        size,
        minute,
        "ms",
        f"{worst}, the rest of 60 s as without changes; {setup}",
        p99_bound([*run.quiet, run.worst]),
        calculated=True,
    )
    report_connections(report, run, idle, tag, setup)
    report_saturated(report, plan, run, tag)


def report_connections(report: Report, run: DataRun, idle: float, tag: str, setup: str) -> None:
    size = run.size
    report.median(
        f"node.cpu_above_idle.quiet{tag}",
        size,
        [one.cpu_us - idle / RATE * 1e6 for one in run.quiet],
        "us/request",
        f"less what it takes without requests; {setup}",
    )
    report.median(
        f"node.dials{tag}",
        size,
        [one.dials for one in run.quiet],
        "dials/request",
        f"opened for a request; servers close what is idle for {IDLE_CLOSE // SECOND} s, and the node has "
        f"45% of its descriptors for servers; {UNSUBSET}; {setup}",
    )
    rates = [one.dials * RATE for one in run.quiet]
    report.median(f"node.dial_rate{tag}", size, rates, "dials/s", "dials by request times the rate")
    report.median(
        f"node.connections{tag}",
        size,
        [one.connections for one in run.quiet],
        "connections",
        f"to servers, held at once; of {run.sockets} descriptors the node keeps 45% for servers",
    )
    report.add(
        f"node.servers_met{tag}",
        size,
        run.quiet[-1].met,
        "servers",
        "distinct ones that got a request before the first change; keys go to the node's own zone first",
    )


def report_saturated(report: Report, plan: Plan, run: DataRun, tag: str) -> None:
    size, closed = run.size, run.closed
    what = f"closed loop of {plan.clients} clients"
    report.add(f"node.core.saturated{tag}", size, 100 * closed.core, "% of a core", what)
    report.add(f"node.rate.saturated{tag}", size, closed.core / closed.cpu_us * 1e6, "requests/s", what)
    report.add(f"node.cpu.saturated{tag}", size, closed.cpu_us, "us/request", what)
    report.add(f"node.unserved.saturated{tag}", size, 100 * closed.refused, "%", what)
    for name, part in PERCENTILES.items():
        above = added(closed, part)
        report.add(f"node.added_{name}.saturated{tag}", size, above, "ms", f"{what}; less the same direct")
    report.add(f"node.rss.after_load{tag}", size, run.rss, "MB", "resident, after the loads above")


async def data(report: Report, plan: Plan) -> None:
    """A node's requests, several sizes at once; the idle share has been measured by then."""
    gate, alone = asyncio.Semaphore(plan.together), asyncio.Semaphore(1)

    async def one(size: int, sockets: int) -> DataRun:
        async with gate:
            return await data_run(size, plan, sockets, alone)

    jobs = [(size, SOCKETS) for size in reversed(plan.sizes)]
    jobs += [(plan.sizes[-1], sockets) for sockets in plan.descriptors]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one(*job)) for job in jobs]
    for run in sorted((task.result() for task in tasks), key=lambda run: (run.sockets, run.size)):
        report_data(report, plan, run, report.value("node.idle_cpu", run.size) / 100)
    for tag in ("", *(f".{sockets}_descriptors" for sockets in plan.descriptors)):
        report_server(report, plan.sizes[-1], tag)
    for name in ("node.cpu.quiet", "node.rss.after_load"):
        report.slope(name, "servers", "us/request/server" if "cpu" in name else "MB/server", "")


def report_server(report: Report, size: int, tag: str = "") -> None:
    """What a quote server meets of all nodes."""
    why = f"for {NODES} nodes that spread their connections evenly over {size} servers{tag}"
    held = report.value(f"node.connections{tag}", size) * NODES / size
    dials = report.value(f"node.dial_rate{tag}", size) * NODES / size
    share = 100 * dials / (NODES * RATE / size)
    for name, value, unit, bound in (
        ("connections", held, "connections", SERVER_CONNECTIONS),
        ("handshakes", dials, "handshakes/s", None),
        ("cold_requests", share, "% on a new connection", None),
    ):
        report.add(f"server.{name}{tag}", size, value, unit, why, bound, calculated=True)
