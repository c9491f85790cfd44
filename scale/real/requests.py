"""Measures a node's requests, with and without list changes: added response time, CPU time, connections."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from time import monotonic
from typing import Any

import numpy as np

from scale.real.plan import (
    CHANGE_INTERVAL_SECONDS,
    MAX_ADDED_P99_MS,
    MAX_SERVER_CONNECTION_COUNT,
    PERCENTILES,
    REQUESTS_PER_SECOND,
    SERVICE_TIME_MS,
    Plan,
    Report,
)
from scale.real.processes import (
    DESCRIPTOR_COUNT,
    IDLE_TIMEOUT_NS,
    NODE_COUNT,
    SECOND_NS,
    NodeProcess,
    configuration,
    fetch_counts,
    run_load,
    running_node,
    running_servers,
)
from scale.real.standins import DIRECT_ADDRESS, Agent, entry
from scale.real.worst import (
    CHANGE_GAP_SECONDS,
    UNBATCHED_CHANGES_NOTE,
    describe_worst_minute,
    push_zone_outage,
    with_state,
)

LOAD_START_SECONDS = 0.4  # allowed for the process of a load generator to start

ResponseTimes = np.ndarray[Any, np.dtype[np.float64]]
"""Response times in ms, shape (requests,)."""
RequestMask = np.ndarray[Any, np.dtype[np.bool_]]
"""Selection of requests, shape (requests,)."""
Sample = dict[str, list[float]]
"""The results of a load: the fields of `scale.real.load.Sample`, one value a request in each list."""


@dataclass
class CounterReading:
    """Counters of a node and of the stand-in servers at one time."""

    read_at: float  # in seconds of the monotonic clock
    cpu_seconds: float  # processor time of the node
    cpu_wait_seconds: float  # for which the node's threads waited for a core
    server_counters: dict[str, float]  # of all stand-in servers; see `scale.real.standins.Counts`

    @classmethod
    async def read(cls, process: NodeProcess, port: int) -> CounterReading:
        """Read the counters of a node, and of the stand-in servers at a port."""
        return cls(monotonic(), process.cpu_seconds(), process.cpu_wait_seconds(), await fetch_counts(port))


@dataclass
class Phase:
    """Measurements between two counter readings: response times, and the node's resource usage."""

    response_ms: ResponseTimes  # of the requests through the node
    direct_ms: ResponseTimes  # of the requests that go to a stand-in server without the node
    failed_ratio: float  # fraction of the requests through the node without a 200 response
    cpu_us_per_request: float  # processor time of the node
    core_ratio: float  # processor time of the node in relation to one core
    cpu_wait_ratio: float  # fraction of the time in which other processes used the core that the node needed
    dials_per_request: float  # connections that the node opened to servers
    open_connections: float  # to servers, at the end
    reached_servers: float  # distinct servers that got a request since the node's start


@dataclass
class Traffic:
    """The results of two loads at the same time: through the node, and directly to a stand-in server."""

    node_sample: Sample
    direct_sample: Sample
    begin: float  # of both loads, in seconds of the monotonic clock

    def phase_between(self, start: CounterReading, end: CounterReading) -> Phase:
        """Return the measurements for the requests that were sent between two readings."""
        mask = self._sent_between(self.node_sample, start, end)
        status = np.array(self.node_sample["status"])[mask]
        request_count = max(1, len(status))
        cpu_seconds = end.cpu_seconds - start.cpu_seconds
        return Phase(
            np.array(self.node_sample["ms"])[mask],
            np.array(self.direct_sample["ms"])[self._sent_between(self.direct_sample, start, end)],
            float((status != 200).mean()) if len(status) else 1.0,
            cpu_seconds / request_count * 1e6,
            cpu_seconds / (end.read_at - start.read_at),
            (end.cpu_wait_seconds - start.cpu_wait_seconds) / (end.read_at - start.read_at),
            (end.server_counters["accepted"] - start.server_counters["accepted"]) / request_count,
            end.server_counters["open"],
            end.server_counters["addresses"],
        )

    def _sent_between(self, sample: Sample, start: CounterReading, end: CounterReading) -> RequestMask:
        sent_at = np.array(sample["at"]) + self.begin
        return (sent_at >= start.read_at) & (sent_at < end.read_at)

    def driver_delay_p99_ms(self) -> float:
        """Return the 99th percentile of the load generators' own delay in sending, in ms."""
        return float(np.percentile(self.node_sample["late_ms"] + self.direct_sample["late_ms"], 99))


async def sleep_until(at_seconds: float) -> None:
    """Sleep until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, at_seconds - monotonic()))


@dataclass
class RequestRun:
    """The measurements of a node with one list size under each condition."""

    size: int  # servers in the list
    descriptor_count: int  # file descriptors of the node
    driver_delay_p99_ms: float  # of the load generators; see `Traffic.driver_delay_p99_ms`
    quiet: list[Phase]  # repetitions without a change of the list
    mean_rate: Phase  # the complete window, with one change of the list: the day's mean rate
    worst: Phase  # the changes of the worst minute
    saturated: Phase  # closed loop
    rss_mb: float  # after all loads


async def measure_requests(
    size: int, plan: Plan, descriptor_count: int, saturation_lock: asyncio.Semaphore
) -> RequestRun:
    """Start a node with a list of this size, and measure it under each condition.

    The list first stays as it is, and then changes; last, a closed loop sends requests as fast as they are
    answered. `saturation_lock` lets only one run at a time execute its closed loop.
    """
    async with (
        running_servers(SERVICE_TIME_MS) as port,
        Agent([entry(index, port) for index in range(size)]) as agent,
        running_node(configuration(agent, agent.entries(), descriptor_count)) as process,
    ):
        traffic, readings = await run_open_loop(process, agent, port, plan)
        await process.wait_until_idle()
        async with saturation_lock:
            saturated = await run_closed_loop(process, port, plan)
        rss_mb = process.rss_mb()
    return RequestRun(
        size,
        descriptor_count,
        traffic.driver_delay_p99_ms(),
        [traffic.phase_between(*pair) for pair in pairwise(readings[:-2])],
        traffic.phase_between(readings[0], readings[-2]),
        traffic.phase_between(readings[-2], readings[-1]),
        saturated,
        rss_mb,
    )


async def run_open_loop(
    process: NodeProcess, agent: Agent, port: int, plan: Plan
) -> tuple[Traffic, list[CounterReading]]:
    """Run loads at the node's mean request rate, and return them with the readings between their phases.

    The phases are the repetitions without a change of the list in the first half of the window, then its
    second half, which begins with one change, and last the removal of a zone and its return.
    """
    entries = agent.entries()
    worst_seconds = (
        2 * (plan.zone_batch_count * CHANGE_GAP_SECONDS + plan.pause_seconds) + plan.settle_seconds
    )
    begin = monotonic() + LOAD_START_SECONDS
    load_seconds = plan.warm_up_seconds + plan.window_seconds + worst_seconds + LOAD_START_SECONDS
    async with asyncio.TaskGroup() as group:
        node_sample = group.create_task(
            run_load(process.address, begin, load_seconds, rate=REQUESTS_PER_SECOND)
        )
        direct_sample = group.create_task(
            run_load((DIRECT_ADDRESS, port), begin, load_seconds, rate=REQUESTS_PER_SECOND, seed=2)
        )
        await sleep_until(begin + plan.warm_up_seconds)
        readings = [await CounterReading.read(process, port)]
        for repetition in range(plan.repeats):
            await sleep_until(readings[0].read_at + plan.window_seconds / 2 * (repetition + 1) / plan.repeats)
            readings.append(await CounterReading.read(process, port))
        agent.push_change(with_state(entries[:1], "Terminating", 0))
        await sleep_until(readings[0].read_at + plan.window_seconds)
        readings.append(await CounterReading.read(process, port))
        await push_zone_outage(agent, entries, plan)
        await asyncio.sleep(plan.settle_seconds)
        readings.append(await CounterReading.read(process, port))
    return Traffic(node_sample.result(), direct_sample.result(), begin), readings


async def run_closed_loop(process: NodeProcess, port: int, plan: Plan) -> Phase:
    """Run a closed loop directly to a stand-in server, and then one with as many clients through the node."""
    direct_sample = await run_load(
        (DIRECT_ADDRESS, port),
        monotonic() + LOAD_START_SECONDS,
        plan.closed_loop_seconds,
        clients=plan.closed_loop_clients,
    )
    begin = monotonic() + LOAD_START_SECONDS
    before = await CounterReading.read(process, port)
    sample = await run_load(
        process.address, begin, plan.closed_loop_seconds, clients=plan.closed_loop_clients
    )
    after = await CounterReading.read(process, port)
    before.read_at, after.read_at = begin, begin + plan.closed_loop_seconds
    phase = Traffic(sample, direct_sample, begin).phase_between(before, after)
    phase.direct_ms = np.array(direct_sample["ms"])
    return phase


MIN_P99_REQUEST_COUNT = 1000  # of a phase, so that ten of them are above its 99th percentile
MAX_DIALS_PER_REQUEST = 0.1  # as long as the connections to all its servers fit a node's descriptors
CPU_WAIT_NOTE = (
    "ready to run with no core free: high where others use this machine, whose time then shows as added"
)
MISSING_SUBSETS_NOTE = "missing: subsets of the list by service and zone that fit a node's descriptors"


def added_ms(phase: Phase, percentile: float) -> float:
    """Return how much the node adds to a percentile of the response time, in ms.

    It is the difference between the percentiles of the requests through the node and of the direct ones.
    """
    return float(np.percentile(phase.response_ms, percentile) - np.percentile(phase.direct_ms, percentile))


def p99_bound_ms(phases: Sequence[Phase]) -> float | None:
    """Return the bound on what the node adds to the 99th percentile, in ms.

    It is None where a phase has so few requests that a single one determines the percentile.
    """
    return (
        MAX_ADDED_P99_MS if all(len(phase.response_ms) >= MIN_P99_REQUEST_COUNT for phase in phases) else None
    )


def added_p99_over_minute_ms(run: RequestRun) -> float:
    """Return what the node adds to the 99th percentile over a minute with the worst phase, in ms.

    The rest of the minute is without a change of the list.
    """
    through_node_ms, direct_ms = (
        minute_p99_ms(times, np.concatenate(quiet))
        for times, quiet in (
            (run.worst.response_ms, [other.response_ms for other in run.quiet]),
            (run.worst.direct_ms, [other.direct_ms for other in run.quiet]),
        )
    )
    return through_node_ms - direct_ms


def minute_p99_ms(worst: ResponseTimes, quiet: ResponseTimes) -> float:
    """Return the 99th percentile over a minute of requests, in ms.

    The worst ones count once each; the quiet ones are weighted so that together they are the rest of the
    minute's requests.
    """
    quiet_weight = max(0.0, 60 * REQUESTS_PER_SECOND - len(worst)) / len(quiet)
    weights = np.concatenate([np.ones(len(worst)), np.full(len(quiet), quiet_weight)])
    response_ms = np.concatenate([worst, quiet])
    return float(np.percentile(response_ms, 99, weights=weights, method="inverted_cdf"))


def report_requests(report: Report, plan: Plan, run: RequestRun, idle_ratio: float) -> None:
    """Add the figures of a run.

    `idle_ratio` is the processor time of a node with this list but without requests, in relation to one core.
    """
    size, tag = (
        run.size,
        "" if run.descriptor_count == DESCRIPTOR_COUNT else f".{run.descriptor_count}_descriptors",
    )
    setup = (
        f"{REQUESTS_PER_SECOND:.0f} requests a second at random times, each with a key of its own, "
        f"through a node with {run.descriptor_count} descriptors, less the same past it at the same time; "
        f"{SERVICE_TIME_MS:.0f} ms of service, "
        f"driver late by {run.driver_delay_p99_ms:.1f} ms for 99 in 100"
    )
    worst_note = f"the stretch of it in which {describe_worst_minute(plan)}; {UNBATCHED_CHANGES_NOTE}"
    dials_note = f"{np.median([phase.dials_per_request for phase in run.quiet]):.2f} dials a request"
    if run.quiet[-1].dials_per_request > MAX_DIALS_PER_REQUEST:
        dials_note += f"; {MISSING_SUBSETS_NOTE}"
    conditions = {
        "quiet": (run.quiet, f"no change of the list; {dials_note}"),
        "mean_rate": (
            [run.mean_rate],
            f"one change in {CHANGE_INTERVAL_SECONDS:.0f} s, the day's mean; {dials_note}",
        ),
        "worst_minute": ([run.worst], worst_note),
    }
    for condition, (phases, description) in conditions.items():
        wait_percents = [100 * phase.cpu_wait_ratio for phase in phases]
        cpu_wait_note = f"it waited {max(wait_percents):.1f}% of the time for a core"
        for name, percentile in PERCENTILES.items():
            report.add_median(
                f"node.added_{name}.{condition}{tag}",
                size,
                [added_ms(phase, percentile) for phase in phases],
                "ms",
                f"{description}; {setup}; {cpu_wait_note}",
                p99_bound_ms(phases) if name == "p99" else None,
            )
        report.add_median(
            f"node.cpu.{condition}{tag}",
            size,
            [phase.cpu_us_per_request for phase in phases],
            "us/request",
            f"all of the node's processor time by its requests; {description}; {setup}",
        )
        report.add_median(
            f"node.waited.{condition}{tag}", size, wait_percents, "% of the time", CPU_WAIT_NOTE
        )
        failed_percents = [100 * phase.failed_ratio for phase in phases]
        report.add_median(f"node.unserved.{condition}{tag}", size, failed_percents, "%", description)
    minute_p99_added_ms = added_p99_over_minute_ms(run)
    report.add(
        f"node.added_p99.whole_worst_minute{tag}",
        size,
        minute_p99_added_ms,
        "ms",
        f"{worst_note}, the rest of 60 s as without changes; {setup}",
        p99_bound_ms([*run.quiet, run.worst]),
        calculated=True,
    )
    report_connections(report, run, idle_ratio, tag, setup)
    report_saturated(report, plan, run, tag)


def report_connections(report: Report, run: RequestRun, idle_ratio: float, tag: str, setup: str) -> None:
    """Add the figures on connections to servers, and on processor time less that of an idle node.

    `tag` is appended to the names of the figures, and `setup` describes the run.
    """
    size = run.size
    report.add_median(
        f"node.cpu_above_idle.quiet{tag}",
        size,
        [phase.cpu_us_per_request - idle_ratio / REQUESTS_PER_SECOND * 1e6 for phase in run.quiet],
        "us/request",
        f"less what it takes without requests; {setup}",
    )
    report.add_median(
        f"node.dials{tag}",
        size,
        [phase.dials_per_request for phase in run.quiet],
        "dials/request",
        f"opened for a request; servers close what is idle for {IDLE_TIMEOUT_NS // SECOND_NS} s, "
        f"and the node has 45% of its descriptors for servers; {MISSING_SUBSETS_NOTE}; {setup}",
    )
    dial_rates = [phase.dials_per_request * REQUESTS_PER_SECOND for phase in run.quiet]
    report.add_median(f"node.dial_rate{tag}", size, dial_rates, "dials/s", "dials by request times the rate")
    report.add_median(
        f"node.connections{tag}",
        size,
        [phase.open_connections for phase in run.quiet],
        "connections",
        f"to servers, held at once; of {run.descriptor_count} descriptors the node keeps 45% for servers",
    )
    report.add(
        f"node.servers_met{tag}",
        size,
        run.quiet[-1].reached_servers,
        "servers",
        "distinct ones that got a request before the first change; keys go to the node's own zone first",
    )


def report_saturated(report: Report, plan: Plan, run: RequestRun, tag: str) -> None:
    """Add the figures of the closed loop; `tag` is appended to their names."""
    size, saturated = run.size, run.saturated
    description = f"closed loop of {plan.closed_loop_clients} clients"
    report.add(f"node.core.saturated{tag}", size, 100 * saturated.core_ratio, "% of a core", description)
    report.add(
        f"node.rate.saturated{tag}",
        size,
        saturated.core_ratio / saturated.cpu_us_per_request * 1e6,
        "requests/s",
        description,
    )
    report.add(f"node.cpu.saturated{tag}", size, saturated.cpu_us_per_request, "us/request", description)
    report.add(f"node.unserved.saturated{tag}", size, 100 * saturated.failed_ratio, "%", description)
    for name, percentile in PERCENTILES.items():
        added = added_ms(saturated, percentile)
        report.add(
            f"node.added_{name}.saturated{tag}", size, added, "ms", f"{description}; less the same direct"
        )
    report.add(f"node.rss.after_load{tag}", size, run.rss_mb, "MB", "resident, after the loads above")


async def data(report: Report, plan: Plan) -> None:
    """Measure the requests of nodes with each list size, several at the same time, and add the figures.

    The report must already have the processor time of idle nodes, `node.idle_cpu`. The name of this function
    is a part of a figure's name.
    """
    run_slots, saturation_lock = asyncio.Semaphore(plan.concurrent_runs), asyncio.Semaphore(1)

    async def run_one(size: int, descriptor_count: int) -> RequestRun:
        async with run_slots:
            return await measure_requests(size, plan, descriptor_count, saturation_lock)

    jobs = [(size, DESCRIPTOR_COUNT) for size in reversed(plan.server_counts)]
    jobs += [(plan.server_counts[-1], descriptor_count) for descriptor_count in plan.descriptor_limits]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_one(*job)) for job in jobs]
    for run in sorted((task.result() for task in tasks), key=lambda run: (run.descriptor_count, run.size)):
        report_requests(report, plan, run, report.value("node.idle_cpu", run.size) / 100)
    for tag in ("", *(f".{descriptor_count}_descriptors" for descriptor_count in plan.descriptor_limits)):
        report_server(report, plan.server_counts[-1], tag)
    for name in ("node.cpu.quiet", "node.rss.after_load"):
        report.add_slope(name, "servers", "us/request/server" if "cpu" in name else "MB/server", "")


def report_server(report: Report, size: int, tag: str = "") -> None:
    """Add the figures of the connections of one quote server to all nodes, calculated from those of one node.

    `tag` is the suffix of the names of the figures of that node.
    """
    why = f"for {NODE_COUNT} nodes that spread their connections evenly over {size} servers{tag}"
    connections_per_server = report.value(f"node.connections{tag}", size) * NODE_COUNT / size
    dials_per_second = report.value(f"node.dial_rate{tag}", size) * NODE_COUNT / size
    new_connection_percent = 100 * dials_per_second / (NODE_COUNT * REQUESTS_PER_SECOND / size)
    for name, value, unit, bound in (
        ("connections", connections_per_server, "connections", MAX_SERVER_CONNECTION_COUNT),
        ("handshakes", dials_per_second, "handshakes/s", None),
        ("cold_requests", new_connection_percent, "% on a new connection", None),
    ):
        report.add(f"server.{name}{tag}", size, value, unit, why, bound, calculated=True)
